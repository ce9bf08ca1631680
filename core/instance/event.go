package instance

import (
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/step"
)

// An Event is something that happened outside the machine. Each event is defined
// and documented in the module that handles it.
type Event = step.Event

// An Action is an operation that the machine requests from its driver. Each action
// is defined and documented in the module that emits it.
type Action = step.Action

// The events that the process itself sends.
type (
	// Tick is sent when the time returned by NextWake has passed.
	Tick struct{}
	// Stop starts a planned stop. A second Stop ends it immediately, which aborts
	// the calls that are still in progress.
	Stop struct{}
	// OptionsChanged applies changed options and seed peers.
	OptionsChanged struct {
		Options option.Options
		Seeds   []string
	}
)

// IsEvent implements step.Event.
func (Tick) IsEvent() {}

// IsEvent implements step.Event.
func (Stop) IsEvent() {}

// IsEvent implements step.Event.
func (OptionsChanged) IsEvent() {}

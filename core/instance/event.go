package instance

import (
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/step"
)

// An Event is something that happened outside the machine. Each is defined and
// described in the module that takes it in.
type Event = step.Event

// An Action is something that the machine asks its driver to do. Each is defined
// and described in the module that gives it out.
type Action = step.Action

// The events of the process.
type (
	// Tick says that the time asked for by NextWake has come.
	Tick struct{}
	// Stop begins a planned stop; a second one ends it at once.
	Stop struct{}
	// OptionsChanged takes over changed tunables and seeds.
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

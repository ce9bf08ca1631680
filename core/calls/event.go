package calls

import (
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/code"
)

// The events of calls.
type (
	// Arrive begins a call.
	Arrive struct{ Call Request }
	// First says that the first piece of the answer came.
	First struct{ ID ID }
	// Done says that the answer's explicit end was delivered.
	Done struct{ ID ID }
	// Broke says that an attempt ended otherwise.
	Broke struct {
		ID        ID
		Attempt   int
		Phase     attempt.Phase
		Delivered int  // pieces or bytes that reached the caller
		Resumable bool // the replica may still hold the sequence
		Stalled   bool // the replica fell silent
		Spent     bool // the call's body cannot be sent again
		Leaving   bool // the replica said that it is leaving
		Status    int  // the replica's HTTP status, 0 if none came
		// Misdirected says that the replica is not the expected one, or does
		// not hold the model.
		Misdirected bool
		// Incarnation is the name that the answering replica gave, if any.
		Incarnation string
		// Own says that the replica's own whole answer, a failure, is at hand
		// and can be passed on.
		Own    bool
		Detail string
	}
	// Gone says that the caller closed its connection.
	Gone struct{ ID ID }
)

// The actions of calls.
type (
	// Dispatch sends a call to a replica, or resumes it there.
	Dispatch struct {
		ID       ID
		Attempt  int
		Replica  string
		Address  string
		Zone     string
		Plain    bool
		Model    string
		Adapter  string
		Priority int
		// Repeatable says that the transport may use a connection on which
		// it could be led to repeat the call.
		Repeatable bool
		Resume     bool
		After      time.Duration // wait before sending
		Stall      time.Duration // silence that counts as broken
		Forward    *ForwardAttempt
	}
	// A ForwardAttempt is what a Dispatch of a forwarded call adds.
	ForwardAttempt struct {
		Left     time.Duration // of the caller's deadline; 0 if there is none
		Priority int           // -1 if the replica is not to be told
		Stream   bool          // the answer is a series of events
		// Resumable says that a broken series may go on at another replica, so
		// that only whole events may be passed on.
		Resumable bool
	}
	// Relay passes on the replica's own failing answer, which the last Broke
	// said to be at hand.
	Relay struct{ ID ID }
	// Finish gives a call its final answer without an upstream's.
	Finish struct {
		ID      ID
		Refusal code.Refusal
	}
)

// IsEvent implements step.Event.
func (Arrive) IsEvent() {}

// IsEvent implements step.Event.
func (First) IsEvent() {}

// IsEvent implements step.Event.
func (Done) IsEvent() {}

// IsEvent implements step.Event.
func (Broke) IsEvent() {}

// IsEvent implements step.Event.
func (Gone) IsEvent() {}

// IsAction implements step.Action.
func (Dispatch) IsAction() {}

// IsAction implements step.Action.
func (Relay) IsAction() {}

// IsAction implements step.Action.
func (Finish) IsAction() {}

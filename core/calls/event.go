package calls

import (
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/code"
)

// The events of calls.
type (
	// Arrived begins a call.
	Arrived struct{ Call Request }
	// AnswerBegan says that the first piece of the answer came.
	AnswerBegan struct{ ID ID }
	// Completed says that the answer's explicit end was delivered.
	Completed struct {
		ID    ID
		Pause time.Duration // longest between two pieces of the answer
	}
	// AttemptFailed says that an attempt ended otherwise.
	AttemptFailed struct {
		ID        ID
		Attempt   int
		Phase     attempt.Phase
		Delivered int  // pieces or bytes that reached the caller
		Resumable bool // the replica may still hold the sequence
		Stalled   bool // the replica fell silent
		// Severed says that the connection ended before the answer did, by the
		// replica's doing or by that of its machine.
		Severed bool
		// Unreachable says that the replica's machine answers and that nothing
		// listens at the replica's address.
		Unreachable  bool
		BodyConsumed bool // the call's body cannot be sent again
		Leaving      bool // the replica said that it is leaving
		Status       int  // the replica's HTTP status, 0 if none came
		// Misdirected says that the replica is not the expected one, or does
		// not hold the model.
		Misdirected bool
		// Incarnation is the name that the answering replica gave, if any.
		Incarnation string
		// Relayable says that the replica's own whole answer, a failure, is at hand
		// and can be passed on.
		Relayable bool
		Detail    string
	}
	// CallerGone says that the caller closed its connection.
	CallerGone struct{ ID ID }
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
		// Limited says that the replica named a limit: an answer that names none says that
		// it has ended.
		Limited bool
	}
	// A ForwardAttempt is what a Dispatch of a forwarded call adds.
	ForwardAttempt struct {
		ListAge  time.Duration // of the platform's list by which the replica was chosen
		Left     time.Duration // of the caller's deadline; 0 if there is none
		Priority int           // -1 if the replica is not to be told
		Stream   bool          // the answer is a series of events
	}
	// Interrupt ends the attempt that a call has under way; it is answered as any attempt
	// that ends, by an AttemptFailed.
	Interrupt struct{ ID ID }
	// Relay passes on the replica's own failing answer, which the last AttemptFailed
	// said to be at hand.
	Relay struct{ ID ID }
	// Finish gives a call its final answer without an upstream's.
	Finish struct {
		ID      ID
		Refusal code.Refusal
	}
)

// IsEvent implements step.Event.
func (Arrived) IsEvent() {}

// IsEvent implements step.Event.
func (AnswerBegan) IsEvent() {}

// IsEvent implements step.Event.
func (Completed) IsEvent() {}

// IsEvent implements step.Event.
func (AttemptFailed) IsEvent() {}

// IsEvent implements step.Event.
func (CallerGone) IsEvent() {}

// IsAction implements step.Action.
func (Dispatch) IsAction() {}

// IsAction implements step.Action.
func (Interrupt) IsAction() {}

// IsAction implements step.Action.
func (Relay) IsAction() {}

// IsAction implements step.Action.
func (Finish) IsAction() {}

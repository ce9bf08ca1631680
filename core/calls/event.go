package calls

import (
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/links"
)

// The events of calls.
type (
	// Arrived reports that a call arrived.
	Arrived struct{ Call Request }
	// AnswerBegan reports that the first piece of the answer arrived.
	AnswerBegan struct{ ID ID }
	// Completed reports that the explicit end of the answer was delivered to the
	// caller.
	Completed struct {
		ID    ID
		Pause time.Duration // longest pause between two consecutive pieces of the answer
		// The following are of forwarded calls, for logs.
		Status    int    // of the last attempt's answer
		LastEvent int    // number of the last event that the caller has, 0 if there is none
		Framing   string // what showed the end of the last attempt's answer
	}
	// AttemptFailed reports that an attempt ended without a Completed.
	AttemptFailed struct {
		ID        ID
		Attempt   int
		Phase     attempt.Phase
		Delivered int // pieces or bytes that reached the caller
		// PositionUnknown means that the last event that reached the caller has no number, so
		// that no replica can be asked for what follows.
		PositionUnknown bool
		Resumable       bool // the replica may still hold the state of the answer and can continue it
		Stalled         bool // the replica stopped sending
		// Severed means that the replica or its machine closed the connection before
		// the end of the answer.
		Severed bool
		// Unreachable means that the replica's machine responds but nothing listens at
		// the replica's address.
		Unreachable  bool
		BodyConsumed bool // the call's body cannot be sent again
		Leaving      bool // the replica announced that it is leaving
		Status       int  // the replica's HTTP status, 0 if there was none
		// Misdirected means that the replica is not the expected one or does not hold
		// the model.
		Misdirected bool
		// Incarnation is the replica name in the answer, "" if there is none. It is a
		// name only, without the start identifier of a pool.Incarnation.
		Incarnation string
		// ErrorResponse means that the replica answered with a complete error response that
		// can be passed on to the caller.
		ErrorResponse bool
		// Relay says why the attempt was not relayed, if it was to be.
		Relay  links.RelayFailure
		Detail string // the cause, for logs and the refusal
	}
	// CallerGone reports that the caller closed its connection.
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
		Priority int // of a call of the product's own interface; see also ForwardAttempt
		// Repeatable means that the transport may reuse a connection. If that turns
		// out to be closed, the transport may send the call a second time by itself.
		Repeatable bool
		Resume     bool            // continue the current attempt instead of starting one
		After      time.Duration   // delay before sending
		Stall      time.Duration   // time without data after which the attempt has failed
		Forward    *ForwardAttempt // nil for calls of the product's own interface
		// Relay is the instance that sends the attempt to the replica, nil if this one does.
		Relay *RelayPeer
		// Limited means that the replica had announced a limit. An answer that announces
		// none then means that the limit has ended.
		Limited bool
	}
	// A RelayPeer is the instance that relays an attempt.
	RelayPeer struct {
		Name    string
		Address string // IP:port of its listener for peers
	}
	// A ForwardAttempt holds the additional fields in the Dispatch of a forwarded call.
	ForwardAttempt struct {
		ListAge  time.Duration // age of the platform's list that the choice was based on
		Left     time.Duration // time left until the caller's deadline; 0 if there is none
		Priority int           // priority rank sent to the replica; -1 sends none
		Stream   bool          // the answer is a stream of events
	}
	// Interrupt aborts the current attempt of a call, unless something arrived from the
	// replica within the last Silence. It is answered by an AttemptFailed, like any failed
	// attempt.
	Interrupt struct {
		ID      ID
		Silence time.Duration // 0: in any case
	}
	// PassOnErrorResponse passes on the replica's complete error response, which the last
	// AttemptFailed reported.
	PassOnErrorResponse struct{ ID ID }
	// Finish ends a call with a refusal by this instance.
	Finish struct {
		ID      ID
		Refusal code.Refusal
	}
)

// PeerName returns the name of the instance, "" if p is nil.
func (p *RelayPeer) PeerName() string {
	if p == nil {
		return ""
	}
	return p.Name
}

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
func (PassOnErrorResponse) IsAction() {}

// IsAction implements step.Action.
func (Finish) IsAction() {}

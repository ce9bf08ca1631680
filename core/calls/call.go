// Package calls keeps the calls in progress on one instance: what every call
// has, the queue of those that wait for a replica, and how each comes to its one
// final answer.
//
// What differs between the kinds of call, forwarded ones (core/forwarding) and
// those of the product's own interface (core/own/modelcalls), is a Kind: a set
// of functions that the table calls.
//
// Invariants: a call that was taken in gets exactly one of Finish, Relay, or a
// Dispatch whose Completed ends it, unless its caller leaves; a call waits in the
// queue exactly while its phase is Waiting and it was put there.
package calls

import (
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/own/choose"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/route"
)

// An ID names one call on one instance.
type ID uint64

// A Request is what the machine needs to know of a call that arrives.
type Request struct {
	ID             ID
	Service        string
	Plain          bool   // under /services/, not a model call
	Path           string // of a plain call, below the service
	Key            string // the caller's key, "" if none was sent
	IdempotencyKey string
	NotRepeatable  bool // marked so by the call itself
	Replayable     bool // its body can be sent a second time
	PromptTokens   int
	MaxTokens      int
	Prefix         choose.Prefix
	Forward        *ForwardRequest // of a forwarded call; nil for the own interface
}

// A ForwardRequest is what a forwarded call says of itself.
type ForwardRequest struct {
	Name string // the caller's identity of the call, for logs
	// Fingerprint is the same for all tries of one request.
	Fingerprint crash.Fingerprint
	Host        string
	Model       string // "" if the call names none
	Adapter     string
	Parts       []route.PromptPart // shared parts of the prompt, in order
	LengthHint  int
	Deadline    time.Duration // how long the caller will wait; 0 if it does not say
	// Ignored are the headers that made no sense and count as absent.
	Ignored []string
}

// A Phase says where a call stands.
type Phase int

// The phases.
const (
	ClaimingKey    Phase = iota + 1 // its idempotency key is being claimed
	Waiting                         // it looks for a replica, or waits in the queue
	Running                         // a replica has it
	AwaitingOrder                   // it waits for an order that it needs
	Probing                         // it waits for engines to say how busy they are
	AwaitingPermit                  // it waits for a permit to go to a replica that names a limit
)

// A Call is one call in progress.
type Call struct {
	Request
	Kind  *Handlers
	State any // the kind's own

	Item     string        // adapter or model that must be ready; "" if it needs none
	Target   time.Duration // in which its first answer is due, from its arrival
	Priority int           // higher goes first
	Arrived  clock.Instant
	Expires  clock.Instant // when it is given up, whatever its phase; zero: never

	Phase    Phase
	History  attempt.History
	Replica  string           // while running
	Life     pool.Incarnation // of it, as it was known at the start
	Started  clock.Instant
	Answered bool // the first piece of the answer came
}

// A Handlers is what differs between kinds of call.
type Handlers struct {
	// FindReplica sends the call to the best replica, has it wait, or refuses it.
	FindReplica func(now clock.Instant, c *Call)
	// AnswerBegan takes in that the first piece of the answer came.
	AnswerBegan func(now clock.Instant, c *Call)
	// AttemptFailed decides what follows an attempt that failed.
	AttemptFailed func(now clock.Instant, c *Call, b AttemptFailed)
	// Served takes in that the answer is whole.
	Served func(now clock.Instant, c *Call, e Completed)
	// Left is told of a call whose caller left while the replica had it.
	Left func(now clock.Instant, c *Call, r *pool.Replica)
	// Cancel has a replica drop what it does for the call.
	Cancel func(c *Call, r *pool.Replica)
	// NotRun is told of a call that ends and certainly did not run.
	NotRun func(c *Call)
	// LeftQueue is told of a call that does not wait in the queue any more.
	LeftQueue func(c *Call)
}

// Label names the call in logs: by its caller's identity where it has one.
func (c *Call) Label() any {
	if c.Forward != nil {
		return c.Forward.Name
	}
	return uint64(c.ID)
}

// Dispatch returns what every sending of the call to a replica says. stall is how
// long the replica may be silent in its answer.
func (c *Call) Dispatch(r *pool.Replica, stall time.Duration) Dispatch {
	return Dispatch{
		ID:         c.ID,
		Attempt:    c.History.Attempts,
		Replica:    r.Name,
		Address:    r.Address,
		Zone:       r.Zone,
		Repeatable: c.History.Repeatable,
		Stall:      stall,
	}
}

// Late reports whether the call's target has passed already.
func (c *Call) Late(now clock.Instant) bool { return now.Since(c.Arrived) > c.Target }

// NotRunRefusal returns the refusal of a call that certainly did not run.
func NotRunRefusal(c code.Code, detail string, after time.Duration) code.Refusal {
	return code.Refusal{Code: c, Run: code.NotRun, RetryAfter: after, Detail: detail}
}

// CheckAdmission returns why no call can be taken in now, whatever it asks for; ok says
// that calls are taken in. refusing says that the instance stops.
func CheckAdmission(refusing, configured bool) (r code.Refusal, ok bool) {
	switch {
	case refusing:
		return NotRunRefusal(code.Stopping, "this instance is stopping", MinRetryAfter), false
	case !configured:
		return NotRunRefusal(code.NoConfiguration, "no configuration yet", MinRetryAfter), false
	default:
		return r, true
	}
}

// Package calls holds the calls in progress on one instance: their common state,
// the queue of calls that wait for a replica, and the delivery of exactly one final
// answer to each.
//
// There are two kinds of call: forwarded calls (core/forwarding) and calls of the
// product's own interface (core/own/modelcalls). What differs between them is
// defined by Handlers, a set of functions that the table calls.
//
// Invariants: an admitted call gets exactly one of Finish, Relay, or a Dispatch
// that ends with Completed, unless its caller disconnects; a call is in the queue
// only while its phase is Waiting, from Enqueue to Dequeue.
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

// An ID identifies one call on one instance.
type ID uint64

// A Request describes an arriving call to the state machine (core/instance).
type Request struct {
	ID             ID
	Service        string
	Plain          bool   // a call under /services/, not a model call
	Path           string // path of a plain call below the service, or of a forwarded call
	Key            string // the key that identifies the caller, "" if none was sent
	IdempotencyKey string
	NotRepeatable  bool // the caller marked the call as one that must not be retried
	Replayable     bool // the body can be sent a second time
	PromptTokens   int
	MaxTokens      int
	Prefix         choose.Prefix
	Forward        *ForwardRequest // nil for calls of the product's own interface
}

// A ForwardRequest holds what the request of a forwarded call carries in addition.
type ForwardRequest struct {
	Name string // the caller's identifier of the call, for logs
	// Fingerprint identifies the request; it is the same each time that the caller
	// sends it.
	Fingerprint crash.Fingerprint
	Host        string
	Model       string // "" if the call names none
	Adapter     string
	Parts       []route.PromptPart // shared parts of the prompt, in order
	LengthHint  int                // expected number of tokens of the answer, 0 if unknown
	Deadline    time.Duration      // how long the caller waits; 0 if it does not say
	LastEvent   int                // number of the last event of the stream that the caller has, 0 if none
	Resumes     string             // Name of the call that brought the stream's first event, "" if not stated
	// Ignored lists the headers that were invalid and are treated as absent.
	Ignored []string
}

// Identity returns what identifies the request in reports of crashes.
func (r *ForwardRequest) Identity() crash.Request {
	parts := make([]crash.PartID, 0, len(r.Parts))
	for _, p := range r.Parts {
		parts = append(parts, crash.PartID(p.ID))
	}
	return crash.NewRequest(r.Fingerprint, r.Model, parts)
}

// A Phase is the current phase of a call.
type Phase int

// The phases.
const (
	ClaimingKey    Phase = iota + 1 // its idempotency key is being claimed
	Waiting                         // it is choosing a replica or waits in the queue
	Running                         // it was sent to a replica
	AwaitingOrder                   // it waits for an order to load its item
	Probing                         // it waits for engines to report their load
	AwaitingPermit                  // it waits for a permit for a rate-limited replica or a retry
	AwaitingOrigin                  // it waits to learn which version began the stream that it takes up
)

// A Call is one call in progress.
type Call struct {
	Request
	Kind  *Handlers
	State any // private to the package that handles this kind of call

	Item     string        // model or adapter that must be ready; "" if it needs none
	Target   time.Duration // latency target: from arrival to the first piece of the answer
	Priority int           // higher goes first
	Arrived  clock.Instant
	Expires  clock.Instant // when the call is ended, whatever its phase; zero: never

	Phase    Phase
	History  attempt.History
	Replica  string           // name of the replica that runs the call
	Life     pool.Incarnation // incarnation of Replica when the attempt started
	Started  clock.Instant    // start of the last attempt
	Answered bool             // the first piece of the answer arrived
}

// Handlers holds the functions that implement one kind of call.
type Handlers struct {
	// FindReplica sends the call to the best replica, queues it, or refuses it.
	FindReplica func(now clock.Instant, c *Call)
	// AnswerBegan is called when the first piece of the answer arrives.
	AnswerBegan func(now clock.Instant, c *Call)
	// AttemptFailed retries, resumes or ends a call after a failed attempt.
	AttemptFailed func(now clock.Instant, c *Call, f AttemptFailed)
	// Served is called when the answer is complete.
	Served func(now clock.Instant, c *Call, e Completed)
	// Left is called when the caller disconnects while the call runs at r.
	Left func(now clock.Instant, c *Call, r *pool.Replica)
	// Cancel makes r stop working on the call.
	Cancel func(c *Call, r *pool.Replica)
	// NotRun is called for a call that ends and certainly did not run.
	NotRun func(c *Call)
	// LeftQueue is called when the call no longer waits in the queue.
	LeftQueue func(c *Call)
}

// Label returns the name of the call in logs: the caller's identifier if there is
// one, else the call's ID.
func (c *Call) Label() any {
	if c.Forward != nil {
		return c.Forward.Name
	}
	return uint64(c.ID)
}

// Dispatch returns the action that sends the call to r, without the fields that
// depend on the kind of call. stall is how long the replica may send nothing during
// its answer.
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

// Late reports whether the call's latency target has passed.
func (c *Call) Late(now clock.Instant) bool { return now.Since(c.Arrived) > c.Target }

// NotRunRefusal returns the refusal of a call that certainly did not run. after is
// the delay before the caller should retry.
func NotRunRefusal(c code.Code, detail string, after time.Duration) code.Refusal {
	return code.Refusal{Code: c, Run: code.NotRun, RetryAfter: after, Detail: detail}
}

// CheckAdmission reports whether this instance admits calls at all; if not, it also
// returns the refusal. refusing means that the instance is stopping, configured that
// it has a configuration.
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

// Package relay sends attempts of calls to replicas on behalf of other instances, which cannot
// reach these replicas over their own links.
//
// The instance at which a call arrived decides everything about it: the replica, retries, the
// retry budget, what its caller is told. This package only lets its attempt through, if this
// instance reaches the replica and may send to it, and reports what the attempt shows of the
// link. A relayed attempt is never relayed again.
package relay

import (
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/quarantine"
	"github.com/birchdrift/birchdrift/core/rejectbudget"
	"github.com/birchdrift/birchdrift/core/shared"
)

// maxRelayed is the number of attempts that an instance relays at the same time. Each takes two
// connections.
const maxRelayed = 512

type (
	// Requested is the event that a peer asks this instance to relay an attempt. It is
	// answered by a Decided with the same Token.
	Requested struct {
		Token   uint64
		From    string // the peer
		Call    string // the caller's identifier of the call, for logs
		Replica string
		Request crash.Request
	}
	// Decided is the action that answers a Requested. If Failure is RelaySucceeded, the
	// attempt is sent to Address and followed by an Ended with the same Token.
	Decided struct {
		Token   uint64
		Address string // IP:port
		Failure links.RelayFailure
	}
	// Accepted is the event that the replica answered a relayed attempt, otherwise than by
	// rejecting it.
	Accepted struct{ Token uint64 }
	// Ended is the event that a relayed attempt has ended.
	Ended struct {
		Token   uint64
		Outcome Outcome
	}
)

// IsEvent implements step.Event.
func (Requested) IsEvent() {}

// IsAction implements step.Action.
func (Decided) IsAction() {}

// IsEvent implements step.Event.
func (Accepted) IsEvent() {}

// IsEvent implements step.Event.
func (Ended) IsEvent() {}

// An Outcome says what a relayed attempt shows of the link to its replica.
type Outcome int

// The outcomes.
const (
	Unknown           Outcome = iota // nothing: its sender canceled it, or the answer broke off without a reset
	Answered                         // the replica answered
	Severed                          // the replica, or its machine, closed the connection within the answer
	SeveredUnanswered                // the same before the answer
	Unanswered                       // the connection failed in another way before the answer
	TimedOut                         // nothing answered the attempt to connect
	Refused                          // the attempt to connect was refused
)

// Deps are what a Relay needs from other modules.
type Deps struct {
	shared.State
	Links      *links.Tracker
	Quarantine *quarantine.Tracker
	// Rejections limits the requests that replicas must reject.
	Rejections *rejectbudget.Budget
	// Refusing reports whether this instance takes no more calls because it stops.
	Refusing func(now clock.Instant) bool
}

// A Relay relays the attempts of other instances.
type Relay struct {
	Deps
	inFlight map[uint64]relayed
}

// A relayed is one attempt in flight.
type relayed struct {
	replica pool.Incarnation
	request crash.Request
	sent    clock.Instant
}

// New returns a Relay without attempts in flight.
func New(deps Deps) *Relay { return &Relay{Deps: deps, inFlight: map[uint64]relayed{}} }

// Len returns the number of attempts in flight.
func (x *Relay) Len() int { return len(x.inFlight) }

// HandleRequest decides whether an attempt is relayed.
func (x *Relay) HandleRequest(now clock.Instant, e Requested) {
	r := x.Pool.Get(e.Replica)
	failure := x.check(now, e.From, r)
	d := Decided{Token: e.Token, Failure: failure}
	if failure == links.RelaySucceeded {
		d.Address = r.Address
		r.ExposeRelay(e.Token)
		x.inFlight[e.Token] = relayed{replica: r.Incarnation(), request: e.Request, sent: now}
	}
	x.Out.Log(logevent.CallRelayed, "call", e.Call, "from", e.From, "replica", e.Replica, "failure", failure.String(), "in_flight", len(x.inFlight))
	x.Out.Emit(d)
}

// check returns why an attempt to a replica cannot be relayed, RelaySucceeded if it can. A
// replica that asked this instance to send it nothing gets nothing on behalf of others either.
func (x *Relay) check(now clock.Instant, from string, r *pool.Replica) links.RelayFailure {
	switch {
	case x.Members.Get(from) == nil:
		return links.PeerUnreachable // it relays attempts of the fleet's instances only
	case x.Refusing(now) || len(x.inFlight) >= maxRelayed:
		return links.PeerBusy
	case r == nil || r.LinkBroken() || x.Links.Doubtful(r.Service) || r.NeedsTrial():
		return links.ReplicaUnreachable
	case !x.Rejections.MaySend(now, r):
		return links.ReplicaExposed
	default:
		return links.RelaySucceeded
	}
}

// HandleAccepted handles the answer of a replica to a relayed attempt.
func (x *Relay) HandleAccepted(e Accepted) {
	if r := x.replicaOf(e.Token); r != nil {
		r.RelayNotRejected(e.Token)
	}
}

// replicaOf returns the replica of an attempt in flight, nil if it has restarted since or the
// attempt has ended.
func (x *Relay) replicaOf(token uint64) *pool.Replica {
	a, ok := x.inFlight[token]
	if !ok {
		return nil
	}
	if r := x.Pool.Get(a.replica.Name); r != nil && r.Incarnation() == a.replica {
		return r
	}
	return nil
}

// HandleEnded handles the end of a relayed attempt.
func (x *Relay) HandleEnded(now clock.Instant, e Ended) {
	a := x.inFlight[e.Token]
	r := x.replicaOf(e.Token)
	delete(x.inFlight, e.Token)
	if r == nil {
		return
	}
	if e.Outcome == TimedOut || e.Outcome == Refused {
		r.RelayNotRejected(e.Token)
	}
	r.RelayEnded(e.Token)
	switch e.Outcome {
	case Answered:
		x.Links.Proven(now, r, a.sent)
	case Severed, SeveredUnanswered:
		x.Quarantine.Severed(now, a.request, r)
	case TimedOut, Refused:
		x.Links.Failed(now, r, e.Outcome == TimedOut)
	}
}

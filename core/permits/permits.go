// Package permits keeps all instances together to amounts that they share: what replicas
// take that name a limit, and the part of the retry budget of a service that belongs to no
// instance.
//
// Every request to a replica that names a limit, whatever it is, needs a permit; so does a
// repeat for which an instance's own part of the budget is used up. Permits are given out by
// one instance, the coordinator, which rendezvous hashing names; for a replica among those of
// its zone: whoever reaches the replica reaches that zone, and a zone that is cut off keeps
// its own. The coordinator has a token bucket, and lets those wait who can, the most urgent
// first.
//
// Nobody agrees on the coordinator. Where two instances hold themselves for it, or one is
// asked that does not, the one that is not the first in its own view, or has not been for a
// while, gives out less than half. So while a coordinator is replaced no more than one and a
// half times the amount is given out, which is what replicas bear and the budget leaves room
// for.
//
// What is not in the hands of an instance when it is cut off, falls asleep or ends is not its
// own: a permit is used at once or is void.
package permits

import (
	"cmp"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/shared"
)

const (
	// permitTTL is how long after it was given a permit may be used (docs/design/limits.md).
	permitTTL = 300 * time.Millisecond
	// peerBackoff is how long a coordinator that did not answer is passed over, and how long a
	// replica takes no request of a call that found it silent (docs/design/limits.md).
	peerBackoff = 2 * time.Second
	// prepareInterval spaces the looks for services whose repeats this instance gives out
	// (docs/design/limits.md).
	prepareInterval = time.Second
	// maxPeerAttempts is how many peers are asked in turn before the instance asks itself
	// (docs/design/limits.md).
	maxPeerAttempts = 2
	// orderRank is the rank of orders that change an engine's models, and of questions for
	// its state: before all calls, since an engine that is not ordered serves none of some
	// models (docs/design/limits.md).
	orderRank = -1
	// adapterRank is the rank of orders for adapters: after all calls. A call that needs one
	// takes two permits, so where they are short others are served more often
	// (docs/design/limits.md).
	adapterRank = pool.Ranks
	// maxOrderWait is how long an order waits for its turn (docs/design/limits.md).
	maxOrderWait = 5 * time.Second
)

// A Resource is what permits are for: requests to a replica that names a limit, or repeats
// of calls of a service.
type Resource struct {
	Replica pool.Incarnation
	Service string // "" for a replica's
}

// String names the subject for the log.
func (s Resource) String() string { return cmp.Or(s.Service, s.Replica.Name) }

// Compare orders subjects.
func (s Resource) Compare(other Resource) int {
	return cmp.Or(cmp.Compare(s.Service, other.Service), s.Replica.Compare(other.Replica))
}

// A Request asks for one permit.
type Request struct {
	Resource
	Zone string // of the replica
	Rank int    // of urgency, 0 first
	Wait time.Duration
	// Alone says that nothing else can serve the call: its caller is told when to come back
	// if it is turned away.
	Alone bool
	// Unused says that a permit is given back, rather than asked for.
	Unused bool
	Word   pool.LimitReport // of the replica's limit, as known to who asks
}

// A Decision answers a Request.
type Decision struct {
	Granted bool
	Held    time.Duration // for which the request waited
	Turn    time.Duration // until one more request could be sent
	// After is when a caller that is turned away for this should come back.
	After time.Duration
	Word  pool.LimitReport // as known to who answers
}

type (
	// SendRequest is an action: ask a peer for a permit.
	SendRequest struct {
		Token   uint64
		Peer    string
		Address string // of the peer
		Request Request
	}
	// Reply is the event that answers an Ask.
	Reply struct {
		Token   uint64
		Verdict Decision
		Err     error
	}
	// RequestReceived is the event that a peer asks for a permit. It is answered with an Answer of
	// the same Token.
	RequestReceived struct {
		Token   uint64
		From    string
		Request Request
	}
	// SendReply is the action that answers an Asked.
	SendReply struct {
		Token   uint64
		Verdict Decision
	}
)

// IsAction implements step.Action.
func (SendRequest) IsAction() {}

// IsAction implements step.Action.
func (SendReply) IsAction() {}

// IsEvent implements step.Event.
func (Reply) IsEvent() {}

// IsEvent implements step.Event.
func (RequestReceived) IsEvent() {}

// Deps are what permits need of the other modules. The functions must be set before the
// first event.
type Deps struct {
	shared.State

	// Instances returns the instances of the fleet that have a record, by name.
	Instances func() map[string]registry.Instance
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// Told takes in what a peer knows of a replica's limit.
	Told func(now clock.Instant, from string, life pool.Incarnation, w pool.LimitReport)
	// Repeats returns how many repeats of a service's calls belong to no instance in each
	// span of the retry budget.
	Repeats func() (amount float64, span time.Duration)
	// Decided is told what came of a call's request for a permit.
	Decided func(now clock.Instant, call calls.ID, s Resource, v Decision)
}

// Permits are one instance's permits: those that it asks for, and those that it gives out.
type Permits struct {
	Deps
	coordinator  coordinator
	pending      map[uint64]*pendingRequest
	lastToken    uint64
	backoffUntil map[string]clock.Instant // peers that did not answer, until when they are passed over
	orderPermits map[orderKind]orderPermit
	prepareDue   clock.Instant
	views        []fleetView // of the fleet, one for each standEvery, the newest last
}

// An pendingRequest is a request for a permit that is under way.
type pendingRequest struct {
	request  Request
	call     calls.ID  // 0: for orders
	order    orderKind // else the zero value
	sentAt   clock.Instant
	peer     string // "" while this instance asks itself
	attempts int    // that were asked before
}

// An orderKind is an engine's orders of one rank.
type orderKind struct {
	engine  string
	adapter bool // for adapters; else for models, and questions
}

// An orderPermit is what an engine's owner has or asked for.
type orderPermit struct {
	incarnation pool.Incarnation
	pending     bool
	validUntil  clock.Instant // until when the permit at hand may be used; zero: none is at hand
}

// New returns permits of which none was asked for.
func New(n Deps) *Permits {
	p := &Permits{
		Deps: n, pending: map[uint64]*pendingRequest{}, backoffUntil: map[string]clock.Instant{}, orderPermits: map[orderKind]orderPermit{},
	}
	p.coordinator = coordinator{p: p, buckets: map[Resource]*bucket{}}
	return p
}

// RequestForCall asks for a permit to send a call to a replica, within wait; alone says that nothing
// else can serve it. Decided is told of the outcome, perhaps before RequestForCall returns.
func (p *Permits) RequestForCall(now clock.Instant, r *pool.Replica, call calls.ID, rank int, wait time.Duration, alone bool) {
	request := replicaRequest(r, rank, wait)
	request.Alone = alone
	p.dispatch(now, &pendingRequest{request: request, call: call})
}

func replicaRequest(r *pool.Replica, rank int, wait time.Duration) Request {
	return Request{Resource: Resource{Replica: r.Incarnation()}, Zone: r.Zone, Rank: min(rank, adapterRank), Wait: max(0, wait), Word: r.LimitReport()}
}

// RequestForRetry asks for a permit to repeat a call of a service, within wait. Decided is told of
// the outcome, perhaps before RequestForRetry returns.
func (p *Permits) RequestForRetry(now clock.Instant, service string, call calls.ID, rank int, wait time.Duration) {
	request := Request{Resource: Resource{Service: service}, Rank: rank, Wait: max(0, wait)}
	p.dispatch(now, &pendingRequest{request: request, call: call})
}

// TryAcquireForOrder reports whether an order may be sent to an engine now, for an adapter or for a
// model, or a question for its state. Where a permit is needed and none is at hand, one is
// asked for; it is at hand later.
func (p *Permits) TryAcquireForOrder(now clock.Instant, engine string, adapter bool) bool {
	r := p.Pool.Get(engine)
	if r == nil {
		return true
	}
	if _, limited := r.RateLimit(now); !limited {
		return true
	}
	kind := orderKind{engine, adapter}
	o := p.orderPermits[kind]
	if o.incarnation == r.Incarnation() {
		if now.Before(o.validUntil) {
			delete(p.orderPermits, kind)
			return true
		}
		if o.pending {
			return false
		}
	}
	rank := orderRank
	if adapter {
		rank = adapterRank
	}
	p.orderPermits[kind] = orderPermit{incarnation: r.Incarnation(), pending: true}
	p.dispatch(now, &pendingRequest{request: replicaRequest(r, rank, maxOrderWait), order: kind})
	o = p.orderPermits[kind] // it may be at hand already
	if !now.Before(o.validUntil) {
		return false
	}
	delete(p.orderPermits, kind)
	return true
}

// dispatch sends a request to the replica's coordinator, or takes it in here.
func (p *Permits) dispatch(now clock.Instant, a *pendingRequest) {
	p.lastToken++
	token := p.lastToken
	p.pending[token] = a
	a.sentAt = now
	a.peer = p.choosePeer(now, a)
	if a.peer == "" {
		p.coordinator.admit(now, queuedRequest{localToken: token, request: a.request})
		return
	}
	p.send(now, token, a.peer, a.request)
}

// send asks a peer.
func (p *Permits) send(now clock.Instant, token uint64, peer string, r Request) {
	r.Word.EventTime = r.Word.ForWire(now)
	p.Out.Emit(SendRequest{Token: token, Peer: peer, Address: p.Members.Get(peer).Address, Request: r})
}

// choosePeer returns the peer to ask, "" for this instance itself.
func (p *Permits) choosePeer(now clock.Instant, a *pendingRequest) string {
	if a.attempts >= maxPeerAttempts {
		return ""
	}
	if first := p.coordinatorFor(now, a.request); first != p.Self.Name {
		return first
	}
	return ""
}

// HandleReply takes in a peer's answer, or that none came. Another is asked then.
func (p *Permits) HandleReply(now clock.Instant, e Reply) {
	a := p.pending[e.Token]
	if a == nil {
		return
	}
	delete(p.pending, e.Token)
	if e.Err != nil {
		p.Out.Log(logevent.PermitFailed, "for", a.request.Resource.String(), "peer", a.peer, "error", e.Err.Error())
		p.backoffUntil[a.peer] = now.Add(peerBackoff)
		p.retry(now, a)
		return
	}
	p.observeLimit(now, a.peer, a.request.Replica, e.Verdict.Word)
	p.deliver(now, a, e.Verdict)
}

// retry asks another instance, unless nobody waits for that: a call that another replica can
// serve goes there.
func (p *Permits) retry(now clock.Instant, a *pendingRequest) {
	a.request.Wait -= now.Since(a.sentAt)
	if a.request.Wait <= 0 {
		p.deliver(now, a, Decision{Turn: peerBackoff, After: peerBackoff})
		return
	}
	a.attempts++
	p.dispatch(now, a)
}

// deliver passes on what came of a request. A permit that was long on its way, since this
// instance slept for instance, is void.
func (p *Permits) deliver(now clock.Instant, a *pendingRequest, v Decision) {
	v.Granted = v.Granted && now.MaxElapsed(a.sentAt)-v.Held < permitTTL
	if r := p.Pool.Get(a.request.Replica.Name); r != nil {
		r.SetNextSend(now.Add(v.Turn))
	}
	if a.call != 0 {
		p.Decided(now, a.call, a.request.Resource, v)
		return
	}
	o := p.orderPermits[a.order]
	o.pending = false
	if v.Granted {
		o.validUntil = now.Add(permitTTL)
	}
	p.orderPermits[a.order] = o
}

// Release returns a permit that is not used.
func (p *Permits) Release(now clock.Instant, s Resource) {
	request := Request{Resource: s, Unused: true}
	if r := p.Pool.Get(s.Replica.Name); r != nil {
		request.Zone = r.Zone
	}
	first := p.coordinatorFor(now, request)
	if first == p.Self.Name {
		p.coordinator.release(now, s)
		return
	}
	p.send(now, 0, first, request)
}

// observeLimit takes in what a peer knows of a replica's limit, if it knows of one.
func (p *Permits) observeLimit(now clock.Instant, from string, life pool.Incarnation, w pool.LimitReport) {
	if !w.IsZero() {
		w.EventTime = w.FromWire(now)
		p.Told(now, from, life, w)
	}
}

// HandleRequest takes in a peer's request.
func (p *Permits) HandleRequest(now clock.Instant, e RequestReceived) {
	p.observeLimit(now, e.From, e.Request.Replica, e.Request.Word)
	if e.Request.Unused {
		p.coordinator.release(now, e.Request.Resource)
		p.Out.Emit(SendReply{Token: e.Token})
		return
	}
	p.coordinator.admit(now, queuedRequest{peerToken: e.Token, request: e.Request})
}

// Tick gives out what has become due, and gives back what was not used.
func (p *Permits) Tick(now clock.Instant) {
	if !now.Before(p.prepareDue) {
		p.prepareDue = now.Add(prepareInterval)
		p.recordView(now)
		p.coordinator.prepareBuckets(now)
	}
	p.coordinator.tick(now)
	for kind, o := range p.orderPermits {
		if !o.pending && !now.Before(o.validUntil) {
			delete(p.orderPermits, kind)
		}
	}
}

// Waiting reports whether a request waits here for its turn.
func (p *Permits) Waiting() bool { return p.coordinator.hasQueued() }

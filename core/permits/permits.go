// Package permits enforces limits that all instances share: the rate limits of replicas,
// and the retry budgets of services.
//
// Every request of any kind to a rate-limited replica needs a permit. One instance, the
// coordinator, grants the permits of a replica; it is chosen by rendezvous hashing in the
// replica's zone: an instance that can reach the replica can reach that zone, and a
// partitioned zone keeps its own coordinator. The coordinator has a token bucket for each
// replica and queues the requests that can wait, the most urgent first.
//
// The instances do not elect a coordinator by agreement. Two instances may both consider
// themselves the coordinator, or an instance may get a request without being the
// coordinator in its own view. An instance that is not the coordinator in its own view,
// or became the coordinator only recently, grants less than half of the limit. So while
// a coordinator is replaced at most one and a half times the limit is granted, which
// replicas tolerate.
//
// The retry budget allows for no such excess, so its parts have no coordinator
// (core/retrybudget). An instance that has used up its own part asks a few others for a
// retry of theirs.
//
// No permit outlives a partition, a suspension or the end of an instance: a permit that
// is not used within permitTTL is void.
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
	// permitTTL is how long after it was granted a permit may be used
	// (docs/design/limits.md).
	permitTTL = 300 * time.Millisecond
	// peerBackoff is how long a coordinator that did not answer is skipped. It is also how
	// long a call avoids a replica whose coordinator did not answer the call's request in
	// time (docs/design/limits.md).
	peerBackoff = 2 * time.Second
	// prepareInterval is the interval at which the instance records its view of the fleet
	// and prepares the buckets of the resources that it coordinates
	// (docs/design/limits.md).
	prepareInterval = time.Second
	// maxPeerAttempts is how many peers are tried in turn before the instance decides by
	// itself (docs/design/limits.md).
	maxPeerAttempts = 2
	// orderRank is the rank of orders for models and of queries for an engine's state.
	// They precede all calls, since an engine without orders cannot serve some of the
	// models (docs/design/limits.md).
	orderRank = -1
	// adapterRank is the rank of orders for adapters. They follow all calls: a call that
	// needs an adapter loaded takes two permits, so while permits are scarce the calls
	// that need only one go first (docs/design/limits.md).
	adapterRank = pool.Ranks
	// maxOrderWait is the longest time that an order waits for its permit
	// (docs/design/limits.md).
	maxOrderWait = 5 * time.Second
)

// A Resource is what a permit is for: requests to a rate-limited replica, or a retry of a
// call of a service.
type Resource struct {
	Replica pool.Incarnation
	Service string // empty if the resource is a replica
}

// String returns the name of the resource for logs.
func (r Resource) String() string { return cmp.Or(r.Service, r.Replica.Name) }

// Compare orders resources by service, then by incarnation of the replica.
func (r Resource) Compare(other Resource) int {
	return cmp.Or(cmp.Compare(r.Service, other.Service), r.Replica.Compare(other.Replica))
}

// A Request asks for one permit or releases one.
type Request struct {
	Resource
	Zone string        // zone of the replica
	Rank int           // priority rank, 0 is the most urgent
	Wait time.Duration // longest time that the request may be queued
	// Alone reports that no other replica can serve the call. Its caller is told when to
	// retry if the request is denied.
	Alone bool
	// Unused marks the release of a permit instead of a request for one.
	Unused bool
	Word   pool.LimitReport // the replica's rate limit as known to the sender
	// Retries is how many retries of the service are asked for; a part of one is enough.
	Retries float64
}

// A Decision is the coordinator's reply to a Request.
type Decision struct {
	Granted bool
	Held    time.Duration // time for which the request was queued
	Turn    time.Duration // time until one more request could be sent
	// After is the time after which the caller of a denied request should retry.
	After time.Duration
	Word  pool.LimitReport // the replica's rate limit as known to the coordinator
	// Retries is how many retries were lent.
	Retries float64
	// By is the instance that decided. The instance that sent the request sets it.
	By string
}

type (
	// SendRequest is the action that sends a request for a permit to a peer.
	SendRequest struct {
		Token   uint64
		Peer    string
		Address string // address of the peer
		Request Request
	}
	// Reply is the event that answers a SendRequest.
	Reply struct {
		Token   uint64
		Verdict Decision
		Err     error
	}
	// RequestReceived is the event that a peer requests a permit. It is answered by a
	// SendReply with the same Token.
	RequestReceived struct {
		Token   uint64
		From    string
		Request Request
	}
	// SendReply is the action that answers a RequestReceived.
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

// Deps holds what Permits needs from other modules. The functions must be set before the
// first event.
type Deps struct {
	shared.State

	// Instances returns the registered instances of the fleet by name.
	Instances func() map[string]registry.Instance
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// Told records what a peer knows of a replica's rate limit.
	Told func(now clock.Instant, from string, incarnation pool.Incarnation, report pool.LimitReport)
	// RetriesLeft returns how many retries of a service this instance has left.
	RetriesLeft func(now clock.Instant, service string) float64
	// TakeRetries takes at most the given number of the retries of a service that this instance
	// has left, and returns how many it took.
	TakeRetries func(now clock.Instant, service string, most float64) float64
	// Decided is called with the decision on a call's request.
	Decided func(now clock.Instant, call calls.ID, r Resource, d Decision)
}

// Permits requests the permits that this instance needs and, as coordinator, grants
// permits to all instances.
type Permits struct {
	Deps
	coordinator  coordinator
	pending      map[uint64]*pendingRequest
	lastToken    uint64
	backoffUntil map[string]clock.Instant    // unresponsive peers, and until when they are skipped
	emptyLenders map[lenderKey]clock.Instant // until when they are not asked for retries
	orderPermits map[orderKind]orderPermit
	prepareDue   clock.Instant
	views        []fleetView // recent views of the fleet, one per prepareInterval, the newest last
}

// A pendingRequest is an undecided request of this instance.
type pendingRequest struct {
	request  Request
	call     calls.ID  // 0 if the request is for orders
	order    orderKind // zero value if the request is for a call
	sentAt   clock.Instant
	peer     string   // "" while this instance decides by itself
	attempts int      // peers tried before this one
	lenders  []string // peers that were asked for retries
	borrowed float64  // retries that they lent
}

// An orderKind identifies the orders to one engine that share a rank.
type orderKind struct {
	engine  string
	adapter bool // orders for adapters; otherwise orders for models and state queries
}

// An orderPermit is the permit for one kind of orders that this instance, as the owner of
// the engine, has or has requested.
type orderPermit struct {
	incarnation pool.Incarnation
	pending     bool
	validUntil  clock.Instant // until when the available permit may be used; zero if there is none
}

// New returns Permits without pending requests.
func New(deps Deps) *Permits {
	p := &Permits{
		Deps: deps, pending: map[uint64]*pendingRequest{}, backoffUntil: map[string]clock.Instant{},
		emptyLenders: map[lenderKey]clock.Instant{}, orderPermits: map[orderKind]orderPermit{},
	}
	p.coordinator = coordinator{p: p, buckets: map[Resource]*bucket{}}
	return p
}

// RequestForCall requests a permit to send a call to a replica; the request is queued for
// at most wait. alone reports that no other replica can serve the call. Decided is called
// with the decision, possibly before RequestForCall returns.
func (p *Permits) RequestForCall(now clock.Instant, r *pool.Replica, call calls.ID, rank int, wait time.Duration, alone bool) {
	request := replicaRequest(r, rank, wait)
	request.Alone = alone
	p.dispatch(now, &pendingRequest{request: request, call: call})
}

// replicaRequest returns a request for a permit to send something to a replica.
func replicaRequest(r *pool.Replica, rank int, wait time.Duration) Request {
	return Request{Resource: Resource{Replica: r.Incarnation()}, Zone: r.Zone, Rank: min(rank, adapterRank), Wait: max(0, wait), Word: r.LimitReport()}
}

// TryAcquireForOrder reports whether an order for an adapter or a model, or a state
// query, may be sent to an engine now. If a permit is needed and available, it is used
// up. If none is available, one is requested, and a later call may succeed.
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
	o = p.orderPermits[kind] // the permit may already be available
	if !now.Before(o.validUntil) {
		return false
	}
	delete(p.orderPermits, kind)
	return true
}

// dispatch sends a request to the coordinator of its resource, or handles it here.
func (p *Permits) dispatch(now clock.Instant, req *pendingRequest) {
	p.lastToken++
	token := p.lastToken
	p.pending[token] = req
	req.sentAt = now
	req.peer = p.choosePeer(now, req)
	if req.peer == "" {
		p.coordinator.admit(now, queuedRequest{localToken: token, request: req.request})
		return
	}
	p.send(now, token, req.peer, req.request)
}

// send sends a request to a peer.
func (p *Permits) send(now clock.Instant, token uint64, peer string, r Request) {
	r.Word.EventTime = r.Word.ForWire(now)
	p.Out.Emit(SendRequest{Token: token, Peer: peer, Address: p.Members.Get(peer).Address, Request: r})
}

// choosePeer returns the peer to send the request to, "" if this instance decides by
// itself.
func (p *Permits) choosePeer(now clock.Instant, req *pendingRequest) string {
	if req.attempts >= maxPeerAttempts {
		return ""
	}
	if coordinator := p.coordinatorFor(now, req.request); coordinator != p.Self.Name {
		return coordinator
	}
	return ""
}

// HandleReply handles a peer's reply, or its absence. If there was none, it tries another
// instance.
func (p *Permits) HandleReply(now clock.Instant, e Reply) {
	req := p.pending[e.Token]
	if req == nil {
		return
	}
	delete(p.pending, e.Token)
	if e.Err != nil {
		p.Out.Log(logevent.PermitFailed, "for", req.request.Resource.String(), "peer", req.peer, "error", e.Err.Error())
		p.backoffUntil[req.peer] = now.Add(peerBackoff)
		if req.request.Service != "" {
			p.borrow(now, req)
			return
		}
		p.retry(now, req)
		return
	}
	p.observeLimit(now, req.peer, req.request.Replica, e.Verdict.Word)
	if req.request.Service != "" {
		p.addBorrowed(now, req, e.Verdict.Retries)
		return
	}
	p.deliver(now, req, e.Verdict)
}

// retry sends the request to another instance, unless its wait has expired. If another
// replica can serve the call, the wait ends when that replica would be as fast, and the
// denial sends the call there.
func (p *Permits) retry(now clock.Instant, req *pendingRequest) {
	req.request.Wait -= now.Since(req.sentAt)
	if req.request.Wait <= 0 {
		p.deliver(now, req, Decision{Turn: peerBackoff, After: peerBackoff})
		return
	}
	req.attempts++
	p.dispatch(now, req)
}

// deliver passes on the decision on a request. A permit that took too long to arrive, for
// instance because this instance was suspended, is void.
func (p *Permits) deliver(now clock.Instant, req *pendingRequest, d Decision) {
	d.Granted = d.Granted && now.MaxElapsed(req.sentAt)-d.Held < permitTTL
	d.By = cmp.Or(req.peer, p.Self.Name)
	if r := p.Pool.Get(req.request.Replica.Name); r != nil {
		r.SetNextSend(now.Add(d.Turn))
	}
	if req.call != 0 {
		p.Decided(now, req.call, req.request.Resource, d)
		return
	}
	o := p.orderPermits[req.order]
	o.pending = false
	if d.Granted {
		o.validUntil = now.Add(permitTTL)
	}
	p.orderPermits[req.order] = o
}

// Release gives back a permit for a replica that will not be used.
func (p *Permits) Release(now clock.Instant, resource Resource) {
	request := Request{Resource: resource, Unused: true}
	if r := p.Pool.Get(resource.Replica.Name); r != nil {
		request.Zone = r.Zone
	}
	coordinator := p.coordinatorFor(now, request)
	if coordinator == p.Self.Name {
		p.coordinator.release(now, resource)
		return
	}
	p.send(now, 0, coordinator, request)
}

// observeLimit records what a peer knows of a replica's rate limit, if it knows one.
func (p *Permits) observeLimit(now clock.Instant, from string, incarnation pool.Incarnation, report pool.LimitReport) {
	if !report.IsZero() {
		report.EventTime = report.FromWire(now)
		p.Told(now, from, incarnation, report)
	}
}

// HandleRequest handles a peer's request.
func (p *Permits) HandleRequest(now clock.Instant, e RequestReceived) {
	if e.Request.Service != "" {
		p.lend(now, e)
		return
	}
	p.observeLimit(now, e.From, e.Request.Replica, e.Request.Word)
	if e.Request.Unused {
		p.coordinator.release(now, e.Request.Resource)
		p.Out.Emit(SendReply{Token: e.Token})
		return
	}
	p.coordinator.admit(now, queuedRequest{peerToken: e.Token, request: e.Request})
}

// Tick records the view of the fleet and prepares buckets every prepareInterval, processes
// the queues, and drops unused order permits that have expired.
func (p *Permits) Tick(now clock.Instant) {
	if !now.Before(p.prepareDue) {
		p.prepareDue = now.Add(prepareInterval)
		p.recordView(now)
		p.dropEmptyLenders(now)
		p.coordinator.prepareBuckets(now)
	}
	p.coordinator.tick(now)
	for kind, o := range p.orderPermits {
		if !o.pending && !now.Before(o.validUntil) {
			delete(p.orderPermits, kind)
		}
	}
}

// Waiting reports whether a request is queued at this instance.
func (p *Permits) Waiting() bool { return p.coordinator.hasQueued() }

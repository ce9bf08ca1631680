// Package planner decides which models and adapters are resident on the engines of
// one availability zone, in the product's own environment.
//
// One instance of a zone, the holder of the zone's lease, plans for it and orders
// its engines. It keeps a ledger of each engine's memory (core/own/book), in
// which nothing is free until the engine's fence was raised and its state read.
// Engines that do not check fences are ordered only after the order stands as an
// intent in the platform's service. Every instance also takes part in reading the
// engines' states.
//
// On the users' platform nothing of this runs: see core/ownership, core/owned and
// core/placement.
package planner

import (
	"github.com/birchdrift/birchdrift/core/backoff"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/own/book"
	"github.com/birchdrift/birchdrift/core/own/choose"
	"github.com/birchdrift/birchdrift/core/own/lease"
	"github.com/birchdrift/birchdrift/core/own/meter"
	"github.com/birchdrift/birchdrift/core/own/plan"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/step"
)

// leaseCandidates is how many instances of a zone seek its planner's lease.
const leaseCandidates = 2

// Deps are what the planner needs of the other modules.
type Deps struct {
	shared.State

	Chooser *choose.Chooser
	Meter   *meter.Meter
	Totals  *demand.Totals
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// TellSoon has the next exchanges begun soon, TellAll at once; Tell begins one
	// with a peer, if there is one.
	TellSoon func(now clock.Instant)
	TellAll  func(now clock.Instant)
	Tell     func(now clock.Instant, p *member.Peer)
	// Leaving is told of each engine that says for the first time that it is
	// leaving.
	Leaving func(r gossip.Residency)
}

// A Planner is one instance's part in the planning for its zone.
type Planner struct {
	Deps
	lease lease.Lease
	job   step.Job // seeking and renewing the lease
	zone  zoneView
	tenure
	reads reads

	planDue          clock.Instant
	residentSince    map[placement]clock.Instant // when a placement was first seen
	starvingServedAt clock.Instant               // when room was last made for a starving item
	doubtLogged      bool
	orderCounts      OrderCounts
	unmetReportedAt  clock.Instant // when the planner was last told of an unmet demand
	zonesNotifiedAt  clock.Instant // when other zones' planners were last told of it
}

// A tenure is the work under one grant of the lease; it ends with it.
type tenure struct {
	fence   uint64 // under which the ledgers were begun; 0 if none were
	seq     uint64 // of the last order
	ledgers map[string]*book.Ledger
	retries map[string]*orderRetry
	intents intentView
	loads   loadBudget
}

func newTenure() tenure {
	return tenure{ledgers: map[string]*book.Ledger{}, retries: map[string]*orderRetry{}}
}

// A placement is an item on an engine.
type placement struct{ engine, item string }

// A orderRetry spaces what one engine must be sent again and again until it answers:
// the fence before it is planned for, and orders whose answers are lost.
type orderRetry struct {
	backoff backoff.Backoff
	due     clock.Instant
}

// OrderCounts counts the orders that engines have taken.
type OrderCounts struct {
	Loads   int
	Unloads int
}

// An intentView is the holder's copy of the zone's outstanding intents.
type intentView struct {
	owned    bool // they were read and rewritten under this fence
	revision uint64
	list     []Intent
	inFlight bool
	reread   bool // the value must be read before it is written again
	due      clock.Instant
	dirty    bool // list differs from what the platform holds
	queued   []book.Order
}

// A loadBudget spaces loads by the zone's share of the weight store.
type loadBudget struct {
	tokens     float64
	refilledAt clock.Instant
}

// New returns the planner of an instance that does not hold the lease.
func New(n Deps) *Planner {
	return &Planner{
		Deps:          n,
		lease:         lease.New(n.Options.LeaseTerm),
		tenure:        newTenure(),
		reads:         newReads(),
		residentSince: map[placement]clock.Instant{},
	}
}

// ApplyConfig takes over a newer configuration.
func (p *Planner) ApplyConfig(s *config.Snapshot) {
	p.zone = newZoneView(s, p.Self.Zone)
	p.syncLedgers()
}

// Tick reads engines that are due, keeps the lease, and plans.
func (p *Planner) Tick(now clock.Instant) {
	p.readEnginesIfDue(now)
	p.maintainLease(now)
	p.plan(now)
}

// LeaseHolder returns who plans for this instance's zone, as far as is known.
func (p *Planner) LeaseHolder() string { return p.Records.LeaseHolder(p.Self.Zone).Instance }

// Lease returns whether the lease certainly is held, and the fence of its last
// grant.
func (p *Planner) Lease(now clock.Instant) (valid bool, fence uint64) {
	return p.lease.Valid(now), p.lease.Fence()
}

// OrderCounts returns the orders that engines have taken from this instance.
func (p *Planner) OrderCounts() OrderCounts { return p.orderCounts }

// FreeMiB returns the memory of an engine that nothing holds, by this planner's
// ledger; 0 if it has none.
func (p *Planner) FreeMiB(engine string) int64 {
	if l := p.ledgers[engine]; l != nil {
		return l.FreeMiB()
	}
	return 0
}

// ReleaseLease gives the lease back, at a planned stop.
func (p *Planner) ReleaseLease() {
	if !p.lease.Held() {
		return
	}
	fence := p.lease.Fence()
	p.Records.AddLeaseHolder("", gossip.LeaseHolder{Zone: p.Self.Zone, Fence: fence})
	p.lease = p.lease.WithLoss()
	p.endTenure()
	p.Out.Emit(ReleaseLease{Fence: fence})
}

// IsPlanner reports whether this instance plans for its zone: it was granted
// the lease and nobody has said that another holds it since.
func (p *Planner) IsPlanner() bool { return p.lease.Held() && p.fence != 0 }

// mayOrder reports whether the engine may be sent orders. One that checks
// fences arbitrates by itself: whoever holds a later lease has raised its
// fence first. One that does not is only ordered while the lease certainly is
// held and the zone's intents are this holder's.
func (p *Planner) mayOrder(now clock.Instant, r *pool.Replica) bool {
	if !p.IsPlanner() || p.Stopping() {
		return false
	}
	if r.ChecksFence {
		return true
	}
	return p.Options.Disable.Intents || p.lease.Valid(now) && p.intents.owned
}

func (p *Planner) maintainLease(now clock.Instant) {
	if p.Stopping() || len(p.zone.zones) == 0 || !p.job.Due(now) {
		return
	}
	switch {
	case p.lease.Held():
		p.logDoubt(now)
		if p.lease.RenewDue(now) {
			p.job.Begin(now)
			p.Out.Emit(RequestLease{Term: p.Options.LeaseTerm, Renew: p.lease.Fence()})
		}
	case p.Members.Assigned(now, "plan/"+p.Self.Zone, leaseCandidates):
		p.job.Begin(now)
		p.Out.Emit(RequestLease{Term: p.Options.LeaseTerm})
	}
}

func (p *Planner) logDoubt(now clock.Instant) {
	doubt := !p.lease.Valid(now)
	if doubt && !p.doubtLogged {
		p.Out.Log(logevent.LeaseInDoubt, "fence", p.lease.Fence())
	}
	p.doubtLogged = doubt
}

// HandleLeaseReply takes in what came of seeking the lease.
func (p *Planner) HandleLeaseReply(now clock.Instant, e LeaseReply) {
	p.Outage.Observe(now, e.Err)
	if e.Err != nil {
		p.job.End(now.Add(p.Outage.Wait(p.Rand)))
		return
	}
	p.job.End(now.Add(step.Jitter(p.Rand, p.Options.LeaseTerm/4)))
	if !e.Granted {
		p.loseLease(logevent.LeaseLost)
		return
	}
	p.lease = p.lease.WithGrant(e.Fence, e.Sent)
	if p.fence != p.lease.Fence() {
		p.startTenure(now)
	}
}

func (p *Planner) loseLease(why logevent.Number) {
	if p.lease.Held() {
		p.Out.Log(why, "fence", p.lease.Fence())
	}
	p.lease = p.lease.WithLoss()
	p.endTenure()
}

func (p *Planner) endTenure() { p.tenure = newTenure() }

// startTenure begins to plan under a new fence: ledgers in which nothing is free
// until each engine's fence is raised and its state read.
func (p *Planner) startTenure(now clock.Instant) {
	p.endTenure()
	p.fence = p.lease.Fence()
	p.seq = 0
	p.loads = loadBudget{refilledAt: now}
	p.Out.Log(logevent.LeaseGained, "fence", p.fence)
	p.Records.AddLeaseHolder("", gossip.LeaseHolder{Zone: p.Self.Zone, Instance: p.Self.Name, Fence: p.fence})
	p.TellAll(now)
	p.syncLedgers()
	p.intents.inFlight = true
	p.Out.Emit(ReadIntents{})
}

// syncLedgers gives every engine of the zone a ledger.
func (p *Planner) syncLedgers() {
	if p.fence == 0 {
		return
	}
	live := map[string]bool{}
	for _, r := range p.Pool.All() {
		if r.Kind != pool.Engine || r.Announced || r.Zone != p.Self.Zone {
			continue
		}
		live[r.Name] = true
		if p.ledgers[r.Name] == nil {
			p.ledgers[r.Name] = book.NewEngine(r.Name, r.MemoryMiB, r.ChecksFence)
			p.retries[r.Name] = &orderRetry{backoff: backoff.New(readBackoffBase, readBackoffMax)}
		}
	}
	for name := range p.ledgers {
		if !live[name] {
			delete(p.ledgers, name)
			delete(p.retries, name)
		}
	}
}

func (p *Planner) nextSeq() uint64 {
	p.seq++
	return p.seq
}

// planDue raises fences that are not raised yet, settles what is unconfirmed, then
// orders what the plan asks for.
func (p *Planner) plan(now clock.Instant) {
	if !p.IsPlanner() || p.Stopping() || now.Before(p.planDue) {
		return
	}
	p.planDue = now.Add(step.Jitter(p.Rand, p.Options.PlanEvery))
	p.Totals.Report(now, p.Self.Name, p.Meter.Demand(now))
	p.rereadIntentsIfDue(now)
	p.notifyFirstCopyZones(now)
	p.raiseFences(now)
	p.resendUnconfirmed(now)
	for _, s := range plan.Steps(p.planInput(now)) {
		p.executeStep(now, s)
	}
	p.flushIntents()
}

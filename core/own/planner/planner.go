// Package planner decides which models and adapters are resident on the engines of one
// availability zone, in the product's own environment.
//
// One instance of a zone, the holder of the zone's lease, plans for the zone and sends
// orders to its engines. It keeps a ledger of each engine's memory (core/own/book). The
// ledger has no free memory until the engine's fence was raised and its state read. An
// order to an engine that does not check fences is sent only after it was written to the
// platform's service as an intent. Every instance also takes part in reading the states
// of the engines.
//
// On the users' platform nothing of this package runs: see core/ownership, core/owned and
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

// leaseCandidates is the number of instances of a zone that request its planner lease.
const leaseCandidates = 2

// Deps are the modules and functions that the planner needs.
type Deps struct {
	shared.State

	Chooser *choose.Chooser
	Meter   *meter.Meter
	Totals  *demand.Totals
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// TellSoon starts the next exchanges soon and TellAll starts them immediately. Tell
	// starts an exchange with p unless p is nil.
	TellSoon func(now clock.Instant)
	TellAll  func(now clock.Instant)
	Tell     func(now clock.Instant, p *member.Peer)
	// Leaving is called with each new residency record, before the record is applied, and
	// logs an engine's first report that it is leaving.
	Leaving func(r gossip.Residency)
}

// A Planner is one instance's part in planning for its zone.
type Planner struct {
	Deps
	lease lease.Lease
	job   step.Job // requesting and renewing the lease
	zone  zoneView
	tenure
	reads readSchedule

	planDue            clock.Instant
	residentSince      map[placement]clock.Instant // when a placement was first seen
	starvingServedAt   clock.Instant               // when memory was last freed for a starving item
	leaseInDoubtLogged bool
	orderCounts        OrderCounts
	unmetReportedAt    clock.Instant // when unmet demand was last reported to the zone's planner
	zonesNotifiedAt    clock.Instant // when unmet demand was last reported to other zones' planners
}

// A tenure is the state that belongs to one grant of the lease and is discarded with it.
type tenure struct {
	fence   uint64 // fence of the grant; 0 if this instance does not plan
	seq     uint64 // sequence number of the last order
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

// An orderRetry spaces what must be sent to one engine repeatedly until it answers: the
// fence, before the engine is planned for, and orders whose answers are lost.
type orderRetry struct {
	backoff backoff.Backoff
	due     clock.Instant
}

// OrderCounts counts the orders that engines have accepted.
type OrderCounts struct {
	Loads   int
	Unloads int
}

// An intentView is the lease holder's copy of the zone's outstanding intents.
type intentView struct {
	owned    bool // the intents were read and rewritten under this fence
	revision uint64
	list     []Intent
	inFlight bool          // a read or write of the intents is in flight
	reread   bool          // the intents must be read again before they are written
	due      clock.Instant // earliest time of that read
	dirty    bool          // list differs from the platform's value
	queued   []book.Order  // orders that wait until their intents are written
}

// A loadBudget is a token bucket for loads, filled at the zone's share of the weight
// store's rate.
type loadBudget struct {
	tokens     float64
	refilledAt clock.Instant
}

// New returns the planner of an instance that does not hold the lease.
func New(deps Deps) *Planner {
	return &Planner{
		Deps:          deps,
		lease:         lease.New(deps.Options.LeaseTerm),
		tenure:        newTenure(),
		reads:         newReadSchedule(),
		residentSince: map[placement]clock.Instant{},
	}
}

// ApplyConfig applies a newer configuration.
func (p *Planner) ApplyConfig(s *config.Snapshot) {
	p.zone = newZoneView(s, p.Self.Zone)
	p.syncLedgers()
}

// Tick reads the engines that are due, requests or renews the lease, and plans.
func (p *Planner) Tick(now clock.Instant) {
	p.readEnginesIfDue(now)
	p.maintainLease(now)
	p.plan(now)
}

// ZonePlanner returns the name of the instance that plans for this instance's zone, or ""
// if it is unknown.
func (p *Planner) ZonePlanner() string { return p.Records.LeaseHolder(p.Self.Zone).Instance }

// Lease reports whether the lease is certain to be held, and returns the fence of its
// latest grant.
func (p *Planner) Lease(now clock.Instant) (valid bool, fence uint64) {
	return p.lease.Valid(now), p.lease.Fence()
}

// OrderCounts returns the numbers of orders from this instance that engines have
// accepted.
func (p *Planner) OrderCounts() OrderCounts { return p.orderCounts }

// FreeMiB returns an engine's free memory in MiB by this planner's ledger; 0 if it has no
// ledger of the engine.
func (p *Planner) FreeMiB(engine string) int64 {
	if l := p.ledgers[engine]; l != nil {
		return l.AvailableMiB()
	}
	return 0
}

// ReleaseLease releases the lease, if held, at a planned stop.
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

// IsPlanner reports whether this instance plans for its zone: it was granted the lease,
// and no report since has said that another instance holds it.
func (p *Planner) IsPlanner() bool { return p.lease.Held() && p.fence != 0 }

// mayOrder reports whether orders may be sent to the engine. An engine that checks fences
// arbitrates by itself, since the holder of a later lease has raised its fence first. An
// engine that does not check fences is sent orders only while the lease is certain to be
// held and the zone's intents were taken over by this holder.
func (p *Planner) mayOrder(now clock.Instant, r *pool.Replica) bool {
	if !p.IsPlanner() || p.Stopping() {
		return false
	}
	if r.ChecksFence {
		return true
	}
	return p.Options.Disable.Intents || p.lease.Valid(now) && p.intents.owned
}

// maintainLease requests or renews the lease when that is due.
func (p *Planner) maintainLease(now clock.Instant) {
	if p.Stopping() || len(p.zone.zones) == 0 || !p.job.Due(now) {
		return
	}
	switch {
	case p.lease.Held():
		p.logLeaseInDoubt(now)
		if p.lease.RenewDue(now) {
			p.job.Begin(now)
			p.Out.Emit(RequestLease{Term: p.Options.LeaseTerm, Renew: p.lease.Fence()})
		}
	case p.Members.Assigned(now, "plan/"+p.Self.Zone, leaseCandidates):
		p.job.Begin(now)
		p.Out.Emit(RequestLease{Term: p.Options.LeaseTerm})
	}
}

// logLeaseInDoubt logs, once until the lease is certain to be valid again, that a held
// lease is no longer certain to be valid.
func (p *Planner) logLeaseInDoubt(now clock.Instant) {
	inDoubt := !p.lease.Valid(now)
	if inDoubt && !p.leaseInDoubtLogged {
		p.Out.Log(logevent.LeaseInDoubt, "fence", p.lease.Fence())
	}
	p.leaseInDoubtLogged = inDoubt
}

// HandleLeaseReply handles the reply to a RequestLease.
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

// loseLease ends the tenure and logs event if the lease was held.
func (p *Planner) loseLease(event logevent.Number) {
	if p.lease.Held() {
		p.Out.Log(event, "fence", p.lease.Fence())
	}
	p.lease = p.lease.WithLoss()
	p.endTenure()
}

// endTenure discards the ledgers, retries, intents and load budget of the tenure.
func (p *Planner) endTenure() { p.tenure = newTenure() }

// startTenure starts planning under a new fence. No memory is free in the ledgers until
// each engine's fence was raised and its state read.
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

// syncLedgers creates ledgers for the engines of the zone that have none, and drops those
// of engines that are no longer configured.
func (p *Planner) syncLedgers() {
	if p.fence == 0 {
		return
	}
	configured := map[string]bool{}
	for _, r := range p.Pool.All() {
		if r.Kind != pool.Engine || r.Announced || r.Zone != p.Self.Zone {
			continue
		}
		configured[r.Name] = true
		if p.ledgers[r.Name] == nil {
			p.ledgers[r.Name] = book.NewLedger(r.Name, r.MemoryMiB, r.ChecksFence)
			p.retries[r.Name] = &orderRetry{backoff: backoff.New(readBackoffBase, readBackoffMax)}
		}
	}
	for name := range p.ledgers {
		if !configured[name] {
			delete(p.ledgers, name)
			delete(p.retries, name)
		}
	}
}

// nextSeq returns the sequence number for the next order under this fence.
func (p *Planner) nextSeq() uint64 {
	p.seq++
	return p.seq
}

// plan raises the fences that are not raised yet, resends unconfirmed orders, and then
// sends the orders of a new plan.
func (p *Planner) plan(now clock.Instant) {
	if !p.IsPlanner() || p.Stopping() || now.Before(p.planDue) {
		return
	}
	p.planDue = now.Add(step.Jitter(p.Rand, p.Options.PlanEvery))
	p.Totals.Report(now, p.Self.Name, p.Meter.CurrentDemand(now))
	p.rereadIntentsIfDue(now)
	p.notifyFirstCopyZones(now)
	p.raiseFences(now)
	p.resendUnconfirmed(now)
	for _, s := range plan.Steps(p.planInput(now)) {
		p.executeStep(now, s)
	}
	p.flushIntents()
}

// Package placement decides which models are loaded on which engines.
//
// One instance, the placer, decides for the fleet; the owners of the engines
// give the orders. Two placers at once can do no harm to an engine, only to the
// rate of loads from the weight store, so a new one waits with those until the
// former certainly has stopped. The owners of engines in a zone that is cut off
// from the placer bring in what their own callers miss, from weights that their
// engines have at hand.
//
// Changes is the decision itself; the Placer gathers its input, carries changes
// through, and counts loads from the weight store.
package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/orderclient"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/ownership"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/watchers"
)

const (
	// placementInterval spaces placements, unless a call finds its model nowhere.
	placementInterval = 200 * time.Millisecond
	// minPlacementGap is the least time between two placements even then.
	minPlacementGap = 40 * time.Millisecond
	// changeTimeout is how long a change may take before it is given up: the
	// slowest load of the users' models takes 6.4 s.
	changeTimeout = 10 * time.Second
	// orderTimeout is how long a change may go without an order that is carried out: its
	// engine's owner may have lost the right to order, or the way to the engine: four
	// tries, and above the time in which owners settle an order whose answer was lost.
	orderTimeout = 2 * time.Second
	// engineBackoff is how long an engine for which nobody gave orders is left out:
	// about the time in which another instance takes it over.
	engineBackoff = 3 * time.Second
	// orderRetryInterval is the least time between two requests for one order.
	orderRetryInterval = 400 * time.Millisecond
	// minCopyAge is the least age of a copy that makes way.
	minCopyAge = 3 * time.Second
	// demandWarmUp is how long a new placer learns the demand before it drops
	// copies for models that nobody misses.
	demandWarmUp = 3 * time.Second
	// missReportInterval is the least time between two words to the placer about models
	// that calls miss.
	missReportInterval = 100 * time.Millisecond
)

// Deps are what the placer needs of the other modules.
type Deps struct {
	shared.State

	// Registry says who is the placer, Asks gets orders from owners.
	Registry *ownership.Registry
	Asks     *orderclient.Client
	Roster   *watchers.Roster
	// OwnDemand is what this instance's own callers ask for, AllDemand what was heard
	// from all.
	OwnDemand *demand.Tracker
	AllDemand *demand.Totals
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// Tell has an exchange with a peer begun at once, if there is one; NextWatcher
	// names the instance of a zone whose turn it is, of those that watch.
	Tell        func(now clock.Instant, p *member.Peer)
	NextWatcher func(now clock.Instant, zone string) *member.Peer
}

// A Placer is one instance's part in the placement: idle, unless it is the
// placer or owns engines that are cut off from the placer.
type Placer struct {
	Deps
	due            clock.Instant
	placedAt       clock.Instant // when models were placed last
	missReportedAt clock.Instant // when the placer was last told of a missed model
	active         bool
	localOnly      bool          // placing for the own engines only, and only what is missed
	demandSince    clock.Instant // since when callers are known to ask for models
	loads          loadBudget
	changes        map[string]*change        // under way, by engine
	readySince     map[copyKey]clock.Instant // since when a copy is seen ready
	backoffUntil   map[string]clock.Instant  // until when an engine is left out
	// overLimit are the copies that the limits of their engines were too small for, when
	// models were placed last; by service.
	overLimit map[string]map[copyKey]bool
}

// A copyKey names a copy of a model on an engine.
type copyKey struct{ engine, item string }

// New returns a placer that has placed nothing.
func New(n Deps) *Placer {
	return &Placer{
		Deps: n, changes: map[string]*change{}, readySince: map[copyKey]clock.Instant{}, backoffUntil: map[string]clock.Instant{},
		overLimit: map[string]map[copyKey]bool{},
	}
}

// Tick seeks the placer's record while nobody holds it, and places models while
// this instance does.
func (p *Placer) Tick(now clock.Instant) {
	if p.Stopping() || !p.Config.Loaded() {
		return
	}
	p.Registry.ClaimPlacer(now)
	placing := p.Registry.IsPlacer(now)
	if !placing && !p.PlacerUnreachable(now) {
		if p.active {
			p.active = false
			p.changes = map[string]*change{}
		}
		return
	}
	p.start(now, !placing)
	if now.Before(p.due) || !p.placedAt.IsZero() && now.Since(p.placedAt) < minPlacementGap {
		return
	}
	p.placedAt = now
	p.due = now.Add(placementInterval)
	p.placeModels(now)
}

// start begins to place models, for the fleet or for the own engines alone, if
// that is not what it does already.
func (p *Placer) start(now clock.Instant, cutOff bool) {
	if p.active && p.localOnly == cutOff {
		return
	}
	p.active = true
	p.localOnly = cutOff
	p.changes = map[string]*change{}
	p.loads = newLoadBudget(now)
	if left, ok := p.Registry.HandedOverLoads(); ok && !cutOff {
		p.loads = inheritedBudget(now, left, p.Options)
	}
	p.demandSince = now
	p.Out.Log(logevent.Placing, "orphan", cutOff, "revision", p.Registry.Placer().Revision)
}

// LoadsLeft returns how many loads from the weight store this instance could begin now
// as the placer; without a configuration there is nothing to load.
func (p *Placer) LoadsLeft(now clock.Instant) float64 {
	if !p.Config.Loaded() {
		return 0
	}
	rate := p.loadRate()
	p.loads.refill(now, rate, p.Options)
	return p.loads.remaining(now, rate, p.Options)
}

// PlacerUnreachable reports whether this instance owns engines and the placer does not
// answer it.
func (p *Placer) PlacerUnreachable(now clock.Instant) bool {
	return p.Registry.Owned.Len() > 0 && p.Registry.MayOrder(now) && p.placerUnresponsive()
}

// placerUnresponsive reports whether the placer is another instance that does not
// answer this one.
func (p *Placer) placerUnresponsive() bool {
	peer := p.Members.Get(p.Registry.Placer().Name)
	return peer != nil && peer.Failing()
}

// placeModels goes on with the changes under way, then begins new ones.
func (p *Placer) placeModels(now clock.Instant) {
	p.AllDemand.Report(now, p.Self.Name, p.OwnDemand.Items(now))
	if len(p.AllDemand.Sum(now)) == 0 {
		p.demandSince = now
	}
	p.loads.refill(now, p.loadRate(), p.Options)
	p.trackReady(now)
	maps.DeleteFunc(p.backoffUntil, func(_ string, until clock.Instant) bool { return !now.Before(until) })
	for _, engine := range slices.Sorted(maps.Keys(p.changes)) {
		p.advance(now, p.changes[engine])
	}
	for _, svc := range p.Config.Document().Services {
		if svc.Announced == nil || svc.Announced.Engine == nil {
			continue
		}
		for _, c := range Plan(p.input(now, svc)) {
			p.Out.Log(logevent.Placement, "engine", c.Engine, "load", c.Load, "drop", c.Drop, "source", c.Source.String(),
				"worth", c.Value, "cost", c.Cost, "work", c.Work, "copies", c.Copies)
			ch := &change{Change: c, incarnation: p.engineState(c.Engine).incarnation, startedAt: now, progressAt: now}
			p.changes[c.Engine] = ch
			p.advance(now, ch)
		}
	}
}

// advance takes the next step of a change, and ends it if there is none.
func (p *Placer) advance(now clock.Instant, c *change) {
	engine := p.engineState(c.Engine)
	c.observe(now, engine)
	if o := c.outcome(now, engine); o != running {
		p.finish(now, c, o)
		return
	}
	request, due := c.nextOrder(now, engine)
	if !due {
		return
	}
	// A load is counted where it begins: what makes way may take seconds to go,
	// and loads that were planned over seconds would begin together.
	if request.Load && c.Source == pool.WeightStore && !c.loadCounted {
		if !p.loads.take() {
			c.progressAt = now // it waits for the store's rate
			return
		}
		c.loadCounted = true
	}
	p.requestOrder(now, c, request)
}

// engineState returns what an engine that is changed is known to hold.
func (p *Placer) engineState(name string) engineState {
	r := p.Pool.Get(name)
	if r == nil {
		return engineState{}
	}
	return engineState{incarnation: r.Incarnation(), usable: r.Usable(), phase: r.Phase}
}

// finish forgets a change that has ended.
func (p *Placer) finish(now clock.Instant, c *change, o outcome) {
	delete(p.changes, c.Engine)
	if o == notOrdered {
		p.backoffUntil[c.Engine] = now.Add(engineBackoff)
	}
	fields := []any{"engine", c.Engine, "load", c.Load, "detail", string(o)}
	if o == done {
		fields = append(fields, "took", now.Since(c.startedAt).String())
	}
	p.Out.Log(logevent.PlacementEnded, fields...)
}

// requestOrder asks the engine's owner for the order that a change needs next.
func (p *Placer) requestOrder(now clock.Instant, c *change, r orders.Request) {
	key := orderclient.Key{Engine: c.Engine, Request: r}
	if p.Asks.Pending(key) || !p.Asks.CanRequest(now, key) {
		return
	}
	c.requestedAt = now
	p.Asks.Request(now, key)
}

// trackReady notes since when copies are ready.
func (p *Placer) trackReady(now clock.Instant) {
	seen := map[copyKey]bool{}
	for _, r := range p.Pool.All() {
		if !r.Announced || r.Kind != pool.Engine {
			continue
		}
		for item, phase := range r.Items() {
			key := copyKey{r.Name, item}
			if phase != pool.Ready {
				continue
			}
			seen[key] = true
			if _, ok := p.readySince[key]; !ok {
				p.readySince[key] = now
			}
		}
	}
	maps.DeleteFunc(p.readySince, func(key copyKey, _ clock.Instant) bool { return !seen[key] })
}

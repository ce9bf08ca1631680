// Package placement decides which models are loaded on which engines.
//
// One instance, the placer, decides for the fleet; the owners of the engines send the
// orders. Two placers at the same time cannot harm an engine, they can only exceed the
// rate of loads from the weight store. A new placer therefore starts no such loads until
// the former one has certainly stopped. If a zone is partitioned from the placer, the
// owners of engines there load the models that their own callers miss, from weights on
// the engines' disks or in their host memory.
//
// Plan makes the decision itself; the Placer gathers its input, carries out the changes,
// and counts loads from the weight store.
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
	// placementInterval is the time between two placements, unless a call finds no copy
	// of its model.
	placementInterval = 200 * time.Millisecond
	// minPlacementGap is the least time between two placements, even after misses.
	minPlacementGap = 40 * time.Millisecond
	// changeTimeout is how long a change may take before it is abandoned: the slowest
	// load of the users' models takes 6.4 s.
	changeTimeout = 10 * time.Second
	// orderTimeout is how long a change may go on without an order being carried out: the
	// engine's owner may have lost the right to send orders or the connection to the
	// engine. It allows for four attempts and is longer than owners take to resolve an
	// order whose answer was lost.
	orderTimeout = 2 * time.Second
	// engineBackoff is how long an engine is left out of placements after no owner sent
	// it orders: about the time in which another instance takes it over.
	engineBackoff = 3 * time.Second
	// orderRetryInterval is the least time between two requests for the same order.
	orderRetryInterval = 400 * time.Millisecond
	// minCopyAge is the least age of a copy that may be evicted.
	minCopyAge = 3 * time.Second
	// demandWarmUp is how long a new placer observes the demand before it drops copies
	// for models without misses.
	demandWarmUp = 3 * time.Second
	// versionLoadInterval is the least time between two loads of a model for the streams of one
	// version: the slowest load and the time for which its misses are reported after it.
	versionLoadInterval = 10 * time.Second
	// missReportInterval is the least time between two notifications of the placer about
	// misses.
	missReportInterval = 100 * time.Millisecond
)

// Deps holds what a Placer needs from other modules.
type Deps struct {
	shared.State

	// Registry knows the placer; Asks requests orders from the owners of engines.
	Registry *ownership.Registry
	Asks     *orderclient.Client
	Roster   *watchers.Roster
	// OwnDemand is the demand of this instance's own callers, AllDemand the reported
	// demand of all instances.
	OwnDemand *demand.Tracker
	AllDemand *demand.Totals
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// Tell starts an exchange with a peer at once, unless p is nil. NextWatcher returns
	// the watchers of a zone in rotation.
	Tell        func(now clock.Instant, p *member.Peer)
	NextWatcher func(now clock.Instant, zone string) *member.Peer
}

// A Placer is one instance's part in the placement. It is idle unless the instance is the
// placer or owns engines and cannot reach the placer.
type Placer struct {
	Deps
	due            clock.Instant
	placedAt       clock.Instant // time of the last placement
	missReportedAt clock.Instant // when the placer was last notified of a miss
	active         bool
	localOnly      bool          // placing on this instance's engines only, and only models with misses
	demandSince    clock.Instant // since when there has been demand
	loads          loadBudget
	changes        map[string]*change        // changes in progress, by engine
	readySince     map[copyKey]clock.Instant // since when a copy has been ready
	backoffUntil   map[string]clock.Instant  // until when an engine is left out
	// overLimit holds the copies that exceeded the rate limits of their engines at the
	// last placement, by service.
	overLimit map[string]map[copyKey]bool
	// versionLoads is when a model was last loaded for the streams of a version.
	versionLoads map[versionKey]clock.Instant
}

// A versionKey identifies a model at the engines of one version of their software.
type versionKey struct{ model, software string }

// A copyKey identifies a copy of an item on an engine.
type copyKey struct{ engine, item string }

// New returns an idle placer.
func New(deps Deps) *Placer {
	return &Placer{
		Deps: deps, changes: map[string]*change{}, readySince: map[copyKey]clock.Instant{}, backoffUntil: map[string]clock.Instant{},
		overLimit: map[string]map[copyKey]bool{}, versionLoads: map[versionKey]clock.Instant{},
	}
}

// Tick tries to become the placer while there is none, and places models while this
// instance is the placer.
func (p *Placer) Tick(now clock.Instant) {
	if p.Stopping() || !p.Config.Loaded() {
		return
	}
	p.Registry.ClaimPlacer(now)
	isPlacer := p.Registry.IsPlacer(now)
	if !isPlacer && !p.PlacerUnreachable(now) {
		if p.active {
			p.active = false
			p.changes = map[string]*change{}
		}
		return
	}
	p.start(now, !isPlacer)
	if now.Before(p.due) || !p.placedAt.IsZero() && now.Since(p.placedAt) < minPlacementGap {
		return
	}
	p.placedAt = now
	p.due = now.Add(placementInterval)
	p.placeModels(now)
}

// start starts the placement of models, for the fleet or, with localOnly, on this
// instance's engines only. It does nothing if the placer is already active in this mode.
func (p *Placer) start(now clock.Instant, localOnly bool) {
	if p.active && p.localOnly == localOnly {
		return
	}
	p.active = true
	p.localOnly = localOnly
	p.changes = map[string]*change{}
	p.loads = newLoadBudget(now)
	if left, ok := p.Registry.HandedOverLoads(); ok && !localOnly {
		p.loads = inheritedBudget(now, left, p.Options)
	}
	p.demandSince = now
	p.Out.Log(logevent.Placing, "orphan", localOnly, "revision", p.Registry.Placer().Revision)
}

// loadedForVersion reports whether a model was loaded lately for the streams of a version, which may
// still be reported to miss it.
func (p *Placer) loadedForVersion(now clock.Instant, model, software string) bool {
	at, ok := p.versionLoads[versionKey{model, software}]
	return ok && now.Since(at) < versionLoadInterval
}

// LoadsLeft returns how many loads from the weight store this instance could start now as
// the placer; without a configuration there is nothing to load.
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

// placerUnresponsive reports whether the placer is another instance that does not answer
// this one.
func (p *Placer) placerUnresponsive() bool {
	peer := p.Members.Get(p.Registry.Placer().Name)
	return peer != nil && peer.Failing()
}

// placeModels advances the changes in progress, then starts new ones.
func (p *Placer) placeModels(now clock.Instant) {
	p.AllDemand.Report(now, p.Self.Name, p.OwnDemand.Items(now))
	if len(p.AllDemand.Sum(now)) == 0 {
		p.demandSince = now
	}
	p.loads.refill(now, p.loadRate(), p.Options)
	p.trackReady(now)
	maps.DeleteFunc(p.versionLoads, func(_ versionKey, at clock.Instant) bool { return now.Since(at) >= versionLoadInterval })
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
			if c.Software != "" {
				p.versionLoads[versionKey{c.Load, c.Software}] = now
			}
			started := &change{Change: c, incarnation: p.engineState(c.Engine).incarnation, startedAt: now, progressAt: now}
			p.changes[c.Engine] = started
			p.advance(now, started)
		}
	}
}

// advance requests the next order of a change, or finishes the change if it has an
// outcome.
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
	// A load is counted when it starts. The copies to evict may take seconds to unload,
	// so loads counted when planned could be planned over several seconds and then start
	// together.
	if request.Load && c.Source == pool.WeightStore && !c.loadCounted {
		if !p.loads.take() {
			c.progressAt = now // the change waits for the weight store's rate
			return
		}
		c.loadCounted = true
	}
	p.requestOrder(now, c, request)
}

// engineState returns the known state of the engine that a change is for.
func (p *Placer) engineState(name string) engineState {
	r := p.Pool.Get(name)
	if r == nil {
		return engineState{}
	}
	return engineState{incarnation: r.Incarnation(), usable: r.Usable(), phase: r.Phase}
}

// finish removes a change that has an outcome.
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

// requestOrder requests the next order of a change from the engine's owner.
func (p *Placer) requestOrder(now clock.Instant, c *change, r orders.Request) {
	key := orderclient.Key{Engine: c.Engine, Request: r}
	if p.Asks.Pending(key) || !p.Asks.CanRequest(now, key) {
		return
	}
	c.requestedAt = now
	p.Asks.Request(now, key)
}

// trackReady records since when copies have been ready.
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

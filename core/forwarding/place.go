package forwarding

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/orderclient"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/route"
)

// The choice of a call's replica.

// findReplica sends the call to the best replica, orders what must be loaded there
// first, makes the call wait, or refuses it.
func (f *Forwarder) findReplica(now clock.Instant, c *calls.Call) {
	if !f.resolveTakeUp(now, c) {
		return
	}
	s := stateOf(c)
	if left := f.Quarantine.Remaining(now, s.traits); left > 0 {
		f.Calls.Refuse(c, quarantinedRefusal(left))
		return
	}
	if f.mustDelay(now, c, s) {
		f.Calls.Enqueue(c)
		return
	}
	query := f.query(now, c, s)
	candidates := f.candidates(now, c)
	if f.probeEngines(now, c, query, candidates) {
		return
	}
	best, ok := f.router.Choose(now, query, f.staleLimits(now, c, candidates))
	if !ok {
		best, ok = f.choose(now, s, query, candidates)
	}
	if !ok {
		query.Way = f.way(now, true)
		best, ok = f.choose(now, s, query, candidates)
	}
	if !ok && len(s.progress.brokeOff) > 0 {
		query.Tried = s.excludedReplicas(now)
		best, ok = f.choose(now, s, query, candidates)
	}
	if ok {
		f.recordProbeBenefit(now, s, query, best)
	}
	switch {
	case !ok:
		f.handleNoReplica(now, c)
	case f.shed(now, c, best):
	case c.Item != "" && best.Replica.Phase(c.Item) != pool.Ready, f.shouldConfirmAdapter(now, c, s, best.Replica):
		f.orderAdapter(now, c, best.Replica)
	case !f.chargeRetry(now, c):
		f.borrowRetry(now, c)
	case rateLimited(now, best.Replica):
		f.requestPermit(now, c, query, best)
	default:
		f.dispatch(now, c, best)
	}
}

// choose returns the best replica for a call. In a large fleet, the estimate of an engine
// that was not probed leaves out most of its load and is the same at all instances, which
// would therefore all choose the same engine. In that case choose picks one of the engines
// with similar estimates, a different one for each call.
func (f *Forwarder) choose(now clock.Instant, s *state, q route.Query, candidates []*pool.Replica) (route.Estimate, bool) {
	if q.Model.Model == "" || s.probe.initialChoice != nil || f.Roster.FullMesh() {
		return f.router.Choose(now, q, candidates)
	}
	best := f.router.Best(now, q, candidates, 1)
	if len(best) == 0 {
		return route.Estimate{}, false
	}
	return best[0], true
}

// mustDelay reports whether a call must not be sent yet because replicas crashed under its
// request.
func (f *Forwarder) mustDelay(now clock.Instant, c *calls.Call, s *state) bool {
	delay, suspected := f.Quarantine.SendDelay(now, s.traits)
	if !suspected {
		return false
	}
	if !s.held {
		s.held = true
		f.Out.Log(logevent.CallWaits, "call", c.Forward.Name, "for", "other attempts of its request, or with the same part in the prompt, under which replicas crashed")
	}
	return delay > 0 || f.suspectRunning(s.traits)
}

// suspectRunning reports whether a call is running at a replica that is suspected for the same
// reason as one with these traits.
func (f *Forwarder) suspectRunning(traits []crash.Trait) bool {
	return slices.ContainsFunc(f.Calls.All(), func(c *calls.Call) bool {
		return c.Phase == calls.Running && c.Forward != nil && f.Quarantine.SameSuspicion(traits, stateOf(c).traits)
	})
}

// query describes the call to the router.
func (f *Forwarder) query(now clock.Instant, c *calls.Call, s *state) route.Query {
	query := route.Query{
		Zone:     f.Self.Zone,
		Model:    s.request.size,
		Tokens:   c.PromptTokens,
		Rank:     s.rank(),
		Gap:      s.route.MaxEventGap,
		Chain:    s.request.chain,
		Tried:    slices.Concat(s.excludedReplicas(now), s.progress.brokeOff),
		Sure:     !f.Budget.Available(now, c.Service),
		Salt:     uint64(c.ID) ^ f.Self.Boot,
		ZoneCost: f.zoneCost,
		Way:      f.way(now, false),
		TurnCost: func(r *pool.Replica) time.Duration { return r.RateLimitDelay(now) },
	}
	if c.Item != "" {
		query.LoadCost = func(r *pool.Replica) (time.Duration, bool) { return f.itemCost(now, c, r) }
	}
	return query
}

// way returns the function that says how this instance reaches a replica.
func (f *Forwarder) way(now clock.Instant, lastResort bool) func(r *pool.Replica) links.Way {
	return func(r *pool.Replica) links.Way {
		way := f.Links.Way(now, r, lastResort, f.Rejections.MayRelay)
		switch {
		case way != links.Direct || f.Rejections.MaySend(now, r):
			return way
		case !f.Rejections.Holds(now, r) && f.Links.Relayable(now, r, f.Rejections.MayRelay):
			return links.Relayed
		default:
			return links.Unreachable
		}
	}
}

// silentZoneCost is added for replicas in a zone in which no instance answers, so that
// calls go to other zones if they can. It is about the time that a call loses if it is
// sent there and must be retried.
const silentZoneCost = 400 * time.Millisecond

// zoneCost returns the cost of a zone that appears to be cut off from this instance's
// zone. In a large fleet it is zero: each instance exchanges with few others, so their
// silence says little about the zone.
func (f *Forwarder) zoneCost(zone string) time.Duration {
	if zone == f.Self.Zone || !f.Roster.FullMesh() || !f.Members.ZoneUnreachable(zone) {
		return 0
	}
	return silentZoneCost
}

const (
	// adapterLoadCost is the time that a call loses at an engine without its adapter:
	// requesting the order, sending it, and loading the adapter.
	adapterLoadCost = 25 * time.Millisecond
	// adapterEvictCost is added if another adapter must be evicted first.
	adapterEvictCost = 25 * time.Millisecond
	// maxOrderWaits is the number of orders that one call may wait for.
	maxOrderWaits = 3
)

// itemCost returns the time until the engine can serve the call's model or adapter; ok
// is false if the engine cannot serve it.
func (f *Forwarder) itemCost(now clock.Instant, c *calls.Call, r *pool.Replica) (cost time.Duration, ok bool) {
	s := stateOf(c)
	if r.Refusing(now, c.Item) || r.Phase(s.request.model) != pool.Ready {
		return 0, false
	}
	phase := r.Phase(c.Item)
	if phase == pool.Ready {
		return 0, true
	}
	if phase == pool.Unloading || s.orderWaits >= maxOrderWaits || !f.Asks.CanRequest(now, orderKey(s, r)) {
		return 0, false
	}
	cost = adapterLoadCost + r.RateLimitDelay(now) // the order itself counts against the rate limit
	if phase != pool.Loading && r.Adapters() >= s.service.Announced.Engine.MaxAdapters {
		cost += adapterEvictCost
	}
	return cost, true
}

// shouldConfirmAdapter reports whether to order an adapter although it is reported to be
// loaded. In a large fleet the report may be seconds old, and an engine without the adapter
// refuses the call. When few retries are left, the engine's owner is therefore asked first,
// and the retries are kept for failures that cannot be foreseen.
func (f *Forwarder) shouldConfirmAdapter(now clock.Instant, c *calls.Call, s *state, r *pool.Replica) bool {
	return s.request.adapter != "" && s.orderWaits == 0 && !f.Roster.FullMesh() &&
		f.Budget.Low(now, c.Service) && f.Asks.CanRequest(now, orderKey(s, r))
}

// orderKey returns the key of the order that loads the call's item on r.
func orderKey(s *state, r *pool.Replica) orderclient.Key {
	return orderclient.Key{Engine: r.Name, Request: orders.Request{Load: true, Model: s.request.model, Adapter: s.request.adapter}}
}

// orderAdapter requests an order to load the call's adapter on an engine and makes the call
// wait for it.
func (f *Forwarder) orderAdapter(now clock.Instant, c *calls.Call, r *pool.Replica) {
	s := stateOf(c)
	f.Calls.EnterPhase(c, calls.AwaitingOrder)
	s.orderWaits++
	f.Out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.Item, "for", "an order", "engine", r.Name)
	f.Asks.RequestForCall(now, orderKey(s, r), c.ID)
}

// maxCallsForSpeedSample is the number of calls in flight at an engine up to which another
// call is used to measure its prefill speed.
const maxCallsForSpeedSample = 4

// dispatch sends the call to the chosen replica.
func (f *Forwarder) dispatch(now clock.Instant, c *calls.Call, e route.Estimate) {
	s := stateOf(c)
	relay := f.chooseRelay(now, e)
	f.Calls.MarkSent(now, c, e.Replica)
	s.lastAttempt = lastAttempt{
		uncachedTokens: c.PromptTokens - e.Cached,
		onlyPrefill:    e.Ahead == 0 && e.Calls <= maxCallsForSpeedSample,
		relay:          relay.PeerName(),
		origin:         originOf(e.Replica),
	}
	e.Replica.StartPrefill(now, uint64(c.ID), pool.Prefill{Rank: s.rank(), Work: e.Prefill, Expected: e.Total(), Relayed: relay != nil})
	if c.Item != "" {
		f.router.RecordPrompt(c.Life, s.request.chain, prefixCacheTokens(s))
		e.Replica.MarkUsed(c.Item)
		f.Used(now, c.Replica, c.Item)
	}
	f.Out.Log(logevent.CallSent, "call", c.Forward.Name, "fingerprint", c.Forward.Fingerprint.String(), "parts", partNames(c), "service", c.Service, "item", c.Item, "attempt", c.History.Attempts,
		"rank", s.rank(), "target_ms", c.Target.Milliseconds(), "gap_ms", s.route.MaxEventGap.Milliseconds(), "tokens", c.PromptTokens,
		"replica", c.Replica, "software", e.Replica.Announcement().Software, "resumes", c.Forward.Resumes, "last_event", s.progress.lastEvent, "waited_ms", now.Since(c.Arrived).Milliseconds(), "ahead_ms", e.Ahead.Milliseconds(),
		"prefill_ms", e.Prefill.Milliseconds(), "other_ms", e.Other.Milliseconds(), "cached", e.Cached, "calls_there", e.Calls,
		"announced_ago_ms", now.Since(e.Replica.AnnouncedAt()).Milliseconds(), "list_age_ms", f.ListAge(now).Milliseconds(), "revision", f.Config.Revision(),
		"relay", s.lastAttempt.relay)
	d := f.dispatchAction(now, c, e.Replica)
	d.Relay = relay
	f.Out.Emit(d)
}

// chooseRelay returns the instance that relays an attempt, nil if this one sends it.
func (f *Forwarder) chooseRelay(now clock.Instant, e route.Estimate) *calls.RelayPeer {
	if !e.Relayed {
		return nil
	}
	p := f.Links.ChooseRelay(now, e.Replica, f.Rejections.MayRelay)
	if p == nil {
		return nil
	}
	return &calls.RelayPeer{Name: p.Name, Address: p.Address}
}

// prefixCacheShare is the share of an engine's memory for prompts and answers that is
// assumed to hold cached prompts.
const prefixCacheShare = 0.75

// prefixCacheTokens returns the number of prompt tokens that an engine of the call's
// service is assumed to keep in its prefix cache.
func prefixCacheTokens(s *state) int {
	return int(prefixCacheShare * float64(s.service.Announced.Engine.CacheTokens))
}

// dispatchAction returns the action that sends the call to the replica.
func (f *Forwarder) dispatchAction(now clock.Instant, c *calls.Call, r *pool.Replica) calls.Dispatch {
	s := stateOf(c)
	left := time.Duration(0)
	if c.Forward.Deadline > 0 {
		left = max(time.Millisecond, c.Expires.Since(now))
	}
	priority := -1
	if c.Item != "" {
		priority = pool.RankOf(s.rank())
	}
	d := c.Dispatch(r, f.Options.Stall)
	d.Limited = rateLimited(now, r) || f.Rejections.Limited(now, r.Service)
	d.Model = s.request.model
	d.Adapter = s.request.adapter
	d.Forward = &calls.ForwardAttempt{
		ListAge:  f.ListAge(now),
		Left:     left,
		Priority: priority,
		Stream:   s.route.Kind == config.Stream,
	}
	return d
}

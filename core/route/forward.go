// Package route chooses the replica that a forwarded call is sent to: the one that is
// expected to answer first, given the calls in flight there, its prefix cache, and
// what must be loaded first.
package route

import (
	"slices"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// Costs in the estimates for forwarded calls.
const (
	// crossZoneCost is the round-trip time to another zone; it also stands for the
	// price of cross-zone traffic.
	crossZoneCost = 4 * time.Millisecond
	// perCallCost is the time that each call in flight at a replica adds to the time
	// to the first event.
	perCallCost = 300 * time.Microsecond
	// firstPartDiscount is the share of the prefill work by which the engine selected by rendezvous
	// hashing of a prompt's first part is preferred while this instance has not sent that part there.
	firstPartDiscount = 0.1
	// queuedCallTokens is the number of prompt tokens still to be read that is
	// assumed for a queued call of unknown prompt length.
	queuedCallTokens = 2500
	// relayCost is the time that an attempt takes longer through another instance.
	relayCost = 5 * time.Millisecond
	// perFailureCost is added for each consecutive failure of the replica.
	perFailureCost = 50 * time.Millisecond
)

// A Query describes one forwarded call to the router.
type Query struct {
	Zone   string             // zone of this instance
	Model  ModelSize          // the zero value for a plain service
	Tokens int                // number of prompt tokens
	Gap    time.Duration      // longest acceptable pause between events of a stream; 0: any
	Rank   int                // priority rank, 0 is the most urgent
	Chain  HashChain          // of the prompt's parts
	Tried  []pool.Incarnation // replicas to exclude: they failed the call, or take none now
	// Sure excludes replicas that may reject the call if there are others. It is set
	// when no retry would be possible.
	Sure bool
	Salt uint64 // orders replicas with similar estimates differently for each call
	// LoadCost returns the time for what must be loaded at a replica before it can
	// serve the call; ok is false if the replica cannot serve it. If LoadCost is nil,
	// nothing must be loaded.
	LoadCost func(r *pool.Replica) (cost time.Duration, ok bool)
	// TurnCost returns how long the call would wait because of the replica's rate
	// limit. If TurnCost is nil, there is no wait.
	TurnCost func(r *pool.Replica) time.Duration
	// Way returns how this instance reaches a replica. If Way is nil, it uses only its own
	// links.
	Way func(r *pool.Replica) links.Way
	// ZoneCost returns the cost of a zone that appears to be unreachable. If ZoneCost
	// is nil, there is none.
	ZoneCost func(zone string) time.Duration
}

// An Estimate is the expected time to the answer, or to the first event of a stream,
// at one replica, by its parts.
type Estimate struct {
	Replica *pool.Replica
	Ahead   time.Duration // work already at the replica that goes first
	Prefill time.Duration // prefill of this call's own prompt
	Other   time.Duration // network, calls in flight, loading, and signs of a slow or failing replica
	Turn    time.Duration // wait for the replica's rate limit
	Cached  int           // prompt tokens believed to be in the replica's prefix cache
	Calls   int           // calls in flight at the replica
	Reading time.Duration // uninterrupted prefill work at the replica, including this call's
	Relayed bool          // the replica is reached through another instance
}

// Total returns the expected time.
func (e Estimate) Total() time.Duration { return e.Ahead + e.Prefill + e.Other + e.Turn }

// A Router chooses replicas for forwarded calls. It learns the prefill speed of models
// and tracks the contents of engines' prefix caches.
type Router struct {
	caches     map[string]incarnationCache // by engine name
	speeds     map[string]prefillSpeed     // by model name
	sizeSpeeds map[int64]prefillSpeed      // by model size in MB, for models without measurements
}

// NewRouter returns a router without any measurements.
func NewRouter() *Router {
	return &Router{caches: map[string]incarnationCache{}, speeds: map[string]prefillSpeed{}, sizeSpeeds: map[int64]prefillSpeed{}}
}

// A ModelSize names a model and the memory that its weights take, in MB.
type ModelSize struct {
	Model string
	MB    int64
}

// PrefillTokenTime returns the estimated time for an engine to read one prompt token
// with the model.
func (rt *Router) PrefillTokenTime(m ModelSize) time.Duration { return rt.speed(m).tokenTime() }

// speed returns the prefill speed of a model: as measured, else as measured for models
// of the same size, else the default.
func (rt *Router) speed(m ModelSize) prefillSpeed {
	if s, ok := rt.speeds[m.Model]; ok {
		return s
	}
	if s, ok := rt.sizeSpeeds[m.MB]; ok {
		return s
	}
	return newPrefillSpeed()
}

// ObserveFirstEvent records the time to the first event of a call whose engine had the
// given number of prompt tokens to read and no other prompt. Other work at the engine
// makes some measurements too long, and cached parts that this instance does not know
// of make others too short.
func (rt *Router) ObserveFirstEvent(m ModelSize, tokens int, took time.Duration) {
	rt.speeds[m.Model] = rt.speed(m).withSample(tokens, took)
	size, ok := rt.sizeSpeeds[m.MB]
	if !ok {
		size = newPrefillSpeed()
	}
	rt.sizeSpeeds[m.MB] = size.withSample(tokens, took)
}

// An incarnationCache is the assumed prefix cache of one incarnation of an engine.
type incarnationCache struct {
	incarnation pool.Incarnation
	cache       *PrefixCache
}

// RecordPrompt records that a prompt is sent to an engine whose prefix cache holds
// capacity tokens. After a restart of the engine its cache is assumed to be empty.
func (rt *Router) RecordPrompt(engine pool.Incarnation, chain HashChain, capacity int) {
	c := rt.cache(engine)
	if c == nil {
		c = NewPrefixCache(capacity)
		rt.caches[engine.Name] = incarnationCache{incarnation: engine, cache: c}
	}
	c.Add(chain)
}

// cache returns the assumed prefix cache of an engine, or nil if nothing was sent to
// this incarnation.
func (rt *Router) cache(engine pool.Incarnation) *PrefixCache {
	if c := rt.caches[engine.Name]; c.incarnation == engine {
		return c.cache
	}
	return nil
}

// Choose returns the estimate of the best candidate; ok is false if the call may not be
// sent to any of them.
func (rt *Router) Choose(now clock.Instant, q Query, candidates []*pool.Replica) (best Estimate, ok bool) {
	for _, e := range rt.estimates(now, q, candidates) {
		if !ok || e.Total() < best.Total() {
			best = e
			ok = true
		}
	}
	return best, ok
}

// Estimate returns the estimate of one replica.
func (rt *Router) Estimate(now clock.Instant, q Query, r *pool.Replica) Estimate {
	return rt.estimate(now, q, r, false)
}

// Best returns the estimates of the best candidates, at most n. Candidates whose
// estimates differ by less than estimateResolution are ordered by the query's Salt, so
// that calls of the same kind do not all choose the same ones.
func (rt *Router) Best(now clock.Instant, q Query, candidates []*pool.Replica, n int) []Estimate {
	all := rt.estimates(now, q, candidates)
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if x, y := a.Total()/estimateResolution, b.Total()/estimateResolution; x != y {
			return x < y
		}
		return rendezvous.Score(q.Salt, a.Replica.Name) > rendezvous.Score(q.Salt, b.Replica.Name)
	})
	return all[:min(n, len(all))]
}

// estimateResolution is the difference below which Best treats estimates as equal:
// smaller differences mean nothing.
const estimateResolution = 20 * time.Millisecond

// estimates returns the estimates of the candidates that may be sent the call.
func (rt *Router) estimates(now clock.Instant, q Query, candidates []*pool.Replica) (estimates []Estimate) {
	usable := q.eligible(now, candidates, func(r *pool.Replica) bool { return r.Usable() && !(q.Sure && r.MayReject(now)) })
	if len(usable) == 0 && q.Sure {
		usable = q.eligible(now, candidates, (*pool.Replica).Usable)
	}
	if len(usable) == 0 {
		usable = q.eligible(now, candidates, func(r *pool.Replica) bool { return r.LastResort(now) })
	}
	ejected := 0
	for _, r := range usable {
		if r.Ejected(now) {
			ejected++
		}
	}
	owner := rt.firstPartOwner(q, usable)
	for _, r := range usable {
		if r.Ejected(now) && ejected < len(usable) {
			continue
		}
		if q.way(r) == links.Unreachable {
			continue
		}
		estimates = append(estimates, rt.estimate(now, q, r, r == owner))
	}
	return estimates
}

// eligible returns the candidates that the call may be sent to, of those for which may
// returns true. A resting replica is excluded even if there is no other.
func (q Query) eligible(now clock.Instant, candidates []*pool.Replica, may func(r *pool.Replica) bool) []*pool.Replica {
	out := make([]*pool.Replica, 0, len(candidates))
	for _, r := range candidates {
		if may(r) && !r.Resting(now) && !r.OnTrial() && !slices.Contains(q.Tried, r.Incarnation()) && q.canServe(r) {
			out = append(out, r)
		}
	}
	return out
}

// way returns how this instance reaches the replica.
func (q Query) way(r *pool.Replica) links.Way {
	switch {
	case q.Way != nil:
		return q.Way(r)
	case r.LinkBroken():
		return links.Unreachable
	default:
		return links.Direct
	}
}

// canServe reports whether the replica can serve the call, if need be after loading
// what it needs.
func (q Query) canServe(r *pool.Replica) bool {
	if q.LoadCost == nil {
		return true
	}
	_, ok := q.LoadCost(r)
	return ok
}

// firstPartOwner returns the engine that rendezvous hashing selects for the prompt's
// first part, so that instances agree on which engine reads a new part first.
func (rt *Router) firstPartOwner(q Query, usable []*pool.Replica) *pool.Replica {
	key, ok := q.Chain.First()
	if !ok {
		return nil
	}
	var best *pool.Replica
	var top uint64
	for _, r := range usable {
		if score := rendezvous.Score(key, r.Name); best == nil || score > top {
			best = r
			top = score
		}
	}
	return best
}

// estimate returns the estimate of one replica. isFirstPartOwner reports whether r is
// the firstPartOwner of the call.
func (rt *Router) estimate(now clock.Instant, q Query, r *pool.Replica, isFirstPartOwner bool) Estimate {
	load := r.Load(now)
	e := Estimate{Replica: r, Calls: load.Calls.Sum(), Relayed: q.way(r) == links.Relayed}
	if r.Zone != q.Zone {
		e.Other += crossZoneCost
	}
	if e.Relayed {
		e.Other += relayCost
	} else {
		e.Other += linkCost(now, r)
	}
	if r.Vanished() || r.Disputed() {
		e.Other += vanishedCost
	}
	if q.LoadCost != nil {
		cost, _ := q.LoadCost(r)
		e.Other += cost
	}
	if r.RejectsPeers(now) {
		e.Other += suspectedCost
	}
	if q.ZoneCost != nil {
		e.Other += q.ZoneCost(r.Zone)
	}
	if q.TurnCost != nil {
		e.Turn = q.TurnCost(r)
	}
	if q.Model.Model == "" {
		e.estimatePlain(r)
		return e
	}
	e.Cached = min(rt.cache(r.Incarnation()).CachedTokens(q.Chain), q.Tokens)
	perToken := rt.PrefillTokenTime(q.Model)
	e.Prefill = time.Duration(q.Tokens-e.Cached) * perToken
	if isFirstPartOwner && e.Cached == 0 {
		e.Other -= time.Duration(firstPartDiscount * float64(e.Prefill))
	}
	e.Reading = load.Prefill.Sum() + e.Prefill
	e.Other += q.streamDelayCost(e.Reading, e.Calls)
	e.Ahead = load.Prefill.UpTo(q.Rank) + time.Duration(load.Waiting)*queuedCallTokens*perToken
	e.Other += perCallCost * time.Duration(e.Calls)
	if excess := load.Calls.UpTo(q.Rank) - r.Concurrent; excess >= 0 {
		e.Ahead += time.Duration(excess+1) * r.ServiceTime() / time.Duration(max(1, r.Concurrent))
	}
	return e
}

// linkCost returns the cost of signs that the replica, or this instance's link to it, is slow or
// failing.
func linkCost(now clock.Instant, r *pool.Replica) time.Duration {
	cost := perFailureCost * time.Duration(r.Failures())
	if r.Suspected(now) && !r.RejectsPeers(now) {
		cost += suspectedCost
	}
	if late := r.Overdue(now); late > overdueTolerance {
		cost += late
	}
	return cost
}

const (
	// minDelayShare is the share of the longest acceptable pause up to which
	// uninterrupted prefill work at an engine costs nothing.
	minDelayShare = 0.3
	// maxDelayShare is the share of the longest acceptable pause from which
	// uninterrupted prefill work is assumed to make all streams of the engine late.
	maxDelayShare = 0.8
	// lateStreamCost is the cost of each stream that becomes late.
	lateStreamCost = 10 * time.Millisecond
)

// streamDelayCost returns the cost of the pauses that reading prompts for the given time
// causes in the streams running at an engine. Between two tokens of each stream, an
// engine reads a piece of a prompt. Prompts of any rank that follow each other without
// a break therefore increase the time between events of all streams there.
func (q Query) streamDelayCost(reading time.Duration, running int) time.Duration {
	if q.Gap == 0 {
		return 0
	}
	share := float64(reading) / float64(q.Gap)
	lateShare := min(1, max(0, (share-minDelayShare)/(maxDelayShare-minDelayShare)))
	return time.Duration(lateShare * float64(running) * float64(lateStreamCost))
}

// overdueTolerance is how late a first event may be before its replica is charged for
// the delay.
const overdueTolerance = 150 * time.Millisecond

// suspectedCost is added for a replica that a peer found unreachable, or that rejected a
// peer's call, so that calls go to other replicas.
const suspectedCost = 200 * time.Millisecond

// vanishedCost is added for a replica whose entry has vanished from the platform's list, or
// whose address is in dispute, so that calls go to other replicas if there are any.
const vanishedCost = 500 * time.Millisecond

// fullSlowdownDivisor defines how much slower a plain replica is when it is full: by its
// usual service time divided by this number, a quarter.
const fullSlowdownDivisor = 4

// estimatePlain fills in the estimate of a plain replica: its usual service time, plus
// queueing in proportion to the calls in flight beyond its slots.
func (e *Estimate) estimatePlain(r *pool.Replica) {
	serviceTime := min(r.ServiceTime(), maxPlainServiceTime)
	slots := max(1, r.Concurrent)
	e.Prefill = serviceTime
	if e.Calls >= slots {
		e.Ahead = time.Duration(e.Calls-slots+1) * serviceTime / time.Duration(slots)
	}
	// Replicas become slower as they fill up.
	e.Other += time.Duration(e.Calls) * serviceTime / fullSlowdownDivisor / time.Duration(slots)
}

// maxPlainServiceTime caps a plain replica's service time in estimates, so that a
// replica that was slow once is tried again.
const maxPlainServiceTime = 300 * time.Millisecond

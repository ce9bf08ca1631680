// Package route provides the choice of the replica that a forwarded call is sent
// to: the one that should answer it first, by what is known of the calls there,
// of the prompts that it keeps, and of what must be loaded before.
package route

import (
	"slices"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// Tunables of the choice for forwarded calls.
const (
	// crossZoneCost is the way to another zone and back; it also stands for the
	// price of bytes that cross.
	crossZoneCost = 4 * time.Millisecond
	// perCallCost is what one call that runs beside another adds to the time
	// to its first event.
	perCallCost = 300 * time.Microsecond
	// firstPartDiscount is the share of its prompt's work that the engine which
	// rendezvous hashing names for a prompt's first part is trusted to save.
	firstPartDiscount = 0.1
	// queuedCallTokens is what a prompt of which only its being there is known is
	// believed to have left to read.
	queuedCallTokens = 2500
	// perFailureCost is added for each failure in a row.
	perFailureCost = 50 * time.Millisecond
)

// A Query is what the choice needs to know of one forwarded call.
type Query struct {
	Zone   string             // zone of this instance
	Model  ModelSize          // the zero value for a plain service
	Tokens int                // of the prompt
	Gap    time.Duration      // longest pause between events that keeps a stream in time; 0: any
	Rank   int                // of urgency, 0 first
	Chain  HashChain          // of the prompt's parts
	Tried  []pool.Incarnation // replicas that are passed over: they failed the call, or take none now
	// Sure passes over replicas that may turn the call away, where there are others: the
	// call could not be repeated then.
	Sure bool
	Salt uint64 // of the call, to tell apart replicas that seem alike
	// LoadCost returns what must happen at a replica before it can serve the
	// call, as time; ok is false if it cannot. nil: nothing must.
	LoadCost func(r *pool.Replica) (cost time.Duration, ok bool)
	// TurnCost returns how long the call would wait for the limit that a replica names; nil:
	// not at all.
	TurnCost func(r *pool.Replica) time.Duration
	// ZoneCost returns the cost of a zone that seems to be cut off; nil:
	// nothing is.
	ZoneCost func(zone string) time.Duration
}

// A Estimate is the expected time to the answer, or to a stream's first
// event, on one replica.
type Estimate struct {
	Replica *pool.Replica
	Ahead   time.Duration // work that is there already and goes first
	Prefill time.Duration // work on this call's own prompt
	Other   time.Duration // way, crowd, slowness
	Turn    time.Duration // for the limit that the replica names
	Cached  int           // prompt tokens believed to be kept there
	Calls   int           // in flight there
	Reading time.Duration // prompts to be read there without a break, this one too
}

// Total returns the expected time.
func (e Estimate) Total() time.Duration { return e.Ahead + e.Prefill + e.Other + e.Turn }

// Router chooses replicas for forwarded calls, and learns how fast models
// read and what engines keep.
type Router struct {
	caches     map[string]incarnationCache // by engine
	speeds     map[string]prefillSpeed     // of models
	sizeSpeeds map[int64]prefillSpeed      // of models of a size, for those not seen yet
}

// NewRouter returns a chooser that has learnt nothing.
func NewRouter() *Router {
	return &Router{caches: map[string]incarnationCache{}, speeds: map[string]prefillSpeed{}, sizeSpeeds: map[int64]prefillSpeed{}}
}

// A ModelSize names a model and the memory that its weights take, in MB.
type ModelSize struct {
	Model string
	MB    int64
}

// PrefillTokenTime returns how long an engine is believed to read one prompt token of
// a model: as measured, else as measured of models of its size.
func (f *Router) PrefillTokenTime(w ModelSize) time.Duration { return f.speed(w).tokenTime() }

// speed returns what is known of a model's speed: as measured, else as measured of
// models of its size.
func (f *Router) speed(w ModelSize) prefillSpeed {
	if s, ok := f.speeds[w.Model]; ok {
		return s
	}
	if s, ok := f.sizeSpeeds[w.MB]; ok {
		return s
	}
	return newPrefillSpeed()
}

// ObserveFirstEvent takes in how long a first event took, of a call with so many tokens to
// read on an engine that had no other prompt to read. What else happens there
// makes some measurements too long, and parts that are kept there unknown to
// this instance make others too short.
func (f *Router) ObserveFirstEvent(w ModelSize, tokens int, took time.Duration) {
	f.speeds[w.Model] = f.speed(w).withSample(tokens, took)
	size, ok := f.sizeSpeeds[w.MB]
	if !ok {
		size = newPrefillSpeed()
	}
	f.sizeSpeeds[w.MB] = size.withSample(tokens, took)
}

// A incarnationCache is what one life of an engine is believed to keep.
type incarnationCache struct {
	incarnation pool.Incarnation
	cache       *PrefixCache
}

// RecordPrompt notes that a prompt goes to an engine that keeps so many tokens. One that has
// started again keeps nothing of what was sent before.
func (f *Router) RecordPrompt(engine pool.Incarnation, chain HashChain, capacity int) {
	c := f.cache(engine)
	if c == nil {
		c = NewPrefixCache(capacity)
		f.caches[engine.Name] = incarnationCache{incarnation: engine, cache: c}
	}
	c.Add(chain)
}

// cache returns what an engine is believed to keep, nil if nothing is known of it.
func (f *Router) cache(engine pool.Incarnation) *PrefixCache {
	if c := f.caches[engine.Name]; c.incarnation == engine {
		return c.cache
	}
	return nil
}

// Choose returns the best of the candidates; ok is false when none may be sent
// the call.
func (f *Router) Choose(now clock.Instant, q Query, candidates []*pool.Replica) (best Estimate, ok bool) {
	for _, e := range f.estimates(now, q, candidates) {
		if !ok || e.Total() < best.Total() {
			best = e
			ok = true
		}
	}
	return best, ok
}

// Estimate returns the estimate of one replica.
func (f *Router) Estimate(now clock.Instant, q Query, r *pool.Replica) Estimate {
	return f.estimate(now, q, r, false)
}

// Best returns the best of the candidates, n at most. Those that differ by less
// than bestStep come in an order of the call's own, so that calls of the same kind
// do not all look at the same ones.
func (f *Router) Best(now clock.Instant, q Query, candidates []*pool.Replica, n int) []Estimate {
	all := f.estimates(now, q, candidates)
	sort.Slice(all, func(i, j int) bool {
		a, b := all[i], all[j]
		if x, y := a.Total()/estimateResolution, b.Total()/estimateResolution; x != y {
			return x < y
		}
		return rendezvous.Score(q.Salt, a.Replica.Name) > rendezvous.Score(q.Salt, b.Replica.Name)
	})
	return all[:min(n, len(all))]
}

// estimateResolution is a difference between estimates that means nothing.
const estimateResolution = 20 * time.Millisecond

// estimates returns the estimates of the candidates that may be sent the call.
func (f *Router) estimates(now clock.Instant, q Query, candidates []*pool.Replica) (estimates []Estimate) {
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
	head := f.firstPartOwner(q, usable)
	for _, r := range usable {
		if r.Ejected(now) && ejected < len(usable) {
			continue
		}
		if r.Down(now) {
			continue
		}
		estimates = append(estimates, f.estimate(now, q, r, r == head))
	}
	return estimates
}

// eligible returns the replicas that the call may go to, of those that may be given
// work. One that wants nothing gets nothing, however few others there are.
func (q Query) eligible(now clock.Instant, candidates []*pool.Replica, may func(r *pool.Replica) bool) []*pool.Replica {
	out := make([]*pool.Replica, 0, len(candidates))
	for _, r := range candidates {
		if may(r) && !r.Resting(now) && !r.OnTrial() && !slices.Contains(q.Tried, r.Incarnation()) && q.canServe(r) {
			out = append(out, r)
		}
	}
	return out
}

// canServe reports whether the replica can be made to serve the call.
func (q Query) canServe(r *pool.Replica) bool {
	if q.LoadCost == nil {
		return true
	}
	_, ok := q.LoadCost(r)
	return ok
}

// firstPartOwner returns the engine that rendezvous hashing names for the prompt's
// first part, so that instances agree on where a new part is read first.
func (f *Router) firstPartOwner(q Query, usable []*pool.Replica) *pool.Replica {
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

func (f *Router) estimate(now clock.Instant, q Query, r *pool.Replica, head bool) Estimate {
	load := r.Load(now)
	e := Estimate{Replica: r, Calls: load.Calls.Sum()}
	if r.Zone != q.Zone {
		e.Other += crossZoneCost
	}
	if r.Vanished() {
		e.Other += vanishedCost
	}
	if q.LoadCost != nil {
		cost, _ := q.LoadCost(r)
		e.Other += cost
	}
	e.Other += perFailureCost * time.Duration(r.Failures())
	if r.Suspected(now) || r.RejectsPeers(now) {
		e.Other += suspectedCost
	}
	if q.ZoneCost != nil {
		e.Other += q.ZoneCost(r.Zone)
	}
	if q.TurnCost != nil {
		e.Turn = q.TurnCost(r)
	}
	if late := r.Overdue(now); late > overdueTolerance {
		e.Other += late
	}
	if q.Model.Model == "" {
		e.estimatePlain(r)
		return e
	}
	e.Cached = min(f.cache(r.Incarnation()).CachedTokens(q.Chain), q.Tokens)
	perToken := f.PrefillTokenTime(q.Model)
	e.Prefill = time.Duration(q.Tokens-e.Cached) * perToken
	if head {
		e.Prefill -= time.Duration(firstPartDiscount * float64(e.Prefill))
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

const (
	// minDelayShare is the share of the longest pause that engines may read prompts
	// without a break before that counts.
	minDelayShare = 0.3
	// maxDelayShare is the share from which the streams that run there are believed to be
	// late.
	maxDelayShare = 0.8
	// lateStreamCost is what one stream made late counts for.
	lateStreamCost = 10 * time.Millisecond
)

// streamDelayCost returns the cost of the pause that reading prompts for so long makes in
// the streams that run at an engine. Between two tokens of every stream an engine
// reads a piece of a prompt, so prompts that follow each other without a break, of
// whatever rank, stretch the time between events for all streams there.
func (q Query) streamDelayCost(reading time.Duration, running int) time.Duration {
	if q.Gap == 0 {
		return 0
	}
	share := float64(reading) / float64(q.Gap)
	harm := min(1, max(0, (share-minDelayShare)/(maxDelayShare-minDelayShare)))
	return time.Duration(harm * float64(running) * float64(lateStreamCost))
}

// overdueTolerance is how late a first event may be before that speaks against its
// replica.
const overdueTolerance = 150 * time.Millisecond

// suspectedCost keeps calls from replicas at which a peer found nothing, or which turned it
// away.
const suspectedCost = 200 * time.Millisecond

// vanishedCost keeps calls from replicas whose entries went, where others are.
const vanishedCost = 500 * time.Millisecond

// fullSlowdownDivisor is by which part of its usual time a plain replica is slower when
// it is full: a quarter.
const fullSlowdownDivisor = 4

// estimatePlain estimates a estimatePlain replica: its own usual time, longer in proportion to
// the calls beyond its slots.
func (e *Estimate) estimatePlain(r *pool.Replica) {
	hold := min(r.ServiceTime(), maxPlainServiceTime)
	slots := max(1, r.Concurrent)
	e.Prefill = hold
	if e.Calls >= slots {
		e.Ahead = time.Duration(e.Calls-slots+1) * hold / time.Duration(slots)
	}
	// Replicas slow down as they fill.
	e.Other += time.Duration(e.Calls) * hold / time.Duration(fullSlowdownDivisor*slots)
}

// maxPlainServiceTime bounds what a plain replica's usual time counts for, so that one
// that was slow once is tried again.
const maxPlainServiceTime = 300 * time.Millisecond

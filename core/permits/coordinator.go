package permits

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

const (
	// probationPeriod is how long an instance must have been the first in its own view to give
	// out the whole of a limit: the span over which limits are counted
	// (docs/design/limits.md).
	probationPeriod = 4 * time.Second
	// probationShare is the part that it gives out otherwise, beside another instance that
	// may give out the whole: together, with what may pile up at both, less than one and a
	// half times the limit (docs/design/limits.md).
	probationShare = 0.3
	// maxQueue bounds the requests that wait for one replica: each holds a connection
	// between instances (docs/design/limits.md).
	maxQueue = 128
	// bucketIdleTimeout is how long a bucket must not have been looked at for it to go
	// (docs/design/limits.md).
	bucketIdleTimeout = time.Minute
)

// A coordinator gives out the permits that this instance is asked for.
type coordinator struct {
	p       *Permits
	buckets map[Resource]*bucket
}

// A bucket is what may be given out of one subject now, and who waits for it.
type bucket struct {
	tokens   tokenBucket
	lastUsed clock.Instant // when it was last looked at
	// coordinatorSince is since when this instance has been the first in its own view; zero: it is
	// not.
	coordinatorSince clock.Instant
	// lastRetryAt is when the last of the callers that were turned away was told to come back.
	lastRetryAt clock.Instant
	queue       []queuedRequest // in the order in which they are served
}

// A queuedRequest is a request for a permit, and who made it: a peer, by its token, or this
// instance, by the token of its own ask.
type queuedRequest struct {
	peerToken  uint64
	localToken uint64
	request    Request
	queuedAt   clock.Instant
}

// A fleetView is the instances that could give out permits at an instant, as seen from here.
type fleetView struct {
	at        clock.Instant
	instances []registry.Instance
}

// maxViews is how many views are remembered: more than the longest time in which an instance
// becomes settled (docs/design/limits.md).
const maxViews = 16

// recordView remembers who could give out permits now.
func (p *Permits) recordView(now clock.Instant) {
	p.dropStaleViews(now)
	p.views = append(p.views, p.currentView(now))
	p.views = p.views[max(0, len(p.views)-maxViews):]
}

// dropStaleViews drops the views from before a sleep: they say nothing of who gave out permits
// meanwhile.
func (p *Permits) dropStaleViews(now clock.Instant) {
	if n := len(p.views); n > 0 && now.MaxElapsed(p.views[n-1].at) > probationPeriod {
		p.views = nil
	}
}

// currentView returns who could give out permits now.
func (p *Permits) currentView(now clock.Instant) fleetView {
	v := fleetView{at: now}
	for name, i := range p.Instances() {
		if p.isCandidate(now, name) {
			v.instances = append(v.instances, i)
		}
	}
	return v
}

// coordinatorFor returns the instance that gives out the permits of a subject, as seen from here now.
func (p *Permits) coordinatorFor(now clock.Instant, r Request) string {
	return cmp.Or(p.currentView(now).coordinatorFor(r), p.Self.Name)
}

// coordinatorFor returns the instance that gives out the permits of a subject, "" if there is none: of
// those in the view one in the replica's zone, of these one with the largest share of a
// processor, of these the one that rendezvous hashing names.
func (v fleetView) coordinatorFor(r Request) string {
	type rank struct {
		near      bool
		processor float64
		score     uint64
	}
	key := rendezvous.Key(r.Resource.String())
	var best string
	var top rank
	for _, i := range v.instances {
		x := rank{i.Zone == r.Zone, i.Processor, rendezvous.Score(key, i.Name)}
		better := x.score > top.score
		switch {
		case x.near != top.near:
			better = x.near
		case x.processor != top.processor:
			better = x.processor > top.processor
		}
		if best == "" || better {
			best = i.Name
			top = x
		}
	}
	return best
}

// coordinatorSince returns since when this instance has been the first in its own view, by what it
// remembers.
func (p *Permits) coordinatorSince(now clock.Instant, r Request) clock.Instant {
	p.dropStaleViews(now)
	since := now
	for _, v := range slices.Backward(p.views) {
		if v.coordinatorFor(r) != p.Self.Name {
			break
		}
		since = v.at
	}
	return since
}

// isCandidate reports whether an instance may give out permits, as far as is known here.
func (p *Permits) isCandidate(now clock.Instant, name string) bool {
	if name == p.Self.Name {
		return !p.Stopping()
	}
	peer := p.Members.Get(name)
	return peer != nil && !peer.Leaving && !peer.Failing() && !now.Before(p.backoffUntil[name])
}

// reachableShare returns the share of the fleet's instances that answer this one. The others may
// be cut off from it, and send to the replica by what another of them gives out.
func (p *Permits) reachableShare(now clock.Instant) float64 {
	all, answering := 1, 1
	for name := range p.Instances() {
		if name == p.Self.Name {
			continue
		}
		peer := p.Members.Get(name)
		if peer == nil || peer.Leaving {
			continue // it is about to begin, or to end
		}
		all++
		if p.isCandidate(now, name) {
			answering++
		}
	}
	return float64(answering) / float64(all)
}

// A quota is how much of a subject all instances together may be given.
type quota struct {
	rate      float64       // permits a second
	burst     float64       // how many may pile up
	initial   float64       // how many there are when this instance is asked first
	probation time.Duration // see settleSpan
}

// quota returns how much of a request's subject may be given out; bounded is false where
// nothing is held back.
func (c *coordinator) quota(now clock.Instant, r Request) (s quota, bounded bool) {
	if r.Service != "" {
		// Half may pile up and half comes in each span, so that none has more than all.
		amount, span := c.p.Repeats()
		return quota{rate: amount / 2 / span.Seconds(), burst: amount / 2, initial: amount / 2, probation: span}, true
	}
	rate, bounded := r.Word.Rate(now)
	if known := c.p.Pool.Get(r.Replica.Name); known != nil && known.MayBeIncarnation(r.Replica.Born) {
		rate, bounded = known.RateLimit(now)
	}
	return quota{rate: rate, burst: max(minBurst, rate*burstTime.Seconds()), initial: 1, probation: probationPeriod}, bounded
}

// ownQuota returns the ownQuota of a supply that this instance gives out.
func (c *coordinator) ownQuota(now clock.Instant, b *bucket, s quota) quota {
	share := c.p.reachableShare(now)
	rate := share * s.rate
	if b.coordinatorSince.IsZero() || now.Since(b.coordinatorSince) < s.probation {
		rate *= probationShare
	}
	return quota{rate: rate, burst: max(min(s.burst, minBurst), share*s.burst)}
}

// admit takes in a request: it is granted, waits for its turn, or is turned away.
func (c *coordinator) admit(now clock.Instant, w queuedRequest) {
	w.queuedAt = now
	s, bounded := c.quota(now, w.request)
	if !bounded {
		c.reply(now, w, Decision{Granted: true})
		return
	}
	if w.request.Service != "" && !c.registered() {
		c.reply(now, w, Decision{}) // it may take itself for the only one
		return
	}
	b := c.bucket(now, w.request, s)
	b.tokens.refill(now, c.ownQuota(now, b, s))
	c.grantAvailable(now, b)
	wait, fits := b.queueWait(w.request.Rank)
	if !fits || wait > w.request.Wait {
		c.reply(now, w, c.deny(now, b, w, wait))
		return
	}
	b.enqueue(w)
	c.grantAvailable(now, b)
}

// registered reports whether this instance has a record, by which the others know of it.
func (c *coordinator) registered() bool {
	_, ok := c.p.Instances()[c.p.Self.Name]
	return ok
}

// prepareBuckets notes what this instance gives out as the first in its own view, before any is asked
// for: calls fail together, and what may be given out then is there only if it piled up; and
// an instance that is seldom asked has been the first all the same.
func (c *coordinator) prepareBuckets(now clock.Instant) {
	if !c.registered() {
		return
	}
	if c.p.Config.Loaded() {
		for _, svc := range c.p.Config.Document().Services {
			if svc.Announced != nil {
				c.prepareBucket(now, Request{Resource: Resource{Service: svc.Name}})
			}
		}
	}
	for _, r := range c.p.Pool.All() {
		if _, limited := r.RateLimit(now); limited {
			c.prepareBucket(now, replicaRequest(r, 0, 0))
		}
	}
}

// prepareBucket notes whether this instance is the first to give out a subject.
func (c *coordinator) prepareBucket(now clock.Instant, r Request) {
	if c.buckets[r.Resource] == nil && c.p.coordinatorFor(now, r) != c.p.Self.Name {
		return
	}
	s, bounded := c.quota(now, r)
	if !bounded {
		return
	}
	b := c.bucket(now, r, s)
	b.tokens.refill(now, c.ownQuota(now, b, s))
}

// bucket returns a subject's bucket, and notes whether this instance is the first to give
// it out.
func (c *coordinator) bucket(now clock.Instant, r Request, s quota) *bucket {
	b := c.buckets[r.Resource]
	if b == nil {
		b = &bucket{tokens: newTokenBucket(now, s)}
		c.buckets[r.Resource] = b
	}
	switch first := c.p.coordinatorFor(now, r) == c.p.Self.Name; {
	case !first:
		b.coordinatorSince = clock.Instant{}
	case b.coordinatorSince.IsZero(), now.MaxElapsed(b.lastUsed) > s.probation:
		b.coordinatorSince = c.p.coordinatorSince(now, r)
	}
	b.lastUsed = now
	return b
}

// queueWait returns how long a request of a rank would wait; fits is false where too many wait.
func (b *bucket) queueWait(rank int) (wait time.Duration, fits bool) {
	ahead := 0
	for _, w := range b.queue {
		if w.request.Rank <= rank {
			ahead++
		}
	}
	return b.tokens.waitFor(ahead + 1), len(b.queue) < maxQueue
}

// enqueue has a request wait behind those that are as urgent.
func (b *bucket) enqueue(w queuedRequest) {
	i, _ := slices.BinarySearchFunc(b.queue, w.request.Rank, func(x queuedRequest, rank int) int {
		if x.request.Rank <= rank {
			return -1
		}
		return 1
	})
	b.queue = slices.Insert(b.queue, i, w)
}

// grantAvailable grants what those that wait first may have now.
func (c *coordinator) grantAvailable(now clock.Instant, b *bucket) {
	for len(b.queue) > 0 && b.tokens.take() {
		w := b.queue[0]
		b.queue = b.queue[1:]
		c.reply(now, w, Decision{Granted: true, Held: now.Since(w.queuedAt), Turn: b.tokens.waitFor(len(b.queue) + 1)})
	}
}

// deny turns a request away that would wait so long. Callers that are turned away are
// told to come back one after the other, as fast as the replica takes requests.
func (c *coordinator) deny(now clock.Instant, b *bucket, w queuedRequest, wait time.Duration) Decision {
	if !w.request.Alone {
		return Decision{Turn: wait, After: wait}
	}
	b.lastRetryAt = clock.Latest(b.lastRetryAt, now.Add(wait)).Add(b.tokens.interval())
	return Decision{Turn: wait, After: b.lastRetryAt.Since(now)}
}

// reply tells whoever made a request what came of it.
func (c *coordinator) reply(now clock.Instant, w queuedRequest, v Decision) {
	if w.peerToken != 0 {
		if r := c.p.Pool.Get(w.request.Replica.Name); r != nil && r.MayBeIncarnation(w.request.Replica.Born) {
			v.Word = r.LimitReport()
			v.Word.EventTime = v.Word.ForWire(now)
		}
		c.p.Out.Emit(SendReply{Token: w.peerToken, Verdict: v})
		return
	}
	if a := c.p.pending[w.localToken]; a != nil {
		delete(c.p.pending, w.localToken)
		c.p.deliver(now, a, v)
	}
}

// release takes a permit back that was not used.
func (c *coordinator) release(now clock.Instant, s Resource) {
	if b := c.buckets[s]; b != nil {
		b.tokens.release()
		c.grantAvailable(now, b)
	}
}

// tick serves those that wait, and turns away whose time is over: more urgent ones came
// before them, or the limit fell.
func (c *coordinator) tick(now clock.Instant) {
	for _, subject := range slices.SortedFunc(maps.Keys(c.buckets), Resource.Compare) {
		b := c.buckets[subject]
		if len(b.queue) == 0 {
			if now.Since(b.lastUsed) > bucketIdleTimeout {
				delete(c.buckets, subject)
			}
			continue
		}
		c.processQueue(now, b)
	}
}

// processQueue goes on with the requests that wait for one subject.
func (c *coordinator) processQueue(now clock.Instant, b *bucket) {
	s, bounded := c.quota(now, b.queue[0].request)
	if !bounded {
		c.grantAll(now, b)
		return
	}
	b.tokens.refill(now, c.ownQuota(now, b, s))
	c.grantAvailable(now, b)
	var over []queuedRequest
	b.queue = slices.DeleteFunc(b.queue, func(w queuedRequest) bool {
		late := now.Since(w.queuedAt) > w.request.Wait
		if late {
			over = append(over, w)
		}
		return late
	})
	for _, w := range over {
		c.reply(now, w, c.deny(now, b, w, b.tokens.waitFor(len(b.queue)+1)))
	}
}

// grantAll grants all that wait, since nothing is held back any more.
func (c *coordinator) grantAll(now clock.Instant, b *bucket) {
	queue := b.queue
	b.queue = nil
	for _, w := range queue {
		c.reply(now, w, Decision{Granted: true, Held: now.Since(w.queuedAt)})
	}
}

// hasQueued reports whether anything hasQueued.
func (c *coordinator) hasQueued() bool {
	for _, b := range c.buckets {
		if len(b.queue) > 0 {
			return true
		}
	}
	return false
}

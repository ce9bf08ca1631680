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
	// probationPeriod is how long an instance must have been the coordinator, in its own
	// view, before it grants the whole of a limit. It equals the time window over which
	// limits are counted (docs/design/limits.md).
	probationPeriod = 4 * time.Second
	// probationShare is the share of a limit that an instance grants during probation,
	// when another instance may grant the whole: together with the bursts of both, this
	// stays below one and a half times the limit (docs/design/limits.md).
	probationShare = 0.3
	// maxQueue bounds the requests queued for one replica: each holds a connection
	// between instances (docs/design/limits.md).
	maxQueue = 128
	// bucketIdleTimeout is how long a bucket must have been unused before it is deleted
	// (docs/design/limits.md).
	bucketIdleTimeout = time.Minute
)

// A coordinator grants the permits that are requested from this instance.
type coordinator struct {
	p       *Permits
	buckets map[Resource]*bucket
}

// A bucket holds the state of one resource: its token bucket and the requests that are
// queued for permits.
type bucket struct {
	tokens   tokenBucket
	lastUsed clock.Instant // when the bucket was last used
	// coordinatorSince is when this instance became the coordinator in its own view; zero
	// if it is not the coordinator.
	coordinatorSince clock.Instant
	// lastRetryAt is the latest retry time of the callers that were denied.
	lastRetryAt clock.Instant
	queue       []queuedRequest // in the order in which they are granted
}

// A queuedRequest is a request for a permit and its sender: a peer, identified by
// peerToken, or this instance, by the localToken of its pending request.
type queuedRequest struct {
	peerToken  uint64
	localToken uint64
	request    Request
	queuedAt   clock.Instant
}

// A fleetView holds the instances that could act as coordinator at an instant, as seen
// from this instance.
type fleetView struct {
	at        clock.Instant
	instances []registry.Instance
}

// maxViews is how many views are kept: enough to cover more than the longest probation
// period (docs/design/limits.md).
const maxViews = 16

// recordView records which instances could act as coordinator now.
func (p *Permits) recordView(now clock.Instant) {
	p.dropStaleViews(now)
	p.views = append(p.views, p.currentView(now))
	p.views = p.views[max(0, len(p.views)-maxViews):]
}

// dropStaleViews drops the views from before a suspension of this process: they do not
// show which instance granted permits during it.
func (p *Permits) dropStaleViews(now clock.Instant) {
	if n := len(p.views); n > 0 && now.MaxElapsed(p.views[n-1].at) > probationPeriod {
		p.views = nil
	}
}

// currentView returns the instances that could act as coordinator now.
func (p *Permits) currentView(now clock.Instant) fleetView {
	v := fleetView{at: now}
	for name, i := range p.Instances() {
		if p.isCandidate(now, name) {
			v.instances = append(v.instances, i)
		}
	}
	return v
}

// coordinatorFor returns the coordinator of the request's resource, as seen from this
// instance now.
func (p *Permits) coordinatorFor(now clock.Instant, r Request) string {
	return cmp.Or(p.currentView(now).coordinatorFor(r), p.Self.Name)
}

// coordinatorFor returns the coordinator of the request's resource, "" if the view is
// empty. It prefers instances in the replica's zone, then the largest share of a
// processor, then the highest rendezvous score.
func (v fleetView) coordinatorFor(r Request) string {
	type preference struct {
		sameZone  bool
		processor float64
		score     uint64
	}
	key := rendezvous.Key(r.Resource.String())
	var best string
	var bestPreference preference
	for _, i := range v.instances {
		candidate := preference{i.Zone == r.Zone, i.Processor, rendezvous.Score(key, i.Name)}
		better := candidate.score > bestPreference.score
		switch {
		case candidate.sameZone != bestPreference.sameZone:
			better = candidate.sameZone
		case candidate.processor != bestPreference.processor:
			better = candidate.processor > bestPreference.processor
		}
		if best == "" || better {
			best = i.Name
			bestPreference = candidate
		}
	}
	return best
}

// coordinatorSince returns since when this instance has been the coordinator in its own
// view, according to the recorded views.
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

// isCandidate reports whether an instance may act as coordinator, as far as this instance
// knows.
func (p *Permits) isCandidate(now clock.Instant, name string) bool {
	if name == p.Self.Name {
		return !p.Stopping()
	}
	peer := p.Members.Get(name)
	return peer != nil && !peer.Leaving && !peer.Failing() && !now.Before(p.backoffUntil[name])
}

// reachableShare returns the share of the fleet's instances that answer this one. The
// others may be partitioned from it and send to the replica with permits from another
// coordinator.
func (p *Permits) reachableShare(now clock.Instant) float64 {
	total, reachable := 1, 1
	for name := range p.Instances() {
		if name == p.Self.Name {
			continue
		}
		peer := p.Members.Get(name)
		if peer == nil || peer.Leaving {
			continue // it is just starting or stopping
		}
		total++
		if p.isCandidate(now, name) {
			reachable++
		}
	}
	return float64(reachable) / float64(total)
}

// A quota says how many permits of a resource may be granted.
type quota struct {
	rate      float64       // permits per second
	burst     float64       // most permits that may accumulate
	initial   float64       // permits in a new bucket
	probation time.Duration // see probationPeriod
}

// quota returns the quota of a request's resource for all instances together; bounded is
// false if the resource has no limit.
func (c *coordinator) quota(now clock.Instant, r Request) (q quota, bounded bool) {
	rate, bounded := r.Word.Rate(now)
	if known := c.p.Pool.Get(r.Replica.Name); known != nil && known.MayBeIncarnation(r.Replica.Born) {
		rate, bounded = known.RateLimit(now)
	}
	return quota{rate: rate, burst: max(minBurst, rate*burstTime.Seconds()), initial: 1, probation: probationPeriod}, bounded
}

// ownQuota returns the part of a quota that this instance grants.
func (c *coordinator) ownQuota(now clock.Instant, b *bucket, q quota) quota {
	share := c.p.reachableShare(now)
	rate := share * q.rate
	if b.coordinatorSince.IsZero() || now.Since(b.coordinatorSince) < q.probation {
		rate *= probationShare
	}
	return quota{rate: rate, burst: max(min(q.burst, minBurst), share*q.burst)}
}

// admit handles a request: it grants, queues or denies it.
func (c *coordinator) admit(now clock.Instant, w queuedRequest) {
	w.queuedAt = now
	q, bounded := c.quota(now, w.request)
	if !bounded {
		c.reply(now, w, Decision{Granted: true})
		return
	}
	b := c.bucket(now, w.request, q)
	b.tokens.refill(now, c.ownQuota(now, b, q))
	c.grantAvailable(now, b)
	wait, fits := b.queueWait(w.request.Rank)
	if !fits || wait > w.request.Wait {
		c.reply(now, w, c.deny(now, b, w, wait))
		return
	}
	b.enqueue(w)
	c.grantAvailable(now, b)
}

// registered reports whether this instance has a registration, by which the others know
// of it.
func (c *coordinator) registered() bool {
	_, ok := c.p.Instances()[c.p.Self.Name]
	return ok
}

// prepareBuckets creates and refills the buckets that this instance coordinates before
// the first request for them: an instance that rarely receives requests must still record
// since when it has been the coordinator.
func (c *coordinator) prepareBuckets(now clock.Instant) {
	if !c.registered() {
		return
	}
	for _, r := range c.p.Pool.All() {
		if _, limited := r.RateLimit(now); limited {
			c.prepareBucket(now, replicaRequest(r, 0, 0))
		}
	}
}

// prepareBucket creates or refills the bucket of a resource if this instance is its
// coordinator.
func (c *coordinator) prepareBucket(now clock.Instant, r Request) {
	if c.buckets[r.Resource] == nil && c.p.coordinatorFor(now, r) != c.p.Self.Name {
		return
	}
	q, bounded := c.quota(now, r)
	if !bounded {
		return
	}
	b := c.bucket(now, r, q)
	b.tokens.refill(now, c.ownQuota(now, b, q))
}

// bucket returns the bucket of a resource, creating it if necessary, and updates since
// when this instance has been its coordinator.
func (c *coordinator) bucket(now clock.Instant, r Request, q quota) *bucket {
	b := c.buckets[r.Resource]
	if b == nil {
		b = &bucket{tokens: newTokenBucket(now, q)}
		c.buckets[r.Resource] = b
	}
	switch isCoordinator := c.p.coordinatorFor(now, r) == c.p.Self.Name; {
	case !isCoordinator:
		b.coordinatorSince = clock.Instant{}
	case b.coordinatorSince.IsZero(), now.MaxElapsed(b.lastUsed) > q.probation:
		b.coordinatorSince = c.p.coordinatorSince(now, r)
	}
	b.lastUsed = now
	return b
}

// queueWait returns how long a request of a rank would wait; fits is false if the queue
// is full.
func (b *bucket) queueWait(rank int) (wait time.Duration, fits bool) {
	ahead := 0
	for _, w := range b.queue {
		if w.request.Rank <= rank {
			ahead++
		}
	}
	return b.tokens.waitFor(ahead + 1), len(b.queue) < maxQueue
}

// enqueue inserts a request behind those of the same or a more urgent rank.
func (b *bucket) enqueue(w queuedRequest) {
	i, _ := slices.BinarySearchFunc(b.queue, w.request.Rank, func(x queuedRequest, rank int) int {
		if x.request.Rank <= rank {
			return -1
		}
		return 1
	})
	b.queue = slices.Insert(b.queue, i, w)
}

// grantAvailable grants the requests at the head of the queue for which there are tokens.
func (c *coordinator) grantAvailable(now clock.Instant, b *bucket) {
	for len(b.queue) > 0 && b.tokens.take() {
		w := b.queue[0]
		b.queue = b.queue[1:]
		c.reply(now, w, Decision{Granted: true, Held: now.Since(w.queuedAt), Turn: b.tokens.waitFor(len(b.queue) + 1)})
	}
}

// deny returns a denial for a request that would have to wait for the given time. Callers
// that no other replica can serve get retry times one after the other, at the rate at
// which the replica takes requests.
func (c *coordinator) deny(now clock.Instant, b *bucket, w queuedRequest, wait time.Duration) Decision {
	if !w.request.Alone {
		return Decision{Turn: wait, After: wait}
	}
	b.lastRetryAt = clock.Latest(b.lastRetryAt, now.Add(wait)).Add(b.tokens.interval())
	return Decision{Turn: wait, After: b.lastRetryAt.Since(now)}
}

// reply sends a decision to the sender of the request.
func (c *coordinator) reply(now clock.Instant, w queuedRequest, d Decision) {
	if w.peerToken != 0 {
		if r := c.p.Pool.Get(w.request.Replica.Name); r != nil && r.MayBeIncarnation(w.request.Replica.Born) {
			d.Word = r.LimitReport()
			d.Word.EventTime = d.Word.ForWire(now)
		}
		c.p.Out.Emit(SendReply{Token: w.peerToken, Verdict: d})
		return
	}
	if req := c.p.pending[w.localToken]; req != nil {
		delete(c.p.pending, w.localToken)
		c.p.deliver(now, req, d)
	}
}

// release takes back a permit that was not used.
func (c *coordinator) release(now clock.Instant, r Resource) {
	if b := c.buckets[r]; b != nil {
		b.tokens.release()
		c.grantAvailable(now, b)
	}
}

// tick processes the queues and deletes idle buckets.
func (c *coordinator) tick(now clock.Instant) {
	for _, resource := range slices.SortedFunc(maps.Keys(c.buckets), Resource.Compare) {
		b := c.buckets[resource]
		if len(b.queue) == 0 {
			if now.Since(b.lastUsed) > bucketIdleTimeout {
				delete(c.buckets, resource)
			}
			continue
		}
		c.processQueue(now, b)
	}
}

// processQueue grants queued requests for which there are tokens, and denies those whose
// wait has expired because more urgent ones overtook them or the limit fell.
func (c *coordinator) processQueue(now clock.Instant, b *bucket) {
	q, bounded := c.quota(now, b.queue[0].request)
	if !bounded {
		c.grantAll(now, b)
		return
	}
	b.tokens.refill(now, c.ownQuota(now, b, q))
	c.grantAvailable(now, b)
	var expired []queuedRequest
	b.queue = slices.DeleteFunc(b.queue, func(w queuedRequest) bool {
		tooLate := now.Since(w.queuedAt) > w.request.Wait
		if tooLate {
			expired = append(expired, w)
		}
		return tooLate
	})
	for _, w := range expired {
		c.reply(now, w, c.deny(now, b, w, b.tokens.waitFor(len(b.queue)+1)))
	}
}

// grantAll grants all queued requests because the resource no longer has a limit.
func (c *coordinator) grantAll(now clock.Instant, b *bucket) {
	queue := b.queue
	b.queue = nil
	for _, w := range queue {
		c.reply(now, w, Decision{Granted: true, Held: now.Since(w.queuedAt)})
	}
}

// hasQueued reports whether any request is queued.
func (c *coordinator) hasQueued() bool {
	for _, b := range c.buckets {
		if len(b.queue) > 0 {
			return true
		}
	}
	return false
}

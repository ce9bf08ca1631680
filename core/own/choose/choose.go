// Package choose selects the replica for a call of the product's own interface. Only the
// product's own environment uses it; core/route selects the replicas of forwarded calls.
//
// For each candidate the chooser estimates the time to first token, as the sum of the
// queueing behind the active sequences, the prefill of the prompt tokens that are not in
// the replica's prefix cache, the network round trip, and the time by which the replica
// was recently slower than that. The lowest estimate wins. Prefix affinity needs no rule
// of its own: a cached prefix lowers the estimate by exactly the prefill that it saves,
// and a queue raises it.
//
// Invariants: a replica that is leaving is never chosen. Ejected replicas are excluded
// unless more than a third of the candidates are ejected, since the cause is then more
// likely to be on this instance's side. Ejected replicas of other zones are always excluded.
package choose

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// Parameters of the estimates.
const (
	crossZoneRoundTrip = 2 * time.Millisecond // network round trip to another zone
	// batchSlowdown is the time that the other sequences of a full replica add to a call,
	// as a share of the measured hold time: the sequences of a batch slow each other
	// down.
	batchSlowdown = 0.15
	// replicaQueueShare is the number of sequences, as a share of a replica's sequences,
	// that may queue inside the replica. Further calls wait at this instance, where a
	// better replica may still be found for them.
	replicaQueueShare = 0.25
	// maxEjectedShare is the largest share of the candidates that may be excluded because
	// of their failures.
	maxEjectedShare = 1.0 / 3
	// affinityCachedShare is the share of a prefix that is assumed to be cached on the
	// replica that rendezvous hashing selects, when this instance has no record of the
	// prefix.
	affinityCachedShare = 0.25
)

// A Query describes one call for the choice.
type Query struct {
	Zone         string // zone of this instance
	PromptTokens int
	PrefillRate  int // tokens per second
	Prefix       Prefix
	Exclude      string // replica that just failed the call; used only if no other can serve
}

// An Estimate is the expected time to first token on one replica, by component.
type Estimate struct {
	Replica *pool.Replica
	Queue   time.Duration
	Prefill time.Duration
	Network time.Duration
	Slow    time.Duration // how much slower than expected the replica recently was
	Cached  int           // prompt tokens expected in the replica's prefix cache
	Room    bool          // the replica may be sent another call now
}

// Total returns the expected time to first token.
func (e Estimate) Total() time.Duration { return e.Queue + e.Prefill + e.Network + e.Slow }

// A Chooser selects replicas and records where prefixes were sent.
type Chooser struct {
	prefixes *PrefixIndex
}

// NewChooser returns a chooser that records up to size prefix blocks.
func NewChooser(size int) *Chooser { return &Chooser{prefixes: NewPrefixIndex(size)} }

// RecordSent records that a call with prefix p was sent to the replica.
func (c *Chooser) RecordSent(p Prefix, replica string) { c.prefixes.Record(p, replica) }

// Choose returns the best estimate among the candidates. ok is false if no candidate may
// be sent new work. If every candidate is full, the estimate returned has Room false: the
// call has to wait, approximately for the estimate's Queue.
func (c *Chooser) Choose(now clock.Instant, q Query, candidates []*pool.Replica) (best Estimate, ok bool) {
	mayEject := c.mayEject(now, candidates)
	preferred := preferredReplica(q.Prefix, candidates)
	cachedOn, cached := c.prefixes.Find(q.Prefix)
	for _, r := range candidates {
		if !r.Usable() {
			continue
		}
		// If a zone is cut off, all its replicas fail. Waiting for a load in this zone is
		// then better than trying them again before their ejection ends.
		if r.Ejected(now) && (mayEject || r.Zone != q.Zone) {
			continue
		}
		e := estimate(now, q, r)
		e.applyCache(q, r == preferred, cachedOn == r.Name, cached)
		if !ok || better(q, e, best) {
			best = e
			ok = true
		}
	}
	return best, ok
}

// better reports whether a is preferred to b: first a replica other than the one that
// just failed the call, then one with room, then the lower expected time to first token.
func better(q Query, a, b Estimate) bool {
	if q.Exclude != "" && (a.Replica.Name == q.Exclude) != (b.Replica.Name == q.Exclude) {
		return b.Replica.Name == q.Exclude
	}
	if a.Room != b.Room {
		return a.Room
	}
	return a.Total() < b.Total()
}

// mayEject reports whether few enough candidates are ejected to exclude them.
func (c *Chooser) mayEject(now clock.Instant, candidates []*pool.Replica) bool {
	ejected := 0
	usable := 0
	for _, r := range candidates {
		if !r.Usable() {
			continue
		}
		usable++
		if r.Ejected(now) {
			ejected++
		}
	}
	// One ejected of two candidates is more than a third, but leaves a healthy one.
	return ejected > 0 && ejected < usable && (ejected == 1 || float64(ejected) <= maxEjectedShare*float64(usable))
}

// estimate returns the estimate for a call on r, on the assumption that no part of the
// prompt is cached there. applyCache corrects it.
func estimate(now clock.Instant, q Query, r *pool.Replica) Estimate {
	n := r.ActiveSequences(now)
	slots := float64(max(1, r.Concurrent))
	e := Estimate{Replica: r}
	if n >= slots {
		e.Queue = time.Duration((n - slots + 1) / slots * float64(r.ServiceTime()))
	}
	e.Queue += time.Duration(batchSlowdown * min(n/slots, 1) * float64(min(r.ServiceTime(), time.Second)))
	if q.PrefillRate > 0 {
		e.Prefill = time.Duration(float64(q.PromptTokens) / float64(q.PrefillRate) * float64(time.Second))
	}
	if r.Zone != q.Zone {
		e.Network = crossZoneRoundTrip
	}
	if first := r.TimeToFirstToken(now); first > e.Queue+e.Prefill {
		e.Slow = first - e.Queue - e.Prefill
	}
	e.Room = n < slots*(1+replicaQueueShare) && r.InFlight() < r.Limit.Limit()
	return e
}

// applyCache subtracts the prefill of the prompt tokens that the replica is expected to have
// cached. recorded reports whether the replica is the one to which the prefix was last sent;
// tokens is the length of the recorded part of the prefix, 0 if there is no record on any
// replica. In that case the preferred replica is assumed to have affinityCachedShare of the
// prefix.
func (e *Estimate) applyCache(q Query, preferred, recorded bool, tokens int) {
	if q.PromptTokens <= 0 || q.PrefillRate <= 0 {
		return
	}
	perToken := float64(time.Second) / float64(q.PrefillRate)
	switch {
	case recorded:
		e.Cached = min(tokens, q.PromptTokens)
	case preferred && tokens == 0:
		e.Cached = int(affinityCachedShare * float64(min(q.Prefix.Tokens(), q.PromptTokens)))
	}
	e.Prefill -= time.Duration(float64(e.Cached) * perToken)
}

// preferredReplica returns the usable replica that rendezvous hashing selects for a
// prefix, so that instances agree without communication on where a new prefix is sent. It
// returns nil for an empty prefix.
func preferredReplica(p Prefix, candidates []*pool.Replica) *pool.Replica {
	if len(p.blocks) == 0 {
		return nil
	}
	var best *pool.Replica
	var bestScore uint64
	for _, r := range candidates {
		if !r.Usable() {
			continue
		}
		if score := rendezvous.Score(p.blocks[0], r.Name); best == nil || score > bestScore {
			best = r
			bestScore = score
		}
	}
	return best
}

// HandleRestart records that the replica restarted, so that its prefix cache is empty.
func (c *Chooser) HandleRestart(replica string) { c.prefixes.RemoveReplica(replica) }

// Package choose provides the choice of the replica that a call of the product's
// own interface is sent to. Only the product's own environment runs it; forwarded
// calls are chosen for in core/route.
//
// The idea: each candidate gets an expected time to first token, made of the
// wait behind the sequences ahead, the prefill of the prompt tokens that are
// not in its prefix cache, the way there, and how slow it has lately been; the
// lowest wins. Prefix affinity therefore needs no rule of its own: a cached
// prefix makes a replica cheaper by exactly the prefill that it saves, and a
// queue makes it dearer.
//
// Invariants: a replica that is leaving is never chosen; ejected replicas are
// passed over unless more than a third of the candidates are ejected, since
// then the cause is likelier to be on this side; ejected replicas of other
// zones are always passed over.
package choose

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// Tunables of the choice.
const (
	crossZoneRoundTrip = 2 * time.Millisecond // way to another zone and back
	// batchSlowdown is what one sequence that runs beside a call costs it, as a share
	// of the measured hold time at a full replica: batches slow each other.
	batchSlowdown = 0.15
	// replicaQueueShare is the share of a replica's sequences that may wait inside it
	// before calls wait here instead, where a better place can still be found.
	replicaQueueShare = 0.25
	// maxEjectedShare is the share of candidates that may be passed over for
	// their failures.
	maxEjectedShare = 1.0 / 3
	// affinityCachedShare is the share of a prefix's prefill that the replica which
	// rendezvous hashing names is trusted to save, when this instance has no
	// memory of the prefix itself.
	affinityCachedShare = 0.25
)

// A Query is what the choice needs to know of one call.
type Query struct {
	Zone         string // zone of this instance
	PromptTokens int
	PrefillRate  int // tokens a second
	Prefix       Prefix
	Exclude      string // replica that just failed the call, passed over if another can serve
}

// An Estimate is the expected time to first token on one replica, in parts.
type Estimate struct {
	Replica *pool.Replica
	Queue   time.Duration
	Prefill time.Duration
	Network time.Duration
	Slow    time.Duration // how much longer than expected it lately took
	Cached  int           // prompt tokens believed to be in its prefix cache
	Room    bool          // it may be sent another call now
}

// Total returns the expected time to first token.
func (e Estimate) Total() time.Duration { return e.Queue + e.Prefill + e.Network + e.Slow }

// A Chooser remembers where prefixes were sent and makes choices.
type Chooser struct {
	prefixes *PrefixIndex
}

// NewChooser returns a chooser that remembers up to size prefix blocks.
func NewChooser(size int) *Chooser { return &Chooser{prefixes: NewPrefixIndex(size)} }

// RecordSent notes that a call with this prefix was sent to the replica.
func (c *Chooser) RecordSent(p Prefix, replica string) { c.prefixes.Record(p, replica) }

// Choose returns the best estimate among the candidates. ok is false when none
// may be sent new work. An estimate without Room is returned when every
// candidate is full: the call has to wait, and the estimate says about how long.
func (c *Chooser) Choose(now clock.Instant, q Query, candidates []*pool.Replica) (best Estimate, ok bool) {
	spare := c.mayEject(now, candidates)
	preferred := preferredReplica(q.Prefix, candidates)
	cachedOn, cached := c.prefixes.Find(q.Prefix)
	for _, r := range candidates {
		if !r.Usable() {
			continue
		}
		// A zone that is cut off fails every replica in it: waiting for a load
		// in this one beats trying them again before their time is up.
		if r.Ejected(now) && (spare || r.Zone != q.Zone) {
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

// better orders estimates: another replica than the one that just failed,
// then room, then the expected time to first token.
func better(q Query, a, b Estimate) bool {
	if q.Exclude != "" && (a.Replica.Name == q.Exclude) != (b.Replica.Name == q.Exclude) {
		return b.Replica.Name == q.Exclude
	}
	if a.Room != b.Room {
		return a.Room
	}
	return a.Total() < b.Total()
}

// mayEject reports whether few enough candidates are ejected to pass them over.
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
	// One ejected of two candidates is over a third, yet leaves a healthy one.
	return ejected > 0 && ejected < usable && (ejected == 1 || float64(ejected) <= maxEjectedShare*float64(usable))
}

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

func (e *Estimate) applyCache(q Query, preferred, remembered bool, tokens int) {
	if q.PromptTokens <= 0 || q.PrefillRate <= 0 {
		return
	}
	perToken := float64(time.Second) / float64(q.PrefillRate)
	switch {
	case remembered:
		e.Cached = min(tokens, q.PromptTokens)
	case preferred && tokens == 0:
		e.Cached = int(affinityCachedShare * float64(min(q.Prefix.Tokens(), q.PromptTokens)))
	}
	e.Prefill -= time.Duration(float64(e.Cached) * perToken)
}

// preferredReplica returns the usable replica that rendezvous hashing names for a prefix,
// so that instances which never met agree on where a new prefix goes.
func preferredReplica(p Prefix, candidates []*pool.Replica) *pool.Replica {
	if len(p.blocks) == 0 {
		return nil
	}
	var best *pool.Replica
	var top uint64
	for _, r := range candidates {
		if !r.Usable() {
			continue
		}
		if score := rendezvous.Score(p.blocks[0], r.Name); best == nil || score > top {
			best = r
			top = score
		}
	}
	return best
}

// HandleRestart notes that the replica restarted and its prefix cache is empty.
func (c *Chooser) HandleRestart(replica string) { c.prefixes.RemoveReplica(replica) }

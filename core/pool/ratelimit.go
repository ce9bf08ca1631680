package pool

import (
	"math"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// A RateLimit is what an answer of a replica says of how many requests a second it takes
// from all instances together. The zero value names no limit.
type RateLimit struct {
	Named     bool
	PerSecond float64 // 0: none at all
	// Unclear says that the answer names one which makes no sense. What was named before
	// holds on then.
	Unclear bool
}

// A LimitReport is the newest that is known of a replica's limit. The zero value says that
// it never named one.
type LimitReport struct {
	// Limit is what it named. Of one that has ended, PerSecond is what it was.
	Limit RateLimit
	By    string // the instance that had the answer
	// Moment is when that came.
	clock.EventTime
}

// IsZero reports whether the replica never named a limit.
func (w LimitReport) IsZero() bool { return w.By == "" }

const (
	// minRate is the rate, in requests a second, at which a replica is sent requests
	// whatever it names: from one that gets none, nobody would hear that it takes more
	// (docs/design/limits.md).
	minRate = 0.2
	// unlimitedRate is the limit, in requests a second, from which on nothing is held back
	// for it: no replica is sent as many (docs/design/limits.md).
	unlimitedRate = 10_000
	// recoveryMinRate is what a replica takes at least, in requests a second, once its limit has
	// ended (docs/design/limits.md).
	recoveryMinRate = 1
	// recoveryDoublingTime is the time in which the requests that it takes then double, so that
	// not all instances come back to it at once (docs/design/limits.md).
	recoveryDoublingTime = time.Second
	// recoveryPeriod is how long that lasts (docs/design/limits.md).
	recoveryPeriod = 6 * time.Second
)

// Rate returns how many requests a second the replica is to get from all instances
// together; limited is false where nothing is held back.
func (w LimitReport) Rate(now clock.Instant) (perSecond float64, limited bool) {
	switch since := now.Since(w.At); {
	case w.IsZero():
		return 0, false
	case w.Limit.Named:
		return max(w.Limit.PerSecond, minRate), w.Limit.PerSecond < unlimitedRate
	case since < recoveryPeriod:
		doublings := max(0, float64(since)/float64(recoveryDoublingTime))
		return max(w.Limit.PerSecond, recoveryMinRate) * math.Exp2(doublings), true
	default:
		return 0, false
	}
}

// Newer reports whether w is later than another word of the same replica.
func (w LimitReport) Newer(old LimitReport) bool { return old.At.Before(w.At) }

// supersededBy reports whether what an answer says of the limit holds against what is known.
// Answers overtake each other, so one that takes back what another said must be to a
// request that was sent after that came; one that says less counts at once.
func (w LimitReport) supersededBy(limit RateLimit, sent clock.Instant) bool {
	switch {
	case limit.Unclear:
		return false
	case !limit.Named && !w.Limit.Named:
		return false
	case limit.Named && (!w.Limit.Named || limit.PerSecond < w.Limit.PerSecond):
		return true
	default:
		return !sent.Before(w.At)
	}
}

// LimitReport returns the newest that is known of the replica's limit.
func (r *Replica) LimitReport() LimitReport { return r.limit.report }

// RateLimit returns how many requests a second the replica is to get from all instances
// together; limited is false where nothing is held back.
func (r *Replica) RateLimit(now clock.Instant) (perSecond float64, limited bool) {
	return r.limit.report.Rate(now)
}

// A limitState is what is known of a replica's limit, and when a request may go there.
type limitState struct {
	report     LimitReport
	nextSendAt clock.Instant // when the next request may be sent, as was last said
}

// ObserveLimit takes in what a replica said of its limit in its answer to what was sent at
// sent by the instance by, and reports whether it holds against what was known. An answer to
// something that was sent before this life of the replica was known says nothing.
func (p *Pool) ObserveLimit(now clock.Instant, name string, sent clock.Instant, limit RateLimit, by string) bool {
	r := p.replicas[name]
	if r == nil || sent.Before(r.seenAt) || !r.limit.report.supersededBy(limit, sent) {
		return false
	}
	if !limit.Named {
		limit.PerSecond = r.limit.report.Limit.PerSecond
	}
	if limit != r.limit.report.Limit {
		p.capacityChanges++
	}
	r.limit.report = LimitReport{Limit: limit, By: by, EventTime: clock.EventTime{At: now}}
	return true
}

// ObservePeerLimit takes in what another instance heard of the limit of a life of a replica, and
// reports whether that is later than what is known.
func (p *Pool) ObservePeerLimit(life Incarnation, w LimitReport) bool {
	r := p.replicas[life.Name]
	if r == nil || !r.MayBeIncarnation(life.Born) || !w.Newer(r.limit.report) {
		return false
	}
	r.limit.report = w
	p.capacityChanges++
	return true
}

// SetNextSend notes when the next request may be sent to the replica, as was said now.
func (r *Replica) SetNextSend(at clock.Instant) { r.limit.nextSendAt = at }

// RateLimitDelay returns how long a request to the replica is believed to wait for its limit:
// until the next one may be sent, as far as that is known, and half the time between two of
// them at least, since other instances send there too.
func (r *Replica) RateLimitDelay(now clock.Instant) time.Duration {
	rate, limited := r.RateLimit(now)
	if !limited {
		return 0
	}
	return max(r.limit.nextSendAt.Since(now), time.Duration(float64(time.Second)/(2*rate)))
}

// staleLimitAge is for how long nothing need have been heard of a limit for the next request
// to go to its replica, which shows whether it still holds (docs/design/limits.md).
const staleLimitAge = 5 * time.Second

// LimitStale reports whether the replica named a limit, nobody has heard of it for a
// while, and a request may be sent now as far as is known.
func (r *Replica) LimitStale(now clock.Instant) bool {
	w := r.limit.report
	return w.Limit.Named && now.Since(w.At) >= staleLimitAge && !now.Before(r.limit.nextSendAt)
}

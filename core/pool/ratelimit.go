package pool

import (
	"math"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// A RateLimit is the rate limit in a replica's response: how many requests per second it
// accepts from all instances together. The zero value means that the response has none.
type RateLimit struct {
	Named     bool    // the response has a limit
	PerSecond float64 // requests; 0: none are accepted
	// Unclear reports that the response has a limit that cannot be parsed. The previous limit
	// stays in force then.
	Unclear bool
}

// A LimitReport is the newest report of a replica's rate limit by any instance. The zero value
// means that the replica never sent a limit.
type LimitReport struct {
	// Limit is the reported limit. If the limit was lifted, Named is false and PerSecond is its
	// former value.
	Limit RateLimit
	By    string // the instance that received the response
	// EventTime is when the response arrived.
	clock.EventTime
}

// IsZero reports whether the replica never sent a limit.
func (l LimitReport) IsZero() bool { return l.By == "" }

const (
	// minRate is the lowest rate, in requests per second, at which a replica is sent requests,
	// whatever its limit: if it received none, no instance would learn that it accepts more
	// (docs/design/limits.md).
	minRate = 0.2
	// unlimitedRate is the limit, in requests per second, from which no request is held back:
	// no replica is sent that many (docs/design/limits.md).
	unlimitedRate = 10_000
	// recoveryMinRate is the lowest rate, in requests per second, assumed right after a
	// replica's limit was lifted (docs/design/limits.md).
	recoveryMinRate = 1
	// recoveryDoublingTime is the time in which that rate doubles, so that the instances do not
	// return to the replica all at once (docs/design/limits.md).
	recoveryDoublingTime = time.Second
	// recoveryPeriod is how long this ramp-up lasts (docs/design/limits.md).
	recoveryPeriod = 6 * time.Second
)

// Rate returns the rate in requests per second that the replica may receive from all instances
// together; limited is false if no request is held back.
func (l LimitReport) Rate(now clock.Instant) (perSecond float64, limited bool) {
	switch since := now.Since(l.At); {
	case l.IsZero():
		return 0, false
	case l.Limit.Named:
		return max(l.Limit.PerSecond, minRate), l.Limit.PerSecond < unlimitedRate
	case since < recoveryPeriod:
		doublings := max(0, float64(since)/float64(recoveryDoublingTime))
		return max(l.Limit.PerSecond, recoveryMinRate) * math.Exp2(doublings), true
	default:
		return 0, false
	}
}

// Newer reports whether l is later than another report for the same replica.
func (l LimitReport) Newer(old LimitReport) bool { return old.At.Before(l.At) }

// supersededBy reports whether the limit in a response replaces l. Responses may arrive out of
// order, so a response that raises or lifts the limit must answer a request that was sent after
// l arrived; a lower limit takes effect at once.
func (l LimitReport) supersededBy(limit RateLimit, sent clock.Instant) bool {
	switch {
	case limit.Unclear:
		return false
	case !limit.Named && !l.Limit.Named:
		return false
	case limit.Named && (!l.Limit.Named || limit.PerSecond < l.Limit.PerSecond):
		return true
	default:
		return !sent.Before(l.At)
	}
}

// LimitReport returns the newest report of the replica's limit.
func (r *Replica) LimitReport() LimitReport { return r.limit.report }

// RateLimit returns the rate in requests per second that the replica may receive from all
// instances together; limited is false if no request is held back.
func (r *Replica) RateLimit(now clock.Instant) (perSecond float64, limited bool) {
	return r.limit.report.Rate(now)
}

// limitState holds the newest report of a replica's limit and when the next request may be
// sent.
type limitState struct {
	report     LimitReport
	nextSendAt clock.Instant // when the next request may be sent, as last set by SetNextSend
}

// ObserveLimit records the limit in the response to a request that was sent at sent, and reports
// whether it replaced the known one. The instance by received the response. ObserveLimit ignores
// responses to requests that were sent before this incarnation was first seen.
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

// ObservePeerLimit records another instance's report of the limit of an incarnation, and
// reports whether it is newer than the known one.
func (p *Pool) ObservePeerLimit(incarnation Incarnation, report LimitReport) bool {
	r := p.replicas[incarnation.Name]
	if r == nil || !r.MayBeIncarnation(incarnation.Born) || !report.Newer(r.limit.report) {
		return false
	}
	r.limit.report = report
	p.capacityChanges++
	return true
}

// SetNextSend records when the next request may be sent to the replica.
func (r *Replica) SetNextSend(at clock.Instant) { r.limit.nextSendAt = at }

// RateLimitDelay estimates how long a request to the replica waits for its limit: until the
// next request may be sent, if that is known, and at least half the interval between two
// requests, since other instances send requests too.
func (r *Replica) RateLimitDelay(now clock.Instant) time.Duration {
	rate, limited := r.RateLimit(now)
	if !limited {
		return 0
	}
	return max(r.limit.nextSendAt.Since(now), time.Duration(float64(time.Second)/(2*rate)))
}

// staleLimitAge is the age of the newest limit report at which the next request is sent to the
// replica to check whether the limit still holds (docs/design/limits.md).
const staleLimitAge = 5 * time.Second

// LimitStale reports whether the replica has a limit, no instance has reported it for
// staleLimitAge, and a request may be sent now according to SetNextSend.
func (r *Replica) LimitStale(now clock.Instant) bool {
	report := r.limit.report
	return report.Limit.Named && now.Since(report.At) >= staleLimitAge && !now.Before(r.limit.nextSendAt)
}

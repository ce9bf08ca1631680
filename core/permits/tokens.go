package permits

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

const (
	// burstTime is the time for which the permits of a limit may accumulate. Queued
	// requests are granted only at ticks, so the permits between two ticks must be kept
	// (docs/design/limits.md).
	burstTime = 200 * time.Millisecond
	// minBurst is the least number of permits that may accumulate. With a burst of one,
	// tokens that arrive while no call waits are lost: a seventh of all tokens if the limit
	// is small (docs/design/limits.md).
	minBurst = 2
)

// A tokenBucket is the token bucket of one resource. It does not start full, since another
// instance may have granted permits until now.
type tokenBucket struct {
	available  float64
	refilledAt clock.Instant // time of the last refill
	rate       float64       // tokens per second
}

func newTokenBucket(now clock.Instant, q quota) tokenBucket {
	return tokenBucket{available: q.initial, refilledAt: now}
}

// refill adds the tokens since the last refill at the previous rate, then applies the
// rate and burst of q.
func (t *tokenBucket) refill(now clock.Instant, q quota) {
	if span := now.Since(t.refilledAt); span > 0 {
		t.available += t.rate * span.Seconds()
		t.refilledAt = now
	}
	t.rate = q.rate
	t.available = min(t.available, q.burst)
}

// take takes one token and reports whether there was one.
func (t *tokenBucket) take() bool {
	if t.available < 1 {
		return false
	}
	t.available--
	return true
}

// release puts one token back; the next refill drops tokens above the burst.
func (t *tokenBucket) release() { t.available++ }

// waitFor returns how long it takes from now until n tokens are available in all.
func (t *tokenBucket) waitFor(n int) time.Duration {
	missing := float64(n) - t.available
	if missing <= 0 {
		return 0
	}
	if t.rate <= 0 {
		return maxWait
	}
	wait := min(missing/t.rate, maxWait.Seconds()) * float64(time.Second)
	return max(time.Duration(wait), 1) // even a small missing fraction of a token requires a wait
}

// maxWait bounds the reported waits so that no duration overflows
// (docs/design/limits.md).
const maxWait = time.Hour

// interval returns the time between two tokens.
func (t *tokenBucket) interval() time.Duration {
	if t.rate <= 0 {
		return maxWait
	}
	return min(time.Duration(float64(time.Second)/t.rate), maxWait)
}

package permits

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

const (
	// burstTime is over how much time of a limit permits may pile up: what waits is served
	// at ticks, which are apart (docs/design/limits.md).
	burstTime = 200 * time.Millisecond
	// minBurst is the least that may pile up: with one, what comes while no call waits is
	// lost, a seventh of small limits (docs/design/limits.md).
	minBurst = 2
)

// A tokenBucket is a token bucket. It does not begin full: another instance may have given out
// permits until now.
type tokenBucket struct {
	available  float64
	refilledAt clock.Instant // when it was last refilled
	rate       float64       // a second
}

func newTokenBucket(now clock.Instant, s quota) tokenBucket {
	return tokenBucket{available: s.initial, refilledAt: now}
}

// refill adds what came since the last refill at the rate that held then, and takes over
// another rate and bound.
func (t *tokenBucket) refill(now clock.Instant, s quota) {
	if span := now.Since(t.refilledAt); span > 0 {
		t.available += t.rate * span.Seconds()
		t.refilledAt = now
	}
	t.rate = s.rate
	t.available = min(t.available, s.burst)
}

// take takes one token, if there is one.
func (t *tokenBucket) take() bool {
	if t.available < 1 {
		return false
	}
	t.available--
	return true
}

// release puts one token back; the next refill drops what is too much.
func (t *tokenBucket) release() { t.available++ }

// waitFor returns how long it takes waitFor n tokens were there in all, from now on.
func (t *tokenBucket) waitFor(n int) time.Duration {
	missing := float64(n) - t.available
	if missing <= 0 {
		return 0
	}
	if t.rate <= 0 {
		return maxWait
	}
	wait := min(missing/t.rate, maxWait.Seconds()) * float64(time.Second)
	return max(time.Duration(wait), 1) // a missing part of a token is a wait, however short
}

// maxWait bounds what is told of a wait, so that no span overflows
// (docs/design/limits.md).
const maxWait = time.Hour

// interval returns the time between two tokens.
func (t *tokenBucket) interval() time.Duration {
	if t.rate <= 0 {
		return maxWait
	}
	return min(time.Duration(float64(time.Second)/t.rate), maxWait)
}

package admission

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

const (
	// burstTime is the time for which unused tokens are kept.
	burstTime = 150 * time.Millisecond
	// minBurst is the least number of unused tokens that are kept.
	minBurst = 8
	// maxDebt is the time within which tokens that were taken beyond those that there were are
	// made up for.
	maxDebt = time.Second
)

// A bucket is a token bucket; each call that begins takes a token. The zero bucket has no limit.
type bucket struct {
	rate     float64 // tokens a second; 0: no limit
	tokens   float64 // negative: calls began beyond the limit
	filledAt clock.Instant
}

// limits reports whether the bucket has a limit.
func (b *bucket) limits() bool { return b.rate > 0 }

func (b *bucket) fill(now clock.Instant) {
	b.tokens = min(b.tokens+b.rate*now.Since(b.filledAt).Seconds(), max(minBurst, b.rate*burstTime.Seconds()))
	b.filledAt = now
}

// take takes n tokens.
func (b *bucket) take(now clock.Instant, n float64) {
	if b.limits() {
		b.fill(now)
		b.tokens = max(b.tokens-n, -b.rate*maxDebt.Seconds())
	}
}

// overdrawn reports whether more calls began than there were tokens.
func (b *bucket) overdrawn() bool { return b.limits() && b.tokens < 0 }

// has reports whether there are n tokens.
func (b *bucket) has(now clock.Instant, n float64) bool {
	if !b.limits() {
		return true
	}
	b.fill(now)
	return b.tokens >= n
}

// lasts reports whether there is a token, and tokens for a time at the limit.
func (b *bucket) lasts(now clock.Instant, span time.Duration) bool {
	return b.has(now, max(1, b.rate*span.Seconds()))
}

// Package backoff provides the spacing of repeated attempts: exponential with
// full jitter, so that a fleet that lost the platform together does not come
// back to it together.
package backoff

import (
	"math/rand/v2"
	"time"
)

// maxDoublings bounds the doublings of Base that are worked out, so that they do
// not overflow: a Base of 10 ms reaches three hours with it.
const maxDoublings = 20

// A Backoff is an immutable count of failures in a row with its bounds.
type Backoff struct {
	Base     time.Duration
	Max      time.Duration
	failures int
}

// New returns a backoff without failures.
func New(base, maxDelay time.Duration) Backoff { return Backoff{Base: base, Max: maxDelay} }

// WithFailure returns b after one more failure.
func (b Backoff) WithFailure() Backoff {
	b.failures++
	return b
}

// WithSuccess returns b after a success.
func (b Backoff) WithSuccess() Backoff {
	b.failures = 0
	return b
}

// Delay draws the time until the next attempt: nothing without failures, else
// uniformly between Base and the ceiling that doubles with each failure.
func (b Backoff) Delay(rng *rand.Rand) time.Duration {
	if b.failures == 0 {
		return 0
	}
	ceiling := b.Max
	if b.failures < maxDoublings {
		ceiling = min(b.Base<<b.failures, b.Max)
	}
	return b.Base + time.Duration(rng.Float64()*float64(max(ceiling-b.Base, 0)))
}

// Package backoff provides exponential backoff with full jitter, so that the
// instances of a fleet that lost the platform at the same time do not all reconnect
// at the same time.
package backoff

import (
	"math/rand/v2"
	"time"
)

// maxDoublings bounds the number of doublings of Base that are computed, since more
// could overflow. A Base of 10 ms doubled 20 times is almost three hours.
const maxDoublings = 20

// A Backoff is an immutable count of consecutive failures and the bounds of the
// delay.
type Backoff struct {
	Base     time.Duration
	Max      time.Duration
	failures int
}

// New returns a backoff with no failures.
func New(base, maxDelay time.Duration) Backoff { return Backoff{Base: base, Max: maxDelay} }

// WithFailure returns b after one more failure.
func (b Backoff) WithFailure() Backoff {
	b.failures++
	return b
}

// WithSuccess returns b after a success, with no failures.
func (b Backoff) WithSuccess() Backoff {
	b.failures = 0
	return b
}

// Delay returns a random delay before the next attempt: zero without failures, else
// uniformly distributed between Base and a ceiling that doubles with each failure,
// up to Max.
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

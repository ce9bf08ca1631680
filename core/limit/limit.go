// Package limit provides an adaptive concurrency limit for a replica: it follows the
// number of concurrent calls that the replica answers in time.
package limit

const (
	additiveIncrease = 1.0  // calls added to a limit after a number of answers in time equal to the limit
	decreaseFactor   = 0.85 // factor applied to a limit after a late answer
	ceilingFactor    = 4    // a limit never exceeds this many times its initial value
)

// A Concurrency is an immutable limit on the calls in flight to one replica. It
// grows by additive increase after answers in time and shrinks by multiplicative
// decrease after late ones.
type Concurrency struct {
	limit   float64
	initial float64
}

// NewConcurrency returns a limit that starts at the number of concurrent calls that
// the replica is configured for.
func NewConcurrency(start int) Concurrency {
	return Concurrency{limit: float64(start), initial: float64(start)}
}

// Limit returns the number of calls allowed in flight, at least 1.
func (c Concurrency) Limit() int { return max(1, int(c.limit)) }

// WithOnTime returns c after an answer that came in time.
func (c Concurrency) WithOnTime() Concurrency {
	c.limit = min(c.limit+additiveIncrease/c.limit, c.initial*ceilingFactor)
	return c
}

// WithLate returns c after an answer that was late because of queueing.
func (c Concurrency) WithLate() Concurrency {
	c.limit = max(c.limit*decreaseFactor, 1)
	return c
}

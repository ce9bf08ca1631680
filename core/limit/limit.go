// Package limit provides a concurrency limit for each replica, which follows what
// the replica was measured to bear.
package limit

const (
	additiveIncrease = 1.0  // added to a limit for each full turn of good answers
	decreaseFactor   = 0.85 // what a late answer leaves of a limit
	ceilingFactor    = 4    // a limit never exceeds this many times its start
)

// A Concurrency is an immutable limit on calls in flight to one replica:
// additive increase after answers in time, multiplicative decrease after late
// ones.
type Concurrency struct {
	limit   float64
	initial float64
}

// NewConcurrency returns a limit that starts at what the replica is configured
// to run at once.
func NewConcurrency(start int) Concurrency {
	return Concurrency{limit: float64(start), initial: float64(start)}
}

// Limit returns the calls allowed in flight, at least 1.
func (c Concurrency) Limit() int { return max(1, int(c.limit)) }

// WithOnTime returns c after an answer in time.
func (c Concurrency) WithOnTime() Concurrency {
	c.limit = min(c.limit+additiveIncrease/c.limit, c.initial*ceilingFactor)
	return c
}

// WithLate returns c after an answer that came too late because of queueing.
func (c Concurrency) WithLate() Concurrency {
	c.limit = max(c.limit*decreaseFactor, 1)
	return c
}

// Package limit provides the two limits that keep trouble from growing: a
// retry budget, which is a share of the calls, and a concurrency limit for each
// replica, which follows what the replica was measured to bear.
package limit

// Shares and bounds of the retry budget.
const (
	retryShare   = 0.2 // retries allowed for each call
	budgetStart  = 10  // retries a fresh instance may make before any call
	budgetCap    = 100
	growth       = 1.0 // added to a concurrency limit for each full turn of good answers
	shrink       = 0.85
	ceilingTimes = 4 // a limit never exceeds this many times its start
)

// A Budget is an immutable retry budget.
type Budget struct{ tokens float64 }

// NewBudget returns the budget of an instance that has served nothing yet.
func NewBudget() Budget { return Budget{tokens: budgetStart} }

// WithCall returns b after one more first attempt.
func (b Budget) WithCall() Budget {
	b.tokens = min(b.tokens+retryShare, budgetCap)
	return b
}

// Spend returns the budget after one retry, and whether it allowed it.
func (b Budget) Spend() (Budget, bool) {
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}

// A Concurrency is an immutable limit on calls in flight to one replica:
// additive increase after answers in time, multiplicative decrease after late
// ones.
type Concurrency struct {
	limit float64
	start float64
}

// NewConcurrency returns a limit that starts at what the replica is configured
// to run at once.
func NewConcurrency(start int) Concurrency {
	return Concurrency{limit: float64(start), start: float64(start)}
}

// Limit returns the calls allowed in flight, at least 1.
func (c Concurrency) Limit() int { return max(1, int(c.limit)) }

// WithGood returns c after an answer in time.
func (c Concurrency) WithGood() Concurrency {
	c.limit = min(c.limit+growth/c.limit, c.start*ceilingTimes)
	return c
}

// WithLate returns c after an answer that came too late because of queueing.
func (c Concurrency) WithLate() Concurrency {
	c.limit = max(c.limit*shrink, 1)
	return c
}

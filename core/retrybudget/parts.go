package retrybudget

import "time"

// A Limit is the retry budget of a service: within each window, all instances together may
// make at most Ratio times its calls plus Slack retries. The calls of a window are those
// within it, within the window before it, or within the one that starts half a window
// earlier, whichever are the most.
type Limit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Parts are what a Limit allows to one instance. In any window an instance makes at most as
// many retries as it had saved when the window began, and those that it earns in it. What it
// saved is limited by the calls of the window before, and what it earns by those of the window
// itself, so that the sum over all instances holds whenever each of them started or ended, and
// whichever instance lends its retries to another.
type Parts struct {
	// Earned is the number of retries that an instance earns with each call.
	Earned float64
	// Saved limits the retries that an instance saves, as a share of its calls within the last
	// window.
	Saved float64
	// Burst is the number of retries that an instance may save in addition.
	Burst float64
	// Refill is the number of retries that an instance earns in each window without calls.
	Refill float64
}

// Shares of Limit.Ratio. A call counts in two windows: its retry may be made in its own window
// or saved for the next one. So the two shares add up to the whole.
const (
	earnedShare = 0.75
	savedShare  = 0.25
)

// Shares of Limit.Slack. They leave room for instances that run and whose registration has
// lapsed, and a reserve (core/retrybudget/budgettest).
const (
	// burstShare is the share that all instances together may save.
	burstShare = 0.35
	// refillShare is the share that all instances together earn in each window.
	refillShare = 0.36
)

// chargeAgeDivisor is the number of times that a retry's greatest age between its charge and its
// sending fits into a window: a quarter of the time by which a window's calls are counted shorter
// than it is (bucketCount), so that the rest is left for the network.
const chargeAgeDivisor = 4 * bucketCount

// Parts returns the parts of an instance in a fleet of the given size, at least 1.
func (l Limit) Parts(fleetSize int) Parts {
	slack := l.Slack / float64(fleetSize)
	return Parts{
		Earned: earnedShare * l.Ratio,
		Saved:  savedShare * l.Ratio,
		Burst:  burstShare * slack,
		Refill: refillShare * slack,
	}
}

// withoutSlack returns the parts of an instance that has no part of the slack.
func (p Parts) withoutSlack() Parts {
	p.Burst = 0
	p.Refill = 0
	return p
}

package retrybudget

import (
	"slices"
	"time"
)

// A Tally counts the calls and retries of a service at all instances, as an observer outside
// of them sees them. Times are durations since any fixed instant. The zero Tally is empty.
type Tally struct {
	calls   []time.Duration // when a caller sent each call
	retries []time.Duration // when each attempt after the first of its call reached a replica
}

// AddCall counts a call.
func (t *Tally) AddCall(at time.Duration) { t.calls = append(t.calls, at) }

// AddRetry counts a retry.
func (t *Tally) AddRetry(at time.Duration) { t.retries = append(t.retries, at) }

// Retries returns the number of retries.
func (t *Tally) Retries() int { return len(t.retries) }

// A Peak is the window in which the retries come closest to a limit.
type Peak struct {
	From    time.Duration // start of the window
	Retries int           // within the window
	Calls   int           // that the allowed number of retries is based on
	Allowed float64       // number of retries
}

// Used returns the retries as a share of those allowed; more than 1 exceeds the limit.
func (p Peak) Used() float64 {
	if p.Retries == 0 {
		return 0
	}
	return float64(p.Retries) / p.Allowed
}

// Peak returns the window in which the retries come closest to the limit, or the zero Peak if
// there are no retries. The calls of a window are those within it, within the window before
// it, or within the one that starts half a window earlier, whichever are the most.
func (t *Tally) Peak(l Limit) Peak {
	slices.Sort(t.calls)
	slices.Sort(t.retries)
	var peak Peak
	for i, from := range t.retries {
		p := Peak{From: from, Retries: countIn(t.retries[i:], from, l.Window)}
		for _, earlier := range []time.Duration{0, l.Window / 2, l.Window} {
			p.Calls = max(p.Calls, countIn(t.calls, from-earlier, l.Window))
		}
		p.Allowed = l.Ratio*float64(p.Calls) + l.Slack
		if p.Used() > peak.Used() {
			peak = p
		}
	}
	return peak
}

// countIn returns the number of times in the window that starts at from; times is sorted.
func countIn(times []time.Duration, from, window time.Duration) int {
	first, _ := slices.BinarySearch(times, from)
	end, _ := slices.BinarySearch(times, from+window)
	return end - first
}

package retrybudget

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// bucketCount is how many parts a window is counted in. More parts follow the
// sliding window more closely and cost more memory.
const bucketCount = 20

// A Window counts calls and repeats over a sliding span and says whether one
// more repeat stays within a share of the calls plus a fixed number. The oldest
// slice counts for repeats and not for calls, so the answer errs to the safe
// side.
type Window struct {
	span    time.Duration
	calls   [bucketCount]int
	retries [bucketCount]int
	newest  int64 // number of the newest slice since the clock's start
}

// NewWindow returns a window over span that has counted nothing.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

func (w *Window) bucketSpan() time.Duration { return w.span / bucketCount }

// advance empties the slices that have passed since the last call.
func (w *Window) advance(now clock.Instant) int {
	number := int64(now.Mono / w.bucketSpan())
	for steps := min(number-w.newest, bucketCount); steps > 0; steps-- {
		i := (number - steps + 1) % bucketCount
		w.calls[i] = 0
		w.retries[i] = 0
	}
	w.newest = max(w.newest, number)
	return int(w.newest % bucketCount)
}

// RecordCall counts one call.
func (w *Window) RecordCall(now clock.Instant) { w.calls[w.advance(now)]++ }

// TryRetry counts one repeat if it stays within ratio times the calls plus slack,
// and reports whether it does.
func (w *Window) TryRetry(now clock.Instant, ratio, slack float64) bool {
	if !w.Allows(now, ratio, slack) {
		return false
	}
	w.retries[w.advance(now)]++
	return true
}

// Allows reports whether one more repeat would stay within ratio times the calls plus
// slack.
func (w *Window) Allows(now clock.Instant, ratio, slack float64) bool {
	newest := w.advance(now)
	calls := 0
	repeats := 0
	oldest := (newest + 1) % bucketCount
	for i := range bucketCount {
		repeats += w.retries[i]
		if i != oldest {
			calls += w.calls[i]
		}
	}
	return float64(repeats+1) <= ratio*float64(calls)+slack
}

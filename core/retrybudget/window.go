package retrybudget

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// bucketCount is the number of buckets of a window. More buckets follow the sliding
// window more closely and take more memory.
const bucketCount = 20

// A Window counts calls and retries in a sliding time window and decides whether one
// more retry stays within a share of the calls plus a fixed number. The oldest
// bucket counts for retries but not for calls, so the decision errs on the safe
// side.
type Window struct {
	span    time.Duration
	calls   [bucketCount]int
	retries [bucketCount]int
	newest  int64 // number of the newest bucket, counted from the clock's start
}

// NewWindow returns an empty window of length span.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

func (w *Window) bucketSpan() time.Duration { return w.span / bucketCount }

// advance clears the buckets that have expired since the last call and returns the
// index of the newest bucket.
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

// TryRetry counts one retry if it stays within ratio times the calls plus slack,
// and reports whether it does.
func (w *Window) TryRetry(now clock.Instant, ratio, slack float64) bool {
	if !w.Allows(now, ratio, slack) {
		return false
	}
	w.retries[w.advance(now)]++
	return true
}

// Allows reports whether one more retry would stay within ratio times the calls plus
// slack.
func (w *Window) Allows(now clock.Instant, ratio, slack float64) bool {
	calls, retries := w.Counts(now)
	return float64(retries+1) <= ratio*float64(calls)+slack
}

// Counts returns the numbers of calls and retries within the window.
func (w *Window) Counts(now clock.Instant) (calls, retries int) {
	newest := w.advance(now)
	oldest := (newest + 1) % bucketCount
	for i := range bucketCount {
		retries += w.retries[i]
		if i != oldest {
			calls += w.calls[i]
		}
	}
	return calls, retries
}

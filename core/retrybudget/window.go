package retrybudget

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// bucketCount is the number of buckets of a window. More buckets follow the sliding
// window more closely and take more memory.
const bucketCount = 20

// A window counts calls and retries in a sliding time window. The oldest bucket does not
// count, so the counted span is never longer than the window and at most two buckets
// shorter.
type window struct {
	span    time.Duration
	calls   [bucketCount]int
	retries [bucketCount]int
	newest  int64 // number of the newest bucket, counted from the clock's start
}

func (w *window) bucketSpan() time.Duration { return w.span / bucketCount }

// advance clears the buckets that have expired since the last call and returns the
// index of the newest bucket.
func (w *window) advance(now clock.Instant) int {
	number := int64(now.Mono / w.bucketSpan())
	for steps := min(number-w.newest, bucketCount); steps > 0; steps-- {
		i := (number - steps + 1) % bucketCount
		w.calls[i] = 0
		w.retries[i] = 0
	}
	w.newest = max(w.newest, number)
	return int(w.newest % bucketCount)
}

func (w *window) recordCall(now clock.Instant)  { w.calls[w.advance(now)]++ }
func (w *window) recordRetry(now clock.Instant) { w.retries[w.advance(now)]++ }

// counts returns the numbers of calls and retries within the window.
func (w *window) counts(now clock.Instant) (calls, retries int) {
	oldest := (w.advance(now) + 1) % bucketCount
	for i := range bucketCount {
		if i != oldest {
			calls += w.calls[i]
			retries += w.retries[i]
		}
	}
	return calls, retries
}

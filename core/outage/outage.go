// Package outage tracks whether the platform's service answers an instance, and
// how long to wait before it is called again.
//
// All modules that call the service report each outcome to one Tracker, so that
// an outage is noticed, logged and backed off from once, whoever met it.
package outage

import (
	"math/rand/v2"
	"time"

	"github.com/birchdrift/birchdrift/core/backoff"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/step"
)

// Bounds of the time between two calls of one kind after failures, where a platform states no
// bound from which the longest follows.
const (
	initialWait          = 200 * time.Millisecond
	DefaultMaxRetryDelay = 5 * time.Second
)

// A Tracker is what one instance knows of the service's availability.
type Tracker struct {
	out       *step.Output
	down      bool
	downSince clock.Instant // when it was first found down
	backAt    clock.Instant // when it was last found to answer again
	failedAt  clock.Instant // when a call failed last
	backoff   backoff.Backoff
}

// New returns the tracker of a service that has not been called yet, and is called again at
// the latest longest after a failure.
func New(out *step.Output, longest time.Duration) *Tracker {
	return &Tracker{out: out, backoff: backoff.New(min(initialWait, longest), longest)}
}

// Observe takes in the outcome of one call: nil if the service answered.
func (t *Tracker) Observe(now clock.Instant, err error) {
	if err == nil {
		if t.down {
			t.backAt = now
			t.out.Log(logevent.PlatformBack, "after", now.Since(t.downSince).String())
		}
		t.down = false
		t.backoff = t.backoff.WithSuccess()
		return
	}
	t.failedAt = now
	if !t.down {
		t.downSince = now
		t.out.Log(logevent.PlatformDown, "error", err.Error())
	}
	t.down = true
	t.backoff = t.backoff.WithFailure()
}

// RecoveredAt returns when the service was last found to answer again after failures, zero if it
// never was.
func (t *Tracker) RecoveredAt() clock.Instant { return t.backAt }

// FailedSince reports whether a call failed at a moment or later.
func (t *Tracker) FailedSince(at clock.Instant) bool {
	return !t.failedAt.IsZero() && !t.failedAt.Before(at)
}

// Down reports whether the last call failed.
func (t *Tracker) Down() bool { return t.down }

// Wait draws how long to wait before the next call: 0 after a success.
func (t *Tracker) Wait(rng *rand.Rand) time.Duration { return t.backoff.Delay(rng) }

// Package outage tracks whether the platform's service answers this instance, and
// computes the delay before the next call after a failure.
//
// All modules that call the service report each outcome to one Tracker, so that
// they share one backoff and an outage is logged only once, whichever module
// detects it.
package outage

import (
	"math/rand/v2"
	"time"

	"github.com/birchdrift/birchdrift/core/backoff"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/step"
)

// Bounds of the delay between two calls for the same purpose after failures.
// DefaultMaxRetryDelay applies if the platform states no bound from which the longest delay
// is derived.
const (
	initialRetryDelay    = 200 * time.Millisecond
	DefaultMaxRetryDelay = 5 * time.Second
)

// A Tracker holds one instance's view of the service's availability.
type Tracker struct {
	out         *step.Output
	down        bool          // the last call failed
	downSince   clock.Instant // when the first failed call of the last outage was observed
	recoveredAt clock.Instant // when the last outage ended
	failedAt    clock.Instant // when a call last failed
	backoff     backoff.Backoff
}

// New returns the tracker of a service that has not been called yet. The delay after a
// failure never exceeds longest.
func New(out *step.Output, longest time.Duration) *Tracker {
	return &Tracker{out: out, backoff: backoff.New(min(initialRetryDelay, longest), longest)}
}

// Observe records the outcome of one call; err is nil if the service answered.
func (t *Tracker) Observe(now clock.Instant, err error) {
	if err == nil {
		if t.down {
			t.recoveredAt = now
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

// RecoveredAt returns when the service last answered again after failures. It is zero if
// that never happened.
func (t *Tracker) RecoveredAt() clock.Instant { return t.recoveredAt }

// FailedSince reports whether a call failed at or after the given time.
func (t *Tracker) FailedSince(at clock.Instant) bool {
	return !t.failedAt.IsZero() && !t.failedAt.Before(at)
}

// Down reports whether the last call failed.
func (t *Tracker) Down() bool { return t.down }

// Wait returns a randomized delay before the next call. It is 0 after a success.
func (t *Tracker) Wait(rng *rand.Rand) time.Duration { return t.backoff.Delay(rng) }

// Package clock provides the instant that every deciding function takes as an
// argument.
//
// An Instant carries two readings, because neither alone is safe. The
// monotonic reading stops while a machine is suspended; the wall reading jumps
// when somebody sets it. Code that must not believe in a lapsed lease asks for
// Elapsed, which is the larger of the two differences; code that only spaces
// out work asks for Since, which is the monotonic difference.
//
// Invariant: no package of the core reads a clock of its own.
package clock

import "time"

// An Instant is one reading of both clocks of a machine.
type Instant struct {
	// Mono is the monotonic reading, counted from an arbitrary start.
	Mono time.Duration
	// Wall is the wall-clock reading.
	Wall time.Time
}

// Add returns the instant d later on both clocks.
func (t Instant) Add(d time.Duration) Instant {
	return Instant{Mono: t.Mono + d, Wall: t.Wall.Add(d)}
}

// Since returns the monotonic time from u to t.
func (t Instant) Since(u Instant) time.Duration { return t.Mono - u.Mono }

// Elapsed returns the larger of the monotonic and the wall time from u to t.
// It never understates how long ago u was unless both clocks were set back.
func (t Instant) Elapsed(u Instant) time.Duration {
	return max(t.Mono-u.Mono, t.Wall.Sub(u.Wall))
}

// Before reports whether t is before u on the monotonic clock.
func (t Instant) Before(u Instant) bool { return t.Mono < u.Mono }

// IsZero reports whether t was never set.
func (t Instant) IsZero() bool { return t.Mono == 0 && t.Wall.IsZero() }

// Latest returns the later of two instants.
func Latest(a, b Instant) Instant {
	if a.Before(b) {
		return b
	}
	return a
}

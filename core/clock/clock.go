// Package clock provides the instant that every deciding function takes as an
// argument.
//
// An Instant carries two readings. The steady one only goes forward, and counts the time
// for which the machine sleeps where the system offers such a clock (internal/shell); the
// wall reading jumps when somebody sets it. Spans are measured by Since, on the steady
// clock. Code that must not believe in a right that has lapsed asks for MaxElapsed, which is
// the larger of the two differences, so that it is safe also on a system whose steady
// clock stands still during a sleep, unless the wall clock is set back meanwhile.
//
// Invariant: no package of the core reads a clock of its own.
package clock

import "time"

// An Instant is one reading of both clocks of a machine.
type Instant struct {
	// Mono is the steady reading, counted from an arbitrary start.
	Mono time.Duration
	// Wall is the wall-clock reading.
	Wall time.Time
}

// Add returns the instant d later on both clocks.
func (t Instant) Add(d time.Duration) Instant {
	return Instant{Mono: t.Mono + d, Wall: t.Wall.Add(d)}
}

// Since returns the steady time from u to t.
func (t Instant) Since(u Instant) time.Duration { return t.Mono - u.Mono }

// MaxElapsed returns the larger of the steady and the wall time from u to t.
func (t Instant) MaxElapsed(u Instant) time.Duration {
	return max(t.Mono-u.Mono, t.Wall.Sub(u.Wall))
}

// Before reports whether t is before u on the steady clock.
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

// Earliest returns the earlier of two instants.
func Earliest(a, b Instant) Instant {
	if a.Before(b) {
		return a
	}
	return b
}

// A EventTime is when something was: by the clocks of this instance in At, and in a message
// by how long ago it was then in Age.
type EventTime struct {
	At  Instant
	Age time.Duration
}

// ForWire returns the moment as it travels in a message sent at now.
func (m EventTime) ForWire(now Instant) EventTime {
	return EventTime{Age: max(0, now.MaxElapsed(m.At))}
}

// FromWire returns a moment that arrived in a message at now.
func (m EventTime) FromWire(now Instant) EventTime { return EventTime{At: now.Add(-m.Age)} }

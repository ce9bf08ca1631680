// Package clock provides Instant, the current time that is passed as an argument
// to all code that makes decisions.
//
// An Instant has two readings. The monotonic reading never decreases; internal/shell
// takes it from a clock that also advances while the machine is suspended, if the
// system has one. The wall-clock reading jumps when the clock is set.
//
// Since measures durations on the monotonic clock. Code that must not rely on an
// expired lease uses MaxElapsed, the larger of the two differences, so that it is
// safe even if the monotonic clock stops while the machine is suspended, unless the
// wall clock is set back in the meantime.
//
// Invariant: no package of the core reads a clock itself.
package clock

import "time"

// An Instant is a simultaneous reading of both clocks of a machine.
type Instant struct {
	// Mono is the monotonic reading, since an arbitrary start.
	Mono time.Duration
	// Wall is the wall-clock reading.
	Wall time.Time
}

// Add returns the instant d later on both clocks.
func (t Instant) Add(d time.Duration) Instant {
	return Instant{Mono: t.Mono + d, Wall: t.Wall.Add(d)}
}

// Since returns the time from u to t on the monotonic clock.
func (t Instant) Since(u Instant) time.Duration { return t.Mono - u.Mono }

// MaxElapsed returns the time from u to t on the monotonic clock or on the wall
// clock, whichever is larger.
func (t Instant) MaxElapsed(u Instant) time.Duration {
	return max(t.Mono-u.Mono, t.Wall.Sub(u.Wall))
}

// Before reports whether t is before u on the monotonic clock.
func (t Instant) Before(u Instant) bool { return t.Mono < u.Mono }

// IsZero reports whether t is the zero Instant.
func (t Instant) IsZero() bool { return t.Mono == 0 && t.Wall.IsZero() }

// Latest returns the later of two instants on the monotonic clock.
func Latest(a, b Instant) Instant {
	if a.Before(b) {
		return b
	}
	return a
}

// Earliest returns the earlier of two instants on the monotonic clock.
func Earliest(a, b Instant) Instant {
	if a.Before(b) {
		return a
	}
	return b
}

// An EventTime is the time at which something happened. Instances do not share
// clocks, so a message between them carries the age of the event instead of its
// instant.
type EventTime struct {
	At  Instant       // set on an instance, by its own clocks
	Age time.Duration // set in a message: the time from the event to the sending
}

// ForWire returns the time as a message that is sent at now carries it. The age is
// that of MaxElapsed, or 0 if that is negative.
func (t EventTime) ForWire(now Instant) EventTime {
	return EventTime{Age: max(0, now.MaxElapsed(t.At))}
}

// FromWire returns the time of a message that arrived at now, by this instance's
// clocks. It does not account for the time that the message was in transit.
func (t EventTime) FromWire(now Instant) EventTime { return EventTime{At: now.Add(-t.Age)} }

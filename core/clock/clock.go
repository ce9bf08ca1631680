// Package clock provides Instant, the current time that is passed as an argument
// to all code that makes decisions.
//
// An Instant has two readings. The monotonic reading only increases; it includes
// the time for which the machine is suspended if the system has such a clock
// (internal/shell). The wall-clock reading jumps when the clock is set. Since
// measures durations on the monotonic clock. Code that must not rely on an expired
// lease uses MaxElapsed, the larger of the two differences. It is also safe on a
// system whose monotonic clock stops during suspension, unless the wall clock is
// set back in the meantime.
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

// An EventTime is the time at which something happened. On an instance it is At, by
// the instance's own clocks; in a message between instances it is Age, the time
// since the event when the message was sent.
type EventTime struct {
	At  Instant
	Age time.Duration
}

// ForWire converts the receiver to the form used in a message that is sent at now.
func (m EventTime) ForWire(now Instant) EventTime {
	return EventTime{Age: max(0, now.MaxElapsed(m.At))}
}

// FromWire converts the receiver, taken from a message that arrived at now, to this
// instance's clocks. It does not count the time that the message took.
func (m EventTime) FromWire(now Instant) EventTime { return EventTime{At: now.Add(-m.Age)} }

// Package step provides the types that the modules of an instance's state machine
// share: events, actions, the output of a step, and periodic jobs.
//
// A module is a concrete type with its own state. It receives an event or the
// current time, changes its state, and appends the resulting actions to the Output
// that all modules of one machine share. The driver of the machine executes the
// actions in that order. No module does I/O, reads a clock or starts a goroutine.
package step

import (
	"math/rand/v2"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
)

// An Event is something that happened outside the machine.
type Event interface{ IsEvent() }

// An Action is an operation that the machine requests from its driver.
type Action interface{ IsAction() }

// A Log is the action that writes one log event.
type Log struct {
	Event  logevent.Number
	Fields []any // alternating keys and values
}

// IsAction implements Action.
func (Log) IsAction() {}

// An Output collects the actions of one step, in order.
type Output struct{ actions []Action }

// Reset discards the actions of the previous step and reuses their slice.
func (o *Output) Reset() { o.actions = o.actions[:0] }

// Emit appends an action.
func (o *Output) Emit(a Action) { o.actions = append(o.actions, a) }

// Log appends the action that logs event n; fields are alternating keys and values.
func (o *Output) Log(n logevent.Number, fields ...any) { o.Emit(Log{Event: n, Fields: fields}) }

// Actions returns the actions of this step, valid until the next Reset.
func (o *Output) Actions() []Action { return o.actions }

// replyTimeout is how long a Job waits for the reply to its request before it may
// send the next one. A driver replies to every action, so this only guards against
// a driver that lost a reply. It is longer than the timeout of any single request.
const replyTimeout = time.Minute

// A Job is periodic work with at most one request in flight. The zero Job is due
// immediately.
type Job struct {
	due      clock.Instant
	inFlight bool
	sentAt   clock.Instant
}

// Due reports whether the next request is due and none is in flight.
func (j *Job) Due(now clock.Instant) bool {
	if j.inFlight && now.Since(j.sentAt) < replyTimeout {
		return false
	}
	return !now.Before(j.due)
}

// Begin records that a request was sent at now.
func (j *Job) Begin(now clock.Instant) {
	j.inFlight = true
	j.sentAt = now
}

// SetDue sets when the next request is due. It may be called while a request is in
// flight.
func (j *Job) SetDue(due clock.Instant) { j.due = due }

// End records that the request has completed and the next one is due at due.
func (j *Job) End(due clock.Instant) {
	j.inFlight = false
	j.due = due
}

// EndKeepDue records that the request has completed and keeps the due time.
func (j *Job) EndKeepDue() { j.inFlight = false }

// SentAt returns when the last request was sent.
func (j *Job) SentAt() clock.Instant { return j.sentAt }

// jitterFraction is the largest deviation of a jittered duration, as a fraction of
// the given one. With it, instances that start together have drifted apart after
// about ten periods.
const jitterFraction = 0.1

// Jitter returns a random duration that deviates from d by at most jitterFraction,
// so that instances that started together do not act in lockstep.
func Jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration((1 - jitterFraction + 2*jitterFraction*rng.Float64()) * float64(d))
}

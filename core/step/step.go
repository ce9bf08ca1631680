// Package step provides what the modules of an instance's state machine have in
// common: events that come in, actions that go out, and periodic work.
//
// The idea: a module is a concrete type with its own state. It is handed an
// event or the present time, changes its state, and puts the actions that
// follow into the Output that all modules of one machine share. Whoever drives
// the machine carries them out in that order. No module does input or output,
// reads a clock or starts a goroutine.
package step

import (
	"math/rand/v2"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
)

// An Event is something that happened outside the machine.
type Event interface{ IsEvent() }

// An Action is something that the machine asks its driver to do.
type Action interface{ IsAction() }

// A Log is an action: one numbered line of the log.
type Log struct {
	Event  logevent.Number
	Fields []any // alternating keys and values
}

// IsAction implements Action.
func (Log) IsAction() {}

// An Output collects the actions of one step, in order.
type Output struct{ actions []Action }

// Reset drops the actions of the step before. Their slice is used again.
func (o *Output) Reset() { o.actions = o.actions[:0] }

// Emit adds an action.
func (o *Output) Emit(a Action) { o.actions = append(o.actions, a) }

// Log adds a line of the log; fields are alternating keys and values.
func (o *Output) Log(n logevent.Number, fields ...any) { o.Emit(Log{Event: n, Fields: fields}) }

// Actions returns the actions of this step, valid until the next Reset.
func (o *Output) Actions() []Action { return o.actions }

// replyTimeout is how long a reply may be missing before a job is begun anew. A
// driver answers every action, so this only guards against one that lost a
// reply: chosen above every time limit of a single request.
const replyTimeout = time.Minute

// A Job is periodic work with at most one request under way. The zero Job is
// due at once.
type Job struct {
	due      clock.Instant
	inFlight bool
	sentAt   clock.Instant
}

// Due reports whether the next request is due and none is under way.
func (j *Job) Due(now clock.Instant) bool {
	if j.inFlight && now.Since(j.sentAt) < replyTimeout {
		return false
	}
	return !now.Before(j.due)
}

// Begin notes that a request was sent at now.
func (j *Job) Begin(now clock.Instant) {
	j.inFlight = true
	j.sentAt = now
}

// SetDue sets when the next request is due, while one may be under way.
func (j *Job) SetDue(due clock.Instant) { j.due = due }

// End notes that the request is over; the next one is due at due.
func (j *Job) End(due clock.Instant) {
	j.inFlight = false
	j.due = due
}

// EndKeepDue notes that the request is over and leaves the due time.
func (j *Job) EndKeepDue() { j.inFlight = false }

// SentAt returns when the last request was sent.
func (j *Job) SentAt() clock.Instant { return j.sentAt }

// jitterFraction is how far a jittered time may lie from the given one, as a share of
// it: chosen so that instances that start together have drifted apart after some
// ten periods.
const jitterFraction = 0.1

// Jitter draws a duration within a tenth of d, so that instances that started
// together do not act together.
func Jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration((1 - jitterFraction + 2*jitterFraction*rng.Float64()) * float64(d))
}

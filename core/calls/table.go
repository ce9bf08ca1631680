package calls

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
)

// MinRetryAfter is the shortest Retry-After of a refused call: in the answers of the
// product's own interface, HTTP's Retry-After header counts in whole seconds.
const MinRetryAfter = time.Second

// A Table holds the calls in progress. The fields must be set before use.
type Table struct {
	Options *option.Options
	Rand    *rand.Rand
	Out     *step.Output
	Pool    *pool.Pool
	// StillWaiting is called after each RetryQueued with the calls that remain in the
	// queue; nil if not needed.
	StillWaiting func(now clock.Instant, waiting []*Call)

	calls       map[ID]*Call
	queue       []*Call
	seenChanges uint64 // Pool.CapacityChanges at the last RetryQueued
}

// New returns an empty table.
func New() *Table { return &Table{calls: map[ID]*Call{}} }

// Add adds a call.
func (t *Table) Add(c *Call) { t.calls[c.ID] = c }

// Get returns the call with the given ID, or nil if it is not in progress.
func (t *Table) Get(id ID) *Call { return t.calls[id] }

// Len returns the number of calls in progress.
func (t *Table) Len() int { return len(t.calls) }

// QueueLen returns the number of calls in the queue.
func (t *Table) QueueLen() int { return len(t.queue) }

// All returns the calls in progress in ascending order of ID.
func (t *Table) All() []*Call {
	all := make([]*Call, 0, len(t.calls))
	for _, c := range t.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *Call) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Expired returns the calls whose time limit has passed, in ascending order of ID.
func (t *Table) Expired(now clock.Instant) []*Call {
	var expired []*Call
	for _, c := range t.calls {
		if !c.Expires.IsZero() && !now.Before(c.Expires) {
			expired = append(expired, c)
		}
	}
	slices.SortFunc(expired, func(a, b *Call) int { return cmp.Compare(a.ID, b.ID) })
	return expired
}

// AnswerBegan handles the arrival of the first piece of a call's answer.
func (t *Table) AnswerBegan(now clock.Instant, e AnswerBegan) {
	c := t.calls[e.ID]
	if c == nil || c.Phase != Running || c.Answered {
		return
	}
	c.Answered = true
	c.Kind.AnswerBegan(now, c)
}

// Completed handles the complete delivery of a call's answer.
func (t *Table) Completed(now clock.Instant, e Completed) {
	c := t.calls[e.ID]
	if c == nil {
		return
	}
	if r := t.Pool.Get(c.Replica); r != nil {
		r.End(now, uint64(c.ID), c.Started, false)
	}
	c.Kind.Served(now, c, e)
	t.Remove(c)
}

// AttemptFailed handles a failed attempt. Reports of attempts before the latest are
// ignored.
func (t *Table) AttemptFailed(now clock.Instant, e AttemptFailed) {
	c := t.calls[e.ID]
	if c == nil || c.Phase != Running || e.Attempt != c.History.Attempts {
		return
	}
	c.Kind.AttemptFailed(now, c, e)
}

// CallerGone handles the disconnection of a call's caller.
func (t *Table) CallerGone(now clock.Instant, e CallerGone) {
	c := t.calls[e.ID]
	if c == nil {
		return
	}
	switch c.Phase {
	case Running:
		if r := t.Pool.Get(c.Replica); r != nil {
			r.DropCall(uint64(c.ID))
			c.Kind.Left(now, c, r)
			c.Kind.Cancel(c, r)
		}
	case Waiting:
		t.Dequeue(c)
		c.Kind.NotRun(c)
	case ClaimingKey:
		c.Kind.NotRun(c)
	}
	t.Remove(c)
}

// Remove removes a call that has its final answer or needs none.
func (t *Table) Remove(c *Call) {
	t.Pool.NoteCapacityChange()
	delete(t.calls, c.ID)
}

// RefuseNew ends a call that was not admitted with a refusal.
func (t *Table) RefuseNew(c *Call, r code.Refusal) {
	t.Out.Log(logevent.CallFailed, "call", c.Label(), "service", c.Service, "code", int(r.Code), "run", string(r.Run))
	t.Out.Emit(Finish{ID: c.ID, Refusal: r})
}

// Refuse ends an admitted call with a refusal. If an earlier attempt of the call ran
// or may have run, that replaces the run state of r.
func (t *Table) Refuse(c *Call, r code.Refusal) {
	// An earlier attempt may have run even if the last one did not.
	if run := c.History.RunState(); run != code.NotRun {
		r.Run = run
	}
	if c.Phase == Waiting {
		t.Dequeue(c)
	}
	if r.Run == code.NotRun {
		c.Kind.NotRun(c)
	}
	c.Phase = 0
	delete(t.calls, c.ID)
	t.Out.Log(logevent.CallFailed, "call", c.Label(), "service", c.Service, "item", c.Item, "code", int(r.Code), "run", string(r.Run), "detail", r.Detail)
	t.Out.Emit(Finish{ID: c.ID, Refusal: r})
	t.Pool.NoteCapacityChange()
}

// RetryAfter returns the Retry-After of a refused call: d with jitter, so that calls
// refused at the same time are not all retried at the same time, and at least
// MinRetryAfter.
func (t *Table) RetryAfter(d time.Duration) time.Duration {
	return max(step.Jitter(t.Rand, d), MinRetryAfter)
}

// AbortAll ends every call with a refusal because the process is exiting, and returns
// the number of calls.
func (t *Table) AbortAll() int {
	all := t.All()
	for _, c := range all {
		t.abort(c)
	}
	return len(all)
}

// abort ends one call because the process is exiting.
func (t *Table) abort(c *Call) {
	if c.Phase != Running {
		t.Refuse(c, NotRunRefusal(code.Stopping, "this instance stopped", MinRetryAfter))
		return
	}
	if r := t.Pool.Get(c.Replica); r != nil {
		c.Kind.Cancel(c, r)
	}
	run := code.MayHaveRun
	if c.Answered {
		run = code.Ran
	}
	t.Refuse(c, code.Refusal{Code: code.StreamCut, Run: run, Detail: "this instance stopped before the answer was whole"})
}

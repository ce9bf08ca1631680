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

// MinRetryAfter is the least time after which a refused call is told to come
// back: HTTP's Retry-After of the own interface counts in whole seconds.
const MinRetryAfter = time.Second

// A Table holds the calls in progress. The fields must be set before its use.
type Table struct {
	Options *option.Options
	Rand    *rand.Rand
	Out     *step.Output
	Pool    *pool.Pool
	// StillWaiting is told after each look over the queue which calls go on
	// waiting; nil if nobody needs to know.
	StillWaiting func(now clock.Instant, waiting []*Call)

	calls       map[ID]*Call
	queue       []*Call
	seenChanges uint64 // pool.Touched at the last look over the queue
}

// New returns a table without calls.
func New() *Table { return &Table{calls: map[ID]*Call{}} }

// Add takes a call in.
func (t *Table) Add(c *Call) { t.calls[c.ID] = c }

// Get returns a call, nil if it is not in progress.
func (t *Table) Get(id ID) *Call { return t.calls[id] }

// Len returns how many calls are in progress.
func (t *Table) Len() int { return len(t.calls) }

// QueueLen returns how many calls wait in the queue.
func (t *Table) QueueLen() int { return len(t.queue) }

// All returns the calls in progress, by rising ID.
func (t *Table) All() []*Call {
	all := make([]*Call, 0, len(t.calls))
	for _, c := range t.calls {
		all = append(all, c)
	}
	slices.SortFunc(all, func(a, b *Call) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Expired returns the calls that are to be given up at now, by rising ID.
func (t *Table) Expired(now clock.Instant) []*Call {
	var over []*Call
	for _, c := range t.calls {
		if !c.Expires.IsZero() && !now.Before(c.Expires) {
			over = append(over, c)
		}
	}
	slices.SortFunc(over, func(a, b *Call) int { return cmp.Compare(a.ID, b.ID) })
	return over
}

// AnswerBegan takes in that the first piece of a call's answer came.
func (t *Table) AnswerBegan(now clock.Instant, e AnswerBegan) {
	c := t.calls[e.ID]
	if c == nil || c.Phase != Running || c.Answered {
		return
	}
	c.Answered = true
	c.Kind.AnswerBegan(now, c)
}

// Completed takes in that a call's answer is whole.
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

// AttemptFailed takes in that an attempt failed. A report of an earlier attempt than
// the last is ignored.
func (t *Table) AttemptFailed(now clock.Instant, e AttemptFailed) {
	c := t.calls[e.ID]
	if c == nil || c.Phase != Running || e.Attempt != c.History.Attempts {
		return
	}
	c.Kind.AttemptFailed(now, c, e)
}

// CallerGone takes in that a call's caller is gone.
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

// Remove takes a call out that has its final answer, or needs none.
func (t *Table) Remove(c *Call) {
	t.Pool.NoteCapacityChange()
	delete(t.calls, c.ID)
}

// RefuseNew gives a call that was not taken in its final answer.
func (t *Table) RefuseNew(c *Call, r code.Refusal) {
	t.Out.Log(logevent.CallFailed, "call", c.Label(), "service", c.Service, "code", int(r.Code), "run", string(r.Run))
	t.Out.Emit(Finish{ID: c.ID, Refusal: r})
}

// Refuse gives a call that was taken in its final answer.
func (t *Table) Refuse(c *Call, r code.Refusal) {
	// An earlier attempt may have run though the last step did not.
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

// RetryAfter returns when a refused call is told to come back: d, spread so that
// calls refused together do not come back together, and not too soon.
func (t *Table) RetryAfter(d time.Duration) time.Duration {
	return max(step.Jitter(t.Rand, d), MinRetryAfter)
}

// AbortAll gives every call its final answer because the process ends, and returns
// how many there were.
func (t *Table) AbortAll() int {
	all := t.All()
	for _, c := range all {
		t.abort(c)
	}
	return len(all)
}

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

package instance

import (
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/route"
)

// What becomes of a call once it is sent: its attempts and its end.

func (m *Machine) dispatch(c *call, e route.Estimate) {
	if c.phase == waiting {
		m.leaveLine(c)
	}
	c.phase = running
	c.history = c.history.WithAttempt()
	c.replica = e.Replica.Name
	c.started = m.now
	if c.item != "" {
		m.chooser.Sent(c.Prefix, e.Replica.Name)
	}
	e.Replica.Start(m.now, uint64(c.ID))
	m.recent.add(m.now, c, e)
	m.out.Do(m.dispatchAction(c, e.Replica, false, 0))
}

func (m *Machine) dispatchAction(c *call, r *pool.Replica, resume bool, after time.Duration) Dispatch {
	return Dispatch{
		ID:         c.ID,
		Attempt:    c.history.Attempts,
		Replica:    r.Name,
		Address:    r.Address,
		Zone:       r.Zone,
		Plain:      c.Plain,
		Model:      c.version.Model,
		Adapter:    c.version.Adapter,
		Priority:   c.verdict.Priority,
		Repeatable: c.history.Repeatable,
		Resume:     resume,
		After:      after,
		Stall:      m.opt.Stall,
	}
}

func (m *Machine) first(e First) {
	c := m.calls[e.ID]
	if c == nil || c.phase != running || c.answered {
		return
	}
	if c.forward != nil {
		m.firstForward(c)
		return
	}
	c.answered = true
	if c.item != "" {
		m.meter.Met(c.item)
	}
	if r := m.pool.Get(c.replica); r != nil {
		late := m.now.Since(c.started) > c.service.Target.FirstToken
		r.First(m.now, uint64(c.ID), late)
	}
}

func (m *Machine) done(e Done) {
	c := m.calls[e.ID]
	if c == nil {
		return
	}
	if r := m.pool.Get(c.replica); r != nil {
		r.End(m.now, uint64(c.ID), c.started, false)
	}
	if f := c.forward; f != nil {
		m.out.Log(logevent.CallServed, "call", c.Forward.Name, "replica", c.replica, "attempts", c.history.Attempts,
			"waited_ms", wholeMillis(c.started.Since(c.arrived)), "first_ms", wholeMillis(f.firstAt.Since(c.started)),
			"total_ms", wholeMillis(m.now.Since(c.arrived)))
	}
	held := m.now.Since(c.started)
	if c.item != "" {
		m.meter.Held(c.item, held)
		m.meter.Held(c.version.Model, held)
	}
	m.pool.Touch()
	delete(m.calls, c.ID)
}

func (m *Machine) gone(e Gone) {
	c := m.calls[e.ID]
	if c == nil {
		return
	}
	switch c.phase {
	case running:
		if r := m.pool.Get(c.replica); r != nil {
			r.Forget(uint64(c.ID))
			m.cancel(c, r)
		}
	case waiting:
		m.leaveLine(c)
		m.releaseClaim(c)
	case claiming:
		m.releaseClaim(c)
	}
	m.pool.Touch()
	delete(m.calls, c.ID)
}

// broke decides what follows an attempt that did not come to its proper end.
func (m *Machine) broke(e Broke) {
	c := m.calls[e.ID]
	if c == nil || c.phase != running || e.Attempt != c.history.Attempts {
		return
	}
	if c.forward != nil {
		m.brokeForward(c, e)
		return
	}
	m.blame(c, e)
	c.history = c.history.WithBroken(e.Phase)
	step := c.history.Next(attempt.Break{
		Phase: e.Phase, Delivered: e.Delivered, SameBoot: e.Resumable, Stalled: e.Stalled, Spent: e.Spent,
	})
	if m.opt.Disable.AtMost && step == attempt.Fail && e.Delivered == 0 {
		step = attempt.Retry
	}
	switch step {
	case attempt.Resume:
		m.resume(c)
	case attempt.Retry:
		m.retry(c, e)
	default:
		m.fail(c, e)
	}
}

// blame settles the replica's books for the broken attempt.
func (m *Machine) blame(c *call, e Broke) {
	if e.Leaving {
		m.pool.ObserveLeaving(c.replica)
		m.out.Log(logevent.Leaving, "upstream", c.replica, "source", "answer")
	}
	r := m.pool.Get(c.replica)
	if r == nil {
		return
	}
	if e.Phase == attempt.Refused {
		r.Forget(uint64(c.ID))
		if c.item != "" {
			r.Refused(m.now, c.item)
		}
		return
	}
	if e.Phase == attempt.NotSent && c.item != "" {
		m.meter.Unmet(m.now, c.item) // resident, but not within reach
	}
	wasEjected := r.Ejected(m.now)
	r.End(m.now, uint64(c.ID), c.started, true)
	if r.Ejected(m.now) && !wasEjected {
		m.pool.Touch()
	}
}

func (m *Machine) resume(c *call) {
	r := m.pool.Get(c.replica)
	if r == nil {
		m.fail(c, Broke{Phase: attempt.Answered, Delivered: 1, Detail: "the replica left the configuration"})
		return
	}
	c.history = c.history.WithResume()
	r.Start(m.now, uint64(c.ID))
	m.out.Log(logevent.CallResumed, "call", uint64(c.ID), "replica", c.replica)
	m.out.Do(m.dispatchAction(c, r, true, resumePause*time.Duration(c.history.Resumes-1)))
}

func (m *Machine) retry(c *call, e Broke) {
	if e.Phase != attempt.Refused {
		budget, allowed := m.budget.Spend()
		m.budget = budget
		if !allowed {
			m.fail(c, e)
			return
		}
	}
	m.out.Log(logevent.CallRetried, "call", uint64(c.ID), "replica", c.replica, "detail", e.Detail)
	m.abandon(c, e)
	c.failedOn = c.replica
	c.replica = ""
	c.answered = false
	c.phase = waiting
	if e.Phase == attempt.Refused && c.history.Attempts >= maxRefusals {
		m.refuse(c, notRun(code.NoCapacity, "every replica refused: "+e.Detail, m.comeBack(0)))
		return
	}
	m.place(c)
}

// abandon frees the sequence that a broken attempt may have left behind.
func (m *Machine) abandon(c *call, e Broke) {
	r := m.pool.Get(c.replica)
	if r == nil || e.Phase == attempt.NotSent || e.Phase == attempt.Refused {
		return
	}
	m.cancel(c, r)
}

// cancel tells an engine to drop the call's sequence; a plain service has none.
func (m *Machine) cancel(c *call, r *pool.Replica) {
	if c.Plain || c.forward != nil {
		return // closing the connection is all there is
	}
	m.out.Do(Cancel{ID: c.ID, Attempt: c.history.Attempts, Replica: r.Name, Address: r.Address})
}

// maxRefusals bounds how often a call follows refusals from replica to replica.
const maxRefusals = 6

func (m *Machine) fail(c *call, e Broke) {
	num := code.UpstreamBroke
	if e.Delivered > 0 {
		num = code.StreamCut
	} else if e.Status != 0 && e.Phase != attempt.MaybeSent {
		num = code.UpstreamRefused
	}
	refusal := code.Refusal{Code: num, Run: c.history.Run(), Detail: e.Detail}
	if refusal.Run == code.NotRun || c.history.Repeatable {
		refusal.RetryAfter = leastRetryAfter
	}
	m.refuse(c, refusal)
}

// refuse gives a call that was taken in its final answer.
func (m *Machine) refuse(c *call, r code.Refusal) {
	// An earlier attempt may have run though the last step did not.
	if run := c.history.Run(); run != code.NotRun {
		r.Run = run
	}
	if c.phase == waiting {
		m.leaveLine(c)
	}
	if r.Run == code.NotRun {
		m.releaseClaim(c)
	}
	c.phase = 0
	delete(m.calls, c.ID)
	m.out.Log(logevent.CallFailed, "call", c.label(), "service", c.Service, "code", int(r.Code), "run", string(r.Run), "detail", r.Detail)
	m.out.Do(Finish{ID: c.ID, Refusal: r})
	m.pool.Touch()
}

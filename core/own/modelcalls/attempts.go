package modelcalls

import (
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
)

// This file handles the attempts of a call and its end.

// CancelSequence is an action: cancel a call's sequence on a replica.
type CancelSequence struct {
	ID      calls.ID
	Attempt int
	Replica string
	Address string
}

// IsAction implements step.Action.
func (CancelSequence) IsAction() {}

// cancel cancels the call's sequence on an engine. A plain service has no sequences.
func (h *Handler) cancel(c *calls.Call, r *pool.Replica) {
	if c.Plain {
		return // closing the connection is sufficient
	}
	h.Out.Emit(CancelSequence{ID: c.ID, Attempt: c.History.Attempts, Replica: r.Name, Address: r.Address})
}

// handleAnswerBegan records that the call received its first token, and whether that was
// later than its latency target.
func (h *Handler) handleAnswerBegan(now clock.Instant, c *calls.Call) {
	if c.Item != "" {
		h.Meter.MarkMet(c.Item)
	}
	if r := h.Pool.Get(c.Replica); r != nil {
		late := now.Since(c.Started) > c.Target
		r.FirstTokenReceived(now, uint64(c.ID), late)
	}
}

// handleCompleted records the hold time of a completed call for its item and its model.
func (h *Handler) handleCompleted(now clock.Instant, c *calls.Call, _ calls.Completed) {
	if c.Item == "" {
		return
	}
	holdTime := now.Since(c.Started)
	h.Meter.RecordHoldTime(c.Item, holdTime)
	h.Meter.RecordHoldTime(stateOf(c).version.Model, holdTime)
}

// handleAttemptFailed decides whether a call is resumed, retried or failed after a failed
// attempt.
func (h *Handler) handleAttemptFailed(now clock.Instant, c *calls.Call, e calls.AttemptFailed) {
	h.updateReplica(now, c, e)
	c.History = c.History.WithFailure(e.Phase)
	next := c.History.Decide(attempt.Failure{
		Phase: e.Phase, Delivered: e.Delivered, SameBoot: e.Resumable, Stalled: e.Stalled, Spent: e.BodyConsumed,
	})
	if h.Options.Disable.AtMost && next == attempt.Fail && e.Delivered == 0 {
		next = attempt.Retry
	}
	switch next {
	case attempt.Resume:
		h.resume(now, c)
	case attempt.Retry:
		h.retry(now, c, e)
	default:
		h.fail(c, e)
	}
}

// updateReplica records what a failed attempt reveals about its replica.
func (h *Handler) updateReplica(now clock.Instant, c *calls.Call, e calls.AttemptFailed) {
	if e.Leaving {
		h.Pool.ObserveLeaving(c.Replica)
		h.Out.Log(logevent.UpstreamLeaving, "upstream", c.Replica, "source", "answer")
	}
	r := h.Pool.Get(c.Replica)
	if r == nil {
		return
	}
	if e.Phase == attempt.Refused {
		r.DropCall(uint64(c.ID))
		if c.Item != "" {
			r.MarkRefused(now, c.Item)
		}
		return
	}
	if e.Phase == attempt.NotSent && c.Item != "" {
		h.Meter.MarkUnmet(now, c.Item) // the item is resident, but its replica is unreachable
	}
	h.Pool.CallFailed(now, r, uint64(c.ID), c.Started)
}

// resume requests the rest of the call's stream from the same replica. If the replica is no
// longer configured, the call fails as a cut stream.
func (h *Handler) resume(now clock.Instant, c *calls.Call) {
	r := h.Pool.Get(c.Replica)
	if r == nil {
		h.fail(c, calls.AttemptFailed{Phase: attempt.Answered, Delivered: 1, Detail: "the replica left the configuration"})
		return
	}
	c.History = c.History.WithResume()
	r.Start(now, uint64(c.ID))
	h.Out.Log(logevent.CallResumed, "call", uint64(c.ID), "replica", c.Replica)
	h.Out.Emit(h.dispatchAction(c, r, true, resumeInterval*time.Duration(c.History.Resumes-1)))
}

// retry sends the call to another replica if one can serve it. Unless the replica refused
// the failed attempt, the retry is taken from the service's retry budget; if the budget is
// exhausted, the call fails.
func (h *Handler) retry(now clock.Instant, c *calls.Call, e calls.AttemptFailed) {
	s := stateOf(c)
	if e.Phase != attempt.Refused {
		if !h.Budget.Spend(now, c.Service) {
			h.fail(c, e)
			return
		}
	}
	h.Out.Log(logevent.CallRetried, "call", uint64(c.ID), "replica", c.Replica, "detail", e.Detail)
	h.cancelFailedAttempt(c, e)
	s.failedReplica = c.Replica
	c.Replica = ""
	c.Phase = calls.Waiting
	if e.Phase == attempt.Refused && c.History.Attempts >= maxRefusals {
		h.Calls.Refuse(c, calls.NotRunRefusal(code.NoCapacity, "every replica refused: "+e.Detail, h.Calls.RetryAfter(0)))
		return
	}
	h.findReplica(now, c)
}

// cancelFailedAttempt cancels the sequence that a failed attempt may have left at its
// replica.
func (h *Handler) cancelFailedAttempt(c *calls.Call, e calls.AttemptFailed) {
	r := h.Pool.Get(c.Replica)
	if r == nil || e.Phase == attempt.NotSent || e.Phase == attempt.Refused {
		return
	}
	h.cancel(c, r)
}

// maxRefusals is the number of attempts from which on a refusal by a replica is final. It
// bounds how often refusals move a call from replica to replica.
const maxRefusals = 6

// fail refuses the call with a code for how far the failed attempt e got. The caller is told
// when to retry only if the call did not run or is repeatable.
func (h *Handler) fail(c *calls.Call, e calls.AttemptFailed) {
	num := code.UpstreamBroke
	if e.Delivered > 0 {
		num = code.StreamCut
	} else if e.Status != 0 && e.Phase != attempt.MaybeSent {
		num = code.UpstreamRefused
	}
	refusal := code.Refusal{Code: num, Run: c.History.RunState(), Detail: e.Detail}
	if refusal.Run == code.NotRun || c.History.Repeatable {
		refusal.RetryAfter = calls.MinRetryAfter
	}
	h.Calls.Refuse(c, refusal)
}

package modelcalls

import (
	"fmt"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/own/choose"
	"github.com/birchdrift/birchdrift/core/pool"
)

// This file selects the replica of an admitted call, or queues the call.

// candidates returns the replicas that can serve the call. The slice is valid until the
// next call of candidates.
func (h *Handler) candidates(now clock.Instant, c *calls.Call) []*pool.Replica {
	s := stateOf(c)
	if c.Plain {
		return h.Pool.Serving(s.service.Name)
	}
	h.candidateBuf = h.candidateBuf[:0]
	for _, r := range h.Pool.Ready(c.Item) {
		// An adapter is loaded long before its model, and the engine refuses calls until
		// the model is ready too. A replica that has just refused the item is excluded as
		// well: refusals are the fastest answers, so it would attract every call.
		if r.Phase(s.version.Model) == pool.Ready && !r.Refusing(now, c.Item) {
			h.candidateBuf = append(h.candidateBuf, r)
		}
	}
	return h.candidateBuf
}

// findReplica sends the call to the best replica, queues it, or refuses it.
func (h *Handler) findReplica(now clock.Instant, c *calls.Call) {
	s := stateOf(c)
	q := choose.Query{
		Zone:         h.Self.Zone,
		PromptTokens: c.PromptTokens,
		PrefillRate:  s.prefillRate,
		Prefix:       c.Prefix,
		Exclude:      s.failedReplica,
	}
	best, ok := h.Chooser.Choose(now, q, h.candidates(now, c))
	switch {
	case !ok:
		h.handleNoReplica(now, c)
	case best.Room:
		h.dispatch(now, c, best)
	case best.Queue > h.remainingWait(now, c):
		h.Calls.Refuse(c, calls.NotRunRefusal(code.NoCapacity, "every replica is full", h.Calls.RetryAfter(best.Queue)))
	default:
		h.Calls.Enqueue(c)
	}
}

// handleNoReplica queues or refuses a call that no usable replica can serve.
func (h *Handler) handleNoReplica(now clock.Instant, c *calls.Call) {
	s := stateOf(c)
	if c.Plain {
		h.Calls.Refuse(c, calls.NotRunRefusal(code.NoReplica, "no live replica", h.Calls.RetryAfter(0)))
		return
	}
	h.Meter.MarkUnmet(now, c.Item)
	h.Unmet(now)
	if s.loadTime > h.remainingWait(now, c)+now.Since(c.Arrived) || h.remainingWait(now, c) <= 0 {
		h.Calls.Refuse(c, calls.NotRunRefusal(code.NotResident, fmt.Sprintf("%q is not resident", c.Item), h.Calls.RetryAfter(s.loadTime)))
		return
	}
	h.Calls.Enqueue(c)
}

// dispatch sends the call to the replica of e and records the decision.
func (h *Handler) dispatch(now clock.Instant, c *calls.Call, e choose.Estimate) {
	h.Calls.MarkSent(now, c, e.Replica)
	if c.Item != "" {
		h.Chooser.RecordSent(c.Prefix, e.Replica.Name)
	}
	e.Replica.Start(now, uint64(c.ID))
	h.decisions.add(now, c, e)
	h.Out.Emit(h.dispatchAction(c, e.Replica, false, 0))
}

// dispatchAction returns the action that sends the call, or the resume of its stream, to r
// after the given delay.
func (h *Handler) dispatchAction(c *calls.Call, r *pool.Replica, resume bool, after time.Duration) calls.Dispatch {
	s := stateOf(c)
	d := c.Dispatch(r, h.Options.Stall)
	d.Model = s.version.Model
	d.Adapter = s.version.Adapter
	d.Priority = s.decision.Priority
	d.Resume = resume
	d.After = after
	return d
}

// countWaiting counts the waiting calls whose item no replica has ready. The planner uses
// the numbers to decide for which items to free memory.
func (h *Handler) countWaiting(now clock.Instant, waiting []*calls.Call) {
	absent := map[string]int{}
	for _, c := range waiting {
		if c.Kind == &h.handlers && c.Item != "" && len(h.candidates(now, c)) == 0 {
			absent[c.Item]++
		}
	}
	for item, n := range absent {
		h.Meter.SetWaiting(item, n)
	}
}

// handleLeftQueue resets the number of calls that wait for the call's item. If others still
// wait, countWaiting sets it again; countWaiting itself never sets a number to 0.
func (h *Handler) handleLeftQueue(c *calls.Call) {
	if c.Item != "" {
		h.Meter.SetWaiting(c.Item, 0)
	}
}

package instance

import (
	"fmt"
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/own/modelcalls"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
)

// This file simulates the callers, the plain upstreams and the claims of a world.

// handleClaim executes the claim, the read or the release of an idempotency key at the platform.
func (w *world) handleClaim(n *node, a step.Action) {
	switch act := a.(type) {
	case modelcalls.Claim:
		mine := fmt.Sprintf("%s/%d/%d", n.id.Name, n.id.Boot, act.ID)
		w.platform.calls++
		w.send(n, w.platformReachable(n), func() func() {
			outcome := modelcalls.ClaimUnknown
			if w.platform.values[act.Key].data == nil {
				w.platform.revision++
				w.platform.values[act.Key] = fakeValue{data: mine, revision: w.platform.revision}
				outcome = modelcalls.ClaimWon
			}
			return func() { w.step(n, modelcalls.ClaimReply{ID: act.ID, Outcome: outcome}) }
		}, func(bool) { w.step(n, modelcalls.ClaimReply{ID: act.ID, Outcome: modelcalls.ClaimUnknown}) })
	case modelcalls.ReadClaim:
		mine := fmt.Sprintf("%s/%d/%d", n.id.Name, n.id.Boot, act.ID)
		w.platform.calls++
		w.send(n, w.platformReachable(n), func() func() {
			outcome := modelcalls.ClaimLost
			switch w.platform.values[act.Key].data {
			case nil:
				outcome = modelcalls.ClaimAbsent
			case mine:
				outcome = modelcalls.ClaimWon
			}
			return func() { w.step(n, modelcalls.ClaimReply{ID: act.ID, Outcome: outcome}) }
		}, func(bool) { w.step(n, modelcalls.ClaimReply{ID: act.ID, Outcome: modelcalls.ClaimUnknown}) })
	case modelcalls.ReleaseClaim:
		mine := fmt.Sprintf("%s/%d/%d", n.id.Name, n.id.Boot, act.ID)
		w.platform.calls++
		w.send(n, w.platformReachable(n), func() func() {
			if w.platform.values[act.Key].data == mine {
				delete(w.platform.values, act.Key)
			}
			return func() {}
		}, func(bool) {})
	}
}

// lookupCall returns the call of a node with the given ID, or nil if there is none.
func (w *world) lookupCall(n *node, id calls.ID) *worldCall {
	return w.calls[fmt.Sprintf("%s/%d/%d", n.id.Name, n.id.Boot, id)]
}

// call starts a caller's call at a node.
func (w *world) call(name string, c calls.Request) *worldCall {
	n := w.nodes[name]
	wc := &worldCall{id: fmt.Sprintf("%s/%d/%d", name, n.id.Boot, c.ID), node: name, notRepeatable: c.NotRepeatable, idempotencyKey: c.IdempotencyKey}
	w.calls[wc.id] = wc
	w.step(n, calls.Arrived{Call: c})
	return wc
}

// dispatch simulates an upstream. The connection may break before anything is sent, while the
// request is in transit, after the call ran, or in the middle of the response.
func (w *world) dispatch(n *node, a calls.Dispatch) {
	c := w.lookupCall(n, a.ID)
	if c == nil {
		return
	}
	c.dispatched++
	e := w.engines[a.Replica]
	if e != nil && e.leaving && w.now-e.leftAt > leavingBound {
		w.reportViolation("%s received a call %v after it started to leave", e.name, w.now-e.leftAt)
	}
	if !w.engineReachable(n, a.Zone)() {
		w.after(100*time.Millisecond, func() { w.step(n, calls.AttemptFailed{ID: a.ID, Attempt: a.Attempt, Phase: attempt.NotSent}) })
		return
	}
	w.after(w.latency(), func() { w.runUpstream(n, a, c, e) })
}

// leavingBound is the guaranteed time after which a leaving upstream receives no calls.
const leavingBound = 4 * time.Second

// runUpstream runs a call at its upstream, or has the upstream refuse it or the connection break.
func (w *world) runUpstream(n *node, a calls.Dispatch, c *worldCall, e *fakeEngine) {
	if e != nil && (e.leaving || !e.ready(a)) {
		w.step(n, calls.AttemptFailed{ID: a.ID, Attempt: a.Attempt, Phase: attempt.Refused, Leaving: e.leaving, Status: 503})
		return
	}
	if w.rng.Float64() >= w.faults.breakRate {
		w.execute(c, a)
		w.step(n, calls.AnswerBegan{ID: a.ID})
		w.after(w.latency(), func() {
			c.answered = true
			w.step(n, calls.Completed{ID: a.ID})
		})
		return
	}
	b := calls.AttemptFailed{ID: a.ID, Attempt: a.Attempt}
	switch w.rng.IntN(4) {
	case 0:
		b.Phase = attempt.NotSent
	case 1:
		b.Phase = attempt.MaybeSent
	case 2:
		w.execute(c, a)
		b.Phase = attempt.MaybeSent
	case 3:
		w.execute(c, a)
		b.Phase = attempt.Answered
		b.Delivered = w.rng.IntN(2)
	}
	w.step(n, b)
}

func (e *fakeEngine) ready(a calls.Dispatch) bool {
	for _, name := range []string{a.Model, a.Adapter} {
		if name == "" {
			continue
		}
		if it := e.items[name]; it == nil || it.phase != pool.Ready {
			return false
		}
	}
	return true
}

// execute records that a call ran, and reports a violation if it was not allowed to run again.
func (w *world) execute(c *worldCall, a calls.Dispatch) {
	if a.Resume {
		return
	}
	c.executed++
	if c.notRepeatable && c.executed > 1 {
		w.reportViolation("call %s ran %d times", c.id, c.executed)
	}
	if c.idempotencyKey == "" {
		return
	}
	total := 0
	for _, other := range w.calls {
		if other.idempotencyKey == c.idempotencyKey {
			total += other.executed
		}
	}
	if total > 1 {
		w.reportViolation("key %q ran %d times", c.idempotencyKey, total)
	}
}

// finish records a final answer that a node gives itself, and checks that it is the only one and
// that its run state is true.
func (w *world) finish(n *node, a calls.Finish) {
	c := w.lookupCall(n, a.ID)
	if c == nil {
		return
	}
	if c.answered || c.refusal != nil {
		w.reportViolation("call %s was answered twice", c.id)
	}
	refusal := a.Refusal
	c.refusal = &refusal
	if refusal.Run == code.NotRun && c.executed > 0 {
		w.reportViolation("call %s was reported as not run (code %d), but it ran", c.id, refusal.Code)
	}
}

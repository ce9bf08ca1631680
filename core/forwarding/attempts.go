package forwarding

import (
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/retrybudget"
)

// Handling of calls that were sent to a replica.

// answerBegan handles the first event of the answer.
func (f *Forwarder) answerBegan(now clock.Instant, c *calls.Call) {
	s := stateOf(c)
	s.lastAttempt.firstEventAt = now
	s.progress.answerStarted = s.route.Kind == config.Stream
	f.recordOrigin(now, c)
	r := f.Pool.Get(c.Replica)
	if r == nil {
		return
	}
	if s.lastAttempt.relay == "" {
		f.Links.Proven(now, r, c.Started)
	} else {
		f.Links.RelayAnswered(now, s.lastAttempt.relay)
	}
	f.Pool.AnswerBegan(now, r, uint64(c.ID))
	if c.Item != "" && s.lastAttempt.onlyPrefill {
		f.router.ObserveFirstEvent(s.request.size, s.lastAttempt.uncachedTokens, now.Since(c.Started))
	}
}

// served logs a complete answer and its timing.
func (f *Forwarder) served(now clock.Instant, c *calls.Call, e calls.Completed) {
	s := stateOf(c)
	f.Quarantine.Served(now, s.traits)
	f.streamEnded(c)
	f.Out.Log(logevent.CallServed, "call", c.Forward.Name, "replica", c.Replica, "attempts", c.History.Attempts,
		"waited_ms", c.Started.Since(c.Arrived).Milliseconds(), "first_ms", s.lastAttempt.firstEventAt.Since(c.Started).Milliseconds(),
		"pause_ms", e.Pause.Milliseconds(), "total_ms", now.Since(c.Arrived).Milliseconds(),
		"status", e.Status, "last_event", e.LastEvent, "framing", e.Framing)
}

// attemptFailed retries or ends a call whose attempt failed. If this instance has no retry left,
// it borrows one first.
func (f *Forwarder) attemptFailed(now clock.Instant, c *calls.Call, e calls.AttemptFailed) {
	s := stateOf(c)
	if s.lastAttempt.replicaRestarted {
		e.Severed = true // the replica ended, however the attempt failed here
	}
	if s.lastAttempt.relay == "" {
		f.updateReplica(now, c, e)
	} else {
		f.updateRelay(now, c, e)
	}
	c.History = c.History.WithFailure(e.Phase)
	s.failed = failure{AttemptFailed: e, replica: c.Replica}
	s.progress.lastEvent = max(s.progress.lastEvent, e.Delivered)
	if e.Delivered > 0 {
		s.brokenAt = now
	}
	c.Replica = ""
	s.progress.record(c.Life, e, f.isResting(now, s.failed.replica))
	s.charge = s.charge.withFailure(e.Phase)
	switch reason := f.checkRetry(now, c, e); reason {
	case retryAllowed:
		f.retry(now, c)
	case overBudget:
		f.borrowRetry(now, c)
	default:
		f.endUnretried(c, reason)
	}
}

// A failure is a failed attempt and the name of its replica.
type failure struct {
	calls.AttemptFailed
	replica string
	logged  bool // the retry after it was logged
}

// retry finds another replica for a call whose attempt failed.
func (f *Forwarder) retry(now clock.Instant, c *calls.Call) {
	s := stateOf(c)
	f.logRetry(c, s)
	c.Phase = calls.Waiting
	s.probe = probe{}
	if s.failed.Severed {
		s.held = false
	}
	f.findReplica(now, c)
}

// logRetry logs that a call whose attempt failed is retried, once for each failure.
func (f *Forwarder) logRetry(c *calls.Call, s *state) {
	if s.failed.logged {
		return
	}
	s.failed.logged = true
	f.Out.Log(logevent.CallRetried, "call", c.Forward.Name, "service", c.Service, "fingerprint", c.Forward.Fingerprint.String(),
		"replica", s.failed.replica, "severed", s.failed.Severed, "unreachable", s.failed.Unreachable, "status", s.failed.Status, "last_event", s.progress.lastEvent, "detail", s.failed.Detail)
}

// endUnretried ends a call whose attempt failed and logs why it is not retried.
func (f *Forwarder) endUnretried(c *calls.Call, reason retryVerdict) {
	s := stateOf(c)
	if reason == overBudget {
		f.Out.Emit(retrybudget.Denied{Service: c.Service})
	}
	f.Out.Log(logevent.CallNotRepeated, "call", c.Forward.Name, "service", c.Service, "fingerprint", c.Forward.Fingerprint.String(),
		"replica", s.failed.replica, "severed", s.failed.Severed, "reason", reason.String())
	f.end(c, s, s.failed.Status, s.failed.Detail)
}

// isResting reports whether a replica has asked this instance to send it nothing for a
// while that has not ended.
func (f *Forwarder) isResting(now clock.Instant, replica string) bool {
	r := f.Pool.Get(replica)
	return r != nil && r.Resting(now)
}

// record records how an attempt at a replica ended. A replica that refused the call and
// requested a rest may get the call again after the rest.
func (p *progress) record(replica pool.Incarnation, e calls.AttemptFailed, resting bool) {
	p.errorResponse = e.ErrorResponse
	p.answerStarted = p.answerStarted || e.Delivered > 0
	switch e.Phase {
	case attempt.NotSent:
		p.unsent++ // it may be tried again once its link works, or through a peer
		return
	case attempt.Refused:
		p.refusals++
		if resting {
			return
		}
	default:
		p.possibleRuns++
	}
	if e.Delivered > 0 {
		p.brokeOff = append(p.brokeOff, replica)
		return
	}
	p.tried = append(p.tried, replica)
}

// end gives a call its final answer after its last attempt. status is the HTTP status of
// that attempt, 0 if there was none.
func (f *Forwarder) end(c *calls.Call, s *state, status int, detail string) {
	run := c.History.RunState()
	switch {
	case s.progress.errorResponse && !s.progress.answerStarted:
		f.passOnErrorResponse(c, status)
	case s.progress.answerStarted:
		f.Calls.Refuse(c, code.Refusal{Code: code.StreamCut, Run: run, Detail: detail})
	case run == code.NotRun:
		f.Calls.Refuse(c, calls.NotRunRefusal(code.NoCapacity, detail, f.Calls.RetryAfter(0)))
	default:
		f.Calls.Refuse(c, code.Refusal{Code: code.UpstreamBroke, Run: run, Detail: detail})
	}
}

// passOnErrorResponse ends a call with the replica's own error response.
func (f *Forwarder) passOnErrorResponse(c *calls.Call, status int) {
	f.Out.Log(logevent.CallFailed, "call", c.Forward.Name, "service", c.Service, "code", int(code.UpstreamRefused),
		"run", string(c.History.RunState()), "status", status, "detail", "the replica's own answer")
	f.Out.Emit(calls.PassOnErrorResponse{ID: c.ID})
	f.Calls.Remove(c)
}

// updateReplica updates the state of the replica after a failed attempt. An attempt at an
// earlier incarnation says nothing about a replica that has restarted since.
func (f *Forwarder) updateReplica(now clock.Instant, c *calls.Call, e calls.AttemptFailed) {
	r := f.Pool.Get(c.Replica)
	if r != nil && answeredByReplica(e) && stateOf(c).lastAttempt.relay == "" {
		f.Links.Proven(now, r, c.Started)
	}
	if r != nil && !mayBeRejected(e) {
		r.CallNotRejected(uint64(c.ID))
	}
	switch {
	case r == nil:
	case !r.HasCall(uint64(c.ID)):
		if e.Severed {
			f.Quarantine.SeveredByReplicaEnd(now, c.Forward.Identity(), c.Service, c.Life)
		}
	case e.Misdirected && e.Incarnation != "" && e.Incarnation != c.Replica:
		r.DropCall(uint64(c.ID))
		f.Quarantine.ReplicaEnded(now, r.Incarnation())
		f.Pool.MarkTerminated(c.Replica)
		f.Out.Log(logevent.UpstreamLeaving, "upstream", c.Replica, "source", "another replica has its address", "now", e.Incarnation)
	case e.Misdirected:
		r.DropCall(uint64(c.ID))
		f.Pool.MarkAbsent(c.Replica, c.Item)
		r.MarkRefused(now, c.Item)
	case e.Phase == attempt.Refused:
		r.DropCall(uint64(c.ID))
		if !r.Resting(now) { // a resting replica itself said for how long
			r.MarkRefused(now, c.Item)
		}
	case e.Phase == attempt.NotSent:
		r.DropCall(uint64(c.ID))
		f.Links.Failed(now, r, !e.Unreachable)
		if e.Unreachable {
			f.Quarantine.ReplicaEnded(now, r.Incarnation())
		}
	case e.ErrorResponse:
		// The replica works; the call itself may be the cause of the failure.
		r.End(now, uint64(c.ID), c.Started, false)
	default:
		if r.LinkBroken() {
			r.DropCall(uint64(c.ID)) // the link failed, not necessarily the replica
		} else {
			f.Pool.CallFailed(now, r, uint64(c.ID), c.Started)
		}
		if e.Severed {
			f.Quarantine.Severed(now, c.Forward.Identity(), r)
		}
	}
}

// updateRelay updates what is known after a failed attempt that was relayed. Unless the replica
// itself answered, it says nothing about the replica: the connections on either side of the relay
// may have failed.
func (f *Forwarder) updateRelay(now clock.Instant, c *calls.Call, e calls.AttemptFailed) {
	f.Links.RelayFailed(now, stateOf(c).lastAttempt.relay, c.Replica, e.Relay)
	switch r := f.Pool.Get(c.Replica); {
	case answeredByReplica(e):
		f.updateReplica(now, c, e)
	case r != nil:
		r.DropCall(uint64(c.ID))
	}
}

// answeredByReplica reports whether an attempt failed by the replica's own complete answer.
func answeredByReplica(e calls.AttemptFailed) bool {
	return e.Phase == attempt.Refused || e.Misdirected || e.ErrorResponse
}

// mayBeRejected reports whether the replica rejected the attempt, or may have.
func mayBeRejected(e calls.AttemptFailed) bool {
	switch {
	case e.Phase == attempt.NotSent, e.Misdirected, e.ErrorResponse:
		return false
	default:
		return true
	}
}

// ReplicaRestarted interrupts the calls at a replica that has restarted: they ended with
// its previous incarnation. Calls whose connections do not show that would otherwise wait
// for an answer that cannot come.
func (f *Forwarder) ReplicaRestarted(now clock.Instant, replica string) {
	r := f.Pool.Get(replica)
	f.Streams.ReplicaRestarted(now, r.Incarnation(), r.Announcement().Software)
	for _, c := range f.Calls.All() {
		if c.Forward != nil {
			f.doubtOrigin(now, c, r)
		}
		if c.Forward == nil || c.Phase != calls.Running || c.Replica != replica {
			continue
		}
		stateOf(c).lastAttempt.replicaRestarted = true
		f.Out.Emit(calls.Interrupt{ID: c.ID})
	}
}

// expireInterval is the time between two checks for expired calls.
const expireInterval = 20 * time.Millisecond

// Tick ends the expired calls and interrupts silent attempts, if a check is due.
func (f *Forwarder) Tick(now clock.Instant) {
	f.expireCalls(now)
	f.interruptSilent(now)
}

// expireCalls ends the expired calls. They get an answer at once, so that no caller waits for an
// answer that comes too late.
func (f *Forwarder) expireCalls(now clock.Instant) {
	if now.Before(f.nextExpire) {
		return
	}
	f.nextExpire = now.Add(expireInterval)
	for _, c := range f.Calls.Expired(now) {
		f.expire(c)
	}
}

// callerLeft handles a caller that disconnected while its call ran at r.
func (f *Forwarder) callerLeft(now clock.Instant, c *calls.Call, r *pool.Replica) {
	f.Quarantine.CallerDisconnected(now, c.Forward.Identity(), r)
}

// partNames returns the parts of a call's prompt that other requests may have too, for logs.
func partNames(c *calls.Call) []string {
	var out []string
	for _, part := range c.Forward.Identity().Parts {
		out = append(out, part.String())
	}
	return out
}

// quarantinedRefusal returns the refusal of a call whose request is in quarantine for the
// given time.
func quarantinedRefusal(left time.Duration) code.Refusal {
	return calls.NotRunRefusal(code.Quarantined, "", left)
}

// RefuseQuarantined ends the calls of requests with a cause that has been put into quarantine for the
// given time. A replica that has not begun to run such a call drops it when its connection
// closes, and so does not crash.
func (f *Forwarder) RefuseQuarantined(cause crash.Cause, left time.Duration) {
	for _, c := range f.Calls.All() {
		if c.Forward == nil || !cause.Covers(stateOf(c).traits) {
			continue
		}
		f.abandon(c)
		f.Calls.Refuse(c, quarantinedRefusal(left))
	}
}

// abandon stops waiting for the result of a call's current attempt, if there is one, and
// records that the attempt may have run.
func (f *Forwarder) abandon(c *calls.Call) {
	if c.Phase != calls.Running {
		return
	}
	if r := f.Pool.Get(c.Replica); r != nil {
		r.DropCall(uint64(c.ID))
	}
	c.History = c.History.WithFailure(attempt.MaybeSent)
}

// expire ends one call whose time limit has passed.
func (f *Forwarder) expire(c *calls.Call) {
	if c.Phase != calls.Running {
		f.Calls.Refuse(c, calls.NotRunRefusal(code.TargetMissed, "it waited until its time was over", f.Calls.RetryAfter(0)))
		return
	}
	f.abandon(c)
	refusalCode := code.TimedOut
	if stateOf(c).progress.answerStarted {
		refusalCode = code.StreamCut
	}
	f.Calls.Refuse(c, code.Refusal{Code: refusalCode, Run: c.History.RunState(), Detail: "the time for which it may be held is over"})
}

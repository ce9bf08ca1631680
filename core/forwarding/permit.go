package forwarding

import (
	"fmt"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/route"
)

// Calls to rate-limited replicas: each attempt needs a permit, whether it is the first of
// its call or a retry.

const (
	// permitWaitShare is the share of its latency target for which a call waits for a
	// permit. The rest is for its answer (docs/design/limits.md).
	permitWaitShare = 0.5
	// maxPermitRequests is the number of permits that one call may request. Each request
	// takes a round trip to another instance (docs/design/limits.md).
	maxPermitRequests = 4
)

// A denial records that a rate-limited replica takes no request of a call for now.
type denial struct {
	incarnation pool.Incarnation
	until       clock.Instant // when the replica may take a request
	after       time.Duration // Retry-After for the caller
}

// rateLimited reports whether a rate limit of the replica is in force.
func rateLimited(now clock.Instant, r *pool.Replica) bool {
	_, ok := r.RateLimit(now)
	return ok
}

// requestPermit makes the call wait for a permit for its best replica. After
// maxPermitRequests it counts as denied.
func (f *Forwarder) requestPermit(now clock.Instant, c *calls.Call, q route.Query, best route.Estimate) {
	s := stateOf(c)
	if s.permitRequests >= maxPermitRequests {
		f.recordDenial(now, s, best.Replica, permits.Decision{Turn: best.Turn, After: best.Turn})
		f.handleNoReplica(now, c)
		return
	}
	s.permitRequests++
	wait, alone := f.permitWait(now, c, q, best)
	report := best.Replica.LimitReport()
	f.Calls.EnterPhase(c, calls.AwaitingPermit)
	f.Out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.Item, "for", "a permit", "replica", best.Replica.Name,
		"per_s", report.Limit.PerSecond, "by", report.By, "ago_ms", now.Since(report.At).Milliseconds(), "most_ms", wait.Milliseconds())
	f.Permits.RequestForCall(now, best.Replica, c.ID, s.rank(), wait, alone)
}

// permitWait returns how long the call may wait for a permit: only while it can still be
// in time, and no longer than the additional time that the best replica without a rate
// limit would take; alone reports whether there is no such replica.
func (f *Forwarder) permitWait(now clock.Instant, c *calls.Call, q route.Query, best route.Estimate) (wait time.Duration, alone bool) {
	wait = f.permitTimeout(now, c)
	unlimited := slices.DeleteFunc(slices.Clone(f.candidates(now, c)), func(r *pool.Replica) bool { return rateLimited(now, r) })
	other, ok := f.router.Choose(now, q, unlimited)
	if ok {
		wait = min(wait, other.Total()-(best.Total()-best.Turn))
	}
	return max(0, wait), !ok
}

// permitTimeout returns how long the call may wait for a permit and still be answered in
// time.
func (f *Forwarder) permitTimeout(now clock.Instant, c *calls.Call) time.Duration {
	return time.Duration(permitWaitShare*float64(c.Target)) - now.Since(c.Arrived)
}

// PermitDecided handles the decision on a call's permit request: it sends or retries the
// call, or chooses another replica. A permit that can no longer be used is released.
func (f *Forwarder) PermitDecided(now clock.Instant, id calls.ID, resource permits.Resource, decision permits.Decision) {
	c := f.Calls.Get(id)
	waiting := c != nil && c.Phase == calls.AwaitingPermit
	if !waiting {
		f.returnPermit(now, resource, decision)
		return
	}
	c.Phase = calls.Waiting
	switch {
	case resource.Service != "":
		f.retryBorrowed(now, c, decision)
	case !decision.Granted:
		f.recordDenial(now, stateOf(c), f.Pool.Get(resource.Replica.Name), decision)
		f.findReplica(now, c)
	case !f.usePermit(now, c, resource.Replica):
		f.Permits.Release(now, resource)
		f.findReplica(now, c)
	}
}

// returnPermit gives back a permit that will not be used. Retries that were lent are kept.
func (f *Forwarder) returnPermit(now clock.Instant, resource permits.Resource, decision permits.Decision) {
	switch {
	case resource.Service != "":
		f.Budget.Deposit(now, resource.Service, decision.Retries)
	case decision.Granted:
		f.Permits.Release(now, resource)
	}
}

// usePermit sends a call to the replica that it has a permit for, if the replica can still
// serve it, and reports whether it did.
func (f *Forwarder) usePermit(now clock.Instant, c *calls.Call, incarnation pool.Incarnation) bool {
	s := stateOf(c)
	r := f.Pool.Get(incarnation.Name)
	if r == nil || r.Incarnation() != incarnation || c.Item != "" && r.Phase(c.Item) != pool.Ready {
		return false
	}
	if f.Quarantine.Remaining(now, s.traits) > 0 || f.mustDelay(now, c, s) {
		return false
	}
	e, ok := f.router.Choose(now, f.query(now, c, s), []*pool.Replica{r})
	if !ok || !f.chargeRetry(now, c) {
		return false
	}
	f.dispatch(now, c, e)
	return true
}

// recordDenial records that r takes no request of the call for now. A nil r, for a replica
// that no longer exists, is ignored.
func (f *Forwarder) recordDenial(now clock.Instant, s *state, r *pool.Replica, decision permits.Decision) {
	if r != nil {
		s.denials = append(s.denials, denial{incarnation: r.Incarnation(), until: now.Add(decision.Turn), after: decision.After})
	}
}

// activeDenials returns the denials that are still in force.
func (s *state) activeDenials(now clock.Instant) []denial {
	return slices.DeleteFunc(slices.Clone(s.denials), func(d denial) bool { return !now.Before(d.until) })
}

// excludedReplicas returns the replicas that the call must not be sent to now: those that
// failed it and those for which it was denied a permit.
func (s *state) excludedReplicas(now clock.Instant) []pool.Incarnation {
	excluded := s.progress.tried
	for _, d := range s.activeDenials(now) {
		excluded = append(slices.Clip(excluded), d.incarnation)
	}
	return excluded
}

// refuseRateLimited ends a call whose replicas take no more requests for now, and reports
// whether that is the reason that the call found no replica. The refusal has a Retry-After
// and says that the call did not run, unless it may have run.
func (f *Forwarder) refuseRateLimited(now clock.Instant, c *calls.Call) bool {
	s := stateOf(c)
	denied := s.activeDenials(now)
	if len(denied) == 0 {
		return false
	}
	next := slices.MinFunc(denied, func(a, b denial) int { return int(a.after - b.after) })
	detail := "the replicas that can serve it take no more requests for now"
	if r := f.Pool.Get(next.incarnation.Name); r != nil {
		report := r.LimitReport()
		detail = fmt.Sprintf("%s; %s takes %g a second, as %s heard %v ago", detail, r.Name, report.Limit.PerSecond, report.By, now.Since(report.At).Round(time.Millisecond))
	}
	if c.History.RunState() != code.NotRun || s.progress.answerStarted {
		f.end(c, s, 0, detail)
		return true
	}
	f.Calls.Refuse(c, calls.NotRunRefusal(code.NoCapacity, detail, max(next.after, noReplicaRetryAfter)))
	return true
}

// staleLimits returns the replicas whose rate limit was not reported for a while. A call
// sent there shows whether the limit is still in force.
func (f *Forwarder) staleLimits(now clock.Instant, c *calls.Call, candidates []*pool.Replica) []*pool.Replica {
	var out []*pool.Replica
	for _, r := range candidates {
		if r.LimitStale(now) && (c.Item == "" || r.Phase(c.Item) == pool.Ready) {
			out = append(out, r)
		}
	}
	return out
}

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

// Calls to replicas that name a limit: every one needs a permit, whatever it is the try of.

const (
	// permitWaitShare is the part of its target within which a call waits for its turn at a
	// replica: the rest of it is for its answer (docs/design/limits.md).
	permitWaitShare = 0.5
	// maxPermitRequests is how many permits one call asks for: each costs a way to another
	// instance and back (docs/design/limits.md).
	maxPermitRequests = 4
)

// A denial says that a replica takes no request of a call for now.
type denial struct {
	incarnation pool.Incarnation
	until       clock.Instant // when it may take one
	after       time.Duration // when the call's caller should come back for it
}

// rateLimited reports whether the replica names a limit.
func rateLimited(now clock.Instant, r *pool.Replica) bool {
	_, ok := r.RateLimit(now)
	return ok
}

// requestPermit has the call wait for a permit to its best replica.
func (f *Forwarder) requestPermit(now clock.Instant, c *calls.Call, q route.Query, best route.Estimate) {
	s := stateOf(c)
	if s.permitRequests >= maxPermitRequests {
		f.recordDenial(now, s, best.Replica, permits.Decision{Turn: best.Turn, After: best.Turn})
		f.handleNoReplica(now, c)
		return
	}
	s.permitRequests++
	wait, alone := f.permitWait(now, c, q, best)
	w := best.Replica.LimitReport()
	f.Calls.EnterPhase(c, calls.AwaitingPermit)
	f.Out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.Item, "for", "a permit", "replica", best.Replica.Name,
		"per_s", w.Limit.PerSecond, "by", w.By, "ago_ms", now.Since(w.At).Milliseconds(), "most_ms", wait.Milliseconds())
	f.Permits.RequestForCall(now, best.Replica, c.ID, s.route.Priority, wait, alone)
}

// permitWait returns how long the call may wait for its turn at a replica: while it can still
// be in time, and no longer than a replica without a limit would take beyond that one; alone
// says that there is none.
func (f *Forwarder) permitWait(now clock.Instant, c *calls.Call, q route.Query, best route.Estimate) (wait time.Duration, alone bool) {
	wait = f.permitTimeout(now, c)
	free := slices.DeleteFunc(slices.Clone(f.Pool.Serving(c.Service)), func(r *pool.Replica) bool { return rateLimited(now, r) })
	other, ok := f.router.Choose(now, q, free)
	if ok {
		wait = min(wait, other.Total()-(best.Total()-best.Turn))
	}
	return max(0, wait), !ok
}

// permitTimeout returns how long the call may wait for a permit and still be in time.
func (f *Forwarder) permitTimeout(now clock.Instant, c *calls.Call) time.Duration {
	return time.Duration(permitWaitShare*float64(c.Target)) - now.Since(c.Arrived)
}

// PermitDecided takes in what came of a call's request for a permit. A permit that is of no use
// any more is given back.
func (f *Forwarder) PermitDecided(now clock.Instant, id calls.ID, subject permits.Resource, v permits.Decision) {
	c := f.Calls.Get(id)
	waits := c != nil && c.Phase == calls.AwaitingPermit
	if !waits {
		if v.Granted {
			f.Permits.Release(now, subject)
		}
		return
	}
	c.Phase = calls.Waiting
	switch {
	case subject.Service != "":
		f.retryPermitDecided(now, c, v.Granted)
	case !v.Granted:
		f.recordDenial(now, stateOf(c), f.Pool.Get(subject.Replica.Name), v)
		f.findReplica(now, c)
	case !f.usePermit(now, c, subject.Replica):
		f.Permits.Release(now, subject)
		f.findReplica(now, c)
	}
}

// usePermit sends a call to the replica that it has a permit for, if that can still serve it.
func (f *Forwarder) usePermit(now clock.Instant, c *calls.Call, life pool.Incarnation) bool {
	s := stateOf(c)
	r := f.Pool.Get(life.Name)
	if r == nil || r.Incarnation() != life || c.Item != "" && r.Phase(c.Item) != pool.Ready {
		return false
	}
	if f.Quarantine.Remaining(now, c.Forward.Fingerprint) > 0 || f.mustDelay(now, c, s) {
		return false
	}
	e, ok := f.router.Choose(now, f.query(now, c, s), []*pool.Replica{r})
	if ok {
		f.dispatch(now, c, e)
	}
	return ok
}

// recordDenial notes that a replica, nil if it has gone, takes no request of the call for now.
func (f *Forwarder) recordDenial(now clock.Instant, s *state, r *pool.Replica, v permits.Decision) {
	if r != nil {
		s.denials = append(s.denials, denial{incarnation: r.Incarnation(), until: now.Add(v.Turn), after: v.After})
	}
}

// activeDenials returns the replicas that take no request of the call now.
func (s *state) activeDenials(now clock.Instant) []denial {
	return slices.DeleteFunc(slices.Clone(s.denials), func(d denial) bool { return !now.Before(d.until) })
}

// excludedReplicas returns the replicas that the call does not go to now.
func (s *state) excludedReplicas(now clock.Instant) []pool.Incarnation {
	over := s.progress.tried
	for _, d := range s.activeDenials(now) {
		over = append(slices.Clip(over), d.incarnation)
	}
	return over
}

// refuseRateLimited refuses a call whose replicas take no more requests, with when to come back, and
// reports whether that is what it lacks. One that may have run is not told that it has not.
func (f *Forwarder) refuseRateLimited(now clock.Instant, c *calls.Call) bool {
	s := stateOf(c)
	denied := s.activeDenials(now)
	if len(denied) == 0 {
		return false
	}
	next := slices.MinFunc(denied, func(a, b denial) int { return int(a.after - b.after) })
	detail := "the replicas that can serve it take no more requests for now"
	if r := f.Pool.Get(next.incarnation.Name); r != nil {
		w := r.LimitReport()
		detail = fmt.Sprintf("%s; %s takes %g a second, as %s heard %v ago", detail, r.Name, w.Limit.PerSecond, w.By, now.Since(w.At).Round(time.Millisecond))
	}
	if c.History.RunState() != code.NotRun || s.progress.answerStarted {
		f.end(c, s, 0, detail)
		return true
	}
	f.Calls.Refuse(c, calls.NotRunRefusal(code.NoCapacity, detail, max(next.after, noReplicaRetryAfter)))
	return true
}

// staleLimits returns the replicas that named a limit of which nothing was heard for a while: a
// call that goes there shows whether it still holds.
func (f *Forwarder) staleLimits(now clock.Instant, c *calls.Call, candidates []*pool.Replica) []*pool.Replica {
	var out []*pool.Replica
	for _, r := range candidates {
		if r.LimitStale(now) && (c.Item == "" || r.Phase(c.Item) == pool.Ready) {
			out = append(out, r)
		}
	}
	return out
}

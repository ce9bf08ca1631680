package forwarding

import (
	"fmt"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/pool"
)

// Calls that no replica can serve now: they wait, or are refused with a Retry-After.

const (
	// noReplicaRetryAfter is the shortest Retry-After for a call that no replica can
	// serve now: replicas usually return, and capacity becomes free, within moments.
	noReplicaRetryAfter = 250 * time.Millisecond
	// adapterExpectedShare is the time that an adapter which cannot be ordered now is
	// expected to take, as a share of the call's latency target. The call waits only for
	// the remaining share: adapter slots become free and owners return either within
	// moments or not soon.
	adapterExpectedShare = 0.75
	// placementDelay is the time from the miss of a model until its load is ordered.
	placementDelay = 600 * time.Millisecond
	// restWaitShare is the share of its latency target for which a call waits for the end
	// of a replica's rest. The remainder is for its answer.
	restWaitShare = 0.5
	// modelRetryShare is the share of a call's remaining time that the Retry-After for a
	// missing model may take at most, so that the retried call has time left.
	modelRetryShare = 0.25
)

// An unavailableReason says why no replica can serve a call now.
type unavailableReason int

const (
	noFurtherAttempt   unavailableReason = iota // an attempt may have run, or the answer has started
	noLiveReplica                               // there is no live replica, or none can be reached
	allRefused                                  // the live replicas refused the call
	adapterNotLoadable                          // the model is served, but the adapter cannot be loaded there
	modelNotResident                            // the model is not resident on any engine
)

// An unavailability describes a call that no replica can serve now.
type unavailability struct {
	run           code.RunState // of the call's attempts so far
	answerStarted bool          // the head of an answer was passed on
	item          string        // "" if the call needs none
	refusals      int           // replicas that reported that they did not run the call
	adapter       string        // "" if the call needs none
	reachable     func() bool   // reports whether any replica of its service can be reached
	modelServed   func() bool   // reports whether an engine can serve the call's model
}

// reason returns why no replica can serve the call.
func (u unavailability) reason() unavailableReason {
	switch {
	case u.run != code.NotRun || u.answerStarted:
		return noFurtherAttempt
	case u.item == "":
		return noLiveReplica
	case u.refusals > 0:
		return allRefused
	case !u.reachable():
		return noLiveReplica
	case u.adapter != "" && u.modelServed():
		return adapterNotLoadable
	default:
		return modelNotResident
	}
}

// worthWaiting reports whether a call that has waited for the given time can still meet
// its latency target if what it waits for takes the expected time.
func worthWaiting(waited, expected, target time.Duration) bool { return waited+expected < target }

// handleNoReplica makes a call that no replica can serve now wait, or ends it.
func (f *Forwarder) handleNoReplica(now clock.Instant, c *calls.Call) {
	s := stateOf(c)
	if left, ok := f.shortestRest(now, c); ok {
		f.awaitRest(now, c, left)
		return
	}
	if f.exposed(now, c) {
		f.awaitExposed(now, c)
		return
	}
	if f.awaitHold(now, c) {
		return
	}
	if f.refuseRateLimited(now, c) {
		return
	}
	if f.versionLimited(now, c) {
		f.handleNoVersion(now, c)
		return
	}
	u := unavailability{
		run: c.History.RunState(), answerStarted: s.progress.answerStarted, item: c.Item, refusals: s.progress.refusals, adapter: s.request.adapter,
		reachable:   func() bool { return f.anyReachable(now, c.Service) },
		modelServed: func() bool { return f.modelServed(now, c, s) },
	}
	switch u.reason() {
	case noFurtherAttempt:
		f.end(c, s, 0, "no other replica can serve it")
	case noLiveReplica:
		f.Calls.Refuse(c, calls.NotRunRefusal(code.NoReplica, "no live replica can be reached", f.staggeredRetryAfter(c)))
	case allRefused:
		f.Calls.Refuse(c, calls.NotRunRefusal(code.NoCapacity, "its replicas refused it", noReplicaRetryAfter))
	case adapterNotLoadable:
		f.awaitAdapter(now, c)
	case modelNotResident:
		f.awaitModel(now, c)
	}
}

// anyReachable reports whether this instance can reach a replica of a service, if need be through
// another instance. It is true of a service that has no replicas yet.
func (f *Forwarder) anyReachable(now clock.Instant, service string) bool {
	replicas := f.Pool.Serving(service)
	none := true
	for _, r := range replicas {
		if !r.Usable() {
			continue
		}
		none = false
		if f.Links.Way(now, r, true, nil) != links.Unreachable {
			return true
		}
	}
	return none
}

// shortestRest returns the shortest remaining rest of the resting replicas that could serve
// the call. A replica whose rest has ended but that is on trial counts as resting. ok is
// false if there is no such replica.
func (f *Forwarder) shortestRest(now clock.Instant, c *calls.Call) (left time.Duration, ok bool) {
	s := stateOf(c)
	for _, r := range f.candidates(now, c) {
		if !r.Usable() || !r.Resting(now) && !r.OnTrial() || slices.Contains(s.progress.tried, r.Incarnation()) {
			continue
		}
		if c.Item != "" {
			if _, canServe := f.itemCost(now, c, r); !canServe {
				continue
			}
		}
		if rest := r.RestLeft(now); !ok || rest < left {
			left = rest
			ok = true
		}
	}
	return left, ok
}

// awaitRest makes a call wait for the end of a replica's rest, if that is well within its
// latency target, or ends it at once. The refusal has the end of the rest as Retry-After
// and says that the call did not run, unless it may have run.
func (f *Forwarder) awaitRest(now clock.Instant, c *calls.Call, left time.Duration) {
	s := stateOf(c)
	switch {
	case worthWaiting(now.Since(c.Arrived), left, time.Duration(restWaitShare*float64(c.Target))):
		if !f.Calls.Queued(c) {
			f.Out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.Item, "for", "the end of its replicas' rest", "rest_ms", left.Milliseconds())
		}
		f.Calls.Enqueue(c)
	case c.History.RunState() != code.NotRun || s.progress.answerStarted:
		f.end(c, s, 0, "the other replicas that could serve it want no calls")
	case c.Item != "" && left >= pool.LongRest:
		f.awaitModel(now, c)
	default:
		f.Calls.Refuse(c, calls.NotRunRefusal(code.NoCapacity, "its replicas want no calls for a while", max(left, noReplicaRetryAfter)))
	}
}

// modelServed reports whether any engine can serve the call's model, even if not its
// adapter.
func (f *Forwarder) modelServed(now clock.Instant, c *calls.Call, s *state) bool {
	for _, r := range f.candidates(now, c) {
		if r.Usable() && !r.Resting(now) && r.Phase(s.request.model) == pool.Ready {
			return true
		}
	}
	return false
}

// awaitAdapter makes a call wait for its adapter, or refuses it.
func (f *Forwarder) awaitAdapter(now clock.Instant, c *calls.Call) {
	expected := time.Duration(adapterExpectedShare * float64(c.Target))
	if worthWaiting(now.Since(c.Arrived), expected, c.Target) {
		f.Calls.Enqueue(c)
		return
	}
	f.Calls.Refuse(c, calls.NotRunRefusal(code.NotResident, fmt.Sprintf("%q cannot be loaded where its model is", c.Item), f.Calls.RetryAfter(noReplicaRetryAfter)))
}

// awaitModel reports the miss of a call's model, and makes the call wait for the model or
// refuses it.
func (f *Forwarder) awaitModel(now clock.Instant, c *calls.Call) {
	s := stateOf(c)
	if !s.missReported {
		s.missReported = true
		f.Demand.RecordMiss(now, s.request.model)
		f.Missed(now)
	}
	eta := f.modelETA(now, c, s)
	if worthWaiting(now.Since(c.Arrived), eta, c.Target) {
		if !f.Calls.Queued(c) {
			f.Out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.Item, "for", "its model", "eta_ms", eta.Milliseconds())
		}
		f.Calls.Enqueue(c)
		return
	}
	left := time.Duration(modelRetryShare * float64(c.Expires.Since(now)))
	f.Calls.Refuse(c, calls.NotRunRefusal(code.NotResident, fmt.Sprintf("%q is not resident", c.Item), min(eta, left)))
}

// modelETA returns the estimated time until an engine has the call's model ready.
func (f *Forwarder) modelETA(now clock.Instant, c *calls.Call, s *state) time.Duration {
	facts, ok := s.service.Announced.Engine.Model(s.request.model)
	if !ok {
		return calls.MinRetryAfter
	}
	best := facts.LoadTime
	for _, r := range f.candidates(now, c) {
		if r.Usable() {
			best = min(best, owned.LoadTime(facts, r.Announcement()))
		}
	}
	return best + placementDelay
}

// exposed reports whether a replica could serve the call, but must not be sent another request
// that it may have to reject.
func (f *Forwarder) exposed(now clock.Instant, c *calls.Call) bool {
	if !f.Rejections.Limited(now, c.Service) {
		return false
	}
	s := stateOf(c)
	for _, r := range f.candidates(now, c) {
		if !r.Usable() || slices.Contains(s.progress.tried, r.Incarnation()) || f.Links.Way(now, r, true, nil) == links.Unreachable {
			continue
		}
		if c.Item == "" {
			return true
		}
		if _, ok := f.itemCost(now, c, r); ok {
			return true
		}
	}
	return false
}

// awaitExposed makes a call wait until its replicas may be sent more requests, if that can be
// within its latency target, or ends it.
func (f *Forwarder) awaitExposed(now clock.Instant, c *calls.Call) {
	switch {
	case f.permitTimeout(now, c) > 0:
		if !f.Calls.Queued(c) {
			f.Out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.Item, "for", "replicas that can take another request")
		}
		f.Calls.Enqueue(c)
	case c.History.RunState() != code.NotRun || stateOf(c).progress.answerStarted:
		f.end(c, stateOf(c), 0, "the other replicas that could serve it take no more requests for now")
	default:
		f.Calls.Refuse(c, calls.NotRunRefusal(code.NoCapacity, "its replicas take no more requests for now", f.staggeredRetryAfter(c)))
	}
}

// staggeredRetryAfter returns the Retry-After of a call that may be served again at any moment:
// the more urgent, the sooner, and calls that are refused together do not return together.
func (f *Forwarder) staggeredRetryAfter(c *calls.Call) time.Duration {
	spread := time.Duration(1+stateOf(c).route.Priority) * noReplicaRetryAfter
	return noReplicaRetryAfter + time.Duration(f.Rand.Float64()*float64(spread))
}

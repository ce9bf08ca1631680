package forwarding

import (
	"fmt"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/pool"
)

// What a call does that no replica can serve now: wait, or be refused with when
// to come back.

const (
	// noReplicaRetryAfter is when a call that no replica can serve now is told to
	// come back, at the least: replicas come back, and room comes free, within
	// moments.
	noReplicaRetryAfter = 250 * time.Millisecond
	// adapterWaitShare is the part of a call's target that an adapter which cannot
	// be ordered now is expected to take, so that the call waits for the rest of
	// it: slots come free and owners come back within moments, or not soon.
	adapterWaitShare = 0.75
	// placementDelay is what passes before an order is given for a model that is
	// missed.
	placementDelay = 600 * time.Millisecond
	// restWaitShare is the part of its target within which a call waits for the end of a
	// rest: the rest of it is for its answer.
	restWaitShare = 0.5
	// modelRetryShare is the part of its remaining time after which a call comes back
	// at the latest whose model is missing, so that it has time left then.
	modelRetryShare = 0.25
)

// A unavailableReason says what a call lacks that no replica can serve now.
type unavailableReason int

const (
	noFurtherAttempt   unavailableReason = iota // an attempt may have run, or its answer was begun
	noLiveReplica                               // no replica is live
	allRefused                                  // those that are live refused it
	adapterNotLoadable                          // its model is served, its adapter cannot be loaded there
	modelNotResident                            // its model is resident nowhere
)

// An unavailability is what is known of a call that no replica can serve now.
type unavailability struct {
	run           code.RunState // of its attempts so far
	answerStarted bool          // its answer was begun
	item          string        // "" if it needs none
	refusals      int           // replicas that said they did not run it
	adapter       string        // "" if it needs none
	modelServed   func() bool
}

// reason returns what the call lacks.
func (a unavailability) reason() unavailableReason {
	switch {
	case a.run != code.NotRun || a.answerStarted:
		return noFurtherAttempt
	case a.item == "":
		return noLiveReplica
	case a.refusals > 0:
		return allRefused
	case a.adapter != "" && a.modelServed():
		return adapterNotLoadable
	default:
		return modelNotResident
	}
}

// worthWaiting reports whether a call that has waited so long, for what is expected
// to take so much longer, can still be in time for its target.
func worthWaiting(waited, expected, target time.Duration) bool { return waited+expected < target }

// handleNoReplica decides what becomes of a call that no replica can serve now.
func (f *Forwarder) handleNoReplica(now clock.Instant, c *calls.Call) {
	s := stateOf(c)
	if left, ok := f.shortestRest(now, c); ok {
		f.awaitRest(now, c, left)
		return
	}
	if f.refuseRateLimited(now, c) {
		return
	}
	a := unavailability{
		run: c.History.RunState(), answerStarted: s.progress.answerStarted, item: c.Item, refusals: s.progress.refusals, adapter: s.request.adapter,
		modelServed: func() bool { return f.modelServed(now, c, s) },
	}
	switch a.reason() {
	case noFurtherAttempt:
		f.end(c, s, 0, "no other replica can serve it")
	case noLiveReplica:
		f.Calls.Refuse(c, calls.NotRunRefusal(code.NoReplica, "no live replica", noReplicaRetryAfter))
	case allRefused:
		f.Calls.Refuse(c, calls.NotRunRefusal(code.NoCapacity, "its replicas refused it", noReplicaRetryAfter))
	case adapterNotLoadable:
		f.awaitAdapter(now, c)
	case modelNotResident:
		f.awaitModel(now, c)
	}
}

// shortestRest returns when the first of the replicas that could serve the call will take
// calls again, of those that want nothing for a while; ok is false if there is none.
func (f *Forwarder) shortestRest(now clock.Instant, c *calls.Call) (left time.Duration, ok bool) {
	s := stateOf(c)
	for _, r := range f.Pool.Serving(c.Service) {
		if !r.Usable() || !r.Resting(now) && !r.OnTrial() || slices.Contains(s.progress.tried, r.Incarnation()) {
			continue
		}
		if c.Item != "" {
			if _, possible := f.itemCost(now, c, r); !possible {
				continue
			}
		}
		if x := r.RestLeft(now); !ok || x < left {
			left = x
			ok = true
		}
	}
	return left, ok
}

// awaitRest has a call wait for the end of a rest, if that is well within its time, or
// refuses it at once with when that is. One that may have run is not told that it has not.
func (f *Forwarder) awaitRest(now clock.Instant, c *calls.Call, left time.Duration) {
	s := stateOf(c)
	switch {
	case worthWaiting(now.Since(c.Arrived), left, time.Duration(restWaitShare*float64(c.Target))):
		if !f.Calls.Queued(c) {
			f.Out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.Item, "for", "the rest of its replicas", "rest_ms", left.Milliseconds())
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

// modelServed reports whether some engine can serve the call's model, though not
// its adapter.
func (f *Forwarder) modelServed(now clock.Instant, c *calls.Call, s *state) bool {
	for _, r := range f.Pool.Serving(c.Service) {
		if r.Usable() && !r.Resting(now) && r.Phase(s.request.model) == pool.Ready {
			return true
		}
	}
	return false
}

// awaitAdapter has a call wait for its adapter, or refuses it.
func (f *Forwarder) awaitAdapter(now clock.Instant, c *calls.Call) {
	expected := time.Duration(adapterWaitShare * float64(c.Target))
	if worthWaiting(now.Since(c.Arrived), expected, c.Target) {
		f.Calls.Enqueue(c)
		return
	}
	f.Calls.Refuse(c, calls.NotRunRefusal(code.NotResident, fmt.Sprintf("%q cannot be loaded where its model is", c.Item), f.Calls.RetryAfter(noReplicaRetryAfter)))
}

// awaitModel has a call wait for its model, or refuses it.
func (f *Forwarder) awaitModel(now clock.Instant, c *calls.Call) {
	s := stateOf(c)
	if !s.missReported {
		s.missReported = true
		f.Demand.RecordMiss(now, s.request.model)
		f.Missed(now)
	}
	eta := f.modelETA(c, s)
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

// modelETA estimates when an engine will have the call's model ready.
func (f *Forwarder) modelETA(c *calls.Call, s *state) time.Duration {
	facts, ok := s.service.Announced.Engine.Model(s.request.model)
	if !ok {
		return calls.MinRetryAfter
	}
	best := facts.LoadTime
	for _, r := range f.Pool.Serving(c.Service) {
		if r.Usable() {
			best = min(best, owned.LoadTime(facts, r.Announcement()))
		}
	}
	return best + placementDelay
}

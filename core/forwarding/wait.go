package forwarding

import (
	"fmt"
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
	// leastRetryAfter is the least time after which a refused call is told to
	// come back. Set in 1db316e.
	leastRetryAfter = 250 * time.Millisecond
	// adapterPatience is the part of its target that a call waits for an adapter
	// to become loadable: slots come free and owners come back within moments,
	// or not soon. Set in 1db316e.
	adapterPatience = 0.25
	// placementTime is what passes before an order is given for a model that is
	// missed. Set in 7c7040a.
	placementTime = 600 * time.Millisecond
	// retryShare is the part of its remaining time after which a call comes back
	// at the latest whose model is missing, so that it has time left then.
	// Set in 7c7040a.
	retryShare = 0.25
)

// noReplica decides what becomes of a call that no replica can serve now.
func (f *Forwarder) noReplica(now clock.Instant, c *calls.Call) {
	s := stateOf(c)
	switch {
	case c.History.Run() != code.NotRun || s.progress.opened:
		f.end(c, s, 0, "no other replica can serve it")
	case c.Item == "":
		f.Calls.Refuse(c, calls.NotRun(code.NoReplica, "no live replica", leastRetryAfter))
	case s.progress.refusals > 0:
		f.Calls.Refuse(c, calls.NotRun(code.NoCapacity, "its replicas refused it", leastRetryAfter))
	case s.target.adapter != "" && f.modelServed(c, s):
		f.awaitAdapter(now, c)
	default:
		f.awaitModel(now, c)
	}
}

// modelServed reports whether some engine can serve the call's model, though not
// its adapter.
func (f *Forwarder) modelServed(c *calls.Call, s *state) bool {
	for _, r := range f.Pool.Serving(c.Service) {
		if r.Usable() && r.Phase(s.target.model) == pool.Ready {
			return true
		}
	}
	return false
}

// awaitAdapter decides about a call whose adapter cannot be loaded now where its
// model is.
func (f *Forwarder) awaitAdapter(now clock.Instant, c *calls.Call) {
	if now.Since(c.Arrived) < time.Duration(adapterPatience*float64(c.Target)) {
		f.Calls.Wait(c)
		return
	}
	f.Calls.Refuse(c, calls.NotRun(code.NotResident, fmt.Sprintf("%q cannot be loaded where its model is", c.Item), f.Calls.RetryAfter(leastRetryAfter)))
}

// awaitModel decides about a call whose model no engine can serve now: it waits
// if the model can be there within the call's target.
func (f *Forwarder) awaitModel(now clock.Instant, c *calls.Call) {
	s := stateOf(c)
	if !s.missed {
		s.missed = true
		f.Demand.Absent(now, s.target.model)
		f.Missed(now)
	}
	eta := f.modelETA(c, s)
	if now.Since(c.Arrived)+eta < c.Target {
		if !f.Calls.Queued(c) {
			f.Out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.Item, "for", "its model", "eta_ms", eta.Milliseconds())
		}
		f.Calls.Wait(c)
		return
	}
	left := time.Duration(retryShare * float64(c.Expires.Since(now)))
	f.Calls.Refuse(c, calls.NotRun(code.NotResident, fmt.Sprintf("%q is not resident", c.Item), min(eta, left)))
}

// modelETA estimates when an engine will have the call's model ready.
func (f *Forwarder) modelETA(c *calls.Call, s *state) time.Duration {
	facts, ok := s.service.Announced.Engine.Model(s.target.model)
	if !ok {
		return calls.LeastRetryAfter
	}
	best := facts.Load
	for _, r := range f.Pool.Serving(c.Service) {
		if r.Usable() {
			best = min(best, owned.LoadTime(facts, r.Announcement()))
		}
	}
	return best + placementTime
}

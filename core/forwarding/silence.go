package forwarding

import (
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/links"
)

// Attempts on connections that went silent because this instance has lost its links.

const (
	// silenceLimit is how long a replica must have sent nothing for its attempt to be interrupted
	// while this instance cannot connect to it and others can.
	silenceLimit = 500 * time.Millisecond
	// silenceInterval is the time between two checks for such attempts.
	silenceInterval = 100 * time.Millisecond
)

// interruptSilent interrupts the silent attempts on lost links, so that their calls are retried
// through another instance. It leaves alone the calls that may run only once, and those at a
// replica that refuses connections: its open ones may live on.
func (f *Forwarder) interruptSilent(now clock.Instant) {
	if now.Before(f.nextSilenceCheck) {
		return
	}
	f.nextSilenceCheck = now.Add(silenceInterval)
	if !f.Links.AnyLost() {
		return
	}
	for _, c := range f.Calls.All() {
		if f.onSilentLink(now, c) {
			f.Out.Emit(calls.Interrupt{ID: c.ID, Silence: silenceLimit})
		}
	}
}

// onSilentLink reports whether an attempt of the call may have gone silent with this instance's
// link to its replica, and the call can be retried through another instance.
func (f *Forwarder) onSilentLink(now clock.Instant, c *calls.Call) bool {
	if c.Forward == nil || c.Phase != calls.Running || !c.History.Repeatable || stateOf(c).lastAttempt.relay != "" || now.Since(c.Started) < silenceLimit {
		return false
	}
	r := f.Pool.Get(c.Replica)
	return r != nil && r.LinkTimedOut() && f.Links.Lost(r.Service) && f.Links.ProvenByPeer(now, r.Service) &&
		f.Links.Way(now, r, false, nil) == links.Relayed
}

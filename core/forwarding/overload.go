package forwarding

import (
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/route"
	"github.com/birchdrift/birchdrift/core/step"
)

// Load shedding: calls wait or are refused at once while the engines of their model are
// overloaded.
//
// Once a queue exceeds the latency target, every later call is late, and the engine
// spends its time on prompts whose callers disconnect before the first event. Refusing
// calls that cannot be in time keeps the queue at the target: as many calls as the
// engine can read are then answered in time, and the others are retried when the queue
// should have drained.

const (
	// lateFactor is the multiple of the latency target within which an answer must be
	// expected for its call to be sent. It is above 1 because estimates are inexact and
	// mostly too high.
	lateFactor = 1.5
	// otherPrefillShare is the share of the longest acceptable pause that other prompts
	// may take at an engine whose streams another prompt would delay. A long prompt alone
	// is still sent.
	otherPrefillShare = 0.3
	// holdShare is the share of the latency target within which the first event must be
	// expected for a call to wait while engines have a large prefill backlog. The rest of
	// the target allows for errors of the estimate.
	holdShare = 0.5
)

// A forecast is the expected service of a call at the best engine for it.
type forecast struct {
	// expected is the time from the call's arrival to its first event. Signs that the
	// engine is slow or failing are included as the time that they may cost.
	expected       time.Duration
	target         time.Duration // latency target for the first event; 0: none
	prefillBacklog time.Duration // uninterrupted prefill work at the engine, including the call's own
	ownPrefill     time.Duration // prefill work of the call's own prompt
	gap            time.Duration // longest acceptable pause in the engine's streams; 0: any
}

// tooLate reports whether the answer would come too late to be useful.
func (fc forecast) tooLate() bool {
	return fc.target > 0 && float64(fc.expected) > lateFactor*float64(fc.target)
}

// delaysStreams reports whether the call's prompt, queued behind others, would delay the
// streams that the engine is sending: each step of all streams waits for a piece of a
// prompt.
func (fc forecast) delaysStreams() bool {
	return fc.gap > 0 && fc.prefillBacklog > fc.gap && float64(fc.prefillBacklog-fc.ownPrefill) > otherPrefillShare*float64(fc.gap)
}

// mayWait reports whether the call can wait until the engine has read other prompts and
// still be answered in time.
func (fc forecast) mayWait() bool {
	return float64(fc.expected) < holdShare*float64(fc.target)
}

// A sheddingDecision says whether a call to overloaded engines is sent, held back or
// refused.
type sheddingDecision int

// The decisions.
const (
	sendNow  sheddingDecision = iota
	holdBack                  // until the engines have a smaller prefill backlog
	refuseNow
)

// decide returns the decision for the call; waited reports whether it was held back
// before. A call that has waited as long as it may is sent if it can be in time. So is a
// call without a latency target, which is never late.
func (fc forecast) decide(waited bool) sheddingDecision {
	switch {
	case fc.tooLate():
		return refuseNow
	case !fc.delaysStreams(), fc.target == 0:
		return sendNow
	case fc.mayWait():
		return holdBack
	case waited:
		return sendNow
	default:
		return refuseNow
	}
}

// shed holds back a call that would make others late, or refuses a call that even the
// best engine cannot serve in time, and reports whether it did either. A call that may
// have run is always sent, and so is one that takes up a stream.
func (f *Forwarder) shed(now clock.Instant, c *calls.Call, best route.Estimate) bool {
	s := stateOf(c)
	if c.Item == "" || c.History.RunState() != code.NotRun || s.goesOn() {
		return false
	}
	fc := forecast{
		// The wait for a rate limit is left out; requestPermit decides about it.
		expected:       now.Since(c.Arrived) + best.Total() - best.Turn,
		target:         c.Target,
		prefillBacklog: best.Reading,
		ownPrefill:     best.Prefill,
		gap:            s.route.MaxEventGap,
	}
	switch fc.decide(f.Calls.Queued(c)) {
	case holdBack:
		f.hold(c)
	case refuseNow:
		after := max(noReplicaRetryAfter, step.Jitter(f.Rand, best.Total()-best.Turn-c.Target))
		f.Calls.Refuse(c, calls.NotRunRefusal(code.TargetMissed, "the engines of its model have too much to read", after))
	default:
		return false
	}
	return true
}

// hold makes a call wait until the engines of its model have a smaller prefill backlog.
func (f *Forwarder) hold(c *calls.Call) {
	if !f.Calls.Queued(c) {
		f.Out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.Item, "for", "engines with a smaller backlog")
	}
	f.Calls.Enqueue(c)
}

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

// Which calls wait, or are refused at once, since the engines of their model are
// overloaded.
//
// A queue that has grown beyond the target makes every later call late, and the engine
// spends its time on prompts whose callers leave before the first event. Refusing what
// cannot be in time keeps the queue at the target: as many calls as the engine can read
// are then answered in time, and the others come back when the queue should have gone.

const (
	// lateFactor is how far beyond its target a call may be expected to be answered and
	// still be sent: estimates err, mostly upwards.
	lateFactor = 1.5
	// otherPrefillShare is the share of the longest pause allowed that other prompts may take
	// at an engine whose streams one more would stretch: a long prompt alone is sent.
	otherPrefillShare = 0.3
	// holdShare is the part of its target until which a call's first event may be
	// expected for the call to wait before crowded engines. The rest is for estimates
	// that err.
	holdShare = 0.5
)

// A forecast is what awaits a call at the best engine for it.
type forecast struct {
	// expected is the time from the call's arrival to its first event. What speaks against
	// the engine counts as the time that it may cost.
	expected       time.Duration
	target         time.Duration // in which that is due; 0: any time
	prefillBacklog time.Duration // prompts that the engine reads without a break, with the call's own
	ownPrefill     time.Duration // the call's own
	gap            time.Duration // longest pause that keeps the engine's streams in time; 0: any
}

// tooLate reports whether the answer would come too tooLate to be of use.
func (p forecast) tooLate() bool {
	return p.target > 0 && float64(p.expected) > lateFactor*float64(p.target)
}

// delaysStreams reports whether the call's prompt, behind others, would make the streams late
// that the engine is sending: a step of all of them waits for each piece of a prompt.
func (p forecast) delaysStreams() bool {
	return p.gap > 0 && p.prefillBacklog > p.gap && float64(p.prefillBacklog-p.ownPrefill) > otherPrefillShare*float64(p.gap)
}

// mayWait reports whether the call can wait for the engine to have read other prompts
// and still be answered in time.
func (p forecast) mayWait() bool {
	return float64(p.expected) < holdShare*float64(p.target)
}

// A sheddingDecision says what becomes of a call to overloaded engines.
type sheddingDecision int

// The verdicts.
const (
	sendNow  sheddingDecision = iota
	holdBack                  // until the engines have less to read
	refuseNow
)

// decide decides what becomes of the call; waited says that it was held before. One
// that has waited as long as it may is sent if it can be in time, and so is one without
// a target, which is never late.
func (p forecast) decide(waited bool) sheddingDecision {
	switch {
	case p.tooLate():
		return refuseNow
	case !p.delaysStreams(), p.target == 0:
		return sendNow
	case p.mayWait():
		return holdBack
	case waited:
		return sendNow
	default:
		return refuseNow
	}
}

// shed holds a call back that would make others late, or refuses one that even the best
// engine cannot serve in time, and reports whether it did either. One that may have run
// is sent.
func (f *Forwarder) shed(now clock.Instant, c *calls.Call, best route.Estimate) bool {
	s := stateOf(c)
	if c.Item == "" || c.History.RunState() != code.NotRun || s.progress.answerStarted {
		return false
	}
	p := forecast{
		// Whether it can wait for its turn at a replica that names a limit shows there.
		expected:       now.Since(c.Arrived) + best.Total() - best.Turn,
		target:         c.Target,
		prefillBacklog: best.Reading,
		ownPrefill:     best.Prefill,
		gap:            s.route.MaxEventGap,
	}
	switch p.decide(f.Calls.Queued(c)) {
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

// hold has a call wait until the engines of its model have less to read.
func (f *Forwarder) hold(c *calls.Call) {
	if !f.Calls.Queued(c) {
		f.Out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.Item, "for", "engines with less to read")
	}
	f.Calls.Enqueue(c)
}

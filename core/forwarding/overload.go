package forwarding

import (
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/route"
	"github.com/birchdrift/birchdrift/core/step"
)

// Which calls are refused at once since the engines of their model are overloaded.
//
// A queue that has grown beyond the target makes every later call late, and the engine
// spends its time on prompts whose callers leave before the first event. Refusing what
// cannot be in time keeps the queue at the target: as many calls as the engine can read
// are then answered in time, and the others come back when the queue should have gone.

const (
	// lateFactor is how far beyond its target a call may be expected to be answered and
	// still be sent: estimates err, mostly upwards. docs/dala-skript.md, round 3.
	lateFactor = 1.5
	// crowdedShare is the share of the longest pause allowed that other prompts may take
	// at an engine whose streams one more would stretch: a long prompt alone is sent.
	// docs/dala-skript.md, round 5.
	crowdedShare = 0.3
)

// A prospect is what awaits a call at the best engine for it.
type prospect struct {
	expected time.Duration // from the call's arrival to its first event
	target   time.Duration // in which that is due; 0: any time
	reading  time.Duration // prompts that the engine reads without a break, with the call's own
	own      time.Duration // the call's own
	gap      time.Duration // longest pause that keeps the engine's streams in time; 0: any
}

// late reports whether the answer would come too late to be of use.
func (p prospect) late() bool {
	return p.target > 0 && float64(p.expected) > lateFactor*float64(p.target)
}

// crowded reports whether the call's prompt, behind others, would make the streams late
// that the engine is sending: a step of all of them waits for each piece of a prompt.
func (p prospect) crowded() bool {
	return p.gap > 0 && p.reading > p.gap && float64(p.reading-p.own) > crowdedShare*float64(p.gap)
}

// shed refuses a call that even the best engine cannot serve in time, and reports
// whether it did. One that may have run is not refused.
func (f *Forwarder) shed(now clock.Instant, c *calls.Call, best route.Estimate) bool {
	s := stateOf(c)
	if c.Item == "" || c.History.Run() != code.NotRun || s.progress.opened {
		return false
	}
	p := prospect{
		expected: now.Since(c.Arrived) + best.Total(),
		target:   c.Target,
		reading:  best.Reading,
		own:      best.Prefill,
		gap:      s.route.Gap,
	}
	if !p.late() && !p.crowded() {
		return false
	}
	after := max(noReplicaRetryAfter, step.Jitter(f.Rand, best.Total()-c.Target))
	f.Calls.Refuse(c, calls.NotRun(code.TargetMissed, "the engines of its model have too much to read", after))
	return true
}

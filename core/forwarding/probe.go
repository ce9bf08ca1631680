package forwarding

import (
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/route"
)

// Load probes of engines. In a small fleet the instances report their calls in flight to
// each other. In a large fleet not all of these reports arrive in time, so a call that
// could be sent to several engines first probes the best of them and uses the load that
// they report. This costs one short round trip but avoids a wait behind prompts that this
// instance does not know of.

const (
	// probedEngines is the number of engines that a call probes. Each probe costs the
	// engine an answer.
	probedEngines = 2
	// ProbeMaxAge is the age up to which an engine's load report is used instead of a new
	// probe. It is below the age that the reported figures have anyway.
	ProbeMaxAge = 60 * time.Millisecond
)

type (
	// ProbeEngine is an action that asks an engine for its load, on behalf of a call that
	// may be sent there. It is answered after Wait at the latest.
	ProbeEngine struct {
		Call    calls.ID
		Engine  string
		Address string
		Wait    time.Duration
	}
	// ProbeReply is the event that answers a ProbeEngine.
	ProbeReply struct {
		Call    calls.ID
		Engine  string
		Sent    clock.Instant // when the probe was sent
		Queued  int           // calls at the engine without a first event yet
		Running int           // calls at the engine after their first event
		Err     error
	}
)

// IsAction implements step.Action.
func (ProbeEngine) IsAction() {}

// IsEvent implements step.Event.
func (ProbeReply) IsEvent() {}

// A probe is the state of a call's load probes.
type probe struct {
	pending       int           // probes without an answer yet
	decided       bool          // it was decided whether to probe
	sentAt        clock.Instant // when the probes were sent
	initialChoice *pool.Replica // the best engine before probing; nil: no probe, or its benefit is recorded
}

// probeEngines asks the best engines for the call for their load, if that is worthwhile,
// and reports whether the call waits for their answers.
func (f *Forwarder) probeEngines(now clock.Instant, c *calls.Call, q route.Query, candidates []*pool.Replica) bool {
	p := &stateOf(c).probe
	if p.decided || c.Item == "" || f.Options.ProbeWait == 0 || f.Roster.FullMesh() {
		return false
	}
	p.decided = true
	best := f.router.Best(now, q, candidates, probedEngines)
	if len(best) < 2 || !f.probeBenefit.shouldProbe() {
		return false
	}
	p.initialChoice = best[0].Replica
	p.sentAt = now
	for _, e := range best {
		if e.Relayed || e.Replica.ReportAge(now) < ProbeMaxAge || rateLimited(now, e.Replica) {
			continue // a probe would fail, or count against the rate limit
		}
		p.pending++
		f.Out.Emit(ProbeEngine{Call: c.ID, Engine: e.Replica.Name, Address: e.Replica.Address, Wait: f.Options.ProbeWait})
	}
	if p.pending == 0 {
		return false
	}
	f.Calls.EnterPhase(c, calls.Probing)
	return true
}

// callLabel returns the label of a call in logs, or "" if the call has ended.
func callLabel(c *calls.Call) any {
	if c == nil {
		return ""
	}
	return c.Label()
}

// ProbeReplied handles an engine's load report. The call that sent the probe proceeds once
// all probes are answered.
func (f *Forwarder) ProbeReplied(now clock.Instant, e ProbeReply) {
	c := f.Calls.Get(e.Call)
	if e.Err != nil {
		f.Out.Log(logevent.ProbeFailed, "engine", e.Engine, "call", callLabel(c), "error", e.Err.Error())
	} else if r := f.Pool.Get(e.Engine); r != nil && !e.Sent.Before(r.FirstSeenAt()) {
		r.ObserveReport(now, pool.LoadReport{Queued: e.Queued, Running: e.Running})
	}
	if c == nil || c.Phase != calls.Probing {
		return
	}
	p := &stateOf(c).probe
	p.pending--
	if p.pending > 0 {
		return
	}
	c.Phase = calls.Waiting
	f.findReplica(now, c)
}

// recordProbeBenefit records what probing saved a call, if it probed, now that its best
// engine is known.
func (f *Forwarder) recordProbeBenefit(now clock.Instant, s *state, q route.Query, best route.Estimate) {
	initial := s.probe.initialChoice
	if initial == nil {
		return
	}
	s.probe.initialChoice = nil
	without := f.router.Estimate(now, q, initial)
	f.probeBenefit.observe(max(0, without.Total()-best.Total()), now.Since(s.probe.sentAt))
}

package forwarding

import (
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/route"
)

// Asking engines how busy they are. In a small fleet instances tell each other
// what they have in flight. In a large one nobody hears from everybody in time,
// so a call that could go to several engines first asks the best of them, and
// goes by what they say: one short round trip against a wait behind prompts that
// this instance knows nothing of.

const (
	// probedEngines is how many engines a call asks: each costs its replica an answer.
	probedEngines = 2
	// ProbeMaxAge is how old an engine's answer may be for it not to be asked
	// again: below the age that its figures have anyhow.
	ProbeMaxAge = 60 * time.Millisecond
)

type (
	// ProbeEngine is an action: ask an engine how busy it is, for a call that may go
	// there. It is answered after Wait at the latest.
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
		Sent    clock.Instant // when it was asked
		Queued  int           // calls without a first event there
		Running int           // calls with one
		Err     error
	}
)

// IsAction implements step.Action.
func (ProbeEngine) IsAction() {}

// IsEvent implements step.Event.
func (ProbeReply) IsEvent() {}

// A probe is the state of a call that asks engines.
type probe struct {
	asked         int // engines that have not answered
	decided       bool
	askedAt       clock.Instant
	initialChoice *pool.Replica // where it would have gone without asking; nil: nobody was asked
}

// probeEngines asks the engines that the call may go to how busy they are, and
// reports whether the call waits for them.
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
	p.askedAt = now
	for _, e := range best {
		if e.Replica.ReportAge(now) < ProbeMaxAge || rateLimited(now, e.Replica) {
			continue // one that names a limit is not asked: that would count too
		}
		p.asked++
		f.Out.Emit(ProbeEngine{Call: c.ID, Engine: e.Replica.Name, Address: e.Replica.Address, Wait: f.Options.ProbeWait})
	}
	if p.asked == 0 {
		return false
	}
	f.Calls.EnterPhase(c, calls.Probing)
	return true
}

// callLabel names a call in logs, "" for one that has ended.
func callLabel(c *calls.Call) any {
	if c == nil {
		return ""
	}
	return c.Label()
}

// ProbeReplied takes in what an engine says of its load. The call that asked goes
// on once all have answered.
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
	p.asked--
	if p.asked > 0 {
		return
	}
	c.Phase = calls.Waiting
	f.findReplica(now, c)
}

// recordProbeBenefit takes in what asking was worth for a call, if it asked, whose best engine is
// known now.
func (f *Forwarder) recordProbeBenefit(now clock.Instant, s *state, q route.Query, best route.Estimate) {
	first := s.probe.initialChoice
	if first == nil {
		return
	}
	s.probe.initialChoice = nil
	without := f.router.Estimate(now, q, first)
	f.probeBenefit.observe(max(0, without.Total()-best.Total()), now.Since(s.probe.askedAt))
}

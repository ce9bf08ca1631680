package instance

import (
	"time"

	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/route"
)

// Asking engines how busy they are. In a small fleet instances tell each other
// what they have in flight. In a large one nobody hears from everybody in time,
// so a forwarded call that could go to several engines first asks the best of
// them, and goes by what they say: one short round trip against a wait behind
// prompts that this instance knows nothing of.

const (
	// probeMost is how many engines a call asks.
	probeMost = 2
	// probeFresh is how old an engine's word may be for it not to be asked anew.
	probeFresh = 60 * time.Millisecond
)

// A probeState is what the machine keeps of a call that asks engines.
type probeState struct {
	asked   int // engines that have not answered
	settled bool
}

// probe asks the engines that the call may go to how busy they are, and reports
// whether the call waits for them.
func (m *Machine) probe(c *call, q route.ForwardQuery, candidates []*pool.Replica) bool {
	p := &c.forward.probe
	if p.settled || c.item == "" || m.opt.LoadWait == 0 || m.meshed() {
		return false
	}
	p.settled = true
	best := m.forwards.Best(m.now, q, candidates, probeMost)
	if len(best) < 2 {
		return false
	}
	for _, e := range best {
		if e.Replica.ReportAge(m.now) < probeFresh {
			continue
		}
		p.asked++
		m.out.Do(AskLoad{Call: c.ID, Engine: e.Replica.Name, Address: e.Replica.Address, Wait: m.opt.LoadWait})
	}
	if p.asked == 0 {
		return false
	}
	if c.phase == waiting {
		m.leaveLine(c)
	}
	c.phase = probing
	return true
}

// loadReply takes in what an engine says of its load; the call that asked goes
// on once all have answered.
func (m *Machine) loadReply(e LoadReply) {
	if r := m.pool.Get(e.Engine); r != nil && e.Err == nil {
		r.ObserveReport(m.now, pool.Report{Queued: e.Queued, Running: e.Running})
	}
	c := m.calls[e.Call]
	if c == nil || c.phase != probing {
		return
	}
	c.forward.probe.asked--
	if c.forward.probe.asked > 0 {
		return
	}
	c.phase = waiting
	m.placeForward(c)
}

// probeAgain has the call ask anew where it is placed next.
func (c *call) probeAgain() { c.forward.probe = probeState{} }

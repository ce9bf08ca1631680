package instance

import (
	"fmt"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/route"
	"github.com/birchdrift/birchdrift/core/step"
)

// How a call that was taken in finds its replica, or waits for one.

// candidates returns the replicas that can serve the call. The slice is valid
// until the next call of candidates.
func (m *Machine) candidates(c *call) []*pool.Replica {
	if c.Plain {
		return m.pool.Serving(c.service.Name)
	}
	m.able = m.able[:0]
	for _, r := range m.pool.Ready(c.item) {
		// An adapter is through long before its model, which is what an
		// engine that is asked then refuses for; and what has just refused an
		// item answers fastest, so it would draw every call if it counted.
		if r.Phase(c.version.Model) == pool.Ready && !r.Refusing(m.now, c.item) {
			m.able = append(m.able, r)
		}
	}
	return m.able
}

// place sends the call to the best replica, or lets it wait, or refuses it.
func (m *Machine) place(c *call) {
	if c.forward != nil {
		m.placeForward(c)
		return
	}
	q := route.Query{
		Zone:         m.self.Zone,
		PromptTokens: c.PromptTokens,
		PrefillRate:  c.rate,
		Prefix:       c.Prefix,
		Exclude:      c.failedOn,
	}
	best, ok := m.chooser.Choose(m.now, q, m.candidates(c))
	switch {
	case !ok:
		m.placeAbsent(c)
	case best.Room:
		m.dispatch(c, best)
	case best.Queue > m.allowance(c):
		m.refuse(c, notRun(code.NoCapacity, "every replica is full", m.comeBack(best.Queue)))
	default:
		m.wait(c)
	}
}

// placeAbsent deals with a call that no usable replica can serve.
func (m *Machine) placeAbsent(c *call) {
	if c.Plain {
		m.refuse(c, notRun(code.NoReplica, "no live replica", m.comeBack(0)))
		return
	}
	m.meter.Unmet(m.now, c.item)
	m.tellPlanner()
	if c.load > m.allowance(c)+m.now.Since(c.arrived) || m.allowance(c) <= 0 {
		m.refuse(c, notRun(code.NotResident, fmt.Sprintf("%q is not resident", c.item), m.comeBack(c.load)))
		return
	}
	m.wait(c)
}

func (m *Machine) comeBack(d time.Duration) time.Duration {
	return max(step.Jitter(m.rng, d), leastRetryAfter)
}

func (m *Machine) wait(c *call) {
	if c.phase == waiting && m.inLine(c) {
		return
	}
	if len(m.line) >= m.opt.MaxWaiting && !m.displace(c) {
		m.refuse(c, notRun(code.NoCapacity, "too many calls wait", m.comeBack(0)))
		return
	}
	c.phase = waiting
	m.line = append(m.line, c)
}

func (m *Machine) inLine(c *call) bool {
	for _, x := range m.line {
		if x == c {
			return true
		}
	}
	return false
}

// displace refuses the least important waiting call if c matters more.
func (m *Machine) displace(c *call) bool {
	var least *call
	for _, x := range m.line {
		if least == nil || x.verdict.Priority < least.verdict.Priority {
			least = x
		}
	}
	if least == nil || least.verdict.Priority >= c.verdict.Priority {
		return false
	}
	m.refuse(least, notRun(code.NoCapacity, "gave way to a more important call", m.comeBack(0)))
	return true
}

// drain tries the waiting calls again, the most important first, then those
// that can still meet their targets, the newest of them first, then the oldest
// of the rest. It goes over the line
// only when something changed that could let a call go on, or at a Tick's pace
// for expiries.
func (m *Machine) drain() {
	if len(m.line) == 0 {
		return
	}
	m.drained = m.pool.Touched()
	line := append([]*call(nil), m.line...)
	late := make(map[*call]bool, len(line))
	for _, c := range line {
		late[c] = m.late(c)
	}
	sort.SliceStable(line, func(i, j int) bool {
		a, b := line[i], line[j]
		if a.verdict.Priority != b.verdict.Priority {
			return a.verdict.Priority > b.verdict.Priority
		}
		if late[a] != late[b] {
			return late[b]
		}
		if !late[a] {
			// Under overload the oldest of them would each be served just too
			// late; the newest still can be in time.
			return b.arrived.Before(a.arrived)
		}
		return a.arrived.Before(b.arrived)
	})
	absent := map[string]int{}
	for _, c := range line {
		if c.phase != waiting || m.calls[c.ID] != c {
			continue // displaced meanwhile
		}
		m.place(c)
		if c.phase == waiting && c.item != "" && len(m.candidates(c)) == 0 {
			absent[c.item]++
		}
	}
	for item, n := range absent {
		m.meter.Waiting(item, n)
	}
}

func (m *Machine) leaveLine(c *call) {
	for i, x := range m.line {
		if x == c {
			m.line = append(m.line[:i], m.line[i+1:]...)
			break
		}
	}
	if c.item != "" {
		m.meter.Waiting(c.item, 0)
	}
}

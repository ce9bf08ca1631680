package instance

import (
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/share"
)

// A stopView is the state of a planned stop.
type stopView struct {
	begun  bool
	at     clock.Instant
	takeTo clock.Instant // calls are taken until then
	endAt  clock.Instant // calls are cut then
	exited bool
}

// refusing reports whether new calls are refused because of the stop.
func (s stopView) refusing(now clock.Instant) bool { return s.begun && !now.Before(s.takeTo) }

// Stopping reports whether a planned stop has begun.
func (m *Machine) Stopping() bool { return m.stop.begun }

// beginStop begins a planned stop: not ready from now on, the lease handed
// over, the peers told. A second Stop ends it at once.
func (m *Machine) beginStop() {
	if m.stop.begun {
		m.stop.endAt = m.now
		return
	}
	m.stop = stopView{
		begun:  true,
		at:     m.now,
		takeTo: m.now.Add(m.opt.StopDelay),
		endAt:  m.now.Add(m.opt.StopLimit),
	}
	m.out.Log(logevent.Stopping, "calls", len(m.calls))
	if m.lease.Held() {
		fence := m.lease.Fence()
		m.store.AddHolder("", share.Holder{Zone: m.self.Zone, Fence: fence})
		m.lease = m.lease.WithLoss()
		m.planner.abandon()
		m.out.Do(ReleaseLease{Fence: fence})
	}
	m.resign()
	for _, p := range m.members.InZone(true) {
		m.exchangeWith(p)
	}
}

// stopDue exits when every call has ended, or when the limit has come.
func (m *Machine) stopDue() {
	s := &m.stop
	if !s.begun || s.exited {
		return
	}
	if !m.now.Before(s.endAt) {
		m.exit()
		return
	}
	if m.now.Before(s.takeTo) || len(m.calls) > 0 {
		return
	}
	m.exit()
}

func (m *Machine) exit() {
	cut := len(m.calls)
	for _, c := range m.sortedCalls() {
		m.cutCall(c)
	}
	m.stop.exited = true
	m.out.Log(logevent.Stopped, "cut", cut)
	m.out.Do(Exit{Cut: cut})
}

// cutCall gives a call its final answer because the process ends.
func (m *Machine) cutCall(c *call) {
	if c.phase != running {
		m.refuse(c, notRun(code.Stopping, "this instance stopped", leastRetryAfter))
		return
	}
	if r := m.pool.Get(c.replica); r != nil {
		m.cancel(c, r)
	}
	run := code.Unknown
	if c.answered {
		run = code.Ran
	}
	m.refuse(c, code.Refusal{Code: code.StreamCut, Run: run, Detail: "this instance stopped before the answer was whole"})
}

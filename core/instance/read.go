package instance

import (
	"time"

	"github.com/birchdrift/birchdrift/core/backoff"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/share"
	"github.com/birchdrift/birchdrift/core/step"
)

// readersPerEngine is how many instances of its zone read one engine's state;
// the rest hear from them.
const readersPerEngine = 2

// readSpacing is how much time the reads of one instance keep between each
// other on average, however many engines it reads.
const readSpacing = 500 * time.Millisecond

// Bounds of the spacing of reads of an engine that does not answer.
const (
	readBase = 500 * time.Millisecond
	readMax  = 5 * time.Second
)

// A reader is the duty of reading one engine.
type reader struct {
	step.Job
	backoff backoff.Backoff
}

// scanEvery spaces the looks over all engines for reads that are due. Every
// call steps the machine, and a look costs in proportion to the engines.
const scanEvery = 50 * time.Millisecond

// readDue asks the engines whose state is this instance's to read.
func (m *Machine) readDue() {
	if m.cfg == nil || m.now.Before(m.scanDue) {
		return
	}
	m.scanDue = m.now.Add(scanEvery)
	var mine []*pool.Replica
	for _, r := range m.pool.All() {
		if r.Kind == pool.Engine && !r.Announced && r.Zone == m.self.Zone && m.reads(r) {
			mine = append(mine, r)
		}
	}
	every := max(m.opt.ReadEvery, time.Duration(len(mine))*readSpacing)
	for _, r := range mine {
		rd := m.reader(r.Name)
		if !rd.Ready(m.now) {
			continue
		}
		rd.Begin(m.now)
		rd.SetDue(m.now.Add(step.Jitter(m.rng, m.readEvery(r, every))))
		m.out.Do(ReadState{Engine: r.Name, Address: r.Address})
	}
}

// reads reports whether the engine is this instance's to read. A planner also
// reads those that it waits for.
func (m *Machine) reads(r *pool.Replica) bool {
	if m.planning() {
		if l := m.planner.ledgers[r.Name]; l != nil && l.Known() && l.Busy() {
			return true
		}
	}
	return m.members.OnDuty(m.now, "read/"+r.Name, readersPerEngine)
}

func (m *Machine) readEvery(r *pool.Replica, every time.Duration) time.Duration {
	if l := m.planner.ledgers[r.Name]; m.planning() && l != nil && l.Busy() {
		return m.opt.BusyReadEvery
	}
	return every
}

func (m *Machine) reader(engine string) *reader {
	rd := m.readers[engine]
	if rd == nil {
		rd = &reader{backoff: backoff.New(readBase, readMax)}
		m.readers[engine] = rd
	}
	return rd
}

func (m *Machine) stateReply(e StateReply) {
	rd := m.reader(e.Engine)
	if e.Err != nil {
		rd.backoff = rd.backoff.WithFailure()
		rd.End(m.now.Add(rd.backoff.Wait(m.rng)))
		return
	}
	rd.backoff = rd.backoff.WithSuccess()
	rd.EndAsScheduled()
	m.observe(e.Engine, e.State)
	if l := m.planner.ledgers[e.Engine]; l != nil {
		m.planner.observe(m, l, e.State, 0)
	}
}

// observe takes in an engine's own word and makes it known to peers.
func (m *Machine) observe(engine string, s pool.State) {
	res := share.Residency{Engine: engine, Residency: s.Residency}
	if m.store.AddResidency("", res) {
		m.noticeLeaving(res)
		if r := m.pool.Get(engine); r != nil && s.Residency.Boot > r.Residency.Boot {
			m.chooser.Restarted(engine)
		}
		m.pool.ObserveResidency(m.now, engine, s.Residency)
		m.soon()
	}
	m.observeLoad(engine, s.Load)
}

// observeLoad takes in a load. Peers are told only of a change that could
// sway a choice; the rest is noise that would fill the exchanges.
func (m *Machine) observeLoad(engine string, load pool.Load) {
	r := m.pool.Get(engine)
	if r == nil {
		return
	}
	m.pool.ObserveLoad(m.now, engine, load)
	told, ok := m.store.Load(engine)
	change := load.Running + load.Waiting - told.Running - told.Waiting
	if change < 0 {
		change = -change
	}
	if !ok || told.Boot != load.Boot || change >= max(1, r.Concurrent/8) {
		m.store.AddLoad("", share.Load{Engine: engine, Load: load})
	}
}

package planner

import (
	"time"

	"github.com/birchdrift/birchdrift/core/backoff"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
)

// readersPerEngine is the number of instances of a zone that read one engine's state. The
// other instances receive the state from them.
const readersPerEngine = 2

// minReadSpacing is the minimum average time between two reads by one instance,
// regardless of how many engines it reads.
const minReadSpacing = 500 * time.Millisecond

// Bounds of the retry delay when reading an engine's state fails.
const (
	readBackoffBase = 500 * time.Millisecond
	readBackoffMax  = 5 * time.Second
)

// A readSchedule records when this instance next reads each engine's state.
type readSchedule struct {
	readers map[string]*engineReader
	scanDue clock.Instant // time of the next scan for reads that are due
}

func newReadSchedule() readSchedule { return readSchedule{readers: map[string]*engineReader{}} }

// An engineReader is the task of reading one engine's state.
type engineReader struct {
	step.Job
	backoff backoff.Backoff
}

// scanInterval is the time between two scans of all engines for reads that are due. The
// planner is called for every event of the instance, and a scan takes time in proportion
// to the number of engines.
const scanInterval = 50 * time.Millisecond

// readEnginesIfDue reads the states of the engines that this instance is assigned to and
// whose reads are due.
func (p *Planner) readEnginesIfDue(now clock.Instant) {
	if !p.Config.Loaded() || now.Before(p.reads.scanDue) {
		return
	}
	p.reads.scanDue = now.Add(scanInterval)
	var assigned []*pool.Replica
	for _, r := range p.Pool.All() {
		if r.Kind == pool.Engine && !r.Announced && r.Zone == p.Self.Zone && p.isReader(now, r) {
			assigned = append(assigned, r)
		}
	}
	interval := max(p.Options.ReadEvery, time.Duration(len(assigned))*minReadSpacing)
	for _, r := range assigned {
		rd := p.readerOf(r.Name)
		if !rd.Due(now) {
			continue
		}
		rd.Begin(now)
		rd.SetDue(now.Add(step.Jitter(p.Rand, p.readInterval(r, interval))))
		p.Out.Emit(ReadState{Engine: r.Name, Address: r.Address})
	}
}

// isReader reports whether this instance reads the engine's state. The planner also reads
// the engines that have open orders or are loading or unloading items.
func (p *Planner) isReader(now clock.Instant, r *pool.Replica) bool {
	if p.IsPlanner() {
		if l := p.ledgers[r.Name]; l != nil && l.StateKnown() && l.Busy() {
			return true
		}
	}
	return p.Members.Assigned(now, "read/"+r.Name, readersPerEngine)
}

// readInterval returns the time between two reads of the engine's state. It is shorter
// than normal while this instance, as the planner, has open orders to the engine or the
// engine is loading or unloading items.
func (p *Planner) readInterval(r *pool.Replica, normal time.Duration) time.Duration {
	if l := p.ledgers[r.Name]; p.IsPlanner() && l != nil && l.Busy() {
		return p.Options.BusyReadEvery
	}
	return normal
}

// readerOf returns the reader of the engine, and creates it on first use.
func (p *Planner) readerOf(engine string) *engineReader {
	rd := p.reads.readers[engine]
	if rd == nil {
		rd = &engineReader{backoff: backoff.New(readBackoffBase, readBackoffMax)}
		p.reads.readers[engine] = rd
	}
	return rd
}

// HandleStateReply handles the reply to a ReadState.
func (p *Planner) HandleStateReply(now clock.Instant, e StateReply) {
	rd := p.readerOf(e.Engine)
	if e.Err != nil {
		rd.backoff = rd.backoff.WithFailure()
		rd.End(now.Add(rd.backoff.Delay(p.Rand)))
		return
	}
	rd.backoff = rd.backoff.WithSuccess()
	rd.EndKeepDue()
	p.observe(now, e.Engine, e.State)
	if l := p.ledgers[e.Engine]; l != nil {
		p.applyState(now, l, e.State, 0)
	}
}

// observe records a state that an engine reported and publishes it to peers. If the engine
// has restarted, its prefix cache is recorded as empty.
func (p *Planner) observe(now clock.Instant, engine string, s pool.State) {
	res := gossip.Residency{Engine: engine, Residency: s.Residency}
	if p.Records.AddResidency("", res) {
		p.Leaving(res)
		if r := p.Pool.Get(engine); r != nil && s.Residency.Boot > r.Residency.Boot {
			p.Chooser.HandleRestart(engine)
		}
		p.Pool.ObserveResidency(now, engine, s.Residency)
		p.TellSoon(now)
	}
	p.observeLoad(now, engine, s.Load)
}

// observeLoad records a load that an engine reported. Only a change that could affect the
// choice of a replica is published to peers, since reports of smaller changes would fill
// the exchanges.
func (p *Planner) observeLoad(now clock.Instant, engine string, load pool.Load) {
	r := p.Pool.Get(engine)
	if r == nil {
		return
	}
	p.Pool.ObserveLoad(now, engine, load)
	published, ok := p.Records.Load(engine)
	change := load.Running + load.Waiting - published.Running - published.Waiting
	if change < 0 {
		change = -change
	}
	if !ok || published.Boot != load.Boot || change >= max(1, r.Concurrent/8) {
		p.Records.AddLoad("", gossip.Load{Engine: engine, Load: load})
	}
}

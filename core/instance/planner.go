package instance

import (
	"github.com/birchdrift/birchdrift/core/backoff"
	"github.com/birchdrift/birchdrift/core/book"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/plan"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/share"
	"github.com/birchdrift/birchdrift/core/step"
)

// candidates is how many instances of a zone seek its planner's lease.
const candidates = 2

// A plannerView is the machine's work for its zone while it holds the lease.
type plannerView struct {
	job        step.Job // seeking and renewing the lease
	planDue    clock.Instant
	fence      uint64 // under which the ledgers were begun; 0 if none were
	seq        uint64 // of the last order
	ledgers    map[string]*book.Engine
	raises     map[string]*raise
	since      map[placement]clock.Instant // when a placement was first seen
	intents    intentView
	loads      budgetView
	starvedAt  clock.Instant // when room was last made for a starving item
	doubtNoted bool
	moves      Moves
}

// A placement is an item on an engine.
type placement struct{ engine, item string }

// A raise spaces what one engine must be sent again and again until it answers:
// the fence before it is planned for, and orders whose answers are lost.
type raise struct {
	backoff backoff.Backoff
	due     clock.Instant
}

// Moves counts the orders that engines have taken.
type Moves struct {
	Loads   int
	Unloads int
}

// An intentView is the holder's copy of the zone's outstanding intents.
type intentView struct {
	owned    bool // they were read and rewritten under this fence
	revision uint64
	list     []Intent
	flying   bool
	reread   bool // the value must be read before it is written again
	due      clock.Instant
	dirty    bool // list differs from what the platform holds
	queued   []book.Order
}

// A budgetView spaces loads by the zone's share of the weight store.
type budgetView struct {
	tokens float64
	at     clock.Instant
}

func newPlannerView() plannerView {
	return plannerView{
		ledgers: map[string]*book.Engine{},
		raises:  map[string]*raise{},
		since:   map[placement]clock.Instant{},
	}
}

// planning reports whether this instance plans for its zone: it was granted
// the lease and nobody has said that another holds it since.
func (m *Machine) planning() bool { return m.lease.Held() && m.planner.fence != 0 }

// mayOrder reports whether the engine may be sent orders. One that checks
// fences arbitrates by itself: whoever holds a later lease has raised its
// fence first. One that does not is only ordered while the lease certainly is
// held and the zone's intents are this holder's.
func (m *Machine) mayOrder(r *pool.Replica) bool {
	if !m.planning() || m.stop.begun {
		return false
	}
	if r.ChecksFence {
		return true
	}
	return m.opt.Disable.Intents || m.lease.Valid(m.now) && m.planner.intents.owned
}

func (m *Machine) leaseDue() {
	p := &m.planner
	if m.stop.begun || len(m.homes.zones) == 0 || !p.job.Ready(m.now) {
		return
	}
	switch {
	case m.lease.Held():
		m.noteDoubt()
		if m.lease.RenewDue(m.now) {
			p.job.Begin(m.now)
			m.out.Do(SeekLease{Term: m.opt.LeaseTerm, Renew: m.lease.Fence()})
		}
	case m.members.OnDuty(m.now, "plan/"+m.self.Zone, candidates):
		p.job.Begin(m.now)
		m.out.Do(SeekLease{Term: m.opt.LeaseTerm})
	}
}

func (m *Machine) noteDoubt() {
	doubt := !m.lease.Valid(m.now)
	if doubt && !m.planner.doubtNoted {
		m.out.Log(logevent.LeaseDoubt, "fence", m.lease.Fence())
	}
	m.planner.doubtNoted = doubt
}

func (m *Machine) leaseReply(e LeaseReply) {
	p := &m.planner
	m.platformSays(e.Err)
	if e.Err != nil {
		p.job.End(m.now.Add(m.platform.backoff.Wait(m.rng)))
		return
	}
	p.job.End(m.now.Add(step.Jitter(m.rng, m.opt.LeaseTerm/4)))
	if !e.Granted {
		m.loseLease(logevent.LeaseLost)
		return
	}
	m.lease = m.lease.WithGrant(e.Fence, e.Sent)
	if p.fence != m.lease.Fence() {
		m.takeOver()
	}
}

func (m *Machine) loseLease(why logevent.Number) {
	if m.lease.Held() {
		m.out.Log(why, "fence", m.lease.Fence())
	}
	m.lease = m.lease.WithLoss()
	m.planner.abandon()
}

func (p *plannerView) abandon() {
	p.fence = 0
	p.ledgers = map[string]*book.Engine{}
	p.raises = map[string]*raise{}
	p.intents = intentView{}
}

// takeOver begins to plan under a new fence: ledgers in which nothing is free
// until each engine's fence is raised and its state read.
func (m *Machine) takeOver() {
	p := &m.planner
	p.abandon()
	p.fence = m.lease.Fence()
	p.seq = 0
	p.loads = budgetView{at: m.now}
	m.out.Log(logevent.LeaseGained, "fence", p.fence)
	m.store.AddHolder("", share.Holder{Zone: m.self.Zone, Instance: m.self.Name, Fence: p.fence})
	m.exchanges.hurry(m)
	p.sync(m)
	p.intents.flying = true
	m.out.Do(ReadIntents{})
}

// sync gives every engine of the zone a ledger.
func (p *plannerView) sync(m *Machine) {
	if p.fence == 0 {
		return
	}
	live := map[string]bool{}
	for _, r := range m.pool.All() {
		if r.Kind != pool.Engine || r.Announced || r.Zone != m.self.Zone {
			continue
		}
		live[r.Name] = true
		if p.ledgers[r.Name] == nil {
			p.ledgers[r.Name] = book.NewEngine(r.Name, r.MemoryMiB, r.ChecksFence)
			p.raises[r.Name] = &raise{backoff: backoff.New(readBase, readMax)}
		}
	}
	for name := range p.ledgers {
		if !live[name] {
			delete(p.ledgers, name)
			delete(p.raises, name)
		}
	}
}

func (p *plannerView) nextSeq() uint64 {
	p.seq++
	return p.seq
}

// observe takes an engine's state into its ledger. A state of an engine that
// checks fences counts only under this holder's fence: before that, another
// holder's orders could still change what it says.
func (p *plannerView) observe(m *Machine, l *book.Engine, s pool.State, answered uint64) {
	r := m.pool.Get(l.Name())
	if r == nil {
		return
	}
	if r.ChecksFence && s.Fence != p.fence && !m.opt.Disable.Fences {
		if s.Fence > p.fence {
			m.out.Log(logevent.OrderFenced, "engine", r.Name, "fence", s.Fence)
			m.loseLease(logevent.LeaseLost)
		} else if l.Known() && s.Residency.Boot > l.Boot() {
			// It restarted and forgot the fence: raise it anew first.
			p.ledgers[r.Name] = l.Restarted()
			p.raises[r.Name] = &raise{backoff: backoff.New(readBase, readMax)}
		}
		return
	}
	if !r.ChecksFence && !p.intents.owned && !m.opt.Disable.Intents {
		return
	}
	l.Observe(s, p.fence, answered, m.cfg.ItemMiB)
	p.trackSince(m, r.Name, s.Residency)
	m.settleIntents()
}

func (p *plannerView) trackSince(m *Machine, engine string, res pool.Residency) {
	for _, it := range res.Items {
		key := placement{engine, it.Name}
		if _, ok := p.since[key]; !ok {
			p.since[key] = m.now
		}
	}
	for key := range p.since {
		if key.engine == engine && !holds(res, key.item) {
			delete(p.since, key)
		}
	}
}

func holds(res pool.Residency, item string) bool {
	for _, it := range res.Items {
		if it.Name == item {
			return true
		}
	}
	return false
}

// planDue raises fences that are not raised yet, settles what is unsure, then
// orders what the plan asks for.
func (m *Machine) planDue() {
	p := &m.planner
	if !m.planning() || m.stop.begun || m.now.Before(p.planDue) {
		return
	}
	p.planDue = m.now.Add(step.Jitter(m.rng, m.opt.PlanEvery))
	m.board.Report(m.now, m.self.Name, m.meter.Items(m.now))
	m.rereadDue()
	m.tellLeaders()
	m.raiseFences()
	m.resendUnsure()
	for _, s := range plan.Steps(m.planInput()) {
		m.order(s)
	}
	m.flushIntents()
}

// raiseFences gives the fence to engines that have not confirmed it, and asks
// those with unsure orders, which settles them.
func (m *Machine) raiseFences() {
	p := &m.planner
	for _, r := range m.pool.All() {
		l := p.ledgers[r.Name]
		if l == nil || !r.ChecksFence || m.opt.Disable.Fences {
			continue
		}
		ra := p.raises[r.Name]
		if m.now.Before(ra.due) || (l.Known() && len(l.Unsure()) == 0) {
			continue
		}
		ra.backoff = ra.backoff.WithFailure()
		ra.due = m.now.Add(ra.backoff.Wait(m.rng))
		o := book.Order{Engine: r.Name, Fence: p.fence, Seq: p.nextSeq(), Op: book.Raise}
		l.Book(o)
		m.out.Do(SendOrder{Address: r.Address, Order: o})
	}
}

// order books a planned step and sends it, or queues it behind its intent.
func (m *Machine) order(s plan.Step) {
	p := &m.planner
	r := m.pool.Get(s.Engine)
	l := p.ledgers[s.Engine]
	if r == nil || l == nil || !m.mayOrder(r) {
		return
	}
	o := book.Order{Engine: s.Engine, Fence: p.fence, Seq: p.nextSeq(), Op: s.Op, Item: s.Item, MiB: s.MiB}
	if !l.Book(o) && !m.opt.Disable.Booking {
		m.out.Log(logevent.OvercommitAvert, "engine", s.Engine, "op", s.Op.String(), "item", s.Item)
		return
	}
	if s.Op == book.Load {
		p.loads.tokens--
	}
	if s.Starving {
		p.starvedAt = m.now
	}
	if r.ChecksFence || m.opt.Disable.Intents {
		m.send(o, r)
		return
	}
	p.intents.queued = append(p.intents.queued, o)
	p.intents.list = append(p.intents.list, intentOf(o))
	p.intents.dirty = true
}

func (m *Machine) send(o book.Order, r *pool.Replica) {
	m.out.Log(logevent.Order, "engine", o.Engine, "op", o.Op.String(), "item", o.Item, "mib", o.MiB, "fence", o.Fence, "seq", o.Seq)
	m.out.Do(SendOrder{Address: r.Address, Order: o})
}

func (m *Machine) orderReply(e OrderReply) {
	p := &m.planner
	l := p.ledgers[e.Engine]
	if l == nil || e.Fence != p.fence {
		return
	}
	op, _ := l.Op(e.Seq)
	switch e.Outcome {
	case OrderDone:
		p.count(op)
		if ra := p.raises[e.Engine]; ra != nil {
			ra.backoff = ra.backoff.WithSuccess()
		}
		m.observe(e.Engine, e.State)
		p.observe(m, l, e.State, e.Seq)
	case OrderRefused:
		if op != book.Raise {
			m.out.Log(logevent.OrderRefused, "engine", e.Engine, "seq", e.Seq, "detail", e.Detail)
		}
		l.Refused(e.Seq)
		m.observe(e.Engine, e.State)
		p.observe(m, l, e.State, e.Seq)
	case OrderFenced:
		m.out.Log(logevent.OrderFenced, "engine", e.Engine, "seq", e.Seq)
		m.loseLease(logevent.LeaseLost)
	case OrderNotSent:
		l.NotSent(e.Seq)
	case OrderLost:
		m.out.Log(logevent.OrderLost, "engine", e.Engine, "seq", e.Seq, "detail", e.Detail)
		l.Lost(e.Seq)
		if ra := p.raises[e.Engine]; ra != nil {
			ra.due = m.now
		}
	}
	m.settleIntents()
}

func (p *plannerView) count(op book.Op) {
	switch op {
	case book.Load:
		p.moves.Loads++
	case book.Unload:
		p.moves.Unloads++
	}
}

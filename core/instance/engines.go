package instance

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/share"
)

// Engines that this instance owns: their ledgers, the orders that are asked for,
// and what the fleet is told of them.

// An ownedEngine is an engine that this instance orders.
type ownedEngine struct {
	*orders.Engine
	service string
	settled bool // no order of a former owner can be on its way any more
	queue   []queued
	asking  bool
	// orderedAt is when an order was last sent.
	orderedAt clock.Instant
	askDue    clock.Instant // when it may be asked for its state again
	told      uint64        // changes of the ledger that the fleet was told
	word      uint64        // number of the last word to the fleet
}

// A queued request waits for its turn at the engine.
type queued struct {
	request orders.Request
	waiters []waiter
	due     clock.Instant // not before
	expires clock.Instant
}

// A waiter is who is told of the outcome: a peer, or this instance itself.
type waiter struct {
	token uint64 // of the peer's question; 0 for this instance
}

// Tunables of orders.
const (
	adapterTime = 14 * time.Millisecond // an adapter's way, until measured otherwise
	queueTime   = time.Second           // how long a request waits for its turn
	askEvery    = 250 * time.Millisecond
	unloadPause = 300 * time.Millisecond // for the fleet to hear of an unload before it is ordered
	idleAdapter = 400 * time.Millisecond // least idleness of an adapter that makes way
)

// ownEngine begins to order an engine.
func (m *Machine) ownEngine(o registry.Ownership, from clock.Instant) {
	r := m.pool.Get(o.Engine)
	if r == nil {
		return
	}
	service, limits, sizes, ok := m.engineFacts(r)
	if !ok {
		return
	}
	e := &ownedEngine{
		Engine:  orders.New(r.Name, r.Address, o.Revision, from, limits, sizes),
		service: service,
		settled: o.Former == "",
	}
	m.engines[r.Name] = e
	m.out.Log(logevent.EngineTaken, "engine", r.Name, "fence", o.Revision, "former", o.Former, "wait", from.Since(m.now).String())
	m.askState(e)
}

// orderable reports whether an engine that this instance owns may be ordered.
func (m *Machine) orderable(e *ownedEngine) bool {
	return m.mayOrderEngines() && e.settled && !m.now.Before(e.From)
}

// engineFacts returns what the configuration says of an engine's pool.
func (m *Machine) engineFacts(r *pool.Replica) (service string, limits orders.Limits, sizes orders.Sizes, ok bool) {
	svc, found := m.cfg.Service(r.Service)
	if !found || svc.Announced == nil || svc.Announced.Engine == nil {
		return "", limits, nil, false
	}
	p := svc.Announced.Engine
	return svc.Name, orders.Limits{MemoryMB: p.MemoryMB, AdapterSlots: p.AdapterSlots}, sizesOf(p), true
}

// configureEngines takes over what a newer configuration says of the engines
// that this instance owns. An engine whose pool is no longer configured keeps
// its limits: it still holds what it was ordered to load.
func (m *Machine) configureEngines() {
	for name, e := range m.engines {
		r := m.pool.Get(name)
		if r == nil {
			continue
		}
		if _, limits, sizes, ok := m.engineFacts(r); ok {
			e.Configure(limits, sizes)
		}
	}
}

func sizesOf(p *config.EnginePool) orders.Sizes {
	return func(model string) (modelMB, adapterMB int64, ok bool) {
		m, ok := p.Model(model)
		return m.MemoryMB, m.AdapterMB, ok
	}
}

// loseEngine ends the ordering of an engine; whoever waits is told.
func (m *Machine) loseEngine(name, why string) {
	e := m.engines[name]
	if e == nil {
		return
	}
	delete(m.engines, name)
	m.out.Log(logevent.EngineLost, "engine", name, "fence", e.Fence, "detail", why)
	for _, q := range e.queue {
		m.answerWaiters(e, q, AskRefused, why)
	}
}

// enginesDue sends what waits, settles adapters, and tells the fleet of changes.
func (m *Machine) enginesDue() {
	for _, name := range sortedKeys(m.engines) {
		e := m.engines[name]
		r := m.pool.Get(name)
		if r == nil || r.Leaving() {
			m.loseEngine(name, "it is leaving")
			continue
		}
		e.Settle(m.now)
		m.askState(e)
		m.workQueue(e)
		m.tellFleet(e)
	}
}

// adaptersComing reports whether an adapter is on its way, which is noticed by
// the clock alone.
func (m *Machine) adaptersComing() bool {
	for _, e := range m.engines {
		if len(e.queue) > 0 {
			return true
		}
	}
	return false
}

// askState asks an engine whose state is in doubt.
func (m *Machine) askState(e *ownedEngine) {
	if !e.Doubtful() && !e.Ordered() || e.Flying() || e.asking || m.now.Before(e.askDue) {
		return
	}
	e.asking = true
	e.askDue = m.now.Add(askEvery)
	m.out.Do(AskEngine{Engine: e.Name, Address: e.Address})
}

func (m *Machine) engineStateReply(r EngineStateReply) {
	e := m.engines[r.Engine]
	if e == nil {
		return
	}
	e.asking = false
	if r.Err != nil {
		return
	}
	m.out.Log(logevent.EngineState, "engine", e.Name, "sequence", r.State.Sequence, "busy", r.State.Busy)
	m.observeEngine(e, r.State)
}

// observeEngine takes a state into the ledger.
func (m *Machine) observeEngine(e *ownedEngine, s orders.State) {
	e.Observe(m.now, s)
	m.workQueue(e)
	m.tellFleet(e)
}

// tellFleet takes what the ledger says into the own view, and has peers told.
func (m *Machine) tellFleet(e *ownedEngine) {
	if e.told == e.Changes() || !e.Known() && e.word == 0 {
		return
	}
	e.told = e.Changes()
	e.word++
	res := pool.Residency{Boot: e.Fence, Change: e.word, Items: e.Items()}
	if m.store.AddResidency("", share.Residency{Engine: e.Name, Residency: res}) {
		m.pool.ObserveResidency(m.now, e.Name, res)
		m.soon()
	}
}

// request asks for an order to an engine that this instance owns.
func (m *Machine) request(e *ownedEngine, r orders.Request, w waiter) {
	if !m.orderable(e) {
		m.answerWaiter(e, r, w, AskRefused, "the engine may not be ordered yet")
		return
	}
	for i := range e.queue {
		if e.queue[i].request == r {
			e.queue[i].waiters = append(e.queue[i].waiters, w)
			return
		}
	}
	q := queued{request: r, waiters: []waiter{w}, due: m.now, expires: m.now.Add(queueTime)}
	if !r.Load && r.Adapter == "" && e.Phase(r.Model) == pool.Ready {
		e.Retire(r.Model)
		q.due = m.now.Add(unloadPause)
	}
	e.queue = append(e.queue, q)
	m.workQueue(e)
}

// workQueue goes over what waits at an engine: settles what is done, and sends
// the next order that can be sent.
func (m *Machine) workQueue(e *ownedEngine) {
	var rest []queued
	queue := e.queue
	e.queue = nil
	for _, q := range queue {
		if m.work(e, &q) {
			continue
		}
		rest = append(rest, q)
	}
	e.queue = append(rest, e.queue...)
}

// work does what can be done for one request, and reports whether it is over.
func (m *Machine) work(e *ownedEngine, q *queued) bool {
	switch e.Judge(q.request) {
	case orders.Holds, orders.NotThere:
		m.answerWaiters(e, *q, AskDone, "")
		return true
	case orders.Coming:
		if q.request.Adapter == "" {
			m.answerWaiters(e, *q, AskStarted, "")
			return true
		}
	case orders.Order:
		if !m.now.Before(q.due) {
			m.sendOrder(e, q.request)
		}
	case orders.NoRoom:
		if q.request.Adapter == "" || !m.makeRoom(e) {
			m.answerWaiters(e, *q, AskRefused, "no room")
			return true
		}
	case orders.NoModel, orders.Unsized:
		m.answerWaiters(e, *q, AskRefused, "the model is not there")
		return true
	}
	if m.now.Before(q.expires) {
		return false
	}
	if !q.request.Load && q.request.Adapter == "" {
		e.Unretire(q.request.Model)
	}
	m.answerWaiters(e, *q, AskRefused, "it had to wait too long")
	return true
}

// makeRoom orders the adapter that was used least lately away, and reports
// whether room is to be expected.
func (m *Machine) makeRoom(e *ownedEngine) bool {
	if e.Flying() || !e.Known() {
		return true
	}
	idle, ok := e.IdleAdapter(m.now, idleAdapter)
	if !ok || e.Judge(idle) != orders.Order {
		return false
	}
	m.sendOrder(e, idle)
	return true
}

func (m *Machine) sendOrder(e *ownedEngine, r orders.Request) {
	if !m.orderable(e) {
		return
	}
	m.out.Log(logevent.EngineOrder, "engine", e.Name, "load", r.Load, "item", r.Item(), "expect", e.Sequence(), "fence", e.Fence)
	expect := e.Sequence()
	e.orderedAt = m.now
	e.Send(r)
	m.out.Do(EngineOrder{Engine: e.Name, Address: e.Address, Request: r, Expect: expect, Fence: e.Fence})
}

func (m *Machine) engineOrderReply(r EngineOrderReply) {
	e := m.engines[r.Engine]
	if e == nil || e.Fence != r.Fence || !e.Flying() {
		return
	}
	m.out.Log(logevent.EngineAnswer, "engine", e.Name, "answer", int(r.Answer), "sequence", e.Sequence(), "detail", r.Detail)
	switch r.Answer {
	case EngineTakes:
		e.Taken(m.now, adapterTime)
		m.expectModel(e)
	case EngineHolds:
		e.Holds()
	case EngineNotSent:
		e.Failed()
	case EngineInvalid:
		e.Failed()
	case EngineConflict:
		e.Contradicted()
	case EngineAstray:
		e.Failed()
		m.pool.Dead(m.now, e.Name)
	case EngineFenced:
		e.Failed()
		m.loseEngine(e.Name, "the engine has seen a later fence")
		return
	case EngineLost:
		e.Lost()
	}
	m.workQueue(e)
	m.tellFleet(e)
}

// expectModel has an engine asked for its state when the model that it loads
// should be there: its own announcement comes later, and costs more to hear.
func (m *Machine) expectModel(e *ownedEngine) {
	if !e.Busy() {
		return
	}
	r := m.pool.Get(e.Name)
	model, loading := e.Underway()
	if r == nil || model == "" {
		return
	}
	wait := askEvery
	if loading {
		wait = m.loadTime(r, model)
	}
	e.askDue = m.now.Add(wait + reportLag)
}

// reportLag is how old what an engine says of itself may be.
const reportLag = 120 * time.Millisecond

// loadTime returns how long an engine takes to load a model.
func (m *Machine) loadTime(r *pool.Replica, model string) time.Duration {
	svc, ok := m.cfg.Service(r.Service)
	if !ok || svc.Announced == nil || svc.Announced.Engine == nil {
		return askEvery
	}
	facts, _ := svc.Announced.Engine.Model(model)
	a := r.Announcement()
	switch {
	case slices.Contains(a.InMemory, model):
		return facts.LoadHost
	case slices.Contains(a.OnDisk, model):
		return facts.LoadDisk
	default:
		return facts.Load
	}
}

func (m *Machine) answerWaiters(e *ownedEngine, q queued, outcome AskOutcome, detail string) {
	for _, w := range q.waiters {
		m.answerWaiter(e, q.request, w, outcome, detail)
	}
}

func (m *Machine) answerWaiter(e *ownedEngine, r orders.Request, w waiter, outcome AskOutcome, detail string) {
	if outcome == AskRefused {
		m.out.Log(logevent.OrderWaits, "engine", e.Name, "item", r.Item(), "detail", detail)
	}
	if w.token != 0 {
		m.out.Do(OrderAnswered{Token: w.token, Outcome: outcome, Detail: detail})
		return
	}
	m.askSettled(askKey{e.Name, r}, outcome, detail)
}

// orderAsked takes in a peer's question for an order.
func (m *Machine) orderAsked(a OrderAsked) {
	e := m.engines[a.Engine]
	if e == nil {
		m.out.Do(OrderAnswered{Token: a.Token, Outcome: AskRefused, Detail: "this instance does not order the engine"})
		return
	}
	m.request(e, a.Request, waiter{token: a.Token})
}

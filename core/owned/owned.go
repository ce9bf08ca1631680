// Package owned orders the engines that this instance owns.
//
// It keeps a ledger of each (core/orders), lets requests wait for their turn,
// sends one order at a time, settles orders whose answers are lost by asking the
// engine for its state, and has the fleet told of what its engines hold. Which
// engines those are, and until when they may be ordered, is decided in
// core/ownership.
package owned

import (
	"maps"
	"slices"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/step"
)

// Engines are the engines that this instance owns. The fields must be set before
// its use.
type Engines struct {
	Out     *step.Output
	Pool    *pool.Pool
	Records *gossip.Set
	Config  *config.Current
	// MayOrder reports whether the ownership that this instance gained with a fence is
	// certainly still its own.
	MayOrder func(now clock.Instant, fence era.Revision) bool
	// Permitted reports whether something may be sent to an engine now that names a limit:
	// an order for an adapter, or for a model, or a question.
	Permitted func(now clock.Instant, engine string, adapter bool) bool
	// Published is called after the fleet's records learnt what an engine holds.
	Published func(now clock.Instant)
	// Answered is called with what came of a request of this instance itself.
	Answered func(now clock.Instant, engine string, r orders.Request, o Outcome, detail string)

	engines map[string]*Engine
	delayed map[string][]delayedOrder // orders whose answers were lost, by engine
}

// Get returns an engine that this instance owns, nil if it does not own it.
func (s *Engines) Get(name string) *Engine { return s.engines[name] }

// Len returns how many engines this instance owns.
func (s *Engines) Len() int { return len(s.engines) }

// Names returns the engines that this instance owns, in order.
func (s *Engines) Names() []string { return slices.Sorted(maps.Keys(s.engines)) }

// Acquire begins to own an engine, which may be ordered from from on.
func (s *Engines) Acquire(now clock.Instant, o registry.Ownership, from clock.Instant) {
	r := s.Pool.Get(o.Engine)
	if r == nil {
		return
	}
	limits, sizes, ok := s.capacityOf(r)
	if !ok {
		return
	}
	e := &Engine{
		Ledger:      orders.New(r.Name, r.Address, o.Revision, from, limits, sizes),
		Settled:     o.FormerOwner == "",
		incarnation: r.Incarnation(),
		acquiredAt:  now,
	}
	if s.engines == nil {
		s.engines = map[string]*Engine{}
	}
	s.engines[r.Name] = e
	e.ReserveDelayed(s.delayedOrders(now, e.incarnation))
	s.Out.Log(logevent.EngineTaken, "engine", r.Name, "fence", o.Revision, "former", o.FormerOwner, "wait", from.Since(now).String())
	s.queryState(now, e)
}

// Lose ends the ownership of an engine; whoever waits for an order is told why.
func (s *Engines) Lose(now clock.Instant, name, why string) {
	e := s.engines[name]
	if e == nil {
		return
	}
	delete(s.engines, name)
	s.recordDelayed(now, e)
	s.Out.Log(logevent.EngineLost, "engine", name, "fence", e.Fence, "detail", why)
	for _, q := range e.queue {
		s.replyAll(now, e, q, Refused, why)
	}
}

// LoseUnsettled ends the ownerships of engines that may not be ordered yet, since orders of a
// former owner may still come.
func (s *Engines) LoseUnsettled(now clock.Instant, why string) {
	for _, name := range s.Names() {
		if e := s.engines[name]; !e.Settled || now.Before(e.From) {
			s.Lose(now, name, why)
		}
	}
}

// LoseAll ends every ownership.
func (s *Engines) LoseAll(now clock.Instant, why string) {
	for _, name := range s.Names() {
		s.Lose(now, name, why)
	}
}

// Configure takes over what a newer configuration says of the engines. An engine
// whose pool is no longer configured keeps its limits: it still holds what it
// was ordered to load.
func (s *Engines) Configure() {
	for name, e := range s.engines {
		r := s.Pool.Get(name)
		if r == nil {
			continue
		}
		if limits, sizes, ok := s.capacityOf(r); ok {
			e.Configure(limits, sizes)
		}
	}
}

// capacityOf returns what the configuration says of an engine's pool.
func (s *Engines) capacityOf(r *pool.Replica) (limits orders.Capacity, sizes orders.SizeFunc, ok bool) {
	p, ok := s.Config.EnginePool(r.Service)
	if !ok {
		return limits, nil, false
	}
	return orders.Capacity{MemoryMB: p.MemoryMB, AdapterSlots: p.MaxAdapters}, sizesOf(p), true
}

func sizesOf(p *config.EnginePool) orders.SizeFunc {
	return func(model string) (modelMB, adapterMB int64, ok bool) {
		m, ok := p.Model(model)
		return m.MemoryMB, m.AdapterMB, ok
	}
}

// Orderable reports whether an engine that this instance owns may be ordered
// now.
func (s *Engines) Orderable(now clock.Instant, e *Engine) bool {
	return s.MayOrder(now, e.Fence) && e.Settled && !now.Before(e.From) && !s.resting(now, e)
}

// resting reports whether an engine wants nothing from this instance.
func (s *Engines) resting(now clock.Instant, e *Engine) bool {
	r := s.Pool.Get(e.Name)
	return r != nil && r.Resting(now)
}

// rateLimited reports whether an engine names a limit.
func (s *Engines) rateLimited(now clock.Instant, e *Engine) bool {
	r := s.Pool.Get(e.Name)
	if r == nil {
		return false
	}
	_, limited := r.RateLimit(now)
	return limited
}

// RecordUse notes that an item of an engine was used, so that it makes way later.
func (s *Engines) RecordUse(now clock.Instant, engine, item string) {
	if e := s.engines[engine]; e != nil {
		e.RecordUse(now, item)
	}
}

// Tick sends what waits, settles adapters that take a known time, and has the
// fleet told of changes.
func (s *Engines) Tick(now clock.Instant) {
	for _, name := range s.Names() {
		e := s.engines[name]
		r := s.Pool.Get(name)
		if r == nil || r.Leaving() {
			s.Lose(now, name, "it is leaving")
			continue
		}
		if e.incarnation.Born == "" {
			e.incarnation = r.Incarnation()
		}
		if e.incarnation != r.Incarnation() {
			// Its count of orders began anew and it holds nothing: a ledger of the life
			// before would refuse what the engine says, and never order it again.
			s.Lose(now, name, "it started again")
			continue
		}
		e.Advance(now)
		s.queryState(now, e)
		s.processQueue(now, e)
		s.publish(now, e)
	}
}

// Waiting reports whether a request waits at any engine. Adapters are ready
// after a known time, which only the clock shows.
func (s *Engines) Waiting() bool {
	for _, e := range s.engines {
		if len(e.queue) > 0 {
			return true
		}
	}
	return false
}

// HandleAnnouncement takes over what an engine itself announced that it holds.
func (s *Engines) HandleAnnouncement(now clock.Instant, name string, models []pool.AnnouncedModel) {
	e := s.engines[name]
	if e == nil {
		return
	}
	e.ObserveModels(models)
	s.processQueue(now, e)
	s.publish(now, e)
}

// publish takes what the ledger says into this instance's own view, and into the
// records that peers are told.
func (s *Engines) publish(now clock.Instant, e *Engine) {
	if e.publishedVersion == e.Version() || !e.Known() && e.residencyChange == 0 {
		return
	}
	e.publishedVersion = e.Version()
	e.residencyChange++
	res := pool.Residency{Boot: uint64(e.Fence), Change: e.residencyChange, Born: e.incarnation.Born, Items: e.Items()}
	if s.Records.AddResidency("", gossip.Residency{Engine: e.Name, Residency: res}) {
		s.Pool.ObserveResidency(now, e.Name, res)
		s.Published(now)
	}
}

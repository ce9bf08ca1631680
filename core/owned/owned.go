// Package owned sends orders to the engines that this instance owns.
//
// It keeps a ledger of each engine (core/orders), queues requests, sends one order at a
// time, resolves orders whose answers were lost by querying the engine's state, and
// publishes to the fleet what its engines hold. Package core/ownership decides which
// engines this instance owns and until when it may send them orders.
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

// Engines holds the engines that this instance owns. The exported fields must be set
// before its use.
type Engines struct {
	Out     *step.Output
	Pool    *pool.Pool
	Records *gossip.Set
	Config  *config.Current
	// MayOrder reports whether this instance certainly still holds the ownership that it
	// acquired with a fence.
	MayOrder func(now clock.Instant, fence era.Revision) bool
	// Permitted reports whether an order for an adapter or a model, or a state query, may
	// be sent to an engine now, as far as its rate limit is concerned.
	Permitted func(now clock.Instant, engine string, adapter bool) bool
	// LinkFailed records that an engine could not be connected to.
	LinkFailed func(now clock.Instant, engine string, timedOut bool)
	// Published is called after an engine's items were added to the gossip records.
	Published func(now clock.Instant)
	// Answered is called with the outcome of a request of this instance itself.
	Answered func(now clock.Instant, engine string, r orders.Request, o Outcome, detail string)

	engines map[string]*Engine
	delayed map[string][]delayedOrder // orders whose answers were lost, by engine
}

// Get returns an engine that this instance owns, nil if it does not own it.
func (s *Engines) Get(name string) *Engine { return s.engines[name] }

// Len returns how many engines this instance owns.
func (s *Engines) Len() int { return len(s.engines) }

// Names returns the names of the engines that this instance owns, sorted.
func (s *Engines) Names() []string { return slices.Sorted(maps.Keys(s.engines)) }

// Acquire starts the ownership of an engine; no order may be sent before from.
func (s *Engines) Acquire(now clock.Instant, o registry.Ownership, from clock.Instant) {
	r := s.Pool.Get(o.Engine)
	if r == nil {
		return
	}
	capacity, sizes, ok := s.capacityOf(r)
	if !ok {
		return
	}
	e := &Engine{
		Ledger:      orders.New(r.Name, r.Address, o.Revision, from, capacity, sizes),
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

// Lose ends the ownership of an engine and refuses its queued requests; reason is logged
// and sent to the requesters.
func (s *Engines) Lose(now clock.Instant, name, reason string) {
	e := s.engines[name]
	if e == nil {
		return
	}
	delete(s.engines, name)
	s.recordDelayed(now, e)
	s.Out.Log(logevent.EngineLost, "engine", name, "fence", e.Fence, "detail", reason)
	for _, q := range e.queue {
		s.replyAll(now, e, q, Refused, reason)
	}
}

// LoseUnsettled ends the ownership of the engines that may not be sent orders yet because
// orders of a former owner may still arrive.
func (s *Engines) LoseUnsettled(now clock.Instant, reason string) {
	for _, name := range s.Names() {
		if e := s.engines[name]; !e.Settled || now.Before(e.From) {
			s.Lose(now, name, reason)
		}
	}
}

// LoseAll ends every ownership.
func (s *Engines) LoseAll(now clock.Instant, reason string) {
	for _, name := range s.Names() {
		s.Lose(now, name, reason)
	}
}

// Configure applies a newer configuration to the engines. An engine whose pool is no
// longer configured keeps its capacity: it still holds what it was ordered to load.
func (s *Engines) Configure() {
	for name, e := range s.engines {
		r := s.Pool.Get(name)
		if r == nil {
			continue
		}
		if capacity, sizes, ok := s.capacityOf(r); ok {
			e.Configure(capacity, sizes)
		}
	}
}

// capacityOf returns the capacity and the sizes that the configuration gives for an
// engine's pool.
func (s *Engines) capacityOf(r *pool.Replica) (capacity orders.Capacity, sizes orders.SizeFunc, ok bool) {
	p, ok := s.Config.EnginePool(r.Service)
	if !ok {
		return capacity, nil, false
	}
	return orders.Capacity{MemoryMB: p.MemoryMB, AdapterSlots: p.MaxAdapters}, sizesOf(p), true
}

func sizesOf(p *config.EnginePool) orders.SizeFunc {
	return func(model string) (modelMB, adapterMB int64, ok bool) {
		m, ok := p.Model(model)
		return m.MemoryMB, m.AdapterMB, ok
	}
}

// Orderable reports whether an engine that this instance owns may be sent orders now.
func (s *Engines) Orderable(now clock.Instant, e *Engine) bool {
	return s.MayOrder(now, e.Fence) && e.Settled && !now.Before(e.From) && !s.resting(now, e)
}

// resting reports whether an engine asked this instance to send it nothing for a while
// and that time has not passed.
func (s *Engines) resting(now clock.Instant, e *Engine) bool {
	r := s.Pool.Get(e.Name)
	return r != nil && r.Resting(now)
}

// rateLimited reports whether an engine has a rate limit.
func (s *Engines) rateLimited(now clock.Instant, e *Engine) bool {
	r := s.Pool.Get(e.Name)
	if r == nil {
		return false
	}
	_, limited := r.RateLimit(now)
	return limited
}

// RecordUse records that an item of an engine was used, so that it is evicted later.
func (s *Engines) RecordUse(now clock.Instant, engine, item string) {
	if e := s.engines[engine]; e != nil {
		e.RecordUse(now, item)
	}
}

// Tick sends queued orders, completes adapters whose load time has passed, and publishes
// changes.
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
			// The new incarnation starts its count of orders again and holds nothing. The
			// ledger of the former one would ignore its states as too old and never allow
			// an order to it.
			s.Lose(now, name, "it started again")
			continue
		}
		e.Advance(now)
		s.queryState(now, e)
		s.processQueue(now, e)
		s.publish(now, e)
	}
}

// Waiting reports whether a request is queued at any engine. Such an engine needs ticks:
// an adapter becomes ready after an expected time, without an event.
func (s *Engines) Waiting() bool {
	for _, e := range s.engines {
		if len(e.queue) > 0 {
			return true
		}
	}
	return false
}

// HandleAnnouncement handles the models that an engine announces.
func (s *Engines) HandleAnnouncement(now clock.Instant, name string, models []pool.AnnouncedModel) {
	e := s.engines[name]
	if e == nil {
		return
	}
	e.ObserveModels(models)
	s.processQueue(now, e)
	s.publish(now, e)
}

// publish copies the items of the ledger to this instance's own view of the engine and to
// the records that peers get.
func (s *Engines) publish(now clock.Instant, e *Engine) {
	if e.publishedVersion == e.Version() || !e.Known() && e.residencyChange == 0 {
		return
	}
	e.publishedVersion = e.Version()
	e.residencyChange++
	residency := pool.Residency{Boot: uint64(e.Fence), Change: e.residencyChange, Born: e.incarnation.Born, Items: e.Items()}
	if s.Records.AddResidency("", gossip.Residency{Engine: e.Name, Residency: residency}) {
		s.Pool.ObserveResidency(now, e.Name, residency)
		s.Published(now)
	}
}

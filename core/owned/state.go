package owned

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
)

// What an engine is asked of itself, and when.

const (
	// queryInterval is the least time between two questions for one engine's state:
	// twice the age that an answer may have, see reportLag.
	queryInterval = 250 * time.Millisecond
	// maxStateAge is how old what an engine says of itself may be when it comes: the
	// platform's description of engines has some 100 ms.
	maxStateAge = 120 * time.Millisecond
)

type (
	// QueryState is an action: ask an engine for its state.
	QueryState struct {
		Engine  string
		Address string
		Limited bool // the engine named a limit, see calls.Dispatch
	}
	// StateReply is the event that answers QueryState.
	StateReply struct {
		Engine string
		Sent   clock.Instant // when it was asked
		State  orders.State
		Err    error
	}
)

// IsAction implements step.Action.
func (QueryState) IsAction() {}

// IsEvent implements step.Event.
func (StateReply) IsEvent() {}

// queryState asks an engine whose state is in doubt.
func (s *Engines) queryState(now clock.Instant, e *Engine) {
	if !e.Uncertain() && !e.ModelOrderRunning() || e.InFlight() || e.querying || now.Before(e.queryDue) || s.resting(now, e) || !s.Permitted(now, e.Name, false) {
		return
	}
	e.querying = true
	e.queryDue = now.Add(queryInterval)
	s.Out.Emit(QueryState{Engine: e.Name, Address: e.Address, Limited: s.rateLimited(now, e)})
}

// HandleStateReply takes an engine's state into its ledger. It is asked again after
// askEvery if it could not be read.
func (s *Engines) HandleStateReply(now clock.Instant, r StateReply) {
	e := s.engines[r.Engine]
	if e == nil || r.Sent.Before(e.acquiredAt) {
		return // it was asked for an earlier ledger, perhaps of a former life
	}
	e.querying = false
	if r.Err != nil {
		s.Out.Log(logevent.EngineStateFailed, "engine", e.Name, "error", r.Err.Error())
		return
	}
	s.Out.Log(logevent.EngineState, "engine", e.Name, "sequence", r.State.Sequence, "busy", r.State.Busy)
	e.ObserveState(now, r.State)
	s.processQueue(now, e)
	s.publish(now, e)
}

// scheduleQuery has an engine asked for its state when the model that it loads
// should be there: its own announcement comes later, and costs more to hear.
func (s *Engines) scheduleQuery(now clock.Instant, e *Engine) {
	if !e.Busy() {
		return
	}
	r := s.Pool.Get(e.Name)
	model, loading := e.ModelInTransition()
	if r == nil || model == "" {
		return
	}
	wait := queryInterval
	if loading {
		wait = s.loadTime(r, model)
	}
	e.queryDue = now.Add(wait + maxStateAge)
}

// loadTime returns how long an engine takes to load a model.
func (s *Engines) loadTime(r *pool.Replica, model string) time.Duration {
	p, ok := s.Config.EnginePool(r.Service)
	if !ok {
		return queryInterval
	}
	facts, _ := p.Model(model) // an unknown model has no load times
	return LoadTime(facts, r.Announcement())
}

// LoadTime returns how long an engine that announced this takes to load a model:
// it depends on whether the weights lie in its host memory or on its disk, or
// come from the weight store.
func LoadTime(m config.PooledModel, a pool.Announcement) time.Duration {
	switch a.SourceOf(m.Name) {
	case pool.HostMemory:
		return m.HostLoadTime
	case pool.Disk:
		return m.DiskLoadTime
	default:
		return m.LoadTime
	}
}

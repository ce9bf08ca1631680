package owned

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
)

// When and how an engine's state is queried.

const (
	// queryInterval is the least time between two state queries to one engine: about twice
	// maxStateAge, the age that a reported state may have.
	queryInterval = 250 * time.Millisecond
	// maxStateAge is how old a reported state may be when it arrives: the platform's
	// description of engines gives about 100 ms.
	maxStateAge = 120 * time.Millisecond
)

type (
	// QueryState is the action that queries an engine's state.
	QueryState struct {
		Engine  string
		Address string
		Limited bool // the engine has a rate limit, see calls.Dispatch
	}
	// StateReply is the event that answers a QueryState.
	StateReply struct {
		Engine string
		Sent   clock.Instant // when the query was sent
		State  orders.State
		Err    error
	}
)

// IsAction implements step.Action.
func (QueryState) IsAction() {}

// IsEvent implements step.Event.
func (StateReply) IsEvent() {}

// queryState queries the state of an engine if it is uncertain or an order for a model is
// running.
func (s *Engines) queryState(now clock.Instant, e *Engine) {
	if !e.Uncertain() && !e.ModelOrderRunning() || e.InFlight() || e.querying || now.Before(e.queryDue) || s.resting(now, e) || !s.Permitted(now, e.Name, false) {
		return
	}
	e.querying = true
	e.queryDue = now.Add(queryInterval)
	s.Out.Emit(QueryState{Engine: e.Name, Address: e.Address, Limited: s.rateLimited(now, e)})
}

// HandleStateReply updates an engine's ledger with its reported state. If the state could
// not be read, it is queried again after queryInterval.
func (s *Engines) HandleStateReply(now clock.Instant, r StateReply) {
	e := s.engines[r.Engine]
	if e == nil || r.Sent.Before(e.acquiredAt) {
		return // the query belongs to an earlier ledger, perhaps of an earlier incarnation
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

// scheduleQuery schedules the next state query of an engine that carries out an order for
// a model: when a loading model should be ready, or after queryInterval for an unload.
// The engine's own announcement comes later and is more expensive to read.
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
	pooled, _ := p.Model(model) // an unknown model has no load times
	return LoadTime(pooled, r.Announcement())
}

// LoadTime returns how long an engine with this announcement takes to load a model. It
// depends on whether the weights are in the engine's host memory, on its disk or only in
// the weight store.
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

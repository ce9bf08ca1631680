package placement

import (
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
)

// Changes under way: which order a change needs next, and when it has ended.

// An outcome says how a change ended.
type outcome string

// The outcomes.
const (
	running    outcome = ""
	done       outcome = "done"
	engineGone outcome = "the engine is gone"
	restarted  outcome = "the engine started again"
	timedOut   outcome = "it took too long"
	notOrdered outcome = "nobody orders the engine"
)

// A change is a Change under way.
type change struct {
	Change
	incarnation pool.Incarnation // of its engine, for which it was worked out
	startedAt   clock.Instant
	progressAt  clock.Instant // when its engine last carried out an order of it, or it waited for the store's rate
	requestedAt clock.Instant // when an order was asked for last; zero: none was yet
	loadCounted bool          // its load from the weight store was counted
}

// An engineState is what decides how a change of an engine goes on.
type engineState struct {
	incarnation pool.Incarnation
	usable      bool                              // it is known, and not leaving
	phase       func(model string) pool.ItemPhase // 0: the model is absent
}

// observe notes whether the engine carries out an order of the change now.
func (c *change) observe(now clock.Instant, e engineState) {
	if e.phase(c.Load) == pool.Loading {
		c.progressAt = now
	}
	for _, model := range c.Drop {
		if e.phase(model) == pool.Unloading {
			c.progressAt = now
		}
	}
}

// outcome returns how the change ended, underWay if it has not. A change that
// takes longer than any load, or for which no order is carried out, is given up, so
// that the next placement begins from what the engine holds.
func (c *change) outcome(now clock.Instant, e engineState) outcome {
	switch {
	case !e.usable:
		return engineGone
	case e.incarnation != c.incarnation:
		// What was ordered is gone. A load begun again under this change would not be
		// counted against the weight store's rate.
		return restarted
	case now.Since(c.startedAt) > changeTimeout:
		return timedOut
	case e.phase(c.Load) == pool.Ready:
		return done
	case now.Since(c.progressAt) > orderTimeout:
		return notOrdered
	default:
		return running
	}
}

// nextOrder returns the order that the change needs now; due is false while there
// is none. What must make way is dropped first, one model after the other. An
// order that shows no effect is asked for again after changeRepeat: it may have
// been lost with the instance that was asked.
func (c *change) nextOrder(now clock.Instant, e engineState) (request orders.Request, due bool) {
	if e.phase(c.Load) == pool.Loading {
		return request, false
	}
	if !c.requestedAt.IsZero() && now.Before(c.requestedAt.Add(orderRetryInterval)) {
		return request, false
	}
	for _, model := range c.Drop {
		if e.phase(model) != 0 {
			return orders.Request{Model: model}, true
		}
	}
	return orders.Request{Load: true, Model: c.Load}, true
}

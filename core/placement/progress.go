package placement

import (
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
)

// Changes in progress: which order a change needs next, and when it has ended.

// An outcome says how a change ended.
type outcome string

// The outcomes.
const (
	running    outcome = ""
	done       outcome = "done"
	engineGone outcome = "the engine is gone"
	restarted  outcome = "the engine restarted"
	timedOut   outcome = "the change timed out"
	notOrdered outcome = "no owner sends orders to the engine"
)

// A change is a Change in progress.
type change struct {
	Change
	incarnation pool.Incarnation // incarnation of the engine for which the change was planned
	startedAt   clock.Instant
	progressAt  clock.Instant // when the engine last carried out an order of the change, or the change waited for the weight store's rate
	requestedAt clock.Instant // when an order was last requested; zero if none was
	loadCounted bool          // its load from the weight store was counted
}

// An engineState is the state of an engine that determines how a change proceeds.
type engineState struct {
	incarnation pool.Incarnation
	usable      bool                              // the engine is known and not leaving
	phase       func(model string) pool.ItemPhase // 0 if the model is absent
}

// observe records progress if the engine carries out an order of the change now.
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

// outcome returns how the change ended, or running if it has not. A change that takes
// longer than any load, or for which no order is carried out, is abandoned, so that the
// next plan starts from what the engine holds.
func (c *change) outcome(now clock.Instant, e engineState) outcome {
	switch {
	case !e.usable:
		return engineGone
	case e.incarnation != c.incarnation:
		// The effect of earlier orders is gone. A load restarted under this change would
		// not be counted against the weight store's rate.
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

// nextOrder returns the order that the change needs now; due is false if there is none.
// Evicted models are dropped first, one after the other. An order without effect is
// requested again after orderRetryInterval: it may have been lost with the instance that
// got the request.
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

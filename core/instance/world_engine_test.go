package instance

import (
	"time"

	"github.com/birchdrift/birchdrift/core/own/book"
	"github.com/birchdrift/birchdrift/core/own/planner"
	"github.com/birchdrift/birchdrift/core/pool"
)

// This file simulates the engines of a world and how they execute orders.

func (w *world) readState(n *node, a planner.ReadState) {
	e := w.engines[a.Engine]
	w.send(n, w.engineReachable(n, w.zoneOf(e.name)), func() func() {
		s := e.state()
		return func() { w.step(n, planner.StateReply{Engine: a.Engine, State: s}) }
	}, func(bool) { w.step(n, planner.StateReply{Engine: a.Engine, Err: errLost}) })
}

func (w *world) zoneOf(engine string) string {
	for _, e := range w.doc.Engines {
		if e.Name == engine {
			return e.Zone
		}
	}
	return ""
}

func (w *world) sendOrder(n *node, a planner.SendOrder) {
	e := w.engines[a.Order.Engine]
	reply := planner.OrderReply{Engine: e.name, Fence: a.Order.Fence, Seq: a.Order.Seq}
	w.send(n, w.engineReachable(n, w.zoneOf(e.name)), func() func() {
		if w.beforeOrder != nil {
			w.beforeOrder(n, e, a.Order)
		}
		reply.Outcome = w.executeOrder(e, a.Order)
		reply.State = e.state()
		return func() { w.step(n, reply) }
	}, func(notSent bool) {
		reply.Outcome = planner.OrderLost
		if notSent && !w.engineReachable(n, w.zoneOf(e.name))() {
			reply.Outcome = planner.OrderNotSent
		}
		w.step(n, reply)
	})
}

// executeOrder executes an order as a real engine does. An order for more memory than the engine
// has is a violation.
func (w *world) executeOrder(e *fakeEngine, o book.Order) planner.OrderOutcome {
	if e.checksFence {
		if o.Fence < e.fence {
			return planner.OrderFenced
		}
		if o.Fence == e.fence && o.Seq <= e.lastOrder {
			return planner.OrderRefused
		}
		e.fence, e.lastOrder = o.Fence, o.Seq
	}
	switch o.Op {
	case book.Load:
		return w.load(e, o)
	case book.Unload:
		it := e.items[o.Item]
		if it == nil || it.phase == pool.Unloading {
			return planner.OrderAccepted
		}
		it.phase = pool.Unloading
		e.change++
		e.unloads++
		w.after(time.Duration(w.rng.Int64N(int64(2*time.Second)))+1, func() {
			if e.items[o.Item] == it {
				delete(e.items, o.Item)
				e.change++
			}
		})
	}
	return planner.OrderAccepted
}

func (w *world) load(e *fakeEngine, o book.Order) planner.OrderOutcome {
	if e.items[o.Item] != nil {
		return planner.OrderAccepted
	}
	var used int64
	for _, it := range e.items {
		used += it.mib
	}
	if used+o.MiB > e.capacity {
		e.overcommits++
		w.reportViolation("%s: overcommit: %d MiB used, %d MiB requested, %d MiB capacity", e.name, used, o.MiB, e.capacity)
		return planner.OrderRefused
	}
	it := &fakeItem{phase: pool.Loading, mib: o.MiB}
	e.items[o.Item] = it
	e.change++
	e.loads++
	w.after(time.Duration(w.rng.Int64N(int64(3*time.Second)))+1, func() {
		if e.items[o.Item] == it && it.phase == pool.Loading {
			it.phase = pool.Ready
			e.change++
		}
	})
	return planner.OrderAccepted
}

func (e *fakeEngine) state() pool.State {
	e.stateSeq++
	s := pool.State{
		Residency: pool.Residency{Boot: e.boot, Change: e.change, Leaving: e.leaving},
		Load:      pool.Load{Boot: e.boot, Seq: e.stateSeq},
		Fence:     e.fence, LastOrder: e.lastOrder,
	}
	for name, it := range e.items {
		s.Residency.Items = append(s.Residency.Items, pool.Item{Name: name, Phase: it.phase})
	}
	return s
}

// restart resets an engine to the empty state of a new process.
func (e *fakeEngine) restart() {
	e.boot++
	e.change, e.stateSeq, e.fence, e.lastOrder, e.leaving = 0, 0, 0, 0, false
	e.items = map[string]*fakeItem{}
}

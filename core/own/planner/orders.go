package planner

import (
	"github.com/birchdrift/birchdrift/core/backoff"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/own/book"
	"github.com/birchdrift/birchdrift/core/own/plan"
	"github.com/birchdrift/birchdrift/core/pool"
)

// This file sends orders to the zone's engines and updates the ledgers of their memory.

// applyState applies an engine's state to its ledger. answered is the Seq of the order
// that the state answers, or 0. A state of an engine that checks fences is applied only
// if it shows this holder's fence: before that, orders of another holder could still
// change the state.
func (p *Planner) applyState(now clock.Instant, l *book.Ledger, s pool.State, answered uint64) {
	r := p.Pool.Get(l.Name())
	if r == nil {
		return
	}
	if r.ChecksFence && s.Fence != p.fence && !p.Options.Disable.Fences {
		if s.Fence > p.fence {
			p.Out.Log(logevent.OrderFenced, "engine", r.Name, "fence", s.Fence)
			p.loseLease(logevent.LeaseLost)
		} else if l.StateKnown() && s.Residency.Boot > l.Boot() {
			// The engine restarted and lost its fence, which must be raised again first.
			p.ledgers[r.Name] = l.AfterRestart()
			p.retries[r.Name] = &orderRetry{backoff: backoff.New(readBackoffBase, readBackoffMax)}
		}
		return
	}
	if !r.ChecksFence && !p.intents.owned && !p.Options.Disable.Intents {
		return
	}
	l.Observe(s, p.fence, answered, p.Config.ItemMemoryMiB)
	p.trackResidents(now, r.Name, s.Residency)
	p.settleIntents()
}

// trackResidents records since when each item of the engine has been resident, and removes
// the items that are no longer resident.
func (p *Planner) trackResidents(now clock.Instant, engine string, res pool.Residency) {
	for _, it := range res.Items {
		key := placement{engine, it.Name}
		if _, ok := p.residentSince[key]; !ok {
			p.residentSince[key] = now
		}
	}
	for key := range p.residentSince {
		if key.engine == engine && !hasItem(res, key.item) {
			delete(p.residentSince, key)
		}
	}
}

func hasItem(res pool.Residency, item string) bool {
	for _, it := range res.Items {
		if it.Name == item {
			return true
		}
	}
	return false
}

// raiseFences sends the fence to engines that have not confirmed it, and to those with
// unconfirmed orders, which the engine's answer settles.
func (p *Planner) raiseFences(now clock.Instant) {
	for _, r := range p.Pool.All() {
		l := p.ledgers[r.Name]
		if l == nil || !r.ChecksFence || p.Options.Disable.Fences {
			continue
		}
		retry := p.retries[r.Name]
		if now.Before(retry.due) || (l.StateKnown() && len(l.Unconfirmed()) == 0) {
			continue
		}
		retry.backoff = retry.backoff.WithFailure()
		retry.due = now.Add(retry.backoff.Delay(p.Rand))
		o := book.Order{Engine: r.Name, Fence: p.fence, Seq: p.nextSeq(), Op: book.RaiseFence}
		l.Reserve(o)
		p.Out.Emit(SendOrder{Address: r.Address, Order: o})
	}
}

// executeStep reserves memory for a step of the plan and sends its order, or queues the
// order until its intent is written.
func (p *Planner) executeStep(now clock.Instant, s plan.Step) {
	r := p.Pool.Get(s.Engine)
	l := p.ledgers[s.Engine]
	if r == nil || l == nil || !p.mayOrder(now, r) {
		return
	}
	o := book.Order{Engine: s.Engine, Fence: p.fence, Seq: p.nextSeq(), Op: s.Op, Item: s.Item, MiB: s.MiB}
	if !l.Reserve(o) && !p.Options.Disable.Booking {
		p.Out.Log(logevent.OvercommitAverted, "engine", s.Engine, "op", s.Op.String(), "item", s.Item)
		return
	}
	if s.Op == book.Load {
		p.loads.tokens--
	}
	if s.Starving {
		p.starvingServedAt = now
	}
	if r.ChecksFence || p.Options.Disable.Intents {
		p.send(o, r)
		return
	}
	p.intents.queued = append(p.intents.queued, o)
	p.intents.list = append(p.intents.list, intentOf(o))
	p.intents.dirty = true
}

// send logs an order and sends it to the engine.
func (p *Planner) send(o book.Order, r *pool.Replica) {
	p.Out.Log(logevent.Order, "engine", o.Engine, "op", o.Op.String(), "item", o.Item, "mib", o.MiB, "fence", o.Fence, "seq", o.Seq)
	p.Out.Emit(SendOrder{Address: r.Address, Order: o})
}

// HandleOrderReply handles the outcome of an order.
func (p *Planner) HandleOrderReply(now clock.Instant, e OrderReply) {
	l := p.ledgers[e.Engine]
	if l == nil || e.Fence != p.fence {
		return
	}
	op, _ := l.OpenOp(e.Seq)
	switch e.Outcome {
	case OrderAccepted:
		p.countOrder(op)
		if retry := p.retries[e.Engine]; retry != nil {
			retry.backoff = retry.backoff.WithSuccess()
		}
		p.observe(now, e.Engine, e.State)
		p.applyState(now, l, e.State, e.Seq)
	case OrderRefused:
		if op != book.RaiseFence {
			p.Out.Log(logevent.OrderRefused, "engine", e.Engine, "seq", e.Seq, "detail", e.Detail)
		}
		l.MarkRefused(e.Seq)
		p.observe(now, e.Engine, e.State)
		p.applyState(now, l, e.State, e.Seq)
	case OrderFenced:
		p.Out.Log(logevent.OrderFenced, "engine", e.Engine, "seq", e.Seq)
		p.loseLease(logevent.LeaseLost)
	case OrderNotSent:
		l.MarkNotSent(e.Seq)
	case OrderLost:
		p.Out.Log(logevent.OrderLost, "engine", e.Engine, "seq", e.Seq, "detail", e.Detail)
		l.MarkLost(e.Seq)
		if retry := p.retries[e.Engine]; retry != nil {
			retry.due = now
		}
	}
	p.settleIntents()
}

// countOrder counts an accepted order. Raised fences are not counted.
func (p *Planner) countOrder(op book.Op) {
	switch op {
	case book.Load:
		p.orderCounts.Loads++
	case book.Unload:
		p.orderCounts.Unloads++
	}
}

package planner

import (
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/own/book"
)

// This file handles intents, which protect a zone whose engines do not check fences. Every
// order to such an engine is written to the platform's value before it is sent. A new
// lease holder rewrites that value by compare-and-swap before it reads any state: from
// then on the former holder's writes fail, so it cannot send any order that the new holder
// has not seen.

// intentOf returns the intent to write for an order.
func intentOf(o book.Order) Intent {
	return Intent{Engine: o.Engine, Op: uint8(o.Op), Item: o.Item, MiB: o.MiB, Seq: o.Seq, Fence: o.Fence}
}

// order returns the order that the intent records.
func (i Intent) order(now clock.Instant) book.Order {
	return book.Order{Engine: i.Engine, Op: book.Op(i.Op), Item: i.Item, MiB: i.MiB, Seq: i.Seq, Fence: i.Fence}
}

// HandleIntentsReply handles the reply to a read or a write of the intents.
func (p *Planner) HandleIntentsReply(now clock.Instant, e IntentsReply) {
	p.intents.inFlight = false
	p.Outage.Observe(now, e.Err)
	if !p.IsPlanner() {
		return
	}
	switch {
	case e.Err != nil:
		// A write whose answer is lost may have taken effect. Reading the value shows
		// whether it did; until then no order that waits for the write is sent.
		p.rereadIntents(now, now.Add(p.Outage.Wait(p.Rand)))
	case e.Conflict:
		// Either a later holder wrote the value, or an earlier write of this instance
		// whose answer was lost took effect. The fence in the value shows which.
		p.rereadIntents(now, now)
	case e.Read:
		p.handleIntentsRead(e)
	default:
		p.handleIntentsWritten(now, e)
	}
}

// rereadIntents schedules a read of the zone's intents at due.
func (p *Planner) rereadIntents(now clock.Instant, due clock.Instant) {
	in := &p.intents
	in.reread = true
	in.due = due
	p.rereadIntentsIfDue(now)
}

// rereadIntentsIfDue sends the scheduled read of the intents if it is due and no other read
// or write is in flight.
func (p *Planner) rereadIntentsIfDue(now clock.Instant) {
	in := &p.intents
	if !in.reread || in.inFlight || now.Before(in.due) {
		return
	}
	in.reread = false
	in.inFlight = true
	p.Out.Emit(ReadIntents{})
}

// handleIntentsRead takes over the intents of an earlier holder, or finds out whether
// this instance's own write took effect.
func (p *Planner) handleIntentsRead(e IntentsReply) {
	in := &p.intents
	if e.Intents.Fence > p.fence {
		p.loseLease(logevent.IntentsConflict)
		return
	}
	in.revision = e.Revision
	if e.Intents.Fence != p.fence {
		in.list = e.Intents.Intents
		p.renumber()
	}
	in.dirty = true
	p.flushIntents()
}

// renumber gives inherited intents sequence numbers and the fence of this tenure, so that
// they cannot be confused with orders of the tenure itself.
func (p *Planner) renumber() {
	for i := range p.intents.list {
		p.intents.list[i].Seq = p.nextSeq()
		p.intents.list[i].Fence = p.fence
	}
}

// handleIntentsWritten sends the orders whose intents were written. The first write of a
// tenure completes the takeover: from then on the inherited intents count as outstanding
// orders in the ledgers.
func (p *Planner) handleIntentsWritten(now clock.Instant, e IntentsReply) {
	in := &p.intents
	in.revision = e.Revision
	if !in.owned {
		in.owned = true
		for _, i := range in.list {
			if l := p.ledgers[i.Engine]; l != nil {
				l.AddInherited(i.order(now))
			}
		}
	}
	p.sendQueued(now, e.Intents)
	p.flushIntents()
}

// sendQueued sends the queued orders whose intents the platform now holds.
func (p *Planner) sendQueued(now clock.Instant, written Intents) {
	in := &p.intents
	isWritten := make(map[uint64]bool, len(written.Intents))
	for _, i := range written.Intents {
		isWritten[i.Seq] = true
	}
	var remaining []book.Order
	for _, o := range in.queued {
		r := p.Pool.Get(o.Engine)
		l := p.ledgers[o.Engine]
		switch {
		case !isWritten[o.Seq]:
			remaining = append(remaining, o)
		case r == nil || l == nil || !p.mayOrder(now, r):
			if l != nil {
				l.MarkNotSent(o.Seq)
			}
		default:
			p.send(o, r)
		}
	}
	in.queued = remaining
}

// resendUnconfirmed resends orders whose answers are lost to engines that do not check
// fences. Both operations may be repeated, and only an answer, or a state that shows the
// effect, settles them.
func (p *Planner) resendUnconfirmed(now clock.Instant) {
	for _, r := range p.Pool.All() {
		l := p.ledgers[r.Name]
		if l == nil || r.ChecksFence || !p.mayOrder(now, r) {
			continue
		}
		retry := p.retries[r.Name]
		unconfirmed := l.Unconfirmed()
		if len(unconfirmed) == 0 || now.Before(retry.due) {
			continue
		}
		retry.backoff = retry.backoff.WithFailure()
		retry.due = now.Add(retry.backoff.Delay(p.Rand))
		for _, o := range unconfirmed {
			p.send(o, r)
		}
	}
}

// settleIntents removes the intents whose orders are settled.
func (p *Planner) settleIntents() {
	in := &p.intents
	if !in.owned {
		return
	}
	var remaining []Intent
	for _, i := range in.list {
		if l := p.ledgers[i.Engine]; l != nil && l.IsOpen(i.Seq) {
			remaining = append(remaining, i)
		}
	}
	if len(remaining) != len(in.list) {
		in.list = remaining
		in.dirty = true
	}
}

// flushIntents writes the list if it changed and no read or write is pending. Removing an
// intent causes no write by itself: the shorter list is written with the next order, at
// the latest by the next plan, so that most orders cost one write.
func (p *Planner) flushIntents() {
	in := &p.intents
	if in.inFlight || in.reread || !in.dirty || p.fence == 0 {
		return
	}
	in.inFlight = true
	in.dirty = false
	list := append([]Intent(nil), in.list...)
	p.Out.Emit(WriteIntents{Intents: Intents{Fence: p.fence, Intents: list}, Revision: in.revision})
}

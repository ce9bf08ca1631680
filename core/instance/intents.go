package instance

import (
	"github.com/birchdrift/birchdrift/core/book"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
)

// Intents keep a zone safe whose engines do not check who orders them. Every
// order to such an engine stands in the platform's value before it is sent. A
// new holder rewrites that value by compare-and-swap before it reads anything:
// from then on the former holder's writes fail, so it can send nothing that
// the new one has not seen.

func intentOf(o book.Order) Intent {
	return Intent{Engine: o.Engine, Op: uint8(o.Op), Item: o.Item, MiB: o.MiB, Seq: o.Seq, Fence: o.Fence}
}

func (i Intent) order() book.Order {
	return book.Order{Engine: i.Engine, Op: book.Op(i.Op), Item: i.Item, MiB: i.MiB, Seq: i.Seq, Fence: i.Fence}
}

// intentsReply answers the read at a take-over or a write of the list.
func (m *Machine) intentsReply(e IntentsReply) {
	p := &m.planner
	p.intents.flying = false
	m.platformSays(e.Err)
	if !m.planning() {
		return
	}
	switch {
	case e.Err != nil:
		// A lost answer may have taken effect. Reading back tells; until then
		// nothing is sent that waits for it.
		m.rereadIntents(m.now.Add(m.platform.backoff.Wait(m.rng)))
	case e.Conflict:
		// Either a later holder wrote, or an own write whose answer was lost
		// has landed. The fence in the value tells which.
		m.rereadIntents(m.now)
	case e.Read:
		m.intentsRead(e)
	default:
		m.intentsWritten(e)
	}
}

// rereadIntents has the zone's intents read again at due.
func (m *Machine) rereadIntents(due clock.Instant) {
	in := &m.planner.intents
	in.reread = true
	in.due = due
	m.rereadDue()
}

func (m *Machine) rereadDue() {
	in := &m.planner.intents
	if !in.reread || in.flying || m.now.Before(in.due) {
		return
	}
	in.reread = false
	in.flying = true
	m.out.Do(ReadIntents{})
}

// intentsRead takes over what an earlier holder left, or finds out what came
// of an own write.
func (m *Machine) intentsRead(e IntentsReply) {
	p := &m.planner
	in := &p.intents
	if e.Intents.Fence > p.fence {
		m.loseLease(logevent.IntentsLost)
		return
	}
	in.revision = e.Revision
	if e.Intents.Fence != p.fence {
		in.list = e.Intents.Intents
		m.renumber()
	}
	in.dirty = true
	m.flushIntents()
}

// renumber gives inherited intents sequence numbers of this fence, so that
// they cannot be taken for orders of its own.
func (m *Machine) renumber() {
	p := &m.planner
	for i := range p.intents.list {
		p.intents.list[i].Seq = p.nextSeq()
		p.intents.list[i].Fence = p.fence
	}
}

func (m *Machine) intentsWritten(e IntentsReply) {
	p := &m.planner
	in := &p.intents
	in.revision = e.Revision
	if !in.owned {
		in.owned = true
		for _, i := range in.list {
			if l := p.ledgers[i.Engine]; l != nil {
				l.Inherit(i.order())
			}
		}
	}
	m.sendQueued(e.Intents)
	m.flushIntents()
}

// sendQueued sends the orders whose intents the platform now holds.
func (m *Machine) sendQueued(written Intents) {
	in := &m.planner.intents
	stands := make(map[uint64]bool, len(written.Intents))
	for _, i := range written.Intents {
		stands[i.Seq] = true
	}
	var rest []book.Order
	for _, o := range in.queued {
		r := m.pool.Get(o.Engine)
		l := m.planner.ledgers[o.Engine]
		switch {
		case !stands[o.Seq]:
			rest = append(rest, o)
		case r == nil || l == nil || !m.mayOrder(r):
			if l != nil {
				l.NotSent(o.Seq)
			}
		default:
			m.send(o, r)
		}
	}
	in.queued = rest
}

// resendUnsure sends orders whose answers are lost again, to engines that check
// nothing: both operations may be repeated, and only a state that shows their
// effect, or an answer, settles them.
func (m *Machine) resendUnsure() {
	for _, r := range m.pool.All() {
		l := m.planner.ledgers[r.Name]
		if l == nil || r.ChecksFence || !m.mayOrder(r) {
			continue
		}
		ra := m.planner.raises[r.Name]
		unsure := l.Unsure()
		if len(unsure) == 0 || m.now.Before(ra.due) {
			continue
		}
		ra.backoff = ra.backoff.WithFailure()
		ra.due = m.now.Add(ra.backoff.Wait(m.rng))
		for _, o := range unsure {
			m.send(o, r)
		}
	}
}

// settleIntents drops the intents whose orders are settled.
func (m *Machine) settleIntents() {
	in := &m.planner.intents
	if !in.owned {
		return
	}
	var rest []Intent
	for _, i := range in.list {
		if l := m.planner.ledgers[i.Engine]; l != nil && l.IsOpen(i.Seq) {
			rest = append(rest, i)
		}
	}
	if len(rest) != len(in.list) {
		in.list = rest
		in.dirty = true
	}
}

// flushIntents writes the list if it changed and no write is under way. Lists
// that only shrank wait for the next order, up to the next plan, so that most
// orders cost one write.
func (m *Machine) flushIntents() {
	in := &m.planner.intents
	if in.flying || in.reread || !in.dirty || m.planner.fence == 0 {
		return
	}
	in.flying = true
	in.dirty = false
	list := append([]Intent(nil), in.list...)
	m.out.Do(WriteIntents{Intents: Intents{Fence: m.planner.fence, Intents: list}, Revision: in.revision})
}

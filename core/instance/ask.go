package instance

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/orders"
)

// Asking the owners of engines for orders, and the calls that wait for what was
// asked for.

// An askKey names an order asked for.
type askKey struct {
	engine  string
	request orders.Request
}

// An ask is an order asked for and not settled.
type ask struct {
	calls []CallID // that go to the engine once it is done
	since clock.Instant
}

// refusedFor is how long an order that was refused is not asked for again.
const refusedFor = 300 * time.Millisecond

// mayAsk reports whether an order of an engine can be asked for now.
func (m *Machine) mayAsk(key askKey) bool {
	if at, ok := m.refused[key]; ok {
		if m.now.Since(at) < refusedFor {
			return false
		}
		delete(m.refused, key)
	}
	return m.ownerReachable(key.engine)
}

// ownerReachable reports whether somebody is known who orders the engine.
func (m *Machine) ownerReachable(engine string) bool {
	if e := m.engines[engine]; e != nil {
		return m.orderable(e)
	}
	o, ok := m.registry.owners[engine]
	if !ok || o.Owner == "" || o.Owner == m.self.Name {
		return false
	}
	p := m.members.Get(o.Owner)
	return p != nil && !p.Leaving && !p.Failing()
}

// askFor asks the owner of an engine for an order, once however many calls wait
// for it.
func (m *Machine) askFor(key askKey, call *call) {
	a := m.asks[key]
	if a == nil {
		a = &ask{since: m.now}
		m.asks[key] = a
	} else if call != nil {
		a.calls = append(a.calls, call.ID)
		return
	}
	if call != nil {
		a.calls = append(a.calls, call.ID)
	}
	if e := m.engines[key.engine]; e != nil {
		m.request(e, key.request, waiter{})
		return
	}
	o := m.registry.owners[key.engine]
	p := m.members.Get(o.Owner)
	if p == nil {
		m.askSettled(key, AskFailed, "its owner is not known")
		return
	}
	m.out.Do(AskOrder{Peer: p.Name, Address: p.Address, Engine: key.engine, Request: key.request})
}

func (m *Machine) askOrderReply(r AskOrderReply) {
	m.askSettled(askKey{r.Engine, r.Request}, r.Outcome, r.Detail)
}

// askSettled takes in what came of an order asked for: the calls that wait for
// it go to the engine, or look for another.
func (m *Machine) askSettled(key askKey, outcome AskOutcome, detail string) {
	a := m.asks[key]
	if a == nil {
		return
	}
	delete(m.asks, key)
	if outcome == AskDone && key.request.Load {
		m.pool.Hold(key.engine, key.request.Item())
	}
	if outcome == AskRefused || outcome == AskFailed {
		m.refused[key] = m.now
	}
	for _, id := range a.calls {
		if c := m.calls[id]; c != nil && c.phase == fetching {
			c.phase = waiting
			m.placeForward(c)
		}
	}
}

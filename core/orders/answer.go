package orders

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

// Recording orders and their answers in the ledger.

// RecordSent records a request that Check allowed as in flight; the order's Expect is
// Sequence.
func (l *Ledger) RecordSent(r Request) {
	l.inFlight = &r
	it := itemState{model: r.Model, adapter: r.Adapter, phase: pool.Loading}
	if !r.Load {
		it = l.items[r.Item()]
		it.phase = pool.Unloading
		it.unloadMarked = false
	}
	l.setItem(r.Item(), it)
}

// RecordAccepted records that the engine carries out the order in flight. adapterTime is
// the expected time that an adapter takes to load.
func (l *Ledger) RecordAccepted(now clock.Instant, adapterTime time.Duration) {
	r := l.inFlight
	if r == nil {
		return
	}
	l.inFlight = nil
	l.sequence++
	if r.Adapter == "" {
		return
	}
	it := l.items[r.Item()]
	if r.Load {
		it.readyAt = now.Add(adapterTime)
		it.usedAt = now
	} else {
		it.readyAt = now.Add(adapterUnloadTime)
	}
	l.setItem(r.Item(), it)
}

// RecordNoChange records that the engine already was in the state that the order in
// flight asked for, or reached it at once. An adapter that no call uses is unloaded at
// once, which counts as an accepted order.
func (l *Ledger) RecordNoChange() {
	r := l.inFlight
	if r == nil {
		return
	}
	l.inFlight = nil
	if !r.Load {
		l.removeItem(r.Item())
		l.sequence++
		return
	}
	it := l.items[r.Item()]
	it.phase = pool.Ready
	l.setItem(r.Item(), it)
}

// RecordFailed records that the order in flight was not carried out and never will be: it
// was not sent, or the engine rejected it.
func (l *Ledger) RecordFailed() {
	r := l.inFlight
	if r == nil {
		return
	}
	l.inFlight = nil
	it := l.items[r.Item()]
	if r.Load {
		l.removeItem(r.Item())
		return
	}
	it.phase = pool.Ready
	l.setItem(r.Item(), it)
}

// RecordLost records that the answer to the order in flight is lost, and returns its
// request; ok is false if no order is in flight. The effect of the order stays in the
// ledger until the engine's state is queried.
func (l *Ledger) RecordLost() (r Request, ok bool) {
	if l.inFlight == nil {
		return r, false
	}
	r = *l.inFlight
	l.inFlight = nil
	l.uncertain = true
	return r, true
}

// RecordConflict records that the engine has accepted a different number of orders than
// the ledger says; its state must be queried.
func (l *Ledger) RecordConflict() {
	l.RecordFailed()
	l.uncertain = true
}

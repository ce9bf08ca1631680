package orders

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

// How the ledger books an order, and takes in what came of it.

// RecordSent books a request that Check allowed; Expect of the order is Sequence.
func (e *Ledger) RecordSent(r Request) {
	e.inFlight = &r
	h := itemState{model: r.Model, adapter: r.Adapter, phase: pool.Loading}
	if !r.Load {
		h = e.items[r.Item()]
		h.phase = pool.Unloading
		h.unloadMarked = false
	}
	e.setItem(r.Item(), h)
}

// RecordAccepted notes that the engine carries the order in flight out. adapterTime is
// how long an adapter is believed to be on its way.
func (e *Ledger) RecordAccepted(now clock.Instant, adapterTime time.Duration) {
	r := e.inFlight
	if r == nil {
		return
	}
	e.inFlight = nil
	e.sequence++
	if r.Adapter == "" {
		return
	}
	h := e.items[r.Item()]
	if r.Load {
		h.readyAt = now.Add(adapterTime)
		h.usedAt = now
	} else {
		h.readyAt = now.Add(adapterUnloadTime)
	}
	e.setItem(r.Item(), h)
}

// RecordNoChange notes that what the order in flight asked for is so already, or at
// once. An adapter that no request uses is unloaded at once, which counts as an
// order that was taken.
func (e *Ledger) RecordNoChange() {
	r := e.inFlight
	if r == nil {
		return
	}
	e.inFlight = nil
	if !r.Load {
		e.removeItem(r.Item())
		e.sequence++
		return
	}
	h := e.items[r.Item()]
	h.phase = pool.Ready
	e.setItem(r.Item(), h)
}

// RecordFailed notes that the order in flight was not carried out and never will be:
// it never left, or the engine said so.
func (e *Ledger) RecordFailed() {
	r := e.inFlight
	if r == nil {
		return
	}
	e.inFlight = nil
	h := e.items[r.Item()]
	if r.Load {
		e.removeItem(r.Item())
		return
	}
	h.phase = pool.Ready
	e.setItem(r.Item(), h)
}

// RecordLost notes that the answer of the order in flight is lost, and returns what it asked
// for. What it would do stays booked until the engine is asked.
func (e *Ledger) RecordLost() (r Request, ok bool) {
	if e.inFlight == nil {
		return r, false
	}
	r = *e.inFlight
	e.inFlight = nil
	e.uncertain = true
	return r, true
}

// RecordConflict notes that the engine has taken another number of orders than
// was believed; it must be asked.
func (e *Ledger) RecordConflict() {
	e.RecordFailed()
	e.uncertain = true
}

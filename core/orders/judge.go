package orders

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

// What may be ordered now, by what the ledger holds.

// A CheckResult says what may be done with a request.
type CheckResult int

// The verdicts.
const (
	Allowed       CheckResult = iota + 1 // it may be sent
	NoChange                             // what it asks for is so already
	InProgress                           // it is on its way already
	NotNow                               // an order is without an answer, or the engine is busy
	NoCapacity                           // memory or slots are missing
	ModelNotReady                        // the adapter's model is not there
	StateUnknown                         // the engine's state is not known yet
	SizeUnknown                          // the model is not configured
	NotLoaded                            // what should be unloaded is not there
)

// otherModelBusy reports whether a model other than item is on its way in or out.
func (e *Ledger) otherModelBusy(item string) bool {
	for name, h := range e.items {
		if h.adapter == "" && h.phase != pool.Ready && name != item {
			return true
		}
	}
	return false
}

// MarkUnloading has a model that is there count as on its way out, so that no more
// calls are sent to it, before it is ordered out. UnmarkUnloading takes that back.
func (e *Ledger) MarkUnloading(model string) {
	if h, ok := e.items[model]; ok && h.phase == pool.Ready {
		h.phase = pool.Unloading
		h.unloadMarked = true
		e.setItem(model, h)
	}
}

// UnmarkUnloading takes a MarkUnloading back that no order has followed.
func (e *Ledger) UnmarkUnloading(model string) {
	if h, ok := e.items[model]; ok && h.unloadMarked {
		h.phase = pool.Ready
		h.unloadMarked = false
		e.setItem(model, h)
	}
}

// Check says what may be done with a request now.
func (e *Ledger) Check(r Request) CheckResult {
	if !e.Known() {
		return StateUnknown
	}
	h, here := e.items[r.Item()]
	if !r.Load {
		return e.checkUnload(r, h, here)
	}
	switch {
	case here && h.phase == pool.Ready:
		return NoChange
	case here && h.phase == pool.Loading:
		return InProgress
	case here, e.inFlight != nil:
		return NotNow
	}
	modelMB, adapterMB, ok := e.sizes(r.Model)
	if !ok {
		return SizeUnknown
	}
	if r.Adapter == "" {
		return e.checkModel(modelMB)
	}
	return e.checkAdapter(r, adapterMB)
}

func (e *Ledger) checkUnload(r Request, h itemState, here bool) CheckResult {
	switch {
	case !here:
		return NotLoaded
	case h.phase == pool.Unloading && !h.unloadMarked:
		return InProgress
	case e.inFlight != nil || e.otherModelBusy(r.Item()) || h.phase == pool.Loading:
		return NotNow
	default:
		return Allowed
	}
}

func (e *Ledger) checkModel(mb int64) CheckResult {
	if e.Busy() {
		return NotNow
	}
	if mb > e.FreeMB() {
		return NoCapacity
	}
	return Allowed
}

func (e *Ledger) checkAdapter(r Request, mb int64) CheckResult {
	model, here := e.items[r.Model]
	if !here || model.phase != pool.Ready {
		return ModelNotReady
	}
	if e.loadingAdapters() >= maxLoadingAdapters {
		return NotNow
	}
	if mb > e.FreeMB() || e.usedSlots() >= e.limits.AdapterSlots {
		return NoCapacity
	}
	return Allowed
}

func (e *Ledger) loadingAdapters() int {
	n := 0
	for _, h := range e.items {
		if h.adapter != "" && h.phase == pool.Loading {
			n++
		}
	}
	return n
}

// usedSlots returns the adapter usedSlots in use; one whose unload has no proof yet
// still takes its slot.
func (e *Ledger) usedSlots() int {
	n := e.delayedSlots()
	for _, h := range e.items {
		if h.adapter != "" {
			n++
		}
	}
	return n
}

// FreeMB returns the memory that nothing holds, in MB.
func (e *Ledger) FreeMB() int64 {
	late, ok := e.delayedMB()
	if !ok {
		return 0
	}
	free := e.limits.MemoryMB - late
	for _, h := range e.items {
		modelMB, adapterMB, ok := e.sizes(h.model)
		switch {
		case !ok:
			return 0 // it holds what nobody can size
		case h.adapter == "":
			free -= modelMB
		default:
			free -= adapterMB
		}
	}
	return free
}

// IdleAdapter returns the ready adapter that was used least lately, if it has
// been idle for as long as idle.
func (e *Ledger) IdleAdapter(now clock.Instant, idle time.Duration) (Request, bool) {
	var best string
	for _, item := range e.sortedItems() {
		h := e.items[item]
		if h.adapter == "" || h.phase != pool.Ready || now.Since(h.usedAt) < idle {
			continue
		}
		if best == "" || h.usedAt.Before(e.items[best].usedAt) {
			best = item
		}
	}
	if best == "" {
		return Request{}, false
	}
	h := e.items[best]
	return Request{Model: h.model, Adapter: h.adapter}, true
}

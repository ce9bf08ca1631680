package orders

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

// Checking which orders the ledger allows now.

// A CheckResult says whether a request may be sent.
type CheckResult int

// The results of Check.
const (
	Allowed       CheckResult = iota + 1 // the order may be sent
	NoChange                             // the engine already is in the requested state
	InProgress                           // the engine is already getting there
	NotNow                               // an order is unanswered, or the engine is busy
	NoCapacity                           // memory or adapter slots are missing
	ModelNotReady                        // the adapter's model is not loaded
	StateUnknown                         // the engine's state is not known yet
	SizeUnknown                          // the model is not configured, so its size is unknown
	NotLoaded                            // the item to unload is not loaded
)

// otherModelBusy reports whether a model other than item is being loaded or unloaded.
func (e *Ledger) otherModelBusy(item string) bool {
	for name, h := range e.items {
		if h.adapter == "" && h.phase != pool.Ready && name != item {
			return true
		}
	}
	return false
}

// MarkUnloading marks a ready model as unloading before the order to unload it is sent,
// so that no more calls are sent to it. UnmarkUnloading reverts that.
func (e *Ledger) MarkUnloading(model string) {
	if h, ok := e.items[model]; ok && h.phase == pool.Ready {
		h.phase = pool.Unloading
		h.unloadMarked = true
		e.setItem(model, h)
	}
}

// UnmarkUnloading reverts a MarkUnloading that was not followed by an order.
func (e *Ledger) UnmarkUnloading(model string) {
	if h, ok := e.items[model]; ok && h.unloadMarked {
		h.phase = pool.Ready
		h.unloadMarked = false
		e.setItem(model, h)
	}
}

// Check returns what the ledger allows for a request now.
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
	if mb > e.FreeMB() || e.usedSlots() >= e.capacity.AdapterSlots {
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

// usedSlots returns the adapter slots in use. An adapter whose unload is not confirmed
// yet still takes its slot.
func (e *Ledger) usedSlots() int {
	n := e.delayedSlots()
	for _, h := range e.items {
		if h.adapter != "" {
			n++
		}
	}
	return n
}

// FreeMB returns the memory that no item or delayed order takes, in MB.
func (e *Ledger) FreeMB() int64 {
	late, ok := e.delayedMB()
	if !ok {
		return 0
	}
	free := e.capacity.MemoryMB - late
	for _, h := range e.items {
		modelMB, adapterMB, ok := e.sizes(h.model)
		switch {
		case !ok:
			return 0 // the size of an item is unknown
		case h.adapter == "":
			free -= modelMB
		default:
			free -= adapterMB
		}
	}
	return free
}

// IdleAdapter returns the least recently used ready adapter, if it has been idle for at
// least idle.
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

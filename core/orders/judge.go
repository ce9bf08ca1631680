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
	InProgress                           // an earlier order for this is being carried out
	NotNow                               // an order is unanswered, or the engine is busy
	NoCapacity                           // memory or adapter slots are missing
	ModelNotReady                        // the adapter's model is not loaded
	StateUnknown                         // the engine's state is not known yet
	SizeUnknown                          // the model is not configured, so its size is unknown
	NotLoaded                            // the item to unload is not loaded
)

// otherModelBusy reports whether a model other than item is being loaded or unloaded.
func (l *Ledger) otherModelBusy(item string) bool {
	for name, it := range l.items {
		if it.adapter == "" && it.phase != pool.Ready && name != item {
			return true
		}
	}
	return false
}

// MarkUnloading marks a ready model as unloading before the order to unload it is sent,
// so that no more calls are sent to it. UnmarkUnloading reverts that.
func (l *Ledger) MarkUnloading(model string) {
	if it, ok := l.items[model]; ok && it.phase == pool.Ready {
		it.phase = pool.Unloading
		it.unloadMarked = true
		l.setItem(model, it)
	}
}

// UnmarkUnloading reverts a MarkUnloading that was not followed by an order.
func (l *Ledger) UnmarkUnloading(model string) {
	if it, ok := l.items[model]; ok && it.unloadMarked {
		it.phase = pool.Ready
		it.unloadMarked = false
		l.setItem(model, it)
	}
}

// Check reports whether an order for the request may be sent now, and otherwise why not.
func (l *Ledger) Check(r Request) CheckResult {
	if !l.Known() {
		return StateUnknown
	}
	it, present := l.items[r.Item()]
	if !r.Load {
		return l.checkUnload(r, it, present)
	}
	switch {
	case present && it.phase == pool.Ready:
		return NoChange
	case present && it.phase == pool.Loading:
		return InProgress
	case present, l.inFlight != nil:
		return NotNow
	}
	modelMB, adapterMB, ok := l.sizes(r.Model)
	if !ok {
		return SizeUnknown
	}
	if r.Adapter == "" {
		return l.checkModel(modelMB)
	}
	return l.checkAdapter(r, adapterMB)
}

func (l *Ledger) checkUnload(r Request, it itemState, present bool) CheckResult {
	switch {
	case !present:
		return NotLoaded
	case it.phase == pool.Unloading && !it.unloadMarked:
		return InProgress
	case l.inFlight != nil || l.otherModelBusy(r.Item()) || it.phase == pool.Loading:
		return NotNow
	default:
		return Allowed
	}
}

func (l *Ledger) checkModel(mb int64) CheckResult {
	if l.Busy() {
		return NotNow
	}
	if mb > l.FreeMB() {
		return NoCapacity
	}
	return Allowed
}

func (l *Ledger) checkAdapter(r Request, mb int64) CheckResult {
	model, present := l.items[r.Model]
	if !present || model.phase != pool.Ready {
		return ModelNotReady
	}
	if l.loadingAdapters() >= maxLoadingAdapters {
		return NotNow
	}
	if mb > l.FreeMB() || l.usedSlots() >= l.capacity.AdapterSlots {
		return NoCapacity
	}
	return Allowed
}

// loadingAdapters returns the number of adapters that are being loaded.
func (l *Ledger) loadingAdapters() int {
	n := 0
	for _, it := range l.items {
		if it.adapter != "" && it.phase == pool.Loading {
			n++
		}
	}
	return n
}

// usedSlots returns the adapter slots in use. An adapter whose unload is not confirmed
// yet still takes its slot.
func (l *Ledger) usedSlots() int {
	n := l.delayedSlots()
	for _, it := range l.items {
		if it.adapter != "" {
			n++
		}
	}
	return n
}

// FreeMB returns the memory that no item or delayed order takes, in MB.
func (l *Ledger) FreeMB() int64 {
	delayedMB, ok := l.delayedMB()
	if !ok {
		return 0
	}
	free := l.capacity.MemoryMB - delayedMB
	for _, it := range l.items {
		modelMB, adapterMB, ok := l.sizes(it.model)
		switch {
		case !ok:
			return 0 // the size of an item is unknown
		case it.adapter == "":
			free -= modelMB
		default:
			free -= adapterMB
		}
	}
	return free
}

// IdleAdapter returns the least recently used ready adapter, if it has been idle for at
// least idle.
func (l *Ledger) IdleAdapter(now clock.Instant, idle time.Duration) (Request, bool) {
	var best string
	for _, item := range l.sortedItems() {
		it := l.items[item]
		if it.adapter == "" || it.phase != pool.Ready || now.Since(it.usedAt) < idle {
			continue
		}
		if best == "" || it.usedAt.Before(l.items[best].usedAt) {
			best = item
		}
	}
	if best == "" {
		return Request{}, false
	}
	it := l.items[best]
	return Request{Model: it.model, Adapter: it.adapter}, true
}

package orders

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

// Updating the ledger from the state that the engine reports.

// A State is the state that an engine reports.
type State struct {
	Sequence uint64 // number of orders that the engine has accepted
	Busy     bool   // an order for a model is being carried out
	Models   []pool.AnnouncedModel
	Coming   []string // item names of the adapters being loaded
}

// ObserveState updates the ledger with the engine's reply to a state query. It ignores a
// state that is older than an answered order, and every state while an order is in flight.
func (l *Ledger) ObserveState(now clock.Instant, s State) {
	if l.inFlight != nil || s.Sequence < l.sequence {
		return
	}
	l.replaceItems(now, s)
	l.known = true
	l.sequence = s.Sequence
	// A model that another owner ordered and that is still loading takes memory, and the
	// engine does not report which model it is: nothing may be ordered until it is done.
	model, _ := l.ModelInTransition()
	l.uncertain = s.Busy && model == ""
}

// ObserveModels updates the ledger with the models that the engine announces by itself.
// The engine announces its models when an order for a model is done. Its announcements of
// adapters come too late to be of use.
func (l *Ledger) ObserveModels(models []pool.AnnouncedModel) {
	if !l.known {
		return
	}
	present := make(map[string]bool, len(models))
	for _, m := range models {
		present[m.Name] = true
		if _, known := l.items[m.Name]; !known {
			l.uncertain = true // an abandoned order took effect late
		}
	}
	for _, item := range l.sortedItems() {
		it := l.items[item]
		if it.adapter != "" {
			continue
		}
		switch {
		case it.phase == pool.Loading && present[item]:
			it.phase = pool.Ready
			l.setItem(item, it)
		case it.phase == pool.Unloading && !present[item]:
			l.removeModel(item)
		}
	}
}

// replaceItems replaces the items of the ledger with those of the state. It keeps a model
// with an order in progress, since the engine does not report which model that is.
func (l *Ledger) replaceItems(now clock.Instant, s State) {
	items := make(map[string]itemState, len(l.items))
	for _, m := range s.Models {
		items[m.Name] = l.readyItem(now, m.Name, "")
		for _, a := range m.Adapters {
			items[pool.ItemName(m.Name, a)] = l.readyItem(now, m.Name, a)
		}
	}
	for _, item := range s.Coming {
		if items[item].model == "" {
			items[item] = l.loadingAdapter(now, item)
		}
	}
	for item, old := range l.items {
		if !s.Busy || old.adapter != "" || old.phase == pool.Ready {
			continue
		}
		items[item] = old
	}
	l.items = items
	l.version++
}

// maxAdapterLoadTime is how long an adapter that another owner ordered is assumed to take
// to load: several times the usual load time of adapters plus the age of the reported
// state.
const maxAdapterLoadTime = 300 * time.Millisecond

// loadingAdapter returns the state of an adapter that the engine reports as loading. It
// takes a slot whichever owner ordered it.
func (l *Ledger) loadingAdapter(now clock.Instant, item string) itemState {
	it, known := l.items[item]
	if !known {
		it.model, it.adapter = pool.SplitItem(item)
		it.readyAt = now.Add(maxAdapterLoadTime)
		it.usedAt = now
	}
	it.phase = pool.Loading
	return it
}

// readyItem returns the state of an item that the engine reports as ready. A new item
// counts as used now.
func (l *Ledger) readyItem(now clock.Instant, model, adapter string) itemState {
	it := l.items[pool.ItemName(model, adapter)]
	if it.model == "" {
		it.usedAt = now
	}
	it.model = model
	it.adapter = adapter
	it.phase = pool.Ready
	return it
}

// removeModel removes a model and its adapters.
func (l *Ledger) removeModel(model string) {
	for item, it := range l.items {
		if it.model == model {
			l.removeItem(item)
		}
	}
}

// Advance marks the adapters whose expected load time has passed as ready, expires
// delayed orders, and reports whether an adapter became ready. After the expected unload
// time of an adapter the engine's state must be queried.
func (l *Ledger) Advance(now clock.Instant) bool {
	l.expireDelayed(now)
	changed := false
	for item, it := range l.items {
		if it.adapter == "" || it.readyAt.IsZero() || now.Before(it.readyAt) {
			continue
		}
		switch it.phase {
		case pool.Loading:
			it.phase = pool.Ready
			l.setItem(item, it)
			changed = true
		case pool.Unloading:
			l.uncertain = true
		}
	}
	return changed
}

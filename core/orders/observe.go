package orders

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

// Updating the ledger from the state that the engine reports.

// A State is the state that an engine reports.
type State struct {
	Sequence uint64
	Busy     bool // an order for a model is being carried out
	Models   []pool.AnnouncedModel
	Coming   []string // item names of the adapters being loaded
}

// ObserveState updates the ledger with the engine's reply to a state query. A state that
// is older than an answered order is ignored.
func (e *Ledger) ObserveState(now clock.Instant, s State) {
	if e.inFlight != nil || s.Sequence < e.sequence {
		return
	}
	e.replaceItems(now, s)
	e.known = true
	e.sequence = s.Sequence
	// A model that is being loaded for another owner takes memory, and the engine does
	// not say which model it is: nothing may be ordered until it is done.
	model, _ := e.ModelInTransition()
	e.uncertain = s.Busy && model == ""
}

// ObserveModels updates the ledger with the models that the engine announces by itself.
// It does so when an order for a model is done; for adapters its announcements come too
// late.
func (e *Ledger) ObserveModels(models []pool.AnnouncedModel) {
	if !e.known {
		return
	}
	here := make(map[string]bool, len(models))
	for _, m := range models {
		here[m.Name] = true
		if _, held := e.items[m.Name]; !held {
			e.uncertain = true // an order that was given up took effect late
		}
	}
	for _, item := range e.sortedItems() {
		h := e.items[item]
		if h.adapter != "" {
			continue
		}
		switch {
		case h.phase == pool.Loading && here[item]:
			h.phase = pool.Ready
			e.setItem(item, h)
		case h.phase == pool.Unloading && !here[item]:
			e.removeModel(item)
		}
	}
}

// replaceItems replaces the items of the ledger by the state, except for a model with an
// order in progress: the engine does not say which one that is.
func (e *Ledger) replaceItems(now clock.Instant, s State) {
	next := make(map[string]itemState, len(e.items))
	for _, m := range s.Models {
		next[m.Name] = e.readyItem(now, m.Name, "")
		for _, a := range m.Adapters {
			next[pool.ItemName(m.Name, a)] = e.readyItem(now, m.Name, a)
		}
	}
	for _, item := range s.Coming {
		if next[item].model == "" {
			next[item] = e.loadingAdapter(now, item)
		}
	}
	for item, old := range e.items {
		if !s.Busy || old.adapter != "" || old.phase == pool.Ready {
			continue
		}
		next[item] = old
	}
	e.items = next
	e.version++
}

// maxAdapterLoadTime is how long an adapter that another owner ordered is assumed to take to
// load: several times the usual load time of adapters plus the age of the reported state.
const maxAdapterLoadTime = 300 * time.Millisecond

// loadingAdapter returns the state of an adapter that the engine reports as loading. It
// takes a slot whichever owner ordered it.
func (e *Ledger) loadingAdapter(now clock.Instant, item string) itemState {
	h, known := e.items[item]
	if !known {
		h.model, h.adapter = pool.SplitItem(item)
		h.readyAt = now.Add(maxAdapterLoadTime)
		h.usedAt = now
	}
	h.phase = pool.Loading
	return h
}

func (e *Ledger) readyItem(now clock.Instant, model, adapter string) itemState {
	h := e.items[pool.ItemName(model, adapter)]
	if h.model == "" {
		h.usedAt = now
	}
	h.model = model
	h.adapter = adapter
	h.phase = pool.Ready
	return h
}

// removeModel removes a model and its adapters.
func (e *Ledger) removeModel(model string) {
	for item, h := range e.items {
		if h.model == model {
			e.removeItem(item)
		}
	}
}

// Advance marks the adapters whose expected load time has passed as ready, expires
// delayed orders, and reports whether an adapter became ready.
func (e *Ledger) Advance(now clock.Instant) bool {
	e.expireDelayed(now)
	changed := false
	for item, h := range e.items {
		if h.adapter == "" || h.readyAt.IsZero() || now.Before(h.readyAt) {
			continue
		}
		switch h.phase {
		case pool.Loading:
			h.phase = pool.Ready
			e.setItem(item, h)
			changed = true
		case pool.Unloading:
			e.uncertain = true
		}
	}
	return changed
}

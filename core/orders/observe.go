package orders

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

// How the ledger takes in what the engine says of itself.

// A State is what an engine says of itself.
type State struct {
	Sequence uint64
	Busy     bool // an order on a model is under way
	Models   []pool.AnnouncedModel
	Coming   []string // adapters on their way, as items
}

// ObserveState takes in what the engine said when it was asked. One that is older
// than an order which was answered says nothing.
func (e *Ledger) ObserveState(now clock.Instant, s State) {
	if e.inFlight != nil || s.Sequence < e.sequence {
		return
	}
	e.replaceItems(now, s)
	e.known = true
	e.sequence = s.Sequence
	// A model that another owner's order brings takes memory, and the engine
	// does not say which it is: nothing may be ordered until it is done.
	model, _ := e.ModelInTransition()
	e.uncertain = s.Busy && model == ""
}

// ObserveModels takes in the models that the engine says, unasked, to hold. It does
// so when an order on a model is done; of adapters it says nothing in time.
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

// replaceItems takes the state as the whole truth, but for a model whose order is
// under way: the engine does not say which one that is.
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

// adapterLoadTime is how long an adapter that another owner ordered is believed to be on its
// way: several times what adapters take, and the age of what an engine says.
const adapterLoadTime = 300 * time.Millisecond

// loadingAdapter returns an adapter that the engine says is on its way. It takes a slot,
// whoever ordered it.
func (e *Ledger) loadingAdapter(now clock.Instant, item string) itemState {
	h, known := e.items[item]
	if !known {
		h.model, h.adapter = pool.SplitItem(item)
		h.readyAt = now.Add(adapterLoadTime)
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

// removeModel drops a model and its adapters.
func (e *Ledger) removeModel(model string) {
	for item, h := range e.items {
		if h.model == model {
			e.removeItem(item)
		}
	}
}

// Advance has adapters whose time on the way is over count as ready, and reports
// whether any does so now.
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

// Package orders provides what the owner of an engine knows and books of it:
// which orders it may give, and what the engine holds after them.
//
// The idea: every order names the number of orders that the engine must have
// taken before (Expect). An order that is held up on its way can then only take
// effect on the very state for which it was worked out; once any other order was
// taken, it is void. So an order without an answer needs no intent written down
// before it: the next one settles it.
//
// Invariants: at most one order is without an answer; no order asks for more
// memory or adapter slots than the engine has free after every order that it may
// have taken; nothing is ordered while the engine's own count is not known.
package orders

import (
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/pool"
)

// A Request asks for one order.
type Request struct {
	Load    bool // else unload
	Model   string
	Adapter string // "" for the model itself
}

// Item returns the name of what the request is about.
func (r Request) Item() string { return pool.ItemName(r.Model, r.Adapter) }

// A SizeFunc function gives the memory of a model and of one of its adapters, in
// MB; ok is false for a model that is not configured.
type SizeFunc func(model string) (modelMB, adapterMB int64, ok bool)

// A Capacity is what one engine has to give.
type Capacity struct {
	MemoryMB     int64
	AdapterSlots int
}

// An Order is a request as it is sent to an engine.
type Order struct {
	Engine  string // its incarnation, which alone may carry the order out
	Address string // IP:port
	Request Request
	// Expect is how many orders the engine must have taken before. An engine
	// that has taken another number refuses this one, so an order whose answer
	// is lost cannot take effect after a later one.
	Expect uint64
	Fence  era.Revision
}

// An Answer is what came of an order.
type Answer int

// The answers. Their numbers stand in the log.
const (
	AnswerLost        Answer = iota + 1 // no answer: it may be carried out, now or later
	AnswerAccepted                      // it is being carried out
	AnswerNoChange                      // what it asks for is so already
	AnswerConflict                      // another is under way, or Expect differs
	AnswerFenced                        // the engine has seen a later fence
	AnswerInvalid                       // the engine knows no such order
	AnswerMisdirected                   // another engine has the address
	AnswerNotSent                       // it certainly never left
)

// A itemState is one item on the engine.
type itemState struct {
	model        string
	adapter      string
	phase        pool.ItemPhase
	readyAt      clock.Instant // when an adapter on its way is believed to be there
	usedAt       clock.Instant
	unloadMarked bool // told to be on its way out, and not ordered out yet
}

// An Ledger is the owner's ledger of one engine.
type Ledger struct {
	Name      string
	Address   string
	Fence     era.Revision
	From      clock.Instant // no order may be sent before
	limits    Capacity
	sizes     SizeFunc
	known     bool
	sequence  uint64
	items     map[string]itemState
	inFlight  *Request       // sent and not answered
	delayed   []DelayedOrder // to a former life of the engine, and perhaps still on their way
	uncertain bool           // an order's answer was lost since the state was last read
	version   uint64         // rises with every change of what is held
}

// New returns the ledger of an engine whose state is not known yet.
func New(name, address string, fence era.Revision, from clock.Instant, limits Capacity, sizes SizeFunc) *Ledger {
	return &Ledger{
		Name: name, Address: address, Fence: fence, From: from,
		limits: limits, sizes: sizes, items: map[string]itemState{},
	}
}

// Configure takes over what a newer configuration says.
func (e *Ledger) Configure(limits Capacity, sizes SizeFunc) {
	e.limits = limits
	e.sizes = sizes
}

// Known reports whether the engine's state is known well enough to order it.
func (e *Ledger) Known() bool { return e.known && !e.uncertain }

// Uncertain reports whether the engine must be asked for its state.
func (e *Ledger) Uncertain() bool { return e.uncertain || !e.known }

// Sequence returns the number of orders that the engine has taken.
func (e *Ledger) Sequence() uint64 { return e.sequence }

// Version rises with every change of what the engine holds.
func (e *Ledger) Version() uint64 { return e.version }

// InFlight reports whether an order is without an answer.
func (e *Ledger) InFlight() bool { return e.inFlight != nil }

// Busy reports whether a model is on its way in or out.
func (e *Ledger) Busy() bool {
	for _, h := range e.items {
		if h.adapter == "" && h.phase != pool.Ready {
			return true
		}
	}
	return false
}

// ModelInTransition returns the model on its way in or out, and whether it comes in.
func (e *Ledger) ModelInTransition() (model string, loading bool) {
	for _, h := range e.items {
		if h.adapter == "" && h.phase != pool.Ready && !h.unloadMarked {
			return h.model, h.phase == pool.Loading
		}
	}
	return "", false
}

// ModelOrderRunning reports whether an order on a model was taken and is not done.
func (e *Ledger) ModelOrderRunning() bool {
	model, _ := e.ModelInTransition()
	return model != "" && e.inFlight == nil
}

// maxLoadingAdapters is how many adapters may be on their way to one engine.
const maxLoadingAdapters = 4

func (e *Ledger) setItem(item string, h itemState) {
	e.items[item] = h
	e.version++
}

func (e *Ledger) removeItem(item string) {
	delete(e.items, item)
	e.version++
}

// adapterUnloadTime is how long an adapter that calls still use is given before the
// engine is asked whether it is gone; it does not announce that.
const adapterUnloadTime = time.Second

// RecordUse notes that a call used an item.
func (e *Ledger) RecordUse(now clock.Instant, item string) {
	if h, ok := e.items[item]; ok {
		h.usedAt = now
		e.items[item] = h
	}
}

func (e *Ledger) sortedItems() []string {
	names := make([]string, 0, len(e.items))
	for item := range e.items {
		names = append(names, item)
	}
	sort.Strings(names)
	return names
}

// Phase returns where an item stands, 0 if it is not there.
func (e *Ledger) Phase(item string) pool.ItemPhase { return e.items[item].phase }

// Items returns what the engine holds, by name.
func (e *Ledger) Items() []pool.Item {
	items := make([]pool.Item, 0, len(e.items))
	for _, name := range e.sortedItems() {
		items = append(items, pool.Item{Name: name, Phase: e.items[name].phase})
	}
	return items
}

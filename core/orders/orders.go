// Package orders provides the ledger that the owner of an engine keeps: which orders it
// may send, and what the engine holds after them.
//
// Every order carries the number of orders that the engine must have accepted before
// (Expect). A delayed order can therefore take effect only on the state for which it was
// computed; once the engine has accepted any other order, it is void. So the owner need
// not store an intent before it sends an order: the next order makes an unanswered one
// void.
//
// Invariants: at most one order is unanswered; no order asks for more memory or adapter
// slots than the engine has free after every order that it may have accepted; nothing is
// ordered while the engine's own count of orders is unknown.
package orders

import (
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/pool"
)

// A Request describes one order: to load or to unload an item.
type Request struct {
	Load    bool // false for an unload
	Model   string
	Adapter string // "" for the model itself
}

// Item returns the name of the item to load or unload.
func (r Request) Item() string { return pool.ItemName(r.Model, r.Adapter) }

// A SizeFunc returns the memory of a model and of one of its adapters, in MB; ok is false
// if the model is not configured.
type SizeFunc func(model string) (modelMB, adapterMB int64, ok bool)

// Capacity is the memory and the adapter slots of one engine.
type Capacity struct {
	MemoryMB     int64
	AdapterSlots int
}

// An Order is a request as it is sent to an engine.
type Order struct {
	Engine  string // the only incarnation that may carry out the order
	Address string // IP:port
	Request Request
	// Expect is the number of orders that the engine must have accepted before. An engine
	// that has accepted a different number refuses this one, so an order whose answer was
	// lost cannot take effect after a later one.
	Expect uint64
	Fence  era.Revision // fencing token: the engine refuses orders with a lower one than it has seen
}

// An Answer is the engine's answer to an order, or the lack of one.
type Answer int

// The answers. Their numbers are written to the log.
const (
	AnswerLost        Answer = iota + 1 // no answer: the order may be carried out, now or later
	AnswerAccepted                      // the engine carries out the order
	AnswerNoChange                      // the engine already is in the requested state
	AnswerConflict                      // another order is in progress, or Expect differs
	AnswerFenced                        // the engine has seen a higher fence
	AnswerInvalid                       // the engine does not know such an order
	AnswerMisdirected                   // another engine has the address
	AnswerNotSent                       // the order was certainly not sent
)

// An itemState is the state of one item on the engine.
type itemState struct {
	model        string
	adapter      string
	phase        pool.ItemPhase
	readyAt      clock.Instant // when a loading adapter is expected to be ready
	usedAt       clock.Instant
	unloadMarked bool // marked as unloading, but the unload is not ordered yet
}

// A Ledger is the owner's record of one engine's items and orders.
type Ledger struct {
	Name      string
	Address   string
	Fence     era.Revision  // fencing token of the orders
	From      clock.Instant // no order may be sent before this time
	capacity  Capacity
	sizes     SizeFunc
	known     bool   // a state was read
	sequence  uint64 // number of orders that the engine has accepted
	items     map[string]itemState
	inFlight  *Request       // sent and not answered
	delayed   []DelayedOrder // orders to earlier incarnations that may still arrive
	uncertain bool           // items may differ from the engine's, for instance after a lost answer
	version   uint64         // incremented with every change of the items, and when delayed orders expire
}

// New returns the ledger of an engine whose state is not known yet.
func New(name, address string, fence era.Revision, from clock.Instant, capacity Capacity, sizes SizeFunc) *Ledger {
	return &Ledger{
		Name: name, Address: address, Fence: fence, From: from,
		capacity: capacity, sizes: sizes, items: map[string]itemState{},
	}
}

// Configure applies a newer configuration.
func (l *Ledger) Configure(capacity Capacity, sizes SizeFunc) {
	l.capacity = capacity
	l.sizes = sizes
}

// Known reports whether the engine's state is known well enough to send it orders.
func (l *Ledger) Known() bool { return l.known && !l.uncertain }

// Uncertain reports whether the engine's state must be queried.
func (l *Ledger) Uncertain() bool { return l.uncertain || !l.known }

// Sequence returns the number of orders that the engine has accepted.
func (l *Ledger) Sequence() uint64 { return l.sequence }

// Version returns a number that is incremented with every change of the engine's items,
// and when delayed orders expire.
func (l *Ledger) Version() uint64 { return l.version }

// InFlight reports whether an order is unanswered.
func (l *Ledger) InFlight() bool { return l.inFlight != nil }

// Busy reports whether a model is being loaded or unloaded.
func (l *Ledger) Busy() bool {
	for _, it := range l.items {
		if it.adapter == "" && it.phase != pool.Ready {
			return true
		}
	}
	return false
}

// ModelInTransition returns the model that an order loads or unloads, "" if there is
// none, and whether it is being loaded.
func (l *Ledger) ModelInTransition() (model string, loading bool) {
	for _, it := range l.items {
		if it.adapter == "" && it.phase != pool.Ready && !it.unloadMarked {
			return it.model, it.phase == pool.Loading
		}
	}
	return "", false
}

// ModelOrderRunning reports whether an order for a model was accepted and is not done.
func (l *Ledger) ModelOrderRunning() bool {
	model, _ := l.ModelInTransition()
	return model != "" && l.inFlight == nil
}

// maxLoadingAdapters is how many adapters may be loading on one engine at a time.
const maxLoadingAdapters = 4

func (l *Ledger) setItem(item string, it itemState) {
	l.items[item] = it
	l.version++
}

func (l *Ledger) removeItem(item string) {
	delete(l.items, item)
	l.version++
}

// adapterUnloadTime is how long an adapter that calls still use may take to unload before
// the engine's state is queried; the engine does not announce the end of an unload.
const adapterUnloadTime = time.Second

// RecordUse records that a call used an item.
func (l *Ledger) RecordUse(now clock.Instant, item string) {
	if it, ok := l.items[item]; ok {
		it.usedAt = now
		l.items[item] = it
	}
}

func (l *Ledger) sortedItems() []string {
	names := make([]string, 0, len(l.items))
	for item := range l.items {
		names = append(names, item)
	}
	sort.Strings(names)
	return names
}

// Phase returns the phase of an item, 0 if the engine does not hold it.
func (l *Ledger) Phase(item string) pool.ItemPhase { return l.items[item].phase }

// Items returns the engine's items, sorted by name.
func (l *Ledger) Items() []pool.Item {
	items := make([]pool.Item, 0, len(l.items))
	for _, name := range l.sortedItems() {
		items = append(items, pool.Item{Name: name, Phase: l.items[name].phase})
	}
	return items
}

// Package book provides the ledger of an engine's accelerator memory. With it the planner
// of an availability zone never overcommits that memory.
//
// Memory is reserved before an order is sent and freed only when the engine itself
// reports that the item is gone. An order whose answer is lost counts as both carried out
// and not carried out: a load keeps its memory reserved, and an unload leaves the item's
// memory counted as used.
//
// How an unanswered order is settled depends on the engine. An engine that checks fences
// carries out orders in ascending order only, so a state that shows a later order settles
// every earlier one. An engine that does not check fences may carry out a delayed order
// at any time. An unanswered load therefore stays reserved until the engine shows the
// item. From then on the item is pinned: it is not unloaded for as long as the engine has
// the same boot, because a delayed duplicate of the order could load it again without the
// ledger's knowledge.
//
// Invariants: FreeMiB never exceeds the memory that the engine has free under any outcome
// of the outstanding orders. An engine whose state was not read since its fence was
// raised has no free memory.
package book

import (
	"sort"

	"github.com/birchdrift/birchdrift/core/pool"
)

// An Op is the operation that an order requests from an engine.
type Op uint8

// The operations.
const (
	Load       Op = iota + 1 // load an item
	Unload                   // drain an item, then remove it from memory
	RaiseFence               // raise the fence; changes nothing else
)

// String returns the operation as written on the wire and in logs.
func (o Op) String() string {
	switch o {
	case Load:
		return "load"
	case Unload:
		return "unload"
	default:
		return "raise"
	}
}

// An Order is an instruction to one engine.
type Order struct {
	Engine string
	Fence  uint64
	Seq    uint64 // rises with every order under one fence
	Op     Op
	Item   string
	MiB    int64
}

// An outstanding order has no settled outcome yet.
type outstanding struct {
	order       Order
	unconfirmed bool // the answer is lost; the order may arrive at any time
}

// An entry is the memory that one item uses or is reserved for on an engine.
type entry struct {
	mib    int64
	phase  pool.ItemPhase // as the engine last reported; 0 while the memory is only reserved
	pinned bool           // must not be unloaded under this boot
}

// A Ledger records how the memory of one engine is used and reserved.
type Ledger struct {
	name        string
	capacity    int64
	checksFence bool   // the engine checks the fences of orders
	boot        uint64 // of the newest state observed
	lastChange  uint64 // change number of the newest state observed under boot
	stateKnown  bool   // the state was read since the fence was raised
	entries     map[string]entry
	open        map[uint64]outstanding // orders without a settled outcome, by Seq
}

// NewLedger returns the ledger of an engine whose state is unknown. It has no free memory
// until a state is observed.
func NewLedger(name string, capacityMiB int64, checksFence bool) *Ledger {
	return &Ledger{
		name:        name,
		capacity:    capacityMiB,
		checksFence: checksFence,
		entries:     map[string]entry{},
		open:        map[uint64]outstanding{},
	}
}

// StateKnown reports whether the engine's state was read since its fence was raised.
func (e *Ledger) StateKnown() bool { return e.stateKnown }

// Boot returns the boot under which the state was last read.
func (e *Ledger) Boot() uint64 { return e.boot }

// FreeMiB returns the memory in MiB that no item uses or is reserved for; 0 while the
// state is unknown.
func (e *Ledger) FreeMiB() int64 {
	if !e.stateKnown {
		return 0
	}
	return e.capacity - e.usedMiB()
}

func (e *Ledger) usedMiB() int64 {
	var sum int64
	for _, en := range e.entries {
		sum += en.mib
	}
	return sum
}

// Holds reports whether the item uses memory or has memory reserved.
func (e *Ledger) Holds(item string) bool {
	_, ok := e.entries[item]
	return ok
}

// Phase returns the item's phase; 0 if it is absent or its memory is only reserved.
func (e *Ledger) Phase(item string) pool.ItemPhase { return e.entries[item].phase }

// Pinned reports whether the item must not be unloaded under this boot.
func (e *Ledger) Pinned(item string) bool { return e.entries[item].pinned }

// Items returns the items that use memory or have memory reserved, sorted by name.
func (e *Ledger) Items() []string {
	items := make([]string, 0, len(e.entries))
	for item := range e.entries {
		items = append(items, item)
	}
	sort.Strings(items)
	return items
}

// Busy reports whether an order is still open or an item is being loaded or unloaded.
func (e *Ledger) Busy() bool {
	if len(e.open) > 0 {
		return true
	}
	for _, en := range e.entries {
		if en.phase == pool.Loading || en.phase == pool.Unloading {
			return true
		}
	}
	return false
}

// Unconfirmed returns the orders whose answers are lost, in ascending order of Seq.
func (e *Ledger) Unconfirmed() []Order {
	var orders []Order
	for _, o := range e.open {
		if o.unconfirmed {
			orders = append(orders, o.order)
		}
	}
	sort.Slice(orders, func(i, j int) bool { return orders[i].Seq < orders[j].Seq })
	return orders
}

// Reserve records an order that is about to be sent and reserves its memory. It returns
// false and records nothing if the order could overcommit the engine, if the item to load
// already has memory, or if the item to unload is pinned or not ready.
func (e *Ledger) Reserve(o Order) bool {
	switch o.Op {
	case Load:
		if !e.stateKnown || e.Holds(o.Item) || o.MiB > e.FreeMiB() {
			return false
		}
		e.entries[o.Item] = entry{mib: o.MiB}
	case Unload:
		en, ok := e.entries[o.Item]
		if !e.stateKnown || !ok || en.pinned || en.phase != pool.Ready {
			return false
		}
	}
	e.open[o.Seq] = outstanding{order: o}
	return true
}

// AddInherited records an order of an earlier lease holder as outstanding and
// unconfirmed. A new holder does this for every intent that it finds.
func (e *Ledger) AddInherited(o Order) {
	if o.Op == Load && !e.Holds(o.Item) {
		e.entries[o.Item] = entry{mib: o.MiB}
	}
	e.open[o.Seq] = outstanding{order: o, unconfirmed: true}
}

// MarkNotSent records that an order was certainly not sent and undoes its reservation.
func (e *Ledger) MarkNotSent(seq uint64) {
	o, ok := e.open[seq]
	if !ok {
		return
	}
	delete(e.open, seq)
	if o.order.Op == Load && e.entries[o.order.Item].phase == 0 && !e.hasOpenLoad(o.order.Item) {
		delete(e.entries, o.order.Item)
	}
}

// MarkLost records that the answer to an order is lost.
func (e *Ledger) MarkLost(seq uint64) {
	if o, ok := e.open[seq]; ok {
		o.unconfirmed = true
		e.open[seq] = o
	}
}

// MarkRefused records the engine's answer that it did not and will not carry out an
// order.
func (e *Ledger) MarkRefused(seq uint64) { e.MarkNotSent(seq) }

// Observe updates the ledger with a state that the engine reported under the holder's
// fence. answered is the Seq of the order that the state answers, or 0 for a plain read.
// size returns an item's memory in MiB.
func (e *Ledger) Observe(s pool.State, fence, answered uint64, size func(string) int64) {
	if e.isStale(s) {
		delete(e.open, answered)
		return
	}
	if s.Residency.Boot > e.boot {
		e.dropForReboot(s.Residency.Boot)
	}
	e.lastChange = s.Residency.Change
	e.closeSettled(s, fence, answered)
	e.stateKnown = true
	e.rebuildEntries(s, size)
}

// isStale reports whether the state is older than one observed before. Such a state may
// lack an item that an answered order has loaded since, and applying it would free memory
// that is in use. A late answer still closes its order, through MarkRefused or a later
// state.
func (e *Ledger) isStale(s pool.State) bool {
	if !e.stateKnown {
		return false
	}
	if s.Residency.Boot != e.boot {
		return s.Residency.Boot < e.boot
	}
	return s.Residency.Change < e.lastChange
}

// dropForReboot removes the items of the engine's former process. Orders that are still
// in flight may reach the new process, so they stay open and keep their memory reserved.
func (e *Ledger) dropForReboot(boot uint64) {
	e.boot = boot
	for item, en := range e.entries {
		if !e.hasOpenLoad(item) {
			delete(e.entries, item)
			continue
		}
		e.entries[item] = entry{mib: en.mib}
	}
}

// closeSettled closes the orders whose outcome the state shows.
func (e *Ledger) closeSettled(s pool.State, fence, answered uint64) {
	shown := make(map[string]bool, len(s.Residency.Items))
	for _, it := range s.Residency.Items {
		shown[it.Name] = true
	}
	for seq, o := range e.open {
		switch {
		case seq == answered:
			delete(e.open, seq)
			if o.unconfirmed && !e.checksFence && o.order.Op == Load {
				e.pin(o.order.Item) // an earlier attempt of the order may still arrive
			}
		case e.checksFence:
			if s.Fence > o.order.Fence || (s.Fence == fence && o.order.Fence == fence && s.LastOrder >= seq) {
				delete(e.open, seq)
			}
		case o.unconfirmed && o.order.Op == Load && shown[o.order.Item]:
			delete(e.open, seq)
			e.pin(o.order.Item)
		case o.unconfirmed && o.order.Op == Unload && !shown[o.order.Item]:
			delete(e.open, seq)
		}
	}
}

func (e *Ledger) pin(item string) {
	en := e.entries[item]
	en.pinned = true
	e.entries[item] = en
}

// rebuildEntries replaces the entries by the state's items, and keeps those of open loads
// and of pinned items that the state does not show.
func (e *Ledger) rebuildEntries(s pool.State, size func(string) int64) {
	next := make(map[string]entry, len(s.Residency.Items))
	for _, it := range s.Residency.Items {
		old := e.entries[it.Name]
		mib := old.mib
		if mib == 0 {
			mib = size(it.Name)
		}
		next[it.Name] = entry{mib: mib, phase: it.Phase, pinned: old.pinned}
	}
	for item, old := range e.entries {
		if _, shown := next[item]; shown {
			continue
		}
		if e.hasOpenLoad(item) || old.pinned {
			next[item] = entry{mib: old.mib, pinned: old.pinned}
		}
	}
	e.entries = next
}

func (e *Ledger) hasOpenLoad(item string) bool {
	for _, o := range e.open {
		if o.order.Op == Load && o.order.Item == item {
			return true
		}
	}
	return false
}

// Name returns the engine's name.
func (e *Ledger) Name() string { return e.name }

// OpenOp returns the operation of an order, and whether the order is still open.
func (e *Ledger) OpenOp(seq uint64) (Op, bool) {
	o, ok := e.open[seq]
	return o.order.Op, ok
}

// IsOpen reports whether the order has no settled outcome yet.
func (e *Ledger) IsOpen(seq uint64) bool {
	_, ok := e.open[seq]
	return ok
}

// LoadsInProgress returns the number of loads that read from the weight store now.
func (e *Ledger) LoadsInProgress() int {
	n := 0
	for item, en := range e.entries {
		if en.phase == pool.Loading || (en.phase == 0 && e.hasOpenLoad(item)) {
			n++
		}
	}
	return n
}

// AfterRestart returns the ledger to use after the engine restarted and lost its fence.
// No memory is free until the fence is raised again, and orders that are still in flight
// stay open.
func (e *Ledger) AfterRestart() *Ledger {
	next := NewLedger(e.name, e.capacity, e.checksFence)
	for seq, o := range e.open {
		if o.order.Op == Load {
			next.entries[o.order.Item] = entry{mib: o.order.MiB}
		}
		o.unconfirmed = true
		next.open[seq] = o
	}
	return next
}

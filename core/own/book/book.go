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
// Invariants: AvailableMiB never exceeds the memory that the engine has free under any
// outcome of the outstanding orders. An engine whose state was not read since its fence
// was raised has no free memory.
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

// An entry records the memory that one item uses, or that is reserved for it.
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
func (l *Ledger) StateKnown() bool { return l.stateKnown }

// Boot returns the boot under which the state was last read.
func (l *Ledger) Boot() uint64 { return l.boot }

// AvailableMiB returns the memory in MiB that no item uses and that is not reserved; 0
// while the state is unknown.
func (l *Ledger) AvailableMiB() int64 {
	if !l.stateKnown {
		return 0
	}
	return l.capacity - l.usedMiB()
}

// usedMiB returns the memory in MiB that items use or have reserved.
func (l *Ledger) usedMiB() int64 {
	var sum int64
	for _, en := range l.entries {
		sum += en.mib
	}
	return sum
}

// Holds reports whether the item uses memory or has memory reserved.
func (l *Ledger) Holds(item string) bool {
	_, ok := l.entries[item]
	return ok
}

// Phase returns the item's phase; 0 if it is absent or its memory is only reserved.
func (l *Ledger) Phase(item string) pool.ItemPhase { return l.entries[item].phase }

// Pinned reports whether the item must not be unloaded under this boot.
func (l *Ledger) Pinned(item string) bool { return l.entries[item].pinned }

// Items returns the items that use memory or have memory reserved, sorted by name.
func (l *Ledger) Items() []string {
	items := make([]string, 0, len(l.entries))
	for item := range l.entries {
		items = append(items, item)
	}
	sort.Strings(items)
	return items
}

// Busy reports whether an order is still open or an item is being loaded or unloaded.
func (l *Ledger) Busy() bool {
	if len(l.open) > 0 {
		return true
	}
	for _, en := range l.entries {
		if en.phase == pool.Loading || en.phase == pool.Unloading {
			return true
		}
	}
	return false
}

// Unconfirmed returns the orders whose answers are lost, in ascending order of Seq.
func (l *Ledger) Unconfirmed() []Order {
	var orders []Order
	for _, o := range l.open {
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
func (l *Ledger) Reserve(o Order) bool {
	switch o.Op {
	case Load:
		if !l.stateKnown || l.Holds(o.Item) || o.MiB > l.AvailableMiB() {
			return false
		}
		l.entries[o.Item] = entry{mib: o.MiB}
	case Unload:
		en, ok := l.entries[o.Item]
		if !l.stateKnown || !ok || en.pinned || en.phase != pool.Ready {
			return false
		}
	}
	l.open[o.Seq] = outstanding{order: o}
	return true
}

// AddInherited records an order of an earlier lease holder as outstanding and
// unconfirmed. A new holder does this for every intent that it finds.
func (l *Ledger) AddInherited(o Order) {
	if o.Op == Load && !l.Holds(o.Item) {
		l.entries[o.Item] = entry{mib: o.MiB}
	}
	l.open[o.Seq] = outstanding{order: o, unconfirmed: true}
}

// MarkNotSent records that an order was certainly not sent and undoes its reservation.
func (l *Ledger) MarkNotSent(seq uint64) {
	o, ok := l.open[seq]
	if !ok {
		return
	}
	delete(l.open, seq)
	if o.order.Op == Load && l.entries[o.order.Item].phase == 0 && !l.hasOpenLoad(o.order.Item) {
		delete(l.entries, o.order.Item)
	}
}

// MarkLost records that the answer to an order is lost.
func (l *Ledger) MarkLost(seq uint64) {
	if o, ok := l.open[seq]; ok {
		o.unconfirmed = true
		l.open[seq] = o
	}
}

// MarkRefused records the engine's answer that it did not and will not carry out an
// order.
func (l *Ledger) MarkRefused(seq uint64) { l.MarkNotSent(seq) }

// Observe updates the ledger with a state that the engine reported under the holder's
// fence. answered is the Seq of the order that the state answers, or 0 for a plain read.
// size returns an item's memory in MiB.
func (l *Ledger) Observe(s pool.State, fence, answered uint64, size func(string) int64) {
	if l.isStale(s) {
		delete(l.open, answered)
		return
	}
	if s.Residency.Boot > l.boot {
		l.dropForReboot(s.Residency.Boot)
	}
	l.lastChange = s.Residency.Change
	l.closeSettled(s, fence, answered)
	l.stateKnown = true
	l.rebuildEntries(s, size)
}

// isStale reports whether the state is older than one observed before. Such a state may
// lack an item that an answered order has loaded since, and applying it would free memory
// that is in use. A late answer still closes its order, through MarkRefused or a later
// state.
func (l *Ledger) isStale(s pool.State) bool {
	if !l.stateKnown {
		return false
	}
	if s.Residency.Boot != l.boot {
		return s.Residency.Boot < l.boot
	}
	return s.Residency.Change < l.lastChange
}

// dropForReboot removes the items of the engine's former process. Orders that are still
// in flight may reach the new process, so they stay open and keep their memory reserved.
func (l *Ledger) dropForReboot(boot uint64) {
	l.boot = boot
	for item, en := range l.entries {
		if !l.hasOpenLoad(item) {
			delete(l.entries, item)
			continue
		}
		l.entries[item] = entry{mib: en.mib}
	}
}

// closeSettled closes the orders whose outcome the state shows.
func (l *Ledger) closeSettled(s pool.State, fence, answered uint64) {
	shown := make(map[string]bool, len(s.Residency.Items))
	for _, it := range s.Residency.Items {
		shown[it.Name] = true
	}
	for seq, o := range l.open {
		switch {
		case seq == answered:
			delete(l.open, seq)
			if o.unconfirmed && !l.checksFence && o.order.Op == Load {
				l.pin(o.order.Item) // an earlier attempt of the order may still arrive
			}
		case l.checksFence:
			if s.Fence > o.order.Fence || (s.Fence == fence && o.order.Fence == fence && s.LastOrder >= seq) {
				delete(l.open, seq)
			}
		case o.unconfirmed && o.order.Op == Load && shown[o.order.Item]:
			delete(l.open, seq)
			l.pin(o.order.Item)
		case o.unconfirmed && o.order.Op == Unload && !shown[o.order.Item]:
			delete(l.open, seq)
		}
	}
}

// pin marks the item as not to be unloaded under this boot.
func (l *Ledger) pin(item string) {
	en := l.entries[item]
	en.pinned = true
	l.entries[item] = en
}

// rebuildEntries replaces the entries by the state's items, and keeps those of open loads
// and of pinned items that the state does not show.
func (l *Ledger) rebuildEntries(s pool.State, size func(string) int64) {
	next := make(map[string]entry, len(s.Residency.Items))
	for _, it := range s.Residency.Items {
		old := l.entries[it.Name]
		mib := old.mib
		if mib == 0 {
			mib = size(it.Name)
		}
		next[it.Name] = entry{mib: mib, phase: it.Phase, pinned: old.pinned}
	}
	for item, old := range l.entries {
		if _, shown := next[item]; shown {
			continue
		}
		if l.hasOpenLoad(item) || old.pinned {
			next[item] = entry{mib: old.mib, pinned: old.pinned}
		}
	}
	l.entries = next
}

// hasOpenLoad reports whether a load of the item has no settled outcome yet.
func (l *Ledger) hasOpenLoad(item string) bool {
	for _, o := range l.open {
		if o.order.Op == Load && o.order.Item == item {
			return true
		}
	}
	return false
}

// Name returns the engine's name.
func (l *Ledger) Name() string { return l.name }

// OpenOp returns the operation of an order, and whether the order is still open.
func (l *Ledger) OpenOp(seq uint64) (Op, bool) {
	o, ok := l.open[seq]
	return o.order.Op, ok
}

// IsOpen reports whether the order has no settled outcome yet.
func (l *Ledger) IsOpen(seq uint64) bool {
	_, ok := l.open[seq]
	return ok
}

// LoadsInProgress returns the number of loads that read from the weight store now.
func (l *Ledger) LoadsInProgress() int {
	n := 0
	for item, en := range l.entries {
		if en.phase == pool.Loading || (en.phase == 0 && l.hasOpenLoad(item)) {
			n++
		}
	}
	return n
}

// AfterRestart returns the ledger to use after the engine restarted and lost its fence.
// No memory is free until the fence is raised again, and orders that are still in flight
// stay open.
func (l *Ledger) AfterRestart() *Ledger {
	next := NewLedger(l.name, l.capacity, l.checksFence)
	for seq, o := range l.open {
		if o.order.Op == Load {
			next.entries[o.order.Item] = entry{mib: o.order.MiB}
		}
		o.unconfirmed = true
		next.open[seq] = o
	}
	return next
}

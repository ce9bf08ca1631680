// Package book provides the ledger by which the planner of an availability zone
// never overcommits accelerator memory.
//
// The idea: memory is booked before an order is sent and freed only on the
// engine's own report that the item is gone. An order whose answer is missing
// counts as both done and not done: a load keeps its memory booked, an unload
// keeps the item's memory taken.
//
// How an unanswered order is settled depends on the engine. One that checks
// fences carries out orders in rising order only, so a state that shows a later
// order settles every earlier one. One that does not check may carry out a late
// order at any time, so an unanswered load stays booked until the engine shows
// the item, and from then on the item is pinned: it is not unloaded under this
// boot, because a late duplicate could load it again behind the ledger's back.
//
// Invariants: Free never exceeds what the engine has free under any outcome of
// the outstanding orders; an engine whose state was not read since its fence
// was raised has nothing free.
package book

import (
	"sort"

	"github.com/birchdrift/birchdrift/core/pool"
)

// An Op is what an order asks of an engine.
type Op uint8

// The operations.
const (
	Load       Op = iota + 1 // load an item
	Unload                   // drain an item, then drop it
	RaiseFence               // raise the fence; changes nothing else
)

// String returns the operation as it stands on the wire and in logs.
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

// An Order is one instruction to one engine.
type Order struct {
	Engine string
	Fence  uint64
	Seq    uint64 // rises with every order of one fence
	Op     Op
	Item   string
	MiB    int64
}

// An outstanding order has no answer yet.
type outstanding struct {
	order       Order
	unconfirmed bool // the answer is lost; the order may arrive at any time
}

// An entry is one item's hold on an engine's memory.
type entry struct {
	mib    int64
	phase  pool.ItemPhase // as the engine last said; 0 while only booked
	pinned bool
}

// An Ledger is the ledger of one engine's memory.
type Ledger struct {
	name        string
	capacity    int64
	checksFence bool
	boot        uint64
	lastChange  uint64 // of the newest state taken in under boot
	stateKnown  bool   // state was read since the fence was raised
	entries     map[string]entry
	open        map[uint64]outstanding // by Seq
}

// NewEngine returns the ledger of an engine whose state is unknown; nothing is
// free in it.
func NewEngine(name string, capacityMiB int64, checksFence bool) *Ledger {
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

// FreeMiB returns the memory that no item holds or is booked for, in MiB.
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

// Holds reports whether the item holds or is booked for memory.
func (e *Ledger) Holds(item string) bool {
	_, ok := e.entries[item]
	return ok
}

// Phase returns where the item stands; 0 while it is absent or only booked.
func (e *Ledger) Phase(item string) pool.ItemPhase { return e.entries[item].phase }

// Pinned reports whether the item must not be unloaded under this boot.
func (e *Ledger) Pinned(item string) bool { return e.entries[item].pinned }

// Items returns the items that hold or are booked for memory, sorted.
func (e *Ledger) Items() []string {
	items := make([]string, 0, len(e.entries))
	for item := range e.entries {
		items = append(items, item)
	}
	sort.Strings(items)
	return items
}

// Busy reports whether an order is without an answer or an item is on its way
// in or out.
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

// Unconfirmed returns the orders whose answers are lost, by rising Seq.
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

// Reserve books an order's memory. It reports false, and books nothing, when the
// order could overcommit the engine or would unload what is pinned or absent.
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

// AddInherited counts an order of an earlier holder as outstanding and unconfirmed, as a
// new holder does for every intent that it finds.
func (e *Ledger) AddInherited(o Order) {
	if o.Op == Load && !e.Holds(o.Item) {
		e.entries[o.Item] = entry{mib: o.MiB}
	}
	e.open[o.Seq] = outstanding{order: o, unconfirmed: true}
}

// MarkNotSent notes that an order certainly never left; its booking is undone.
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

// MarkLost notes that an order's answer is lost.
func (e *Ledger) MarkLost(seq uint64) {
	if o, ok := e.open[seq]; ok {
		o.unconfirmed = true
		e.open[seq] = o
	}
}

// MarkRefused notes that the engine answered that it did not and will not carry
// out an order.
func (e *Ledger) MarkRefused(seq uint64) { e.MarkNotSent(seq) }

// Observe takes in a state that the engine gave under the holder's fence.
// answered is the order that the state answers, 0 for a plain read. size gives
// an item's memory in MiB.
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

// isStale reports whether the state is older than one taken in before. Such a
// state may lack an item that an answered order has added since, and taking it
// in would free memory that is in use. An answer that comes late still closes
// its order, through Refused or a later state.
func (e *Ledger) isStale(s pool.State) bool {
	if !e.stateKnown {
		return false
	}
	if s.Residency.Boot != e.boot {
		return s.Residency.Boot < e.boot
	}
	return s.Residency.Change < e.lastChange
}

// dropForReboot drops what only the former process could have done. Orders that are
// still under way may reach the new process, so they stay open.
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

// closeSettled closes the orders whose outcome the state tells.
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
				e.pin(o.order.Item) // an earlier sending may still arrive
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

// rebuildEntries takes the state's items as the truth, plus what open loads may add.
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

// OpenOp returns what the order asked for, while it is open.
func (e *Ledger) OpenOp(seq uint64) (Op, bool) {
	o, ok := e.open[seq]
	return o.order.Op, ok
}

// IsOpen reports whether the order has no outcome yet.
func (e *Ledger) IsOpen(seq uint64) bool {
	_, ok := e.open[seq]
	return ok
}

// LoadsInProgress counts the loads that take from the weight store now.
func (e *Ledger) LoadsInProgress() int {
	n := 0
	for item, en := range e.entries {
		if en.phase == pool.Loading || (en.phase == 0 && e.hasOpenLoad(item)) {
			n++
		}
	}
	return n
}

// AfterRestart returns the ledger to begin with after the engine restarted and
// forgot its fence: nothing is free until the fence is raised again, and
// orders that are still under way stay open.
func (e *Ledger) AfterRestart() *Ledger {
	next := NewEngine(e.name, e.capacity, e.checksFence)
	for seq, o := range e.open {
		if o.order.Op == Load {
			next.entries[o.order.Item] = entry{mib: o.order.MiB}
		}
		o.unconfirmed = true
		next.open[seq] = o
	}
	return next
}

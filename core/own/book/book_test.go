package book

import (
	"flag"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/birchdrift/birchdrift/core/pool"
)

// The random draws are the same in every run; -rapid.seed=0 selects different ones.
func init() { _ = flag.Set("rapid.seed", "1") }

// size returns the memory in MiB of every item.
func size(string) int64 { return 400 }

// state returns an engine's report with the given items.
func state(boot, change, fence, last uint64, items ...pool.Item) pool.State {
	return pool.State{
		Residency: pool.Residency{Boot: boot, Change: change, Items: items},
		Fence:     fence, LastOrder: last,
	}
}

// TestNothingIsFreeBeforeTheStateIsRead checks that a new holder cannot reserve memory on
// an engine whose state it has not read.
func TestNothingIsFreeBeforeTheStateIsRead(t *testing.T) {
	is := is.New(t)
	e := NewLedger("e", 1000, true)
	is.Equal(e.AvailableMiB(), int64(0))
	is.True(!e.Reserve(Order{Seq: 1, Op: Load, Item: "a", MiB: 400}))
}

// TestStaleStateFreesNothing checks that a state that was read before an order, and
// delivered after the order's answer, is ignored. It does not show the loaded item, so
// applying it would free reserved memory.
func TestStaleStateFreesNothing(t *testing.T) {
	is := is.New(t)
	e := NewLedger("e", 1000, true)
	e.Observe(state(1, 5, 7, 1), 7, 0, size)
	is.True(e.Reserve(Order{Fence: 7, Seq: 2, Op: Load, Item: "a", MiB: 400}))
	e.Observe(state(1, 6, 7, 2, pool.Item{Name: "a", Phase: pool.Loading}), 7, 2, size)
	e.Observe(state(1, 5, 7, 1), 7, 0, size) // the stale state
	is.Equal(e.AvailableMiB(), int64(600))
}

// TestLostLoadStaysReserved checks that the memory of a load whose answer is lost stays
// reserved until the engine's state settles the order.
func TestLostLoadStaysReserved(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprint(checks), func(t *testing.T) {
			is := is.New(t)
			e := NewLedger("e", 1000, checks)
			e.Observe(state(1, 1, 7, 1), 7, 0, size)
			is.True(e.Reserve(Order{Fence: 7, Seq: 2, Op: Load, Item: "a", MiB: 400}))
			e.MarkLost(2)
			e.Observe(state(1, 1, 7, 1), 7, 0, size) // does not settle the order
			is.Equal(e.AvailableMiB(), int64(600))
			// A later order was carried out. An engine that checks fences refuses the
			// lost order from now on; one that does not may still carry it out.
			e.Observe(state(1, 2, 7, 3), 7, 0, size)
			if checks {
				is.Equal(e.AvailableMiB(), int64(1000))
			} else {
				is.Equal(e.AvailableMiB(), int64(600))
			}
		})
	}
}

// TestDuplicateLoadPinsItsItem checks that on an engine that does not check fences, an
// item whose load order may arrive twice is not unloaded under the same boot.
func TestDuplicateLoadPinsItsItem(t *testing.T) {
	is := is.New(t)
	e := NewLedger("e", 1000, false)
	e.Observe(state(1, 1, 0, 0), 7, 0, size)
	is.True(e.Reserve(Order{Fence: 7, Seq: 1, Op: Load, Item: "a", MiB: 400}))
	e.MarkLost(1)
	e.Observe(state(1, 2, 0, 0, pool.Item{Name: "a", Phase: pool.Ready}), 7, 0, size)
	is.True(e.Pinned("a"))
	is.True(!e.Reserve(Order{Fence: 7, Seq: 2, Op: Unload, Item: "a"}))
	e.Observe(state(2, 0, 0, 0), 7, 0, size) // the engine restarted
	is.Equal(e.AvailableMiB(), int64(1000))
}

// TestFreeIsNeverMoreThanAnyOutcomeLeaves draws orders, lost answers, late arrivals and
// delayed reads, and applies them to a model of an engine that carries out the orders.
// The free memory in the ledger must never exceed what the engine has free under any
// outcome.
func TestFreeIsNeverMoreThanAnyOutcomeLeaves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newEngineModel(rapid.Bool().Draw(t, "checks"))
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			m.step(t)
			if free, real := m.ledger.AvailableMiB(), m.capacity-m.usedMiB()-m.pendingMiB(); free > real {
				t.Fatalf("the ledger reports %d MiB free, but only %d MiB are certain to be free", free, real)
			}
		}
	})
}

// An engineModel is the memory of a simulated engine and the orders in flight to it.
type engineModel struct {
	ledger      *Ledger
	checksFence bool
	capacity    int64
	boot        uint64
	change      uint64
	lastOrder   uint64
	seq         uint64
	items       map[string]pool.ItemPhase
	inFlight    []Order
	undelivered []pool.State // states read and not yet delivered
}

func newEngineModel(checks bool) *engineModel {
	m := &engineModel{checksFence: checks, capacity: 1000, boot: 1, items: map[string]pool.ItemPhase{}}
	m.ledger = NewLedger("e", m.capacity, checks)
	m.ledger.Observe(m.state(), 7, 0, size)
	return m
}

func (m *engineModel) usedMiB() int64 { return int64(len(m.items)) * 400 }

// pendingMiB returns the memory in MiB that the loads in flight would still use. Each
// item counts once, and loads that the engine would refuse because of their sequence
// number do not count.
func (m *engineModel) pendingMiB() int64 {
	seen := map[string]bool{}
	var sum int64
	for _, o := range m.inFlight {
		if _, here := m.items[o.Item]; o.Op != Load || here || seen[o.Item] || (m.checksFence && o.Seq <= m.lastOrder) {
			continue
		}
		seen[o.Item] = true
		sum += 400
	}
	return sum
}

func (m *engineModel) state() pool.State {
	s := state(m.boot, m.change, 7, m.lastOrder)
	for name, phase := range m.items {
		s.Residency.Items = append(s.Residency.Items, pool.Item{Name: name, Phase: phase})
	}
	return s
}

func (m *engineModel) step(t *rapid.T) {
	item := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "item")
	switch rapid.SampledFrom([]string{"load", "unload", "arrive", "read", "deliver", "drained", "raise", "lose"}).Draw(t, "act") {
	case "load":
		m.send(Order{Op: Load, Item: item, MiB: 400})
	case "unload":
		m.send(Order{Op: Unload, Item: item})
	case "raise":
		m.send(Order{Op: RaiseFence})
	case "arrive":
		if len(m.inFlight) > 0 {
			i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "which")
			m.arrive(i, rapid.Bool().Draw(t, "answered"))
		}
	case "lose":
		for _, o := range m.inFlight {
			m.ledger.MarkLost(o.Seq)
		}
	case "read":
		m.undelivered = append(m.undelivered, m.state())
	case "deliver":
		if len(m.undelivered) > 0 {
			i := rapid.IntRange(0, len(m.undelivered)-1).Draw(t, "which")
			m.ledger.Observe(m.undelivered[i], 7, 0, size)
			m.undelivered = append(m.undelivered[:i], m.undelivered[i+1:]...)
		}
	case "drained":
		if m.items[item] == pool.Unloading {
			delete(m.items, item)
			m.change++
		}
	}
}

func (m *engineModel) send(o Order) {
	m.seq++
	o.Fence, o.Seq = 7, m.seq
	if m.ledger.Reserve(o) {
		m.inFlight = append(m.inFlight, o)
	}
}

// arrive delivers an order to the engine. Without an answer the order stays open and, if
// the engine does not check fences, may arrive once more.
func (m *engineModel) arrive(i int, answered bool) {
	o := m.inFlight[i]
	if answered || m.checksFence {
		m.inFlight = append(m.inFlight[:i], m.inFlight[i+1:]...)
	}
	if m.checksFence && o.Seq <= m.lastOrder {
		if answered {
			m.ledger.MarkRefused(o.Seq)
		}
		return
	}
	m.lastOrder = max(m.lastOrder, o.Seq)
	m.apply(o)
	if answered {
		m.ledger.Observe(m.state(), 7, o.Seq, size)
		return
	}
	m.ledger.MarkLost(o.Seq)
}

func (m *engineModel) apply(o Order) {
	phase := m.items[o.Item]
	switch {
	case o.Op == Load && phase == 0:
		m.items[o.Item] = pool.Ready
		m.change++
	case o.Op == Unload && phase == pool.Ready:
		m.items[o.Item] = pool.Unloading
		m.change++
	}
}

package orders

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/pool"
)

const (
	modelMB   = 70
	adapterMB = 1
)

func testSizes(model string) (int64, int64, bool) { return modelMB, adapterMB, model != "unknown" }

var start = clocktest.At(time.Hour)

// newLedger returns the ledger of an engine that holds the models and has accepted
// sequence orders.
func newLedger(sequence uint64, models ...string) *Ledger {
	e := New("e", "10.0.0.1:80", 7, start, Capacity{MemoryMB: 3*modelMB + 8, AdapterSlots: 2}, testSizes)
	e.ObserveState(start, stateOf(sequence, models...))
	return e
}

func stateOf(sequence uint64, models ...string) State {
	s := State{Sequence: sequence}
	for _, m := range models {
		s.Models = append(s.Models, pool.AnnouncedModel{Name: m})
	}
	return s
}

func load(model, adapter string) Request {
	return Request{Load: true, Model: model, Adapter: adapter}
}

// TestCheck lists what an owner may order in which state.
func TestCheck(t *testing.T) {
	cases := []struct {
		name string
		make func() *Ledger
		ask  Request
		want CheckResult
	}{
		{"nothing known yet", func() *Ledger { return New("e", "a", 1, start, Capacity{}, testSizes) }, load("m", ""), StateUnknown},
		{"room for a model", func() *Ledger { return newLedger(1, "a", "b") }, load("c", ""), Allowed},
		{"no room for a model", func() *Ledger { return newLedger(1, "a", "b", "c") }, load("d", ""), NoCapacity},
		{"a model that is there", func() *Ledger { return newLedger(1, "a") }, load("a", ""), NoChange},
		{"a model nobody can size", func() *Ledger { return newLedger(1) }, load("unknown", ""), SizeUnknown},
		{"room for a model, which a late order to a former life may take", func() *Ledger {
			e := newLedger(0, "a", "b")
			e.ReserveDelayed([]DelayedOrder{NewDelayedOrder(start, load("c", ""))})
			return e
		}, load("d", ""), NoCapacity},
		{"the same model as the late order's", func() *Ledger {
			e := newLedger(0, "a", "b", "c")
			e.ReserveDelayed([]DelayedOrder{NewDelayedOrder(start, load("c", ""))})
			return e
		}, load("a", "x"), Allowed},
		{"a late order whose time is over", func() *Ledger {
			e := newLedger(0, "a", "b")
			e.ReserveDelayed([]DelayedOrder{NewDelayedOrder(start, load("c", ""))})
			e.Advance(start.Add(MaxOrderDelay))
			return e
		}, load("d", ""), Allowed},
		{"a late order that unloads", func() *Ledger {
			e := newLedger(0, "a", "b")
			e.ReserveDelayed([]DelayedOrder{NewDelayedOrder(start, Request{Model: "a"})})
			return e
		}, load("c", ""), Allowed},
		{"slots for adapters, which late orders may take", func() *Ledger {
			e := newLedger(0, "a")
			e.ReserveDelayed([]DelayedOrder{NewDelayedOrder(start, load("a", "y")), NewDelayedOrder(start, load("a", "z")), NewDelayedOrder(start, load("a", "z"))})
			return e
		}, load("a", "x"), NoCapacity},
		{"an adapter without its model", func() *Ledger { return newLedger(1, "a") }, load("b", "x"), ModelNotReady},
		{"an adapter of a model there", func() *Ledger { return newLedger(1, "a") }, load("a", "x"), Allowed},
		{"while an order is without an answer", func() *Ledger {
			e := newLedger(1, "a")
			e.RecordSent(load("a", "x"))
			return e
		}, load("a", "y"), NotNow},
		{"an adapter on its way", func() *Ledger {
			e := newLedger(1, "a")
			e.RecordSent(load("a", "x"))
			e.RecordAccepted(start, time.Second)
			return e
		}, load("a", "x"), InProgress},
		{"no slot left", func() *Ledger {
			e := newLedger(1, "a")
			for _, x := range []string{"x", "y"} {
				e.RecordSent(load("a", x))
				e.RecordAccepted(start, 0)
				e.Advance(start)
			}
			return e
		}, load("a", "z"), NoCapacity},
		{"a second model while one is on its way", func() *Ledger {
			e := newLedger(1, "a")
			e.RecordSent(load("b", ""))
			e.RecordAccepted(start, 0)
			return e
		}, load("c", ""), NotNow},
		{"after a lost answer", func() *Ledger {
			e := newLedger(1, "a")
			e.RecordSent(load("b", ""))
			e.RecordLost()
			return e
		}, load("a", "x"), StateUnknown},
		{"dropping what is not there", func() *Ledger { return newLedger(1, "a") }, Request{Model: "b"}, NotLoaded},
		{"dropping what is told to be leaving", func() *Ledger {
			e := newLedger(1, "a")
			e.MarkUnloading("a")
			return e
		}, Request{Model: "a"}, Allowed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.make().Check(c.ask), c.want)
		})
	}
}

// TestUnknownLoadingModelBlocksOrders: a new owner finds the engine busy with an order of
// the former owner. The model takes memory although no list shows it; an order for
// another model once exceeded the engine's memory.
func TestUnknownLoadingModelBlocksOrders(t *testing.T) {
	is := is.New(t)
	e := New("e", "a", 9, start, Capacity{MemoryMB: 3*modelMB + 8, AdapterSlots: 2}, testSizes)
	busy := stateOf(6, "a", "b")
	busy.Busy = true
	e.ObserveState(start, busy)
	is.Equal(e.Check(load("c", "")), StateUnknown)
	is.True(e.Uncertain()) // its state must be queried again
	e.ObserveState(start, stateOf(6, "a", "b", "d"))
	is.Equal(e.Check(load("c", "")), NoCapacity)
}

// TestUnansweredOrderIsVoid checks that the effect of an unanswered order stays in the
// ledger until the engine's state is queried, and that the next order carries the count
// that the engine reported.
func TestUnansweredOrderIsVoid(t *testing.T) {
	is := is.New(t)
	e := newLedger(4, "a", "b")
	e.RecordSent(load("c", ""))
	e.RecordLost()
	is.Equal(e.FreeMB(), int64(8))    // the unanswered order is counted
	e.ObserveState(start, stateOf(3)) // older than the last answered order: ignored
	is.Equal(e.FreeMB(), int64(8))
	e.ObserveState(start, stateOf(4, "a", "b"))
	is.Equal(e.Check(load("d", "")), Allowed)
	is.Equal(e.Sequence(), uint64(4)) // so the lost order is void once this one is accepted
	e.RecordSent(load("d", ""))
	e.RecordAccepted(start, 0)
	is.Equal(e.Sequence(), uint64(5))
}

// TestAnnouncementCompletesModelOrder: an engine announces a model when its order is
// done. A model that the ledger does not know shows that an order took effect late.
func TestAnnouncementCompletesModelOrder(t *testing.T) {
	is := is.New(t)
	e := newLedger(1, "a")
	e.RecordSent(load("b", ""))
	e.RecordAccepted(start, 0)
	e.ObserveModels([]pool.AnnouncedModel{{Name: "a"}})
	is.Equal(e.Phase("b"), pool.Loading)
	e.ObserveModels([]pool.AnnouncedModel{{Name: "a"}, {Name: "b"}})
	is.Equal(e.Phase("b"), pool.Ready)
	e.ObserveModels([]pool.AnnouncedModel{{Name: "a"}, {Name: "b"}, {Name: "z"}})
	is.True(e.Uncertain())
}

// TestIdleAdapter checks that the least recently used adapter is returned, if it has been
// idle long enough and is not loading.
func TestIdleAdapter(t *testing.T) {
	const idle = 400 * time.Millisecond
	cases := []struct {
		name string
		used map[string]time.Duration // time since the last use, by adapter of model a
		want string
	}{
		{"the least lately used", map[string]time.Duration{"x": time.Second, "y": 2 * time.Second}, "y"},
		{"one was used just now", map[string]time.Duration{"x": time.Second, "y": 0}, "x"},
		{"all were used just now", map[string]time.Duration{"x": 0, "y": idle - 1}, ""},
		{"there is none", nil, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := New("e", "10.0.0.1:80", 7, start, Capacity{MemoryMB: 3 * modelMB, AdapterSlots: 2}, testSizes)
			model := pool.AnnouncedModel{Name: "a"}
			for name := range c.used {
				model.Adapters = append(model.Adapters, name)
			}
			e.ObserveState(start.Add(-time.Hour), State{Models: []pool.AnnouncedModel{model}})
			for name, ago := range c.used {
				e.RecordUse(start.Add(-ago), pool.ItemName("a", name))
			}
			got, ok := e.IdleAdapter(start, idle)
			is.Equal(ok, c.want != "")
			is.Equal(got.Adapter, c.want)
		})
	}
}

// TestLoadingAdaptersTakeSlots: an adapter that a former owner ordered is still loading
// when the new owner first queries the engine. It was once ignored, so that the new owner
// ordered one adapter more than the engine has slots for, and the engine crashed.
func TestLoadingAdaptersTakeSlots(t *testing.T) {
	is := is.New(t)
	e := New("e", "10.0.0.1:80", 7, start, Capacity{MemoryMB: 3*modelMB + 8, AdapterSlots: 2}, testSizes)
	e.ObserveState(start, State{
		Sequence: 2,
		Models:   []pool.AnnouncedModel{{Name: "m", Adapters: []string{"a1"}}},
		Coming:   []string{"m/a2"},
	})
	is.Equal(e.Phase("m/a2"), pool.Loading)
	is.Equal(e.Check(load("m", "a2")), InProgress)
	is.Equal(e.Check(load("m", "a3")), NoCapacity)
	e.Advance(start.Add(maxAdapterLoadTime - 1))
	is.Equal(e.Phase("m/a2"), pool.Loading)
	e.Advance(start.Add(maxAdapterLoadTime))
	is.Equal(e.Phase("m/a2"), pool.Ready)
}

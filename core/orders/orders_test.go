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
	l := New("e", "10.0.0.1:80", 7, start, Capacity{MemoryMB: 3*modelMB + 8, AdapterSlots: 2}, testSizes)
	l.ObserveState(start, stateOf(sequence, models...))
	return l
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

// TestCheck checks which orders are allowed in which states of the ledger.
func TestCheck(t *testing.T) {
	cases := []struct {
		name    string
		make    func() *Ledger
		request Request
		want    CheckResult
	}{
		{"state unknown", func() *Ledger { return New("e", "a", 1, start, Capacity{}, testSizes) }, load("m", ""), StateUnknown},
		{"room for a model", func() *Ledger { return newLedger(1, "a", "b") }, load("c", ""), Allowed},
		{"no room for a model", func() *Ledger { return newLedger(1, "a", "b", "c") }, load("d", ""), NoCapacity},
		{"a loaded model", func() *Ledger { return newLedger(1, "a") }, load("a", ""), NoChange},
		{"a model of unknown size", func() *Ledger { return newLedger(1) }, load("unknown", ""), SizeUnknown},
		{"room that a delayed order to an earlier incarnation may take", func() *Ledger {
			l := newLedger(0, "a", "b")
			l.ReserveDelayed([]DelayedOrder{NewDelayedOrder(start, load("c", ""))})
			return l
		}, load("d", ""), NoCapacity},
		{"a model that is loaded and in a delayed order", func() *Ledger {
			l := newLedger(0, "a", "b", "c")
			l.ReserveDelayed([]DelayedOrder{NewDelayedOrder(start, load("c", ""))})
			return l
		}, load("a", "x"), Allowed},
		{"an expired delayed order", func() *Ledger {
			l := newLedger(0, "a", "b")
			l.ReserveDelayed([]DelayedOrder{NewDelayedOrder(start, load("c", ""))})
			l.Advance(start.Add(MaxOrderDelay))
			return l
		}, load("d", ""), Allowed},
		{"a delayed order to unload", func() *Ledger {
			l := newLedger(0, "a", "b")
			l.ReserveDelayed([]DelayedOrder{NewDelayedOrder(start, Request{Model: "a"})})
			return l
		}, load("c", ""), Allowed},
		{"adapter slots that delayed orders may take", func() *Ledger {
			l := newLedger(0, "a")
			l.ReserveDelayed([]DelayedOrder{NewDelayedOrder(start, load("a", "y")), NewDelayedOrder(start, load("a", "z")), NewDelayedOrder(start, load("a", "z"))})
			return l
		}, load("a", "x"), NoCapacity},
		{"an adapter without its model", func() *Ledger { return newLedger(1, "a") }, load("b", "x"), ModelNotReady},
		{"an adapter of a loaded model", func() *Ledger { return newLedger(1, "a") }, load("a", "x"), Allowed},
		{"an unanswered order", func() *Ledger {
			l := newLedger(1, "a")
			l.RecordSent(load("a", "x"))
			return l
		}, load("a", "y"), NotNow},
		{"a loading adapter", func() *Ledger {
			l := newLedger(1, "a")
			l.RecordSent(load("a", "x"))
			l.RecordAccepted(start, time.Second)
			return l
		}, load("a", "x"), InProgress},
		{"no slot left", func() *Ledger {
			l := newLedger(1, "a")
			for _, x := range []string{"x", "y"} {
				l.RecordSent(load("a", x))
				l.RecordAccepted(start, 0)
				l.Advance(start)
			}
			return l
		}, load("a", "z"), NoCapacity},
		{"a second model while one is loading", func() *Ledger {
			l := newLedger(1, "a")
			l.RecordSent(load("b", ""))
			l.RecordAccepted(start, 0)
			return l
		}, load("c", ""), NotNow},
		{"after a lost answer", func() *Ledger {
			l := newLedger(1, "a")
			l.RecordSent(load("b", ""))
			l.RecordLost()
			return l
		}, load("a", "x"), StateUnknown},
		{"unloading a model that is not loaded", func() *Ledger { return newLedger(1, "a") }, Request{Model: "b"}, NotLoaded},
		{"unloading a model marked as unloading", func() *Ledger {
			l := newLedger(1, "a")
			l.MarkUnloading("a")
			return l
		}, Request{Model: "a"}, Allowed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.make().Check(c.request), c.want)
		})
	}
}

// TestUnknownLoadingModelBlocksOrders: a new owner finds the engine busy with an order of
// the former owner. The model takes memory although no list shows it; an order for
// another model once exceeded the engine's memory.
func TestUnknownLoadingModelBlocksOrders(t *testing.T) {
	is := is.New(t)
	l := New("e", "a", 9, start, Capacity{MemoryMB: 3*modelMB + 8, AdapterSlots: 2}, testSizes)
	busy := stateOf(6, "a", "b")
	busy.Busy = true
	l.ObserveState(start, busy)
	is.Equal(l.Check(load("c", "")), StateUnknown)
	is.True(l.Uncertain()) // its state must be queried again
	l.ObserveState(start, stateOf(6, "a", "b", "d"))
	is.Equal(l.Check(load("c", "")), NoCapacity)
}

// TestUnansweredOrderIsVoid checks that the effect of an unanswered order stays in the
// ledger until the engine's state is queried, and that the next order carries the count
// that the engine reported.
func TestUnansweredOrderIsVoid(t *testing.T) {
	is := is.New(t)
	l := newLedger(4, "a", "b")
	l.RecordSent(load("c", ""))
	l.RecordLost()
	is.Equal(l.FreeMB(), int64(8))    // the unanswered order is counted
	l.ObserveState(start, stateOf(3)) // older than the last answered order: ignored
	is.Equal(l.FreeMB(), int64(8))
	l.ObserveState(start, stateOf(4, "a", "b"))
	is.Equal(l.Check(load("d", "")), Allowed)
	is.Equal(l.Sequence(), uint64(4)) // so the lost order is void once this one is accepted
	l.RecordSent(load("d", ""))
	l.RecordAccepted(start, 0)
	is.Equal(l.Sequence(), uint64(5))
}

// TestAnnouncementCompletesModelOrder: an engine announces a model when its order is
// done. A model that the ledger does not know shows that an order took effect late.
func TestAnnouncementCompletesModelOrder(t *testing.T) {
	is := is.New(t)
	l := newLedger(1, "a")
	l.RecordSent(load("b", ""))
	l.RecordAccepted(start, 0)
	l.ObserveModels([]pool.AnnouncedModel{{Name: "a"}})
	is.Equal(l.Phase("b"), pool.Loading)
	l.ObserveModels([]pool.AnnouncedModel{{Name: "a"}, {Name: "b"}})
	is.Equal(l.Phase("b"), pool.Ready)
	l.ObserveModels([]pool.AnnouncedModel{{Name: "a"}, {Name: "b"}, {Name: "z"}})
	is.True(l.Uncertain())
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
		{"the least recently used", map[string]time.Duration{"x": time.Second, "y": 2 * time.Second}, "y"},
		{"one was used just now", map[string]time.Duration{"x": time.Second, "y": 0}, "x"},
		{"all were used just now", map[string]time.Duration{"x": 0, "y": idle - 1}, ""},
		{"no adapters", nil, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := New("e", "10.0.0.1:80", 7, start, Capacity{MemoryMB: 3 * modelMB, AdapterSlots: 2}, testSizes)
			model := pool.AnnouncedModel{Name: "a"}
			for name := range c.used {
				model.Adapters = append(model.Adapters, name)
			}
			l.ObserveState(start.Add(-time.Hour), State{Models: []pool.AnnouncedModel{model}})
			for name, ago := range c.used {
				l.RecordUse(start.Add(-ago), pool.ItemName("a", name))
			}
			got, ok := l.IdleAdapter(start, idle)
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
	l := New("e", "10.0.0.1:80", 7, start, Capacity{MemoryMB: 3*modelMB + 8, AdapterSlots: 2}, testSizes)
	l.ObserveState(start, State{
		Sequence: 2,
		Models:   []pool.AnnouncedModel{{Name: "m", Adapters: []string{"a1"}}},
		Coming:   []string{"m/a2"},
	})
	is.Equal(l.Phase("m/a2"), pool.Loading)
	is.Equal(l.Check(load("m", "a2")), InProgress)
	is.Equal(l.Check(load("m", "a3")), NoCapacity)
	l.Advance(start.Add(maxAdapterLoadTime - 1))
	is.Equal(l.Phase("m/a2"), pool.Loading)
	l.Advance(start.Add(maxAdapterLoadTime))
	is.Equal(l.Phase("m/a2"), pool.Ready)
}

package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
)

// adapterMachine returns a machine with two configured engines; each test sets their residencies.
func adapterMachine(t *testing.T, now clock.Instant) *Machine {
	t.Helper()
	doc := config.Document{
		Revision: 1,
		Zones:    []config.Zone{{Name: "z"}},
		Models:   []config.Model{{Name: "m", MemoryMiB: 100, LoadTime: time.Second}},
		Adapters: []config.Adapter{{Name: "a", Model: "m", MemoryMiB: 1}},
		Services: []config.Service{{Name: "s", Versions: []config.Version{{Name: "v", Model: "m", Adapter: "a", Share: 1}}}},
	}
	for _, name := range []string{"e1", "e2"} {
		doc.Engines = append(doc.Engines, config.Engine{
			Name: name, Address: name, Zone: "z", Accelerators: 1, MemoryMiB: 1000, Sequences: 4, ChecksFence: true,
		})
	}
	s, err := config.NewSnapshot(doc)
	if err != nil {
		t.Fatal(err)
	}
	m := New(member.Identity{Name: "i", Zone: "z", Address: "i", Boot: 1}, option.Default(), 1)
	m.Step(now, ConfigReply{Snapshot: s, Source: PlatformSource})
	return m
}

func residency(change uint64, model pool.ItemPhase) pool.Residency {
	return pool.Residency{Boot: 1, Change: change, Items: []pool.Item{{Name: "a", Phase: pool.Ready}, {Name: "m", Phase: model}}}
}

// dispatchedTo returns the replica of the first Dispatch in actions, or "" if there is none.
func dispatchedTo(actions []step.Action) string {
	for _, a := range actions {
		if d, ok := a.(calls.Dispatch); ok {
			return d.Replica
		}
	}
	return ""
}

// TestAdapterWaitsForItsModel checks that a call waits while its adapter is loaded but the model
// of the adapter is not. Adapters load much faster than models, and an engine refuses calls in
// between. Calls used to be sent to such an engine six times and were then refused.
func TestAdapterWaitsForItsModel(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	m := adapterMachine(t, now)
	m.state.Pool.ObserveResidency(now, "e1", residency(1, pool.Loading))
	is.Equal(dispatchedTo(m.Step(now, calls.Arrived{Call: calls.Request{ID: 1, Service: "s", Replayable: true}})), "")
	m.state.Pool.ObserveResidency(now, "e1", residency(2, pool.Ready))
	is.Equal(dispatchedTo(m.Step(now.Add(time.Second), Tick{})), "e1")
}

// TestRefusingEngineGetsNoCalls checks that an engine that refuses an item receives no more calls
// for it for a while, although it is idle and responds fastest.
func TestRefusingEngineGetsNoCalls(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	m := adapterMachine(t, now)
	m.state.Pool.ObserveResidency(now, "e1", residency(1, pool.Ready))
	m.state.Pool.ObserveResidency(now, "e2", residency(1, pool.Ready))
	first := dispatchedTo(m.Step(now, calls.Arrived{Call: calls.Request{ID: 1, Service: "s", Replayable: true}}))
	is.True(first != "")
	next := dispatchedTo(m.Step(now, calls.AttemptFailed{ID: 1, Attempt: 1, Phase: attempt.Refused, Status: 409}))
	is.True(next != "" && next != first)
	for id := calls.ID(2); id < 5; id++ {
		is.Equal(dispatchedTo(m.Step(now, calls.Arrived{Call: calls.Request{ID: id, Service: "s", Replayable: true}})), next)
	}
}

package instance

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/forwarding"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watchers"
)

// probeMachine returns an instance of a large fleet with engines that hold model m0.
func probeMachine(t *testing.T, now clock.Instant, wait time.Duration, engines ...string) *Machine {
	t.Helper()
	var peers []string
	for i := range 2 * watchers.FullMeshLimit {
		peers = append(peers, string(rune('a'+i%26))+string(rune('a'+i/26)))
	}
	m := fleetMachine(now, peers...)
	m.state.Options.ProbeWait = wait
	snapshot, err := config.NewSnapshot(fleetDocument())
	if err != nil {
		t.Fatal(err)
	}
	m.Step(now, ConfigReply{Snapshot: snapshot, Source: PlatformSource})
	var list listing.Reply
	list.Version = 100
	for i, name := range engines {
		list.Entries = append(list.Entries, gossip.Listed{Name: name, Kind: gossip.Upstream, Zone: "z", Version: era.Revision(50 + i), Announced: &pool.Announcement{
			Service: "llm", Address: name, Zone: "z", Slots: 8, Engine: true, Models: []pool.AnnouncedModel{{Name: "m0"}},
		}})
	}
	m.Step(now, list)
	return m
}

func probeCall(id calls.ID) calls.Arrived {
	return calls.Arrived{Call: calls.Request{ID: id, Path: "/x", Replayable: true, PromptTokens: 4000, Forward: &calls.ForwardRequest{Name: "call", Host: "h", Model: "m0"}}}
}

// probedEngines returns the engines that actions probe, sorted by name.
func probedEngines(actions []step.Action) []string {
	var names []string
	for _, a := range actions {
		if p, ok := a.(forwarding.ProbeEngine); ok {
			names = append(names, p.Engine)
		}
	}
	slices.Sort(names)
	return names
}

// TestCallsGoToTheIdlerProbedEngine checks that in a large fleet a call that can go to several
// engines probes two of them, waits for both replies, and goes to the less loaded engine. An
// engine that does not reply in time does not delay the call.
func TestCallsGoToTheIdlerProbedEngine(t *testing.T) {
	cases := []struct {
		name string
		e1   forwarding.ProbeReply
		e2   forwarding.ProbeReply
		want string
	}{
		{"the first is busy", forwarding.ProbeReply{Queued: 12, Running: 30}, forwarding.ProbeReply{}, "e2"},
		{"the second is busy", forwarding.ProbeReply{}, forwarding.ProbeReply{Queued: 12, Running: 30}, "e1"},
		{"the first is busy, the second does not reply", forwarding.ProbeReply{Queued: 12, Running: 30}, forwarding.ProbeReply{Err: errors.New("no answer")}, "e2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := clocktest.At(time.Hour)
			m := probeMachine(t, now, 20*time.Millisecond, "e1", "e2")
			actions := m.Step(now, probeCall(1))
			is.Equal(probedEngines(actions), []string{"e1", "e2"})
			is.Equal(dispatchedTo(actions), "")
			c.e1.Call, c.e1.Engine, c.e1.Sent = 1, "e1", now
			c.e2.Call, c.e2.Engine, c.e2.Sent = 1, "e2", now
			is.Equal(dispatchedTo(m.Step(now, c.e1)), "")
			is.Equal(dispatchedTo(m.Step(now, c.e2)), c.want)
			// Recent probe replies are reused for the next call.
			now = now.Add(forwarding.ProbeMaxAge / 2)
			if c.e2.Err == nil {
				is.Equal(dispatchedTo(m.Step(now, probeCall(2))), c.want)
			}
		})
	}
}

// TestNoProbeWithoutAChoice checks that a call is sent without a probe if there is only one engine
// or if probing is disabled.
func TestNoProbeWithoutAChoice(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	one := probeMachine(t, now, 20*time.Millisecond, "e1").Step(now, probeCall(1))
	is.Equal(len(probedEngines(one)), 0)
	is.Equal(dispatchedTo(one), "e1")
	off := probeMachine(t, now, 0, "e1", "e2").Step(now, probeCall(1))
	is.Equal(len(probedEngines(off)), 0)
	is.True(dispatchedTo(off) != "")
}

// TestCallerGoneDuringProbe checks that probe replies that arrive after the caller disconnected
// are ignored.
func TestCallerGoneDuringProbe(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	m := probeMachine(t, now, 20*time.Millisecond, "e1", "e2")
	m.Step(now, probeCall(1))
	m.Step(now, calls.CallerGone{ID: 1})
	is.Equal(dispatchedTo(m.Step(now, forwarding.ProbeReply{Call: 1, Engine: "e1"})), "")
	is.Equal(dispatchedTo(m.Step(now, forwarding.ProbeReply{Call: 1, Engine: "e2"})), "")
	is.Equal(m.calls.Len(), 0)
}

// TestUnprobedCallsSpread checks that where probing does not pay off, the calls of a large fleet
// do not all go to the first of several engines that seem equal, and that a few calls still probe.
func TestUnprobedCallsSpread(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	m := probeMachine(t, now, 20*time.Millisecond, "e1", "e2", "e3", "e4")
	dispatches := map[string]int{}
	probing := 0
	for id := range calls.ID(400) {
		now = now.Add(100 * time.Millisecond)
		actions := m.Step(now, probeCall(id+1))
		engines := probedEngines(actions)
		if len(engines) > 0 {
			probing++
		} else {
			dispatches[dispatchedTo(actions)]++
		}
		later := now.Add(10 * time.Millisecond) // the probes take 10 ms and report equal loads
		for _, e := range engines {
			m.Step(later, forwarding.ProbeReply{Call: id + 1, Engine: e, Sent: now})
		}
		m.Step(later, calls.CallerGone{ID: id + 1})
	}
	is.True(probing >= 400/8-1)
	is.True(probing <= 400/4)
	is.Equal(len(dispatches), 4)
	for _, n := range dispatches {
		is.True(n > 400/4/2)
	}
}

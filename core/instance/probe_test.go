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

// probeMachine is an instance of a large fleet before engines that hold model m0.
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

// probedEngines returns the engines that are probedEngines how busy they are.
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

// TestCallsGoToTheIdlerProbedEngine: in a large fleet a call that may go
// to several engines asks two of them, waits for both answers, and goes to the
// one with less to do; one that does not answer in time holds nothing up.
func TestCallsGoToTheIdlerProbedEngine(t *testing.T) {
	cases := []struct {
		name string
		e1   forwarding.ProbeReply
		e2   forwarding.ProbeReply
		want string
	}{
		{"the first is busy", forwarding.ProbeReply{Queued: 12, Running: 30}, forwarding.ProbeReply{}, "e2"},
		{"the second is busy", forwarding.ProbeReply{}, forwarding.ProbeReply{Queued: 12, Running: 30}, "e1"},
		{"the first is busy, the second silent", forwarding.ProbeReply{Queued: 12, Running: 30}, forwarding.ProbeReply{Err: errors.New("no answer")}, "e2"},
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
			// What they said a moment ago serves the next call as well.
			now = now.Add(forwarding.ProbeMaxAge / 2)
			if c.e2.Err == nil {
				is.Equal(dispatchedTo(m.Step(now, probeCall(2))), c.want)
			}
		})
	}
}

// TestNoProbeWithoutAChoice: where there is one engine, or asking is
// switched off, a call is sent at once.
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

// TestCallerGoneDuringProbe: their answers find no call, and
// nothing is sent.
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

// TestUnprobedCallsSpread: where asking does not pay, calls of a large fleet do not all
// go to the first of several engines that seem alike, and a few go on asking.
func TestUnprobedCallsSpread(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	m := probeMachine(t, now, 20*time.Millisecond, "e1", "e2", "e3", "e4")
	went := map[string]int{}
	asking := 0
	for id := range calls.ID(400) {
		now = now.Add(100 * time.Millisecond)
		actions := m.Step(now, probeCall(id+1))
		engines := probedEngines(actions)
		if len(engines) > 0 {
			asking++
		} else {
			went[dispatchedTo(actions)]++
		}
		later := now.Add(10 * time.Millisecond) // asking takes time, and changes nothing
		for _, e := range engines {
			m.Step(later, forwarding.ProbeReply{Call: id + 1, Engine: e, Sent: now})
		}
		m.Step(later, calls.CallerGone{ID: id + 1})
	}
	is.True(asking >= 400/8-1)
	is.True(asking <= 400/4)
	is.Equal(len(went), 4)
	for _, n := range went {
		is.True(n > 400/4/2)
	}
}

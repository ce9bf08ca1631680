package links

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/step"
)

var start = clocktest.At(time.Hour)

// newTracker returns a tracker of the links to the given replicas of the service app.
func newTracker(replicas ...string) *Tracker {
	state := shared.New(member.Identity{Name: "self", Zone: "z"}, option.Default(), 1)
	for _, name := range replicas {
		state.Pool.Announce(start, name, pool.Announcement{Service: "app", Address: name, Zone: "z", Slots: 1})
	}
	return New(state)
}

// events returns the log events since the last call of events.
func (t *Tracker) events() []logevent.Number {
	var out []logevent.Number
	for _, a := range t.Out.Actions() {
		if l, ok := a.(step.Log); ok {
			out = append(out, l.Event)
		}
	}
	t.Out.Reset()
	return out
}

// TestLostLinksAreLogged checks that an instance logs when it cannot connect to most replicas of a
// service, and when it reaches most of them again.
func TestLostLinksAreLogged(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", "b", "c")
	replica := tracker.Pool.Get
	at := func(d time.Duration) clock.Instant { return start.Add(d) }
	tracker.Failed(at(0), replica("a"), true)
	is.Equal(tracker.events(), nil) // one of three
	tracker.Failed(at(time.Second), replica("b"), true)
	is.Equal(tracker.events(), []logevent.Number{logevent.LinksLost})
	tracker.Proven(at(2*time.Second), replica("b"), at(500*time.Millisecond))
	is.Equal(tracker.events(), nil) // the answer is older than the failure
	tracker.Proven(at(3*time.Second), replica("b"), at(2*time.Second))
	is.Equal(tracker.events(), []logevent.Number{logevent.LinksBack})
	tracker.Pool.MarkLeaving(at(4*time.Second), "b")
	tracker.Tick(at(4 * time.Second))
	is.Equal(tracker.events(), nil) // one of two that remain
	tracker.Pool.MarkLeaving(at(5*time.Second), "c")
	tracker.Tick(at(5 * time.Second))
	is.Equal(tracker.events(), []logevent.Number{logevent.LinksLost})
}

// Guards against sound replicas that are passed over after a partition because calls failed there
// before the links were known to be lost.
func TestFailuresOfLostLinksAreCleared(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", "b")
	a := tracker.Pool.Get("a")
	for id := range uint64(3) {
		a.Start(start, id)
		tracker.Pool.CallFailed(start, a, id, start)
	}
	is.True(a.Ejected(start))
	tracker.Failed(start, a, true)
	is.True(a.Ejected(start)) // the replica may have failed
	tracker.Failed(start, tracker.Pool.Get("b"), true)
	is.True(tracker.Lost("app"))
	is.True(!a.Ejected(start))
	is.Equal(a.Failures(), 0)
}

// addPeer adds a peer that relays attempts and that reported just before start.
func (t *Tracker) addPeer(name, zone string, reports ...gossip.LinkReport) {
	t.Members.Upsert(name, zone, name)
	t.Members.MarkHeard(start, name)
	t.ObservePeer(start, name, true, reports)
}

// lostApp reports that the links to the service app are lost.
var lostApp = gossip.LinkReport{Service: "app", Lost: true}

// TestWay checks how an instance reaches the replica a of three replicas.
func TestWay(t *testing.T) {
	cases := []struct {
		name       string
		prepare    func(t *Tracker)
		lastResort bool
		want       Way
	}{
		{"nothing failed", func(*Tracker) {}, false, Direct},
		{"another replica timed out", func(t *Tracker) { t.Failed(start, t.Pool.Get("b"), true) }, false, Relayed},
		{"another replica refused", func(t *Tracker) { t.Failed(start, t.Pool.Get("b"), false) }, false, Direct},
		{"two others refused", func(t *Tracker) {
			t.Failed(start, t.Pool.Get("b"), false)
			t.Failed(start, t.Pool.Get("c"), false)
		}, false, Relayed},
		{"another timed out, and one answered since", func(t *Tracker) {
			t.Failed(start, t.Pool.Get("b"), true)
			t.Proven(start.Add(1), t.Pool.Get("c"), start)
		}, false, Direct},
		{"it refused", func(t *Tracker) { t.Failed(start, t.Pool.Get("a"), false) }, false, Unreachable},
		{"it refused, and nothing else can serve the call", func(t *Tracker) { t.Failed(start, t.Pool.Get("a"), false) }, true, Relayed},
		{"it timed out, and others answered since", func(t *Tracker) {
			t.Failed(start, t.Pool.Get("a"), true)
			t.Proven(start.Add(1), t.Pool.Get("c"), start)
		}, false, Unreachable},
		{"most timed out, and another answered since", func(t *Tracker) {
			t.Failed(start, t.Pool.Get("a"), true)
			t.Failed(start, t.Pool.Get("b"), true)
			t.Proven(start.Add(1), t.Pool.Get("c"), start)
		}, false, Relayed},
		{"it timed out, and the peer cannot reach it either", func(t *Tracker) {
			t.Failed(start, t.Pool.Get("a"), true)
			t.RelayFailed(start, "peer", "a", ReplicaUnreachable)
		}, true, Unreachable},
		{"it timed out, and the peer reports that it cannot reach it", func(t *Tracker) {
			t.Failed(start, t.Pool.Get("a"), true)
			t.Pool.ObservePeerUsage(start, "peer", map[string]pool.Usage{"a": {Unreachable: true}})
		}, true, Unreachable},
		{"it timed out, and the peer has lost the service", func(t *Tracker) {
			t.Failed(start, t.Pool.Get("a"), true)
			t.ObservePeer(start, "peer", true, []gossip.LinkReport{lostApp})
		}, true, Unreachable},
		{"it timed out, and the peer does not answer", func(t *Tracker) {
			t.Failed(start, t.Pool.Get("a"), true)
			t.Members.MarkFailed(start, "peer")
		}, true, Unreachable},
		{"it timed out, and the peer does not relay", func(t *Tracker) {
			t.Failed(start, t.Pool.Get("a"), true)
			t.ObservePeer(start, "peer", false, nil)
		}, true, Unreachable},
		{"another timed out, and no peer reaches it", func(t *Tracker) {
			t.Failed(start, t.Pool.Get("b"), true)
			t.ObservePeer(start, "peer", true, []gossip.LinkReport{lostApp})
		}, false, Direct},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := newTracker("a", "b", "c")
			tracker.addPeer("peer", "z")
			c.prepare(tracker)
			is.New(t).Equal(tracker.Way(start, tracker.Pool.Get("a"), c.lastResort, nil), c.want)
		})
	}
}

// TestChooseRelay checks that attempts are spread over the peers that reach the replica, with more
// at those of the same zone, and that a peer that failed is left out for a time.
func TestChooseRelay(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", "b", "c")
	tracker.addPeer("near", "z")
	tracker.addPeer("far", "other")
	tracker.addPeer("lost", "z", lostApp)
	tracker.Failed(start, tracker.Pool.Get("a"), true)
	chosen := func(now clock.Instant) map[string]int {
		n := map[string]int{}
		for range 300 {
			if p := tracker.ChooseRelay(now, tracker.Pool.Get("a"), nil); p != nil {
				n[p.Name]++
			}
		}
		return n
	}
	n := chosen(start)
	is.Equal(n["near"]+n["far"], 300)
	is.True(n["near"] > n["far"])
	is.True(n["far"] > 50)
	tracker.RelayFailed(start, "near", "a", PeerUnreachable)
	is.Equal(chosen(start), map[string]int{"far": 300})
	heard := start.Add(time.Second)
	tracker.ObservePeer(heard, "near", true, nil)
	is.Equal(len(chosen(heard)), 2)
	tracker.RelayFailed(heard, "near", "a", PeerUnreachable)
	later := heard.Add(reportTTL + time.Second)
	tracker.ObservePeer(later, "far", true, nil)
	is.Equal(chosen(later), map[string]int{"far": 300}) // the others were not heard of lately
	is.True(chosen(later.Add(reportTTL + time.Second))["near"] > 0)
}

// Guards against calls of an instance in a zone that is cut off being lost at peers outside it: one
// that was not heard of since the links failed is asked only if there is no other.
func TestPeersHeardSinceTheLinksFailed(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", "b", "c")
	tracker.addPeer("outside", "other")
	tracker.addPeer("inside", "z")
	failed := start.Add(time.Second)
	tracker.Failed(failed, tracker.Pool.Get("a"), true)
	first := tracker.ChooseRelay(failed, tracker.Pool.Get("a"), nil)
	second := tracker.ChooseRelay(failed, tracker.Pool.Get("a"), nil)
	is.True(first != nil && second != nil && first.Name != second.Name)     // neither was heard of
	is.True(tracker.ChooseRelay(failed, tracker.Pool.Get("a"), nil) == nil) // one attempt at each
	heard := failed.Add(100 * time.Millisecond)
	tracker.ObservePeer(heard, "inside", true, nil)
	for range 100 {
		is.Equal(tracker.ChooseRelay(heard, tracker.Pool.Get("a"), nil).Name, "inside")
	}
	tracker.RelayAnswered(heard, "outside")
	tracker.cache = candidateCache{}
	chosen := map[string]bool{}
	for range 100 {
		chosen[tracker.ChooseRelay(heard, tracker.Pool.Get("a"), nil).Name] = true
	}
	is.Equal(len(chosen), 2)
	tracker.RelayFailed(heard, "inside", "a", PeerUnreachable)
	tracker.RelayFailed(heard, "outside", "a", PeerUnreachable)
	is.True(tracker.ChooseRelay(heard.Add(peerBackoff-time.Millisecond), tracker.Pool.Get("a"), nil) == nil)
}

// Guards against links that work again being taken for broken because of attempts that began
// before.
func TestFailuresFromBeforeTheLinkWorked(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", "b", "c")
	a := tracker.Pool.Get("a")
	tracker.Failed(start, a, true)
	back := start.Add(time.Second)
	tracker.Proven(back, a, back)
	tracker.Failed(back.Add(bounds.DialTimeout-time.Millisecond), a, true)
	is.True(!a.LinkBroken() && !tracker.Doubtful("app"))
	tracker.Failed(back.Add(bounds.DialTimeout), a, true)
	is.True(a.LinkBroken())
	tracker.Proven(back.Add(time.Second), a, back.Add(time.Second))
	tracker.Failed(back.Add(time.Second), a, false) // a refusal arrives at once
	is.True(a.LinkBroken())
}

// Guards against calls that are rejected because the peers that seem best do not reach a replica,
// although another one, of which less is known, may.
func TestRelaysAreLookedForAmongAllPeers(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", "b", "c")
	tracker.addPeer("proven", "z", gossip.LinkReport{Service: "app", Proven: true})
	tracker.addPeer("earlier", "z", gossip.LinkReport{Service: "app", Proven: true, ProvenAge: time.Second})
	tracker.Failed(start, tracker.Pool.Get("a"), true)
	tracker.RelayFailed(start, "proven", "a", ReplicaUnreachable)
	is.Equal(tracker.ChooseRelay(start, tracker.Pool.Get("a"), nil).Name, "earlier")
	is.Equal(tracker.ChooseRelay(start, tracker.Pool.Get("b"), nil).Name, "proven")
}

// TestRelaysWhoseLinksAreProven checks that a peer whose links have worked since this instance's
// failed is preferred: another one may have lost its links at the same time.
func TestRelaysWhoseLinksAreProven(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", "b", "c")
	tracker.addPeer("proven", "other", gossip.LinkReport{Service: "app", Proven: true})
	tracker.addPeer("earlier", "z", gossip.LinkReport{Service: "app", Proven: true, ProvenAge: time.Second})
	tracker.addPeer("never", "z", gossip.LinkReport{Service: "app"})
	tracker.Failed(start, tracker.Pool.Get("a"), true)
	for range 100 {
		is.Equal(tracker.ChooseRelay(start, tracker.Pool.Get("a"), nil).Name, "proven")
	}
	tracker.Members.MarkFailed(start, "proven")
	tracker.cache = candidateCache{}
	is.True(tracker.ChooseRelay(start, tracker.Pool.Get("a"), nil).Name != "proven")
}

// probed answers the probes of this step, each with the given result.
func (t *Tracker) probed(now clock.Instant, connected bool) (replicas []string) {
	for _, a := range t.Out.Actions() {
		if p, ok := a.(Probe); ok {
			replicas = append(replicas, p.Replica.Name)
		}
	}
	t.Out.Reset()
	for _, name := range replicas {
		t.HandleProbed(now, Probed{Replica: t.Pool.Get(name).Incarnation(), Connected: connected, TimedOut: !connected})
	}
	return replicas
}

// TestProbes checks that a broken link is probed until it works, ever more seldom, and that links
// in doubt are probed at once.
func TestProbes(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", "b", "c")
	tracker.Failed(start, tracker.Pool.Get("a"), true)
	tracker.Tick(start)
	is.Equal(len(tracker.probed(start, true)), 2) // b and c: the links are in doubt
	is.True(!tracker.Doubtful("app"))
	is.True(tracker.Pool.Get("a").LinkBroken())
	var at []time.Duration
	for d := time.Duration(0); d < 10*time.Second; d += 10 * time.Millisecond {
		tracker.Tick(start.Add(d))
		if slices.Contains(tracker.probed(start.Add(d), false), "a") {
			at = append(at, d)
		}
	}
	is.Equal(at[0], firstProbeDelay)
	for i := range at[1:] {
		is.True(at[i+1]-at[i] < 2*maxProbeDelay)
	}
	is.True(len(at) >= 9)
	is.True(len(at) <= 15)
	for d := 10 * time.Second; d < 12*time.Second; d += 10 * time.Millisecond {
		tracker.Tick(start.Add(d))
		tracker.probed(start.Add(d), true)
	}
	is.True(!tracker.Pool.Get("a").LinkBroken())
	tracker.Tick(start.Add(20 * time.Second))
	is.Equal(tracker.probed(start.Add(20*time.Second), true), nil)
}

// TestLinksAtFault checks when failed connections are put down to the links of this instance:
// connections to many replicas began to fail at the same time.
func TestLinksAtFault(t *testing.T) {
	cases := []struct {
		name   string
		failed map[string]time.Duration // when connecting to each replica first failed
		want   bool
	}{
		{"one", map[string]time.Duration{"a": 0}, false},
		{"two at once", map[string]time.Duration{"a": 0, "b": 0}, false},
		{"a third at once", map[string]time.Duration{"a": 0, "b": 10 * time.Millisecond, "c": 20 * time.Millisecond}, true},
		{"a third one after the other", map[string]time.Duration{"a": 0, "b": time.Second, "c": 2 * time.Second}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker := newTracker("a", "b", "c", "d", "e", "f", "g", "h", "i")
			for name, at := range c.failed {
				tracker.Failed(start.Add(at), tracker.Pool.Get(name), false)
			}
			is.New(t).Equal(tracker.AtFault(start, tracker.Pool.Get("a").Incarnation()), c.want)
		})
	}
}

// Guards against a saturated instance that takes its own delay for lost links: it would relay its calls,
// which costs it as much as sending them, and release its engines.
func TestTimeoutsWhileSaturated(t *testing.T) {
	for _, c := range []struct {
		name      string
		saturated bool
		proven    bool // a link to another replica has just worked
		timedOut  bool
		lost      bool
	}{
		{"saturated, and others answer", true, true, true, false},
		{"saturated, and none answers", true, false, true, true},
		{"saturated, and refused", true, true, false, true},
		{"not saturated", false, true, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tracker := newTracker("a", "b", "c")
			at := start.Add(5 * time.Second)
			if c.saturated {
				tracker.Saturation.Report(at)
			}
			if c.proven {
				tracker.Proven(at, tracker.Pool.Get("c"), at)
			}
			for _, name := range []string{"a", "b"} {
				tracker.Failed(at.Add(10*time.Millisecond), tracker.Pool.Get(name), c.timedOut)
			}
			is.Equal(tracker.Lost("app"), c.lost)
		})
	}
}

// Guards against a peer that is not asked to relay for seconds because this instance was too slow for its
// answer.
func TestRelayTimeoutWhileSaturated(t *testing.T) {
	for saturated, wait := range map[bool]time.Duration{false: peerBackoff, true: busyBackoff} {
		is := is.New(t)
		tracker := newTracker("a")
		tracker.addPeer("p", "z")
		if saturated {
			tracker.Saturation.Report(start)
		}
		tracker.RelayFailed(start, "p", "a", PeerUnreachable)
		is.True(!tracker.Relayable(start.Add(wait-time.Millisecond), tracker.Pool.Get("a"), nil))
		is.True(tracker.Relayable(start.Add(wait+candidateTTL), tracker.Pool.Get("a"), nil))
	}
}

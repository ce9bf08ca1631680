package streams

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/shared"
)

var start = clocktest.At(time.Hour)

// A fixture is a tracker and the values that it reads.
type fixture struct {
	*Tracker
	knownAt   clock.Instant
	instances map[string]registry.Instance
	found     []Answer
}

// newFixture returns the tracker of an instance. Its list is known since start if knows is set.
func newFixture(name, zone string, mesh, firstStart bool) *fixture {
	opt := option.Default()
	opt.FirstStart = firstStart
	opt.WatchWait = 0 // derived from the bounds
	f := &fixture{instances: map[string]registry.Instance{}}
	f.Tracker = New(Deps{
		State:          shared.New(member.Identity{Name: name, Zone: zone, Address: name}, opt, 1),
		Instances:      func() map[string]registry.Instance { return f.instances },
		FullMesh:       func() bool { return mesh },
		ListKnownUntil: func() clock.Instant { return f.knownAt },
		Found:          func(_ clock.Instant, _ calls.ID, a Answer) { f.found = append(f.found, a) },
	})
	if firstStart {
		f.FirstOfFleet()
	}
	return f
}

// list announces replicas with these versions, as one change of the list at now.
func (f *fixture) list(now clock.Instant, software ...string) {
	for _, v := range software {
		name := "r-" + v
		f.Pool.Announce(now, name, pool.Announcement{Service: "s", Address: name, Zone: "z", Slots: 1, Software: v})
		f.HandleAnnounced(now, name)
	}
}

// readList makes everything in the list known up to now.
func (f *fixture) readList(now clock.Instant) {
	f.HandleListRead(false)
	f.knownAt = now
	f.Tick(now)
}

// requests returns the requests sent since the last call.
func (f *fixture) requests() []SendRequest {
	var out []SendRequest
	for _, a := range f.Out.Actions() {
		if r, ok := a.(SendRequest); ok {
			out = append(out, r)
		}
	}
	f.Out.Reset()
	return out
}

// TestOnlyVersion checks when an instance knows that a single version can have begun all streams.
func TestOnlyVersion(t *testing.T) {
	l := newFixture("i", "z", true, true).limits()
	for _, c := range []struct {
		name       string
		firstStart bool
		do         func(f *fixture) clock.Instant // returns the time of the question
		want       bool
	}{
		{"the first start of the fleet", true, func(*fixture) clock.Instant { return start }, true},
		{"a later start", false, func(*fixture) clock.Instant { return start }, false},
		{"a later start, long ago", false, func(f *fixture) clock.Instant {
			for at := time.Duration(0); at <= Lifetime; at += time.Second {
				f.readList(start.Add(at))
			}
			return start.Add(Lifetime)
		}, true},
		{"an old list", true, func(*fixture) clock.Instant { return start.Add(l.listAge) }, false},
		{"another version, just heard of", true, func(f *fixture) clock.Instant {
			f.list(start.Add(time.Second), "v2")
			f.readList(start.Add(time.Second))
			return start.Add(time.Second)
		}, true},
		{"another version, heard of a hold time ago", true, func(f *fixture) clock.Instant {
			f.list(start.Add(time.Second), "v2")
			f.readList(start.Add(l.hold))
			return start.Add(l.hold)
		}, false},
		{"another version that is gone, within the lifetime of streams", true, func(f *fixture) clock.Instant {
			f.list(start, "v2")
			at := start.Add(Lifetime - time.Second)
			f.Pool.MarkVanished(start, "r-v2", start)
			f.Pool.ExpireVanished(start.Add(time.Minute), 0)
			f.readList(at)
			return at
		}, false},
		{"an instance of an earlier build", true, func(f *fixture) clock.Instant {
			f.instances["old"] = registry.Instance{Name: "old"}
			f.readList(start.Add(time.Second))
			return start.Add(time.Second)
		}, false},
		{"a gap in what is known, without the changes", true, func(f *fixture) clock.Instant {
			at := start.Add(l.listAge + time.Second)
			f.HandleListRead(true)
			f.knownAt = at
			f.Tick(at)
			return at
		}, false},
		{"a gap in what is known, before the next tick", true, func(f *fixture) clock.Instant {
			f.knownAt = start.Add(l.listAge + time.Second)
			return f.knownAt
		}, false},
		{"a gap in what is known, with all changes since", true, func(f *fixture) clock.Instant {
			at := start.Add(l.listAge + time.Second)
			f.readList(at)
			return at
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture("i", "z", true, c.firstStart)
			f.instances["i"] = registry.Instance{Name: "i", HoldsVersions: true}
			f.list(start, "v1")
			f.readList(start)
			now := c.do(f)
			software, ok := f.Sole(now, "s")
			is.Equal(ok, c.want)
			is.True(!ok || software == "v1")
		})
	}
}

// TestNoStreamBeginsUnheardOf guards against an instance that takes a version for the only one while
// another instance begins streams at a further one: at no time may both hold, whenever either hears
// of the further version and however old its list is.
func TestNoStreamBeginsUnheardOf(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	both := 0
	for range 2000 {
		a, b := newFixture("a", "z", true, true), newFixture("b", "z", true, true)
		wait := a.limits().hold - a.limits().listAge
		for _, f := range []*fixture{a, b} {
			f.instances["a"] = registry.Instance{HoldsVersions: true}
			f.list(start, "v1")
			f.readList(start)
		}
		listed := time.Duration(rng.Int64N(int64(2 * time.Second)))
		heard := map[*fixture]bool{}
		next := map[*fixture]time.Duration{}
		for at := time.Duration(0); at < 12*time.Second; at += 50 * time.Millisecond {
			now := start.Add(at)
			for _, f := range []*fixture{a, b} {
				if at < next[f] {
					continue
				}
				next[f] = at + time.Duration(rng.Int64N(int64(4*time.Second)))
				// The answer to a watch may be delayed by its wait.
				complete := at - time.Duration(rng.Int64N(int64(wait)))
				if complete >= listed && !heard[f] {
					heard[f] = true
					f.list(now, "v2")
				}
				f.readList(now)
			}
			_, sole := b.Sole(now, "s")
			if heard[a] && !a.OnHold(now, Origin{Service: "s", Software: "v2"}) {
				both++
				if sole {
					t.Fatalf("at %v one instance begins streams at a version listed at %v that another one does not know", at, listed)
				}
			}
		}
	}
	if both == 0 {
		t.Error("no stream began at the further version")
	}
}

// TestKeepersAreAsked checks that an instance which is asked to go on with a stream asks an instance
// that was told of it, in fleets of all sizes, also after the zone where the stream began is lost.
func TestKeepersAreAsked(t *testing.T) {
	for _, size := range []struct{ instances, zones int }{{8, 3}, {17, 2}, {46, 2}, {46, 4}, {370, 8}} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			mesh := size.instances <= 16
			view := func(self int, lost string) fleetView {
				f := newFixture(fmt.Sprint("i", self), fmt.Sprint("z", self%size.zones), mesh, true)
				for i := range size.instances {
					if zone := fmt.Sprint("z", i%size.zones); zone != lost {
						f.Members.Upsert(fmt.Sprint("i", i), zone, fmt.Sprint("i", i))
					}
				}
				return f.view()
			}
			names := func(peers []*member.Peer) (out []string) {
				for _, p := range peers {
					out = append(out, p.Name)
				}
				return out
			}
			unknown, all := 0, 0
			for id := ID(1); id <= 200; id++ {
				beginner, taker := int(id)%size.instances, int(7*id+3)%size.instances
				if beginner%size.zones == taker%size.zones {
					taker = (taker + 1) % size.instances
				}
				told := names(view(beginner, "").keepers(id))
				lost := view(beginner, "").zone
				for _, from := range []string{"", lost} {
					all++
					v := view(taker, from)
					asked := append(names(v.asked(id)), v.self)
					if !slices.ContainsFunc(asked, func(n string) bool { return slices.Contains(told, n) || n == fmt.Sprint("i", beginner) }) {
						unknown++
					}
				}
				if !mesh && len(told) > toldZones+1 {
					t.Errorf("%d instances are told of a stream", len(told))
				}
			}
			// An instance leaves itself out, so where it is the first of its zone the second is told.
			if unknown > all/50 {
				t.Errorf("%d of %d streams are not known where they are taken up", unknown, all)
			}
		})
	}
}

// TestStreamsAreToldWhileSeveralVersionsServe checks that nothing is sent while one version serves,
// that the streams in progress are told once another one may begin some, and each later one at once.
func TestStreamsAreToldWhileSeveralVersionsServe(t *testing.T) {
	is := is.New(t)
	f := newFixture("i", "z", true, true)
	f.Members.Upsert("p", "z", "p")
	f.instances["i"] = registry.Instance{HoldsVersions: true}
	f.list(start, "v1")
	f.readList(start)
	v1 := Origin{Service: "s", Software: "v1"}
	f.Begun(start, 1, v1, pool.Incarnation{}, false)
	f.Begun(start, 2, v1, pool.Incarnation{}, false)
	f.Ended(2)
	is.Equal(len(f.requests()), 0)
	f.list(start.Add(time.Second), "v2")
	f.readList(start.Add(1500 * time.Millisecond))
	is.Equal(len(f.requests()), 0) // no stream can have begun there yet
	now := start.Add(time.Second + f.limits().hold)
	f.readList(now)
	sent := f.requests()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Request.Began, []Group{{Origin: v1, IDs: []ID{1}}})
	f.Begun(now, 3, Origin{Service: "s", Software: "v2"}, pool.Incarnation{}, false)
	is.Equal(f.requests()[0].Request.Began, []Group{{Origin: Origin{Service: "s", Software: "v2"}, IDs: []ID{3}}})
}

// TestStreamsOfSplitRoutesAreTold checks that keepers are told of a stream whose route is split between
// services although its service has one version, and that a peer then knows which service began it. It guards
// against streams that nobody can continue once their instance has ended.
func TestStreamsOfSplitRoutesAreTold(t *testing.T) {
	for _, split := range []bool{false, true} {
		t.Run(fmt.Sprint("split: ", split), func(t *testing.T) {
			is := is.New(t)
			f, peer := newFixture("i", "z", true, true), newFixture("p", "z", true, true)
			f.Members.Upsert("p", "z", "p")
			f.instances["i"] = registry.Instance{HoldsVersions: true}
			f.list(start, "v1")
			f.readList(start)
			origin := Origin{Service: "s", Software: "v1"}
			f.Begun(start, 1, origin, pool.Incarnation{}, split)
			sent := f.requests()
			is.Equal(len(sent) == 1, split)
			for _, r := range sent {
				is.Equal(r.Request.Began, []Group{{Origin: origin, IDs: []ID{1}}})
				peer.HandleRequest(start, RequestReceived{Request: r.Request})
			}
			is.Equal(peer.Find(start, Query{ID: 1, Service: "other"}), map[bool]Answer{true: {Known: true, Origin: origin}}[split])
		})
	}
}

// TestLookups checks what becomes of a question to two peers.
func TestLookups(t *testing.T) {
	known := Answer{Known: true, Origin: Origin{Service: "s", Software: "v2"}}
	sole := Answer{Sole: true, Origin: Origin{Service: "s", Software: "v1"}}
	ambiguous := Answer{Ambiguous: true}
	failed := errors.New("no answer")
	for _, c := range []struct {
		name    string
		answers []Answer
		errs    []error
		want    []Answer
	}{
		{"the first knows it", []Answer{known, {}}, []error{nil, nil}, []Answer{known}},
		{"the second knows it", []Answer{{}, known}, []error{nil, nil}, []Answer{known}},
		{"the first does not answer", []Answer{{}, known}, []error{failed, nil}, []Answer{known}},
		{"none knows it", []Answer{{}, {}}, []error{nil, nil}, []Answer{{}}},
		{"none answers", []Answer{{}, {}}, []error{failed, failed}, []Answer{{}}},
		{"one knows the only version", []Answer{sole, {}}, []error{nil, nil}, []Answer{sole}},
		{"one knows it, another one the only version", []Answer{sole, known}, []error{nil, nil}, []Answer{known}},
		{"two streams have the ID", []Answer{ambiguous, known}, []error{nil, nil}, []Answer{ambiguous}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture("i", "z", true, false)
			f.Members.Upsert("p", "z", "p")
			f.Members.Upsert("q", "z", "q")
			is.True(f.Ask(start, 7, Query{ID: 1, Service: "s"}))
			for i, r := range f.requests() {
				f.HandleReply(start, Reply{Token: r.Token, Peer: r.Peer, Answer: c.answers[i], Err: c.errs[i]})
			}
			is.Equal(f.found, c.want)
		})
	}
}

// TestNobodyToAsk checks that an instance without peers does not wait for answers.
func TestNobodyToAsk(t *testing.T) {
	is.New(t).True(!newFixture("i", "z", true, false).Ask(start, 7, Query{ID: 1, Service: "s"}))
}

// TestSameIDOfTwoStreams checks that a stream is not known by an ID that two streams of different
// versions have.
func TestSameIDOfTwoStreams(t *testing.T) {
	is := is.New(t)
	f := newFixture("i", "z", true, false)
	f.Begun(start, 1, Origin{Service: "s", Software: "v1"}, pool.Incarnation{}, false)
	is.True(f.Find(start, Query{ID: 1, Service: "s"}).Known)
	f.HandleRequest(start, RequestReceived{Request: Request{Began: []Group{{Origin: Origin{Service: "s", Software: "v2"}, IDs: []ID{1}}}}})
	is.Equal(f.Find(start, Query{ID: 1, Service: "s"}).Known, false)
	is.Equal(f.Find(start, Query{ID: 1, Service: "s"}).Ambiguous, true)
}

// TestRecordsEnd checks that records are removed, and that their number is bounded.
func TestRecordsEnd(t *testing.T) {
	is := is.New(t)
	f := newFixture("i", "z", true, true)
	for id := range ID(maxRecords + 10) {
		f.Begun(start, id+1, Origin{Service: "s"}, pool.Incarnation{}, false)
	}
	f.Tick(start)
	is.Equal(len(f.records), maxRecords)
	f.Tick(start.Add(Lifetime))
	is.Equal(len(f.records), 0)
}

// TestIDs checks that streams of different callers have different IDs.
func TestIDs(t *testing.T) {
	is := is.New(t)
	is.Equal(NewID("h", ""), ID(0))
	is.Equal(NewID("h", "a"), NewID("h", "a"))
	is.True(NewID("h", "a") != NewID("h", "b"))
	is.True(NewID("h", "a") != NewID("i", "a"))
	is.True(NewID("ha", "b") != NewID("h", "ab"))
}

// TestVersionsAreAdopted checks that an instance that has started knows the versions of the time
// before from a peer that does, and goes by its own list if no peer does.
func TestVersionsAreAdopted(t *testing.T) {
	is := is.New(t)
	peer := newFixture("p", "z", true, true)
	peer.list(start, "v1")
	peer.readList(start)
	now := start.Add(30 * time.Second)
	peer.readList(now.Add(-100 * time.Millisecond))
	peer.list(now, "v2")
	peer.readList(now)

	f := newFixture("i", "z", true, false)
	f.instances["p"] = registry.Instance{HoldsVersions: true}
	f.instances["i"] = registry.Instance{HoldsVersions: true}
	f.list(now, "v1", "v2")
	f.readList(now)
	v2 := Origin{Service: "s", Software: "v2"}
	is.True(f.OnHold(now, v2))
	is.Equal(len(peer.Report(now, "i").Reports), 0) // it did not say that it does not know
	peer.HandleReport(now, "i", f.Report(now, "p"), now)
	report := peer.Report(now, "i")
	is.Equal(len(report.Reports), 2)
	f.HandleReport(now, "p", report, now.Add(-f.limits().listAge-time.Millisecond))
	is.True(f.OnHold(now, Origin{Service: "s", Software: "v1"})) // the report is older than its own list
	f.HandleReport(now, "p", report, now)
	is.True(!f.OnHold(now, Origin{Service: "s", Software: "v1"}))
	is.True(f.OnHold(now, v2))
	f.readList(now.Add(time.Second))
	software, ok := f.Sole(now.Add(time.Second), "s")
	is.True(ok && software == "v1")

	g := newFixture("j", "z", true, false)
	g.instances["p"] = registry.Instance{HoldsVersions: true}
	g.list(now, "v1", "v2")
	g.readList(now)
	is.True(g.OnHold(now, v2))
	g.HandleReport(now, "p", gossip.Versions{}, now)
	is.True(!g.OnHold(now, v2)) // the only peer does not know either
}

// TestRestartsAsAnotherVersion checks that a stream is not known any more if the replica that began it
// turns out to have restarted as another version shortly after, or before, and that its keepers are
// told so; earlier streams and restarts as the same version change nothing.
func TestRestartsAsAnotherVersion(t *testing.T) {
	former, next := pool.Incarnation{Name: "r", Born: "1"}, pool.Incarnation{Name: "r", Born: "2"}
	v1 := Origin{Service: "s", Software: "v1"}
	for _, c := range []struct {
		name     string
		after    time.Duration
		replica  pool.Incarnation
		software string
		known    bool
	}{
		{"soon after", time.Second, next, "v2", false},
		{"long after", 3 * time.Second, next, "v2", true},
		{"as the same version", time.Second, next, "v1", true},
		{"another replica", time.Second, pool.Incarnation{Name: "q", Born: "2"}, "v2", true},
		{"the incarnation that began it", time.Second, former, "v2", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture("i", "z", true, false)
			f.Members.Upsert("p", "z", "p")
			f.Begun(start, 1, v1, former, false)
			f.requests()
			f.ReplicaRestarted(start.Add(c.after), c.replica, c.software)
			is.Equal(f.Find(start, Query{ID: 1, Service: "s"}).Known, c.known)
			sent := f.requests()
			is.Equal(len(sent) == 0, c.known)
			if !c.known {
				is.Equal(sent[0].Request.Began, []Group{{Origin: v1, Ambiguous: true, IDs: []ID{1}}})
			}
		})
	}
}

// Guards against a saturated instance that sends a request to each keeper for each stream that begins, and
// against streams of which no keeper is told.
func TestKeepersAreToldTogetherWhileSaturated(t *testing.T) {
	is := is.New(t)
	f := newFixture("i", "z", true, false)
	f.list(start, "v1", "v2")
	f.readList(start)
	for _, name := range []string{"a", "b", "c"} {
		f.Members.Upsert(name, "z", name)
	}
	const streams = 50
	told := func() (requests, ids int) {
		for _, r := range f.requests() {
			requests++
			for _, g := range r.Request.Began {
				ids += len(g.IDs)
			}
		}
		return requests, ids
	}
	begin := func() {
		for id := range ID(streams) {
			f.Begun(start, id+1, Origin{Service: "s", Software: "v1"}, pool.Incarnation{}, false)
		}
	}
	begin()
	requests, ids := told()
	is.Equal(requests, 3*streams) // at once
	is.Equal(ids, 3*streams)
	f.Saturation.Report(start)
	begin()
	f.Tick(start.Add(saturatedTellInterval - time.Millisecond))
	requests, _ = told()
	is.Equal(requests, 0)
	f.Tick(start.Add(saturatedTellInterval))
	requests, ids = told()
	is.Equal(requests, 3)
	is.Equal(ids, 3*streams)
	f.Tick(start.Add(2 * saturatedTellInterval))
	requests, _ = told()
	is.Equal(requests, 0)
}

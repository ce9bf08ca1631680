package quarantine

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/crash/crashtest"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/step"
)

// bad is the request that crashes replicas in these tests.
const bad = crash.Fingerprint(7)

// A fixture is a tracker with a record of its effects.
type fixture struct {
	*Tracker
	now       clock.Instant
	exchanges int
	canceled  []crash.Fingerprint
}

func newFixture() *fixture { return newFixtureNamed("i") }

// newFixtureNamed returns the tracker of the instance with this name.
func newFixtureNamed(name string) *fixture {
	b := &fixture{now: clocktest.At(time.Hour)}
	b.Tracker = New(Deps{
		State:             shared.New(member.Identity{Name: name, Zone: "z", Boot: 1}, option.Default(), 1),
		Stored:            true,
		Tell:              func(clock.Instant) { b.exchanges++ },
		Direct:            func() bool { return true },
		ConnectionRefused: func(clock.Instant, pool.Incarnation) {},
		LinksAtFault:      func(clock.Instant, pool.Incarnation) bool { return false },
		Cut:               func(c crash.Cause, _ time.Duration) { b.canceled = append(b.canceled, crash.Fingerprint(c.ID())) },
	})
	return b
}

// replica announces a replica and returns it.
func (f *fixture) replica(name string, leaving bool) *pool.Replica {
	f.Pool.Announce(f.now, name, pool.Announcement{Service: "s", Address: name, Slots: 1, Leaving: leaving})
	return f.Pool.Get(name)
}

// incarnation returns the only incarnation of a replica.
func incarnation(name string) pool.Incarnation { return pool.Incarnation{Name: name} }

// advance advances the clock by span, with ticks, and returns the actions.
func (f *fixture) advance(span time.Duration) []step.Action {
	f.Out.Reset()
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(10 * time.Millisecond) {
		f.Tick(f.now)
	}
	return f.Out.Actions()
}

// whole returns a request whose prompt has no shared parts.
func whole(fingerprint crash.Fingerprint) crash.Request {
	return crash.Request{Fingerprint: fingerprint}
}

// traits returns the traits of such a request.
func traits(fingerprint crash.Fingerprint) []crash.Trait { return whole(fingerprint).Traits("s") }

// crash simulates the crash of a replica that runs requests.
func (f *fixture) crash(name string, requests ...crash.Fingerprint) {
	r := f.replica(name, false)
	for _, request := range requests {
		f.Severed(f.now, whole(request), r)
	}
	f.ReplicaEnded(f.now, incarnation(name))
}

// actionsOf returns the actions of type T.
func actionsOf[T step.Action](actions []step.Action) []T {
	var out []T
	for _, a := range actions {
		if x, ok := a.(T); ok {
			out = append(out, x)
		}
	}
	return out
}

// TestCrashEvidence checks what this instance's calls to a replica show, and whether it reports
// the replica as one that ended under them.
func TestCrashEvidence(t *testing.T) {
	cases := []struct {
		name     string
		simulate func(b *fixture)
		want     int // requests reported
	}{
		{"severed, then nothing listens", func(b *fixture) { b.crash("r", bad, 8) }, 2},
		{"nothing listens, then severed", func(b *fixture) {
			r := b.replica("r", false)
			b.ReplicaEnded(b.now, incarnation("r"))
			b.Severed(b.now, whole(bad), r)
		}, 1},
		{"severed, and a check shows that nothing listens", func(b *fixture) {
			b.Severed(b.now, whole(bad), b.replica("r", false))
			b.advance(2 * bounds.CrashCheckDelay)
			b.Checked(b.now, Checked{Replica: incarnation("r"), Ended: true})
		}, 1},
		{"severed, and a check shows that it listens", func(b *fixture) {
			b.Severed(b.now, whole(bad), b.replica("r", false))
			b.advance(2 * bounds.CrashCheckDelay)
			b.Checked(b.now, Checked{Replica: incarnation("r")})
		}, 0},
		{"severed, without a check result", func(b *fixture) { b.Severed(b.now, whole(bad), b.replica("r", false)) }, 0},
		{"nothing listens, and no call was severed", func(b *fixture) { b.ReplicaEnded(b.now, incarnation("r")) }, 0},
		{"severed by a leaving replica", func(b *fixture) {
			b.Severed(b.now, whole(bad), b.replica("r", true))
			b.ReplicaEnded(b.now, incarnation("r"))
		}, 0},
		{"severed long before nothing listens", func(b *fixture) {
			b.Severed(b.now, whole(bad), b.replica("r", false))
			b.advance(2 * evidenceWindow)
			b.ReplicaEnded(b.now, incarnation("r"))
		}, 0},
		{"caller disconnected just before", func(b *fixture) {
			b.CallerDisconnected(b.now, whole(bad), b.replica("r", false))
			b.advance(100 * time.Millisecond)
			b.crash("r", 8)
		}, 2},
		{"caller disconnected just before, no other calls", func(b *fixture) {
			b.CallerDisconnected(b.now, whole(bad), b.replica("r", false))
			b.advance(100 * time.Millisecond)
			b.ReplicaEnded(b.now, incarnation("r"))
		}, 1},
		{"caller disconnected long before", func(b *fixture) {
			b.CallerDisconnected(b.now, whole(bad), b.replica("r", false))
			b.advance(2 * disconnectWindow)
			b.crash("r", 8)
		}, 1},
		{"a request without a fingerprint", func(b *fixture) { b.crash("r", 0) }, 0},
		{"severed while the links of this instance are at fault", func(b *fixture) {
			b.LinksAtFault = func(clock.Instant, pool.Incarnation) bool { return true }
			b.crash("r", bad, 8)
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture()
			c.simulate(b)
			b.advance(2 * bounds.CrashConfirmDelay)
			reported := 0
			for _, r := range b.Records.Crashes() {
				reported += len(r.Requests)
			}
			is.Equal(reported, c.want)
		})
	}
}

// TestOneCheckPerReplica checks that a replica that severs many calls is checked once, and not
// at all if a call shows that its process has ended.
func TestOneCheckPerReplica(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	r := b.replica("r", false)
	for request := range crash.Fingerprint(20) {
		b.Severed(b.now, whole(request+1), r)
	}
	b.crash("gone", bad)
	is.Equal(actionsOf[Check](b.advance(time.Second)), []Check{{Replica: incarnation("r"), Address: "r"}})
}

// TestQuarantineTerms checks that a request is quarantined for its term, then runs until one
// more replica crashes under it, and is quarantined for twice as long then; in the end the
// verdict is removed.
func TestQuarantineTerms(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	for _, name := range []string{"a", "b", "c"} {
		is.Equal(b.Remaining(b.now, traits(bad)), time.Duration(0))
		b.crash(name, bad)
		b.advance(time.Second)
	}
	is.Equal(b.canceled, []crash.Fingerprint{bad})
	is.True(b.Remaining(b.now, traits(bad)) > initialTerm-2*time.Second)
	is.True(b.Remaining(b.now, traits(bad)) <= initialTerm)
	b.now = b.now.Add(initialTerm)
	is.Equal(b.Remaining(b.now, traits(bad)), time.Duration(0))
	b.crash("d", bad)
	b.advance(time.Second)
	is.True(b.Remaining(b.now, traits(bad)) > 2*initialTerm-2*time.Second)
	b.now = b.now.Add(4 * initialTerm)
	b.advance(2 * pruneEvery)
	is.Equal(len(b.verdicts), 0)
}

// TestSuspendedTimeCounts checks that a machine that was suspended does not refuse a request
// for longer, though its monotonic clock stood still.
func TestSuspendedTimeCounts(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	for _, name := range []string{"a", "b", "c"} {
		b.crash(name, bad)
		b.advance(time.Second)
	}
	b.now.Wall = b.now.Wall.Add(initialTerm)
	is.Equal(b.Remaining(b.now, traits(bad)), time.Duration(0))
}

// TestEarlyRelease checks what releases a request before its term has passed.
func TestEarlyRelease(t *testing.T) {
	cases := []struct {
		name     string
		simulate func(b *fixture)
		released bool
	}{
		{"nothing", func(*fixture) {}, false},
		{"a call in flight succeeds", func(b *fixture) { b.Served(b.now, traits(bad)) }, true},
		{"it succeeds at another instance", func(b *fixture) {
			b.HandlePeerReports(b.now, "j", nil, []crash.Success{{Trait: crash.Trait(bad)}})
		}, true},
		{"another request was at the same replicas and at more", func(b *fixture) {
			var late []crash.Report
			for n, replica := range []string{"a", "b", "c", "d"} {
				late = append(late, crash.Report{
					Observer: "j", Seq: uint64(n), Replica: incarnation(replica), Requests: crashtest.Requests(8), EventTime: clock.EventTime{Age: time.Duration(3-n) * time.Second},
				})
			}
			b.HandlePeerReports(b.now, "j", late, nil)
		}, true},
		{"another request was at the same replicas", func(b *fixture) {
			var late []crash.Report
			for n, replica := range []string{"a", "b", "c"} {
				late = append(late, crash.Report{
					Observer: "j", Seq: uint64(n), Replica: incarnation(replica), Requests: crashtest.Requests(8), EventTime: clock.EventTime{Age: time.Duration(3-n) * time.Second},
				})
			}
			b.HandlePeerReports(b.now, "j", late, nil)
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture()
			for _, name := range []string{"a", "b", "c"} {
				b.crash(name, bad)
				b.advance(time.Second)
			}
			is.True(b.Remaining(b.now, traits(bad)) > 0)
			c.simulate(b)
			b.advance(2 * bounds.CrashSettleTime)
			is.Equal(b.Remaining(b.now, traits(bad)) == 0, c.released)
		})
	}
}

// TestStoredVerdicts checks that verdicts are written one at a time, again after a failure, and
// not while the store is down; and that a verdict read from the store applies, and is removed
// from it when it no longer holds.
func TestStoredVerdicts(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	const other = crash.Fingerprint(9)
	for _, name := range []string{"a", "b", "c", "d"} {
		b.crash(name, bad)
		b.crash(name+"'", other)
		b.advance(10 * time.Millisecond)
	}
	b.Outage.Observe(b.now, errors.New("no answer"))
	is.Equal(len(actionsOf[StoreVerdict](b.advance(time.Second))), 0)
	b.Outage.Observe(b.now, nil)
	first := actionsOf[StoreVerdict](b.advance(time.Second))
	is.Equal(len(first), 1)
	is.Equal(first[0].Quarantine, registry.Quarantine{ID: crash.CauseID(bad), Replicas: 4})
	is.True(first[0].Term <= maxLeaseTTL)
	b.VerdictStored(b.now, VerdictStored{ID: crash.CauseID(bad), Err: errors.New("no answer")})
	again := actionsOf[StoreVerdict](b.advance(2 * recordRetryDelay))
	is.Equal(len(again), 1)
	is.Equal(again[0].Quarantine.ID, crash.CauseID(bad))
	b.VerdictStored(b.now, VerdictStored{ID: crash.CauseID(bad)})
	next := actionsOf[StoreVerdict](b.advance(time.Second))
	is.Equal(len(next), 1)
	is.Equal(next[0].Quarantine.ID, crash.CauseID(other))
	b.Served(b.now, traits(bad))
	is.Equal(actionsOf[RemoveVerdict](b.advance(2*bounds.CrashSettleTime)), []RemoveVerdict{{Quarantine: registry.Quarantine{ID: crash.CauseID(bad), Replicas: 4}}})

	late := newFixture()
	late.Restored(late.now, registry.Quarantine{ID: crash.CauseID(bad), Replicas: 3})
	is.Equal(late.canceled, []crash.Fingerprint{bad})
	is.True(late.Remaining(late.now, traits(bad)) > 0)
	is.Equal(len(actionsOf[StoreVerdict](late.advance(time.Second))), 0)
}

// TestReportsAreShared checks that reports are sent to peers at once, but only a few times per
// second, and that reports from peers are sent on only if the instances do not all exchange
// directly.
func TestReportsAreShared(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	b.crash("a", bad)
	b.advance(2 * bounds.CrashConfirmDelay)
	is.Equal(b.exchanges, 1)
	for n := range 50 {
		b.crash(string(rune('b'+n)), bad)
		b.advance(10 * time.Millisecond)
	}
	is.True(b.exchanges <= 2+int(500*time.Millisecond/bounds.CrashShareInterval))
	report := func(seq uint64) []crash.Report {
		return []crash.Report{{Observer: "j", Seq: seq, Replica: incarnation("x"), Requests: crashtest.Requests(8)}}
	}
	b.advance(time.Second)
	before := b.exchanges
	b.HandlePeerReports(b.now, "j", report(1), nil)
	b.advance(time.Second)
	is.Equal(b.exchanges, before)
	b.Direct = func() bool { return false }
	b.HandlePeerReports(b.now, "j", report(1), nil) // already known
	b.advance(time.Second)
	is.Equal(b.exchanges, before)
	b.HandlePeerReports(b.now, "j", report(2), nil) // too few crashes for the next one to decide
	b.advance(time.Second)
	is.Equal(b.exchanges, before)
	for seq := range uint64(4) {
		report := crash.Report{Observer: "k", Seq: seq, Replica: incarnation(string(rune('p' + seq))), Requests: crashtest.Requests(8)}
		b.HandlePeerReports(b.now, "k", []crash.Report{report}, nil)
		b.advance(10 * time.Millisecond)
	}
	b.advance(bounds.CrashShareInterval)
	is.True(b.exchanges > before)
	is.True(b.exchanges <= before+2)
	b.advance(2 * relayedShareInterval)
	before = b.exchanges
	for n := range 20 {
		b.crash("own"+string(rune('a'+n)), crash.Fingerprint(100+n)) // too few crashes to blame any request
		b.advance(10 * time.Millisecond)
	}
	is.True(b.exchanges > before)
	is.True(b.exchanges <= before+2)
}

// crashMany simulates the crashes of many replicas, each with a number of requests of its own
// and a bad one.
func (f *fixture) crashMany(replicas, requests int) {
	next := crash.Fingerprint(1000)
	for n := range replicas {
		inFlight := []crash.Fingerprint{bad + crash.Fingerprint(n/crash.MaxCrashes)}
		for range requests {
			next++
			inFlight = append(inFlight, next)
		}
		f.crash("r"+clock.Instant{}.Add(time.Duration(n)).Mono.String(), inFlight...)
		f.advance(10 * time.Millisecond)
	}
}

// TestMemoryIsBounded checks that the tracker's state stays within its bounds, however many
// replicas crash under however many requests.
func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	b.crashMany(maxReports+20, maxRequests+20)
	b.advance(2 * pruneEvery)
	is.True(len(b.Records.Crashes()) <= maxReports)
	for _, r := range b.Records.Crashes() {
		is.True(len(r.Requests) <= maxRequests)
	}
	is.True(len(b.suspects) <= maxReports*maxRequests)
	busy := b.replica("busy", false)
	for n := range crash.Fingerprint(4 * maxRequests) {
		b.CallerDisconnected(b.now, whole(n+1), busy)
		b.now = b.now.Add(time.Millisecond)
	}
	is.True(len(b.disconnects[incarnation("busy")]) <= maxRequests)
	b.advance(evidenceWindow + 2*pruneEvery)
	is.Equal(len(b.disconnects), 0)
	is.True(len(b.evidence) <= maxReports)
	for n := range crash.Fingerprint(2 * maxVerdicts) {
		b.Restored(b.now, registry.Quarantine{ID: crash.CauseID(n + 1_000_000), Replicas: 3})
	}
	b.advance(2 * pruneEvery)
	is.Equal(len(b.verdicts), maxVerdicts)
}

// TestMemoryIsBoundedForParts guards against reports that take unlimited memory because callers make
// up parts of prompts.
func TestMemoryIsBoundedForParts(t *testing.T) {
	is := is.New(t)
	b := newFixture()
	const traitsPerReport = maxRequests + 2*maxReportParts
	next := crash.PartID(1)
	for n := range 2 * maxTraits / traitsPerReport {
		r := b.replica(fmt.Sprint("r", n), false)
		for f := range maxRequests {
			var parts []crash.PartID
			for range crash.MaxParts + 1 {
				next++
				parts = append(parts, next)
			}
			b.Severed(b.now, crash.NewRequest(crash.Fingerprint(n*maxRequests+f+1), "m", parts), r)
		}
		b.ReplicaEnded(b.now, r.Incarnation())
		b.advance(30 * time.Millisecond)
	}
	b.advance(2 * pruneEvery)
	traits := 0
	for _, r := range b.Records.Crashes() {
		is.True(crash.PartCount(r.Requests) <= maxReportParts)
		traits += r.TraitCount()
	}
	is.True(traits > 0)
	is.True(traits <= maxTraits)
	is.True(len(b.suspects) <= maxTraits)
	is.True(len(b.Records.Crashes()) >= maxTraits/traitsPerReport) // no more are dropped than necessary
}

// BenchmarkEvaluate measures one evaluation of the maximum number of reports, each with the
// requests that an instance of a small site has in flight at a busy engine.
func BenchmarkEvaluate(b *testing.B) {
	x := newFixture()
	x.crashMany(maxReports, 8)
	b.ReportAllocs()
	for b.Loop() {
		x.evaluate(x.now)
	}
}

// TestRetriesAreStaggered checks that a request under which so many replicas crashed that the
// next crash decides is sent by one instance after the other, also if it could not be sent at first,
// and that any other request is sent at once.
func TestRetriesAreStaggered(t *testing.T) {
	is := is.New(t)
	names := []string{"i", "j", "k", "l"}
	turns := map[time.Duration][]string{} // instances that may send, by the time since the crash
	const step = 50 * time.Millisecond
	for _, self := range names {
		b := newFixtureNamed(self)
		for _, other := range names {
			b.Members.Upsert(other, "z", other)
		}
		notSuspected := func(request crash.Fingerprint) {
			t.Helper()
			delay, suspected := b.SendDelay(b.now, traits(request))
			is.Equal(delay, time.Duration(0))
			is.True(!suspected)
		}
		for _, name := range []string{"a", "b"} {
			b.crash(name, bad, 8)
		}
		b.advance(2 * bounds.CrashConfirmDelay)
		notSuspected(bad)
		crashed := b.now
		b.crash("c", bad, 8)
		b.crash("d", 8)
		b.advance(2 * bounds.CrashConfirmDelay)
		notSuspected(9)
		for since := time.Duration(0); since < 3*sendSlots*verdictDelay; since += step {
			delay, suspected := b.SendDelay(crashed.Add(since), traits(bad))
			is.True(suspected)
			is.True(delay <= sendSlots*verdictDelay)
			if delay == 0 {
				turns[since] = append(turns[since], self)
			}
		}
		b.Severed(b.now, whole(bad), b.replica("unreported", false))
		delay, _ := b.SendDelay(b.now, traits(bad))
		is.True(delay >= verdictDelay) // the replica may have crashed
		b.Served(b.now.Add(time.Millisecond), traits(bad))
		notSuspected(bad) // a request that succeeded is harmless
	}
	count := map[string]int{}
	for since, instances := range turns {
		is.True(since >= verdictDelay)
		is.Equal(len(instances), 1) // no two instances at once
		count[instances[0]]++
	}
	for _, name := range names {
		is.True(count[name] >= 2*int(sendWindow/step)) // turns return
	}
}

// TestVerdictsAreRewrittenAfterStoreRollback checks that after the store's history was rolled
// back a verdict is written again by the instance that wrote it, and by the one that comes
// first for the request, in case the writer is gone, but by no other.
func TestVerdictsAreRewrittenAfterStoreRollback(t *testing.T) {
	is := is.New(t)
	writer := newFixtureNamed("writer")
	for _, name := range []string{"r1", "r2", "r3"} {
		writer.crash(name, bad)
	}
	is.Equal(len(actionsOf[StoreVerdict](writer.advance(2*time.Second))), 1)
	writer.VerdictStored(writer.now, VerdictStored{ID: crash.CauseID(bad)})
	is.Equal(len(actionsOf[StoreVerdict](writer.advance(2*time.Second))), 0)
	writer.SteppedBack(writer.now)
	is.Equal(len(actionsOf[StoreVerdict](writer.advance(2*time.Second))), 1)

	rewrites := 0
	names := []string{"i1", "i2", "i3", "i4"}
	for _, name := range names {
		reader := newFixtureNamed(name)
		for _, peer := range names {
			reader.Members.Upsert(peer, "z", peer)
		}
		reader.Restored(reader.now, registry.Quarantine{ID: crash.CauseID(bad), Replicas: 3})
		reader.SteppedBack(reader.now)
		rewrites += len(actionsOf[StoreVerdict](reader.advance(2 * time.Second)))
	}
	is.Equal(rewrites, 1)
}

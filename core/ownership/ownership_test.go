package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/step"
)

// testRegistry is the registry of an instance that knows engine e.
func testRegistry(now clock.Instant) *Registry {
	opt := option.Default()
	out := &step.Output{}
	engine := &config.EnginePool{Sequences: 8, MemoryMB: 100, Models: []config.PooledModel{{Name: "m", MemoryMB: 10}}}
	snapshot, err := config.NewSnapshot(config.Document{
		Revision: 1,
		Services: []config.Service{{Name: "llm", Announced: &config.Announced{Engine: engine}}},
	})
	if err != nil {
		panic(err)
	}
	engines := pool.New()
	engines.Announce(now, "e", pool.Announcement{Service: "llm", Address: "e", Zone: "z", Slots: 8, Engine: true})
	own := &owned.Engines{Out: out, Pool: engines, Records: gossip.NewSet(), Config: &config.Current{Snapshot: snapshot}}
	own.Permitted = func(clock.Instant, string, bool) bool { return true }
	state := shared.New(member.Identity{Name: "self", Zone: "z", Boot: 1}, opt, 1)
	state.Out = out
	state.Pool = engines
	return New(Deps{State: state, Owned: own, Stopping: func() bool { return false }})
}

// TestReleasedEngineWaitsForRestOfTurnGap: an engine that is given back waits for
// what is left of the turn gap since its last order, not for the whole gap; one
// whose orders may still be on their way waits for all of it.
func TestReleasedEngineWaitsForRestOfTurnGap(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	g := testRegistry(now)
	whole := g.Options.TurnGap + turnMargin
	cases := []struct {
		former string
		quiet  time.Duration
		want   time.Duration
	}{
		{registry.FormerReleased, 0, whole},
		{registry.FormerReleased, time.Second, whole - time.Second},
		{registry.FormerReleased, time.Minute, 0},
		{"b", time.Minute, whole + g.Options.OrderValid},
	}
	for _, c := range cases {
		claim := registry.Ownership{Engine: "e", FormerOwner: c.former, QuietMS: c.quiet.Milliseconds()}
		is.Equal(firstOrder(now, claim, false, g.Options), now.Add(c.want))
	}
}

// TestRenewalInterval: only an instance whose record others rely on, to leave
// its engines alone, renews it often; each renewal is paid for.
func TestRenewalInterval(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	g := testRegistry(now)
	is.Equal(g.renewalInterval(), 2*g.Options.KeepEvery)
	is.True(g.renewalInterval() < g.Options.EnrolTerm/2)
	g.Owned.Acquire(now, registry.Ownership{Engine: "e", Owner: "self", Boot: 1, Revision: 1}, now)
	is.Equal(g.Owned.Len(), 1)
	is.Equal(g.renewalInterval(), g.Options.KeepEvery)
	g.Owned.LoseAll(now, "test")
	g.placer.held = true
	is.Equal(g.renewalInterval(), g.Options.KeepEvery)
}

// TestDenial: an owner may order only while both its last renewal and
// the last watch that it heard the records through are recent, by both clocks.
func TestDenial(t *testing.T) {
	valid := option.Default().OrderValid
	cases := []struct {
		name         string
		kept, heard  time.Duration // ago; negative: never
		stopping     bool
		wallClockAdd time.Duration // that the wall clock went ahead of the other
		want         denial
	}{
		{"both recent", time.Second, time.Second, false, 0, allowed},
		{"never renewed", -1, time.Second, false, 0, neverRenewed},
		{"never heard", time.Second, -1, false, 0, neverWatched},
		{"renewed too long ago", valid, 0, false, 0, renewalTooOld},
		{"heard too long ago", 0, valid, false, 0, watchTooOld},
		{"just in time", valid - 1, valid - 1, false, 0, allowed},
		{"stopping", 0, 0, true, 0, stopping},
		{"suspended meanwhile", time.Second, time.Second, false, valid, renewalTooOld},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := clocktest.At(time.Hour)
			g := testRegistry(now)
			g.Stopping = func() bool { return c.stopping }
			if c.kept >= 0 {
				g.enrolment.renewedAt = now.Add(-c.kept)
			}
			if c.heard >= 0 {
				g.WatchAnswered(now.Add(-c.heard))
			}
			now.Wall = now.Wall.Add(c.wallClockAdd)
			is.Equal(g.denial(now), c.want)
			is.Equal(g.MayOrder(now), c.want == allowed)
		})
	}
}

// TestFreeSince tables since when nobody is to be expected to order an
// engine.
func TestFreeSince(t *testing.T) {
	now := clocktest.At(time.Hour)
	long := now.Add(-time.Minute)
	absent := option.Default().AbsentFor
	cases := []struct {
		name    string
		prepare func(g *Registry)
		old     registry.Ownership
		owned   bool
		free    bool
		since   clock.Instant
	}{
		{"the store has not answered for long enough to tell", func(g *Registry) { g.storeUpSince = clock.Instant{} }, registry.Ownership{}, false, false, clock.Instant{}},
		{"nobody ever owned it", nil, registry.Ownership{}, false, true, now},
		{"given back", func(g *Registry) { g.learntAt["e"] = now.Add(-time.Second) }, registry.Ownership{}, true, true, now.Add(-time.Second)},
		{"its owner is there", func(g *Registry) { g.instances["a"] = registry.Instance{Name: "a"} }, registry.Ownership{Owner: "a"}, true, false, clock.Instant{}},
		{"its owner's record was never seen", nil, registry.Ownership{Owner: "a"}, true, false, clock.Instant{}},
		{"its owner's record went", func(g *Registry) { g.absentSince["a"] = now.Add(-2 * time.Second) }, registry.Ownership{Owner: "a"}, true, true, now.Add(-2 * time.Second).Add(absent)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g := testRegistry(now)
			g.storeUpSince = long
			if c.prepare != nil {
				c.prepare(g)
			}
			since, free := g.engineView(now, g.Pool.Get("e"), c.old, c.owned).freeSince(absent)
			is.Equal(free, c.free)
			if free {
				is.Equal(since, c.since)
			}
		})
	}
}

package ownership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/step"
)

// testRegistry returns the Registry of an instance that knows engine e.
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
	return New(Deps{State: state, Links: links.New(state), Owned: own, Stopping: func() bool { return false }})
}

// TestReleasedEngineWaitsForRestOfTurnGap checks that the first order to a released
// engine waits only for the rest of TurnGap, the minimum time between the orders of two
// owners, since the last order of its former owner. If the former owner did not release
// the engine, its orders may still be in flight, and the first order waits for OrderValid
// and the whole gap.
func TestReleasedEngineWaitsForRestOfTurnGap(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	r := testRegistry(now)
	whole := r.Options.TurnGap + turnMargin
	cases := []struct {
		former string
		quiet  time.Duration
		want   time.Duration
	}{
		{registry.FormerReleased, 0, whole},
		{registry.FormerReleased, time.Second, whole - time.Second},
		{registry.FormerReleased, time.Minute, 0},
		{"b", time.Minute, whole + r.Options.OrderValid},
	}
	for _, c := range cases {
		claim := registry.Ownership{Engine: "e", FormerOwner: c.former, QuietMS: c.quiet.Milliseconds()}
		is.Equal(firstOrder(now, claim, false, r.Options), now.Add(c.want))
	}
}

// TestRenewalInterval checks that only an instance that owns engines or is the placer
// renews often. Other instances claim its engines if its record is missing. Each renewal
// costs a call.
func TestRenewalInterval(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	r := testRegistry(now)
	is.Equal(r.renewalInterval(), 2*r.Options.KeepEvery)
	is.True(r.renewalInterval() < r.Options.EnrolTerm/2)
	r.Owned.Acquire(now, registry.Ownership{Engine: "e", Owner: "self", Boot: 1, Revision: 1}, now)
	is.Equal(r.Owned.Len(), 1)
	is.Equal(r.renewalInterval(), r.Options.KeepEvery)
	r.Owned.LoseAll(now, "test")
	r.placer.held = true
	is.Equal(r.renewalInterval(), r.Options.KeepEvery)
}

// TestDenial checks that an owner may send orders only while its last answered renewal and
// its last answered watch are both recent, by both the monotonic and the wall clock.
func TestDenial(t *testing.T) {
	valid := option.Default().OrderValid
	cases := []struct {
		name             string
		renewed, watched time.Duration // how long ago; negative: never
		stopping         bool
		wallClockAhead   time.Duration // by which the wall clock is ahead of the monotonic clock
		want             denial
	}{
		{"both recent", time.Second, time.Second, false, 0, allowed},
		{"never renewed", -1, time.Second, false, 0, neverRenewed},
		{"never watched", time.Second, -1, false, 0, neverWatched},
		{"renewed too long ago", valid, 0, false, 0, renewalTooOld},
		{"watched too long ago", 0, valid, false, 0, watchTooOld},
		{"just in time", valid - 1, valid - 1, false, 0, allowed},
		{"stopping", 0, 0, true, 0, stopping},
		{"suspended meanwhile", time.Second, time.Second, false, valid, renewalTooOld},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := clocktest.At(time.Hour)
			r := testRegistry(now)
			r.Stopping = func() bool { return c.stopping }
			if c.renewed >= 0 {
				r.enrolment.renewedAt = now.Add(-c.renewed)
			}
			if c.watched >= 0 {
				r.WatchAnswered(now.Add(-c.watched))
			}
			now.Wall = now.Wall.Add(c.wallClockAhead)
			is.Equal(r.denial(now), c.want)
			is.Equal(r.MayOrder(now), c.want == allowed)
		})
	}
}

// TestFreeSince checks whether an engine is free to be claimed, and from which time.
func TestFreeSince(t *testing.T) {
	now := clocktest.At(time.Hour)
	longAgo := now.Add(-time.Minute)
	absent := option.Default().AbsentFor
	cases := []struct {
		name    string
		prepare func(r *Registry)
		old     registry.Ownership
		owned   bool
		free    bool
		since   clock.Instant
	}{
		{"store does not answer yet", func(r *Registry) { r.storeUpSince = clock.Instant{} }, registry.Ownership{}, false, false, clock.Instant{}},
		{"never owned", nil, registry.Ownership{}, false, true, now},
		{"owner released it", func(r *Registry) { r.learnedAt["e"] = now.Add(-time.Second) }, registry.Ownership{}, true, true, now.Add(-time.Second)},
		{"owner is present", func(r *Registry) { r.instances["a"] = registry.Instance{Name: "a"} }, registry.Ownership{Owner: "a"}, true, false, clock.Instant{}},
		{"owner's record was never seen", nil, registry.Ownership{Owner: "a"}, true, false, clock.Instant{}},
		{"owner's record was deleted", func(r *Registry) { r.absentSince["a"] = now.Add(-2 * time.Second) }, registry.Ownership{Owner: "a"}, true, true, now.Add(-2 * time.Second).Add(absent)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := testRegistry(now)
			r.storeUpSince = longAgo
			if c.prepare != nil {
				c.prepare(r)
			}
			since, free := r.engineView(now, r.Pool.Get("e"), c.old, c.owned).freeSince(absent)
			is.Equal(free, c.free)
			if free {
				is.Equal(since, c.since)
			}
		})
	}
}

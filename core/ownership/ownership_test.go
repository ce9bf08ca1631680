package ownership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/share"
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
	own := &owned.Engines{Out: out, Pool: engines, Records: share.NewStore(), Config: &config.Current{Snapshot: snapshot}}
	return New(Needs{
		Self: member.Identity{Name: "self", Zone: "z", Boot: 1}, Options: &opt, Rand: rand.New(rand.NewPCG(1, 1)),
		Out: out, Pool: engines, Owned: own, Stopping: func() bool { return false },
	})
}

// TestQuietEngineIsOrderedSoonerAfterAStop: an engine that is given back waits for
// what is left of the turn gap since its last order, not for the whole gap; one
// whose orders may still be on their way waits for all of it.
func TestQuietEngineIsOrderedSoonerAfterAStop(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	g := testRegistry(now)
	whole := g.Options.TurnGap + turnMargin
	cases := []struct {
		former string
		quiet  time.Duration
		want   time.Duration
	}{
		{registry.Returned, 0, whole},
		{registry.Returned, time.Second, whole - time.Second},
		{registry.Returned, time.Minute, 0},
		{"b", time.Minute, whole + g.Options.OrderValid},
	}
	for _, c := range cases {
		claim := registry.Ownership{Engine: "e", Former: c.former, QuietMS: c.quiet.Milliseconds()}
		is.Equal(g.firstOrder(now, claim, false), now.Add(c.want))
	}
}

// TestRenewalsFollowDuties: only an instance whose record others rely on, to leave
// its engines alone, renews it often; each renewal is paid for.
func TestRenewalsFollowDuties(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	g := testRegistry(now)
	is.Equal(g.keepEvery(), 2*g.Options.KeepEvery)
	is.True(g.keepEvery() < g.Options.EnrolTerm/2)
	g.Owned.Take(now, registry.Ownership{Engine: "e", Owner: "self", Boot: 1, Revision: 1}, now)
	is.Equal(g.Owned.Len(), 1)
	is.Equal(g.keepEvery(), g.Options.KeepEvery)
	g.Owned.LoseAll(now, "test")
	g.placer.held = true
	is.Equal(g.keepEvery(), g.Options.KeepEvery)
}

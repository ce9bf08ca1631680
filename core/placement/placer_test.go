package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/orderclient"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/step"
)

// TestLoadsAreCountedWhenTheyStart checks that a load counts from when it starts. Loads
// were once counted when they were planned. Several that waited for evictions then started
// together and exceeded the limit of loads that start within a window, on two simulated days
// in some hundred.
func TestLoadsAreCountedWhenTheyStart(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	out := &step.Output{}
	members := member.New("self", "z")
	members.Upsert("owner", "z", "owner")
	members.MarkHeard(now, "owner")
	engines := pool.New()
	a := orderclient.New()
	a.Out = out
	a.Members = members
	a.Pool = engines
	a.Owned = &owned.Engines{}
	a.Owner = func(engine string) (registry.Ownership, bool) {
		return registry.Ownership{Engine: engine, Owner: "owner"}, true
	}
	p := New(Deps{State: shared.State{Out: out, Pool: engines}, Asks: a})
	p.loads.available = 1
	started := 0
	for _, engine := range []string{"e0", "e1", "e2"} {
		engines.Announce(now, engine, pool.Announcement{Service: "llm", Address: engine, Zone: "z", Slots: 8, Engine: true})
		c := &change{Change: Change{Engine: engine, Load: "m11", Source: pool.WeightStore}, incarnation: pool.Incarnation{Name: engine}, startedAt: now, progressAt: now}
		p.changes[engine] = c
		p.advance(now, c)
		if !c.requestedAt.IsZero() {
			started++
		}
	}
	is.Equal(started, 1)
	is.Equal(p.plannableLoads(), 0)
}

package rejectbudget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/shared"
)

var start = clocktest.At(time.Hour)

// A testBudget is a Budget with the registry that its instance knows.
type testBudget struct {
	*Budget
	registered map[string]registry.Instance
	shares     int // times that it requested an exchange with peers
}

// newBudget returns the Budget of an instance that knows the replicas a and b, whose service can
// reject limit requests, and no registry.
func newBudget(name string, limit int) *testBudget {
	opt := option.Default()
	opt.Environment = option.Platform
	state := shared.New(member.Identity{Name: name, Zone: "z"}, opt, 1)
	for _, replica := range []string{"a", "b"} {
		state.Pool.Announce(start, replica, pool.Announcement{Service: "app", Address: replica, Zone: "z", Slots: 4})
	}
	b := &testBudget{registered: map[string]registry.Instance{}}
	b.Budget = New(Deps{
		State: state, Links: links.New(state), TellSoon: func(clock.Instant) { b.shares++ },
		Instances: func() map[string]registry.Instance { return b.registered },
	})
	b.Observe(start, "app", start, pool.RejectionLimit{Named: true, PerSecond: limit})
	return b
}

// settled is when instances that were registered at start hold their tokens.
var settled = start.Add(bounds.Default().RejectionSettle(true))

// TestTokensHaveOneHolder checks that all instances together hold no more tokens of a replica than
// there are, in fleets of each size, while each knows another part of the fleet: those that it
// leaves out are not registered, or have lost their links.
func TestTokensHaveOneHolder(t *testing.T) {
	for _, instances := range []int{1, 8, 46, 370} {
		for _, limit := range []int{1, 4, 10} {
			rng := rand.New(rand.NewPCG(uint64(instances), uint64(limit)))
			var budgets []*testBudget
			for i := range instances {
				budgets = append(budgets, newBudget(fmt.Sprintf("i%d", i), limit))
			}
			idle := map[string]bool{} // instances that can send nothing
			for i := range instances {
				idle[fmt.Sprintf("i%d", i)] = rng.IntN(4) == 0
			}
			held, most := 0, bounds.NewRejections(limit, 4).Tokens
			for i, b := range budgets {
				name := fmt.Sprintf("i%d", i)
				for other := range idle {
					if !idle[other] || rng.IntN(2) == 0 {
						b.registered[other] = registry.Instance{Name: other}
					}
				}
				b.Tick(start)
				b.Tick(settled)
				if !idle[name] {
					held += b.tokens(settled, b.Pool.Get("a"))[name]
				}
			}
			if held > most {
				t.Errorf("%d instances hold %d tokens; there are %d", instances, held, most)
			}
		}
	}
}

// TestTokensAreHeldOnceSettled checks when an instance holds tokens: not until all others know that
// it can send.
func TestTokensAreHeldOnceSettled(t *testing.T) {
	is := is.New(t)
	b := newBudget("self", 4)
	a := b.Pool.Get("a")
	is.True(!b.Holds(start, a)) // not registered
	b.registered["self"] = registry.Instance{}
	b.Tick(start)
	is.True(!b.Holds(settled.Add(-time.Millisecond), a))
	is.True(b.Holds(settled.Add(holdersTTL), a))

	lost := settled.Add(time.Second)
	for _, name := range []string{"a", "b"} {
		b.Links.Failed(lost, b.Pool.Get(name), true)
	}
	back := lost.Add(time.Second)
	is.True(!b.Holds(back, a))
	for _, name := range []string{"a", "b"} {
		b.Links.Proven(back, b.Pool.Get(name), back)
	}
	again := back.Add(bounds.Default().RejectionSettle(false))
	is.True(!b.Holds(again.Add(-holdersTTL), a))
	is.True(b.Holds(again.Add(holdersTTL), a))

	delete(b.registered, "self")
	b.Tick(again.Add(time.Second))
	is.True(!b.Holds(again.Add(time.Second), a))
}

// Guards against capacity that nobody may use because instances without links hold tokens.
func TestInstancesWithoutLinksHoldNoTokens(t *testing.T) {
	is := is.New(t)
	b := newBudget("self", 4)
	r := b.Pool.Get("a")
	all := bounds.NewRejections(4, 4).Tokens
	for _, name := range []string{"self", "p", "q"} {
		b.registered[name] = registry.Instance{Name: name}
	}
	b.Tick(start)
	b.Tick(settled)
	is.True(b.tokens(settled, r)["p"]+b.tokens(settled, r)["q"] > 0)
	later := settled.Add(holdersTTL)
	for _, name := range []string{"p", "q"} {
		b.Links.ObservePeer(later, name, true, []gossip.LinkReport{{Service: "app", Lost: true}})
	}
	is.Equal(b.tokens(later, r), map[string]int{"self": all})
}

// TestTokensInUse checks which requests use a token: those without an answer, and those that may
// have been rejected, for some time longer.
func TestTokensInUse(t *testing.T) {
	is := is.New(t)
	b := newBudget("self", 1)
	b.registered["self"] = registry.Instance{}
	b.Tick(start)
	r := b.Pool.Get("a")
	rejections := bounds.NewRejections(1, 4)
	for id := range uint64(rejections.Tokens) {
		is.True(b.MaySend(settled, r))
		r.Start(settled, id)
	}
	is.True(!b.MaySend(settled, r))
	r.FirstTokenReceived(settled, 0, false) // answered
	is.True(b.MaySend(settled, r))
	r.Start(settled, 10)
	r.DropCall(1) // rejected, or nobody knows
	is.True(!b.MaySend(settled, r))
	is.True(!b.MaySend(settled.Add(bounds.RejectionWindow), r))
	is.True(b.MaySend(settled.Add(rejections.Hold), r))
	later := settled.Add(time.Minute)
	r.Start(later, 11)
	is.True(!b.MaySend(later, r))
	r.CallNotRejected(11)
	r.DropCall(11) // it did not reach the replica
	is.True(b.MaySend(later, r))
	b.Observe(later, "app", later, pool.RejectionLimit{}) // the limit has ended
	r.Start(later, 12)
	is.True(b.MaySend(later, r))
}

// TestLimitsSpread checks that instances learn limits from each other, and that the newest counts.
func TestLimitsSpread(t *testing.T) {
	is := is.New(t)
	a, b := newBudget("a", 4), newBudget("b", 4)
	b.reports = map[string]report{}
	b.shares = 0
	tell := func(now clock.Instant) {
		b.ObservePeer(now, "a", true, a.Reports(now, []gossip.LinkReport{{Service: "other"}}))
		a.ObservePeer(now, "b", true, b.Reports(now, nil))
	}
	tell(start)
	is.True(b.Limited(start, "app"))
	is.Equal(b.shares, 1)
	at := start.Add(time.Second)
	b.Observe(at, "app", start.Add(-time.Second), pool.RejectionLimit{}) // an answer to an earlier request
	is.True(b.Limited(at, "app"))
	b.Observe(at, "app", at, pool.RejectionLimit{})
	tell(at)
	is.True(!a.Limited(at, "app"))
	is.True(!b.Limited(at, "app"))
	tell(at.Add(time.Second))
	is.True(!b.Limited(at, "app")) // what a knew before is older
}

// Guards against replicas that fail because instances that have just started send them requests
// before they know the limit.
func TestLimitsAreUnknownAtTheStart(t *testing.T) {
	is := is.New(t)
	unknown := func() (*testBudget, *pool.Replica) {
		b := newBudget("self", 4)
		b.reports = map[string]report{}
		b.learning = learning{answered: map[string]bool{}}
		b.Members.Upsert("peer", "z", "peer")
		b.Tick(start)
		return b, b.Pool.Get("a")
	}

	b, r := unknown()
	is.True(!b.Informed(start) && b.Limited(start, "app") && !b.MaySend(start, r))
	now := start.Add(learnTimeout) // no peer has answered
	is.True(!b.MaySend(now.Add(-time.Millisecond), r))
	is.True(b.MaySend(now, r))
	r.Start(now, 1)
	is.True(!b.MaySend(now, r)) // one request at a time
	for i := range learnRequests {
		name := fmt.Sprintf("c%d", i)
		b.Pool.Announce(start, name, pool.Announcement{Service: "app", Address: name, Zone: "z", Slots: 4})
		other := b.Pool.Get(name)
		is.Equal(b.MaySend(now, other), i < learnRequests-1) // and learnRequests at the service
		if b.MaySend(now, other) {
			other.Start(now, uint64(10+i))
		}
	}
	b.Observe(now, "app", start, pool.RejectionLimit{})
	is.True(b.MaySend(now, r)) // there is no limit

	b, r = unknown()
	b.ObservePeer(start, "peer", false, nil) // it does not know either
	is.True(!b.Informed(start) && b.MaySend(start, r))
	r.Start(start, 1)
	is.True(!b.MaySend(start, r))

	b, r = unknown()
	b.ObservePeer(start, "peer", true, nil)
	r.Start(start, 1)
	is.True(b.Informed(start) && !b.Limited(start, "app") && b.MaySend(start, r))

	b, r = unknown()
	is.True(b.Informed(start.Add(learnTime)) && b.MaySend(start.Add(learnTime), r))
}

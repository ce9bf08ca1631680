package permits

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/shared"
)

var incarnation = pool.Incarnation{Name: "r", Born: "1"}

// A callDecision is the decision on a call's request.
type callDecision struct {
	call calls.ID
	Decision
}

// A fixture holds the permits of one instance, with a replica that the test controls.
type fixture struct {
	*Permits
	decisions []callDecision
	limits    []pool.LimitReport
	now       clock.Instant
}

// newFixture returns the permits of the instance "self" in zone z with a rate-limited
// replica in zone z. others maps the names of the other instances to their zones.
func newFixture(perSecond float64, others map[string]string) *fixture {
	l := &fixture{now: start}
	instances := map[string]registry.Instance{"self": {Name: "self", Zone: "z"}}
	state := shared.New(member.Identity{Name: "self", Zone: "z"}, option.Default(), 1)
	for name, zone := range others {
		instances[name] = registry.Instance{Name: name, Zone: zone}
		state.Members.Upsert(name, zone, name)
	}
	l.Permits = New(Deps{
		State:     state,
		Instances: func() map[string]registry.Instance { return instances },
		Stopping:  func() bool { return false },
		Told: func(_ clock.Instant, _ string, _ pool.Incarnation, w pool.LimitReport) {
			l.limits = append(l.limits, w)
		},
		Repeats: func() (float64, time.Duration) { return 20, 10 * time.Second },
		Decided: func(_ clock.Instant, call calls.ID, _ Resource, v Decision) {
			l.decisions = append(l.decisions, callDecision{call, v})
		},
	})
	l.Pool.Announce(start, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Born: "1"})
	l.setLimit(perSecond)
	return l
}

// setLimit makes the replica name a limit.
func (l *fixture) setLimit(perSecond float64) {
	l.Pool.ObserveLimit(l.now, "r", l.now, pool.RateLimit{Named: true, PerSecond: perSecond}, "self")
}

// advance lets time pass in ticks of 10 ms.
func (l *fixture) advance(span time.Duration) {
	for end := l.now.Add(span); l.now.Before(end); {
		l.now = l.now.Add(10 * time.Millisecond)
		l.Tick(l.now)
	}
}

// endProbation makes this instance the coordinator for long enough to grant the whole
// limit.
func (l *fixture) endProbation() {
	for range 10 {
		l.requestPermit(99, 0, 0)
		l.advance(500 * time.Millisecond)
	}
	l.decisions = nil
}

func (l *fixture) requestPermit(call calls.ID, rank int, wait time.Duration) {
	l.RequestForCall(l.now, l.Pool.Get("r"), call, rank, wait, wait > 0)
}

// granted returns the calls that were granted a permit, in order.
func (l *fixture) granted() []calls.ID {
	var out []calls.ID
	for _, d := range l.decisions {
		if d.Granted {
			out = append(out, d.call)
		}
	}
	return out
}

// takeRequests returns the requests that were sent to peers since its last call.
func (l *fixture) takeRequests() []SendRequest {
	var out []SendRequest
	for _, a := range l.Out.Actions() {
		if ask, ok := a.(SendRequest); ok {
			out = append(out, ask)
		}
	}
	l.Out.Reset()
	return out
}

// TestQueueOrder checks that requests are granted by rank and then in the order of
// arrival. A request that cannot wait long enough is denied at once, and the retry times
// of denied callers are spaced at the rate of the replica.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	l := newFixture(2, nil)
	l.endProbation()
	l.advance(time.Second)
	l.requestPermit(98, 0, 0) // one of the two accumulated tokens
	l.decisions = nil
	l.requestPermit(1, 1, time.Minute)
	is.Equal(l.granted(), []calls.ID{1}) // the queue is empty
	l.requestPermit(2, 1, time.Minute)
	l.requestPermit(3, 2, time.Minute)
	l.requestPermit(4, 1, time.Minute)
	l.requestPermit(5, 0, time.Minute)
	l.requestPermit(6, 1, 1900*time.Millisecond) // three are ahead of it, so it would wait 2 s
	l.requestPermit(7, 1, 1900*time.Millisecond)
	is.Equal(len(l.decisions), 3)
	first, second := l.decisions[1], l.decisions[2]
	is.True(!first.Granted && !second.Granted)
	is.Equal(first.Turn, 2*time.Second)
	is.Equal(first.After, 2500*time.Millisecond)
	is.Equal(second.After, 3*time.Second)
	l.advance(3 * time.Second)
	is.Equal(l.granted(), []calls.ID{1, 5, 2, 4, 3})
}

// TestUrgentRequestsOvertake checks that a request is denied when its wait expires
// because more urgent requests overtook it.
func TestUrgentRequestsOvertake(t *testing.T) {
	is := is.New(t)
	l := newFixture(1, nil)
	l.endProbation()
	l.requestPermit(98, 0, 0) // takes the available tokens
	l.decisions = nil
	l.requestPermit(1, 1, time.Second)
	l.requestPermit(2, 3, 2500*time.Millisecond)
	for id := range calls.ID(4) {
		l.requestPermit(10+id, 0, time.Minute)
	}
	l.advance(6 * time.Second)
	is.Equal(l.granted()[:4], []calls.ID{10, 11, 12, 13})
	turned := map[calls.ID]time.Duration{}
	for _, d := range l.decisions {
		if !d.Granted {
			turned[d.call] = d.After
		}
	}
	is.Equal(len(turned), 2)
	is.True(turned[1] > 0 && turned[2] > 0)
}

// TestProbationRate checks that an instance grants three tenths of the limit while it is
// not the coordinator in its own view, or has not been for long enough, so that two
// instances never grant more than one and a half times the limit.
func TestProbationRate(t *testing.T) {
	given := func(l *fixture, span time.Duration) int {
		l.decisions = nil
		for end := l.now.Add(span); l.now.Before(end); {
			token := l.lastToken + 1
			l.lastToken = token
			l.HandleRequest(l.now, RequestReceived{Token: token, From: "x", Request: replicaRequest(l.Pool.Get("r"), 0, 0)})
			l.advance(10 * time.Millisecond)
		}
		n := 0
		for _, a := range l.Out.Actions() {
			if answer, ok := a.(SendReply); ok && answer.Verdict.Granted {
				n++
			}
		}
		l.Out.Reset()
		return n
	}
	is := is.New(t)
	l := newFixture(10, nil)
	n := given(l, probationPeriod)
	is.True(n >= 12 && n <= 13) // it has just started
	n = given(l, probationPeriod)
	is.True(n >= 38 && n <= 42)
	l.advance(2 * probationPeriod) // it was the coordinator although it got no requests
	n = given(l, probationPeriod)
	is.True(n >= 38 && n <= 44)
	l.now = l.now.Add(probationPeriod + time.Second) // it was suspended, and another instance may have been asked
	n = given(l, probationPeriod)
	is.True(n >= 12 && n <= 15)

	l = newFixture(10, map[string]string{"another": "z"})
	for l.coordinatorFor(l.now, replicaRequest(l.Pool.Get("r"), 0, 0)) == "self" { // until another instance is the coordinator
		name := fmt.Sprintf("another%d", l.Members.Size())
		l.Instances()[name] = registry.Instance{Name: name, Zone: "z"}
		l.Members.Upsert(name, "z", name)
	}
	given(l, probationPeriod)
	n = given(l, probationPeriod)
	is.True(n >= 12 && n <= 13)
}

// TestUnreachableInstancesKeepTheirShare checks that the share of instances which do not
// answer this one is not granted here as long as they are registered.
func TestUnreachableInstancesKeepTheirShare(t *testing.T) {
	is := is.New(t)
	l := newFixture(8, map[string]string{"a": "y", "b": "y", "c": "y"})
	is.Equal(l.reachableShare(l.now), 1.0)
	for _, name := range []string{"a", "b", "c"} {
		l.Members.MarkFailed(l.now, name)
	}
	is.Equal(l.reachableShare(l.now), 0.25)
	l.Members.MarkHeard(l.now, "a")
	is.Equal(l.reachableShare(l.now), 0.5)
	delete(l.Instances(), "b")
	is.Equal(l.reachableShare(l.now), 2.0/3)
	l.Members.SetLeaving("c", true)
	is.Equal(l.reachableShare(l.now), 1.0)
}

// TestCoordinatorChoice checks that every instance chooses the same coordinator in the
// replica's zone, another one if that one does not answer, and one in another zone if
// none in the replica's zone does.
func TestCoordinatorChoice(t *testing.T) {
	is := is.New(t)
	others := map[string]string{"far1": "y", "far2": "y", "near1": "z", "near2": "z"}
	l := newFixture(1, others)
	first := func(r pool.Incarnation) string {
		return l.coordinatorFor(l.now, Request{Resource: Resource{Replica: r}, Zone: "z"})
	}
	seen := map[string]int{}
	for i := range 300 {
		seen[first(pool.Incarnation{Name: fmt.Sprint(i)})]++
	}
	is.Equal(len(seen), 3)
	for _, name := range []string{"self", "near1", "near2"} {
		is.True(seen[name] > 50)
	}
	chosen := first(incarnation)
	is.Equal(first(pool.Incarnation{Name: "r", Born: "2"}), chosen) // independent of the incarnation
	for _, gone := range []string{"near1", "near2"} {
		l.Members.MarkFailed(l.now, gone)
	}
	is.Equal(first(incarnation), "self")
	l.Permits.Stopping = func() bool { return true }
	is.Equal(others[first(incarnation)], "y")
	l.Instances()["far1"] = registry.Instance{Name: "far1", Zone: "y", Processor: 0.8}
	is.Equal(first(incarnation), "far1") // it has the larger share of a processor
}

// TestUnresponsiveCoordinatorIsSkipped checks that a request which can wait is sent to
// another instance and in the end decided here, and that a request which cannot wait is
// denied at once, so that the call goes to another replica.
func TestUnresponsiveCoordinatorIsSkipped(t *testing.T) {
	others := map[string]string{}
	for i := range 20 {
		others[fmt.Sprintf("near%d", i)] = "z"
	}
	noAnswer := errors.New("no answer")
	is := is.New(t)
	l := newFixture(1, others)
	l.Permits.Self.Zone = "z"
	l.requestPermit(1, 0, time.Second)
	asked := l.takeRequests()
	is.Equal(len(asked), 1)
	is.Equal(asked[0].Request.Word.By, "self")
	l.now = l.now.Add(100 * time.Millisecond)
	l.HandleReply(l.now, Reply{Token: asked[0].Token, Err: noAnswer})
	again := l.takeRequests()
	is.Equal(len(again), 1)
	is.True(again[0].Peer != asked[0].Peer)
	is.Equal(again[0].Request.Wait, 900*time.Millisecond)
	l.HandleReply(l.now, Reply{Token: asked[0].Token, Verdict: Decision{Granted: true}}) // too late
	is.Equal(len(l.decisions), 0)
	l.HandleReply(l.now, Reply{Token: again[0].Token, Err: noAnswer})
	is.Equal(l.granted(), []calls.ID{1}) // decided by this instance itself
	is.Equal(len(l.takeRequests()), 0)

	l.requestPermit(2, 0, 0)
	asked = l.takeRequests()
	is.Equal(len(asked), 1)
	l.HandleReply(l.now, Reply{Token: asked[0].Token, Err: noAnswer})
	is.Equal(len(l.takeRequests()), 0)
	is.Equal(l.decisions[1].Granted, false)
}

// TestDelayedPermitIsVoid checks that a permit is void if it took too long to arrive or
// the instance was suspended meanwhile. The time for which the request was queued at the
// coordinator does not count.
func TestDelayedPermitIsVoid(t *testing.T) {
	for _, c := range []struct {
		name  string
		took  time.Duration
		held  time.Duration
		valid bool
	}{
		{"at once", 5 * time.Millisecond, 0, true},
		{"after its turn came", 3 * time.Second, 2990 * time.Millisecond, true},
		{"long on its way", time.Second, 0, false},
		{"held, and then long on its way", 3 * time.Second, 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newFixture(1, map[string]string{"a": "z"})
			l.Permits.Stopping = func() bool { return true } // so that the other instance is asked
			l.requestPermit(1, 0, 5*time.Second)
			asked := l.takeRequests()
			is.Equal(len(asked), 1)
			l.HandleReply(l.now.Add(c.took), Reply{Token: asked[0].Token, Verdict: Decision{Granted: true, Held: c.held}})
			is.Equal(l.decisions[0].Granted, c.valid)
		})
	}
}

// TestOrdersNeedPermits checks that an order waits for a permit, before all calls, and
// uses it up. A permit that is not used in time is void. Orders to a replica without a
// limit need none.
func TestOrdersNeedPermits(t *testing.T) {
	is := is.New(t)
	l := newFixture(1, nil)
	is.True(l.TryAcquireForOrder(l.now, "nobody", false))
	is.True(l.TryAcquireForOrder(l.now, "r", false)) // the initial token of the bucket
	is.True(!l.TryAcquireForOrder(l.now, "r", false))
	l.requestPermit(1, 0, time.Minute)
	l.advance(3500 * time.Millisecond) // probation rate: three tenths of the limit
	is.Equal(len(l.granted()), 0)
	is.True(l.TryAcquireForOrder(l.now, "r", false))
	is.True(!l.TryAcquireForOrder(l.now, "r", false))

	l = newFixture(1, nil)
	is.True(l.TryAcquireForOrder(l.now, "r", false))
	is.True(!l.TryAcquireForOrder(l.now, "r", false))
	l.advance(3400*time.Millisecond + permitTTL) // a permit was available but not used
	is.True(!l.TryAcquireForOrder(l.now, "r", false))
	l.Pool.Announce(l.now, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Born: "2"})
	is.True(l.TryAcquireForOrder(l.now, "r", false)) // the other incarnation has not named a limit
}

// TestReleasedPermitIsGranted checks that a released permit is granted to a queued
// request, here and at a peer.
func TestReleasedPermitIsGranted(t *testing.T) {
	is := is.New(t)
	l := newFixture(1, nil)
	l.requestPermit(1, 0, 0)
	l.requestPermit(2, 0, time.Minute)
	is.Equal(l.granted(), []calls.ID{1})
	l.Release(l.now, Resource{Replica: incarnation})
	is.Equal(l.granted(), []calls.ID{1, 2})
	l.Release(l.now, Resource{Replica: pool.Incarnation{Name: "r", Born: "0"}}) // an earlier incarnation
	l.requestPermit(3, 0, 0)
	is.Equal(len(l.granted()), 2)

	l = newFixture(1, map[string]string{"a": "z"})
	l.Permits.Stopping = func() bool { return true }
	l.Release(l.now, Resource{Replica: incarnation})
	asked := l.takeRequests()
	is.Equal(len(asked), 1)
	is.True(asked[0].Request.Unused)
}

// TestRaisedLimitGrantsQueue checks that queued requests are granted when the limit is
// removed, and that a raised limit applies at once.
func TestRaisedLimitGrantsQueue(t *testing.T) {
	is := is.New(t)
	l := newFixture(0, nil)
	l.endProbation()
	for id := range calls.ID(20) {
		l.requestPermit(id+1, 0, time.Hour)
	}
	l.advance(time.Second)
	is.True(len(l.granted()) <= 1)
	l.setLimit(100)
	l.advance(100 * time.Millisecond)
	n := len(l.granted())
	is.True(n >= 5 && n <= 16)
	l.setLimit(1e6)
	l.advance(10 * time.Millisecond)
	is.Equal(len(l.granted()), 20)
}

// TestRetriesAreSharedByFleet checks that in every span of the retry budget at most the
// shared number of retries is granted, however many requests come and whenever they come,
// and that a request which is not granted is denied at once.
func TestRetriesAreSharedByFleet(t *testing.T) {
	is := is.New(t)
	l := newFixture(1, nil)
	var granted []clock.Instant
	for i := range 6000 {
		l.decisions = nil
		l.RequestForRetry(l.now, "s", calls.ID(i+1), 0, 0)
		is.Equal(len(l.decisions), 1)
		if l.decisions[0].Granted {
			granted = append(granted, l.now)
		}
		for len(granted) > 0 && l.now.Since(granted[0]) > 10*time.Second {
			granted = granted[1:]
		}
		is.True(len(granted) <= 20)
		l.advance(10 * time.Millisecond)
		if i%1500 == 0 && i < 4000 {
			l.advance(15 * time.Second) // no requests for a while
		}
	}
	is.True(len(granted) >= 9) // the part that is refilled in each span
	l.RequestForRetry(l.now.Add(time.Minute), "another", 1, 0, 0)
	is.True(l.decisions[len(l.decisions)-1].Granted) // each service has its own bucket
}

// TestAdapterOrdersRankBelowCalls: a call that needs an adapter takes two permits, so
// where permits are scarce the other calls come first. Orders for models and state
// queries come before all calls.
func TestAdapterOrdersRankBelowCalls(t *testing.T) {
	is := is.New(t)
	l := newFixture(1, nil)
	l.endProbation()
	for l.TryAcquireForOrder(l.now, "r", false) { // takes the available tokens
	}
	is.True(!l.TryAcquireForOrder(l.now, "r", true))
	l.requestPermit(1, 3, time.Minute)
	until := func(may func() bool) {
		for end := l.now.Add(2 * time.Second); !may() && l.now.Before(end); {
			l.advance(10 * time.Millisecond)
		}
	}
	until(func() bool { return l.TryAcquireForOrder(l.now, "r", false) }) // the state query comes first
	is.Equal(len(l.granted()), 0)
	until(func() bool { return len(l.granted()) > 0 })
	is.Equal(l.granted(), []calls.ID{1})
	is.True(!l.TryAcquireForOrder(l.now, "r", true))
	served := l.now
	until(func() bool { return l.TryAcquireForOrder(l.now, "r", true) })
	is.True(l.now.Since(served) > 900*time.Millisecond && l.now.Since(served) < 1100*time.Millisecond)
}

// TestProbationBeforeLimitIsNamed checks that an instance which was the coordinator
// before a replica named a limit grants the whole of the limit at once; one that has just
// started, or was suspended, grants less for a while.
func TestProbationBeforeLimitIsNamed(t *testing.T) {
	part := func(l *fixture) float64 {
		r := replicaRequest(l.Pool.Get("r"), 0, 0)
		s, _ := l.coordinator.quota(l.now, r)
		return l.coordinator.ownQuota(l.now, l.coordinator.bucket(l.now, r, s), s).rate
	}
	unnamed := func() *fixture {
		l := newFixture(10, nil)
		l.Pool.Announce(l.now, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Born: "2"})
		return l
	}
	is := is.New(t)
	l := unnamed()
	l.advance(probationPeriod + time.Second)
	l.setLimit(10)
	is.Equal(part(l), 10.0)
	l = unnamed()
	l.advance(time.Second)
	l.setLimit(10)
	is.Equal(part(l), 10*probationShare)
	l = unnamed()
	l.advance(probationPeriod + time.Second)
	l.now = l.now.Add(probationPeriod + time.Second) // suspended
	l.setLimit(10)
	is.Equal(part(l), 10*probationShare)
}

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
	retries   float64 // that this instance has left
}

// newFixture returns the permits of the instance "self" in zone z with a rate-limited
// replica in zone z. others maps the names of the other instances to their zones.
func newFixture(perSecond float64, others map[string]string) *fixture {
	f := &fixture{now: start}
	instances := map[string]registry.Instance{"self": {Name: "self", Zone: "z"}}
	state := shared.New(member.Identity{Name: "self", Zone: "z"}, option.Default(), 1)
	for name, zone := range others {
		instances[name] = registry.Instance{Name: name, Zone: zone}
		state.Members.Upsert(name, zone, name)
	}
	f.Permits = New(Deps{
		State:     state,
		Instances: func() map[string]registry.Instance { return instances },
		Stopping:  func() bool { return false },
		Told: func(_ clock.Instant, _ string, _ pool.Incarnation, report pool.LimitReport) {
			f.limits = append(f.limits, report)
		},
		RetriesLeft: func(clock.Instant, string) float64 { return f.retries },
		TakeRetries: func(_ clock.Instant, _ string, most float64) float64 {
			taken := min(most, f.retries)
			f.retries -= taken
			return taken
		},
		Decided: func(_ clock.Instant, call calls.ID, _ Resource, d Decision) {
			f.decisions = append(f.decisions, callDecision{call, d})
		},
	})
	f.Pool.Announce(start, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Born: "1"})
	f.setLimit(perSecond)
	return f
}

// setLimit makes the replica report a rate limit.
func (f *fixture) setLimit(perSecond float64) {
	f.Pool.ObserveLimit(f.now, "r", f.now, pool.RateLimit{Named: true, PerSecond: perSecond}, "self")
}

// advance lets time pass in ticks of 10 ms.
func (f *fixture) advance(span time.Duration) {
	for end := f.now.Add(span); f.now.Before(end); {
		f.now = f.now.Add(10 * time.Millisecond)
		f.Tick(f.now)
	}
}

// endProbation makes this instance the coordinator for long enough to grant the whole
// limit.
func (f *fixture) endProbation() {
	for range 10 {
		f.requestPermit(99, 0, 0)
		f.advance(500 * time.Millisecond)
	}
	f.decisions = nil
}

func (f *fixture) requestPermit(call calls.ID, rank int, wait time.Duration) {
	f.RequestForCall(f.now, f.Pool.Get("r"), call, rank, wait, wait > 0)
}

// granted returns the calls that were granted a permit, in order.
func (f *fixture) granted() []calls.ID {
	var out []calls.ID
	for _, d := range f.decisions {
		if d.Granted {
			out = append(out, d.call)
		}
	}
	return out
}

// takeRequests returns the requests that were sent to peers since its last call.
func (f *fixture) takeRequests() []SendRequest {
	var out []SendRequest
	for _, a := range f.Out.Actions() {
		if request, ok := a.(SendRequest); ok {
			out = append(out, request)
		}
	}
	f.Out.Reset()
	return out
}

// TestQueueOrder checks that requests are granted by rank and then in the order of
// arrival. A request that cannot wait long enough is denied at once, and the retry times
// of denied callers are spaced at the rate of the replica.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	f := newFixture(2, nil)
	f.endProbation()
	f.advance(time.Second)
	f.requestPermit(98, 0, 0) // one of the two accumulated tokens
	f.decisions = nil
	f.requestPermit(1, 1, time.Minute)
	is.Equal(f.granted(), []calls.ID{1}) // the queue is empty
	f.requestPermit(2, 1, time.Minute)
	f.requestPermit(3, 2, time.Minute)
	f.requestPermit(4, 1, time.Minute)
	f.requestPermit(5, 0, time.Minute)
	f.requestPermit(6, 1, 1900*time.Millisecond) // three are ahead of it, so it would wait 2 s
	f.requestPermit(7, 1, 1900*time.Millisecond)
	is.Equal(len(f.decisions), 3)
	first, second := f.decisions[1], f.decisions[2]
	is.True(!first.Granted && !second.Granted)
	is.Equal(first.Turn, 2*time.Second)
	is.Equal(first.After, 2500*time.Millisecond)
	is.Equal(second.After, 3*time.Second)
	f.advance(3 * time.Second)
	is.Equal(f.granted(), []calls.ID{1, 5, 2, 4, 3})
}

// TestUrgentRequestsOvertake checks that a request is denied when its wait expires
// because more urgent requests overtook it.
func TestUrgentRequestsOvertake(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, nil)
	f.endProbation()
	f.requestPermit(98, 0, 0) // takes the available tokens
	f.decisions = nil
	f.requestPermit(1, 1, time.Second)
	f.requestPermit(2, 3, 2500*time.Millisecond)
	for id := range calls.ID(4) {
		f.requestPermit(10+id, 0, time.Minute)
	}
	f.advance(6 * time.Second)
	is.Equal(f.granted()[:4], []calls.ID{10, 11, 12, 13})
	retryAfter := map[calls.ID]time.Duration{}
	for _, d := range f.decisions {
		if !d.Granted {
			retryAfter[d.call] = d.After
		}
	}
	is.Equal(len(retryAfter), 2)
	is.True(retryAfter[1] > 0 && retryAfter[2] > 0)
}

// TestProbationRate checks that an instance grants three tenths of the limit while it is
// not the coordinator in its own view, or has not been for long enough, so that two
// instances never grant more than one and a half times the limit.
func TestProbationRate(t *testing.T) {
	countGranted := func(f *fixture, span time.Duration) int {
		f.decisions = nil
		for end := f.now.Add(span); f.now.Before(end); {
			token := f.lastToken + 1
			f.lastToken = token
			f.HandleRequest(f.now, RequestReceived{Token: token, From: "x", Request: replicaRequest(f.Pool.Get("r"), 0, 0)})
			f.advance(10 * time.Millisecond)
		}
		n := 0
		for _, a := range f.Out.Actions() {
			if reply, ok := a.(SendReply); ok && reply.Verdict.Granted {
				n++
			}
		}
		f.Out.Reset()
		return n
	}
	is := is.New(t)
	f := newFixture(10, nil)
	n := countGranted(f, probationPeriod)
	is.True(n >= 12 && n <= 13) // it has just started
	n = countGranted(f, probationPeriod)
	is.True(n >= 38 && n <= 42)
	f.advance(2 * probationPeriod) // it was the coordinator although it got no requests
	n = countGranted(f, probationPeriod)
	is.True(n >= 38 && n <= 44)
	f.now = f.now.Add(probationPeriod + time.Second) // it was suspended, and another instance may have been asked
	n = countGranted(f, probationPeriod)
	is.True(n >= 12 && n <= 15)

	f = newFixture(10, map[string]string{"another": "z"})
	for f.coordinatorFor(f.now, replicaRequest(f.Pool.Get("r"), 0, 0)) == "self" { // until another instance is the coordinator
		name := fmt.Sprintf("another%d", f.Members.Size())
		f.Instances()[name] = registry.Instance{Name: name, Zone: "z"}
		f.Members.Upsert(name, "z", name)
	}
	countGranted(f, probationPeriod)
	n = countGranted(f, probationPeriod)
	is.True(n >= 12 && n <= 13)
}

// TestUnreachableInstancesKeepTheirShare checks that the share of instances which do not
// answer this one is not granted here as long as they are registered.
func TestUnreachableInstancesKeepTheirShare(t *testing.T) {
	is := is.New(t)
	f := newFixture(8, map[string]string{"a": "y", "b": "y", "c": "y"})
	is.Equal(f.reachableShare(f.now), 1.0)
	for _, name := range []string{"a", "b", "c"} {
		f.Members.MarkFailed(f.now, name)
	}
	is.Equal(f.reachableShare(f.now), 0.25)
	f.Members.MarkHeard(f.now, "a")
	is.Equal(f.reachableShare(f.now), 0.5)
	delete(f.Instances(), "b")
	is.Equal(f.reachableShare(f.now), 2.0/3)
	f.Members.SetLeaving("c", true)
	is.Equal(f.reachableShare(f.now), 1.0)
}

// TestCoordinatorChoice checks that every instance chooses the same coordinator in the
// replica's zone, another one if that one does not answer, and one in another zone if
// none in the replica's zone does.
func TestCoordinatorChoice(t *testing.T) {
	is := is.New(t)
	others := map[string]string{"far1": "y", "far2": "y", "near1": "z", "near2": "z"}
	f := newFixture(1, others)
	coordinator := func(r pool.Incarnation) string {
		return f.coordinatorFor(f.now, Request{Resource: Resource{Replica: r}, Zone: "z"})
	}
	seen := map[string]int{}
	for i := range 300 {
		seen[coordinator(pool.Incarnation{Name: fmt.Sprint(i)})]++
	}
	is.Equal(len(seen), 3)
	for _, name := range []string{"self", "near1", "near2"} {
		is.True(seen[name] > 50)
	}
	chosen := coordinator(incarnation)
	is.Equal(coordinator(pool.Incarnation{Name: "r", Born: "2"}), chosen) // independent of the incarnation
	for _, gone := range []string{"near1", "near2"} {
		f.Members.MarkFailed(f.now, gone)
	}
	is.Equal(coordinator(incarnation), "self")
	f.Permits.Stopping = func() bool { return true }
	is.Equal(others[coordinator(incarnation)], "y")
	f.Instances()["far1"] = registry.Instance{Name: "far1", Zone: "y", Processor: 0.8}
	is.Equal(coordinator(incarnation), "far1") // it has the larger share of a processor
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
	f := newFixture(1, others)
	f.Permits.Self.Zone = "z"
	f.requestPermit(1, 0, time.Second)
	sent := f.takeRequests()
	is.Equal(len(sent), 1)
	is.Equal(sent[0].Request.Word.By, "self")
	f.now = f.now.Add(100 * time.Millisecond)
	f.HandleReply(f.now, Reply{Token: sent[0].Token, Err: noAnswer})
	resent := f.takeRequests()
	is.Equal(len(resent), 1)
	is.True(resent[0].Peer != sent[0].Peer)
	is.Equal(resent[0].Request.Wait, 900*time.Millisecond)
	f.HandleReply(f.now, Reply{Token: sent[0].Token, Verdict: Decision{Granted: true}}) // too late
	is.Equal(len(f.decisions), 0)
	f.HandleReply(f.now, Reply{Token: resent[0].Token, Err: noAnswer})
	is.Equal(f.granted(), []calls.ID{1}) // decided by this instance itself
	is.Equal(len(f.takeRequests()), 0)

	f.requestPermit(2, 0, 0)
	sent = f.takeRequests()
	is.Equal(len(sent), 1)
	f.HandleReply(f.now, Reply{Token: sent[0].Token, Err: noAnswer})
	is.Equal(len(f.takeRequests()), 0)
	is.Equal(f.decisions[1].Granted, false)
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
		{"after waiting in the queue", 3 * time.Second, 2990 * time.Millisecond, true},
		{"after a long delay", time.Second, 0, false},
		{"queued, then delayed", 3 * time.Second, 2 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(1, map[string]string{"a": "z"})
			f.Permits.Stopping = func() bool { return true } // so that the other instance is asked
			f.requestPermit(1, 0, 5*time.Second)
			sent := f.takeRequests()
			is.Equal(len(sent), 1)
			f.HandleReply(f.now.Add(c.took), Reply{Token: sent[0].Token, Verdict: Decision{Granted: true, Held: c.held}})
			is.Equal(f.decisions[0].Granted, c.valid)
		})
	}
}

// TestOrdersNeedPermits checks that an order waits for a permit, before all calls, and
// uses it up. A permit that is not used in time is void. Orders to a replica without a
// limit need none.
func TestOrdersNeedPermits(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, nil)
	is.True(f.TryAcquireForOrder(f.now, "nobody", false))
	is.True(f.TryAcquireForOrder(f.now, "r", false)) // the initial token of the bucket
	is.True(!f.TryAcquireForOrder(f.now, "r", false))
	f.requestPermit(1, 0, time.Minute)
	f.advance(3500 * time.Millisecond) // probation rate: three tenths of the limit
	is.Equal(len(f.granted()), 0)
	is.True(f.TryAcquireForOrder(f.now, "r", false))
	is.True(!f.TryAcquireForOrder(f.now, "r", false))

	f = newFixture(1, nil)
	is.True(f.TryAcquireForOrder(f.now, "r", false))
	is.True(!f.TryAcquireForOrder(f.now, "r", false))
	f.advance(3400*time.Millisecond + permitTTL) // a permit was available but not used
	is.True(!f.TryAcquireForOrder(f.now, "r", false))
	f.Pool.Announce(f.now, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Born: "2"})
	is.True(f.TryAcquireForOrder(f.now, "r", false)) // the new incarnation has not reported a limit
}

// TestReleasedPermitIsGranted checks that a released permit is granted to a queued
// request, here and at a peer.
func TestReleasedPermitIsGranted(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, nil)
	f.requestPermit(1, 0, 0)
	f.requestPermit(2, 0, time.Minute)
	is.Equal(f.granted(), []calls.ID{1})
	f.Release(f.now, Resource{Replica: incarnation})
	is.Equal(f.granted(), []calls.ID{1, 2})
	f.Release(f.now, Resource{Replica: pool.Incarnation{Name: "r", Born: "0"}}) // an earlier incarnation
	f.requestPermit(3, 0, 0)
	is.Equal(len(f.granted()), 2)

	f = newFixture(1, map[string]string{"a": "z"})
	f.Permits.Stopping = func() bool { return true }
	f.Release(f.now, Resource{Replica: incarnation})
	sent := f.takeRequests()
	is.Equal(len(sent), 1)
	is.True(sent[0].Request.Unused)
}

// TestRaisedLimitGrantsQueue checks that queued requests are granted when the limit is
// removed, and that a raised limit applies at once.
func TestRaisedLimitGrantsQueue(t *testing.T) {
	is := is.New(t)
	f := newFixture(0, nil)
	f.endProbation()
	for id := range calls.ID(20) {
		f.requestPermit(id+1, 0, time.Hour)
	}
	f.advance(time.Second)
	is.True(len(f.granted()) <= 1)
	f.setLimit(100)
	f.advance(100 * time.Millisecond)
	n := len(f.granted())
	is.True(n >= 5 && n <= 16)
	f.setLimit(1e6)
	f.advance(10 * time.Millisecond)
	is.Equal(len(f.granted()), 20)
}

// TestRetriesAreBorrowed checks that an instance asks up to maxLenders peers for what it lacks of
// a retry, one after the other and each once, and that nobody is asked who does not answer.
func TestRetriesAreBorrowed(t *testing.T) {
	lent := func(retries float64) Reply { return Reply{Verdict: Decision{Retries: retries}} }
	for _, tt := range []struct {
		name    string
		peers   int
		own     float64
		replies []Reply   // of the peers that are asked, in order
		asked   []float64 // what each of them is asked for
		want    float64   // what was borrowed
	}{
		{"no peers", 0, 0, nil, nil, 0},
		{"the first lends", 5, 0, []Reply{lent(1)}, []float64{1}, 1},
		{"a part is left", 5, 0.75, []Reply{lent(0.25)}, []float64{0.25}, 0.25},
		{"each lends a part", 5, 0.25, []Reply{lent(0.25), lent(0.25), lent(0.25)}, []float64{0.75, 0.5, 0.25}, 0.75},
		{"four lend too little", 6, 0, []Reply{lent(0.25), lent(0), lent(0.25), lent(0)}, []float64{1, 0.75, 0.75, 0.5}, 0.5},
		{"more than was asked for", 5, 0.5, []Reply{lent(7)}, []float64{0.5}, 0.5},
		{"less than nothing", 5, 0.5, []Reply{lent(-1), lent(0.5)}, []float64{0.5, 0.5}, 0.5},
		{"fewer peers", 2, 0, []Reply{lent(0), lent(0)}, []float64{1, 1}, 0},
		{"one does not answer", 5, 0, []Reply{{Err: errors.New("no answer")}, lent(1)}, []float64{1, 1}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			others := map[string]string{}
			for i := range tt.peers {
				others[fmt.Sprint("p", i)] = "z"
			}
			f := newFixture(1, others)
			f.retries = tt.own
			f.BorrowRetry(f.now, "s", 1)
			peers := map[string]bool{}
			for i, reply := range tt.replies {
				sent := f.takeRequests()
				is.Equal(len(sent), 1)
				is.Equal(sent[0].Request.Service, "s")
				is.Equal(sent[0].Request.Retries, tt.asked[i])
				is.True(!peers[sent[0].Peer])
				peers[sent[0].Peer] = true
				reply.Token = sent[0].Token
				f.HandleReply(f.now, reply)
			}
			is.Equal(len(f.takeRequests()), 0)
			is.Equal(len(f.decisions), 1)
			is.Equal(f.decisions[0].Retries, tt.want)
		})
	}
}

// TestEmptyLendersAreNotAskedAgain checks that a peer which lent less than was asked for is passed
// over for a while, so that calls are refused at once where no instance has retries left.
func TestEmptyLendersAreNotAskedAgain(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, map[string]string{"p": "z"})
	ask := func(service string) (asked bool) {
		f.BorrowRetry(f.now, service, 1)
		sent := f.takeRequests()
		for _, s := range sent {
			f.HandleReply(f.now, Reply{Token: s.Token, Verdict: Decision{}})
		}
		return len(sent) > 0
	}
	is.True(ask("s"))
	is.True(!ask("s"))
	is.True(ask("other")) // it may have retries of other services
	f.now = f.now.Add(emptyLenderPause)
	is.True(ask("s"))
	f.advance(2 * time.Second)
	is.Equal(len(f.emptyLenders), 0)
	is.Equal(len(f.decisions), 4)
}

// Guards against retries that no instance counts: what is lent is taken from the lender, and
// what arrives too late is void.
func TestRetriesAreLent(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, map[string]string{"p": "z"})
	f.retries = 2.5
	lent := 0.0
	for token := range 5 {
		f.HandleRequest(f.now, RequestReceived{Token: uint64(token + 1), From: "p", Request: Request{Resource: Resource{Service: "s"}, Retries: 7}})
		for _, a := range f.Out.Actions() {
			if reply, ok := a.(SendReply); ok {
				is.True(reply.Verdict.Retries <= 1)
				lent += reply.Verdict.Retries
			}
		}
		f.Out.Reset()
	}
	is.Equal(lent, 2.5)

	f.BorrowRetry(f.now, "s", 1)
	sent := f.takeRequests()
	f.now = f.now.Add(permitTTL)
	f.HandleReply(f.now, Reply{Token: sent[0].Token, Verdict: Decision{Retries: 1}})
	is.Equal(f.decisions[0].Retries, 0.0)
}

// TestAdapterOrdersRankBelowCalls: a call that needs an adapter takes two permits, so
// where permits are scarce the other calls come first. Orders for models and state
// queries come before all calls.
func TestAdapterOrdersRankBelowCalls(t *testing.T) {
	is := is.New(t)
	f := newFixture(1, nil)
	f.endProbation()
	for f.TryAcquireForOrder(f.now, "r", false) { // takes the available tokens
	}
	is.True(!f.TryAcquireForOrder(f.now, "r", true))
	f.requestPermit(1, 3, time.Minute)
	advanceUntil := func(cond func() bool) {
		for end := f.now.Add(2 * time.Second); !cond() && f.now.Before(end); {
			f.advance(10 * time.Millisecond)
		}
	}
	advanceUntil(func() bool { return f.TryAcquireForOrder(f.now, "r", false) }) // the state query comes first
	is.Equal(len(f.granted()), 0)
	advanceUntil(func() bool { return len(f.granted()) > 0 })
	is.Equal(f.granted(), []calls.ID{1})
	is.True(!f.TryAcquireForOrder(f.now, "r", true))
	served := f.now
	advanceUntil(func() bool { return f.TryAcquireForOrder(f.now, "r", true) })
	is.True(f.now.Since(served) > 900*time.Millisecond && f.now.Since(served) < 1100*time.Millisecond)
}

// TestProbationBeforeFirstLimitReport checks that an instance which was the coordinator
// before a replica reported a limit grants the whole of the limit at once. An instance
// that has just started, or was suspended, grants less for a while.
func TestProbationBeforeFirstLimitReport(t *testing.T) {
	ownRate := func(f *fixture) float64 {
		r := replicaRequest(f.Pool.Get("r"), 0, 0)
		q, _ := f.coordinator.quota(f.now, r)
		return f.coordinator.ownQuota(f.now, f.coordinator.bucket(f.now, r, q), q).rate
	}
	newUnlimited := func() *fixture {
		f := newFixture(10, nil)
		f.Pool.Announce(f.now, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Born: "2"})
		return f
	}
	is := is.New(t)
	f := newUnlimited()
	f.advance(probationPeriod + time.Second)
	f.setLimit(10)
	is.Equal(ownRate(f), 10.0)
	f = newUnlimited()
	f.advance(time.Second)
	f.setLimit(10)
	is.Equal(ownRate(f), 10*probationShare)
	f = newUnlimited()
	f.advance(probationPeriod + time.Second)
	f.now = f.now.Add(probationPeriod + time.Second) // suspended
	f.setLimit(10)
	is.Equal(ownRate(f), 10*probationShare)
}

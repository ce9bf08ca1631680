package forwarding

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/pool"
)

// limitedReplica announces an engine that has model m loaded, with a rate limit of perSecond
// unless that is negative.
func (f *Forwarder) limitedReplica(name string, perSecond float64) *pool.Replica {
	f.Pool.Announce(start, name, pool.Announcement{Service: "s", Address: name, Zone: "z", Slots: 8, Engine: true, Models: []pool.AnnouncedModel{{Name: "m"}}})
	if perSecond >= 0 {
		f.Pool.ObserveLimit(start, name, start, pool.RateLimit{Named: true, PerSecond: perSecond}, "i")
	}
	return f.Pool.Get(name)
}

// callFor adds a newly arrived call for model m.
func (f *Forwarder) callFor(id calls.ID) *calls.Call {
	c, s := f.testCall(config.Stream, true)
	f.Calls.Remove(c)
	c.ID = id
	c.Phase = calls.Waiting
	c.Item = "m"
	s.request = modelRequest{model: "m"}
	f.Calls.Add(c)
	return c
}

// exhaustLimit uses the permit for the request that a replica takes now.
func (f *Forwarder) exhaustLimit(now clock.Instant, r *pool.Replica) {
	f.Permits.TryAcquireForOrder(now, r.Name, false)
}

// dispatches returns the dispatches so far, by call.
func (f *Forwarder) dispatches() map[calls.ID]calls.Dispatch {
	out := map[calls.ID]calls.Dispatch{}
	for _, a := range f.Out.Actions() {
		if d, ok := a.(calls.Dispatch); ok {
			out[d.ID] = d
		}
	}
	return out
}

// TestUnlimitedReplicaIsPreferred checks that a call is sent to a replica without a rate limit
// if there is one, even if the limited replica is idle. It is sent to the limited replica if
// the backlog of the others is longer than the wait for the rate limit, and then the dispatch
// says that the replica had a limit.
func TestUnlimitedReplicaIsPreferred(t *testing.T) {
	is := is.New(t)
	f := testForwarder(t)
	f.limitedReplica("limited", 1)
	f.limitedReplica("free", -1)
	for id := range calls.ID(5) {
		f.findReplica(start, f.callFor(id+1))
	}
	is.Equal(len(f.dispatches()), 5)
	for _, d := range f.dispatches() {
		is.Equal(d.Replica, "free")
		is.True(!d.Limited)
	}

	f = testForwarder(t)
	r := f.limitedReplica("limited", 20)
	free := f.limitedReplica("free", -1)
	for id := range uint64(20) {
		free.StartPrefill(start, 100+id, pool.Prefill{Work: 100 * time.Millisecond, Expected: time.Second})
	}
	f.findReplica(start, f.callFor(1))
	is.Equal(f.dispatches()[1].Replica, "limited")
	is.True(f.dispatches()[1].Limited)
	for range 3 {
		f.exhaustLimit(start, r)
	}
	r.SetNextSend(start.Add(time.Minute))
	f.findReplica(start, f.callFor(2)) // the wait for the limit is longer than that for the free replica
	is.Equal(f.dispatches()[2].Replica, "free")
}

// TestOnlyRateLimitedReplicas checks what happens to a call once the rate limit of its only
// replica is exhausted: it waits for a permit within half of its latency target, or is
// refused at once with a Retry-After and the limit as the reason.
func TestOnlyRateLimitedReplicas(t *testing.T) {
	cases := []struct {
		name    string
		limit   float64
		prepare func(c *calls.Call)
		waits   bool
		code    code.Code
	}{
		{"permit available soon", 10, func(*calls.Call) {}, true, 0},
		{"permit available too late", 1, func(*calls.Call) {}, false, code.NoCapacity},
		{"call has time to spare", 1, func(c *calls.Call) { c.Target = 8 * time.Second }, true, 0},
		{"call has waited too long", 10, func(c *calls.Call) { c.Arrived = start.Add(-450 * time.Millisecond) }, false, code.NoCapacity},
		{"call may have run", 1, func(c *calls.Call) { c.History = c.History.WithAttempt().WithFailure(attempt.MaybeSent) }, false, code.UpstreamBroke},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			r := f.limitedReplica("r", c.limit)
			f.exhaustLimit(start, r)
			call := f.callFor(1)
			c.prepare(call)
			f.findReplica(start, call)
			refused, _ := finalAnswers(f.Out)
			is.Equal(call.Phase == calls.AwaitingPermit, c.waits)
			is.Equal(refused[1].Code, c.code)
			is.Equal(len(f.dispatches()), 0)
			if c.code == code.NoCapacity {
				is.Equal(refused[1].Run, code.NotRun)
				is.True(refused[1].RetryAfter >= noReplicaRetryAfter)
				is.True(strings.Contains(refused[1].Detail, "r takes 1"))
				is.True(strings.Contains(refused[1].Detail, "i heard"))
			}
			if c.waits {
				f.Permits.Tick(start.Add(4 * time.Second))
				is.Equal(f.dispatches()[1].Replica, "r")
			}
		})
	}
}

// TestAnotherLimitedReplicaIsTried checks that a call denied by one rate-limited replica is
// sent to another one that still takes requests.
func TestAnotherLimitedReplicaIsTried(t *testing.T) {
	is := is.New(t)
	f := testForwarder(t)
	a, b := f.limitedReplica("a", 1), f.limitedReplica("b", 1)
	f.exhaustLimit(start, a)
	a.SetNextSend(start) // this call does not know of the wait
	f.findReplica(start, f.callFor(1))
	f.findReplica(start, f.callFor(2))
	is.Equal(len(f.dispatches()), 1)
	is.Equal(f.dispatches()[1].Replica, "b")
	refused, _ := finalAnswers(f.Out)
	is.Equal(refused[2].Code, code.NoCapacity)
	is.Equal(a.Failures()+b.Failures(), 0) // a denial for the rate limit is not a failure
}

// TestUnusablePermitIsReleased checks that a call that can no longer be sent when it gets its
// permit is not sent, and that the next call gets the permit.
func TestUnusablePermitIsReleased(t *testing.T) {
	for name, event := range map[string]func(f *Forwarder, c *calls.Call, r *pool.Replica){
		"caller disconnected": func(f *Forwarder, c *calls.Call, _ *pool.Replica) {
			f.Calls.CallerGone(start, calls.CallerGone{ID: c.ID})
		},
		"call expired": func(f *Forwarder, c *calls.Call, _ *pool.Replica) { f.expire(c) },
		"replica resting": func(f *Forwarder, _ *calls.Call, _ *pool.Replica) {
			f.Pool.ObserveNotice(start, "r", start, pool.Notice{Rest: time.Hour})
		},
		"replica terminated": func(f *Forwarder, _ *calls.Call, _ *pool.Replica) { f.Pool.MarkTerminated("r") },
		"model absent":       func(f *Forwarder, _ *calls.Call, _ *pool.Replica) { f.Pool.MarkAbsent("r", "m") },
		"request in quarantine": func(f *Forwarder, c *calls.Call, _ *pool.Replica) {
			f.RefuseQuarantined(crash.Cause{c.Forward.Fingerprint.Trait()}, time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			r := f.limitedReplica("r", 9)
			f.exhaustLimit(start, r)
			c := f.callFor(1)
			c.Forward.Fingerprint = crash.Fingerprint(7)
			stateOf(c).traits = c.Forward.Identity().Traits("s")
			f.findReplica(start, c)
			is.Equal(c.Phase, calls.AwaitingPermit)
			event(f, c, r)
			f.Permits.Tick(start.Add(450 * time.Millisecond))
			is.Equal(len(f.dispatches()), 0)
			decision := permits.Decision{}
			f.Permits.Decided = func(_ clock.Instant, _ calls.ID, _ permits.Resource, x permits.Decision) { decision = x }
			f.Permits.RequestForCall(start.Add(450*time.Millisecond), r, 2, 0, 0, false)
			is.True(decision.Granted)
		})
	}
}

// TestStaleLimitIsCheckedByOneCall checks that after a time without reports of a rate limit,
// one call is sent to that replica although others could serve it, and no second call before
// the first is answered.
func TestStaleLimitIsCheckedByOneCall(t *testing.T) {
	is := is.New(t)
	f := testForwarder(t)
	f.limitedReplica("limited", 0)
	f.limitedReplica("free", -1)
	later := start.Add(time.Minute)
	for id := range calls.ID(3) {
		c := f.callFor(id + 1)
		c.Arrived = later
		c.Expires = later.Add(5 * time.Second)
		f.findReplica(later, c)
	}
	is.Equal(f.dispatches()[1].Replica, "limited")
	is.Equal(f.dispatches()[2].Replica, "free")
	is.Equal(f.dispatches()[3].Replica, "free")
}

// TestLimitedEnginesAreNotProbed checks that engines with a rate limit are not probed, since a
// probe counts as a request.
func TestLimitedEnginesAreNotProbed(t *testing.T) {
	is := is.New(t)
	f := testForwarder(t)
	f.Options.ProbeWait = 20 * time.Millisecond
	f.limitedReplica("a", 1000)
	f.limitedReplica("b", -1)
	f.limitedReplica("c", -1)
	f.findReplica(start, f.callFor(1))
	for _, action := range f.Out.Actions() {
		if p, ok := action.(ProbeEngine); ok {
			is.True(p.Engine != "a")
		}
	}
}

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

// limitedReplica announces an engine that holds model m and names a limit, if that is not
// negative.
func (f *Forwarder) limitedReplica(name string, perSecond float64) *pool.Replica {
	f.Pool.Announce(start, name, pool.Announcement{Service: "s", Address: name, Zone: "z", Slots: 8, Engine: true, Models: []pool.AnnouncedModel{{Name: "m"}}})
	if perSecond >= 0 {
		f.Pool.ObserveLimit(start, name, start, pool.RateLimit{Named: true, PerSecond: perSecond}, "i")
	}
	return f.Pool.Get(name)
}

// callFor adds a call for model m that has just come.
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

// exhaustLimit uses up what a replica takes now.
func (f *Forwarder) exhaustLimit(now clock.Instant, r *pool.Replica) {
	f.Permits.TryAcquireForOrder(now, r.Name, false)
}

// dispatches returns where calls are sent.
func (f *Forwarder) dispatches() map[calls.ID]calls.Dispatch {
	out := map[calls.ID]calls.Dispatch{}
	for _, a := range f.Out.Actions() {
		if d, ok := a.(calls.Dispatch); ok {
			out[d.ID] = d
		}
	}
	return out
}

// TestUnlimitedReplicaIsPreferred: a call that another replica can serve goes there, also where
// the limited one has nothing in flight; it goes to the limited one where the others have
// more to do than the wait for a turn there, and its answer is listened to.
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
	f.findReplica(start, f.callFor(2)) // its turn would come later than the free one serves it
	is.Equal(f.dispatches()[2].Replica, "free")
}

// TestOnlyRateLimitedReplicas tables what becomes of a call after what its one replica
// takes now is used up: it waits its turn within half of its target, or is refused at once
// with when to come back, and why.
func TestOnlyRateLimitedReplicas(t *testing.T) {
	cases := []struct {
		name    string
		limit   float64
		prepare func(c *calls.Call)
		waits   bool
		code    code.Code
	}{
		{"its turn comes soon", 10, func(*calls.Call) {}, true, 0},
		{"its turn comes too late", 1, func(*calls.Call) {}, false, code.NoCapacity},
		{"it has time to spare", 1, func(c *calls.Call) { c.Target = 8 * time.Second }, true, 0},
		{"it has waited long enough", 10, func(c *calls.Call) { c.Arrived = start.Add(-450 * time.Millisecond) }, false, code.NoCapacity},
		{"it may have run", 1, func(c *calls.Call) { c.History = c.History.WithAttempt().WithFailure(attempt.MaybeSent) }, false, code.UpstreamBroke},
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

// TestAnotherLimitedReplicaIsTried: where one takes no more, a call goes to another one that
// does.
func TestAnotherLimitedReplicaIsTried(t *testing.T) {
	is := is.New(t)
	f := testForwarder(t)
	a, b := f.limitedReplica("a", 1), f.limitedReplica("b", 1)
	f.exhaustLimit(start, a)
	a.SetNextSend(start) // not known to this call
	f.findReplica(start, f.callFor(1))
	f.findReplica(start, f.callFor(2))
	is.Equal(len(f.dispatches()), 1)
	is.Equal(f.dispatches()[1].Replica, "b")
	refused, _ := finalAnswers(f.Out)
	is.Equal(refused[2].Code, code.NoCapacity)
	is.Equal(a.Failures()+b.Failures(), 0) // a limit is no failure
}

// TestUnusablePermitIsReleased tables what may have happened while a call waited for its turn:
// it is not sent, and the next one gets the permit.
func TestUnusablePermitIsReleased(t *testing.T) {
	for name, happens := range map[string]func(f *Forwarder, c *calls.Call, r *pool.Replica){
		"its caller left": func(f *Forwarder, c *calls.Call, _ *pool.Replica) {
			f.Calls.CallerGone(start, calls.CallerGone{ID: c.ID})
		},
		"its time is over": func(f *Forwarder, c *calls.Call, _ *pool.Replica) { f.expire(c) },
		"the replica wants nothing": func(f *Forwarder, _ *calls.Call, _ *pool.Replica) {
			f.Pool.ObserveNotice(start, "r", start, pool.Notice{Rest: time.Hour})
		},
		"the replica leaves": func(f *Forwarder, _ *calls.Call, _ *pool.Replica) { f.Pool.MarkTerminated("r") },
		"its model went":     func(f *Forwarder, _ *calls.Call, _ *pool.Replica) { f.Pool.MarkAbsent("r", "m") },
		"its request is not run now": func(f *Forwarder, c *calls.Call, _ *pool.Replica) {
			f.RefuseQuarantined(c.Forward.Fingerprint, time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			r := f.limitedReplica("r", 9)
			f.exhaustLimit(start, r)
			c := f.callFor(1)
			c.Forward.Fingerprint = crash.Fingerprint(7)
			f.findReplica(start, c)
			is.Equal(c.Phase, calls.AwaitingPermit)
			happens(f, c, r)
			f.Permits.Tick(start.Add(450 * time.Millisecond))
			is.Equal(len(f.dispatches()), 0)
			v := permits.Decision{}
			f.Permits.Decided = func(_ clock.Instant, _ calls.ID, _ permits.Resource, x permits.Decision) { v = x }
			f.Permits.RequestForCall(start.Add(450*time.Millisecond), r, 2, 0, 0, false)
			is.True(v.Granted)
		})
	}
}

// TestStaleLimitIsCheckedByOneCall: after a while in which nothing was heard of a limit, one
// call goes there though others could serve it, and no second one before that is answered.
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

// TestLimitedEnginesAreNotProbed: asking an engine how busy it is counts as a request.
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

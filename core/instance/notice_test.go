package instance

// Guards against ignoring what replicas state about themselves in their responses. Replicas
// received calls for many seconds after they had announced in their responses that they leave,
// until the list said so. Replicas that refused calls and requested a rest received more calls
// immediately.
//
// While the store of the list was down, it did not accept the entry of a leaving replica, so the
// list showed the replica as ready, and instances selected replicas by the list. A refusal
// affected only the call that it was sent for; for the next call the replica looked as good as
// before. The header of a response in which a replica states these notices was not read, so all
// instances kept sending calls.
//
// The engines in these tests state their notices in responses and nowhere else;
// platform/notice_process_test.go tests the same with processes.

import (
	"errors"
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/notice"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watchers"
)

const (
	// leaveGrace is the users' bound on the time for which an instance may still send
	// to an engine after it was notified that the engine leaves.
	leaveGrace = 2 * time.Second
	// restGrace is the users' bound on the time for which requests may still arrive at
	// an engine after it requested a rest.
	restGrace = 500 * time.Millisecond
	// maxInRest is the users' bound on the number of requests of one instance that may
	// reach an engine during its rest.
	maxInRest = 2
)

// noticeSeeds is the number of seeds per storm. For a longer run, use -notice.seeds=50.
var noticeSeeds = flag.Int("notice.seeds", 3, "number of seeds per storm with engines that send notices")

// A noticeHarness makes engines send notices in their responses, and checks the requests that they
// receive afterwards.
type noticeHarness struct {
	f             *fleet
	leaving       map[*fleetEngine]bool
	rests         map[*fleetEngine]time.Duration // requested by engines that refuse all calls
	arrived       map[calls.ID]noticeCall
	firstNoticeAt map[noticeKey]time.Duration // when an instance was first notified that an engine leaves
	received      map[noticeKey][]noticeRequest
	served        map[*fleetEngine]int
	lostCalls     []string    // refused calls that another engine could have served
	lateRequests  int         // number of requests sent later than leaveGrace
	retries       *retryCount // nil: attempts are not counted
	rejectedShare float64     // share of calls that engines reject at random, without asking for a rest
}

// A noticeKey identifies an incarnation of an instance and the incarnation of an engine that
// responds to it.
type noticeKey struct {
	member   string
	boot     uint64
	engine   string
	restarts int
}

// A noticeRequest is one request that reached an engine.
type noticeRequest struct {
	at   time.Duration
	rest time.Duration // rest that the response requested
}

// A noticeCall is a call that has arrived at an instance.
type noticeCall struct {
	member *fleetMember
	at     time.Duration
	model  string
	plain  bool // the call requests no adapter
}

func newNoticeHarness(f *fleet) *noticeHarness {
	h := &noticeHarness{
		f: f, leaving: map[*fleetEngine]bool{}, rests: map[*fleetEngine]time.Duration{}, arrived: map[calls.ID]noticeCall{},
		firstNoticeAt: map[noticeKey]time.Duration{}, received: map[noticeKey][]noticeRequest{}, served: map[*fleetEngine]int{},
	}
	f.notices = h
	return h
}

func (h *noticeHarness) arrive(n *fleetMember, r calls.Request) {
	if h.retries != nil {
		h.retries.recordCall(h.f.now)
	}
	h.arrived[r.ID] = noticeCall{member: n, at: h.f.now, model: r.Forward.Model, plain: r.Forward.Adapter == ""}
}

// requestReached records that a request reached an engine, and returns the notice in the engine's
// response. sent is the time from which leaveGrace is checked.
func (h *noticeHarness) requestReached(n *fleetMember, boot uint64, e *fleetEngine, sent time.Duration) pool.Notice {
	to := noticeKey{n.id.Name, boot, e.name, e.restarts}
	if at, told := h.firstNoticeAt[to]; told && sent > at+leaveGrace {
		h.lateRequests++
	}
	content := pool.Notice{Leaving: h.leaving[e], Rest: h.rests[e]}
	h.received[to] = append(h.received[to], noticeRequest{at: h.f.now, rest: content.Rest})
	return content
}

// sendNotice delivers a notice of an engine to an instance.
func (h *noticeHarness) sendNotice(n *fleetMember, boot uint64, e *fleetEngine, sent clock.Instant, content pool.Notice) {
	if content.IsZero() {
		return
	}
	to := noticeKey{n.id.Name, boot, e.name, e.restarts}
	h.f.at(fleetLatency, func() {
		if _, known := h.firstNoticeAt[to]; content.Leaving && !known && !n.dead && !n.frozen && n.boot == boot {
			h.firstNoticeAt[to] = h.f.now
		}
		h.f.step(n, boot, notice.Received{Replica: e.name, Sent: sent, Notice: content})
	})
}

// serve runs a call at its engine, or has the engine refuse it.
func (h *noticeHarness) serve(n *fleetMember, boot uint64, d calls.Dispatch, reply func(time.Duration, step.Event)) {
	e := h.f.engines[d.Replica]
	failed := func(delay time.Duration, b calls.AttemptFailed) {
		b.ID, b.Attempt = d.ID, d.Attempt
		reply(delay, b)
	}
	switch {
	case h.f.partitioned(n.id.Zone, e.zone):
		failed(500*time.Millisecond, calls.AttemptFailed{Phase: attempt.NotSent, Detail: "zone unreachable"})
		return
	case e.dead:
		failed(fleetLatency, calls.AttemptFailed{Phase: attempt.NotSent, Unreachable: true})
		return
	}
	sent := h.f.clock(n)
	h.f.at(fleetLatency, func() {
		retried := false
		if h.retries != nil {
			retried = h.retries.attempted[d.ID]
			h.retries.recordAttempt(h.f.now, d.ID)
		}
		content := h.requestReached(n, boot, e, h.arrived[d.ID].at)
		switch {
		case content.Rest > 0:
			h.sendNotice(n, boot, e, sent, content)
			failed(fleetLatency, calls.AttemptFailed{Phase: attempt.Refused, Status: 503})
		case h.rejectedShare > 0 && h.f.rng.Float64() < h.rejectedShare:
			failed(fleetLatency, calls.AttemptFailed{Phase: attempt.Refused, Status: 503})
		case !e.models[d.Model] || d.Adapter != "" && !e.adapters[d.Model+"/"+d.Adapter]:
			h.sendNotice(n, boot, e, sent, content)
			failed(fleetLatency, calls.AttemptFailed{Phase: attempt.Refused, Misdirected: true, Incarnation: d.Replica})
		default:
			h.f.at(h.f.firstTokenDelay, func() { h.sendNotice(n, boot, e, sent, content) })
			h.f.served++
			h.served[e]++
			if retried {
				h.retries.saved++
			}
			reply(h.f.firstTokenDelay+fleetLatency, calls.AnswerBegan{ID: d.ID})
			reply(400*time.Millisecond, calls.Completed{ID: d.ID})
		}
	})
}

// rejectOrder handles an order sent to an engine, and reports whether the engine rejected it.
func (h *noticeHarness) rejectOrder(n *fleetMember, boot uint64, a owned.SendOrder, reply func(time.Duration, step.Event)) bool {
	e := h.f.engines[a.Engine]
	content := h.requestReached(n, boot, e, h.f.now)
	h.sendNotice(n, boot, e, h.f.clock(n), content)
	if content.Rest == 0 {
		return false
	}
	reply(2*fleetLatency, owned.OrderReply{Engine: a.Engine, Fence: a.Fence, Answer: orders.AnswerLost})
	return true
}

// rejectStateQuery handles a query for the state of an engine, and reports whether the engine
// rejected it.
func (h *noticeHarness) rejectStateQuery(n *fleetMember, boot uint64, e *fleetEngine, sent clock.Instant, reply func(time.Duration, step.Event)) bool {
	content := h.requestReached(n, boot, e, h.f.now-fleetLatency)
	h.sendNotice(n, boot, e, sent, content)
	if content.Rest == 0 {
		return false
	}
	reply(fleetLatency, owned.StateReply{Engine: e.name, Sent: sent, Err: errors.New("status 503")})
	return true
}

// handleFinish handles a final answer that an instance gives itself. A call that some engine could
// have served is lost.
func (h *noticeHarness) handleFinish(a calls.Finish) {
	c, ok := h.arrived[a.ID]
	if !ok || !c.plain || a.Refusal.Code == code.NoConfiguration {
		return // an instance that has just started refuses all calls, whatever its engines do
	}
	for _, name := range sortedKeys(h.f.engines) {
		e := h.f.engines[name]
		if e.models[c.model] && !e.dead && !h.leaving[e] && h.rests[e] == 0 && !h.f.partitioned(c.member.id.Zone, e.zone) {
			h.lostCalls = append(h.lostCalls, fmt.Sprintf("%v: call %d for %s was refused with %d (%s) after %v, and %s could serve it",
				h.f.now, a.ID, c.model, a.Refusal.Code, a.Refusal.Detail, h.f.now-c.at, e.name))
			return
		}
	}
}

// maxRequestsInRest returns the largest number of requests of one instance that reached an engine
// during a rest that the engine had requested from that instance. The first restGrace of a rest
// does not count.
func (h *noticeHarness) maxRequestsInRest() int {
	most := 0
	for _, requests := range h.received {
		for _, restRequest := range requests {
			n := 0
			for _, r := range requests {
				if r.at > restRequest.at+restGrace && r.at < restRequest.at+restRequest.rest {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// startLeaving makes an engine announce, only in its responses, that it leaves. After 6 s the
// engine ends, and 2 s later it restarts under its name.
func (h *noticeHarness) startLeaving(e *fleetEngine) {
	h.leaving[e] = true
	h.f.at(6*time.Second, func() {
		e.dead = true
		h.f.at(2*time.Second, func() { h.restartEngine(e) })
	})
}

// restartEngine restarts an engine that ended, under its name.
func (h *noticeHarness) restartEngine(e *fleetEngine) {
	delete(h.leaving, e)
	delete(h.served, e)
	h.f.restartEngine(e)
}

// shedLoad makes an engine reject everything for span and request a rest.
func (h *noticeHarness) shedLoad(e *fleetEngine, span, rest time.Duration) {
	h.rests[e] = rest
	h.f.at(span, func() { delete(h.rests, e) })
}

// engine returns the engine with number i.
func (h *noticeHarness) engine(i int) *fleetEngine { return h.f.engines[fmt.Sprintf("e%d", i)] }

// A noticeStorm is a fault scenario for a fleet with engines that send notices.
type noticeStorm struct {
	name    string
	members int
	do      func(h *noticeHarness)
}

var noticeStorms = []noticeStorm{
	{"calm", 5, func(*noticeHarness) {}},
	{"the store is down", 5, func(h *noticeHarness) { h.f.store.down = true }},
	{"leaving engines are listed as ready", 5, func(h *noticeHarness) {
		h.f.periodically(200*time.Millisecond, 0, func() func() {
			for e := range h.leaving {
				if !e.dead {
					h.f.announce(e)
				}
			}
			return func() {}
		})
	}},
	{"entries are deleted and restored", 5, func(h *noticeHarness) {
		h.f.periodically(1500*time.Millisecond, 700*time.Millisecond, func() func() {
			var gone []*fleetEngine
			for e := range h.leaving {
				if !e.dead {
					h.f.setKey("servers/"+e.name, nil)
					gone = append(gone, e)
				}
			}
			return func() {
				for _, e := range gone {
					h.f.announce(e)
				}
			}
		})
	}},
	{"instances are killed", 5, func(h *noticeHarness) {
		h.f.periodically(3*time.Second, time.Second, func() func() {
			n := h.f.randomMember()
			n.dead = true
			return func() { h.f.start(n.id.Name) }
		})
	}},
	{"orders are executed late", 5, func(h *noticeHarness) { h.f.lateShare = 0.4 }},
	{"responses of the store are lost", 5, func(h *noticeHarness) { h.f.lostShare = 0.4 }},
	{"a large fleet", 2 * watchers.FullMeshLimit, func(*noticeHarness) {}},
}

// TestEngineNoticesAreObeyed checks, for every fault scenario, that an instance sends nothing to
// an engine later than two seconds after the engine notified it that it leaves, and at most two
// requests during a rest that the engine requested, and that no call is refused that another
// engine could serve.
func TestEngineNoticesAreObeyed(t *testing.T) {
	for _, s := range noticeStorms {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *noticeSeeds {
				h := newNoticeHarness(newFleetOf(uint64(seed+1), s.members, 2*fleetEngines, option.Disabled{}, false))
				f := h.f
				f.expireLeases()
				f.run(5 * time.Second)
				f.startCallers(20 * time.Millisecond)
				f.run(2 * time.Second)
				s.do(h)
				for i, at := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
					f.at(at, func() { h.startLeaving(h.engine(i)) })
				}
				for i, rest := range []time.Duration{4 * time.Second, 1500 * time.Millisecond, 700 * time.Millisecond} {
					f.at(time.Duration(i+1)*time.Second, func() { h.shedLoad(h.engine(i+4), 5*time.Second, rest) })
					f.at(12*time.Second, func() { h.shedLoad(h.engine(i+4), 2*time.Second, rest) })
				}
				f.run(20 * time.Second)
				if most := h.maxRequestsInRest(); h.lateRequests > 0 || most > maxInRest {
					t.Errorf("seed %d: %d requests too late after an engine announced that it leaves; %d during a rest", seed, h.lateRequests, most)
				}
				for _, lost := range h.lostCalls[:min(3, len(h.lostCalls))] {
					t.Errorf("seed %d: %d calls lost; %s", seed, len(h.lostCalls), lost)
				}
				for _, b := range f.violations {
					t.Errorf("seed %d: %s", seed, b)
				}
				if len(h.firstNoticeAt) == 0 || f.served == 0 {
					t.Errorf("seed %d: %d instances notified that an engine leaves, %d calls served", seed, len(h.firstNoticeAt), f.served)
				}
			}
		})
	}
}

// TestAnEngineThatStartsAgainServes checks that the notices of an engine apply to that incarnation
// only: it serves again under its name as soon as it is listed, even if a response of the previous
// incarnation arrives late.
func TestAnEngineThatStartsAgainServes(t *testing.T) {
	is := is.New(t)
	for seed := range *noticeSeeds {
		h := newNoticeHarness(newFleetOf(uint64(seed+1), 5, fleetEngines, option.Disabled{}, false))
		f := h.f
		f.expireLeases()
		f.run(5 * time.Second)
		f.startCallers(20 * time.Millisecond)
		e := h.engine(1)
		h.leaving[e] = true
		f.run(3 * time.Second)
		is.True(len(h.firstNoticeAt) > 0)
		sent := f.clock(f.members["i0"])
		e.dead = true
		f.run(time.Second)
		h.restartEngine(e)
		f.run(time.Second)
		for _, name := range f.names {
			n := f.members[name]
			f.step(n, n.boot, notice.Received{Replica: e.name, Sent: sent, Notice: pool.Notice{Leaving: true, Rest: time.Hour}})
		}
		f.run(4 * time.Second)
		is.True(h.served[e] > 10)
		is.Equal(f.violations, nil)
	}
}

// TestWhereAllEnginesLeaveOrRest checks that if no other engine is left, calls are refused
// immediately with a retry time, or wait for a rest that ends soon, and that no engine receives
// more requests than allowed.
func TestWhereAllEnginesLeaveOrRest(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(h *noticeHarness, e *fleetEngine)
	}{
		{"all leave", func(h *noticeHarness, e *fleetEngine) { h.leaving[e] = true }},
		{"all rest", func(h *noticeHarness, e *fleetEngine) { h.shedLoad(e, 4*time.Second, 2*time.Second) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range *noticeSeeds {
				h := newNoticeHarness(newFleetOf(uint64(seed+1), 5, fleetEngines, option.Disabled{}, false))
				f := h.f
				f.expireLeases()
				f.run(5 * time.Second)
				f.startCallers(20 * time.Millisecond)
				f.run(2 * time.Second)
				for _, name := range sortedKeys(f.engines) {
					tt.do(h, f.engines[name])
				}
				f.run(8 * time.Second)
				is.Equal(h.lateRequests, 0)
				is.True(h.maxRequestsInRest() <= maxInRest)
				is.Equal(f.violations, nil)
			}
		})
	}
}

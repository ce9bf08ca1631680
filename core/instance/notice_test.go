package instance

// Seen: replicas got calls for many seconds after they had said in their answers that
// they leave, until the list said so; replicas that turned calls away and asked for rest
// got more of them at once.
//
// How: while the list's store was down, what a leaving replica wrote there was not taken,
// so the list showed it as ready, and calls were chosen by the list. A refusal counted for
// the call that it was given to; the next call found the replica as good as before.
//
// Cause: what a replica says of itself in the head of an answer was read nowhere.
//
// Proof: engines that say so, and nothing else, in the fleet here and as processes in
// platform/notice_process_test.go. Before it was read, calls went on to each of them from
// all instances.

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
	// leaveGrace is how long an instance may go on sending to an engine after it was
	// told that the engine leaves: the users' bound.
	leaveGrace = 2 * time.Second
	// restGrace is how long requests may be on their way to an engine that asked for
	// rest: the users' bound.
	restGrace = 500 * time.Millisecond
	// maxInRest is how many requests of an instance may reach an engine in its rest:
	// the users' bound.
	maxInRest = 2
)

// noticeSeeds is how many seeds each storm is played with. By hand: -notice.seeds=50.
var noticeSeeds = flag.Int("notice.seeds", 3, "seeds of each storm of engines that say something of themselves")

// A noticeHarness has engines say something of themselves in their answers, and checks what
// is sent to them after that.
type noticeHarness struct {
	f        *fleet
	leaving  map[*fleetEngine]bool
	rests    map[*fleetEngine]time.Duration // asked for by engines that turn everything away
	arrived  map[calls.ID]noticeCall
	told     map[noticeKey]time.Duration // when an instance was first told that an engine leaves
	received map[noticeKey][]noticeRequest
	served   map[*fleetEngine]int
	lost     []string    // calls that another engine could have served
	late     int         // requests after noticeLeft
	retries  *retryCount // nil: tries are not counted
}

// A noticeKey is an instance that an engine spoke to.
type noticeKey struct {
	member string
	boot   uint64
	engine string
	starts int
}

// A noticeRequest is one request that reached an engine.
type noticeRequest struct {
	at   time.Duration
	rest time.Duration // that the answer asked for
}

// A noticeCall is a call on its way.
type noticeCall struct {
	member *fleetMember
	at     time.Duration
	model  string
	plain  bool // it asks for no adapter
}

func newNoticeHarness(f *fleet) *noticeHarness {
	l := &noticeHarness{
		f: f, leaving: map[*fleetEngine]bool{}, rests: map[*fleetEngine]time.Duration{}, arrived: map[calls.ID]noticeCall{},
		told: map[noticeKey]time.Duration{}, received: map[noticeKey][]noticeRequest{}, served: map[*fleetEngine]int{},
	}
	f.notices = l
	return l
}

func (l *noticeHarness) arrive(n *fleetMember, r calls.Request) {
	if l.retries != nil {
		l.retries.callTimes = append(l.retries.callTimes, l.f.now)
	}
	l.arrived[r.ID] = noticeCall{member: n, at: l.f.now, model: r.Forward.Model, plain: r.Forward.Adapter == ""}
}

// requestReached notes that something sent at sent requestReached an engine, and returns what the
// engine says of itself in its answer.
func (l *noticeHarness) requestReached(n *fleetMember, boot uint64, e *fleetEngine, sent time.Duration) pool.Notice {
	to := noticeKey{n.id.Name, boot, e.name, e.starts}
	if at, told := l.told[to]; told && sent > at+leaveGrace {
		l.late++
	}
	said := pool.Notice{Leaving: l.leaving[e], Rest: l.rests[e]}
	l.received[to] = append(l.received[to], noticeRequest{at: l.f.now, rest: said.Rest})
	return said
}

// sendNotice has what an engine says of itself reach the instance.
func (l *noticeHarness) sendNotice(n *fleetMember, boot uint64, e *fleetEngine, sent clock.Instant, said pool.Notice) {
	if said.IsZero() {
		return
	}
	to := noticeKey{n.id.Name, boot, e.name, e.starts}
	l.f.at(fleetLatency, func() {
		if _, known := l.told[to]; said.Leaving && !known && !n.dead && !n.frozen && n.boot == boot {
			l.told[to] = l.f.now
		}
		l.f.step(n, boot, notice.Received{Replica: e.name, Sent: sent, Notice: said})
	})
}

// serve has a call served by its engine, or turned away.
func (l *noticeHarness) serve(n *fleetMember, boot uint64, d calls.Dispatch, reply func(time.Duration, step.Event)) {
	e := l.f.engines[d.Replica]
	failed := func(way time.Duration, b calls.AttemptFailed) {
		b.ID, b.Attempt = d.ID, d.Attempt
		reply(way, b)
	}
	switch {
	case l.f.partitioned(n.id.Zone, e.zone):
		failed(500*time.Millisecond, calls.AttemptFailed{Phase: attempt.NotSent, Detail: "no way there"})
		return
	case e.dead:
		failed(fleetLatency, calls.AttemptFailed{Phase: attempt.NotSent, Unreachable: true})
		return
	}
	sent := l.f.clock(n)
	l.f.at(fleetLatency, func() {
		if l.retries != nil {
			l.retries.recordAttempt(l.f.now, d.ID)
		}
		said := l.requestReached(n, boot, e, l.arrived[d.ID].at)
		switch {
		case said.Rest > 0:
			l.sendNotice(n, boot, e, sent, said)
			failed(fleetLatency, calls.AttemptFailed{Phase: attempt.Refused, Status: 503})
		case !e.models[d.Model] || d.Adapter != "" && !e.adapters[d.Model+"/"+d.Adapter]:
			l.sendNotice(n, boot, e, sent, said)
			failed(fleetLatency, calls.AttemptFailed{Phase: attempt.Refused, Misdirected: true, Incarnation: d.Replica})
		default:
			l.f.at(l.f.firstTokenDelay, func() { l.sendNotice(n, boot, e, sent, said) })
			l.f.served++
			l.served[e]++
			reply(l.f.firstTokenDelay+fleetLatency, calls.AnswerBegan{ID: d.ID})
			reply(400*time.Millisecond, calls.Completed{ID: d.ID})
		}
	})
}

// rejectOrder takes in that an order is sent to an engine, and reports whether the
// engine turned it away.
func (l *noticeHarness) rejectOrder(n *fleetMember, boot uint64, a owned.SendOrder, reply func(time.Duration, step.Event)) bool {
	e := l.f.engines[a.Engine]
	said := l.requestReached(n, boot, e, l.f.now)
	l.sendNotice(n, boot, e, l.f.clock(n), said)
	if said.Rest == 0 {
		return false
	}
	reply(2*fleetLatency, owned.OrderReply{Engine: a.Engine, Fence: a.Fence, Answer: orders.AnswerLost})
	return true
}

// rejectStateQuery takes in that an engine is asked for its state, and reports whether
// it turned that away.
func (l *noticeHarness) rejectStateQuery(n *fleetMember, boot uint64, e *fleetEngine, sent clock.Instant, reply func(time.Duration, step.Event)) bool {
	said := l.requestReached(n, boot, e, l.f.now-fleetLatency)
	l.sendNotice(n, boot, e, sent, said)
	if said.Rest == 0 {
		return false
	}
	reply(fleetLatency, owned.StateReply{Engine: e.name, Sent: sent, Err: errors.New("status 503")})
	return true
}

// handleFinish takes in a final answer that is not an engine's. Where some engine could
// have served the call, it is lost.
func (l *noticeHarness) handleFinish(a calls.Finish) {
	c, ok := l.arrived[a.ID]
	if !ok || !c.plain || a.Refusal.Code == code.NoConfiguration {
		return // an instance that has just started serves nothing, whatever its engines do
	}
	for _, name := range sortedKeys(l.f.engines) {
		e := l.f.engines[name]
		if e.models[c.model] && !e.dead && !l.leaving[e] && l.rests[e] == 0 && !l.f.partitioned(c.member.id.Zone, e.zone) {
			l.lost = append(l.lost, fmt.Sprintf("%v: call %d for %s was refused with %d (%s) after %v, and %s could serve it",
				l.f.now, a.ID, c.model, a.Refusal.Code, a.Refusal.Detail, l.f.now-c.at, e.name))
			return
		}
	}
}

// maxRequestsInRest returns the most requests of one instance that reached an engine within a
// rest that it had asked that instance for.
func (l *noticeHarness) maxRequestsInRest() int {
	most := 0
	for _, reaches := range l.received {
		for _, asked := range reaches {
			n := 0
			for _, r := range reaches {
				if r.at > asked.at+restGrace && r.at < asked.at+asked.rest {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// startLeaving has an engine say that it startLeaving, in its answers alone, end after a while and
// start again under its name.
func (l *noticeHarness) startLeaving(e *fleetEngine) {
	l.leaving[e] = true
	l.f.at(6*time.Second, func() {
		e.dead = true
		l.f.at(2*time.Second, func() { l.restartEngine(e) })
	})
}

// restartEngine has an engine that ended start again under its name.
func (l *noticeHarness) restartEngine(e *fleetEngine) {
	delete(l.leaving, e)
	delete(l.served, e)
	l.f.restartEngine(e)
}

// shedLoad has an engine turn everything away for a span and ask for rest.
func (l *noticeHarness) shedLoad(e *fleetEngine, span, rest time.Duration) {
	l.rests[e] = rest
	l.f.at(span, func() { delete(l.rests, e) })
}

// engine returns an engine of the fleet.
func (l *noticeHarness) engine(i int) *fleetEngine { return l.f.engines[fmt.Sprintf("e%d", i)] }

// A noticeStorm is what goes wrong beside engines that say something of themselves.
type noticeStorm struct {
	name    string
	members int
	do      func(l *noticeHarness)
}

var noticeStorms = []noticeStorm{
	{"calm", 5, func(*noticeHarness) {}},
	{"the store is down", 5, func(l *noticeHarness) { l.f.store.down = true }},
	{"the list says that they are ready", 5, func(l *noticeHarness) {
		l.f.periodically(200*time.Millisecond, 0, func() func() {
			for e := range l.leaving {
				if !e.dead {
					l.f.announce(e)
				}
			}
			return func() {}
		})
	}},
	{"entries go and come back", 5, func(l *noticeHarness) {
		l.f.periodically(1500*time.Millisecond, 700*time.Millisecond, func() func() {
			var gone []*fleetEngine
			for e := range l.leaving {
				if !e.dead {
					l.f.setKey("servers/"+e.name, nil)
					gone = append(gone, e)
				}
			}
			return func() {
				for _, e := range gone {
					l.f.announce(e)
				}
			}
		})
	}},
	{"instances are killed", 5, func(l *noticeHarness) {
		l.f.periodically(3*time.Second, time.Second, func() func() {
			n := l.f.randomMember()
			n.dead = true
			return func() { l.f.start(n.id.Name) }
		})
	}},
	{"orders are carried out late", 5, func(l *noticeHarness) { l.f.lateShare = 0.4 }},
	{"answers of the store are lost", 5, func(l *noticeHarness) { l.f.lostShare = 0.4 }},
	{"a large fleet", 2 * watchers.FullMeshLimit, func(*noticeHarness) {}},
}

// TestEngineNoticesAreObeyed: whatever fails beside it, nothing is sent to an
// engine later than two seconds after it told the instance that it leaves, and no more
// than two requests in a rest that it asked for; no call is refused that another engine
// could serve.
func TestEngineNoticesAreObeyed(t *testing.T) {
	for _, s := range noticeStorms {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *noticeSeeds {
				l := newNoticeHarness(newFleetOf(uint64(seed+1), s.members, 2*fleetEngines, option.Disabled{}, false))
				f := l.f
				f.expireLeases()
				f.run(5 * time.Second)
				f.startCallers(20 * time.Millisecond)
				f.run(2 * time.Second)
				s.do(l)
				for i, at := range []time.Duration{time.Second, 3 * time.Second, 5 * time.Second} {
					f.at(at, func() { l.startLeaving(l.engine(i)) })
				}
				for i, rest := range []time.Duration{4 * time.Second, 1500 * time.Millisecond, 700 * time.Millisecond} {
					f.at(time.Duration(i+1)*time.Second, func() { l.shedLoad(l.engine(i+4), 5*time.Second, rest) })
					f.at(12*time.Second, func() { l.shedLoad(l.engine(i+4), 2*time.Second, rest) })
				}
				f.run(20 * time.Second)
				if most := l.maxRequestsInRest(); l.late > 0 || most > maxInRest {
					t.Errorf("seed %d: %d requests after an engine had said that it leaves; %d in a rest", seed, l.late, most)
				}
				for _, lost := range l.lost[:min(3, len(l.lost))] {
					t.Errorf("seed %d: %d calls lost; %s", seed, len(l.lost), lost)
				}
				for _, b := range f.violations {
					t.Errorf("seed %d: %s", seed, b)
				}
				if len(l.told) == 0 || f.served == 0 {
					t.Errorf("seed %d: %d told, %d served", seed, len(l.told), f.served)
				}
			}
		})
	}
}

// TestAnEngineThatStartsAgainServes: what an engine said of itself holds for that life of
// it only. It serves again under its name as soon as it is listed, also where an answer of
// the life before comes late.
func TestAnEngineThatStartsAgainServes(t *testing.T) {
	is := is.New(t)
	for seed := range *noticeSeeds {
		l := newNoticeHarness(newFleetOf(uint64(seed+1), 5, fleetEngines, option.Disabled{}, false))
		f := l.f
		f.expireLeases()
		f.run(5 * time.Second)
		f.startCallers(20 * time.Millisecond)
		e := l.engine(1)
		l.leaving[e] = true
		f.run(3 * time.Second)
		is.True(len(l.told) > 0)
		sent := f.clock(f.members["i0"])
		e.dead = true
		f.run(time.Second)
		l.restartEngine(e)
		f.run(time.Second)
		for _, name := range f.names {
			n := f.members[name]
			f.step(n, n.boot, notice.Received{Replica: e.name, Sent: sent, Notice: pool.Notice{Leaving: true, Rest: time.Hour}})
		}
		f.run(4 * time.Second)
		is.True(l.served[e] > 10)
		is.Equal(f.violations, nil)
	}
}

// TestWhereAllEnginesLeaveOrRest: where nobody else is left, calls are refused at once
// with when to come back, or wait for a rest that ends soon; no engine gets more than it
// may.
func TestWhereAllEnginesLeaveOrRest(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(l *noticeHarness, e *fleetEngine)
	}{
		{"all leave", func(l *noticeHarness, e *fleetEngine) { l.leaving[e] = true }},
		{"all rest", func(l *noticeHarness, e *fleetEngine) { l.shedLoad(e, 4*time.Second, 2*time.Second) }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for seed := range *noticeSeeds {
				l := newNoticeHarness(newFleetOf(uint64(seed+1), 5, fleetEngines, option.Disabled{}, false))
				f := l.f
				f.expireLeases()
				f.run(5 * time.Second)
				f.startCallers(20 * time.Millisecond)
				f.run(2 * time.Second)
				for _, name := range sortedKeys(f.engines) {
					tt.do(l, f.engines[name])
				}
				f.run(8 * time.Second)
				is.Equal(l.late, 0)
				is.True(l.maxRequestsInRest() <= maxInRest)
				is.Equal(f.violations, nil)
			}
		})
	}
}

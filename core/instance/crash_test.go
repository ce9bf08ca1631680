package instance

// Guards against one request that crashes replica after replica: some thirty replicas crashed
// within half a minute, in waves, and the calls running beside it were severed.
//
// The caller sent the request again and again, each time with a new request ID and to another
// instance. Each retry stayed within its attempts and within the retry budget. What an instance
// knew of a request was kept per retry and discarded with it, so no instance knew of the retries
// at the others or of the crashes.
//
// Before requests were tracked across retries and instances, these tests failed with 14 to 419
// arrivals after the third crash.

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watchers"
)

const (
	// propagationTime is the time within which an instance must learn what others know.
	propagationTime = 3 * time.Second
	// crashLimit is the number of engines that a request may crash, and the number of times
	// it may still reach an engine later than propagationTime after the last of these crashes.
	crashLimit = 3
	// restartDelay is the time after which a crashed engine is replaced.
	restartDelay = 5 * time.Second
	// entryLifetime is the time for which the entry of a crashed engine stays in the store.
	entryLifetime = 3600 * time.Millisecond
	// codeQuarantined is the result code of a request that is not run because replicas
	// crash under it.
	codeQuarantined = 109
)

// crashSeeds is the number of seeds per storm. For a longer run, use -crash.seeds=50.
var crashSeeds = flag.Int("crash.seeds", 4, "number of seeds per storm with crashing engines")

// A crashHarness runs calls at the engines of a fleet. Some requests crash the engine that runs
// them; the harness checks how often these reach engines.
type crashHarness struct {
	f              *fleet
	calls          map[calls.ID]*crashCall
	runs           map[string][]*crashRun // by engine
	crashTimes     map[crash.Fingerprint][]time.Duration
	arrivals       map[crash.Fingerprint][]time.Duration
	startCounts    map[string]int // number of engines started at an address
	connectedSince time.Duration  // time since which no zone is cut off
	refused        map[crash.Fingerprint]int
	served         int
	// severedShare is the share of calls whose connection breaks although the engine is alive.
	severedShare float64
	// keepsNames makes engines that restart keep their names.
	keepsNames bool
	// restartDelay is the time after which a crashed engine is replaced.
	restartDelay time.Duration
	// parts, if not nil, gives sound requests shared parts of prompts, and observes which of them
	// begin, and which parts crash engines.
	parts *partHarness
	// keepsEntries keeps the entries of crashed engines until the engines write them again.
	keepsEntries bool
}

// A crashCall is one call that carries a request; a retry by the caller is another one.
type crashCall struct {
	request calls.Request
	poison  bool
	part    crash.PartID // that crashes its engines, 0 if the whole request does
	noRetry bool         // the caller does not retry it: it is already a retry, or poison sends it again
	ran     bool
}

type crashRun struct {
	call  *crashCall
	reply func(time.Duration, step.Event)
	d     calls.Dispatch
	began bool
	done  bool
}

func newCrashHarness(f *fleet) *crashHarness {
	h := &crashHarness{
		f: f, calls: map[calls.ID]*crashCall{}, runs: map[string][]*crashRun{},
		crashTimes: map[crash.Fingerprint][]time.Duration{}, arrivals: map[crash.Fingerprint][]time.Duration{},
		startCounts: map[string]int{}, refused: map[crash.Fingerprint]int{}, restartDelay: restartDelay,
	}
	f.crashes = h
	return h
}

// poison sends a request that crashes its engines to random members, again and again, once per
// interval on average.
func (h *crashHarness) poison(fingerprint crash.Fingerprint, model int, interval time.Duration) {
	h.f.at(time.Duration(h.f.rng.Int64N(int64(2*interval))), func() {
		h.poison(fingerprint, model, interval)
		n := h.f.randomMember()
		if n.dead || n.frozen {
			return
		}
		h.f.nextID()
		r := calls.Request{ID: calls.ID(h.f.eventSeq), Path: "/x", Replayable: true, PromptTokens: 1750, Forward: &calls.ForwardRequest{
			Name: fmt.Sprint(h.f.eventSeq), Fingerprint: fingerprint, Host: "h", Model: fmt.Sprintf("m%d", model),
		}}
		h.calls[r.ID] = &crashCall{request: r, poison: true, noRetry: true}
		h.f.step(n, n.boot, calls.Arrived{Call: r})
	})
}

// arrive delivers a call that crashes no engine.
func (h *crashHarness) arrive(n *fleetMember, r calls.Request) {
	if h.parts != nil {
		h.parts.prepare(r)
	}
	h.calls[r.ID] = &crashCall{request: r}
	h.f.step(n, n.boot, calls.Arrived{Call: r})
}

// serve runs a call at its engine.
func (h *crashHarness) serve(n *fleetMember, d calls.Dispatch, reply func(time.Duration, step.Event)) {
	e, c := h.f.engines[d.Replica], h.calls[d.ID]
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
	case !e.models[d.Model] || d.Adapter != "" && !e.adapters[d.Model+"/"+d.Adapter]:
		failed(fleetLatency, calls.AttemptFailed{Phase: attempt.Refused, Misdirected: true, Incarnation: d.Replica})
		return
	}
	c.ran = true
	if c.poison {
		h.arrivals[c.request.Forward.Fingerprint] = append(h.arrivals[c.request.Forward.Fingerprint], h.f.now)
	}
	if c.part != 0 {
		h.parts.reached[c.part] = append(h.parts.reached[c.part], h.f.now)
	}
	r := &crashRun{call: c, reply: reply, d: d}
	h.runs[e.name] = append(h.runs[e.name], r)
	switch {
	case c.poison:
		h.f.at(time.Duration(40+h.f.rng.IntN(130))*time.Millisecond, func() {
			if !r.done {
				h.terminate(e)
			}
		})
	case h.f.rng.Float64() < h.severedShare:
		h.f.at(100*time.Millisecond, func() {
			if !r.done {
				r.sever()
			}
		})
	default:
		h.run(r)
	}
}

// run completes a call normally.
func (h *crashHarness) run(r *crashRun) {
	h.f.at(h.f.firstTokenDelay, func() {
		if !r.done {
			r.began = true
			h.began(r)
			r.reply(0, calls.AnswerBegan{ID: r.d.ID})
		}
	})
	h.f.at(time.Duration(100+h.f.rng.IntN(1500))*time.Millisecond, func() {
		if !r.done {
			r.done = true
			h.served++
			r.reply(0, calls.Completed{ID: r.d.ID})
		}
	})
}

// began records that the answer to a call began.
func (h *crashHarness) began(r *crashRun) {
	if h.parts == nil {
		return
	}
	if s := h.parts.byCall[r.d.ID]; s != nil {
		s.began = true
	}
}

// sever breaks the connection of a call.
func (r *crashRun) sever() {
	r.done = true
	b := calls.AttemptFailed{ID: r.d.ID, Attempt: r.d.Attempt, Phase: attempt.MaybeSent, Severed: true}
	if r.began {
		b.Phase = attempt.Answered
		b.Delivered = 1
	}
	r.reply(fleetLatency, b)
}

// terminate ends an engine and starts a replacement at its address after restartDelay.
func (h *crashHarness) terminate(e *fleetEngine) {
	if e.dead {
		return
	}
	e.dead = true
	poisons := map[crash.Fingerprint]bool{}
	parts := map[crash.PartID]bool{}
	for _, r := range h.runs[e.name] {
		if r.done {
			continue
		}
		if r.call.part != 0 {
			parts[r.call.part] = true
		} else if r.call.poison {
			poisons[r.call.request.Forward.Fingerprint] = true
		}
		r.sever()
	}
	for p := range poisons {
		h.crashTimes[p] = append(h.crashTimes[p], h.f.now)
	}
	for part := range parts {
		h.parts.crashed[part] = append(h.parts.crashed[part], h.f.now)
	}
	delete(h.runs, e.name)
	if !h.keepsEntries {
		h.f.at(entryLifetime, func() { h.f.setKey("servers/"+e.name, nil) })
	}
	h.f.at(h.restartDelay, func() { h.restart(e) })
}

// restart starts another engine at the address of one that ended, with the same models, so that
// the fleet does not run out of models.
func (h *crashHarness) restart(old *fleetEngine) {
	if h.keepsNames {
		h.f.restartEngine(old)
		return
	}
	address := old.address
	if address == "" {
		address = old.name
	}
	h.startCounts[address]++
	e := &fleetEngine{
		name: fmt.Sprintf("%s.%d", address, h.startCounts[address]), address: address, zone: old.zone,
		models: old.models, adapters: map[string]bool{}, onDisk: old.onDisk,
	}
	h.f.engines[e.name] = e
	h.f.announce(e)
}

// drain announces that an engine leaves, and ends it 2.5 s later, while calls run there.
func (h *crashHarness) drain(e *fleetEngine) {
	a := *h.f.store.values["servers/"+e.name].data.(*pool.Announcement)
	a.Leaving = true
	h.f.setKey("servers/"+e.name, &fleetValue{data: &a})
	h.f.at(2500*time.Millisecond, func() { h.terminate(e) })
}

// handleFinish handles a final answer that an instance gives itself, and checks that what it
// reports is true. The caller retries once.
func (h *crashHarness) handleFinish(a calls.Finish) {
	c := h.calls[a.ID]
	if c == nil {
		return
	}
	fingerprint := c.request.Forward.Fingerprint
	if a.Refusal.Run == code.NotRun && c.ran {
		h.f.recordViolation("call %d was reported as not run, but it ran", a.ID)
	}
	if a.Refusal.Code == codeQuarantined {
		h.refused[fingerprint]++
		if !c.poison {
			if h.parts != nil {
				h.parts.soundEnd++
			}
			h.f.recordViolation("call %d was quarantined, but it crashed no engine", a.ID)
		}
	}
	if c.noRetry {
		return
	}
	n := h.f.randomMember()
	h.f.at(100*time.Millisecond, func() {
		if n.dead || n.frozen {
			return
		}
		h.f.nextID()
		r := c.request
		forward := *r.Forward
		r.Forward = &forward
		r.ID = calls.ID(h.f.eventSeq)
		h.calls[r.ID] = &crashCall{request: r, noRetry: true, poison: c.poison, part: c.part}
		h.f.step(n, n.boot, calls.Arrived{Call: r})
	})
}

// lateArrivals returns how often a request reached engines later than propagationTime after the
// third engine crashed under it.
func (h *crashHarness) lateArrivals(request crash.Fingerprint) int {
	at := h.crashTimes[request]
	if len(at) < crashLimit {
		return 0
	}
	bound := max(at[crashLimit-1], h.connectedSince) + propagationTime
	late := 0
	for _, a := range h.arrivals[request] {
		if a > bound {
			late++
		}
	}
	return late
}

// check reports the requests that reached engines too often, and the violations of the fleet.
func (h *crashHarness) check(t *testing.T) {
	t.Helper()
	for request, at := range h.crashTimes {
		if lateCount := h.lateArrivals(request); lateCount > crashLimit {
			t.Errorf("request %v reached engines %d times later than %v after the third crash; %d engines crashed in total", request, lateCount, propagationTime, len(at))
		}
	}
	for _, b := range h.f.violations {
		t.Error(b)
	}
}

// A crashStorm is a fault scenario for a fleet in which requests crash engines.
type crashStorm struct {
	name     string
	members  int
	engines  int
	poisons  int
	interval time.Duration // average interval between two retries of one request
	do       func(h *crashHarness)
}

// restartAll starts a new process of each member.
func (f *fleet) restartAll() {
	for _, name := range f.names {
		f.start(name)
	}
}

var crashStorms = []crashStorm{
	{"calm", 8, 16, 1, 250 * time.Millisecond, nil},
	{"a retry every few seconds", 8, 16, 1, 3 * time.Second, nil},
	{"many retries at once", 8, 16, 1, 30 * time.Millisecond, nil},
	{"three requests", 8, 24, 3, 400 * time.Millisecond, nil},
	{"a large fleet", 2 * watchers.FullMeshLimit, 64, 1, 200 * time.Millisecond, nil},
	{"a large fleet, many retries at once", 2 * watchers.FullMeshLimit, 64, 1, 20 * time.Millisecond, nil},
	{"the store down", 8, 64, 1, 250 * time.Millisecond, func(h *crashHarness) { h.f.store.down = true }},
	{"a large fleet, the store down", 2 * watchers.FullMeshLimit, 64, 1, 200 * time.Millisecond, func(h *crashHarness) { h.f.store.down = true }},
	{"a zone cut off for a while", 8, 32, 1, 250 * time.Millisecond, func(h *crashHarness) {
		h.f.cutZones = map[string]bool{"z1": true}
		h.connectedSince = h.f.now + 8*time.Second
		h.f.at(8*time.Second, func() { h.f.cutZones = nil })
	}},
	{"instances killed one after the other", 8, 16, 1, 250 * time.Millisecond, func(h *crashHarness) {
		next := 0
		h.f.periodically(2*time.Second, time.Second, func() func() {
			n := h.f.members[h.f.names[next%len(h.f.names)]]
			next++
			n.dead = true
			return func() { h.f.start(n.id.Name) }
		})
	}},
	{"all instances killed at once", 8, 16, 1, 250 * time.Millisecond, func(h *crashHarness) {
		h.f.at(10*time.Second, func() {
			for _, name := range h.f.names {
				h.f.members[name].dead = true
			}
			h.f.at(time.Second, h.f.restartAll)
		})
	}},
	{"instances freeze", 8, 16, 1, 250 * time.Millisecond, func(h *crashHarness) {
		h.f.periodically(4*time.Second, 2*time.Second, func() func() {
			n := h.f.randomMember()
			n.frozen = true
			return func() { h.f.thaw(n) }
		})
	}},
	{"responses of the store lost", 8, 16, 1, 250 * time.Millisecond, func(h *crashHarness) { h.f.lostShare = 0.4 }},
	{"engines restart under their names", 8, 16, 1, 250 * time.Millisecond, func(h *crashHarness) { h.keepsNames = true }},
	{"two engines restart under their names", 8, 2, 1, 250 * time.Millisecond, func(h *crashHarness) { h.keepsNames = true }},
	{"engines restart under their names, their entries stay", 8, 16, 1, 250 * time.Millisecond, func(h *crashHarness) {
		h.keepsNames = true
		h.keepsEntries = true
	}},
}

// TestARequestThatEndsItsEnginesIsStopped checks that a request under which engines crash again
// and again reaches only a few engines, whichever instances receive its retries and whatever else
// fails, and that the calls running beside it are never quarantined.
func TestARequestThatEndsItsEnginesIsStopped(t *testing.T) {
	for _, s := range crashStorms {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			late := map[int]int{} // number of requests by late arrivals
			for seed := range *crashSeeds {
				h := newCrashHarness(newFleetOf(uint64(seed+1), s.members, s.engines, option.Disabled{}, false))
				h.f.expireLeases()
				h.f.run(5 * time.Second)
				h.f.startCallers(20 * time.Millisecond)
				h.f.run(3 * time.Second)
				if s.do != nil {
					s.do(h)
				}
				for p := range s.poisons {
					h.poison(crash.Fingerprint(1000+p), p, s.interval)
				}
				h.f.run(40 * time.Second)
				h.check(t)
				for p := range s.poisons {
					request := crash.Fingerprint(1000 + p)
					late[h.lateArrivals(request)]++
					if h.refused[request] == 0 {
						t.Errorf("seed %d: the request was never refused", seed)
					}
				}
				if h.served == 0 {
					t.Errorf("seed %d: no call was served", seed)
				}
			}
			t.Logf("requests by arrivals later than %v after the third crash: %v", propagationTime, late)
		})
	}
}

// unrelatedFailures are faults that sever calls although no request causes them.
var unrelatedFailures = []struct {
	name string
	do   func(h *crashHarness)
}{
	{"engines crash on their own", func(h *crashHarness) {
		h.f.periodically(700*time.Millisecond, time.Hour, func() func() {
			if e := h.randomEngine(); e != nil {
				h.terminate(e)
			}
			return func() {}
		})
	}},
	{"many engines crash at once", func(h *crashHarness) {
		h.f.periodically(9*time.Second, time.Hour, func() func() {
			for range 10 {
				if e := h.randomEngine(); e != nil {
					h.terminate(e)
				}
			}
			return func() {}
		})
	}},
	{"engines leave", func(h *crashHarness) {
		h.f.periodically(700*time.Millisecond, time.Hour, func() func() {
			if e := h.randomEngine(); e != nil {
				h.drain(e)
			}
			return func() {}
		})
	}},
	{"connections break", func(h *crashHarness) { h.severedShare = 0.6 }},
	{"zones are cut off", func(h *crashHarness) {
		h.f.periodically(6*time.Second, 2*time.Second, func() func() {
			h.f.cutZones = map[string]bool{"z1": true}
			return func() { h.f.cutZones = nil }
		})
	}},
}

// TestUnrelatedFailuresRefuseNoCalls checks that calls are not quarantined because engines crash
// on their own, leave, or lose connections while alive.
func TestUnrelatedFailuresRefuseNoCalls(t *testing.T) {
	for _, c := range unrelatedFailures {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *crashSeeds {
				h := newCrashHarness(newFleetOf(uint64(seed+1), 8, 16, option.Disabled{}, false))
				h.f.expireLeases()
				h.f.run(5 * time.Second)
				h.f.startCallers(15 * time.Millisecond)
				h.f.run(3 * time.Second)
				c.do(h)
				h.f.run(30 * time.Second)
				h.check(t)
				if h.served == 0 {
					t.Errorf("seed %d: no call was served", seed)
				}
			}
		})
	}
}

// randomEngine returns a random engine that is alive, or nil if it finds none.
func (h *crashHarness) randomEngine() *fleetEngine {
	names := sortedKeys(h.f.engines)
	for range len(names) {
		if e := h.f.engines[names[h.f.rng.IntN(len(names))]]; !e.dead {
			return e
		}
	}
	return nil
}

// TestAnEngineThatEndedIsNotOrderedAgainAndAgain checks that requests that wait for an order are
// refused at once if the engine no longer accepts connections, so that their calls go elsewhere.
// Such an order used to be retried for a second, as fast as it failed.
func TestAnEngineThatEndedIsNotOrderedAgainAndAgain(t *testing.T) {
	is := is.New(t)
	h := newCrashHarness(newFleetOf(1, 5, 8, option.Disabled{}, false))
	h.f.expireLeases()
	h.f.run(8 * time.Second)
	e := h.f.engines["e0"]
	h.terminate(e)
	owner := h.ownerOf(e)
	var answers []owned.SendReply
	for n := range 3 {
		request := orders.Request{Load: true, Model: sortedKeys(e.models)[0], Adapter: fmt.Sprintf("a%d", n)}
		owner.token++
		owner.orderReplies[owner.token] = func(a owned.SendReply) { answers = append(answers, a) }
		h.f.step(owner, owner.boot, owned.RequestReceived{Token: owner.token, Engine: e.name, Request: request})
	}
	h.f.run(100 * time.Millisecond)
	t.Logf("%d orders sent to an engine that had ended", e.ordersAfterEnd)
	is.Equal(e.ordersAfterEnd, 1)
	is.Equal(len(answers), 3)
	for _, a := range answers {
		is.Equal(a.Outcome, owned.Refused)
	}
}

// ownerOf returns the member that owns an engine.
func (h *crashHarness) ownerOf(e *fleetEngine) *fleetMember {
	o := h.f.store.values["owners/"+e.name].data.(*registry.Ownership)
	return h.f.members[o.Owner]
}

// TestQuarantineReachesAllInstances checks that all instances quarantine a request within a second
// after the first one does, in a small and in a large fleet, with and without the store.
func TestQuarantineReachesAllInstances(t *testing.T) {
	const limit = time.Second
	cases := []struct {
		name    string
		members int
		engines int
		down    bool
	}{
		{"a small fleet", 8, 16, false},
		{"a small fleet, the store down", 8, 16, true},
		{"a large fleet", 2 * watchers.FullMeshLimit, 64, false},
		{"a large fleet, the store down", 2 * watchers.FullMeshLimit, 64, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *crashSeeds {
				h := newCrashHarness(newFleetOf(uint64(seed+1), c.members, c.engines, option.Disabled{}, false))
				h.f.expireLeases()
				h.f.run(8 * time.Second)
				h.f.store.down = c.down
				h.poison(1000, 0, 200*time.Millisecond)
				first := h.runUntilRefusedBy(1)
				last := h.runUntilRefusedBy(c.members)
				ended := h.crashTimes[1000]
				t.Logf("seed %d: first refused %v after the last of %d crashes, by all instances %v after that", seed, first-ended[len(ended)-1], len(ended), last-first)
				if last-first > limit {
					t.Errorf("seed %d: the last instance refused the request %v after the first", seed, last-first)
				}
			}
		})
	}
}

// runUntilRefusedBy runs the fleet until the given number of members refuse request 1000, and
// returns the time. It gives up after 30 s.
func (h *crashHarness) runUntilRefusedBy(members int) time.Duration {
	for range 3000 {
		n := 0
		for _, m := range h.f.members {
			if m.m.quarantine.Remaining(clocktest.At(time.Hour+h.f.now), []crash.Trait{1000}) > 0 {
				n++
			}
		}
		if n >= members {
			break
		}
		h.f.run(10 * time.Millisecond)
	}
	return h.f.now
}

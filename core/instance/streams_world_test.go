package instance

// A simulation of callers that read streams, of replicas of several software versions, and of
// callers that take broken streams up with another request.

import (
	"fmt"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/step"
)

const (
	// streamEvents is the number of events of a stream, one each eventInterval.
	streamEvents  = 10
	eventInterval = 80 * time.Millisecond
	// callerPatience is how long a caller waits for the next event before it leaves: four times the
	// target of its route.
	callerPatience = 4 * time.Second
	// maxTakeUps is how often a caller takes a stream up.
	maxTakeUps = 2
	// streamTouchTime is how long an instance must have been undisturbed for the share of streams
	// that go on there to count.
	streamTouchTime = 3 * time.Second
	// softwareRestartDelay is the time after which a replica that ended is replaced.
	softwareRestartDelay = 2 * time.Second
)

// A streamHarness carries out streams event by event, and checks for each that all its events are
// from replicas of one software version.
type streamHarness struct {
	f           *fleet
	calls       map[calls.ID]*streamCall
	streams     []*stream
	flights     []*streamFlight
	disturbedAt map[string]time.Duration // by member
	starts      int                      // engines started since the beginning
	// breakShare is the share of attempts that their engine breaks off, although it runs on.
	breakShare float64
	// unnamed makes callers take streams up without naming the call that began them.
	unnamed bool
	began   []*streamTry // new streams
	takenUp []*streamTry // streams that were taken up, while two replicas of their version served
	alone   int          // streams that were taken up while fewer than two did
	// lost counts the refusals of streams that had begun, by code and detail.
	lost map[string]int
	// duplicates makes callers take each stream up twice at the same moment.
	duplicates bool
	// falselySole are the moments at which a member took a version for the only one although a stream had begun at
	// another, by member.
	falselySole []string
	begunAt     map[string]bool // versions at which a stream has begun
	// takeUpAt gets the streams that are taken up, while it runs; nil: any member of the zone.
	takeUpAt *fleetMember
}

// A streamTry is a request of a caller at an undisturbed instance.
type streamTry struct {
	at     time.Duration
	served bool // it brought an event
}

// served returns the number of tries that brought an event.
func served(tries []*streamTry) int {
	n := 0
	for _, t := range tries {
		if t.served {
			n++
		}
	}
	return n
}

// comparedWindow is how long before and after a take-up new streams count for comparison.
const comparedWindow = 1500 * time.Millisecond

// goOnRatio returns how often streams that are taken up go on, divided by how often new streams
// begin about the same time.
func (h *streamHarness) goOnRatio() float64 {
	expected := 0.0
	for _, t := range h.takenUp {
		near := slices.DeleteFunc(slices.Clone(h.began), func(b *streamTry) bool {
			return b.at < t.at-comparedWindow || b.at > t.at+comparedWindow
		})
		expected += float64(served(near)) / float64(max(1, len(near)))
	}
	return float64(served(h.takenUp)) / max(1e-9, expected)
}

// A stream is what one caller wants, over all its calls.
type stream struct {
	request   calls.Request
	zone      string
	began     string         // the call that brought the first event
	lastEvent int            // that the caller has
	versions  map[string]int // events by version of the replica that made them
	takeUps   int
	done      bool
	history   []string // its events by call, instance and engine
}

// A streamCall is one call of a stream.
type streamCall struct {
	stream    *stream
	id        calls.ID
	member    *fleetMember
	boot      uint64
	try       *streamTry
	lastEvent int // of this call's answer
	progress  time.Duration
	closed    bool
}

// A streamFlight is one attempt of a call.
type streamFlight struct {
	call   *streamCall
	sender *fleetMember // the instance that sends it to the engine
	boot   uint64       // of the sender
	e      *fleetEngine
	start  int // restarts of the engine when the attempt arrived
	d      calls.Dispatch
	reply  func(time.Duration, step.Event)
	began  bool
	done   bool
}

// newStreamFleet returns the harness of a fleet in front of engines, of which version returns the
// software version.
func newStreamFleet(seed uint64, members, engines int, disable option.Disabled, version func(engine int) string) *streamHarness {
	b := bounds.Default()
	if members > 16 {
		b = largeBounds
	}
	f := newFleetWithBounds(seed, 0, engines, disable, false, b)
	f.opt.ExchangeEvery = 500 * time.Millisecond
	f.opt.ProbeWait = 20 * time.Millisecond
	f.opt.RetrySlack = float64(50 + 2*members)
	f.adapterShare = 0.1
	for i := range engines {
		e := f.engines[fmt.Sprintf("e%d", i)]
		e.software = version(i)
		f.announce(e)
	}
	f.addMembers(members)
	h := &streamHarness{f: f, calls: map[calls.ID]*streamCall{}, disturbedAt: map[string]time.Duration{}, lost: map[string]int{}, begunAt: map[string]bool{}}
	f.streams = h
	f.expireLeases()
	f.run(6 * time.Second)
	h.observe()
	return h
}

// observe records which members are disturbed, and makes callers without progress leave.
func (h *streamHarness) observe() {
	f := h.f
	for _, name := range f.names {
		n := f.members[name]
		if n.dead || n.frozen || n.noStore || n.noUpdates || f.cutZones[n.id.Zone] || f.now-n.startedAt < streamTouchTime || f.store.down {
			h.disturbedAt[name] = f.now
		}
	}
	for _, c := range h.openCalls() {
		switch {
		case c.member.dead || c.member.boot != c.boot:
			h.broken(c)
		case f.now-c.progress > callerPatience:
			h.f.step(c.member, c.boot, calls.CallerGone{ID: c.id})
			h.broken(c)
		}
	}
	f.at(10*time.Millisecond, h.observe)
}

// watchSole checks every millisecond, so also between an event and the next tick, that no member takes a version
// for the only one at which streams can have begun while one has begun at another.
func (h *streamHarness) watchSole() {
	for _, name := range h.f.names {
		n := h.f.members[name]
		if n.dead || n.frozen {
			continue
		}
		now := h.f.clock(n)
		software, ok := n.m.streams.Sole(now, "llm")
		for begun := range h.begunAt {
			if ok && begun != software {
				h.falselySole = append(h.falselySole, fmt.Sprintf("%v: %s takes %s for the only version", h.f.now, name, software))
			}
		}
	}
	h.f.at(time.Millisecond, h.watchSole)
}

// openCalls returns the calls whose callers wait, in the order of their IDs.
func (h *streamHarness) openCalls() []*streamCall {
	var out []*streamCall
	for _, c := range h.calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *streamCall) int { return int(a.id) - int(b.id) })
	return out
}

// startStreams makes a caller begin a stream every interval.
func (h *streamHarness) startStreams(interval time.Duration) {
	h.f.at(interval, func() {
		h.startStreams(interval)
		f := h.f
		model := (int(f.now/(7*time.Second)) + f.rng.IntN(4)*f.rng.IntN(2)) % fleetModels
		adapter := ""
		if f.rng.Float64() < f.adapterShare {
			adapter = fmt.Sprintf("a%d", f.rng.IntN(4))
		}
		s := &stream{zone: fmt.Sprintf("z%d", f.rng.IntN(2)), versions: map[string]int{}, request: calls.Request{
			Path: "/x", Replayable: true, PromptTokens: 1000,
			Forward: &calls.ForwardRequest{Host: "h", Model: fmt.Sprintf("m%d", model), Adapter: adapter},
		}}
		h.streams = append(h.streams, s)
		h.send(s, &h.began)
	})
}

// send sends a request of a stream to a member of its zone, or of another zone if there is none.
func (h *streamHarness) send(s *stream, tries *[]*streamTry) {
	n := h.pickMember(s.zone)
	if at := h.takeUpAt; at != nil && s.lastEvent > 0 && !at.dead {
		n = at
	}
	if n == nil {
		return
	}
	f := h.f
	f.nextID()
	r := s.request
	forward := *r.Forward
	r.Forward = &forward
	r.ID = calls.ID(f.eventSeq)
	forward.Name = fmt.Sprint("c", f.eventSeq)
	forward.Fingerprint = crash.Fingerprint(f.eventSeq) << 32
	forward.LastEvent = s.lastEvent
	if s.lastEvent > 0 && !h.unnamed {
		forward.Resumes = s.began
	}
	c := &streamCall{stream: s, id: r.ID, member: n, boot: n.boot, try: &streamTry{at: f.now}, lastEvent: s.lastEvent, progress: f.now}
	if tries != nil && f.now-h.disturbedAt[n.id.Name] >= streamTouchTime {
		*tries = append(*tries, c.try)
	}
	h.calls[r.ID] = c
	f.step(n, n.boot, calls.Arrived{Call: r})
}

// pickMember returns a running member, of the zone if there is one.
func (h *streamHarness) pickMember(zone string) *fleetMember {
	var local, others []*fleetMember
	for _, name := range h.f.names {
		n := h.f.members[name]
		switch {
		case n.dead:
		case n.id.Zone == zone:
			local = append(local, n)
		default:
			others = append(others, n)
		}
	}
	if len(local) == 0 {
		local = others
	}
	if len(local) == 0 {
		return nil
	}
	return local[h.f.rng.IntN(len(local))]
}

// broken handles the end of a call before its stream is complete: the caller takes the stream up.
func (h *streamHarness) broken(c *streamCall) {
	if c.closed {
		return
	}
	h.end(c)
	s := c.stream
	if s.done || s.takeUps == maxTakeUps {
		return
	}
	s.takeUps++
	times := 1
	if h.duplicates && s.lastEvent > 0 {
		times = 2
	}
	for range times {
		h.f.at(fleetLatency*3, func() {
			switch {
			case s.lastEvent == 0, !c.try.served: // only the first try after an event counts
				h.send(s, nil)
			case h.servingReplicas(s) >= 2:
				h.send(s, &h.takenUp)
			default:
				h.alone++
				h.send(s, nil)
			}
		})
	}
}

// servingReplicas returns the number of replicas that serve and run the version of the stream.
func (h *streamHarness) servingReplicas(s *stream) int {
	n := 0
	for _, e := range h.f.engines {
		if !e.dead && !e.gone && !e.leaving && s.versions[e.software] > 0 {
			n++
		}
	}
	return n
}

func (h *streamHarness) end(c *streamCall) {
	c.closed = true
	delete(h.calls, c.id)
	for _, fl := range h.flights {
		if fl.call == c {
			fl.done = true
		}
	}
	h.flights = slices.DeleteFunc(h.flights, func(fl *streamFlight) bool { return fl.done })
}

// handleFinish handles the end of a call by its instance.
func (h *streamHarness) handleFinish(a calls.Finish) {
	if c := h.calls[a.ID]; c != nil {
		if c.stream.lastEvent > 0 {
			h.lost[fmt.Sprintf("%d %s", a.Refusal.Code, a.Refusal.Detail)]++
		}
		h.broken(c)
	}
}

// interrupt handles the cancellation of a call's attempt by its instance.
func (h *streamHarness) interrupt(a calls.Interrupt) {
	for _, fl := range slices.Clone(h.flights) {
		if fl.d.ID == a.ID && !fl.done {
			fl.fail(calls.AttemptFailed{Phase: attempt.MaybeSent, Detail: "canceled"})
		}
	}
}

// serve carries out one attempt.
func (h *streamHarness) serve(n *fleetMember, boot uint64, d calls.Dispatch, reply func(time.Duration, step.Event)) {
	c := h.calls[d.ID]
	if c == nil {
		return
	}
	fl := &streamFlight{call: c, sender: n, boot: boot, e: h.f.engines[d.Replica], d: d, reply: reply}
	h.flights = append(h.flights, fl)
	h.f.at(fleetLatency, func() { h.arrive(fl) })
}

// arrive starts an attempt at its engine, or has the engine refuse it.
func (h *streamHarness) arrive(fl *streamFlight) {
	e, d := fl.e, fl.d
	switch {
	case fl.done:
	case h.f.link(fl.sender, e) != linkWorks:
		h.f.at(bounds.DialTimeout, func() { fl.fail(calls.AttemptFailed{Phase: attempt.NotSent, Detail: "dial timeout"}) })
	case e.dead:
		fl.fail(calls.AttemptFailed{Phase: attempt.NotSent, Unreachable: true})
	case e.gone, !e.models[d.Model] || d.Adapter != "" && !e.adapters[d.Model+"/"+d.Adapter]:
		fl.fail(calls.AttemptFailed{Phase: attempt.Refused, Misdirected: true, Incarnation: d.Replica})
	default:
		fl.start = e.restarts
		breakAt := 0
		if h.f.rng.Float64() < h.breakShare {
			breakAt = fl.call.lastEvent + 1 + h.f.rng.IntN(streamEvents)
		}
		h.event(fl, fl.call.lastEvent+1, breakAt)
	}
}

// event makes the engine send the event of the given number, and the ones after it.
func (h *streamHarness) event(fl *streamFlight, number, breakAt int) {
	h.f.at(eventInterval, func() {
		switch {
		case fl.done:
		case fl.e.dead || fl.e.gone || fl.e.restarts != fl.start:
			fl.fail(calls.AttemptFailed{Phase: attempt.MaybeSent, Severed: true, Detail: "EOF"})
		case fl.sender.dead || fl.sender.boot != fl.boot:
			fl.fail(calls.AttemptFailed{Phase: attempt.MaybeSent, Severed: true, Detail: "EOF"})
		case number == breakAt:
			fl.fail(calls.AttemptFailed{Phase: attempt.MaybeSent, Severed: true, Detail: "unexpected EOF"})
		case h.f.link(fl.sender, fl.e) != linkWorks, fl.sender.frozen, fl.call.member.frozen:
			h.event(fl, number, breakAt) // it is held up
		default:
			h.deliver(fl, number, breakAt)
		}
	})
}

// deliver passes an event on to the caller.
func (h *streamHarness) deliver(fl *streamFlight, number, breakAt int) {
	c, s := fl.call, fl.call.stream
	if !fl.began {
		fl.began = true
		fl.reply(0, calls.AnswerBegan{ID: c.id})
	}
	c.progress = h.f.now
	c.lastEvent = number
	c.try.served = true
	if s.lastEvent == 0 {
		s.began = c.name()
		h.begunAt[fl.e.software] = true
	}
	s.lastEvent = max(s.lastEvent, number)
	s.versions[fl.e.software]++
	s.history = append(s.history, fmt.Sprintf("%v: event %d of %s at %s from %s (%s)", h.f.now, number, c.name(), c.member.id.Name, fl.e.name, fl.e.software))
	if number < streamEvents {
		h.event(fl, number+1, breakAt)
		return
	}
	s.done = true
	fl.done = true
	fl.reply(0, calls.Completed{ID: c.id})
	h.f.served++
	h.end(c)
}

// name returns the name by which the caller's request names the call.
func (c *streamCall) name() string { return fmt.Sprint("c", uint64(c.id)) }

// fail ends an attempt.
func (fl *streamFlight) fail(failure calls.AttemptFailed) {
	if fl.done {
		return
	}
	fl.done = true
	failure.ID, failure.Attempt = fl.d.ID, fl.d.Attempt
	if fl.began {
		failure.Phase = attempt.Answered
		failure.Delivered = fl.call.lastEvent
	}
	fl.reply(fleetLatency, failure)
}

// mixed returns the number of streams that hold events of more than one version.
func (h *streamHarness) mixed() int {
	n := 0
	for _, s := range h.streams {
		if len(s.versions) > 1 {
			n++
		}
	}
	return n
}

// startEngine starts an engine with the models of another one, and announces it.
func (h *streamHarness) startEngine(software, zone string, like *fleetEngine) *fleetEngine {
	h.starts++
	e := &fleetEngine{
		name: fmt.Sprintf("n%d", h.starts), software: software, zone: zone,
		models: map[string]bool{}, adapters: map[string]bool{}, onDisk: map[string]bool{},
	}
	for m := range like.models {
		e.models[m] = true
		e.onDisk[m] = true
	}
	h.f.engines[e.name] = e
	h.f.announce(e)
	return e
}

// drain makes an engine leave. It ends 2.5 s later, while streams may run there.
func (h *streamHarness) drain(e *fleetEngine) {
	if e.leaving || e.dead {
		return
	}
	e.leaving = true
	h.f.announce(e)
	h.f.at(2500*time.Millisecond, func() {
		e.dead = true
		h.f.setKey("servers/"+e.name, nil)
	})
}

// crash ends an engine without notice. Another one with its version and models starts later.
func (h *streamHarness) crash(e *fleetEngine) {
	if e.dead {
		return
	}
	e.dead = true
	leaving := e.leaving
	h.f.at(entryLifetime, func() { h.f.setKey("servers/"+e.name, nil) })
	h.f.at(softwareRestartDelay, func() {
		if !leaving {
			h.startEngine(e.software, e.zone, e)
		}
	})
}

// running returns the engines that serve, in order of name.
func (h *streamHarness) running() []*fleetEngine {
	var out []*fleetEngine
	for _, name := range sortedKeys(h.f.engines) {
		if e := h.f.engines[name]; !e.dead && !e.leaving && !e.gone {
			out = append(out, e)
		}
	}
	return out
}

// release replaces the engines of a version, one after the other each interval, while keep returns
// whether the number of the one to replace is kept.
func (h *streamHarness) release(from, to string, interval time.Duration, keep int) {
	var old []*fleetEngine
	for _, e := range h.running() {
		if e.software == from {
			old = append(old, e)
		}
	}
	for i, e := range old[:max(0, len(old)-keep)] {
		h.f.at(time.Duration(i)*interval, func() {
			h.startEngine(to, e.zone, e)
			h.f.at(time.Second, func() { h.drain(e) })
		})
	}
}

// replaceAll starts engines of another version in place of all that run. The entries of these go
// without a word half a second later; they serve on for silentTime.
func (h *streamHarness) replaceAll(software string) {
	for _, e := range h.running() {
		h.startEngine(software, e.zone, e)
		h.f.at(500*time.Millisecond, func() { h.f.setKey("servers/"+e.name, nil) })
		h.f.at(500*time.Millisecond+silentTime, func() { e.dead = true })
		e.leaving = true
	}
}

// silentTime is the time for which an engine serves on after its entry went.
const silentTime = 4 * time.Second

// kill kills a member, and starts it again after span.
func (h *streamHarness) kill(n *fleetMember, span time.Duration) {
	if n.dead {
		return
	}
	n.dead = true
	h.f.at(span, func() { h.f.start(n.id.Name) })
}

package instance

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/exchange"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/own/book"
	"github.com/birchdrift/birchdrift/core/own/kvwatch"
	"github.com/birchdrift/birchdrift/core/own/modelcalls"
	"github.com/birchdrift/birchdrift/core/own/planner"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
)

// A world simulates several machines on one simulated clock. Messages are lost, delayed and
// duplicated at random; the seed determines the sequence. The world does not depend on how machines
// decide: it performs their actions on small fakes and checks the guarantees. It tests the logic and
// does not model a production fleet.
type world struct {
	t          *testing.T
	rng        *rand.Rand
	now        time.Duration
	queue      eventQueue
	eventSeq   uint64 // of the event scheduled last
	opt        option.Options
	doc        config.Document
	platform   fakePlatform
	engines    map[string]*fakeEngine
	nodes      map[string]*node
	names      []string // of the nodes
	faults     worldFaults
	calls      map[string]*worldCall // by instance, incarnation and call ID
	violations []string              // descriptions of violated guarantees
	installed  map[string]uint64     // revision of the configuration that each node installed last
	// beforeOrder, if not nil, is called when an order reaches its engine, before
	// the engine executes it.
	beforeOrder func(n *node, e *fakeEngine, o book.Order)
}

// worldFaults holds the faults that are currently injected.
type worldFaults struct {
	lossRate     float64         // share of requests and responses that are lost
	maxLatency   time.Duration   // upper bound of the latency of a message
	maxLateDelay time.Duration   // a lost request may still arrive within this time; 0: never
	platformDown bool            // the platform does not respond
	cutZones     map[string]bool // zones without a connection to other zones or the platform
	breakRate    float64         // share of calls whose connection breaks, at a random phase
}

// A node is one machine with its own clock.
type node struct {
	m           *Machine
	id          member.Identity
	dead        bool
	paused      bool
	monoLag     time.Duration // how far its monotonic clock is behind
	deferred    []func()      // events and messages held back while the node is paused
	incarnation int
}

// A worldCall is one caller's call and its outcome.
type worldCall struct {
	id             string
	node           string
	notRepeatable  bool
	idempotencyKey string
	executed       int // number of times it ran
	answered       bool
	refusal        *code.Refusal // nil unless the node refused the call
	dispatched     int           // number of attempts
}

// A scheduledEvent is an event of the simulation. Events at the same time run in the order of
// eventSeq.
type scheduledEvent struct {
	at       time.Duration
	eventSeq uint64
	do       func()
}

// An eventQueue is a heap of events, the earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].eventSeq < q[j].eventSeq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// A fakePlatform stores the values, the leases and the list of the platform.
type fakePlatform struct {
	revision uint64
	values   map[string]fakeValue
	leases   map[string]*fakeLease
	list     []gossip.Listed
	version  uint64 // of the newest entry in list
	calls    int    // calls that nodes made, including lost ones
}

type fakeValue struct {
	data     any
	revision uint64
}

type fakeLease struct {
	holder  string
	fence   uint64
	expires time.Duration
}

// A fakeEngine holds an engine's memory and the last order that it accepted.
type fakeEngine struct {
	name        string
	capacity    int64
	checksFence bool
	boot        uint64 // incremented by each restart
	change      uint64 // incremented by each change of the items
	stateSeq    uint64 // sequence number of the last state report
	fence       uint64 // fencing token of the last order, if checksFence
	lastOrder   uint64 // sequence number of the last order, if checksFence
	leaving     bool
	leftAt      time.Duration // when it started to leave
	items       map[string]*fakeItem
	overcommits int // orders for more memory than was free
	loads       int
	unloads     int
}

type fakeItem struct {
	phase pool.ItemPhase
	mib   int64
}

const worldStart = time.Hour // nonzero, because the zero instant means unset

func newWorld(t *testing.T, seed uint64, doc config.Document, perZone int, opt option.Options) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: worldStart, opt: opt, doc: doc,
		platform: fakePlatform{values: map[string]fakeValue{}, leases: map[string]*fakeLease{}},
		engines:  map[string]*fakeEngine{}, nodes: map[string]*node{},
		calls: map[string]*worldCall{}, installed: map[string]uint64{},
		faults: worldFaults{maxLatency: 5 * time.Millisecond, cutZones: map[string]bool{}},
	}
	for _, e := range doc.Engines {
		w.engines[e.Name] = &fakeEngine{name: e.Name, capacity: e.MemoryMiB, checksFence: e.ChecksFence, boot: 1, items: map[string]*fakeItem{}}
	}
	for _, z := range doc.Zones {
		for i := range perZone {
			name := fmt.Sprintf("%s-entry-%d", z.Name, i+1)
			w.names = append(w.names, name)
			w.platform.version++
			w.platform.list = append(w.platform.list, gossip.Listed{
				Name: name, Kind: gossip.Entry, Zone: z.Name, Address: name, Version: era.Revision(w.platform.version),
			})
			w.start(name, z.Name, seed)
		}
	}
	w.applyConfig(doc)
	return w
}

// start starts a new incarnation of a node.
func (w *world) start(name, zone string, seed uint64) {
	incarnation := 1
	if old := w.nodes[name]; old != nil {
		incarnation = old.incarnation + 1
	}
	id := member.Identity{Name: name, Zone: zone, Address: name, Boot: uint64(incarnation), Seeds: w.names[:1]}
	n := &node{id: id, m: New(id, w.opt, seed+uint64(len(name))+uint64(incarnation)<<32), incarnation: incarnation}
	w.nodes[name] = n
	delete(w.installed, name)
	w.after(0, func() { w.tick(n) })
}

// applyConfig stores doc in the platform as the next revision of the configuration.
func (w *world) applyConfig(doc config.Document) {
	v := w.platform.values["config"]
	doc.Revision = v.revision + 1
	w.platform.values["config"] = fakeValue{data: doc, revision: doc.Revision}
}

// after schedules f to run after d.
func (w *world) after(d time.Duration, f func()) {
	w.eventSeq++
	heap.Push(&w.queue, scheduledEvent{at: w.now + d, eventSeq: w.eventSeq, do: f})
}

// run processes the events of the next d and advances the clock by d.
func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(scheduledEvent)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// clock returns the node's wall and monotonic clocks at the simulated time now.
func (n *node) clock(now time.Duration) clock.Instant {
	at := clocktest.At(now)
	at.Mono -= n.monoLag
	return at
}

// tick delivers a Tick to a node's machine and schedules the next one.
func (w *world) tick(n *node) {
	if n.dead {
		return
	}
	w.step(n, Tick{})
	w.after(n.m.NextWake(), func() { w.tick(n) })
}

// step delivers an event to a node, or defers it until the node resumes.
func (w *world) step(n *node, ev step.Event) {
	if n.dead {
		return
	}
	if n.paused {
		n.deferred = append(n.deferred, func() { w.step(n, ev) })
		return
	}
	actions := append([]step.Action(nil), n.m.Step(n.clock(w.now), ev)...)
	for _, a := range actions {
		w.performAction(n, a)
	}
}

// pause freezes a node for d. With suspend, its monotonic clock stops too. Events and unsent
// messages are deferred until the node resumes.
func (w *world) pause(name string, d time.Duration, suspend bool) {
	n := w.nodes[name]
	n.paused = true
	w.after(d, func() {
		n.paused = false
		if suspend {
			n.monoLag += d
		}
		deferred := n.deferred
		n.deferred = nil
		for _, f := range deferred {
			f()
		}
	})
}

// latency returns a random latency of a message.
func (w *world) latency() time.Duration {
	return time.Duration(w.rng.Int64N(int64(w.faults.maxLatency))) + 1
}

// lost reports, at random, whether a message is lost.
func (w *world) lost() bool { return w.rng.Float64() < w.faults.lossRate }

// send carries a request to its destination and the response back; either may be lost. effect runs
// at the destination and returns the function that handles the response at the node. fail runs at
// the node when the request or the response is lost; notSent is true if the request was certainly
// not sent.
func (w *world) send(n *node, reachable func() bool, effect func() func(), fail func(notSent bool)) {
	if n.paused {
		n.deferred = append(n.deferred, func() { w.send(n, reachable, effect, fail) })
		return
	}
	const timeout = 500 * time.Millisecond
	if !reachable() {
		w.after(timeout, func() { fail(w.rng.IntN(2) == 0) })
		return
	}
	if w.lost() {
		w.after(timeout, func() { fail(false) })
		if w.faults.maxLateDelay > 0 {
			w.after(time.Duration(w.rng.Int64N(int64(w.faults.maxLateDelay))), func() { effect() })
		}
		return
	}
	w.after(w.latency(), func() {
		reply := effect()
		if w.lost() || !reachable() {
			w.after(timeout, func() { fail(false) })
			return
		}
		w.after(w.latency(), reply)
	})
}

// reportViolation records that a guarantee was violated.
func (w *world) reportViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now-worldStart)+fmt.Sprintf(format, args...))
}

var errLost = errors.New("lost")

// platformReachable returns a function that reports whether n can reach the platform.
func (w *world) platformReachable(n *node) func() bool {
	return func() bool { return !w.faults.platformDown && !w.faults.cutZones[n.id.Zone] }
}

// engineReachable returns a function that reports whether n can reach an engine in zone.
func (w *world) engineReachable(n *node, zone string) func() bool {
	return func() bool { return zone == n.id.Zone || !w.faults.cutZones[n.id.Zone] && !w.faults.cutZones[zone] }
}

// performAction executes an action of a node against the fakes.
func (w *world) performAction(n *node, a step.Action) {
	switch act := a.(type) {
	case ConfigInstalled:
		w.checkInstalled(n, act)
	case kvwatch.WatchConfig:
		w.watchConfig(n, act)
	case kvwatch.WatchList:
		w.watchList(n, act)
	case planner.RequestLease:
		w.requestLease(n, act)
	case planner.ReleaseLease:
		w.send(n, w.platformReachable(n), func() func() {
			if l := w.platform.leases[n.id.Zone]; l != nil && l.fence == act.Fence {
				l.holder = ""
			}
			return func() {}
		}, func(bool) {})
	case planner.ReadIntents, planner.WriteIntents:
		w.handleIntents(n, act)
	case planner.ReadState:
		w.readState(n, act)
	case planner.SendOrder:
		w.sendOrder(n, act)
	case exchange.SendRequest:
		w.exchange(n, act)
	case modelcalls.Claim, modelcalls.ReadClaim, modelcalls.ReleaseClaim:
		w.handleClaim(n, act)
	case calls.Dispatch:
		w.dispatch(n, act)
	case calls.Finish:
		w.finish(n, act)
	}
}

// checkInstalled records the configuration revision that a node installed, and reports a violation
// if it is older than the previous one.
func (w *world) checkInstalled(n *node, a ConfigInstalled) {
	old := w.installed[n.id.Name]
	if a.Snapshot.Revision() < old {
		w.reportViolation("%s went from revision %d to %d", n.id.Name, old, a.Snapshot.Revision())
	}
	w.installed[n.id.Name] = a.Snapshot.Revision()
}

// watchConfig answers a watch for a newer revision of the configuration.
func (w *world) watchConfig(n *node, a kvwatch.WatchConfig) {
	w.platform.calls++
	w.send(n, w.platformReachable(n), func() func() {
		v := w.platform.values["config"]
		if v.revision <= a.Have {
			return func() { w.after(time.Second, func() { w.step(n, ConfigReply{Source: PlatformSource}) }) }
		}
		doc := v.data.(config.Document)
		return func() { w.step(n, w.configReply(doc, PlatformSource)) }
	}, func(bool) { w.step(n, ConfigReply{Source: PlatformSource, Err: errLost}) })
}

// configReply returns the reply that delivers doc from source.
func (w *world) configReply(doc config.Document, source string) ConfigReply {
	s, err := config.NewSnapshot(doc)
	if err != nil {
		w.t.Fatal(err)
	}
	encoded, err := doc.Encode()
	if err != nil {
		w.t.Fatal(err)
	}
	return ConfigReply{Snapshot: s, Encoded: encoded, Source: source}
}

// watchList answers a watch for changes of the platform's list of replicas.
func (w *world) watchList(n *node, a kvwatch.WatchList) {
	w.platform.calls++
	w.send(n, w.platformReachable(n), func() func() {
		var entries []gossip.Listed
		version := a.Since
		for _, l := range w.platform.list {
			if l.Version.Raw() > a.Since {
				entries = append(entries, l)
				version = max(version, l.Version.Raw())
			}
		}
		wait := time.Duration(0)
		if len(entries) == 0 {
			wait = time.Second
		}
		return func() {
			w.after(wait, func() { w.step(n, listing.Reply{Entries: entries, Version: era.Revision(version)}) })
		}
	}, func(bool) { w.step(n, listing.Reply{Err: errLost}) })
}

// requestLease grants or renews the lease of a node's zone at the platform.
func (w *world) requestLease(n *node, a planner.RequestLease) {
	sent := n.clock(w.now)
	holder := fmt.Sprintf("%s/%d", n.id.Name, n.id.Boot)
	w.platform.calls++
	w.send(n, w.platformReachable(n), func() func() {
		l := w.platform.leases[n.id.Zone]
		if l == nil {
			l = &fakeLease{}
			w.platform.leases[n.id.Zone] = l
		}
		free := l.holder == "" || w.now > l.expires
		reply := planner.LeaseReply{Sent: sent, Fence: l.fence}
		switch {
		case !free && l.holder == holder && (a.Renew == 0 || a.Renew == l.fence):
			l.expires = w.now + a.Term
			reply.Granted = true
		case free && a.Renew == 0:
			w.platform.revision++
			l.holder, l.fence, l.expires = holder, w.platform.revision, w.now+a.Term
			reply.Granted, reply.Fence = true, l.fence
		}
		return func() { w.step(n, reply) }
	}, func(bool) { w.step(n, planner.LeaseReply{Sent: sent, Err: errLost}) })
}

// handleIntents executes the read or the conditional write of the intents of a node's zone at the
// platform.
func (w *world) handleIntents(n *node, a step.Action) {
	key := "intents/" + n.id.Zone
	write, isWrite := a.(planner.WriteIntents)
	w.platform.calls++
	w.send(n, w.platformReachable(n), func() func() {
		v := w.platform.values[key]
		if !isWrite {
			in, _ := v.data.(planner.Intents)
			return func() { w.step(n, planner.IntentsReply{Read: true, Intents: in, Revision: v.revision}) }
		}
		if v.revision != write.Revision {
			return func() { w.step(n, planner.IntentsReply{Intents: write.Intents, Conflict: true}) }
		}
		w.platform.revision++
		v = fakeValue{data: write.Intents, revision: w.platform.revision}
		w.platform.values[key] = v
		return func() { w.step(n, planner.IntentsReply{Intents: write.Intents, Revision: v.revision}) }
	}, func(bool) { w.step(n, planner.IntentsReply{Read: !isWrite, Intents: write.Intents, Err: errLost}) })
}

// exchange delivers an exchange request to its peer and the reply to the node. It fails if the peer
// is dead, paused or cut off, or if a message is lost.
func (w *world) exchange(n *node, a exchange.SendRequest) {
	peer := w.nodes[a.Address]
	up := func() bool {
		return peer != nil && !peer.dead && !peer.paused && (peer.id.Zone == n.id.Zone || !w.faults.cutZones[n.id.Zone] && !w.faults.cutZones[peer.id.Zone])
	}
	failed := func(bool) { w.step(n, exchange.Reply{Peer: a.Peer, Address: a.Address, Err: errLost}) }
	w.send(n, up, func() func() {
		if peer.dead || peer.paused {
			return func() { failed(false) }
		}
		actions := append([]step.Action(nil), peer.m.Step(peer.clock(w.now), exchange.RequestReceived{Token: 1, Message: a.Message})...)
		var answer gossip.Message
		for _, x := range actions {
			if ans, ok := x.(exchange.SendReply); ok {
				answer = ans.Message
				continue
			}
			w.performAction(peer, x)
		}
		w.deliverConfig(peer, a.Message)
		return func() {
			w.deliverConfig(n, answer)
			w.step(n, exchange.Reply{Peer: a.Peer, Address: a.Address, Message: answer})
		}
	}, failed)
}

// deliverConfig delivers the configuration in an exchange message, if any, to a node.
func (w *world) deliverConfig(n *node, msg gossip.Message) {
	if len(msg.Config) == 0 {
		return
	}
	doc, err := config.Decode(msg.Config)
	if err != nil {
		w.t.Fatal(err)
	}
	w.step(n, w.configReply(doc, msg.From))
}

package instance

import (
	"cmp"
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/exchange"
	"github.com/birchdrift/birchdrift/core/forwarding"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/orderclient"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/ownership"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/quarantine"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/relay"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/streams"
	"github.com/birchdrift/birchdrift/core/watch"
	"github.com/birchdrift/birchdrift/core/watchers"
)

// A fleet simulates several machines on one simulated clock, with a store and with engines that
// announce themselves, and injects faults at random by seed. After every order it checks the
// guarantees on orders. It does not depend on how machines decide.
type fleet struct {
	rng             *rand.Rand
	now             time.Duration
	queue           eventQueue
	eventSeq        uint64
	opt             option.Options
	doc             config.Document
	store           fleetStore
	storeCopies     []storeCopy     // copies of the store, newest last
	storeWriteTimes []time.Duration // times of the writes to the store
	storeCallTimes  []time.Duration // times of the calls to the store; a full read counts once per page
	engines         map[string]*fleetEngine
	members         map[string]*fleetMember
	names           []string
	violations      []string
	loadTimes       []time.Duration // start times of the loads from the weight store
	served          int
	refused         int
	relayed         int // attempts that were sent through another instance
	relayTimeouts   int // those of them to an instance that did not answer
	orders          int
	maxClaims       int // largest number of ownerships in one write
	watches         int
	engineCount     int
	lateShare       float64 // share of orders that get no reply and are executed seconds later
	// firstTokenDelay is the time until an engine sends the first event of a call.
	firstTokenDelay time.Duration
	lostShare       float64 // share of writes to the store whose responses are lost
	// crashes, if not nil, runs the calls at engines that may crash. Otherwise calls are served
	// immediately.
	crashes *crashHarness
	// notices, if not nil, provides the notices that engines add to their responses.
	notices *noticeHarness
	// limits, if not nil, provides the rate limits that engines announce, and records the requests
	// that they receive.
	limits *limitHarness
	// adapterShare is the share of calls that request an adapter.
	adapterShare float64
	// promptTokens is the length of prompts, in tokens.
	promptTokens int
	// clockStopsInSleep makes the monotonic clocks of members stop while they are suspended.
	clockStopsInSleep bool
	// cutZones holds the zones that can reach neither other zones nor the store.
	cutZones map[string]bool
	// crowded is the member at which most calls of startCallers arrive; "": none.
	crowded   string
	logCounts map[logevent.Number]int
	// leaves, if not nil, makes engines leave and records the calls that reach them afterwards.
	leaves *leaveHarness
	// streams, if not nil, carries out the attempts of streams event by event.
	streams *streamHarness
	// partitions, if not nil, carries out the attempts of calls over the links of their instance.
	partitions *partitionHarness
}

// A fleetMember is one machine and the faults injected into it.
type fleetMember struct {
	m               *Machine
	id              member.Identity
	boot            uint64
	monotonicLag    time.Duration // how far its monotonic clock is behind
	wallOffset      time.Duration // how far its wall clock was set forward
	dead            bool
	frozen          bool
	legacy          bool                 // it runs an earlier version of the program
	thawedAt        time.Duration        // when the last freeze ended
	startedAt       time.Duration        // when its process started
	deferred        []func()             // deliveries of events that arrived during the freeze
	noStore         bool                 // it cannot reach the store
	noUpdates       bool                 // its watches receive nothing and its exchanges fail
	noPeers         bool                 // it and its peers cannot reach each other
	links           map[string]linkFault // its broken links, by engine
	watchPosition   era.Revision         // revision from which its watch continues; 0: a full read
	pendingWatches  []*fleetWatch
	knownEra        era.Era // the era of the last store response that it received
	orderReplies    map[uint64]func(owned.SendReply)
	exchangeReplies map[uint64]func(gossip.Message)
	permitReplies   map[uint64]func(permits.Decision)
	streamReplies   map[uint64]func(streams.Answer)
	relayReplies    map[uint64]func(relay.Decided)
	token           uint64
}

// A fleetStore simulates the platform's store.
type fleetStore struct {
	down               bool
	refusesConnections bool          // it is down and refuses connections, rather than not responding
	muteUntil          time.Duration // watches report no change before this time
	era                era.Era       // 0: the store reports no era
	revision           uint64
	values             map[string]*fleetValue
	log                []fleetChange
	leases             map[uint64]*fleetLease
	nextLease          uint64
}

type fleetValue struct {
	data     any // *registry.Ownership, *registry.Instance, *registry.Placer or *pool.Announcement
	revision uint64
	lease    uint64
}

type fleetChange struct {
	key      string
	value    *fleetValue // nil: deleted
	revision uint64
}

type fleetLease struct {
	expires time.Duration
	term    time.Duration
}

// A fleetEngine simulates one engine that announces itself.
type fleetEngine struct {
	name           string
	service        string // of a plain replica; "": it runs models
	slots          int    // 0: eight
	software       string // its version
	address        string // "": same as name
	zone           string
	sequence       uint64 // number of orders that this incarnation accepted
	models         map[string]bool
	adapters       map[string]bool // MODEL/ADAPTER
	loadedAdapters map[string]bool // adapters loaded since the last start
	busy           bool            // it is loading or unloading a model
	pending        string          // the model that is being loaded
	onDisk         map[string]bool
	orderedBy      string        // member that sent the last order
	orderedAt      time.Duration // time of the last order
	fence          era.Revision  // fence of the last order
	loadedAt       map[string]time.Duration
	restarts       int  // number of restarts under this name; identifies the incarnation
	gone           bool // it has left and serves no calls
	silent         bool // it answers nothing for a moment
	dead           bool // its process ended without notice
	ordersAfterEnd int  // orders that reached its address since its process ended
	leaving        bool // it announces that it leaves
	leavesSilently bool // it leaves without announcing it: its entry is deleted
}

const (
	fleetModelMB  = 70
	fleetLoadRate = 0.6 // loads from the weight store per second
	fleetEngines  = 8
	fleetModels   = 12
)

func fleetDocument() config.Document {
	engine := &config.EnginePool{Sequences: 8, CacheTokens: 1000, MemoryMB: 3*fleetModelMB + 5, MaxAdapters: 2, LoadsPerSecond: fleetLoadRate}
	for i := range fleetModels {
		engine.Models = append(engine.Models, config.PooledModel{
			Name: fmt.Sprintf("m%d", i), MemoryMB: fleetModelMB, AdapterCount: 4, AdapterMB: 1,
			LoadTime: 4 * time.Second, DiskLoadTime: 800 * time.Millisecond, HostLoadTime: 400 * time.Millisecond,
		})
	}
	return config.Document{
		Revision: 1,
		Services: []config.Service{{Name: "llm", Announced: &config.Announced{Engine: engine}}},
		Forwards: []config.Forward{{
			Name: "f", Host: "h", Prefix: "/", Kind: config.Stream, Resumable: true,
			Timeout: 5 * time.Second, Target: time.Second, MaxAttempts: 2, Split: []config.Share{{Service: "llm", Weight: 1}},
		}},
	}
}

func newFleet(seed uint64, members int) *fleet {
	return newFleetWith(seed, members, option.Disabled{}, false)
}

// newFleetWith returns a fleet with the mechanisms in disable disabled. If empty is set, its
// engines hold no models at the start.
func newFleetWith(seed uint64, members int, disable option.Disabled, empty bool) *fleet {
	return newFleetOf(seed, members, fleetEngines, disable, empty)
}

// newFleetOf returns a fleet with the given number of engines.
func newFleetOf(seed uint64, members, engines int, disable option.Disabled, empty bool) *fleet {
	return newFleetWithBounds(seed, members, engines, disable, empty, bounds.Default())
}

// newFleetWithBounds returns a fleet whose instances must keep the bounds b.
func newFleetWithBounds(seed uint64, members, engines int, disable option.Disabled, empty bool, b bounds.Bounds) *fleet {
	f := &fleet{
		engineCount:     engines,
		rng:             rand.New(rand.NewPCG(seed, 77)),
		opt:             option.Default(),
		firstTokenDelay: 30 * time.Millisecond,
		adapterShare:    0.4,
		promptTokens:    4000,
		doc:             fleetDocument(),
		store:           fleetStore{values: map[string]*fleetValue{}, leases: map[uint64]*fleetLease{}, nextLease: firstLease},
		engines:         map[string]*fleetEngine{},
		members:         map[string]*fleetMember{},
		logCounts:       map[logevent.Number]int{},
	}
	f.opt.Bounds = b
	f.opt.Disable = disable
	f.opt.Environment = option.Platform
	f.opt.MeshEvery = 250 * time.Millisecond
	f.opt.WatchWait = 0
	f.opt.Watchers = 3
	for i := range f.engineCount {
		e := &fleetEngine{
			name: fmt.Sprintf("e%d", i), zone: fmt.Sprintf("z%d", i%2),
			models: map[string]bool{}, adapters: map[string]bool{}, onDisk: map[string]bool{},
		}
		for k := range 3 {
			if empty {
				break
			}
			e.models[fmt.Sprintf("m%d", (i*3+k)%fleetModels)] = true
			e.onDisk[fmt.Sprintf("m%d", (i*3+k)%fleetModels)] = true
			e.onDisk[fmt.Sprintf("m%d", (i*5+k)%fleetModels)] = true
		}
		f.engines[e.name] = e
		f.announce(e)
	}
	f.addMembers(members)
	return f
}

// addMembers creates and starts the given number of members, the first of the fleet.
func (f *fleet) addMembers(members int) {
	f.opt.FirstStart = true
	defer func() { f.opt.FirstStart = false }()
	for i := range members {
		name := fmt.Sprintf("i%d", i)
		f.names = append(f.names, name)
		f.members[name] = &fleetMember{id: member.Identity{Name: name, Zone: fmt.Sprintf("z%d", i%2), Address: name}}
		f.start(name)
	}
}

// at schedules do to run after d.
func (f *fleet) at(d time.Duration, do func()) {
	f.eventSeq++
	heap.Push(&f.queue, scheduledEvent{at: f.now + d, eventSeq: f.eventSeq, do: do})
}

// run processes the events of the next span and advances the clock by span.
func (f *fleet) run(span time.Duration) {
	end := f.now + span
	for f.queue.Len() > 0 && f.queue[0].at <= end {
		next := heap.Pop(&f.queue).(scheduledEvent)
		f.now = next.at
		next.do()
	}
	f.now = end
}

// recordViolation records a violated guarantee together with the simulated time.
func (f *fleet) recordViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("%v: ", f.now)+fmt.Sprintf(format, args...))
}

// start starts a new process of a member.
func (f *fleet) start(name string) {
	n := f.members[name]
	n.boot++
	n.startedAt = f.now
	n.dead = false
	n.frozen = false
	n.deferred = nil
	n.pendingWatches = nil
	n.watchPosition = 0
	n.knownEra = 0
	n.id.Boot = n.boot
	n.orderReplies = map[uint64]func(owned.SendReply){}
	n.exchangeReplies = map[uint64]func(gossip.Message){}
	n.permitReplies = map[uint64]func(permits.Decision){}
	n.streamReplies = map[uint64]func(streams.Answer){}
	n.relayReplies = map[uint64]func(relay.Decided){}
	opt := f.opt
	if n.legacy {
		opt.Disable.VersionHold = true
		opt.Disable.StreamRecords = true
		opt.Disable.StreamLookup = true
	}
	n.m = New(n.id, opt, f.rng.Uint64())
	f.tick(n, n.boot)
}

// spoken returns a message as the member sends it: an earlier version of the program does not
// report versions of replicas.
func (n *fleetMember) spoken(msg gossip.Message) gossip.Message {
	if n.legacy {
		msg.Versions = gossip.Versions{}
	}
	return msg
}

func (f *fleet) tick(n *fleetMember, boot uint64) {
	if n.dead || n.boot != boot {
		return
	}
	f.step(n, boot, Tick{})
	f.at(max(n.m.NextWake(), 4*time.Millisecond), func() { f.tick(n, boot) })
}

// step delivers an event to a machine, or defers it while the machine is frozen.
func (f *fleet) step(n *fleetMember, boot uint64, ev step.Event) {
	switch {
	case n.dead || n.boot != boot:
		return
	case n.frozen:
		n.deferred = append(n.deferred, func() { f.step(n, boot, ev) })
		return
	}
	for _, a := range slices.Clone(n.m.Step(f.clock(n), ev)) {
		f.perform(n, boot, a)
	}
}

// clock returns the current reading of a member's clocks.
func (f *fleet) clock(n *fleetMember) clock.Instant {
	at := clocktest.At(time.Hour + f.now)
	return clock.Instant{Mono: at.Mono - n.monotonicLag, Wall: at.Wall.Add(n.wallOffset)}
}

// sleep suspends a member's machine for span. Meanwhile its wall clock is set back by setBack.
func (f *fleet) sleep(n *fleetMember, span, setBack time.Duration) {
	n.frozen = true
	f.at(span, func() {
		n.wallOffset -= setBack
		if f.clockStopsInSleep {
			n.monotonicLag += span
		}
		f.thaw(n)
	})
}

func (f *fleet) thaw(n *fleetMember) {
	n.frozen = false
	n.thawedAt = f.now
	deferred := n.deferred
	n.deferred = nil
	for _, do := range deferred {
		do()
	}
}

// firstLease is the first lease ID of the store. It is large, because lease IDs may be any number.
const firstLease = 1 << 62

const fleetLatency = 2 * time.Millisecond

// perform executes an action of a member. reply delivers an event to the member after a delay.
func (f *fleet) perform(n *fleetMember, boot uint64, a step.Action) {
	reply := func(d time.Duration, ev step.Event) { f.at(d, func() { f.step(n, boot, ev) }) }
	switch act := a.(type) {
	case step.Log:
		f.logCounts[act.Event]++
	case watch.SendRequest:
		f.at(fleetLatency, func() { f.watch(n, boot, act) })
	case ownership.Enrol:
		act.Instance.HoldsVersions = act.Instance.HoldsVersions && !n.legacy
		f.storeCall(n, nil, func() (step.Event, bool) { return f.enrol(n, act), true }, func(err error) step.Event { return ownership.EnrolReply{Err: err} }, reply)
	case ownership.RenewLease:
		sent := f.clock(n)
		f.storeCall(n, ofEra(act.Lease.Era), func() (step.Event, bool) {
			l := f.store.leases[act.Lease.ID]
			if l == nil {
				return ownership.RenewReply{Sent: sent, Lease: act.Lease, Over: true, Err: errors.New("over")}, false
			}
			l.expires = f.now + l.term
			return ownership.RenewReply{Sent: sent, Lease: act.Lease}, false
		}, func(err error) step.Event { return ownership.RenewReply{Lease: act.Lease, Err: err} }, reply)
	case ownership.Resign:
		f.storeCall(n, ofEra(act.Lease.Era), func() (step.Event, bool) {
			for _, o := range act.Give {
				if f.hasEraRecord(o.Era, act.Depends) {
					f.writeOwnership(o)
				}
			}
			if p := act.Placer; p != nil && f.hasEraRecord(p.Era, act.Depends) {
				f.writePlacer(*p, 0)
			}
			f.endLease(act.Lease.ID)
			return Tick{}, false
		}, func(error) step.Event { return Tick{} }, reply)
	case ownership.Write:
		sent := f.clock(n)
		if act.Write.Fleet != nil {
			f.createFleetRecord(n, act, reply)
			return
		}
		f.storeCall(n, ofEra(act.Write.Era()), func() (step.Event, bool) { return f.commitWrite(act, sent), true }, func(err error) step.Event { return ownership.WriteReply{Write: act.Write, Err: err} }, reply)
	case quarantine.Check:
		if f.partitions != nil {
			f.partitions.checkReplica(n, act, reply)
			return
		}
		e := f.engines[act.Replica.Name]
		reply(2*fleetLatency, quarantine.Checked{Replica: act.Replica, Ended: e.dead && !f.partitioned(n.id.Zone, e.zone)})
	case quarantine.StoreVerdict:
		f.storeCall(n, nil, func() (step.Event, bool) {
			q := act.Quarantine
			if f.store.values[q.Value().Key] == nil {
				f.setKey(q.Value().Key, &fleetValue{data: &q})
			}
			return quarantine.VerdictStored{ID: q.ID}, true
		}, func(err error) step.Event { return quarantine.VerdictStored{ID: act.Quarantine.ID, Err: err} }, reply)
	case quarantine.RemoveVerdict:
		f.storeCall(n, nil, func() (step.Event, bool) {
			f.setKey(act.Quarantine.Value().Key, nil)
			return Tick{}, true
		}, func(error) step.Event { return Tick{} }, reply)
	case owned.SendOrder:
		if l := n.links[act.Engine]; l != linkWorks {
			reply(l.connectDelay(), owned.OrderReply{Engine: act.Engine, Fence: act.Fence, Answer: orders.AnswerNotSent, TimedOut: !l.refuses()})
			return
		}
		if f.notices != nil && f.notices.rejectOrder(n, boot, act, reply) {
			return
		}
		if f.limits != nil {
			f.limits.requestReached(n, boot, f.engines[act.Engine], fleetLatency, f.clock(n))
		}
		f.sendOrder(n, act, reply)
	case owned.QueryState:
		sent := f.clock(n)
		if l := n.links[act.Engine]; l != linkWorks {
			reply(l.connectDelay(), owned.StateReply{Engine: act.Engine, Sent: sent, Err: errors.New("no connection")})
			return
		}
		f.at(fleetLatency, func() {
			e := f.engines[act.Engine]
			if f.notices != nil && f.notices.rejectStateQuery(n, boot, e, sent, reply) {
				return
			}
			if e.dead {
				reply(fleetLatency, owned.StateReply{Engine: act.Engine, Sent: sent, Err: errors.New("connection refused")})
				return
			}
			if f.limits != nil {
				f.limits.requestReached(n, boot, e, 0, sent)
			}
			reply(fleetLatency, owned.StateReply{Engine: act.Engine, Sent: sent, State: e.state()})
		})
	case forwarding.ProbeEngine:
		f.probe(n, boot, act, reply)
	case orderclient.SendRequest:
		f.requestOrder(n, act, reply)
	case permits.SendRequest:
		f.requestPermit(n, act, reply)
	case streams.SendRequest:
		f.requestStreams(n, act, reply)
	case streams.SendReply:
		if do := n.streamReplies[act.Token]; do != nil {
			delete(n.streamReplies, act.Token)
			do(act.Answer)
		}
	case permits.SendReply:
		if do := n.permitReplies[act.Token]; do != nil {
			delete(n.permitReplies, act.Token)
			do(act.Verdict)
		}
	case owned.SendReply:
		if do := n.orderReplies[act.Token]; do != nil {
			delete(n.orderReplies, act.Token)
			do(act)
		}
	case exchange.SendRequest:
		f.exchange(n, act, reply)
	case exchange.SendReply:
		if do := n.exchangeReplies[act.Token]; do != nil {
			delete(n.exchangeReplies, act.Token)
			do(n.spoken(act.Message))
		}
	case links.Probe:
		f.probeLink(n, act, reply)
	case relay.Decided:
		if do := n.relayReplies[act.Token]; do != nil {
			delete(n.relayReplies, act.Token)
			do(act)
		}
	case calls.Dispatch:
		if f.leaves != nil {
			f.leaves.handleDispatch(n, act)
		}
		if act.Relay != nil {
			f.relay(n, act, reply)
			return
		}
		f.serveFrom(n, boot, act, reply)
	case calls.Interrupt:
		if f.partitions != nil {
			f.partitions.interrupt(act)
		}
		if f.streams != nil {
			f.streams.interrupt(act)
		}
	case calls.Finish:
		f.refused++
		if f.streams != nil {
			f.streams.handleFinish(act)
		}
		if f.partitions != nil {
			f.partitions.handleFinish(act)
		}
		if f.notices != nil {
			f.notices.handleFinish(act)
		}
		if f.limits != nil {
			f.limits.handleFinish(act)
		}
		if f.crashes != nil {
			f.crashes.handleFinish(act)
		}
	case calls.PassOnErrorResponse:
	}
}

// serveFrom carries out an attempt that the instance n sends, for itself or for another one. The
// outcome is passed to reply.
func (f *fleet) serveFrom(n *fleetMember, boot uint64, d calls.Dispatch, reply func(time.Duration, step.Event)) {
	switch {
	case f.streams != nil:
		f.streams.serve(n, boot, d, reply)
	case f.partitions != nil:
		f.partitions.serve(n, boot, d, reply)
	case f.crashes != nil:
		f.crashes.serve(n, d, reply)
	case f.notices != nil:
		f.notices.serve(n, boot, d, reply)
	case f.limits != nil:
		f.limits.serve(n, boot, d, reply)
	default:
		f.serve(d, reply)
	}
}

// relay lets a peer carry out an attempt of n.
func (f *fleet) relay(n *fleetMember, d calls.Dispatch, reply func(time.Duration, step.Event)) {
	f.relayed++
	p := f.members[d.Relay.Name]
	if p == nil || p.dead || p.frozen || f.separated(n, p) {
		f.relayTimeouts++
		reply(bounds.DialTimeout, calls.AttemptFailed{ID: d.ID, Attempt: d.Attempt, Relay: links.PeerUnreachable, Detail: "no connection to the peer"})
		return
	}
	boot := p.boot
	f.at(fleetLatency, func() {
		p.token++
		token := p.token
		p.relayReplies[token] = func(decided relay.Decided) {
			if decided.Failure != links.RelaySucceeded {
				reply(fleetLatency, calls.AttemptFailed{ID: d.ID, Attempt: d.Attempt, Relay: decided.Failure, Detail: decided.Failure.String()})
				return
			}
			f.serveFrom(p, boot, d, func(delay time.Duration, ev step.Event) {
				f.at(delay, func() { f.endRelay(p, boot, token, ev) })
				reply(delay+fleetLatency, ev)
			})
		}
		f.step(p, boot, relay.Requested{Token: token, From: n.id.Name, Replica: d.Replica})
	})
}

// endRelay reports the outcome of a relayed attempt to the instance that relayed it.
func (f *fleet) endRelay(p *fleetMember, boot, token uint64, ev step.Event) {
	switch e := ev.(type) {
	case calls.AnswerBegan:
		f.step(p, boot, relay.Accepted{Token: token})
	case calls.Completed:
		f.step(p, boot, relay.Ended{Token: token, Outcome: relay.Answered})
	case calls.AttemptFailed:
		outcome := relay.Unknown
		switch {
		case e.Unreachable:
			outcome = relay.Refused
		case e.Phase == attempt.NotSent:
			outcome = relay.TimedOut
		case e.Severed:
			outcome = relay.Severed
		}
		f.step(p, boot, relay.Ended{Token: token, Outcome: outcome})
	}
}

// probeLink connects to an engine's address.
func (f *fleet) probeLink(n *fleetMember, a links.Probe, reply func(time.Duration, step.Event)) {
	e := f.engines[a.Replica.Name]
	link := f.link(n, e)
	switch {
	case link != linkWorks:
		reply(link.connectDelay(), links.Probed{Replica: a.Replica, TimedOut: !link.refuses()})
	case e.dead || e.gone:
		reply(2*fleetLatency, links.Probed{Replica: a.Replica})
	default:
		reply(2*fleetLatency, links.Probed{Replica: a.Replica, Connected: true})
	}
}

// probe simulates the probe of an engine's load. The engine reports no load.
func (f *fleet) probe(n *fleetMember, boot uint64, a forwarding.ProbeEngine, reply func(time.Duration, step.Event)) {
	e := f.engines[a.Engine]
	sent := f.clock(n)
	if e.dead || f.link(n, e) != linkWorks {
		reply(a.Wait, forwarding.ProbeReply{Call: a.Call, Engine: a.Engine, Sent: sent, Err: errors.New("no answer")})
		return
	}
	if f.limits != nil {
		f.limits.requestReached(n, boot, e, fleetLatency, sent)
	}
	reply(2*fleetLatency, forwarding.ProbeReply{Call: a.Call, Engine: a.Engine, Sent: sent})
}

// serve runs a call at its engine, or has the engine refuse it.
func (f *fleet) serve(d calls.Dispatch, reply func(time.Duration, step.Event)) {
	e := f.engines[d.Replica]
	if e == nil || e.gone || !e.models[d.Model] || d.Adapter != "" && !e.adapters[d.Model+"/"+d.Adapter] {
		reply(2*fleetLatency, calls.AttemptFailed{ID: d.ID, Attempt: d.Attempt, Phase: 4, Misdirected: true, Incarnation: d.Replica})
		return
	}
	f.served++
	reply(f.firstTokenDelay, calls.AnswerBegan{ID: d.ID})
	reply(400*time.Millisecond, calls.Completed{ID: d.ID})
}

// ofEra returns a pointer to e, the era of the revisions and leases in a call, for storeCall.
func ofEra(e era.Era) *era.Era { return &e }

// storeCall makes one call to the store. A call may get no response and still be executed, up to
// six seconds later. callEra is the era of the revisions and leases in the call, or nil if it
// contains none. A call made in another era than the member knows is not sent; if its response
// comes from another era, the call fails.
func (f *fleet) storeCall(n *fleetMember, callEra *era.Era, do func() (ev step.Event, write bool), failed func(error) step.Event, reply func(time.Duration, step.Event)) {
	errLost := errors.New("no answer")
	outdated := func() bool { return callEra != nil && *callEra != n.knownEra }
	if outdated() {
		reply(fleetLatency, ownership.EraObserved{Era: n.knownEra})
		reply(fleetLatency, failed(errors.New("revision of a former era")))
		return
	}
	if n.noStore || f.cutZones[n.id.Zone] {
		reply(time.Second, failed(errLost))
		return
	}
	f.at(fleetLatency, func() {
		f.storeCallTimes = append(f.storeCallTimes, f.now)
		if f.store.down {
			reply(fleetLatency, failed(errors.New("refused")))
			return
		}
		if f.rng.Float64() < f.lostShare {
			f.at(time.Duration(f.rng.IntN(6000))*time.Millisecond, func() { do() })
			reply(time.Second, failed(errLost))
			return
		}
		ev, write := do()
		if write {
			f.storeWriteTimes = append(f.storeWriteTimes, f.now)
		}
		n.knownEra = f.store.era
		if outdated() {
			reply(fleetLatency, ownership.EraObserved{Era: n.knownEra})
			reply(fleetLatency, failed(errors.New("response from a later era")))
			return
		}
		reply(fleetLatency, ev)
	})
}

// revisionOf returns raw as a revision of the store's current era.
func (f *fleet) revisionOf(raw uint64) era.Revision { return f.store.era.Revision(raw) }

// setKey writes a key of the store, or deletes it if v is nil, and returns the new revision.
func (f *fleet) setKey(key string, v *fleetValue) uint64 {
	f.store.revision++
	if v != nil {
		v.revision = f.store.revision
		f.store.values[key] = v
	} else {
		delete(f.store.values, key)
	}
	f.store.log = append(f.store.log, fleetChange{key: key, value: v, revision: f.store.revision})
	return f.store.revision
}

// announce writes an engine's entry to the store.
func (f *fleet) announce(e *fleetEngine) {
	a := &pool.Announcement{
		Service: cmp.Or(e.service, "llm"), Address: cmp.Or(e.address, e.name), Zone: e.zone, Slots: cmp.Or(e.slots, 8), Engine: e.service == "",
		Born: fmt.Sprint(e.restarts), Software: e.software, Leaving: e.leaving,
	}
	for _, m := range sortedKeys(e.models) {
		a.Models = append(a.Models, pool.AnnouncedModel{Name: m})
	}
	a.OnDisk = sortedKeys(e.onDisk)
	f.setKey("servers/"+e.name, &fleetValue{data: a})
}

// restartEngine restarts an engine that ended, under the same name. It has no record of the orders
// it executed, and its adapters are lost. Its models are kept, as if its operators had restored
// them, so that the fleet does not run out of models.
func (f *fleet) restartEngine(e *fleetEngine) {
	e.dead = false
	e.busy = false
	e.restarts++
	e.sequence = 0
	e.fence = 0
	e.adapters = map[string]bool{}
	e.loadedAdapters = nil
	f.announce(e)
}

// enrol registers a member under a new lease.
func (f *fleet) enrol(n *fleetMember, a ownership.Enrol) step.Event {
	f.store.nextLease++
	lease := f.store.nextLease
	f.store.leases[lease] = &fleetLease{expires: f.now + a.Term, term: a.Term}
	i := a.Instance
	f.setKey("instances/"+i.Name, &fleetValue{data: &i, lease: lease})
	return ownership.EnrolReply{Sent: f.clock(n), Lease: era.Lease{Era: f.store.era, ID: lease}}
}

// leaseOf returns the lease of the member's record, or 0 if it has none.
func (f *fleet) leaseOf(n *fleetMember) uint64 {
	if v := f.store.values["instances/"+n.id.Name]; v != nil {
		return v.lease
	}
	return 0
}

func sortedKeys[V any](of map[string]V) []string { return slices.Sorted(maps.Keys(of)) }

// endLease ends a lease and deletes the keys attached to it. Lease 0 means no lease; keys without
// one are kept.
func (f *fleet) endLease(lease uint64) {
	if lease == 0 {
		return
	}
	delete(f.store.leases, lease)
	for _, key := range sortedKeys(f.store.values) {
		if f.store.values[key].lease == lease {
			f.setKey(key, nil)
		}
	}
}

// expireLeases ends expired leases every 100 ms, while the store is up.
func (f *fleet) expireLeases() {
	var expired []uint64
	for id, l := range f.store.leases {
		if !f.store.down && f.now >= l.expires {
			expired = append(expired, id)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i] < expired[j] })
	for _, id := range expired {
		f.endLease(id)
	}
	f.at(100*time.Millisecond, f.expireLeases)
}

// writeOwnership writes the owner record of an engine if its revision is still o.Revision, and
// reports whether it did.
func (f *fleet) writeOwnership(o registry.Ownership) bool {
	key := "owners/" + o.Engine
	have := uint64(0)
	if v := f.store.values[key]; v != nil {
		have = v.revision
	}
	if have != o.Revision.Raw() {
		return false
	}
	f.setKey(key, &fleetValue{data: &o})
	return true
}

// writePlacer writes the placer's record if its revision is still p.Revision. It returns the new
// revision, or 0 if the condition did not hold.
func (f *fleet) writePlacer(p registry.Placer, lease uint64) era.Revision {
	have := uint64(0)
	if v := f.store.values["placer"]; v != nil {
		have = v.revision
	}
	if have != p.Revision.Raw() {
		return 0
	}
	return f.revisionOf(f.setKey("placer", &fleetValue{data: &p, lease: lease}))
}

// hasEraRecord reports whether the record of era e exists with the given revision. If the revision
// is 0, no record is required and the result is true.
func (f *fleet) hasEraRecord(e era.Era, revision era.Revision) bool {
	if revision == 0 {
		return true
	}
	v := f.store.values[registry.EraRecord{Era: e}.Key()]
	return v != nil && v.revision == revision.Raw()
}

// writeEraRecord writes the record of an era and deletes the records of former eras. It returns the
// new revision, or 0 if the record already exists.
func (f *fleet) writeEraRecord(w ownership.Txn) era.Revision {
	if f.store.values[w.Mark.Key()] != nil {
		return 0
	}
	for _, e := range w.Former {
		f.setKey(registry.EraRecord{Era: e}.Key(), nil)
	}
	return f.revisionOf(f.setKey(w.Mark.Key(), &fleetValue{data: w.Mark}))
}

// commitWrite executes one conditional write: of an era record, of the record of the placer, or of
// claims of engines. If a condition does not hold, it reports a conflict and writes nothing.
func (f *fleet) commitWrite(a ownership.Write, sent clock.Instant) step.Event {
	r := ownership.WriteReply{Write: a.Write}
	if a.Write.Mark != nil {
		r.Revision = f.writeEraRecord(a.Write)
		r.Conflict = r.Revision == 0
		return r
	}
	if !f.hasEraRecord(a.Write.Era(), a.Write.Depends) {
		r.Conflict = true
		return r
	}
	if p := a.Write.Placer; p != nil {
		if f.store.leases[a.Lease.ID] != nil {
			r.Revision = f.writePlacer(*p, a.Lease.ID)
		}
		r.Conflict = r.Revision == 0
		return r
	}
	ownerships := slices.Concat(a.Write.Claim, a.Write.Release)
	f.maxClaims = max(f.maxClaims, len(ownerships))
	for _, o := range ownerships {
		v := f.store.values["owners/"+o.Engine]
		if (v == nil) != (o.Revision == 0) || v != nil && v.revision != o.Revision.Raw() {
			r.Conflict = true
			return r
		}
	}
	// All keys of one write get the same revision.
	f.store.revision++
	for _, o := range ownerships {
		own := o
		v := &fleetValue{data: &own, revision: f.store.revision}
		f.store.values["owners/"+o.Engine] = v
		f.store.log = append(f.store.log, fleetChange{key: "owners/" + o.Engine, value: v, revision: f.store.revision})
	}
	r.Revision = f.revisionOf(f.store.revision)
	return r
}

// createFleetRecord writes the fleet's record if there is none. It draws no random numbers, so that the
// storms of a seed do not depend on it.
func (f *fleet) createFleetRecord(n *fleetMember, a ownership.Write, reply func(time.Duration, step.Event)) {
	r := ownership.WriteReply{Write: a.Write}
	if f.store.down || n.noStore || f.cutZones[n.id.Zone] {
		r.Err = errors.New("no answer")
		reply(time.Second, r)
		return
	}
	record := *a.Write.Fleet
	if key := record.Value().Key; f.store.values[key] == nil {
		f.setKey(key, &fleetValue{data: &record})
		r.Revision = f.revisionOf(f.store.revision)
	}
	r.Conflict = r.Revision == 0
	reply(fleetLatency, r)
}

// A fleetWatch is a watch that is pending at the store.
type fleetWatch struct {
	id        uint64
	boot      uint64
	whole     bool          // it requests a full read
	waitUntil time.Duration // when the store responds even without a change
	deadline  time.Duration // when the member times out
	hung      bool          // its connection delivers nothing more
	reset     bool          // its connection is reset
}

// fleetPage is the number of items in a page of a full read.
const fleetPage = 500

// watchLimit is how long after the end of its wait a watch times out at the member.
const watchLimit = 600 * time.Millisecond

// readLimit is the time after which a full read times out.
const readLimit = 3 * time.Second

// watch starts a watch, which the store answers when something changes or the wait ends.
func (f *fleet) watch(n *fleetMember, boot uint64, a watch.SendRequest) {
	w := &fleetWatch{id: a.ID, boot: boot, whole: a.Wait == 0, waitUntil: f.now + a.Wait, deadline: f.now + a.Wait + watchLimit}
	if w.whole {
		w.deadline = f.now + readLimit
	}
	n.pendingWatches = append(n.pendingWatches, w)
	pages := 1
	if w.whole {
		pages += len(f.store.values) / fleetPage
	}
	for range pages {
		f.storeCallTimes = append(f.storeCallTimes, f.now)
	}
	f.poll(n, w)
}

// poll answers or fails a watch if it is due, and otherwise checks it again 20 ms later.
func (f *fleet) poll(n *fleetMember, w *fleetWatch) {
	failWatch := func(at time.Duration, why string) {
		n.pendingWatches = slices.DeleteFunc(n.pendingWatches, func(x *fleetWatch) bool { return x == w })
		f.at(max(fleetLatency, at-f.now), func() { f.step(n, w.boot, watch.Reply{ID: w.id, Err: errors.New(why)}) })
	}
	switch {
	case n.dead || n.boot != w.boot:
		return
	case w.hung:
		failWatch(w.deadline, "no answer")
		return
	case w.reset, f.store.refusesConnections && !n.noStore && !n.noUpdates && !f.cutZones[n.id.Zone]:
		failWatch(f.now, "refused")
		return
	case n.noStore || n.noUpdates || f.store.down || f.cutZones[n.id.Zone]:
		failWatch(w.deadline, "no answer")
		return
	}
	f.watches++
	whole := w.whole || n.watchPosition == 0 || n.watchPosition.Era() != f.store.era
	at, changes := f.revisionOf(f.store.revision), f.changesFor(n, whole)
	if f.now < f.store.muteUntil && !whole {
		at, changes = n.watchPosition, nil
	}
	if len(changes) == 0 && f.now < w.waitUntil {
		f.at(20*time.Millisecond, func() { f.poll(n, w) })
		return
	}
	n.pendingWatches = slices.DeleteFunc(n.pendingWatches, func(x *fleetWatch) bool { return x == w })
	n.knownEra = f.store.era
	n.watchPosition = max(n.watchPosition, at)
	f.at(fleetLatency, func() { f.deliver(n, w, changes, at, whole) })
}

// changesFor returns the changes that a member's watch has not received yet, or all values for a
// full read.
func (f *fleet) changesFor(n *fleetMember, whole bool) (changes []fleetChange) {
	if whole {
		for _, key := range sortedKeys(f.store.values) {
			changes = append(changes, fleetChange{key: key, value: f.store.values[key], revision: f.store.values[key].revision})
		}
		return changes
	}
	for _, c := range f.store.log {
		if c.revision > n.watchPosition.Raw() {
			changes = append(changes, c)
		}
	}
	return changes
}

// deliver delivers the response to a watch: the changes and, for a full read, the configuration.
func (f *fleet) deliver(n *fleetMember, w *fleetWatch, changes []fleetChange, at era.Revision, whole bool) {
	if whole {
		snapshot, err := config.NewSnapshot(f.doc)
		if err != nil {
			panic(err)
		}
		f.step(n, w.boot, ConfigReply{Snapshot: snapshot, Source: PlatformSource})
	}
	list := listing.Reply{Whole: whole, Version: at}
	reg := ownership.WatchUpdate{Whole: whole, Version: at}
	for _, c := range changes {
		addFleetChange(&list, &reg, c, at.Era())
	}
	f.step(n, w.boot, list)
	f.step(n, w.boot, reg)
	f.step(n, w.boot, watch.Reply{ID: w.id, Whole: whole})
}

// addFleetChange adds a change that the store made in era e to the list update or to the registry
// update.
func addFleetChange(list *listing.Reply, reg *ownership.WatchUpdate, c fleetChange, e era.Era) {
	kind, name, _ := splitKey(c.key)
	gone := c.value == nil
	if kind == "servers" {
		l := gossip.Listed{Name: name, Kind: gossip.Upstream, Version: e.Revision(c.revision), Gone: gone}
		if !gone {
			l.Announced = c.value.data.(*pool.Announcement)
		}
		list.Entries = append(list.Entries, l)
		return
	}
	rec := registry.Record{Key: c.key, Revision: e.Revision(c.revision), Gone: gone}
	if !gone {
		rec.Data = c.value.data.(interface{ Value() registry.Value }).Value().Data
	}
	reg.Records = append(reg.Records, rec)
}

// splitKey splits a key at its first slash.
func splitKey(key string) (kind, name string, ok bool) {
	for i := range key {
		if key[i] == '/' {
			return key[:i], key[i+1:], true
		}
	}
	return key, "", false
}

// state returns the state that the engine reports to its owner.
func (e *fleetEngine) state() orders.State {
	s := orders.State{Sequence: e.sequence, Busy: e.busy}
	for _, m := range sortedKeys(e.models) {
		am := pool.AnnouncedModel{Name: m}
		for _, a := range sortedKeys(e.adapters) {
			if model, adapter := pool.SplitItem(a); model == m {
				am.Adapters = append(am.Adapters, adapter)
			}
		}
		s.Models = append(s.Models, am)
	}
	return s
}

// sendOrder delivers an order to its engine. A random lateShare of the orders get no reply and are
// executed late.
func (f *fleet) sendOrder(n *fleetMember, a owned.SendOrder, reply func(time.Duration, step.Event)) {
	f.orders++
	newReply := func(answer orders.Answer) step.Event {
		return owned.OrderReply{Engine: a.Engine, Fence: a.Fence, Answer: answer}
	}
	if f.rng.Float64() < f.lateShare {
		f.at(fleetLatency, func() { f.checkOwnerChange(n.id.Name, a) })
		f.at(time.Duration(2000+f.rng.IntN(10000))*time.Millisecond, func() { f.applyOrder(a) })
		reply(500*time.Millisecond, newReply(orders.AnswerLost))
		return
	}
	f.at(fleetLatency, func() {
		f.checkOwnerChange(n.id.Name, a)
		reply(fleetLatency, newReply(f.applyOrder(a)))
	})
}

// checkOwnerChange checks that the orders of two owners are at least Options.TurnGap apart and
// that fences only increase.
func (f *fleet) checkOwnerChange(sender string, a owned.SendOrder) {
	e := f.engines[a.Engine]
	if e.orderedBy != "" && e.orderedBy != sender && f.now-e.orderedAt < f.opt.TurnGap {
		f.recordViolation("%s ordered %s %v after %s", sender, e.name, f.now-e.orderedAt, e.orderedBy)
	}
	if a.Fence < e.fence || a.Fence == e.fence && e.orderedBy != sender && e.orderedBy != "" {
		f.recordViolation("%s ordered %s under fence %v after %v of %s", sender, e.name, a.Fence, e.fence, e.orderedBy)
	}
	e.orderedBy = sender
	e.orderedAt = f.now
	e.fence = a.Fence
}

// applyOrder executes an order at its engine, and checks that the engine has room for the item.
func (f *fleet) applyOrder(a owned.SendOrder) orders.Answer {
	e := f.engines[a.Engine]
	r := a.Request
	model, adapter := r.Model, r.Item()
	switch {
	case e.dead:
		e.ordersAfterEnd++
		return orders.AnswerNotSent
	case e.gone:
		return orders.AnswerMisdirected
	case a.Expect != e.sequence:
		return orders.AnswerConflict
	case r.Adapter != "":
		if r.Load {
			if e.adapters[adapter] {
				return orders.AnswerNoChange
			}
			if !e.models[model] {
				return orders.AnswerInvalid
			}
			e.adapters[adapter] = true
			if e.loadedAdapters == nil {
				e.loadedAdapters = map[string]bool{}
			}
			e.loadedAdapters[adapter] = true
			if len(e.adapters) > 2 {
				f.recordViolation("%s holds %d adapters", e.name, len(e.adapters))
			}
		} else {
			delete(e.adapters, adapter)
		}
		e.sequence++
		return orders.AnswerAccepted
	case e.busy:
		return orders.AnswerConflict
	case r.Load && e.models[model]:
		return orders.AnswerNoChange
	}
	e.sequence++
	e.busy = true
	if !r.Load {
		// An unload waits for the calls that use the model.
		f.unlessRestarted(e, time.Duration(100+f.rng.IntN(5000))*time.Millisecond, func() { f.finishUnload(e, model) })
		return orders.AnswerAccepted
	}
	if len(e.models)+1 > 3 {
		f.recordViolation("%s was ordered to load more models than it can hold", e.name)
	}
	e.pending = model
	loadTime := 4 * time.Second
	if e.onDisk[model] {
		loadTime = 800 * time.Millisecond
	} else {
		f.checkLoadRate()
	}
	f.unlessRestarted(e, loadTime, func() { f.finishLoad(e, model) })
	return orders.AnswerAccepted
}

// unlessRestarted calls do after a delay, unless the engine has restarted by then.
func (f *fleet) unlessRestarted(e *fleetEngine, delay time.Duration, do func()) {
	restarts := e.restarts
	f.at(delay, func() {
		if e.restarts == restarts {
			do()
		}
	})
}

func (f *fleet) finishLoad(e *fleetEngine, model string) {
	e.busy = false
	e.models[model] = true
	e.onDisk[model] = true
	if e.loadedAt == nil {
		e.loadedAt = map[string]time.Duration{}
	}
	e.loadedAt[model] = f.now
	f.announce(e)
}

func (f *fleet) finishUnload(e *fleetEngine, model string) {
	e.busy = false
	delete(e.models, model)
	for a := range e.adapters {
		if m, _ := pool.SplitItem(a); m == model {
			delete(e.adapters, a)
		}
	}
	f.announce(e)
}

// checkLoadRate records a load from the weight store, and checks the number of loads that started
// within the last 5 s.
func (f *fleet) checkLoadRate() {
	const window = 5 * time.Second
	f.loadTimes = append(f.loadTimes, f.now)
	n := 0
	for _, at := range f.loadTimes {
		if f.now-at <= window {
			n++
		}
	}
	if maxLoads := fleetLoadRate*5*1.1 + 3; float64(n) > maxLoads {
		f.recordViolation("%d loads from the weight store within %v", n, window)
	}
}

// requestOrder delivers an order request to a peer and the reply back.
func (f *fleet) requestOrder(n *fleetMember, a orderclient.SendRequest, reply func(time.Duration, step.Event)) {
	p := f.members[a.Peer]
	newReply := func(outcome owned.Outcome) step.Event {
		return orderclient.Reply{Engine: a.Engine, Request: a.Request, Outcome: outcome}
	}
	if p == nil || p.dead || p.frozen || f.separated(n, p) {
		reply(time.Second, newReply(owned.Failed))
		return
	}
	f.at(fleetLatency, func() {
		p.token++
		token := p.token
		p.orderReplies[token] = func(o owned.SendReply) { reply(fleetLatency, newReply(o.Outcome)) }
		f.step(p, p.boot, owned.RequestReceived{Token: token, Engine: a.Engine, Request: a.Request})
	})
}

// requestPermit delivers a permit request to a peer and the reply back.
func (f *fleet) requestPermit(n *fleetMember, a permits.SendRequest, reply func(time.Duration, step.Event)) {
	p := f.members[a.Peer]
	if p == nil || p.dead || p.frozen || p.noUpdates || n.noUpdates || f.separated(n, p) {
		reply(300*time.Millisecond, permits.Reply{Token: a.Token, Err: errors.New("no answer")})
		return
	}
	boot := p.boot
	f.at(fleetLatency, func() {
		p.token++
		token := p.token
		p.permitReplies[token] = func(v permits.Decision) { reply(fleetLatency, permits.Reply{Token: a.Token, Verdict: v}) }
		f.step(p, boot, permits.RequestReceived{Token: token, From: n.id.Name, Request: a.Request})
		f.at(a.Request.Wait+300*time.Millisecond, func() {
			if p.boot == boot && p.permitReplies[token] == nil {
				return
			}
			reply(0, permits.Reply{Token: a.Token, Err: errors.New("no answer in time")})
		})
	})
}

// streamTimeout is the time after which a request about streams without an answer fails.
const streamTimeout = 200 * time.Millisecond

// requestStreams delivers a request about streams to a peer and the reply back.
func (f *fleet) requestStreams(n *fleetMember, a streams.SendRequest, reply func(time.Duration, step.Event)) {
	p := f.members[a.Peer]
	if p == nil || p.dead || f.separated(n, p) || p.legacy {
		reply(fleetLatency, streams.Reply{Token: a.Token, Peer: a.Peer, Err: errors.New("refused")})
		return
	}
	answered := false
	answer := func(r streams.Reply) {
		if !answered {
			answered = true
			reply(fleetLatency, r)
		}
	}
	boot := p.boot
	f.at(fleetLatency, func() {
		p.token++
		token := p.token
		p.streamReplies[token] = func(v streams.Answer) { answer(streams.Reply{Token: a.Token, Peer: a.Peer, Answer: v}) }
		f.step(p, boot, streams.RequestReceived{Token: token, Request: a.Request})
	})
	f.at(streamTimeout, func() { answer(streams.Reply{Token: a.Token, Peer: a.Peer, Err: errors.New("no answer")}) })
}

// exchange delivers the message of an exchange to a peer and the reply back.
func (f *fleet) exchange(n *fleetMember, a exchange.SendRequest, reply func(time.Duration, step.Event)) {
	p := f.members[a.Address]
	if p == nil || p.dead || p.frozen || p.noUpdates || n.noUpdates || f.separated(n, p) {
		reply(time.Second, exchange.Reply{Peer: a.Peer, Address: a.Address, Err: errors.New("no answer")})
		return
	}
	f.at(fleetLatency, func() {
		p.token++
		token := p.token
		p.exchangeReplies[token] = func(msg gossip.Message) {
			reply(fleetLatency, exchange.Reply{Peer: a.Peer, Address: a.Address, Message: msg})
		}
		f.step(p, p.boot, exchange.RequestReceived{Token: token, Message: n.spoken(a.Message)})
	})
}

// separated reports whether two members cannot reach each other.
func (f *fleet) separated(a, b *fleetMember) bool {
	return a.noPeers || b.noPeers || f.partitioned(a.id.Zone, b.id.Zone)
}

// partitioned reports whether two zones cannot reach each other.
func (f *fleet) partitioned(a, b string) bool { return a != b && (f.cutZones[a] || f.cutZones[b]) }

// startCallers starts callers that send a call every interval; the most requested models change
// every 7 s.
func (f *fleet) startCallers(interval time.Duration) {
	f.startCallersFor(interval, func() int {
		return (int(f.now/(7*time.Second)) + f.rng.IntN(4)*f.rng.IntN(2)) % fleetModels
	})
}

// startCallersFor starts callers that send a call to a random member every interval. model returns
// the number of the model for each call.
func (f *fleet) startCallersFor(interval time.Duration, model func() int) {
	f.at(interval, func() {
		f.startCallersFor(interval, model)
		n := f.memberOfCaller()
		if !n.dead && !n.frozen {
			f.nextID()
			adapter := ""
			if f.rng.Float64() < f.adapterShare {
				adapter = fmt.Sprintf("a%d", f.rng.IntN(4))
			}
			r := calls.Request{
				ID: calls.ID(f.eventSeq), Path: "/x", Replayable: true, PromptTokens: f.promptTokens,
				Forward: &calls.ForwardRequest{
					Name: fmt.Sprint(f.eventSeq), Fingerprint: crash.Fingerprint(f.eventSeq) << 32,
					Host: "h", Model: fmt.Sprintf("m%d", model()), Adapter: adapter,
				},
			}
			if f.crashes != nil {
				f.crashes.arrive(n, r)
				return
			}
			if f.notices != nil {
				f.notices.arrive(n, r)
			}
			if f.limits != nil {
				f.limits.arrive(n, r)
			}
			f.step(n, n.boot, calls.Arrived{Call: r})
		}
	})
}

// nextID advances eventSeq, which also serves as the source of call IDs.
func (f *fleet) nextID() { f.eventSeq++ }

// A fleetStorm is a fault scenario for a fleet.
type fleetStorm struct {
	name string
	do   func(f *fleet)
}

// periodically calls do every interval, and after span the undo function that do returned, for
// example to inject and end a fault.
func (f *fleet) periodically(interval, span time.Duration, do func() (undo func())) {
	f.at(interval, func() {
		undo := do()
		f.at(span, undo)
		f.periodically(interval, span, do)
	})
}

// memberOfCaller returns the member at which the next call of startCallers arrives.
func (f *fleet) memberOfCaller() *fleetMember {
	if f.crowded != "" && f.rng.Float64() < crowdedShare {
		return f.members[f.crowded]
	}
	return f.randomMember()
}

func (f *fleet) randomMember() *fleetMember { return f.members[f.names[f.rng.IntN(len(f.names))]] }

// lastOrderSender returns the member that sent the last order, or a random one if none was sent.
func (f *fleet) lastOrderSender() *fleetMember {
	var last *fleetEngine
	for _, name := range sortedKeys(f.engines) {
		if e := f.engines[name]; e.orderedBy != "" && (last == nil || e.orderedAt > last.orderedAt) {
			last = e
		}
	}
	if last == nil {
		return f.randomMember()
	}
	return f.members[last.orderedBy]
}

var fleetStorms = []fleetStorm{
	{"calm", func(*fleet) {}},
	{"orders executed late", func(f *fleet) { f.lateShare = 0.4 }},
	{"responses of the store lost", func(f *fleet) { f.lostShare = 0.4 }},
	{"members killed", func(f *fleet) {
		f.periodically(6*time.Second, 2*time.Second, func() func() {
			n := f.lastOrderSender()
			n.dead = true
			return func() { f.start(n.id.Name) }
		})
	}},
	{"members frozen", func(f *fleet) {
		f.periodically(9*time.Second, 6*time.Second, func() func() {
			n := f.lastOrderSender()
			n.frozen = true
			return func() { f.thaw(n) }
		})
	}},
	{"members cut off from the store, their records revoked", func(f *fleet) {
		f.periodically(12*time.Second, 9*time.Second, func() func() {
			n := f.lastOrderSender()
			n.noStore = true
			f.endLease(f.leaseOf(n))
			return func() { n.noStore = false }
		})
	}},
	{"the store down", func(f *fleet) {
		f.periodically(12*time.Second, 6*time.Second, func() func() {
			f.store.down = true
			return func() { f.store.down = false }
		})
	}},
	{"all members killed at once", func(f *fleet) {
		f.periodically(15*time.Second, time.Second, func() func() {
			for _, name := range f.names {
				f.members[name].dead = true
			}
			return func() {
				for _, name := range f.names {
					f.start(name)
				}
			}
		})
	}},
	{"members killed while orders are late", func(f *fleet) {
		f.lateShare = 0.4
		f.periodically(7*time.Second, 1500*time.Millisecond, func() func() {
			n := f.lastOrderSender()
			n.dead = true
			return func() { f.start(n.id.Name) }
		})
	}},
	{"members cut off while responses of the store are lost", func(f *fleet) {
		f.lostShare = 0.3
		f.periodically(12*time.Second, 7*time.Second, func() func() {
			n := f.randomMember()
			n.noStore = true
			f.endLease(f.leaseOf(n))
			return func() { n.noStore = false }
		})
	}},
	{"members suspended", func(f *fleet) {
		f.periodically(16*time.Second, time.Hour, func() func() {
			f.sleep(f.lastOrderSender(), 14*time.Second, 0)
			return func() {}
		})
	}},
	{"members suspended, their wall clocks set back meanwhile", func(f *fleet) {
		f.periodically(5*time.Second, time.Hour, func() func() {
			f.sleep(f.lastOrderSender(), 14*time.Second, 14*time.Second)
			return func() {}
		})
	}},
	{"wall clocks changed", func(f *fleet) {
		f.periodically(5*time.Second, 3*time.Second, func() func() {
			n := f.lastOrderSender()
			by := time.Duration(f.rng.IntN(20)-10) * time.Second
			n.wallOffset += by
			return func() { n.wallOffset -= by }
		})
	}},
	{"wall clocks changed, members suspended and the store down", func(f *fleet) {
		f.periodically(11*time.Second, 5*time.Second, func() func() {
			f.store.down = true
			f.sleep(f.lastOrderSender(), 6*time.Second, 3*time.Second)
			f.randomMember().wallOffset += 5 * time.Second
			return func() { f.store.down = false }
		})
	}},
	{"planned stops", func(f *fleet) {
		f.periodically(8*time.Second, 4*time.Second, func() func() {
			n := f.lastOrderSender()
			f.step(n, n.boot, Stop{})
			f.at(2*time.Second, func() { n.dead = true })
			return func() { f.start(n.id.Name) }
		})
	}},
}

// TestOrdersHoldUnderStorms checks, for every fault scenario, that no engine gets orders from two
// members within Options.TurnGap or under a lower fence than before, that no engine is ordered to
// hold more than it can, that the rate limit of the weight store is kept, and that calls are still
// served.
func TestOrdersHoldUnderStorms(t *testing.T) {
	seeds := 4
	if testing.Short() {
		seeds = 1
	}
	for _, s := range fleetStorms {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range seeds {
				f := newFleet(uint64(seed+1), 5)
				f.expireLeases()
				f.run(5 * time.Second)
				f.startCallers(40 * time.Millisecond)
				s.do(f)
				f.run(45 * time.Second)
				for _, b := range f.violations {
					t.Errorf("seed %d: %s", seed, b)
				}
				if f.orders == 0 || f.served*2 < f.refused {
					t.Errorf("seed %d: %d orders, %d served, %d refused", seed, f.orders, f.served, f.refused)
				}
			}
		})
	}
}

// TestEmptyEnginesAreFilledAtTheStoresRate checks that engines that return empty get their models
// again, no faster than the weight store allows.
func TestEmptyEnginesAreFilledAtTheStoresRate(t *testing.T) {
	is := is.New(t)
	f := newFleetWith(3, 5, option.Disabled{}, true)
	f.expireLeases()
	f.run(5 * time.Second)
	f.startCallers(40 * time.Millisecond)
	f.run(40 * time.Second)
	is.Equal(f.violations, nil)
	is.True(len(f.loadTimes) >= 8)
	is.True(f.served > f.refused)
}

// TestAStopBeforeAnyConfiguration checks that an instance can stop before it has received a
// configuration. It used to crash while handing over the duties of the placer.
func TestAStopBeforeAnyConfiguration(t *testing.T) {
	opt := option.Default()
	opt.Environment = option.Platform
	m := New(member.Identity{Name: "i", Zone: "z", Address: "i", Boot: 1}, opt, 1)
	m.Step(clocktest.At(time.Hour), Tick{})
	m.Step(clocktest.At(time.Hour+time.Millisecond), Stop{})
}

// TestStopsInSeriesKeepTheStoresRate checks that placers that stop one after the other hand their
// loads over, so that the next placer continues at once and the rate limit of the weight store is
// kept.
func TestStopsInSeriesKeepTheStoresRate(t *testing.T) {
	is := is.New(t)
	for seed := range 6 {
		f := newFleetWith(uint64(seed+1), 5, option.Disabled{}, true)
		f.expireLeases()
		f.run(5 * time.Second)
		f.startCallers(40 * time.Millisecond)
		stopped := 0
		f.periodically(4*time.Second, 2*time.Second, func() func() {
			n := f.placer()
			if n == nil {
				return func() {}
			}
			stopped++
			f.step(n, n.boot, Stop{})
			f.at(time.Second, func() { n.dead = true })
			return func() { f.start(n.id.Name) }
		})
		f.run(30 * time.Second)
		is.Equal(f.violations, nil)
		is.True(stopped >= 5)
		is.True(len(f.loadTimes) >= 8) // half of what the rate allows; without the handover there were 2
	}
}

// placer returns the member that is the placer, or nil if there is none.
func (f *fleet) placer() *fleetMember {
	for _, name := range f.names {
		n := f.members[name]
		if !n.dead && !n.frozen && n.m.orders.registry.IsPlacer(clocktest.At(time.Hour+f.now)) {
			return n
		}
	}
	return nil
}

// TestClaimsFitIntoOneWrite checks that an instance that finds many engines without an owner
// claims at most as many at a time as one write of the store can hold. Stores used to refuse
// larger claims again and again, and the engines stayed without an owner.
func TestClaimsFitIntoOneWrite(t *testing.T) {
	is := is.New(t)
	f := newFleetOf(1, 1, 40, option.Disabled{}, false)
	f.expireLeases()
	f.run(20 * time.Second)
	is.True(f.maxClaims > 1)
	is.True(f.maxClaims <= registry.MaxClaims)
	is.Equal(f.members["i0"].m.orders.owned.Len(), 40)
}

// largeFleet returns a fleet with callers and with too many members for all of them to watch the
// platform.
func largeFleet(seed uint64, disable option.Disabled) *fleet {
	f := newFleetOf(seed, 2*watchers.FullMeshLimit, 4*fleetEngines, disable, false)
	f.expireLeases()
	f.run(6 * time.Second)
	f.startCallers(15 * time.Millisecond)
	return f
}

// TestFewMembersOfALargeFleetWatch checks that in a large fleet only a few members watch the
// platform and own the engines. The other members learn the owners from them and get their orders
// executed, so the platform receives few calls.
func TestFewMembersOfALargeFleetWatch(t *testing.T) {
	is := is.New(t)
	f := largeFleet(1, option.Disabled{})
	f.run(20 * time.Second)
	owners, watching := 0, 0
	for _, name := range f.names {
		m := f.members[name].m
		if m.orders.owned.Len() > 0 {
			owners++
		}
		if m.env.platform.watch.Active(clocktest.At(time.Hour + f.now)) {
			watching++
		}
		known := 0
		for engine := range f.engines {
			if _, ok := m.orders.registry.Owner(engine); ok {
				known++
			}
		}
		is.Equal(known, 4*fleetEngines) // every member knows all owners
	}
	is.True(owners >= 2)
	is.True(owners <= 4*f.opt.Watchers)
	is.True(watching <= 4*f.opt.Watchers)
	is.Equal(f.violations, nil)
	is.True(f.served > 4*f.refused)
}

// TestOwnersHearOfTheRegistry checks that an instance that stops watching sends no more orders to
// its engines, since another instance may have claimed them. In a large simulated fleet, instances
// used to own engines without watching: two instances sent orders to one engine, the former owner
// under a lower fence.
func TestOwnersHearOfTheRegistry(t *testing.T) {
	cases := []struct {
		name           string
		disable        option.Disabled
		wantViolations bool
	}{
		{"owners need a current registry", option.Disabled{}, false},
		{"owners may use an outdated registry", option.Disabled{HearRegistry: true}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			violations := 0
			for seed := range 3 {
				f := largeFleet(uint64(seed+1), c.disable)
				f.dropOwnerRecords()
				f.run(30 * time.Second)
				violations += len(f.violations)
			}
			is.Equal(violations > 0, c.wantViolations)
		})
	}
}

// dropOwnerRecords deletes the records of members that send orders, one after the other. The
// members do not learn of it: their watches and exchanges are blocked, and their leases are still
// renewed.
func (f *fleet) dropOwnerRecords() {
	f.periodically(9*time.Second, 20*time.Second, func() func() {
		n := f.lastOrderSender()
		n.noUpdates = true
		f.setKey("instances/"+n.id.Name, nil)
		return func() { n.noUpdates = false }
	})
}

// TestFleetStormsDetectDisabledMechanisms checks that for each mechanism that keeps orders safe,
// some storm detects that it is disabled.
func TestFleetStormsDetectDisabledMechanisms(t *testing.T) {
	cases := []struct {
		name              string
		disable           option.Disabled
		empty             bool
		clockStopsInSleep bool
	}{
		{"the wait for the former owner's orders", option.Disabled{TurnWait: true}, false, false},
		{"the rate limit of the weight store", option.Disabled{Rate: true}, true, false},
		{"a clock that advances during suspension", option.Disabled{}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, s := range fleetStorms {
				for seed := range 3 {
					f := newFleetWith(uint64(seed+1), 5, c.disable, c.empty)
					f.clockStopsInSleep = c.clockStopsInSleep
					f.expireLeases()
					f.run(5 * time.Second)
					f.startCallers(40 * time.Millisecond)
					s.do(f)
					f.run(45 * time.Second)
					if len(f.violations) > 0 {
						return
					}
				}
			}
			t.Errorf("no storm detected that %s is disabled", c.name)
		})
	}
}

package instance

import (
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/exchange"
	"github.com/birchdrift/birchdrift/core/forwarding"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/notice"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/orderclient"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/ownership"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/quarantine"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/rejectbudget"
	"github.com/birchdrift/birchdrift/core/relay"
	"github.com/birchdrift/birchdrift/core/retrybudget"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/shutdown"
	"github.com/birchdrift/birchdrift/core/streams"
	"github.com/birchdrift/birchdrift/core/watchers"
)

// orderParts are the modules that send orders to engines.
type orderParts struct {
	roster      *watchers.Roster
	registry    *ownership.Registry
	owned       *owned.Engines
	orderClient *orderclient.Client
}

// New returns the machine of an instance that has not received any information
// yet. The seed determines its random numbers.
func New(self member.Identity, opt option.Options, seed uint64) *Machine {
	m := &Machine{state: shared.New(self, opt, seed)}
	tracker, totals := demand.NewTracker(), demand.NewTotals()
	m.links = links.New(m.state)
	m.rejections = rejectbudget.New(rejectbudget.Deps{
		State: m.state, Links: m.links,
		Instances: func() map[string]registry.Instance { return m.orders.registry.Instances() },
		TellSoon:  func(now clock.Instant) { m.exchanges.TellSoon(now) },
	})
	m.buildCalls()
	m.buildOrders()
	m.buildQuarantine()
	m.notices = notice.New(notice.Deps{
		State:      m.state,
		Rejections: m.rejections.Observe,
		TellSoon:   func(now clock.Instant) { m.exchanges.TellSoon(now) },
	})
	m.buildPermits()
	m.buildExchanges()
	m.buildStreams()
	m.buildForwarding(tracker)
	m.relay = relay.New(relay.Deps{State: m.state, Links: m.links, Quarantine: m.quarantine, Rejections: m.rejections, Refusing: m.stop.Refusing})
	switch opt.Environment {
	case option.Platform:
		m.env = m.platformEnvironment(tracker, totals)
	default:
		m.env = m.ownEnvironment(totals)
	}
	return m
}

func (m *Machine) buildCalls() {
	m.calls = calls.New()
	m.calls.Options = m.state.Options
	m.calls.Rand = m.state.Rand
	m.calls.Out = m.state.Out
	m.calls.Pool = m.state.Pool
	m.budget = &retrybudget.Budget{
		Options:   m.state.Options,
		FleetSize: func() (instances int, registered bool) { return m.env.fleetSize() },
	}
	m.stop = &shutdown.Controller{Options: m.state.Options, Out: m.state.Out, Calls: m.calls, HandOver: m.handOver}
	m.stop.Relayed = func() int { return m.relay.Len() }
}

// handOver releases what other instances can take over, at a planned stop, and
// starts an exchange with the peers of the zone.
func (m *Machine) handOver(now clock.Instant) {
	m.env.handOver(now)
	m.exchanges.StartWithZone(now)
}

func (m *Machine) buildOrders() {
	o := &m.orders
	o.roster = &watchers.Roster{Self: m.state.Self, Options: m.state.Options, Members: m.state.Members}
	o.owned = &owned.Engines{Out: m.state.Out, Pool: m.state.Pool, Records: m.state.Records, Config: m.state.Config}
	o.registry = ownership.New(ownership.Deps{
		State:  m.state,
		Roster: o.roster, Links: m.links, Owned: o.owned,
		Stopping:     m.stop.Started,
		TellSoon:     func(now clock.Instant) { m.exchanges.TellSoon(now) },
		FirstOfFleet: func() { m.streams.FirstOfFleet() },
	})
	o.orderClient = orderclient.New()
	o.orderClient.Self = m.state.Self
	o.orderClient.Out = m.state.Out
	o.orderClient.Members = m.state.Members
	o.orderClient.Pool = m.state.Pool
	o.orderClient.Owned = o.owned
	o.orderClient.Owner = o.registry.Owner
	o.orderClient.Resume = func(now clock.Instant, id calls.ID) { m.forwarding.OrderDone(now, id) }
	o.roster.Instances = o.registry.Instances
	o.owned.MayOrder = o.registry.MayOrderWithFence
	o.owned.LinkFailed = func(now clock.Instant, engine string, timedOut bool) {
		if r := m.state.Pool.Get(engine); r != nil {
			m.links.Failed(now, r, timedOut)
		}
	}
	o.owned.Published = func(now clock.Instant) { m.exchanges.TellSoon(now) }
	o.owned.Answered = func(now clock.Instant, engine string, r orders.Request, outcome owned.Outcome, detail string) {
		o.orderClient.HandleOutcome(now, orderclient.Key{Engine: engine, Request: r}, outcome, detail)
	}
}

func (m *Machine) buildQuarantine() {
	m.quarantine = quarantine.New(quarantine.Deps{
		State:  m.state,
		Stored: m.state.Options.Environment == option.Platform,
		Tell:   func(now clock.Instant) { m.exchanges.TellAll(now) },
		Direct: m.orders.roster.FullMesh,
		ConnectionRefused: func(now clock.Instant, replica pool.Incarnation) {
			if r := m.state.Pool.Get(replica.Name); r != nil && r.Incarnation() == replica {
				m.links.Failed(now, r, false)
			}
		},
		LinksAtFault: m.links.AtFault,
		Cut:          func(cause crash.Cause, left time.Duration) { m.forwarding.RefuseQuarantined(cause, left) },
	})
	m.orders.registry.Quarantined = m.quarantine.Restored
	m.orders.registry.SteppedBack = m.quarantine.SteppedBack
}

func (m *Machine) buildPermits() {
	m.permits = permits.New(permits.Deps{
		State:       m.state,
		Instances:   m.orders.registry.Instances,
		Stopping:    m.stop.Started,
		Told:        m.notices.HandlePeerLimit,
		RetriesLeft: m.budget.Left,
		TakeRetries: m.budget.Take,
		Decided: func(now clock.Instant, call calls.ID, s permits.Resource, v permits.Decision) {
			m.forwarding.PermitDecided(now, call, s, v)
		},
	})
	m.orders.owned.Permitted = m.permits.TryAcquireForOrder
}

// buildExchanges builds the exchanges and the list of replicas and instances. The
// functions that differ between environments are set by the environment.
func (m *Machine) buildExchanges() {
	m.listing = &listing.List{
		Options: m.state.Options, Out: m.state.Out, Members: m.state.Members, Pool: m.state.Pool, Records: m.state.Records,
		Outage:    m.state.Outage,
		KnownAt:   func() clock.Instant { return m.exchanges.StoreKnownUntil() },
		Announced: m.orders.owned.HandleAnnouncement,
		Present: func(now clock.Instant, replica string) {
			m.notices.HandleAnnounced(now, replica)
			m.streams.HandleAnnounced(now, replica)
		},
		Restarted: func(now clock.Instant, replica string) { m.forwarding.ReplicaRestarted(now, replica) },
		TellSoon:  func(now clock.Instant) { m.exchanges.TellSoon(now) },
	}
	m.exchanges = exchange.New(exchange.Deps{
		State:      m.state,
		Roster:     m.orders.roster,
		Links:      m.links,
		Rejections: m.rejections,
		Stopping:   m.stop.Started,
		Listed:     m.listing.HandlePeerEntry,
		Registered: m.orders.registry.Merge,
		Crashed:    m.quarantine.HandlePeerReports,
		Leaving:    m.notices.HandlePeerLeaving,
		Limits:     m.notices.HandlePeerLimits,
		Rests:      m.notices.HandlePeerRests,
		Used:       m.orders.owned.RecordUse,
		Versions:   func(now clock.Instant, peer string) gossip.Versions { return m.streams.Report(now, peer) },
		VersionsHeard: func(now clock.Instant, peer string, v gossip.Versions, knownAt clock.Instant) {
			m.streams.HandleReport(now, peer, v, knownAt)
		},
		VersionsKnown: func(now clock.Instant) bool { return m.streams.KnowsVersions(now) },
	})
}

func (m *Machine) buildStreams() {
	m.streams = streams.New(streams.Deps{
		State:          m.state,
		Instances:      m.orders.registry.Instances,
		FullMesh:       m.orders.roster.FullMesh,
		ListKnownUntil: m.exchanges.ConfirmedUntil,
		Found:          func(now clock.Instant, call calls.ID, a streams.Answer) { m.forwarding.OriginFound(now, call, a) },
	})
}

func (m *Machine) buildForwarding(tracker *demand.Tracker) {
	m.forwarding = forwarding.New(forwarding.Deps{
		State: m.state,
		Calls: m.calls, Budget: m.budget, Asks: m.orders.orderClient, Roster: m.orders.roster, Demand: tracker,
		Streams: m.streams, Quarantine: m.quarantine, Permits: m.permits, Links: m.links, Rejections: m.rejections,
		ListAge: m.exchanges.StoreAge,
		Used:    m.orders.owned.RecordUse,
	})
}

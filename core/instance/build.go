package instance

import (
	"math/rand/v2"

	"github.com/birchdrift/birchdrift/core/asks"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/exchange"
	"github.com/birchdrift/birchdrift/core/forwarding"
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/outage"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/ownership"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/retrybudget"
	"github.com/birchdrift/birchdrift/core/share"
	"github.com/birchdrift/birchdrift/core/shutdown"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watchers"
)

// orderParts are the modules that get orders to engines.
type orderParts struct {
	roster   *watchers.Roster
	registry *ownership.Registry
	owned    *owned.Engines
	asks     *asks.Asks
}

// New returns the machine of an instance that knows nothing yet. Its random draws
// come from seed.
func New(self member.Identity, opt option.Options, seed uint64) *Machine {
	out := &step.Output{}
	m := &Machine{common: common{
		self:    self,
		opt:     &opt,
		rng:     rand.New(rand.NewPCG(seed, self.Boot)),
		out:     out,
		cfg:     &config.Current{},
		pool:    pool.New(),
		members: member.New(self.Name, self.Zone),
		records: share.NewSet(),
		outage:  outage.New(out),
	}}
	flow, board := demand.NewTracker(), demand.NewTotals()
	m.buildCalls()
	m.buildOrders()
	m.buildExchanges()
	m.buildForwarding(flow)
	switch opt.Environment {
	case option.Platform:
		m.env = m.platformEnvironment(flow, board)
	default:
		m.env = m.ownEnvironment(board)
	}
	return m
}

func (m *Machine) buildCalls() {
	m.calls = calls.New()
	m.calls.Options = m.opt
	m.calls.Rand = m.rng
	m.calls.Out = m.out
	m.calls.Pool = m.pool
	m.budget = &retrybudget.Budget{Options: m.opt, Members: m.members}
	m.stop = &shutdown.Stop{Options: m.opt, Out: m.out, Calls: m.calls, HandOver: m.handOver}
}

// handOver gives back what others can take over, at a planned stop, and tells the
// peers of the zone.
func (m *Machine) handOver(now clock.Instant) {
	m.env.handOver(now)
	m.exchanges.WithZone(now)
}

func (m *Machine) buildOrders() {
	o := &m.orders
	o.roster = &watchers.Roster{Self: m.self, Options: m.opt, Members: m.members}
	o.owned = &owned.Engines{Out: m.out, Pool: m.pool, Records: m.records, Config: m.cfg}
	o.registry = ownership.New(ownership.Needs{
		Self: m.self, Options: m.opt, Rand: m.rng, Out: m.out, Members: m.members, Pool: m.pool, Records: m.records,
		Config: m.cfg, Outage: m.outage, Roster: o.roster, Owned: o.owned,
		Stopping: m.stop.Begun,
		News:     func(now clock.Instant) { m.exchanges.TellSoon(now) },
	})
	o.asks = asks.New()
	o.asks.Self = m.self
	o.asks.Out = m.out
	o.asks.Members = m.members
	o.asks.Pool = m.pool
	o.asks.Owned = o.owned
	o.asks.Owner = o.registry.Owner
	o.asks.Resume = func(now clock.Instant, id calls.ID) { m.forwarding.Resume(now, id) }
	o.roster.Instances = o.registry.Instances
	o.owned.MayOrder = o.registry.MayOrder
	o.owned.Published = func(now clock.Instant) { m.exchanges.TellSoon(now) }
	o.owned.Answered = func(now clock.Instant, engine string, r orders.Request, outcome owned.Outcome, detail string) {
		o.asks.Settled(now, asks.Key{Engine: engine, Request: r}, outcome, detail)
	}
}

// buildExchanges builds the exchanges and the list of what is there. What differs
// between environments is set by them.
func (m *Machine) buildExchanges() {
	m.listing = &listing.List{
		Out: m.out, Members: m.members, Pool: m.pool, Records: m.records,
		Announced: m.orders.owned.Announced,
		News:      func(now clock.Instant) { m.exchanges.TellSoon(now) },
	}
	m.exchanges = exchange.New(exchange.Needs{
		Self: m.self, Options: m.opt, Rand: m.rng, Out: m.out, Members: m.members, Pool: m.pool, Records: m.records,
		Config: m.cfg, Roster: m.orders.roster,
		Stopping:   m.stop.Begun,
		Listed:     m.listing.Heard,
		Registered: m.orders.registry.Merge,
		Used:       m.orders.owned.Used,
	})
}

func (m *Machine) buildForwarding(flow *demand.Tracker) {
	m.forwarding = forwarding.New(forwarding.Needs{
		Self: m.self, Options: m.opt, Rand: m.rng, Out: m.out, Members: m.members, Pool: m.pool, Config: m.cfg,
		Calls: m.calls, Budget: m.budget, Asks: m.orders.asks, Roster: m.orders.roster, Demand: flow,
		Used: m.orders.owned.Used,
	})
}

package instance

import (
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/placement"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watch"
)

// platformParts are the modules that only a users' platform uses.
type platformParts struct {
	placer *placement.Placer
	watch  *watch.Watch
}

// platformEnvironment builds the modules that only a users' platform uses: one
// watch of its store, and the placer. It connects them to the ownership registry
// of engines.
func (m *Machine) platformEnvironment(tracker *demand.Tracker, totals *demand.Totals) environment {
	o := &m.orders
	placer := placement.New(placement.Deps{
		State:    m.state,
		Registry: o.registry, Asks: o.orderClient, Roster: o.roster, OwnDemand: tracker, AllDemand: totals,
		Stopping: m.stop.Started, Tell: m.exchanges.StartWith, NextWatcher: m.exchanges.NextWatcher,
	})
	w := watch.New(watch.Deps{
		Options: m.state.Options, Rand: m.state.Rand, Out: m.state.Out, Outage: m.state.Outage, Roster: o.roster, Registry: o.registry,
		Exchanges: m.exchanges, Stopping: m.stop.Started,
	})
	m.forwarding.Missed = placer.ReportMiss
	m.exchanges.DemandFor = placer.DemandFor
	m.exchanges.DemandHeard = placer.HandleDemand
	m.exchanges.PlatformBrings = w.ReceivesUpdates
	m.exchanges.NextPeer = func(now clock.Instant, round int) *member.Peer {
		return m.exchanges.NextInLargeFleet(now, round, o.registry.Placer().Name)
	}
	return environment{
		platform: &platformParts{placer: placer, watch: w},
		handle:   func(now clock.Instant, ev step.Event) bool { return m.handlePlatform(now, w, ev) },
		tickBeforeExchanges: []func(now clock.Instant){
			o.registry.Tick, o.owned.Tick, placer.Tick, m.exchanges.TickMesh, w.Tick,
		},
		configInstalled:   func(clock.Instant, *config.Snapshot) {},
		handleConfigReply: func(clock.Instant, error) {}, // watch.Reply is the result of the only watch
		handleListReply: func(now clock.Instant, e listing.Reply) {
			m.exchanges.ObserveStoreVersion(e.Version)
			m.listing.HandleReply(now, e)
			m.streams.HandleListRead(e.Whole)
		},
		fleetSize: func() (instances int, registered bool) {
			_, registered = o.registry.Instances()[m.state.Self.Name]
			return max(len(o.registry.Instances()), m.state.Members.Size()), registered
		},
		handOver: func(now clock.Instant) { o.registry.Resign(now, placer.LoadsLeft(now)) },
		status:   func(clock.Instant, *Status) {},
	}
}

// handlePlatform handles an event that is specific to a users' platform, and reports
// whether ev is one.
func (m *Machine) handlePlatform(now clock.Instant, w *watch.Watch, ev step.Event) bool {
	switch e := ev.(type) {
	case watch.Reply:
		w.HandleReply(now, e)
	case calls.Arrived:
		m.refuseOwnCall(e)
	default:
		return false
	}
	return true
}

// refuseOwnCall rejects a call through the product's own API, which is not served on
// a users' platform.
func (m *Machine) refuseOwnCall(e calls.Arrived) {
	c := &calls.Call{Request: e.Call}
	m.calls.RefuseNew(c, calls.NotRunRefusal(code.UnknownService, "the product's own interface is not served here", 0))
}

package instance

import (
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/own/choose"
	"github.com/birchdrift/birchdrift/core/own/kvwatch"
	"github.com/birchdrift/birchdrift/core/own/meter"
	"github.com/birchdrift/birchdrift/core/own/modelcalls"
	"github.com/birchdrift/birchdrift/core/own/planner"
	"github.com/birchdrift/birchdrift/core/step"
)

// prefixCacheBlocks is the number of prompt prefix blocks for which an instance
// remembers the replica that they were sent to.
const prefixCacheBlocks = 8192

// ownParts are the modules that only the product's own environment uses.
type ownParts struct {
	planner *planner.Planner
	calls   *modelcalls.Handler
	chooser *choose.Chooser
	meter   *meter.Meter
}

// ownEnvironment builds the modules that only the product's own environment uses:
// the watches of its key-value service, the zone's planner, and the handler of
// calls through its own API.
func (m *Machine) ownEnvironment(totals *demand.Totals) environment {
	chooser := choose.NewChooser(prefixCacheBlocks)
	demandMeter := meter.New()
	p := planner.New(planner.Deps{
		State:   m.state,
		Chooser: chooser, Meter: demandMeter, Totals: totals,
		Stopping: m.stop.Started, TellSoon: m.exchanges.TellSoon, TellAll: m.exchanges.TellAll, Tell: m.exchanges.StartWith,
		Leaving: m.exchanges.LogLeaving,
	})
	h := modelcalls.New(modelcalls.Deps{
		State: m.state, Calls: m.calls,
		Budget: m.budget, Chooser: chooser, Meter: demandMeter, Unmet: p.ReportUnmet,
	})
	w := &kvwatch.Watch{
		State:   m.state,
		Listing: m.listing, Exchanges: m.exchanges, Stopping: m.stop.Started,
	}
	m.forwarding.Missed = func(clock.Instant) {} // this environment has no placer for the models of announced engines
	m.exchanges.DemandFor = p.DemandFor
	m.exchanges.DemandHeard = p.HandleDemand
	m.exchanges.PlatformBrings = func(clock.Instant) bool { return false } // so a newer configuration is requested from a peer immediately
	m.exchanges.NextPeer = p.NextPeer
	parts := &ownParts{planner: p, calls: h, chooser: chooser, meter: demandMeter}
	return environment{
		own:                 parts,
		handle:              func(now clock.Instant, ev step.Event) bool { return m.handleOwn(now, parts, ev) },
		tickBeforeExchanges: []func(now clock.Instant){m.exchanges.TickMesh, w.Tick},
		tickAfterExchanges:  []func(now clock.Instant){p.Tick},
		configInstalled:     func(_ clock.Instant, s *config.Snapshot) { p.ApplyConfig(s) },
		handleConfigReply:   w.HandleConfigReply,
		handleListReply:     w.HandleListReply,
		fleetSize:           func() (instances int, registered bool) { return m.state.Members.Size(), true },
		handOver:            func(clock.Instant) { p.ReleaseLease() },
		status:              parts.status,
	}
}

// handleOwn handles an event that occurs only in the product's own environment, and
// reports whether ev is one.
func (m *Machine) handleOwn(now clock.Instant, o *ownParts, ev step.Event) bool {
	switch e := ev.(type) {
	case calls.Arrived:
		o.calls.Arrive(now, e.Call, m.stop.Refusing(now))
	case modelcalls.ClaimReply:
		o.calls.HandleClaimReply(now, e)
	case planner.LeaseReply:
		o.planner.HandleLeaseReply(now, e)
	case planner.IntentsReply:
		o.planner.HandleIntentsReply(now, e)
	case planner.StateReply:
		o.planner.HandleStateReply(now, e)
	case planner.OrderReply:
		o.planner.HandleOrderReply(now, e)
	default:
		return false
	}
	return true
}

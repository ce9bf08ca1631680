// Package instance builds the state machine of one entry instance from its modules
// and dispatches events to them.
//
// Step takes the current time and one event, and returns the actions that the
// driver must execute. The machine reads no clock, starts no goroutine and does no
// I/O, and a seed determines its random numbers. It is therefore deterministic: in
// a process, a test or a replay, the same events at the same times with the same
// seed yield the same actions.
//
// The modules:
//   - core/calls, core/forwarding: calls in progress and forwarded calls;
//   - core/quarantine: requests that are not run because replicas crash under them;
//   - core/notice: what replicas state about themselves in their responses;
//   - core/links, core/relay: the links of this instance to the replicas, and attempts that it
//     sends for instances without such links;
//   - core/rejectbudget: how many requests replicas must reject, over all instances;
//   - core/streams: which version of replicas' software began the streams of callers;
//   - core/permits: the rate limits of replicas, over all instances;
//   - core/watch, core/watchers: the watch of the platform, and the choice of the
//     instances that watch;
//   - core/listing: the replicas and instances that the platform lists;
//   - core/exchange: the exchanges of records between instances;
//   - core/ownership, core/owned, core/orderclient: the owners of engines, the
//     orders of an owner to its engines, and requests for orders to other owners;
//   - core/placement: which models are loaded on which engines;
//   - core/shutdown: the planned stop;
//   - core/own/...: the modules of the product's own environment.
//
// Invariants:
//   - every calls.Arrived is followed by exactly one of these: a calls.Finish, a
//     calls.Dispatch whose calls.Completed ends the call, or a calls.CallerGone;
//   - a call that may run only once is dispatched again only while no earlier
//     attempt can have run;
//   - the revision of the configuration in force only increases;
//   - no order is sent unless its memory is booked.
//
// The machine is not safe for concurrent use: one goroutine owns it.
package instance

import (
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/exchange"
	"github.com/birchdrift/birchdrift/core/forwarding"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/notice"
	"github.com/birchdrift/birchdrift/core/orderclient"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/ownership"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/quarantine"
	"github.com/birchdrift/birchdrift/core/rejectbudget"
	"github.com/birchdrift/birchdrift/core/relay"
	"github.com/birchdrift/birchdrift/core/retrybudget"
	"github.com/birchdrift/birchdrift/core/saturation"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/shutdown"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/streams"
)

// A Machine is the state machine of one entry instance.
type Machine struct {
	state      shared.State
	calls      *calls.Table
	budget     *retrybudget.Budget
	quarantine *quarantine.Tracker
	notices    *notice.Tracker
	permits    *permits.Permits
	streams    *streams.Tracker
	links      *links.Tracker
	rejections *rejectbudget.Budget
	relay      *relay.Relay
	forwarding *forwarding.Forwarder
	listing    *listing.List
	exchanges  *exchange.Exchanges
	orders     orderParts
	stop       *shutdown.Controller
	env        environment
}

// An environment holds the functions that depend on the option.Environment of the
// instance. New chooses it once.
type environment struct {
	// Exactly one of platform and own is nil.
	platform *platformParts
	own      *ownParts

	// handle handles an event that is specific to this environment, and reports
	// whether ev is one.
	handle func(now clock.Instant, ev step.Event) bool
	// tickBeforeExchanges and tickAfterExchanges do the periodic work that runs
	// before and after the exchanges.
	tickBeforeExchanges []func(now clock.Instant)
	tickAfterExchanges  []func(now clock.Instant)
	// configInstalled is called when a newer configuration was installed.
	configInstalled func(now clock.Instant, s *config.Snapshot)
	// handleConfigReply and handleListReply handle the results of watches of the
	// platform.
	handleConfigReply func(now clock.Instant, err error)
	handleListReply   func(now clock.Instant, e listing.Reply)
	// fleetSize returns the number of instances that this one knows, itself included, and
	// whether the others know this one.
	fleetSize func() (instances int, registered bool)
	// handOver releases what other instances can take over, at a planned stop.
	handOver func(now clock.Instant)
	// status sets the fields of the modules of this environment.
	status func(now clock.Instant, s *Status)
}

// Step handles one event at now and returns the actions to execute, in order. The
// slice is valid until the next Step.
func (m *Machine) Step(now clock.Instant, ev step.Event) []step.Action {
	m.state.Out.Reset()
	m.handle(now, ev)
	m.tick(now)
	if _, tick := ev.(Tick); tick || m.calls.PoolChanged() {
		m.calls.RetryQueued(now)
	}
	return m.state.Out.Actions()
}

// handle dispatches an event to its module.
func (m *Machine) handle(now clock.Instant, ev step.Event) {
	if m.handleCall(now, ev) || m.handleOrder(now, ev) || m.env.handle(now, ev) {
		return
	}
	switch e := ev.(type) {
	case ConfigReply:
		m.handleConfigReply(now, e)
	case listing.Reply:
		m.env.handleListReply(now, e)
	case exchange.Reply:
		m.exchanges.HandleReply(now, e)
	case exchange.RequestReceived:
		m.exchanges.HandleRequest(now, e)
	case saturation.Reported:
		m.state.Saturation.Report(now)
	case Stop:
		m.stop.Start(now)
	case OptionsChanged:
		m.updateOptions(e)
	case Tick:
	}
}

// handleCall handles the events of calls, and reports whether ev is one. It leaves
// calls through the product's own API to the environment.
func (m *Machine) handleCall(now clock.Instant, ev step.Event) bool {
	switch e := ev.(type) {
	case calls.AnswerBegan:
		m.calls.AnswerBegan(now, e)
	case calls.Completed:
		m.calls.Completed(now, e)
	case calls.AttemptFailed:
		m.calls.AttemptFailed(now, e)
	case calls.CallerGone:
		m.calls.CallerGone(now, e)
	case forwarding.ProbeReply:
		m.forwarding.ProbeReplied(now, e)
	case listing.SelfReport:
		m.listing.HandleSelfReport(now, e)
	case notice.Received:
		m.notices.HandleNotice(now, e)
	case links.Probed:
		m.links.HandleProbed(now, e)
	case relay.Requested:
		m.relay.HandleRequest(now, e)
	case relay.Accepted:
		m.relay.HandleAccepted(e)
	case relay.Ended:
		m.relay.HandleEnded(now, e)
	case permits.Reply:
		m.permits.HandleReply(now, e)
	case permits.RequestReceived:
		m.permits.HandleRequest(now, e)
	case streams.Reply:
		m.streams.HandleReply(now, e)
	case streams.RequestReceived:
		m.streams.HandleRequest(now, e)
	case quarantine.Checked:
		m.quarantine.Checked(now, e)
	case quarantine.VerdictStored:
		m.quarantine.VerdictStored(now, e)
	case calls.Arrived:
		if e.Call.Forward == nil {
			return false
		}
		m.forwarding.Arrive(now, e.Call, m.stop.Refusing(now))
	default:
		return false
	}
	return true
}

// handleOrder handles the events of engines, their owners and their orders, and
// reports whether ev is one.
func (m *Machine) handleOrder(now clock.Instant, ev step.Event) bool {
	o := &m.orders
	switch e := ev.(type) {
	case ownership.WatchUpdate:
		o.registry.HandleWatchUpdate(now, e)
	case ownership.EraObserved:
		m.orders.registry.HandleEraObserved(now, e)
	case ownership.EnrolReply:
		o.registry.HandleEnrolReply(now, e)
	case ownership.RenewReply:
		o.registry.HandleRenewReply(now, e)
	case ownership.WriteReply:
		o.registry.HandleWriteReply(now, e)
	case owned.OrderReply:
		o.owned.HandleOrderReply(now, e)
	case owned.StateReply:
		o.owned.HandleStateReply(now, e)
	case owned.RequestReceived:
		o.owned.HandleRequest(now, e)
	case orderclient.Reply:
		o.orderClient.HandleReply(now, e)
	default:
		return false
	}
	return true
}

// updateOptions applies the options that may change while the machine runs. The
// environment and the disabled mechanisms, with which it was built, do not change.
func (m *Machine) updateOptions(e OptionsChanged) {
	if e.Options.RetryWindow != m.state.Options.RetryWindow {
		m.budget.Reset()
	}
	disable, env := m.state.Options.Disable, m.state.Options.Environment
	*m.state.Options = e.Options
	m.state.Options.Disable = disable
	m.state.Options.Environment = env
	m.exchanges.SetSeeds(e.Seeds)
}

// tick does the periodic work that is due.
func (m *Machine) tick(now clock.Instant) {
	m.forwarding.Tick(now)
	m.budget.Tick(now)
	m.listing.Tick(now)
	m.quarantine.Tick(now)
	m.notices.Tick(now)
	m.permits.Tick(now)
	m.streams.Tick(now)
	m.links.Tick(now)
	m.rejections.Tick(now)
	for _, tick := range m.env.tickBeforeExchanges {
		tick(now)
	}
	m.exchanges.Tick(now)
	for _, tick := range m.env.tickAfterExchanges {
		tick(now)
	}
	m.stop.Tick(now)
}

// The maximum time between two steps. The expiry of waiting calls, and tasks that
// moved to this instance, are detected within it.
const (
	wakeInterval     = 250 * time.Millisecond
	wakeIntervalBusy = 50 * time.Millisecond // while calls are in progress
	// wakeIntervalOrder is the same while requests for orders wait at an engine. It
	// is this short because loading an adapter takes only some milliseconds.
	wakeIntervalOrder = 4 * time.Millisecond
)

// NextWake returns how long the driver may wait before it sends the next Tick.
func (m *Machine) NextWake() time.Duration {
	if m.orders.owned.Waiting() {
		return wakeIntervalOrder
	}
	if m.calls.QueueLen() > 0 || m.permits.Waiting() || m.stop.Started() || m.calls.Len() > 0 && m.state.Config.HasForwards() {
		return wakeIntervalBusy
	}
	return wakeInterval
}

// Stopping reports whether a planned stop has started.
func (m *Machine) Stopping() bool { return m.stop.Started() }

// Package instance puts the state machine of one entry instance together from its
// modules, and passes events on to them.
//
// The idea: Step takes the present time and one event and returns the actions
// that its driver should carry out. The machine reads no clock, starts no
// goroutine and does no input or output; its random draws come from a seed. A
// process, a test or a replay drives it alike, and the same events at the same
// times under the same seed yield the same actions.
//
// Who does what:
//   - core/calls, core/forwarding: calls in progress and forwarded calls;
//   - core/quarantine: requests that are not run, since replicas end under them;
//   - core/notice: what replicas say of themselves in their answers;
//   - core/permits: what replicas take that name a limit, over all instances;
//   - core/watch, core/watchers: who watches the platform, and the watch;
//   - core/listing: replicas and instances that the platform lists;
//   - core/exchange: what instances tell each other;
//   - core/ownership, core/owned, core/orderclient: who orders an engine, its orders,
//     and orders asked of other owners;
//   - core/placement: which models are loaded where;
//   - core/shutdown: the planned stop;
//   - core/own/...: what only the product's own environment runs.
//
// Invariants:
//   - every Arrived is followed by exactly one of Finish, or a Dispatch whose
//     Completed ends the call, or CallerGone;
//   - a call that may not be repeated is dispatched again only while no earlier
//     attempt can have run;
//   - the configuration in force only moves to higher revisions;
//   - no order is sent whose memory is not booked.
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
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/notice"
	"github.com/birchdrift/birchdrift/core/orderclient"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/ownership"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/quarantine"
	"github.com/birchdrift/birchdrift/core/retrybudget"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/shutdown"
	"github.com/birchdrift/birchdrift/core/step"
)

// A Machine is the state of one entry instance.
type Machine struct {
	state      shared.State
	calls      *calls.Table
	budget     *retrybudget.Budget
	quarantine *quarantine.Tracker
	notices    *notice.Tracker
	permits    *permits.Permits
	forwarding *forwarding.Forwarder
	listing    *listing.List
	exchanges  *exchange.Exchanges
	orders     orderParts
	stop       *shutdown.Controller
	env        environment
}

// An environment is what differs between the environments that an instance runs
// in. It is chosen once, by New.
type environment struct {
	// Of platform and own one is nil.
	platform *platformParts
	own      *ownParts

	// handle takes in an event that only this environment knows, and reports
	// whether it did.
	handle func(now clock.Instant, ev step.Event) bool
	// tick is periodic work: tickBeforeExchanges before the exchanges, tickLast after.
	tickBeforeExchanges []func(now clock.Instant)
	tickAfterExchanges  []func(now clock.Instant)
	// configInstalled takes over a newer configuration.
	configInstalled func(now clock.Instant, s *config.Snapshot)
	// handleConfigReply and listReplied end watches of the platform.
	handleConfigReply func(now clock.Instant, err error)
	handleListReply   func(now clock.Instant, e listing.Reply)
	// handOver gives back what others can take over, at a planned stop.
	handOver func(now clock.Instant)
	// status fills in what operators see of this environment's modules.
	status func(now clock.Instant, s *Status)
}

// Step takes in one event at now and returns what to do, in order. The slice
// is valid until the next Step.
func (m *Machine) Step(now clock.Instant, ev step.Event) []step.Action {
	m.state.Out.Reset()
	m.handle(now, ev)
	m.tick(now)
	if _, tick := ev.(Tick); tick || m.calls.PoolChanged() {
		m.calls.RetryQueued(now)
	}
	return m.state.Out.Actions()
}

// handle passes an event on to the module that it is for.
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
	case Stop:
		m.stop.Start(now)
	case OptionsChanged:
		m.updateOptions(e)
	case Tick:
	}
}

// handleCall takes in events of calls, and reports whether ev is one. A call of the
// product's own interface is left to the environment.
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
	case permits.Reply:
		m.permits.HandleReply(now, e)
	case permits.RequestReceived:
		m.permits.HandleRequest(now, e)
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

// handleOrder takes in events of engines and of who orders them, and reports
// whether ev is one.
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

// updateOptions takes over tunables that may change while the machine runs. What its
// driver was built with stays.
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

// tick begins whatever periodic work is due.
func (m *Machine) tick(now clock.Instant) {
	m.forwarding.Expire(now)
	m.listing.Tick(now)
	m.quarantine.Tick(now)
	m.notices.Tick(now)
	m.permits.Tick(now)
	for _, tick := range m.env.tickBeforeExchanges {
		tick(now)
	}
	m.exchanges.Tick(now)
	for _, tick := range m.env.tickAfterExchanges {
		tick(now)
	}
	m.stop.Tick(now)
}

// The longest times between two steps. Expiries of waiting calls, and tasks that
// moved to this instance, are noticed within them.
const (
	wakeInterval     = 250 * time.Millisecond
	wakeIntervalBusy = 50 * time.Millisecond // while calls are in progress
	// wakeIntervalOrder is the same while requests wait at an engine: adapters take
	// some milliseconds.
	wakeIntervalOrder = 4 * time.Millisecond
)

// NextWake returns how long the driver may wait before the next Tick.
func (m *Machine) NextWake() time.Duration {
	if m.orders.owned.Waiting() {
		return wakeIntervalOrder
	}
	if m.calls.QueueLen() > 0 || m.permits.Waiting() || m.stop.Started() || m.calls.Len() > 0 && m.state.Config.HasForwards() {
		return wakeIntervalBusy
	}
	return wakeInterval
}

// Stopping reports whether a planned stop has begun.
func (m *Machine) Stopping() bool { return m.stop.Started() }

// Package instance provides the whole behaviour of one entry instance as a
// deterministic state machine.
//
// The idea: Step takes the present time and one event and returns the actions
// that its driver should carry out. The machine reads no clock, starts no
// goroutine and does no input or output; its random draws come from a seed. A
// process, a test or a replay drives it alike, and the same events at the same
// times under the same seed yield the same actions.
//
// Invariants:
//   - every Arrive is followed by exactly one of Finish, or a Dispatch whose
//     Done ends the call, or Gone;
//   - a call that may not be repeated is dispatched again only while no earlier
//     attempt can have run;
//   - the configuration in force only moves to higher revisions;
//   - no order is sent whose memory is not booked.
//
// The machine is not safe for concurrent use: one goroutine owns it.
package instance

import (
	"math/rand/v2"
	"time"

	"github.com/birchdrift/birchdrift/core/backoff"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/lease"
	"github.com/birchdrift/birchdrift/core/limit"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/route"
	"github.com/birchdrift/birchdrift/core/share"
	"github.com/birchdrift/birchdrift/core/step"
)

// prefixMemory is how many prefix blocks an instance remembers.
const prefixMemory = 8192

// Bounds of the spacing of platform calls after failures.
const (
	platformBase = 200 * time.Millisecond
	platformMax  = 5 * time.Second
)

// A Machine is the state of one entry instance.
type Machine struct {
	self    member.Identity
	opt     option.Options
	rng     *rand.Rand
	now     clock.Instant
	out     *step.Output
	cfg     *config.Snapshot
	encoded []byte // of cfg, for peers

	pool    *pool.Pool
	chooser *route.Chooser
	members *member.Table
	store   *share.Store
	meter   *demand.Meter
	board   *demand.Board

	calls   map[CallID]*call
	line    []*call         // calls that wait
	drained uint64          // pool.Touched at the last drain
	able    []*pool.Replica // what candidates returned last
	budget  limit.Budget

	forwards  *route.Forwards
	retries   map[string]*limit.Window // of forwarded calls, by service
	expireDue clock.Instant            // when to look for calls whose time is over
	recent    *decisions

	platform  platformView
	exchanges exchangeView
	readers   map[string]*reader
	scanDue   clock.Instant // when to look for reads that are due
	planner   plannerView
	lease     lease.Lease
	homes     homeView

	registry  registryView
	duties    dutyView
	engines   map[string]*ownedEngine // that this instance orders
	asks      map[askKey]*ask         // orders asked for and not settled
	refused   map[askKey]clock.Instant
	placement placementView
	flow      *demand.Flow // of forwarded calls

	stop stopView
}

// New returns the machine of an instance that knows nothing yet.
func New(self member.Identity, opt option.Options, seed uint64) *Machine {
	return &Machine{
		self:      self,
		opt:       opt,
		out:       &step.Output{},
		rng:       rand.New(rand.NewPCG(seed, self.Boot)),
		pool:      pool.New(),
		chooser:   route.NewChooser(prefixMemory),
		members:   member.New(self.Name, self.Zone),
		store:     share.NewStore(),
		meter:     demand.NewMeter(),
		board:     demand.NewBoard(),
		calls:     map[CallID]*call{},
		budget:    limit.NewBudget(),
		recent:    newDecisions(),
		forwards:  route.NewForwards(),
		retries:   map[string]*limit.Window{},
		registry:  newRegistryView(),
		engines:   map[string]*ownedEngine{},
		asks:      map[askKey]*ask{},
		refused:   map[askKey]clock.Instant{},
		placement: newPlacementView(),
		flow:      demand.NewFlow(),
		platform:  newPlatformView(),
		exchanges: newExchangeView(),
		readers:   map[string]*reader{},
		planner:   newPlannerView(),
		lease:     lease.New(opt.LeaseTerm),
	}
}

// Step takes in one event at now and returns what to do, in order. The slice
// is valid until the next Step.
func (m *Machine) Step(now clock.Instant, ev Event) []Action {
	m.now = now
	m.out.Reset()
	m.handle(ev)
	m.runDue()
	if _, tick := ev.(Tick); tick || m.pool.Touched() != m.drained {
		m.drain()
	}
	return m.out.Actions()
}

func (m *Machine) handle(ev Event) {
	switch e := ev.(type) {
	case Arrive:
		m.arrive(e.Call)
	case First:
		m.first(e)
	case Done:
		m.done(e)
	case Broke:
		m.broke(e)
	case Gone:
		m.gone(e)
	case ClaimReply:
		m.claimReply(e)
	case ConfigReply:
		m.configReply(e)
	case ListReply:
		m.listReply(e)
	case WatchReply:
		m.watchReply(e)
	case RegistryReply:
		m.registryReply(e)
	case EnrolReply:
		m.enrolReply(e)
	case KeepReply:
		m.keepReply(e)
	case WriteReply:
		m.writeReply(e)
	case EngineOrderReply:
		m.engineOrderReply(e)
	case EngineStateReply:
		m.engineStateReply(e)
	case LoadReply:
		m.loadReply(e)
	case OrderAsked:
		m.orderAsked(e)
	case AskOrderReply:
		m.askOrderReply(e)
	case LeaseReply:
		m.leaseReply(e)
	case IntentsReply:
		m.intentsReply(e)
	case StateReply:
		m.stateReply(e)
	case OrderReply:
		m.orderReply(e)
	case ExchangeReply:
		m.exchangeReply(e)
	case ExchangeAsked:
		m.exchangeAsked(e)
	case Stop:
		m.beginStop()
	case Retune:
		m.retune(e)
	case Tick:
	}
}

// retune takes over tunables that may change while the machine runs. What its
// driver was built with stays.
func (m *Machine) retune(e Retune) {
	disable := m.opt.Disable
	if e.Options.RetryWindow != m.opt.RetryWindow {
		clear(m.retries)
	}
	m.opt = e.Options
	m.opt.Disable = disable
	m.self.Seeds = e.Seeds
}

// runDue begins whatever periodic work is due.
func (m *Machine) runDue() {
	m.expireForwards()
	m.vanishDue()
	m.registryDue()
	m.enginesDue()
	m.placementDue()
	m.meshDue()
	m.watchDue()
	m.exchangeDue()
	m.readDue()
	m.leaseDue()
	m.planDue()
	m.stopDue()
}

// wakeEvery bounds how long the machine may go without a Step: expiries of
// waiting calls and duties that moved here are noticed within it.
const (
	wakeEvery     = 250 * time.Millisecond
	wakeEveryBusy = 50 * time.Millisecond
	// wakeEveryOrder is the same while adapters, which take some milliseconds,
	// are on their way.
	wakeEveryOrder = 4 * time.Millisecond
)

// NextWake returns how long the driver may wait before the next Tick.
func (m *Machine) NextWake() time.Duration {
	if m.adaptersComing() {
		return wakeEveryOrder
	}
	if len(m.line) > 0 || m.stop.begun || len(m.calls) > 0 && m.cfg.HasForwards() {
		return wakeEveryBusy
	}
	return wakeEvery
}

// A platformView is what the machine knows of the platform's service.
type platformView struct {
	config  step.Job
	list    step.Job
	backoff backoff.Backoff
	version uint64 // of the instance list
	downAt  clock.Instant
	down    bool
}

func newPlatformView() platformView {
	return platformView{backoff: backoff.New(platformBase, platformMax)}
}

// platformSays notes whether a platform call was answered.
func (m *Machine) platformSays(err error) {
	p := &m.platform
	if err == nil {
		if p.down {
			m.out.Log(logevent.PlatformBack, "after", m.now.Since(p.downAt).String())
		}
		p.down = false
		p.backoff = p.backoff.WithSuccess()
		return
	}
	if !p.down {
		p.downAt = m.now
		m.out.Log(logevent.PlatformDown, "error", err.Error())
	}
	p.down = true
	p.backoff = p.backoff.WithFailure()
}

// Package forwarding serves forwarded calls: those that a route of the
// configuration sends unchanged to the replicas of a service.
//
// A call is admitted by its route. It is sent to the replica that is expected to
// answer it first (core/route), or waits for its adapter or model. After a failed
// attempt it is retried at another replica if that is safe and the retry budget
// allows it. It ends within its time limit, with an answer that says whether it
// ran.
//
// The package owns the state that forwarded calls have in addition to that of all
// calls (core/calls), and the measured prefill speeds. It relies on
// core/orderclient for orders and reports missed models to core/placement.
package forwarding

import (
	"fmt"
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/orderclient"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/policy"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/quarantine"
	"github.com/birchdrift/birchdrift/core/rejectbudget"
	"github.com/birchdrift/birchdrift/core/retrybudget"
	"github.com/birchdrift/birchdrift/core/route"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/streams"
	"github.com/birchdrift/birchdrift/core/watchers"
)

// Deps holds what a Forwarder needs from other packages.
type Deps struct {
	shared.State

	Calls  *calls.Table
	Budget *retrybudget.Budget
	Asks   *orderclient.Client
	Roster *watchers.Roster
	Demand *demand.Tracker
	// Quarantine tracks which requests are in quarantine.
	Quarantine *quarantine.Tracker
	Permits    *permits.Permits
	// Streams tracks which version of replicas' software began which stream.
	Streams *streams.Tracker
	Links   *links.Tracker
	// Rejections limits the requests that replicas must reject.
	Rejections *rejectbudget.Budget
	// Used records that a call uses an item of an engine.
	Used func(now clock.Instant, engine, item string)
	// ListAge returns the age of this instance's copy of the platform's list.
	ListAge func(now clock.Instant) time.Duration
	// Missed reports a miss: a call that found its model on no engine.
	Missed func(now clock.Instant)
}

// A Forwarder serves forwarded calls.
type Forwarder struct {
	Deps
	handlers     calls.Handlers
	router       *route.Router
	probeBenefit probeBenefit  // whether calls probe engines for their load
	nextExpire   clock.Instant // when to check for expired calls
	// nextSilenceCheck is when to check for silent attempts on lost links.
	nextSilenceCheck clock.Instant
}

// A state is the state of a forwarded call in addition to that of every call.
type state struct {
	route          *config.Forward
	service        config.Service // the zero value until a call that takes up a stream knows it
	request        modelRequest
	traits         []crash.Trait // of its request at its service
	takeUp         takeUp
	origin         streamOrigin // of the stream, once it has begun
	progress       progress
	lastAttempt    lastAttempt
	orderWaits     int  // number of orders that it waited for
	missReported   bool // it found its model on no engine, and that was reported
	permitRequests int  // number of permits that it requested
	denials        []denial
	failed         failure       // the last failed attempt
	brokenAt       clock.Instant // when the last attempt failed whose answer had begun; zero: none did
	charge         retryCharge   // of its next attempt
	probe          probe
	held           bool // it waits for others that are suspected for the same reason
}

// A modelRequest describes the model that a forwarded call asks for. It is the zero
// value for calls to a plain service.
type modelRequest struct {
	model   string
	adapter string
	chain   route.HashChain
	size    route.ModelSize
}

// A progress sums up the results of the attempts so far.
type progress struct {
	tried         []pool.Incarnation // replicas that failed the call
	brokeOff      []pool.Incarnation // replicas that broke the stream off; they may go on with it if no other can
	possibleRuns  int                // attempts that may have run
	refusals      int                // replicas that reported that they did not run the call
	unsent        int                // replicas that the call could not be sent to
	answerStarted bool               // the head of an answer was passed on
	errorResponse bool               // the replica's own error response can be passed on
	lastEvent     int                // number of the last event that the caller has, 0 if none
}

// A lastAttempt is the state of the last attempt.
type lastAttempt struct {
	uncachedTokens   int           // prompt tokens that the engine is assumed to read
	onlyPrefill      bool          // the engine was reading no other prompt
	firstEventAt     clock.Instant // when the first event arrived
	replicaRestarted bool          // the replica has restarted since
	relay            string        // the instance that relays it, "" if this one sends it
	origin           streamOrigin  // of the stream, if the attempt begins it
}

// New returns a forwarder without any calls.
func New(deps Deps) *Forwarder {
	f := &Forwarder{Deps: deps, router: route.NewRouter()}
	f.handlers = calls.Handlers{
		FindReplica:   f.findReplica,
		AnswerBegan:   f.answerBegan,
		AttemptFailed: f.attemptFailed,
		Served:        f.served,
		Left:          f.callerLeft,
		Cancel:        func(*calls.Call, *pool.Replica) {}, // closing the connection suffices
		NotRun:        func(*calls.Call) {},
		LeftQueue:     func(*calls.Call) {},
	}
	return f
}

// stateOf returns the state of a forwarded call.
func stateOf(c *calls.Call) *state { return c.State.(*state) }

// Arrive admits a new call or refuses it. refusing reports whether this instance is
// stopping and admits no more calls.
func (f *Forwarder) Arrive(now clock.Instant, r calls.Request, refusing bool) {
	c := &calls.Call{Request: r, Kind: &f.handlers, Arrived: now, Phase: calls.Waiting}
	if refusal, ok := f.admit(now, c, refusing); !ok {
		f.Calls.RefuseNew(c, refusal)
		return
	}
	f.Calls.Add(c)
	f.findReplica(now, c)
}

// admit fills in the call from the configuration, or returns why it is refused.
// Nothing has been sent to a replica at this point.
func (f *Forwarder) admit(now clock.Instant, c *calls.Call, refusing bool) (code.Refusal, bool) {
	if refusal, ok := calls.CheckAdmission(refusing, f.Config.Loaded()); !ok {
		return refusal, false
	}
	if len(c.Forward.Ignored) > 0 {
		f.Out.Log(logevent.HeaderIgnored, "call", c.Forward.Name, "headers", c.Forward.Ignored)
	}
	rule, ok := f.Config.Forward(c.Forward.Host, c.Path)
	if !ok {
		return calls.NotRunRefusal(code.UnknownService, fmt.Sprintf("no forward for %s%s", c.Forward.Host, c.Path), 0), false
	}
	name := rule.PickService(f.Rand.Float64())
	service, ok := f.Config.Service(name)
	if !ok || service.Announced == nil {
		return calls.NotRunRefusal(code.NoReplica, fmt.Sprintf("no service %q", name), calls.MinRetryAfter), false
	}
	limit := rule.Timeout
	if d := c.Forward.Deadline; d > 0 && d < limit {
		limit = d
	}
	c.Service = name
	c.Target = rule.Target
	c.Expires = now.Add(limit)
	c.Priority = rankPriority(rule.Priority)
	c.History = attempt.New(rule.MayRepeat() && c.Replayable)
	s := &state{route: rule, progress: progress{lastEvent: c.Forward.LastEvent}, takeUp: newTakeUp(c, rule)}
	c.State = s
	if s.takeUp.wanted {
		return code.Refusal{}, true // the service that began the stream serves it, see takeUpAt
	}
	f.assign(c, service)
	if left := f.Quarantine.Remaining(now, s.traits); left > 0 {
		return quarantinedRefusal(left), false
	}
	f.recordArrival(now, c)
	return code.Refusal{}, true
}

// assign makes a service the one that serves the call, and fills in all state of the call that
// depends on its service.
func (f *Forwarder) assign(c *calls.Call, service config.Service) {
	s := stateOf(c)
	c.Service = service.Name
	s.service = service
	s.traits = c.Forward.Identity().Traits(service.Name)
	c.Item = ""
	s.request = modelRequest{}
	if service.Announced.Engine != nil && c.Forward.Model != "" {
		f.setModel(c, s)
	}
}

// recordArrival counts the call in the retry budget of its service and in the demand for its
// model.
func (f *Forwarder) recordArrival(now clock.Instant, c *calls.Call) {
	f.Budget.RecordCall(now, c.Service)
	if c.Item != "" {
		s := stateOf(c)
		f.Demand.RecordCall(now, s.request.model, f.estimateWork(c, s))
	}
}

// setModel fills in the model request of the call.
func (f *Forwarder) setModel(c *calls.Call, s *state) {
	c.Item = pool.ItemName(c.Forward.Model, c.Forward.Adapter)
	facts, _ := s.service.Announced.Engine.Model(c.Forward.Model) // a model that is not configured has size 0
	s.request = modelRequest{
		model:   c.Forward.Model,
		adapter: c.Forward.Adapter,
		chain:   route.NewHashChain(c.Item, c.Forward.Parts),
		size:    route.ModelSize{Model: c.Forward.Model, MB: facts.MemoryMB},
	}
}

// priorityPerRank is the difference in priority between adjacent ranks of routes: ten
// ranks cover the range of priorities.
const priorityPerRank = 10

// rankPriority converts a route's rank, of which 0 is the most urgent, into a priority
// on the scale of policies.
func rankPriority(rank int) int { return max(0, policy.MaxPriority-priorityPerRank*(rank+1)) }

const (
	// decodeTime is the engine time for one token of an answer while the engine serves
	// other calls too.
	decodeTime = 100 * time.Microsecond
	// uncachedShare is the share of a prompt that is assumed not to be cached.
	uncachedShare = 0.6
)

// estimateWork returns the estimated engine time for a call.
func (f *Forwarder) estimateWork(c *calls.Call, s *state) time.Duration {
	answerTokens := c.Forward.LengthHint
	if answerTokens == 0 {
		answerTokens = c.MaxTokens
	}
	prefill := time.Duration(uncachedShare * float64(c.PromptTokens) * float64(f.router.PrefillTokenTime(s.request.size)))
	return prefill + time.Duration(answerTokens)*decodeTime
}

// OrderDone handles the end of the order that a call waited for: the call chooses its
// replica again.
func (f *Forwarder) OrderDone(now clock.Instant, id calls.ID) {
	if c := f.Calls.Get(id); c != nil && c.Phase == calls.AwaitingOrder {
		c.Phase = calls.Waiting
		f.findReplica(now, c)
	}
}

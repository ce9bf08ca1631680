// Package forwarding serves forwarded calls: those that a route of the
// configuration sends to the replicas of a service as they came.
//
// A call is admitted by its route, sent to the replica that should answer it
// first (core/route), or waits for its adapter or model; after an attempt that
// failed it is sent to another replica as far as that is harmless and the retry
// budget allows; and it ends in time, with an answer that says whether it ran.
//
// The package owns what a forwarded call has beside what every call has
// (core/calls), and what was learnt of how fast engines read prompts. It relies
// on core/orderclient for orders and on core/placement to hear of missed models.
package forwarding

import (
	"fmt"
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/orderclient"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/policy"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/quarantine"
	"github.com/birchdrift/birchdrift/core/retrybudget"
	"github.com/birchdrift/birchdrift/core/route"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/watchers"
)

// Deps are what forwarding needs of the other modules.
type Deps struct {
	shared.State

	Calls  *calls.Table
	Budget *retrybudget.Budget
	Asks   *orderclient.Client
	Roster *watchers.Roster
	Demand *demand.Tracker
	// Quarantine knows which requests are not to be run.
	Quarantine *quarantine.Tracker
	Permits    *permits.Permits
	// Used notes that a call uses an item of an engine.
	Used func(now clock.Instant, engine, item string)
	// ListAge returns how old the platform's list is here.
	ListAge func(now clock.Instant) time.Duration
	// Missed notes that a call found its model nowhere.
	Missed func(now clock.Instant)
}

// A Forwarder serves forwarded calls.
type Forwarder struct {
	Deps
	kind         calls.Handlers
	router       *route.Router
	probeBenefit probeBenefit  // whether calls ask engines how busy they are
	nextExpire   clock.Instant // when to look for calls whose time is over
}

// A state is what a forwarded call has beside what every call has.
type state struct {
	route          *config.Forward
	service        config.Service
	request        modelRequest
	progress       progress
	lastAttempt    lastAttempt
	orderWaits     int  // orders that it waited for
	missReported   bool // it found its model on no engine
	permitRequests int  // that it asked for
	denials        []denial
	pendingRetry   *failure // for which it waits for a permit to be repeated; nil: it does not
	probe          probe
	// notBefore is when it may be sent, if replicas ended under its request; zero: that
	// was not looked at yet.
	notBefore clock.Instant
}

// A modelRequest is what a forwarded call asks of an engine; the zero value is that of
// a call to a plain service.
type modelRequest struct {
	model   string
	adapter string
	chain   route.HashChain
	size    route.ModelSize
}

// A progress is what came of the attempts so far.
type progress struct {
	tried         []pool.Incarnation // replicas that failed it
	possibleRuns  int                // attempts that may have run
	refusals      int                // replicas that said they did not run it
	unsent        int                // replicas that it could not be sent to
	answerStarted bool               // the head of an answer was passed on
	relayable     bool               // the replica's own failing answer can be passed on
}

// A lastAttempt is what was expected of the last attempt.
type lastAttempt struct {
	uncachedTokens   int           // prompt tokens believed to be read for it
	onlyPrefill      bool          // no other prompt was being read there
	firstEventAt     clock.Instant // when the first event came
	replicaRestarted bool          // the replica has started again since
}

// New returns a forwarder that has seen no call.
func New(n Deps) *Forwarder {
	f := &Forwarder{Deps: n, router: route.NewRouter()}
	f.kind = calls.Handlers{
		FindReplica:   f.findReplica,
		AnswerBegan:   f.answerBegan,
		AttemptFailed: f.attemptFailed,
		Served:        f.served,
		Left:          f.callerLeft,
		Cancel:        func(*calls.Call, *pool.Replica) {}, // closing the connection is all there is
		NotRun:        func(*calls.Call) {},
		LeftQueue:     func(*calls.Call) {},
	}
	return f
}

func stateOf(c *calls.Call) *state { return c.State.(*state) }

// Arrive takes a call in, or refuses it. refusing says that this instance takes
// no more calls since it stops.
func (f *Forwarder) Arrive(now clock.Instant, r calls.Request, refusing bool) {
	c := &calls.Call{Request: r, Kind: &f.kind, Arrived: now, Phase: calls.Waiting}
	if refusal, ok := f.admit(now, c, refusing); !ok {
		f.Calls.RefuseNew(c, refusal)
		return
	}
	f.Calls.Add(c)
	f.findReplica(now, c)
}

// admit fills in what the configuration says of the call, or returns why it is
// refused. Nothing has been sent anywhere at this point.
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
	if left := f.Quarantine.Remaining(now, c.Forward.Fingerprint); left > 0 {
		return quarantinedRefusal(left), false
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
	s := &state{route: rule, service: service}
	c.State = s
	if service.Announced.Engine != nil && c.Forward.Model != "" {
		f.setModel(c, s)
	}
	f.Budget.RecordCall(now, name)
	if c.Item != "" {
		f.Demand.RecordCall(now, s.request.model, f.estimateWork(c, s))
	}
	return code.Refusal{}, true
}

// setModel fills in what the call asks of an engine.
func (f *Forwarder) setModel(c *calls.Call, s *state) {
	c.Item = pool.ItemName(c.Forward.Model, c.Forward.Adapter)
	facts, _ := s.service.Announced.Engine.Model(c.Forward.Model) // one that is not configured weighs nothing
	s.request = modelRequest{
		model:   c.Forward.Model,
		adapter: c.Forward.Adapter,
		chain:   route.NewHashChain(c.Item, c.Forward.Parts),
		size:    route.ModelSize{Model: c.Forward.Model, MB: facts.MemoryMB},
	}
}

// priorityPerRank is the difference in priority between two ranks of routes: ten
// ranks fill the range of priorities.
const priorityPerRank = 10

// rankPriority turns a route's rank, 0 first, into a policy's priority.
func rankPriority(rank int) int { return max(0, policy.MaxPriority-priorityPerRank*(rank+1)) }

const (
	// decodeTime is the engine time that one token of an answer takes beside
	// others.
	decodeTime = 100 * time.Microsecond
	// uncachedShare is the part of a prompt that is believed to be read anew.
	uncachedShare = 0.6
)

// estimateWork returns the engine time that a call is believed to take.
func (f *Forwarder) estimateWork(c *calls.Call, s *state) time.Duration {
	out := c.Forward.LengthHint
	if out == 0 {
		out = c.MaxTokens
	}
	read := time.Duration(uncachedShare * float64(c.PromptTokens) * float64(f.router.PrefillTokenTime(s.request.size)))
	return read + time.Duration(out)*decodeTime
}

// OrderDone has a call that waited for an order look for its replica again.
func (f *Forwarder) OrderDone(now clock.Instant, id calls.ID) {
	if c := f.Calls.Get(id); c != nil && c.Phase == calls.AwaitingOrder {
		c.Phase = calls.Waiting
		f.findReplica(now, c)
	}
}

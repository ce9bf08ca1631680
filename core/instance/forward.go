package instance

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/limit"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/policy"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/route"
)

// Forwarded calls: how one is taken in, finds its replica, is repeated
// elsewhere, and ends in time.

// A forwardState is what the machine keeps of one forwarded call beside what
// every call has.
type forwardState struct {
	rule      *config.Forward
	tried     []string // replicas that failed it
	ran       int      // attempts that may have run
	refusals  int      // replicas that said they did not run it
	unsent    int      // replicas that it could not be sent to
	delivered int      // number of the last event that the caller has
	prefill   time.Duration
	firstAt   clock.Instant // when the first event of the last attempt came
	unread    int           // prompt tokens believed to be read for it
	alone     bool          // no other prompt was being read where it was sent
	chain     route.Chain
	weight    route.Weight
	fetches   int  // orders that it waited for
	missed    bool // it found its model on no engine
	probe     probeState
	opened    bool // the head of an answer was passed on
	relayable bool // the replica's own failing answer can be passed on
}

// rankPriority turns a forward's rank, 0 first, into a policy's priority.
func rankPriority(rank int) int { return max(0, policy.MaxPriority-10*(rank+1)) }

// admitForward fills in what the configuration says of a forwarded call, or
// returns why it is refused.
func (m *Machine) admitForward(c *call) (code.Refusal, bool) {
	rule, ok := m.cfg.Forward(c.Forward.Host, c.Path)
	if !ok {
		return notRun(code.UnknownService, fmt.Sprintf("no forward for %s%s", c.Forward.Host, c.Path), 0), false
	}
	name := rule.Pick(m.rng.Float64())
	service, ok := m.cfg.Service(name)
	if !ok || service.Announced == nil {
		return notRun(code.NoReplica, fmt.Sprintf("no service %q", name), leastRetryAfter), false
	}
	limit := rule.Timeout
	if d := c.Forward.Deadline; d > 0 && d < limit {
		limit = d
	}
	service.Target = config.Target{FirstToken: rule.Target, BetweenTokens: rule.Gap}
	c.service = service
	c.Service = name
	c.expires = m.now.Add(limit)
	c.verdict = policy.Verdict{Priority: rankPriority(rule.Priority), Wait: max(0, limit-rule.Target)}
	c.history = attempt.New(rule.MayRepeat() && c.Replayable)
	c.forward = &forwardState{rule: rule}
	if service.Announced.Engine != nil && c.Forward.Model != "" {
		c.item = pool.AdapterItem(c.Forward.Model, c.Forward.Adapter)
		c.version = config.Version{Name: c.Forward.Model, Model: c.Forward.Model, Adapter: c.Forward.Adapter}
		c.forward.chain = route.NewChain(c.item, c.Forward.Parts)
		facts, _ := service.Announced.Engine.Model(c.Forward.Model)
		c.forward.weight = route.Weight{Model: c.Forward.Model, MB: facts.MemoryMB}
	}
	m.retryWindow(name).Call(m.now)
	if c.item != "" {
		m.flow.Call(m.now, c.version.Model, m.workOf(c))
	}
	return code.Refusal{}, true
}

// decodeTime is the engine time that one token of an answer takes, beside others.
const decodeTime = 100 * time.Microsecond

// freshShare is the part of a prompt that is believed to be read anew.
const freshShare = 0.6

// workOf returns the engine time that a call is believed to take.
func (m *Machine) workOf(c *call) time.Duration {
	out := c.Forward.LengthHint
	if out == 0 {
		out = c.MaxTokens
	}
	read := time.Duration(freshShare * float64(c.PromptTokens) * float64(m.forwards.TokenTime(c.forward.weight)))
	return read + time.Duration(out)*decodeTime
}

// retryWindow returns the count of a service's calls and repeats.
func (m *Machine) retryWindow(service string) *limit.Window {
	w := m.retries[service]
	if w == nil {
		w = limit.NewWindow(m.opt.RetryWindow)
		m.retries[service] = w
	}
	return w
}

// mayRepeat spends one repeat of the service's budget, of which this instance
// has its share: a part of its own calls, and of the slack what is left to each
// if all instances that it knows of take as much.
func (m *Machine) mayRepeat(service string) bool {
	fleet := max(leastFleet, m.members.Size())
	return m.retryWindow(service).Repeat(m.now, m.opt.RetryRatio, m.opt.RetrySlack/float64(fleet))
}

// leastFleet is how many instances at least share the slack of the retry
// budget, so that instances that do not know each other yet stay within it.
const leastFleet = 10

// placeForward sends the call to the best replica, or has what it needs loaded
// there first, or lets it wait for its model, or refuses it.
func (m *Machine) placeForward(c *call) {
	f := c.forward
	query := route.ForwardQuery{
		Zone:   m.self.Zone,
		Model:  c.forward.weight,
		Tokens: c.PromptTokens,
		Chain:  f.chain,
		Tried:  f.tried,
		Salt:   uint64(c.ID) ^ m.self.Boot,
		Doubt:  m.zoneDoubt,
	}
	if c.item != "" {
		query.Extra = func(r *pool.Replica) (time.Duration, bool) { return m.itemCost(c, r) }
	}
	candidates := m.pool.Serving(c.service.Name)
	if m.probe(c, query, candidates) {
		return
	}
	best, ok := m.forwards.Choose(m.now, query, candidates)
	switch {
	case !ok:
		m.forwardAbsent(c)
	case c.item != "" && best.Replica.Phase(c.item) != pool.Ready:
		m.fetch(c, best.Replica)
	default:
		m.dispatchForward(c, best)
	}
}

// What an adapter that is not on an engine costs a call that goes there.
const (
	fetchCost = 25 * time.Millisecond // asking, ordering, loading
	evictCost = 25 * time.Millisecond // beyond that, where another must make way
	maxFetch  = 3                     // orders that one call may wait for
)

// itemCost returns what it takes until the engine can serve the call's model or
// adapter; ok is false if it cannot be made to.
func (m *Machine) itemCost(c *call, r *pool.Replica) (cost time.Duration, ok bool) {
	if r.Refusing(m.now, c.item) || r.Phase(c.version.Model) != pool.Ready {
		return 0, false
	}
	phase := r.Phase(c.item)
	if phase == pool.Ready {
		return 0, true
	}
	if phase == pool.Unloading || c.forward.fetches >= maxFetch || !m.mayAsk(c.fetchKey(r)) {
		return 0, false
	}
	cost = fetchCost
	if phase != pool.Loading && r.Adapters() >= c.service.Announced.Engine.AdapterSlots {
		cost += evictCost
	}
	return cost, true
}

func (c *call) fetchKey(r *pool.Replica) askKey {
	return askKey{engine: r.Name, request: orders.Request{Load: true, Model: c.version.Model, Adapter: c.version.Adapter}}
}

// fetch has the call's adapter loaded on an engine.
func (m *Machine) fetch(c *call, r *pool.Replica) {
	if c.phase == waiting {
		m.leaveLine(c)
	}
	c.phase = fetching
	c.forward.fetches++
	m.out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.item, "for", "an order", "engine", r.Name)
	m.askFor(c.fetchKey(r), c)
}

// forwardAbsent deals with a forwarded call that no replica can serve now.
func (m *Machine) forwardAbsent(c *call) {
	switch {
	case c.history.Run() != code.NotRun || c.forward.opened:
		m.endForward(c, Broke{Phase: attempt.MaybeSent, Detail: "no other replica can serve it"})
	case c.item == "":
		m.refuse(c, notRun(code.NoReplica, "no live replica", leastBack))
	case c.forward.refusals > 0:
		m.refuse(c, notRun(code.NoCapacity, "its replicas refused it", leastBack))
	case c.version.Adapter != "" && m.modelServed(c):
		m.awaitAdapter(c)
	default:
		m.awaitModel(c)
	}
}

// modelServed reports whether some engine can serve the call's model, though
// not its adapter.
func (m *Machine) modelServed(c *call) bool {
	for _, r := range m.pool.Serving(c.service.Name) {
		if r.Usable() && r.Phase(c.version.Model) == pool.Ready {
			return true
		}
	}
	return false
}

// awaitAdapter deals with a call whose adapter cannot be loaded now where its
// model is: slots come free and owners come back within moments, or not soon.
func (m *Machine) awaitAdapter(c *call) {
	if m.now.Since(c.arrived) < c.service.Target.FirstToken/4 {
		m.wait(c)
		return
	}
	m.refuse(c, notRun(code.NotResident, fmt.Sprintf("%q cannot be loaded where its model is", c.item), m.comeBack(leastBack)))
}

// leastBack is the least time after which a forwarded call is told to come back.
const leastBack = 250 * time.Millisecond

// awaitModel deals with a call whose model no engine can serve now: it waits if
// the model can be there in time, else it is told when to come back.
func (m *Machine) awaitModel(c *call) {
	if !c.forward.missed {
		c.forward.missed = true
		m.flow.Absent(m.now, c.version.Model)
		m.tellPlacer()
	}
	eta := m.modelETA(c)
	spent := m.now.Since(c.arrived)
	if spent+eta < c.service.Target.FirstToken {
		if !m.inLine(c) {
			m.out.Log(logevent.CallWaits, "call", c.Forward.Name, "item", c.item, "for", "its model", "eta_ms", wholeMillis(eta))
		}
		m.wait(c)
		return
	}
	left := c.expires.Since(m.now)
	m.refuse(c, notRun(code.NotResident, fmt.Sprintf("%q is not resident", c.item), min(eta, left/4)))
}

// modelETA estimates when an engine will have the call's model ready.
func (m *Machine) modelETA(c *call) time.Duration {
	facts, ok := c.service.Announced.Engine.Model(c.version.Model)
	if !ok {
		return leastRetryAfter
	}
	best := facts.Load
	for _, r := range m.pool.Serving(c.service.Name) {
		if !r.Usable() {
			continue
		}
		a := r.Announcement()
		switch {
		case slices.Contains(a.InMemory, c.version.Model):
			best = min(best, facts.LoadHost)
		case slices.Contains(a.OnDisk, c.version.Model):
			best = min(best, facts.LoadDisk)
		}
	}
	return best + placeTime
}

// placeTime is what passes before an order for a model that is missed is given.
const placeTime = 600 * time.Millisecond

// dispatchForward sends a forwarded call to the chosen replica.
func (m *Machine) dispatchForward(c *call, e route.ForwardEstimate) {
	if c.phase == waiting {
		m.leaveLine(c)
	}
	f := c.forward
	c.phase = running
	c.history = c.history.WithAttempt()
	c.replica = e.Replica.Name
	c.started = m.now
	c.answered = false
	f.prefill = e.Prefill
	f.unread = c.PromptTokens - e.Cached
	f.alone = e.Ahead == 0 && e.Calls <= aloneCalls
	e.Replica.StartPrefill(m.now, uint64(c.ID), e.Prefill, e.Total())
	if c.item != "" {
		m.forwards.Sent(c.replica, f.chain, m.cacheTokens(c))
		e.Replica.Use(c.item)
		if own := m.engines[c.replica]; own != nil {
			own.Used(m.now, c.item)
		}
	}
	m.out.Log(logevent.CallSent, "call", c.Forward.Name, "service", c.Service, "item", c.item, "attempt", c.history.Attempts,
		"replica", c.replica, "waited_ms", wholeMillis(m.now.Since(c.arrived)), "ahead_ms", wholeMillis(e.Ahead),
		"prefill_ms", wholeMillis(e.Prefill), "other_ms", wholeMillis(e.Other), "cached", e.Cached, "calls_there", e.Calls,
		"announced_ago_ms", wholeMillis(m.now.Since(e.Replica.AnnouncedAt())), "revision", m.cfg.Revision())
	m.out.Do(m.forwardAction(c, e.Replica))
}

// wholeMillis is a duration in logs.
func wholeMillis(d time.Duration) int64 { return d.Milliseconds() }

// aloneCalls is how many calls may run at an engine for its reading speed to be
// learnt from one more.
const aloneCalls = 4

// cacheTokens returns the prompt tokens that an engine of the call's service is
// believed to keep.
func (m *Machine) cacheTokens(c *call) int {
	return c.service.Announced.Engine.CacheTokens * 3 / 4
}

func (m *Machine) forwardAction(c *call, r *pool.Replica) Dispatch {
	f := c.forward
	left := time.Duration(0)
	if c.Forward.Deadline > 0 {
		left = max(time.Millisecond, c.expires.Since(m.now))
	}
	priority := -1
	if c.item != "" {
		priority = min(f.rule.Priority, maxRank)
	}
	return Dispatch{
		ID:         c.ID,
		Attempt:    c.history.Attempts,
		Replica:    r.Name,
		Address:    r.Address,
		Zone:       r.Zone,
		Plain:      c.item == "",
		Model:      c.version.Model,
		Adapter:    c.version.Adapter,
		Repeatable: c.history.Repeatable,
		Stall:      m.opt.Stall,
		Forward: &ForwardAttempt{
			Left:      left,
			Priority:  priority,
			Stream:    f.rule.Kind == config.Stream,
			Resumable: f.rule.Kind == config.Stream && f.rule.Resumable,
		},
	}
}

// maxRank is the least urgent rank that a replica is told.
const maxRank = 9

// brokeForward decides what follows an attempt of a forwarded call that did not
// come to its proper end.
func (m *Machine) brokeForward(c *call, e Broke) {
	f := c.forward
	m.blameForward(c, e)
	c.history = c.history.WithBroken(e.Phase)
	f.relayable = e.Own
	f.delivered = max(f.delivered, e.Delivered)
	f.opened = f.opened || e.Delivered > 0
	former := c.replica
	f.tried = append(f.tried, former)
	c.replica = ""
	switch e.Phase {
	case attempt.NotSent:
		// It counts as down for a while, and may be tried again after that.
		f.tried = f.tried[:len(f.tried)-1]
		f.unsent++
	case attempt.Refused:
		f.refusals++
	default:
		f.ran++
	}
	if !m.mayGoOn(c, e) {
		m.endForward(c, e)
		return
	}
	m.out.Log(logevent.CallRetried, "call", c.Forward.Name, "replica", former, "status", e.Status, "detail", e.Detail)
	c.phase = waiting
	c.probeAgain()
	m.placeForward(c)
}

// mayGoOn reports whether a forwarded call may go to another replica, and
// spends the budget for it.
func (m *Machine) mayGoOn(c *call, e Broke) bool {
	f := c.forward
	again := c.history.Repeatable || c.history.Run() == code.NotRun
	if f.opened {
		again = f.rule.Kind == config.Stream && f.rule.Resumable
	}
	if !again || e.Spent || f.ran >= max(1, f.rule.MaxAttempts) || f.refusals >= maxForwardRefusals || f.unsent >= maxUnsent {
		return false
	}
	if m.now.Add(leastLeft).Mono >= c.expires.Mono {
		return false
	}
	// What never left did not arrive anywhere, so it costs no budget.
	return e.Phase == attempt.NotSent || m.mayRepeat(c.service.Name)
}

// Bounds of what a forwarded call follows: refusals, which cost the budget, and
// replicas at which nothing answers.
const (
	maxForwardRefusals = 3
	maxUnsent          = 8
)

// leastLeft is the least time for which an attempt is worth making.
const leastLeft = 20 * time.Millisecond

// endForward gives a forwarded call whose attempts are over its final answer.
func (m *Machine) endForward(c *call, e Broke) {
	run := c.history.Run()
	switch {
	case c.forward.relayable && !c.forward.opened:
		delete(m.calls, c.ID)
		m.out.Log(logevent.CallFailed, "call", c.Forward.Name, "service", c.Service, "code", int(code.UpstreamRefused), "run", string(run), "status", e.Status, "detail", "the replica's own answer")
		m.out.Do(Relay{ID: c.ID})
		m.pool.Touch()
	case c.forward.opened:
		m.refuse(c, code.Refusal{Code: code.StreamCut, Run: run, Detail: e.Detail})
	case run == code.NotRun:
		m.refuse(c, notRun(code.NoCapacity, e.Detail, m.comeBack(0)))
	default:
		m.refuse(c, code.Refusal{Code: code.UpstreamBroke, Run: run, Detail: e.Detail})
	}
}

// blameForward settles the replica's books for a broken attempt.
func (m *Machine) blameForward(c *call, e Broke) {
	r := m.pool.Get(c.replica)
	if r == nil {
		return
	}
	switch {
	case e.Misdirected && e.Incarnation != "" && e.Incarnation != c.replica:
		r.Forget(uint64(c.ID))
		m.pool.Dead(m.now, c.replica)
		m.out.Log(logevent.Leaving, "upstream", c.replica, "source", "another replica has its address", "now", e.Incarnation)
	case e.Misdirected:
		r.Forget(uint64(c.ID))
		m.pool.Drop(c.replica, c.item)
		r.Refused(m.now, c.item)
	case e.Phase == attempt.Refused:
		r.Forget(uint64(c.ID))
		r.Refused(m.now, c.item)
	case e.Phase == attempt.NotSent:
		r.Forget(uint64(c.ID))
		r.SetDown(m.now)
	case e.Own:
		// The replica works; that it failed a call may lie in the call.
		r.End(m.now, uint64(c.ID), c.started, false)
	default:
		wasEjected := r.Ejected(m.now)
		r.End(m.now, uint64(c.ID), c.started, true)
		if r.Ejected(m.now) && !wasEjected {
			m.pool.Touch()
		}
	}
}

// firstForward notes the first event of a forwarded call's answer.
func (m *Machine) firstForward(c *call) {
	c.answered = true
	c.forward.firstAt = m.now
	c.forward.opened = c.forward.rule.Kind == config.Stream
	r := m.pool.Get(c.replica)
	if r == nil {
		return
	}
	r.First(m.now, uint64(c.ID), false)
	if c.item != "" && c.forward.alone {
		m.forwards.Learn(c.forward.weight, c.forward.unread, m.now.Since(c.started))
	}
}

// expireForwards ends the forwarded calls whose time is over: at once, so that
// nobody is held for nothing.
func (m *Machine) expireForwards() {
	if m.now.Before(m.expireDue) {
		return
	}
	m.expireDue = m.now.Add(expireEvery)
	var over []*call
	for _, c := range m.calls {
		if c.forward != nil && !m.now.Before(c.expires) {
			over = append(over, c)
		}
	}
	sort.Slice(over, func(i, j int) bool { return over[i].ID < over[j].ID })
	for _, c := range over {
		m.expire(c)
	}
}

// expireEvery spaces the looks for calls whose time is over.
const expireEvery = 20 * time.Millisecond

func (m *Machine) expire(c *call) {
	if c.phase != running {
		m.refuse(c, notRun(code.TargetMissed, "it waited until its time was over", m.comeBack(0)))
		return
	}
	if r := m.pool.Get(c.replica); r != nil {
		r.Forget(uint64(c.ID))
	}
	c.history = c.history.WithBroken(attempt.MaybeSent)
	num := code.TimedOut
	if c.forward.opened {
		num = code.StreamCut
	}
	m.refuse(c, code.Refusal{Code: num, Run: c.history.Run(), Detail: "the time for which it may be held is over"})
}

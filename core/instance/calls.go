package instance

import (
	"fmt"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/policy"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/route"
)

// A callPhase says where a call stands.
type callPhase int

const (
	claiming callPhase = iota + 1
	waiting
	running
)

// A call is one caller's call in progress.
type call struct {
	Call
	service  config.Service
	version  config.Version
	item     string // adapter or model that must be ready; "" for a plain call
	rate     int    // prefill tokens a second
	load     time.Duration
	caller   string
	verdict  policy.Verdict
	arrived  clock.Instant
	phase    callPhase
	history  attempt.History
	replica  string // while running
	started  clock.Instant
	answered bool // the first piece came
	failedOn string
	claimKey string
	claims   int // claim requests sent
}

// Bounds of what a caller is told.
const (
	leastRetryAfter = time.Second
	resumePause     = 50 * time.Millisecond
	claimTries      = 6
	neutralPriority = 50.0 // the priority at which a call's weight is 1
)

func (m *Machine) arrive(in Call) {
	c := &call{Call: in, arrived: m.now, phase: waiting}
	if refusal, ok := m.admit(c); !ok {
		m.refuseNew(c, refusal)
		return
	}
	m.calls[c.ID] = c
	m.budget = m.budget.WithCall()
	if c.claimKey != "" {
		m.claim(c)
		return
	}
	m.place(c)
}

// admit fills in what the configuration and the policy say of the call, or
// returns why it is refused. Nothing has been sent anywhere at this point.
func (m *Machine) admit(c *call) (code.Refusal, bool) {
	if m.stop.refusing(m.now) {
		return notRun(code.Stopping, "this instance is stopping", leastRetryAfter), false
	}
	if m.cfg == nil {
		return notRun(code.NoConfiguration, "no configuration yet", leastRetryAfter), false
	}
	caller, known := m.cfg.CallerByKey(c.Key)
	if !known {
		return notRun(code.Unauthorized, "no such key", 0), false
	}
	svc, ok := m.cfg.Service(c.Service)
	if !ok || c.Plain != (len(svc.Replicas) > 0) {
		return notRun(code.UnknownService, fmt.Sprintf("no service %q of this kind", c.Service), 0), false
	}
	if !caller.Admits(svc.Name) {
		return notRun(code.Forbidden, fmt.Sprintf("caller %q may not call %q", caller.Name, svc.Name), 0), false
	}
	c.caller = caller.Name
	c.service = svc
	m.attach(c)
	return m.judge(c)
}

// attach picks the version and works out whether the call may be repeated.
func (m *Machine) attach(c *call) {
	repeatable := c.service.Repeatable(c.Path) && !c.NotRepeatable
	if !repeatable && c.IdempotencyKey != "" {
		c.claimKey = claimKey(c.caller, c.service.Name, c.IdempotencyKey)
	}
	c.history = attempt.New(repeatable && c.Replayable)
	if c.Plain {
		return
	}
	c.version = c.service.PickVersion(m.rng.Float64())
	c.item = c.version.Model
	if c.version.Adapter != "" {
		c.item = c.version.Adapter
	}
	if model, ok := m.cfg.Model(c.version.Model); ok {
		c.rate = model.PrefillPerSecond
		c.load = model.Load
	}
}

// judge asks the service's policy about the call.
func (m *Machine) judge(c *call) (code.Refusal, bool) {
	c.verdict = policy.Verdict{Priority: config.DefaultPriority, Wait: m.opt.DefaultWait}
	if program := m.cfg.Policy(c.service.Policy); program != nil {
		verdict, failed := program.Eval(policy.Input{
			Service:       c.service.Name,
			Model:         c.version.Model,
			Caller:        c.caller,
			PromptTokens:  c.PromptTokens,
			MaxTokens:     c.MaxTokens,
			NotRepeatable: !c.history.Repeatable,
			Load:          m.zoneLoad(),
			Hour:          m.now.Wall.UTC().Hour(),
		})
		c.verdict = verdict
		if failed > 0 {
			m.note(NotePolicyFailed, "policy", c.service.Policy, "expressions", failed)
		}
	}
	if c.item != "" {
		weight := float64(c.verdict.Priority) / neutralPriority
		m.meter.Call(m.now, c.item, weight)
		if c.item != c.version.Model {
			m.meter.Call(m.now, c.version.Model, weight)
		}
	}
	if c.verdict.Refuse {
		return notRun(code.RefusedByPolicy, fmt.Sprintf("policy %q", c.service.Policy), leastRetryAfter), false
	}
	return code.Refusal{}, true
}

// zoneLoad returns the share of the zone's sequences in use.
func (m *Machine) zoneLoad() float64 {
	var used, all float64
	for _, r := range m.pool.All() {
		if r.Kind == pool.Engine && r.Zone == m.self.Zone && r.Usable() {
			used += r.Sequences(m.now)
			all += float64(r.Concurrent)
		}
	}
	if all == 0 {
		return 0
	}
	return used / all
}

func notRun(c code.Code, detail string, after time.Duration) code.Refusal {
	return code.Refusal{Code: c, Run: code.NotRun, RetryAfter: after, Detail: detail}
}

func (m *Machine) refuseNew(c *call, r code.Refusal) {
	m.note(NoteCallFailed, "service", c.Service, "code", int(r.Code), "run", string(r.Run))
	m.do(Finish{ID: c.ID, Refusal: r})
}

// allowance returns how long the call may still wait for its first token.
func (m *Machine) allowance(c *call) time.Duration {
	return c.service.Target.FirstToken + c.verdict.Wait - m.now.Since(c.arrived)
}

// late reports whether the call's target has passed already.
func (m *Machine) late(c *call) bool {
	return m.now.Since(c.arrived) > c.service.Target.FirstToken
}

// candidates returns the replicas that can serve the call. The slice is valid
// until the next call of candidates.
func (m *Machine) candidates(c *call) []*pool.Replica {
	if c.Plain {
		return m.pool.Serving(c.service.Name)
	}
	m.able = m.able[:0]
	for _, r := range m.pool.Ready(c.item) {
		// An adapter is through long before its model, which is what an
		// engine that is asked then refuses for; and what has just refused an
		// item answers fastest, so it would draw every call if it counted.
		if r.Phase(c.version.Model) == pool.Ready && !r.Refusing(m.now, c.item) {
			m.able = append(m.able, r)
		}
	}
	return m.able
}

// place sends the call to the best replica, or lets it wait, or refuses it.
func (m *Machine) place(c *call) {
	q := route.Query{
		Zone:         m.self.Zone,
		PromptTokens: c.PromptTokens,
		PrefillRate:  c.rate,
		Prefix:       c.Prefix,
		Exclude:      c.failedOn,
	}
	best, ok := m.chooser.Choose(m.now, q, m.candidates(c))
	switch {
	case !ok:
		m.placeAbsent(c)
	case best.Room:
		m.dispatch(c, best)
	case best.Queue > m.allowance(c):
		m.refuse(c, notRun(code.NoCapacity, "every replica is full", m.comeBack(best.Queue)))
	default:
		m.wait(c)
	}
}

// placeAbsent deals with a call that no usable replica can serve.
func (m *Machine) placeAbsent(c *call) {
	if c.Plain {
		m.refuse(c, notRun(code.NoReplica, "no live replica", m.comeBack(0)))
		return
	}
	m.meter.Unmet(m.now, c.item)
	m.tellPlanner()
	if c.load > m.allowance(c)+m.now.Since(c.arrived) || m.allowance(c) <= 0 {
		m.refuse(c, notRun(code.NotResident, fmt.Sprintf("%q is not resident", c.item), m.comeBack(c.load)))
		return
	}
	m.wait(c)
}

func (m *Machine) comeBack(d time.Duration) time.Duration {
	return max(m.jitter(d), leastRetryAfter)
}

func (m *Machine) wait(c *call) {
	if c.phase == waiting && m.inLine(c) {
		return
	}
	if len(m.line) >= m.opt.MaxWaiting && !m.displace(c) {
		m.refuse(c, notRun(code.NoCapacity, "too many calls wait", m.comeBack(0)))
		return
	}
	c.phase = waiting
	m.line = append(m.line, c)
}

func (m *Machine) inLine(c *call) bool {
	for _, x := range m.line {
		if x == c {
			return true
		}
	}
	return false
}

// displace refuses the least important waiting call if c matters more.
func (m *Machine) displace(c *call) bool {
	var least *call
	for _, x := range m.line {
		if least == nil || x.verdict.Priority < least.verdict.Priority {
			least = x
		}
	}
	if least == nil || least.verdict.Priority >= c.verdict.Priority {
		return false
	}
	m.refuse(least, notRun(code.NoCapacity, "gave way to a more important call", m.comeBack(0)))
	return true
}

// drain tries the waiting calls again, the most important first, then those
// that can still meet their targets, then the oldest. It goes over the line
// only when something changed that could let a call go on, or at a Tick's pace
// for expiries.
func (m *Machine) drain() {
	if len(m.line) == 0 {
		return
	}
	m.drained = m.pool.Touched()
	line := append([]*call(nil), m.line...)
	late := make(map[*call]bool, len(line))
	for _, c := range line {
		late[c] = m.late(c)
	}
	sort.SliceStable(line, func(i, j int) bool {
		a, b := line[i], line[j]
		if a.verdict.Priority != b.verdict.Priority {
			return a.verdict.Priority > b.verdict.Priority
		}
		if late[a] != late[b] {
			return late[b]
		}
		return a.arrived.Before(b.arrived)
	})
	absent := map[string]int{}
	for _, c := range line {
		if c.phase != waiting || m.calls[c.ID] != c {
			continue // displaced meanwhile
		}
		m.place(c)
		if c.phase == waiting && c.item != "" && len(m.candidates(c)) == 0 {
			absent[c.item]++
		}
	}
	for item, n := range absent {
		m.meter.Waiting(item, n)
	}
}

func (m *Machine) leaveLine(c *call) {
	for i, x := range m.line {
		if x == c {
			m.line = append(m.line[:i], m.line[i+1:]...)
			break
		}
	}
	if c.item != "" {
		m.meter.Waiting(c.item, 0)
	}
}

func (m *Machine) dispatch(c *call, e route.Estimate) {
	if c.phase == waiting {
		m.leaveLine(c)
	}
	c.phase = running
	c.history = c.history.WithAttempt()
	c.replica = e.Replica.Name
	c.started = m.now
	if c.item != "" {
		m.chooser.Sent(c.Prefix, e.Replica.Name)
	}
	e.Replica.Start(m.now, uint64(c.ID))
	m.recent.add(m.now, c, e)
	m.do(m.dispatchAction(c, e.Replica, false, 0))
}

func (m *Machine) dispatchAction(c *call, r *pool.Replica, resume bool, after time.Duration) Dispatch {
	return Dispatch{
		ID:         c.ID,
		Attempt:    c.history.Attempts,
		Replica:    r.Name,
		Address:    r.Address,
		Zone:       r.Zone,
		Plain:      c.Plain,
		Model:      c.version.Model,
		Adapter:    c.version.Adapter,
		Priority:   c.verdict.Priority,
		Repeatable: c.history.Repeatable,
		Resume:     resume,
		After:      after,
		Stall:      m.opt.Stall,
	}
}

func (m *Machine) first(e First) {
	c := m.calls[e.ID]
	if c == nil || c.phase != running || c.answered {
		return
	}
	c.answered = true
	if c.item != "" {
		m.meter.Met(c.item)
	}
	if r := m.pool.Get(c.replica); r != nil {
		late := m.now.Since(c.started) > c.service.Target.FirstToken
		r.First(m.now, uint64(c.ID), late)
	}
}

func (m *Machine) done(e Done) {
	c := m.calls[e.ID]
	if c == nil {
		return
	}
	if r := m.pool.Get(c.replica); r != nil {
		r.End(m.now, uint64(c.ID), c.started, false)
	}
	held := m.now.Since(c.started)
	if c.item != "" {
		m.meter.Held(c.item, held)
		m.meter.Held(c.version.Model, held)
	}
	m.pool.Touch()
	delete(m.calls, c.ID)
}

func (m *Machine) gone(e Gone) {
	c := m.calls[e.ID]
	if c == nil {
		return
	}
	switch c.phase {
	case running:
		if r := m.pool.Get(c.replica); r != nil {
			r.Forget(uint64(c.ID))
			if !c.Plain {
				m.do(Cancel{ID: c.ID, Attempt: c.history.Attempts, Replica: r.Name, Address: r.Address})
			}
		}
	case waiting:
		m.leaveLine(c)
		m.releaseClaim(c)
	case claiming:
		m.releaseClaim(c)
	}
	m.pool.Touch()
	delete(m.calls, c.ID)
}

// broke decides what follows an attempt that did not come to its proper end.
func (m *Machine) broke(e Broke) {
	c := m.calls[e.ID]
	if c == nil || c.phase != running || e.Attempt != c.history.Attempts {
		return
	}
	m.blame(c, e)
	c.history = c.history.WithBroken(e.Phase)
	step := c.history.Next(attempt.Break{
		Phase: e.Phase, Delivered: e.Delivered, SameBoot: e.Resumable, Stalled: e.Stalled, Spent: e.Spent,
	})
	if m.opt.Disable.AtMost && step == attempt.Fail && e.Delivered == 0 {
		step = attempt.Retry
	}
	switch step {
	case attempt.Resume:
		m.resume(c)
	case attempt.Retry:
		m.retry(c, e)
	default:
		m.fail(c, e)
	}
}

// blame settles the replica's books for the broken attempt.
func (m *Machine) blame(c *call, e Broke) {
	if e.Leaving {
		m.pool.ObserveLeaving(c.replica)
		m.note(NoteLeaving, "upstream", c.replica, "source", "answer")
	}
	r := m.pool.Get(c.replica)
	if r == nil {
		return
	}
	if e.Phase == attempt.Refused {
		r.Forget(uint64(c.ID))
		if c.item != "" {
			r.Refused(m.now, c.item)
		}
		return
	}
	if e.Phase == attempt.NotSent && c.item != "" {
		m.meter.Unmet(m.now, c.item) // resident, but not within reach
	}
	wasEjected := r.Ejected(m.now)
	r.End(m.now, uint64(c.ID), c.started, true)
	if r.Ejected(m.now) && !wasEjected {
		m.pool.Touch()
	}
}

func (m *Machine) resume(c *call) {
	r := m.pool.Get(c.replica)
	if r == nil {
		m.fail(c, Broke{Phase: attempt.Answered, Delivered: 1, Detail: "the replica left the configuration"})
		return
	}
	c.history = c.history.WithResume()
	r.Start(m.now, uint64(c.ID))
	m.note(NoteCallResumed, "call", uint64(c.ID), "replica", c.replica)
	m.do(m.dispatchAction(c, r, true, resumePause*time.Duration(c.history.Resumes-1)))
}

func (m *Machine) retry(c *call, e Broke) {
	if e.Phase != attempt.Refused {
		budget, allowed := m.budget.Spend()
		m.budget = budget
		if !allowed {
			m.fail(c, e)
			return
		}
	}
	m.note(NoteCallRetried, "call", uint64(c.ID), "replica", c.replica, "detail", e.Detail)
	m.abandon(c, e)
	c.failedOn = c.replica
	c.replica = ""
	c.answered = false
	c.phase = waiting
	// A replica that refuses an item it was believed to have must not be
	// chosen again at once: the retry would spin until its state is read.
	if e.Phase == attempt.Refused && c.history.Attempts >= maxRefusals {
		m.refuse(c, notRun(code.NoCapacity, "every replica refused: "+e.Detail, m.comeBack(0)))
		return
	}
	m.place(c)
}

// abandon frees the sequence that a broken attempt may have left behind.
func (m *Machine) abandon(c *call, e Broke) {
	r := m.pool.Get(c.replica)
	if c.Plain || r == nil || e.Phase == attempt.NotSent || e.Phase == attempt.Refused {
		return
	}
	m.do(Cancel{ID: c.ID, Attempt: c.history.Attempts, Replica: r.Name, Address: r.Address})
}

// maxRefusals bounds how often a call follows refusals from replica to replica.
const maxRefusals = 6

func (m *Machine) fail(c *call, e Broke) {
	num := code.UpstreamBroke
	if e.Delivered > 0 {
		num = code.StreamCut
	} else if e.Status != 0 && e.Phase != attempt.MaybeSent {
		num = code.UpstreamRefused
	}
	refusal := code.Refusal{Code: num, Run: c.history.Run(), Detail: e.Detail}
	if refusal.Run == code.NotRun || c.history.Repeatable {
		refusal.RetryAfter = leastRetryAfter
	}
	m.refuse(c, refusal)
}

// refuse gives a call that was taken in its final answer.
func (m *Machine) refuse(c *call, r code.Refusal) {
	// An earlier attempt may have run though the last step did not.
	if run := c.history.Run(); run != code.NotRun {
		r.Run = run
	}
	if c.phase == waiting {
		m.leaveLine(c)
	}
	if r.Run == code.NotRun {
		m.releaseClaim(c)
	}
	c.phase = 0
	delete(m.calls, c.ID)
	m.note(NoteCallFailed, "call", uint64(c.ID), "service", c.Service, "code", int(r.Code), "run", string(r.Run), "detail", r.Detail)
	m.do(Finish{ID: c.ID, Refusal: r})
	m.pool.Touch()
}

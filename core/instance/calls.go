package instance

import (
	"fmt"
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/policy"
	"github.com/birchdrift/birchdrift/core/pool"
)

// A callPhase says where a call stands.
type callPhase int

const (
	claiming callPhase = iota + 1
	waiting
	running
	fetching // it waits for an order that it needs
	probing  // it waits for engines to say how busy they are
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

	forward *forwardState // of a forwarded call
	expires clock.Instant // when a forwarded call ends, whatever its state
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
	if c.forward != nil {
		m.placeForward(c)
		return
	}
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
	if c.Forward != nil {
		return m.admitForward(c)
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
			m.out.Log(logevent.PolicyFailed, "policy", c.service.Policy, "expressions", failed)
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

// label names the call in logs: by its caller's identity where it has one.
func (c *call) label() any {
	if c.Forward != nil {
		return c.Forward.Name
	}
	return uint64(c.ID)
}

func notRun(c code.Code, detail string, after time.Duration) code.Refusal {
	return code.Refusal{Code: c, Run: code.NotRun, RetryAfter: after, Detail: detail}
}

func (m *Machine) refuseNew(c *call, r code.Refusal) {
	m.out.Log(logevent.CallFailed, "call", c.label(), "service", c.Service, "code", int(r.Code), "run", string(r.Run))
	m.out.Do(Finish{ID: c.ID, Refusal: r})
}

// allowance returns how long the call may still wait for its first token.
func (m *Machine) allowance(c *call) time.Duration {
	return c.service.Target.FirstToken + c.verdict.Wait - m.now.Since(c.arrived)
}

// late reports whether the call's target has passed already.
func (m *Machine) late(c *call) bool {
	return m.now.Since(c.arrived) > c.service.Target.FirstToken
}

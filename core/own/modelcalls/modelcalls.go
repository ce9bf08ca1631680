// Package modelcalls serves the calls of the product's own interface: chat and completion
// calls of a service's model, and calls under /services/. Only the product's own
// environment uses it; core/forwarding serves forwarded calls.
//
// A call is admitted according to its caller's key and the service's policy. It may claim
// an idempotency key. It is sent to the replica with the lowest expected time to first
// token, and resumed or retried after a failure if that cannot do harm.
package modelcalls

import (
	"fmt"
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/own/choose"
	"github.com/birchdrift/birchdrift/core/own/meter"
	"github.com/birchdrift/birchdrift/core/policy"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/retrybudget"
	"github.com/birchdrift/birchdrift/core/shared"
)

const (
	// resumeInterval is the time added to the delay before each further resume of one
	// broken stream.
	resumeInterval = 50 * time.Millisecond
	// neutralPriority is the priority at which a call's weight is 1.
	neutralPriority = 50.0
)

// Deps are the modules and functions that the handler needs.
type Deps struct {
	shared.State

	Calls   *calls.Table
	Budget  *retrybudget.Budget
	Chooser *choose.Chooser
	Meter   *meter.Meter
	// Unmet is called when no usable replica has a call's item ready.
	Unmet func(now clock.Instant)
}

// A Handler serves calls of the product's own interface.
type Handler struct {
	Deps
	handlers     calls.Handlers
	candidateBuf []*pool.Replica // buffer of the slice that candidates returns
	decisions    decisionRing
}

// A state holds the fields of a call that are specific to the product's own interface.
type state struct {
	service       config.Service
	version       config.Version
	prefillRate   int // tokens per second
	loadTime      time.Duration
	caller        string
	decision      policy.Decision
	failedReplica string // replica on which the call last failed
	claimKey      string // store key of the call's claim; "" if it has none
	claimRequests int    // number of claim requests sent
}

func stateOf(c *calls.Call) *state { return c.State.(*state) }

// New returns a handler without calls.
func New(deps Deps) *Handler {
	h := &Handler{Deps: deps}
	h.handlers = calls.Handlers{
		FindReplica:   h.findReplica,
		AnswerBegan:   h.handleAnswerBegan,
		AttemptFailed: h.handleAttemptFailed,
		Served:        h.handleCompleted,
		Left:          func(clock.Instant, *calls.Call, *pool.Replica) {},
		Cancel:        h.cancel,
		NotRun:        h.releaseClaim,
		LeftQueue:     h.handleLeftQueue,
	}
	deps.Calls.StillWaiting = h.countWaiting
	return h
}

// Arrive admits a new call or refuses it. refusing reports whether this instance is
// stopping and accepts no more calls.
func (h *Handler) Arrive(now clock.Instant, r calls.Request, refusing bool) {
	c := &calls.Call{Request: r, Kind: &h.handlers, State: &state{}, Arrived: now, Phase: calls.Waiting}
	if refusal, ok := h.admit(now, c, refusing); !ok {
		h.Calls.RefuseNew(c, refusal)
		return
	}
	h.Calls.Add(c)
	h.Budget.RecordCall(now, c.Service)
	if stateOf(c).claimKey != "" {
		h.claim(c)
		return
	}
	h.findReplica(now, c)
}

// admit fills in the call's settings from the configuration and the policy. If the call
// is not admitted, it returns the refusal and false. Nothing has been sent at this point.
func (h *Handler) admit(now clock.Instant, c *calls.Call, refusing bool) (code.Refusal, bool) {
	if refusal, ok := calls.CheckAdmission(refusing, h.Config.Loaded()); !ok {
		return refusal, false
	}
	caller, known := h.Config.CallerByKey(c.Key)
	if !known {
		return calls.NotRunRefusal(code.Unauthorized, "no such key", 0), false
	}
	svc, ok := h.Config.Service(c.Service)
	if !ok || c.Plain != (len(svc.Replicas) > 0) {
		return calls.NotRunRefusal(code.UnknownService, fmt.Sprintf("no service %q of this kind", c.Service), 0), false
	}
	if !caller.MayCall(svc.Name) {
		return calls.NotRunRefusal(code.Forbidden, fmt.Sprintf("caller %q may not call %q", caller.Name, svc.Name), 0), false
	}
	s := stateOf(c)
	s.caller = caller.Name
	s.service = svc
	c.Target = svc.Target.FirstToken
	h.resolveVersion(c)
	return h.applyPolicy(now, c)
}

// resolveVersion selects the service's version for the call and determines whether the
// call is repeatable.
func (h *Handler) resolveVersion(c *calls.Call) {
	s := stateOf(c)
	repeatable := s.service.MayRepeat(c.Path) && !c.NotRepeatable
	if !repeatable && c.IdempotencyKey != "" {
		s.claimKey = claimKey(s.caller, s.service.Name, c.IdempotencyKey)
	}
	c.History = attempt.New(repeatable && c.Replayable)
	if c.Plain {
		return
	}
	s.version = s.service.PickVersion(h.Rand.Float64())
	c.Item = s.version.Model
	if s.version.Adapter != "" {
		c.Item = s.version.Adapter
	}
	if model, ok := h.Config.Model(s.version.Model); ok {
		s.prefillRate = model.PrefillPerSecond
		s.loadTime = model.LoadTime
	}
}

// applyPolicy evaluates the service's policy for the call and records the call's demand.
// If the policy refuses the call, it returns the refusal and false.
func (h *Handler) applyPolicy(now clock.Instant, c *calls.Call) (code.Refusal, bool) {
	s := stateOf(c)
	s.decision = policy.Decision{Priority: config.DefaultPriority, Wait: h.Options.DefaultWait}
	if program := h.Config.Policy(s.service.Policy); program != nil {
		decision, failed := program.Eval(policy.Input{
			Service:       s.service.Name,
			Model:         s.version.Model,
			Caller:        s.caller,
			PromptTokens:  c.PromptTokens,
			MaxTokens:     c.MaxTokens,
			NotRepeatable: !c.History.Repeatable,
			Load:          h.zoneLoad(now),
			Hour:          now.Wall.UTC().Hour(),
		})
		s.decision = decision
		if failed > 0 {
			h.Out.Log(logevent.PolicyFailed, "policy", s.service.Policy, "expressions", failed)
		}
	}
	c.Priority = s.decision.Priority
	if c.Item != "" {
		weight := float64(s.decision.Priority) / neutralPriority
		h.Meter.RecordCall(now, c.Item, weight)
		if c.Item != s.version.Model {
			h.Meter.RecordCall(now, s.version.Model, weight)
		}
	}
	if s.decision.Refuse {
		return calls.NotRunRefusal(code.RefusedByPolicy, fmt.Sprintf("policy %q", s.service.Policy), calls.MinRetryAfter), false
	}
	return code.Refusal{}, true
}

// zoneLoad returns the share of the sequences of the zone's engines that are in use.
func (h *Handler) zoneLoad(now clock.Instant) float64 {
	var used, all float64
	for _, r := range h.Pool.All() {
		if r.Kind == pool.Engine && r.Zone == h.Self.Zone && r.Usable() {
			used += r.ActiveSequences(now)
			all += float64(r.Concurrent)
		}
	}
	if all == 0 {
		return 0
	}
	return used / all
}

// remainingWait returns how long the call may still wait for its first token.
func (h *Handler) remainingWait(now clock.Instant, c *calls.Call) time.Duration {
	s := stateOf(c)
	return s.service.Target.FirstToken + s.decision.Wait - now.Since(c.Arrived)
}

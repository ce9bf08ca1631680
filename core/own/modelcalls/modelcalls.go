// Package modelcalls serves the calls of the product's own interface: chat and
// completion calls of a service's model, and calls under /services/. Only the
// product's own environment runs it; forwarded calls are served by
// core/forwarding.
//
// A call is admitted by its caller's key and the service's policy, may claim an
// idempotency key, goes to the replica that should answer it first, and is
// resumed or sent again where that is harmless.
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
	// resumeInterval spaces the resumes of one broken stream.
	resumeInterval = 50 * time.Millisecond
	// neutralPriority is the priority at which a call's weight is 1.
	neutralPriority = 50.0
)

// Deps are what the handler needs of the other modules.
type Deps struct {
	shared.State

	Calls   *calls.Table
	Budget  *retrybudget.Budget
	Chooser *choose.Chooser
	Meter   *meter.Meter
	// Unmet is called when a call found its item resident nowhere.
	Unmet func(now clock.Instant)
}

// A Handler serves calls of the own interface.
type Handler struct {
	Deps
	handlers     calls.Handlers
	candidateBuf []*pool.Replica // what candidates returned last
	decisions    decisionRing
}

// A state is what a call of the own interface has beside what every call has.
type state struct {
	service       config.Service
	version       config.Version
	prefillRate   int // tokens a second
	loadTime      time.Duration
	caller        string
	decision      policy.Decision
	failedReplica string // replica that failed it last
	claimKey      string
	claimRequests int // claim requests sent
}

func stateOf(c *calls.Call) *state { return c.State.(*state) }

// New returns a handler that has seen no call.
func New(n Deps) *Handler {
	h := &Handler{Deps: n}
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
	n.Calls.StillWaiting = h.countWaiting
	return h
}

// Arrive takes a call in, or refuses it. refusing says that this instance takes
// no more calls since it stops.
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

// admit fills in what the configuration and the policy say of the call, or
// returns why it is refused. Nothing has been sent anywhere at this point.
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

// resolveVersion picks the version and works out whether the call may be repeated.
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

// applyPolicy asks the service's policy about the call.
func (h *Handler) applyPolicy(now clock.Instant, c *calls.Call) (code.Refusal, bool) {
	s := stateOf(c)
	s.decision = policy.Decision{Priority: config.DefaultPriority, Wait: h.Options.DefaultWait}
	if program := h.Config.Policy(s.service.Policy); program != nil {
		verdict, failed := program.Eval(policy.Input{
			Service:       s.service.Name,
			Model:         s.version.Model,
			Caller:        s.caller,
			PromptTokens:  c.PromptTokens,
			MaxTokens:     c.MaxTokens,
			NotRepeatable: !c.History.Repeatable,
			Load:          h.zoneLoad(now),
			Hour:          now.Wall.UTC().Hour(),
		})
		s.decision = verdict
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

// zoneLoad returns the share of the zone's sequences in use.
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

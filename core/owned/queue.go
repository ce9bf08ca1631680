package owned

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
)

// Queueing of requests at an engine, and the choice of the next order.

const (
	// adapterLoadTime is how long an adapter is assumed to take to load until the engine
	// reports otherwise.
	adapterLoadTime = 14 * time.Millisecond
	// maxQueueTime is how long a request is queued at most: longer than any adapter takes
	// to load, shorter than callers wait.
	maxQueueTime = time.Second
	// unloadDelay is the time between marking a model as unloading and ordering the
	// unload, in which the fleet learns of it: one exchange with each neighbour.
	unloadDelay = 300 * time.Millisecond
	// minAdapterIdle is how long an adapter must have been unused before it may be
	// evicted: several rounds of exchanges, which carry the uses by other instances.
	minAdapterIdle = 400 * time.Millisecond
)

// An Outcome is the outcome of a request for an order.
type Outcome int

// The outcomes.
const (
	Done    Outcome = iota + 1 // the item is loaded, or unloaded, as requested
	Started                    // the engine carries out the order
	Refused                    // the owner does not send the order now
	Failed                     // the owner is unreachable or did not answer
)

type (
	// RequestReceived is the event that a peer requests an order to an engine that this
	// instance owns. It is answered by a SendReply with the same Token.
	RequestReceived struct {
		Token   uint64
		Engine  string
		Request orders.Request
	}
	// SendReply is the action that answers a RequestReceived.
	SendReply struct {
		Token   uint64
		Outcome Outcome
		Detail  string
	}
	// SendOrder is the action that sends an order to an engine.
	SendOrder struct {
		orders.Order
		Limited bool // the engine has a rate limit, see calls.Dispatch
	}
	// OrderReply is the event that answers a SendOrder.
	OrderReply struct {
		Engine string
		Fence  era.Revision
		Answer orders.Answer
		// TimedOut means that the order was not sent because connecting timed out.
		TimedOut bool
		Detail   string
	}
)

// IsEvent implements step.Event.
func (RequestReceived) IsEvent() {}

// IsEvent implements step.Event.
func (OrderReply) IsEvent() {}

// IsAction implements step.Action.
func (SendReply) IsAction() {}

// IsAction implements step.Action.
func (SendOrder) IsAction() {}

// HandleRequest handles a peer's request for an order.
func (s *Engines) HandleRequest(now clock.Instant, r RequestReceived) {
	e := s.engines[r.Engine]
	if e == nil {
		s.Out.Emit(SendReply{Token: r.Token, Outcome: Refused, Detail: "this instance does not order the engine"})
		return
	}
	s.enqueue(now, e, r.Request, waiter{token: r.Token})
}

// Request requests an order to an engine that this instance owns, on behalf of this
// instance itself; Answered is called with the outcome.
func (s *Engines) Request(now clock.Instant, e *Engine, r orders.Request) {
	s.enqueue(now, e, r, waiter{})
}

// enqueue queues a request at an engine or adds the waiter to the same request in the
// queue. It refuses the request if the engine may not be sent orders or is unreachable.
func (s *Engines) enqueue(now clock.Instant, e *Engine, r orders.Request, w waiter) {
	if !s.Orderable(now, e) {
		s.reply(now, e, r, w, Refused, "the engine may not be ordered yet")
		return
	}
	if s.unreachable(e) {
		s.reply(now, e, r, w, Refused, unreachableDetail)
		return
	}
	for i := range e.queue {
		if e.queue[i].request == r {
			e.queue[i].waiters = append(e.queue[i].waiters, w)
			return
		}
	}
	q := queuedRequest{request: r, waiters: []waiter{w}, notBefore: now, expiresAt: now.Add(maxQueueTime)}
	if !r.Load && r.Adapter == "" && e.Phase(r.Model) == pool.Ready {
		e.MarkUnloading(r.Model)
		q.notBefore = now.Add(unloadDelay)
	}
	e.queue = append(e.queue, q)
	s.processQueue(now, e)
}

// processQueue processes the requests queued at an engine: it answers and removes those
// that are done, refused or expired, and sends the next order that may be sent.
func (s *Engines) processQueue(now clock.Instant, e *Engine) {
	var remaining []queuedRequest
	queue := e.queue
	e.queue = nil
	for _, q := range queue {
		if s.process(now, e, &q) {
			continue
		}
		remaining = append(remaining, q)
	}
	e.queue = append(remaining, e.queue...)
}

// process processes one queued request and reports whether it is done.
func (s *Engines) process(now clock.Instant, e *Engine, q *queuedRequest) bool {
	switch e.Check(q.request) {
	case orders.NoChange, orders.NotLoaded:
		s.replyAll(now, e, *q, Done, "")
		return true
	case orders.InProgress:
		if q.request.Adapter == "" {
			s.replyAll(now, e, *q, Started, "")
			return true
		}
	case orders.Allowed:
		if !now.Before(q.notBefore) {
			s.send(now, e, q.request)
		}
	case orders.NoCapacity:
		if q.request.Adapter == "" || !s.evictAdapter(now, e) {
			s.replyAll(now, e, *q, Refused, "no room")
			return true
		}
	case orders.ModelNotReady, orders.SizeUnknown:
		s.replyAll(now, e, *q, Refused, "the model is not there")
		return true
	}
	if now.Before(q.expiresAt) {
		return false
	}
	s.refuse(now, e, *q, "the engine did not become free in time")
	return true
}

// refuse refuses a queued request. If that was to unload a model, calls may be sent to the
// model again.
func (s *Engines) refuse(now clock.Instant, e *Engine, q queuedRequest, detail string) {
	if !q.request.Load && q.request.Adapter == "" {
		e.UnmarkUnloading(q.request.Model)
	}
	s.replyAll(now, e, q, Refused, detail)
}

// handleUnreachable handles an engine that accepts no connection. It refuses the queued
// requests at once, so that calls go to another engine. Otherwise the order would be
// retried as fast as it fails for maxQueueTime: every 0.7 ms according to the log of an
// instance whose engine's process had ended.
func (s *Engines) handleUnreachable(now clock.Instant, e *Engine) {
	queue := e.queue
	e.queue = nil
	for _, q := range queue {
		s.refuse(now, e, q, unreachableDetail)
	}
}

// unreachableDetail is the detail of refusals for an unreachable engine.
const unreachableDetail = "nothing answers at the engine"

// unreachable reports whether the last attempt to connect to the engine failed.
func (s *Engines) unreachable(e *Engine) bool {
	r := s.Pool.Get(e.Name)
	return r != nil && r.LinkBroken()
}

// evictAdapter orders the unload of the least recently used adapter, and reports whether
// there may be room for another adapter later.
func (s *Engines) evictAdapter(now clock.Instant, e *Engine) bool {
	if e.InFlight() || !e.Known() {
		return true
	}
	idle, ok := e.IdleAdapter(now, minAdapterIdle)
	if !ok || e.Check(idle) != orders.Allowed {
		return false
	}
	s.send(now, e, idle)
	return true
}

// send sends an order to an engine if the ownership and the engine's rate limit allow it
// now.
func (s *Engines) send(now clock.Instant, e *Engine, r orders.Request) {
	if !s.Orderable(now, e) || !s.Permitted(now, e.Name, r.Adapter != "") {
		return
	}
	s.Out.Log(logevent.EngineOrder, "engine", e.Name, "load", r.Load, "item", r.Item(), "expect", e.Sequence(), "fence", e.Fence)
	expect := e.Sequence()
	e.lastOrderAt = now
	e.lastOrderFence = e.Fence
	e.RecordSent(r)
	o := orders.Order{Engine: e.Name, Address: e.Address, Request: r, Expect: expect, Fence: e.Fence}
	s.Out.Emit(SendOrder{Order: o, Limited: s.rateLimited(now, e)})
}

// HandleOrderReply handles the answer to an order.
func (s *Engines) HandleOrderReply(now clock.Instant, r OrderReply) {
	e := s.engines[r.Engine]
	if e == nil || e.lastOrderFence != r.Fence || !e.InFlight() {
		return
	}
	s.Out.Log(logevent.EngineAnswer, "engine", e.Name, "answer", int(r.Answer), "sequence", e.Sequence(), "detail", r.Detail)
	switch r.Answer {
	case orders.AnswerAccepted:
		e.RecordAccepted(now, adapterLoadTime)
		s.scheduleQuery(now, e)
	case orders.AnswerNoChange:
		e.RecordNoChange()
	case orders.AnswerNotSent:
		e.RecordFailed()
		s.LinkFailed(now, e.Name, r.TimedOut)
		s.handleUnreachable(now, e)
	case orders.AnswerInvalid:
		e.RecordFailed()
	case orders.AnswerConflict:
		e.RecordConflict()
	case orders.AnswerMisdirected:
		e.RecordFailed()
		s.Pool.MarkTerminated(e.Name)
	case orders.AnswerFenced:
		e.RecordFailed()
		s.Lose(now, e.Name, "the engine has seen a later fence")
		return
	case orders.AnswerLost:
		s.recordDelayed(now, e)
	}
	s.processQueue(now, e)
	s.publish(now, e)
}

func (s *Engines) replyAll(now clock.Instant, e *Engine, q queuedRequest, o Outcome, detail string) {
	for _, w := range q.waiters {
		s.reply(now, e, q.request, w, o, detail)
	}
}

func (s *Engines) reply(now clock.Instant, e *Engine, r orders.Request, w waiter, o Outcome, detail string) {
	if o == Refused {
		s.Out.Log(logevent.OrderRefusedHere, "engine", e.Name, "item", r.Item(), "detail", detail)
	}
	if w.token != 0 {
		s.Out.Emit(SendReply{Token: w.token, Outcome: o, Detail: detail})
		return
	}
	s.Answered(now, e.Name, r, o, detail)
}

package owned

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
)

// How requests wait for their turn at an engine, and which order is sent next.

const (
	// adapterLoadTime is how long an adapter is believed to take until the engine
	// says otherwise.
	adapterLoadTime = 14 * time.Millisecond
	// maxQueueTime is how long a request waits for its turn: longer than every
	// adapter takes, shorter than callers wait.
	maxQueueTime = time.Second
	// unloadDelay is how long the fleet has to hear that a model goes before its
	// unload is ordered: one exchange with each neighbour.
	unloadDelay = 300 * time.Millisecond
	// minAdapterIdle is how long an adapter must not have been used to make way:
	// several rounds of exchanges, by which uses are heard of.
	minAdapterIdle = 400 * time.Millisecond
)

// An Outcome is what came of a request for an order.
type Outcome int

// The outcomes.
const (
	Done    Outcome = iota + 1 // the item is there, or gone, as asked
	Started                    // the engine carries the order out
	Refused                    // the owner does not give the order now
	Failed                     // the owner cannot be reached, or did not say
)

type (
	// RequestReceived is the event that a peer asks for an order to an engine that this
	// instance owns. It is answered with an Answer of the same Token.
	RequestReceived struct {
		Token   uint64
		Engine  string
		Request orders.Request
	}
	// SendReply is the action that answers an Asked.
	SendReply struct {
		Token   uint64
		Outcome Outcome
		Detail  string
	}
	// SendOrder is an action: give an order to an engine.
	SendOrder struct {
		orders.Order
		Limited bool // the engine named a limit, see calls.Dispatch
	}
	// OrderReply is the event that answers a SendOrder.
	OrderReply struct {
		Engine string
		Fence  era.Revision
		Answer orders.Answer
		Detail string
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

// HandleRequest takes in a peer's question for an order.
func (s *Engines) HandleRequest(now clock.Instant, a RequestReceived) {
	e := s.engines[a.Engine]
	if e == nil {
		s.Out.Emit(SendReply{Token: a.Token, Outcome: Refused, Detail: "this instance does not order the engine"})
		return
	}
	s.enqueue(now, e, a.Request, waiter{token: a.Token})
}

// Request asks for an order to an engine that this instance owns, on behalf of
// this instance itself; Answered is told of the outcome.
func (s *Engines) Request(now clock.Instant, e *Engine, r orders.Request) {
	s.enqueue(now, e, r, waiter{})
}

func (s *Engines) enqueue(now clock.Instant, e *Engine, r orders.Request, w waiter) {
	if !s.Orderable(now, e) {
		s.reply(now, e, r, w, Refused, "the engine may not be ordered yet")
		return
	}
	if s.down(now, e) {
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

// processQueue goes over what waits at an engine: it settles what is done and sends
// the next order that can be sent.
func (s *Engines) processQueue(now clock.Instant, e *Engine) {
	var rest []queuedRequest
	queue := e.queue
	e.queue = nil
	for _, q := range queue {
		if s.process(now, e, &q) {
			continue
		}
		rest = append(rest, q)
	}
	e.queue = append(rest, e.queue...)
}

// process does what can be done for one request, and reports whether it is over.
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

// refuse refuses a request that waits.
func (s *Engines) refuse(now clock.Instant, e *Engine, q queuedRequest, detail string) {
	if !q.request.Load && q.request.Adapter == "" {
		e.UnmarkUnloading(q.request.Model)
	}
	s.replyAll(now, e, q, Refused, detail)
}

// handleUnreachable takes in that nothing answers at an engine. What waits there is given up at
// once, so that calls go to another engine. Otherwise the order would be repeated as fast
// as it fails, for queueTime: every 0.7 ms by the log of an instance whose engine's
// process had ended.
func (s *Engines) handleUnreachable(now clock.Instant, e *Engine) {
	if r := s.Pool.Get(e.Name); r != nil {
		r.MarkDown(now)
	}
	queue := e.queue
	e.queue = nil
	for _, q := range queue {
		s.refuse(now, e, q, unreachableDetail)
	}
}

// unreachableDetail is the reason of a refusal.
const unreachableDetail = "nothing answers at the engine"

// down reports whether nothing answered at an engine a moment ago.
func (s *Engines) down(now clock.Instant, e *Engine) bool {
	r := s.Pool.Get(e.Name)
	return r != nil && r.Down(now)
}

// evictAdapter orders the adapter that was used least lately away, and reports
// whether room is to be expected.
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

// HandleOrderReply takes in what came of an order.
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

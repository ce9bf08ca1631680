// Package shell runs the state machine of package core/instance in a process: it
// provides the goroutine that owns the machine, the clock, and the workers that
// carry out its actions. It is an imperative shell around a functional core and
// makes no decisions itself.
//
// Invariants: only Run's goroutine accesses the machine; for every action
// that has a reply, exactly one reply event is posted, also on error; a call's actions
// reach its handler in the order in which the machine returned them.
package shell

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/exchange"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/notice"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/relay"
	"github.com/birchdrift/birchdrift/core/saturation"
	"github.com/birchdrift/birchdrift/core/shutdown"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/streams"
	"github.com/birchdrift/birchdrift/internal/duplex"
	"github.com/birchdrift/birchdrift/internal/peer"
	"github.com/birchdrift/birchdrift/internal/telemetry"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// eventQueueSize is the number of events that may wait for the machine.
const eventQueueSize = 4096

// mailboxSize is the number of actions that may wait for one call's handler. The
// machine returns one action for a call at a time and waits for its outcome, so a
// full mailbox is a bug.
const mailboxSize = 4

// An Environment carries out the actions that depend on the platform that an instance
// runs on.
type Environment struct {
	// CarryOut returns a function that carries out an action and posts its reply, or
	// nil if the action does not concern the environment.
	CarryOut func(a step.Action) func(ctx context.Context)
	// Decode decodes a configuration in the form in which instances exchange it.
	Decode func(data []byte) (config.Document, error)
}

// A Host is the part of the shell that an environment uses.
type Host struct {
	Self member.Identity
	// Now reads both clocks.
	Now func() clock.Instant
	// Post hands an event to the machine.
	Post func(ev step.Event)
	// PostConfig decodes a configuration received from source and posts it.
	PostConfig func(data []byte, source string)
	// Config returns the configuration in force, nil if there is none.
	Config func() *config.Snapshot
	// PlatformCalled counts a call to the platform.
	PlatformCalled func()
	// Event logs a numbered event.
	Event func(n logevent.Number, fields ...any)
}

// An EnvironmentFactory returns the environment that uses the given host.
type EnvironmentFactory func(h Host) Environment

// A Shell runs one state machine.
type Shell struct {
	machine     *instance.Machine
	self        member.Identity
	environment Environment
	peers       *peer.Client
	log         logr.Logger
	metrics     *telemetry.Metrics
	clocks      *clocks

	events          chan func(*Shell) step.Event // run on Run's goroutine; see submit
	calls           map[calls.ID]*callMailbox
	exchangeReplies map[uint64]chan gossip.Message // replies that peers wait for, by token
	orderReplies    map[uint64]chan peer.OrderReply
	permitReplies   map[uint64]chan permits.Decision
	streamReplies   map[uint64]chan streams.Answer
	relayReplies    map[uint64]chan relay.Decided
	lastToken       uint64 // token of the latest request from a peer
	workers         sync.WaitGroup
	exited          chan shutdown.Exit
	ctx             context.Context
	published       stateCell
}

// New returns a shell that runs m until ctx is canceled, in the environment that
// newEnvironment returns. Run starts it.
func New(ctx context.Context, self member.Identity, m *instance.Machine, newEnvironment EnvironmentFactory, peers *peer.Client, log logr.Logger, metrics *telemetry.Metrics) *Shell {
	s := &Shell{
		machine:         m,
		self:            self,
		peers:           peers,
		log:             log,
		metrics:         metrics,
		clocks:          newClocks(),
		events:          make(chan func(*Shell) step.Event, eventQueueSize),
		calls:           map[calls.ID]*callMailbox{},
		exchangeReplies: map[uint64]chan gossip.Message{},
		orderReplies:    map[uint64]chan peer.OrderReply{},
		permitReplies:   map[uint64]chan permits.Decision{},
		streamReplies:   map[uint64]chan streams.Answer{},
		relayReplies:    map[uint64]chan relay.Decided{},
		exited:          make(chan shutdown.Exit, 1),
		ctx:             ctx,
	}
	if !s.clocks.countsSleep() {
		s.event(logevent.SleepUncounted)
	}
	s.environment = newEnvironment(Host{
		Self: self, Now: s.Now, Post: s.post, PostConfig: s.postConfig, Config: s.Config,
		PlatformCalled: metrics.CountPlatformCall, Event: s.event,
	})
	return s
}

// event logs a numbered event.
func (s *Shell) event(n logevent.Number, fields ...any) {
	s.log.Info(n.Name(), append([]any{"event", int(n)}, fields...)...)
}

// LogEarlyAnswer logs that the answer to a call began before the body of the call had ended.
func (s *Shell) LogEarlyAnswer(call string, e duplex.EarlyAnswer) {
	detail := ""
	if e.Err != nil {
		detail = e.Err.Error()
	}
	s.metrics.CountEvent(logevent.EarlyAnswer)
	s.event(logevent.EarlyAnswer, "call", call, "status", e.Status, "length", e.Length, "at_head", e.AtHead, "read", e.Read, "ended", e.Ended, "detail", detail)
}

// LogAnswerLimit logs that an attempt of a call was given up because its upstream exceeded a limit.
func (s *Shell) LogAnswerLimit(call, replica string, e *upstream.LimitError) {
	s.metrics.CountEvent(logevent.AnswerLimit)
	s.event(logevent.AnswerLimit, "call", call, "upstream", replica, "limit", string(e.Limit), "bytes", e.Bytes)
}

// Now reads both clocks.
func (s *Shell) Now() clock.Instant { return s.clocks.now() }

// Run steps the machine until the shell's context is canceled, then waits for the
// workers.
func (s *Shell) Run() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	defer s.workers.Wait()
	for {
		select {
		case <-s.ctx.Done():
			return nil
		case f := <-s.events:
			ev := f(s)
			if ev == nil {
				// The machine did not step, so the timer is not reset:
				// otherwise frequent status requests would delay every tick.
				continue
			}
			s.step(ev)
		case <-timer.C:
			s.step(instance.Tick{})
		}
		timer.Reset(s.machine.NextWake())
	}
}

func (s *Shell) step(ev step.Event) {
	for _, a := range s.machine.Step(s.Now(), ev) {
		s.carryOut(a)
	}
	s.published.publish(s.machine)
}

// post submits an event to the machine's goroutine.
func (s *Shell) post(ev step.Event) {
	s.submit(func(*Shell) step.Event { return ev })
}

// submit runs f on the machine's goroutine and steps the machine with the event that f
// returns, unless it is nil. It does nothing after the shell has ended.
func (s *Shell) submit(f func(*Shell) step.Event) {
	select {
	case s.events <- f:
	case <-s.ctx.Done():
	}
}

// HandleNotice passes to the machine what a replica reported about itself in an answer.
func (s *Shell) HandleNotice(e notice.Received) { s.post(e) }

// ReportSaturation tells the machine that the process is saturated. It never waits for the machine.
func (s *Shell) ReportSaturation() {
	select {
	case s.events <- func(*Shell) step.Event { return saturation.Reported{} }:
	default: // the machine has much to do; another report follows
	}
}

// Exited returns a channel that delivers the machine's Exit after a stop.
func (s *Shell) Exited() <-chan shutdown.Exit { return s.exited }

// ChangeOptions passes changed options to the machine.
func (s *Shell) ChangeOptions(r instance.OptionsChanged) { s.post(r) }

// Stop begins a planned stop. A second call ends the stop at once.
func (s *Shell) Stop() { s.post(instance.Stop{}) }

// Config returns the configuration in force, or nil if there is none.
func (s *Shell) Config() *config.Snapshot { return s.published.config() }

// Ready reports whether the load balancer should send calls to this instance, and if
// not, why.
func (s *Shell) Ready() (bool, string) { return s.published.ready() }

// Stopping reports whether a planned stop has begun.
func (s *Shell) Stopping() bool { return s.published.stopping() }

// Status returns the machine's status.
func (s *Shell) Status(ctx context.Context) (instance.Status, error) {
	reply := make(chan instance.Status, 1)
	s.submit(func(s *Shell) step.Event {
		reply <- s.machine.Status(s.Now())
		return nil
	})
	select {
	case st := <-reply:
		return st, nil
	case <-ctx.Done():
		return instance.Status{}, ctx.Err()
	}
}

// A callMailbox is the shell's side of one call.
type callMailbox struct {
	actions   chan step.Action
	interrupt atomic.Pointer[func(silence time.Duration)]
}

// A Session is the handler's side of one call.
type Session struct {
	ID      calls.ID
	Actions <-chan step.Action // Dispatch, Finish or Relay
	mailbox *callMailbox
	shell   *Shell
}

// Begin submits a call to the machine and returns its session.
func (s *Shell) Begin(call calls.Request) Session {
	mailbox := &callMailbox{actions: make(chan step.Action, mailboxSize)}
	s.submit(func(s *Shell) step.Event {
		s.calls[call.ID] = mailbox
		return calls.Arrived{Call: call}
	})
	return Session{ID: call.ID, Actions: mailbox.actions, mailbox: mailbox, shell: s}
}

// SetInterrupt sets the function that cancels the attempt in flight. It is called if the
// call ends during the attempt, as when a stop cuts the call off.
func (s Session) SetInterrupt(cancel context.CancelFunc) {
	s.SetSilenceInterrupt(func(time.Duration) { cancel() })
}

// SetSilenceInterrupt is like SetInterrupt for a function that cancels the attempt only if
// nothing arrived from the replica within the last silence.
func (s Session) SetSilenceInterrupt(cancel func(silence time.Duration)) {
	s.mailbox.interrupt.Store(&cancel)
}

// AnswerBegan tells the machine that the first piece of the answer arrived.
func (s Session) AnswerBegan() { s.shell.post(calls.AnswerBegan{ID: s.ID}) }

// Completed tells the machine that the answer is complete.
func (s Session) Completed(e calls.Completed) {
	e.ID = s.ID
	s.end(e)
}

// CallerGone tells the machine that the caller disconnected.
func (s Session) CallerGone() { s.end(calls.CallerGone{ID: s.ID}) }

// AttemptFailed tells the machine that an attempt failed.
func (s Session) AttemptFailed(failure calls.AttemptFailed) {
	failure.ID = s.ID
	s.shell.post(failure)
}

func (s Session) end(ev step.Event) {
	s.shell.submit(func(shell *Shell) step.Event {
		delete(shell.calls, s.ID)
		return ev
	})
}

// HandleExchange answers an exchange started by a peer.
func (s *Shell) HandleExchange(ctx context.Context, msg gossip.Message) (gossip.Message, error) {
	reply := make(chan gossip.Message, 1)
	s.submit(func(s *Shell) step.Event {
		s.lastToken++
		s.exchangeReplies[s.lastToken] = reply
		return exchange.RequestReceived{Token: s.lastToken, Message: msg}
	})
	s.postPeerConfig(msg)
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return gossip.Message{}, ctx.Err()
	}
}

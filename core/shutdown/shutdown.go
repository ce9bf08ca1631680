// Package shutdown runs a planned shutdown: the instance is not ready from its start on, hands
// over what others can take over, accepts calls until the load balancer has had time to see
// that it is not ready, and exits once its calls have ended or its time limit has passed.
package shutdown

import (
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/step"
)

// Exit is an action: the shutdown is complete. Cut is the number of calls that were cancelled.
type Exit struct{ Cut int }

// IsAction implements step.Action.
func (Exit) IsAction() {}

// A Controller runs a planned shutdown. Its exported fields must be set before its use.
type Controller struct {
	Options *option.Options
	Out     *step.Output
	Calls   *calls.Table
	// HandOver is called once, when the shutdown starts: it releases what other instances can
	// take over, and notifies peers.
	HandOver func(now clock.Instant)

	started     bool
	acceptUntil clock.Instant // calls are refused from then on
	deadline    clock.Instant // the remaining calls are cancelled then
	exited      bool
}

// Started reports whether the shutdown has started.
func (s *Controller) Started() bool { return s.started }

// Refusing reports whether new calls are refused because of the shutdown.
func (s *Controller) Refusing(now clock.Instant) bool { return s.started && !now.Before(s.acceptUntil) }

// Start starts the shutdown. A second call ends it at once.
func (s *Controller) Start(now clock.Instant) {
	if s.started {
		s.deadline = now
		return
	}
	s.started = true
	s.acceptUntil = now.Add(s.Options.StopDelay)
	s.deadline = now.Add(s.Options.StopLimit)
	s.Out.Log(logevent.Stopping, "calls", s.Calls.Len())
	s.HandOver(now)
}

// Tick exits when every call has ended, or when the deadline has passed.
func (s *Controller) Tick(now clock.Instant) {
	if !s.started || s.exited {
		return
	}
	over := !now.Before(s.deadline)
	idle := !now.Before(s.acceptUntil) && s.Calls.Len() == 0
	if over || idle {
		s.exit()
	}
}

func (s *Controller) exit() {
	cut := s.Calls.AbortAll()
	s.exited = true
	s.Out.Log(logevent.Stopped, "cut", cut)
	s.Out.Emit(Exit{Cut: cut})
}

// Package shutdown carries out a planned stop: the instance is not ready from its
// beginning on, hands over what others can take, takes calls until the balancer
// has had time to see that it is not ready, and exits once its calls have ended
// or its time is over.
package shutdown

import (
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/step"
)

// Exit is an action: the stop is complete. Cut counts the calls it cut off.
type Exit struct{ Cut int }

// IsAction implements step.Action.
func (Exit) IsAction() {}

// A Controller is a planned stop. The fields must be set before its use.
type Controller struct {
	Options *option.Options
	Out     *step.Output
	Calls   *calls.Table
	// HandOver is called once, when the stop begins: it gives back what others
	// can take over, and tells peers.
	HandOver func(now clock.Instant)

	started     bool
	acceptUntil clock.Instant // calls are taken until then
	deadline    clock.Instant // calls are cut then
	exited      bool
}

// Started reports whether the stop has begun.
func (s *Controller) Started() bool { return s.started }

// Refusing reports whether new calls are refused because of the stop.
func (s *Controller) Refusing(now clock.Instant) bool { return s.started && !now.Before(s.acceptUntil) }

// Start begins the stop. A second one ends it at once.
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

// Tick exits when every call has ended, or when the limit has come.
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

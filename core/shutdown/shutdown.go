// Package shutdown runs a planned shutdown. The instance stops being ready when the shutdown
// starts. It hands over what other instances can take over, accepts calls until the load balancer
// has had time to see that it is not ready, and exits once its calls have ended or its time limit
// has passed.
package shutdown

import (
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/step"
)

// Exit is an action: the shutdown is complete. Cut is the number of calls that were canceled.
type Exit struct{ Cut int }

// IsAction implements step.Action.
func (Exit) IsAction() {}

// A Controller runs a planned shutdown. Its exported fields must be set before its use.
type Controller struct {
	Options *option.Options
	Out     *step.Output
	Calls   *calls.Table
	// Relayed returns the number of attempts that are in flight on behalf of other instances.
	Relayed func() int
	// HandOver is called once, when the shutdown starts: it releases what other instances can
	// take over, and notifies peers.
	HandOver func(now clock.Instant)

	started     bool
	acceptUntil clock.Instant // calls are refused from then on
	deadline    clock.Instant // the remaining calls are canceled then
	exited      bool
}

// Started reports whether the shutdown has started.
func (c *Controller) Started() bool { return c.started }

// Refusing reports whether new calls are refused because of the shutdown.
func (c *Controller) Refusing(now clock.Instant) bool { return c.started && !now.Before(c.acceptUntil) }

// Start starts the shutdown. A second call ends it at once.
func (c *Controller) Start(now clock.Instant) {
	if c.started {
		c.deadline = now
		return
	}
	c.started = true
	c.acceptUntil = now.Add(c.Options.StopDelay)
	c.deadline = now.Add(c.Options.StopLimit)
	c.Out.Log(logevent.Stopping, "calls", c.Calls.Len())
	c.HandOver(now)
}

// Tick exits when every call and every attempt of another instance has ended, or when the deadline
// has passed.
func (c *Controller) Tick(now clock.Instant) {
	if !c.started || c.exited {
		return
	}
	expired := !now.Before(c.deadline)
	idle := !now.Before(c.acceptUntil) && c.Calls.Len() == 0 && c.Relayed() == 0
	if expired || idle {
		c.exit()
	}
}

func (c *Controller) exit() {
	cut := c.Calls.AbortAll()
	c.exited = true
	c.Out.Log(logevent.Stopped, "cut", cut)
	c.Out.Emit(Exit{Cut: cut})
}

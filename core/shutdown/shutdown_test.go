package shutdown

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
)

// TestStop checks when an instance that shuts down refuses calls and exits.
func TestStop(t *testing.T) {
	const delay, limit = 3 * time.Second, 10 * time.Second
	cases := []struct {
		name    string
		after   time.Duration // since the start of the shutdown
		calls   int
		relayed int
		twice   bool
		refuses bool
		exits   bool
		cut     int
	}{
		{"at once", 0, 0, 0, false, false, false, 0},
		{"before the load balancer has seen it", delay - 1, 0, 0, false, false, false, 0},
		{"idle after the delay", delay, 0, 0, false, true, true, 0},
		{"a call in flight", delay, 1, 0, false, true, false, 0},
		{"a call in flight at the deadline", limit, 1, 0, false, true, true, 1},
		{"an attempt of another instance in flight", delay, 0, 1, false, true, false, 0},
		{"an attempt of another instance in flight at the deadline", limit, 0, 1, false, true, true, 0},
		{"a second stop cancels calls at once", time.Second, 1, 0, true, false, true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			begun := clocktest.At(time.Hour)
			opt := option.Default()
			opt.StopDelay = delay
			opt.StopLimit = limit
			out := &step.Output{}
			table := calls.New()
			table.Out = out
			table.Pool = pool.New()
			for id := range c.calls {
				table.Add(&calls.Call{
					Request: calls.Request{ID: calls.ID(id)}, Phase: calls.AwaitingOrder,
					Kind: &calls.Handlers{NotRun: func(*calls.Call) {}},
				})
			}
			handedOver := 0
			s := &Controller{Options: &opt, Out: out, Calls: table, Relayed: func() int { return c.relayed }, HandOver: func(clock.Instant) { handedOver++ }}
			s.Start(begun)
			now := begun.Add(c.after)
			if c.twice {
				s.Start(now)
			}
			is.Equal(handedOver, 1)
			is.Equal(s.Refusing(now), c.refuses)
			s.Tick(now)
			s.Tick(now) // exits once
			var exits []Exit
			for _, a := range out.Actions() {
				if e, ok := a.(Exit); ok {
					exits = append(exits, e)
				}
			}
			is.Equal(len(exits) == 1, c.exits)
			if c.exits {
				is.Equal(exits[0].Cut, c.cut)
			}
		})
	}
}

package calls

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
)

// testTable returns an empty table and handlers for its calls that do nothing.
func testTable(maxWaiting int) (t *Table, h *Handlers) {
	opt := option.Default()
	opt.MaxWaiting = maxWaiting
	t = New()
	t.Options = &opt
	t.Rand = rand.New(rand.NewPCG(1, 1))
	t.Out = &step.Output{}
	t.Pool = pool.New()
	h = &Handlers{
		FindReplica: func(clock.Instant, *Call) {},
		NotRun:      func(*Call) {},
		LeftQueue:   func(*Call) {},
	}
	return t, h
}

func (t *Table) add(h *Handlers, id ID, priority int, arrived clock.Instant, target time.Duration) *Call {
	c := &Call{Request: Request{ID: id}, Kind: h, Priority: priority, Arrived: arrived, Target: target, Phase: Waiting}
	t.Add(c)
	t.Enqueue(c)
	return c
}

// TestWaitingCallsAreTriedInOrder checks the order of retries: by priority, then calls
// still in time, newest first, then late calls, oldest first.
func TestWaitingCallsAreTriedInOrder(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	table, h := testTable(10)
	ago := func(d time.Duration) clock.Instant { return now.Add(-d) }
	table.add(h, 1, 50, ago(900*time.Millisecond), time.Second)
	table.add(h, 2, 50, ago(100*time.Millisecond), time.Second)
	table.add(h, 3, 50, ago(3*time.Second), time.Second)
	table.add(h, 4, 50, ago(2*time.Second), time.Second)
	table.add(h, 5, 80, ago(9*time.Second), time.Second)
	table.add(h, 6, 20, ago(0), time.Second)
	var order []ID
	for _, c := range table.retryOrder(now) {
		order = append(order, c.ID)
	}
	is.Equal(order, []ID{5, 2, 1, 3, 4, 6})
}

// TestAFullQueueRefusesTheLeastImportant checks that a full queue refuses the call of
// the lowest priority, which may be the arriving one.
func TestAFullQueueRefusesTheLeastImportant(t *testing.T) {
	cases := []struct {
		name     string
		priority int
		refused  ID
	}{
		{"higher priority: evicts the lowest", 60, 2},
		{"equal priority: refused", 20, 3},
		{"lower priority: refused", 10, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := clocktest.At(time.Hour)
			table, h := testTable(2)
			table.add(h, 1, 50, now, time.Second)
			table.add(h, 2, 20, now, time.Second)
			table.add(h, 3, c.priority, now, time.Second)
			is.Equal(table.QueueLen(), 2)
			var refused []ID
			for _, a := range table.Out.Actions() {
				if f, ok := a.(Finish); ok {
					refused = append(refused, f.ID)
				}
			}
			is.Equal(refused, []ID{c.refused})
		})
	}
}

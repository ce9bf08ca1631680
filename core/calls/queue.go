package calls

import (
	"slices"
	"sort"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/pool"
)

// The queue of calls that wait for a replica.

// Queued reports whether the call is in the queue.
func (t *Table) Queued(c *Call) bool { return slices.Contains(t.queue, c) }

// Enqueue adds the call to the queue. If the queue is full, it refuses the call of
// the lowest priority, which may be this one.
func (t *Table) Enqueue(c *Call) {
	if c.Phase == Waiting && t.Queued(c) {
		return
	}
	if len(t.queue) >= t.Options.MaxWaiting && !t.evictFor(c) {
		t.Refuse(c, NotRunRefusal(code.NoCapacity, "too many calls wait", t.RetryAfter(0)))
		return
	}
	c.Phase = Waiting
	t.queue = append(t.queue, c)
}

// evictFor refuses the queued call of the lowest priority if that is below the
// priority of c, and reports whether it did.
func (t *Table) evictFor(c *Call) bool {
	var lowest *Call
	for _, x := range t.queue {
		if lowest == nil || x.Priority < lowest.Priority {
			lowest = x
		}
	}
	if lowest == nil || lowest.Priority >= c.Priority {
		return false
	}
	t.Refuse(lowest, NotRunRefusal(code.NoCapacity, "gave way to a more important call", t.RetryAfter(0)))
	return true
}

// Dequeue removes the call from the queue, if it is there.
func (t *Table) Dequeue(c *Call) {
	if i := slices.Index(t.queue, c); i >= 0 {
		t.queue = slices.Delete(t.queue, i, i+1)
	}
	c.Kind.LeftQueue(c)
}

// EnterPhase changes the call's phase to next and removes it from the queue, if it is
// there.
func (t *Table) EnterPhase(c *Call, next Phase) {
	if c.Phase == Waiting {
		t.Dequeue(c)
	}
	c.Phase = next
}

// MarkSent records that the call is sent to r, as a new attempt.
func (t *Table) MarkSent(now clock.Instant, c *Call, r *pool.Replica) {
	t.EnterPhase(c, Running)
	c.History = c.History.WithAttempt()
	c.Replica = r.Name
	c.Life = r.Incarnation()
	c.Started = now
	c.Answered = false
}

// PoolChanged reports whether something changed since the last RetryQueued that could
// let a queued call proceed.
func (t *Table) PoolChanged() bool { return t.Pool.CapacityChanges() != t.seenChanges }

// RetryQueued tries again to find a replica for each queued call, in retryOrder.
func (t *Table) RetryQueued(now clock.Instant) {
	if len(t.queue) == 0 {
		return
	}
	t.seenChanges = t.Pool.CapacityChanges()
	var waiting []*Call
	for _, c := range t.retryOrder(now) {
		if c.Phase != Waiting || t.calls[c.ID] != c {
			continue // evicted in the meantime
		}
		c.Kind.FindReplica(now, c)
		if c.Phase == Waiting {
			waiting = append(waiting, c)
		}
	}
	if t.StillWaiting != nil {
		t.StillWaiting(now, waiting)
	}
}

// retryOrder returns the queued calls in the order in which they are retried: by
// descending priority; within a priority, first the calls that can still meet their
// latency targets, newest first, then the late ones, oldest first. Under overload,
// serving the oldest call that is still in time would make each call just too late:
// with the newest first, useful work fell to 0.80 of its level before the overload,
// with the oldest first to 0.54 (docs/own/measurements.md, "Overload").
func (t *Table) retryOrder(now clock.Instant) []*Call {
	queue := slices.Clone(t.queue)
	late := make(map[*Call]bool, len(queue))
	for _, c := range queue {
		late[c] = c.Late(now)
	}
	sort.SliceStable(queue, func(i, j int) bool {
		a, b := queue[i], queue[j]
		if a.Priority != b.Priority {
			return a.Priority > b.Priority
		}
		if late[a] != late[b] {
			return late[b]
		}
		if !late[a] {
			return b.Arrived.Before(a.Arrived)
		}
		return a.Arrived.Before(b.Arrived)
	})
	return queue
}

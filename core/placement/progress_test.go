package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
)

// TestChangeProgress checks that evictions come first, that an order without effect is
// retried after a while, and that the change ends when the model is ready, the engine is
// gone, or it took too long.
func TestChangeProgress(t *testing.T) {
	now := clocktest.At(time.Hour)
	ago := func(d time.Duration) clock.Instant { return now.Add(-d) }
	type phases map[string]pool.ItemPhase
	drop := &orders.Request{Model: "old"}
	load := &orders.Request{Load: true, Model: "new"}
	for _, tt := range []struct {
		name    string
		gone    bool
		born    string
		holds   phases
		begun   clock.Instant
		movedAt clock.Instant // zero: now
		askedAt clock.Instant
		outcome outcome
		order   *orders.Request
	}{
		{name: "first what makes way", holds: phases{"old": pool.Ready}, begun: now, order: drop},
		{name: "then the load", begun: now, order: load},
		{name: "the load was asked for", begun: now, askedAt: ago(orderRetryInterval - 1)},
		{name: "it shows no effect", begun: now, askedAt: ago(orderRetryInterval), order: load},
		{name: "the load is under way", holds: phases{"new": pool.Loading}, begun: now, askedAt: ago(orderRetryInterval)},
		{name: "the model is there", holds: phases{"new": pool.Ready}, begun: now, outcome: done},
		{name: "no order is carried out, at the limit", holds: phases{"old": pool.Ready}, begun: ago(orderTimeout), movedAt: ago(orderTimeout), order: drop},
		{name: "no order is carried out, above the limit", holds: phases{"old": pool.Ready}, begun: ago(orderTimeout + 1), movedAt: ago(orderTimeout + 1), outcome: notOrdered},
		{name: "the unload waits for its runs", holds: phases{"old": pool.Unloading}, begun: ago(orderTimeout + 1), movedAt: ago(orderTimeout + 1), order: drop},
		{name: "the engine is gone", gone: true, begun: now, outcome: engineGone},
		{name: "the engine started again", born: "2", holds: phases{"old": pool.Ready}, begun: now, outcome: restarted},
		{name: "at the limit", holds: phases{"old": pool.Ready}, begun: ago(changeTimeout), order: drop},
		{name: "above the limit", holds: phases{"new": pool.Ready}, begun: ago(changeTimeout + 1), outcome: timedOut},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := &change{Change: Change{Load: "new", Drop: []string{"old"}}, startedAt: tt.begun, progressAt: tt.movedAt, requestedAt: tt.askedAt}
			if tt.movedAt.IsZero() {
				c.progressAt = now
			}
			e := engineState{incarnation: pool.Incarnation{Born: tt.born}, usable: !tt.gone, phase: func(model string) pool.ItemPhase { return tt.holds[model] }}
			c.observe(now, e)
			is.Equal(c.outcome(now, e), tt.outcome)
			if tt.outcome != running {
				return
			}
			order, due := c.nextOrder(now, e)
			is.Equal(due, tt.order != nil)
			if due {
				is.Equal(order, *tt.order)
			}
		})
	}
}

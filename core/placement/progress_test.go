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
		name        string
		gone        bool
		born        string
		holds       phases
		startedAt   clock.Instant
		progressAt  clock.Instant // zero: now
		requestedAt clock.Instant
		outcome     outcome
		order       *orders.Request
	}{
		{name: "first the eviction", holds: phases{"old": pool.Ready}, startedAt: now, order: drop},
		{name: "then the load", startedAt: now, order: load},
		{name: "the load was requested", startedAt: now, requestedAt: ago(orderRetryInterval - 1)},
		{name: "the request had no effect", startedAt: now, requestedAt: ago(orderRetryInterval), order: load},
		{name: "the load is in progress", holds: phases{"new": pool.Loading}, startedAt: now, requestedAt: ago(orderRetryInterval)},
		{name: "the model is ready", holds: phases{"new": pool.Ready}, startedAt: now, outcome: done},
		{name: "no order is carried out, at the limit", holds: phases{"old": pool.Ready}, startedAt: ago(orderTimeout), progressAt: ago(orderTimeout), order: drop},
		{name: "no order is carried out, above the limit", holds: phases{"old": pool.Ready}, startedAt: ago(orderTimeout + 1), progressAt: ago(orderTimeout + 1), outcome: notOrdered},
		{name: "the unload waits for running calls", holds: phases{"old": pool.Unloading}, startedAt: ago(orderTimeout + 1), progressAt: ago(orderTimeout + 1), order: drop},
		{name: "the engine is gone", gone: true, startedAt: now, outcome: engineGone},
		{name: "the engine restarted", born: "2", holds: phases{"old": pool.Ready}, startedAt: now, outcome: restarted},
		{name: "at the limit", holds: phases{"old": pool.Ready}, startedAt: ago(changeTimeout), order: drop},
		{name: "above the limit", holds: phases{"new": pool.Ready}, startedAt: ago(changeTimeout + 1), outcome: timedOut},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := &change{Change: Change{Load: "new", Drop: []string{"old"}}, startedAt: tt.startedAt, progressAt: tt.progressAt, requestedAt: tt.requestedAt}
			if tt.progressAt.IsZero() {
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

package owned

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
)

// An Engine is an engine that this instance owns: its ledger, and the requests
// that wait for their turn there.
type Engine struct {
	*orders.Ledger
	// Settled says that no order of a former owner can be on its way any more.
	Settled bool

	incarnation      pool.Incarnation // the one that the ledger is of
	acquiredAt       clock.Instant
	queue            []queuedRequest
	querying         bool          // for its state
	queryDue         clock.Instant // when it may be asked for its state again
	lastOrderAt      clock.Instant // when an order was last sent
	lastOrderFence   era.Revision  // of that order
	publishedVersion uint64        // changes of the ledger that the fleet was told of
	residencyChange  uint64        // number of the last residency that the fleet was told
}

// A queuedRequest request waits for its turn.
type queuedRequest struct {
	request   orders.Request
	waiters   []waiter
	notBefore clock.Instant // not before
	expiresAt clock.Instant
}

// A waiter is who is told of the outcome.
type waiter struct {
	token uint64 // of a peer's question; 0 for this instance itself
}

// SinceLastOrder returns for how long the engine has certainly been sent no order: by
// this instance, and before it by former owners, whose orders it has waited for.
func (e *Engine) SinceLastOrder(now clock.Instant) time.Duration {
	switch {
	case !e.Settled || e.InFlight() || e.Uncertain() || now.Before(e.From):
		return 0
	case !e.lastOrderAt.IsZero():
		return now.Since(e.lastOrderAt)
	default:
		return now.Since(e.From)
	}
}

// Confirm notes that the ownership was written again at this revision, which is
// the fence of the orders from now on.
func (e *Engine) Confirm(o registry.Ownership) {
	e.Fence = o.Revision
	e.Settled = true
}

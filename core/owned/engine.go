package owned

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
)

// An Engine is an engine that this instance owns: its ledger and its queue of requests.
type Engine struct {
	*orders.Ledger
	// Settled reports that no order of a former owner can still arrive.
	Settled bool

	incarnation      pool.Incarnation // the incarnation that the ledger describes
	acquiredAt       clock.Instant    // when this instance became the owner
	queue            []queuedRequest
	querying         bool          // a state query is unanswered
	queryDue         clock.Instant // earliest time of the next state query
	lastOrderAt      clock.Instant // when an order was last sent
	lastOrderFence   era.Revision  // fence of that order
	publishedVersion uint64        // version of the ledger that was last published
	residencyChange  uint64        // number of the last published residency
}

// A queuedRequest is a request for an order that is not sent yet.
type queuedRequest struct {
	request   orders.Request
	waiters   []waiter
	notBefore clock.Instant // earliest time to send the order
	expiresAt clock.Instant
}

// A waiter is a requester to notify of the outcome.
type waiter struct {
	token uint64 // token of a peer's request; 0 for this instance itself
}

// SinceLastOrder returns for how long the engine has certainly been sent no order,
// neither by this instance nor by former owners, whose orders this instance has waited
// for.
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

// Confirm records that the ownership was written again at this revision, which is the
// fence of the orders from now on.
func (e *Engine) Confirm(o registry.Ownership) {
	e.Fence = o.Revision
	e.Settled = true
}

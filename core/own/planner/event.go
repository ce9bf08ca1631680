package planner

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/own/book"
	"github.com/birchdrift/birchdrift/core/pool"
)

// The planner's events.
type (
	// LeaseReply answers a RequestLease.
	LeaseReply struct {
		Sent    clock.Instant // when the request was sent
		Granted bool
		Fence   uint64
		Err     error
	}
	// IntentsReply answers a ReadIntents or a WriteIntents.
	IntentsReply struct {
		Read     bool // the reply answers a ReadIntents
		Intents  Intents
		Revision uint64 // of the value, for the next compare-and-swap
		Conflict bool
		Err      error
	}
	// StateReply answers a ReadState.
	StateReply struct {
		Engine string
		State  pool.State
		Err    error
	}
	// OrderReply answers a SendOrder.
	OrderReply struct {
		Engine  string
		Fence   uint64
		Seq     uint64
		Outcome OrderOutcome
		State   pool.State // valid with OrderAccepted and OrderRefused
		Detail  string
	}
)

// The planner's actions.
type (
	// RequestLease requests the planner lease, or renews it.
	RequestLease struct {
		Term  time.Duration
		Renew uint64 // fence of the grant to renew, 0 for a new request
	}
	// ReleaseLease releases the planner lease.
	ReleaseLease struct{ Fence uint64 }
	// ReadIntents reads the zone's outstanding intents.
	ReadIntents struct{}
	// WriteIntents replaces the zone's intents if they are still at Revision.
	WriteIntents struct {
		Intents  Intents
		Revision uint64
	}
	// ReadState reads the state of an engine.
	ReadState struct {
		Engine  string
		Address string
	}
	// SendOrder sends an order to an engine.
	SendOrder struct {
		Address string
		Order   book.Order
	}
)

// An OrderOutcome is the outcome of sending an order.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderAccepted OrderOutcome = iota + 1 // the engine carries it out
	OrderRefused                          // the engine did not and will not carry it out
	OrderFenced                           // the engine has seen a later fence
	OrderNotSent                          // it certainly was not sent
	OrderLost                             // its answer is lost
)

// An Intent is an order that is written to the platform before it is sent, because its
// engine does not check fences.
type Intent struct {
	Engine string `json:"engine"`
	Op     uint8  `json:"op"`
	Item   string `json:"item"`
	MiB    int64  `json:"mib"`
	Seq    uint64 `json:"seq"`
	Fence  uint64 `json:"fence"`
}

// Intents is the platform's value with the outstanding intents of a zone.
type Intents struct {
	Fence   uint64   `json:"fence"` // of the lease holder that wrote it
	Intents []Intent `json:"intents,omitempty"`
}

// IsEvent implements step.Event.
func (LeaseReply) IsEvent() {}

// IsEvent implements step.Event.
func (IntentsReply) IsEvent() {}

// IsEvent implements step.Event.
func (StateReply) IsEvent() {}

// IsEvent implements step.Event.
func (OrderReply) IsEvent() {}

// IsAction implements step.Action.
func (RequestLease) IsAction() {}

// IsAction implements step.Action.
func (ReleaseLease) IsAction() {}

// IsAction implements step.Action.
func (ReadIntents) IsAction() {}

// IsAction implements step.Action.
func (WriteIntents) IsAction() {}

// IsAction implements step.Action.
func (ReadState) IsAction() {}

// IsAction implements step.Action.
func (SendOrder) IsAction() {}

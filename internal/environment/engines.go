package environment

import (
	"context"

	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
)

// An EngineReport is an engine's answer to a request for its state.
type EngineReport struct {
	Announcement pool.Announcement
	Sequence     uint64   // number of orders that it has accepted
	Busy         bool     // an order for a model is in progress
	Coming       []string // items of the adapters that are being loaded
	Queued       int
	Running      int
	// Heard reports whether an answer arrived. Notice is the notice in its headers, even if
	// the answer is not a report.
	Heard  bool
	Notice pool.Notice
}

// An OrderAnswer is the result of an order.
type OrderAnswer struct {
	Answer orders.Answer
	// TimedOut means that the order was not sent because connecting timed out.
	TimedOut bool
	Detail   string // explains Answer
	// Heard reports whether an answer arrived. Notice is the notice in its headers.
	Heard  bool
	Notice pool.Notice
}

// Engines are the environment's engines.
type Engines struct {
	// Order sends an order to an engine in the name of holder.
	Order func(ctx context.Context, holder string, o orders.Order) OrderAnswer
	// Report requests an engine's state. Heard and Notice are valid on error too.
	Report func(ctx context.Context, address string) (EngineReport, error)
}

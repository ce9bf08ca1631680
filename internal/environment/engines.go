package environment

import (
	"context"

	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
)

// An EngineReport is what an engine says of itself when it is asked.
type EngineReport struct {
	Announcement pool.Announcement
	Sequence     uint64   // orders that it has taken
	Busy         bool     // an order on a model is under way
	Coming       []string // adapters on their way, as items
	Queued       int
	Running      int
}

// Engines are the environment's engines.
type Engines struct {
	// Order gives an engine an order in the name of holder, and returns what came
	// of it with a text that explains it.
	Order func(ctx context.Context, holder string, o orders.Order) (orders.Answer, string)
	// Report asks an engine what it says of itself.
	Report func(ctx context.Context, address string) (EngineReport, error)
}

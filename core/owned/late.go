package owned

import (
	"slices"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
)

// A delayedOrder is an order whose answer was lost, with the incarnation of the engine
// that it was sent to.
type delayedOrder struct {
	orders.DelayedOrder
	incarnation pool.Incarnation
}

// recordDelayed records that the answer to the order in flight at an engine is lost, if
// there is one.
func (s *Engines) recordDelayed(now clock.Instant, e *Engine) {
	r, ok := e.RecordLost()
	if !ok {
		return
	}
	if s.delayed == nil {
		s.delayed = map[string][]delayedOrder{}
	}
	recent := slices.DeleteFunc(s.delayed[e.Name], func(d delayedOrder) bool { return !now.Before(d.Until) })
	s.delayed[e.Name] = append(recent, delayedOrder{DelayedOrder: orders.NewDelayedOrder(now, r), incarnation: e.incarnation})
}

// delayedOrders returns the orders to earlier incarnations of an engine that may still
// arrive.
func (s *Engines) delayedOrders(now clock.Instant, incarnation pool.Incarnation) []orders.DelayedOrder {
	var delayed []orders.DelayedOrder
	for _, d := range s.delayed[incarnation.Name] {
		if d.incarnation != incarnation && now.Before(d.Until) {
			delayed = append(delayed, d.DelayedOrder)
		}
	}
	return delayed
}

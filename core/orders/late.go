package orders

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// Orders whose answers were lost before their engine restarted. Within one incarnation
// the engine's count of orders makes them void, but the count starts again with each
// incarnation. So an order that arrives late, at the next incarnation, may carry the
// count that the engine has reached again, although its state is not the one for which
// the order was computed.

// MaxOrderDelay is how long after it was sent an unanswered order may still be carried
// out: the platform's description of engines allows up to twelve seconds.
const MaxOrderDelay = 13 * time.Second

// A DelayedOrder is an order to an earlier incarnation of an engine that may still
// arrive.
type DelayedOrder struct {
	Request Request
	Until   clock.Instant
}

// ReserveDelayed reserves the capacity that delayed orders to earlier incarnations of the
// engine would take.
func (l *Ledger) ReserveDelayed(delayed []DelayedOrder) { l.delayed = append(l.delayed, delayed...) }

// expireDelayed drops the delayed orders that can no longer arrive.
func (l *Ledger) expireDelayed(now clock.Instant) {
	before := len(l.delayed)
	l.delayed = slices.DeleteFunc(l.delayed, func(d DelayedOrder) bool { return !now.Before(d.Until) })
	if len(l.delayed) < before {
		l.version++
	}
}

// delayedLoads returns the items that delayed orders would load, except those that the
// engine holds.
func (l *Ledger) delayedLoads() []Request {
	var items []Request
	for _, d := range l.delayed {
		if _, present := l.items[d.Request.Item()]; !present && d.Request.Load && !slices.Contains(items, d.Request) {
			items = append(items, d.Request)
		}
	}
	return items
}

// delayedMB returns the memory that delayed orders would take, in MB; ok is false if the
// size of a model is unknown.
func (l *Ledger) delayedMB() (mb int64, ok bool) {
	for _, r := range l.delayedLoads() {
		modelMB, adapterMB, ok := l.sizes(r.Model)
		if !ok {
			return 0, false
		}
		if r.Adapter == "" {
			mb += modelMB
		} else {
			mb += adapterMB
		}
	}
	return mb, true
}

// delayedSlots returns the adapter slots that delayed orders would take.
func (l *Ledger) delayedSlots() int {
	n := 0
	for _, r := range l.delayedLoads() {
		if r.Adapter != "" {
			n++
		}
	}
	return n
}

// NewDelayedOrder returns a delayed order whose answer was lost at now.
func NewDelayedOrder(now clock.Instant, r Request) DelayedOrder {
	return DelayedOrder{Request: r, Until: now.Add(MaxOrderDelay)}
}

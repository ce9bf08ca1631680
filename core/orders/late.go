package orders

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// Orders whose answers were lost before their engine restarted. While an engine runs, its
// count of accepted orders makes such an order void. A restart resets the count. An order
// that was sent to an earlier incarnation and arrives at a later one may therefore match
// the count again and be carried out, on a state for which it was not computed.

// MaxOrderDelay is how long after it was sent an unanswered order may still be carried
// out. The platform's description of engines allows for up to twelve seconds.
const MaxOrderDelay = 13 * time.Second

// A DelayedOrder is an order to an earlier incarnation of an engine that may still
// arrive.
type DelayedOrder struct {
	Request Request
	Until   clock.Instant // when it can no longer arrive
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

// delayedMB returns the memory that the loads of delayed orders would take, in MB; ok is
// false if the size of a model is unknown.
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

// delayedSlots returns the adapter slots that the loads of delayed orders would take.
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

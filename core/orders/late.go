package orders

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// Orders whose answers were lost before their engine started again. Within one life of an
// engine its count of orders voids them, but that begins anew with each life: one that is
// carried out late by the next life finds the count that it names once more, on a state for
// which it was not worked out.

// MaxOrderDelay is how long after it was sent an order without an answer may be carried out:
// the platform's description of engines has up to twelve seconds.
const MaxOrderDelay = 13 * time.Second

// A DelayedOrder is an order to a former life of an engine that may still be on its way.
type DelayedOrder struct {
	Request Request
	Until   clock.Instant
}

// ReserveDelayed keeps free what orders to a former life of the engine would take.
func (e *Ledger) ReserveDelayed(late []DelayedOrder) { e.delayed = append(e.delayed, late...) }

// expireDelayed drops the late orders whose time is over.
func (e *Ledger) expireDelayed(now clock.Instant) {
	before := len(e.delayed)
	e.delayed = slices.DeleteFunc(e.delayed, func(l DelayedOrder) bool { return !now.Before(l.Until) })
	if len(e.delayed) < before {
		e.version++
	}
}

// delayedLoads returns what late orders would load, without what is there.
func (e *Ledger) delayedLoads() []Request {
	var items []Request
	for _, l := range e.delayed {
		if _, here := e.items[l.Request.Item()]; !here && l.Request.Load && !slices.Contains(items, l.Request) {
			items = append(items, l.Request)
		}
	}
	return items
}

// delayedMB returns the memory that late orders would take, in MB; ok is false if nobody can
// size it.
func (e *Ledger) delayedMB() (mb int64, ok bool) {
	for _, r := range e.delayedLoads() {
		modelMB, adapterMB, ok := e.sizes(r.Model)
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

// delayedSlots returns the adapter slots that late orders would take.
func (e *Ledger) delayedSlots() int {
	n := 0
	for _, r := range e.delayedLoads() {
		if r.Adapter != "" {
			n++
		}
	}
	return n
}

// NewDelayedOrder returns an order whose answer was lost now.
func NewDelayedOrder(now clock.Instant, r Request) DelayedOrder {
	return DelayedOrder{Request: r, Until: now.Add(MaxOrderDelay)}
}

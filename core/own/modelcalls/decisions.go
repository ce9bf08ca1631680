package modelcalls

import (
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/own/choose"
)

// A Decision is one choice of a replica, kept for `birchctl explain`.
type Decision struct {
	At       time.Time `json:"at"`
	Call     uint64    `json:"call"`
	Service  string    `json:"service"`
	Item     string    `json:"item,omitempty"`
	Attempt  int       `json:"attempt"`
	Replica  string    `json:"replica"`
	QueueMS  float64   `json:"queue_ms"`
	Prefill  float64   `json:"prefill_ms"`
	Network  float64   `json:"network_ms"`
	Slow     float64   `json:"slow_ms"`
	Cached   int       `json:"cached_tokens,omitempty"`
	WaitedMS float64   `json:"waited_ms"`
}

// A decisionRing is a ring buffer of the latest decisions.
type decisionRing struct {
	entries []Decision
	next    int
}

// maxDecisions is the number of decisions that are kept for operators.
const maxDecisions = 256

// add records the choice of e for the call. It overwrites the oldest decision if the ring is
// full.
func (d *decisionRing) add(now clock.Instant, c *calls.Call, e choose.Estimate) {
	x := Decision{
		At:       now.Wall,
		Call:     uint64(c.ID),
		Service:  c.Service,
		Item:     c.Item,
		Attempt:  c.History.Attempts,
		Replica:  e.Replica.Name,
		QueueMS:  millis(e.Queue),
		Prefill:  millis(e.Prefill),
		Network:  millis(e.Network),
		Slow:     millis(e.Slow),
		Cached:   e.Cached,
		WaitedMS: millis(now.Since(c.Arrived)),
	}
	if len(d.entries) < maxDecisions {
		d.entries = append(d.entries, x)
		return
	}
	d.entries[d.next] = x
	d.next = (d.next + 1) % maxDecisions
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// RecentDecisions returns the latest decisions, up to maxDecisions, in no particular order.
func (h *Handler) RecentDecisions() []Decision { return h.decisions.entries }

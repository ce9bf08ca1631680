// Package lease provides the holder's own view of a lease in the platform's
// service.
//
// The idea: a holder may believe in its lease only for as long as the platform
// certainly does. Time is therefore counted from when the request that gained
// or renewed it was sent, not from when the answer came; on the clock that ran
// further, so that a suspended machine does not wake up believing; and less a
// margin for clocks that run at different speeds.
//
// Invariant: Valid(now) implies that no other holder has been granted the lease
// by an instant as late as now, as long as clocks drift by less than Margin.
package lease

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// DriftMargin is the share of the term that is given up for clock drift.
const DriftMargin = 0.1

// A Lease is an immutable view of one lease.
type Lease struct {
	Term   time.Duration
	fence  uint64
	sentAt clock.Instant // when the last request that was granted was sent
	held   bool
}

// New returns a lease that is not held.
func New(term time.Duration) Lease { return Lease{Term: term} }

// WithGrant returns l after a request sent at sent was granted under fence. A
// grant under an older fence is stale and changes nothing.
func (l Lease) WithGrant(fence uint64, sent clock.Instant) Lease {
	if fence < l.fence {
		return l
	}
	if l.held && fence == l.fence && sent.Before(l.sentAt) {
		return l
	}
	l.fence = fence
	l.sentAt = sent
	l.held = true
	return l
}

// WithLoss returns l after the platform said that another holds it, or after it
// was released.
func (l Lease) WithLoss() Lease {
	l.held = false
	return l
}

// Valid reports whether the lease is certainly still held at now.
func (l Lease) Valid(now clock.Instant) bool {
	if !l.held {
		return false
	}
	usable := l.Term - time.Duration(DriftMargin*float64(l.Term))
	return now.MaxElapsed(l.sentAt) < usable
}

// Held reports whether the lease was granted and never known to be lost; it may
// have lapsed.
func (l Lease) Held() bool { return l.held }

// Fence returns the fence of the last grant, which outlives the lease: engines
// that check fences refuse it as soon as a later holder has raised theirs.
func (l Lease) Fence() uint64 { return l.fence }

// RenewDue reports whether a third of the term has passed since the last grant.
func (l Lease) RenewDue(now clock.Instant) bool {
	return l.held && now.MaxElapsed(l.sentAt) >= l.Term/3
}

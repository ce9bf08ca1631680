// Package lease provides the holder's view of a lease that the platform's key-value
// service granted.
//
// A holder treats its lease as valid only while the platform is certain to do so. The
// term is therefore counted from the time at which the request that acquired or renewed
// the lease was sent, not from the arrival of the reply. The elapsed time is
// the larger of those on the wall clock and the monotonic clock, so that a machine that was
// suspended does not treat an expired lease as valid. A margin is subtracted for clocks
// that run at different rates.
//
// Invariant: Valid(now) implies that no other holder has been granted the lease by any
// instant up to now, as long as the clocks' rates differ by less than DriftMargin.
package lease

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// DriftMargin is the share of the term that is subtracted to allow for clock drift.
const DriftMargin = 0.1

// A Lease is an immutable view of one lease.
type Lease struct {
	Term   time.Duration
	fence  uint64
	sentAt clock.Instant // send time of the latest granted request
	held   bool
}

// New returns a lease that is not held.
func New(term time.Duration) Lease { return Lease{Term: term} }

// WithGrant returns l with a grant applied. sent is the send time of the granted request.
// A stale grant changes nothing: one with an older fence, or one with the current fence
// whose request was sent earlier than the latest granted one.
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

// WithLoss returns l after the platform reported that another instance holds the lease,
// or after the lease was released.
func (l Lease) WithLoss() Lease {
	l.held = false
	return l
}

// Valid reports whether the lease is certain to be held at now.
func (l Lease) Valid(now clock.Instant) bool {
	if !l.held {
		return false
	}
	usable := l.Term - time.Duration(DriftMargin*float64(l.Term))
	return now.MaxElapsed(l.sentAt) < usable
}

// Held reports whether the lease was granted and has not been reported lost since. It may
// have expired.
func (l Lease) Held() bool { return l.held }

// Fence returns the fence of the latest grant. It remains set after the lease has ended.
// Orders with it are still safe at engines that check fences, which reject them as soon as
// a later holder has raised the fence.
func (l Lease) Fence() uint64 { return l.fence }

// RenewDue reports whether the lease is held and a third of its term has passed since the
// latest grant.
func (l Lease) RenewDue(now clock.Instant) bool {
	return l.held && now.MaxElapsed(l.sentAt) >= l.Term/3
}

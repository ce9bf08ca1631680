package retrybudget

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// An account holds the retries of one service that an instance has earned and not used. It
// starts empty: another instance, or the same one before a restart, may have spent the same
// part within the last window.
type account struct {
	window     window
	saved      float64
	refilledAt clock.Instant
}

func newAccount(now clock.Instant, span time.Duration) *account {
	return &account{window: window{span: span}, refilledAt: now}
}

// refill adds what was earned since the last refill and drops what exceeds the limit of
// saved retries.
func (a *account) refill(now clock.Instant, p Parts) {
	if elapsed := now.Since(a.refilledAt); elapsed > 0 {
		a.saved += p.Refill * elapsed.Seconds() / a.window.span.Seconds()
		a.refilledAt = now
	}
	calls, _ := a.window.counts(now)
	a.saved = min(a.saved, p.Burst+p.Saved*float64(calls))
}

// recordCall counts a call and adds what it earns.
func (a *account) recordCall(now clock.Instant, p Parts) {
	a.window.recordCall(now)
	a.saved += p.Earned
	a.refill(now, p)
}

// spend uses one retry and reports whether there was one.
func (a *account) spend(now clock.Instant, p Parts) bool {
	a.refill(now, p)
	if a.saved < 1 {
		return false
	}
	a.saved--
	a.window.recordRetry(now)
	return true
}

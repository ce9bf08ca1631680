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

// spend uses one retry, made up of what is saved and what was borrowed, and reports whether
// they came to one. Otherwise what was borrowed is saved.
func (a *account) spend(now clock.Instant, p Parts, borrowed float64) bool {
	a.refill(now, p)
	a.saved += borrowed
	if a.saved < 1-rounding {
		return false
	}
	a.saved = max(0, a.saved-1)
	a.window.recordRetry(now)
	return true
}

// rounding is what parts of a retry that add up to one may lack.
const rounding = 1e-9

// deposit adds borrowed retries that were not used.
func (a *account) deposit(now clock.Instant, p Parts, retries float64) {
	a.saved += retries
	a.refill(now, p)
}

// take takes at most the given number of saved retries and returns how many it took.
func (a *account) take(now clock.Instant, p Parts, most float64) float64 {
	a.refill(now, p)
	taken := min(max(0, most), a.saved)
	a.saved -= taken
	return taken
}

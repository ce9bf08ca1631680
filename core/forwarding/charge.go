package forwarding

import (
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/permits"
	"github.com/birchdrift/birchdrift/core/retrybudget"
)

// Charging of retries to the retry budget. A retry is charged when it is sent: it may wait for
// its model, an adapter, a rest or a permit, and the budget counts it when it arrives.

// A retryCharge says whether the next attempt of a call is a retry and was charged.
type retryCharge struct {
	due bool          // an earlier attempt may have reached a replica
	at  clock.Instant // when the next attempt was charged; zero: not yet
}

// withFailure returns the charge of the next attempt after one that got as far as phase. If
// nothing was sent, what was charged for the failed attempt is left for the next one.
func (ch retryCharge) withFailure(phase attempt.Phase) retryCharge {
	if phase == attempt.NotSent {
		return ch
	}
	return retryCharge{due: true}
}

// settled reports whether the next attempt may be sent without another charge. A charge that
// is older than maxAge counts for a window that is too early.
func (ch retryCharge) settled(now clock.Instant, maxAge time.Duration) bool {
	return !ch.due || !ch.at.IsZero() && now.Since(ch.at) < maxAge
}

// chargeRetry charges the next attempt of the call to this instance's part of the retry budget
// if that is due, and reports whether the attempt may be sent.
func (f *Forwarder) chargeRetry(now clock.Instant, c *calls.Call) bool {
	s := stateOf(c)
	if s.charge.settled(now, f.Budget.MaxChargeAge()) {
		return true
	}
	if !f.Budget.Spend(now, c.Service) {
		return false
	}
	f.recordCharge(now, c, retrybudget.InstancePart, f.Self.Name)
	return true
}

// recordCharge records and logs that the next attempt of the call was charged to a part of the
// retry budget, which is that of the instance by.
func (f *Forwarder) recordCharge(now clock.Instant, c *calls.Call, part retrybudget.Part, by string) {
	stateOf(c).charge.at = now
	u := f.Budget.Usage(now, c.Service)
	f.Out.Log(logevent.RetryCharged, "call", c.Forward.Name, "service", c.Service, "part", string(part), "by", by,
		"calls", u.Calls, "retries", u.Retries, "left", u.Left, "boot", f.Self.Boot)
	f.Out.Emit(retrybudget.Charged{Service: c.Service, Part: part, Left: u.Left})
}

// borrowRetry makes a call wait for other instances to lend a retry, since this instance's
// own part of the retry budget is used up.
func (f *Forwarder) borrowRetry(now clock.Instant, c *calls.Call) {
	f.Calls.EnterPhase(c, calls.AwaitingPermit)
	f.Permits.BorrowRetry(now, c.Service, c.ID)
}

// retryBorrowed retries the call if enough was lent, and ends it otherwise.
func (f *Forwarder) retryBorrowed(now clock.Instant, c *calls.Call, decision permits.Decision) {
	if !f.Budget.SpendWith(now, c.Service, decision.Retries) {
		f.endUnretried(c, overBudget)
		return
	}
	f.recordCharge(now, c, retrybudget.LentPart, decision.By)
	f.retry(now, c)
}

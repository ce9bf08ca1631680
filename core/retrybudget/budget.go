// Package retrybudget limits how many calls are retried, so that retries cannot
// make an overload worse.
//
// The budget applies to the whole fleet and to each service separately: a share of
// the service's calls plus a fixed number, the slack. Limit.Parts divides it among the
// instances. Each instance spends its own part without coordination. One that has used up
// its part asks others for a retry of theirs (core/permits): in a large fleet equal parts are
// small, while some instances need more and others none. A retry that an instance lends is
// charged to its own part, so lending changes no sum.
package retrybudget

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/option"
)

// A Part is a part of a service's retry budget.
type Part string

// The parts.
const (
	InstancePart Part = "instance" // of the instance that makes the retry
	LentPart     Part = "lent"     // of another instance, which lent it
)

// Charged is the action that reports a retry which was charged to the budget.
type Charged struct {
	Service string
	Part    Part
	// Left is the number of retries that the instance has left.
	Left float64
}

// IsAction implements step.Action.
func (Charged) IsAction() {}

// DeniedReason is the reason in the log of a call that was not retried for want of budget.
const DeniedReason = "the retry budget is used up"

// Denied is the action that reports a retry which was not made for want of budget.
type Denied struct{ Service string }

// IsAction implements step.Action.
func (Denied) IsAction() {}

// A Usage is the state of a service's budget on one instance.
type Usage struct {
	Calls   int     // calls within the window
	Retries int     // retries within the window that were charged to this instance
	Left    float64 // retries that the instance has left
}

// A Budget holds the retries that one instance may make, for each service. The
// fields must be set before use.
type Budget struct {
	Options *option.Options
	// FleetSize returns the number of instances that this one knows, itself included.
	// registered reports whether the others know this one, so that they leave it a part of
	// the slack.
	FleetSize func() (instances int, registered bool)

	registeredAt clock.Instant // since when the instance is registered; zero: it is not
	accounts     map[string]*account
}

// Tick observes whether the instance is registered.
func (b *Budget) Tick(now clock.Instant) {
	switch _, registered := b.FleetSize(); {
	case !registered:
		b.registeredAt = clock.Instant{}
	case b.registeredAt.IsZero():
		b.registeredAt = now
	}
}

// RecordCall counts a call of the service.
func (b *Budget) RecordCall(now clock.Instant, service string) {
	b.account(now, service).recordCall(now, b.parts())
}

// Spend uses up one retry of a call of the service, and reports whether the instance had
// one.
func (b *Budget) Spend(now clock.Instant, service string) bool {
	return b.SpendWith(now, service, 0)
}

// SpendWith is like Spend for an instance that has borrowed a part of a retry.
func (b *Budget) SpendWith(now clock.Instant, service string, borrowed float64) bool {
	return b.account(now, service).spend(now, b.parts(), borrowed)
}

// Take takes at most the given number of retries of a service, to lend them, and returns how
// many it took.
func (b *Budget) Take(now clock.Instant, service string, most float64) float64 {
	return b.account(now, service).take(now, b.parts(), most)
}

// Deposit adds retries that were borrowed and not used.
func (b *Budget) Deposit(now clock.Instant, service string, retries float64) {
	b.account(now, service).deposit(now, b.parts(), retries)
}

// Left returns the number of retries of a service that the instance has left.
func (b *Budget) Left(now clock.Instant, service string) float64 {
	return b.Usage(now, service).Left
}

// Usage returns the state of the service's budget on this instance.
func (b *Budget) Usage(now clock.Instant, service string) Usage {
	a := b.account(now, service)
	a.refill(now, b.parts())
	calls, retries := a.window.counts(now)
	return Usage{Calls: calls, Retries: retries, Left: a.saved}
}

// Available reports whether the instance has a retry for a call of the service.
func (b *Budget) Available(now clock.Instant, service string) bool {
	return b.Left(now, service) >= 1
}

// lowThreshold is the number of retries left at an instance below which they are kept
// for failures that this instance could not have foreseen (docs/design/limits.md).
const lowThreshold = 2

// Low reports whether fewer than lowThreshold retries of calls of the service would be
// left after one more retry.
func (b *Budget) Low(now clock.Instant, service string) bool {
	return b.Left(now, service) < 1+lowThreshold
}

// MaxChargeAge returns how long before a retry is sent it may be charged.
func (b *Budget) MaxChargeAge() time.Duration { return b.Options.RetryWindow / chargeAgeDivisor }

// Reset discards all counts and all unused retries. It is called when the length of the
// window changes.
func (b *Budget) Reset() {
	b.accounts = nil
	b.registeredAt = clock.Instant{} // what was earned since then may have been spent
}

func (b *Budget) limit() Limit {
	return Limit{Ratio: b.Options.RetryRatio, Slack: b.Options.RetrySlack, Window: b.Options.RetryWindow}
}

func (b *Budget) parts() Parts {
	instances, registered := b.FleetSize()
	parts := b.limit().Parts(instances)
	if !registered {
		return parts.withoutSlack()
	}
	return parts
}

// account returns the account of a service. A new one has earned its part of the slack since
// the instance was registered.
func (b *Budget) account(now clock.Instant, service string) *account {
	a := b.accounts[service]
	if a == nil {
		if b.accounts == nil {
			b.accounts = map[string]*account{}
		}
		since := now
		if !b.registeredAt.IsZero() {
			since = b.registeredAt
		}
		a = newAccount(since, b.Options.RetryWindow)
		b.accounts[service] = a
	}
	return a
}

// Package retrybudget limits how many calls are retried, so that retries cannot
// make an overload worse.
//
// The budget applies to the whole fleet and to each service separately: a share of
// the service's calls plus a fixed number. Each instance spends its own part
// without coordination: the share of the calls that it received itself, and an
// equal part of the fixed number among all instances that it knows. One that has used up
// its part asks others for a retry of theirs (core/permits): in a large fleet equal parts are
// small, while some instances need more and others none.
package retrybudget

import (
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
)

// minFleetSize is the least number of instances among which the fixed part of the
// budget is divided, so that instances which do not know each other yet stay within
// it. It is more than the 7 and 8 instances of the users' sites.
const minFleetSize = 10

// A Part is a part of a service's retry budget.
type Part string

// The parts.
const (
	CallsPart    Part = "calls"    // a share of the calls that the instance received
	InstancePart Part = "instance" // the instance's part of the fixed number
	LentPart     Part = "lent"     // a part of another instance, which lent it
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

// A Budget counts the calls and retries of each service on one instance. The
// fields must be set before use.
type Budget struct {
	Options *option.Options
	Members *member.Table

	windows map[string]*Window
}

// RecordCall counts a call of the service.
func (b *Budget) RecordCall(now clock.Instant, service string) { b.window(service).RecordCall(now) }

// Spend records a retry of a call of the service if the budget allows one, and
// returns the part that it was charged to. ok reports whether the budget allows it.
func (b *Budget) Spend(now clock.Instant, service string) (part Part, ok bool) {
	w := b.window(service)
	if w.TryRetry(now, b.Options.RetryRatio, 0) {
		return CallsPart, true
	}
	return InstancePart, w.TryRetry(now, b.Options.RetryRatio, b.instanceSlack())
}

// Usage returns the state of the service's budget on this instance.
func (b *Budget) Usage(now clock.Instant, service string) Usage {
	calls, retries := b.window(service).Counts(now)
	return Usage{Calls: calls, Retries: retries, Left: b.Options.RetryRatio*float64(calls) + b.instanceSlack() - float64(retries)}
}

// Available reports whether the budget allows a retry of a call of the service.
func (b *Budget) Available(now clock.Instant, service string) bool {
	return b.window(service).Allows(now, b.Options.RetryRatio, b.instanceSlack())
}

// lowThreshold is the number of retries left at an instance below which they are kept
// for failures that this instance could not have foreseen (docs/design/limits.md).
const lowThreshold = 2

// Low reports whether fewer than lowThreshold retries of calls of the service would be
// left after one more retry.
func (b *Budget) Low(now clock.Instant, service string) bool {
	return !b.window(service).Allows(now, b.Options.RetryRatio, b.instanceSlack()-lowThreshold)
}

// instanceSlack returns this instance's part of the fixed number.
func (b *Budget) instanceSlack() float64 {
	return b.Options.RetrySlack / float64(max(minFleetSize, b.Members.Size()))
}

// Reset discards all counts. It is called when the length of the window changes.
func (b *Budget) Reset() { b.windows = nil }

func (b *Budget) window(service string) *Window {
	w := b.windows[service]
	if w == nil {
		if b.windows == nil {
			b.windows = map[string]*Window{}
		}
		w = NewWindow(b.Options.RetryWindow)
		b.windows[service] = w
	}
	return w
}

// Package retrybudget bounds how many calls are sent to a second replica, so
// that repeats cannot make an overload worse.
//
// The budget belongs to the whole fleet and is kept for each service: a share of
// its calls, and a fixed number on top. Each instance spends its own part
// without asking anybody: the share of the calls that it took itself, and of the
// fixed number what is left to each if all instances that it knows of take as
// much. Where instances can share (core/permits), a part of the fixed number
// belongs to none of them and is given out on demand: in a large fleet even
// parts come to less than one repeat, while others need none.
package retrybudget

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
)

// minFleetSize is how many instances at least share the fixed part of the budget,
// so that instances which do not know each other yet stay within it: above the 7
// and 8 instances of the users' sites.
const minFleetSize = 10

const (
	// instanceShare is the part of the fixed number that the instances have for
	// themselves where they share (docs/design/limits.md).
	instanceShare = 0.5
	// sharedShare is the part of it that is given out on demand. Others may have
	// given out as much just before, and a third part of that: with 2.3 times
	// this the own parts are the whole (docs/design/limits.md).
	sharedShare = 0.21
)

// A Budget counts the calls and repeats of each service on one instance. The
// fields must be set before its use.
type Budget struct {
	Options *option.Options
	Members *member.Table
	// Common says that a part of the fixed number is given out on demand.
	Common bool

	windows map[string]*Window
}

// RecordCall counts a call of the service.
func (b *Budget) RecordCall(now clock.Instant, service string) { b.window(service).RecordCall(now) }

// Spend takes one repeat of a call of the service, and reports whether the
// budget allows it.
func (b *Budget) Spend(now clock.Instant, service string) bool {
	return b.window(service).TryRetry(now, b.Options.RetryRatio, b.instanceSlack())
}

// Available reports whether the budget allows a repeat of a call of the service.
func (b *Budget) Available(now clock.Instant, service string) bool {
	return b.window(service).Allows(now, b.Options.RetryRatio, b.instanceSlack())
}

// lowThreshold is how many repeats are left at an instance when they are kept for calls that fail
// without any fault of what is known here (docs/design/limits.md).
const lowThreshold = 2

// Low reports whether few repeats of calls of the service are left.
func (b *Budget) Low(now clock.Instant, service string) bool {
	return !b.window(service).Allows(now, b.Options.RetryRatio, b.instanceSlack()-lowThreshold)
}

// instanceSlack returns this instance's part of the fixed number.
func (b *Budget) instanceSlack() float64 {
	slack := b.Options.RetrySlack
	if b.Common {
		slack *= instanceShare
	}
	return slack / float64(max(minFleetSize, b.Members.Size()))
}

// SharedRetries returns how many repeats of a service's calls belong to no instance, and the span
// in which they may be made.
func (b *Budget) SharedRetries() (repeats float64, span time.Duration) {
	return sharedShare * b.Options.RetrySlack, b.Options.RetryWindow
}

// Reset forgets what was counted, for a window of another length.
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

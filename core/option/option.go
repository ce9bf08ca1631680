// Package option provides the tunables of an instance's state machine. A driver
// fills them from settings. The machine keeps one Options, which all its modules
// read; a change of settings replaces it between two steps.
package option

import (
	"time"

	"github.com/birchdrift/birchdrift/core/bounds"
)

// Options are the tunables of a machine, all in one table. The zero value is not usable; start
// from Default.
type Options struct {
	// LeaseTerm is the term of the planner's lease.
	LeaseTerm time.Duration
	// ExchangeEvery spaces the exchanges that this instance begins.
	ExchangeEvery time.Duration
	// ReadEvery spaces the reads of one engine's state; it grows with the
	// number of engines that this instance reads.
	ReadEvery time.Duration
	// BusyReadEvery spaces the planner's reads of an engine that is loading or
	// unloading.
	BusyReadEvery time.Duration
	// PlanEvery spaces the residency plans.
	PlanEvery time.Duration
	// WatchWait is how long one watch call waits at the platform. On a users' platform, 0 means
	// that it follows from Bounds.
	WatchWait time.Duration
	// Stall is how long an upstream may send nothing before its attempt counts
	// as broken.
	Stall time.Duration
	// MaxWaiting bounds the calls that wait here for a replica.
	MaxWaiting int
	// DefaultWait is how late a first token may be when no policy says.
	DefaultWait time.Duration
	// ClaimLife is how long a claim of an idempotency key lives.
	ClaimLife time.Duration
	// StopDelay is how long a stopping instance goes on taking calls, so that
	// the balancer has time to see that it is not ready.
	StopDelay time.Duration
	// StopLimit is how long a stopping instance waits for calls to end.
	StopLimit time.Duration
	// RetryWindow is the span over which repeats of calls are counted, RetryRatio
	// the share of a service's calls that they may be, and RetrySlack how many more
	// all instances together may make.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  float64
	// Watchers is how many instances of a zone watch the platform; where it is
	// watched as one and the fleet is small, all do.
	Watchers int
	// WatchEvery is the least time between two watch calls of one kind, so
	// that changes that come together are heard together. On a users' platform, 0 means that
	// it follows from Bounds.
	WatchEvery time.Duration
	// EnrolTerm is the term of the lease on which an instance's record hangs,
	// KeepEvery the spacing of its renewals.
	EnrolTerm time.Duration
	KeepEvery time.Duration
	// OrderValid is how long after its last renewal an owner may give orders.
	OrderValid time.Duration
	// TurnGap is the least time between the orders of two owners of an engine.
	TurnGap time.Duration
	// AbsentFor is how long an owner's record must have been gone, while the
	// store answered, before its engines are taken over.
	AbsentFor time.Duration
	// MeshEvery spaces the exchanges with every peer of a small fleet; 0 means
	// that there are none.
	MeshEvery time.Duration
	// ProbeWait is how long a forwarded call waits for engines to say how busy
	// they are, in a fleet too large to exchange pairwise; 0: it does not ask.
	ProbeWait time.Duration
	// Bounds are the times that a platform's users rely on.
	Bounds bounds.Bounds
	// Environment says what the instance runs in. It is read once, when the
	// machine is put together.
	Environment Environment
	// Disable switches mechanisms off, for tests that show what they prevent.
	Disable Disabled
}

// An Environment says what an instance runs in, and so which parts its machine
// is put together from.
type Environment int

// The environments.
const (
	// Own is the product's own: a key-value service that answers watches of
	// single keys, and engines that take orders under a zone planner's lease.
	Own Environment = iota
	// Platform is a users' platform that is joined through internal/environment: one
	// watch of its whole store, and engines that announce themselves and take
	// orders from an owner.
	Platform
)

// Disabled names the mechanisms that a test may switch off.
type Disabled struct {
	Booking   bool // plan by what engines last reported, without the ledger
	AtMost    bool // send a call again though it may have run
	Monotonic bool // take over an older revision
	Fences    bool // plan by plain reads, without raising fences first
	TurnWait  bool // order an engine at once after taking it from another owner
	// HearRegistry has owners order engines though they do not hear of the registry.
	HearRegistry bool
	Rate         bool // load from the weight store without regard to its rate
	Intents      bool // order engines that check nothing without writing it down
}

// PlatformExchangeInterval returns the spacing of exchanges where news of the platform travels by them.
func (o Options) PlatformExchangeInterval() time.Duration {
	if o.Environment != Platform {
		return o.ExchangeEvery
	}
	return o.Bounds.ExchangeInterval(o.ExchangeEvery)
}

// Default returns the product's defaults.
func Default() Options {
	return Options{
		LeaseTerm:     10 * time.Second,
		ExchangeEvery: 2 * time.Second,
		ReadEvery:     time.Second,
		BusyReadEvery: 300 * time.Millisecond,
		PlanEvery:     time.Second,
		WatchWait:     25 * time.Second,
		Stall:         10 * time.Second,
		MaxWaiting:    512,
		DefaultWait:   10 * time.Second,
		ClaimLife:     24 * time.Hour,
		StopDelay:     3 * time.Second,
		StopLimit:     10 * time.Minute,
		RetryWindow:   10 * time.Second,
		RetryRatio:    0.2,
		RetrySlack:    50,
		Watchers:      2,
		EnrolTerm:     3 * time.Second,
		KeepEvery:     600 * time.Millisecond,
		OrderValid:    4 * time.Second,
		TurnGap:       3 * time.Second,
		AbsentFor:     time.Second,
		Bounds:        bounds.Default(),
	}
}

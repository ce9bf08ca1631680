// Package option provides the options of an instance's state machine. The driver
// sets them from the settings. The machine has one Options value, which all its
// modules read; a change of the settings replaces it between two steps.
package option

import (
	"time"

	"github.com/birchdrift/birchdrift/core/bounds"
)

// Options configure a state machine. The zero value is not usable; start from
// Default.
type Options struct {
	// LeaseTerm is the term of the zone planner's lease.
	LeaseTerm time.Duration
	// ExchangeEvery is the time between the exchanges that this instance starts.
	ExchangeEvery time.Duration
	// ReadEvery is the least time between two reads of one engine's state. The
	// actual time grows with the number of engines that this instance reads.
	ReadEvery time.Duration
	// BusyReadEvery is the time between the planner's reads of an engine that is
	// loading or unloading an item.
	BusyReadEvery time.Duration
	// PlanEvery is the time between residency plans.
	PlanEvery time.Duration
	// WatchWait is how long one watch call waits at the platform for a change.
	// On a users' platform, 0 means that the time is derived from Bounds.
	WatchWait time.Duration
	// Stall is how long an upstream may send nothing before the attempt counts as
	// failed.
	Stall time.Duration
	// MaxWaiting is the maximum number of calls that wait at this instance for a
	// replica.
	MaxWaiting int
	// DefaultWait is how late a first token may be if no policy specifies it.
	DefaultWait time.Duration
	// ClaimLife is the time to live of a claim of an idempotency key.
	ClaimLife time.Duration
	// StopDelay is how long a stopping instance continues to accept calls, so
	// that the load balancer has time to notice that it is not ready.
	StopDelay time.Duration
	// StopLimit is how long a stopping instance waits for its calls to end.
	StopLimit time.Duration
	// RetryWindow is the window over which retries are counted. RetryRatio is the
	// largest ratio of retries to the calls of a service, and RetrySlack is the
	// number of retries beyond it that all instances together may make.
	RetryWindow time.Duration
	RetryRatio  float64
	RetrySlack  float64
	// Watchers is the number of instances of a zone that watch the platform. If
	// one watch covers the whole store and the fleet is small, all instances do.
	Watchers int
	// WatchEvery is the least time between two watch calls of one kind, so that
	// one call returns all changes of a burst. On a users' platform, 0 means that
	// the time is derived from Bounds.
	WatchEvery time.Duration
	// EnrolTerm is the term of the lease that an instance's registration is
	// attached to, and KeepEvery is the time between its renewals.
	EnrolTerm time.Duration
	KeepEvery time.Duration
	// OrderValid is how long after the last renewal of its lease an owner may send
	// orders.
	OrderValid time.Duration
	// TurnGap is the least time between the orders of two successive owners of an
	// engine.
	TurnGap time.Duration
	// AbsentFor is how long an owner's registration must have been missing, while
	// the store responded, before its engines are taken over.
	AbsentFor time.Duration
	// MeshEvery is the time between the exchanges with every peer of a small
	// fleet; 0 disables them.
	MeshEvery time.Duration
	// ProbeWait is how long a forwarded call waits for the load probes of engines,
	// in a fleet that is too large for a full mesh of exchanges; 0 disables probes.
	ProbeWait time.Duration
	// FirstStart reports that no instance of the fleet ran before the one that has these options
	// and those that start together with it.
	FirstStart bool
	// Bounds are the time bounds that the users of a platform rely on.
	Bounds bounds.Bounds
	// Environment is the environment that the instance runs in. It is read only
	// when the machine is built.
	Environment Environment
	// Disable disables mechanisms, for tests that show which failures they prevent.
	Disable Disabled
}

// An Environment is the kind of platform that an instance runs on. It determines
// the modules of its machine.
type Environment int

// The environments.
const (
	// Own is the environment that the product defines itself: a key-value service
	// with watches of single keys, and engines that receive orders from the planner
	// of their zone, which holds a lease.
	Own Environment = iota
	// Platform is a users' platform, connected through internal/environment: one
	// watch covers its whole store, and engines announce themselves and receive
	// orders from their owner.
	Platform
)

// Disabled selects the mechanisms that a test disables. The comment of each field
// states what the machine does without the mechanism.
type Disabled struct {
	Booking   bool // plans by the last reported state of engines, without the ledger
	AtMost    bool // retries a call that may have run
	Monotonic bool // installs an older revision
	Fences    bool // plans by plain reads, without raising the engines' fences first
	TurnWait  bool // sends orders immediately after an owner change
	// HearRegistry lets owners send orders although their view of the registry is
	// out of date.
	HearRegistry   bool
	VersionHold    bool // begins streams at a version of replicas as soon as it is listed
	VersionHistory bool // takes the versions in its own list for all that have served lately
	VersionAge     bool // takes its own list for current, however old it is
	StreamRecords  bool // tells no other instance which streams it began
	StreamLookup   bool // asks no other instance for a stream
	PartReports    bool // reports no parts of prompts of the requests at replicas that crashed
	PartHold       bool // sends requests with a suspected part of the prompt like any other
	PartSuccesses  bool // tells no other instance that requests with a suspected part were served
	Rate           bool // ignores the rate limit of loads from the weight store
	Intents        bool // does not store intents before orders to engines that check no fences
}

// PlatformExchangeInterval returns the time between the exchanges by which updates
// from the platform spread to the instances that do not watch it.
func (o Options) PlatformExchangeInterval() time.Duration {
	if o.Environment != Platform {
		return o.ExchangeEvery
	}
	return o.Bounds.ExchangeInterval(o.ExchangeEvery)
}

// Default returns the default options.
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

// Package bounds defines how soon an instance must act on changes in its platform's store, and
// derives from that the delays on the way from the store to the last call that is sent.
//
// Every delay that a change may meet is part of one sum. A delay that is set on its own may be
// harmless and the sum still too long, so the delays are computed from the bound, and settings
// that make the sum too long are refused at startup.
package bounds

import (
	"fmt"
	"strings"
	"time"
)

// Bounds are the time limits that a platform's users rely on.
type Bounds struct {
	// Leave is the longest time from when the store shows a replica as leaving, or its entry
	// ends, to the last call that reaches the replica.
	Leave time.Duration
	// Settle is how long the instance and the store must have run undisturbed for Leave to
	// apply to the instance.
	Settle time.Duration
}

// Default returns the bounds used if a platform defines none.
func Default() Bounds { return Bounds{Leave: 2 * time.Second, Settle: 3 * time.Second} }

// DialTimeout is how long an instance tries to connect to a replica.
const DialTimeout = 300 * time.Millisecond

// Fractions of Leave.
const (
	pauseShare        = 0.2    // pause between two watches
	pauseRelayedShare = 0.1    // the same, if a few instances watch and relay changes to all
	waitShare         = 0.3    // longest wait of one watch at the store
	overdueShare      = 0.05   // for the answer to a watch after its wait has ended
	readShare         = 0.1    // for a read of the whole list from a healthy store
	sendShare         = 0.05   // for all processing between the change and the call
	reserveShare      = 0.05   // left unused by the delays where possible
	exchangeShare     = 1. / 6 // longest interval of exchanges
)

const (
	// minWait is the shortest wait for which a watch is worth its request.
	minWait = 100 * time.Millisecond
	// hopIntervals is within how many of its exchange intervals an instance receives a change
	// from one that watches, including jitter.
	hopIntervals = 2.2
	// settleShare is the fraction of Settle that bounds the delay of a retry of a failed call
	// to the store.
	settleShare = 0.5
)

// A Timing holds the inputs of the delays that are not Bounds.
type Timing struct {
	// Mesh reports whether every instance watches, and exchanges with every other one.
	Mesh bool
	// Exchange is the interval of an instance's exchanges.
	Exchange time.Duration
	// Pause and Wait are the operator's settings; 0: computed.
	Pause time.Duration
	Wait  time.Duration
}

// Delays are the longest delays, one after the other, between a change in the store and the
// last call: the change happens just after a watch was answered, the next watch hangs, the
// whole list is read in parallel, a peer receives the change, and a connection to the replica
// is being made.
type Delays struct {
	Pause   time.Duration // from one watch to the next
	Wait    time.Duration // of one watch at the store
	Overdue time.Duration // until another call is made in parallel to a hanging watch
	Read    time.Duration // of the whole list
	Hop     time.Duration // to an instance that does not watch
	Dial    time.Duration // of a connection to a replica
	Send    time.Duration // for processing the change, choosing a replica and sending the call
}

// Sum returns the longest time from the change in the store to the last call.
func (d Delays) Sum() time.Duration {
	return d.Pause + d.Wait + d.Overdue + d.Read + d.Hop + d.Dial + d.Send
}

// MaxListAge returns the greatest age of the list at an instance while a healthy store answers
// it, or the peers that relay the list to it.
func (d Delays) MaxListAge() time.Duration { return d.Pause + d.Wait + d.Overdue + d.Hop }

// A Delay is one of the Delays.
type Delay struct {
	Name    string
	Meaning string
	Longest time.Duration
}

// All returns the delays in their order.
func (d Delays) All() []Delay {
	return []Delay{
		{"pause", "from the answer to a watch to the next one", d.Pause},
		{"wait", "of one watch at the store", d.Wait},
		{"overdue", "until a watch without an answer counts as hanging", d.Overdue},
		{"read", "of the whole list, in parallel to the watch", d.Read},
		{"hop", "until an instance that does not watch receives the change", d.Hop},
		{"dial", "of an attempt to connect to a replica", d.Dial},
		{"send", "processing the change, choosing a replica and sending the call", d.Send},
	}
}

// String lists the delays with their names.
func (d Delays) String() string {
	var parts []string
	for _, delay := range d.All() {
		parts = append(parts, fmt.Sprintf("%s %v", delay.Name, delay.Longest))
	}
	return strings.Join(parts, ", ")
}

// Delays computes the delays from the bounds and the timing.
func (b Bounds) Delays(t Timing) Delays {
	d := Delays{
		Pause:   b.share(pauseShare),
		Overdue: b.share(overdueShare),
		Read:    b.share(readShare),
		Dial:    DialTimeout,
		Send:    b.share(sendShare),
	}
	if !t.Mesh {
		d.Pause = b.share(pauseRelayedShare)
		d.Hop = time.Duration(hopIntervals * float64(b.ExchangeInterval(t.Exchange)))
	}
	if t.Pause > 0 {
		d.Pause = t.Pause
	}
	d.Wait = min(b.share(waitShare), max(minWait, b.Leave-b.share(reserveShare)-d.Sum()))
	if t.Wait > 0 {
		d.Wait = t.Wait
	}
	return d
}

// Check returns an error if the sum of the delays exceeds Leave.
func (b Bounds) Check(t Timing) error {
	if d := b.Delays(t); d.Sum() > b.Leave {
		return fmt.Errorf("a replica that leaves could get calls for %v, and %v are allowed: %v", d.Sum(), b.Leave, d)
	}
	return nil
}

// ExchangeInterval returns the interval of exchanges where they carry changes: as configured,
// but short enough for Leave.
func (b Bounds) ExchangeInterval(configured time.Duration) time.Duration {
	return min(configured, b.share(exchangeShare))
}

// MaxStoreSilence returns the age of the list at which an instance that receives it from peers
// queries the store itself.
func (b Bounds) MaxStoreSilence() time.Duration {
	return b.Leave - b.share(readShare) - b.share(sendShare) - DialTimeout
}

// VanishedGracePeriod returns how long a replica may still be used after its entry was last
// known to exist, if no outage of the store can explain why it vanished.
func (b Bounds) VanishedGracePeriod() time.Duration {
	return b.Leave - b.share(sendShare) - DialTimeout
}

// MaxVersionAge returns the age of its list up to which an instance that has seen only one version
// of a service's replicas knows that no stream has begun at another one.
func (b Bounds) MaxVersionAge() time.Duration { return b.Leave }

// VersionHold returns how long an instance begins no stream at a version of a service's replicas
// after it has heard of it, beside an earlier version. By then each other instance has heard of
// it as well, or its list is older than MaxVersionAge. An answer to a watch that is delayed makes
// the list look younger than it is, by the wait of the watch at most.
func (b Bounds) VersionHold(t Timing) time.Duration { return b.MaxVersionAge() + b.Delays(t).Wait }

// MaxRetryDelay returns the longest delay of a retry of a failed call to the store.
func (b Bounds) MaxRetryDelay() time.Duration { return time.Duration(settleShare * float64(b.Settle)) }

// share returns a fraction of Leave.
func (b Bounds) share(frac float64) time.Duration { return time.Duration(frac * float64(b.Leave)) }

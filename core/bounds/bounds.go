// Package bounds states how soon an instance must act on what its platform's store says, and
// derives from that the waits on the way from the store to the last call that is sent.
//
// Each wait that a piece of news may meet is a part of one sum. A wait that is set by itself
// can be harmless and the sum too long all the same, so the waits are worked out from the
// bound, and waits that are set and make the sum too long are refused at the start.
package bounds

import (
	"fmt"
	"strings"
	"time"
)

// Bounds are the times that a platform's users rely on.
type Bounds struct {
	// Leave is the longest time from the store's word that a replica leaves, or from the
	// end of its entry, to the last call that reaches the replica.
	Leave time.Duration
	// Settle is how long an instance and the store must have been undisturbed for Leave to
	// bind the instance.
	Settle time.Duration
}

// Default returns the bounds where a platform states none.
func Default() Bounds { return Bounds{Leave: 2 * time.Second, Settle: 3 * time.Second} }

// DialTimeout is how long an instance tries to connect to a replica.
const DialTimeout = 500 * time.Millisecond

// Shares of Leave.
const (
	pauseShare        = 0.2  // between two watches
	pauseRelayedShare = 0.1  // the same, where few instances watch for all
	waitShare         = 0.3  // longest wait of one watch
	overdueShare      = 0.05 // for the answer to a watch whose wait is over
	readShare         = 0.1  // for a read of the whole list from a sound store
	sendShare         = 0.05 // for all that is done between the news and the call
	reserveShare      = 0.05 // that the parts leave over where they can
	exchangeShare     = 1. / 6
)

const (
	// minWait is the shortest wait of a watch that is worth its call.
	minWait = 100 * time.Millisecond
	// hopIntervals is within how many of its rounds of exchanges an instance hears from one
	// that watches, with their jitter.
	hopIntervals = 2.2
	// settleShare is the part of Settle after which the store is called again at the latest,
	// after calls that failed.
	settleShare = 0.5
)

// A Timing is what else the parts depend on.
type Timing struct {
	// Mesh says that each instance watches, and exchanges with each other one.
	Mesh bool
	// Exchange is the spacing of an instance's exchanges.
	Exchange time.Duration
	// Pause and Wait are set by an operator; 0: worked out.
	Pause time.Duration
	Wait  time.Duration
}

// Delays are the longest waits on the way from the store's word to the last call, one after the
// other: the news comes just after a watch was answered, the next watch hangs, the whole list is
// read beside it, a peer hears of it, and a connection to the replica is being made.
type Delays struct {
	Pause   time.Duration // from one watch to the next
	Wait    time.Duration // of one watch at the store
	Overdue time.Duration // until another call is made beside a watch that hangs
	Read    time.Duration // of the whole list
	Hop     time.Duration // to an instance that does not watch
	Dial    time.Duration // of a connection to a replica
	Send    time.Duration // for what is handled, chosen and on its way
}

// Sum returns the longest time from the store's word to the last call.
func (p Delays) Sum() time.Duration {
	return p.Pause + p.Wait + p.Overdue + p.Read + p.Hop + p.Dial + p.Send
}

// MaxListAge returns how old the list may be at an instance while a sound store answers it, or
// those that tell it of the list.
func (p Delays) MaxListAge() time.Duration { return p.Pause + p.Wait + p.Overdue + p.Hop }

// A Delay is one of them.
type Delay struct {
	Name    string
	Meaning string
	Longest time.Duration
}

// All lists the parts, in their order.
func (p Delays) All() []Delay {
	return []Delay{
		{"pause", "from the answer to a watch to the next one", p.Pause},
		{"wait", "of one watch at the store", p.Wait},
		{"overdue", "until a watch without an answer counts as hanging", p.Overdue},
		{"read", "of the whole list, beside it", p.Read},
		{"hop", "to an instance that does not watch", p.Hop},
		{"dial", "of a connection to a replica", p.Dial},
		{"send", "news handled, call chosen and on its way", p.Send},
	}
}

// String lists the parts.
func (p Delays) String() string {
	var words []string
	for _, part := range p.All() {
		words = append(words, fmt.Sprintf("%s %v", part.Name, part.Longest))
	}
	return strings.Join(words, ", ")
}

// Delays works the parts out.
func (b Bounds) Delays(r Timing) Delays {
	p := Delays{
		Pause:   b.share(pauseShare),
		Overdue: b.share(overdueShare),
		Read:    b.share(readShare),
		Dial:    DialTimeout,
		Send:    b.share(sendShare),
	}
	if !r.Mesh {
		p.Pause = b.share(pauseRelayedShare)
		p.Hop = time.Duration(hopIntervals * float64(b.ExchangeInterval(r.Exchange)))
	}
	if r.Pause > 0 {
		p.Pause = r.Pause
	}
	p.Wait = min(b.share(waitShare), max(minWait, b.Leave-b.share(reserveShare)-p.Sum()))
	if r.Wait > 0 {
		p.Wait = r.Wait
	}
	return p
}

// Check returns an error for parts that come to more than the bound.
func (b Bounds) Check(r Timing) error {
	if p := b.Delays(r); p.Sum() > b.Leave {
		return fmt.Errorf("a replica that leaves could get calls for %v, and %v are allowed: %v", p.Sum(), b.Leave, p)
	}
	return nil
}

// ExchangeInterval returns the spacing of exchanges where news travels by them: as set, but short enough
// for Leave.
func (b Bounds) ExchangeInterval(set time.Duration) time.Duration {
	return min(set, b.share(exchangeShare))
}

// MaxStoreSilence returns how old the list may be at an instance that hears of it from peers before
// it asks the store itself.
func (b Bounds) MaxStoreSilence() time.Duration {
	return b.Leave - b.share(readShare) - b.share(sendShare) - DialTimeout
}

// VanishedGracePeriod returns for how long a replica may still be used after its entry was last known to
// stand, if no outage of the store may be why it went.
func (b Bounds) VanishedGracePeriod() time.Duration {
	return b.Leave - b.share(sendShare) - DialTimeout
}

// MaxRetryDelay returns after how long the store is called again at the latest, after calls that
// failed.
func (b Bounds) MaxRetryDelay() time.Duration { return time.Duration(settleShare * float64(b.Settle)) }

func (b Bounds) share(part float64) time.Duration { return time.Duration(part * float64(b.Leave)) }

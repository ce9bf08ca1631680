package rejectbudget

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
)

// How an instance that has just started learns whether replicas have a limit. Until then it must
// not send them all that it has: while instances restart one after the other, their first requests
// would add up.

const (
	// learnTimeout is how long an instance that has started waits for the first message of a peer
	// before it asks the replicas, and learnTime how long after its start it has heard from the
	// other instances what they know, if it reaches any.
	learnTimeout = 300 * time.Millisecond
	learnTime    = 2 * time.Second
	// learnRequests is the number of requests per service that it has without an answer meanwhile,
	// so that a call whose first attempt failed can be retried.
	learnRequests = 4
)

// A learning is what an instance has found out since it started.
type learning struct {
	startedAt clock.Instant   // of the first observation; zero: there was none
	heard     bool            // a peer has sent a message
	informed  bool            // a peer that knew the limits has
	answered  map[string]bool // services with a replica that has answered
}

// Informed reports whether this instance knows the limits of all services that have one, as far as
// the fleet does.
func (b *Budget) Informed(now clock.Instant) bool {
	switch l := b.learning; {
	case b.Options.Environment != option.Platform || l.informed:
		return true
	case l.startedAt.IsZero():
		return false
	default:
		return now.Since(l.startedAt) >= learnTime
	}
}

// knows reports whether this instance knows whether a service's replicas have a limit.
func (b *Budget) knows(now clock.Instant, service string) bool {
	return b.Informed(now) || b.learning.answered[service]
}

// mayTry reports whether this instance may send a request to a replica whose limit it does not know:
// once a peer that did not know it either was heard of, or none was for learnTimeout. It sends one
// request at a time to each replica, and no more than learnRequests to the service.
func (b *Budget) mayTry(now clock.Instant, r *pool.Replica) bool {
	started := b.learning.startedAt
	if started.IsZero() || !b.learning.heard && b.hasPeers() && now.Since(started) < learnTimeout {
		return false
	}
	if r.Exposed(now, b.rejections(r).Hold) > 0 {
		return false
	}
	exposed := 0
	for _, other := range b.Pool.Serving(r.Service) {
		exposed += other.Exposed(now, b.rejections(other).Hold)
	}
	return exposed < learnRequests
}

// hasPeers reports whether there is, or may be, another instance.
func (b *Budget) hasPeers() bool { return len(b.Members.Peers()) > 0 || len(b.Self.Seeds) > 0 }

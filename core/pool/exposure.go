package pool

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// An exposure tracks the requests of this instance that a replica may still reject: those that it
// has not answered. A request that ends without the replica having accepted it may have been
// rejected, and counts for some time longer.
type exposure struct {
	unanswered map[uint64]bool // by call, or by relayed attempt
	ended      int             // requests that ended since heldUntil was last updated
	heldUntil  []clock.Instant
}

// relayKeyBit distinguishes the keys of relayed attempts from those of calls.
const relayKeyBit = 1 << 63

// ExposeRelay records that an attempt of another instance is sent to the replica.
func (r *Replica) ExposeRelay(token uint64) { r.expose(token | relayKeyBit) }

// RelayNotRejected records that the replica will not reject a relayed attempt: it answered in
// another way, or the attempt did not reach it.
func (r *Replica) RelayNotRejected(token uint64) { r.accept(token | relayKeyBit) }

// RelayEnded records that a relayed attempt has ended.
func (r *Replica) RelayEnded(token uint64) { r.endExposure(token | relayKeyBit) }

// CallNotRejected records that the replica will not reject a call: it answered in another way, or
// the call did not reach it.
func (r *Replica) CallNotRejected(id uint64) { r.accept(id) }

func (r *Replica) expose(key uint64) {
	if r.exposure.unanswered == nil {
		r.exposure.unanswered = map[uint64]bool{}
	}
	r.exposure.unanswered[key] = true
}

// accept records that the replica cannot reject a request any more.
func (r *Replica) accept(key uint64) { delete(r.exposure.unanswered, key) }

// endExposure records that a request has ended.
func (r *Replica) endExposure(key uint64) {
	if r.exposure.unanswered[key] {
		delete(r.exposure.unanswered, key)
		r.exposure.ended++
	}
}

// Exposed returns the number of this instance's requests that the replica may still reject, or may
// have rejected within the last hold.
func (r *Replica) Exposed(now clock.Instant, hold time.Duration) int {
	e := &r.exposure
	for ; e.ended > 0; e.ended-- {
		e.heldUntil = append(e.heldUntil, now.Add(hold))
	}
	e.heldUntil = slices.DeleteFunc(e.heldUntil, func(until clock.Instant) bool { return !now.Before(until) })
	return len(e.unanswered) + len(e.heldUntil)
}

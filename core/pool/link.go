package pool

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// A linkState is what this instance's own connections to a replica show. It is a fact about the
// link, not about the replica: other instances may reach it.
type linkState struct {
	brokenSince clock.Instant // when connecting first failed; zero: no attempt failed since the last that succeeded
	failedAt    clock.Instant // when connecting failed last
	timedOut    bool          // the last failed attempt got no answer; otherwise it was refused
	provenAt    clock.Instant // when the replica last answered something, or accepted a connection
}

// LinkFailed records that a connection to the replica could not be established. timedOut means
// that nothing answered at all, as opposed to a refusal.
func (r *Replica) LinkFailed(now clock.Instant, timedOut bool) {
	if r.link.brokenSince.IsZero() {
		r.link.brokenSince = now
	}
	r.link.failedAt = now
	r.link.timedOut = timedOut
}

// LinkProven records that the replica answered on a connection that was requested at sent, or
// accepted it. An answer to a request that was sent before the last failure does not show that
// connections can be established since.
func (r *Replica) LinkProven(now, sent clock.Instant) {
	r.link.provenAt = now
	if !sent.Before(r.link.failedAt) {
		r.link.brokenSince = clock.Instant{}
	}
}

// ProvenWithin reports whether the replica has answered something, or accepted a connection, within
// the last span.
func (r *Replica) ProvenWithin(now clock.Instant, span time.Duration) bool {
	return !r.link.provenAt.IsZero() && now.Since(r.link.provenAt) < span
}

// LinkBroken reports whether the last attempt to connect to the replica failed.
func (r *Replica) LinkBroken() bool { return !r.link.brokenSince.IsZero() }

// LinkBrokenTogether reports whether the links to two replicas broke within window.
func (r *Replica) LinkBrokenTogether(other *Replica, window time.Duration) bool {
	return r.link.brokenSince.Since(other.link.brokenSince).Abs() <= window
}

// LinkTimedOut reports whether the last attempt to connect to the replica got no answer, as
// opposed to a refusal: open connections to it are probably silent too.
func (r *Replica) LinkTimedOut() bool { return r.LinkBroken() && r.link.timedOut }

// LinkBrokenFor returns for how long no attempt to connect to the replica has succeeded; 0 if the
// last one did.
func (r *Replica) LinkBrokenFor(now clock.Instant) time.Duration {
	if !r.LinkBroken() {
		return 0
	}
	return now.Since(r.link.brokenSince)
}

package pool

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// A Notice is what a replica reports about itself in the headers of any response. The zero
// value reports nothing.
type Notice struct {
	Leaving bool          // takes no new work and will terminate
	Rest    time.Duration // requests no calls from this instance for this long (Retry-After)
	Limit   RateLimit     // rate limit over all instances together
	// Rejections is how many requests the replicas of its service can reject.
	Rejections RejectionLimit
}

// A RejectionLimit is the number of requests that each replica of a service can reject within a
// second without failing, over all instances together. The zero value means that the response has
// none.
type RejectionLimit struct {
	Named     bool // the response has a limit
	PerSecond int
}

// IsZero reports whether the notice is empty.
func (n Notice) IsZero() bool { return n == Notice{} }

const (
	// lastResortPeriod is how long a replica that reported itself as leaving may still receive
	// calls that no other replica can serve, because all replicas of a service are leaving at
	// once. It is half of the users' bound for calls after such a response.
	lastResortPeriod = time.Second
	// LongRest is the rest from which a replica counts as unavailable for its models, so that
	// they are loaded elsewhere. It is longer than any load takes.
	LongRest = 10 * time.Second
)

// restState tracks the rest that a replica requested. After the rest one trial call is sent,
// and others only once it has been answered. Otherwise the calls that waited at all instances
// would reach the replica together while it may still be full.
type restState struct {
	until     clock.Instant // end of the rest; zero if none was requested or a call was answered since
	trialCall uint64        // ID of the trial call in flight, 0 if there is none
	// peersUntil is the end of the rests that other instances reported.
	peersUntil clock.Instant
}

// Resting reports whether the replica requested a rest from this instance that has not ended.
func (r *Replica) Resting(now clock.Instant) bool { return now.Before(r.rest.until) }

// RestLeft returns the remaining time of the rest requested from this instance, 0 if there is
// none.
func (r *Replica) RestLeft(now clock.Instant) time.Duration { return max(0, r.rest.until.Since(now)) }

// MayReject reports whether the replica may reject the next call: it requested a rest from this
// instance and has not answered one of its calls since, or it requested one from another
// instance that has not ended.
func (r *Replica) MayReject(now clock.Instant) bool { return r.NeedsTrial() || r.RejectsPeers(now) }

// NeedsTrial reports whether the replica requested a rest from this instance and has not
// answered one of its calls since.
func (r *Replica) NeedsTrial() bool { return !r.rest.until.IsZero() }

// RejectsPeers reports whether a rest that the replica requested from another instance has not
// ended. The rest does not bind this instance, but a full replica is likely to reject its next
// call as well.
func (r *Replica) RejectsPeers(now clock.Instant) bool { return now.Before(r.rest.peersUntil) }

// ObservePeerRest records the end of a rest that an incarnation of a replica requested from
// another instance.
func (p *Pool) ObservePeerRest(incarnation Incarnation, until clock.Instant) {
	if r := p.replicas[incarnation.Name]; r != nil && r.MayBeIncarnation(incarnation.Born) {
		r.rest.peersUntil = clock.Latest(r.rest.peersUntil, until)
	}
}

// OnTrial reports whether a trial call is in flight that shows whether the replica takes calls
// again after its rest.
func (r *Replica) OnTrial() bool { return r.rest.trialCall != 0 }

// LastResort reports whether the replica may receive calls that no other replica can serve: it
// leaves only according to its own recent response, not according to the list.
func (r *Replica) LastResort(now clock.Instant) bool {
	return !r.listedLeaving && !r.terminated && !r.superseded && !r.leavingAt.IsZero() && now.Since(r.leavingAt) < lastResortPeriod
}

// ObserveNotice records the leaving and rest parts of a notice from the response to a request
// that was sent at sent, and returns the parts that were new. It ignores a response to a
// request that was sent before this incarnation was first seen, since the previous one may have
// sent it.
func (p *Pool) ObserveNotice(now clock.Instant, name string, sent clock.Instant, n Notice) Notice {
	r := p.replicas[name]
	if r == nil || sent.Before(r.seenAt) {
		return Notice{}
	}
	var changed Notice
	if until := now.Add(n.Rest); n.Rest > 0 && r.rest.until.Before(until) {
		// A rest that ends earlier does not replace a longer one: responses may arrive
		// out of order.
		r.rest.until = until
		changed.Rest = n.Rest
		p.capacityChanges++
	}
	changed.Leaving = n.Leaving && p.MarkLeaving(now, name)
	return changed
}

// MarkLeaving records that a replica reported itself as leaving, and reports whether that was
// new.
func (p *Pool) MarkLeaving(now clock.Instant, name string) bool {
	r := p.replicas[name]
	if r == nil || r.knownLeaving() {
		return false
	}
	r.reportedLeaving = true
	r.leavingAt = now
	p.capacityChanges++
	return true
}

// ObservePeerLeaving records another instance's report that a replica is leaving, and reports
// whether that was new. Such a replica is not used as a last resort, since it may have been
// leaving for a long time.
func (p *Pool) ObservePeerLeaving(name string) bool {
	r := p.replicas[name]
	if r == nil || r.knownLeaving() {
		return false
	}
	r.reportedLeaving = true
	p.capacityChanges++
	return true
}

// AnswerBegan records the first piece of a call's response.
func (p *Pool) AnswerBegan(now clock.Instant, r *Replica, call uint64) {
	if r.rest.trialCall == call && call != 0 {
		r.rest = restState{}
		p.capacityChanges++
	}
	r.rest.peersUntil = clock.Instant{} // it serves calls, even if it rejected peers
	r.proven = true
	r.FirstTokenReceived(now, call, false)
}

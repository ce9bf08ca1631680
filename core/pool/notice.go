package pool

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// A Notice is what a replica says of itself in the head of an answer, whatever the
// answer is to. The zero value says nothing.
type Notice struct {
	Leaving bool          // it takes no new work and will end
	Rest    time.Duration // it wants nothing from this instance for so long
	Limit   RateLimit     // of what it takes from all instances together
}

// IsZero reports whether the replica said nothing of itself.
func (n Notice) IsZero() bool { return n == Notice{} }

const (
	// lastResortPeriod is for how long a replica that said itself that it leaves still gets
	// calls that no other can serve, where all replicas of a service leave at once: half of
	// the users' bound for calls after such an answer.
	lastResortPeriod = time.Second
	// LongRest is the rest from which a replica counts as no place for a model, so that
	// the model is loaded elsewhere: above the time of any load.
	LongRest = 10 * time.Second
)

// A restState is the time for which a replica wants nothing from this instance. After it one
// call is sent, and others only once that one is answered: calls that waited, at all
// instances, would else come back together to a replica that may still be full.
type restState struct {
	until     clock.Instant // zero: it did not ask, or has answered a call since
	trialCall uint64        // the call that was sent since, 0 if there is none
	// peersUntil is until when it wants nothing from some other instance, as peers told.
	peersUntil clock.Instant
}

// Resting reports whether the replica wants nothing from this instance.
func (r *Replica) Resting(now clock.Instant) bool { return now.Before(r.rest.until) }

// RestLeft returns for how long the replica wants nothing from this instance, 0 if it
// takes calls.
func (r *Replica) RestLeft(now clock.Instant) time.Duration { return max(0, r.rest.until.Since(now)) }

// MayReject reports whether the replica may turn a call away: it wanted nothing from this
// instance and has not answered a call of it since, or wants nothing from another one.
func (r *Replica) MayReject(now clock.Instant) bool { return r.needsTrial() || r.RejectsPeers(now) }

// needsTrial reports whether the replica wanted nothing from this instance and has not answered
// a call of it since.
func (r *Replica) needsTrial() bool { return !r.rest.until.IsZero() }

// RejectsPeers reports whether the replica wants nothing from some other instance. It is
// between those two; but one that is full turns the next away as well.
func (r *Replica) RejectsPeers(now clock.Instant) bool { return now.Before(r.rest.peersUntil) }

// ObservePeerRest notes until when a life of a replica wants nothing from some other instance.
func (p *Pool) ObservePeerRest(life Incarnation, until clock.Instant) {
	if r := p.replicas[life.Name]; r != nil && r.MayBeIncarnation(life.Born) {
		r.rest.peersUntil = clock.Latest(r.rest.peersUntil, until)
	}
}

// OnTrial reports whether a call shows at the moment if the replica, whose rest is over,
// takes calls again.
func (r *Replica) OnTrial() bool { return r.rest.trialCall != 0 }

// LastResort reports whether the replica leaves, by its own word of a moment ago alone,
// and may get calls that no other can serve.
func (r *Replica) LastResort(now clock.Instant) bool {
	return !r.listedLeaving && !r.terminated && !r.leavingAt.IsZero() && now.Since(r.leavingAt) < lastResortPeriod
}

// ObserveNotice takes in what a replica said of its leaving and its rest in its answer to what was
// sent at sent, and returns what of it is news. An answer to something that was sent before this life of the
// replica was known may be one of the life before, and says nothing.
func (p *Pool) ObserveNotice(now clock.Instant, name string, sent clock.Instant, said Notice) Notice {
	r := p.replicas[name]
	if r == nil || sent.Before(r.seenAt) {
		return Notice{}
	}
	var news Notice
	if until := now.Add(said.Rest); said.Rest > 0 && r.rest.until.Before(until) {
		// A shorter span after a longer one takes nothing back: the calls may have
		// overtaken each other.
		r.rest.until = until
		news.Rest = said.Rest
		p.capacityChanges++
	}
	news.Leaving = said.Leaving && p.MarkLeaving(now, name)
	return news
}

// MarkLeaving notes that a replica itself said that it leaves, and reports whether that
// is news.
func (p *Pool) MarkLeaving(now clock.Instant, name string) bool {
	r := p.replicas[name]
	if r == nil || r.Leaving() {
		return false
	}
	r.reportedLeaving = true
	r.leavingAt = now
	p.capacityChanges++
	return true
}

// ObservePeerLeaving notes that a replica leaves as other instances know, and reports whether that is
// news. It is not used as a last resort then, since it may have been leaving for long.
func (p *Pool) ObservePeerLeaving(name string) bool {
	r := p.replicas[name]
	if r == nil || r.Leaving() {
		return false
	}
	r.reportedLeaving = true
	p.capacityChanges++
	return true
}

// AnswerBegan notes that the first piece of the answer to a call came.
func (p *Pool) AnswerBegan(now clock.Instant, r *Replica, call uint64) {
	if r.rest.trialCall == call && call != 0 {
		r.rest = restState{}
		p.capacityChanges++
	}
	r.rest.peersUntil = clock.Instant{} // whatever it told others, it serves
	r.FirstTokenReceived(now, call, false)
}

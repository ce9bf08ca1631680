package ownership

import (
	"cmp"
	"sync"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/step"
)

// This file decides which instance claims an engine without an owner, and when the
// new owner may send the first order.

const (
	// claimInterval is the time between two checks for engines to claim, and for the
	// placer's record to claim. It is a third of the time that the engines of a lost
	// owner have to wait in any case.
	claimInterval = 300 * time.Millisecond
	// claimRankDelay is the time that an instance waits for each instance of higher rank
	// to claim first. It covers two checks and a write.
	claimRankDelay = 700 * time.Millisecond
	// sameOwnerGap is the time that an owner waits before it sends orders to an engine that
	// it claimed again itself, since its earlier orders may still be in flight. It is longer
	// than the time limit of an order at the fastest engines and shorter than the gap
	// between two owners.
	sameOwnerGap = 400 * time.Millisecond
	// turnMargin is added to TurnGap, the minimum time between the orders of two owners, to
	// allow for the transmission of an order and for clocks that run at different rates.
	turnMargin = 300 * time.Millisecond
)

// A claims holds the schedule and the state of this instance's claims.
type claims struct {
	due      clock.Instant // when to check next for engines to claim
	inFlight bool          // a write of claims is in flight
}

// claim claims the engines that this instance should own.
func (r *Registry) claim(now clock.Instant) {
	if now.Before(r.claims.due) {
		return
	}
	r.claims.due = now.Add(step.Jitter(r.Rand, claimInterval))
	if !r.era.isReady() || !r.enrolment.held || r.claims.inFlight || !r.Roster.IncludesSelf(now) || !r.MayOrder(now) || !r.Config.Loaded() {
		return
	}
	if r.releaseUnreachable(now) {
		return
	}
	var claims []registry.Ownership
	candidates := sync.OnceValue(func() []candidate { return r.candidates(now) }) // computed lazily: most checks find nothing to claim
	for _, replica := range r.Pool.All() {
		if !replica.Announced || replica.Kind != pool.Engine || !replica.Usable() || len(claims) == registry.MaxClaims {
			continue
		}
		if c, ok := r.claimOf(now, replica, candidates); ok {
			claims = append(claims, c)
		}
	}
	if len(claims) == 0 {
		return
	}
	r.claims.inFlight = true
	r.Out.Emit(Write{Write: Txn{Claim: claims, Depends: r.era.recordRevision()}})
}

// claimOf returns the claim of an engine. ok reports whether this instance should write
// it now.
func (r *Registry) claimOf(now clock.Instant, replica *pool.Replica, candidates func() []candidate) (claim registry.Ownership, ok bool) {
	old, owned := r.owners[replica.Name]
	claim = registry.Ownership{Engine: replica.Name, Owner: r.Self.Name, Boot: r.Self.Boot, Era: r.era.current, Revision: old.Revision}
	if e := r.Owned.Get(replica.Name); e != nil {
		// Rewrite the record without the former owner once none of its orders can be
		// in flight any more. Also rewrite it after the store was restored from an
		// older copy.
		return claim, !e.Settled && !now.Before(e.From) || r.era.isFormer(e.Fence)
	}
	stale := owned && r.era.isStale(old.Era)
	if replica.LinkBroken() {
		return claim, false // this instance could not order it
	}
	switch {
	case stale:
		claim.FormerOwner = registry.FormerUnknown
		if old.Owner == r.Self.Name {
			return claim, true
		}
	case owned && old.Owner == r.Self.Name:
		claim.FormerOwner = old.FormerOwner
		claim.QuietMS = old.QuietMS
		return claim, true
	case owned && old.Owner == "":
		claim.FormerOwner = cmp.Or(old.FormerOwner, registry.FormerReleased)
		claim.QuietMS = old.QuietMS
	case owned:
		claim.FormerOwner = old.Owner
	}
	since, free := r.engineView(now, replica, old, owned).freeSince(r.Options.AbsentFor)
	if !free {
		return claim, false
	}
	// If the instance of the highest rank does not claim, the next one does.
	return claim, !now.Before(since.Add(time.Duration(ownerRank(replica.Name, replica.Zone, r.self(), r.reaching(now, replica, candidates()))) * claimRankDelay))
}

// An engineView holds what is known about the owner of an engine.
type engineView struct {
	storeUpSince     clock.Instant // when the store began to answer; zero: it does not
	announcedAt      clock.Instant // when the engine was first announced to this instance
	owned            bool          // an ownership record exists
	owner            string        // "" if it was released
	learnedAt        clock.Instant // when the ownership record was learned
	ownerPresent     bool          // the owner's own record exists
	ownerAbsentSince clock.Instant // when the owner's record was first missing; zero: never observed
}

// engineView returns what is known about the owner of an engine. An owner without a
// record counts as absent from the first check that finds the record missing.
func (r *Registry) engineView(now clock.Instant, replica *pool.Replica, old registry.Ownership, owned bool) engineView {
	v := engineView{storeUpSince: r.storeUpSince, announcedAt: replica.FirstSeenAt(), owned: owned, owner: old.Owner, learnedAt: r.learnedAt[replica.Name]}
	if r.storeUpSince.IsZero() || !owned || old.Owner == "" {
		return v
	}
	_, v.ownerPresent = r.instances[old.Owner]
	if v.ownerPresent {
		return v
	}
	since, seen := r.absentSince[old.Owner]
	if !seen {
		r.absentSince[old.Owner] = now
	}
	v.ownerAbsentSince = since
	return v
}

// freeSince returns the time since which no instance is expected to send the engine orders.
// ok is false while its owner is present, or may be as far as this instance can tell.
// absentFor is the time for which an owner's record must have been missing while the
// store answered.
func (v engineView) freeSince(absentFor time.Duration) (since clock.Instant, ok bool) {
	switch {
	case v.storeUpSince.IsZero():
		return since, false
	case !v.owned:
		return clock.Latest(v.storeUpSince.Add(claimRankDelay), v.announcedAt), true
	case v.owner == "":
		return v.learnedAt, true
	case v.ownerPresent || v.ownerAbsentSince.IsZero():
		return since, false
	default:
		return clock.Latest(v.ownerAbsentSince, v.storeUpSince).Add(absentFor), true
	}
}

// handleClaimReply handles the result of a write of claims.
func (r *Registry) handleClaimReply(now clock.Instant, e WriteReply) {
	r.claims.inFlight = false
	if e.Err != nil {
		r.Outage.Observe(now, e.Err)
		return
	}
	if e.Conflict {
		return
	}
	for _, claim := range e.Write.Claim {
		first := claim.Revision == 0
		claim.Revision = e.Revision
		if r.era.isFormer(e.Revision) {
			continue // the store was restored from an older copy after the write
		}
		r.owners[claim.Engine] = claim
		if own := r.Owned.Get(claim.Engine); own != nil && claim.FormerOwner == "" {
			own.Confirm(claim)
			continue
		}
		from := firstOrder(now, claim, first, r.Options)
		if first {
			from = clock.Latest(from, r.formerOwnerEnd(now))
		}
		r.Owned.Acquire(now, claim, from)
	}
}

// formerOwnerEnd returns the time from which an engine without a record may be sent orders:
// an instance that owned it in a former era, by a record that the store has lost, has
// stopped sending orders before that. The result is now if there was no former era.
func (r *Registry) formerOwnerEnd(now clock.Instant) clock.Instant {
	if r.era.isFirst() {
		return now
	}
	return r.formerEraExpiry().Add(r.Options.TurnGap)
}

// firstOrder returns when an instance may send the first order to an engine that it has
// just claimed: once no order of the former owner can be in flight any more and the gap
// between the orders of two owners has passed. first reports that the engine had no
// ownership record before, so that no instance is known to have sent it orders.
func firstOrder(now clock.Instant, claim registry.Ownership, first bool, o *option.Options) clock.Instant {
	switch {
	case o.Disable.TurnWait:
		return now
	case claim.FormerOwner == "" && first:
		return now
	case claim.FormerOwner == "":
		return now.Add(sameOwnerGap)
	case claim.FormerOwner == registry.FormerReleased:
		quiet := time.Duration(claim.QuietMS) * time.Millisecond
		return now.Add(max(0, o.TurnGap+turnMargin-quiet))
	default:
		return now.Add(o.OrderValid + o.TurnGap + turnMargin)
	}
}

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

// Claims of engines: who takes an engine that nobody owns, and when it may give
// the first order there.

const (
	// claimInterval spaces the looks for engines to claim, and for the placer's
	// record: a third of the time that a lost owner's engines have to wait anyhow.
	claimInterval = 300 * time.Millisecond
	// claimRankDelay is how long the instance next in rank waits for the one before
	// it to claim: two looks and a write.
	claimRankDelay = 700 * time.Millisecond
	// sameOwnerGap is how long an owner waits that takes its own engine again,
	// whose orders may still be on their way: above the time limit of an order at
	// the fastest engines, below the gap between two owners.
	sameOwnerGap = 400 * time.Millisecond
	// turnMargin is added to the gap between the orders of two owners, for the
	// way of an order and for clocks that run apart.
	turnMargin = 300 * time.Millisecond
)

// A claims is this instance's claiming under way.
type claims struct {
	due      clock.Instant
	inFlight bool
}

// claim claims the engines that this instance should own.
func (g *Registry) claim(now clock.Instant) {
	if now.Before(g.claims.due) {
		return
	}
	g.claims.due = now.Add(step.Jitter(g.Rand, claimInterval))
	if !g.era.isReady() || !g.enrolment.held || g.claims.inFlight || !g.Roster.IncludesSelf(now) || !g.MayOrder(now) || !g.Config.Loaded() {
		return
	}
	var claims []registry.Ownership
	candidates := sync.OnceValue(func() []candidate { return g.candidates(now) }) // most looks find nothing to claim
	for _, r := range g.Pool.All() {
		if !r.Announced || r.Kind != pool.Engine || !r.Usable() || len(claims) == registry.MaxClaims {
			continue
		}
		if c, ok := g.claimOf(now, r, candidates); ok {
			claims = append(claims, c)
		}
	}
	if len(claims) == 0 {
		return
	}
	g.claims.inFlight = true
	g.Out.Emit(Write{Write: Txn{Claim: claims, Depends: g.era.recordRevision()}})
}

// claimOf returns the claim of an engine; ok says whether this instance is to
// write it now.
func (g *Registry) claimOf(now clock.Instant, r *pool.Replica, candidates func() []candidate) (claim registry.Ownership, ok bool) {
	old, owned := g.owners[r.Name]
	claim = registry.Ownership{Engine: r.Name, Owner: g.Self.Name, Boot: g.Self.Boot, Era: g.era.current, Revision: old.Revision}
	if e := g.Owned.Get(r.Name); e != nil {
		// Once the former owner's orders cannot be on their way any more, the
		// record is written again without it; and where the store went back.
		return claim, !e.Settled && !now.Before(e.From) || g.era.isFormer(e.Fence)
	}
	stale := owned && g.era.isStale(old.Era)
	switch {
	case stale:
		claim.FormerOwner = registry.FormerUnknown
		if old.Owner == g.Self.Name {
			return claim, true
		}
	case owned && old.Owner == g.Self.Name:
		claim.FormerOwner = old.FormerOwner
		claim.QuietMS = old.QuietMS
		return claim, true
	case owned && old.Owner == "":
		claim.FormerOwner = cmp.Or(old.FormerOwner, registry.FormerReleased)
		claim.QuietMS = old.QuietMS
	case owned:
		claim.FormerOwner = old.Owner
	}
	since, free := g.engineView(now, r, old, owned).freeSince(g.Options.AbsentFor)
	if !free {
		return claim, false
	}
	// Should the instance that ranks first not claim, the next one does.
	return claim, !now.Before(since.Add(time.Duration(ownerRank(r.Name, r.Zone, g.self(), candidates())) * claimRankDelay))
}

// An engineView is what is known of who may order an engine.
type engineView struct {
	storeUpSince     clock.Instant // since when the store has answered; zero: it does not
	announcedAt      clock.Instant // when the engine was first announced here
	owned            bool          // there is a record of its owner
	owner            string        // "" if it was given back
	learntAt         clock.Instant // when that record was learnt
	ownerPresent     bool          // the owner has a record of its own
	ownerAbsentSince clock.Instant // since when it has none; zero if it was never seen go
}

// engineView gathers what is known. An owner without a record counts as gone from
// the first look on at which it has none.
func (g *Registry) engineView(now clock.Instant, r *pool.Replica, old registry.Ownership, owned bool) engineView {
	v := engineView{storeUpSince: g.storeUpSince, announcedAt: r.FirstSeenAt(), owned: owned, owner: old.Owner, learntAt: g.learntAt[r.Name]}
	if g.storeUpSince.IsZero() || !owned || old.Owner == "" {
		return v
	}
	_, v.ownerPresent = g.instances[old.Owner]
	if v.ownerPresent {
		return v
	}
	gone, seen := g.absentSince[old.Owner]
	if !seen {
		g.absentSince[old.Owner] = now
	}
	v.ownerAbsentSince = gone
	return v
}

// freeSince returns since when nobody is to be expected to order the engine; ok is
// false while its owner is there, or may be as far as this instance can tell.
// absentFor is how long an owner's record must have been gone while the store
// answered.
func (v engineView) freeSince(absentFor time.Duration) (since clock.Instant, ok bool) {
	switch {
	case v.storeUpSince.IsZero():
		return since, false
	case !v.owned:
		return clock.Latest(v.storeUpSince.Add(claimRankDelay), v.announcedAt), true
	case v.owner == "":
		return v.learntAt, true
	case v.ownerPresent || v.ownerAbsentSince.IsZero():
		return since, false
	default:
		return clock.Latest(v.ownerAbsentSince, v.storeUpSince).Add(absentFor), true
	}
}

// handleClaimReply takes in what came of claims.
func (g *Registry) handleClaimReply(now clock.Instant, e WriteReply) {
	g.claims.inFlight = false
	if e.Err != nil {
		g.Outage.Observe(now, e.Err)
		return
	}
	if e.Conflict {
		return
	}
	for _, claim := range e.Write.Claim {
		first := claim.Revision == 0
		claim.Revision = e.Revision
		if g.era.isFormer(e.Revision) {
			continue // the store went back since
		}
		g.owners[claim.Engine] = claim
		if own := g.Owned.Get(claim.Engine); own != nil && claim.FormerOwner == "" {
			own.Confirm(claim)
			continue
		}
		from := firstOrder(now, claim, first, g.Options)
		if first {
			from = clock.Latest(from, g.formerHolderEnds(now))
		}
		g.Owned.Acquire(now, claim, from)
	}
}

// formerHolderEnds returns from when on an engine without a record may be ordered: whoever
// held it in a former era, by a record that the store has lost, has stopped by then. now if
// there was no such era.
func (g *Registry) formerHolderEnds(now clock.Instant) clock.Instant {
	if g.era.firstEver() {
		return now
	}
	return g.formerRightsEnd().Add(g.Options.TurnGap)
}

// firstOrder returns when an instance may first order an engine that it has just
// claimed: once no order of the former owner can be on its way any more, and the
// gap between the orders of two owners has passed. first says that nobody ever
// ordered it.
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

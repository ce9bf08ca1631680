package ownership

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/step"
)

// placerKey is the rendezvous key of the placer.
const placerKey = "placer"

// A placer is the placer's record as it is known here, and this instance's part
// in it. The record hangs on its holder's lease and goes with it.
type placer struct {
	record     registry.Placer
	deletedAt  clock.Instant    // when the last one's record went
	held       bool             // by this instance, by its last write
	fence      era.Revision     // the revision of that write
	handedOver *registry.Placer // the record by which the one before gave the task back; nil: it did not
	claiming   bool
	claimDue   clock.Instant
}

// Placer returns who places models by the newest record known; the name is ""
// where nobody is known to.
func (g *Registry) Placer() registry.Placer { return g.placer.record }

// HoldsPlacer reports whether this instance holds the placer's record, by its
// last write.
func (g *Registry) HoldsPlacer() bool { return g.placer.held }

// IsPlacer reports whether this instance certainly still is the placer.
func (g *Registry) IsPlacer(now clock.Instant) bool {
	return g.placer.held && g.MayOrderWithFence(now, g.placer.fence)
}

// ClaimPlacer writes the placer's record where there is none, or where it is this
// instance's from before it may have lost it, or the store may have. Instances come in the order of
// their rank, should those before them not write it.
func (g *Registry) ClaimPlacer(now clock.Instant) {
	p := &g.placer
	if g.IsPlacer(now) && !g.era.isFormer(p.fence) {
		return
	}
	if p.claiming || now.Before(p.claimDue) || !g.enrolment.held || g.era.isFormerLease(g.enrolment.lease) ||
		!g.era.isReady() || g.storeUpSince.IsZero() || !g.Roster.IncludesSelf(now) {
		return
	}
	p.claimDue = now.Add(step.Jitter(g.Rand, claimInterval))
	if !g.isPlacerOfFormerEra(now) && !g.mayClaimPlacer(now) {
		return
	}
	p.handedOver = nil
	if p.record.Name == "" && p.record.Revision != 0 && !g.era.isStale(p.record.Era) {
		given := p.record
		p.handedOver = &given
	}
	p.claiming = true
	record := registry.Placer{Name: g.Self.Name, Boot: g.Self.Boot, Era: g.era.current, Revision: p.record.Revision}
	g.Out.Emit(Write{Write: Txn{Placer: &record, Depends: g.era.recordRevision()}, Lease: g.enrolment.lease})
}

// isPlacerOfFormerEra reports whether this instance places models by a record of a former era of
// the store, which it writes again.
func (g *Registry) isPlacerOfFormerEra(now clock.Instant) bool {
	return g.IsPlacer(now) && g.era.isFormer(g.placer.fence)
}

// mayClaimPlacer reports whether it is this instance's turn to write the placer's record, since
// nobody places models or it did itself.
func (g *Registry) mayClaimPlacer(now clock.Instant) bool {
	p := &g.placer
	if p.record.Name != "" && p.record.Name != g.Self.Name {
		return false
	}
	free := clock.Latest(g.storeUpSince, p.deletedAt)
	if !g.era.firstEver() {
		// Whoever placed models in a former era, and has not written so again, has stopped.
		free = clock.Latest(free, g.formerRightsEnd())
	}
	if p.record.Name == g.Self.Name {
		return !g.era.isStale(p.record.Era) || !now.Before(free)
	}
	return !now.Before(free.Add(time.Duration(g.PlacerRank(now)) * claimRankDelay))
}

// HandedOverLoads returns how many loads from the weight store may begin at once, as the
// placer before this instance left it; ok is false where it did not give the task back
// and may still be at work.
func (g *Registry) HandedOverLoads() (loads float64, ok bool) {
	if g.placer.handedOver == nil {
		return 0, false
	}
	return g.placer.handedOver.Loads, true
}

// PlacerRank returns how many instances come before this one as the placer.
func (g *Registry) PlacerRank(now clock.Instant) int {
	return placerRank(g.self(), g.candidates(now))
}

func (g *Registry) handlePlacerReply(now clock.Instant, e WriteReply) {
	g.placer.claiming = false
	if e.Err != nil {
		g.Outage.Observe(now, e.Err)
		return
	}
	if e.Conflict {
		return
	}
	if g.era.isFormer(e.Revision) {
		return // the store went back since
	}
	g.placer.record = *e.Write.Placer
	g.placer.record.Revision = e.Revision
	g.placer.fence = e.Revision
	g.placer.held = true
}

// applyPlacer takes in who the records say the placer is.
func (g *Registry) applyPlacer(now clock.Instant, p registry.Placer) {
	if p.Name == "" {
		g.placer.deletedAt = now
	}
	g.placer.record = p
	switch {
	case p.Name == g.Self.Name && p.Boot == g.Self.Boot:
	case g.era.isStale(p.Era) && g.era.isFormer(g.placer.fence):
		// It may be older than this instance's, which the store has lost.
	default:
		g.placer.held = false
	}
}

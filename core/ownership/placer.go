package ownership

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/step"
)

// placerKey is the key by which rendezvous hashing ranks the candidates for the placer.
const placerKey = "placer"

// A placer holds the known placer's record and the state of this instance's claim to
// it. The record is attached to its holder's lease and is deleted with it.
type placer struct {
	record      registry.Placer
	vacantSince clock.Instant    // when the last placer's record was released or deleted
	held        bool             // this instance wrote the record and has not lost it since
	fence       era.Revision     // revision of that write
	handedOver  *registry.Placer // record with which the previous placer released the task; nil: it did not
	claiming    bool             // a write of the record is in flight
	claimDue    clock.Instant    // earliest time of the next write
}

// Placer returns the newest known placer's record. Its Name is "" if no placer is known.
func (g *Registry) Placer() registry.Placer { return g.placer.record }

// HoldsPlacer reports whether this instance holds the placer's record according to
// its last write.
func (g *Registry) HoldsPlacer() bool { return g.placer.held }

// IsPlacer reports whether this instance is certain to still be the placer.
func (g *Registry) IsPlacer(now clock.Instant) bool {
	return g.placer.held && g.MayOrderWithFence(now, g.placer.fence)
}

// ClaimPlacer writes the placer's record if there is none. It also rewrites this
// instance's own record if the instance may no longer be the placer, or if the store may
// have lost the record in a rollback. Instances try in the order of their rank, so that
// one writes the record only if those of higher rank do not.
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
		released := p.record
		p.handedOver = &released
	}
	p.claiming = true
	record := registry.Placer{Name: g.Self.Name, Boot: g.Self.Boot, Era: g.era.current, Revision: p.record.Revision}
	g.Out.Emit(Write{Write: Txn{Placer: &record, Depends: g.era.recordRevision()}, Lease: g.enrolment.lease})
}

// isPlacerOfFormerEra reports whether this instance is the placer by a record of a former
// era, which it has to write again.
func (g *Registry) isPlacerOfFormerEra(now clock.Instant) bool {
	return g.IsPlacer(now) && g.era.isFormer(g.placer.fence)
}

// mayClaimPlacer reports whether this instance may write the placer's record now: no other
// instance is the placer, and the instances of higher rank had their time to write it.
func (g *Registry) mayClaimPlacer(now clock.Instant) bool {
	p := &g.placer
	if p.record.Name != "" && p.record.Name != g.Self.Name {
		return false
	}
	free := clock.Latest(g.storeUpSince, p.vacantSince)
	if !g.era.isFirst() {
		// A placer of a former era that has not rewritten its record stops by formerEraExpiry.
		free = clock.Latest(free, g.formerEraExpiry())
	}
	if p.record.Name == g.Self.Name {
		return !g.era.isStale(p.record.Era) || !now.Before(free)
	}
	return !now.Before(free.Add(time.Duration(g.PlacerRank(now)) * claimRankDelay))
}

// HandedOverLoads returns the number of loads from the weight store that may start at once,
// as handed over by the previous placer. ok is false if the previous placer did not release
// the task and may still be working.
func (g *Registry) HandedOverLoads() (loads float64, ok bool) {
	if g.placer.handedOver == nil {
		return 0, false
	}
	return g.placer.handedOver.Loads, true
}

// PlacerRank returns the number of instances that are preferred to this one as the placer.
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
		return // the store was restored from an older copy after the write
	}
	g.placer.record = *e.Write.Placer
	g.placer.record.Revision = e.Revision
	g.placer.fence = e.Revision
	g.placer.held = true
}

// applyPlacer applies the placer's record p. The zero Placer means that it was deleted.
func (g *Registry) applyPlacer(now clock.Instant, p registry.Placer) {
	if p.Name == "" {
		g.placer.vacantSince = now
	}
	g.placer.record = p
	switch {
	case p.Name == g.Self.Name && p.Boot == g.Self.Boot: // this instance's own record
	case g.era.isStale(p.Era) && g.era.isFormer(g.placer.fence):
		// It may be older than this instance's record, which the store has lost.
	default:
		g.placer.held = false
	}
}

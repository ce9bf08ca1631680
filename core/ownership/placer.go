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
func (r *Registry) Placer() registry.Placer { return r.placer.record }

// HoldsPlacer reports whether this instance holds the placer's record according to
// its last write.
func (r *Registry) HoldsPlacer() bool { return r.placer.held }

// IsPlacer reports whether this instance is certain to still be the placer.
func (r *Registry) IsPlacer(now clock.Instant) bool {
	return r.placer.held && r.MayOrderWithFence(now, r.placer.fence)
}

// ClaimPlacer writes the placer's record if there is none. It also rewrites this
// instance's own record if the instance may no longer be the placer, or if the store may
// have lost the record in a rollback. Instances try in the order of their rank, so that
// one writes the record only if those of higher rank do not.
func (r *Registry) ClaimPlacer(now clock.Instant) {
	p := &r.placer
	if r.IsPlacer(now) && !r.era.isFormer(p.fence) {
		return
	}
	if p.claiming || now.Before(p.claimDue) || !r.enrolment.held || r.era.isFormerLease(r.enrolment.lease) ||
		!r.era.isReady() || r.storeUpSince.IsZero() || !r.Roster.IncludesSelf(now) {
		return
	}
	p.claimDue = now.Add(step.Jitter(r.Rand, claimInterval))
	if !r.isPlacerOfFormerEra(now) && !r.mayClaimPlacer(now) {
		return
	}
	p.handedOver = nil
	if p.record.Name == "" && p.record.Revision != 0 && !r.era.isStale(p.record.Era) {
		released := p.record
		p.handedOver = &released
	}
	p.claiming = true
	record := registry.Placer{Name: r.Self.Name, Boot: r.Self.Boot, Era: r.era.current, Revision: p.record.Revision}
	r.Out.Emit(Write{Write: Txn{Placer: &record, Depends: r.era.recordRevision()}, Lease: r.enrolment.lease})
}

// isPlacerOfFormerEra reports whether this instance is the placer by a record of a former
// era, which it has to write again.
func (r *Registry) isPlacerOfFormerEra(now clock.Instant) bool {
	return r.IsPlacer(now) && r.era.isFormer(r.placer.fence)
}

// mayClaimPlacer reports whether this instance may write the placer's record now: no other
// instance is the placer, and the instances of higher rank had their time to write it.
func (r *Registry) mayClaimPlacer(now clock.Instant) bool {
	p := &r.placer
	if p.record.Name != "" && p.record.Name != r.Self.Name {
		return false
	}
	free := clock.Latest(r.storeUpSince, p.vacantSince)
	if !r.era.isFirst() {
		// A placer of a former era that has not rewritten its record stops by formerEraExpiry.
		free = clock.Latest(free, r.formerEraExpiry())
	}
	if p.record.Name == r.Self.Name {
		return !r.era.isStale(p.record.Era) || !now.Before(free)
	}
	return !now.Before(free.Add(time.Duration(r.PlacerRank(now)) * claimRankDelay))
}

// HandedOverLoads returns the number of loads from the weight store that may start at once,
// as handed over by the previous placer. ok is false if the previous placer did not release
// the task and may still be working.
func (r *Registry) HandedOverLoads() (loads float64, ok bool) {
	if r.placer.handedOver == nil {
		return 0, false
	}
	return r.placer.handedOver.Loads, true
}

// PlacerRank returns the number of instances that are preferred to this one as the placer.
func (r *Registry) PlacerRank(now clock.Instant) int {
	return placerRank(r.self(), r.candidates(now))
}

func (r *Registry) handlePlacerReply(now clock.Instant, e WriteReply) {
	r.placer.claiming = false
	if e.Err != nil {
		r.Outage.Observe(now, e.Err)
		return
	}
	if e.Conflict {
		return
	}
	if r.era.isFormer(e.Revision) {
		return // the store was restored from an older copy after the write
	}
	r.placer.record = *e.Write.Placer
	r.placer.record.Revision = e.Revision
	r.placer.fence = e.Revision
	r.placer.held = true
}

// applyPlacer applies the placer's record p. The zero Placer means that it was deleted.
func (r *Registry) applyPlacer(now clock.Instant, p registry.Placer) {
	if p.Name == "" {
		r.placer.vacantSince = now
	}
	r.placer.record = p
	switch {
	case p.Name == r.Self.Name && p.Boot == r.Self.Boot: // this instance's own record
	case r.era.isStale(p.Era) && r.era.isFormer(r.placer.fence):
		// It may be older than this instance's record, which the store has lost.
	default:
		r.placer.held = false
	}
}

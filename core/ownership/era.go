package ownership

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/registry"
)

// This file handles a rollback: the store was restored from an older copy of itself, which
// begins a new era (docs/design/eras.md). This instance's lease becomes useless, since the
// store may issue the same ID to another instance. The instance keeps sending orders to the
// engines that it owns, and claims them again. The ownership records of other instances that
// the store still has may be outdated: their owners may have lost the engines already.

// reenrolSpacing is the average time between the new leases of all instances after a
// rollback. Each new lease takes two writes.
const reenrolSpacing = 10 * time.Millisecond

// EraObserved is the event that a call showed the store's era.
type EraObserved struct{ Era era.Era }

// IsEvent implements step.Event.
func (EraObserved) IsEvent() {}

// A storeEra holds what is known about the store's current era.
type storeEra struct {
	known      bool // an era was observed
	current    era.Era
	since      clock.Instant       // when this instance first observed it
	readAt     clock.Instant       // when all records were first read in it; zero: not yet
	record     *registry.EraRecord // its era record; nil: not known yet
	writing    bool                // a write of the era record is in flight
	writeDue   clock.Instant       // earliest time of the next write of the era record
	rolledBack bool                // this instance was running in a former era
	// formerValidUntil is the time until which engines that were claimed in a former era
	// may be sent orders without being claimed again.
	formerValidUntil clock.Instant
}

// isFormer reports whether a revision is of a former era.
func (s *storeEra) isFormer(n era.Revision) bool { return n.Era() < s.current }

// isFormerLease reports whether a lease is of a former era.
func (s *storeEra) isFormerLease(l era.Lease) bool { return l.Era < s.current }

// isStale reports whether a record meant for the given era is no longer reliable, because
// later writes to it may have been lost.
func (s *storeEra) isStale(meant era.Era) bool { return meant < s.current }

// isReady reports whether claims may be decided and written: the records of this era are
// known, and the era record exists that claims are conditional on.
func (s *storeEra) isReady() bool {
	if s.readAt.IsZero() {
		return false
	}
	return s.current == 0 || s.record != nil
}

// isFirst reports whether no record of the product can have been lost with a former era,
// since the store reports no era or the era record says so.
func (s *storeEra) isFirst() bool { return s.current == 0 || s.record != nil && s.record.First }

// recordRevision returns the revision of the era record that claims are conditional on, 0 if
// there is no such condition.
func (s *storeEra) recordRevision() era.Revision {
	if s.record == nil {
		return 0
	}
	return s.record.Revision
}

// HandleEraObserved handles a call that showed the store's era.
func (r *Registry) HandleEraObserved(now clock.Instant, e EraObserved) { r.observeEra(now, e.Era) }

// observeEra records that the store is, or has been, in the given era.
func (r *Registry) observeEra(now clock.Instant, e era.Era) {
	x := &r.era
	if x.known && e <= x.current {
		return
	}
	former := *x
	*x = storeEra{known: true, current: e, since: now, rolledBack: former.known}
	if former.known {
		r.handleRollback(now, former)
	}
}

// handleRollback reacts to the start of a new era while this instance is running. It gives
// up engines that may still receive orders of a former owner, and schedules a new lease and
// new claims at once. An instance that neither owns engines nor is the placer delays its new
// lease at random, to spread the writes.
func (r *Registry) handleRollback(now clock.Instant, former storeEra) {
	r.Out.Log(logevent.StoreSteppedBack, "era", uint64(r.era.current), "former", uint64(former.current), "engines", r.Owned.Len())
	r.era.formerValidUntil = now.Add(r.Options.OrderValid)
	r.Owned.LoseUnsettled(now, "the store went back before the orders of a former owner had ended")
	r.fleet.known = false // the older copy may lack the record
	r.claims.due = now
	r.placer.claimDue = now
	r.enrolment.due = now
	if r.Owned.Len() == 0 && !r.placer.held {
		spread := time.Duration(r.Members.Size()) * reenrolSpacing
		r.enrolment.due = now.Add(time.Duration(r.Rand.Float64() * float64(spread)))
	}
	r.SteppedBack(now)
}

// formerEraExpiry returns the time from which no instance sends orders by an ownership of a
// former era that it has not claimed again. Each such owner observed the new era while its
// ownership was valid, at most OrderValid after the rollback, and gives the ownership up
// OrderValid after that.
func (r *Registry) formerEraExpiry() clock.Instant {
	return r.era.since.Add(2*r.Options.OrderValid + turnMargin)
}

// MayOrderWithFence reports whether this instance may send orders with the given fence. A
// fence of a former era is valid only until formerValidUntil; the engine must be claimed
// again before that.
func (r *Registry) MayOrderWithFence(now clock.Instant, fence era.Revision) bool {
	return r.MayOrder(now) && (!r.era.isFormer(fence) || now.Before(r.era.formerValidUntil))
}

// dropFormerRecords removes the known ownerships and the placer of former eras, whose records
// are not in the complete set of the new era.
func (r *Registry) dropFormerRecords(now clock.Instant) {
	for engine, o := range r.owners {
		if r.era.isFormer(o.Revision) {
			delete(r.owners, engine)
		}
	}
	if r.placer.record.Name != "" && r.era.isFormer(r.placer.record.Revision) {
		r.applyPlacer(now, registry.Placer{})
	}
}

// loseFormer gives up the engines and the placer's task of a former era that were not claimed
// again in time.
func (r *Registry) loseFormer(now clock.Instant) {
	if !r.era.rolledBack || now.Before(r.era.formerValidUntil) {
		return
	}
	for _, name := range r.Owned.Names() {
		if r.era.isFormer(r.Owned.Get(name).Fence) {
			r.Owned.Lose(now, name, "it was not claimed again after the store went back")
		}
	}
	if r.era.isFormer(r.placer.fence) {
		r.placer.held = false
	}
}

// writeEraRecord writes the record of the current era if there is none. All claims are
// conditional on that record, so delayed claims that were meant for a former era can no
// longer take effect. Instances try in the order of their rank.
func (r *Registry) writeEraRecord(now clock.Instant) {
	x := &r.era
	if x.current == 0 || x.record != nil || x.writing || x.readAt.IsZero() || now.Before(x.writeDue) || !r.Roster.IncludesSelf(now) {
		return
	}
	if now.Before(x.readAt.Add(time.Duration(r.PlacerRank(now)) * claimRankDelay)) {
		return
	}
	x.writing = true
	record := registry.EraRecord{Era: x.current, First: !x.rolledBack && !r.hasStale()}
	r.Out.Emit(Write{Write: Txn{Mark: &record, Former: r.formerEraRecords}})
}

// hasStale reports whether any record of a former era is known.
func (r *Registry) hasStale() bool {
	if len(r.formerEraRecords) > 0 || r.placer.record.Name != "" && r.era.isStale(r.placer.record.Era) {
		return true
	}
	for _, o := range r.owners {
		if r.era.isStale(o.Era) {
			return true
		}
	}
	return false
}

// handleEraRecordReply handles the result of writing the era record.
func (r *Registry) handleEraRecordReply(now clock.Instant, e WriteReply) {
	r.era.writing = false
	r.era.writeDue = now.Add(claimInterval)
	if e.Err != nil {
		r.Outage.Observe(now, e.Err)
		return
	}
	if e.Conflict || e.Write.Mark.Era != r.era.current {
		return // the watch returns the record that exists
	}
	record := *e.Write.Mark
	record.Revision = e.Revision
	r.applyEraRecord(record)
}

// applyEraRecord applies an era record.
func (r *Registry) applyEraRecord(m registry.EraRecord) {
	switch {
	case m.Era == r.era.current:
		r.era.record = &m
		r.formerEraRecords = nil // they were deleted with the write of this one
	case m.Era < r.era.current && !slices.Contains(r.formerEraRecords, m.Era):
		r.formerEraRecords = append(r.formerEraRecords, m.Era)
	}
}

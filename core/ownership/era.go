package ownership

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/registry"
)

// What this instance does once the store came back from an older copy of itself
// (docs/design/eras.md). Its lease is of no use any more, since the store may give its number
// to another. What it holds it goes on ordering, and claims again; what others hold by the
// records that the store still has, they may have held no more.

// reenrolSpacing spaces, over all instances, the new leases after a step back: two writes each.
const reenrolSpacing = 10 * time.Millisecond

// EraObserved is the event that a call showed in which era the store is.
type EraObserved struct{ Era era.Era }

// IsEvent implements step.Event.
func (EraObserved) IsEvent() {}

// A storeEra is what is known of the era in which the store is.
type storeEra struct {
	known      bool
	current    era.Era
	since      clock.Instant // when this instance heard of it
	readAt     clock.Instant // when the whole was read in it first; zero: it was not
	record     *registry.EraRecord
	writing    bool          // the mark's write is under way
	writeDue   clock.Instant // when it may be written again
	rolledBack bool          // this instance was there before
	// formerValidUntil is until when what was gained in former eras may be ordered without being
	// claimed again.
	formerValidUntil clock.Instant
}

// isFormer reports whether a number is of an era that is over.
func (x *storeEra) isFormer(n era.Revision) bool { return n.Era() < x.current }

// isFormerLease reports whether a lease is of an era that is over.
func (x *storeEra) isFormerLease(l era.Lease) bool { return l.Era < x.current }

// isStale reports whether a record that was meant for an era says nothing certain any more:
// what was written after it may be lost.
func (x *storeEra) isStale(meant era.Era) bool { return meant < x.current }

// isReady reports whether claims may be decided on and written: the records of this era are
// known, and the one stands on which claims depend.
func (x *storeEra) isReady() bool {
	if x.readAt.IsZero() {
		return false
	}
	return x.current == 0 || x.record != nil
}

// firstEver reports whether no record of ours can have been lost with a former era.
func (x *storeEra) firstEver() bool { return x.current == 0 || x.record != nil && x.record.First }

// recordRevision returns the revision of the record that claims depend on, 0 if they do on none.
func (x *storeEra) recordRevision() era.Revision {
	if x.record == nil {
		return 0
	}
	return x.record.Revision
}

// HandleEraObserved takes in that a call showed the store's era.
func (g *Registry) HandleEraObserved(now clock.Instant, e EraObserved) { g.observeEra(now, e.Era) }

// observeEra takes in that the store is, or was, in an era.
func (g *Registry) observeEra(now clock.Instant, e era.Era) {
	x := &g.era
	if x.known && e <= x.current {
		return
	}
	former := *x
	*x = storeEra{known: true, current: e, since: now, rolledBack: former.known}
	if former.known {
		g.handleRollback(now, former)
	}
}

// handleRollback begins a new era.
func (g *Registry) handleRollback(now clock.Instant, former storeEra) {
	g.Out.Log(logevent.StoreSteppedBack, "era", uint64(g.era.current), "former", uint64(former.current), "engines", g.Owned.Len())
	g.era.formerValidUntil = now.Add(g.Options.OrderValid)
	g.Owned.LoseUnsettled(now, "the store went back before the orders of a former owner had ended")
	g.claims.due = now
	g.placer.claimDue = now
	g.enrolment.due = now
	if g.Owned.Len() == 0 && !g.placer.held {
		spread := time.Duration(g.Members.Size()) * reenrolSpacing
		g.enrolment.due = now.Add(time.Duration(g.Rand.Float64() * float64(spread)))
	}
	g.SteppedBack(now)
}

// formerRightsEnd returns from when on nobody orders by a right of a former era any more that was
// not claimed again: whoever had one heard of this era while it was good, at most OrderValid
// after the store went back, and ends it OrderValid later.
func (g *Registry) formerRightsEnd() clock.Instant {
	return g.era.since.Add(2*g.Options.OrderValid + turnMargin)
}

// MayOrderWithFence reports whether this instance may order under a fence: under one that it
// gained in a former era only until it must have claimed again.
func (g *Registry) MayOrderWithFence(now clock.Instant, fence era.Revision) bool {
	return g.MayOrder(now) && (!g.era.isFormer(fence) || now.Before(g.era.formerValidUntil))
}

// dropFormerRecords drops what is known of owners, and of the placer, by records that the whole of a
// new era does not have.
func (g *Registry) dropFormerRecords(now clock.Instant) {
	for engine, o := range g.owners {
		if g.era.isFormer(o.Revision) {
			delete(g.owners, engine)
		}
	}
	if g.placer.record.Name != "" && g.era.isFormer(g.placer.record.Revision) {
		g.applyPlacer(now, registry.Placer{})
	}
}

// loseFormer gives up what was gained in a former era and not claimed again in time.
func (g *Registry) loseFormer(now clock.Instant) {
	if !g.era.rolledBack || now.Before(g.era.formerValidUntil) {
		return
	}
	for _, name := range g.Owned.Names() {
		if g.era.isFormer(g.Owned.Get(name).Fence) {
			g.Owned.Lose(now, name, "it was not claimed again after the store went back")
		}
	}
	if g.era.isFormer(g.placer.fence) {
		g.placer.held = false
	}
}

// writeEraRecord writes the record of this era where there is none, on which all claims depend. With
// it, claims that were meant for a former era and are still on their way cannot be carried
// out any more. Instances come in the order of their rank.
func (g *Registry) writeEraRecord(now clock.Instant) {
	x := &g.era
	if x.current == 0 || x.record != nil || x.writing || x.readAt.IsZero() || now.Before(x.writeDue) || !g.Roster.IncludesSelf(now) {
		return
	}
	if now.Before(x.readAt.Add(time.Duration(g.PlacerRank(now)) * claimRankDelay)) {
		return
	}
	x.writing = true
	mark := registry.EraRecord{Era: x.current, First: !x.rolledBack && !g.hasStale()}
	g.Out.Emit(Write{Write: Txn{Mark: &mark, Former: g.formerEraRecords}})
}

// hasStale reports whether there are records of a former era.
func (g *Registry) hasStale() bool {
	if len(g.formerEraRecords) > 0 || g.placer.record.Name != "" && g.era.isStale(g.placer.record.Era) {
		return true
	}
	for _, o := range g.owners {
		if g.era.isStale(o.Era) {
			return true
		}
	}
	return false
}

// handleEraRecordReply takes in what came of the write of an era's record.
func (g *Registry) handleEraRecordReply(now clock.Instant, e WriteReply) {
	g.era.writing = false
	g.era.writeDue = now.Add(claimInterval)
	if e.Err != nil {
		g.Outage.Observe(now, e.Err)
		return
	}
	if e.Conflict || e.Write.Mark.Era != g.era.current {
		return // the watch brings the one that stands
	}
	mark := *e.Write.Mark
	mark.Revision = e.Revision
	g.applyEraRecord(mark)
}

// applyEraRecord takes in the record of an era.
func (g *Registry) applyEraRecord(m registry.EraRecord) {
	switch {
	case m.Era == g.era.current:
		g.era.record = &m
		g.formerEraRecords = nil // they went with the write of this one
	case m.Era < g.era.current && !slices.Contains(g.formerEraRecords, m.Era):
		g.formerEraRecords = append(g.formerEraRecords, m.Era)
	}
}

package ownership

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/registry"
)

// This file keeps the fleet's record, which shows an instance that starts whether instances of the fleet
// have run before. The setting first-start alone does not: it may be kept when all instances start
// again.

// fleetRecordInterval is the least time between two writes of the fleet's record by one instance.
const fleetRecordInterval = 500 * time.Millisecond

// A fleetRecord is what is known of the fleet's record.
type fleetRecord struct {
	known   bool          // the record exists
	writing bool          // a write is in flight
	due     clock.Instant // earliest time of the next write
	first   bool          // this instance created it
}

// writeFleetRecord creates the fleet's record if there is none: an instance that is told that it starts
// first, at once; any other one that watches the store, once it has read all records.
func (r *Registry) writeFleetRecord(now clock.Instant) {
	f := &r.fleet
	if f.known || f.writing || now.Before(f.due) || !r.era.known {
		return
	}
	if !r.Options.FirstStart && (r.era.readAt.IsZero() || !r.Roster.IncludesSelf(now)) {
		return
	}
	f.writing = true
	r.Out.Emit(Write{Write: Txn{Fleet: &registry.FleetRecord{Name: r.Self.Name, Boot: r.Self.Boot, Era: r.era.current}}})
}

// handleFleetRecordReply handles the result of writing the fleet's record. After a conflict, the watch
// returns the record, which may be this instance's own, if an earlier answer was lost.
func (r *Registry) handleFleetRecordReply(now clock.Instant, e WriteReply) {
	r.fleet.writing = false
	r.fleet.due = now.Add(fleetRecordInterval)
	switch {
	case e.Err != nil:
		r.Outage.Observe(now, e.Err)
	case e.Conflict:
		r.fleet.known = true
	default:
		r.applyFleetRecord(now, *e.Write.Fleet)
	}
}

// applyFleetRecord applies the fleet's record. The instance that created it is the first of the fleet,
// unless an earlier record may have been lost with a former era of the store.
func (r *Registry) applyFleetRecord(now clock.Instant, f registry.FleetRecord) {
	r.fleet.known = true
	if r.fleet.first || r.era.rolledBack || !r.Options.FirstStart || f.Name != r.Self.Name || f.Boot != r.Self.Boot {
		return
	}
	r.fleet.first = true
	r.Out.Log(logevent.FirstOfFleet)
	r.FirstOfFleet()
}

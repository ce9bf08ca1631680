package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/step"
)

// Verdicts are written to the platform's store. Without that, after a restart of all
// instances at once each quarantined request would crash three more replicas.

const (
	// maxLeaseTTL bounds the lease of a stored verdict: the longest that the users' platform
	// grants.
	maxLeaseTTL = 10 * time.Minute
	// recordRetryDelay is the delay before a failed write is retried.
	recordRetryDelay = time.Second
)

type (
	// StoreVerdict is an action: write a verdict to the store, unless it is already there, with
	// a lease of this term.
	StoreVerdict struct {
		Quarantine registry.Quarantine
		Term       time.Duration
	}
	// VerdictStored is the event that answers a StoreVerdict.
	VerdictStored struct {
		ID  crash.CauseID
		Err error // also nil if the verdict was already there
	}
	// RemoveVerdict is an action: remove a verdict that no longer holds from the store.
	RemoveVerdict struct{ Quarantine registry.Quarantine }
)

// IsAction implements step.Action.
func (StoreVerdict) IsAction() {}

// IsAction implements step.Action.
func (RemoveVerdict) IsAction() {}

// IsEvent implements step.Event.
func (VerdictStored) IsEvent() {}

// records is the queue of verdicts to write. They are written one at a time, so that many
// verdicts at once do not exhaust the store's request rate.
type records struct {
	job   step.Job
	queue []crash.CauseID // verdicts to write, oldest first
}

// writeNextRecord starts to write the next verdict in the queue.
func (t *Tracker) writeNextRecord(now clock.Instant) {
	r := &t.records
	for len(r.queue) > 0 && t.verdicts[r.queue[0]].remaining(now) == 0 {
		r.queue = r.queue[1:] // the verdict no longer holds
	}
	if len(r.queue) == 0 || !r.job.Due(now) || t.Outage.Down() {
		return
	}
	v := t.verdicts[r.queue[0]]
	r.job.Begin(now)
	t.Out.Emit(StoreVerdict{Quarantine: v.record(), Term: min(v.remaining(now), maxLeaseTTL)})
}

// VerdictStored handles the result of a StoreVerdict.
func (t *Tracker) VerdictStored(now clock.Instant, e VerdictStored) {
	if e.Err != nil {
		t.Out.Log(logevent.QuarantineNotKept, "fingerprint", e.ID.String(), "error", e.Err.Error())
		t.records.job.End(now.Add(step.Jitter(t.Rand, recordRetryDelay)))
		return
	}
	t.records.job.End(now)
	t.records.queue = slices.DeleteFunc(t.records.queue, func(id crash.CauseID) bool { return id == e.ID })
	if v := t.verdicts[e.ID]; v != nil {
		v.recorded = true
		v.wrote = true
	}
}

// SteppedBack queues the verdicts that the store may have lost because its history was rolled
// back: those that this instance wrote, and those for which it comes first among the instances,
// in case their writer is gone.
func (t *Tracker) SteppedBack(now clock.Instant) {
	for _, id := range slices.Sorted(maps.Keys(t.verdicts)) {
		v := t.verdicts[id]
		if v.remaining(now) == 0 || slices.Contains(t.records.queue, id) {
			continue
		}
		if v.wrote || v.recorded && t.position(id) == 0 {
			t.records.queue = append(t.records.queue, id)
		}
	}
}

// record returns the verdict's record in the store.
func (v *verdict) record() registry.Quarantine {
	q := registry.Quarantine{ID: v.cause.ID(), Replicas: v.replicas}
	if !v.whole {
		q.Traits = v.cause
	}
	return q
}

// removeRecord removes a verdict that this instance wrote or read from the store.
func (t *Tracker) removeRecord(v *verdict) {
	if v.recorded {
		t.Out.Emit(RemoveVerdict{Quarantine: v.record()})
	}
}

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

// The verdicts' records in the platform's store. Without them a fleet whose instances
// all start anew at once would let each request end three more replicas.

const (
	// maxLeaseTTL bounds a record's lease: the longest that the users' platform
	// grants.
	maxLeaseTTL = 10 * time.Minute
	// recordRetryDelay is how long a write that failed is put off.
	recordRetryDelay = time.Second
)

type (
	// StoreVerdict is an action: write a verdict, unless it stands in the store already, on a
	// lease of so long a term.
	StoreVerdict struct {
		Quarantine registry.Quarantine
		Term       time.Duration
	}
	// VerdictStored is the event that answers a Record.
	VerdictStored struct {
		Request crash.Fingerprint
		Err     error // nil also where the record stood there already
	}
	// RemoveVerdict is an action: remove a verdict that does not hold any more.
	RemoveVerdict struct{ Quarantine registry.Quarantine }
)

// IsAction implements step.Action.
func (StoreVerdict) IsAction() {}

// IsAction implements step.Action.
func (RemoveVerdict) IsAction() {}

// IsEvent implements step.Event.
func (VerdictStored) IsEvent() {}

// records is the writing of records: one at a time, so that many verdicts at once do
// not use up the store's rate.
type records struct {
	job   step.Job
	queue []crash.Fingerprint // whose records are to be written, the oldest verdict first
}

// writeNextRecord writes the next verdict that is to be.
func (t *Tracker) writeNextRecord(now clock.Instant) {
	r := &t.records
	for len(r.queue) > 0 && t.Remaining(now, r.queue[0]) == 0 {
		r.queue = r.queue[1:] // it does not hold any more
	}
	if len(r.queue) == 0 || !r.job.Due(now) || t.Outage.Down() {
		return
	}
	request := r.queue[0]
	v := t.verdicts[request]
	r.job.Begin(now)
	t.Out.Emit(StoreVerdict{
		Quarantine: registry.Quarantine{Request: request, Replicas: v.replicas},
		Term:       min(v.remaining(now), maxLeaseTTL),
	})
}

// VerdictStored takes in what came of a Record.
func (t *Tracker) VerdictStored(now clock.Instant, e VerdictStored) {
	if e.Err != nil {
		t.Out.Log(logevent.QuarantineNotKept, "fingerprint", e.Request.String(), "error", e.Err.Error())
		t.records.job.End(now.Add(step.Jitter(t.Rand, recordRetryDelay)))
		return
	}
	t.records.job.End(now)
	t.records.queue = slices.DeleteFunc(t.records.queue, func(r crash.Fingerprint) bool { return r == e.Request })
	if v := t.verdicts[e.Request]; v != nil {
		v.recorded = true
		v.wrote = true
	}
}

// SteppedBack has the records written again that the store may have lost: those that this
// instance wrote, and those for which it comes first, should their writer be gone.
func (t *Tracker) SteppedBack(now clock.Instant) {
	for _, request := range slices.Sorted(maps.Keys(t.verdicts)) {
		v := t.verdicts[request]
		if v.remaining(now) == 0 || slices.Contains(t.records.queue, request) {
			continue
		}
		if v.wrote || v.recorded && t.position(request) == 0 {
			t.records.queue = append(t.records.queue, request)
		}
	}
}

// removeRecord removes the record of a verdict that this instance wrote or read.
func (t *Tracker) removeRecord(v *verdict, request crash.Fingerprint) {
	if v.recorded {
		t.Out.Emit(RemoveVerdict{Quarantine: registry.Quarantine{Request: request, Replicas: v.replicas}})
	}
}

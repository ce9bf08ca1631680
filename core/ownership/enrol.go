package ownership

import (
	"time"

	"github.com/birchdrift/birchdrift/core/backoff"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/step"
)

// Bounds of the retry delay when writing or renewing this instance's record fails. The
// first delay is shorter than the time between two renewals. The longest still allows
// three tries within the term of the lease.
const (
	enrolBackoffBase = 100 * time.Millisecond
	enrolBackoffMax  = time.Second
)

// An enrolment is the state of this instance's registration: the lease to which its
// record is attached.
type enrolment struct {
	job           step.Job
	lease         era.Lease
	held          bool          // this instance holds lease
	due           clock.Instant // earliest time of the next call
	recordDeleted bool          // the record was deleted although the lease exists
	renewedAt     clock.Instant // when the last successful renewal was sent
	backoff       backoff.Backoff
}

func newEnrolment() enrolment {
	return enrolment{backoff: backoff.New(enrolBackoffBase, enrolBackoffMax)}
}

// renewOrEnrol renews the lease, or enrols if there is no usable lease or the record was
// deleted.
func (r *Registry) renewOrEnrol(now clock.Instant) {
	l := &r.enrolment
	if !l.job.Due(now) || now.Before(l.due) {
		return
	}
	l.job.Begin(now)
	if l.held && !l.recordDeleted && !r.era.isFormerLease(l.lease) {
		r.Out.Emit(RenewLease{Lease: l.lease})
		return
	}
	r.Out.Emit(Enrol{Term: r.Options.EnrolTerm, Instance: registry.Instance{
		Name: r.Self.Name, Zone: r.Self.Zone, Address: r.Self.Address, Boot: r.Self.Boot, Processor: r.Self.Processor, HoldsVersions: true,
	}})
}

// HandleEnrolReply handles the result of Enrol.
func (r *Registry) HandleEnrolReply(now clock.Instant, e EnrolReply) {
	if e.Err != nil {
		r.renewalFailed(now, e.Err)
		return
	}
	l := &r.enrolment
	l.lease = e.Lease
	l.held = true
	l.recordDeleted = false
	r.observeEra(now, e.Lease.Era)
	r.renewed(now, e.Sent)
	r.Out.Log(logevent.Enrolled, "lease", e.Lease)
}

// HandleRenewReply handles the result of a renewal.
func (r *Registry) HandleRenewReply(now clock.Instant, e RenewReply) {
	switch {
	case e.Err != nil && r.era.isFormerLease(e.Lease):
		r.enrolment.job.End(now) // the store was restored from an older copy; a new lease follows
	case e.Over:
		r.Out.Log(logevent.EnrolmentLost, "lease", e.Lease)
		r.enrolment.held = false
		r.loseAll(now, "this instance's record went")
		r.enrolment.job.End(now)
		r.storeAnswered(now)
	case e.Err != nil:
		r.renewalFailed(now, e.Err)
	default:
		r.renewed(now, e.Sent)
	}
}

func (r *Registry) renewed(now, sent clock.Instant) {
	r.storeAnswered(now)
	r.enrolment.renewedAt = sent
	r.enrolment.job.End(now.Add(r.renewalInterval()))
}

// renewalInterval returns the time between renewals. An instance that neither owns engines
// nor is the placer renews half as often, since it may lose its record briefly without harm.
func (r *Registry) renewalInterval() time.Duration {
	if r.Owned.Len() == 0 && !r.placer.held {
		return 2 * r.Options.KeepEvery
	}
	return r.Options.KeepEvery
}

// renewalFailed handles an unanswered call. It restarts the time for which the store has
// been answering.
func (r *Registry) renewalFailed(now clock.Instant, err error) {
	l := &r.enrolment
	r.Outage.Observe(now, err)
	l.backoff = l.backoff.WithFailure()
	l.job.End(now.Add(l.backoff.Delay(r.Rand)))
	r.storeUpSince = clock.Instant{}
}

func (r *Registry) storeAnswered(now clock.Instant) {
	r.Outage.Observe(now, nil)
	r.enrolment.backoff = r.enrolment.backoff.WithSuccess()
	if r.storeUpSince.IsZero() {
		r.storeUpSince = now
	}
}

// Resign releases the engines and the placer's task and ends the lease, at a planned
// stop. loads is the number of loads from the weight store that the placer could start
// now. It is used only if this instance is the placer.
func (r *Registry) Resign(now clock.Instant, loads float64) {
	if !r.enrolment.held {
		return
	}
	var placer *registry.Placer
	if r.placer.held {
		placer = &registry.Placer{Loads: loads, Era: r.era.current, Revision: r.placer.record.Revision}
	}
	var released []registry.Ownership
	for _, name := range r.Owned.Names() {
		released = append(released, r.release(now, name))
	}
	r.Owned.LoseAll(now, "this instance stops")
	r.enrolment.held = false
	r.Out.Emit(Resign{Lease: r.enrolment.lease, Give: released, Placer: placer, Depends: r.era.recordRevision()})
}

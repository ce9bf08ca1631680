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
func (g *Registry) renewOrEnrol(now clock.Instant) {
	l := &g.enrolment
	if !l.job.Due(now) || now.Before(l.due) {
		return
	}
	l.job.Begin(now)
	if l.held && !l.recordDeleted && !g.era.isFormerLease(l.lease) {
		g.Out.Emit(RenewLease{Lease: l.lease})
		return
	}
	g.Out.Emit(Enrol{Term: g.Options.EnrolTerm, Instance: registry.Instance{
		Name: g.Self.Name, Zone: g.Self.Zone, Address: g.Self.Address, Boot: g.Self.Boot, Processor: g.Self.Processor,
	}})
}

// HandleEnrolReply handles the result of Enrol.
func (g *Registry) HandleEnrolReply(now clock.Instant, e EnrolReply) {
	if e.Err != nil {
		g.renewalFailed(now, e.Err)
		return
	}
	l := &g.enrolment
	l.lease = e.Lease
	l.held = true
	l.recordDeleted = false
	g.observeEra(now, e.Lease.Era)
	g.renewed(now, e.Sent)
	g.Out.Log(logevent.Enrolled, "lease", e.Lease)
}

// HandleRenewReply handles the result of a renewal.
func (g *Registry) HandleRenewReply(now clock.Instant, e RenewReply) {
	switch {
	case e.Err != nil && g.era.isFormerLease(e.Lease):
		g.enrolment.job.End(now) // the store was restored from an older copy; a new lease follows
	case e.Over:
		g.Out.Log(logevent.EnrolmentLost, "lease", e.Lease)
		g.enrolment.held = false
		g.loseAll(now, "this instance's record went")
		g.enrolment.job.End(now)
		g.storeAnswered(now)
	case e.Err != nil:
		g.renewalFailed(now, e.Err)
	default:
		g.renewed(now, e.Sent)
	}
}

func (g *Registry) renewed(now, sent clock.Instant) {
	g.storeAnswered(now)
	g.enrolment.renewedAt = sent
	g.enrolment.job.End(now.Add(g.renewalInterval()))
}

// renewalInterval returns the time between renewals. An instance that neither owns engines
// nor is the placer renews half as often, since it may lose its record briefly without harm.
func (g *Registry) renewalInterval() time.Duration {
	if g.Owned.Len() == 0 && !g.placer.held {
		return 2 * g.Options.KeepEvery
	}
	return g.Options.KeepEvery
}

// renewalFailed handles an unanswered call. It restarts the time for which the store has
// been answering.
func (g *Registry) renewalFailed(now clock.Instant, err error) {
	l := &g.enrolment
	g.Outage.Observe(now, err)
	l.backoff = l.backoff.WithFailure()
	l.job.End(now.Add(l.backoff.Delay(g.Rand)))
	g.storeUpSince = clock.Instant{}
}

func (g *Registry) storeAnswered(now clock.Instant) {
	g.Outage.Observe(now, nil)
	g.enrolment.backoff = g.enrolment.backoff.WithSuccess()
	if g.storeUpSince.IsZero() {
		g.storeUpSince = now
	}
}

// Resign releases the engines and the placer's task and ends the lease, at a planned
// stop. loads is the number of loads from the weight store that the placer could start
// now. It is used only if this instance is the placer.
func (g *Registry) Resign(now clock.Instant, loads float64) {
	if !g.enrolment.held {
		return
	}
	var placer *registry.Placer
	if g.placer.held {
		placer = &registry.Placer{Loads: loads, Era: g.era.current, Revision: g.placer.record.Revision}
	}
	var released []registry.Ownership
	for _, name := range g.Owned.Names() {
		o := registry.Ownership{Engine: name, Era: g.era.current, Revision: g.owners[name].Revision}
		o.QuietMS = g.Owned.Get(name).SinceLastOrder(now).Milliseconds()
		released = append(released, o)
	}
	g.Owned.LoseAll(now, "this instance stops")
	g.enrolment.held = false
	g.Out.Emit(Resign{Lease: g.enrolment.lease, Give: released, Placer: placer, Depends: g.era.recordRevision()})
}

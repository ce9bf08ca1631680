// Package ownership decides, by records in the platform's store, which engines this
// instance owns and until when it may send them orders.
//
// An owner may send orders for OrderValid after both its last answered renewal and
// its last answered watch of the records were sent. An instance that takes an engine
// over from another waits for OrderValid plus TurnGap (the minimum time between the
// orders of two owners) after its claim, since the former owner may not know yet that
// it lost the engine: the store may drop a record without telling its writer, and only
// a watch shows that. Therefore only instances that watch the store own engines.
//
// Ownerships are spread over the instances that watch, so that most engines keep
// their owner if one instance is lost. All other instances receive the records from
// their peers, and so know which instance to request orders from.
//
// The package also maintains the record of the placer, the one instance that decides
// which models are loaded where (core/placement).
package ownership

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/watchers"
)

type (
	// Enrol is the action that begins a lease and writes this instance's record (its
	// registration) attached to that lease.
	Enrol struct {
		Term     time.Duration
		Instance registry.Instance
	}
	// EnrolReply is the event that answers Enrol.
	EnrolReply struct {
		Sent  clock.Instant
		Lease era.Lease
		Err   error
	}
	// RenewLease is the action that renews the lease.
	RenewLease struct{ Lease era.Lease }
	// RenewReply is the event that answers RenewLease. Over reports that the lease
	// no longer exists.
	RenewReply struct {
		Sent  clock.Instant
		Lease era.Lease
		Over  bool
		Err   error
	}
	// Write is the action that writes a Txn to the store. The placer's record is
	// attached to Lease.
	Write struct {
		Write Txn
		Lease era.Lease
	}
	// Txn holds the records that one Write writes in one transaction: claims, the
	// placer's record, an era record or the fleet's record.
	Txn struct {
		Claim []registry.Ownership // each is written only if the record still has its Revision
		// Release holds the ownerships that this instance gives up; each is written like a
		// Claim.
		Release []registry.Ownership
		Placer  *registry.Placer      // written only if the record still has its Revision
		Mark    *registry.EraRecord   // written only if there is no such record
		Fleet   *registry.FleetRecord // written only if there is no such record
		Former  []era.Era             // former eras whose records are deleted together with writing Mark
		// Depends is the revision of the era record. Claim and Placer are written only if
		// the era record still has it. 0 means no such condition.
		Depends era.Revision
	}
	// WriteReply is the event that answers a Write.
	WriteReply struct {
		Write    Txn
		Revision era.Revision
		Conflict bool // a condition did not hold, or the lease no longer exists
		Err      error
	}
	// WatchUpdate is the event that a watch returned records.
	WatchUpdate struct {
		Records []registry.Record
		Version era.Revision // of the store
		Whole   bool         // Records are the complete set
	}
	// Resign is the action that writes the released ownerships, and the placer's record
	// if this instance is the placer, and then ends the lease.
	Resign struct {
		Lease   era.Lease
		Give    []registry.Ownership // released ownerships
		Placer  *registry.Placer     // nil if this instance is not the placer
		Depends era.Revision         // as in Txn
	}
)

// Era returns the era that the transaction is meant for.
func (t Txn) Era() era.Era {
	switch {
	case t.Mark != nil:
		return t.Mark.Era
	case t.Fleet != nil:
		return t.Fleet.Era
	case t.Placer != nil:
		return t.Placer.Era
	case len(t.Claim) > 0:
		return t.Claim[0].Era
	case len(t.Release) > 0:
		return t.Release[0].Era
	default:
		return 0
	}
}

// IsAction implements step.Action.
func (Enrol) IsAction() {}

// IsAction implements step.Action.
func (RenewLease) IsAction() {}

// IsAction implements step.Action.
func (Write) IsAction() {}

// IsAction implements step.Action.
func (Resign) IsAction() {}

// IsEvent implements step.Event.
func (EnrolReply) IsEvent() {}

// IsEvent implements step.Event.
func (RenewReply) IsEvent() {}

// IsEvent implements step.Event.
func (WriteReply) IsEvent() {}

// IsEvent implements step.Event.
func (WatchUpdate) IsEvent() {}

// Deps holds the state and the functions of other modules that ownership uses.
type Deps struct {
	shared.State

	Roster *watchers.Roster
	Links  *links.Tracker
	Owned  *owned.Engines
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// TellSoon is called when new records are known, so that peers receive them soon.
	TellSoon func(now clock.Instant)
	// Quarantined is called for each record of a quarantined request.
	Quarantined func(now clock.Instant, q registry.Quarantine)
	// SteppedBack is called when the store was restored from an older copy of itself.
	SteppedBack func(now clock.Instant)
	// FirstOfFleet is called when it is certain that no instance of the fleet ran before this one.
	FirstOfFleet func()
}

// A Registry holds the records known to an instance, and maintains the instance's own
// record, its claims and the placer's record.
type Registry struct {
	Deps
	enrolment enrolment
	claims    claims
	placer    placer
	fleet     fleetRecord

	era              storeEra
	formerEraRecords []era.Era // former eras whose records still exist

	watchedAt    clock.Instant                 // when the last answered watch was sent
	storeUpSince clock.Instant                 // when the store began to answer renewals; zero: it does not answer
	instances    map[string]registry.Instance  // instances with a record, by name
	absentSince  map[string]clock.Instant      // when an instance was first seen without a record, by name
	owners       map[string]registry.Ownership // newest known ownership, by engine
	learnedAt    map[string]clock.Instant      // when that ownership was learned, by engine
}

// New returns a Registry that knows no records yet.
func New(deps Deps) *Registry {
	return &Registry{
		Deps:        deps,
		enrolment:   newEnrolment(),
		instances:   map[string]registry.Instance{},
		absentSince: map[string]clock.Instant{},
		owners:      map[string]registry.Ownership{},
		learnedAt:   map[string]clock.Instant{},
	}
}

// Tick renews this instance's lease, writes the era record if needed, and claims engines.
// It gives up all engines when this instance may not send orders any more.
func (r *Registry) Tick(now clock.Instant) {
	if r.Stopping() {
		return
	}
	if reason := r.denial(now); reason != allowed {
		r.loseAll(now, string(reason))
	}
	r.loseFormer(now)
	r.renewOrEnrol(now)
	r.writeEraRecord(now)
	r.writeFleetRecord(now)
	r.claim(now)
}

// A denial is the reason why an owner may not send orders, "" if it may.
type denial string

const (
	allowed       denial = ""
	stopping      denial = "this instance stops"
	neverRenewed  denial = "its record was never renewed"
	renewalTooOld denial = "the last renewal of its record that was answered is too old"
	neverWatched  denial = "it never heard of the records from the store"
	watchTooOld   denial = "the last watch that was answered is too old"
)

// An orderEligibility holds the facts that decide whether an owner may send orders.
type orderEligibility struct {
	stopping  bool
	renewedAt clock.Instant // when the last successful renewal was sent; zero: never
	watchedAt clock.Instant // when the last answered watch was sent; zero: never
}

// denial returns why an owner may not send orders at now, "" if it may. A renewal and a
// watch each permit orders for the duration valid, measured by whichever of the monotonic
// and the wall clock advanced more, so that a machine that was suspended sends no orders.
func (e orderEligibility) denial(now clock.Instant, valid time.Duration) denial {
	switch {
	case e.stopping:
		return stopping
	case e.renewedAt.IsZero():
		return neverRenewed
	case now.MaxElapsed(e.renewedAt) >= valid:
		return renewalTooOld
	case e.watchedAt.IsZero():
		return neverWatched
	case now.MaxElapsed(e.watchedAt) >= valid:
		return watchTooOld
	default:
		return allowed
	}
}

// denial returns why this instance may not send orders now, "" if it may.
func (r *Registry) denial(now clock.Instant) denial {
	s := orderEligibility{stopping: r.Stopping(), renewedAt: r.enrolment.renewedAt, watchedAt: r.watchedAt}
	if r.Options.Disable.HearRegistry {
		s.watchedAt = now
	}
	return s.denial(now, r.Options.OrderValid)
}

// MayOrder reports whether this instance is certain to still hold its ownerships.
func (r *Registry) MayOrder(now clock.Instant) bool { return r.denial(now) == allowed }

// loseAll gives up all engines and the task of the placer. Other instances may have
// claimed them without the knowledge of this one, so it must claim them again.
func (r *Registry) loseAll(now clock.Instant, reason string) {
	r.Owned.LoseAll(now, reason)
	r.placer.held = false
}

// WatchAnswered records that a watch of the store, sent at the time sent, was answered.
func (r *Registry) WatchAnswered(sent clock.Instant) { r.watchedAt = sent }

// Instances returns the instances that have a record, keyed by name. Callers must not
// change the map.
func (r *Registry) Instances() map[string]registry.Instance { return r.instances }

// Owner returns the newest known ownership of an engine. ok is false if none is known.
func (r *Registry) Owner(engine string) (o registry.Ownership, ok bool) {
	o, ok = r.owners[engine]
	return o, ok
}

// HandleWatchUpdate applies the records that a watch returned.
func (r *Registry) HandleWatchUpdate(now clock.Instant, e WatchUpdate) {
	r.observeEra(now, e.Version.Era())
	if e.Version.Era() < r.era.current {
		return // sent before the store was restored from an older copy
	}
	records := e.Records
	if e.Whole {
		records = append(slices.Clone(records), r.Records.Missing(records, e.Version)...)
	}
	r.Merge(now, "", records)
	if e.Whole && r.era.readAt.IsZero() {
		r.era.readAt = now
		r.dropFormerRecords(now)
	}
}

// Merge applies those of the records that are newer than the known ones. from is the
// peer that sent them, "" if they come from the store itself.
func (r *Registry) Merge(now clock.Instant, from string, records []registry.Record) {
	var newer []registry.Record
	for _, rec := range records {
		r.observeEra(now, rec.Revision.Era())
	}
	for _, rec := range records {
		if r.era.isFormer(rec.Revision) {
			continue // a peer does not know yet that the store was restored from an older copy
		}
		if r.Records.AddRegistered(from, rec) {
			newer = append(newer, rec)
		}
	}
	if len(newer) > 0 {
		r.apply(now, registry.ChangeOf(newer))
		r.TellSoon(now)
	}
}

func (r *Registry) apply(now clock.Instant, c registry.Change) {
	for _, key := range c.Unreadable {
		r.Out.Log(logevent.RecordUnreadable, "key", key)
	}
	for _, i := range c.Instances {
		r.instances[i.Name] = i
		delete(r.absentSince, i.Name)
		r.Members.Upsert(i.Name, i.Zone, i.Address)
	}
	for _, name := range c.GoneInstances {
		r.applyInstanceDeleted(now, name)
	}
	if c.Fleet != nil {
		r.applyFleetRecord(now, *c.Fleet)
	}
	for _, m := range c.Marks {
		r.applyEraRecord(m)
	}
	for _, o := range c.Owners {
		r.applyOwnership(now, o)
	}
	for _, engine := range c.GoneOwners {
		delete(r.owners, engine)
		r.loseUnlessFormer(now, engine, "its record went")
	}
	for _, q := range c.Quarantines {
		r.Quarantined(now, q)
	}
	if c.Placer != nil {
		r.applyPlacer(now, *c.Placer)
	}
	if c.PlacerGone {
		r.applyPlacer(now, registry.Placer{})
	}
}

func (r *Registry) applyInstanceDeleted(now clock.Instant, name string) {
	delete(r.instances, name)
	if name == r.Self.Name {
		// The next renewal shows whether the lease still exists. After a restore of the store,
		// the record may have been attached to another instance's lease and deleted with it,
		// while this instance's own lease exists.
		r.enrolment.recordDeleted = r.era.rolledBack
		return
	}
	if _, ok := r.absentSince[name]; !ok {
		r.absentSince[name] = now
	}
}

// applyOwnership applies one ownership, which any instance may have written.
func (r *Registry) applyOwnership(now clock.Instant, o registry.Ownership) {
	if old, ok := r.owners[o.Engine]; ok && old.Revision > o.Revision {
		return
	}
	r.owners[o.Engine] = o
	r.learnedAt[o.Engine] = now
	switch {
	case o.Owner == r.Self.Name && o.Boot == r.Self.Boot:
	case r.era.isStale(o.Era):
		r.loseUnlessFormer(now, o.Engine, "another instance's record came after this one's")
	default:
		r.Owned.Lose(now, o.Engine, "another instance took it")
	}
}

// loseUnlessFormer ends the ownership of an engine unless it was claimed in a former era of
// the store. No other instance can have claimed such an engine yet, whatever its record says
// and even if the record was deleted.
func (r *Registry) loseUnlessFormer(now clock.Instant, engine, reason string) {
	if e := r.Owned.Get(engine); e == nil || r.era.isFormer(e.Fence) {
		return
	}
	r.Owned.Lose(now, engine, reason)
}

// HandleWriteReply handles the result of a write. After an error or a conflict, the watch
// returns the records that the store holds.
func (r *Registry) HandleWriteReply(now clock.Instant, e WriteReply) {
	switch {
	case e.Write.Mark != nil:
		r.handleEraRecordReply(now, e)
		return
	case e.Write.Fleet != nil:
		r.handleFleetRecordReply(now, e)
		return
	case e.Write.Placer != nil:
		r.handlePlacerReply(now, e)
		return
	case len(e.Write.Release) > 0:
		r.handleReleaseReply(now, e)
		return
	}
	r.handleClaimReply(now, e)
}

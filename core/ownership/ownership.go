// Package ownership decides which engines this instance owns, and until when it
// may order them, by records in the platform's store.
//
// An owner may give orders for OrderValid after its last renewal, and the last
// watch through which it heard of the records, were sent. Whoever takes an
// engine over from another waits that long and TurnGap on top, counted from its
// claim, since the former owner may not know yet that it lost the engine: the
// store may drop a record without telling its writer, and only a watch shows
// that. So only instances that watch the store own engines.
//
// Ownerships are spread over the instances that watch, so the loss of one leaves
// most engines ordered. The others hear of the records from their peers, and
// know by them whom to ask for orders.
//
// The package also keeps the record of the placer, the one instance that decides
// which models are loaded where (core/placement).
package ownership

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/watchers"
)

type (
	// Enrol is an action: begin a lease and write this instance's record under
	// it.
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
	// RenewLease is an action: renew the lease.
	RenewLease struct{ Lease era.Lease }
	// RenewReply is the event that answers RenewLease. Over says that the lease
	// has gone.
	RenewReply struct {
		Sent  clock.Instant
		Lease era.Lease
		Over  bool
		Err   error
	}
	// Write is an action: write ownerships, or the placer's record under Lease.
	Write struct {
		Write Txn
		Lease era.Lease
	}
	// Txn are what one Write is for.
	Txn struct {
		Claim  []registry.Ownership // each under the condition of its Revision
		Placer *registry.Placer
		Mark   *registry.EraRecord // where there is none
		Former []era.Era           // whose marks go, with Mark
		// Depends is the revision of the era's mark, under the condition of which
		// Claim and Placer are written; 0: under none.
		Depends era.Revision
	}
	// WriteReply is the event that answers a Write.
	WriteReply struct {
		Write    Txn
		Revision era.Revision
		Conflict bool // a condition did not hold, or the lease is over
		Err      error
	}
	// WatchUpdate is the event that a watch brought news of the records.
	WatchUpdate struct {
		Records []registry.Record
		Version era.Revision // of the store
		Whole   bool         // Records are all that there are
	}
	// Resign is an action: write the ownerships that are given back, and the placer's
	// record if that is, then end
	// the lease.
	Resign struct {
		Lease   era.Lease
		Give    []registry.Ownership
		Placer  *registry.Placer // nil: this instance is not the placer
		Depends era.Revision     // as in Txn
	}
)

// Era returns the era that the records are meant for.
func (r Txn) Era() era.Era {
	switch {
	case r.Mark != nil:
		return r.Mark.Era
	case r.Placer != nil:
		return r.Placer.Era
	case len(r.Claim) > 0:
		return r.Claim[0].Era
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

// Deps are what ownership needs of the other modules.
type Deps struct {
	shared.State

	Roster *watchers.Roster
	Owned  *owned.Engines
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
	// TellSoon is called when records became known that peers are to be told of.
	TellSoon func(now clock.Instant)
	// Quarantined is told of requests that are not run.
	Quarantined func(now clock.Instant, q registry.Quarantine)
	// SteppedBack is called when the store came back from an older copy of itself.
	SteppedBack func(now clock.Instant)
}

// A Registry is what an instance knows of the records, and its own part in them.
type Registry struct {
	Deps
	enrolment enrolment
	claims    claims
	placer    placer

	era              storeEra
	formerEraRecords []era.Era // eras that are over and whose marks stand

	watchedAt    clock.Instant // when the last watch that was answered was sent
	storeUpSince clock.Instant // since when the store has answered renewals
	instances    map[string]registry.Instance
	absentSince  map[string]clock.Instant // since when an instance has no record
	owners       map[string]registry.Ownership
	learntAt     map[string]clock.Instant // when each ownership was learnt
}

// New returns the registry of an instance that has heard of no record.
func New(n Deps) *Registry {
	return &Registry{
		Deps:        n,
		enrolment:   newEnrolment(),
		instances:   map[string]registry.Instance{},
		absentSince: map[string]clock.Instant{},
		owners:      map[string]registry.Ownership{},
		learntAt:    map[string]clock.Instant{},
	}
}

// Tick keeps this instance's record and claims engines.
func (g *Registry) Tick(now clock.Instant) {
	if g.Stopping() {
		return
	}
	if why := g.denial(now); why != allowed {
		g.loseAll(now, string(why))
	}
	g.loseFormer(now)
	g.renewOrEnrol(now)
	g.writeEraRecord(now)
	g.claim(now)
}

// A denial says why an owner may not order, "" if it may.
type denial string

// The reasons.
const (
	allowed       denial = ""
	stopping      denial = "this instance stops"
	neverRenewed  denial = "its record was never renewed"
	renewalTooOld denial = "the last renewal of its record that was answered is too old"
	neverWatched  denial = "it never heard of the records from the store"
	watchTooOld   denial = "the last watch that was answered is too old"
)

// A orderEligibility is what decides whether an owner may order.
type orderEligibility struct {
	stopping  bool
	renewedAt clock.Instant // when the last renewal that succeeded was sent; zero: never
	watchedAt clock.Instant // when the last watch that was answered was sent; zero: never
}

// denial returns why an owner may not order at now, valid being how long a renewal
// and a watch are good for. Both clocks count, so that a machine that was suspended
// does not order.
func (s orderEligibility) denial(now clock.Instant, valid time.Duration) denial {
	switch {
	case s.stopping:
		return stopping
	case s.renewedAt.IsZero():
		return neverRenewed
	case now.MaxElapsed(s.renewedAt) >= valid:
		return renewalTooOld
	case s.watchedAt.IsZero():
		return neverWatched
	case now.MaxElapsed(s.watchedAt) >= valid:
		return watchTooOld
	default:
		return allowed
	}
}

// denial returns why this instance may order no engine now, "" if it may.
func (g *Registry) denial(now clock.Instant) denial {
	s := orderEligibility{stopping: g.Stopping(), renewedAt: g.enrolment.renewedAt, watchedAt: g.watchedAt}
	if g.Options.Disable.HearRegistry {
		s.watchedAt = now
	}
	return s.denial(now, g.Options.OrderValid)
}

// MayOrder reports whether this instance's ownerships are certainly still its
// own.
func (g *Registry) MayOrder(now clock.Instant) bool { return g.denial(now) == allowed }

// loseAll has this instance order nothing any more. Others may have taken its
// engines and its place as the placer without its knowledge, so it must claim
// them anew.
func (g *Registry) loseAll(now clock.Instant, why string) {
	g.Owned.LoseAll(now, why)
	g.placer.held = false
}

// WatchAnswered notes that a watch of the store that was sent at sent was
// answered.
func (g *Registry) WatchAnswered(sent clock.Instant) { g.watchedAt = sent }

// Instances returns the instances that have a record, by name.
func (g *Registry) Instances() map[string]registry.Instance { return g.instances }

// Owner returns who owns an engine by the newest record known; ok is false where
// there is none.
func (g *Registry) Owner(engine string) (o registry.Ownership, ok bool) {
	o, ok = g.owners[engine]
	return o, ok
}

// HandleWatchUpdate takes in what a watch brought.
func (g *Registry) HandleWatchUpdate(now clock.Instant, e WatchUpdate) {
	g.observeEra(now, e.Version.Era())
	if e.Version.Era() < g.era.current {
		return // it was on its way while the store went back
	}
	records := e.Records
	if e.Whole {
		records = append(slices.Clone(records), g.Records.Missing(records, e.Version)...)
	}
	g.Merge(now, "", records)
	if e.Whole && g.era.readAt.IsZero() {
		g.era.readAt = now
		g.dropFormerRecords(now)
	}
}

// Merge takes in those of the records that are news; from is the peer that told
// of them, "" if they were learnt from the store itself.
func (g *Registry) Merge(now clock.Instant, from string, records []registry.Record) {
	var news []registry.Record
	for _, r := range records {
		g.observeEra(now, r.Revision.Era())
	}
	for _, r := range records {
		if g.era.isFormer(r.Revision) {
			continue // a peer has not heard yet that the store went back
		}
		if g.Records.AddRegistered(from, r) {
			news = append(news, r)
		}
	}
	if len(news) > 0 {
		g.apply(now, registry.ChangeOf(news))
		g.TellSoon(now)
	}
}

func (g *Registry) apply(now clock.Instant, c registry.Change) {
	for _, key := range c.Unreadable {
		g.Out.Log(logevent.RecordUnreadable, "key", key)
	}
	for _, i := range c.Instances {
		g.instances[i.Name] = i
		delete(g.absentSince, i.Name)
		g.Members.Upsert(i.Name, i.Zone, i.Address)
	}
	for _, name := range c.GoneInstances {
		g.applyInstanceDeleted(now, name)
	}
	for _, m := range c.Marks {
		g.applyEraRecord(m)
	}
	for _, o := range c.Owners {
		g.applyOwnership(now, o)
	}
	for _, engine := range c.GoneOwners {
		delete(g.owners, engine)
		g.loseUnlessFormer(now, engine, "its record went")
	}
	for _, q := range c.Quarantines {
		g.Quarantined(now, q)
	}
	if c.Placer != nil {
		g.applyPlacer(now, *c.Placer)
	}
	if c.PlacerGone {
		g.applyPlacer(now, registry.Placer{})
	}
}

func (g *Registry) applyInstanceDeleted(now clock.Instant, name string) {
	delete(g.instances, name)
	if name == g.Self.Name {
		// The next renewal will say so, but for a record that hung on another's lease.
		g.enrolment.recordDeleted = g.era.rolledBack
		return
	}
	if _, ok := g.absentSince[name]; !ok {
		g.absentSince[name] = now
	}
}

// applyOwnership takes in one ownership, of whoever wrote it.
func (g *Registry) applyOwnership(now clock.Instant, o registry.Ownership) {
	if old, ok := g.owners[o.Engine]; ok && old.Revision > o.Revision {
		return
	}
	g.owners[o.Engine] = o
	g.learntAt[o.Engine] = now
	switch {
	case o.Owner == g.Self.Name && o.Boot == g.Self.Boot:
	case g.era.isStale(o.Era):
		g.loseUnlessFormer(now, o.Engine, "another instance's record came after this one's")
	default:
		g.Owned.Lose(now, o.Engine, "another instance took it")
	}
}

// loseUnlessFormer ends the ownership of an engine but one that was gained in a former era of
// the store: nobody can have taken that yet, whatever its record says, or if it is gone.
func (g *Registry) loseUnlessFormer(now clock.Instant, engine, why string) {
	if e := g.Owned.Get(engine); e == nil || g.era.isFormer(e.Fence) {
		return
	}
	g.Owned.Lose(now, engine, why)
}

// HandleWriteReply takes in what came of a write. After an error, or a condition that did
// not hold, the watch brings what stands in the store.
func (g *Registry) HandleWriteReply(now clock.Instant, e WriteReply) {
	switch {
	case e.Write.Mark != nil:
		g.handleEraRecordReply(now, e)
		return
	case e.Write.Placer != nil:
		g.handlePlacerReply(now, e)
		return
	}
	g.handleClaimReply(now, e)
}

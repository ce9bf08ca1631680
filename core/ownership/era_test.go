package ownership

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watchers"
)

// These tests cover each mechanism that handles a store restored from an older copy
// (docs/design/eras.md). The randomized storm tests rarely hit the few seconds in which each
// mechanism matters.

// A registryHarness drives one Registry by the events that a driver would post.
type registryHarness struct {
	*testing.T
	registry *Registry
	now      clock.Instant
}

// newRegistryHarness returns the harness of an instance that knows no records.
func newRegistryHarness(t *testing.T) *registryHarness {
	h := &registryHarness{T: t, now: clocktest.At(time.Hour)}
	r := testRegistry(h.now)
	r.Owned.Out = r.Out
	r.Owned.MayOrder = r.MayOrderWithFence
	r.Owned.Published = func(clock.Instant) {}
	r.Config.Snapshot = r.Owned.Config.Snapshot
	r.Options.MeshEvery = 250 * time.Millisecond
	r.Roster = &watchers.Roster{Self: r.Self, Options: r.Options, Members: r.Members, Instances: r.Instances}
	r.TellSoon = func(clock.Instant) {}
	r.Quarantined = func(clock.Instant, registry.Quarantine) {}
	r.SteppedBack = func(clock.Instant) {}
	h.registry = r
	return h
}

// newInEra returns the harness of an instance that has enrolled in era e and knows all of its
// records.
func newInEra(t *testing.T, e era.Era, records ...registry.Record) *registryHarness {
	h := newRegistryHarness(t)
	h.receiveAll(e, records...)
	h.enrol(e)
	return h
}

// receiveAll delivers the complete records of an era: the given ones and the era record.
func (h *registryHarness) receiveAll(e era.Era, records ...registry.Record) {
	eraRecord := registry.EraRecord{Era: e, First: e == 1}
	records = append(records, record(e, 3, eraRecord.Value()))
	h.registry.HandleWatchUpdate(h.now, WatchUpdate{Records: records, Version: e.Revision(50), Whole: true})
	h.registry.WatchAnswered(h.now)
}

// record returns v as a record with the given revision of an era.
func record(e era.Era, raw uint64, v registry.Value) registry.Record {
	return registry.Record{Key: v.Key, Data: v.Data, Revision: e.Revision(raw)}
}

// enrol delivers the reply that this instance has a lease of era e.
func (h *registryHarness) enrol(e era.Era) {
	h.registry.HandleEnrolReply(h.now, EnrolReply{Sent: h.now, Lease: era.Lease{Era: e, ID: 9}})
}

// advance advances the time by span while the store answers watches and renewals.
func (h *registryHarness) advance(span time.Duration) {
	for end := h.now.Add(span); h.now.Before(end); {
		h.now = h.now.Add(100 * time.Millisecond)
		h.registry.WatchAnswered(h.now)
		if h.registry.enrolment.held {
			h.registry.renewed(h.now, h.now)
		}
	}
}

// tick runs one tick and returns its actions.
func (h *registryHarness) tick() []step.Action {
	h.registry.Out.Reset()
	h.registry.Tick(h.now)
	return h.registry.Out.Actions()
}

// awaitClaims advances the time by at most limit until claims are written, and returns their
// transaction.
func (h *registryHarness) awaitClaims(limit time.Duration) (Txn, bool) {
	for end := h.now.Add(limit); h.now.Before(end); h.advance(100 * time.Millisecond) {
		for _, a := range h.tick() {
			if w, ok := a.(Write); ok && len(w.Write.Claim) > 0 {
				return w.Write, true
			}
		}
	}
	return Txn{}, false
}

// newOwner returns the harness of an instance that owns engine e in era 1 and may order it.
func newOwner(t *testing.T) *registryHarness {
	h := newInEra(t, 1)
	w, ok := h.awaitClaims(5 * time.Second)
	if !ok {
		t.Fatal("nothing was claimed")
	}
	h.registry.HandleWriteReply(h.now, WriteReply{Write: w, Revision: era.Era(1).Revision(40)})
	if h.registry.Owned.Get("e") == nil {
		t.Fatal("e is not owned")
	}
	h.advance(time.Second)
	return h
}

// mayOrder reports whether the instance may send orders to engine e.
func (h *registryHarness) mayOrder() bool {
	e := h.registry.Owned.Get("e")
	return e != nil && h.registry.Owned.Orderable(h.now, e)
}

// ownerRecord returns the ownership record of engine e for the owner name, written for the
// era meant.
func ownerRecord(name string, meant era.Era) registry.Value {
	return registry.Ownership{Engine: "e", Owner: name, Boot: 7, Era: meant}.Value()
}

// TestOwnerKeepsSendingOrdersAndReclaims checks that after a rollback an owner keeps sending
// orders to its engine and claims it again without a wait, whatever former-era record of the
// engine the store holds, or if it holds none. The claim is conditional on the record found.
func TestOwnerKeepsSendingOrdersAndReclaims(t *testing.T) {
	for name, found := range map[string][]registry.Record{
		"its own record":    {record(2, 20, ownerRecord("self", 1))},
		"another's":         {record(2, 20, ownerRecord("b", 1))},
		"a released record": {record(2, 20, ownerRecord("", 1))},
		"none":              nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newOwner(t)
			is.True(h.mayOrder())
			h.receiveAll(2, found...)
			is.True(h.mayOrder())
			w, ok := h.awaitClaims(time.Second)
			is.True(ok)
			is.Equal(w.Claim[0].FormerOwner, "")
			is.Equal(w.Claim[0].Era, era.Era(2))
			is.Equal(w.Claim[0].Revision != 0, len(found) > 0)
			is.Equal(w.Depends, era.Era(2).Revision(3)) // conditional on this era's record
			h.registry.HandleWriteReply(h.now, WriteReply{Write: w, Revision: era.Era(2).Revision(60)})
			h.enrol(2)
			h.advance(10 * time.Second)
			h.tick()
			is.True(h.mayOrder())
			is.Equal(h.registry.Owned.Get("e").Fence, era.Era(2).Revision(60))
		})
	}
}

// TestOwnerLosesToClaimOfCurrentEra checks that an owner gives its engine up to a claim of
// the current era, since only an instance that may order the engine writes one.
func TestOwnerLosesToClaimOfCurrentEra(t *testing.T) {
	is := is.New(t)
	h := newOwner(t)
	h.receiveAll(2, record(2, 20, ownerRecord("b", 2)))
	is.True(h.registry.Owned.Get("e") == nil)
}

// TestFormerEraOwnershipExpires checks that an ownership of a former era ends unless it is
// claimed again, even if renewals and watches are answered.
func TestFormerEraOwnershipExpires(t *testing.T) {
	is := is.New(t)
	h := newOwner(t)
	h.receiveAll(2)
	h.enrol(2)
	w, ok := h.awaitClaims(time.Second)
	is.True(ok)
	h.registry.HandleWriteReply(h.now, WriteReply{Write: w, Err: errors.New("no answer")})
	h.advance(h.registry.Options.OrderValid - 2*time.Second)
	is.True(h.mayOrder())
	h.advance(2 * time.Second)
	is.True(!h.mayOrder()) // before any tick
	h.tick()
	is.True(h.registry.Owned.Get("e") == nil)
}

// TestUnsettledOwnershipIsLostOnRollback checks that an owner that still waits for the orders
// of a former owner to end loses the engine on a rollback. The store may have lost exactly the
// claim that would have told the former owner to stop.
func TestUnsettledOwnershipIsLostOnRollback(t *testing.T) {
	is := is.New(t)
	h := newInEra(t, 1)
	claim := registry.Ownership{Engine: "e", Owner: "self", Boot: 1, Era: 1, FormerOwner: "b"}
	h.registry.HandleWriteReply(h.now, WriteReply{Write: Txn{Claim: []registry.Ownership{claim}}, Revision: era.Era(1).Revision(40)})
	is.True(h.registry.Owned.Get("e") != nil)
	h.receiveAll(2)
	is.True(h.registry.Owned.Get("e") == nil)
}

// TestFormerEraRecordForcesFullWait checks that an instance that claims an engine with a
// former-era record, even one in its own name, waits as after an unknown owner, since such a
// record does not show who orders the engine.
func TestFormerEraRecordForcesFullWait(t *testing.T) {
	for _, name := range []string{"self", "b", ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newInEra(t, 1)
			h.receiveAll(2, record(2, 20, ownerRecord(name, 1)))
			h.enrol(2)
			if name == "b" {
				h.registry.absentSince["b"] = h.now // b's own record was deleted
			}
			w, ok := h.awaitClaims(5 * time.Second)
			is.True(ok)
			is.Equal(w.Claim[0].FormerOwner, registry.FormerUnknown)
			h.registry.HandleWriteReply(h.now, WriteReply{Write: w, Revision: era.Era(2).Revision(60)})
			o := h.registry.Options
			is.Equal(h.registry.Owned.Get("e").From, h.now.Add(o.OrderValid+o.TurnGap+turnMargin))
		})
	}
}

// TestMissingRecordForcesWaitAfterRollback checks that after a rollback an engine without a
// record may be owned by an instance whose claim was lost, so its claimant waits for that
// instance to stop. In the first era there is nothing to wait for.
func TestMissingRecordForcesWaitAfterRollback(t *testing.T) {
	for _, e := range []era.Era{1, 2} {
		is := is.New(t)
		h := newInEra(t, e)
		start := h.now
		w, ok := h.awaitClaims(5 * time.Second)
		is.True(ok)
		h.registry.HandleWriteReply(h.now, WriteReply{Write: w, Revision: e.Revision(60)})
		want := h.now
		if e > 1 {
			o := h.registry.Options
			want = start.Add(2*o.OrderValid + o.TurnGap + turnMargin)
		}
		is.Equal(h.registry.Owned.Get("e").From, want)
	}
}

// TestFormerEraLeaseIsNotRenewed checks that a lease of a former era is replaced by a new one,
// since the store may have issued its ID to another instance.
func TestFormerEraLeaseIsNotRenewed(t *testing.T) {
	is := is.New(t)
	h := newInEra(t, 1)
	h.receiveAll(2)
	h.now = h.now.Add(2 * time.Second)
	enrols := 0
	for _, a := range h.tick() {
		switch a.(type) {
		case RenewLease:
			t.Error("a lease of the former era was renewed")
		case Enrol:
			enrols++
		}
	}
	is.Equal(enrols, 1)
	h.enrol(2)
	h.now = h.now.Add(2 * time.Second)
	for _, a := range h.tick() {
		if k, ok := a.(RenewLease); ok {
			is.Equal(k.Lease.Era, era.Era(2))
		}
	}
}

// TestRecordDeletedWithForeignLeaseIsRewritten checks that an instance enrols again when its
// record is deleted although its lease exists. This happens when a delayed write of the former
// era attaches the record to a lease ID that the store has issued to another instance.
func TestRecordDeletedWithForeignLeaseIsRewritten(t *testing.T) {
	is := is.New(t)
	h := newInEra(t, 1)
	h.receiveAll(2)
	h.enrol(2)
	key := registry.Instance{Name: "self"}.Value().Key
	h.registry.HandleWatchUpdate(h.now, WatchUpdate{Records: []registry.Record{{Key: key, Revision: era.Era(2).Revision(70), Gone: true}}, Version: era.Era(2).Revision(70)})
	h.now = h.now.Add(2 * time.Second)
	enrols := 0
	for _, a := range h.tick() {
		if _, ok := a.(Enrol); ok {
			enrols++
		}
	}
	is.Equal(enrols, 1)
}

// TestFormerEraPeerRecordsAreIgnored checks that records of a former era from a peer are
// ignored, since the store may have lost them.
func TestFormerEraPeerRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	h := newInEra(t, 2)
	h.registry.Merge(h.now, "peer", []registry.Record{record(1, 90, ownerRecord("b", 1))})
	_, known := h.registry.Owner("e")
	is.True(!known)
	h.registry.Merge(h.now, "peer", []registry.Record{record(3, 10, ownerRecord("c", 3))})
	is.Equal(h.registry.era.current, era.Era(3)) // a record of a later era reveals the rollback
}

// TestOwnWritesMayBeLostInRollback checks that an ownership that the instance wrote itself is
// forgotten if the new era does not have it, even if no watch ever returned it.
func TestOwnWritesMayBeLostInRollback(t *testing.T) {
	is := is.New(t)
	h := newOwner(t)
	h.registry.Owned.LoseAll(h.now, "a test")
	h.receiveAll(2)
	_, known := h.registry.Owner("e")
	is.True(!known)
}

// TestNoClaimWithoutEraRecord checks that an instance writes the era record before it claims
// anything. A claim that is not conditional on the era record could take effect after another
// rollback.
func TestNoClaimWithoutEraRecord(t *testing.T) {
	is := is.New(t)
	h := newRegistryHarness(t)
	h.registry.HandleWatchUpdate(h.now, WatchUpdate{Version: era.Era(2).Revision(50), Whole: true})
	h.registry.WatchAnswered(h.now)
	h.enrol(2)
	var eraRecord *registry.EraRecord
	for range 30 {
		for _, a := range h.tick() {
			w, ok := a.(Write)
			if !ok {
				continue
			}
			is.Equal(len(w.Write.Claim), 0)
			if w.Write.Mark != nil {
				eraRecord = w.Write.Mark
			}
		}
		h.advance(100 * time.Millisecond)
	}
	is.True(eraRecord != nil)
	is.Equal(eraRecord.Era, era.Era(2))
	h.registry.HandleWriteReply(h.now, WriteReply{Write: Txn{Mark: eraRecord}, Revision: era.Era(2).Revision(51)})
	w, ok := h.awaitClaims(time.Second)
	is.True(ok)
	is.Equal(w.Depends, era.Era(2).Revision(51))
}

// TestPlacerKeepsPlacingAndReclaims checks that after a rollback the placer continues and
// rewrites its record, as an owner of engines does. Other instances wait until it must have
// done so.
func TestPlacerKeepsPlacingAndReclaims(t *testing.T) {
	is := is.New(t)
	h := newInEra(t, 1)
	claim := func() *registry.Placer {
		h.registry.Out.Reset()
		h.registry.ClaimPlacer(h.now)
		for _, a := range h.registry.Out.Actions() {
			if w, ok := a.(Write); ok && w.Write.Placer != nil {
				return w.Write.Placer
			}
		}
		return nil
	}
	h.advance(time.Second)
	p := claim()
	is.True(p != nil)
	h.registry.HandleWriteReply(h.now, WriteReply{Write: Txn{Placer: p}, Revision: era.Era(1).Revision(41)})
	is.True(h.registry.IsPlacer(h.now))
	other := registry.Placer{Name: "b", Boot: 7, Era: 1}.Value()
	h.receiveAll(2, record(2, 20, other))
	is.True(h.registry.IsPlacer(h.now))
	is.True(claim() == nil) // not before it has a new lease
	h.enrol(2)
	h.advance(time.Second)
	p = claim()
	is.True(p != nil)
	is.Equal(p.Era, era.Era(2))
	is.Equal(p.Revision, era.Era(2).Revision(20))
	h.registry.HandleWriteReply(h.now, WriteReply{Write: Txn{Placer: p}, Revision: era.Era(2).Revision(61)})
	h.advance(option.Default().OrderValid)
	h.tick()
	is.True(h.registry.IsPlacer(h.now))
}

// TestClaimWaitsForFormerPlacer checks that an instance that starts after a rollback waits for
// a placer of the former era to stop before it claims the placer's record, if there is no
// record or a former-era record in its own name.
func TestClaimWaitsForFormerPlacer(t *testing.T) {
	for name, records := range map[string][]registry.Record{
		"no record":  nil,
		"its record": {record(2, 20, registry.Placer{Name: "self", Boot: 7, Era: 1}.Value())},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newInEra(t, 2, records...)
			start := h.now
			for range 200 {
				h.registry.Out.Reset()
				h.registry.ClaimPlacer(h.now)
				if len(h.registry.Out.Actions()) > 0 {
					break
				}
				h.advance(100 * time.Millisecond)
			}
			is.True(len(h.registry.Out.Actions()) > 0)
			is.True(h.now.Since(start) >= 2*h.registry.Options.OrderValid)
		})
	}
}

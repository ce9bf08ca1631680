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

// What an instance does once the store came back from an older copy, mechanism by mechanism:
// storms rarely meet the few seconds in which each of them decides (docs/design/eras.md).

// A bench drives one registry by the events that a driver would post.
type bench struct {
	*testing.T
	g   *Registry
	now clock.Instant
}

// newBench returns the registry of an instance that has heard of nothing.
func newBench(t *testing.T) *bench {
	b := &bench{T: t, now: clocktest.At(time.Hour)}
	g := testRegistry(b.now)
	g.Owned.Out = g.Out
	g.Owned.MayOrder = g.MayOrderWithFence
	g.Owned.Published = func(clock.Instant) {}
	g.Config.Snapshot = g.Owned.Config.Snapshot
	g.Options.MeshEvery = 250 * time.Millisecond
	g.Roster = &watchers.Roster{Self: g.Self, Options: g.Options, Members: g.Members, Instances: g.Instances}
	g.TellSoon = func(clock.Instant) {}
	g.Quarantined = func(clock.Instant, registry.Quarantine) {}
	g.SteppedBack = func(clock.Instant) {}
	b.g = g
	return b
}

// newInEra returns a registry that has enrolled newInEra an era and heard all of its records.
func newInEra(t *testing.T, e era.Era, records ...registry.Record) *bench {
	b := newBench(t)
	b.receiveAll(e, records...)
	b.enrol(e)
	return b
}

// receiveAll has the whole of an era heard: these records, and its mark.
func (b *bench) receiveAll(e era.Era, records ...registry.Record) {
	mark := registry.EraRecord{Era: e, First: e == 1}
	records = append(records, record(e, 3, mark.Value()))
	b.g.HandleWatchUpdate(b.now, WatchUpdate{Records: records, Version: e.Revision(50), Whole: true})
	b.g.WatchAnswered(b.now)
}

// record returns a record as it stands at a revision of an era.
func record(e era.Era, raw uint64, v registry.Value) registry.Record {
	return registry.Record{Key: v.Key, Data: v.Data, Revision: e.Revision(raw)}
}

// enrol has the lease and the record of an era written.
func (b *bench) enrol(e era.Era) {
	b.g.HandleEnrolReply(b.now, EnrolReply{Sent: b.now, Lease: era.Lease{Era: e, ID: 9}})
}

// advance lets time advance while the store answers watches and renewals.
func (b *bench) advance(span time.Duration) {
	for end := b.now.Add(span); b.now.Before(end); {
		b.now = b.now.Add(100 * time.Millisecond)
		b.g.WatchAnswered(b.now)
		if b.g.enrolment.held {
			b.g.renewed(b.now, b.now)
		}
	}
}

// tick returns what a tick has done.
func (b *bench) tick() []step.Action {
	b.g.Out.Reset()
	b.g.Tick(b.now)
	return b.g.Out.Actions()
}

// awaitClaims waits for a write of awaitClaims and returns it.
func (b *bench) awaitClaims(most time.Duration) (Txn, bool) {
	for end := b.now.Add(most); b.now.Before(end); b.advance(100 * time.Millisecond) {
		for _, a := range b.tick() {
			if w, ok := a.(Write); ok && len(w.Write.Claim) > 0 {
				return w.Write, true
			}
		}
	}
	return Txn{}, false
}

// newOwner returns a registry that owns engine e in the first era, with nothing to wait for.
func newOwner(t *testing.T) *bench {
	b := newInEra(t, 1)
	w, ok := b.awaitClaims(5 * time.Second)
	if !ok {
		t.Fatal("nothing was claimed")
	}
	b.g.HandleWriteReply(b.now, WriteReply{Write: w, Revision: era.Era(1).Revision(40)})
	if b.g.Owned.Get("e") == nil {
		t.Fatal("e is not owned")
	}
	b.advance(time.Second)
	return b
}

// orderable reports whether engine e may be ordered.
func (b *bench) orderable() bool {
	e := b.g.Owned.Get("e")
	return e != nil && b.g.Owned.Orderable(b.now, e)
}

// ownerRecord returns the value of the record by which an instance owns e, meant for an era.
func ownerRecord(name string, meant era.Era) registry.Value {
	return registry.Ownership{Engine: "e", Owner: name, Boot: 7, Era: meant}.Value()
}

// TestOwnerKeepsOrderingAndReclaims: whatever the store says of its engine by a record of the
// former era, or if it says nothing, a holder goes on ordering, and claims it again under what
// it found, with nothing to wait for.
func TestOwnerKeepsOrderingAndReclaims(t *testing.T) {
	for name, found := range map[string][]registry.Record{
		"its own record":        {record(2, 20, ownerRecord("self", 1))},
		"another's":             {record(2, 20, ownerRecord("b", 1))},
		"that it is given back": {record(2, 20, ownerRecord("", 1))},
		"none":                  nil,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newOwner(t)
			is.True(b.orderable())
			b.receiveAll(2, found...)
			is.True(b.orderable())
			w, ok := b.awaitClaims(time.Second)
			is.True(ok)
			is.Equal(w.Claim[0].FormerOwner, "")
			is.Equal(w.Claim[0].Era, era.Era(2))
			is.Equal(w.Claim[0].Revision != 0, len(found) > 0)
			is.Equal(w.Depends, era.Era(2).Revision(3)) // on the mark of this era
			b.g.HandleWriteReply(b.now, WriteReply{Write: w, Revision: era.Era(2).Revision(60)})
			b.enrol(2)
			b.advance(10 * time.Second)
			b.tick()
			is.True(b.orderable())
			is.Equal(b.g.Owned.Get("e").Fence, era.Era(2).Revision(60))
		})
	}
}

// TestOwnerLosesToClaimOfCurrentEra: which only one who may order has written.
func TestOwnerLosesToClaimOfCurrentEra(t *testing.T) {
	is := is.New(t)
	b := newOwner(t)
	b.receiveAll(2, record(2, 20, ownerRecord("b", 2)))
	is.True(b.g.Owned.Get("e") == nil)
}

// TestFormerEraOwnershipExpires: unless it is claimed again, though renewals and watches are
// answered.
func TestFormerEraOwnershipExpires(t *testing.T) {
	is := is.New(t)
	b := newOwner(t)
	b.receiveAll(2)
	b.enrol(2)
	w, ok := b.awaitClaims(time.Second)
	is.True(ok)
	b.g.HandleWriteReply(b.now, WriteReply{Write: w, Err: errors.New("no answer")})
	b.advance(b.g.Options.OrderValid - 2*time.Second)
	is.True(b.orderable())
	b.advance(2 * time.Second)
	is.True(!b.orderable()) // before any tick
	b.tick()
	is.True(b.g.Owned.Get("e") == nil)
}

// TestUnsettledOwnershipIsLostOnRollback: the claim by which that one would have heard that
// it may not order any more may be what the store lost.
func TestUnsettledOwnershipIsLostOnRollback(t *testing.T) {
	is := is.New(t)
	b := newInEra(t, 1)
	claim := registry.Ownership{Engine: "e", Owner: "self", Boot: 1, Era: 1, FormerOwner: "b"}
	b.g.HandleWriteReply(b.now, WriteReply{Write: Txn{Claim: []registry.Ownership{claim}}, Revision: era.Era(1).Revision(40)})
	is.True(b.g.Owned.Get("e") != nil)
	b.receiveAll(2)
	is.True(b.g.Owned.Get("e") == nil)
}

// TestFormerEraRecordForcesFullWait: whoever takes the engine, be it in its own
// name, waits as after an owner of whom nothing is known.
func TestFormerEraRecordForcesFullWait(t *testing.T) {
	for _, name := range []string{"self", "b", ""} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newInEra(t, 1)
			b.receiveAll(2, record(2, 20, ownerRecord(name, 1)))
			b.enrol(2)
			if name == "b" {
				b.g.absentSince["b"] = b.now // it has no record of its own any more
			}
			w, ok := b.awaitClaims(5 * time.Second)
			is.True(ok)
			is.Equal(w.Claim[0].FormerOwner, registry.FormerUnknown)
			b.g.HandleWriteReply(b.now, WriteReply{Write: w, Revision: era.Era(2).Revision(60)})
			o := b.g.Options
			is.Equal(b.g.Owned.Get("e").From, b.now.Add(o.OrderValid+o.TurnGap+turnMargin))
		})
	}
}

// TestMissingRecordForcesWaitAfterRollback: by someone whose claim was lost. Where no era was before
// there is nobody to wait for.
func TestMissingRecordForcesWaitAfterRollback(t *testing.T) {
	for _, e := range []era.Era{1, 2} {
		is := is.New(t)
		b := newInEra(t, e)
		heard := b.now
		w, ok := b.awaitClaims(5 * time.Second)
		is.True(ok)
		b.g.HandleWriteReply(b.now, WriteReply{Write: w, Revision: e.Revision(60)})
		want := b.now
		if e > 1 {
			o := b.g.Options
			want = heard.Add(2*o.OrderValid + o.TurnGap + turnMargin)
		}
		is.Equal(b.g.Owned.Get("e").From, want)
	}
}

// TestFormerEraLeaseIsNotRenewed: the store may have given it to another.
func TestFormerEraLeaseIsNotRenewed(t *testing.T) {
	is := is.New(t)
	b := newInEra(t, 1)
	b.receiveAll(2)
	b.now = b.now.Add(2 * time.Second)
	enrols := 0
	for _, a := range b.tick() {
		switch a.(type) {
		case RenewLease:
			t.Error("a lease of the former era is renewed")
		case Enrol:
			enrols++
		}
	}
	is.Equal(enrols, 1)
	b.enrol(2)
	b.now = b.now.Add(2 * time.Second)
	for _, a := range b.tick() {
		if k, ok := a.(RenewLease); ok {
			is.Equal(k.Lease.Era, era.Era(2))
		}
	}
}

// TestRecordDeletedWithForeignLeaseIsRewritten: a write of the former era that was carried
// out late hangs on a lease that the store has given to somebody else.
func TestRecordDeletedWithForeignLeaseIsRewritten(t *testing.T) {
	is := is.New(t)
	b := newInEra(t, 1)
	b.receiveAll(2)
	b.enrol(2)
	key := registry.Instance{Name: "self"}.Value().Key
	b.g.HandleWatchUpdate(b.now, WatchUpdate{Records: []registry.Record{{Key: key, Revision: era.Era(2).Revision(70), Gone: true}}, Version: era.Era(2).Revision(70)})
	b.now = b.now.Add(2 * time.Second)
	enrols := 0
	for _, a := range b.tick() {
		if _, ok := a.(Enrol); ok {
			enrols++
		}
	}
	is.Equal(enrols, 1)
}

// TestFormerEraPeerRecordsAreIgnored: what they tell may have been lost.
func TestFormerEraPeerRecordsAreIgnored(t *testing.T) {
	is := is.New(t)
	b := newInEra(t, 2)
	b.g.Merge(b.now, "peer", []registry.Record{record(1, 90, ownerRecord("b", 1))})
	_, known := b.g.Owner("e")
	is.True(!known)
	b.g.Merge(b.now, "peer", []registry.Record{record(3, 10, ownerRecord("c", 3))})
	is.Equal(b.g.era.current, era.Era(3)) // and one of a later era shows that the store went back
}

// TestOwnWritesMayBeLostInRollback: also where it never heard of it from the store.
func TestOwnWritesMayBeLostInRollback(t *testing.T) {
	is := is.New(t)
	b := newOwner(t)
	b.g.Owned.LoseAll(b.now, "a test")
	b.receiveAll(2)
	_, known := b.g.Owner("e")
	is.True(!known)
}

// TestNoClaimWithoutEraRecord: a claim that doesn't depend on one may come after the store
// went back once more.
func TestNoClaimWithoutEraRecord(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	b.g.HandleWatchUpdate(b.now, WatchUpdate{Version: era.Era(2).Revision(50), Whole: true})
	b.g.WatchAnswered(b.now)
	b.enrol(2)
	var mark *registry.EraRecord
	for range 30 {
		for _, a := range b.tick() {
			w, ok := a.(Write)
			if !ok {
				continue
			}
			is.Equal(len(w.Write.Claim), 0)
			mark = w.Write.Mark
		}
		b.advance(100 * time.Millisecond)
	}
	is.True(mark != nil)
	is.Equal(mark.Era, era.Era(2))
	b.g.HandleWriteReply(b.now, WriteReply{Write: Txn{Mark: mark}, Revision: era.Era(2).Revision(51)})
	w, ok := b.awaitClaims(time.Second)
	is.True(ok)
	is.Equal(w.Depends, era.Era(2).Revision(51))
}

// TestPlacerKeepsPlacingAndReclaims: as a holder of engines does; others wait until it must have.
func TestPlacerKeepsPlacingAndReclaims(t *testing.T) {
	is := is.New(t)
	b := newInEra(t, 1)
	seek := func() *registry.Placer {
		b.g.Out.Reset()
		b.g.ClaimPlacer(b.now)
		for _, a := range b.g.Out.Actions() {
			if w, ok := a.(Write); ok && w.Write.Placer != nil {
				return w.Write.Placer
			}
		}
		return nil
	}
	b.advance(time.Second)
	p := seek()
	is.True(p != nil)
	b.g.HandleWriteReply(b.now, WriteReply{Write: Txn{Placer: p}, Revision: era.Era(1).Revision(41)})
	is.True(b.g.IsPlacer(b.now))
	other := registry.Placer{Name: "b", Boot: 7, Era: 1}.Value()
	b.receiveAll(2, record(2, 20, other))
	is.True(b.g.IsPlacer(b.now))
	is.True(seek() == nil) // not before its new lease
	b.enrol(2)
	b.advance(time.Second)
	p = seek()
	is.True(p != nil)
	is.Equal(p.Era, era.Era(2))
	is.Equal(p.Revision, era.Era(2).Revision(20))
	b.g.HandleWriteReply(b.now, WriteReply{Write: Txn{Placer: p}, Revision: era.Era(2).Revision(61)})
	b.advance(option.Default().OrderValid)
	b.tick()
	is.True(b.g.IsPlacer(b.now))
}

// TestClaimWaitsForFormerPlacer: where there is no record of it, or it is this instance's own.
func TestClaimWaitsForFormerPlacer(t *testing.T) {
	for name, records := range map[string][]registry.Record{
		"no record":  nil,
		"its record": {record(2, 20, registry.Placer{Name: "self", Boot: 7, Era: 1}.Value())},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := newInEra(t, 2, records...)
			heard := b.now
			for range 200 {
				b.g.Out.Reset()
				b.g.ClaimPlacer(b.now)
				if len(b.g.Out.Actions()) > 0 {
					break
				}
				b.advance(100 * time.Millisecond)
			}
			is.True(len(b.g.Out.Actions()) > 0)
			is.True(b.now.Since(heard) >= 2*b.g.Options.OrderValid)
		})
	}
}

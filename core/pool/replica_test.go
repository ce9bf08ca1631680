package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/era"
)

// TestEjection checks that consecutive failures eject a replica, for longer each time, and that
// a call that ends without showing anything about the replica's health, such as a refused one,
// counts neither as a failure nor as a success. A first token between failures is a success: it
// resets their count (see FirstTokenReceived).
func TestEjection(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	p.Announce(now, "r", Announcement{Service: "s", Address: "r", Zone: "z", Slots: 4})
	r := p.Get("r")
	id := uint64(0)
	failed := func(n int) {
		for range n {
			id++
			r.Start(now, id)
			p.CallFailed(now, r, id, now)
		}
	}
	failed(ejectAfter - 1)
	is.True(!r.Ejected(now))
	id++
	r.Start(now, id)
	r.DropCall(id) // neither a success nor a failure
	is.Equal(r.Failures(), ejectAfter-1)
	changes := p.CapacityChanges()
	failed(1)
	is.True(r.Ejected(now))
	is.True(p.CapacityChanges() > changes) // wakes waiting calls
	now = now.Add(ejectBase)
	is.True(!r.Ejected(now))
	failed(ejectAfter)
	is.True(r.Ejected(now.Add(2*ejectBase - 1)))
	is.True(!r.Ejected(now.Add(2 * ejectBase)))
}

// TestVanishedReplicaExpires checks that a replica whose entry vanished is used for the grace
// period, then counts as leaving, and is removed once it has no calls in flight.
func TestVanishedReplicaExpires(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	p.Announce(now, "r", Announcement{Service: "s", Address: "r", Zone: "z", Slots: 4})
	r := p.Get("r")
	r.Start(now, 1)
	p.MarkVanished(now, "r", clock.Instant{})
	is.True(r.Vanished())
	is.Equal(p.ExpireVanished(now.Add(VanishedGracePeriod-1), VanishedGracePeriod), nil)
	is.True(r.Usable())
	is.Equal(p.ExpireVanished(now.Add(VanishedGracePeriod), VanishedGracePeriod), []string{"r"})
	is.True(r.Leaving())
	is.Equal(p.ExpireVanished(now.Add(vanishedRetention), VanishedGracePeriod), nil)
	is.True(p.Get("r") != nil) // a call is in flight
	r.DropCall(1)
	p.ExpireVanished(now.Add(vanishedRetention), VanishedGracePeriod)
	is.True(p.Get("r") == nil)
}

// TestLeavingIsNotRevoked checks that an entry without leaving does not revoke the leaving of
// the same incarnation; an entry of another incarnation does, and so does one that reappears
// after it vanished.
func TestLeavingIsNotRevoked(t *testing.T) {
	is := is.New(t)
	p := New()
	now := clocktest.At(time.Hour)
	announce := func(born string, leaving bool) {
		p.Announce(now, "r", Announcement{Service: "s", Address: "r", Zone: "z", Slots: 1, Born: born, Leaving: leaving})
	}
	announce("1", false)
	is.True(p.Get("r").Usable())
	announce("1", true)
	announce("1", false)
	is.True(!p.Get("r").Usable())
	p.MarkVanished(now, "r", clock.Instant{})
	announce("1", false)
	is.True(!p.Get("r").Usable())
	announce("2", false)
	is.True(p.Get("r").Usable())
	p.MarkVanished(now, "r", clock.Instant{})
	p.ExpireVanished(now.Add(VanishedGracePeriod), VanishedGracePeriod)
	is.True(!p.Get("r").Usable())
	announce("2", false)
	is.True(p.Get("r").Usable())
}

// TestVanishedDeadline checks that a replica whose entry vanished counts as leaving at its
// deadline even if that is earlier than the end of the grace period. The deadline is early
// enough for calls to the replica to stop in time.
func TestVanishedDeadline(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	p.Announce(now, "r", Announcement{Service: "s", Address: "r", Zone: "z", Slots: 4})
	p.MarkVanished(now, "r", now.Add(VanishedGracePeriod/4))
	is.Equal(p.ExpireVanished(now.Add(VanishedGracePeriod/4-1), VanishedGracePeriod), nil)
	is.Equal(p.ExpireVanished(now.Add(VanishedGracePeriod/4), VanishedGracePeriod), []string{"r"})
	p.Announce(now, "r", Announcement{Service: "s", Address: "r", Zone: "z", Slots: 4})
	is.True(p.Get("r").Usable())
}

// TestASupersededReplicaIsNoLastResort checks that a replica which reported itself as leaving gets no
// call of the last resort once another one was announced at its address.
func TestASupersededReplicaIsNoLastResort(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	p.Announce(now, "r", Announcement{Service: "s", Address: "a", Zone: "z", Slots: 4, Created: 1})
	p.MarkLeaving(now, "r")
	is.True(p.Get("r").LastResort(now))
	p.Announce(now, "next", Announcement{Service: "s", Address: "a", Zone: "z", Slots: 4, Created: 2})
	is.True(!p.Get("r").LastResort(now))
}

// TestAnExpiredReplicaSupersedesNone checks that a replica supersedes others at its address while its
// entry may have vanished by mistake, and no longer.
func TestAnExpiredReplicaSupersedesNone(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	p.Announce(now, "r", Announcement{Service: "s", Address: "a", Zone: "z", Slots: 4, Created: 1})
	p.Announce(now, "next", Announcement{Service: "s", Address: "a", Zone: "z", Slots: 4, Created: 2})
	p.MarkVanished(now, "next", clock.Instant{})
	is.True(p.Get("r").Superseded())
	p.ExpireVanished(now.Add(VanishedGracePeriod), VanishedGracePeriod)
	is.True(!p.Get("r").Superseded())
}

// TestSupersessionLastsOnceTheEntryVanished checks that a replica whose entry has vanished stays
// superseded.
func TestSupersessionLastsOnceTheEntryVanished(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	p.Announce(now, "r", Announcement{Service: "s", Address: "a", Zone: "z", Slots: 4, Created: 1})
	p.Announce(now, "next", Announcement{Service: "s", Address: "a", Zone: "z", Slots: 4, Created: 2})
	p.ExpireVanished(now, VanishedGracePeriod)
	p.MarkVanished(now, "r", clock.Instant{})
	p.ExpireVanished(now.Add(MaxSupersession), VanishedGracePeriod)
	is.True(p.Get("r").Superseded())
	is.Equal(p.TakeSupersessions(), []Supersession{{Replica: "r", Address: "a", Superseded: true}})
}

// TestADisputedReplicaIsProvenByAnAnswer checks that a replica at whose address a newer entry has named another
// one for a while counts as disputed until it answers a call, and again if a still newer entry does.
func TestADisputedReplicaIsProvenByAnAnswer(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	dispute := func(other string, created era.Revision) {
		p.Announce(now, other, Announcement{Service: "s", Address: "a", Zone: "z", Slots: 4, Created: created})
		is.True(p.Get("r").Superseded())
		p.ExpireVanished(now, VanishedGracePeriod)
		now = now.Add(MaxSupersession)
		p.ExpireVanished(now, VanishedGracePeriod)
		is.True(p.Get("r").Usable() && p.Get("r").Disputed())
	}
	p.Announce(now, "r", Announcement{Service: "s", Address: "a", Zone: "z", Slots: 4, Created: 1})
	is.True(!p.Get("r").Disputed())
	dispute("other", 2)
	p.Get("r").Start(now, 1)
	p.AnswerBegan(now, p.Get("r"), 1)
	is.True(!p.Get("r").Disputed())
	dispute("another", 3)
	p.Announce(now, "r", Announcement{Service: "s", Address: "a", Zone: "z", Slots: 4, Created: 4}) // its entry was lost and written again
	is.True(!p.Get("r").Disputed())
	is.True(p.Get("another").Superseded())
}

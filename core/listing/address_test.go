package listing

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/outage"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
)

// newList returns a list at an instance that has just started.
func newList() *List {
	opt := option.Default()
	out := &step.Output{}
	return &List{
		Options: &opt, Out: out, Members: member.New("i", "z"), Pool: pool.New(), Records: gossip.NewSet(),
		Outage:    outage.New(out, outage.DefaultMaxRetryDelay),
		KnownAt:   func() clock.Instant { return clocktest.At(time.Hour) },
		Announced: func(clock.Instant, string, []pool.AnnouncedModel) {}, Restarted: func(clock.Instant, string) {},
		Present: func(clock.Instant, string) {}, TellSoon: func(clock.Instant) {},
	}
}

// sharedAddress is the address of all replicas in these tests.
const sharedAddress = "10.1.64.8:8241"

// entryAt returns an entry of a replica at sharedAddress. created is 0 if the store does not state it.
func entryAt(name, born string, created, version era.Revision) gossip.Listed {
	return gossip.Listed{Name: name, Kind: gossip.Upstream, Zone: "z", Version: version, Announced: &pool.Announcement{
		Service: "app", Address: sharedAddress, Zone: "z", Slots: 4, Born: born, Created: created,
	}}
}

// goneAt returns the removal of a replica's entry.
func goneAt(name string, version era.Revision) gossip.Listed {
	return gossip.Listed{Name: name, Kind: gossip.Upstream, Zone: "z", Gone: true, Version: version}
}

// TestNewestEntryHoldsAnAddress checks that of two replicas whose entries name one address, that of
// the newer entry is used, however and in whatever order the entries arrive. It guards against the
// entry of a replica that crashed retiring the one that started at its address after it.
func TestNewestEntryHoldsAnAddress(t *testing.T) {
	now := clocktest.At(time.Hour)
	read := func(l *List, version era.Revision, entries ...gossip.Listed) {
		l.HandleReply(now, Reply{Entries: entries, Version: version, Whole: true})
	}
	watch := func(l *List, entries ...gossip.Listed) {
		for _, e := range entries {
			l.HandleReply(now, Reply{Entries: []gossip.Listed{e}, Version: e.Version})
		}
	}
	hear := func(l *List, entries ...gossip.Listed) {
		for _, e := range entries {
			l.HandlePeerEntry(now, "peer", e)
		}
	}
	old, next := entryAt("old", "", 10, 10), entryAt("next", "", 20, 20)
	oldLate := entryAt("old", "", 10, 30) // a late write of the replica that has ended
	unstatedOld, unstatedNext := entryAt("old", "", 0, 10), entryAt("next", "", 0, 20)
	const restored era.Era = 1
	cases := []struct {
		name    string
		deliver func(l *List)
	}{
		{"a full read", func(l *List) { read(l, 25, old, next) }},
		{"a full read, the newer entry first", func(l *List) { read(l, 25, next, old) }},
		{"a full read without creations, the newer entry first", func(l *List) { read(l, 25, unstatedNext, unstatedOld) }},
		{"a full read, the older entry changed later", func(l *List) { read(l, 35, next, oldLate) }},
		{"a full read after a watch", func(l *List) { watch(l, next); read(l, 25, old, next) }},
		{"a watch", func(l *List) { watch(l, old, next) }},
		{"a watch, the older entry changes later", func(l *List) { watch(l, old, next, oldLate) }},
		{"a watch, the older entry was heard of last", func(l *List) { watch(l, next, oldLate) }},
		{"a watch, both in one answer", func(l *List) {
			l.HandleReply(now, Reply{Entries: []gossip.Listed{next, old}, Version: 25})
		}},
		{"a peer", func(l *List) { hear(l, old, next) }},
		{"a peer, the newer entry first", func(l *List) { hear(l, next, old) }},
		{"a peer that does not know creations", func(l *List) { hear(l, unstatedNext, unstatedOld) }},
		{"the store, then a peer", func(l *List) { watch(l, next); hear(l, old) }},
		{"a peer, then the store", func(l *List) { hear(l, next); read(l, 25, next, old) }},
		{"a restored store, registered again", func(l *List) {
			watch(l, next)
			read(l, restored.Revision(15), entryAt("old", "", restored.Revision(10), restored.Revision(10)))
			watch(l, entryAt("next", "", restored.Revision(16), restored.Revision(16)))
		}},
		{"a registration that was lost meanwhile", func(l *List) {
			watch(l, old, next, goneAt("next", 22), entryAt("next", "", 24, 24))
		}},
		{"a report of the newer replica in answer to a query of the older", func(l *List) {
			watch(l, entryAt("old", "1", 10, 10), entryAt("next", "2", 20, 20))
			l.HandleSelfReport(now, SelfReport{Replica: "old", Sent: now, Announcement: pool.Announcement{Born: "2"}})
		}},
		{"a restart under the older name", func(l *List) {
			watch(l, entryAt("next", "1", 10, 10), entryAt("old", "", 20, 20), entryAt("next", "2", 10, 30))
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newList()
			c.deliver(l)
			is.True(l.Pool.Get("next").Usable())
			is.True(!l.Pool.Get("old").Usable())
			l.Tick(now)
			l.HandleReply(now, Reply{Entries: []gossip.Listed{goneAt("old", restored.Revision(40))}, Version: restored.Revision(40)})
			is.True(l.Pool.Get("next").Usable()) // also after the entry of the other has gone
		})
	}
}

// TestAWrongNewerEntryIsRevoked checks that a replica which was superseded is used again once the
// newer entry vanishes, names another address or proves wrong, unless it reported itself as
// leaving meanwhile. It guards against one wrong entry retiring a running replica for good.
func TestAWrongNewerEntryIsRevoked(t *testing.T) {
	now := clocktest.At(time.Hour)
	moved := entryAt("wrong", "", 20, 30)
	moved.Announced.Address = "10.1.64.9:8241"
	cases := []struct {
		name   string
		revoke func(l *List)
		usable bool
	}{
		{"the entry vanishes", func(l *List) {
			l.HandleReply(now, Reply{Entries: []gossip.Listed{goneAt("wrong", 30)}, Version: 30})
			l.Tick(now.Add(pool.VanishedGracePeriod))
		}, true},
		{"the entry is missing from a full read", func(l *List) {
			l.HandleReply(now, Reply{Entries: []gossip.Listed{entryAt("sound", "", 10, 10)}, Version: 30, Whole: true})
			l.Tick(now)
		}, true},
		{"the entry is moved", func(l *List) { l.HandleReply(now, Reply{Entries: []gossip.Listed{moved}, Version: 30}) }, true},
		{"a call is answered by the other replica", func(l *List) { l.Pool.MarkTerminated("wrong") }, true},
		{"both entries last", func(l *List) {
			l.Tick(now)
			l.Tick(now.Add(pool.MaxSupersession))
			l.HandleReply(now, Reply{Entries: []gossip.Listed{entryAt("wrong", "", 20, 40)}, Version: 40}) // it is written again
		}, true},
		{"both entries last for a moment", func(l *List) {
			l.Tick(now)
			l.Tick(now.Add(pool.MaxSupersession - time.Millisecond))
		}, false},
		{"both entries last, and a third one comes", func(l *List) {
			l.Tick(now)
			l.Tick(now.Add(pool.MaxSupersession))
			l.HandleReply(now, Reply{Entries: []gossip.Listed{entryAt("next", "", 40, 40)}, Version: 40})
		}, false},
		{"both entries last, and a call is answered by the replica of the newer", func(l *List) {
			l.Tick(now)
			l.Tick(now.Add(pool.MaxSupersession))
			l.Pool.MarkTerminated("sound")
		}, false},
		{"both are missing from a full read", func(l *List) {
			l.HandleReply(now, Reply{Version: 30, Whole: true})
			l.Tick(now.Add(pool.VanishedGracePeriod))
		}, false},
		{"the superseded replica reported that it is leaving", func(l *List) {
			l.Pool.MarkLeaving(now, "sound")
			l.Pool.MarkTerminated("wrong")
		}, false},
		{"a peer heard that the superseded replica is leaving", func(l *List) {
			l.Pool.ObservePeerLeaving("sound")
			l.Pool.MarkTerminated("wrong")
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := newList()
			l.HandleReply(now, Reply{Entries: []gossip.Listed{entryAt("sound", "", 10, 10), entryAt("wrong", "", 20, 20)}, Version: 20})
			is.True(!l.Pool.Get("sound").Usable())
			is.True(!l.Pool.Get("sound").LastResort(now))
			c.revoke(l)
			is.Equal(l.Pool.Get("sound").Usable(), c.usable)
		})
	}
}

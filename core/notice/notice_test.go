package notice

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/shared"
)

var start = clocktest.At(time.Hour)

// newTestTracker returns the notices of an instance that knows one replica, and how often
// peers were to be told.
func newTestTracker(name string) (n *Tracker, told *int) {
	told = new(int)
	n = New(Deps{State: shared.New(member.Identity{Name: name, Zone: "z"}, option.Default(), 1), TellSoon: func(clock.Instant) { *told++ }})
	n.Pool.Announce(start, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Slots: 4, Born: "1"})
	return n, told
}

// TestNoticesAreSharedOnce: that a replica leaves, and that it turned this instance away, are
// told to peers once each, with the life that they hold for.
func TestNoticesAreSharedOnce(t *testing.T) {
	is := is.New(t)
	n, told := newTestTracker("i")
	heard := Received{Replica: "r", Sent: start, Notice: pool.Notice{Leaving: true}}
	rests := Received{Replica: "r", Sent: start, Notice: pool.Notice{Rest: time.Second}}
	n.HandleNotice(start, rests)
	n.HandleNotice(start, rests)
	is.Equal(*told, 1)
	n.HandleNotice(start, heard)
	n.HandleNotice(start, heard)
	is.Equal(*told, 2)
	rest := n.Records.Delta(start.Add(400*time.Millisecond), 0, "peer", false, 0).Rests
	is.Equal(rest, []gossip.Rest{{Incarnation: pool.Incarnation{Name: "r", Born: "1"}, Left: 600 * time.Millisecond}})
	news := n.Records.Since(0, "peer", false, 0).Leaving
	is.Equal(len(news), 1)
	is.Equal(news[0].Incarnation, pool.Incarnation{Name: "r", Born: "1"})
}

// TestPeerLeavingAppliesToIncarnation: what a peer was told counts for the life that it was told of,
// also where that is announced here later, and after the replica was forgotten.
func TestPeerLeavingAppliesToIncarnation(t *testing.T) {
	is := is.New(t)
	n, told := newTestTracker("i")
	leaving := func(born string) []gossip.Leaving {
		return []gossip.Leaving{{Incarnation: pool.Incarnation{Name: "r", Born: born}}}
	}
	n.HandlePeerLeaving(start, "peer", leaving("0"))
	n.HandlePeerLeaving(start, "peer", leaving("2"))
	is.True(!n.Pool.Get("r").Leaving())
	is.Equal(*told, 2) // others may know that life
	n.Pool.Announce(start, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Born: "2"})
	n.HandleAnnounced(start, "r")
	is.True(n.Pool.Get("r").Leaving())
	n.Pool.Announce(start, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Born: "3"})
	n.HandleAnnounced(start, "r")
	is.True(!n.Pool.Get("r").Leaving())
	n.HandlePeerLeaving(start, "peer", leaving("3"))
	is.True(n.Pool.Get("r").Leaving())
	n.HandlePeerLeaving(start, "other", leaving("3"))
	is.Equal(*told, 3)
	n.Tick(start.Add(retention + time.Second))
	is.True(!n.Records.IsLeaving(pool.Incarnation{Name: "r", Born: "3"}))
}

// TestRestsAreSpread: after rests that were asked for at once, instances come back
// one after the other, none before its time, and all soon after it.
func TestRestsAreSpread(t *testing.T) {
	for _, tt := range []struct{ asked, window time.Duration }{
		{3 * time.Second, 600 * time.Millisecond},
		{time.Hour, time.Second},
	} {
		t.Run(tt.asked.String(), func(t *testing.T) {
			is := is.New(t)
			const instances, parts = 370, 10
			var in [parts]int
			for i := range instances {
				n, _ := newTestTracker(fmt.Sprintf("i%d", i))
				n.HandleNotice(start, Received{Replica: "r", Sent: start, Notice: pool.Notice{Rest: tt.asked}})
				late := n.Pool.Get("r").RestLeft(start) - tt.asked
				is.True(late >= 0 && late < tt.window)
				in[late*parts/tt.window]++
			}
			for _, count := range in {
				is.True(count <= 2*instances/parts)
			}
		})
	}
}

// TestLimitsAreShared: what a replica says of its limit is told to peers once, again when it
// says something else, and now and then so that they know how old it is.
func TestLimitsAreShared(t *testing.T) {
	is := is.New(t)
	n, told := newTestTracker("i")
	now := start
	heard := func(after time.Duration, limit pool.RateLimit) {
		now = now.Add(after)
		n.HandleNotice(now, Received{Replica: "r", Sent: now, Notice: pool.Notice{Limit: limit}})
	}
	three := pool.RateLimit{Named: true, PerSecond: 3}
	heard(0, pool.RateLimit{})
	is.Equal(*told, 0)
	heard(time.Second, three)
	heard(time.Second, three)
	is.Equal(*told, 1)
	heard(2*time.Second, three)
	is.Equal(*told, 2)
	heard(time.Second, pool.RateLimit{})
	is.Equal(*told, 3)
	heard(time.Second, pool.RateLimit{})
	is.Equal(*told, 3)
	news := n.Records.Delta(now, 0, "peer", false, 0).Limits
	is.Equal(len(news), 1)
	is.Equal(news[0].Incarnation, pool.Incarnation{Name: "r", Born: "1"})
	is.Equal(news[0].Age, time.Second)
	is.Equal(news[0].Limit, pool.RateLimit{PerSecond: 3})
	is.Equal(news[0].By, "i")
}

// TestPeerLimitAppliesToIncarnation: what a peer was told counts for the life that it was told of,
// also where that is announced here later; an own answer that came later stands, and is not
// told over.
func TestPeerLimitAppliesToIncarnation(t *testing.T) {
	is := is.New(t)
	n, told := newTestTracker("i")
	word := func(born string, perSecond float64, ago time.Duration) []gossip.Limit {
		return []gossip.Limit{{Incarnation: pool.Incarnation{Name: "r", Born: born}, LimitReport: pool.LimitReport{
			Limit: pool.RateLimit{Named: true, PerSecond: perSecond}, By: "j", EventTime: clock.EventTime{Age: ago},
		}}}
	}
	rate := func() float64 {
		perSecond, _ := n.Pool.Get("r").RateLimit(start)
		return perSecond
	}
	n.HandlePeerLimits(start, "peer", word("0", 9, 0))
	is.Equal(rate(), 0.0)
	n.HandlePeerLimits(start, "peer", word("1", 2, time.Second))
	is.Equal(rate(), 2.0)
	is.Equal(*told, 2)
	n.HandleNotice(start, Received{Replica: "r", Sent: start, Notice: pool.Notice{Limit: pool.RateLimit{Named: true, PerSecond: 5}}})
	is.Equal(rate(), 5.0)
	n.HandlePeerLimits(start, "peer", word("1", 1, 500*time.Millisecond))
	is.Equal(rate(), 5.0)
	is.Equal(n.Records.Delta(start, 0, "other", false, 0).Limits[1].Limit.PerSecond, 5.0)
	n.HandlePeerLimits(start, "peer", word("2", 7, 0))
	n.Pool.Announce(start, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Born: "2"})
	n.HandleAnnounced(start, "r")
	is.Equal(rate(), 7.0)
	n.Tick(start.Add(retention + time.Second))
	_, kept := n.Records.Limit(pool.Incarnation{Name: "r", Born: "2"})
	is.True(kept) // it is there
	_, kept = n.Records.Limit(pool.Incarnation{Name: "r", Born: "1"})
	is.True(!kept)
}

// TestPeerRestDoesNotBlockCalls: a replica that turned another instance away may be sent
// calls, may turn them away as well, and shows by an answer that it does not.
func TestPeerRestDoesNotBlockCalls(t *testing.T) {
	is := is.New(t)
	n, told := newTestTracker("i")
	r := n.Pool.Get("r")
	rests := func(born string, left time.Duration) []gossip.Rest {
		return []gossip.Rest{{Incarnation: pool.Incarnation{Name: "r", Born: born}, Left: left}}
	}
	n.HandlePeerRests(start, "peer", rests("0", time.Second))
	is.True(!r.RejectsPeers(start))
	n.HandlePeerRests(start, "peer", rests("1", time.Second))
	is.True(r.RejectsPeers(start) && r.MayReject(start) && !r.Resting(start))
	n.HandlePeerRests(start, "other", rests("1", time.Second+ageError))
	is.Equal(*told, 2) // the same rest, by another way
	is.True(!r.MayReject(start.Add(1100 * time.Millisecond)))
	r.Start(start, 1)
	n.Pool.AnswerBegan(start, r, 1)
	is.True(!r.MayReject(start))
}

// ageError is by how much spans differ that travelled.
const ageError = 50 * time.Millisecond

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

// newTestTracker returns the tracker of an instance that knows one replica, and the number of
// times that it requested an exchange with peers.
func newTestTracker(name string) (n *Tracker, shares *int) {
	shares = new(int)
	n = New(Deps{State: shared.New(member.Identity{Name: name, Zone: "z"}, option.Default(), 1), TellSoon: func(clock.Instant) { *shares++ },
		Rejections: func(clock.Instant, string, clock.Instant, pool.RejectionLimit) {},
	})
	n.Pool.Announce(start, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Slots: 4, Born: "1"})
	return n, shares
}

// TestNoticesAreSharedOnce checks that a replica's leaving, and a rest that it requested, are
// sent to peers once each, with the incarnation that they apply to.
func TestNoticesAreSharedOnce(t *testing.T) {
	is := is.New(t)
	n, shares := newTestTracker("i")
	leaving := Received{Replica: "r", Sent: start, Notice: pool.Notice{Leaving: true}}
	resting := Received{Replica: "r", Sent: start, Notice: pool.Notice{Rest: time.Second}}
	n.HandleNotice(start, resting)
	n.HandleNotice(start, resting)
	is.Equal(*shares, 1)
	n.HandleNotice(start, leaving)
	n.HandleNotice(start, leaving)
	is.Equal(*shares, 2)
	rest := n.Records.Delta(start.Add(400*time.Millisecond), 0, "peer", false, 0).Rests
	is.Equal(rest, []gossip.Rest{{Incarnation: pool.Incarnation{Name: "r", Born: "1"}, Left: 600 * time.Millisecond}})
	records := n.Records.Since(0, "peer", false, 0).Leaving
	is.Equal(len(records), 1)
	is.Equal(records[0].Incarnation, pool.Incarnation{Name: "r", Born: "1"})
}

// TestPeerLeavingAppliesToIncarnation checks that a peer's report of a leaving replica applies
// only to the reported incarnation, including when that is announced here later and after the
// replica was removed from the pool.
func TestPeerLeavingAppliesToIncarnation(t *testing.T) {
	is := is.New(t)
	n, shares := newTestTracker("i")
	leaving := func(born string) []gossip.Leaving {
		return []gossip.Leaving{{Incarnation: pool.Incarnation{Name: "r", Born: born}}}
	}
	n.HandlePeerLeaving(start, "peer", leaving("0"))
	n.HandlePeerLeaving(start, "peer", leaving("2"))
	is.True(!n.Pool.Get("r").Leaving())
	is.Equal(*shares, 2) // others may know that incarnation
	n.Pool.Announce(start, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Born: "2"})
	n.HandleAnnounced(start, "r")
	is.True(n.Pool.Get("r").Leaving())
	n.Pool.Announce(start, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Born: "3"})
	n.HandleAnnounced(start, "r")
	is.True(!n.Pool.Get("r").Leaving())
	n.HandlePeerLeaving(start, "peer", leaving("3"))
	is.True(n.Pool.Get("r").Leaving())
	n.HandlePeerLeaving(start, "other", leaving("3"))
	is.Equal(*shares, 3)
	n.Tick(start.Add(retention + time.Second))
	is.True(!n.Records.IsLeaving(pool.Incarnation{Name: "r", Born: "3"}))
}

// TestRestsAreSpread checks that instances return one after the other after rests that were
// requested at the same time, none early, and all soon after the rest.
func TestRestsAreSpread(t *testing.T) {
	for _, tt := range []struct{ requested, window time.Duration }{
		{3 * time.Second, 600 * time.Millisecond},
		{time.Hour, time.Second},
	} {
		t.Run(tt.requested.String(), func(t *testing.T) {
			is := is.New(t)
			const instances, parts = 370, 10
			var counts [parts]int
			for i := range instances {
				n, _ := newTestTracker(fmt.Sprintf("i%d", i))
				n.HandleNotice(start, Received{Replica: "r", Sent: start, Notice: pool.Notice{Rest: tt.requested}})
				late := n.Pool.Get("r").RestLeft(start) - tt.requested
				is.True(late >= 0 && late < tt.window)
				counts[late*parts/tt.window]++
			}
			for _, count := range counts {
				is.True(count <= 2*instances/parts)
			}
		})
	}
}

// TestLimitsAreShared checks that a replica's limit is sent to peers once, again when it
// changes, and from time to time while it is unchanged, so that peers know its age.
func TestLimitsAreShared(t *testing.T) {
	is := is.New(t)
	n, shares := newTestTracker("i")
	now := start
	receive := func(after time.Duration, limit pool.RateLimit) {
		now = now.Add(after)
		n.HandleNotice(now, Received{Replica: "r", Sent: now, Notice: pool.Notice{Limit: limit}})
	}
	three := pool.RateLimit{Named: true, PerSecond: 3}
	receive(0, pool.RateLimit{})
	is.Equal(*shares, 0)
	receive(time.Second, three)
	receive(time.Second, three)
	is.Equal(*shares, 1)
	receive(2*time.Second, three)
	is.Equal(*shares, 2)
	receive(time.Second, pool.RateLimit{})
	is.Equal(*shares, 3)
	receive(time.Second, pool.RateLimit{})
	is.Equal(*shares, 3)
	records := n.Records.Delta(now, 0, "peer", false, 0).Limits
	is.Equal(len(records), 1)
	is.Equal(records[0].Incarnation, pool.Incarnation{Name: "r", Born: "1"})
	is.Equal(records[0].Age, time.Second)
	is.Equal(records[0].Limit, pool.RateLimit{PerSecond: 3})
	is.Equal(records[0].By, "i")
}

// TestPeerLimitAppliesToIncarnation checks that a peer's limit report applies only to the
// reported incarnation, including when that is announced here later, and that a newer own
// report is kept and not sent again.
func TestPeerLimitAppliesToIncarnation(t *testing.T) {
	is := is.New(t)
	n, shares := newTestTracker("i")
	reports := func(born string, perSecond float64, ago time.Duration) []gossip.Limit {
		return []gossip.Limit{{Incarnation: pool.Incarnation{Name: "r", Born: born}, LimitReport: pool.LimitReport{
			Limit: pool.RateLimit{Named: true, PerSecond: perSecond}, By: "j", EventTime: clock.EventTime{Age: ago},
		}}}
	}
	rate := func() float64 {
		perSecond, _ := n.Pool.Get("r").RateLimit(start)
		return perSecond
	}
	n.HandlePeerLimits(start, "peer", reports("0", 9, 0))
	is.Equal(rate(), 0.0)
	n.HandlePeerLimits(start, "peer", reports("1", 2, time.Second))
	is.Equal(rate(), 2.0)
	is.Equal(*shares, 2)
	n.HandleNotice(start, Received{Replica: "r", Sent: start, Notice: pool.Notice{Limit: pool.RateLimit{Named: true, PerSecond: 5}}})
	is.Equal(rate(), 5.0)
	n.HandlePeerLimits(start, "peer", reports("1", 1, 500*time.Millisecond))
	is.Equal(rate(), 5.0)
	is.Equal(n.Records.Delta(start, 0, "other", false, 0).Limits[1].Limit.PerSecond, 5.0)
	n.HandlePeerLimits(start, "peer", reports("2", 7, 0))
	n.Pool.Announce(start, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Born: "2"})
	n.HandleAnnounced(start, "r")
	is.Equal(rate(), 7.0)
	n.Tick(start.Add(retention + time.Second))
	_, kept := n.Records.Limit(pool.Incarnation{Name: "r", Born: "2"})
	is.True(kept) // it is still running
	_, kept = n.Records.Limit(pool.Incarnation{Name: "r", Born: "1"})
	is.True(!kept)
}

// TestPeerRestDoesNotBlockCalls checks that a replica that requested a rest from another
// instance may still be sent calls, counts as one that may reject them, and no longer does
// after an answer.
func TestPeerRestDoesNotBlockCalls(t *testing.T) {
	is := is.New(t)
	n, shares := newTestTracker("i")
	r := n.Pool.Get("r")
	rests := func(born string, left time.Duration) []gossip.Rest {
		return []gossip.Rest{{Incarnation: pool.Incarnation{Name: "r", Born: born}, Left: left}}
	}
	n.HandlePeerRests(start, "peer", rests("0", time.Second))
	is.True(!r.RejectsPeers(start))
	n.HandlePeerRests(start, "peer", rests("1", time.Second))
	is.True(r.RejectsPeers(start) && r.MayReject(start) && !r.Resting(start))
	n.HandlePeerRests(start, "other", rests("1", time.Second+ageError))
	is.Equal(*shares, 2) // the same rest from another peer
	is.True(!r.MayReject(start.Add(1100 * time.Millisecond)))
	r.Start(start, 1)
	n.Pool.AnswerBegan(start, r, 1)
	is.True(!r.MayReject(start))
}

// ageError is the error of an age that was received in a message.
const ageError = 50 * time.Millisecond

package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
)

// TestLoadUpToPriority checks that a call waits for the work of its own rank and of more urgent
// ones, of this instance and of its peers, and that ranks beyond the last count as the last.
func TestLoadUpToPriority(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	p.Announce(now, "r", Announcement{Service: "s", Address: "r", Zone: "z", Slots: 4, Engine: true})
	r := p.Get("r")
	r.StartPrefill(now, 1, Prefill{Rank: 0, Work: time.Second})
	r.StartPrefill(now, 2, Prefill{Rank: 2, Work: 10 * time.Second})
	r.StartPrefill(now, 3, Prefill{Rank: Ranks + 5, Work: 100 * time.Second})
	p.ObservePeerUsage(now, "peer", map[string]Usage{"r": {Calls: ByRank[int]{1: 4}, Prefill: ByRank[time.Duration]{1: 2 * time.Second}}})
	for rank, want := range map[int]time.Duration{
		0: time.Second, 1: 3 * time.Second, 2: 13 * time.Second, Ranks - 1: 113 * time.Second, Ranks: 113 * time.Second,
	} {
		is.Equal(r.Load(now).Prefill.UpTo(rank), want)
	}
	is.Equal(r.Load(now).Calls.UpTo(0), 1)
	is.Equal(r.Load(now).Calls.UpTo(1), 5)
	is.Equal(r.Load(now).Calls.Sum(), 7)
	r.FirstTokenReceived(now, 2, false) // its prompt has been processed
	is.Equal(r.Load(now).Prefill.UpTo(2), 3*time.Second)
	is.Equal(r.Load(now).Calls.UpTo(2), 6)
	r.DropCall(2)
	is.Equal(r.Load(now).Calls.UpTo(2), 5)
	r.DropCall(2) // a second time has no effect
	is.Equal(r.Load(now).Calls.UpTo(2), 5)
	is.Equal(r.InFlight(), 2)
}

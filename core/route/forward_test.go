package route

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/pool"
)

var start = clocktest.At(time.Hour)

// twoReplicas returns two replicas of one service, a in zone z and b in zone y, with the
// given number of slots each.
func twoReplicas(engine bool, slots int) (p *pool.Pool, a, b *pool.Replica) {
	p = pool.New()
	for name, zone := range map[string]string{"a": "z", "b": "y"} {
		p.Announce(start, name, pool.Announcement{Service: "s", Address: name, Zone: zone, Slots: slots, Engine: engine})
	}
	return p, p.Get("a"), p.Get("b")
}

// eject makes calls to a replica fail until it is ejected.
func eject(now clock.Instant, r *pool.Replica) {
	for id := uint64(100); !r.Ejected(now); id++ {
		r.Start(now, id)
		r.End(now, id, now, true)
	}
}

// TestChoose checks which of two replicas is chosen: by default a, which is in the
// instance's own zone, and b if a is worse or b is better for the call.
func TestChoose(t *testing.T) {
	// Rendezvous hashing selects a for the first part, so nothing favors b.
	weight := ModelSize{Model: "m", MB: 70}
	chain := NewHashChain("m", []PromptPart{{ID: 3, Tokens: 2000}, {ID: 2, Tokens: 1000}})
	cases := []struct {
		name    string
		engine  bool
		prepare func(router *Router, p *pool.Pool, a, b *pool.Replica, q *Query)
		want    string // "" for none
	}{
		{"same zone preferred", true, nil, "a"},
		{"b has the prompt cached", true, func(router *Router, _ *pool.Pool, _, b *pool.Replica, _ *Query) {
			router.RecordPrompt(pool.Incarnation{Name: "b"}, chain, 100_000)
		}, "b"},
		{"b had the prompt cached before it restarted", true, func(router *Router, p *pool.Pool, _, b *pool.Replica, _ *Query) {
			router.RecordPrompt(b.Incarnation(), chain, 100_000)
			next := b.Announcement()
			next.Born = "2"
			p.Announce(start, "b", next)
		}, "a"},
		{"a is reading a prompt", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, _ *Query) {
			a.StartPrefill(start, 1, pool.Prefill{Work: 300 * time.Millisecond, Expected: 400 * time.Millisecond})
		}, "b"},
		{"a is reading the prompt of a more urgent call", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, q *Query) {
			a.StartPrefill(start, 1, pool.Prefill{Rank: 1, Work: 300 * time.Millisecond, Expected: 400 * time.Millisecond})
			q.Rank = 2
		}, "b"},
		{"a is reading the prompt of a less urgent call", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, q *Query) {
			a.StartPrefill(start, 1, pool.Prefill{Rank: 2, Work: 300 * time.Millisecond, Expected: 400 * time.Millisecond})
			q.Rank = 1
		}, "a"},
		{"two more prompts would delay the streams at a", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, q *Query) {
			for id := range uint64(3) {
				a.Start(start, id) // streams in progress
				a.FirstTokenReceived(start, id, false)
			}
			a.StartPrefill(start, 9, pool.Prefill{Rank: 5, Work: 200 * time.Millisecond})
			q.Gap = 250 * time.Millisecond
		}, "b"},
		{"the streams at a may pause", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, _ *Query) {
			for id := range uint64(3) {
				a.Start(start, id)
				a.FirstTokenReceived(start, id, false)
			}
			a.StartPrefill(start, 9, pool.Prefill{Rank: 5, Work: 200 * time.Millisecond})
		}, "a"},
		{"a is full of calls of the same rank", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, q *Query) {
			for id := range uint64(4) {
				a.StartPrefill(start, id, pool.Prefill{Rank: 1})
				a.FirstTokenReceived(start, id, false)
			}
			q.Rank = 1
		}, "b"},
		{"a is full of less urgent calls", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, q *Query) {
			for id := range uint64(4) {
				a.StartPrefill(start, id, pool.Prefill{Rank: 2})
				a.FirstTokenReceived(start, id, false)
			}
			q.Rank = 1
		}, "a"},
		{"a failed the call", true, func(_ *Router, _ *pool.Pool, _, _ *pool.Replica, q *Query) {
			q.Tried = []pool.Incarnation{{Name: "a"}}
		}, "b"},
		{"both failed the call", true, func(_ *Router, _ *pool.Pool, _, _ *pool.Replica, q *Query) {
			q.Tried = []pool.Incarnation{{Name: "a"}, {Name: "b"}}
		}, ""},
		{"a is down", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, _ *Query) {
			a.LinkFailed(start, true)
		}, "b"},
		{"a is ejected", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, _ *Query) {
			eject(start, a)
		}, "b"},
		{"both are ejected, so neither is skipped", true, func(_ *Router, _ *pool.Pool, a, b *pool.Replica, _ *Query) {
			eject(start, a)
			eject(start, b)
		}, "a"},
		{"a is resting", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start, "a", start, pool.Notice{Rest: time.Second})
		}, "b"},
		{"both are resting", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start, "a", start, pool.Notice{Rest: time.Second})
			p.ObserveNotice(start, "b", start, pool.Notice{Rest: time.Second})
		}, ""},
		{"a is resting and b is ejected", true, func(_ *Router, p *pool.Pool, _, b *pool.Replica, _ *Query) {
			p.ObserveNotice(start, "a", start, pool.Notice{Rest: time.Second})
			eject(start, b)
		}, "b"},
		{"the rest of a has just ended", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start.Add(-time.Second), "a", start, pool.Notice{Rest: time.Second})
		}, "a"},
		{"the rest of a has just ended and a trial call is in flight", true, func(_ *Router, p *pool.Pool, a, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start.Add(-time.Second), "a", start, pool.Notice{Rest: time.Second})
			a.Start(start, 1)
		}, "b"},
		{"the rest of a has just ended, for a call without a retry", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, q *Query) {
			p.ObserveNotice(start.Add(-time.Second), "a", start, pool.Notice{Rest: time.Second})
			q.Sure = true
		}, "b"},
		{"the rests of both have just ended, for a call without a retry", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, q *Query) {
			p.ObserveNotice(start.Add(-time.Second), "a", start, pool.Notice{Rest: time.Second})
			p.ObserveNotice(start.Add(-time.Second), "b", start, pool.Notice{Rest: time.Second})
			q.Sure = true
		}, "a"},
		{"a said that it is leaving", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start, "a", start, pool.Notice{Leaving: true})
		}, "b"},
		{"both said 0.9 s ago that they are leaving", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start.Add(-900*time.Millisecond), "a", start, pool.Notice{Leaving: true})
			p.ObserveNotice(start.Add(-900*time.Millisecond), "b", start, pool.Notice{Leaving: true})
		}, "a"},
		{"both said 1 s ago that they are leaving", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start.Add(-time.Second), "a", start, pool.Notice{Leaving: true})
			p.ObserveNotice(start.Add(-time.Second), "b", start, pool.Notice{Leaving: true})
		}, ""},
		{"both are listed as leaving", true, func(_ *Router, p *pool.Pool, a, b *pool.Replica, _ *Query) {
			for _, r := range []*pool.Replica{a, b} {
				leaving := r.Announcement()
				leaving.Leaving = true
				p.ObserveNotice(start, r.Name, start, pool.Notice{Leaving: true})
				p.Announce(start, r.Name, leaving)
			}
		}, ""},
		{"both said that they are leaving, and another replica has the address of a", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start, "a", start, pool.Notice{Leaving: true})
			p.ObserveNotice(start, "b", start, pool.Notice{Leaving: true})
			p.MarkTerminated("a")
		}, "b"},
		{"the entry of a has vanished", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.MarkVanished(start, "a", clock.Instant{})
		}, "b"},
		{"a newer entry names another replica at the address of a", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.Announce(start, "other", pool.Announcement{Service: "t", Address: "a", Zone: "z", Slots: 4, Created: 2})
		}, "b"},
		{"a newer entry has named another replica at the address of a for long", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.Announce(start, "other", pool.Announcement{Service: "t", Address: "a", Zone: "z", Slots: 4, Created: 2})
			p.ExpireVanished(start.Add(-pool.MaxSupersession), pool.VanishedGracePeriod)
			p.ExpireVanished(start, pool.VanishedGracePeriod)
		}, "b"},
		{"the same, and there is no other", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.Announce(start, "other", pool.Announcement{Service: "t", Address: "a", Zone: "z", Slots: 4, Created: 2})
			p.ExpireVanished(start.Add(-pool.MaxSupersession), pool.VanishedGracePeriod)
			p.ExpireVanished(start, pool.VanishedGracePeriod)
			p.MarkTerminated("b")
		}, "a"},
		{"a must load the item first", true, func(_ *Router, _ *pool.Pool, _, _ *pool.Replica, q *Query) {
			q.LoadCost = func(r *pool.Replica) (time.Duration, bool) {
				if r.Name == "a" {
					return 50 * time.Millisecond, true
				}
				return 0, true
			}
		}, "b"},
		{"a cannot load the item", true, func(_ *Router, _ *pool.Pool, _, _ *pool.Replica, q *Query) {
			q.LoadCost = func(r *pool.Replica) (time.Duration, bool) { return 0, r.Name != "a" }
		}, "b"},
		{"a is a plain replica and full", false, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, q *Query) {
			q.Model = ModelSize{}
			for id := range uint64(4) {
				a.Start(start, id)
			}
		}, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p, a, b := twoReplicas(c.engine, 4)
			router := NewRouter()
			q := Query{Zone: "z", Model: weight, Tokens: 3000, Chain: chain}
			if c.prepare != nil {
				c.prepare(router, p, a, b, &q)
			}
			best, ok := router.Choose(start, q, p.Serving("s"))
			is.Equal(ok, c.want != "")
			if ok {
				is.Equal(best.Replica.Name, c.want)
			}
		})
	}
}

// TestSlotsOfAnyNumberAreCompared guards against an entry with so many slots that a multiple of them
// overflows, which ended the process with a division by zero.
func TestSlotsOfAnyNumberAreCompared(t *testing.T) {
	for _, slots := range []int{1 << 60, 1 << 61, 1 << 62, math.MaxInt} {
		is := is.New(t)
		p := pool.New()
		p.Announce(start, "odd", pool.Announcement{Service: "s", Address: "odd", Zone: "z", Slots: slots})
		p.Announce(start, "r", pool.Announcement{Service: "s", Address: "r", Zone: "z", Slots: 4})
		p.Get("odd").Start(start, 1)
		best, ok := NewRouter().Choose(start, Query{Zone: "z"}, p.Serving("s"))
		is.True(ok)
		is.True(best.Other >= 0 && best.Ahead >= 0)
	}
}

// Guards against equal engines that get unequal shares of calls with one shared part, because the one that
// rendezvous hashing selects for that part is taken for faster though both hold it.
func TestEnginesThatHoldTheFirstPartAreEqual(t *testing.T) {
	is := is.New(t)
	p, a, b := twoReplicas(true, 4)
	router := NewRouter()
	q := Query{Model: ModelSize{Model: "m", MB: 70}, Tokens: 3000, Chain: NewHashChain("m", []PromptPart{{ID: 3, Tokens: 2000}, {ID: 2, Tokens: 1000}})}
	owner := router.firstPartOwner(q, p.Serving("s"))
	expected := func(r *pool.Replica) Estimate { return router.estimate(start, q, r, r == owner) }
	is.True(expected(owner).Total() < max(expected(a).Total(), expected(b).Total())) // neither holds it
	is.Equal(expected(a).Prefill, expected(b).Prefill)                               // the work is the same

	held := NewHashChain("m", []PromptPart{{ID: 3, Tokens: 2000}, {ID: 1, Tokens: 1000}})
	for _, r := range []*pool.Replica{a, b} {
		router.RecordPrompt(r.Incarnation(), held, 100_000)
	}
	is.Equal(expected(a).Total(), expected(b).Total())
	is.Equal(expected(a).Reading, expected(b).Reading)
}

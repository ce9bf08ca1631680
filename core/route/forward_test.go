package route

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/pool"
)

var start = clocktest.At(time.Hour)

// twoReplicas returns two twoReplicas of one service, a in zone z and b in zone y, with
// slots calls at once each.
func twoReplicas(engine bool, slots int) (p *pool.Pool, a, b *pool.Replica) {
	p = pool.New()
	for name, zone := range map[string]string{"a": "z", "b": "y"} {
		p.Announce(start, name, pool.Announcement{Service: "s", Address: name, Zone: zone, Slots: slots, Engine: engine})
	}
	return p, p.Get("a"), p.Get("b")
}

// eject has calls eject at a replica so often that it is ejected.
func eject(now clock.Instant, r *pool.Replica) {
	for id := uint64(100); !r.Ejected(now); id++ {
		r.Start(now, id)
		r.End(now, id, now, true)
	}
}

// TestChoose tables what makes a replica the better one for a call. Without a
// reason the one of the own zone, a, is.
func TestChoose(t *testing.T) {
	// Rendezvous hashing names a for the first part, so nothing speaks for b.
	weight := ModelSize{Model: "m", MB: 70}
	chain := NewHashChain("m", []PromptPart{{ID: 3, Tokens: 2000}, {ID: 2, Tokens: 1000}})
	cases := []struct {
		name    string
		engine  bool
		prepare func(f *Router, p *pool.Pool, a, b *pool.Replica, q *Query)
		want    string // "" for none
	}{
		{"the own zone", true, nil, "a"},
		{"the other keeps the prompt", true, func(f *Router, _ *pool.Pool, _, b *pool.Replica, _ *Query) {
			f.RecordPrompt(pool.Incarnation{Name: "b"}, chain, 100_000)
		}, "b"},
		{"the other kept the prompt before it started again", true, func(f *Router, p *pool.Pool, _, b *pool.Replica, _ *Query) {
			f.RecordPrompt(b.Incarnation(), chain, 100_000)
			next := b.Announcement()
			next.Born = "2"
			p.Announce(start, "b", next)
		}, "a"},
		{"the own zone's is reading a prompt", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, _ *Query) {
			a.StartPrefill(start, 1, pool.Prefill{Work: 300 * time.Millisecond, Expected: 400 * time.Millisecond})
		}, "b"},
		{"the own zone's is reading the prompt of a more urgent call", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, q *Query) {
			a.StartPrefill(start, 1, pool.Prefill{Rank: 1, Work: 300 * time.Millisecond, Expected: 400 * time.Millisecond})
			q.Rank = 2
		}, "b"},
		{"the own zone's is reading the prompt of a less urgent call", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, q *Query) {
			a.StartPrefill(start, 1, pool.Prefill{Rank: 2, Work: 300 * time.Millisecond, Expected: 400 * time.Millisecond})
			q.Rank = 1
		}, "a"},
		{"streams run at the own zone's that two more prompts would stretch", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, q *Query) {
			for id := range uint64(3) {
				a.Start(start, id) // streams that are sent
				a.FirstTokenReceived(start, id, false)
			}
			a.StartPrefill(start, 9, pool.Prefill{Rank: 5, Work: 200 * time.Millisecond})
			q.Gap = 250 * time.Millisecond
		}, "b"},
		{"streams run there that may pause", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, _ *Query) {
			for id := range uint64(3) {
				a.Start(start, id)
				a.FirstTokenReceived(start, id, false)
			}
			a.StartPrefill(start, 9, pool.Prefill{Rank: 5, Work: 200 * time.Millisecond})
		}, "a"},
		{"calls of its rank fill the own zone's", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, q *Query) {
			for id := range uint64(4) {
				a.StartPrefill(start, id, pool.Prefill{Rank: 1})
				a.FirstTokenReceived(start, id, false)
			}
			q.Rank = 1
		}, "b"},
		{"less urgent calls fill the own zone's", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, q *Query) {
			for id := range uint64(4) {
				a.StartPrefill(start, id, pool.Prefill{Rank: 2})
				a.FirstTokenReceived(start, id, false)
			}
			q.Rank = 1
		}, "a"},
		{"the own zone's failed the call", true, func(_ *Router, _ *pool.Pool, _, _ *pool.Replica, q *Query) {
			q.Tried = []pool.Incarnation{{Name: "a"}}
		}, "b"},
		{"both failed the call", true, func(_ *Router, _ *pool.Pool, _, _ *pool.Replica, q *Query) {
			q.Tried = []pool.Incarnation{{Name: "a"}, {Name: "b"}}
		}, ""},
		{"nothing answers at the own zone's", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, _ *Query) {
			a.MarkDown(start)
		}, "b"},
		{"the own zone's is ejected", true, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, _ *Query) {
			eject(start, a)
		}, "b"},
		{"all are ejected, so none is passed over", true, func(_ *Router, _ *pool.Pool, a, b *pool.Replica, _ *Query) {
			eject(start, a)
			eject(start, b)
		}, "a"},
		{"the own zone's wants nothing", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start, "a", start, pool.Notice{Rest: time.Second})
		}, "b"},
		{"both want nothing", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start, "a", start, pool.Notice{Rest: time.Second})
			p.ObserveNotice(start, "b", start, pool.Notice{Rest: time.Second})
		}, ""},
		{"one wants nothing, and the other is ejected", true, func(_ *Router, p *pool.Pool, _, b *pool.Replica, _ *Query) {
			p.ObserveNotice(start, "a", start, pool.Notice{Rest: time.Second})
			eject(start, b)
		}, "b"},
		{"the own zone's wanted nothing until a moment ago", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start.Add(-time.Second), "a", start, pool.Notice{Rest: time.Second})
		}, "a"},
		{"the same, and a call shows whether it takes calls", true, func(_ *Router, p *pool.Pool, a, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start.Add(-time.Second), "a", start, pool.Notice{Rest: time.Second})
			a.Start(start, 1)
		}, "b"},
		{"the same, for a call that could not be repeated", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, q *Query) {
			p.ObserveNotice(start.Add(-time.Second), "a", start, pool.Notice{Rest: time.Second})
			q.Sure = true
		}, "b"},
		{"the same, of both", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, q *Query) {
			p.ObserveNotice(start.Add(-time.Second), "a", start, pool.Notice{Rest: time.Second})
			p.ObserveNotice(start.Add(-time.Second), "b", start, pool.Notice{Rest: time.Second})
			q.Sure = true
		}, "a"},
		{"the own zone's said that it leaves", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start, "a", start, pool.Notice{Leaving: true})
		}, "b"},
		{"both said a moment ago that they leave", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start.Add(-900*time.Millisecond), "a", start, pool.Notice{Leaving: true})
			p.ObserveNotice(start.Add(-900*time.Millisecond), "b", start, pool.Notice{Leaving: true})
		}, "a"},
		{"both said a while ago that they leave", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
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
		{"both said that they leave, and another has the address of one", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.ObserveNotice(start, "a", start, pool.Notice{Leaving: true})
			p.ObserveNotice(start, "b", start, pool.Notice{Leaving: true})
			p.MarkTerminated("a")
		}, "b"},
		{"the own zone's entry went", true, func(_ *Router, p *pool.Pool, _, _ *pool.Replica, _ *Query) {
			p.MarkVanished(start, "a", clock.Instant{})
		}, "b"},
		{"the own zone's must load the item first", true, func(_ *Router, _ *pool.Pool, _, _ *pool.Replica, q *Query) {
			q.LoadCost = func(r *pool.Replica) (time.Duration, bool) {
				if r.Name == "a" {
					return 50 * time.Millisecond, true
				}
				return 0, true
			}
		}, "b"},
		{"the own zone's cannot load the item", true, func(_ *Router, _ *pool.Pool, _, _ *pool.Replica, q *Query) {
			q.LoadCost = func(r *pool.Replica) (time.Duration, bool) { return 0, r.Name != "a" }
		}, "b"},
		{"a plain replica that is full", false, func(_ *Router, _ *pool.Pool, a, _ *pool.Replica, q *Query) {
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
			f := NewRouter()
			q := Query{Zone: "z", Model: weight, Tokens: 3000, Chain: chain}
			if c.prepare != nil {
				c.prepare(f, p, a, b, &q)
			}
			best, ok := f.Choose(start, q, p.Serving("s"))
			is.Equal(ok, c.want != "")
			if ok {
				is.Equal(best.Replica.Name, c.want)
			}
		})
	}
}

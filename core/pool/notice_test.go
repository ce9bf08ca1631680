package pool

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
)

// TestObserveNotice checks which parts of a notice take effect. The replica is announced at the
// start and sends the notice a minute later.
func TestObserveNotice(t *testing.T) {
	start := clocktest.At(time.Hour)
	now := start.Add(time.Minute)
	leaving := Notice{Leaving: true}
	entry := Announcement{Service: "s", Address: "r", Zone: "z", Slots: 4, Born: "1"}
	restarted := entry
	restarted.Born = "2"
	moved := entry
	moved.Address = "other"
	cases := []struct {
		name    string
		setup   func(p *Pool)
		notice  Notice
		sent    time.Duration // after the start
		changed Notice        // the parts reported as new
		leaving bool
		rest    time.Duration // remaining afterwards
	}{
		{"reported as leaving", nil, leaving, 50 * time.Second, leaving, true, 0},
		{"leaving, in the response to a request sent when the replica was first seen", nil, leaving, 0, leaving, true, 0},
		{"leaving, already reported", func(p *Pool) { p.MarkLeaving(now, "r") }, leaving, 50 * time.Second, Notice{}, true, 0},
		{"leaving, already listed as leaving", func(p *Pool) { a := entry; a.Leaving = true; p.Announce(now, "r", a) }, leaving, 50 * time.Second, Notice{}, true, 0},
		{"unknown replica", func(p *Pool) { delete(p.replicas, "r") }, leaving, 50 * time.Second, Notice{}, false, 0},
		{"notice of the previous incarnation", func(p *Pool) { p.Announce(now, "r", restarted) }, Notice{Leaving: true, Rest: time.Second}, 50 * time.Second, Notice{}, false, 0},
		{"notice of the current incarnation", func(p *Pool) { p.Announce(start.Add(10*time.Second), "r", restarted) }, leaving, 50 * time.Second, leaving, true, 0},
		{"notice of a replica that moved to another address", func(p *Pool) { p.Announce(start.Add(10*time.Second), "r", moved) }, leaving, 50 * time.Second, leaving, true, 0},
		{"notice of a replica whose entry has no Born", func(p *Pool) { a := entry; a.Born = ""; p.Announce(start.Add(55*time.Second), "r", a) }, leaving, 50 * time.Second, leaving, true, 0},
		{"rest requested", nil, Notice{Rest: 3 * time.Second}, 50 * time.Second, Notice{Rest: 3 * time.Second}, false, 3 * time.Second},
		{"a longer rest after a shorter one", func(p *Pool) { p.ObserveNotice(now, "r", now, Notice{Rest: time.Second}) }, Notice{Rest: 3 * time.Second}, 50 * time.Second, Notice{Rest: 3 * time.Second}, false, 3 * time.Second},
		{"a shorter rest after a longer one", func(p *Pool) { p.ObserveNotice(now, "r", now, Notice{Rest: 5 * time.Second}) }, Notice{Rest: 3 * time.Second}, 50 * time.Second, Notice{}, false, 5 * time.Second},
		{"empty notice", nil, Notice{}, 50 * time.Second, Notice{}, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := New()
			p.Announce(start, "r", entry)
			if c.setup != nil {
				c.setup(p)
			}
			is.Equal(p.ObserveNotice(now, "r", start.Add(c.sent), c.notice), c.changed)
			r := p.Get("r")
			is.Equal(r != nil && r.Leaving(), c.leaving)
			if r != nil {
				is.Equal(r.RestLeft(now), c.rest)
				is.Equal(r.Resting(now), c.rest > 0)
			}
		})
	}
}

// TestListDoesNotRevokeLeaving checks that a replica that reported itself as leaving stays so
// whatever the list says about this incarnation, and is usable again in another one.
func TestListDoesNotRevokeLeaving(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	entry := Announcement{Service: "s", Address: "r", Zone: "z", Slots: 4, Born: "1"}
	p.Announce(now, "r", entry)
	p.ObserveNotice(now, "r", now, Notice{Leaving: true})
	p.Announce(now, "r", entry)
	is.True(p.Get("r").Leaving())
	p.MarkVanished(now, "r", clock.Instant{})
	p.Announce(now, "r", entry)
	is.True(p.Get("r").Leaving())
	withoutBorn := entry
	withoutBorn.Born = ""
	p.Announce(now, "r", withoutBorn)
	is.True(p.Get("r").Leaving())
	is.Equal(p.Get("r").Incarnation(), Incarnation{Name: "r", Born: "1"})
	entry.Born = "2"
	p.Announce(now, "r", entry)
	is.True(p.Get("r").Usable())
}

// TestRestSurvivesRestart checks that a replica that restarts under its name during a rest that
// it requested keeps that rest, and that another replica at its address does not have it.
func TestRestSurvivesRestart(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	entry := Announcement{Service: "s", Address: "r", Zone: "z", Slots: 4, Born: "1"}
	p.Announce(now, "r", entry)
	p.ObserveNotice(now, "r", now, Notice{Rest: 5 * time.Second})
	entry.Born = "2"
	p.Announce(now.Add(time.Second), "r", entry)
	is.Equal(p.Get("r").RestLeft(now.Add(time.Second)), 4*time.Second)
	p.Announce(now.Add(time.Second), "other", entry)
	is.True(!p.Get("other").Resting(now.Add(time.Second)))
}

// TestTrialCallEndsRest checks that the first call after a rest is a trial call, and that the
// replica may reject calls until a trial call is answered. If a trial call ends without an
// answer, the next call is the trial.
func TestTrialCallEndsRest(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	p := New()
	p.Announce(now, "r", Announcement{Service: "s", Address: "r", Zone: "z", Slots: 4})
	r := p.Get("r")
	r.Start(now, 1) // in flight before the rest
	p.ObserveNotice(now, "r", now, Notice{Rest: time.Second})
	p.AnswerBegan(now, r, 1)
	is.True(r.Resting(now)) // the answer to an earlier call does not end the rest
	now = now.Add(time.Second)
	is.True(!r.Resting(now))
	is.True(r.MayReject(now) && !r.OnTrial())
	r.Start(now, 2)
	is.True(r.OnTrial())
	r.DropCall(2)
	is.True(r.MayReject(now) && !r.OnTrial())
	r.Start(now, 3)
	p.ObserveNotice(now, "r", now, Notice{Rest: time.Second})
	r.DropCall(3)
	is.True(r.Resting(now))
	now = now.Add(time.Second)
	r.Start(now, 4)
	changes := p.CapacityChanges()
	p.AnswerBegan(now, r, 4)
	is.True(!r.MayReject(now) && !r.OnTrial())
	is.True(p.CapacityChanges() > changes) // wakes waiting calls
}

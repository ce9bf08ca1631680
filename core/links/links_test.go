package links

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/step"
)

var start = clocktest.At(time.Hour)

// newTracker returns a tracker of the links to the given replicas of the service app.
func newTracker(replicas ...string) *Tracker {
	state := shared.New(member.Identity{Name: "self", Zone: "z"}, option.Default(), 1)
	for _, name := range replicas {
		state.Pool.Announce(start, name, pool.Announcement{Service: "app", Address: name, Zone: "z", Slots: 1})
	}
	return New(state)
}

// events returns the log events since the last call of events.
func (t *Tracker) events() []logevent.Number {
	var out []logevent.Number
	for _, a := range t.Out.Actions() {
		if l, ok := a.(step.Log); ok {
			out = append(out, l.Event)
		}
	}
	t.Out.Reset()
	return out
}

// TestLostLinksAreLogged checks that an instance logs when it cannot connect to most replicas of a
// service, and when it reaches most of them again.
func TestLostLinksAreLogged(t *testing.T) {
	is := is.New(t)
	tracker := newTracker("a", "b", "c")
	replica := tracker.Pool.Get
	at := func(d time.Duration) clock.Instant { return start.Add(d) }
	tracker.Failed(at(0), replica("a"), true)
	is.Equal(tracker.events(), nil) // one of three
	tracker.Failed(at(time.Second), replica("b"), true)
	is.Equal(tracker.events(), []logevent.Number{logevent.LinksLost})
	tracker.Proven(at(2*time.Second), replica("b"), at(500*time.Millisecond))
	is.Equal(tracker.events(), nil) // the answer is older than the failure
	tracker.Proven(at(3*time.Second), replica("b"), at(2*time.Second))
	is.Equal(tracker.events(), []logevent.Number{logevent.LinksBack})
	tracker.Pool.MarkLeaving(at(4*time.Second), "b")
	tracker.Tick(at(4 * time.Second))
	is.Equal(tracker.events(), nil) // one of two that remain
	tracker.Pool.MarkLeaving(at(5*time.Second), "c")
	tracker.Tick(at(5 * time.Second))
	is.Equal(tracker.events(), []logevent.Number{logevent.LinksLost})
}

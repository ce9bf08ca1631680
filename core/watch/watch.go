// Package watch decides when this instance watches the platform's store, and
// keeps one watch under way while it does.
//
// The instances of core/watchers watch. Any other does too while it owns engines
// or places models, and whenever it would otherwise not hear of changes in time.
package watch

import (
	"math/rand/v2"
	"time"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/exchange"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/outage"
	"github.com/birchdrift/birchdrift/core/ownership"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watchers"
)

const (
	// storeSilence is how old the newest news of the store may be before an
	// instance watches it whoever else should.
	storeSilence = 4 * time.Second
	// BehindLimit is how long peers may be ahead of this instance with the
	// configuration before it asks the store itself.
	BehindLimit = 1200 * time.Millisecond
)

type (
	// Begin is an action: wait for whatever changes in the store.
	Begin struct{ Wait time.Duration }
	// Reply is the event that ends a Begin, after the events for what it
	// brought.
	Reply struct {
		Whole bool // it brought everything, read after the Begin
		Err   error
	}
)

// IsAction implements step.Action.
func (Begin) IsAction() {}

// IsEvent implements step.Event.
func (Reply) IsEvent() {}

// A reason says why an instance watches the store, "" if it does not.
type reason string

// The reasons, in the order in which they are looked for.
const (
	notNeeded   reason = ""
	noPeerHeard reason = "no peer was heard"
	onRoster    reason = "it is one of its zone's watchers"
	ownsEngines reason = "it owns engines"
	placesNow   reason = "it places models"
	newsTooOld  reason = "what peers told it of the store is too old"
	peersAhead  reason = "peers have had a newer configuration for too long"
)

// A view is what decides whether an instance watches.
type view struct {
	alone    bool          // no peer was heard
	onRoster bool          // it is one of its zone's watchers
	engines  int           // that it owns
	placer   bool          // it places models
	newsAge  time.Duration // of the newest news of the store, from whomever
	behind   time.Duration // how long peers have had a newer configuration; 0: they have not
}

// reason returns why an instance watches. Without a watch an owner could not know
// that it is still one, and an instance that nobody tells of changes must ask for
// them itself.
func (v view) reason() reason {
	switch {
	case v.alone:
		return noPeerHeard
	case v.onRoster:
		return onRoster
	case v.engines > 0:
		return ownsEngines
	case v.placer:
		return placesNow
	case v.newsAge > storeSilence:
		return newsTooOld
	case v.behind > BehindLimit:
		return peersAhead
	default:
		return notNeeded
	}
}

// A Watch is one instance's watch of the store. The fields must be set before its
// use.
type Watch struct {
	Options   *option.Options
	Rand      *rand.Rand
	Out       *step.Output
	Outage    *outage.Tracker
	Roster    *watchers.Roster
	Registry  *ownership.Registry
	Exchanges *exchange.Exchanges
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool

	job    step.Job
	logged reason // that was logged last
	old    oldList
}

// An oldList is what was noted of a list that is older than it should be.
type oldList struct {
	noted  bool
	oldest time.Duration
}

// parts returns the waits on the way from the store's word to a call.
func (w *Watch) parts() bounds.Parts {
	o := w.Options
	return o.Bounds.Parts(bounds.Rhythm{Mesh: w.Roster.FullMesh(), Exchange: o.ExchangeEvery, Pause: o.WatchEvery, Wait: o.WatchWait})
}

// view gathers what decides now.
func (w *Watch) view(now clock.Instant) view {
	alone := w.Exchanges.Alone(now)
	behind, _ := w.Exchanges.Behind(now)
	return view{
		alone:    alone,
		onRoster: !alone && w.Roster.Includes(now),
		engines:  w.Registry.Owned.Len(),
		placer:   w.Registry.HoldsPlacer(),
		newsAge:  w.Exchanges.StoreAge(now),
		behind:   behind,
	}
}

// Keeps reports whether this instance watches now.
func (w *Watch) Keeps(now clock.Instant) bool { return w.view(now).reason() != notNeeded }

// Brings reports whether this instance hears of changes from the store itself.
func (w *Watch) Brings(now clock.Instant) bool { return w.Keeps(now) && !w.Outage.Down() }

// Tick begins the next watch if it is due.
func (w *Watch) Tick(now clock.Instant) {
	if w.Stopping() {
		return
	}
	w.noteAge(now)
	why := w.view(now).reason()
	w.log(why)
	if why == notNeeded || !w.job.Ready(now) {
		return
	}
	w.job.Begin(now)
	w.Out.Do(Begin{Wait: w.Options.WatchWait})
}

// Replied notes that a watch is over.
func (w *Watch) Replied(now clock.Instant, e Reply) {
	w.Outage.Observe(now, e.Err)
	if e.Err == nil {
		sent := w.job.SentAt()
		w.Registry.WatchAnswered(sent)
		w.Exchanges.StoreHeard(answeredAt(now, sent, w.Options.WatchWait, e.Whole))
	}
	w.job.End(now.Add(max(w.Options.WatchEvery, w.Outage.Wait(w.Rand))))
}

// answeredAt returns up to when an answer that came at now has everything. One that does not
// have the whole was given when something changed, or when its wait was over.
func answeredAt(now, sent clock.Instant, wait time.Duration, whole bool) clock.Instant {
	if waited := sent.Add(wait); !whole {
		return clock.Earliest(now, waited)
	}
	return sent
}

// noteAge logs when the list becomes older than it should be, and when that is over.
func (w *Watch) noteAge(now clock.Instant) {
	age := w.Exchanges.StoreAge(now)
	most := max(w.Options.Bounds.Leave/2, w.parts().FirstHand())
	switch {
	case w.Exchanges.StoreAt().IsZero():
	case age > most:
		if !w.old.noted && !w.Outage.Down() {
			w.old = oldList{noted: true}
			w.Out.Log(logevent.ListOld, "age_ms", age.Milliseconds(), "most_ms", most.Milliseconds())
		}
		w.old.oldest = max(w.old.oldest, age)
	case w.old.noted:
		w.Out.Log(logevent.ListCurrent, "oldest_ms", w.old.oldest.Milliseconds())
		w.old = oldList{}
	}
}

// log notes that the instance begins to watch, or no longer does.
func (w *Watch) log(why reason) {
	if (why == notNeeded) == (w.logged == notNeeded) {
		return
	}
	w.logged = why
	w.Out.Log(logevent.Watching, "keeps", why != notNeeded, "reason", string(why))
}

// Package watch decides when this instance watches the platform's store, and
// keeps one watch under way while it does.
//
// The instances of core/watchers watch. Any other does too while it owns engines
// or places models, and whenever it would otherwise not hear of changes in time.
package watch

import (
	"math/rand/v2"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/exchange"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/outage"
	"github.com/birchdrift/birchdrift/core/ownership"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watchers"
)

const (
	// storeSilence is how old the newest news of the store may be before an
	// instance watches it whoever else should. Set in 04d16fa.
	storeSilence = 4 * time.Second
	// BehindLimit is how long peers may be ahead of this instance with the
	// configuration before it asks the store itself. Set in 396841e.
	BehindLimit = 1200 * time.Millisecond
)

type (
	// Begin is an action: wait for whatever changes in the store.
	Begin struct{ Wait time.Duration }
	// Reply is the event that ends a Begin, after the events for what it
	// brought.
	Reply struct{ Err error }
)

// IsAction implements step.Action.
func (Begin) IsAction() {}

// IsEvent implements step.Event.
func (Reply) IsEvent() {}

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

	job step.Job
}

// Keeps reports whether this instance watches now.
func (w *Watch) Keeps(now clock.Instant) bool {
	if w.Exchanges.Alone(now) {
		return true
	}
	if w.Roster.Includes(now) || w.Registry.Owned.Len() > 0 || w.Registry.HoldsPlacer() {
		return true
	}
	behind, ok := w.Exchanges.Behind(now)
	return w.Exchanges.StoreAge(now) > storeSilence || ok && behind > BehindLimit
}

// Brings reports whether this instance hears of changes from the store itself.
func (w *Watch) Brings(now clock.Instant) bool { return w.Keeps(now) && !w.Outage.Down() }

// Tick begins the next watch if it is due.
func (w *Watch) Tick(now clock.Instant) {
	if w.Stopping() || !w.Keeps(now) || !w.job.Ready(now) {
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
		w.Exchanges.StoreHeard(sent)
	}
	w.job.End(now.Add(max(w.Options.WatchEvery, w.Outage.Wait(w.Rand))))
}

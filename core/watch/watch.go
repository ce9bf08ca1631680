// Package watch decides when this instance watches the platform's store, and
// keeps one watch under way while it does. A watch that hangs is found by a second
// call beside it, in time for the bounds (core/bounds).
//
// The instances of core/watchers watch. Any other does too while it owns engines
// or places models, and whenever it would otherwise not hear of changes in time.
package watch

import (
	"math/rand/v2"
	"time"

	"github.com/birchdrift/birchdrift/core/backoff"
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
	// MaxConfigLag is how long peers may be ahead of this instance with the
	// configuration before it asks the store itself.
	MaxConfigLag = 1200 * time.Millisecond
	// reuseDelay is for how long connections that are kept are not used after a watch hung:
	// until they have been idle for so long that they were closed.
	reuseDelay = 5 * time.Second
	// waitJitter is the part of its wait by which a watch may be shorter, so that those of
	// all instances, which one change ends together, do not hang together.
	waitJitter = 0.2
)

type (
	// SendRequest is an action: call the store. It is answered by the Reply of the same ID.
	SendRequest struct {
		ID uint64
		// Wait is how long to wait for whatever changes; 0: read everything.
		Wait time.Duration
		// Fresh asks for a connection of its own: those that are kept may hang.
		Fresh bool
	}
	// Reply is the event that ends a Begin, after the events for what it
	// brought.
	Reply struct {
		ID    uint64
		Whole bool // it brought everything, read after the Begin
		Err   error
	}
)

// IsAction implements step.Action.
func (SendRequest) IsAction() {}

// IsEvent implements step.Event.
func (Reply) IsEvent() {}

// A reason says why an instance watches the store, "" if it does not.
type reason string

// The reasons, in the order in which they are looked for.
const (
	notNeeded   reason = ""
	isolated    reason = "no peer was heard"
	onRoster    reason = "it is one of its zone's watchers"
	ownsEngines reason = "it owns engines"
	isPlacer    reason = "it places models"
	newsTooOld  reason = "what peers told it of the store is too old"
	peersAhead  reason = "peers have had a newer configuration for too long"
)

// A view is what decides whether an instance watches.
type view struct {
	alone      bool          // no peer was heard
	onRoster   bool          // it is one of its zone's watchers
	engines    int           // that it owns
	placer     bool          // it places models
	newsAge    time.Duration // of what is known of the store, from whomever
	maxNewsAge time.Duration // the age from which this instance asks the store itself
	behind     time.Duration // how long peers have had a newer configuration; 0: they have not
}

// reason returns why an instance watches. Without a watch an owner could not know
// that it is still one, and an instance that nobody tells of changes must ask for
// them itself.
func (v view) reason() reason {
	switch {
	case v.alone:
		return isolated
	case v.onRoster:
		return onRoster
	case v.engines > 0:
		return ownsEngines
	case v.placer:
		return isPlacer
	case v.newsAge > v.maxNewsAge:
		return newsTooOld
	case v.behind > MaxConfigLag:
		return peersAhead
	default:
		return notNeeded
	}
}

// Deps are what a Watch needs of the other modules.
type Deps struct {
	Options   *option.Options
	Rand      *rand.Rand
	Out       *step.Output
	Outage    *outage.Tracker
	Roster    *watchers.Roster
	Registry  *ownership.Registry
	Exchanges *exchange.Exchanges
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool
}

// A Watch is one instance's watch of the store.
type Watch struct {
	Deps
	calls        map[uint64]call // that were not answered yet
	lastID       uint64          // number of the newest call
	due          clock.Instant   // of the next call, also beside one that hangs
	reuseAt      clock.Instant   // from when on connections that are kept are used again
	failures     failures
	loggedReason reason // that was logged last
	staleList    staleListLog
}

// A call is one call of the store.
type call struct {
	sent clock.Instant
	wait time.Duration
}

// A failures is what came of calls since the last one that was answered.
type failures struct {
	count          int
	at             clock.Instant   // when the last one failed
	overlapBackoff backoff.Backoff // spaces calls beside others that hang
}

// An staleListLog is what was noted of a list that is older than it should be.
type staleListLog struct {
	logged bool
	maxAge time.Duration
}

// delays returns the waits on the way from the store's word to a call.
func (w *Watch) delays() bounds.Delays {
	o := w.Options
	return o.Bounds.Delays(bounds.Timing{Mesh: w.Roster.FullMesh(), Exchange: o.ExchangeEvery, Pause: o.WatchEvery, Wait: o.WatchWait})
}

// New returns the watch of an instance that has not called the store yet.
func New(n Deps) *Watch {
	w := &Watch{Deps: n, calls: map[uint64]call{}}
	w.resetFailures()
	return w
}

// view gathers what decides now.
func (w *Watch) view(now clock.Instant) view {
	alone := w.Exchanges.Isolated(now)
	behind, _ := w.Exchanges.ConfigLag(now)
	return view{
		alone:      alone,
		onRoster:   !alone && w.Roster.IncludesSelf(now),
		engines:    w.Registry.Owned.Len(),
		placer:     w.Registry.HoldsPlacer(),
		newsAge:    w.Exchanges.StoreAge(now),
		maxNewsAge: w.Options.Bounds.MaxStoreSilence(),
		behind:     behind,
	}
}

// Active reports whether this instance watches now.
func (w *Watch) Active(now clock.Instant) bool { return w.view(now).reason() != notNeeded }

// ReceivesUpdates reports whether this instance hears of changes from the store itself.
func (w *Watch) ReceivesUpdates(now clock.Instant) bool { return w.Active(now) && !w.Outage.Down() }

// Tick begins the next call if it is due: another watch, or a read of everything beside a call
// that hangs or after one that failed.
func (w *Watch) Tick(now clock.Instant) {
	if w.Stopping() {
		return
	}
	w.logListAge(now)
	why := w.view(now).reason()
	w.logChange(why)
	if why == notNeeded {
		return
	}
	w.hastenAfterRecovery(now)
	if now.Before(w.due) {
		return
	}
	w.begin(now)
}

// hastenAfterRecovery brings the next call forward once the store answers other calls of this instance
// again.
func (w *Watch) hastenAfterRecovery(now clock.Instant) {
	if w.failures.count == 0 || !w.failures.at.Before(w.Outage.RecoveredAt()) {
		return
	}
	w.failures.at = now
	soon := time.Duration(w.Rand.Float64() * float64(w.delays().Read))
	w.due = clock.Earliest(w.due, now.Add(soon))
}

// begin calls the store.
func (w *Watch) begin(now clock.Instant) {
	parts := w.delays()
	w.lastID++
	b := SendRequest{ID: w.lastID, Fresh: now.Before(w.reuseAt)}
	switch {
	case len(w.calls) > 0: // and none of them was answered in time
		b.Fresh = true
		w.reuseAt = now.Add(reuseDelay)
		w.failures.overlapBackoff = w.failures.overlapBackoff.WithFailure()
		w.due = now.Add(w.failures.overlapBackoff.Delay(w.Rand))
	case w.failures.count > 0:
		b.Fresh = true
		w.due = now.Add(parts.Read)
	default:
		b.Wait = time.Duration((1 - waitJitter*w.Rand.Float64()) * float64(parts.Wait))
		w.due = now.Add(b.Wait + parts.Overdue)
	}
	w.calls[w.lastID] = call{sent: now, wait: b.Wait}
	w.Out.Emit(b)
}

// HandleReply notes that a call is over. An answer ends the calls beside it too: what they bring
// later is older, or the same.
func (w *Watch) HandleReply(now clock.Instant, e Reply) {
	c, ok := w.calls[e.ID]
	if !ok {
		return
	}
	delete(w.calls, e.ID)
	if e.Err != nil {
		w.callFailed(now, e.Err)
		return
	}
	w.Outage.Observe(now, nil)
	w.Registry.WatchAnswered(c.sent)
	w.Exchanges.MarkStoreKnownUntil(completeUntil(now, c, e.Whole))
	clear(w.calls)
	w.resetFailures()
	w.due = now.Add(w.delays().Pause)
}

// callFailed plans the next call after one that failed. A watch that is cut says nothing of the
// store, so the first failure is followed by another call at once.
func (w *Watch) callFailed(now clock.Instant, err error) {
	w.failures.count++
	w.failures.at = now
	if w.failures.count == 1 && !w.Outage.Down() {
		w.due = now
		return
	}
	w.Outage.Observe(now, err)
	if len(w.calls) > 0 {
		return // another one is under way
	}
	w.due = now.Add(w.Outage.Wait(w.Rand))
}

func (w *Watch) resetFailures() {
	b := w.Options.Bounds
	w.failures = failures{overlapBackoff: backoff.New(w.delays().Read, b.MaxRetryDelay())}
}

// completeUntil returns up to when an answer that came at now has everything. One that does not
// have the whole was given when something changed, or when its wait was over.
func completeUntil(now clock.Instant, c call, whole bool) clock.Instant {
	if whole {
		return c.sent
	}
	return clock.Earliest(now, c.sent.Add(c.wait))
}

// logListAge logs when the list becomes older than it should be, and when that is over.
func (w *Watch) logListAge(now clock.Instant) {
	age := w.Exchanges.StoreAge(now)
	most := max(w.Options.Bounds.Leave/2, w.delays().MaxListAge())
	switch {
	case w.Exchanges.StoreKnownUntil().IsZero():
	case age > most:
		if !w.staleList.logged && !w.Outage.Down() {
			w.staleList = staleListLog{logged: true}
			w.Out.Log(logevent.ListOld, "age_ms", age.Milliseconds(), "most_ms", most.Milliseconds())
		}
		w.staleList.maxAge = max(w.staleList.maxAge, age)
	case w.staleList.logged:
		w.Out.Log(logevent.ListCurrent, "oldest_ms", w.staleList.maxAge.Milliseconds())
		w.staleList = staleListLog{}
	}
}

// logChange notes that the instance begins to watch, or no longer does.
func (w *Watch) logChange(why reason) {
	if (why == notNeeded) == (w.loggedReason == notNeeded) {
		return
	}
	w.loggedReason = why
	w.Out.Log(logevent.Watching, "keeps", why != notNeeded, "reason", string(why))
}

// Package watch decides when this instance watches the platform's store, and
// keeps one watch in flight while it does. If a watch hangs, a second call is sent
// in parallel, early enough to meet the bounds (core/bounds).
//
// The instances selected by core/watchers watch. Any other instance also does
// while it owns engines or places models, and whenever its peers would not tell it
// of changes in time.
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
	// MaxConfigLag is how long peers may have a newer configuration than this
	// instance before it queries the store itself.
	MaxConfigLag = 1200 * time.Millisecond
	// reuseDelay is the time for which pooled connections are not used after a watch hung. At
	// its end they have been idle for so long that they were closed.
	reuseDelay = 5 * time.Second
	// waitJitter is the fraction of its wait by which a watch may be shortened at random. One
	// change ends the watches of all instances at the same time. The jitter desynchronizes the
	// following watches, so that they do not all hang at once.
	waitJitter = 0.2
)

type (
	// SendRequest is the action that calls the store. A Reply with the same ID answers it.
	SendRequest struct {
		ID uint64
		// Wait is the longest time to wait for a change. 0 reads everything instead.
		Wait time.Duration
		// Fresh asks for a new connection, since pooled ones may hang.
		Fresh bool
	}
	// Reply is the event that ends a SendRequest. It follows the events that carry the
	// contents of the answer.
	Reply struct {
		ID    uint64
		Whole bool // the answer had the complete contents, read after the SendRequest
		Err   error
	}
)

// IsAction implements step.Action.
func (SendRequest) IsAction() {}

// IsEvent implements step.Event.
func (Reply) IsEvent() {}

// A reason says why an instance watches the store, "" if it does not.
type reason string

// The reasons, in the order in which they are checked.
const (
	notNeeded   reason = ""
	isolated    reason = "no peer was heard recently"
	onRoster    reason = "it is one of its zone's watchers"
	ownsEngines reason = "it owns engines"
	isPlacer    reason = "it places models"
	storeTooOld reason = "store contents from peers are too old"
	peersAhead  reason = "peers have had a newer configuration for too long"
)

// A view holds the facts by which an instance decides whether to watch.
type view struct {
	isolated    bool          // no peer was heard recently
	onRoster    bool          // it is one of its zone's watchers
	engines     int           // number of engines that it owns
	placer      bool          // it places models
	storeAge    time.Duration // age of the known store contents, from the store or from peers
	maxStoreAge time.Duration // age above which this instance queries the store itself
	configLag   time.Duration // how long peers have had a newer configuration; 0: no peer has
}

// reason returns why an instance watches. An owner must watch, since otherwise it
// could not know that it still is the owner. An instance that no peer informs
// of changes must query the store itself.
func (v view) reason() reason {
	switch {
	case v.isolated:
		return isolated
	case v.onRoster:
		return onRoster
	case v.engines > 0:
		return ownsEngines
	case v.placer:
		return isPlacer
	case v.storeAge > v.maxStoreAge:
		return storeTooOld
	case v.configLag > MaxConfigLag:
		return peersAhead
	default:
		return notNeeded
	}
}

// Deps holds the state and the functions of other modules that a Watch uses.
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
	calls        map[uint64]call // unanswered calls, by ID
	lastID       uint64          // ID of the newest call
	due          clock.Instant   // when to start the next call, even if another one hangs
	reuseAt      clock.Instant   // when pooled connections may be used again
	failures     failures
	loggedReason reason // the reason in the last log line
	staleList    staleListLog
}

// A call is one unanswered call of the store.
type call struct {
	sent clock.Instant
	wait time.Duration
}

// A failures records the failed calls since the last answered one.
type failures struct {
	count          int
	at             clock.Instant   // when the last call failed
	overlapBackoff backoff.Backoff // spaces calls that are sent while others hang
}

// A staleListLog is the logging state of a list that is older than expected.
type staleListLog struct {
	logged bool          // ListOld was logged
	maxAge time.Duration // largest age since then
}

// delays returns the longest delays between a change in the store and the last call that is
// sent without knowledge of it.
func (w *Watch) delays() bounds.Delays {
	o := w.Options
	return o.Bounds.Delays(bounds.Timing{Mesh: w.Roster.FullMesh(), Exchange: o.ExchangeEvery, Pause: o.WatchEvery, Wait: o.WatchWait})
}

// New returns a Watch that has not called the store yet.
func New(deps Deps) *Watch {
	w := &Watch{Deps: deps, calls: map[uint64]call{}}
	w.resetFailures()
	return w
}

// view returns the current facts.
func (w *Watch) view(now clock.Instant) view {
	isIsolated := w.Exchanges.Isolated(now)
	lag, _ := w.Exchanges.ConfigLag(now)
	return view{
		isolated:    isIsolated,
		onRoster:    !isIsolated && w.Roster.IncludesSelf(now),
		engines:     w.Registry.Owned.Len(),
		placer:      w.Registry.HoldsPlacer(),
		storeAge:    w.Exchanges.StoreAge(now),
		maxStoreAge: w.Options.Bounds.MaxStoreSilence(),
		configLag:   lag,
	}
}

// Active reports whether this instance currently has a reason to watch.
func (w *Watch) Active(now clock.Instant) bool { return w.view(now).reason() != notNeeded }

// ReceivesUpdates reports whether this instance watches and the store answers it.
func (w *Watch) ReceivesUpdates(now clock.Instant) bool { return w.Active(now) && !w.Outage.Down() }

// Tick starts the next call if it is due: another watch, or a complete read if a call hangs
// or failed.
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

// hastenAfterRecovery brings the next call forward when the store answers other calls of this
// instance again.
func (w *Watch) hastenAfterRecovery(now clock.Instant) {
	if w.failures.count == 0 || !w.failures.at.Before(w.Outage.RecoveredAt()) {
		return
	}
	w.failures.at = now
	delay := time.Duration(w.Rand.Float64() * float64(w.delays().Read))
	w.due = clock.Earliest(w.due, now.Add(delay))
}

// begin sends the next call to the store.
func (w *Watch) begin(now clock.Instant) {
	delays := w.delays()
	w.lastID++
	req := SendRequest{ID: w.lastID, Fresh: now.Before(w.reuseAt)}
	switch {
	case len(w.calls) > 0: // none of them was answered in time
		req.Fresh = true
		w.reuseAt = now.Add(reuseDelay)
		w.failures.overlapBackoff = w.failures.overlapBackoff.WithFailure()
		w.due = now.Add(w.failures.overlapBackoff.Delay(w.Rand))
	case w.failures.count > 0:
		req.Fresh = true
		w.due = now.Add(delays.Read)
	default:
		req.Wait = time.Duration((1 - waitJitter*w.Rand.Float64()) * float64(delays.Wait))
		w.due = now.Add(req.Wait + delays.Overdue)
	}
	w.calls[w.lastID] = call{sent: now, wait: req.Wait}
	w.Out.Emit(req)
}

// HandleReply handles the end of a call. An answer also ends all other calls in flight, since
// their answers would be older or the same.
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

// callFailed schedules the next call after a failed one. The first failure is followed by
// another call at once, since a watch whose connection broke does not show that the store is
// down.
func (w *Watch) callFailed(now clock.Instant, err error) {
	w.failures.count++
	w.failures.at = now
	if w.failures.count == 1 && !w.Outage.Down() {
		w.due = now
		return
	}
	w.Outage.Observe(now, err)
	if len(w.calls) > 0 {
		return // another call is in flight
	}
	w.due = now.Add(w.Outage.Wait(w.Rand))
}

func (w *Watch) resetFailures() {
	b := w.Options.Bounds
	w.failures = failures{overlapBackoff: backoff.New(w.delays().Read, b.MaxRetryDelay())}
}

// completeUntil returns the time up to which an answer that arrived at now contains all
// changes. A complete read has everything up to the time of the call. The store answers a
// watch on a change or at the end of its wait, so the answer is complete up to the earlier of
// its arrival and the end of the wait.
func completeUntil(now clock.Instant, c call, whole bool) clock.Instant {
	if whole {
		return c.sent
	}
	return clock.Earliest(now, c.sent.Add(c.wait))
}

// logListAge logs when the list becomes older than expected, and when it is current again.
func (w *Watch) logListAge(now clock.Instant) {
	age := w.Exchanges.StoreAge(now)
	limit := max(w.Options.Bounds.Leave/2, w.delays().MaxListAge())
	switch {
	case w.Exchanges.StoreKnownUntil().IsZero():
	case age > limit:
		if !w.staleList.logged && !w.Outage.Down() {
			w.staleList = staleListLog{logged: true}
			w.Out.Log(logevent.ListOld, "age_ms", age.Milliseconds(), "most_ms", limit.Milliseconds())
		}
		w.staleList.maxAge = max(w.staleList.maxAge, age)
	case w.staleList.logged:
		w.Out.Log(logevent.ListCurrent, "oldest_ms", w.staleList.maxAge.Milliseconds())
		w.staleList = staleListLog{}
	}
}

// logChange logs that the instance starts or stops watching.
func (w *Watch) logChange(why reason) {
	if (why == notNeeded) == (w.loggedReason == notNeeded) {
		return
	}
	w.loggedReason = why
	w.Out.Log(logevent.Watching, "keeps", why != notNeeded, "reason", string(why))
}

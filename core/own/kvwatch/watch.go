// Package kvwatch keeps the watches of the product's own key-value service: one of
// the configuration and one of the list of instances. Two instances of each zone
// keep them, and the others hear from those.
//
// On the users' platform core/watch is used in its place.
package kvwatch

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/exchange"
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/shared"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watchers"
)

type (
	// WatchConfig is an action: wait for a configuration newer than Have.
	WatchConfig struct {
		Have uint64
		Wait time.Duration
	}
	// WatchList is an action: wait for what changed in the list since Since.
	WatchList struct {
		Since uint64
		Wait  time.Duration
	}
)

// IsAction implements step.Action.
func (WatchConfig) IsAction() {}

// IsAction implements step.Action.
func (WatchList) IsAction() {}

// A Watch is one instance's watches. The fields must be set before its use.
type Watch struct {
	shared.State

	Listing   *listing.List
	Exchanges *exchange.Exchanges
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool

	config step.Job
	list   step.Job
}

// isWatcher reports whether this instance watches now.
func (w *Watch) isWatcher(now clock.Instant) bool {
	return w.Exchanges.Isolated(now) || w.Members.Assigned(now, watchers.KeyPrefix+w.Self.Zone, w.Options.Watchers)
}

// Tick begins the watches that are due.
func (w *Watch) Tick(now clock.Instant) {
	if w.Stopping() || !w.isWatcher(now) {
		return
	}
	if w.config.Due(now) {
		w.config.Begin(now)
		w.Out.Emit(WatchConfig{Have: w.Config.Revision(), Wait: w.Options.WatchWait})
	}
	if w.list.Due(now) {
		w.list.Begin(now)
		w.Out.Emit(WatchList{Since: w.Listing.Version().Raw(), Wait: w.Options.WatchWait})
	}
}

// HandleConfigReply notes that a watch of the configuration is over.
func (w *Watch) HandleConfigReply(now clock.Instant, err error) {
	w.Outage.Observe(now, err)
	w.config.End(w.nextStart(now))
}

// HandleListReply takes in what a watch of the list brought.
func (w *Watch) HandleListReply(now clock.Instant, e listing.Reply) {
	w.Outage.Observe(now, e.Err)
	if e.Err == nil {
		w.Exchanges.MarkStoreKnownUntil(w.list.SentAt())
	}
	w.list.End(w.nextStart(now))
	if e.Err == nil {
		w.Listing.HandleReply(now, e)
	}
}

// nextStart returns when the nextStart watch of one kind may begin.
func (w *Watch) nextStart(now clock.Instant) clock.Instant {
	return now.Add(max(w.Options.WatchEvery, w.Outage.Wait(w.Rand)))
}

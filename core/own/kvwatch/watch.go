// Package kvwatch runs the watches of the product's own key-value service: one of the
// configuration and one of the list of instances. Two instances of each zone run them,
// and the others receive the changes from those.
//
// On the users' platform core/watch is used instead.
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
	// WatchConfig is an action: wait for a configuration newer than revision Have.
	WatchConfig struct {
		Have uint64
		Wait time.Duration
	}
	// WatchList is an action: wait for changes of the list after version Since.
	WatchList struct {
		Since uint64
		Wait  time.Duration
	}
)

// IsAction implements step.Action.
func (WatchConfig) IsAction() {}

// IsAction implements step.Action.
func (WatchList) IsAction() {}

// A Watch runs the watches of one instance. The exported fields must be set before use.
type Watch struct {
	shared.State

	Listing   *listing.List
	Exchanges *exchange.Exchanges
	// Stopping reports whether a planned stop has begun.
	Stopping func() bool

	config step.Job
	list   step.Job
}

// isWatcher reports whether this instance runs watches now.
func (w *Watch) isWatcher(now clock.Instant) bool {
	return w.Exchanges.Isolated(now) || w.Members.Assigned(now, watchers.KeyPrefix+w.Self.Zone, w.Options.Watchers)
}

// Tick starts the watches that are due.
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

// HandleConfigReply records that a watch of the configuration has ended.
func (w *Watch) HandleConfigReply(now clock.Instant, err error) {
	w.Outage.Observe(now, err)
	w.config.End(w.nextStart(now))
}

// HandleListReply handles the reply to a watch of the list.
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

// nextStart returns the earliest time of the next watch of the same kind.
func (w *Watch) nextStart(now clock.Instant) clock.Instant {
	return now.Add(max(w.Options.WatchEvery, w.Outage.Wait(w.Rand)))
}

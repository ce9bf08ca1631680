// Package notice handles what replicas report about themselves in the headers of their
// responses: that they are leaving, a rest during which this instance shall send them no calls,
// and a limit of the requests per second that they accept from all instances together. It does
// not matter what the response answers: a call, an order or a query for a report.
//
// A notice takes precedence over the platform's list, since it comes from the replica itself,
// and the list may lag or not be writable. That a replica is leaving, and its limit, are sent
// to all instances and apply to that incarnation. A rest binds only the instance that it was
// requested from.
package notice

import (
	"math"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/rendezvous"
	"github.com/birchdrift/birchdrift/core/shared"
)

const (
	// spreadShare is the fraction of a rest over which instances return to a replica that
	// requested the same rest from all of them: 370 instances, with one call each, return
	// within 0.6 s after a rest of 3 s.
	spreadShare = 0.2
	// maxSpread bounds that time: no instance returns later than this.
	maxSpread = time.Second
	// retention is how long a leaving incarnation is remembered: longer than any replica takes
	// to leave, and than an entry can be missing and come back.
	retention = 10 * time.Minute
	// pruneEvery is the interval at which old records are removed.
	pruneEvery = 10 * time.Second
)

// Received is the event that a response of a replica had a notice.
type Received struct {
	Replica string
	Sent    clock.Instant // when the request was sent
	Notice  pool.Notice
}

// IsEvent implements step.Event.
func (Received) IsEvent() {}

// Deps are what a Tracker needs from other modules. The functions must be set before the first
// event.
type Deps struct {
	shared.State
	// TellSoon is called when there are new records for peers.
	TellSoon func(now clock.Instant)
}

// A Tracker handles the notices of replicas.
type Tracker struct {
	Deps
	pruneDue clock.Instant
}

// New returns a tracker without notices.
func New(n Deps) *Tracker { return &Tracker{Deps: n} }

// HandleNotice handles a notice from a replica's response.
func (n *Tracker) HandleNotice(now clock.Instant, e Received) {
	said := e.Notice
	said.Rest += n.restSpread(e.Replica, said.Rest)
	n.observeLimit(now, e)
	news := n.Pool.ObserveNotice(now, e.Replica, e.Sent, said)
	if news.IsZero() {
		return
	}
	n.Out.Log(logevent.UpstreamNotice, "upstream", e.Replica, "leaving", news.Leaving, "rest_ms", news.Rest.Milliseconds())
	if r := n.Pool.Get(e.Replica); news.Rest > 0 {
		rest := gossip.Rest{Incarnation: r.Incarnation(), Until: now.Add(e.Notice.Rest)}
		if n.Records.AddRest("", rest) {
			n.TellSoon(now)
		}
	}
	if news.Leaving {
		n.Out.Log(logevent.UpstreamLeaving, "upstream", e.Replica, "source", "itself")
		n.Records.AddLeaving("", gossip.Leaving{Incarnation: n.Pool.Get(e.Replica).Incarnation(), At: now})
		n.TellSoon(now)
	}
}

// observeLimit handles a replica's limit, or that its response had none. The limit is sent to
// the other instances, so that they know it before they send requests.
func (n *Tracker) observeLimit(now clock.Instant, e Received) {
	r := n.Pool.Get(e.Replica)
	if r == nil {
		return
	}
	former := r.LimitReport()
	if !n.Pool.ObserveLimit(now, e.Replica, e.Sent, e.Notice.Limit, n.Self.Name) {
		return
	}
	n.logLimit(now, r, former)
	if n.Records.AddLimit("", r.Incarnation(), r.LimitReport()) {
		n.TellSoon(now)
	}
}

// logLimit logs a replica's limit if it changed.
func (n *Tracker) logLimit(now clock.Instant, r *pool.Replica, former pool.LimitReport) {
	w := r.LimitReport()
	if w.Limit == former.Limit {
		return
	}
	n.Out.Log(logevent.UpstreamLimit, "upstream", r.Name, "named", w.Limit.Named, "per_s", w.Limit.PerSecond,
		"by", w.By, "ago_ms", now.Since(w.At).Milliseconds())
}

// HandlePeerLimits handles the limit reports from a peer.
func (n *Tracker) HandlePeerLimits(now clock.Instant, from string, limits []gossip.Limit) {
	for _, l := range limits {
		l.EventTime = l.FromWire(now)
		n.HandlePeerLimit(now, from, l.Incarnation, l.LimitReport)
	}
}

// HandlePeerLimit handles the limit report of an incarnation from a peer.
func (n *Tracker) HandlePeerLimit(now clock.Instant, from string, life pool.Incarnation, w pool.LimitReport) {
	r := n.Pool.Get(life.Name)
	if r != nil && r.MayBeIncarnation(life.Born) {
		former := r.LimitReport()
		if !n.Pool.ObservePeerLimit(life, w) {
			return // this instance has a newer report
		}
		n.logLimit(now, r, former)
	}
	if n.Records.AddLimit(from, life, w) {
		n.TellSoon(now)
	}
}

// HandlePeerRests handles the rests that replicas requested from other instances.
func (n *Tracker) HandlePeerRests(now clock.Instant, from string, rests []gossip.Rest) {
	for _, x := range rests {
		x.Until = now.Add(x.Left)
		if n.Records.AddRest(from, x) {
			n.Pool.ObservePeerRest(x.Incarnation, x.Until)
			n.TellSoon(now)
		}
	}
}

// restSpread returns how much longer than requested this instance's rest is, so that the
// instances do not all return at once: a hash gives each its own position in that time.
func (n *Tracker) restSpread(replica string, rest time.Duration) time.Duration {
	place := float64(rendezvous.Score(rendezvous.Key(replica), n.Self.Name)) / math.MaxUint64
	return time.Duration(place * min(spreadShare*float64(rest), float64(maxSpread)))
}

// HandlePeerLeaving handles the leaving replicas reported by a peer.
func (n *Tracker) HandlePeerLeaving(now clock.Instant, from string, leaving []gossip.Leaving) {
	for _, l := range leaving {
		l.At = now
		if !n.Records.AddLeaving(from, l) {
			continue
		}
		n.TellSoon(now)
		r := n.Pool.Get(l.Name)
		if r != nil && r.Incarnation() == l.Incarnation && n.Pool.ObservePeerLeaving(l.Name) {
			n.Out.Log(logevent.UpstreamLeaving, "upstream", l.Name, "source", "a peer", "told", from)
		}
	}
}

// HandleAnnounced applies the known records about an announced incarnation to it. If its entry
// shows it as leaving, that is sent to all instances, like its own notice: the store may lose
// the entry, and instances that start afterwards would consider the replica ready.
func (n *Tracker) HandleAnnounced(now clock.Instant, name string) {
	r := n.Pool.Get(name)
	if r == nil {
		return
	}
	if n.Records.IsLeaving(r.Incarnation()) && n.Pool.ObservePeerLeaving(name) {
		n.Out.Log(logevent.UpstreamLeaving, "upstream", name, "source", "a peer")
	}
	if r.AnnouncedLeaving() && n.Records.AddLeaving("", gossip.Leaving{Incarnation: r.Incarnation(), At: now}) {
		n.TellSoon(now)
	}
	if w, ok := n.Records.Limit(r.Incarnation()); ok {
		n.Pool.ObservePeerLimit(r.Incarnation(), w)
	}
}

// Tick removes old records.
func (n *Tracker) Tick(now clock.Instant) {
	if now.Before(n.pruneDue) {
		return
	}
	n.pruneDue = now.Add(pruneEvery)
	n.Records.PruneLeaving(now, retention)
	n.Records.PruneRests(now)
	n.Records.PruneLimits(now, retention, func(life pool.Incarnation) bool {
		r := n.Pool.Get(life.Name)
		return r != nil && r.Incarnation() == life
	})
}

// Package notice handles what replicas report about themselves in the headers of their
// responses: that they are leaving, a rest during which this instance must send them no calls,
// and a limit of the requests per second that they accept from all instances together. Any
// response may contain a notice, whether it answers a call, an order or a query for a report.
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
	// retention is how long the records of a leaving incarnation, and those of the limit of an
	// incarnation that is not in the pool, are kept: longer than any replica takes to leave, and
	// longer than an entry can be missing from the list before it reappears.
	retention = 10 * time.Minute
	// pruneEvery is the interval at which old records are removed.
	pruneEvery = 10 * time.Second
)

// Received is the event that a replica sent a notice in a response.
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
	// Rejections records how many requests the replicas of a service can reject, according to
	// an answer to a request that was sent at sent.
	Rejections func(now clock.Instant, service string, sent clock.Instant, limit pool.RejectionLimit)
	// TellSoon is called when there are new records for peers.
	TellSoon func(now clock.Instant)
}

// A Tracker handles the notices of replicas.
type Tracker struct {
	Deps
	pruneDue clock.Instant
}

// New returns a tracker without notices.
func New(deps Deps) *Tracker { return &Tracker{Deps: deps} }

// HandleNotice handles a notice from a replica's response.
func (t *Tracker) HandleNotice(now clock.Instant, e Received) {
	notice := e.Notice
	notice.Rest += t.restSpread(e.Replica, notice.Rest)
	t.observeLimit(now, e)
	if r := t.Pool.Get(e.Replica); r != nil {
		t.Rejections(now, r.Service, e.Sent, notice.Rejections)
	}
	changed := t.Pool.ObserveNotice(now, e.Replica, e.Sent, notice)
	if changed.IsZero() {
		return
	}
	t.Out.Log(logevent.UpstreamNotice, "upstream", e.Replica, "leaving", changed.Leaving, "rest_ms", changed.Rest.Milliseconds())
	if r := t.Pool.Get(e.Replica); changed.Rest > 0 {
		rest := gossip.Rest{Incarnation: r.Incarnation(), Until: now.Add(e.Notice.Rest)}
		if t.Records.AddRest("", rest) {
			t.TellSoon(now)
		}
	}
	if changed.Leaving {
		t.Out.Log(logevent.UpstreamLeaving, "upstream", e.Replica, "source", "itself")
		t.Records.AddLeaving("", gossip.Leaving{Incarnation: t.Pool.Get(e.Replica).Incarnation(), At: now})
		t.TellSoon(now)
	}
}

// observeLimit handles the limit in a replica's response, or its absence. A new report is sent
// to the other instances, so that they know the limit before they send requests.
func (t *Tracker) observeLimit(now clock.Instant, e Received) {
	r := t.Pool.Get(e.Replica)
	if r == nil {
		return
	}
	old := r.LimitReport()
	if !t.Pool.ObserveLimit(now, e.Replica, e.Sent, e.Notice.Limit, t.Self.Name) {
		return
	}
	t.logLimit(now, r, old)
	if t.Records.AddLimit("", r.Incarnation(), r.LimitReport()) {
		t.TellSoon(now)
	}
}

// logLimit logs a replica's limit if it changed.
func (t *Tracker) logLimit(now clock.Instant, r *pool.Replica, old pool.LimitReport) {
	report := r.LimitReport()
	if report.Limit == old.Limit {
		return
	}
	t.Out.Log(logevent.UpstreamLimit, "upstream", r.Name, "named", report.Limit.Named, "per_s", report.Limit.PerSecond,
		"by", report.By, "ago_ms", now.Since(report.At).Milliseconds())
}

// HandlePeerLimits handles the limit reports from a peer.
func (t *Tracker) HandlePeerLimits(now clock.Instant, from string, limits []gossip.Limit) {
	for _, l := range limits {
		l.EventTime = l.FromWire(now)
		t.HandlePeerLimit(now, from, l.Incarnation, l.LimitReport)
	}
}

// HandlePeerLimit handles the limit report of an incarnation from a peer.
func (t *Tracker) HandlePeerLimit(now clock.Instant, from string, incarnation pool.Incarnation, report pool.LimitReport) {
	r := t.Pool.Get(incarnation.Name)
	if r != nil && r.MayBeIncarnation(incarnation.Born) {
		old := r.LimitReport()
		if !t.Pool.ObservePeerLimit(incarnation, report) {
			return // this instance has a newer report
		}
		t.logLimit(now, r, old)
	}
	if t.Records.AddLimit(from, incarnation, report) {
		t.TellSoon(now)
	}
}

// HandlePeerRests handles the rests that replicas requested from other instances.
func (t *Tracker) HandlePeerRests(now clock.Instant, from string, rests []gossip.Rest) {
	for _, x := range rests {
		x.Until = now.Add(x.Left)
		if t.Records.AddRest(from, x) {
			t.Pool.ObservePeerRest(x.Incarnation, x.Until)
			t.TellSoon(now)
		}
	}
}

// restSpread returns how much longer than requested this instance's rest is, so that the
// instances do not all return at once: a hash gives each its own position in that time.
func (t *Tracker) restSpread(replica string, rest time.Duration) time.Duration {
	position := float64(rendezvous.Score(rendezvous.Key(replica), t.Self.Name)) / math.MaxUint64
	return time.Duration(position * min(spreadShare*float64(rest), float64(maxSpread)))
}

// HandlePeerLeaving handles the leaving replicas reported by a peer.
func (t *Tracker) HandlePeerLeaving(now clock.Instant, from string, leaving []gossip.Leaving) {
	for _, l := range leaving {
		l.At = now
		if !t.Records.AddLeaving(from, l) {
			continue
		}
		t.TellSoon(now)
		r := t.Pool.Get(l.Name)
		if r != nil && r.Incarnation() == l.Incarnation && t.Pool.ObservePeerLeaving(l.Name) {
			t.Out.Log(logevent.UpstreamLeaving, "upstream", l.Name, "source", "a peer", "told", from)
		}
	}
}

// HandleAnnounced applies the known records about an announced incarnation to it. If its entry
// shows it as leaving, that is sent to all instances, like its own notice: the store may lose
// the entry, and instances that start afterwards would consider the replica ready.
func (t *Tracker) HandleAnnounced(now clock.Instant, name string) {
	r := t.Pool.Get(name)
	if r == nil {
		return
	}
	if t.Records.IsLeaving(r.Incarnation()) && t.Pool.ObservePeerLeaving(name) {
		t.Out.Log(logevent.UpstreamLeaving, "upstream", name, "source", "a peer")
	}
	if r.AnnouncedLeaving() && t.Records.AddLeaving("", gossip.Leaving{Incarnation: r.Incarnation(), At: now}) {
		t.TellSoon(now)
	}
	if report, ok := t.Records.Limit(r.Incarnation()); ok {
		t.Pool.ObservePeerLimit(r.Incarnation(), report)
	}
}

// Tick removes old records.
func (t *Tracker) Tick(now clock.Instant) {
	if now.Before(t.pruneDue) {
		return
	}
	t.pruneDue = now.Add(pruneEvery)
	t.Records.PruneLeaving(now, retention)
	t.Records.PruneRests(now)
	t.Records.PruneLimits(now, retention, func(incarnation pool.Incarnation) bool {
		r := t.Pool.Get(incarnation.Name)
		return r != nil && r.Incarnation() == incarnation
	})
}

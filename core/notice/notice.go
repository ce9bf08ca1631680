// Package notice takes in what replicas say of themselves in the heads of their answers:
// that they leave, for how long they want nothing from this instance, and how many requests
// a second they take from all instances together. It does not matter what an answer is to: a
// call, an order or a question for a report.
//
// Such a word stands later than what the platform's list says, since it is the replica's
// own, and the list lags or cannot be written. That a replica leaves, and its limit, are told
// to all instances, and hold for that life of it; a rest is between the replica and this
// instance alone.
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
	// spreadShare is the part of a rest over which instances come back to a replica that
	// asked them for it at the same time: 370 of them, one call each, within 0.6 s of a
	// rest of 3 s.
	spreadShare = 0.2
	// maxSpread bounds that time: no instance is late by more.
	maxSpread = time.Second
	// retention is for how long it is known that a life of a replica leaves: longer than any
	// takes to leave, and than an entry can be gone and come back.
	retention = 10 * time.Minute
	// pruneEvery spaces the looks for what is too old.
	pruneEvery = 10 * time.Second
)

// Received is the event that a replica said something of itself in an answer.
type Received struct {
	Replica string
	Sent    clock.Instant // when it was sent what it answers
	Notice  pool.Notice
}

// IsEvent implements step.Event.
func (Received) IsEvent() {}

// Deps are what Notices need of the other modules. The functions must be set before the
// first event.
type Deps struct {
	shared.State
	// TellSoon is called when there is news that peers are to be told of.
	TellSoon func(now clock.Instant)
}

// Tracker take in what replicas say of themselves.
type Tracker struct {
	Deps
	pruneDue clock.Instant
}

// New returns notices of which none was heard.
func New(n Deps) *Tracker { return &Tracker{Deps: n} }

// HandleNotice takes in what a replica said of itself.
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

// observeLimit takes in what a replica said of its limit, or that it named none. It is told to
// the others, so that they know before they send there.
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

// logLimit logs what is known of a replica's limit, if it is another one than before.
func (n *Tracker) logLimit(now clock.Instant, r *pool.Replica, former pool.LimitReport) {
	w := r.LimitReport()
	if w.Limit == former.Limit {
		return
	}
	n.Out.Log(logevent.UpstreamLimit, "upstream", r.Name, "named", w.Limit.Named, "per_s", w.Limit.PerSecond,
		"by", w.By, "ago_ms", now.Since(w.At).Milliseconds())
}

// HandlePeerLimits takes in what a peer was told of the limits of replicas.
func (n *Tracker) HandlePeerLimits(now clock.Instant, from string, limits []gossip.Limit) {
	for _, l := range limits {
		l.EventTime = l.FromWire(now)
		n.HandlePeerLimit(now, from, l.Incarnation, l.LimitReport)
	}
}

// HandlePeerLimit takes in what a peer was told of the limit of a life of a replica.
func (n *Tracker) HandlePeerLimit(now clock.Instant, from string, life pool.Incarnation, w pool.LimitReport) {
	r := n.Pool.Get(life.Name)
	if r != nil && r.MayBeIncarnation(life.Born) {
		former := r.LimitReport()
		if !n.Pool.ObservePeerLimit(life, w) {
			return // this instance heard of it later
		}
		n.logLimit(now, r, former)
	}
	if n.Records.AddLimit(from, life, w) {
		n.TellSoon(now)
	}
}

// HandlePeerRests takes in which replicas turned others away.
func (n *Tracker) HandlePeerRests(now clock.Instant, from string, rests []gossip.Rest) {
	for _, x := range rests {
		x.Until = now.Add(x.Left)
		if n.Records.AddRest(from, x) {
			n.Pool.ObservePeerRest(x.Incarnation, x.Until)
			n.TellSoon(now)
		}
	}
}

// restSpread returns how much longer than it was asked for this instance's rest is, so that
// all instances do not come back at once: each has its own place in that time.
func (n *Tracker) restSpread(replica string, rest time.Duration) time.Duration {
	place := float64(rendezvous.Score(rendezvous.Key(replica), n.Self.Name)) / math.MaxUint64
	return time.Duration(place * min(spreadShare*float64(rest), float64(maxSpread)))
}

// HandlePeerLeaving takes in that a peer was told of replicas that leave.
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

// HandleAnnounced has what is known of this life of a replica that was announced hold for it. That an
// entry says that it leaves is told to all instances, as its own word is: the store may lose that
// entry, and instances that start then would take the replica for ready.
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

// Tick forgets what is too old.
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

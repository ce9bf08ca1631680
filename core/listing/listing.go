// Package listing applies the entries of the platform's list: entry instances, and
// replicas that are announced or reported as leaving.
//
// It passes each new or changed entry to the module that keeps the state of what is
// listed: core/member for instances, core/pool for replicas. A replica whose entry
// vanished is not removed at once, since the platform may lose the entries of
// running replicas.
package listing

import (
	"cmp"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/outage"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
)

// Reply is the event that a watch returned entries of the list.
type Reply struct {
	Entries []gossip.Listed
	Version era.Revision
	Whole   bool // Entries are the complete list, except for Unreadable
	// Unreadable names the upstreams whose entries cannot be decoded. Such an entry changes
	// nothing: the state of the upstream is kept until its entry vanishes or can be decoded
	// again.
	Unreadable []string
	Err        error
}

// IsEvent implements step.Event.
func (Reply) IsEvent() {}

// SelfReport is the event that a replica, queried directly, reported its incarnation and
// state.
type SelfReport struct {
	Replica      string
	Sent         clock.Instant // when the query was sent
	Announcement pool.Announcement
}

// IsEvent implements step.Event.
func (SelfReport) IsEvent() {}

// A List applies the entries of the platform's list, from watches and from peers.
// Its exported fields must be set before use.
type List struct {
	Options *option.Options
	Out     *step.Output
	Members *member.Table
	Pool    *pool.Pool
	Records *gossip.Set
	Outage  *outage.Tracker
	// KnownAt returns the time up to which all changes of the list are known.
	KnownAt func() clock.Instant
	// Announced is called with the models that an engine announced as loaded.
	Announced func(now clock.Instant, engine string, models []pool.AnnouncedModel)
	// Restarted is called when a replica is announced with a new incarnation.
	Restarted func(now clock.Instant, replica string)
	// Present is called for each replica that is announced.
	Present func(now clock.Instant, replica string)
	// TellSoon is called when an entry is new or changed, so that peers receive it soon.
	TellSoon func(now clock.Instant)

	version era.Revision
}

// Version returns the list version known so far, from the store or from peers.
func (l *List) Version() era.Revision { return l.version }

// HandleReply applies the entries that a watch returned.
func (l *List) HandleReply(now clock.Instant, e Reply) {
	if e.Version.Era() < l.version.Era() {
		return // sent before the store was restored from an older copy
	}
	l.version = max(l.version, e.Version)
	for _, entry := range e.Entries {
		l.add(now, "", entry)
	}
	if e.Whole {
		l.applyMissing(now, e)
	}
}

// applyMissing handles the replicas that a complete list no longer has. They count as leaving
// at once, since the watch may have missed their removal long ago. After an outage they do
// not, since an outage may remove the entries of healthy replicas.
func (l *List) applyMissing(now clock.Instant, e Reply) {
	outage := l.Outage.FailedSince(l.KnownAt())
	for _, entry := range l.missing(e) {
		entry.Leaving = !outage
		l.add(now, "", entry)
	}
}

// HandlePeerEntry applies an entry that the peer from sent.
func (l *List) HandlePeerEntry(now clock.Instant, from string, entry gossip.Listed) {
	if entry.Version.Era() < l.version.Era() {
		return // the peer does not know yet that the store was restored from an older copy
	}
	l.add(now, from, entry)
	l.version = max(l.version, entry.Version)
}

func (l *List) add(now clock.Instant, from string, entry gossip.Listed) {
	if l.Records.AddListed(from, entry) {
		l.Apply(now, entry)
		l.logSupersessions()
		l.TellSoon(now)
	}
}

// Apply applies one entry to the members or to the pool.
func (l *List) Apply(now clock.Instant, entry gossip.Listed) {
	switch {
	case entry.Kind == gossip.Entry:
		l.applyInstance(entry)
	case entry.Announced != nil || entry.Gone && l.announced(entry.Name):
		l.applyAnnounced(now, entry)
	case entry.Leaving || entry.Gone:
		l.applyLeaving(entry)
	}
}

func (l *List) applyInstance(entry gossip.Listed) {
	if entry.Gone {
		l.Members.Remove(entry.Name)
		return
	}
	l.Members.Upsert(entry.Name, entry.Zone, entry.Address)
	l.Members.SetLeaving(entry.Name, entry.Leaving)
}

func (l *List) applyLeaving(entry gossip.Listed) {
	r := l.Pool.Get(entry.Name)
	if r != nil && !r.Leaving() {
		l.Out.Log(logevent.UpstreamLeaving, "upstream", entry.Name, "source", "list")
	}
	l.Pool.ObserveListed(entry.Name, true)
}

// announced reports whether the replica of this name has been announced.
func (l *List) announced(name string) bool {
	r := l.Pool.Get(name)
	return r != nil && r.Announced
}

// applyAnnounced applies the entry of an announced replica, or its removal.
func (l *List) applyAnnounced(now clock.Instant, entry gossip.Listed) {
	if entry.Gone {
		l.Out.Log(logevent.UpstreamVanished, "upstream", entry.Name, "version", entry.Version)
		by := l.leaveDeadline(now)
		if entry.Leaving {
			by = now
		}
		l.Pool.MarkVanished(now, entry.Name, by)
		return
	}
	l.announce(now, entry.Name, *entry.Announced, entry.Version)
}

// leaveDeadline returns the time from which a replica whose entry vanished counts as leaving.
// The grace period starts at the time up to which the list was known, since the entry may
// have vanished just after that. The result is zero if that time is longer ago than the
// bound Leave, and after an outage, which may remove the entries of healthy replicas.
func (l *List) leaveDeadline(now clock.Instant) clock.Instant {
	known := l.KnownAt()
	if now.Since(known) > l.Options.Bounds.Leave || l.Outage.FailedSince(known) {
		return clock.Instant{}
	}
	return known.Add(l.Options.Bounds.VanishedGracePeriod())
}

// announce applies an announcement of a replica. version is the version of its entry, or 0 if
// the replica was queried directly.
func (l *List) announce(now clock.Instant, name string, a pool.Announcement, version era.Revision) {
	former := l.Pool.Get(name)
	if former != nil && former.IsPastIncarnation(a.Born) {
		return // a late announcement of an incarnation that has ended
	}
	if former == nil {
		l.Out.Log(logevent.UpstreamAnnounced, "upstream", name, "service", a.Service, "address", a.Address, "zone", a.Zone, "software", a.Software, "version", version)
	}
	if a.Leaving && (former == nil || !former.Leaving()) {
		l.Out.Log(logevent.UpstreamLeaving, "upstream", name, "source", "list", "version", version, "remaining", a.Remaining.String())
	}
	a.Created = createdAt(former, a, version)
	l.Pool.Announce(now, name, a)
	if r := l.Pool.Get(name); r != former {
		l.handleNewIncarnation(now, former, r)
	}
	l.Present(now, name)
	l.Announced(now, name, a.Models)
}

// createdAt returns the revision at which the entry of an announcement counts as created. An entry
// that is overwritten by a later incarnation, or at another address, counts as created then. version
// is the version of the entry, 0 if there is none; it stands in for an unknown creation.
func createdAt(former *pool.Replica, a pool.Announcement, version era.Revision) era.Revision {
	switch {
	case former == nil:
		return cmp.Or(a.Created, version)
	case former.Address == a.Address && former.MayBeIncarnation(a.Born):
		return cmp.Or(a.Created, former.Announcement().Created)
	default:
		return cmp.Or(version, former.Announcement().Created)
	}
}

// HandleSelfReport applies a new incarnation that a replica reports itself before its entry
// arrives. A report of a known incarnation is ignored here, since the ledger of the engine's
// owner applies it.
func (l *List) HandleSelfReport(now clock.Instant, e SelfReport) {
	r := l.Pool.Get(e.Replica)
	if r == nil || e.Sent.Before(r.FirstSeenAt()) || !r.Restarted(e.Announcement.Born) {
		return
	}
	a := r.Announcement()
	a.Born = e.Announcement.Born
	a.Leaving = e.Announcement.Leaving
	a.Remaining = e.Announcement.Remaining
	a.Models = e.Announcement.Models
	a.InMemory = e.Announcement.InMemory
	a.OnDisk = e.Announcement.OnDisk
	l.announce(now, e.Replica, a, 0)
}

// handleNewIncarnation handles the first announcement of an incarnation. former is the
// previous one, nil if there was none.
func (l *List) handleNewIncarnation(now clock.Instant, former, r *pool.Replica) {
	if former != nil {
		l.Out.Log(logevent.UpstreamRestarted, "upstream", r.Name, "address", r.Address, "born", r.Incarnation().Born, "former", former.Incarnation().Born)
		l.Restarted(now, r.Name)
	}
	if known, ok := l.Records.Residency(r.Name); ok {
		l.Pool.ObserveResidency(now, r.Name, known.Residency)
	}
}

// missing returns an entry marked as Gone for each announced replica that a complete list no
// longer has and that is not leaving yet. A superseded replica is no longer superseded once the
// newer entry has vanished, so it is included unless its own entry is known to have vanished.
func (l *List) missing(e Reply) []gossip.Listed {
	has := make(map[string]bool, len(e.Entries))
	for _, entry := range e.Entries {
		has[entry.Name] = true
	}
	for _, name := range e.Unreadable {
		has[name] = true
	}
	var gone []gossip.Listed
	for _, r := range l.Pool.All() {
		newer := l.Records.ListedVersion(r.Name) > e.Version // a concurrent watch brought a newer entry
		left := r.Leaving() && !(r.Superseded() && !r.Vanished())
		if r.Announced && !left && !has[r.Name] && !newer {
			gone = append(gone, gossip.Listed{Name: r.Name, Kind: gossip.Upstream, Zone: r.Zone, Gone: true, Version: e.Version})
		}
	}
	return gone
}

// Tick marks a replica as leaving when the grace period since its entry vanished has ended.
func (l *List) Tick(now clock.Instant) {
	for _, name := range l.Pool.ExpireVanished(now, pool.VanishedGracePeriod) {
		l.Out.Log(logevent.UpstreamLeaving, "upstream", name, "source", "its entry vanished")
	}
	l.logSupersessions()
}

// logSupersessions logs which replicas became superseded by a newer entry at their address, or
// are no longer.
func (l *List) logSupersessions() {
	for _, x := range l.Pool.TakeSupersessions() {
		l.Out.Log(logevent.UpstreamSuperseded, "upstream", x.Replica, "address", x.Address, "superseded", x.Superseded)
	}
}

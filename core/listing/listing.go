// Package listing takes over what the platform lists: entry instances, and
// replicas that announce themselves or are said to be leaving.
//
// It hands each entry that is news to the modules that keep the state of what is
// listed: core/member for instances, core/pool for replicas. An entry that went
// does not end a replica at once, since the platform may lose entries of
// replicas that live.
package listing

import (
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

// Reply is the event that a watch brought entries of the list.
type Reply struct {
	Entries []gossip.Listed
	Version era.Revision
	Whole   bool // Entries are all that the list has, but for Unreadable
	// Unreadable are upstreams whose entries make no sense. They say nothing: what was
	// known of the upstream stays until its entry goes or can be read again.
	Unreadable []string
	Err        error
}

// IsEvent implements step.Event.
func (Reply) IsEvent() {}

// SelfReport is the event that a replica said of itself, when it was asked, in which life it
// is.
type SelfReport struct {
	Replica      string
	Sent         clock.Instant // when it was asked
	Announcement pool.Announcement
}

// IsEvent implements step.Event.
func (SelfReport) IsEvent() {}

// A List is what is known of the platform's list. The fields must be set before
// its use.
type List struct {
	Options *option.Options
	Out     *step.Output
	Members *member.Table
	Pool    *pool.Pool
	Records *gossip.Set
	Outage  *outage.Tracker
	// KnownAt returns up to when everything in the list is known.
	KnownAt func() clock.Instant
	// Announced is told which models an engine announced that it holds.
	Announced func(now clock.Instant, engine string, models []pool.AnnouncedModel)
	// Restarted is told of a replica that was announced in another life than before.
	Restarted func(now clock.Instant, replica string)
	// Present is told of each replica that announced itself.
	Present func(now clock.Instant, replica string)
	// TellSoon is called when an entry was news that peers are to be told of.
	TellSoon func(now clock.Instant)

	version era.Revision
}

// Version returns the version up to which the list is known, at whichever hand.
func (l *List) Version() era.Revision { return l.version }

// HandleReply takes in what a watch brought.
func (l *List) HandleReply(now clock.Instant, e Reply) {
	if e.Version.Era() < l.version.Era() {
		return // it was on its way while the store went back
	}
	l.version = max(l.version, e.Version)
	for _, entry := range e.Entries {
		l.add(now, "", entry)
	}
	if e.Whole {
		l.applyMissing(now, e)
	}
}

// applyMissing takes in that a whole list no longer has some replicas. They count as leaving at
// once, since the watch may have missed for long that they went, but not after an outage, which
// may remove entries of sound replicas.
func (l *List) applyMissing(now clock.Instant, e Reply) {
	outage := l.Outage.FailedSince(l.KnownAt())
	for _, entry := range l.missing(e) {
		entry.Leaving = !outage
		l.add(now, "", entry)
	}
}

// HandlePeerEntry takes in an entry that a peer told of.
func (l *List) HandlePeerEntry(now clock.Instant, from string, entry gossip.Listed) {
	if entry.Version.Era() < l.version.Era() {
		return // the peer has not heard yet that the store went back
	}
	l.add(now, from, entry)
	l.version = max(l.version, entry.Version)
}

func (l *List) add(now clock.Instant, from string, entry gossip.Listed) {
	if l.Records.AddListed(from, entry) {
		l.Apply(now, entry)
		l.TellSoon(now)
	}
}

// Apply takes over one entry.
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

// announced reports whether a replica of this name announced itself.
func (l *List) announced(name string) bool {
	r := l.Pool.Get(name)
	return r != nil && r.Announced
}

// applyAnnounced takes over the entry of a replica that announces itself.
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

// leaveDeadline returns the deadline by which a replica whose entry went counts as leaving, counted
// from when the list was known last, since the entry may have gone just after that. It is zero
// after an outage, which may remove entries of sound replicas.
func (l *List) leaveDeadline(now clock.Instant) clock.Instant {
	known := l.KnownAt()
	if now.Since(known) > l.Options.Bounds.Leave || l.Outage.FailedSince(known) {
		return clock.Instant{}
	}
	return known.Add(l.Options.Bounds.VanishedGracePeriod())
}

// announce takes over what a replica says of itself; version is that of its entry, 0 if it
// said so when it was asked.
func (l *List) announce(now clock.Instant, name string, a pool.Announcement, version era.Revision) {
	former := l.Pool.Get(name)
	if former != nil && former.IsPastIncarnation(a.Born) {
		return // it was written, or came, after the end of that life
	}
	if former == nil {
		l.Out.Log(logevent.UpstreamAnnounced, "upstream", name, "service", a.Service, "address", a.Address, "zone", a.Zone, "version", version)
	}
	if a.Leaving && (former == nil || !former.Leaving()) {
		l.Out.Log(logevent.UpstreamLeaving, "upstream", name, "source", "list", "version", version, "remaining", a.Remaining.String())
	}
	l.Pool.Announce(now, name, a)
	if r := l.Pool.Get(name); r != former {
		l.handleNewIncarnation(now, former, r)
	}
	l.Present(now, name)
	l.Announced(now, name, a.Models)
}

// HandleSelfReport takes in a life of a replica that is heard of from itself before its entry
// comes. What it says of a life that is known, its owner's ledger takes in.
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

// handleNewIncarnation takes in that a life of a replica is known for the first time; former is the
// one before it, nil if there was none.
func (l *List) handleNewIncarnation(now clock.Instant, former, r *pool.Replica) {
	if former != nil {
		l.Out.Log(logevent.UpstreamRestarted, "upstream", r.Name, "address", r.Address, "born", r.Incarnation().Born, "former", former.Incarnation().Born)
		l.Restarted(now, r.Name)
	}
	if known, ok := l.Records.Residency(r.Name); ok {
		l.Pool.ObserveResidency(now, r.Name, known.Residency)
	}
}

// missing returns the announced replicas that a whole list no longer has and that do not count
// as leaving yet, as entries that are gone.
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
		newer := l.Records.ListedVersion(r.Name) > e.Version // the list was read beside a watch
		if r.Announced && !r.Leaving() && !has[r.Name] && !newer {
			gone = append(gone, gossip.Listed{Name: r.Name, Kind: gossip.Upstream, Zone: r.Zone, Gone: true, Version: e.Version})
		}
	}
	return gone
}

// Tick has replicas whose entries went a while ago count as leaving.
func (l *List) Tick(now clock.Instant) {
	for _, name := range l.Pool.ExpireVanished(now, pool.VanishedGracePeriod) {
		l.Out.Log(logevent.UpstreamLeaving, "upstream", name, "source", "its entry went")
	}
}

package streams

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/registry"
)

// Which versions can have begun the streams of a service. Each instance records when versions
// were listed. An instance that has seen one version alone for Lifetime knows that all streams
// began there, if no instance can have begun one at a version that it has not heard of. It relies
// on two bounds: no stream begins at a further version until bounds.VersionHold after the instance has
// heard of it, and the instance's own copy of the list is younger than that.

// limits are the times by which an instance tells whether others can have begun streams at versions
// that it has not heard of (bounds.Bounds).
type limits struct {
	listAge time.Duration // up to which its list counts
	hold    time.Duration // for which no stream begins at a version after an instance has heard of it
}

// A sighting is when a version of a service was listed.
type sighting struct {
	unlistedAt clock.Instant // the last time at which it was known not to be listed; zero: unknown
	heardAt    clock.Instant // when an instance first heard of it; zero: before all others
	lastAt     clock.Instant // when it was last listed
}

// A history records the versions that were listed within the last Lifetime.
type history struct {
	firstStart bool // this is the first start of the fleet, by the settings
	first      bool // it is certain that no instance ran before this one
	trustsList bool // its own list is taken for all that it must know, for tests
	adopted    bool // a peer that knew the last Lifetime reported it
	startedAt  clock.Instant
	// since is the start of the time that this instance knows without a gap; zero: it knows none.
	since     clock.Instant
	knownAt   clock.Instant // up to which the list is known
	changes   bool          // the last read of the list brought only its changes
	sightings map[Origin]*sighting
	unknowing map[string]bool // peers that reported not to know the last Lifetime
	legacyAt  clock.Instant   // when an instance was last registered that does not hold back versions
}

func newHistory(firstStart bool) history {
	return history{firstStart: firstStart, sightings: map[Origin]*sighting{}, unknowing: map[string]bool{}}
}

// listRead records how the list was last read from the store.
func (h *history) listRead(whole bool) { h.changes = !whole }

// observeList records up to when the list is known. After a gap in which versions may have come
// and gone, what was known before is not enough.
func (h *history) observeList(now, knownAt clock.Instant, l limits) {
	if h.startedAt.IsZero() {
		h.startedAt = now
	}
	if knownAt.IsZero() || !h.knownAt.Before(knownAt) {
		return
	}
	gap := h.since.IsZero() || knownAt.Since(h.knownAt) > l.listAge && !h.changes
	if gap {
		h.firstStart = h.firstStart && h.since.IsZero()
		h.adopted = false
		h.since = knownAt
		clear(h.unknowing)
	}
	h.changes = false
	h.knownAt = knownAt
}

// knows reports whether all versions of the last Lifetime are known.
func (h *history) knows(now clock.Instant) bool {
	return !h.since.IsZero() && (h.firstStart && h.first || h.adopted || h.trustsList || now.Since(h.since) >= Lifetime)
}

// announced records that a version is listed. knownAt is the time up to which the list was known
// before.
func (h *history) announced(now clock.Instant, o Origin, knownAt clock.Instant) {
	if h.sightings[o] == nil && !h.since.IsZero() {
		h.sightings[o] = &sighting{unlistedAt: knownAt, heardAt: now}
	}
	h.seen(now, o)
}

// seen records that a version is still listed.
func (h *history) seen(now clock.Instant, o Origin) {
	if h.sightings[o] == nil {
		h.sightings[o] = &sighting{}
	}
	h.sightings[o].lastAt = now
}

// prune forgets the versions that were not listed within the last Lifetime.
func (h *history) prune(now clock.Instant) {
	maps.DeleteFunc(h.sightings, func(_ Origin, s *sighting) bool { return now.Since(s.lastAt) >= Lifetime })
}

// observeInstances records the registered instances.
func (h *history) observeInstances(now clock.Instant, instances map[string]registry.Instance) {
	for _, i := range instances {
		if !i.HoldsVersions {
			h.legacyAt = now
		}
	}
}

// sole returns the only version of a service that can have begun a stream within the last
// Lifetime. listAge is the age of this instance's copy of the list.
func (h *history) sole(now clock.Instant, service string, listAge time.Duration, l limits) (software string, ok bool) {
	if !h.knows(now) || listAge >= l.listAge || !h.legacyAt.IsZero() && now.Since(h.legacyAt) < Lifetime {
		return "", false
	}
	found := 0
	for o, s := range h.sightings {
		if o.Service != service || !s.unlistedAt.IsZero() && now.Since(s.unlistedAt) < l.listAge && h.hasEarlier(o, s) {
			continue
		}
		found++
		software = o.Software
	}
	return software, found == 1
}

// onHold reports whether no stream may begin yet at a version. peersKnow reports whether a peer may
// know the last Lifetime.
func (h *history) onHold(now clock.Instant, o Origin, l limits, peersKnow func() bool) bool {
	s := h.sightings[o]
	switch {
	case s == nil:
		return false
	case !s.heardAt.IsZero():
		return now.Since(s.heardAt) < l.hold && h.hasEarlier(o, s)
	case h.knows(now):
		return false
	}
	// An instance that has just started does not know whether the version is a new one, unless a
	// peer tells it. If no peer knows, none takes a version for the only one.
	heardAt := h.since
	if heardAt.IsZero() {
		heardAt = h.startedAt
	}
	return now.Since(heardAt) < l.hold && peersKnow()
}

// hasEarlier reports whether another version of the service was listed before.
func (h *history) hasEarlier(o Origin, s *sighting) bool {
	for other, x := range h.sightings {
		if other.Service == o.Service && other != o && x.heardAt.Before(s.heardAt) {
			return true
		}
	}
	return false
}

// report returns the report to a peer.
func (h *history) report(now clock.Instant, peer string) gossip.Versions {
	r := gossip.Versions{Known: h.knows(now)}
	if !r.Known || !h.unknowing[peer] {
		return r
	}
	for o, s := range h.sightings {
		v := gossip.VersionReport{Service: o.Service, Software: o.Software, Initial: s.heardAt.IsZero(), Last: now.Since(s.lastAt)}
		if !v.Initial {
			v.Unlisted = now.Since(s.unlistedAt)
			v.Heard = now.Since(s.heardAt)
		}
		r.Reports = append(r.Reports, v)
	}
	slices.SortFunc(r.Reports, func(a, b gossip.VersionReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
	})
	return r
}

// observeReport handles the report of a peer, which knows the list up to knownAt, or zero if that is
// not known.
func (h *history) observeReport(now clock.Instant, from string, r gossip.Versions, knownAt clock.Instant, l limits) {
	delete(h.unknowing, from)
	if !r.Known {
		h.unknowing[from] = true
		return
	}
	if h.knows(now) || h.since.IsZero() || knownAt.IsZero() || h.since.Since(knownAt) > l.listAge || len(r.Reports) == 0 {
		return
	}
	h.adoptAll(now, r.Reports, knownAt)
}

// adoptAll merges what a peer reports with what is known here. The versions that it does not list
// are later ones.
func (h *history) adoptAll(now clock.Instant, reports []gossip.VersionReport, knownAt clock.Instant) {
	for _, s := range h.sightings {
		if s.heardAt.IsZero() {
			s.heardAt = h.since
			s.unlistedAt = knownAt
		}
	}
	for _, v := range reports {
		h.adopt(now, v)
	}
	h.adopted = true
}

// adopt merges what a peer reports of a version with what is known of it here.
func (h *history) adopt(now clock.Instant, v gossip.VersionReport) {
	o := Origin{Service: v.Service, Software: v.Software}
	s := h.sightings[o]
	if s == nil {
		s = &sighting{lastAt: now.Add(-v.Last)}
		h.sightings[o] = s
	}
	s.lastAt = clock.Latest(s.lastAt, now.Add(-v.Last))
	if v.Initial {
		s.unlistedAt = clock.Instant{}
		s.heardAt = clock.Instant{}
		return
	}
	s.unlistedAt = now.Add(-v.Unlisted)
	s.heardAt = now.Add(-v.Heard)
}

// Report returns what this instance tells a peer about the versions of the last Lifetime.
func (t *Tracker) Report(now clock.Instant, peer string) gossip.Versions {
	return t.history.report(now, peer)
}

// KnowsVersions reports whether this instance knows the versions of the last Lifetime.
func (t *Tracker) KnowsVersions(now clock.Instant) bool { return t.history.knows(now) }

// HandleReport handles the report of a peer that knows the list up to knownAt, zero if that is not
// known.
func (t *Tracker) HandleReport(now clock.Instant, from string, r gossip.Versions, knownAt clock.Instant) {
	t.history.observeReport(now, from, r, knownAt, t.limits())
}

// services returns the services whose versions are recorded, in order.
func (h *history) services() []string {
	var out []string
	for o := range h.sightings {
		out = append(out, o.Service)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

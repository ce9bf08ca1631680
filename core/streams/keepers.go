package streams

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// The keepers of a stream are the instances that are told which version began it. In a small fleet
// they are all others, so that the last instance that remains knows the streams of all. In a large
// one they are an instance of the zone where the stream began, so that a zone that is cut off
// knows its streams, and an instance of each of two other zones, in case instances are lost. They
// are found by rendezvous hashing of the stream's ID, the other zones too.

const (
	// toldZones is the number of zones in which a stream is told in addition to the own one.
	toldZones = 2
	// askedZones is the number of zones whose keepers are asked in addition to that of the own
	// zone. The zones in which a stream was told, other than that where it began, are among the
	// first three in the order of its ID.
	askedZones = toldZones + 1
)

// A fleetView is the instance's view of the peers that can keep streams.
type fleetView struct {
	self   string
	zone   string
	mesh   bool
	byZone map[string][]*member.Peer
}

// view returns the current view.
func (t *Tracker) view() fleetView {
	v := fleetView{self: t.Self.Name, zone: t.Self.Zone, mesh: t.FullMesh(), byZone: map[string][]*member.Peer{}}
	// Peers to which exchanges fail count too: instances do not agree on which ones these are, and
	// must agree on the keepers.
	for _, p := range t.Members.Peers() {
		v.byZone[p.Zone] = append(v.byZone[p.Zone], p)
	}
	return v
}

// all returns all peers.
func (v fleetView) all() []*member.Peer {
	var out []*member.Peer
	for _, zone := range slices.Sorted(maps.Keys(v.byZone)) {
		out = append(out, v.byZone[zone]...)
	}
	return out
}

// keepers returns the peers that are told of a stream that begins in this instance's zone.
func (v fleetView) keepers(id ID) []*member.Peer {
	if v.mesh {
		return v.all()
	}
	zones := v.zonesFor(id)
	others := slices.DeleteFunc(slices.Clone(zones), func(zone string) bool { return zone == v.zone })
	return v.keepersIn(id, append(others[:min(toldZones, len(others))], v.zone))
}

// asked returns the peers that are asked for a stream that began anywhere.
func (v fleetView) asked(id ID) []*member.Peer {
	if v.mesh {
		return v.all()
	}
	zones := v.zonesFor(id)
	first := zones[:min(askedZones, len(zones))]
	if !slices.Contains(first, v.zone) {
		first = append(slices.Clone(first), v.zone)
	}
	return v.keepersIn(id, first)
}

// zonesFor returns the zones in the order of their scores for a stream.
func (v fleetView) zonesFor(id ID) []string {
	zones := slices.Collect(maps.Keys(v.byZone))
	if v.byZone[v.zone] == nil {
		zones = append(zones, v.zone)
	}
	slices.SortFunc(zones, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous.Score(uint64(id), b), rendezvous.Score(uint64(id), a)), cmp.Compare(a, b))
	})
	return zones
}

// keepersIn returns the first peer of each zone by its score for a stream.
func (v fleetView) keepersIn(id ID, zones []string) []*member.Peer {
	var out []*member.Peer
	for _, zone := range zones {
		if p := first(id, v.byZone[zone]); p != nil {
			out = append(out, p)
		}
	}
	return out
}

// first returns the peer with the highest score for a stream, nil if there is none.
func first(id ID, peers []*member.Peer) *member.Peer {
	var best *member.Peer
	var top uint64
	for _, p := range peers {
		if score := rendezvous.Score(uint64(id), p.Name); best == nil || score > top {
			best = p
			top = score
		}
	}
	return best
}

// A Group is streams with the same origin.
type Group struct {
	Origin
	Ambiguous bool // they may be of another version as well
	IDs       []ID
}

// isRecording reports whether streams of a service are told to keepers.
func (t *Tracker) isRecording(now clock.Instant, service string) bool {
	_, sole := t.Sole(now, service)
	return !sole
}

// updateRecording tells the keepers of the streams in progress of each service for which this
// instance begins to tell them.
func (t *Tracker) updateRecording(now clock.Instant) {
	for _, service := range t.history.services() {
		recording := t.isRecording(now, service)
		if recording && !t.recording[service] {
			t.tell(t.ownStreams(service))
		}
		t.recording[service] = recording
	}
}

// ownStreams returns the streams of a service that began here and have not ended, in order.
func (t *Tracker) ownStreams(service string) []ID {
	var out []ID
	for id, r := range t.records {
		if r.own && !r.ended && r.origin.Service == service {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// saturatedTellInterval is the time between two times that keepers are told of streams while this instance
// is saturated: a request to each keeper for each stream costs it about as much as the calls themselves.
const saturatedTellInterval = 100 * time.Millisecond

// delayTelling makes the keepers of a stream be told of it with those of the next moments.
func (t *Tracker) delayTelling(now clock.Instant, id ID) {
	if len(t.delayed) == 0 {
		t.delayedDue = now.Add(saturatedTellInterval)
	}
	t.delayed = append(t.delayed, id)
}

// tellDelayed tells the keepers of the streams that delayTelling has collected, if that is due.
func (t *Tracker) tellDelayed(now clock.Instant) {
	if len(t.delayed) == 0 || now.Before(t.delayedDue) {
		return
	}
	t.tell(slices.DeleteFunc(t.delayed, func(id ID) bool { return t.records[id] == nil }))
	t.delayed = nil
}

// tell tells the keepers of streams which version began them.
func (t *Tracker) tell(ids []ID) {
	if t.Options.Disable.StreamRecords {
		return
	}
	v := t.view()
	byPeer := map[string]map[groupKey][]ID{}
	peers := map[string]*member.Peer{}
	for _, id := range ids {
		r := t.records[id]
		key := groupKey{r.origin, r.ambiguous}
		for _, p := range v.keepers(id) {
			if byPeer[p.Name] == nil {
				byPeer[p.Name] = map[groupKey][]ID{}
				peers[p.Name] = p
			}
			byPeer[p.Name][key] = append(byPeer[p.Name][key], id)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byPeer)) {
		t.send(peers[name], Request{Began: groups(byPeer[name])})
	}
}

// A groupKey is what the streams of a Group have in common.
type groupKey struct {
	origin    Origin
	ambiguous bool
}

// groups returns streams as a list in a fixed order.
func groups(byKey map[groupKey][]ID) []Group {
	var out []Group
	for key, ids := range byKey {
		out = append(out, Group{Origin: key.origin, Ambiguous: key.ambiguous, IDs: ids})
	}
	slices.SortFunc(out, func(a, b Group) int {
		order := cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Software, b.Software))
		if order == 0 && a.Ambiguous != b.Ambiguous && a.Ambiguous {
			return 1
		}
		return order
	})
	return out
}

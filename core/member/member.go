// Package member provides an instance's view of its peers: the other entry
// instances, learnt from settings, from the platform's list and from exchanges.
//
// Nobody votes and nothing is agreed on. Every instance works out who does which
// task, such as watching the platform or reading an engine's state, by rendezvous
// hashing over its own view. Views may differ for some seconds; then a task is
// done twice or by a neighbour, which costs calls and harms nothing.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// LivenessTimeout is how long a peer may fail every exchange before it counts as gone where tasks
// are assigned, though the list still has it.
const LivenessTimeout = 10 * time.Second

// An Identity says who an instance is.
type Identity struct {
	Name    string // unique in the fleet
	Zone    string
	Address string // IP:port of its peers' listener
	Boot    uint64 // rises with every start of the instance
	// Processor is the share of a core that it may use, 0 if that is not known.
	Processor float64
	// Seeds are addresses (IP:port) of peers known from settings.
	Seeds []string
}

// A Peer is another entry instance.
type Peer struct {
	Name         string
	Zone         string
	Address      string // IP:port of its peers' listener
	Leaving      bool
	heardAt      clock.Instant // last time anything came from it
	failingSince clock.Instant // first failure since then
}

// A Table is the view of one instance, which is itself a member.
type Table struct {
	self  string
	zone  string
	peers map[string]*Peer
}

// New returns a table that knows only the instance itself.
func New(self, zone string) *Table {
	return &Table{self: self, zone: zone, peers: map[string]*Peer{}}
}

// Upsert adds a peer or moves it to another address. Itself is passed over.
func (t *Table) Upsert(name, zone, address string) {
	if name == t.self || name == "" {
		return
	}
	p := t.peers[name]
	if p == nil || p.Address != address {
		t.peers[name] = &Peer{Name: name, Zone: zone, Address: address}
		return
	}
	p.Zone = zone
}

// MarkHeard notes that something came from the peer at now.
func (t *Table) MarkHeard(now clock.Instant, name string) {
	if p := t.peers[name]; p != nil {
		p.heardAt = now
		p.failingSince = clock.Instant{}
	}
}

// MarkFailed notes that an exchange with the peer failed at now.
func (t *Table) MarkFailed(now clock.Instant, name string) {
	if p := t.peers[name]; p != nil && p.failingSince.IsZero() {
		p.failingSince = now
	}
}

// SetLeaving notes that the peer says, or the list says, that it is leaving.
func (t *Table) SetLeaving(name string, leaving bool) {
	if p := t.peers[name]; p != nil {
		p.Leaving = leaving
	}
}

// Remove drops a peer that the list no longer has.
func (t *Table) Remove(name string) { delete(t.peers, name) }

// Live reports whether tasks may be assigned to the peer at now.
func (p *Peer) Live(now clock.Instant) bool {
	if p.Leaving {
		return false
	}
	return p.failingSince.IsZero() || now.Since(p.failingSince) < LivenessTimeout
}

// Failing reports whether the last exchange with the peer failed.
func (p *Peer) Failing() bool { return !p.failingSince.IsZero() }

// Get returns the peer with this name, nil if unknown.
func (t *Table) Get(name string) *Peer { return t.peers[name] }

// Peers returns every peer that is not leaving, by name.
func (t *Table) Peers() []*Peer {
	out := make([]*Peer, 0, len(t.peers))
	for _, p := range t.peers {
		if !p.Leaving {
			out = append(out, p)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ZonePeers returns the peers of the table's own zone, or those of other zones.
func (t *Table) ZonePeers(own bool) []*Peer {
	var out []*Peer
	for _, p := range t.Peers() {
		if (p.Zone == t.zone) == own {
			out = append(out, p)
		}
	}
	return out
}

// Neighbours returns the peers of the zone that this instance begins exchanges
// with: on the ring of all members by name, those 1, 2, 4, 8 and so on places
// ahead. News crosses the zone in as many hops as the ring's size has bits,
// and each pair meets often enough that what it owes each other stays small;
// with partners drawn at random that would grow with the zone.
func (t *Table) Neighbours() []*Peer {
	ring := t.ZonePeers(true)
	at := sort.Search(len(ring), func(i int) bool { return ring[i].Name > t.self })
	var out []*Peer
	for step := 1; step <= len(ring); step *= 2 {
		// The instance itself stands between ring[at-1] and ring[at].
		out = append(out, ring[(at+step-1)%len(ring)])
	}
	return out
}

// ZoneUnreachable reports whether instances of the zone are known and none of them
// answers.
func (t *Table) ZoneUnreachable(zone string) bool {
	known := false
	for _, p := range t.Peers() {
		if p.Zone != zone {
			continue
		}
		known = true
		if !p.Failing() {
			return false
		}
	}
	return known
}

// Random draws one of the peers, nil if there is none.
func Random(rng *rand.Rand, peers []*Peer) *Peer {
	if len(peers) == 0 {
		return nil
	}
	return peers[rng.IntN(len(peers))]
}

// Size returns how many instances are known, this one included.
func (t *Table) Size() int { return len(t.peers) + 1 }

// HeardWithin returns how many peers were heard within the span before now.
func (t *Table) HeardWithin(now clock.Instant, span time.Duration) int {
	n := 0
	for _, p := range t.peers {
		if p.HeardWithin(now, span) {
			n++
		}
	}
	return n
}

// Assigned reports whether the instance is among the n that rendezvous hashing
// names for a task, of itself and its zone's live peers.
func (t *Table) Assigned(now clock.Instant, task string, n int) bool {
	key := rendezvous.Key(task)
	own := rendezvous.Score(key, t.self)
	ahead := 0
	for _, p := range t.peers {
		if p.Zone != t.zone || !p.Live(now) {
			continue
		}
		if score := rendezvous.Score(key, p.Name); score > own || (score == own && p.Name < t.self) {
			ahead++
		}
	}
	return ahead < n
}

// HeardWithin reports whether the peer was heard within the span before now.
func (p *Peer) HeardWithin(now clock.Instant, span time.Duration) bool {
	return !p.heardAt.IsZero() && now.Since(p.heardAt) <= span
}

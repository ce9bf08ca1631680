// Package member maintains an instance's view of its peers: the other entry
// instances, known from settings, from the platform's list and from exchanges.
//
// There is no voting and no consensus. Every instance computes the assignment of
// tasks, such as watching the platform or reading an engine's state, by rendezvous
// hashing over its own view. Views may differ for some seconds. A task is then
// done twice or by another instance, which costs extra calls but is harmless.
package member

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// LivenessTimeout is the time for which a peer may fail every exchange before it is assigned
// no more tasks, even if the platform's list still has it.
const LivenessTimeout = 10 * time.Second

// An Identity describes an instance to its peers.
type Identity struct {
	Name    string // unique in the fleet
	Zone    string
	Address string // IP:port of its peers' listener
	Boot    uint64 // increases with every start of the instance
	// Processor is the CPU quota of the instance in cores, 0 if unknown.
	Processor float64
	// Seeds are the addresses (IP:port) of peers in the settings.
	Seeds []string
}

// A Peer is another entry instance.
type Peer struct {
	Name         string
	Zone         string
	Address      string // IP:port of its peers' listener
	Leaving      bool
	heardAt      clock.Instant // when the last message from it arrived
	failingSince clock.Instant // when the first exchange after that failed; zero if none did
}

// A Table holds the view of one instance: its peers, without the instance itself.
type Table struct {
	self  string
	zone  string
	peers map[string]*Peer
}

// New returns the table of the instance self, without any peers.
func New(self, zone string) *Table {
	return &Table{self: self, zone: zone, peers: map[string]*Peer{}}
}

// Upsert adds a peer or updates its zone and address. A changed address replaces the peer's
// entry and so clears its liveness and leaving state. The instance itself and empty names are
// ignored.
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

// MarkHeard records that a message from the peer arrived at now.
func (t *Table) MarkHeard(now clock.Instant, name string) {
	if p := t.peers[name]; p != nil {
		p.heardAt = now
		p.failingSince = clock.Instant{}
	}
}

// MarkFailed records that an exchange with the peer failed at now.
func (t *Table) MarkFailed(now clock.Instant, name string) {
	if p := t.peers[name]; p != nil && p.failingSince.IsZero() {
		p.failingSince = now
	}
}

// SetLeaving records whether the peer is leaving, according to the peer itself or
// the platform's list.
func (t *Table) SetLeaving(name string, leaving bool) {
	if p := t.peers[name]; p != nil {
		p.Leaving = leaving
	}
}

// Remove removes a peer whose entry was deleted from the platform's list.
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

// Get returns the peer with the given name, or nil if it is unknown.
func (t *Table) Get(name string) *Peer { return t.peers[name] }

// Peers returns every peer that is not leaving, sorted by name.
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

// ZonePeers returns the peers of the table's own zone if own is true, and those of all
// other zones otherwise.
func (t *Table) ZonePeers(own bool) []*Peer {
	var out []*Peer
	for _, p := range t.Peers() {
		if (p.Zone == t.zone) == own {
			out = append(out, p)
		}
	}
	return out
}

// Neighbours returns the peers in this instance's zone that it starts exchanges with:
// those 1, 2, 4, 8 and so on places ahead on the ring of all members sorted by name.
// Updates reach the whole zone in as many hops as the ring size has bits, and each pair
// exchanges often enough that the deltas between them stay small. With randomly chosen
// partners, the deltas would grow with the size of the zone.
func (t *Table) Neighbours() []*Peer {
	ring := t.ZonePeers(true)
	at := sort.Search(len(ring), func(i int) bool { return ring[i].Name > t.self })
	var out []*Peer
	for step := 1; step <= len(ring); step *= 2 {
		// The instance itself belongs between ring[at-1] and ring[at].
		out = append(out, ring[(at+step-1)%len(ring)])
	}
	return out
}

// ZoneUnreachable reports whether at least one peer of the zone is known and the
// last exchange with each of them failed.
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

// Random returns a random element of peers, or nil if peers is empty.
func Random(rng *rand.Rand, peers []*Peer) *Peer {
	if len(peers) == 0 {
		return nil
	}
	return peers[rng.IntN(len(peers))]
}

// Size returns the number of known instances, including this one.
func (t *Table) Size() int { return len(t.peers) + 1 }

// HeardWithin returns the number of peers from which a message arrived within span
// before now.
func (t *Table) HeardWithin(now clock.Instant, span time.Duration) int {
	n := 0
	for _, p := range t.peers {
		if p.HeardWithin(now, span) {
			n++
		}
	}
	return n
}

// Assigned reports whether this instance is among the n instances that rendezvous
// hashing selects for a task from itself and the live peers of its zone.
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

// HeardWithin reports whether a message from the peer arrived within span before now.
func (p *Peer) HeardWithin(now clock.Instant, span time.Duration) bool {
	return !p.heardAt.IsZero() && now.Since(p.heardAt) <= span
}

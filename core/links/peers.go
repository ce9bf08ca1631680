package links

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/pool"
)

// The links of other instances, and the choice of the instance that relays an attempt.

const (
	// reportTTL is how long a peer's report of the services that it cannot reach counts.
	reportTTL = bounds.LinkReportTTL
	// peerTTL is how long a peer that was not heard of may be asked to relay an attempt if
	// there is no better one: in a large fleet an instance hears of few peers in reportTTL.
	peerTTL = time.Minute
	// peerBackoff is how long a peer that did not answer is not asked again unless it is heard of,
	// and replicaBackoff is how long it is not asked for a replica that it could not reach.
	peerBackoff    = 5 * time.Second
	replicaBackoff = time.Second
	// busyBackoff is how long a peer that has too many attempts to relay is not asked again, and
	// exposedBackoff the same for a replica that the peer may not send another request.
	busyBackoff    = 100 * time.Millisecond
	exposedBackoff = 300 * time.Millisecond
	// candidateTTL is how long the candidates for a service are reused.
	candidateTTL = 20 * time.Millisecond
	// ownZoneWeight is how much more often a peer of this instance's zone is chosen than one of
	// another zone.
	ownZoneWeight = 2
)

// A Way is how this instance reaches a replica.
type Way int

// The ways.
const (
	Unreachable Way = iota // not at all
	Direct                 // over its own link
	Relayed                // through another instance
)

// A RelayFailure says why an attempt was not relayed.
type RelayFailure int

// The relay failures.
const (
	RelaySucceeded     RelayFailure = iota
	PeerUnreachable                 // the peer did not answer, or does not relay attempts
	PeerBusy                        // the peer relays too many attempts, or stops
	ReplicaUnreachable              // the peer does not reach the replica either, or may not send to it
	ReplicaExposed                  // the peer may not send the replica another request that it could reject
)

// String returns the failure as it is logged.
func (f RelayFailure) String() string {
	return [...]string{"", "peer_unreachable", "peer_busy", "replica_unreachable", "replica_exposed"}[f]
}

// peerLinks is what this instance knows of the links of a peer.
type peerLinks struct {
	heardAt      clock.Instant
	relays       bool // it relays attempts of other instances
	services     map[string]peerService
	backoffUntil clock.Instant            // it is not asked until then
	silent       bool                     // it did not answer, and was not heard of since
	reachedAt    clock.Instant            // when it last answered a request to relay an attempt
	askedAt      clock.Instant            // when it was last asked although it might not be reachable
	replicas     map[string]clock.Instant // replicas that it could not reach, and until when that counts
}

// A peerService is the state of a peer's links to a service.
type peerService struct {
	lost     bool          // it cannot connect to most replicas
	provenAt clock.Instant // when one of the links last proved to work; zero: never
}

// ObservePeer records what a peer reported of its links.
func (t *Tracker) ObservePeer(now clock.Instant, peer string, relays bool, reports []gossip.LinkReport) {
	p := t.peers[peer]
	if p == nil {
		p = &peerLinks{services: map[string]peerService{}, replicas: map[string]clock.Instant{}}
		t.peers[peer] = p
	}
	p.heardAt = now
	if p.silent {
		p.silent = false
		p.backoffUntil = now
		t.cache = candidateCache{}
	}
	p.relays = relays
	clear(p.services)
	for _, r := range reports {
		s := peerService{lost: r.Lost}
		if r.Proven {
			s.provenAt = now.Add(-r.ProvenAge)
		}
		p.services[r.Service] = s
	}
}

// PeerLost reports whether a peer reported that it cannot reach most replicas of a service.
func (t *Tracker) PeerLost(now clock.Instant, peer, service string) bool {
	p := t.peers[peer]
	return p != nil && now.Since(p.heardAt) <= reportTTL && p.services[service].lost
}

// RelayFailed records that a peer did not relay an attempt to a replica. While this instance is
// saturated, it may itself have been too slow for a peer that seems not to answer.
func (t *Tracker) RelayFailed(now clock.Instant, peer, replica string, reason RelayFailure) {
	if reason == PeerUnreachable && t.Saturation.Saturated(now) {
		reason = PeerBusy
	}
	p := t.peers[peer]
	if p == nil {
		return
	}
	t.cache = candidateCache{}
	if reason != PeerUnreachable {
		p.reachedAt = now
	}
	switch reason {
	case PeerUnreachable:
		p.backoffUntil = now.Add(peerBackoff)
		p.silent = true
	case PeerBusy:
		p.backoffUntil = now.Add(busyBackoff)
	case ReplicaUnreachable:
		p.replicas[replica] = now.Add(replicaBackoff)
	case ReplicaExposed:
		p.replicas[replica] = now.Add(exposedBackoff)
	}
}

// RelayAnswered records that a peer passed on the answer of a replica.
func (t *Tracker) RelayAnswered(now clock.Instant, peer string) {
	if p := t.peers[peer]; p != nil {
		p.reachedAt = now
	}
}

// lastContact returns when this instance last received something from the peer.
func (p *peerLinks) lastContact() clock.Instant { return clock.Latest(p.heardAt, p.reachedAt) }

// A PeerFilter says whether a peer may be asked to relay an attempt to a replica.
type PeerFilter func(now clock.Instant, r *pool.Replica, peer string) bool

// Way returns how this instance reaches a replica now. A replica with a broken link is reached
// through another instance if this instance has lost most links to its service, or if it is the
// last resort: otherwise the replica has probably ended.
//
// may says whether a peer may be asked for a replica; nil: any.
func (t *Tracker) Way(now clock.Instant, r *pool.Replica, lastResort bool, may PeerFilter) Way {
	doubtful := t.Doubtful(r.Service)
	switch {
	case !r.LinkBroken() && !doubtful:
		return Direct
	case (doubtful || t.Lost(r.Service) || lastResort) && t.Relayable(now, r, may):
		return Relayed
	case !r.LinkBroken():
		return Direct
	default:
		return Unreachable
	}
}

// ChooseRelay returns the peer that should relay an attempt to a replica, nil if there is none.
func (t *Tracker) ChooseRelay(now clock.Instant, r *pool.Replica, may PeerFilter) *member.Peer {
	peers := t.relaysTo(now, r, may)
	total := 0.
	for _, p := range peers {
		total += t.weight(p)
	}
	draw := t.Rand.Float64() * total
	for _, p := range peers {
		if draw -= t.weight(p); draw < 0 {
			t.peers[p.Name].askedAt = now
			return p
		}
	}
	return nil
}

// weight returns how often a peer is chosen, relative to others.
func (t *Tracker) weight(p *member.Peer) float64 {
	if p.Zone == t.Self.Zone {
		return ownZoneWeight
	}
	return 1
}

// Relayable reports whether a peer may relay an attempt to a replica.
func (t *Tracker) Relayable(now clock.Instant, r *pool.Replica, may PeerFilter) bool {
	return len(t.relaysTo(now, r, may)) > 0
}

// relaysTo returns the best candidates that may reach a replica.
func (t *Tracker) relaysTo(now clock.Instant, r *pool.Replica, may PeerFilter) []*member.Peer {
	for _, peers := range t.candidates(now, r.Service) {
		var reaching []*member.Peer
		for _, p := range peers {
			if t.reaches(now, p, r, may) {
				reaching = append(reaching, p)
			}
		}
		if len(reaching) > 0 {
			return reaching
		}
	}
	return nil
}

// reaches reports whether a candidate reaches a replica, as far as this instance knows.
func (t *Tracker) reaches(now clock.Instant, p *member.Peer, r *pool.Replica, may PeerFilter) bool {
	if may != nil && !may(now, r, p.Name) {
		return false
	}
	l := t.peers[p.Name]
	return !r.UnreachableFrom(now, p.Name) && !now.Before(l.replicas[r.Name]) && !t.awaitsAnswer(now, l, r.Service)
}

// awaitsAnswer reports whether a peer that may be cut off from this instance as well was asked a
// moment ago: more attempts wait for its answer.
func (t *Tracker) awaitsAnswer(now clock.Instant, p *peerLinks, service string) bool {
	contact := p.lastContact()
	return contact.Before(t.service(service).brokeBefore()) && contact.Before(p.askedAt) && now.Since(p.askedAt) < bounds.DialTimeout
}

// A candidateCache holds the candidates that were last computed.
type candidateCache struct {
	at        clock.Instant
	byService map[string][][]*member.Peer
}

// candidates returns the peers that may relay attempts to the replicas of a service, the most
// promising group first.
func (t *Tracker) candidates(now clock.Instant, service string) [][]*member.Peer {
	if t.cache.byService == nil || now.Since(t.cache.at) >= candidateTTL {
		t.cache = candidateCache{at: now, byService: map[string][][]*member.Peer{}}
	}
	groups, ok := t.cache.byService[service]
	if !ok {
		groups = t.findCandidates(now, service)
		t.cache.byService[service] = groups
	}
	return groups
}

// findCandidates returns the candidates for a service in four groups: the peers that reported that
// their links work since this instance's failed, those that were heard of since then, those that
// reported lately, and those that relayed attempts when last heard of.
func (t *Tracker) findCandidates(now clock.Instant, service string) [][]*member.Peer {
	groups := make([][]*member.Peer, 4)
	since := t.service(service).brokeBefore()
	for _, p := range t.peersHeardWithin(now, service, peerTTL) {
		l := t.peers[p.Name]
		group := 3
		switch {
		case now.Since(l.heardAt) > reportTTL:
		case !l.services[service].provenAt.Before(since):
			group = 0
		case !l.lastContact().Before(since): // others may be cut off from this instance as well
			group = 1
		default:
			group = 2
		}
		groups[group] = append(groups[group], p)
	}
	return groups
}

// brokeBefore returns a time before which the links to the service still worked: connecting had
// begun to fail DialTimeout later.
func (s *serviceLinks) brokeBefore() clock.Instant {
	since := s.failedSince
	if s.lost && s.lostSince.Before(since) {
		since = s.lostSince
	}
	return since.Add(-bounds.DialTimeout)
}

// ProvenByPeer reports whether a peer's links to a service have worked since this instance's failed:
// then the replicas are not silent for everybody.
func (t *Tracker) ProvenByPeer(now clock.Instant, service string) bool {
	since := t.service(service).failedSince
	return slices.ContainsFunc(t.peersHeardWithin(now, service, reportTTL), func(p *member.Peer) bool {
		return since.Before(t.peers[p.Name].services[service].provenAt)
	})
}

func (t *Tracker) peersHeardWithin(now clock.Instant, service string, span time.Duration) []*member.Peer {
	var out []*member.Peer
	for _, p := range t.Members.Peers() {
		l := t.peers[p.Name]
		if l == nil || !l.relays || p.Failing() || now.Since(l.heardAt) > span || now.Before(l.backoffUntil) || t.PeerLost(now, p.Name, service) {
			continue
		}
		out = append(out, p)
	}
	return out
}

// prunePeers forgets the peers that are not members any more.
func (t *Tracker) prunePeers(now clock.Instant) {
	for name, p := range t.peers {
		if now.Since(p.heardAt) > peerTTL {
			delete(t.peers, name)
		}
	}
}

package exchange

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/member"
)

// This file pulls a newer configuration from a peer that has one.

const (
	// PullTimeout is how long to wait for the configuration from one peer before
	// requesting it from another. Several transfers at once over a narrow link would
	// slow each other down so much that none completes.
	PullTimeout = 600 * time.Millisecond
	// platformGrace is how long an instance that watches the platform itself waits
	// for a revision that a peer has, before it requests the revision from the peer.
	platformGrace = 600 * time.Millisecond
)

// A pull is the state of pulling a newer configuration.
type pull struct {
	newest      uint64        // newest revision that any peer is known to have
	behindSince clock.Instant // when a peer was first known to have a newer revision than this instance
	waitUntil   clock.Instant // deadline for the reply to the last request
}

// observe records that a peer has a revision. own is the revision in force here.
func (p *pull) observe(now clock.Instant, revision, own uint64) {
	if revision <= p.newest {
		return
	}
	if p.newest <= own {
		p.behindSince = now
	}
	p.newest = revision
}

// ConfigLag returns how long a peer has been known to have a newer configuration than this
// instance. ok is false if no peer is known to have one.
func (x *Exchanges) ConfigLag(now clock.Instant) (span time.Duration, ok bool) {
	if x.pull.newest <= x.Config.Revision() {
		return 0, false
	}
	return now.Since(x.pull.behindSince), true
}

// ConfigInstalled handles the installation of a newer revision. It spreads the
// revision at once, and requests a still newer one that a peer reported meanwhile.
func (x *Exchanges) ConfigInstalled(now clock.Instant) {
	x.pull.behindSince = now
	x.pull.waitUntil = clock.Instant{}
	x.pullNewer(now)
	x.TellAll(now)
}

// pullNewer requests the configuration from a peer that has a newer one. It asks only
// one peer at a time, since the reply holds the complete configuration, and asks another
// after PullTimeout.
func (x *Exchanges) pullNewer(now clock.Instant) {
	if x.pull.newest <= x.Config.Revision() || now.Before(x.pull.waitUntil) {
		return
	}
	if x.PlatformBrings(now) && now.Before(x.pull.behindSince.Add(platformGrace)) {
		return // the platform delivers it, which is cheaper than a request to a peer
	}
	p := x.pullTarget()
	if p == nil {
		return
	}
	x.pull.waitUntil = now.Add(PullTimeout)
	x.inFlight[p.Address] = now
	msg := x.message(now, p.Name)
	msg.WantConfig = true
	x.Out.Emit(SendRequest{Peer: p.Name, Address: p.Address, Message: msg})
}

// pullTarget returns the peer to request a newer configuration from, nil if there is none.
// It prefers peers in this instance's zone, and among those the newest revision. It skips
// peers with an exchange in flight and peers whose last exchange failed.
func (x *Exchanges) pullTarget() *member.Peer {
	var best *member.Peer
	for _, p := range x.Members.Peers() {
		if x.peers[p.Name].revision <= x.Config.Revision() || p.Failing() || x.exchanging(p.Address) {
			continue
		}
		if best == nil || x.preferToPull(p, best) {
			best = p
		}
	}
	return best
}

// preferToPull reports whether a is a better pull target than b.
func (x *Exchanges) preferToPull(a, b *member.Peer) bool {
	if inOwnZone := a.Zone == x.Self.Zone; inOwnZone != (b.Zone == x.Self.Zone) {
		return inOwnZone
	}
	return x.peers[a.Name].revision > x.peers[b.Name].revision
}

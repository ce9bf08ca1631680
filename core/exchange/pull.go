package exchange

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/member"
)

// Pulling a newer configuration from a peer that has one.

const (
	// PullTimeout is how long a peer that was asked for a configuration is waited for
	// before another one is asked. Several at once would share a narrow link, and
	// none would arrive.
	PullTimeout = 600 * time.Millisecond
	// platformGrace is how long an instance that watches the platform itself
	// waits for a revision that a peer has, before it asks the peer for it.
	platformGrace = 600 * time.Millisecond
)

// A pull is what is known of newer revisions, and the request for one.
type pull struct {
	newest      uint64        // revision that a peer is known to have
	behindSince clock.Instant // since when a peer is known to be ahead of this instance
	waitUntil   clock.Instant // until then a peer that was asked is waited for
}

// observe takes in that a peer has a revision, while own is in force here.
func (p *pull) observe(now clock.Instant, revision, own uint64) {
	if revision <= p.newest {
		return
	}
	if p.newest <= own {
		p.behindSince = now
	}
	p.newest = revision
}

// ConfigLag returns for how long a peer has been ahead of this instance; ok is false
// if none is known to be.
func (x *Exchanges) ConfigLag(now clock.Instant) (span time.Duration, ok bool) {
	if x.pull.newest <= x.Config.Revision() {
		return 0, false
	}
	return now.Since(x.pull.behindSince), true
}

// ConfigInstalled notes that a newer revision is in force here: it is spread at once,
// and a still newer one that was announced meanwhile is asked for.
func (x *Exchanges) ConfigInstalled(now clock.Instant) {
	x.pull.behindSince = now
	x.pull.waitUntil = clock.Instant{}
	x.pullNewer(now)
	x.TellAll(now)
}

// pullNewer asks a peer that is ahead for its configuration. Only one is asked at
// a time, since the whole configuration comes back; another, if that one is slow.
func (x *Exchanges) pullNewer(now clock.Instant) {
	if x.pull.newest <= x.Config.Revision() || now.Before(x.pull.waitUntil) {
		return
	}
	if x.PlatformBrings(now) && now.Before(x.pull.behindSince.Add(platformGrace)) {
		return // it will come from there, and more cheaply
	}
	p := x.pullTarget()
	if p == nil {
		return
	}
	x.pull.waitUntil = now.Add(PullTimeout)
	x.inFlight[p.Address] = true
	msg := x.message(now, p.Name)
	msg.WantConfig = true
	x.Out.Emit(SendRequest{Peer: p.Name, Address: p.Address, Message: msg})
}

// pullTarget returns the peer to ask for its configuration: one of the own
// zone before others, then the one with the newest revision. Peers that are being
// asked already or seem not to answer are passed over.
func (x *Exchanges) pullTarget() *member.Peer {
	var best *member.Peer
	for _, p := range x.Members.Peers() {
		if x.peers[p.Name].revision <= x.Config.Revision() || p.Failing() || x.inFlight[p.Address] {
			continue
		}
		if best == nil || x.preferToPull(p, best) {
			best = p
		}
	}
	return best
}

// preferToPull reports whether a rather than b is asked for a configuration.
func (x *Exchanges) preferToPull(a, b *member.Peer) bool {
	if near := a.Zone == x.Self.Zone; near != (b.Zone == x.Self.Zone) {
		return near
	}
	return x.peers[a.Name].revision > x.peers[b.Name].revision
}

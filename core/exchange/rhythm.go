package exchange

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/step"
)

// This file decides when this instance starts exchanges, and with which peers.

const (
	// updateInterval is the time between exchanges with successive neighbours while there
	// are updates that calls may wait for: which items an engine holds, or which replica
	// is leaving.
	updateInterval = 400 * time.Millisecond
	// failingPeerRounds is the interval, in number of rounds of the full mesh, at which an
	// instance retries a failing peer.
	failingPeerRounds = 4
	// crossZoneRounds is the interval, in number of rounds, at which an instance exchanges
	// with a peer of another zone if neither a watcher nor the placer was chosen.
	crossZoneRounds = 4
	// isolationPeriods is the number of exchange periods (ExchangeEvery) without a message
	// from any peer after which an instance considers itself isolated.
	isolationPeriods = 5
)

// A schedule determines when the next exchanges start, and with which peers.
type schedule struct {
	due          clock.Instant // of all exchanges except those of the full mesh
	meshDue      clock.Instant // of the full mesh
	round        int           // number of rounds started
	nextIndex    int           // round-robin position among neighbours or watchers
	updateRounds int           // number of coming exchanges to space by updateInterval
	urgent       bool          // exchange with every neighbour at once
}

// Tick starts the exchanges that are due.
func (x *Exchanges) Tick(now clock.Instant) {
	x.pullNewer(now)
	s := &x.schedule
	if now.Before(s.due) {
		return
	}
	if x.Roster.FullMesh() && !s.urgent {
		s.due = now.Add(step.Jitter(x.Rand, x.Options.ExchangeEvery))
		x.contactSeeds(now)
		return
	}
	interval := x.Options.PlatformExchangeInterval()
	if s.updateRounds > 0 {
		s.updateRounds--
		interval = min(interval, updateInterval)
	}
	s.due = now.Add(step.Jitter(x.Rand, interval))
	if s.urgent {
		x.burst(now)
		return
	}
	s.round++
	x.StartWith(now, x.nextPeer(now))
	x.contactSeeds(now)
}

// TickMesh starts the exchanges of a full mesh that are due. In each pair the instance
// whose name sorts first starts the exchange, so that every instance hears directly from
// every other within MeshEvery. One that does not know the versions starts all of its exchanges,
// since it can go by answers to its own requests only.
func (x *Exchanges) TickMesh(now clock.Instant) {
	s := &x.schedule
	if !x.Roster.FullMesh() || now.Before(s.meshDue) {
		return
	}
	s.meshDue = now.Add(step.Jitter(x.Rand, x.Options.MeshEvery))
	all := !x.VersionsKnown(now)
	for _, p := range x.Members.Peers() {
		if (all || p.Name > x.Self.Name) && (!p.Failing() || s.round%failingPeerRounds == 0) {
			x.StartWith(now, p)
		}
	}
	s.round++
	x.Pool.ResetUsed() // this round's messages have reported the items used so far
}

// TellAll schedules exchanges with all neighbours at once, to spread an update.
func (x *Exchanges) TellAll(now clock.Instant) {
	x.schedule.urgent = true
	x.schedule.due = now
}

// TellSoon brings the next exchanges forward, one for each neighbour, so that all of
// them receive an update.
func (x *Exchanges) TellSoon(now clock.Instant) {
	x.schedule.updateRounds = len(x.Members.Neighbours())
	if due := now.Add(updateInterval); due.Before(x.schedule.due) {
		x.schedule.due = due
	}
}

// Isolated reports whether no message from any peer has arrived for isolationPeriods
// exchange periods.
func (x *Exchanges) Isolated(now clock.Instant) bool {
	return x.Members.HeardWithin(now, isolationPeriods*x.Options.ExchangeEvery) == 0
}

// burst starts exchanges with every neighbour and a random peer of another zone at once,
// or with every peer in a full mesh.
func (x *Exchanges) burst(now clock.Instant) {
	x.schedule.urgent = false
	if x.Roster.FullMesh() {
		for _, p := range x.Members.Peers() {
			x.StartWith(now, p)
		}
		return
	}
	for _, p := range x.Members.Neighbours() {
		x.StartWith(now, p)
	}
	x.StartWith(now, member.Random(x.Rand, x.Members.ZonePeers(false)))
}

// nextPeer returns the peer to exchange with in this round, nil if there is none.
func (x *Exchanges) nextPeer(now clock.Instant) *member.Peer {
	if p := x.NextPeer(now, x.schedule.round); p != nil {
		return p
	}
	if neighbours := x.Members.Neighbours(); len(neighbours) > 0 {
		x.schedule.nextIndex++
		return neighbours[x.schedule.nextIndex%len(neighbours)]
	}
	return member.Random(x.Rand, x.Members.ZonePeers(false))
}

// NextInLargeFleet returns the peer to exchange with in a fleet that is too large for a
// full mesh and in which few instances watch the platform. Every other round it returns
// a watcher, since watchers receive updates first. In between it returns the placer,
// which needs the demand, or a peer of another zone. placer is the placer's name. The
// result is nil if no such peer is known or due; the caller then chooses a neighbour.
func (x *Exchanges) NextInLargeFleet(now clock.Instant, round int, placer string) *member.Peer {
	switch round % 4 {
	case 0, 2:
		if p := x.NextWatcher(now, x.Self.Zone); p != nil {
			return p
		}
	case 1:
		if p := x.Members.Get(placer); p != nil && !p.Leaving {
			return p
		}
	case 3:
		if zones := x.Roster.Zones(); x.Roster.IncludesSelf(now) && len(zones) > 1 {
			if p := x.NextWatcher(now, zones[x.Rand.IntN(len(zones))]); p != nil {
				return p
			}
		}
	}
	if round%crossZoneRounds == 0 {
		return member.Random(x.Rand, x.Members.ZonePeers(false))
	}
	return nil
}

// NextWatcher returns the next watcher of a zone in round-robin order, nil if there is none.
// It skips watchers that are leaving.
func (x *Exchanges) NextWatcher(now clock.Instant, zone string) *member.Peer {
	var watchers []*member.Peer
	for _, name := range x.Roster.InZone(now, zone) {
		if p := x.Members.Get(name); p != nil && !p.Leaving {
			watchers = append(watchers, p)
		}
	}
	if len(watchers) == 0 {
		return nil
	}
	x.schedule.nextIndex++
	return watchers[x.schedule.nextIndex%len(watchers)]
}

// contactSeeds starts an exchange with a random address from the settings while this
// instance is isolated.
func (x *Exchanges) contactSeeds(now clock.Instant) {
	if len(x.seeds) == 0 || !x.Isolated(now) {
		return
	}
	address := x.seeds[x.Rand.IntN(len(x.seeds))]
	if address == x.Self.Address || x.exchanging(address) {
		return
	}
	x.inFlight[address] = now
	x.Out.Emit(SendRequest{Address: address, Message: x.message(now, "")})
}

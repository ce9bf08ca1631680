package exchange

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/step"
)

// When this instance begins exchanges, and with whom.

const (
	// newsInterval is how soon the next neighbour is told when there is news that
	// calls may wait for: what an engine holds, or who is leaving.
	newsInterval = 400 * time.Millisecond
	// failingPeerRounds is every how manyth round of the full mesh a peer that does
	// not answer is tried.
	failingPeerRounds = 4
	// crossZoneRounds is every how manyth exchange goes to another zone.
	crossZoneRounds = 4
	// isolationPeriods is after how many of its own exchange periods without any message
	// from any peer an instance counts itself as alone.
	isolationPeriods = 5
)

// A schedule says when the next exchanges are due.
type schedule struct {
	due        clock.Instant
	meshDue    clock.Instant // of the full mesh
	round      int
	nextIndex  int  // of the neighbours, and of those that watch
	newsRounds int  // exchanges to space by newsSpacing
	urgent     bool // tell every neighbour without waiting
}

// Tick begins the exchanges that are due.
func (x *Exchanges) Tick(now clock.Instant) {
	x.pullNewer(now)
	r := &x.schedule
	if now.Before(r.due) {
		return
	}
	if x.Roster.FullMesh() && !r.urgent {
		r.due = now.Add(step.Jitter(x.Rand, x.Options.ExchangeEvery))
		x.contactSeeds(now)
		return
	}
	every := x.Options.PlatformExchangeInterval()
	if r.newsRounds > 0 {
		r.newsRounds--
		every = min(every, newsInterval)
	}
	r.due = now.Add(step.Jitter(x.Rand, every))
	if r.urgent {
		x.burst(now)
		return
	}
	r.round++
	x.StartWith(now, x.nextPeer(now))
	x.contactSeeds(now)
}

// TickMesh begins the exchanges of a full mesh that are due. Of each pair the one
// whose name comes first begins, so that all hear from all, at first hand and
// within MeshEvery.
func (x *Exchanges) TickMesh(now clock.Instant) {
	r := &x.schedule
	if !x.Roster.FullMesh() || now.Before(r.meshDue) {
		return
	}
	r.meshDue = now.Add(step.Jitter(x.Rand, x.Options.MeshEvery))
	for _, p := range x.Members.Peers() {
		if p.Name > x.Self.Name && (!p.Failing() || r.round%failingPeerRounds == 0) {
			x.StartWith(now, p)
		}
	}
	r.round++
	x.Pool.ResetUsed()
}

// TellAll has the next exchanges begun at once, to spread what is new.
func (x *Exchanges) TellAll(now clock.Instant) {
	x.schedule.urgent = true
	x.schedule.due = now
}

// TellSoon brings the next exchange forward for as many turns as there are
// neighbours, so that each of them is told.
func (x *Exchanges) TellSoon(now clock.Instant) {
	x.schedule.newsRounds = len(x.Members.Neighbours())
	if due := now.Add(newsInterval); due.Before(x.schedule.due) {
		x.schedule.due = due
	}
}

// Isolated reports whether no peer was heard for some of the own exchange periods.
func (x *Exchanges) Isolated(now clock.Instant) bool {
	return x.Members.HeardWithin(now, isolationPeriods*x.Options.ExchangeEvery) == 0
}

// burst tells every neighbour, and a peer of another zone, at once.
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

// nextPeer returns whom to exchange with in this round.
func (x *Exchanges) nextPeer(now clock.Instant) *member.Peer {
	if p := x.NextPeer(now, x.schedule.round); p != nil {
		return p
	}
	if near := x.Members.Neighbours(); len(near) > 0 {
		x.schedule.nextIndex++
		return near[x.schedule.nextIndex%len(near)]
	}
	return member.Random(x.Rand, x.Members.ZonePeers(false))
}

// NextInLargeFleet returns whom to exchange with in a fleet that is too large for a
// full mesh and in which few instances watch the platform: every other round one
// that watches, which has the news first, and in between the placer, which needs
// the demand, or a peer of another zone. placer is the placer's name.
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

// NextWatcher returns the peer of a zone whose turn it is, of those that watch
// the platform.
func (x *Exchanges) NextWatcher(now clock.Instant, zone string) *member.Peer {
	var others []*member.Peer
	for _, name := range x.Roster.InZone(now, zone) {
		if p := x.Members.Get(name); p != nil && !p.Leaving {
			others = append(others, p)
		}
	}
	if len(others) == 0 {
		return nil
	}
	x.schedule.nextIndex++
	return others[x.schedule.nextIndex%len(others)]
}

// contactSeeds tries one address from the settings while no peer was heard.
func (x *Exchanges) contactSeeds(now clock.Instant) {
	if len(x.seeds) == 0 || !x.Isolated(now) {
		return
	}
	address := x.seeds[x.Rand.IntN(len(x.seeds))]
	if address == x.Self.Address || x.inFlight[address] {
		return
	}
	x.inFlight[address] = true
	x.Out.Emit(SendRequest{Address: address, Message: x.message(now, "")})
}

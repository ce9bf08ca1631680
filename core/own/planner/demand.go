package planner

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/member"
)

// How planners hear of demand: from the instances of their zone, and from the
// planners of zones that live on their copies.

// unmetReportInterval spaces the words to the planner about unmet demand. Without them a
// call for a cold model would wait for the planner's turn in the rhythm.
const unmetReportInterval = 500 * time.Millisecond

// ReportUnmet lets the zone's planner know of an unmet demand soon.
func (p *Planner) ReportUnmet(now clock.Instant) {
	if !p.unmetReportedAt.IsZero() && now.Since(p.unmetReportedAt) < unmetReportInterval {
		return
	}
	p.unmetReportedAt = now
	if p.IsPlanner() {
		p.planDue = now
		return
	}
	p.Tell(now, p.Members.Get(p.Records.LeaseHolder(p.Self.Zone).Instance))
}

// notifyFirstCopyZones has a planner tell the planners of other zones of unmet demand
// for items whose first copy is theirs to place.
func (p *Planner) notifyFirstCopyZones(now clock.Instant) {
	if !p.zonesNotifiedAt.IsZero() && now.Since(p.zonesNotifiedAt) < unmetReportInterval {
		return
	}
	zones := p.planningZones(now)
	told := map[string]bool{p.Self.Zone: true}
	for _, it := range p.Totals.Sum(now) {
		if it.Unmet == 0 || len(p.Pool.Ready(it.Name)) > 0 {
			continue
		}
		zone := p.firstCopyZone(zones, it.Name)
		if told[zone] {
			continue
		}
		told[zone] = true
		p.zonesNotifiedAt = now
		p.Tell(now, p.Members.Get(p.Records.LeaseHolder(zone).Instance))
	}
}

// DemandFor returns what the peer's planning needs to know: this instance's
// demand if it plans for this zone; what this zone lives on elsewhere if both
// are planners.
func (p *Planner) DemandFor(now clock.Instant, peer string) []demand.Item {
	other := p.Members.Get(peer)
	if other == nil || p.Records.LeaseHolder(other.Zone).Instance != peer {
		return nil
	}
	if other.Zone == p.Self.Zone {
		return p.Meter.Demand(now)
	}
	if !p.IsPlanner() {
		return nil
	}
	return p.demandOnZone(now, other.Zone)
}

// demandOnZone returns the zone's demand for items that it has not and that the
// other zone has ready, or is to place.
func (p *Planner) demandOnZone(now clock.Instant, zone string) []demand.Item {
	var items []demand.Item
	zones := p.planningZones(now)
	// Only what this zone's own callers ask for: what other planners reported
	// here must not come back to them as more demand.
	own := p.Totals.SumOf(now, func(name string) bool {
		other := p.Members.Get(name)
		return name == p.Self.Name || other != nil && other.Zone == p.Self.Zone
	})
	for _, it := range own {
		here := false
		there := false
		for _, r := range p.Pool.Ready(it.Name) {
			here = here || r.Zone == p.Self.Zone
			there = there || r.Zone == zone
		}
		if !here && (there || p.firstCopyZone(zones, it.Name) == zone) {
			items = append(items, it)
		}
	}
	return items
}

// HandleDemand takes in what a peer's callers ask for. The next plan is made at
// once if they wait.
func (p *Planner) HandleDemand(now clock.Instant, peer string, items []demand.Item) {
	p.Totals.Report(now, peer, items)
	for _, it := range items {
		if it.Unmet > 0 && p.IsPlanner() {
			p.planDue = now
			return
		}
	}
}

const (
	// otherZoneRounds is every how manyth exchange goes to another zone.
	otherZoneRounds = 4
	// plannerRounds is every how manyth exchange goes to the zone's planner,
	// which needs the demand.
	plannerRounds = 2
)

// NextPeer returns whom this instance exchanges with in a round: every so often
// the planner of the zone, and, as a planner, those of other zones; nil to leave
// it to the ring of neighbours.
func (p *Planner) NextPeer(_ clock.Instant, round int) *member.Peer {
	if round%otherZoneRounds == 0 {
		if peer := p.otherZonePeer(); peer != nil {
			return peer
		}
	}
	if round%plannerRounds == 1 {
		if peer := p.Members.Get(p.Records.LeaseHolder(p.Self.Zone).Instance); peer != nil && !peer.Leaving {
			return peer
		}
	}
	return nil
}

// otherZonePeer draws a peer of another zone. A planner draws other zones' planners, to
// tell them which of their models its zone lives on.
func (p *Planner) otherZonePeer() *member.Peer {
	others := p.Members.ZonePeers(false)
	if p.IsPlanner() {
		var planners []*member.Peer
		for _, peer := range others {
			if p.Records.LeaseHolder(peer.Zone).Instance == peer.Name {
				planners = append(planners, peer)
			}
		}
		if len(planners) > 0 {
			others = planners
		}
	}
	return member.Random(p.Rand, others)
}

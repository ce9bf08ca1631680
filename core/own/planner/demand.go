package planner

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/member"
)

// This file reports demand to planners: to the planner of this instance's zone, and from
// that planner to the planners of other zones whose copies this zone uses.

// unmetReportInterval is the minimum time between two reports of unmet demand to a
// planner. Without these reports a call for a model that is not loaded would wait for the
// next periodic exchange with the planner.
const unmetReportInterval = 500 * time.Millisecond

// ReportUnmet reports unmet demand to the zone's planner. If this instance is the planner,
// the next plan is due immediately. Calls within unmetReportInterval have no effect.
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

// notifyFirstCopyZones reports unmet demand to the planners of the other zones that place
// the first copies of the items.
func (p *Planner) notifyFirstCopyZones(now clock.Instant) {
	if !p.zonesNotifiedAt.IsZero() && now.Since(p.zonesNotifiedAt) < unmetReportInterval {
		return
	}
	zones := p.planningZones(now)
	notified := map[string]bool{p.Self.Zone: true}
	for _, it := range p.Totals.Sum(now) {
		if it.Unmet == 0 || len(p.Pool.Ready(it.Name)) > 0 {
			continue
		}
		zone := p.firstCopyZone(zones, it.Name)
		if notified[zone] {
			continue
		}
		notified[zone] = true
		p.zonesNotifiedAt = now
		p.Tell(now, p.Members.Get(p.Records.LeaseHolder(zone).Instance))
	}
}

// DemandFor returns the demand that the peer needs for planning. If the peer plans for
// this zone, it is the demand at this instance. If both are planners of different zones,
// it is the part of this zone's demand that the other zone serves.
func (p *Planner) DemandFor(now clock.Instant, peer string) []demand.Item {
	other := p.Members.Get(peer)
	if other == nil || p.Records.LeaseHolder(other.Zone).Instance != peer {
		return nil
	}
	if other.Zone == p.Self.Zone {
		return p.Meter.CurrentDemand(now)
	}
	if !p.IsPlanner() {
		return nil
	}
	return p.demandOnZone(now, other.Zone)
}

// demandOnZone returns this zone's demand for items that have no copy here and of which
// the other zone has a ready copy or places the first one.
func (p *Planner) demandOnZone(now clock.Instant, zone string) []demand.Item {
	var items []demand.Item
	zones := p.planningZones(now)
	// Only demand of this zone's own callers counts. Demand that other planners reported
	// here must not be reported back to them as additional demand.
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

// HandleDemand records the demand that a peer reported. If it includes unmet demand, the
// next plan is made immediately.
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
	// otherZoneRounds is the number of exchange rounds of which one goes to another zone.
	otherZoneRounds = 4
	// plannerRounds is the number of exchange rounds of which one goes to the zone's
	// planner, which needs the demand for its plan.
	plannerRounds = 2
)

// NextPeer returns the peer for this instance's exchange in a round: in fixed rounds a
// peer of another zone (for a planner, that zone's planner) or the zone's planner. It
// returns nil in all other rounds, or if there is no such peer; the exchange then goes to
// a neighbour on the ring.
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

// otherZonePeer returns a random peer of another zone. A planner prefers the planners of
// other zones, to report to them which of their models its zone uses.
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

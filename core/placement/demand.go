package placement

import (
	"slices"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/demand"
)

// How the placer learns the demand.

// DemandFor returns this instance's demand if the peer needs it to place models,
// otherwise nil. The peer needs it if it is the placer or, in a large fleet, may stand in
// for a placer that does not answer.
func (p *Placer) DemandFor(now clock.Instant, peer string) []demand.Item {
	if peer == "" {
		return nil
	}
	standsIn := !p.Roster.FullMesh() && p.placerUnresponsive() && slices.Contains(p.Roster.InZone(now, p.Self.Zone), peer)
	if p.Registry.Placer().Name != peer && !standsIn {
		return nil
	}
	return p.OwnDemand.Items(now)
}

// HandleDemand records the demand of a peer's callers. If it contains misses, models are
// placed at once.
func (p *Placer) HandleDemand(now clock.Instant, peer string, items []demand.Item) {
	p.AllDemand.Report(now, peer, items)
	if !p.Registry.IsPlacer(now) && !p.PlacerUnreachable(now) {
		return
	}
	if slices.ContainsFunc(items, func(it demand.Item) bool { return it.Absent > 0 }) {
		p.due = now
	}
}

// ReportMiss notifies the placer soon of a call that found no copy of its model.
func (p *Placer) ReportMiss(now clock.Instant) {
	if !p.missReportedAt.IsZero() && now.Since(p.missReportedAt) < missReportInterval {
		return
	}
	p.missReportedAt = now
	switch {
	case p.Registry.IsPlacer(now):
		p.due = now
	case p.placerUnresponsive() && !p.Roster.FullMesh():
		p.Tell(now, p.NextWatcher(now, p.Self.Zone))
	default:
		p.Tell(now, p.Members.Get(p.Registry.Placer().Name))
	}
}

package placement

import (
	"slices"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/demand"
)

// How the placer hears what callers ask for.

// DemandFor returns what a peer needs to know to place models, nil if it does
// not place any: it is the placer, or in a large fleet may stand in for one that
// does not answer.
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

// HandleDemand takes in what a peer's callers ask for. Models are placed at once
// if they found one nowhere.
func (p *Placer) HandleDemand(now clock.Instant, peer string, items []demand.Item) {
	p.AllDemand.Report(now, peer, items)
	if !p.Registry.IsPlacer(now) && !p.PlacerUnreachable(now) {
		return
	}
	if slices.ContainsFunc(items, func(it demand.Item) bool { return it.Absent > 0 }) {
		p.due = now
	}
}

// ReportMiss lets the placer know soon of a call that found its model nowhere.
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

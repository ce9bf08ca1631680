package planner

import (
	"math"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/own/plan"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// A zoneView holds what planning needs from one configuration revision, precomputed.
type zoneView struct {
	items    map[string]plan.Item
	assigned map[string]bool // items that this zone keeps resident without demand
	zones    []string        // the zones with engines
}

// newZoneView assigns each model to a zone by rendezvous hashing, so that zones agree
// without messages on which of them keeps a model that has no demand. An adapter is
// assigned with its model.
func newZoneView(s *config.Snapshot, zone string) zoneView {
	doc := s.Document()
	zones := engineZones(doc)
	view := zoneView{items: map[string]plan.Item{}, assigned: map[string]bool{}, zones: zones}
	attached := map[string]bool{}
	for _, svc := range doc.Services {
		for _, v := range svc.Versions {
			attached[v.Model] = true
			attached[v.Adapter] = true
		}
	}
	for _, model := range doc.Models {
		view.items[model.Name] = plan.Item{Name: model.Name, MiB: model.MemoryMiB}
		view.assigned[model.Name] = attached[model.Name] && assignedZone(zones, model.Name) == zone
	}
	for _, a := range doc.Adapters {
		view.items[a.Name] = plan.Item{Name: a.Name, Base: a.Model, MiB: a.MemoryMiB}
		view.assigned[a.Name] = attached[a.Name] && assignedZone(zones, a.Model) == zone
	}
	return view
}

// engineZones returns the zones that have engines, in the order of the document.
func engineZones(doc config.Document) []string {
	hasEngine := map[string]bool{}
	for _, e := range doc.Engines {
		hasEngine[e.Zone] = true
	}
	var zones []string
	for _, z := range doc.Zones {
		if hasEngine[z.Name] {
			zones = append(zones, z.Name)
		}
	}
	return zones
}

// assignedZone returns the zone that keeps a model that has no demand.
func assignedZone(zones []string, model string) string {
	key := rendezvous.Key(model)
	best := ""
	var bestScore uint64
	for _, z := range zones {
		if score := rendezvous.Score(key, z); best == "" || score > bestScore {
			best = z
			bestScore = score
		}
	}
	return best
}

// planInput returns the input for a plan at now.
func (p *Planner) planInput(now clock.Instant) plan.Input {
	doc := p.Config.Document()
	in := plan.Input{
		Items:       p.zone.items,
		Demand:      p.Totals.Sum(now),
		Assigned:    p.zone.assigned,
		MoveCost:    doc.Residency.MoveCost,
		MinimumStay: doc.Residency.MinimumStay,
		Loads:       p.allowedLoads(now, doc.WeightStore),
	}
	in.Elsewhere, in.Covered = p.remoteCopies(now)
	zones := p.planningZones(now)
	in.Leads = func(item string) bool { return p.firstCopyZone(zones, item) == p.Self.Zone }
	period := time.Duration(doc.Residency.MoveCost * float64(starvationInterval))
	in.Starve = p.starvingServedAt.IsZero() || now.Since(p.starvingServedAt) >= period
	for _, r := range p.Pool.All() {
		if l := p.ledgers[r.Name]; l != nil {
			in.Engines = append(in.Engines, p.planEngine(now, r))
		}
	}
	return in
}

// planEngine returns the planning input for an engine that has a ledger.
func (p *Planner) planEngine(now clock.Instant, r *pool.Replica) plan.Engine {
	l := p.ledgers[r.Name]
	e := plan.Engine{
		Name:      r.Name,
		Domain:    r.Domain,
		Sequences: r.Concurrent,
		Free:      l.AvailableMiB(),
		Capacity:  r.MemoryMiB,
		Usable:    l.StateKnown() && r.Usable() && p.mayOrder(now, r),
	}
	if p.Options.Disable.Booking {
		e.Free = p.reportedFree(r)
	}
	for _, item := range l.Items() {
		res := plan.Resident{Name: item, Settled: l.Phase(item) == pool.Ready && !l.Pinned(item)}
		if since, ok := p.residentSince[placement{r.Name, item}]; ok {
			res.Since = now.Since(since)
		}
		e.Residents = append(e.Residents, res)
	}
	return e
}

// reportedFree returns the free memory in MiB by the engine's last report alone. Only
// tests use it, to show that this is not enough.
func (p *Planner) reportedFree(r *pool.Replica) int64 {
	free := r.MemoryMiB
	for _, it := range r.Residency.Items {
		free -= p.Config.ItemMemoryMiB(it.Name)
	}
	return free
}

// starvationInterval is the time, at a move cost of 1, between two occasions on which a
// zone frees memory for a starving item whose value alone would not justify it.
const starvationInterval = 15 * time.Second

// planningZones returns the zones with engines that are known to have a planner, and
// always this one.
func (p *Planner) planningZones(now clock.Instant) []string {
	var zones []string
	for _, z := range p.zone.zones {
		if z == p.Self.Zone || p.Records.LeaseHolder(z).Instance != "" && p.zoneReachable(now, z) {
			zones = append(zones, z)
		}
	}
	return zones
}

// firstCopyZone returns the zone that places the first copy of an item. For an adapter it
// is the zone of its model.
func (p *Planner) firstCopyZone(zones []string, item string) string {
	if base := p.zone.items[item].Base; base != "" {
		item = base
	}
	return assignedZone(zones, item)
}

// remoteCopies counts the ready copies in other zones from which a message was received
// recently, and those of them in zones that rendezvous hashing ranks before this one.
func (p *Planner) remoteCopies(now clock.Instant) (all, covered map[string]int) {
	all = map[string]int{}
	covered = map[string]int{}
	reachable := map[string]bool{}
	for _, z := range p.Config.Document().Zones {
		reachable[z.Name] = p.zoneReachable(now, z.Name)
	}
	for name := range p.zone.items {
		key := rendezvous.Key(name)
		own := rendezvous.Score(key, p.Self.Zone)
		for _, r := range p.Pool.Ready(name) {
			if r.Zone == p.Self.Zone || !r.Usable() || !reachable[r.Zone] || r.Ejected(now) {
				continue
			}
			all[name]++
			if rendezvous.Score(key, r.Zone) > own {
				covered[name]++
			}
		}
	}
	return all, covered
}

// zoneReachable reports whether a message from any instance of the zone was received
// recently.
func (p *Planner) zoneReachable(now clock.Instant, zone string) bool {
	for _, peer := range p.Members.Peers() {
		if peer.Zone == zone && peer.HeardWithin(now, maxSilentExchanges*p.Options.ExchangeEvery) {
			return true
		}
	}
	return false
}

// maxSilentExchanges is the number of exchange periods without a message from a zone
// after which its copies no longer count.
const maxSilentExchanges = 8

// allowedLoads returns how many loads may start now within this zone's guaranteed share
// of the weight store, both in rate and in concurrent loads. The share is known without a
// message, so it also holds while the zone is cut off.
func (p *Planner) allowedLoads(now clock.Instant, w config.WeightStore) int {
	b := &p.loads
	share := 1 / float64(max(1, len(p.zone.zones)))
	rate := w.LoadsPerSecond * share
	b.tokens = min(b.tokens+rate*now.Since(b.refilledAt).Seconds(), max(1, rate))
	b.refilledAt = now
	maxConcurrent := max(1, int(math.Floor(float64(w.MaxConcurrentLoads)*share)))
	loading := 0
	for _, l := range p.ledgers {
		loading += l.LoadsInProgress()
	}
	return max(0, min(int(b.tokens), maxConcurrent-loading))
}

// Package watchers decides which instances of a fleet watch the platform's store.
//
// In a small fleet every instance does. In a large one only a few instances of
// each availability zone do, and the others receive updates from them, since a
// pending watch costs the store's operators as much as any other call. Only
// instances that watch own engines and place models.
//
// Every instance computes the Roster from its own view, without messages. Views
// may differ for some seconds. During that time one instance too many watches, or
// one too few. In the latter case others start to watch when the updates from their
// peers become too old (core/watch).
package watchers

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// FullMeshLimit is the largest number of instances at which every instance
// exchanges with every other. With 16 instances and four rounds a second, each
// takes part in 60 exchanges a second.
const FullMeshLimit = 16

// KeyPrefix, followed by the name of a zone, is the rendezvous key by which the
// zone's watchers are ranked.
const KeyPrefix = "watch/"

// cacheTTL is how long the computed watchers are reused. Computing them at every
// step took 8% of a busy instance's time (docs/measurements.md).
const cacheTTL = 200 * time.Millisecond

// A Roster computes which instances watch. Its exported fields must be set before
// use.
type Roster struct {
	Self      member.Identity
	Options   *option.Options
	Members   *member.Table
	Instances func() map[string]registry.Instance // instances with a record, by name

	cachedAt clock.Instant
	byZone   map[string][]string // cached result of InZone, by zone
}

// FullMesh reports whether the fleet is small enough that every instance exchanges
// with every other, and that every instance watches.
func (r *Roster) FullMesh() bool {
	return r.Options.MeshEvery > 0 && r.Members.Size() <= FullMeshLimit
}

// InZone returns the names of the instances of a zone that watch, in the order of
// their rank.
func (r *Roster) InZone(now clock.Instant, zone string) []string {
	if r.byZone == nil || now.Since(r.cachedAt) >= cacheTTL {
		r.cachedAt = now
		r.byZone = map[string][]string{}
	}
	names, ok := r.byZone[zone]
	if !ok {
		names = r.rankedInstances(now, zone)
		if !r.FullMesh() && len(names) > r.Options.Watchers {
			names = names[:r.Options.Watchers]
		}
		r.byZone[zone] = names
	}
	return names
}

// IncludesSelf reports whether this instance is one of the watchers of its zone.
func (r *Roster) IncludesSelf(now clock.Instant) bool {
	return slices.Contains(r.InZone(now, r.Self.Zone), r.Self.Name)
}

// rankedInstances returns the instances of a zone that have a record and are live,
// sorted by decreasing CPU quota and then by rendezvous hashing. Instances with a fifth
// of a core that became watchers lagged behind in all their other work.
func (r *Roster) rankedInstances(now clock.Instant, zone string) []string {
	processors := map[string]float64{}
	if zone == r.Self.Zone {
		processors[r.Self.Name] = r.Self.Processor
	}
	for name, i := range r.Instances() {
		if i.Zone != zone || name == r.Self.Name {
			continue
		}
		if p := r.Members.Get(name); p != nil && p.Live(now) {
			processors[name] = i.Processor
		}
	}
	names := slices.Sorted(maps.Keys(processors))
	key := rendezvous.Key(KeyPrefix + zone)
	sort.SliceStable(names, func(i, j int) bool {
		a, b := names[i], names[j]
		if processors[a] != processors[b] {
			return processors[a] > processors[b]
		}
		return rendezvous.Score(key, a) > rendezvous.Score(key, b)
	})
	return names
}

// Zones returns the zones that have instances, sorted by name.
func (r *Roster) Zones() []string {
	seen := map[string]bool{r.Self.Zone: true}
	for _, i := range r.Instances() {
		seen[i.Zone] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

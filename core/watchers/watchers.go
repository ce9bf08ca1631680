// Package watchers decides which instances of a fleet keep a watch of the
// platform's store.
//
// In a small fleet every instance does. In a large one a few instances of each
// availability zone do and the others hear from them, since a call that waits at
// the store costs its operators as much as any other. Only instances that watch
// own engines and place models.
//
// Every instance works the Roster out from its own view, without a message.
// Views may differ for some seconds: then one instance too many watches, or one
// too few until its peers' news grows old.
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

// FullMeshLimit is how many instances a fleet may have for each to exchange with
// every other: at 16 instances and four rounds a second each takes part in 60
// exchanges a second.
const FullMeshLimit = 16

// KeyPrefix is the rendezvous key of the watch, before the name of the zone.
const KeyPrefix = "watch/"

// cacheTTL is how long what was worked out is used again. It was worked out at
// every step before, which took 8% of a busy instance's time
// (docs/measurements.md).
const cacheTTL = 200 * time.Millisecond

// A Roster tells which instances watch. The fields must be set before its use.
type Roster struct {
	Self      member.Identity
	Options   *option.Options
	Members   *member.Table
	Instances func() map[string]registry.Instance // that have a record, by name

	cachedAt clock.Instant
	byZone   map[string][]string
}

// FullMesh reports whether the fleet is small enough for every instance to
// exchange with every other, and to watch.
func (r *Roster) FullMesh() bool {
	return r.Options.MeshEvery > 0 && r.Members.Size() <= FullMeshLimit
}

// InZone returns the instances of a zone that keep a watch, the most suited first.
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

// IncludesSelf reports whether this instance is one of them.
func (r *Roster) IncludesSelf(now clock.Instant) bool {
	return slices.Contains(r.InZone(now, r.Self.Zone), r.Self.Name)
}

// rankedInstances returns the instances of a zone that have a record and answer: those
// with the largest share of a processor first, then by rendezvous hashing. The
// tasks of a watcher once fell to instances with a fifth of a core, which then
// lagged behind in everything else.
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

// Zones returns the zones that have instances, in order.
func (r *Roster) Zones() []string {
	seen := map[string]bool{r.Self.Zone: true}
	for _, i := range r.Instances() {
		seen[i.Zone] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

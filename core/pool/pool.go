// Package pool holds an entry instance's view of every upstream: its configuration, its latest
// announcement and reports, the instance's calls in flight there, and whether it may receive
// new work.
//
// Invariants: a replica's residency only moves forward in the engine's own order (boot, then
// change), regardless of the source of a report; a replica that any source reported as leaving
// stays so until it is seen under a later boot or as another incarnation; the index by item lists
// exactly the replicas that have the item ready.
//
// The pool has no locks. It belongs to the goroutine that runs the state machine.
package pool

import (
	"math"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/config"
)

// A Pool holds the replicas of one configuration revision. The state of a replica outlives the
// revision.
type Pool struct {
	replicas        map[string]*Replica
	sorted          []*Replica            // by name
	ready           map[string][]*Replica // by item; each list is ordered by name
	byService       map[string][]*Replica // plain or announced replicas by service
	capacityChanges uint64                // rises with every change that could free capacity
	supersessions   []Supersession        // not yet taken
}

// New returns an empty pool.
func New() *Pool {
	return &Pool{
		replicas:  map[string]*Replica{},
		ready:     map[string][]*Replica{},
		byService: map[string][]*Replica{},
	}
}

// Apply installs the upstreams of a revision. The state of a replica is kept while its address
// is unchanged; another address means another process.
func (p *Pool) Apply(s *config.Snapshot) {
	doc := s.Document()
	next := make(map[string]*Replica, len(doc.Engines))
	for _, e := range doc.Engines {
		p.carryOver(next, Spec{
			Name: e.Name, Address: e.Address, Zone: e.Zone, Domain: e.Domain, Kind: Engine,
			Concurrent: e.Sequences, MemoryMiB: e.MemoryMiB, ChecksFence: e.ChecksFence,
		})
	}
	for _, svc := range doc.Services {
		for _, r := range svc.Replicas {
			p.carryOver(next, Spec{
				Name: r.Name, Address: r.Address, Zone: r.Zone, Domain: r.Domain, Kind: Plain,
				Service: svc.Name, Concurrent: r.MaxConcurrent,
			})
		}
	}
	for name, r := range p.replicas {
		if r.Announced {
			next[name] = r
		}
	}
	p.replicas = next
	p.reindex()
}

// carryOver adds a replica to next. It keeps the state of a known replica with the same address
// and kind.
func (p *Pool) carryOver(next map[string]*Replica, spec Spec) {
	old, ok := p.replicas[spec.Name]
	if !ok || old.Address != spec.Address || old.Kind != spec.Kind {
		next[spec.Name] = newReplica(spec)
		return
	}
	old.Spec = spec
	next[spec.Name] = old
}

// reindex rebuilds the order and the indexes of all replicas.
func (p *Pool) reindex() {
	p.sorted = p.sorted[:0]
	clear(p.ready)
	clear(p.byService)
	for _, r := range p.replicas {
		p.sorted = append(p.sorted, r)
	}
	sort.Slice(p.sorted, func(i, j int) bool { return p.sorted[i].Name < p.sorted[j].Name })
	for _, r := range p.sorted {
		if r.Kind == Plain || r.Announced {
			p.byService[r.Service] = append(p.byService[r.Service], r)
		}
		for item, phase := range r.items {
			if phase == Ready {
				p.ready[item] = append(p.ready[item], r)
			}
		}
	}
	p.capacityChanges++
}

// Get returns the replica with this name, or nil if there is none.
func (p *Pool) Get(name string) *Replica { return p.replicas[name] }

// All returns all replicas ordered by name. The caller must not modify the slice.
func (p *Pool) All() []*Replica { return p.sorted }

// Ready returns the replicas that have item ready, whether they are usable or not.
func (p *Pool) Ready(item string) []*Replica { return p.ready[item] }

// Serving returns the replicas of a plain or announced service, whether they are usable or not.
func (p *Pool) Serving(service string) []*Replica { return p.byService[service] }

// CapacityChanges returns a counter that rises with every change that could let a waiting call
// proceed.
func (p *Pool) CapacityChanges() uint64 { return p.capacityChanges }

// NoteCapacityChange records a change outside the pool that could let a waiting call proceed.
func (p *Pool) NoteCapacityChange() { p.capacityChanges++ }

// ObserveResidency records an engine's report of its items, from any source, and reports
// whether it was new.
func (p *Pool) ObserveResidency(now clock.Instant, name string, res Residency) bool {
	r := p.replicas[name]
	if r == nil || !res.Newer(r.Residency) || !r.MayBeIncarnation(res.Born) {
		return false
	}
	r.resetOnReboot(res.Boot)
	if res.Leaving {
		r.reportedLeaving = true
		r.leavingBoot = res.Boot
	}
	old := r.items
	r.Residency = res
	clear(r.refused)
	r.reportedAt = now
	if r.Announced {
		p.mergeItems(r)
	} else {
		r.items = make(map[string]ItemPhase, len(res.Items))
		for _, it := range res.Items {
			r.items[it.Name] = it.Phase
		}
	}
	p.reindexItems(r, old)
	p.capacityChanges++
	return true
}

// resetOnReboot clears the state that does not survive a later boot.
func (r *Replica) resetOnReboot(boot uint64) {
	if boot <= r.Residency.Boot || r.Announced {
		return // a restarted announced replica has another name or Born, see Announce
	}
	if boot > r.leavingBoot {
		r.reportedLeaving = false
		r.listedLeaving = false
	}
	r.failures = 0
	r.ejections = 0
	r.ejectedUntil = clock.Instant{}
	r.load = Load{}
	r.loadAt = clock.Instant{}
}

// reindexItems updates the index by item after r's items changed from old.
func (p *Pool) reindexItems(r *Replica, old map[string]ItemPhase) {
	for item, phase := range old {
		if phase == Ready && r.items[item] != Ready {
			p.ready[item] = removeReplica(p.ready[item], r)
		}
	}
	for item, phase := range r.items {
		if phase == Ready && old[item] != Ready {
			p.ready[item] = insertReplica(p.ready[item], r)
		}
	}
}

func removeReplica(list []*Replica, r *Replica) []*Replica {
	out := make([]*Replica, 0, len(list))
	for _, x := range list {
		if x != r {
			out = append(out, x)
		}
	}
	return out
}

func insertReplica(list []*Replica, r *Replica) []*Replica {
	out := append(removeReplica(list, r), r)
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// ObserveLoad records a reported load and reports whether it was new.
func (p *Pool) ObserveLoad(now clock.Instant, name string, load Load) bool {
	r := p.replicas[name]
	if r == nil || !load.Newer(r.load) {
		return false
	}
	r.load = load
	r.loadAt = now
	r.ownAtLoad = len(r.inFlight)
	p.capacityChanges++
	return true
}

// LastLoad returns the latest reported load of the replica.
func (r *Replica) LastLoad() Load { return r.load }

// ObserveListed records whether the platform's list shows the replica as leaving. An entry
// without leaving does not revoke an earlier one, because the list lags.
func (p *Pool) ObserveListed(name string, leaving bool) {
	r := p.replicas[name]
	if r == nil || !leaving || r.listedLeaving {
		return
	}
	r.listedLeaving = true
	r.leavingBoot = max(r.leavingBoot, r.Residency.Boot)
	p.capacityChanges++
}

// ObserveLeaving records that the replica was reported as leaving by a source other than its
// residency and the list, such as a response header.
func (p *Pool) ObserveLeaving(name string) {
	r := p.replicas[name]
	if r == nil {
		return
	}
	r.reportedLeaving = true
	r.leavingBoot = max(r.leavingBoot, r.Residency.Boot)
}

// CallFailed records that a call sent to the replica at started failed there.
func (p *Pool) CallFailed(now clock.Instant, r *Replica, call uint64, started clock.Instant) {
	wasEjected := r.Ejected(now)
	r.End(now, call, started, true)
	if r.Ejected(now) && !wasEjected {
		p.NoteCapacityChange()
	}
}

// decay returns the fraction of an amount that remains after age, for a half-life.
func decay(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}

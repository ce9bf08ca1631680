// Package baseline provides simpler ways to route and to plan residency, to
// measure the product against. They are plugged into the seams of
// core/instance and are never part of the product's binaries.
package baseline

import (
	"fmt"
	"math/rand/v2"
	"sort"

	"github.com/birchdrift/birchdrift/core/book"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/core/plan"
	"github.com/birchdrift/birchdrift/core/route"
)

// Names of the baselines; Product changes nothing.
const (
	Product    = "product"
	RoundRobin = "round-robin"
	Least      = "least-loaded"
	Two        = "two-choices"
	LRU        = "lru"
	Static     = "static"
)

// Apply plugs the named baselines into opt.
func Apply(opt *instance.Options, routing, residency string) error {
	switch routing {
	case Product:
	case RoundRobin:
		opt.Pick = roundRobin()
	case Least:
		opt.Pick = least
	case Two:
		opt.Pick = twoChoices()
	default:
		return fmt.Errorf("no routing baseline %q", routing)
	}
	switch residency {
	case Product:
	case LRU:
		opt.Plan = lru
	case Static:
		opt.Plan = static
	default:
		return fmt.Errorf("no residency baseline %q", residency)
	}
	return nil
}

func roundRobin() func([]route.Estimate) int {
	n := 0
	return func(all []route.Estimate) int {
		n++
		return n % len(all)
	}
}

func least(all []route.Estimate) int {
	best := 0
	for i, e := range all {
		if e.Replica.InFlight() < all[best].Replica.InFlight() {
			best = i
		}
	}
	return best
}

func twoChoices() func([]route.Estimate) int {
	rng := rand.New(rand.NewPCG(1, 2))
	return func(all []route.Estimate) int {
		a, b := rng.IntN(len(all)), rng.IntN(len(all))
		if all[b].Replica.InFlight() < all[a].Replica.InFlight() {
			return b
		}
		return a
	}
}

// static loads models in their order of popularity at the start, which is the
// order of their names, and never moves anything again.
func static(in plan.Input) []plan.Step {
	held := holds(in)
	var steps []plan.Step
	for _, name := range sortedItems(in) {
		if !in.Home[name] || held[name] {
			continue
		}
		steps = append(steps, fill(in, name)...)
	}
	return limit(steps, in.Loads)
}

// lru loads what is asked for and absent, and drops what was asked for least
// recently to make room.
func lru(in plan.Input) []plan.Step {
	held := holds(in)
	idle := map[string]demand.Item{}
	for _, d := range in.Demand {
		idle[d.Name] = d
	}
	var steps []plan.Step
	for _, d := range in.Demand {
		if held[d.Name] || in.Elsewhere[d.Name] > 0 || (d.Waiting == 0 && d.Unmet == 0) {
			continue
		}
		if s := fill(in, d.Name); len(s) > 0 {
			steps = append(steps, s...)
			continue
		}
		steps = append(steps, evict(in, d.Name, idle)...)
	}
	return limit(steps, in.Loads)
}

func holds(in plan.Input) map[string]bool {
	held := map[string]bool{}
	for _, e := range in.Engines {
		for _, r := range e.Residents {
			held[r.Name] = true
		}
	}
	return held
}

func sortedItems(in plan.Input) []string {
	var names []string
	for name := range in.Items {
		names = append(names, name)
	}
	// Models before adapters, by the number their names end in.
	sort.Slice(names, func(i, j int) bool {
		a, b := in.Items[names[i]], in.Items[names[j]]
		if (a.Base == "") != (b.Base == "") {
			return a.Base == ""
		}
		return a.Name < b.Name
	})
	return names
}

// fill places an item, and its model if need be, where there is room.
func fill(in plan.Input, name string) []plan.Step {
	best := -1
	for i, e := range in.Engines {
		if !e.Usable || need(in, e, name) > e.Free {
			continue
		}
		if best < 0 || need(in, e, name) < need(in, in.Engines[best], name) ||
			need(in, e, name) == need(in, in.Engines[best], name) && e.Free > in.Engines[best].Free {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	var steps []plan.Step
	for _, it := range parts(in, in.Engines[best], name) {
		steps = append(steps, plan.Step{Op: book.Load, Engine: in.Engines[best].Name, Item: it.Name, MiB: it.MiB})
	}
	in.Engines[best].Free -= need(in, in.Engines[best], name)
	return steps
}

func parts(in plan.Input, e plan.Engine, name string) []plan.Item {
	it := in.Items[name]
	var out []plan.Item
	if it.Base != "" && !on(e, it.Base) {
		out = append(out, in.Items[it.Base])
	}
	return append(out, it)
}

func need(in plan.Input, e plan.Engine, name string) int64 {
	var sum int64
	for _, it := range parts(in, e, name) {
		sum += it.MiB
	}
	return sum
}

func on(e plan.Engine, name string) bool {
	for _, r := range e.Residents {
		if r.Name == name {
			return true
		}
	}
	return false
}

// evict drops the model that was asked for least recently, with its adapters,
// from whichever engine has it; the load follows in a later plan.
func evict(in plan.Input, name string, idle map[string]demand.Item) []plan.Step {
	engineAt, victim := -1, ""
	for i, e := range in.Engines {
		if !e.Usable {
			continue
		}
		for _, r := range e.Residents {
			if in.Items[r.Name].Base != "" || !r.Settled || r.Name == in.Items[name].Base {
				continue
			}
			if victim == "" || idleOf(idle, r.Name) > idleOf(idle, victim) {
				engineAt, victim = i, r.Name
			}
		}
	}
	if engineAt < 0 {
		return nil
	}
	e := in.Engines[engineAt]
	var steps []plan.Step
	for _, r := range e.Residents {
		if in.Items[r.Name].Base == victim {
			steps = append(steps, plan.Step{Op: book.Unload, Engine: e.Name, Item: r.Name, MiB: in.Items[r.Name].MiB})
		}
	}
	return append(steps, plan.Step{Op: book.Unload, Engine: e.Name, Item: victim, MiB: in.Items[victim].MiB})
}

func idleOf(idle map[string]demand.Item, name string) float64 {
	if d, ok := idle[name]; ok {
		return d.Idle.Seconds()
	}
	return 1e9
}

// limit keeps to the loads that the weight store's share allows.
func limit(steps []plan.Step, loads int) []plan.Step {
	var out []plan.Step
	for _, s := range steps {
		if s.Op == book.Load {
			if loads <= 0 {
				continue
			}
			loads--
		}
		out = append(out, s)
	}
	return out
}

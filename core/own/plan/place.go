package plan

import (
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/own/book"
)

// An option is one way to place a missing copy.
type option struct {
	engine     *engine
	loads      []Item     // items to load, base model first
	victims    []Resident // items to unload, adapters before their models
	cost       float64    // total value of the items to unload
	sameDomain int        // number of copies in the same failure domain
}

// place adds the steps of the best option, if its value justifies its cost.
func (p *planner) place(m missingCopy) {
	best, ok := p.bestOption(m)
	if !ok {
		return
	}
	moves := float64(len(best.loads) + len(best.victims))
	if m.optional && len(best.victims) > 0 {
		return
	}
	pays := m.value > hysteresis*best.cost+p.in.MoveCost*moves
	if len(best.victims) > 0 && !pays {
		// Only one such item is served at a time. An item that is starving although its
		// value justifies no unload has little demand; it may replace one popular item,
		// but not many.
		if !m.starving || p.starvingServed || !p.in.Starve {
			return
		}
		p.starvingServed = true
		m.atAnyCost = true
	}
	if len(best.victims) > 0 {
		p.unload(best, m)
		return
	}
	p.load(best, m)
}

// load adds the loads of an option that needs no unloads.
func (p *planner) load(o option, m missingCopy) {
	for _, it := range o.loads {
		if p.loadsLeft <= 0 {
			return
		}
		p.loadsLeft--
		o.engine.Free -= it.MiB
		o.engine.residents[it.Name] = &Resident{Name: it.Name}
		p.copies[it.Name]++
		if it.Base != "" {
			o.engine.adapters[it.Base]++
		}
		p.steps = append(p.steps, Step{Op: book.Load, Engine: o.engine.Name, Item: it.Name, MiB: it.MiB})
	}
}

// unload adds the unloads of an option. The loads follow in a later plan, when the engine
// reports that the memory is free. Until then the memory is not available to less
// valuable copies.
func (p *planner) unload(o option, m missingCopy) {
	for _, v := range o.victims {
		it := p.in.Items[v.Name]
		o.engine.freeingMiB += it.MiB
		delete(o.engine.residents, v.Name)
		p.copies[v.Name]--
		if it.Base != "" {
			o.engine.adapters[it.Base]--
		}
		p.steps = append(p.steps, Step{Op: book.Unload, Engine: o.engine.Name, Item: v.Name, MiB: it.MiB, Starving: m.atAnyCost})
	}
	p.loadsLeft-- // reserved for the load that follows
	for _, it := range o.loads {
		o.engine.Free -= it.MiB
		o.engine.residents[it.Name] = &Resident{Name: it.Name}
		p.copies[it.Name]++
	}
}

// bestOption returns the best way to place the missing copy, if there is one.
func (p *planner) bestOption(m missingCopy) (option, bool) {
	var best option
	found := false
	for _, e := range p.engines {
		o, ok := p.optionOn(e, m)
		if !ok {
			continue
		}
		if !found || o.better(best) {
			best = o
			found = true
		}
	}
	return best, found
}

// better reports whether o is preferred to than. The criteria are, in this order: no
// unloads, less value unloaded, fewer loads, fewer copies in the engine's failure domain,
// more free memory on the engine, and the lower engine name.
func (o option) better(than option) bool {
	if len(o.victims) == 0 != (len(than.victims) == 0) {
		return len(o.victims) == 0
	}
	if o.cost != than.cost {
		return o.cost < than.cost
	}
	if len(o.loads) != len(than.loads) {
		return len(o.loads) < len(than.loads)
	}
	if o.sameDomain != than.sameDomain {
		return o.sameDomain < than.sameDomain
	}
	if o.engine.Free != than.engine.Free {
		return o.engine.Free > than.engine.Free
	}
	return o.engine.Name < than.engine.Name
}

// optionOn returns how the missing copy could be placed on e, if that is possible.
func (p *planner) optionOn(e *engine, m missingCopy) (option, bool) {
	if _, here := e.residents[m.item]; here {
		return option{}, false
	}
	o := option{engine: e, sameDomain: p.copiesInDomain(e, m.item)}
	it := p.in.Items[m.item]
	if it.Base != "" {
		base, here := e.residents[it.Base]
		if here && base.Since == 0 && !base.Settled {
			// The base model is being loaded; its adapters are loaded after it.
			here = true
		}
		if !here {
			o.loads = append(o.loads, p.in.Items[it.Base])
		}
	}
	o.loads = append(o.loads, it)
	var need int64
	for _, l := range o.loads {
		need += l.MiB
	}
	if need <= e.Free {
		return o, true
	}
	if need > e.Capacity || e.freeingMiB > 0 {
		return option{}, false
	}
	return p.withVictims(o, it.Base, need-e.Free, m)
}

// copiesInDomain counts the copies of item on engines in the same failure domain as e.
func (p *planner) copiesInDomain(e *engine, item string) int {
	n := 0
	for _, other := range p.engines {
		if _, here := other.residents[item]; here && other.Domain == e.Domain {
			n++
		}
	}
	return n
}

// A victim is a group of items that can only be unloaded together.
type victim struct {
	group []Resident // a model with its adapters, or one adapter
	mib   int64
	value float64
}

// before orders victims by value per memory, the lowest first.
func (v victim) before(other victim) bool {
	a, b := v.value/float64(v.mib), other.value/float64(other.mib)
	if a != b {
		return a < b
	}
	return v.group[len(v.group)-1].Name < other.group[len(other.group)-1].Name
}

// withVictims adds to o the residents with the lowest value per memory whose unloading
// frees need MiB. It never unloads the model keep.
func (p *planner) withVictims(o option, keep string, need int64, m missingCopy) (option, bool) {
	var candidates []victim
	for name, r := range o.engine.residents {
		if name == keep || p.in.Items[name].Base != "" && p.in.Items[name].Base != keep {
			continue // unloaded with its model, unless the model is kept
		}
		group := p.group(o.engine, r)
		c := victim{group: group}
		droppable := true
		for _, g := range group {
			droppable = droppable && g.Settled && g.Since >= p.minStay(m)
			c.mib += p.in.Items[g.Name].MiB
			c.value += p.copyValue(g.Name, p.copies[g.Name], p.in.Covered[g.Name])
		}
		if droppable {
			candidates = append(candidates, c)
		}
	}
	sort.Slice(candidates, func(i, j int) bool { return candidates[i].before(candidates[j]) })
	for _, c := range candidates {
		if need <= 0 {
			break
		}
		need -= c.mib
		o.cost += c.value
		o.victims = append(o.victims, c.group...)
	}
	return o, need <= 0
}

// minStay returns how long an item must have been resident to be unloaded for m.
func (p *planner) minStay(m missingCopy) time.Duration {
	if m.starving {
		return min(starvingStay, p.in.MinimumStay)
	}
	return p.in.MinimumStay
}

// group returns the adapters of a model on the engine, followed by the model.
func (p *planner) group(e *engine, r *Resident) []Resident {
	var group []Resident
	if e.adapters[r.Name] > 0 {
		for name, other := range e.residents {
			if p.in.Items[name].Base == r.Name {
				group = append(group, *other)
			}
		}
		sort.Slice(group, func(i, j int) bool { return group[i].Name < group[j].Name })
	}
	return append(group, *r)
}

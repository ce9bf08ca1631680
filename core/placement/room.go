package placement

import "sort"

// Choosing the copies to evict, and the cost of losing them.

// chooseVictims chooses the copies to evict for a candidate on an engine, the cheapest
// first, and reports whether they make enough room.
func (p *planner) chooseVictims(o *choice, c candidate) bool {
	need := p.in.Models[c.model].MB - o.engine.FreeMB
	if need <= 0 {
		return true
	}
	type victim struct {
		model string
		mb    int64
		cost  float64
	}
	var victims []victim
	for _, c := range o.engine.Copies {
		if !c.Ready || c.Leaving || c.Age < p.in.MinimumStay {
			continue
		}
		victims = append(victims, victim{c.Model, p.in.Models[c.Model].MB, p.dropCost(c.Model)})
	}
	sort.Slice(victims, func(i, j int) bool {
		if victims[i].cost != victims[j].cost {
			return victims[i].cost < victims[j].cost
		}
		return victims[i].model < victims[j].model
	})
	for _, v := range victims {
		if need <= 0 {
			break
		}
		need -= v.mb
		o.cost += v.cost
		o.drop = append(o.drop, v.model)
	}
	return need <= 0
}

// dropCost returns the cost of dropping one copy of a model. The last copy of a model
// without calls may be dropped only if another engine has its weights on disk or in host
// memory, so that it can be loaded quickly when calls come.
func (p *planner) dropCost(model string) float64 {
	n := p.copies[model]
	callCost := callDropCost * p.in.Demand[model].Rate / float64(max(1, n))
	if n > 1 {
		return p.value(model, n) + callCost
	}
	cost := p.value(model, 1) + callCost
	if p.cached[model] <= 1 { // the engine that drops the copy is counted too
		cost += lastCachedCost
	}
	return cost
}

package placement

import "sort"

// What makes way for a copy, and what is lost with it.

// chooseVictims finds what must make way for a candidate on an engine, the cheapest first.
func (r *planner) chooseVictims(o *choice, c candidate) bool {
	need := r.in.Models[c.model].MB - o.engine.FreeMB
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
		if !c.Ready || c.Leaving || c.Age < r.in.MinimumStay {
			continue
		}
		victims = append(victims, victim{c.Model, r.in.Models[c.Model].MB, r.dropCost(c.Model)})
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

// dropCost returns what is lost with one copy of a model. The last copy of a
// model that nobody asks for may go only where another engine has its weights
// at hand, so that it is back soon when somebody does.
func (r *planner) dropCost(model string) float64 {
	n := r.copies[model]
	runs := callDropCost * r.in.Demand[model].Rate / float64(max(1, n))
	if n > 1 {
		return r.value(model, n) + runs
	}
	cost := r.value(model, 1) + runs
	if r.cached[model] <= 1 { // the one that drops it keeps a copy too
		cost += lastCachedCost
	}
	return cost
}

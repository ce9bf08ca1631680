package placement

// Which models get another copy, where, and what makes way: a pure function of
// an Input.
//
// The work that a model brings is measured in engine time a second. A model
// whose copies have more than TargetWork to do each gets another one, on the
// engine that has least to do and can have the model soonest: from its host
// memory, its disk, or last from the weight store, whose loads are limited and
// cost. A copy makes way when the others of its model can carry its work.
//
// Invariants: the last copy of a model is never dropped while anybody asks for
// the model; no engine is given a second change while one is under way; no
// placement takes more loads from the weight store than its Input allows.

import (
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/pool"
)

// Tunables of the placement.
const (
	// TargetWork is the work, in engine seconds a second, that one copy of a
	// model should have at most.
	TargetWork = 0.22
	// minValueRatio is by how much the value of a copy must exceed that of what makes way.
	minValueRatio = 1.5
	// minStoreValue is the least value of a copy that is loaded from the store.
	minStoreValue = 0.12
	// minCachedValue is the same for one whose weights the engine has at hand.
	minCachedValue = 0.04
	// callDropCost is the cost of dropping a copy of a model, for each call a
	// second that it serves: its runs must end first.
	callDropCost = 0.03
	// missValue is the value of the first copy of a model for each call a
	// second that finds none.
	missValue = 2.0
	// unusedValue is the value of the first copy of a model nobody asks for now.
	unusedValue = 0.06
	// spareValue is the value of a second copy of a model that has one: it
	// stands in when the first is lost.
	spareValue = 0.01
	// zoneBonus prefers an engine in a zone that has no copy of the model yet: a
	// zone may be cut off from the others.
	zoneBonus = 0.05
	// maxEngineWork is the work from which an engine is no place for more.
	maxEngineWork = 0.75
	// engineWorkWeight is what the work that an engine has already takes away
	// from its score.
	engineWorkWeight = 0.5
	// lastCachedCost keeps the last copy of a model whose weights no other
	// engine has at hand.
	lastCachedCost = 1
)

// A Model is what is known of a model's weights.
type Model struct {
	MB int64 // that they take on an engine
}

// A Demand is what callers ask of a model.
type Demand struct {
	Work   float64 // engine seconds a second
	Rate   float64 // calls a second
	Absent float64 // calls a second that found no copy
}

// A Copy is a model on an engine.
type Copy struct {
	Model   string
	Ready   bool          // else it is on its way
	Leaving bool          // it is on its way out
	Age     time.Duration // since it became ready
	// Uncarried says that its engine names a limit which is too small for the calls that ask
	// for it, so that it does not count.
	Uncarried bool
}

// An Engine is one engine as the placer knows it.
type Engine struct {
	Name     string
	Zone     string
	FreeMB   int64
	Copies   []Copy
	InMemory map[string]bool // models whose weights its host memory has
	OnDisk   map[string]bool // models whose weights its disk has
	// Open says that its owner can order a change of models now.
	Open bool
	// Sound says that calls are sent there; copies of others do not count.
	Sound bool
	// Limited says that it names how many requests a second it takes: Limit.
	Limited bool
	Limit   float64
}

// An Input is all that a placement depends on.
type Input struct {
	Engines     []Engine
	Models      map[string]Model
	Demand      map[string]Demand
	StoreLoads  int           // loads from the weight store that may begin now
	MinimumStay time.Duration // least age of a copy that makes way
	// Blind says that too little was heard of the demand to drop anything for
	// a model that nobody misses.
	Blind bool
	// OnlyAbsent has only models placed of which there is no copy and that
	// somebody asks for.
	OnlyAbsent bool
}

// A Change is one change of one engine: Drop makes way for Load. Either may be
// empty.
type Change struct {
	Engine string
	Load   string
	Drop   []string
	Source pool.WeightSource
	Value  float64 // of the load, for logs
	Cost   float64 // of the drops, for logs
	Work   float64 // that the model brings, for logs
	Copies int     // of the model before, for logs
}

// Plan returns the changes to begin now, the most valuable first.
func Plan(in Input) []Change {
	r := newPlanner(in)
	var changes []Change
	for _, c := range r.candidates() {
		if change, ok := r.place(c); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// A planner holds one placement in the making.
type planner struct {
	in         Input
	engines    []*engine
	copies     map[string]int            // that serve, or will
	zoneCopies map[string]map[string]int // copies by model, then by zone
	cached     map[string]int            // engines that have a model's weights and can be ordered
	storeLoads int
}

type engine struct {
	Engine
	work     float64
	changing bool // it has a change in this placement
}

func newPlanner(in Input) *planner {
	r := &planner{in: in, copies: map[string]int{}, zoneCopies: map[string]map[string]int{}, cached: map[string]int{}, storeLoads: in.StoreLoads}
	for _, e := range in.Engines {
		r.engines = append(r.engines, &engine{Engine: e})
		r.countCached(e)
		if !e.Sound {
			continue
		}
		for _, c := range e.Copies {
			if !c.Leaving && !c.Uncarried {
				r.addCopies(c.Model, e.Zone, 1)
			}
		}
	}
	for _, e := range r.engines {
		for _, c := range e.Copies {
			if !c.Leaving {
				e.work += r.workPerCopy(c.Model)
			}
		}
	}
	return r
}

// countCached notes the models whose weights an engine has at hand.
func (r *planner) countCached(e Engine) {
	if !e.Sound || !e.Open {
		return
	}
	for model, there := range e.OnDisk {
		if there {
			r.cached[model]++
		}
	}
	for model, there := range e.InMemory {
		if there && !e.OnDisk[model] {
			r.cached[model]++
		}
	}
}

// addCopies notes copies of a model that came or went in a zone.
func (r *planner) addCopies(model, zone string, n int) {
	r.copies[model] += n
	if r.zoneCopies[model] == nil {
		r.zoneCopies[model] = map[string]int{}
	}
	r.zoneCopies[model][zone] += n
}

// workPerCopy returns the work of one copy of a model.
func (r *planner) workPerCopy(model string) float64 {
	return r.in.Demand[model].Work / float64(max(1, r.copies[model]))
}

// A candidate is a copy that a model could do with.
type candidate struct {
	model string
	value float64
}

// value returns what copy number n of a model is worth: the work that it takes
// from the others, and more where there are none or they have too much to do.
func (r *planner) value(model string, n int) float64 {
	d := r.in.Demand[model]
	if n <= 1 {
		return unusedValue + d.Work + missValue*max(d.Absent, d.Rate)
	}
	before := d.Work / float64(n-1)
	after := d.Work / float64(n)
	value := workCost(before)*float64(n-1) - workCost(after)*float64(n)
	if n == 2 {
		value += spareValue
	}
	return value
}

// workCost is the cost of so much work on one copy: it grows faster than the
// work does, and steeply once there is more than one copy should have.
func workCost(work float64) float64 {
	x := work / TargetWork
	return TargetWork * x * x / 2
}

// candidates returns the copies that would be worth having, the most valuable
// first; of each model the next one only. What has too little value wherever its
// weights come from is left out, for each candidate is weighed on every engine.
func (r *planner) candidates() []candidate {
	var candidates []candidate
	for name := range r.in.Models {
		if r.in.OnlyAbsent && (r.copies[name] > 0 || r.in.Demand[name].Absent == 0) {
			continue
		}
		if value := r.value(name, r.copies[name]+1); value >= minCachedValue || r.copies[name] == 0 {
			candidates = append(candidates, candidate{model: name, value: value})
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if candidates[i].value != candidates[j].value {
			return candidates[i].value > candidates[j].value
		}
		return candidates[i].model < candidates[j].model
	})
	return candidates
}

// A choice is one way to place a candidate.
type choice struct {
	engine *engine
	source pool.WeightSource
	drop   []string
	cost   float64
	score  float64 // value less cost and what the engine's work takes away
}

func (r *planner) place(c candidate) (Change, bool) {
	var best choice
	found := false
	for _, e := range r.engines {
		o, ok := r.evaluate(e, c)
		if ok && (!found || o.score > best.score) {
			best = o
			found = true
		}
	}
	if !found {
		return Change{}, false
	}
	change := Change{
		Engine: best.engine.Name, Load: c.model, Drop: best.drop, Source: best.source,
		Value: c.value, Cost: best.cost, Work: r.in.Demand[c.model].Work, Copies: r.copies[c.model],
	}
	r.apply(best, c)
	return change, true
}

// apply has the placement go on as if the change were done.
func (r *planner) apply(o choice, c candidate) {
	o.engine.changing = true
	if o.source == pool.WeightStore {
		r.storeLoads--
	}
	r.addCopies(c.model, o.engine.Zone, 1)
	for _, model := range o.drop {
		r.addCopies(model, o.engine.Zone, -1)
	}
}

// evaluate returns how a candidate could be placed on an engine, if it pays.
func (r *planner) evaluate(e *engine, c candidate) (choice, bool) {
	if !e.Open || !e.Sound || e.changing || e.has(c.model) {
		return choice{}, false
	}
	o := choice{engine: e, source: e.source(c.model)}
	least := minCachedValue
	if o.source == pool.WeightStore {
		least = minStoreValue
		if r.storeLoads <= 0 {
			return choice{}, false
		}
	}
	first := r.copies[c.model] == 0
	if c.value < least && !first {
		return choice{}, false
	}
	if !first && e.work > maxEngineWork {
		return choice{}, false
	}
	if !r.chooseVictims(&o, c) {
		return choice{}, false
	}
	if r.in.Blind && len(o.drop) > 0 && r.in.Demand[c.model].Absent == 0 {
		return choice{}, false
	}
	if o.cost > 0 && c.value < minValueRatio*o.cost {
		return choice{}, false
	}
	if r.zoneCopies[c.model][e.Zone] == 0 {
		o.score += zoneBonus
	}
	o.score += c.value - o.cost - engineWorkWeight*e.work + sourceBonus[o.source]
	return o, true
}

// sourceBonus prefers engines that have the weights at hand.
var sourceBonus = map[pool.WeightSource]float64{pool.WeightStore: 0, pool.Disk: 0.5, pool.HostMemory: 0.6}

func (e *engine) has(model string) bool {
	for _, c := range e.Copies {
		if c.Model == model {
			return true
		}
	}
	return false
}

func (e *engine) source(model string) pool.WeightSource {
	switch {
	case e.InMemory[model]:
		return pool.HostMemory
	case e.OnDisk[model]:
		return pool.Disk
	default:
		return pool.WeightStore
	}
}

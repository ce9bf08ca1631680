package placement

// The placement plan, a pure function of an Input: which models get another copy, on
// which engine, and which copies are evicted for it.
//
// The work of a model is measured in engine seconds per second. A model whose copies have
// more than TargetWork each gets another copy, on the engine that has the least work and
// can load the model soonest: from its host memory, from its disk, or last from the
// weight store, whose loads are limited and costly. A copy is evicted if the other copies
// of its model can do its work.
//
// Invariants: the last copy of a model is never dropped while there are calls for the
// model; no engine gets a second change while one is in progress; no plan takes more
// loads from the weight store than its Input allows.

import (
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/pool"
)

// Parameters of the placement.
const (
	// TargetWork is the most work, in engine seconds per second, that one copy of a model
	// should have.
	TargetWork = 0.22
	// minValueRatio is the least ratio of the value of a copy to the cost of the copies
	// that are evicted for it.
	minValueRatio = 1.5
	// minStoreValue is the least value of a copy that is loaded from the weight store.
	minStoreValue = 0.12
	// minCachedValue is the least value of a copy whose weights are on the engine's disk
	// or in its host memory.
	minCachedValue = 0.04
	// callDropCost is the cost of dropping a copy, per call per second that it serves:
	// its running calls must end first.
	callDropCost = 0.03
	// missValue is the value of the first copy of a model, per call per second that finds
	// no copy.
	missValue = 2.0
	// unusedValue is the value of the first copy of a model without calls.
	unusedValue = 0.06
	// spareValue is the additional value of a second copy of a model: it takes over if
	// the first is lost.
	spareValue = 0.01
	// zoneBonus prefers an engine in a zone that has no copy of the model yet: a zone may
	// be partitioned from the others.
	zoneBonus = 0.05
	// maxEngineWork is the work, in engine seconds per second, above which an engine gets
	// no further copies.
	maxEngineWork = 0.75
	// engineWorkWeight is how much an engine's present work reduces its score.
	engineWorkWeight = 0.5
	// lastCachedCost protects the last copy of a model whose weights no other engine has
	// on disk or in host memory.
	lastCachedCost = 1
)

// A Model describes a model's weights.
type Model struct {
	MB int64 // memory that the weights take on an engine
}

// A Demand is the demand for a model.
type Demand struct {
	Work   float64 // engine seconds per second
	Rate   float64 // calls per second
	Absent float64 // misses: calls per second that found no copy
}

// A VersionMiss is a model that streams miss at engines of one version of their software.
type VersionMiss struct {
	Model    string
	Software string
	Absent   float64 // streams per second
}

// A Copy is a copy of a model on an engine.
type Copy struct {
	Model   string
	Ready   bool          // false if it is being loaded or unloaded
	Leaving bool          // it is being unloaded
	Age     time.Duration // time since it became ready
	// Uncarried reports that the rate limit of the engine is too small for the calls to
	// this copy, so that it does not count.
	Uncarried bool
}

// An Engine is the placer's view of an engine.
type Engine struct {
	Name     string
	Zone     string
	Software string // version of its software
	FreeMB   int64
	Copies   []Copy
	InMemory map[string]bool // models with weights in its host memory
	OnDisk   map[string]bool // models with weights on its disk
	// Open reports that its owner can order a change of models now.
	Open bool
	// Sound reports that calls are sent to the engine. Copies on engines that are not
	// sound do not count.
	Sound bool
	// Limited reports that the engine has a rate limit: Limit, in requests per second.
	Limited bool
	Limit   float64
}

// An Input is everything that a placement plan depends on.
type Input struct {
	Engines []Engine
	Models  map[string]Model
	Demand  map[string]Demand
	// VersionMisses are the models that streams miss at engines of the version that began them.
	VersionMisses []VersionMiss
	StoreLoads    int           // loads from the weight store that may start now
	MinimumStay   time.Duration // least age of a copy that may be evicted
	// Blind reports that the demand has not been observed for long enough to drop copies
	// for a model without misses.
	Blind bool
	// OnlyAbsent restricts the plan to models that have misses and no copy.
	OnlyAbsent bool
}

// A Change is one change of one engine: Drop is evicted to make room for Load. Either may
// be empty.
type Change struct {
	Engine   string
	Load     string
	Software string // version of the engines whose streams miss the model, "" if it is for all calls
	Drop     []string
	Source   pool.WeightSource
	Value    float64 // value of the load, for logs
	Cost     float64 // cost of the drops, for logs
	Work     float64 // work of the model, for logs
	Copies   int     // copies of the model before the change, for logs
}

// Plan returns the changes to start now, the most valuable first.
func Plan(in Input) []Change {
	p := newPlanner(in)
	var changes []Change
	for _, c := range p.candidates() {
		if change, ok := p.place(c); ok {
			changes = append(changes, change)
		}
	}
	return changes
}

// A planner holds the state of one placement plan.
type planner struct {
	in         Input
	engines    []*engine
	copies     map[string]int            // copies that serve calls, or will
	zoneCopies map[string]map[string]int // copies by model, then by zone
	cached     map[string]int            // number of engines that have a model's weights cached and can be sent orders
	storeLoads int
}

type engine struct {
	Engine
	work     float64
	changing bool // the plan has a change for it
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, copies: map[string]int{}, zoneCopies: map[string]map[string]int{}, cached: map[string]int{}, storeLoads: in.StoreLoads}
	for _, e := range in.Engines {
		p.engines = append(p.engines, &engine{Engine: e})
		p.countCached(e)
		if !e.Sound {
			continue
		}
		for _, c := range e.Copies {
			if !c.Leaving && !c.Uncarried {
				p.addCopies(c.Model, e.Zone, 1)
			}
		}
	}
	for _, e := range p.engines {
		for _, c := range e.Copies {
			if !c.Leaving {
				e.work += p.workPerCopy(c.Model)
			}
		}
	}
	return p
}

// countCached counts the models whose weights are on an engine's disk or in its host
// memory.
func (p *planner) countCached(e Engine) {
	if !e.Sound || !e.Open {
		return
	}
	for model, cached := range e.OnDisk {
		if cached {
			p.cached[model]++
		}
	}
	for model, cached := range e.InMemory {
		if cached && !e.OnDisk[model] {
			p.cached[model]++
		}
	}
}

// addCopies adds n copies of a model in a zone; n may be negative.
func (p *planner) addCopies(model, zone string, n int) {
	p.copies[model] += n
	if p.zoneCopies[model] == nil {
		p.zoneCopies[model] = map[string]int{}
	}
	p.zoneCopies[model][zone] += n
}

// workPerCopy returns the work of one copy of a model.
func (p *planner) workPerCopy(model string) float64 {
	return p.in.Demand[model].Work / float64(max(1, p.copies[model]))
}

// A candidate is an additional copy of a model.
type candidate struct {
	model    string
	software string // version of the engines that can take it, "" for any
	value    float64
}

// first reports whether the candidate is the first copy of its model, or the first at its version.
func (p *planner) first(c candidate) bool { return c.software != "" || p.copies[c.model] == 0 }

// value returns the value of the nth copy of a model: the work that it takes off the
// others, and more if there are none or they have too much work.
func (p *planner) value(model string, n int) float64 {
	d := p.in.Demand[model]
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

// workCost returns the cost of an amount of work on one copy. It grows with the square of
// the work, so it is steep above TargetWork.
func workCost(work float64) float64 {
	x := work / TargetWork
	return TargetWork * x * x / 2
}

// candidates returns the additional copies that are worth considering, the most valuable
// first and at most one of each model. Copies whose value is too small for any source of
// weights are left out, since each candidate is evaluated on every engine.
func (p *planner) candidates() []candidate {
	var candidates []candidate
	for name := range p.in.Models {
		if p.in.OnlyAbsent && (p.copies[name] > 0 || p.in.Demand[name].Absent == 0) {
			continue
		}
		if value := p.value(name, p.copies[name]+1); value >= minCachedValue || p.copies[name] == 0 {
			candidates = append(candidates, candidate{model: name, value: value})
		}
	}
	candidates = append(candidates, p.versionCandidates()...)
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		switch {
		case a.value != b.value:
			return a.value > b.value
		case a.model != b.model:
			return a.model < b.model
		default:
			return a.software < b.software
		}
	})
	return candidates
}

// versionCandidates returns the models that streams miss at engines of their version, unless one
// of these engines loads it. One that is said to hold it does not count: the instances that miss
// the model know first when an engine has ended.
func (p *planner) versionCandidates() []candidate {
	var candidates []candidate
	for _, m := range p.in.VersionMisses {
		if _, ok := p.in.Models[m.Model]; !ok || p.loadsAtVersion(m.Model, m.Software) {
			continue
		}
		candidates = append(candidates, candidate{model: m.Model, software: m.Software, value: missValue * m.Absent})
	}
	return candidates
}

// loadsAtVersion reports whether an engine of a version is loading a model.
func (p *planner) loadsAtVersion(model, software string) bool {
	for _, e := range p.engines {
		if !e.Sound || e.Software != software {
			continue
		}
		for _, c := range e.Copies {
			if c.Model == model && !c.Ready && !c.Leaving {
				return true
			}
		}
	}
	return false
}

// A choice is one possible placement of a candidate.
type choice struct {
	engine *engine
	source pool.WeightSource
	drop   []string
	cost   float64
	score  float64 // value less cost and the penalty for the engine's work
}

// place chooses the engine with the best score for a candidate and plans the change. It
// returns false if no engine is worth its cost.
func (p *planner) place(c candidate) (Change, bool) {
	var best choice
	found := false
	for _, e := range p.engines {
		o, ok := p.evaluate(e, c)
		if ok && (!found || o.score > best.score) {
			best = o
			found = true
		}
	}
	if !found {
		return Change{}, false
	}
	change := Change{
		Engine: best.engine.Name, Load: c.model, Software: c.software, Drop: best.drop, Source: best.source,
		Value: c.value, Cost: best.cost, Work: p.in.Demand[c.model].Work, Copies: p.copies[c.model],
	}
	p.apply(best, c)
	return change, true
}

// apply updates the planner as if the change were done.
func (p *planner) apply(o choice, c candidate) {
	o.engine.changing = true
	if o.source == pool.WeightStore {
		p.storeLoads--
	}
	p.addCopies(c.model, o.engine.Zone, 1)
	for _, model := range o.drop {
		p.addCopies(model, o.engine.Zone, -1)
	}
}

// evaluate returns the choice to place a candidate on an engine. It returns false if that
// is not possible or not worth its cost.
func (p *planner) evaluate(e *engine, c candidate) (choice, bool) {
	if !e.Open || !e.Sound || e.changing || e.has(c.model) || c.software != "" && c.software != e.Software {
		return choice{}, false
	}
	o := choice{engine: e, source: e.source(c.model)}
	minValue := minCachedValue
	if o.source == pool.WeightStore {
		minValue = minStoreValue
		if p.storeLoads <= 0 {
			return choice{}, false
		}
	}
	first := p.first(c)
	if c.value < minValue && !first {
		return choice{}, false
	}
	if !first && e.work > maxEngineWork {
		return choice{}, false
	}
	if !p.chooseVictims(&o, c) {
		return choice{}, false
	}
	if p.in.Blind && len(o.drop) > 0 && c.software == "" && p.in.Demand[c.model].Absent == 0 {
		return choice{}, false
	}
	if o.cost > 0 && c.value < minValueRatio*o.cost {
		return choice{}, false
	}
	if p.zoneCopies[c.model][e.Zone] == 0 {
		o.score += zoneBonus
	}
	o.score += c.value - o.cost - engineWorkWeight*e.work + sourceBonus[o.source]
	return o, true
}

// sourceBonus prefers engines that have the weights on disk or in host memory.
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

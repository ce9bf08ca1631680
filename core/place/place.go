// Package place provides the placement of models on engines that announce
// themselves: which models get another copy, where, and what makes way.
//
// The idea: the work that a model brings is measured in engine time a second. A
// model whose copies have more than TargetWork to do each gets another one, on
// the engine that has least to do and can have the model soonest: from its host
// memory, its disk, or last from the weight store, whose loads are limited and
// cost. A copy makes way when the others of its model can carry its work.
//
// Invariants: the last copy of a model is never dropped while anybody asks for
// the model; no engine is given a second change while one is under way; no step
// takes more loads from the weight store than Input allows.
package place

import (
	"sort"
	"time"
)

// Tunables of the placement.
const (
	// TargetWork is the work, in engine seconds a second, that one copy of a
	// model should have at most.
	TargetWork = 0.22
	// margin is by how much a copy must be worth more than what makes way.
	margin = 1.5
	// storeWorth is the least worth of a copy that is loaded from the store.
	storeWorth = 0.12
	// handWorth is the same for one whose weights the engine has at hand.
	handWorth = 0.04
	// runsCost is the cost of dropping a copy of a model, for each call a
	// second that it serves: its runs must end first.
	runsCost = 0.03
	// absentWorth is the worth of the first copy of a model for each call a
	// second that finds none.
	absentWorth = 2.0
	// restWorth is the worth of the first copy of a model nobody asks for now.
	restWorth = 0.06
	// spareWorth is the worth of a second copy of a model that has one: it
	// stands in when the first is lost.
	spareWorth = 0.01
	// zoneBonus prefers an engine in a zone that has no copy of the model yet:
	// a zone may be cut off from the others.
	zoneBonus = 0.05
	// fullEngine is the work from which an engine is no place for more.
	fullEngine = 0.75
)

// A Model is what is known of a model's weights.
type Model struct {
	Name   string
	MB     int64
	Store  time.Duration // load from the weight store
	Disk   time.Duration // load from the engine's disk
	Memory time.Duration // load from the engine's host memory
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
}

// An Engine is one engine as its placer knows it.
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

// A Source is where an engine takes a model's weights from.
type Source int

// The sources, slowest first.
const (
	FromStore Source = iota
	FromDisk
	FromMemory
)

// String returns the source as it stands in logs.
func (s Source) String() string {
	return [...]string{"store", "disk", "memory"}[s]
}

// A Change is one change of one engine: Drop makes way for Load. Either may be
// empty.
type Change struct {
	Engine string
	Load   string
	Drop   []string
	Source Source
	Worth  float64 // of the load, for logs
	Cost   float64 // of the drops, for logs
	Work   float64 // that the model brings, for logs
	Copies int     // of the model before, for logs
}

// Changes returns the changes to begin now, the most worth first.
func Changes(in Input) []Change {
	p := newPlacer(in)
	var changes []Change
	for _, w := range p.wants() {
		if c, ok := p.place(w); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

// A placer holds one placement in the making.
type placer struct {
	in      Input
	engines []*engine
	copies  map[string]int            // that serve, or will
	zones   map[string]map[string]int // copies by model, then by zone
	atHand  map[string]int            // engines that have a model's weights and can be ordered
	store   int
}

type engine struct {
	Engine
	work  float64
	taken bool // it has a change in this placement
}

func newPlacer(in Input) *placer {
	p := &placer{in: in, copies: map[string]int{}, zones: map[string]map[string]int{}, atHand: map[string]int{}, store: in.StoreLoads}
	for _, e := range in.Engines {
		p.engines = append(p.engines, &engine{Engine: e})
		p.countAtHand(e)
		if !e.Sound {
			continue
		}
		for _, c := range e.Copies {
			if !c.Leaving {
				p.count(c.Model, e.Zone, 1)
			}
		}
	}
	for _, e := range p.engines {
		for _, c := range e.Copies {
			if !c.Leaving {
				e.work += p.share(c.Model)
			}
		}
	}
	return p
}

// countAtHand notes the models whose weights an engine has at hand.
func (p *placer) countAtHand(e Engine) {
	if !e.Sound || !e.Open {
		return
	}
	for model, there := range e.OnDisk {
		if there {
			p.atHand[model]++
		}
	}
	for model, there := range e.InMemory {
		if there && !e.OnDisk[model] {
			p.atHand[model]++
		}
	}
}

// count notes copies of a model that came or went in a zone.
func (p *placer) count(model, zone string, n int) {
	p.copies[model] += n
	if p.zones[model] == nil {
		p.zones[model] = map[string]int{}
	}
	p.zones[model][zone] += n
}

// share returns the work of one copy of a model.
func (p *placer) share(model string) float64 {
	return p.in.Demand[model].Work / float64(max(1, p.copies[model]))
}

// A want is a copy that a model could do with.
type want struct {
	model string
	worth float64
}

// worth returns what copy number n of a model is worth: the work that it takes
// from the others, and more where there are none or they have too much to do.
func (p *placer) worth(model string, n int) float64 {
	d := p.in.Demand[model]
	if n <= 1 {
		return restWorth + d.Work + absentWorth*max(d.Absent, d.Rate)
	}
	before := d.Work / float64(n-1)
	after := d.Work / float64(n)
	worth := pressure(before)*float64(n-1) - pressure(after)*float64(n)
	if n == 2 {
		worth += spareWorth
	}
	return worth
}

// pressure is the cost of so much work on one copy: it grows faster than the
// work does, and steeply once there is more than one copy should have.
func pressure(work float64) float64 {
	x := work / TargetWork
	return TargetWork * x * x * 0.5
}

// wants returns the copies that would be worth having, most worth first; of
// each model the next one only. What is worth too little wherever its weights
// come from is left out, for each want is weighed on every engine.
func (p *placer) wants() []want {
	var wants []want
	for name := range p.in.Models {
		if p.in.OnlyAbsent && (p.copies[name] > 0 || p.in.Demand[name].Absent == 0) {
			continue
		}
		if w := p.worth(name, p.copies[name]+1); w >= handWorth || p.copies[name] == 0 {
			wants = append(wants, want{model: name, worth: w})
		}
	}
	sort.Slice(wants, func(i, j int) bool {
		if wants[i].worth != wants[j].worth {
			return wants[i].worth > wants[j].worth
		}
		return wants[i].model < wants[j].model
	})
	return wants
}

// An option is one way to place a want.
type option struct {
	engine *engine
	source Source
	drop   []string
	cost   float64
	score  float64 // worth less cost and what the engine's work takes away
}

func (p *placer) place(w want) (Change, bool) {
	var best option
	found := false
	for _, e := range p.engines {
		o, ok := p.option(e, w)
		if ok && (!found || o.score > best.score) {
			best = o
			found = true
		}
	}
	if !found {
		return Change{}, false
	}
	change := Change{
		Engine: best.engine.Name, Load: w.model, Drop: best.drop, Source: best.source,
		Worth: w.worth, Cost: best.cost, Work: p.in.Demand[w.model].Work, Copies: p.copies[w.model],
	}
	p.take(best, w)
	return change, true
}

// take has the placement go on as if the change were done.
func (p *placer) take(o option, w want) {
	o.engine.taken = true
	if o.source == FromStore {
		p.store--
	}
	p.count(w.model, o.engine.Zone, 1)
	for _, model := range o.drop {
		p.count(model, o.engine.Zone, -1)
	}
}

// option returns how a want could be placed on an engine, if it pays.
func (p *placer) option(e *engine, w want) (option, bool) {
	if !e.Open || !e.Sound || e.taken || e.has(w.model) {
		return option{}, false
	}
	o := option{engine: e, source: e.source(w.model)}
	least := handWorth
	if o.source == FromStore {
		least = storeWorth
		if p.store <= 0 {
			return option{}, false
		}
	}
	first := p.copies[w.model] == 0
	if w.worth < least && !first {
		return option{}, false
	}
	if !first && e.work > fullEngine {
		return option{}, false
	}
	if !p.room(&o, w) {
		return option{}, false
	}
	if p.in.Blind && len(o.drop) > 0 && p.in.Demand[w.model].Absent == 0 {
		return option{}, false
	}
	if o.cost > 0 && w.worth < margin*o.cost {
		return option{}, false
	}
	if p.zones[w.model][e.Zone] == 0 {
		o.score += zoneBonus
	}
	o.score += w.worth - o.cost - e.work*0.5 + sourceBonus[o.source]
	return o, true
}

// sourceBonus prefers engines that have the weights at hand.
var sourceBonus = map[Source]float64{FromStore: 0, FromDisk: 0.5, FromMemory: 0.6}

func (e *engine) has(model string) bool {
	for _, c := range e.Copies {
		if c.Model == model {
			return true
		}
	}
	return false
}

func (e *engine) source(model string) Source {
	switch {
	case e.InMemory[model]:
		return FromMemory
	case e.OnDisk[model]:
		return FromDisk
	default:
		return FromStore
	}
}

// room finds what must make way for a want on an engine, the cheapest first.
func (p *placer) room(o *option, w want) bool {
	need := p.in.Models[w.model].MB - o.engine.FreeMB
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

// dropCost returns what is lost with one copy of a model. The last copy of a
// model that nobody asks for may go only where another engine has its weights
// at hand, so that it is back soon when somebody does.
func (p *placer) dropCost(model string) float64 {
	n := p.copies[model]
	runs := runsCost * p.in.Demand[model].Rate / float64(max(1, n))
	if n > 1 {
		return p.worth(model, n) + runs
	}
	cost := p.worth(model, 1) + runs
	if p.atHand[model] <= 1 { // the one that drops it keeps a copy too
		cost += 1
	}
	return cost
}

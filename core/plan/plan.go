// Package plan provides the residency plan of one availability zone: which
// models and adapters should be loaded on, or dropped from, which engine.
//
// The idea: a copy of an item is worth the calls that would miss their target
// without it over a horizon, weighted by policy. A step is taken only when what
// it gains exceeds what it drops, by a margin, plus the cost that operators set
// for a move. Noise therefore moves nothing, and a demand that has nowhere to
// go grows in worth the longer it is unmet, so nothing starves.
//
// Invariants: Steps never asks for more memory than an engine has free; it
// drops an adapter before its model; it drops no item within its minimum stay,
// or a shorter one when another has been unmet for longer than Starving.
package plan

import (
	"math"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/book"
	"github.com/birchdrift/birchdrift/core/demand"
)

// Tunables of the plan.
const (
	// Horizon is how far ahead a copy's worth is counted.
	Horizon = 60 * time.Second
	// Starving is how long an item may be unmet before it goes ahead of every
	// worth; the stated bound of reachability builds on it.
	Starving   = 6 * time.Second
	hysteresis = 1.3
	// fill is the share of an engine's sequences that one copy should use.
	fill = 0.7
	// spareWorth is the worth left to a copy beyond those that demand needs.
	spareWorth = 0.02
	// remoteWorth is the share of worth left when another zone has a copy: the
	// way there costs a millisecond or two of a target of hundreds.
	remoteWorth = 0.02
	// starvingStay is how long even an item dropped for a starving one stays,
	// so that the calls that waited for it are served.
	starvingStay = 4 * time.Second
	// homeWorth is the worth of an item nobody asks for, in its home zone.
	homeWorth = 0.05
	// unmetWorth is added for each second that calls have found it absent.
	unmetWorth = 0.5
)

// An Item is a model or adapter that may be placed.
type Item struct {
	Name string
	Base string // model of an adapter, "" for a model
	MiB  int64
}

// A Resident is an item on an engine.
type Resident struct {
	Name    string
	Since   time.Duration // how long it has been there
	Settled bool          // ready and free to be dropped
}

// An Engine is one engine of the zone, as the ledger has it.
type Engine struct {
	Name      string
	Domain    string
	Sequences int
	Free      int64 // MiB
	Capacity  int64 // MiB
	Residents []Resident
	Usable    bool // not leaving, state known
}

// An Input is all that a plan depends on.
type Input struct {
	Engines []Engine
	Items   map[string]Item
	Demand  []demand.Item
	// Elsewhere counts the copies ready in other zones that can be reached.
	Elsewhere map[string]int
	// Covered counts those of them in zones that come before this one for the
	// item. A copy here may be dropped on the strength of these only: of two
	// zones that each have a copy, at most one may rely on the other's.
	Covered map[string]int
	// Home holds the items that this zone should hold though nobody asks.
	Home map[string]bool
	// Leads reports whether a first copy of the item is this zone's to place,
	// of all zones that can be reached. nil means every item is.
	Leads func(item string) bool
	// Starve says that room may be made for one starving item now.
	Starve      bool
	MoveCost    float64
	MinimumStay time.Duration
	Loads       int // loads that may be begun now
}

// A Step is one order that the plan asks for.
type Step struct {
	Op     book.Op
	Engine string
	Item   string
	MiB    int64
	Worth  float64 // of what the step is for
	// Starving says that the step makes room for a starving item, whatever
	// that costs.
	Starving bool
}

// Steps returns the orders to give now. A load that needs room yields the
// unloads first and is asked for again once the room is there.
func Steps(in Input) []Step {
	p := newPlanner(in)
	for _, w := range p.wants() {
		if p.loads <= 0 {
			break
		}
		p.place(w)
	}
	return p.steps
}

// A want is a copy that is missing.
type want struct {
	item     string
	worth    float64
	starving bool
	forced   bool // room is made for it though that does not pay
	spare    bool // a second copy against the loss of the first, where there is room
}

// A planner holds one plan in the making.
type planner struct {
	in      Input
	demand  map[string]demand.Item
	copies  map[string]int
	engines []*engine
	steps   []Step
	loads   int
	starved bool // room is being made for a starving item
}

// An engine is an Engine as the plan has changed it so far.
type engine struct {
	Engine
	here     map[string]*Resident
	children map[string]int // adapters present, by model
	leaving  int64          // MiB that planned unloads will free
}

func newPlanner(in Input) *planner {
	p := &planner{
		in:     in,
		demand: make(map[string]demand.Item, len(in.Demand)),
		copies: map[string]int{},
		loads:  in.Loads,
	}
	for _, d := range in.Demand {
		p.demand[d.Name] = d
	}
	for _, e := range in.Engines {
		if !e.Usable {
			continue
		}
		p.engines = append(p.engines, p.newEngine(e))
	}
	return p
}

func (p *planner) newEngine(e Engine) *engine {
	out := &engine{Engine: e, here: map[string]*Resident{}, children: map[string]int{}}
	for i := range e.Residents {
		r := &e.Residents[i]
		out.here[r.Name] = r
		p.copies[r.Name]++
		if base := p.in.Items[r.Name].Base; base != "" {
			out.children[base]++
		}
	}
	return out
}

// worth returns what the copy number n of an item (1 for the first) gains in
// this zone when so many copies elsewhere can be relied on.
func (p *planner) worth(item string, n, remote int) float64 {
	d, asked := p.demand[item]
	if !asked {
		if remote > 0 {
			return 0
		}
		return p.idleWorth(item, n)
	}
	calls := d.Weight * (d.Rate*Horizon.Seconds() + float64(d.Waiting))
	if n == 1 && remote == 0 {
		return calls + unmetWorth*d.Unmet.Seconds()
	}
	others := float64(n - 1 + remote)
	needed := p.needed(item)
	if others < needed {
		// The share of the demand that the other copies cannot carry.
		return calls * min(1, (needed-others)/needed)
	}
	if n == 1 {
		return remoteWorth * calls
	}
	return spareWorth * calls
}

func (p *planner) idleWorth(item string, n int) float64 {
	if n == 1 && p.in.Home[item] {
		return homeWorth
	}
	return 0
}

// needed returns how many copies the demand fills, as a fraction.
func (p *planner) needed(item string) float64 {
	d := p.demand[item]
	sequences := 1
	for _, e := range p.engines {
		sequences = max(sequences, e.Sequences)
	}
	return d.Concurrent / (fill * float64(sequences))
}

// wants returns the missing copies, most worth first.
func (p *planner) wants() []want {
	var wants []want
	for name, it := range p.in.Items {
		if it.MiB <= 0 {
			continue
		}
		have := p.copies[name]
		remote := p.in.Elsewhere[name]
		d := p.demand[name]
		if have == 0 && remote == 0 && !p.leads(name) {
			continue
		}
		if have == 0 && (d.Rate > 0 || p.in.Home[name]) {
			wants = append(wants, want{item: name, worth: p.worth(name, 1, remote), starving: d.Unmet > Starving && remote == 0})
			continue
		}
		if have > 0 && float64(have+remote) < math.Ceil(p.needed(name)) {
			wants = append(wants, want{item: name, worth: p.worth(name, have+1, remote)})
			continue
		}
		if worth := p.worth(name, have+1, remote); have == 1 && remote == 0 && worth > p.in.MoveCost {
			wants = append(wants, want{item: name, worth: worth, spare: true})
		}
	}
	sort.Slice(wants, func(i, j int) bool {
		a, b := wants[i], wants[j]
		if a.starving != b.starving {
			return a.starving
		}
		if a.spare != b.spare {
			return b.spare
		}
		if a.worth != b.worth {
			return a.worth > b.worth
		}
		return a.item < b.item
	})
	return wants
}

func (p *planner) leads(item string) bool { return p.in.Leads == nil || p.in.Leads(item) }

// An option is one way to place a want.
type option struct {
	engine  *engine
	load    []Item     // base first
	victims []Resident // adapters before their models
	cost    float64    // worth dropped
	spread  int        // copies in the same failure domain
}

// place gives the orders for the best option that pays.
func (p *planner) place(w want) {
	best, ok := p.bestOption(w)
	if !ok {
		return
	}
	moves := float64(len(best.load) + len(best.victims))
	if w.spare && len(best.victims) > 0 {
		return
	}
	pays := w.worth > hysteresis*best.cost+p.in.MoveCost*moves
	if len(best.victims) > 0 && !pays {
		// One at a time: what starves and does not pay is what few ask for,
		// and it may take the place of one popular item, not of many.
		if !w.starving || p.starved || !p.in.Starve {
			return
		}
		p.starved = true
		w.forced = true
	}
	if len(best.victims) > 0 {
		p.drop(best, w)
		return
	}
	p.load(best, w)
}

func (p *planner) load(o option, w want) {
	for _, it := range o.load {
		if p.loads <= 0 {
			return
		}
		p.loads--
		o.engine.Free -= it.MiB
		o.engine.here[it.Name] = &Resident{Name: it.Name}
		p.copies[it.Name]++
		if it.Base != "" {
			o.engine.children[it.Base]++
		}
		p.steps = append(p.steps, Step{Op: book.Load, Engine: o.engine.Name, Item: it.Name, MiB: it.MiB, Worth: w.worth})
	}
}

// drop gives the unloads; the loads follow in a later plan, when the engine
// says that the memory is free. The room is kept from lesser wants till then.
func (p *planner) drop(o option, w want) {
	for _, v := range o.victims {
		it := p.in.Items[v.Name]
		o.engine.leaving += it.MiB
		delete(o.engine.here, v.Name)
		p.copies[v.Name]--
		if it.Base != "" {
			o.engine.children[it.Base]--
		}
		p.steps = append(p.steps, Step{Op: book.Unload, Engine: o.engine.Name, Item: v.Name, MiB: it.MiB, Worth: w.worth, Starving: w.forced})
	}
	p.loads-- // the load this makes room for
	for _, it := range o.load {
		o.engine.Free -= it.MiB
		o.engine.here[it.Name] = &Resident{Name: it.Name}
		p.copies[it.Name]++
	}
}

func (p *planner) bestOption(w want) (option, bool) {
	var best option
	found := false
	for _, e := range p.engines {
		o, ok := p.option(e, w)
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

// better prefers what drops less, then other failure domains, then the engine
// with more left over, then the name.
func (o option) better(than option) bool {
	if len(o.victims) == 0 != (len(than.victims) == 0) {
		return len(o.victims) == 0
	}
	if o.cost != than.cost {
		return o.cost < than.cost
	}
	if len(o.load) != len(than.load) {
		return len(o.load) < len(than.load)
	}
	if o.spread != than.spread {
		return o.spread < than.spread
	}
	if o.engine.Free != than.engine.Free {
		return o.engine.Free > than.engine.Free
	}
	return o.engine.Name < than.engine.Name
}

// option returns how the want could be placed on e, if it can.
func (p *planner) option(e *engine, w want) (option, bool) {
	if _, here := e.here[w.item]; here {
		return option{}, false
	}
	o := option{engine: e, spread: p.spread(e, w.item)}
	it := p.in.Items[w.item]
	if it.Base != "" {
		base, here := e.here[it.Base]
		if here && base.Since == 0 && !base.Settled {
			// The base is on its way in; its adapters follow it.
			here = true
		}
		if !here {
			o.load = append(o.load, p.in.Items[it.Base])
		}
	}
	o.load = append(o.load, it)
	var need int64
	for _, l := range o.load {
		need += l.MiB
	}
	if need <= e.Free {
		return o, true
	}
	if need > e.Capacity || e.leaving > 0 {
		return option{}, false
	}
	return p.withVictims(o, it.Base, need-e.Free, w)
}

// spread counts the copies of item on engines that share e's failure domain.
func (p *planner) spread(e *engine, item string) int {
	n := 0
	for _, other := range p.engines {
		if _, here := other.here[item]; here && other.Domain == e.Domain {
			n++
		}
	}
	return n
}

// withVictims adds the cheapest residents whose dropping frees enough.
func (p *planner) withVictims(o option, keep string, need int64, w want) (option, bool) {
	type candidate struct {
		group []Resident // a model with its adapters, or one adapter
		mib   int64
		worth float64
	}
	var candidates []candidate
	for name, r := range o.engine.here {
		if name == keep || p.in.Items[name].Base != "" && p.in.Items[name].Base != keep {
			continue // an adapter goes with its model, unless the model stays
		}
		group := p.group(o.engine, r)
		c := candidate{group: group}
		droppable := true
		for _, g := range group {
			droppable = droppable && g.Settled && g.Since >= p.stay(w)
			c.mib += p.in.Items[g.Name].MiB
			c.worth += p.worth(g.Name, p.copies[g.Name], p.in.Covered[g.Name])
		}
		if droppable {
			candidates = append(candidates, c)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		da, db := a.worth/float64(a.mib), b.worth/float64(b.mib)
		if da != db {
			return da < db
		}
		return a.group[len(a.group)-1].Name < b.group[len(b.group)-1].Name
	})
	for _, c := range candidates {
		if need <= 0 {
			break
		}
		need -= c.mib
		o.cost += c.worth
		o.victims = append(o.victims, c.group...)
	}
	return o, need <= 0
}

// stay returns how long an item must have been there to be dropped for w.
func (p *planner) stay(w want) time.Duration {
	if w.starving {
		return min(starvingStay, p.in.MinimumStay)
	}
	return p.in.MinimumStay
}

// group returns the adapters of a model on the engine, then the model.
func (p *planner) group(e *engine, r *Resident) []Resident {
	var group []Resident
	if e.children[r.Name] > 0 {
		for name, other := range e.here {
			if p.in.Items[name].Base == r.Name {
				group = append(group, *other)
			}
		}
		sort.Slice(group, func(i, j int) bool { return group[i].Name < group[j].Name })
	}
	return append(group, *r)
}

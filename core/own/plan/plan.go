// Package plan provides the residency plan of one availability zone: which
// models and adapters should be loaded on, or dropped from, which engine.
//
// The idea: a copy of an item is worth the calls that would miss their target
// without it over a horizon, weighted by policy. A step is taken only when what
// it gains exceeds what it drops, by a margin, plus the cost that operators set
// for a move. Noise therefore moves nothing, and a demand that has nowhere to
// go grows in value the longer it is unmet, so nothing starves.
//
// Invariants: Steps never asks for more memory than an engine has free; it
// drops an adapter before its model; it drops no item within its minimum stay,
// or a shorter one when another has been unmet for longer than Starving.
package plan

import (
	"math"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/own/book"
)

// Tunables of the plan.
const (
	// DemandHorizon is how far ahead a copy's value is counted.
	DemandHorizon = 60 * time.Second
	// StarvationThreshold is how long an item may be unmet before it goes ahead of all else, whatever its
	// value; the stated bound of reachability builds on it.
	StarvationThreshold = 6 * time.Second
	// hysteresis is the factor by which a new copy must exceed the value of what it replaces.
	hysteresis = 1.3
	// targetUtilization is the share of an engine's sequences that one copy should use.
	targetUtilization = 0.7
	// spareValue is the value left to a copy beyond those that demand needs.
	spareValue = 0.02
	// remoteValue is the share of its value left when another zone has a copy: the
	// way there costs a millisecond or two of a target of hundreds.
	remoteValue = 0.02
	// starvingStay is how long even an item dropped for a starving one stays,
	// so that the calls that waited for it are served.
	starvingStay = 4 * time.Second
	// assignedValue is the value of an item nobody asks for, in the zone that it is
	// assigned to.
	assignedValue = 0.05
	// unmetValuePerSecond is added for each second that calls have found it absent.
	unmetValuePerSecond = 0.5
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
	// Assigned holds the items that this zone should hold though nobody asks.
	Assigned map[string]bool
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
	// Starving says that the step makes room for a starving item, whatever
	// that costs.
	Starving bool
}

// Steps returns the orders to give now. A load that needs room yields the
// unloads first and is asked for again once the room is there.
func Steps(in Input) []Step {
	p := newPlanner(in)
	for _, w := range p.missingCopies() {
		if p.loadsLeft <= 0 {
			break
		}
		p.place(w)
	}
	return p.steps
}

// A missingCopy is a copy that is to be placed.
type missingCopy struct {
	item        string
	value       float64
	starving    bool
	ignoresCost bool // room is made for it though that does not pay
	optional    bool // a second copy against the loss of the first, where there is room
}

// A planner holds one plan in the making.
type planner struct {
	in             Input
	demand         map[string]demand.Item
	copies         map[string]int
	engines        []*engine
	steps          []Step
	loadsLeft      int
	starvingServed bool // room is being made for a starving item
}

// An engine is an Engine as the plan has changed it so far.
type engine struct {
	Engine
	residents  map[string]*Resident
	adapters   map[string]int // adapters present, by model
	freeingMiB int64          // MiB that planned unloads will free
}

func newPlanner(in Input) *planner {
	p := &planner{
		in:        in,
		demand:    make(map[string]demand.Item, len(in.Demand)),
		copies:    map[string]int{},
		loadsLeft: in.Loads,
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
	out := &engine{Engine: e, residents: map[string]*Resident{}, adapters: map[string]int{}}
	for i := range e.Residents {
		r := &e.Residents[i]
		out.residents[r.Name] = r
		p.copies[r.Name]++
		if base := p.in.Items[r.Name].Base; base != "" {
			out.adapters[base]++
		}
	}
	return out
}

// copyValue returns what the copy number n of an item (1 for the first) gains in
// this zone when so many copies elsewhere can be relied on.
func (p *planner) copyValue(item string, n, remote int) float64 {
	d, asked := p.demand[item]
	if !asked {
		if remote > 0 {
			return 0
		}
		return p.idleValue(item, n)
	}
	calls := d.Weight * (d.Rate*DemandHorizon.Seconds() + float64(d.Waiting))
	if n == 1 && remote == 0 {
		return calls + unmetValuePerSecond*d.Unmet.Seconds()
	}
	others := float64(n - 1 + remote)
	needed := p.neededCopies(item)
	if others < needed {
		// The share of the demand that the other copies cannot carry.
		return calls * min(1, (needed-others)/needed)
	}
	if n == 1 {
		return remoteValue * calls
	}
	return spareValue * calls
}

func (p *planner) idleValue(item string, n int) float64 {
	if n == 1 && p.in.Assigned[item] {
		return assignedValue
	}
	return 0
}

// neededCopies returns how many copies the demand fills, as a fraction.
func (p *planner) neededCopies(item string) float64 {
	d := p.demand[item]
	sequences := 1
	for _, e := range p.engines {
		sequences = max(sequences, e.Sequences)
	}
	return d.Concurrent / (targetUtilization * float64(sequences))
}

// missingCopies returns the missingCopies copies, the most valuable first.
func (p *planner) missingCopies() []missingCopy {
	var missing []missingCopy
	for name, it := range p.in.Items {
		if it.MiB <= 0 {
			continue
		}
		have := p.copies[name]
		remote := p.in.Elsewhere[name]
		d := p.demand[name]
		if have == 0 && remote == 0 && !p.placesFirstCopy(name) {
			continue
		}
		if have == 0 && (d.Rate > 0 || p.in.Assigned[name]) {
			missing = append(missing, missingCopy{item: name, value: p.copyValue(name, 1, remote), starving: d.Unmet > StarvationThreshold && remote == 0})
			continue
		}
		if have > 0 && float64(have+remote) < math.Ceil(p.neededCopies(name)) {
			missing = append(missing, missingCopy{item: name, value: p.copyValue(name, have+1, remote)})
			continue
		}
		if value := p.copyValue(name, have+1, remote); have == 1 && remote == 0 && value > p.in.MoveCost {
			missing = append(missing, missingCopy{item: name, value: value, optional: true})
		}
	}
	sort.Slice(missing, func(i, j int) bool {
		a, b := missing[i], missing[j]
		if a.starving != b.starving {
			return a.starving
		}
		if a.optional != b.optional {
			return b.optional
		}
		if a.value != b.value {
			return a.value > b.value
		}
		return a.item < b.item
	})
	return missing
}

func (p *planner) placesFirstCopy(item string) bool { return p.in.Leads == nil || p.in.Leads(item) }

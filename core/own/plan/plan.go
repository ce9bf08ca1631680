// Package plan computes the residency plan of one availability zone: which models and
// adapters should be loaded on, or unloaded from, which engine.
//
// The value of a copy of an item is the number of calls within a horizon that would miss
// their latency target without the copy, weighted by policy. A step is taken only if the
// value that it adds exceeds the value of what it unloads by a margin, plus the move cost
// that operators configure. Small fluctuations in demand therefore move nothing. The
// value of demand that no copy serves grows with the time for which it is unmet, so that
// no item starves.
//
// Invariants: Steps never requests more memory than an engine has free. It unloads an
// adapter before its model. It unloads no item before its minimum stay has passed; a
// shorter stay applies if another item has been unmet for longer than
// StarvationThreshold.
package plan

import (
	"math"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/own/book"
)

// Parameters of the plan.
const (
	// DemandHorizon is the time over which the value of a copy is counted.
	DemandHorizon = 60 * time.Second
	// StarvationThreshold is the time after which an unmet item takes precedence over all
	// others, whatever its value. The documented bound on the time until a model is
	// reachable depends on it.
	StarvationThreshold = 6 * time.Second
	// hysteresis is the factor by which the value of a new copy must exceed the value of
	// the copies that it replaces.
	hysteresis = 1.3
	// targetUtilization is the share of an engine's sequences that one copy should use.
	targetUtilization = 0.7
	// spareValue is the share of its value that a copy keeps beyond those that the demand
	// needs.
	spareValue = 0.02
	// remoteValue is the share of its value that a copy keeps if another zone has one: a
	// call to another zone takes a millisecond or two longer, of a latency target of
	// hundreds of milliseconds.
	remoteValue = 0.02
	// starvingStay is the minimum time for which an item stays resident even when it is
	// unloaded for a starving one, so that the calls that waited for it are served.
	starvingStay = 4 * time.Second
	// assignedValue is the value of an item without demand in the zone that it is
	// assigned to.
	assignedValue = 0.05
	// unmetValuePerSecond is the value added for each second for which calls have found
	// no copy of the item.
	unmetValuePerSecond = 0.5
)

// An Item is a model or an adapter that may be placed.
type Item struct {
	Name string
	Base string // the adapter's model; "" for a model
	MiB  int64
}

// A Resident is an item on an engine.
type Resident struct {
	Name    string
	Since   time.Duration // how long it has been resident
	Settled bool          // ready, and may be unloaded
}

// An Engine is an engine of the zone as recorded in its ledger.
type Engine struct {
	Name      string
	Domain    string
	Sequences int
	Free      int64 // MiB
	Capacity  int64 // MiB
	Residents []Resident
	Usable    bool // not leaving, state known, and orders may be sent to it
}

// An Input is everything that a plan depends on.
type Input struct {
	Engines []Engine
	Items   map[string]Item
	Demand  []demand.Item
	// Elsewhere counts the ready copies in other zones that are reachable.
	Elsewhere map[string]int
	// Covered counts those copies in Elsewhere whose zones rank before this one for the
	// item. Only these allow a copy here to be unloaded: of two zones with a copy each,
	// at most one may rely on the copy of the other.
	Covered map[string]int
	// Assigned holds the items that this zone keeps resident without demand.
	Assigned map[string]bool
	// Leads reports whether this zone, among all reachable zones, places the first copy
	// of the item. If it is nil, this zone does so for every item.
	Leads func(item string) bool
	// Starve reports whether memory may be freed now for one starving item whatever that
	// costs.
	Starve      bool
	MoveCost    float64
	MinimumStay time.Duration
	Loads       int // how many loads may start now
}

// A Step is one order that the plan requests.
type Step struct {
	Op     book.Op
	Engine string
	Item   string
	MiB    int64
	// Starving reports that the step frees memory for a starving item whatever that
	// costs.
	Starving bool
}

// Steps returns the orders to send now. For a load that needs memory to be freed it
// returns the unloads; a later plan returns the load when the memory is free.
func Steps(in Input) []Step {
	p := newPlanner(in)
	for _, m := range p.missingCopies() {
		if p.loadsLeft <= 0 {
			break
		}
		p.place(m)
	}
	return p.steps
}

// A missingCopy is a copy that should be placed.
type missingCopy struct {
	item      string
	value     float64
	starving  bool
	atAnyCost bool // other items are unloaded for it although its value does not justify that
	optional  bool // a second copy in case the first is lost, placed only in free memory
}

// A planner computes one plan.
type planner struct {
	in             Input
	demand         map[string]demand.Item
	copies         map[string]int
	engines        []*engine
	steps          []Step
	loadsLeft      int  // loads that may still start
	starvingServed bool // memory is being freed for a starving item
}

// An engine is an Engine with the changes of the plan so far applied.
type engine struct {
	Engine
	residents  map[string]*Resident
	adapters   map[string]int // number of resident adapters, by model
	freeingMiB int64          // memory that the planned unloads will free
}

// newPlanner returns a planner for the usable engines of in.
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

// newEngine returns e with its residents indexed, and counts their copies.
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

// copyValue returns the value that the n-th copy of an item (1 for the first) adds in
// this zone if it can rely on remote copies in other zones.
func (p *planner) copyValue(item string, n, remote int) float64 {
	d, hasDemand := p.demand[item]
	if !hasDemand {
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
		// The share of the demand that the other copies cannot serve.
		return calls * min(1, (needed-others)/needed)
	}
	if n == 1 {
		return remoteValue * calls
	}
	return spareValue * calls
}

// idleValue returns the value of the n-th copy of an item without demand.
func (p *planner) idleValue(item string, n int) float64 {
	if n == 1 && p.in.Assigned[item] {
		return assignedValue
	}
	return 0
}

// neededCopies returns the number of copies that the demand requires, as a fraction.
func (p *planner) neededCopies(item string) float64 {
	d := p.demand[item]
	sequences := 1
	for _, e := range p.engines {
		sequences = max(sequences, e.Sequences)
	}
	return d.Concurrent / (targetUtilization * float64(sequences))
}

// missingCopies returns the copies to place, in descending order of priority: first those
// of starving items, last the optional ones, and by value within each group.
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

// placesFirstCopy reports whether this zone places the first copy of the item.
func (p *planner) placesFirstCopy(item string) bool { return p.in.Leads == nil || p.in.Leads(item) }

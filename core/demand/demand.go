// Package demand measures the demand for each model: from the calls that this instance forwards
// (Tracker), and from the reports of all instances at the instance that decides which models
// are loaded where (Totals).
package demand

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// reportTTL is how long another instance's report counts: several of the exchanges that carry
// the reports.
const reportTTL = 30 * time.Second

// An Item is the demand for one model or adapter.
type Item struct {
	Name string
	// Software is the version of engines' software at which the item is missed, if the demand is
	// that of streams which only engines of this version can go on with; "" otherwise.
	Software   string
	Rate       float64       // calls per second
	Concurrent float64       // sequences occupied by its calls at that rate
	Weight     float64       // mean policy weight of its calls; 1 is an ordinary call
	Waiting    int           // calls waiting for it to become resident
	Unmet      time.Duration // how long calls have found it not resident, 0 if they find it
	Idle       time.Duration // time since its last call
	Absent     float64       // misses per second of forwarded calls: no engine had it
}

// A Totals sums the demand that instances reported to a zone's planner or to the placer.
type Totals struct {
	reports map[string]report // by instance
}

type report struct {
	at    clock.Instant
	items []Item
}

// NewTotals returns totals without reports.
func NewTotals() *Totals { return &Totals{reports: map[string]report{}} }

// Report replaces the instance's previous report.
func (t *Totals) Report(now clock.Instant, instance string, items []Item) {
	t.reports[instance] = report{at: now, items: items}
}

// Sum returns the total demand ordered by item name. It drops reports older than reportTTL.
func (t *Totals) Sum(now clock.Instant) []Item {
	return t.SumOf(now, func(string) bool { return true })
}

// SumOf returns the total demand reported by the instances for which keep returns true.
func (t *Totals) SumOf(now clock.Instant, keep func(instance string) bool) []Item {
	type key struct{ name, software string }
	sums := map[key]Item{}
	// Reports are added in the order of the instances' names. Floating-point sums depend on
	// the order, and the state machine must be deterministic.
	for _, name := range slices.Sorted(maps.Keys(t.reports)) {
		r := t.reports[name]
		if now.Since(r.at) > reportTTL {
			delete(t.reports, name)
			continue
		}
		if !keep(name) {
			continue
		}
		for _, it := range r.items {
			k := key{it.Name, it.Software}
			sums[k] = add(sums[k], it)
		}
	}
	items := make([]Item, 0, len(sums))
	for _, it := range sums {
		items = append(items, it)
	}
	sortItems(items)
	return items
}

// sortItems sorts items by name and version.
func sortItems(items []Item) {
	slices.SortFunc(items, func(a, b Item) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Software, b.Software))
	})
}

// add returns the sum of two demands for the same item; a may be the zero Item.
func add(a, b Item) Item {
	total := a.Rate + b.Rate
	weight := b.Weight
	idle := b.Idle
	if a.Name != "" {
		idle = min(a.Idle, b.Idle)
	}
	if total > 0 {
		weight = (a.Weight*a.Rate + b.Weight*b.Rate) / total
	}
	return Item{
		Name:       b.Name,
		Software:   b.Software,
		Rate:       total,
		Concurrent: a.Concurrent + b.Concurrent,
		Weight:     weight,
		Waiting:    a.Waiting + b.Waiting,
		Unmet:      max(a.Unmet, b.Unmet),
		Idle:       idle,
		Absent:     a.Absent + b.Absent,
	}
}

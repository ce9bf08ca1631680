// Package demand provides the measure of how much each model is asked for: by the
// forwarded calls of this instance (Tracker), and by what every instance reported to
// the one that decides which models are loaded where (Totals).
package demand

import (
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// reportTTL is how long another instance's report counts: several of the exchanges
// in which reports come.
const reportTTL = 30 * time.Second

// An Item is the demand for one model or adapter.
type Item struct {
	Name       string
	Rate       float64       // calls a second
	Concurrent float64       // sequences that its calls occupy at that rate
	Weight     float64       // mean weight of its calls by policy; 1 is an ordinary call
	Waiting    int           // calls that wait for it to become resident
	Unmet      time.Duration // how long calls have found it not resident, 0 if they do not
	Idle       time.Duration // since its last call
	Absent     float64       // calls a second that found it nowhere; of forwarded calls
}

// A Totals sums the demand that the instances of a zone reported to its planner.
type Totals struct {
	reports map[string]report // by instance
}

type report struct {
	at    clock.Instant
	items []Item
}

// NewTotals returns a board without reports.
func NewTotals() *Totals { return &Totals{reports: map[string]report{}} }

// Report replaces what the instance reported before.
func (b *Totals) Report(now clock.Instant, instance string, items []Item) {
	b.reports[instance] = report{at: now, items: items}
}

// Sum returns the demand of all reports by name; reports that are too old are
// dropped.
func (b *Totals) Sum(now clock.Instant) []Item {
	return b.SumOf(now, func(string) bool { return true })
}

// SumOf returns the demand that the instances for which keep is true reported.
func (b *Totals) SumOf(now clock.Instant, keep func(instance string) bool) []Item {
	sums := map[string]Item{}
	// In the order of their names: sums of floating-point numbers differ with
	// the order, and the machine must decide alike on the same events.
	for _, name := range slices.Sorted(maps.Keys(b.reports)) {
		r := b.reports[name]
		if now.Since(r.at) > reportTTL {
			delete(b.reports, name)
			continue
		}
		if !keep(name) {
			continue
		}
		for _, it := range r.items {
			sums[it.Name] = add(sums[it.Name], it)
		}
	}
	items := make([]Item, 0, len(sums))
	for _, it := range sums {
		items = append(items, it)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	return items
}

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
		Rate:       total,
		Concurrent: a.Concurrent + b.Concurrent,
		Weight:     weight,
		Waiting:    a.Waiting + b.Waiting,
		Unmet:      max(a.Unmet, b.Unmet),
		Idle:       idle,
		Absent:     a.Absent + b.Absent,
	}
}

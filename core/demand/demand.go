// Package demand provides the measure of how much each model and adapter is
// asked for: by this instance's callers, and, at the planner of an availability
// zone, by those of every instance in it.
//
// Rates are exponentially weighted over a short and a long window. The long one
// counts, for it is steady, until the short one differs from it by more than
// chance explains: then demand has moved, and the short one counts.
package demand

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// Windows of the rates.
const (
	short = 10 * time.Second
	long  = 120 * time.Second
	// forget is the rate, in calls a second, below which an item is dropped.
	forget = 1e-4
	// stale is how long another instance's report counts.
	stale = 30 * time.Second
)

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

// A Meter measures the calls of one instance.
type Meter struct {
	items map[string]*meterItem
}

type meterItem struct {
	short, long float64       // decayed counts
	weight      float64       // EWMA
	hold        float64       // EWMA, seconds
	begun       clock.Instant // of the first call
	at          clock.Instant // of the last decay
	last        clock.Instant // of the last call
	waiting     int
	unmet       clock.Instant // zero while met
	lastUnmet   clock.Instant
}

// NewMeter returns a meter that has seen no call.
func NewMeter() *Meter { return &Meter{items: map[string]*meterItem{}} }

const (
	ewma        = 0.1
	defaultHold = 1.0
	unmetMemory = 15 * time.Second // an unmet item counts as such this long after its last call
)

// Call notes one call for item with the given weight.
func (m *Meter) Call(now clock.Instant, item string, weight float64) {
	it := m.items[item]
	if it == nil {
		it = &meterItem{weight: weight, hold: defaultHold, at: now, begun: now}
		m.items[item] = it
	}
	it.decay(now)
	it.last = now
	it.short++
	it.long++
	it.weight += ewma * (weight - it.weight)
}

// Held notes how long a call for item occupied its replica.
func (m *Meter) Held(item string, d time.Duration) {
	if it := m.items[item]; it != nil {
		it.hold += ewma * (d.Seconds() - it.hold)
	}
}

// Unmet notes that a call found item not resident.
func (m *Meter) Unmet(now clock.Instant, item string) {
	it := m.items[item]
	if it == nil {
		return
	}
	if it.unmet.IsZero() {
		it.unmet = now
	}
	it.lastUnmet = now
}

// Met notes that item is resident.
func (m *Meter) Met(item string) {
	if it := m.items[item]; it != nil {
		it.unmet = clock.Instant{}
	}
}

// Waiting sets the calls that wait for item.
func (m *Meter) Waiting(item string, n int) {
	if it := m.items[item]; it != nil {
		it.waiting = n
	}
}

func (it *meterItem) decay(now clock.Instant) {
	age := now.Since(it.at)
	if age <= 0 {
		return
	}
	it.short *= math.Exp(-float64(age) / float64(short))
	it.long *= math.Exp(-float64(age) / float64(long))
	it.at = now
}

// chance is how many standard deviations of a Poisson count the short rate may
// differ from the long one before demand is held to have moved.
const chance = 2.5

// leastAge keeps the first call of an item from counting as a flood.
const leastAge = 5 * time.Second

// rate returns the calls a second, corrected for how short a time the item has
// been known.
func (it *meterItem) rate(now clock.Instant) float64 {
	age := max(now.Since(it.begun), leastAge)
	steady := it.long / window(long, age)
	recent := it.short / window(short, age)
	if math.Abs(recent-steady) > chance*math.Sqrt(max(recent, steady)/short.Seconds()) {
		return recent
	}
	return steady
}

// window returns the seconds that a decayed count stands for at an age.
func window(w, age time.Duration) float64 {
	return w.Seconds() * (1 - math.Exp(-float64(age)/float64(w)))
}

// Items returns the demand at now by name, and drops what is no longer asked for.
func (m *Meter) Items(now clock.Instant) []Item {
	var items []Item
	for name, it := range m.items {
		it.decay(now)
		rate := it.rate(now)
		if rate < forget && it.waiting == 0 {
			delete(m.items, name)
			continue
		}
		out := Item{Name: name, Rate: rate, Concurrent: rate * it.hold, Weight: it.weight, Waiting: it.waiting, Idle: now.Since(it.last)}
		if !it.unmet.IsZero() && now.Since(it.lastUnmet) < unmetMemory {
			out.Unmet = max(now.Since(it.unmet), 1)
		}
		items = append(items, out)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	return items
}

// A Board sums the demand that the instances of a zone reported to its planner.
type Board struct {
	reports map[string]report // by instance
}

type report struct {
	at    clock.Instant
	items []Item
}

// NewBoard returns a board without reports.
func NewBoard() *Board { return &Board{reports: map[string]report{}} }

// Report replaces what the instance reported before.
func (b *Board) Report(now clock.Instant, instance string, items []Item) {
	b.reports[instance] = report{at: now, items: items}
}

// Sum returns the demand of all reports by name; reports that are too old are
// dropped.
func (b *Board) Sum(now clock.Instant) []Item {
	return b.SumOf(now, func(string) bool { return true })
}

// SumOf returns the demand that the instances for which keep is true reported.
func (b *Board) SumOf(now clock.Instant, keep func(instance string) bool) []Item {
	sums := map[string]Item{}
	// In the order of their names: sums of floating-point numbers differ with
	// the order, and the machine must decide alike on the same events.
	for _, name := range slices.Sorted(maps.Keys(b.reports)) {
		r := b.reports[name]
		if now.Since(r.at) > stale {
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

// Package meter measures the demand of this instance's callers for each model and adapter
// in the product's own environment. Rates are exponentially weighted over a short and a
// long window. The rate of the long window is used because it is steadier, until the rate
// of the short window differs from it by more than random variation explains: demand has
// then shifted, and the rate of the short window is used.
package meter

import (
	"math"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/demand"
)

// Windows of the rates.
const (
	shortWindow = 10 * time.Second
	longWindow  = 120 * time.Second
	// minRate is the rate in calls per second below which an item is dropped.
	minRate = 1e-4
)

// A Meter measures the demand of the calls at one instance.
type Meter struct {
	items map[string]*meterItem
}

// A meterItem is the measured demand for one item.
type meterItem struct {
	short, long float64       // decayed numbers of calls
	weight      float64       // EWMA
	holdTime    float64       // EWMA, seconds
	firstCall   clock.Instant // time of the first call
	decayedAt   clock.Instant // time of the last decay
	lastCall    clock.Instant // time of the last call
	waiting     int
	unmetSince  clock.Instant // zero while met
	lastUnmet   clock.Instant // time of the last unmet call
}

// New returns a meter that has recorded no call.
func New() *Meter { return &Meter{items: map[string]*meterItem{}} }

const (
	// ewmaWeight is the weight of a new sample in a moving average.
	ewmaWeight = 0.1
	// defaultHoldTime is the time in seconds for which a call is assumed to occupy its
	// replica until one was measured.
	defaultHoldTime = 1.0
	unmetTimeout    = 15 * time.Second // time after its last unmet call for which an item still counts as unmet
)

// RecordCall records one call for item with the given weight.
func (m *Meter) RecordCall(now clock.Instant, item string, weight float64) {
	it := m.items[item]
	if it == nil {
		it = &meterItem{weight: weight, holdTime: defaultHoldTime, decayedAt: now, firstCall: now}
		m.items[item] = it
	}
	it.decay(now)
	it.lastCall = now
	it.short++
	it.long++
	it.weight += ewmaWeight * (weight - it.weight)
}

// RecordHoldTime records how long a call for item occupied its replica.
func (m *Meter) RecordHoldTime(item string, d time.Duration) {
	if it := m.items[item]; it != nil {
		it.holdTime += ewmaWeight * (d.Seconds() - it.holdTime)
	}
}

// MarkUnmet records that a call found no copy of item.
func (m *Meter) MarkUnmet(now clock.Instant, item string) {
	it := m.items[item]
	if it == nil {
		return
	}
	if it.unmetSince.IsZero() {
		it.unmetSince = now
	}
	it.lastUnmet = now
}

// MarkMet records that a copy of item serves calls.
func (m *Meter) MarkMet(item string) {
	if it := m.items[item]; it != nil {
		it.unmetSince = clock.Instant{}
	}
}

// SetWaiting sets the number of calls that wait for item.
func (m *Meter) SetWaiting(item string, n int) {
	if it := m.items[item]; it != nil {
		it.waiting = n
	}
}

// decay applies the exponential decay since the last one to both call counts.
func (it *meterItem) decay(now clock.Instant) {
	age := now.Since(it.decayedAt)
	if age <= 0 {
		return
	}
	it.short *= math.Exp(-float64(age) / float64(shortWindow))
	it.long *= math.Exp(-float64(age) / float64(longWindow))
	it.decayedAt = now
}

// shiftThreshold is the number of standard deviations of a Poisson count by which the
// short rate may differ from the long one before demand counts as shifted.
const shiftThreshold = 2.5

// minAge is the minimum age used for a rate, so that the first call of an item does not
// count as a burst.
const minAge = 5 * time.Second

// rate returns the calls per second, corrected for items that have been known for less
// than a window.
func (it *meterItem) rate(now clock.Instant) float64 {
	age := max(now.Since(it.firstCall), minAge)
	steady := it.long / effectiveWindow(longWindow, age)
	recent := it.short / effectiveWindow(shortWindow, age)
	if math.Abs(recent-steady) > shiftThreshold*math.Sqrt(max(recent, steady)/shortWindow.Seconds()) {
		return recent
	}
	return steady
}

// effectiveWindow returns the seconds that the decayed count of window w covers for an
// item of the given age.
func effectiveWindow(w, age time.Duration) float64 {
	return w.Seconds() * (1 - math.Exp(-float64(age)/float64(w)))
}

// CurrentDemand returns the demand at now, sorted by name, and drops the items that are no
// longer in demand.
func (m *Meter) CurrentDemand(now clock.Instant) []demand.Item {
	var items []demand.Item
	for name, it := range m.items {
		it.decay(now)
		rate := it.rate(now)
		if rate < minRate && it.waiting == 0 {
			delete(m.items, name)
			continue
		}
		out := demand.Item{Name: name, Rate: rate, Concurrent: rate * it.holdTime, Weight: it.weight, Waiting: it.waiting, Idle: now.Since(it.lastCall)}
		if !it.unmetSince.IsZero() && now.Since(it.lastUnmet) < unmetTimeout {
			out.Unmet = max(now.Since(it.unmetSince), 1)
		}
		items = append(items, out)
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	return items
}

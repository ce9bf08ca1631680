package demand

import (
	"math"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// Spans of a Tracker. Work is followed quickly, so that a model that rises gets its
// copies before calls queue; what was asked for counts longer, so that a model
// which is asked for now and then keeps a place.
const (
	// workWindow is over which the engine time of calls is averaged.
	workWindow = 2500 * time.Millisecond
	// callWindow is over which calls are counted.
	callWindow = 12 * time.Second
	// missWindow is over which calls are counted that found their model nowhere.
	missWindow = 2 * time.Second
)

// A Tracker measures what forwarded calls ask of models: engine time, calls, and
// calls that found the model nowhere.
type Tracker struct{ models map[string]*modelDemand }

type modelDemand struct {
	at       clock.Instant
	work     float64 // decayed sums
	longWork float64
	calls    float64
	misses   float64
}

// NewTracker returns a flow that has seen no call.
func NewTracker() *Tracker { return &Tracker{models: map[string]*modelDemand{}} }

func (f *Tracker) model(now clock.Instant, name string) *modelDemand {
	m := f.models[name]
	if m == nil {
		m = &modelDemand{at: now}
		f.models[name] = m
	}
	m.decay(now)
	return m
}

func (m *modelDemand) decay(now clock.Instant) {
	age := float64(now.Since(m.at))
	if age <= 0 {
		return
	}
	m.work *= math.Exp(-age / float64(workWindow))
	m.longWork *= math.Exp(-age / float64(callWindow))
	m.calls *= math.Exp(-age / float64(callWindow))
	m.misses *= math.Exp(-age / float64(missWindow))
	m.at = now
}

// RecordCall notes a call for a model and the engine time that it takes.
func (f *Tracker) RecordCall(now clock.Instant, model string, work time.Duration) {
	m := f.model(now, model)
	m.calls++
	m.work += work.Seconds()
	m.longWork += work.Seconds()
}

// RecordMiss notes that a call found no engine with its model.
func (f *Tracker) RecordMiss(now clock.Instant, model string) { f.model(now, model).misses++ }

// longWindowShare is the part of the work over the longer span that counts even when
// the shorter one has less.
const longWindowShare = 0.4

// Items returns what is asked for now, by name. Concurrent is the engine time a
// second.
func (f *Tracker) Items(now clock.Instant) []Item {
	var items []Item
	for name, m := range f.models {
		m.decay(now)
		if m.calls < 0.02 {
			delete(f.models, name)
			continue
		}
		items = append(items, Item{
			Name:       name,
			Rate:       m.calls / callWindow.Seconds(),
			Concurrent: max(m.work/workWindow.Seconds(), longWindowShare*m.longWork/callWindow.Seconds()),
			Absent:     m.misses / missWindow.Seconds(),
		})
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	return items
}

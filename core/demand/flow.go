package demand

import (
	"math"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// Averaging windows of a Tracker. The window for work is short, so that a model with rising
// demand gets copies before calls queue. The window for calls is longer, so that a model
// that is called occasionally stays loaded.
const (
	// workWindow is the time constant of the average of the calls' engine time.
	workWindow = 2500 * time.Millisecond
	// callWindow is the time constant of the count of calls.
	callWindow = 12 * time.Second
	// missWindow is the time constant of the count of calls for which no engine had the model.
	missWindow = 2 * time.Second
)

// A Tracker measures the demand of forwarded calls by model: engine time, calls, and misses,
// which are calls for which no engine had the model.
type Tracker struct {
	models        map[string]*modelDemand
	versionMisses map[versionedModel]*modelDemand // misses of streams that go on at one version
}

// A versionedModel is a model at engines of one version of their software.
type versionedModel struct{ model, software string }

type modelDemand struct {
	at       clock.Instant
	work     float64 // exponentially decayed sum over workWindow
	longWork float64 // the same work over callWindow
	calls    float64
	misses   float64
}

// NewTracker returns a tracker without calls.
func NewTracker() *Tracker {
	return &Tracker{models: map[string]*modelDemand{}, versionMisses: map[versionedModel]*modelDemand{}}
}

// model returns the demand of a model, decayed to now.
func (t *Tracker) model(now clock.Instant, name string) *modelDemand {
	m := t.models[name]
	if m == nil {
		m = &modelDemand{at: now}
		t.models[name] = m
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

// RecordCall records a call for a model and the engine time that it takes.
func (t *Tracker) RecordCall(now clock.Instant, model string, work time.Duration) {
	m := t.model(now, model)
	m.calls++
	m.work += work.Seconds()
	m.longWork += work.Seconds()
}

// RecordMiss records that no engine had the model of a call.
func (t *Tracker) RecordMiss(now clock.Instant, model string) { t.model(now, model).misses++ }

// RecordVersionMiss records that no engine of a version had the model of a stream that only engines
// of this version can go on with.
func (t *Tracker) RecordVersionMiss(now clock.Instant, model, software string) {
	key := versionedModel{model, software}
	m := t.versionMisses[key]
	if m == nil {
		m = &modelDemand{at: now}
		t.versionMisses[key] = m
	}
	m.decay(now)
	m.misses++
}

// minVersionMisses is the count of misses at one version below which they are forgotten: a single
// one counts for about five seconds.
const minVersionMisses = 0.08

// longWindowShare is the fraction of the work rate over callWindow that is reported if the rate
// over workWindow is lower.
const longWindowShare = 0.4

// Items returns the current demand ordered by model name and version. Concurrent is the engine time per
// second.
func (t *Tracker) Items(now clock.Instant) []Item {
	var items []Item
	for name, m := range t.models {
		m.decay(now)
		if m.calls < 0.02 {
			delete(t.models, name)
			continue
		}
		items = append(items, Item{
			Name:       name,
			Rate:       m.calls / callWindow.Seconds(),
			Concurrent: max(m.work/workWindow.Seconds(), longWindowShare*m.longWork/callWindow.Seconds()),
			Absent:     m.misses / missWindow.Seconds(),
		})
	}
	for key, m := range t.versionMisses {
		m.decay(now)
		if m.misses < minVersionMisses {
			delete(t.versionMisses, key)
			continue
		}
		items = append(items, Item{Name: key.model, Software: key.software, Absent: m.misses / missWindow.Seconds()})
	}
	sortItems(items)
	return items
}

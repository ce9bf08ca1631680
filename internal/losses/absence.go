package losses

import (
	"strings"
	"time"

	"github.com/birchdrift/birchdrift/core/logevent"
)

// Why a model was not resident when a call asked for it.

type (
	// A placement is one placement of an engine's models, from its placement to its end.
	placement struct {
		engine  string
		load    string
		source  string
		begun   time.Time
		ordered time.Time // when its load was ordered; zero: it was not
		ended   time.Time // zero: the log does not say
		outcome string
	}
	placementKey struct{ instance, engine string }
	orderKey     struct{ engine, model string }

	// A missedCall is a call refused because its model was not resident.
	missedCall struct {
		call  *call
		model string
		at    time.Time
	}
)

// placementDone is the outcome of a change that came to its end.
const placementDone = "done"

// addPlacementEvent takes in an event of a change.
func (l *Log) addPlacementEvent(r record) {
	model, isName := r.Load.(string)
	key := placementKey{r.Instance, r.Engine}
	switch {
	case r.Event == logevent.Placement && isName:
		c := &placement{engine: r.Engine, load: model, source: r.Source, begun: r.Time}
		l.placements = append(l.placements, c)
		l.openPlacements[key] = c
	case r.Event == logevent.PlacementEnded:
		if c := l.openPlacements[key]; c != nil {
			c.ended = r.Time
			c.outcome = r.Detail
			delete(l.openPlacements, key)
		}
	case r.Event == logevent.EngineOrder && r.Load == true:
		k := orderKey{r.Engine, r.Item}
		l.orders[k] = append(l.orders[k], r.Time)
	}
}

// addMiss notes a call that found its model nowhere; the reason is known once the whole
// log is read.
func (c *call) addMiss(l *Log, r record) {
	model := strings.Trim(firstQuoted(r.Detail), `"`)
	model, _, _ = strings.Cut(model, "/")
	if model == "" {
		return
	}
	c.model = model
	if strings.Contains(r.Detail, "cannot be loaded") {
		c.reason = "its adapter cannot be loaded where its model is"
		return
	}
	l.missed = append(l.missed, missedCall{call: c, model: model, at: r.Time})
}

// firstQuoted returns the first part of the text between double quotes.
func firstQuoted(text string) string {
	_, rest, _ := strings.Cut(text, `"`)
	quoted, _, _ := strings.Cut(rest, `"`)
	return quoted
}

// explainMissed finds why each missed model was not there.
func (l *Log) explainMissed() {
	for _, c := range l.placements {
		for _, at := range l.orders[orderKey{c.engine, c.load}] {
			if !at.Before(c.begun) && (c.ended.IsZero() || !at.After(c.ended)) {
				c.ordered = at
				break
			}
		}
	}
	since := map[string]time.Time{}
	for _, m := range l.missed {
		if _, ok := since[m.model]; !ok {
			since[m.model] = m.at
		}
		m.call.reason = "not resident: " + l.absenceReason(m.model, m.at, m.at.Sub(since[m.model]))
	}
}

// missGracePeriod is how long a model may be missed before somebody should have begun to
// load it: a message to the placer, and its next look.
const missGracePeriod = 300 * time.Millisecond

// absenceReason says why nobody had a model at that time, known being for how long calls had
// missed it.
func (l *Log) absenceReason(model string, at time.Time, known time.Duration) string {
	c := l.activePlacement(model, at)
	switch {
	case c == nil && !l.placerActive(at):
		return "nobody places models"
	case c == nil && known < missGracePeriod:
		return "nobody had asked for it before"
	case c == nil:
		return "no change was begun for it"
	case c.ended.IsZero():
		return "the placer that began its change is gone"
	case c.outcome != placementDone:
		return "its change came to nothing: " + c.outcome
	case c.ordered.IsZero() || at.Before(c.ordered):
		return "its load was not ordered yet"
	default:
		return "loading from " + c.source
	}
}

// activePlacement returns the change that was to bring the model at that time, the one that
// ended first if there were several, nil if there was none.
func (l *Log) activePlacement(model string, at time.Time) *placement {
	var best *placement
	for _, c := range l.placements {
		if c.load != model || c.begun.After(at) || !c.ended.IsZero() && c.ended.Before(at) {
			continue
		}
		if best == nil || best.ended.IsZero() || !c.ended.IsZero() && c.ended.Before(best.ended) {
			best = c
		}
	}
	return best
}

// placerActive reports whether some instance had begun to place models by then.
func (l *Log) placerActive(at time.Time) bool {
	for _, began := range l.placerStarts {
		if !began.After(at) {
			return true
		}
	}
	return false
}

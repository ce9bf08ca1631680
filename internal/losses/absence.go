package losses

import (
	"strings"
	"time"

	"github.com/birchdrift/birchdrift/core/logevent"
)

// This file finds the reasons why a model was not resident when a call needed it.

type (
	// A placement is the loading of one model on an engine, from the placer's decision to
	// its end.
	placement struct {
		engine  string
		load    string
		source  string
		begun   time.Time
		ordered time.Time // when its load was ordered; zero if it was not
		ended   time.Time // zero if the log does not show its end
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

// placementDone is the outcome of a placement that succeeded.
const placementDone = "done"

// addPlacementEvent adds an event of a placement or an order to the log.
func (l *Log) addPlacementEvent(r record) {
	model, isName := r.Load.(string)
	key := placementKey{r.Instance, r.Engine}
	switch {
	case r.Event == logevent.Placement && isName:
		p := &placement{engine: r.Engine, load: model, source: r.Source, begun: r.Time}
		l.placements = append(l.placements, p)
		l.openPlacements[key] = p
	case r.Event == logevent.PlacementEnded:
		if p := l.openPlacements[key]; p != nil {
			p.ended = r.Time
			p.outcome = r.Detail
			delete(l.openPlacements, key)
		}
	case r.Event == logevent.EngineOrder && r.Load == true:
		k := orderKey{r.Engine, r.Item}
		l.orders[k] = append(l.orders[k], r.Time)
	}
}

// addMiss records a call whose model was not resident. Unless its adapter was the cause,
// the reason is found after the whole log has been read.
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

// firstQuoted returns the first substring between double quotes, without them.
func firstQuoted(text string) string {
	_, rest, _ := strings.Cut(text, `"`)
	quoted, _, _ := strings.Cut(rest, `"`)
	return quoted
}

// explainMissed sets the reason of every call whose model was not resident.
func (l *Log) explainMissed() {
	for _, p := range l.placements {
		for _, at := range l.orders[orderKey{p.engine, p.load}] {
			if !at.Before(p.begun) && (p.ended.IsZero() || !at.After(p.ended)) {
				p.ordered = at
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

// missGracePeriod is the longest time that the start of a placement should take after the
// first call for a model that is not resident: a message to the placer, and the placer's
// next check.
const missGracePeriod = 300 * time.Millisecond

// absenceReason returns why no engine had a model at that time; known is the time since
// the first call that missed it.
func (l *Log) absenceReason(model string, at time.Time, known time.Duration) string {
	p := l.activePlacement(model, at)
	switch {
	case p == nil && !l.placerActive(at):
		return "no instance places models"
	case p == nil && known < missGracePeriod:
		return "it was not requested before"
	case p == nil:
		return "no change was begun for it"
	case p.ended.IsZero():
		return "the placer that began its change is gone"
	case p.outcome != placementDone:
		return "its change came to nothing: " + p.outcome
	case p.ordered.IsZero() || at.Before(p.ordered):
		return "its load was not ordered yet"
	default:
		return "loading from " + p.source
	}
}

// activePlacement returns the placement of a model that was in progress at that time, the
// first to end if there were several, or nil if there was none.
func (l *Log) activePlacement(model string, at time.Time) *placement {
	var best *placement
	for _, p := range l.placements {
		if p.load != model || p.begun.After(at) || !p.ended.IsZero() && p.ended.Before(at) {
			continue
		}
		if best == nil || best.ended.IsZero() || !p.ended.IsZero() && p.ended.Before(best.ended) {
			best = p
		}
	}
	return best
}

// placerActive reports whether some instance had become the placer by that time.
func (l *Log) placerActive(at time.Time) bool {
	for _, began := range l.placerStarts {
		if !began.After(at) {
			return true
		}
	}
	return false
}

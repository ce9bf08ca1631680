package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// limitedInput returns three engines. The first is rate-limited, unless limit is
// negative, and alone holds a busy and a rare model; the second has the weights of the
// busy model on disk and holds a model without calls.
func limitedInput(limit float64) Input {
	readyCopies := func(models ...string) (copies []Copy) {
		for _, m := range models {
			copies = append(copies, Copy{Model: m, Ready: true, Age: time.Minute})
		}
		return copies
	}
	in := Input{
		Models:      map[string]Model{"busy": {MB: 70}, "rare": {MB: 70}, "idle": {MB: 70}, "other": {MB: 70}},
		Demand:      map[string]Demand{"busy": {Work: 0.1, Rate: 3}, "rare": {Work: 0.01, Rate: 0.2}},
		StoreLoads:  2,
		MinimumStay: time.Second,
		Engines: []Engine{
			{Name: "a", Zone: "z", Open: true, Sound: true, Copies: readyCopies("busy", "rare"), OnDisk: map[string]bool{"busy": true, "rare": true}},
			{Name: "b", Zone: "z", Open: true, Sound: true, FreeMB: 70, Copies: readyCopies("idle"), OnDisk: map[string]bool{"busy": true, "rare": true, "idle": true}},
			{Name: "c", Zone: "z", Open: true, Sound: true, Copies: readyCopies("other", "idle"), OnDisk: map[string]bool{"idle": true, "other": true}},
		},
	}
	if limit >= 0 {
		in.Engines[0].Limited = true
		in.Engines[0].Limit = limit
	}
	return in
}

// planLimited returns the plan for an input with its rate limits applied, and the copies
// that exceed them.
func planLimited(in Input, previous map[copyKey]bool) ([]Change, map[copyKey]bool) {
	overLimit := overLimitCopies(in, previous)
	for i, e := range in.Engines {
		for k, c := range e.Copies {
			in.Engines[i].Copies[k].Uncarried = overLimit[copyKey{e.Name, c.Model}]
		}
	}
	return Plan(in), overLimit
}

// TestOverLimitModelIsLoadedElsewhere checks that a model whose calls exceed a rate limit
// gets a copy on another engine, while the limited engine keeps the rare models that its
// limit allows. Nothing moves if the demand does not reach the limit.
func TestOverLimitModelIsLoadedElsewhere(t *testing.T) {
	is := is.New(t)
	for _, limit := range []float64{-1, 100, 7} {
		changes, overLimit := planLimited(limitedInput(limit), nil)
		is.Equal(len(changes), 0)
		is.Equal(len(overLimit), 0)
	}
	changes, overLimit := planLimited(limitedInput(2), nil)
	is.Equal(overLimit, map[copyKey]bool{{"a", "busy"}: true})
	is.Equal(len(changes), 1)
	is.Equal(changes[0].Load, "busy")
	is.Equal(changes[0].Engine, "b")
	_, overLimit = planLimited(limitedInput(0.1), nil)
	is.Equal(len(overLimit), 2)
}

// TestOverLimitCopiesDoNotOscillate: after the model is loaded elsewhere, half of its
// calls are below the limit. Its copy on the limited engine still does not count, so that
// the new copy stays. If all engines are limited, nothing moves.
func TestOverLimitCopiesDoNotOscillate(t *testing.T) {
	is := is.New(t)
	in := limitedInput(4)
	_, previous := planLimited(in, nil)
	is.Equal(len(previous), 1)
	in.Engines[1].Copies = append(in.Engines[1].Copies, Copy{Model: "busy", Ready: true, Age: time.Minute})
	in.Engines[1].FreeMB = 0
	changes, still := planLimited(in, previous)
	is.Equal(len(changes), 0)
	is.Equal(still, previous)
	in.Demand["busy"] = Demand{Work: 0.1, Rate: 1.2} // half of the limit, together with the rare model
	_, now := planLimited(in, previous)
	is.Equal(len(now), 0)

	in = limitedInput(1)
	for i := range in.Engines {
		in.Engines[i].Limited = true
		in.Engines[i].Limit = 1
	}
	changes, overLimit := planLimited(in, nil)
	is.Equal(len(changes), 0)
	is.Equal(len(overLimit), 0)
}

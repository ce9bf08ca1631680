package placement

import (
	"cmp"
	"slices"
)

// Engines that name a limit: which of their copies it carries.

// callShare is the part of a limit that is for calls; the rest is for the orders that
// their adapters need (docs/design/limits.md).
const callShare = 0.5

// overLimitHysteresis is the part of its limit below which an engine carries a copy again that it
// did not: what is loaded elsewhere takes demand away, and is not to go at once for that
// (docs/design/limits.md).
const overLimitHysteresis = 0.5

// overLimitCopies returns the copies for which the limits of their engines are too small: the
// demand for them is met elsewhere, so they do not count. Of an engine's copies those that
// few calls ask for come first: many rare models are served by a limit that one busy model
// uses up, and which has copies elsewhere sooner. was says which copies were too much before.
// Where all engines name a limit nothing is gained by moving models between them.
func overLimitCopies(in Input, was map[copyKey]bool) map[copyKey]bool {
	out := map[copyKey]bool{}
	if !slices.ContainsFunc(in.Engines, func(e Engine) bool { return e.Sound && !e.Limited }) {
		return out
	}
	copies := map[string]int{}
	for _, e := range in.Engines {
		for _, c := range e.Copies {
			if e.Sound && !c.Leaving {
				copies[c.Model]++
			}
		}
	}
	for _, e := range in.Engines {
		if e.Limited && e.Sound {
			e.addOverLimit(in, copies, was, out)
		}
	}
	return out
}

// addOverLimit adds an engine's copies that its limit is too small for to out.
func (e Engine) addOverLimit(in Input, copies map[string]int, was, out map[copyKey]bool) {
	rate := func(c Copy) float64 { return in.Demand[c.Model].Rate / float64(max(1, copies[c.Model])) }
	held := slices.Clone(e.Copies)
	slices.SortFunc(held, func(a, b Copy) int {
		return cmp.Or(cmp.Compare(rate(a), rate(b)), cmp.Compare(a.Model, b.Model))
	})
	asked := 0.0
	for _, c := range held {
		asked += rate(c)
		key := copyKey{e.Name, c.Model}
		carries := callShare * e.Limit
		if was[key] {
			carries *= overLimitHysteresis
		}
		if asked > carries && rate(c) > 0 {
			out[key] = true
		}
	}
}

package placement

import (
	"cmp"
	"slices"
)

// Which copies on rate-limited engines count for the placement.

// callShare is the share of an engine's rate limit that is available for calls. The rest is
// for the orders that load the adapters of these calls (docs/design/limits.md).
const callShare = 0.5

// overLimitHysteresis is the fraction of the usual threshold below which a copy that was
// over the limit counts again. While such a copy does not count, its model is loaded on
// another engine. The demand that the new copy takes over must not make it superfluous at
// once (docs/design/limits.md).
const overLimitHysteresis = 0.5

// overLimitCopies returns the copies that do not count because the rate limits of their
// engines are too small for their calls; other engines must serve that demand. An engine's
// limit goes to its copies with the fewest calls first: it suffices for many rare models,
// whereas one busy model would use it up and is more likely to have copies elsewhere.
// previous holds the copies that were over the limit before. If every engine is
// rate-limited, the result is empty, because moving models between them gains nothing.
func overLimitCopies(in Input, previous map[copyKey]bool) map[copyKey]bool {
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
			e.addOverLimit(in, copies, previous, out)
		}
	}
	return out
}

// addOverLimit adds to out the engine's copies that exceed its rate limit.
func (e Engine) addOverLimit(in Input, copies map[string]int, previous, out map[copyKey]bool) {
	rate := func(c Copy) float64 { return in.Demand[c.Model].Rate / float64(max(1, copies[c.Model])) }
	sorted := slices.Clone(e.Copies)
	slices.SortFunc(sorted, func(a, b Copy) int {
		return cmp.Or(cmp.Compare(rate(a), rate(b)), cmp.Compare(a.Model, b.Model))
	})
	total := 0.0
	for _, c := range sorted {
		total += rate(c)
		key := copyKey{e.Name, c.Model}
		threshold := callShare * e.Limit
		if previous[key] {
			threshold *= overLimitHysteresis
		}
		if total > threshold && rate(c) > 0 {
			out[key] = true
		}
	}
}

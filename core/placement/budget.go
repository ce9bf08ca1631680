package placement

import (
	"math"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
)

const (
	// loadBurst is how many loads from the weight store may start at once.
	loadBurst = 2.0
	// loadShare is the share of the weight store's rate that is used, so that loads which
	// start late do not exceed the whole rate.
	loadShare = 0.9
)

// A loadBudget is a token bucket of loads from the weight store.
type loadBudget struct {
	startedAt  clock.Instant // when this instance became the placer
	refilledAt clock.Instant // time of the last refill
	available  float64
}

func newLoadBudget(now clock.Instant) loadBudget { return loadBudget{startedAt: now, refilledAt: now} }

// inheritedBudget returns the budget of a placer whose predecessor handed over its role
// with available loads left and no longer places models.
func inheritedBudget(now clock.Instant, available float64, o *option.Options) loadBudget {
	return loadBudget{startedAt: now.Add(-o.OrderValid), refilledAt: now, available: min(available, loadBurst)}
}

// remaining returns how many loads may start at now. It is negative while the former
// placer may still be active, by the number of loads that the rate yields in the rest of
// that time.
func (b *loadBudget) remaining(now clock.Instant, rate float64, o *option.Options) float64 {
	wait := o.OrderValid - now.Since(b.startedAt)
	if wait > 0 {
		return -loadShare * rate * wait.Seconds()
	}
	return b.available
}

// refill adds the loads since the last refill at rate loads per second. It adds none
// while the former placer may still be active.
func (b *loadBudget) refill(now clock.Instant, rate float64, o *option.Options) {
	if o.Disable.Rate {
		b.available = math.MaxInt32
		return
	}
	if now.Since(b.startedAt) < o.OrderValid {
		b.refilledAt = now
		return
	}
	b.available = min(b.available+loadShare*rate*now.Since(b.refilledAt).Seconds(), loadBurst)
	b.refilledAt = now
}

// take takes one load and reports whether there was one.
func (b *loadBudget) take() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// loadRate returns the weight store's rate for all services, in loads per second.
func (p *Placer) loadRate() float64 {
	rate := 0.0
	for _, svc := range p.Config.Document().Services {
		if svc.Announced != nil && svc.Announced.Engine != nil {
			rate += svc.Announced.Engine.LoadsPerSecond
		}
	}
	return rate
}

// plannableLoads returns how many loads from the weight store may be planned now: the
// available loads less those that are planned and have not started.
func (p *Placer) plannableLoads() int {
	free := math.Floor(p.loads.available)
	for _, c := range p.changes {
		if c.Source == pool.WeightStore && !c.loadCounted {
			free--
		}
	}
	return max(0, int(free))
}

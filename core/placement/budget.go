package placement

import (
	"math"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
)

const (
	// loadBurst is how many loads from the weight store may begin together.
	loadBurst = 2.0
	// loadShare is the share of the weight store's rate that is used, so that
	// loads which begin late do not come to more than the whole.
	loadShare = 0.9
)

// A loadBudget is a token bucket of loads from the weight store.
type loadBudget struct {
	startedAt  clock.Instant // when this instance became the placer
	refilledAt clock.Instant // when tokens were last added
	available  float64
}

func newLoadBudget(now clock.Instant) loadBudget { return loadBudget{startedAt: now, refilledAt: now} }

// inheritedBudget returns the budget of a placer whose former one gave the task back,
// with so many loads left, and is at work no more.
func inheritedBudget(now clock.Instant, available float64, o *option.Options) loadBudget {
	return loadBudget{startedAt: now.Add(-o.OrderValid), refilledAt: now, available: min(available, loadBurst)}
}

// remaining returns how many loads may begin at now, less than 0 while none may: as many
// fewer as would have come in the time for which the former placer may be at work.
func (b *loadBudget) remaining(now clock.Instant, rate float64, o *option.Options) float64 {
	wait := o.OrderValid - now.Since(b.startedAt)
	if wait > 0 {
		return -loadShare * rate * wait.Seconds()
	}
	return b.available
}

// refill adds the loads that may have begun since the last time, at rate loads a
// second. While the former placer may still be at work, there are none.
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

// take takes one load, and reports whether there was one.
func (b *loadBudget) take() bool {
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}

// loadRate returns the weight store's rate for all services, in loads a second.
func (p *Placer) loadRate() float64 {
	rate := 0.0
	for _, svc := range p.Config.Document().Services {
		if svc.Announced != nil && svc.Announced.Engine != nil {
			rate += svc.Announced.Engine.LoadsPerSecond
		}
	}
	return rate
}

// plannableLoads returns how many loads from the weight store may be planned now:
// those that may begin, less those that are planned and have not begun.
func (p *Placer) plannableLoads() int {
	free := math.Floor(p.loads.available)
	for _, c := range p.changes {
		if c.Source == pool.WeightStore && !c.loadCounted {
			free--
		}
	}
	return max(0, int(free))
}

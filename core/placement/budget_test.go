package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/option"
)

// TestLoadBudget checks that a new placer starts no loads while the former one may still
// be active, and that its loads then follow the rate of the weight store and start at most
// loadBurst at once.
func TestLoadBudget(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	opt := option.Default()
	const rate = 2.0
	takeAll := func(b *loadBudget) (n int) {
		for b.take() {
			n++
		}
		return n
	}
	b := newLoadBudget(now)
	b.refill(now.Add(opt.OrderValid-1), rate, &opt)
	is.Equal(takeAll(&b), 0)
	now = now.Add(opt.OrderValid)
	b.refill(now, rate, &opt)
	is.Equal(takeAll(&b), 0) // no budget accrues while the former placer may be active
	now = now.Add(600 * time.Millisecond)
	b.refill(now, rate, &opt)
	is.Equal(takeAll(&b), 1)
	now = now.Add(time.Hour)
	b.refill(now, rate, &opt)
	is.Equal(takeAll(&b), int(loadBurst))
}

// TestBudgetHandover checks that a placer starts with the budget that the former one had left
// when it stopped, so that both together start no more loads than a single one would. A former
// placer that was itself still waiting until its predecessor was certainly inactive hands over
// a negative budget: minus the loads that the rate would yield in the rest of that wait.
func TestBudgetHandover(t *testing.T) {
	now := clocktest.At(time.Hour)
	opt := option.Default()
	const rate = 2.0
	for _, tt := range []struct {
		name       string
		startedAgo time.Duration // time from the start of the first placer to its stop
		spent      int           // loads that the first placer started
		want       float64       // remaining loads
	}{
		{"a full budget", time.Minute, 0, loadBurst},
		{"one load started", time.Minute, 1, loadBurst - 1},
		{"while a former placer may be active", 0, 0, -loadShare * rate * opt.OrderValid.Seconds()},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first := newLoadBudget(now.Add(-tt.startedAgo))
			first.refill(now, rate, &opt)
			for range tt.spent {
				is.True(first.take())
			}
			is.Equal(first.remaining(now, rate, &opt), tt.want)
			next := inheritedBudget(now, first.remaining(now, rate, &opt), &opt)
			next.refill(now, rate, &opt)
			for range int(max(0, tt.want)) {
				is.True(next.take())
			}
			is.True(!next.take())
			next.refill(now.Add(opt.OrderValid+2*time.Second), rate, &opt)
			is.True(next.take())
		})
	}
}

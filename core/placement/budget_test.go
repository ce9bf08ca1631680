package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/option"
)

// TestLoadBudget: a new placer loads nothing while the former one may still be at
// work; then loads come at the store's rate, and no more than a few at once.
func TestLoadBudget(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	opt := option.Default()
	const rate = 2.0
	spent := func(b *loadBudget) (n int) {
		for b.take() {
			n++
		}
		return n
	}
	b := newLoadBudget(now)
	b.refill(now.Add(opt.OrderValid-1), rate, &opt)
	is.Equal(spent(&b), 0)
	now = now.Add(opt.OrderValid)
	b.refill(now, rate, &opt)
	is.Equal(spent(&b), 0) // what passed before does not count
	now = now.Add(600 * time.Millisecond)
	b.refill(now, rate, &opt)
	is.Equal(spent(&b), 1)
	now = now.Add(time.Hour)
	b.refill(now, rate, &opt)
	is.Equal(spent(&b), int(loadBurst))
}

// TestBudgetHandover: what a placer that stops leaves is what the next one begins
// with, so that both together begin no more loads than one would; what the first still
// had to wait for counts as loads that it owes.
func TestBudgetHandover(t *testing.T) {
	now := clocktest.At(time.Hour)
	opt := option.Default()
	const rate = 2.0
	for _, tt := range []struct {
		name  string
		begun time.Duration // when the first placer began, before its stop
		spent int
		want  float64 // loads left
	}{
		{"a full budget", time.Minute, 0, loadBurst},
		{"one spent", time.Minute, 1, loadBurst - 1},
		{"while a former one may be at work", 0, 0, -loadShare * rate * opt.OrderValid.Seconds()},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first := newLoadBudget(now.Add(-tt.begun))
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

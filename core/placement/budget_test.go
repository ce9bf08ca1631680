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
		for b.spend() {
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

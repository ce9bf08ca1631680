package backoff

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestDelay checks that the delay is zero without a failure, lies between the base
// and a ceiling that doubles with each failure up to the longest delay, and is zero
// again after a success.
func TestDelay(t *testing.T) {
	const base, longest = 100 * time.Millisecond, time.Second
	for _, tt := range []struct {
		failures int
		least    time.Duration
		ceiling  time.Duration
	}{
		{0, 0, 0},
		{1, base, 2 * base},
		{2, base, 4 * base},
		{3, base, 8 * base},
		{4, base, longest},
		{maxDoublings - 1, base, longest},
		{maxDoublings, base, longest},
		{100, base, longest},
	} {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(1, 1))
		b := New(base, longest)
		for range tt.failures {
			b = b.WithFailure()
		}
		var most time.Duration
		for range 200 {
			delay := b.Delay(rng)
			is.True(delay >= tt.least)   // not below the base
			is.True(delay <= tt.ceiling) // not above the ceiling
			most = max(most, delay)
		}
		is.True(most >= tt.ceiling*9/10) // delays come from the whole range
		is.Equal(b.WithSuccess().Delay(rng), time.Duration(0))
	}
}

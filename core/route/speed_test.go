package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPrefillSpeedEstimate checks that a model with measurements is estimated by its own
// speed, a model of the same size by the speed of the others of that size, and a model
// of another size by the default. Neither the constant overhead of a call nor a delay
// with another cause may count as prefill.
func TestPrefillSpeedEstimate(t *testing.T) {
	for _, tt := range []struct {
		name     string
		overhead time.Duration
		perToken time.Duration
		outliers bool // every tenth first event is delayed by something else
	}{
		{name: "a slow model", overhead: 15 * time.Millisecond, perToken: 50 * time.Microsecond},
		{name: "a fast model", overhead: 18 * time.Millisecond, perToken: 3 * time.Microsecond},
		{name: "a fast model with outliers", overhead: 18 * time.Millisecond, perToken: 3 * time.Microsecond, outliers: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			router := NewRouter()
			known, same, other := ModelSize{"m", 70}, ModelSize{"n", 70}, ModelSize{"o", 80}
			is.Equal(router.PrefillTokenTime(known), defaultTokenTime)
			for i := range 60 {
				tokens := 300 + 37*(i*7%40) // from 300 to 1743, not in order
				took := tt.overhead + time.Duration(tokens)*tt.perToken
				if tt.outliers && i%10 == 9 {
					took += time.Second
				}
				router.ObserveFirstEvent(known, tokens, took)
			}
			const tolerance = 2 * time.Microsecond
			is.True(router.PrefillTokenTime(known) > tt.perToken-tolerance)
			is.True(router.PrefillTokenTime(known) < tt.perToken+tolerance)
			is.Equal(router.PrefillTokenTime(same), router.PrefillTokenTime(known))
			is.Equal(router.PrefillTokenTime(other), defaultTokenTime)
		})
	}
}

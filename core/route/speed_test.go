package route

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPrefillSpeedEstimate: a measured model is estimated by its own speed, one of
// the same size by that of others, and one of another size by the default. What a
// first event takes beside reading does not count as reading, nor does a wait that
// had another cause.
func TestPrefillSpeedEstimate(t *testing.T) {
	for _, tt := range []struct {
		name     string
		overhead time.Duration
		perToken time.Duration
		hiccups  bool // every tenth first event waits for something else
	}{
		{name: "a slow model", overhead: 15 * time.Millisecond, perToken: 50 * time.Microsecond},
		{name: "a fast model", overhead: 18 * time.Millisecond, perToken: 3 * time.Microsecond},
		{name: "a fast model with hiccups", overhead: 18 * time.Millisecond, perToken: 3 * time.Microsecond, hiccups: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := NewRouter()
			known, same, other := ModelSize{"m", 70}, ModelSize{"n", 70}, ModelSize{"o", 80}
			is.Equal(f.PrefillTokenTime(known), defaultTokenTime)
			for i := range 60 {
				tokens := 300 + 37*(i*7%40)
				took := tt.overhead + time.Duration(tokens)*tt.perToken
				if tt.hiccups && i%10 == 9 {
					took += time.Second
				}
				f.ObserveFirstEvent(known, tokens, took)
			}
			const tolerance = 2 * time.Microsecond
			is.True(f.PrefillTokenTime(known) > tt.perToken-tolerance)
			is.True(f.PrefillTokenTime(known) < tt.perToken+tolerance)
			is.Equal(f.PrefillTokenTime(same), f.PrefillTokenTime(known))
			is.Equal(f.PrefillTokenTime(other), defaultTokenTime)
		})
	}
}

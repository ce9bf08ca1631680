package clock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMaxElapsed checks that MaxElapsed, by which leases expire, returns the larger
// difference of the two clocks, and that Since, by which periodic work is scheduled,
// returns that of the monotonic clock.
func TestMaxElapsed(t *testing.T) {
	from := Instant{Mono: time.Hour, Wall: time.Unix(1e9, 0)}
	for _, tt := range []struct {
		name    string
		mono    time.Duration
		wall    time.Duration
		elapsed time.Duration
	}{
		{"both clocks advance", time.Second, time.Second, time.Second},
		{"the machine was suspended", time.Second, time.Minute, time.Minute},
		{"the wall clock was set back", time.Second, -time.Minute, time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := Instant{Mono: from.Mono + tt.mono, Wall: from.Wall.Add(tt.wall)}
			is.Equal(now.MaxElapsed(from), tt.elapsed)
			is.Equal(now.Since(from), tt.mono)
		})
	}
}

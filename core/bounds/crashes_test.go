package bounds

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBlameArrivesWithinSettle guards against requests that crash replicas and reach further ones for
// longer than users allow. It adds up the delays between a crash and the last call of such requests,
// where all instances exchange with each other and where they relay reports.
func TestBlameArrivesWithinSettle(t *testing.T) {
	is := is.New(t)
	for _, c := range []struct {
		bounds Bounds
		mesh   bool
	}{{small, true}, {large, false}} {
		crashes := c.bounds.Crashes(Timing{Mesh: c.mesh, Exchange: exchange})
		sum := time.Duration(0)
		for _, d := range crashes.All() {
			sum += d.Longest
		}
		is.Equal(sum, crashes.Sum())
		is.True(sum <= c.bounds.Settle-c.bounds.Settle/reserveDivisor)
	}
}

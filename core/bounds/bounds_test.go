package bounds

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// small and large are the bounds of the users' small and large deployments.
var (
	small = Bounds{Leave: 2 * time.Second, Settle: 3 * time.Second}
	large = Bounds{Leave: 3 * time.Second, Settle: 4 * time.Second}
)

// exchange is the interval between the exchanges of an instance in the users' deployments.
const exchange = 500 * time.Millisecond

// reserveDivisor defines the reserve: the delays must leave Leave/reserveDivisor of the bound
// unused.
const reserveDivisor = 40

// TestDelaysStayWithinBound checks that the computed delays leave a reserve of the bound. It
// covers small and large bounds, and fleets in which every instance watches the store or in
// which some receive changes from peers.
func TestDelaysStayWithinBound(t *testing.T) {
	for _, b := range []Bounds{small, large, {Leave: 10 * time.Second, Settle: 10 * time.Second}} {
		for _, mesh := range []bool{true, false} {
			is := is.New(t)
			timing := Timing{Mesh: mesh, Exchange: exchange}
			d := b.Delays(timing)
			is.True(b.Leave-d.Sum() >= b.Leave/reserveDivisor)
			is.NoErr(b.Check(timing))
			is.True(d.Wait >= minWait)
			// An instance that queries the store because its list is old meets the bound too,
			// and does not query it while the store is healthy.
			is.True(b.MaxStoreSilence()+d.Read+d.Dial+d.Send <= b.Leave)
			is.True(d.MaxListAge() <= b.MaxStoreSilence())
			// After an outage the list is read before the bound applies again.
			is.True(b.MaxRetryDelay()+d.Read < b.Settle)
		}
	}
}

// TestVersionHoldExceedsAgeOfLists guards against streams that begin at a version of which another
// instance, whose list counts, has not heard. It adds up the greatest age of such a list.
func TestVersionHoldExceedsAgeOfLists(t *testing.T) {
	for _, b := range []Bounds{small, large, {Leave: 10 * time.Second, Settle: 10 * time.Second}} {
		for _, mesh := range []bool{true, false} {
			is := is.New(t)
			timing := Timing{Mesh: mesh, Exchange: exchange}
			d := b.Delays(timing)
			understated := d.Wait // by the answer to a watch that was delayed on its way
			is.True(b.MaxVersionAge()+understated <= b.VersionHold(timing))
			// The list of each instance counts while the store is healthy.
			is.True(d.MaxListAge()+d.Read < b.MaxVersionAge())
		}
	}
}

// TestCheckRejectsExcessiveDelays checks that the error names the sum and its delays.
func TestCheckRejectsExcessiveDelays(t *testing.T) {
	for _, tt := range []struct {
		name   string
		bounds Bounds
		timing Timing
		want   string
	}{
		{"a long wait", small, Timing{Mesh: true, Wait: 1500 * time.Millisecond}, "calls for 2.6s, and 2s are allowed"},
		{"a long pause", small, Timing{Mesh: true, Pause: time.Second, Wait: 600 * time.Millisecond}, "pause 1s"},
		{"a short bound", Bounds{Leave: 500 * time.Millisecond}, Timing{Mesh: true}, "dial 300ms"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := tt.bounds.Check(tt.timing)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}

package bounds

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// small and large are the bounds and the spacing of exchanges of the users' deployments.
var (
	small = Bounds{Leave: 2 * time.Second, Settle: 3 * time.Second}
	large = Bounds{Leave: 3 * time.Second, Settle: 4 * time.Second}
)

const exchange = 500 * time.Millisecond

// reserveDivisor is the part of the bound, one in so many, that the parts leave over.
const reserveDivisor = 40

// TestDelaysStayWithinBound: the waits that were worked out leave something over of the
// bound, whatever it is and however the fleet hears of news.
func TestDelaysStayWithinBound(t *testing.T) {
	for _, b := range []Bounds{small, large, {Leave: 10 * time.Second, Settle: 10 * time.Second}} {
		for _, mesh := range []bool{true, false} {
			is := is.New(t)
			r := Timing{Mesh: mesh, Exchange: exchange}
			p := b.Delays(r)
			is.True(b.Leave-p.Sum() >= b.Leave/reserveDivisor)
			is.NoErr(b.Check(r))
			is.True(p.Wait >= minWait)
			// An instance that asks the store itself, since its news is old, is in time too,
			// and does not do so while all is well.
			is.True(b.MaxStoreSilence()+p.Read+p.Dial+p.Send <= b.Leave)
			is.True(p.MaxListAge() <= b.MaxStoreSilence())
			// After an outage the list is there before the bound binds again.
			is.True(b.MaxRetryDelay()+p.Read < b.Settle)
		}
	}
}

// TestCheckRejectsExcessiveDelays: the error names the sum and its parts.
func TestCheckRejectsExcessiveDelays(t *testing.T) {
	for _, tt := range []struct {
		name   string
		bounds Bounds
		rhythm Timing
		want   string
	}{
		{"a long wait", small, Timing{Mesh: true, Wait: 1500 * time.Millisecond}, "calls for 2.8s, and 2s are allowed"},
		{"a long pause", small, Timing{Mesh: true, Pause: time.Second, Wait: 600 * time.Millisecond}, "pause 1s"},
		{"a short bound", Bounds{Leave: 500 * time.Millisecond}, Timing{Mesh: true}, "dial 500ms"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			err := tt.bounds.Check(tt.rhythm)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), tt.want))
		})
	}
}

package outage

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/step"
)

// TestOutageIsLoggedOnce checks that only the first failure and the first answer
// after it are logged, and that calls are delayed in between.
func TestOutageIsLoggedOnce(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	rng := rand.New(rand.NewPCG(1, 1))
	out := &step.Output{}
	tracker := New(out, DefaultMaxRetryDelay)
	down := errors.New("connection refused")
	outcomes := []error{nil, down, down, nil, nil, down}
	var logged []logevent.Number
	for i, err := range outcomes {
		tracker.Observe(now.Add(time.Duration(i)*time.Second), err)
		is.Equal(tracker.Down(), err != nil)
		is.Equal(tracker.Wait(rng) > 0, err != nil)
	}
	for _, a := range out.Actions() {
		logged = append(logged, a.(step.Log).Event)
	}
	is.Equal(logged, []logevent.Number{logevent.PlatformDown, logevent.PlatformBack, logevent.PlatformDown})
}

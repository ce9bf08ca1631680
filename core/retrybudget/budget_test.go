package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/option"
)

// testOptions returns options with a budget of a fifth of the calls and 50 retries in 10 s.
func testOptions() *option.Options {
	opt := option.Default()
	opt.RetryWindow = 10 * time.Second
	opt.RetryRatio = 0.2
	opt.RetrySlack = 50
	return &opt
}

// spendAll spends all retries of a service and returns how many there were.
func spendAll(b *Budget, now clock.Instant, service string) int {
	spent := 0
	for b.Spend(now, service) {
		spent++
	}
	return spent
}

// TestBudget checks how many retries an instance has: none when it has just started, later a
// part of the slack, and some for its calls.
func TestBudget(t *testing.T) {
	cases := []struct {
		name         string
		calls        int
		instances    int
		unregistered bool
		after        time.Duration // from the start of the instance
		want         int
		other        int // retries of a service without calls
	}{
		{"it has just started", 0, 10, false, 0, 0, 0},
		{"part of the slack", 0, 10, false, time.Minute, 1, 1},
		{"small fleet: larger part of the slack", 0, 5, false, time.Minute, 3, 3},
		{"large fleet: less than one retry", 0, 25, false, time.Minute, 0, 0},
		{"calls: a share of them in addition", 110, 10, false, time.Minute, 7, 1},
		{"large fleet, calls", 110, 25, false, time.Minute, 6, 0},
		{"calls of an instance that has just started", 110, 10, false, 0, 7, 0},
		{"not registered: calls only", 110, 10, true, time.Minute, 5, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := &Budget{Options: testOptions(), FleetSize: func() (int, bool) { return c.instances, !c.unregistered }}
			started := clocktest.At(time.Hour)
			b.Tick(started)
			now := started.Add(c.after)
			b.Tick(now)
			for range c.calls {
				b.RecordCall(now, "s")
			}
			is.Equal(b.Available(now, "s"), c.want > 0)
			is.Equal(b.Low(now, "s"), c.want < 1+lowThreshold)
			is.Equal(spendAll(b, now, "s"), c.want)
			is.Equal(b.Usage(now, "s").Calls, c.calls)
			is.Equal(b.Usage(now, "s").Retries, c.want)
			is.Equal(spendAll(b, now, "other"), c.other) // each service has a budget of its own
			is.Equal(spendAll(b, now.Add(time.Minute), "s") > 0, !c.unregistered && c.instances < 25)
		})
	}
}

// TestUnusedRetriesExpire checks that an instance keeps only a share of the calls of the last
// window as unused retries, and that a window of another length begins with none.
func TestUnusedRetriesExpire(t *testing.T) {
	is := is.New(t)
	opt := testOptions()
	b := &Budget{Options: opt, FleetSize: func() (int, bool) { return 7, true }}
	now := clocktest.At(time.Hour)
	b.Tick(now)
	for range 1000 {
		b.RecordCall(now, "s")
		now = now.Add(10 * time.Millisecond)
	}
	most := savedShare*opt.RetryRatio*1000 + burstShare*opt.RetrySlack/7
	is.True(b.Usage(now, "s").Left <= most)
	is.True(b.Usage(now, "s").Left > 0.85*most)
	later := now.Add(opt.RetryWindow / 2)
	is.True(b.Usage(later, "s").Left < 0.6*most)
	opt.RetryWindow = time.Minute
	b.Reset()
	b.Tick(later)
	is.Equal(spendAll(b, later, "s"), 0)
}

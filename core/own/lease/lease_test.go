package lease

import (
	"flag"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
)

// The random draws are the same in every run; -rapid.seed=0 selects different ones.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestLeaseInvalidAfterSuspend checks that the lease expires by the wall clock when the
// monotonic clock stood still because the machine was suspended.
func TestLeaseInvalidAfterSuspend(t *testing.T) {
	is := is.New(t)
	sent := clocktest.At(time.Hour)
	l := New(10*time.Second).WithGrant(3, sent)
	is.True(l.Valid(sent.Add(8 * time.Second)))
	woken := sent
	woken.Wall = woken.Wall.Add(9 * time.Second)
	is.True(!l.Valid(woken))
}

// TestTermCountsFromRequest checks that the term starts when the request is sent, so that
// a late reply does not extend the lease.
func TestTermCountsFromRequest(t *testing.T) {
	is := is.New(t)
	sent := clocktest.At(time.Hour)
	l := New(10*time.Second).WithGrant(3, sent)
	is.True(!l.Valid(sent.Add(9 * time.Second)))
}

// TestOnlyOneHolderAtATime draws grants, renewals, lost replies and suspends for two
// holders of one platform lease. At no time may both treat the lease as valid.
func TestOnlyOneHolderAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const term = 10 * time.Second
		now := time.Hour
		var fence uint64
		holder := -1
		var expires time.Duration
		views := []Lease{New(term), New(term)}
		lag := make([]time.Duration, 2) // how far each monotonic clock lags behind
		at := func(i int) clock.Instant {
			c := clocktest.At(now)
			c.Mono -= lag[i]
			return c
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			i := rapid.IntRange(0, 1).Draw(t, "who")
			switch rapid.SampledFrom([]string{"seek", "wait", "suspend"}).Draw(t, "act") {
			case "seek":
				sent := at(i)
				now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "transit")) * time.Millisecond
				if now > expires && holder != i {
					fence++
					holder = i
				}
				if holder != i {
					views[i] = views[i].WithLoss()
					break
				}
				expires = now + term
				if !rapid.Bool().Draw(t, "answer lost") {
					views[i] = views[i].WithGrant(fence, sent)
				}
			case "wait":
				now += time.Duration(rapid.IntRange(0, 8000).Draw(t, "wait")) * time.Millisecond
			case "suspend":
				d := time.Duration(rapid.IntRange(0, 20000).Draw(t, "sleep")) * time.Millisecond
				now += d
				lag[i] += d
			}
			if views[0].Valid(at(0)) && views[1].Valid(at(1)) {
				t.Fatal("two holders treat the lease as valid at the same time")
			}
		}
	})
}

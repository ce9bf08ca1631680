package instance

import (
	"testing"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/watchers"
)

// A retryCount records the arrivals of calls and their retries, as seen by the engines.
type retryCount struct {
	callTimes []time.Duration
	retries   []time.Duration // times of the attempts after the first one of a call
	attempted map[calls.ID]bool
}

// recordAttempt records that an attempt of a call reached an engine.
func (c *retryCount) recordAttempt(now time.Duration, id calls.ID) {
	if c.attempted[id] {
		c.retries = append(c.retries, now)
	}
	c.attempted[id] = true
}

// countWithin returns the number of times within the span that ends at to.
func countWithin(times []time.Duration, span, to time.Duration) int {
	n := 0
	for _, at := range times {
		if at > to-span && at <= to {
			n++
		}
	}
	return n
}

// excess returns the largest number of retries beyond the fleet's budget in any window. The budget
// is based on the calls of the same window, of the previous window, or of the one that started
// half a window earlier, whichever has the most.
func (c *retryCount) excess(o option.Options) float64 {
	most := 0.0
	for _, at := range c.retries {
		callCount := 0
		for _, offset := range []time.Duration{0, o.RetryWindow / 2, o.RetryWindow} {
			callCount = max(callCount, countWithin(c.callTimes, o.RetryWindow, at-offset))
		}
		allowed := o.RetryRatio*float64(callCount) + o.RetrySlack
		most = max(most, float64(countWithin(c.retries, o.RetryWindow, at))-allowed)
	}
	return most
}

// TestRetriesKeepTheFleetBudget checks that the fleet does not exceed its retry budget while
// engine after engine rejects calls and the instances that grant retries die, freeze or are cut
// off.
func TestRetriesKeepTheFleetBudget(t *testing.T) {
	storms := []struct {
		name    string
		members int
		do      func(f *fleet)
	}{
		{"calm", 8, func(*fleet) {}},
		{"instances are killed", 8, func(f *fleet) {
			f.periodically(2500*time.Millisecond, time.Second, func() func() {
				n := f.randomMember()
				n.dead = true
				return func() { f.start(n.id.Name) }
			})
		}},
		{"all but one are killed at once", 8, func(f *fleet) {
			f.periodically(6*time.Second, time.Second, func() func() {
				for _, name := range f.names[1:] {
					f.members[name].dead = true
				}
				return func() {
					for _, name := range f.names[1:] {
						f.start(name)
					}
				}
			})
		}},
		{"instances freeze", 8, func(f *fleet) {
			f.periodically(3*time.Second, 2*time.Second, func() func() {
				n := f.randomMember()
				n.frozen = true
				return func() { f.thaw(n) }
			})
		}},
		{"a zone is cut off", 8, func(f *fleet) {
			f.periodically(7*time.Second, 4*time.Second, func() func() {
				f.cutZones = map[string]bool{"z1": true}
				return func() { f.cutZones = nil }
			})
		}},
		{"the store is down", 8, func(f *fleet) { f.store.down = true }},
		{"a large fleet", 2 * watchers.FullMeshLimit, func(f *fleet) {
			f.periodically(2500*time.Millisecond, time.Second, func() func() {
				n := f.randomMember()
				n.dead = true
				return func() { f.start(n.id.Name) }
			})
		}},
	}
	for _, s := range storms {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *noticeSeeds {
				h := newNoticeHarness(newFleetOf(uint64(seed+1), s.members, 2*fleetEngines, option.Disabled{}, false))
				f := h.f
				h.retries = &retryCount{attempted: map[calls.ID]bool{}}
				f.expireLeases()
				f.run(5 * time.Second)
				f.startCallers(5 * time.Millisecond)
				s.do(f)
				next := 0
				f.periodically(400*time.Millisecond, 0, func() func() {
					h.shedLoad(h.engine(next%(2*fleetEngines)), 5*time.Second, 200*time.Millisecond)
					next++
					return func() {}
				})
				f.run(35 * time.Second)
				if over := h.retries.excess(f.opt); over > 0 {
					t.Errorf("seed %d: %.0f retries beyond the fleet's budget", seed, over)
				}
				t.Logf("seed %d: %d calls, %d retries", seed, len(h.retries.callTimes), len(h.retries.retries))
				if len(h.retries.retries) < 100 {
					t.Errorf("seed %d: only %d retries, want at least 100", seed, len(h.retries.retries))
				}
			}
		})
	}
}

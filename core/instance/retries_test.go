package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/retrybudget"
	"github.com/birchdrift/birchdrift/core/watchers"
)

// A retryCount records the arrivals of calls and their retries, as seen by the engines.
type retryCount struct {
	tally     retrybudget.Tally
	calls     int
	retries   int
	saved     int // calls that were served after a retry
	refused   int // calls that an instance refused
	attempted map[calls.ID]bool
}

func newRetryCount() *retryCount { return &retryCount{attempted: map[calls.ID]bool{}} }

// recordCall records that a caller sent a call.
func (c *retryCount) recordCall(now time.Duration) {
	c.calls++
	c.tally.AddCall(now)
}

// recordAttempt records that an attempt of a call reached an engine.
func (c *retryCount) recordAttempt(now time.Duration, id calls.ID) {
	if c.attempted[id] {
		c.retries++
		c.tally.AddRetry(now)
	}
	c.attempted[id] = true
}

// A retryStorm is a fault scenario for a fleet whose engines reject calls.
type retryStorm struct {
	name    string
	members int
	do      func(f *fleet)
	// rejected is the share of calls that engines reject, in addition to those that they
	// reject while they ask for a rest.
	rejected float64
}

// killRandomly kills a random instance every interval; it starts again after down.
func (f *fleet) killRandomly(interval, down time.Duration) {
	f.periodically(interval, down, func() func() {
		n := f.randomMember()
		n.dead = true
		return func() { f.start(n.id.Name) }
	})
}

// killAll kills the given instances at once every interval; they start again after down.
func (f *fleet) killAll(names []string, interval, down time.Duration) {
	f.periodically(interval, down, func() func() {
		for _, name := range names {
			f.members[name].dead = true
		}
		return func() {
			for _, name := range names {
				f.start(name)
			}
		}
	})
}

// stopInTurn stops the instances one after the other, as planned stops.
func (f *fleet) stopInTurn(interval, stopping, down time.Duration) {
	next := 0
	f.periodically(interval, stopping+down, func() func() {
		n := f.members[f.names[next%len(f.names)]]
		next++
		boot := n.boot
		f.step(n, boot, Stop{})
		f.at(stopping, func() {
			if n.boot == boot {
				n.dead = true
			}
		})
		return func() {
			if n.boot == boot {
				f.start(n.id.Name)
			}
		}
	})
}

// replaceInTurn ends an instance for good every interval and starts a new one in its zone under
// another name.
func (f *fleet) replaceInTurn(interval time.Duration) {
	next := 0
	f.periodically(interval, 0, func() func() {
		at := next % len(f.names)
		next++
		old := f.members[f.names[at]]
		old.dead = true
		name := fmt.Sprintf("n%d", next)
		f.names[at] = name
		f.members[name] = &fleetMember{id: member.Identity{Name: name, Zone: old.id.Zone, Address: name}}
		f.start(name)
		return func() {}
	})
}

// freezeRandomly freezes a random instance every interval for span.
func (f *fleet) freezeRandomly(interval, span time.Duration) {
	f.periodically(interval, span, func() func() {
		n := f.randomMember()
		n.frozen = true
		return func() { f.thaw(n) }
	})
}

// cutZone cuts zone z1 off every interval for span.
func (f *fleet) cutZone(interval, span time.Duration) {
	f.periodically(interval, span, func() func() {
		f.cutZones = map[string]bool{"z1": true}
		return func() { f.cutZones = nil }
	})
}

// stopStore lets the store be down every interval for span.
func (f *fleet) stopStore(interval, span time.Duration) {
	f.periodically(interval, span, func() func() {
		f.store.down = true
		return func() { f.store.down = false }
	})
}

const largeFleetMembers = 2 * watchers.FullMeshLimit

var retryStorms = []retryStorm{
	{"calm", 8, func(*fleet) {}, 0},
	{"instances are killed", 8, func(f *fleet) { f.killRandomly(2500*time.Millisecond, time.Second) }, 0},
	{"all but one are killed at once", 8, func(f *fleet) { f.killAll(f.names[1:], 6*time.Second, time.Second) }, 0},
	{"instances freeze", 8, func(f *fleet) { f.freezeRandomly(3*time.Second, 2*time.Second) }, 0},
	{"a zone is cut off", 8, func(f *fleet) { f.cutZone(7*time.Second, 4*time.Second) }, 0},
	{"the store is down", 8, func(f *fleet) { f.store.down = true }, 0},
	{"a large fleet", largeFleetMembers, func(f *fleet) { f.killRandomly(2500*time.Millisecond, time.Second) }, 0},

	{"engines reject most calls", 8, func(*fleet) {}, 0.8},
	{"engines reject most calls, the store is down at times", 8, func(f *fleet) { f.stopStore(9*time.Second, 7*time.Second) }, 0.8},
	{"engines reject most calls, instances are killed", 8, func(f *fleet) { f.killRandomly(300*time.Millisecond, 600*time.Millisecond) }, 0.8},
	{"engines reject most calls, all are killed at once", 8, func(f *fleet) { f.killAll(f.names, 1500*time.Millisecond, 500*time.Millisecond) }, 0.8},
	{"engines reject most calls, instances stop in turn", 8, func(f *fleet) { f.stopInTurn(500*time.Millisecond, 300*time.Millisecond, 300*time.Millisecond) }, 0.8},
	{"engines reject most calls, instances are replaced", 8, func(f *fleet) { f.replaceInTurn(700 * time.Millisecond) }, 0.8},
	{"engines reject most calls, instances freeze", 8, func(f *fleet) { f.freezeRandomly(900*time.Millisecond, 2*time.Second) }, 0.8},
	{"engines reject most calls, a zone is cut off and instances are killed", 8, func(f *fleet) {
		f.cutZone(7*time.Second, 4*time.Second)
		f.killRandomly(400*time.Millisecond, 600*time.Millisecond)
	}, 0.8},
	{"engines reject most calls, the store is down and instances are killed", 8, func(f *fleet) {
		f.stopStore(9*time.Second, 7*time.Second)
		f.killRandomly(400*time.Millisecond, 600*time.Millisecond)
	}, 0.8},
	{"engines reject most calls, instances are replaced and freeze", 8, func(f *fleet) {
		f.replaceInTurn(1100 * time.Millisecond)
		f.freezeRandomly(1300*time.Millisecond, 2*time.Second)
	}, 0.8},
	{"a large fleet, engines reject most calls, all are killed at once", largeFleetMembers, func(f *fleet) { f.killAll(f.names, 2*time.Second, 700*time.Millisecond) }, 0.8},
	{"a large fleet, engines reject most calls, instances are killed", largeFleetMembers, func(f *fleet) { f.killRandomly(100*time.Millisecond, 600*time.Millisecond) }, 0.8},
	{"a large fleet, engines reject most calls, a zone is cut off", largeFleetMembers, func(f *fleet) { f.cutZone(7*time.Second, 4*time.Second) }, 0.8},
}

// runRetryStorm runs a storm and returns what the engines saw.
func runRetryStorm(s retryStorm, seed int) (*retryCount, option.Options) {
	h := newNoticeHarness(newFleetOf(uint64(seed+1), s.members, 2*fleetEngines, option.Disabled{}, false))
	f := h.f
	h.retries = newRetryCount()
	h.rejectedShare = s.rejected
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
	h.retries.refused = f.refused
	return h.retries, f.opt
}

// minStormRetries is the least number of retries of a storm, so that each tests the budget.
const minStormRetries = 100

// Guards against retries beyond the fleet's budget while engines reject calls and instances
// restart, freeze, are replaced or cut off: each start of an instance spent a part of its own,
// and so did each instance that granted the shared part.
func TestRetriesKeepTheFleetBudget(t *testing.T) {
	for _, s := range retryStorms {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range *noticeSeeds {
				count, opt := runRetryStorm(s, seed)
				limit := retrybudget.Limit{Ratio: opt.RetryRatio, Slack: opt.RetrySlack, Window: opt.RetryWindow}
				peak := count.tally.Peak(limit)
				if peak.Used() > 1 {
					t.Errorf("seed %d: %d retries in %v from %v for %d calls; allowed %.0f", seed, peak.Retries, limit.Window, peak.From, peak.Calls, peak.Allowed)
				}
				t.Logf("seed %d: %d calls, %d retries, %d calls served after a retry, %d refused, at most %.2f of the limit",
					seed, count.calls, count.retries, count.saved, count.refused, peak.Used())
				if count.retries < minStormRetries {
					t.Errorf("seed %d: only %d retries, want at least %d", seed, count.retries, minStormRetries)
				}
			}
		})
	}
}

package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/option"
)

// Rate limits of the store in the users' deployments, in read calls per second over all instances
// together.
const (
	smallFleetRate = 2000
	largeFleetRate = 6000
	largeFleetSize = 46 // number of instances from which largeFleetRate applies
)

// An outageRecovery records how the instances recovered from an outage that affected all of them.
type outageRecovery struct {
	list, lease       time.Duration // time until the last instance had recovered it
	maxCallsPerSecond int           // calls to the store in the busiest second
	callsPer100ms     []int         // calls to the store in each 100 ms
}

// timeUntilAll runs the fleet until has is true for all members, and returns the time that this
// took, or 0 if it takes longer than span.
func (f *fleet) timeUntilAll(span time.Duration, has func(n *fleetMember) bool) time.Duration {
	const pollInterval = 20 * time.Millisecond
	for took := time.Duration(0); took < span; took += pollInterval {
		missing := false
		for _, name := range f.names {
			missing = missing || !has(f.members[name])
		}
		if !missing {
			return took
		}
		f.run(pollInterval)
	}
	return 0
}

// recoverFromOutage simulates a 5 s outage of the store and records how the members recover from
// it. If refuse is set the store refuses connections during the outage.
func recoverFromOutage(f *fleet, refuse bool) outageRecovery {
	f.store.down, f.store.refusesConnections = true, refuse
	f.run(5 * time.Second)
	f.store.down, f.store.refusesConnections = false, false
	storeUpAt := clocktest.At(time.Hour + f.now)
	from := f.now
	f.storeCallTimes = nil
	const span = 8 * time.Second
	var e outageRecovery
	e.list = f.timeUntilAll(span, func(n *fleetMember) bool { return !n.m.exchanges.StoreKnownUntil().Before(storeUpAt) })
	e.lease = e.list + f.timeUntilAll(span, func(n *fleetMember) bool {
		v := f.store.values["instances/"+n.id.Name]
		return v != nil && f.store.leases[v.lease] != nil
	})
	f.run(from + 3*time.Second - f.now)
	e.maxCallsPerSecond = busiestSecond(f.storeCallTimes)
	e.callsPer100ms = make([]int, 30)
	for _, at := range f.storeCallTimes {
		if i := int((at - from) / (100 * time.Millisecond)); i < len(e.callsPer100ms) {
			e.callsPer100ms[i]++
		}
	}
	return e
}

// TestTheListComesFirstAfterAnOutage checks that after an outage that affects all instances, each
// instance has the list again before the bound for leaving replicas applies again, and that the
// instances do not exceed the call rate that the store allows.
func TestTheListComesFirstAfterAnOutage(t *testing.T) {
	sizes := []fleetSize{
		{members: 1, engines: fleetEngines, bounds: smallBounds}, // no peer can send it the list
		{members: 8, engines: fleetEngines, bounds: smallBounds},
	}
	if *leaveSizes {
		sizes = append(sizes, fleetSize{members: 23, engines: 24, bounds: largeBounds},
			fleetSize{members: 46, engines: 48, bounds: largeBounds}, fleetSize{members: 370, engines: 850, bounds: largeBounds})
	}
	for _, size := range sizes {
		for _, refuse := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d instances, refused %v", size.members, refuse), func(t *testing.T) {
				rate := smallFleetRate
				if size.members >= largeFleetSize {
					rate = largeFleetRate
				}
				seeds := max(1, 16/size.members) // small fleets vary most, so they get more seeds
				for seed := range seeds {
					f := newFleetWithBounds(uint64(seed+1), size.members, size.engines, option.Disabled{}, false, size.bounds)
					f.expireLeases()
					f.run(20 * time.Second)
					e := recoverFromOutage(f, refuse)
					t.Logf("list after %v, leases after %v, at most %d calls a second; in each 100 ms %v", e.list, e.lease, e.maxCallsPerSecond, e.callsPer100ms)
					if e.list == 0 || e.list > size.bounds.Settle || e.lease == 0 || e.maxCallsPerSecond > rate {
						t.Errorf("seed %d: list after %v, leases after %v, %d calls a second", seed+1, e.list, e.lease, e.maxCallsPerSecond)
					}
				}
			})
		}
	}
}

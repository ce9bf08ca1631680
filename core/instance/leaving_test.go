package instance

// Guards against calls that reach a replica too late after it announced that it leaves. A request
// reached a replica 2.2 s after the store had acknowledged that it leaves; 2 s are allowed.
//
// Entries were considered outdated after the store's history had been rolled back, later entries
// canceled the announcement that a replica leaves, and the waits between the store and a call added
// up to more than 2 s.

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/option"
)

var (
	leaveSeeds = flag.Int("leave.seeds", 2, "number of seeds per storm with leaving engines")
	leaveSizes = flag.Bool("leave.sizes", false, "also run the tests of leaving engines with fleets of 46 and 370 instances")
)

// The bounds that users require of small and of large deployments.
var (
	smallBounds = bounds.Bounds{Leave: 2 * time.Second, Settle: 3 * time.Second}
	largeBounds = bounds.Bounds{Leave: 3 * time.Second, Settle: 4 * time.Second}
)

// lingerTime is the time for which an engine still serves calls after it announced that it leaves,
// or after its entry was deleted. It exceeds every bound, so that each late call is seen.
const lingerTime = 6 * time.Second

// A leaveHarness makes engines leave and records the calls that reach them too late.
type leaveHarness struct {
	f            *fleet
	bounds       bounds.Bounds
	leaveRecords map[*fleetEngine]leaveRecord
	// Times of the last disturbance of the store and of each member.
	storeDisturbedAt  time.Duration
	memberDisturbedAt map[string]time.Duration
	boots             map[string]uint64
	nextEngine        int // number for the name of the next engine
	lateCalls         []string
	leftCount         int           // engines that left while the store was stable
	maxListAge        time.Duration // largest age of the list at a dispatch by a member to which the bound applies
}

// A leaveRecord records when the store accepted that an engine leaves.
type leaveRecord struct {
	at     time.Duration
	stable bool // whether the store had been undisturbed for Settle by then
}

func newLeaveHarness(f *fleet, b bounds.Bounds) *leaveHarness {
	h := &leaveHarness{
		f: f, bounds: b, leaveRecords: map[*fleetEngine]leaveRecord{}, memberDisturbedAt: map[string]time.Duration{},
		boots: map[string]uint64{}, nextEngine: len(f.engines), storeDisturbedAt: -time.Hour,
	}
	f.leaves = h
	h.observe()
	return h
}

// observe records every 4 ms which members are disturbed. A watch that hangs, is reset or misses
// changes is not a disturbance: the bound still applies.
func (h *leaveHarness) observe() {
	f := h.f
	if f.store.down || f.store.refusesConnections || f.lostShare > 0 {
		h.storeDisturbedAt = f.now
	}
	for _, name := range f.names {
		n := f.members[name]
		if n.dead || n.frozen || n.noStore || n.noUpdates || f.cutZones[n.id.Zone] || n.boot != h.boots[name] {
			h.memberDisturbedAt[name] = f.now
			h.boots[name] = n.boot
		}
	}
	f.at(4*time.Millisecond, h.observe)
}

// stable reports whether the store has been undisturbed for Settle.
func (h *leaveHarness) stable() bool { return h.f.now-h.storeDisturbedAt >= h.bounds.Settle }

// boundApplies reports whether the bound applies to a member: neither it nor the store was
// disturbed for Settle.
func (h *leaveHarness) boundApplies(n *fleetMember) bool {
	return h.stable() && h.f.now-h.memberDisturbedAt[n.id.Name] >= h.bounds.Settle
}

// handleDispatch checks a call that a member sends to an engine. The call reaches the engine when
// a connection is established, which may take up to the dial timeout, so the check is made after
// that time.
func (h *leaveHarness) handleDispatch(n *fleetMember, d calls.Dispatch) {
	e := h.f.engines[d.Replica]
	if h.boundApplies(n) {
		h.maxListAge = max(h.maxListAge, d.Forward.ListAge)
	}
	h.f.at(bounds.DialTimeout, func() {
		left, ok := h.leaveRecords[e]
		if !ok || !left.stable || h.f.now-left.at <= h.bounds.Leave || !h.boundApplies(n) || e.gone {
			return
		}
		h.lateCalls = append(h.lateCalls, fmt.Sprintf("%v: a call of %s reached %s %v after the store accepted that it leaves", h.f.now, n.id.Name, e.name, h.f.now-left.at))
	})
}

// randomStayingEngine returns a random engine that is not leaving.
func (h *leaveHarness) randomStayingEngine() *fleetEngine {
	names := sortedKeys(h.f.engines)
	for {
		e := h.f.engines[names[h.f.rng.IntN(len(names))]]
		if _, leaves := h.leaveRecords[e]; !leaves {
			return e
		}
	}
}

// leave makes an engine leave, with or without announcing it, and starts a replacement
// immediately.
func (h *leaveHarness) leave(e *fleetEngine, silent bool) {
	f := h.f
	h.replace(e)
	if f.store.down {
		return // the store does not accept the announcement
	}
	h.recordLeave(e)
	e.leavesSilently = silent
	e.leaving = !silent
	if silent {
		f.setKey("servers/"+e.name, nil)
	} else {
		f.announce(e)
	}
	f.at(lingerTime, func() {
		e.gone = true
		f.setKey("servers/"+e.name, nil)
	})
}

// recordLeave records that the store accepts now that an engine leaves.
func (h *leaveHarness) recordLeave(e *fleetEngine) {
	left := leaveRecord{at: h.f.now, stable: h.stable()}
	h.leaveRecords[e] = left
	if !left.stable {
		return
	}
	h.leftCount++
	h.f.at(h.bounds.Leave-bounds.DialTimeout, func() {
		if h.leaveRecords[e] == left {
			h.checkUnused(e)
		}
	})
}

// checkUnused checks that no member to which the bound applies would still send a call to a
// leaving engine that would arrive too late.
func (h *leaveHarness) checkUnused(e *fleetEngine) {
	for _, n := range h.allMembers() {
		r := n.m.state.Pool.Get(e.name)
		if h.boundApplies(n) && r != nil && (r.Usable() || r.LastResort(h.f.clock(n))) {
			h.lateCalls = append(h.lateCalls, fmt.Sprintf("%v: %s would still send calls to %s %v after the store accepted that it leaves", h.f.now, n.id.Name, e.name, h.bounds.Leave-bounds.DialTimeout))
		}
	}
}

// randomLeave makes a random engine leave; one in three leaves without announcing it.
func (h *leaveHarness) randomLeave() { h.leave(h.randomStayingEngine(), h.f.rng.IntN(3) == 0) }

// replace starts an engine that holds the same models as e.
func (h *leaveHarness) replace(e *fleetEngine) {
	f := h.f
	added := &fleetEngine{
		name: fmt.Sprintf("e%d", h.nextEngine), zone: e.zone,
		models: maps.Clone(e.models), adapters: map[string]bool{}, onDisk: maps.Clone(e.onDisk),
	}
	h.nextEngine++
	f.engines[added.name] = added
	f.announce(added)
}

// hangWatches makes the connections of the pending watches of members hang.
func (h *leaveHarness) hangWatches(members ...*fleetMember) {
	for _, n := range members {
		for _, w := range n.pendingWatches {
			w.hung = true
		}
	}
}

// allMembers returns the members, in the order in which they were added.
func (h *leaveHarness) allMembers() (members []*fleetMember) {
	for _, name := range h.f.names {
		members = append(members, h.f.members[name])
	}
	return members
}

// dropHistory withholds changes from the watches for a second, and then drops the history of the
// store: the connections of all watches are reset, or hang if hang is set, and the watches
// continue with a full read.
func (h *leaveHarness) dropHistory(hang bool) {
	f := h.f
	f.store.muteUntil = f.now + time.Second
	f.at(time.Second, func() {
		for _, n := range h.allMembers() {
			n.watchPosition = 0
			for _, w := range n.pendingWatches {
				w.hung = hang
				w.reset = !hang
			}
		}
	})
}

// leaveWithin makes an engine leave at a random time within span.
func (h *leaveHarness) leaveWithin(span time.Duration) {
	h.f.at(time.Duration(h.f.rng.Int64N(int64(span))), h.randomLeave)
}

// storeDown takes the store down for span. If refuse is set the store refuses connections;
// otherwise it does not respond.
func (h *leaveHarness) storeDown(span time.Duration, refuse bool) {
	h.f.store.down = true
	h.f.store.refusesConnections = refuse
	h.f.at(span, func() {
		h.f.store.down = false
		h.f.store.refusesConnections = false
	})
}

// rewriteEntries makes every engine write its entry ten times, so that a later rollback of the
// store removes many revisions.
func (h *leaveHarness) rewriteEntries() {
	const writes = 10
	for range writes {
		for _, name := range sortedKeys(h.f.engines) {
			if e := h.f.engines[name]; !e.gone && !e.leavesSilently {
				h.f.announce(e)
			}
		}
	}
}

// leaveAfter makes engines leave after a disturbance that ends after span: one as soon as the
// bound applies again, and another one 0.7 s later.
func (h *leaveHarness) leaveAfter(span time.Duration) {
	h.f.at(span+h.bounds.Settle+8*time.Millisecond, h.randomLeave)
	h.f.at(span+h.bounds.Settle+700*time.Millisecond, h.randomLeave)
}

// A leaveStorm is a fault scenario for a fleet with leaving engines.
type leaveStorm struct {
	name string
	do   func(h *leaveHarness)
}

// every calls do once per span.
func (h *leaveHarness) every(span time.Duration, do func()) {
	h.f.periodically(span, time.Hour, func() func() { do(); return func() {} })
}

var leaveStorms = []leaveStorm{
	{"calm", func(h *leaveHarness) { h.every(1300*time.Millisecond, h.randomLeave) }},
	{"the watches of some hang", func(h *leaveHarness) {
		h.every(2300*time.Millisecond, func() {
			h.hangWatches(h.f.randomMember(), h.f.randomMember())
			h.leaveWithin(400 * time.Millisecond)
		})
	}},
	{"the watches of all hang", func(h *leaveHarness) {
		h.every(4100*time.Millisecond, func() {
			h.hangWatches(h.allMembers()...)
			h.leaveWithin(300 * time.Millisecond)
		})
	}},
	{"history is dropped", func(h *leaveHarness) {
		h.every(3700*time.Millisecond, func() {
			h.dropHistory(false)
			h.leaveWithin(time.Second)
		})
	}},
	{"history is dropped without a reset", func(h *leaveHarness) {
		h.every(4700*time.Millisecond, func() {
			h.dropHistory(true)
			h.leaveWithin(time.Second)
		})
	}},
	{"the store refuses connections", func(h *leaveHarness) {
		h.every(11*time.Second, func() {
			span := time.Duration(1+h.f.rng.IntN(5)) * time.Second
			h.storeDown(span, true)
			h.leaveAfter(span)
		})
	}},
	{"the store does not respond", func(h *leaveHarness) {
		h.every(12*time.Second, func() {
			span := time.Duration(1+h.f.rng.IntN(6)) * time.Second
			h.storeDown(span, false)
			h.leaveAfter(span)
		})
	}},
	{"the store is rolled back", func(h *leaveHarness) {
		h.f.keepStoreCopies()
		h.every(9*time.Second, func() {
			h.randomLeave()
			h.rewriteEntries()
			h.f.at(time.Second, func() {
				h.f.rollBackStore(time.Second + h.f.randomSpan())
				h.leaveAfter(restoreTime)
			})
		})
	}},
	{"leaving replicas are listed as ready", func(h *leaveHarness) {
		h.every(2900*time.Millisecond, func() {
			e := h.randomStayingEngine()
			h.leave(e, false)
			h.f.at(time.Second, func() { // a delayed write from before the announcement
				e.leaving = false
				h.f.announce(e)
			})
		})
	}},
	{"members are killed", func(h *leaveHarness) {
		h.every(1700*time.Millisecond, h.randomLeave)
		h.f.periodically(5*time.Second, time.Second, func() func() {
			n := h.f.randomMember()
			n.dead = true
			return func() { h.f.start(n.id.Name) }
		})
	}},
	{"members are frozen", func(h *leaveHarness) {
		h.every(1900*time.Millisecond, h.randomLeave)
		h.f.periodically(6*time.Second, 2*time.Second, func() func() {
			n := h.f.randomMember()
			n.frozen = true
			return func() { h.f.thaw(n) }
		})
	}},
	{"members are cut off from the store", func(h *leaveHarness) {
		h.every(1700*time.Millisecond, h.randomLeave)
		h.f.periodically(9*time.Second, 4*time.Second, func() func() {
			n, m := h.f.randomMember(), h.f.randomMember()
			n.noStore, m.noStore = true, true
			return func() { n.noStore, m.noStore = false, false }
		})
	}},
	{"a zone is cut off", func(h *leaveHarness) {
		h.f.cutZones = map[string]bool{}
		h.every(1700*time.Millisecond, h.randomLeave)
		h.f.periodically(10*time.Second, 4*time.Second, func() func() {
			h.f.cutZones["z1"] = true
			return func() { delete(h.f.cutZones, "z1") }
		})
	}},
}

// leavePairs are pairs of storms that run at the same time.
var leavePairs = [][2]string{
	{"leaving replicas are listed as ready", "members are killed"},
	{"the store is rolled back", "members are killed"},
	{"the store is rolled back", "the watches of all hang"},
	{"history is dropped without a reset", "members are frozen"},
	{"history is dropped", "members are cut off from the store"},
	{"the store refuses connections", "the watches of some hang"},
	{"the store does not respond", "members are killed"},
	{"a zone is cut off", "the watches of all hang"},
}

// findStorm returns the leaveStorm with the given name.
func findStorm(name string) leaveStorm {
	i := slices.IndexFunc(leaveStorms, func(s leaveStorm) bool { return s.name == name })
	return leaveStorms[i]
}

// simulate runs a fleet of the given size under the storm and, at the same time, under the
// concurrent storms.
func (s leaveStorm) simulate(seed uint64, size fleetSize, concurrent ...leaveStorm) *leaveHarness {
	f := newFleetWithBounds(seed, size.members, size.engines, option.Disabled{}, false, size.bounds)
	f.adapterShare = 0.1
	f.expireLeases()
	h := newLeaveHarness(f, size.bounds)
	f.run(8 * time.Second)
	f.startCallers(size.callEvery)
	f.run(2 * time.Second)
	s.do(h)
	for _, b := range concurrent {
		b.do(h)
	}
	span := size.span
	if testing.Short() {
		span = min(span, shortSpan) // long enough for each fault to occur once
	}
	f.run(span)
	return h
}

// A fleetSize is the size of a fleet and the duration of its simulation.
type fleetSize struct {
	members, engines int
	bounds           bounds.Bounds
	callEvery        time.Duration
	span             time.Duration
}

// shortSpan is the duration of a simulation with -short, as used with the race detector.
const shortSpan = 20 * time.Second

var fleetSizes = []fleetSize{
	{8, 2 * fleetEngines, smallBounds, 10 * time.Millisecond, 40 * time.Second},
	{46, 4 * fleetEngines, largeBounds, 2 * time.Millisecond, 25 * time.Second},
	{370, 100, largeBounds, time.Millisecond, 15 * time.Second},
}

// check reports late calls, violations of the fleet, and a run in which too little happened.
func (h *leaveHarness) check(t *testing.T, seed int) {
	t.Helper()
	if len(h.lateCalls) > 0 {
		t.Errorf("seed %d: %d calls reached a leaving engine too late; the first: %s", seed+1, len(h.lateCalls), h.lateCalls[0])
	}
	for _, b := range h.f.violations[:min(3, len(h.f.violations))] {
		t.Errorf("seed %d: %s", seed+1, b)
	}
	t.Logf("seed %d: largest age of a list at a dispatch %v, %d engines left, %.3f of calls served", seed+1, h.maxListAge.Round(time.Millisecond), h.leftCount,
		float64(h.f.served)/float64(max(1, h.f.served+h.f.refused)))
	if h.leftCount == 0 || h.f.served < 9*h.f.refused {
		t.Errorf("seed %d: %d engines left, %d calls served, %d refused", seed+1, h.leftCount, h.f.served, h.f.refused)
	}
}

// TestLeavingReplicasGetNoCalls checks, for every fault scenario, that no call reaches a replica
// later than the bound after the store accepted that the replica leaves or after its entry was
// deleted, and that calls are still served.
func TestLeavingReplicasGetNoCalls(t *testing.T) {
	sizes := fleetSizes[:1]
	if *leaveSizes {
		sizes = fleetSizes
	}
	for _, size := range sizes {
		for _, s := range leaveStorms {
			t.Run(fmt.Sprintf("%d instances, %s", size.members, s.name), func(t *testing.T) {
				t.Parallel()
				for seed := range *leaveSeeds {
					s.simulate(uint64(seed+1), size).check(t, seed)
				}
			})
		}
	}
}

// TestLeavingReplicasGetNoCallsInPairsOfStorms checks the same as TestLeavingReplicasGetNoCalls
// with two fault scenarios at a time.
func TestLeavingReplicasGetNoCallsInPairsOfStorms(t *testing.T) {
	sizes := fleetSizes[:1]
	if *leaveSizes {
		sizes = fleetSizes
	}
	for _, size := range sizes {
		for _, p := range leavePairs {
			t.Run(fmt.Sprintf("%d instances, %s, %s", size.members, p[0], p[1]), func(t *testing.T) {
				t.Parallel()
				for seed := range *leaveSeeds {
					findStorm(p[0]).simulate(uint64(seed+1), size, findStorm(p[1])).check(t, seed)
				}
			})
		}
	}
}

// TestAnOldListIsLogged checks that a list that exceeds its age limit is logged once, and once
// more when it is current again, and that nothing is logged without faults.
func TestAnOldListIsLogged(t *testing.T) {
	for _, tt := range []struct {
		name string
		do   func(h *leaveHarness)
		old  bool
	}{
		{"calm", func(*leaveHarness) {}, false},
		{"watches hang", func(h *leaveHarness) { h.every(5*time.Second, func() { h.hangWatches(h.allMembers()...) }) }, false},
		{"watches and exchanges fail", func(h *leaveHarness) {
			for _, n := range h.allMembers() {
				h.f.periodically(6*time.Second, 3*time.Second, func() func() {
					n.noUpdates = true
					return func() { n.noUpdates = false }
				})
			}
		}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 5)
			f.expireLeases()
			f.run(8 * time.Second)
			f.logCounts = map[logevent.Number]int{}
			tt.do(newLeaveHarness(f, smallBounds))
			f.run(17 * time.Second)
			is.Equal(f.logCounts[logevent.ListOld] > 0, tt.old)
			is.Equal(f.logCounts[logevent.ListOld], f.logCounts[logevent.ListCurrent])
		})
	}
}

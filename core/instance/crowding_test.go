package instance

// Guards against callers that are served worse while a load balancer gives most new connections to one
// instance.

import (
	"testing"
	"time"

	"github.com/birchdrift/birchdrift/core/option"
)

const (
	// crowdedShare is the share of the calls that arrive at the crowded instance.
	crowdedShare = 0.9
	// minCrowdedRatio is the least ratio of the share of calls that begin at the first attempt to
	// that of the time before: the users' bound.
	minCrowdedRatio = 0.75
)

// A crowdingStorm is a fault scenario beside which one instance is crowded.
type crowdingStorm struct {
	name    string
	members int
	do      func(h *partHarness)
}

var crowdingStorms = []crowdingStorm{
	{"calm", 8, func(*partHarness) {}},
	{"a large fleet", 46, func(*partHarness) {}},
	{"engines crash", 8, func(h *partHarness) { h.crashEngines(3 * time.Second) }},
	{"the store is down", 8, func(h *partHarness) { h.f.store.down = true }},
	{"another one when the first is killed", 8, func(h *partHarness) {
		h.f.at(6*time.Second, func() {
			h.f.members[h.f.crowded].dead = true
			h.f.crowded = h.f.names[1]
		})
	}},
}

// TestCallersOfACrowdedInstanceAreServed guards against calls that fail at their first attempt because
// most calls arrive at one instance.
func TestCallersOfACrowdedInstanceAreServed(t *testing.T) {
	for _, s := range crowdingStorms {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				h := newPartHarness(seed+1, s.members, 32, option.Disabled{})
				h.f.run(2 * time.Second)
				began := h.f.now
				before, _ := h.beginShare(firstPart(badModel), began-4*time.Second, began)
				h.f.crowded = h.f.names[0]
				s.do(h)
				h.f.run(15 * time.Second)
				during, calls := h.beginShare(firstPart(badModel), began+h.contact, h.f.now-2*time.Second)
				t.Logf("seed %d: %.2f of %d calls began, %.2f before", seed+1, during, calls, before)
				if calls < minSoundRequests || before == 0 || during < minCrowdedRatio*before {
					t.Errorf("seed %d: %.2f of %d calls began while most arrived at one instance, %.2f before", seed+1, during, calls, before)
				}
				for _, v := range h.f.violations[:min(3, len(h.f.violations))] {
					t.Errorf("seed %d: %s", seed+1, v)
				}
			}
		})
	}
}

package instance

// Guards against a replica that is silent for a moment being taken for one that failed.

import (
	"fmt"
	"testing"
	"time"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/logevent"
)

const (
	// silenceDuration is the time for which a replica is silent.
	silenceDuration = 1300 * time.Millisecond
	// silenceReturn is the time within which it is used again.
	silenceReturn = 1500 * time.Millisecond
)

var silenceStorms = []struct {
	name    string
	silent  func(h *partitionHarness) []*fleetEngine
	refuses bool // calls may be refused, since no replica answers
}{
	{"one plain replica", func(h *partitionHarness) []*fleetEngine {
		return []*fleetEngine{h.f.engines[fmt.Sprintf("p%d", h.f.rng.IntN(4))]}
	}, false},
	{"one engine", func(h *partitionHarness) []*fleetEngine {
		return []*fleetEngine{h.f.engines[fmt.Sprintf("e%d", h.f.rng.IntN(2*fleetEngines))]}
	}, false},
	{"half of the plain replicas", func(h *partitionHarness) []*fleetEngine {
		return []*fleetEngine{h.f.engines["p0"], h.f.engines["p2"]}
	}, false},
	{"all plain replicas", func(h *partitionHarness) []*fleetEngine {
		var all []*fleetEngine
		for i := range 4 {
			all = append(all, h.f.engines[fmt.Sprintf("p%d", i)])
		}
		return all
	}, true},
}

// Guards against calls that are lost or run twice, replicas that are ejected or reported as
// crashed, and engines that change their owner, because a replica is silent for a second and goes
// on.
func TestSilentReplicasGoOn(t *testing.T) {
	for _, s := range silenceStorms {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			for seed := range 2 * *partitionSeeds {
				h := newPartitionFleet(uint64(seed+1), 8, 2*fleetEngines)
				h.startCalls(5 * time.Millisecond)
				h.f.run(5 * time.Second)
				owners := h.owners()
				h.f.periodically(5*time.Second, silenceDuration, func() func() {
					silent := s.silent(h)
					for _, e := range silent {
						e.silent = true
					}
					return func() {
						for _, e := range silent {
							e.silent = false
							h.f.at(silenceReturn, func() { h.checkUsed(t, seed, e) })
						}
					}
				})
				h.f.run(20 * time.Second)
				h.checkSilence(t, seed, s.refuses)
				for engine, owner := range h.owners() {
					if owners[engine] != owner {
						t.Errorf("seed %d: %s changed its owner from %s to %s", seed, engine, owners[engine], owner)
					}
				}
			}
		})
	}
}

// owners returns the owner of each engine.
func (h *partitionHarness) owners() map[string]string {
	out := map[string]string{}
	for _, name := range h.f.names {
		for _, engine := range h.f.members[name].m.orders.owned.Names() {
			out[engine] = name
		}
	}
	return out
}

// checkUsed reports an engine that some instance does not use.
func (h *partitionHarness) checkUsed(t *testing.T, seed int, e *fleetEngine) {
	t.Helper()
	for _, name := range h.f.names {
		n := h.f.members[name]
		r := n.m.state.Pool.Get(e.name)
		if now := h.f.clock(n); r.LinkBroken() || r.Ejected(now) || !r.Usable() {
			t.Errorf("seed %d: %v after its silence %s does not use %s", seed, silenceReturn, name, e.name)
		}
	}
}

// checkSilence reports calls that were lost or ran twice, and replicas that were taken for crashed.
func (h *partitionHarness) checkSilence(t *testing.T, seed int, refuses bool) {
	t.Helper()
	lost, refused, twice, all := 0, 0, 0, 0
	for _, c := range h.order {
		if c.at > h.f.now-2*time.Second {
			continue // it may still be running
		}
		all++
		switch {
		case c.kind == config.Once && c.runs > 1, c.kind == config.Repeatable && c.runs > 1 && c.served:
			twice++
		case !c.served && c.refusal.Run == code.NotRun:
			refused++
		case !c.served && c.took < 600*time.Millisecond:
			lost++ // not because its caller's deadline passed
		}
	}
	t.Logf("seed %d: %d calls, %d lost, %d refused, %d ran twice", seed, all, lost, refused, twice)
	if lost > 0 || twice > 0 || h.mistaken > 0 {
		t.Errorf("seed %d: %d calls lost, %d ran twice, %d ran although their answer says that they did not", seed, lost, twice, h.mistaken)
	}
	if !refuses && refused*50 > all {
		t.Errorf("seed %d: %d of %d calls refused", seed, refused, all)
	}
	if n := h.f.logCounts[logevent.UpstreamEnded] + h.f.logCounts[logevent.RequestQuarantined]; n > 0 {
		t.Errorf("seed %d: %d replicas or requests blamed", seed, n)
	}
}

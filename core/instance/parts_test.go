package instance

// Guards against requests that crash their replicas by one part of their prompts: no two of them are
// alike, and sound ones share their callers and all other parts.

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/route"
	"github.com/birchdrift/birchdrift/core/watchers"
)

// The users' bounds on a part that crashes replicas.
const (
	// partCrashes is the number of replicas that end under a part before its requests must stop.
	partCrashes = 5
	// maxLateParts is the number of requests with the part that may reach replicas later than
	// contact after the last of these.
	maxLateParts = 3
	// minBeginRatio is the least ratio of the share of sound requests with the same first part
	// that begin at the first attempt to that of the time before, from twice contact on.
	minBeginRatio = 0.5
	// minSoundRequests is the number of sound requests from which the ratio is judged.
	minSoundRequests = 20
)

var (
	// partSeeds is the number of seeds per storm. For a longer run, use -parts.seeds=50.
	partSeeds = flag.Int("parts.seeds", 2, "number of seeds per storm with parts of prompts that crash engines")
	// partMembers is the size of the large fleet. For the largest, use -parts.members=370.
	partMembers = flag.Int("parts.members", 46, "number of instances of the large fleet in storms with parts of prompts that crash engines")
)

const (
	// badModel is the model of the requests that crash engines.
	badModel = 0
	// modelGroups is the number of groups of engines that hold the same models.
	modelGroups = 4
	// customerParts is the number of second parts that sound requests have.
	customerParts = 6
	// customerPart is the first of them.
	customerPart crash.PartID = 0x500
	// badPart is the first of the parts that crash engines.
	badPart crash.PartID = 0xbad0
)

// firstPart returns the first part of the prompts of a model's requests.
func firstPart(model int) crash.PartID { return crash.PartID(0x100 + model) }

// A soundRequest is a request that crashes nothing.
type soundRequest struct {
	at    time.Duration
	began bool // its answer began at the first attempt of its caller
	parts []crash.PartID
}

// A partHarness runs requests with parts at the engines of a fleet. Some parts crash the engines
// that begin to answer requests with them.
type partHarness struct {
	*crashHarness
	contact  time.Duration
	bad      map[crash.PartID]bool
	crashed  map[crash.PartID][]time.Duration // when engines ended that ran a request with the part
	reached  map[crash.PartID][]time.Duration // when requests with the part reached engines
	sound    []*soundRequest
	byCall   map[calls.ID]*soundRequest
	soundEnd int // sound requests that were rejected by a quarantine
	// inventedParts is the number of parts of their own that sound requests have.
	inventedParts int
	// soundOf returns further parts of a sound request for a model.
	soundOf func(model int) []crash.PartID
}

// newPartHarness returns the harness of a fleet with the given number of instances and engines.
func newPartHarness(seed uint64, members, engines int, disable option.Disabled) *partHarness {
	b, contact := bounds.Default(), 3*time.Second
	if members > watchers.FullMeshLimit {
		b, contact = largeBounds, 4*time.Second
	}
	f := newFleetWithBounds(seed, members, engines, disable, false, b)
	f.adapterShare = 0
	f.opt.ExchangeEvery = 500 * time.Millisecond
	h := &partHarness{
		crashHarness: newCrashHarness(f), contact: contact, bad: map[crash.PartID]bool{},
		crashed: map[crash.PartID][]time.Duration{}, reached: map[crash.PartID][]time.Duration{}, byCall: map[calls.ID]*soundRequest{},
	}
	h.restartDelay = 2 * time.Second
	h.parts = h
	f.expireLeases()
	f.run(5 * time.Second)
	f.startCallersFor(15*time.Millisecond, func() int { return 3 * f.rng.IntN(modelGroups) })
	f.run(3 * time.Second)
	return h
}

// prepare gives a sound request its parts.
func (h *partHarness) prepare(r calls.Request) {
	model := 0
	fmt.Sscanf(r.Forward.Model, "m%d", &model)
	parts := []crash.PartID{firstPart(model), customerPart + crash.PartID(h.f.rng.IntN(customerParts))}
	if h.soundOf != nil {
		parts = append(parts, h.soundOf(model)...)
	}
	for range h.inventedParts {
		parts = append(parts, crash.PartID(h.f.rng.Uint64()))
	}
	setParts(r.Forward, append(parts, crash.PartID(h.f.rng.Uint64())))
	s := &soundRequest{at: h.f.now, parts: parts}
	h.sound = append(h.sound, s)
	h.byCall[r.ID] = s
}

func setParts(r *calls.ForwardRequest, parts []crash.PartID) {
	r.Parts = nil
	for _, p := range parts {
		r.Parts = append(r.Parts, route.PromptPart{ID: uint64(p), Tokens: 300})
	}
}

// sendBad sends a request that crashes its engines by one of its parts to a random instance.
func (h *partHarness) sendBad(model int, bad crash.PartID, parts []crash.PartID) {
	h.bad[bad] = true
	n := h.f.randomMember()
	if n.dead || n.frozen {
		return
	}
	h.f.nextID()
	r := calls.Request{ID: calls.ID(h.f.eventSeq), Path: "/x", Replayable: true, PromptTokens: 1750, Forward: &calls.ForwardRequest{
		Name: fmt.Sprint(h.f.eventSeq), Fingerprint: crash.Fingerprint(h.f.eventSeq) << 32, Host: "h", Model: fmt.Sprintf("m%d", model),
	}}
	setParts(r.Forward, append(parts, crash.PartID(h.f.rng.Uint64())))
	h.calls[r.ID] = &crashCall{request: r, poison: true, part: bad}
	h.f.step(n, n.boot, calls.Arrived{Call: r})
}

// customer returns the second part of a prompt.
func (h *partHarness) customer() crash.PartID {
	return customerPart + crash.PartID(h.f.rng.IntN(customerParts))
}

// keepSending sends requests with a part that crashes engines, once per interval on average.
// parts returns the parts of each but its own.
func (h *partHarness) keepSending(interval time.Duration, model int, bad crash.PartID, parts func() []crash.PartID) {
	h.f.at(time.Duration(h.f.rng.Int64N(int64(2*interval))), func() {
		h.sendBad(model, bad, parts())
		h.keepSending(interval, model, bad, parts)
	})
}

// middle returns the parts of a prompt with a bad part behind those that sound requests have too.
func (h *partHarness) middle(model int, bad crash.PartID) func() []crash.PartID {
	return func() []crash.PartID { return []crash.PartID{firstPart(model), h.customer(), bad} }
}

// fifthCrash returns when the last of the first partCrashes engines ended under a part; ok is false
// if fewer did.
func (h *partHarness) fifthCrash(part crash.PartID) (at time.Duration, ok bool) {
	if ends := h.crashed[part]; len(ends) >= partCrashes {
		return ends[partCrashes-1], true
	}
	return 0, false
}

// late returns how many requests with a part reached engines later than allowed without limit.
func (h *partHarness) late(part crash.PartID) int {
	at, ok := h.fifthCrash(part)
	if !ok {
		return 0
	}
	return len(slices.DeleteFunc(slices.Clone(h.reached[part]), func(r time.Duration) bool { return r <= max(at, h.connectedSince)+h.contact }))
}

// beginShare returns the share of the sound requests with a first part, sent in a span, that began at
// the first attempt, and their number.
func (h *partHarness) beginShare(first crash.PartID, from, to time.Duration) (share float64, requests int) {
	began := 0
	for _, s := range h.sound {
		if s.parts[0] == first && s.at >= from && s.at < to {
			requests++
			if s.began {
				began++
			}
		}
	}
	return float64(began) / float64(max(1, requests)), requests
}

// A partStorm is a fault scenario for a fleet in which parts of prompts crash engines.
type partStorm struct {
	name  string
	large bool
	do    func(h *partHarness)
	// judgesService is whether sound requests must be served, which other faults of the storm may
	// prevent.
	judgesService bool
}

var partStorms = []partStorm{
	{"calm", false, func(h *partHarness) {
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"a large fleet", true, func(h *partHarness) {
		h.keepSending(200*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"a large fleet, many at once", true, func(h *partHarness) {
		h.keepSending(20*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"many at once", false, func(h *partHarness) {
		h.keepSending(30*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"rare", false, func(h *partHarness) { h.keepSending(3*time.Second, badModel, badPart, h.middle(badModel, badPart)) }, true},
	{"bursts", false, func(h *partHarness) {
		h.f.periodically(6*time.Second, time.Hour, func() func() {
			for range 8 {
				h.sendBad(badModel, badPart, h.middle(badModel, badPart)())
			}
			return func() {}
		})
	}, true},
	{"two parts", false, func(h *partHarness) {
		for p := range crash.PartID(2) {
			h.keepSending(300*time.Millisecond, badModel, badPart+p, h.middle(badModel, badPart+p))
		}
	}, true},
	{"parts of two models", false, func(h *partHarness) {
		for p := range 2 {
			h.keepSending(300*time.Millisecond, 3*p, badPart+crash.PartID(p), h.middle(3*p, badPart+crash.PartID(p)))
		}
	}, true},
	{"one part at several models", false, func(h *partHarness) {
		for p := range modelGroups {
			h.keepSending(800*time.Millisecond, 3*p, badPart, h.middle(3*p, badPart))
		}
	}, true},
	{"the first part", false, func(h *partHarness) {
		h.keepSending(250*time.Millisecond, badModel, badPart, func() []crash.PartID { return []crash.PartID{badPart, h.customer()} })
	}, true},
	{"behind the first part", false, func(h *partHarness) {
		h.keepSending(250*time.Millisecond, badModel, badPart, func() []crash.PartID { return []crash.PartID{firstPart(badModel), badPart} })
	}, true},
	{"always with the same sound part", false, func(h *partHarness) {
		h.keepSending(250*time.Millisecond, badModel, badPart, func() []crash.PartID { return []crash.PartID{firstPart(badModel), customerPart, badPart} })
	}, true},
	{"with a sound part, then without it", false, func(h *partHarness) {
		from := h.f.now + 2*time.Second
		h.keepSending(250*time.Millisecond, badModel, badPart, func() []crash.PartID {
			if h.f.now < from {
				return []crash.PartID{firstPart(badModel), customerPart + customerParts, badPart}
			}
			return []crash.PartID{firstPart(badModel), h.customer(), badPart}
		})
	}, true},
	{"another model serves it", false, func(h *partHarness) {
		h.soundOf = func(model int) []crash.PartID {
			if model != badModel {
				return []crash.PartID{badPart}
			}
			return nil
		}
		h.f.run(time.Second)
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"a part that was served before", false, func(h *partHarness) {
		h.soundOf = func(int) []crash.PartID { return []crash.PartID{badPart} }
		h.f.run(2 * time.Second)
		h.soundOf = nil
		h.f.run(2 * time.Second)
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"a large fleet, a part that was served before", true, func(h *partHarness) {
		h.soundOf = func(int) []crash.PartID { return []crash.PartID{badPart} }
		h.f.run(2 * time.Second)
		h.soundOf = nil
		h.f.run(2 * time.Second)
		h.keepSending(200*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"engines crash beside", false, func(h *partHarness) {
		h.crashEngines(700 * time.Millisecond)
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"rare, engines crash beside", false, func(h *partHarness) {
		h.crashEngines(1500 * time.Millisecond)
		h.keepSending(2*time.Second, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"many engines crash at once beside", false, func(h *partHarness) {
		h.f.periodically(5*time.Second, time.Hour, func() func() {
			for range 6 {
				if e := h.randomEngine(); e != nil {
					h.terminate(e)
				}
			}
			return func() {}
		})
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"beside a whole request", false, func(h *partHarness) {
		h.poison(1000, badModel, 400*time.Millisecond)
		h.keepSending(400*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"callers make up parts", false, func(h *partHarness) {
		h.inventedParts = 40
		h.f.run(time.Second)
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"engines restart under their names", false, func(h *partHarness) {
		h.keepsNames = true
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, true},
	{"the store is down", false, func(h *partHarness) {
		h.f.store.down = true
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, false},
	{"a large fleet, the store is down", true, func(h *partHarness) {
		h.f.store.down = true
		h.keepSending(200*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, false},
	{"a zone is cut off for a while", false, func(h *partHarness) {
		h.f.cutZones = map[string]bool{"z1": true}
		h.connectedSince = h.f.now + 8*time.Second
		h.f.at(8*time.Second, func() { h.f.cutZones = nil })
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, false},
	{"instances are killed one after the other", false, func(h *partHarness) {
		h.f.killRandomly(700*time.Millisecond, 600*time.Millisecond)
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, false},
	{"instances stop in turn", false, func(h *partHarness) {
		h.f.stopInTurn(500*time.Millisecond, 300*time.Millisecond, 300*time.Millisecond)
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, false},
	{"all instances are killed at once", false, func(h *partHarness) {
		h.f.at(8*time.Second, func() {
			for _, name := range h.f.names {
				h.f.members[name].dead = true
			}
			h.f.at(time.Second, h.f.restartAll)
		})
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, false},
	{"instances freeze", false, func(h *partHarness) {
		h.f.freezeRandomly(2*time.Second, 1500*time.Millisecond)
		h.keepSending(250*time.Millisecond, badModel, badPart, h.middle(badModel, badPart))
	}, false},
}

// crashEngines makes a random engine crash each interval.
func (h *partHarness) crashEngines(interval time.Duration) {
	h.f.periodically(interval, time.Hour, func() func() {
		if e := h.randomEngine(); e != nil {
			h.terminate(e)
		}
		return func() {}
	})
}

// TestPartsThatCrashEnginesAreStopped guards against requests that crash engine after engine by one
// part of their prompts, and against sound ones with the same parts that are not served because of
// them.
func TestPartsThatCrashEnginesAreStopped(t *testing.T) {
	for _, s := range partStorms {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			members, engines := 8, 32
			if s.large {
				if testing.Short() {
					t.Skip("large fleets take long")
				}
				members, engines = *partMembers, 64
			}
			for seed := range *partSeeds {
				h := newPartHarness(uint64(seed+1), members, engines, option.Disabled{})
				began := h.f.now
				s.do(h)
				h.f.run(30 * time.Second)
				h.checkParts(t, seed+1, began, s.judgesService)
			}
		})
	}
}

// TestPartStormsDetectDisabledMechanisms checks that for each mechanism that stops parts of prompts, or
// spares sound ones, some storm detects that it is disabled.
func TestPartStormsDetectDisabledMechanisms(t *testing.T) {
	if testing.Short() {
		t.Skip("the storms run without this too")
	}
	for _, c := range []struct {
		name    string
		disable option.Disabled
	}{
		{"parts in reports", option.Disabled{PartReports: true}},
		{"the hold of suspected parts", option.Disabled{PartHold: true}},
		{"successes of parts", option.Disabled{PartSuccesses: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				for _, s := range partStorms {
					if s.large {
						continue
					}
					h := newPartHarness(seed+1, 8, 32, c.disable)
					s.do(h)
					h.f.run(30 * time.Second)
					late := 0
					for _, part := range sortedParts(h.bad) {
						late = max(late, h.late(part))
					}
					if late > maxLateParts || h.soundEnd > 0 {
						t.Logf("storm %q, seed %d: %d requests late, %d sound ones rejected", s.name, seed+1, late, h.soundEnd)
						return
					}
				}
			}
			t.Errorf("no storm detected that %s is disabled", c.name)
		})
	}
}

// checkParts reports what broke the users' bounds.
func (h *partHarness) checkParts(t *testing.T, seed int, began time.Duration, judgesService bool) {
	t.Helper()
	for _, part := range sortedParts(h.bad) {
		late, ends := h.late(part), len(h.crashed[part])
		fifth, ok := h.fifthCrash(part)
		if !ok && ends > 0 {
			fifth = h.crashed[part][ends-1]
		}
		first := firstPart(badModel)
		before, _ := h.beginShare(first, began-3*time.Second, began)
		after, requests := h.beginShare(first, fifth+2*h.contact, h.f.now-2*time.Second)
		t.Logf("seed %d: part %v: %d engines ended, %d requests reached engines, %d of them late; %.2f of %d sound requests began, %.2f before; %d sound ones rejected, %d requests served",
			seed, part, ends, len(h.reached[part]), late, after, requests, before, h.soundEnd, h.served)
		if late > maxLateParts {
			t.Errorf("seed %d: %d requests with part %v reached engines later than %v after the fifth engine ended under it", seed, late, part, h.contact)
		}
		if judgesService && requests >= minSoundRequests && after < minBeginRatio*before {
			t.Errorf("seed %d: %.2f of the sound requests with the same first part began, %.2f before", seed, after, before)
		}
	}
	for _, v := range h.f.violations[:min(3, len(h.f.violations))] {
		t.Errorf("seed %d: %d violations; %s", seed, len(h.f.violations), v)
	}
}

func sortedParts(parts map[crash.PartID]bool) []crash.PartID {
	var out []crash.PartID
	for p := range parts {
		out = append(out, p)
	}
	slices.Sort(out)
	return out
}

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/crash"
)

// Requests with a part in their prompts under which some replicas crashed, and with which none was
// served since, are held back before the part is blamed: sent one after the other, they crash few
// further replicas, and a single success shows that the part is harmless.

const (
	// heldInterval is the minimum time between two determinations of what is held back, for up to
	// suspectsPerInterval suspected requests: a determination takes about 1 ms per thousand.
	heldInterval        = 50 * time.Millisecond
	suspectsPerInterval = 4096 // requests
	// maxServedTraits bounds the traits that are known to have been served. That many take 0.3 MB.
	maxServedTraits = 8192
)

// holdBack schedules the determination of what is held back.
func (t *Tracker) holdBack(now clock.Instant) {
	if t.heldDue.IsZero() {
		interval := heldInterval * time.Duration(1+len(t.suspects)/suspectsPerInterval)
		t.heldDue = clock.Latest(now, t.heldAt.Add(interval))
	}
}

// updateHeld determines which causes are held back.
func (t *Tracker) updateHeld(now clock.Instant) {
	t.heldDue = clock.Instant{}
	t.heldAt = now
	before := len(t.held)
	t.held = nil
	if !t.Options.Disable.PartHold {
		t.held = crash.Held(t.Records.Crashes(), t.history(), now)
	}
	if len(t.held) < before {
		t.Pool.NoteCapacityChange()
	}
}

// servedTraits records when this instance last served requests with traits. The zero value is empty.
type servedTraits struct{ times map[crash.Trait]clock.Instant }

// add records that a request with these traits was served.
func (s *servedTraits) add(now clock.Instant, traits []crash.Trait) {
	if s.times == nil {
		s.times = map[crash.Trait]clock.Instant{}
	}
	for _, trait := range traits[min(1, len(traits)):] { // a request that was served once is rarely sent again
		s.times[trait] = now
	}
	if len(s.times) > 2*maxServedTraits {
		s.dropOldest()
	}
}

// at returns when a request with a trait was last served here; ok is false if that is not known.
func (s *servedTraits) at(trait crash.Trait) (at clock.Instant, ok bool) {
	at, ok = s.times[trait]
	return at, ok
}

// dropOldest keeps the newest maxServedTraits.
func (s *servedTraits) dropOldest() {
	byAge := slices.SortedFunc(maps.Keys(s.times), func(a, b crash.Trait) int {
		return cmp.Or(cmp.Compare(s.times[b].Mono, s.times[a].Mono), cmp.Compare(a, b))
	})
	for _, trait := range byAge[maxServedTraits:] {
		delete(s.times, trait)
	}
}

// prune removes what is older than reportRetention.
func (s *servedTraits) prune(now clock.Instant) {
	maps.DeleteFunc(s.times, func(_ crash.Trait, at clock.Instant) bool { return now.MaxElapsed(at) >= reportRetention })
}

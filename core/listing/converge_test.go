package listing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/gossip"
)

// convergeSeeds is the number of histories that TestInstancesAgreeOnAddresses plays.
const convergeSeeds = 200

// A storeHistory is a random history of entries at a few addresses, and what remains of it.
type storeHistory struct {
	rng     *rand.Rand
	events  []gossip.Listed // by version
	entries map[string]gossip.Listed
}

// next returns the version of the next change.
func (h *storeHistory) next() era.Revision { return era.Revision(len(h.events) + 1) }

func (h *storeHistory) record(e gossip.Listed) {
	h.events = append(h.events, e)
	if e.Gone {
		delete(h.entries, e.Name)
		return
	}
	h.entries[e.Name] = e
}

// run adds replicas that start at an address of a predecessor that has crashed. The entry of a predecessor may be
// written once more, and vanishes or not.
func (h *storeHistory) run(addresses, changes int) {
	current := make([]string, addresses)
	for range changes {
		at := h.rng.IntN(addresses)
		switch former := current[at]; {
		case former == "" || h.rng.IntN(3) == 0:
			name := fmt.Sprintf("i-%08x", h.rng.Uint32())
			e := entryAt(name, "", h.next(), h.next())
			e.Announced.Address = fmt.Sprintf("10.0.0.%d:80", at)
			h.record(e)
			current[at] = name
		default:
			h.changeOld(current)
		}
	}
}

// changeOld writes an entry of a replica again, or removes that of one that has ended.
func (h *storeHistory) changeOld(current []string) {
	var names []string
	for name := range h.entries {
		names = append(names, name)
	}
	slices.Sort(names)
	name := names[h.rng.IntN(len(names))]
	if !slices.Contains(current, name) && h.rng.IntN(2) == 0 {
		h.record(goneAt(name, h.next()))
		return
	}
	e := h.entries[name]
	e.Version = h.next()
	h.record(e)
}

// deliver brings the history to an instance: a full read at some moment, the changes after it in batches, and
// records of peers in any order in between.
func (h *storeHistory) deliver(l *List) {
	now := clocktest.At(time.Hour)
	from := h.rng.IntN(len(h.events))
	read := &storeHistory{entries: map[string]gossip.Listed{}}
	for _, e := range h.events[:from] {
		read.record(e)
	}
	var entries []gossip.Listed
	for _, e := range read.entries {
		entries = append(entries, e)
	}
	h.hear(l, from)
	l.HandleReply(now, Reply{Entries: entries, Version: era.Revision(from), Whole: true})
	for from < len(h.events) {
		to := min(len(h.events), from+1+h.rng.IntN(4))
		h.hear(l, to)
		l.HandleReply(now, Reply{Entries: h.events[from:to], Version: era.Revision(to)})
		from = to
	}
}

// hear brings some changes up to a version from a peer, in any order.
func (h *storeHistory) hear(l *List, to int) {
	for range h.rng.IntN(4) {
		if to > 0 {
			l.HandlePeerEntry(clocktest.At(time.Hour), "peer", h.events[h.rng.IntN(to)])
		}
	}
}

// TestInstancesAgreeOnAddresses checks that, however the entries reach an instance, it uses of the replicas listed at
// each address the one whose entry was created last, and no other.
func TestInstancesAgreeOnAddresses(t *testing.T) {
	for seed := range uint64(convergeSeeds) {
		h := &storeHistory{rng: rand.New(rand.NewPCG(seed, 80)), entries: map[string]gossip.Listed{}}
		h.run(3, 40)
		newest := map[string]gossip.Listed{}
		for _, e := range h.entries {
			if best, ok := newest[e.Announced.Address]; !ok || e.Announced.Created > best.Announced.Created {
				newest[e.Announced.Address] = e
			}
		}
		l := newList()
		h.deliver(l)
		for _, e := range h.entries {
			want := newest[e.Announced.Address].Name == e.Name
			if r := l.Pool.Get(e.Name); r == nil || r.Usable() != want {
				t.Errorf("seed %d: %s at %s: usable is not %v", seed, e.Name, e.Announced.Address, want)
			}
		}
	}
}

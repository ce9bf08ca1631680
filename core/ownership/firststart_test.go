package ownership

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/registry"
)

// fleetWrites returns the writes of the fleet's record within a second.
func (h *registryHarness) fleetWrites() []registry.FleetRecord {
	var out []registry.FleetRecord
	for range 20 {
		for _, a := range h.tick() {
			if w, ok := a.(Write); ok && w.Write.Fleet != nil {
				out = append(out, *w.Write.Fleet)
			}
		}
		h.advance(50 * time.Millisecond)
	}
	return out
}

// Guards against an instance that takes itself for the first of the fleet because of its settings, although
// others ran before, or that does not know that it is the first because an answer was lost.
func TestOnlyTheCreatorOfTheFleetRecordIsTheFirst(t *testing.T) {
	mine := registry.FleetRecord{Name: "self", Boot: 1, Era: 2}
	reply := func(h *registryHarness, r WriteReply) {
		r.Write = Txn{Fleet: &mine}
		h.registry.HandleWriteReply(h.now, r)
	}
	read := func(h *registryHarness, f registry.FleetRecord) {
		v := f.Value()
		h.registry.Merge(h.now, "peer", []registry.Record{{Key: v.Key, Data: v.Data, Revision: era.Era(2).Revision(60)}})
	}
	for name, c := range map[string]struct {
		firstStart bool
		do         func(h *registryHarness)
		first      int
	}{
		"created":                         {true, func(h *registryHarness) { reply(h, WriteReply{}) }, 1},
		"created, and read":               {true, func(h *registryHarness) { reply(h, WriteReply{}); read(h, mine) }, 1},
		"created without first-start":     {false, func(h *registryHarness) { reply(h, WriteReply{}) }, 0},
		"a conflict":                      {true, func(h *registryHarness) { reply(h, WriteReply{Conflict: true}) }, 0},
		"a lost answer":                   {true, func(h *registryHarness) { reply(h, WriteReply{Err: errors.New("lost")}) }, 0},
		"a lost answer, read from a peer": {true, func(h *registryHarness) { reply(h, WriteReply{Err: errors.New("lost")}); read(h, mine) }, 1},
		"another instance's record":       {true, func(h *registryHarness) { read(h, registry.FleetRecord{Name: "other", Boot: 1}) }, 0},
		"the record of an earlier start":  {true, func(h *registryHarness) { read(h, registry.FleetRecord{Name: "self", Boot: 7}) }, 0},
		"created after a rollback": {true, func(h *registryHarness) {
			h.registry.HandleEraObserved(h.now, EraObserved{Era: 3})
			reply(h, WriteReply{})
		}, 0},
		"an unreadable record": {true, func(h *registryHarness) {
			h.registry.Merge(h.now, "", []registry.Record{{Key: mine.Value().Key, Data: []byte("?"), Revision: era.Era(2).Revision(60)}})
		}, 0},
		"nothing, the store does not reply": {true, func(*registryHarness) {}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newRegistryHarness(t)
			first := 0
			h.registry.FirstOfFleet = func() { first++ }
			h.registry.Options.FirstStart = c.firstStart
			h.registry.HandleWatchUpdate(h.now, WatchUpdate{Version: era.Era(2).Revision(50), Whole: true})
			h.registry.WatchAnswered(h.now)
			h.enrol(2)
			writes := h.fleetWrites()
			is.True(len(writes) == 1)
			is.Equal(writes[0], mine)
			c.do(h)
			is.Equal(first, c.first)
		})
	}
}

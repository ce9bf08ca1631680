package instance

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/exchange"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/listing"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/ownership"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/saturation"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watch"
	"github.com/birchdrift/birchdrift/core/watchers"
)

// fleetMachine returns an instance of a large fleet that runs on the platform. The instance and
// its peers are registered; the instance is not among those that watch.
func fleetMachine(now clock.Instant, peers ...string) *Machine {
	opt := option.Default()
	opt.Environment = option.Platform
	opt.Watchers = 1
	opt.ExchangeEvery = time.Minute
	m := New(member.Identity{Name: "self", Zone: "z", Address: "self", Boot: 1}, opt, 1)
	var records []registry.Record
	for i, name := range peers {
		v := registry.Instance{Name: name, Zone: "z", Address: name, Boot: 1}.Value()
		records = append(records, registry.Record{Key: v.Key, Data: v.Data, Revision: era.Revision(i + 1)})
	}
	m.Step(now, ownership.WatchUpdate{Records: records, Version: 10, Whole: true})
	for _, name := range peers {
		m.Step(now, exchange.Reply{Peer: name, Address: name, Message: gossip.Message{From: name, Zone: "z", Address: name, Boot: 1, StoreAge: time.Millisecond, Informed: true}})
	}
	return m
}

// ownEngine makes the machine the owner of engine e1, with a list entry of the engine and the
// right to send orders to it.
func ownEngine(t *testing.T, m *Machine, now clock.Instant) {
	t.Helper()
	snapshot, err := config.NewSnapshot(fleetDocument())
	if err != nil {
		t.Fatal(err)
	}
	m.Step(now, ConfigReply{Snapshot: snapshot, Source: PlatformSource})
	m.Step(now, listing.Reply{Version: 100, Entries: []gossip.Listed{{
		Name: "e1", Kind: gossip.Upstream, Zone: "z", Version: 50,
		Announced: &pool.Announcement{Service: "llm", Address: "e1", Zone: "z", Slots: 8, Engine: true, Models: []pool.AnnouncedModel{{Name: "m0"}}},
	}}})
	m.Step(now, ownership.EnrolReply{Sent: now, Lease: era.Lease{ID: 1}})
	m.orders.registry.WatchAnswered(now)
	m.orders.owned.Acquire(now, registry.Ownership{Engine: "e1", Owner: m.state.Self.Name, Boot: m.state.Self.Boot, Revision: 7}, now)
}

// TestDutiesGoToTheStrongest checks that in a fleet of unequal machines those with the most
// processor capacity watch the platform, and that the strongest of them is the placer. An instance
// with a fifth of a core once became the placer and then lagged behind in everything else: in a large
// simulated fleet, it did not have the newest configuration in time.
func TestDutiesGoToTheStrongest(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	opt := option.Default()
	opt.Environment = option.Platform
	opt.Watchers = 2
	m := New(member.Identity{Name: "self", Zone: "z0", Address: "self", Boot: 1, Processor: 0.8}, opt, 1)
	var records []registry.Record
	for i := range 30 {
		record := registry.Instance{Name: fmt.Sprintf("i%02d", i), Zone: fmt.Sprintf("z%d", i%2), Address: fmt.Sprint(i), Boot: 1, Processor: 0.2}
		if i == 7 || i == 11 {
			record.Processor = 0.9
		}
		v := record.Value()
		records = append(records, registry.Record{Key: v.Key, Data: v.Data, Revision: era.Revision(i + 1)})
	}
	m.Step(now, ownership.WatchUpdate{Records: records, Version: 40, Whole: true})
	is.Equal(m.orders.roster.InZone(now, "z0")[0], "self")
	is.Equal(len(m.orders.roster.InZone(now, "z0")), 2)
	strong := m.orders.roster.InZone(now, "z1")
	slices.Sort(strong)
	is.Equal(strong, []string{"i07", "i11"})
	is.Equal(m.orders.registry.PlacerRank(now), 2)
}

// TestWatchersStandInForASilentPlacer checks that in a large fleet, while the placer does not
// respond, an instance reports its demand to the watchers of its zone, and that a watcher that
// owns engines places missing models on them.
func TestWatchersStandInForASilentPlacer(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	var peers []string
	for i := range 2 * watchers.FullMeshLimit {
		peers = append(peers, fmt.Sprintf("p%02d", i))
	}
	m := fleetMachine(now, peers...)
	watcher := m.orders.roster.InZone(now, "z")[0]
	if watcher == m.state.Self.Name {
		t.Fatal("this instance must not be a watcher in this test")
	}
	placer := "p00"
	if watcher == placer {
		placer = "p01"
	}
	v := registry.Placer{Name: placer, Boot: 1}.Value()
	m.orders.registry.Merge(now, "", []registry.Record{{Key: v.Key, Data: v.Data, Revision: 99}})
	m.forwarding.Demand.RecordCall(now, "model", time.Second)
	is.Equal(len(m.exchanges.DemandFor(now, placer)), 1)
	is.Equal(len(m.exchanges.DemandFor(now, watcher)), 0)
	m.Step(now, exchange.Reply{Peer: placer, Address: placer, Err: errors.New("no answer")})
	is.Equal(len(m.exchanges.DemandFor(now, watcher)), 1)
	is.True(!m.env.platform.placer.PlacerUnreachable(now)) // it owns no engine
	ownEngine(t, m, now)
	is.True(m.env.platform.placer.PlacerUnreachable(now))
}

// sentExchanges returns the messages of the exchanges that actions start, by peer.
func sentExchanges(actions []step.Action) map[string]gossip.Message {
	out := map[string]gossip.Message{}
	for _, a := range actions {
		if e, ok := a.(exchange.SendRequest); ok {
			out[e.Peer] = e.Message
		}
	}
	return out
}

// TestSlowPeerDoesNotHoldUpARevision checks that a configuration that one peer does not deliver is
// requested from another peer and finally from the platform. Previously, only the peer that was
// furthest ahead was asked, until its exchange failed. In a large simulated fleet, instances did not
// have the newest configuration in time: a route was refused 3.1 s after its acknowledgement.
func TestSlowPeerDoesNotHoldUpARevision(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	m := fleetMachine(now, "a", "b")
	ahead := func(name string) []step.Action {
		return m.Step(now, exchange.RequestReceived{Token: 1, Message: gossip.Message{From: name, Zone: "z", Address: name, Boot: 1, Revision: 5, StoreAge: time.Millisecond}})
	}
	first := sentExchanges(ahead("a"))
	is.True(first["a"].WantConfig)
	is.Equal(sentExchanges(ahead("b")), map[string]gossip.Message{}) // one pull at a time
	now = now.Add(exchange.PullTimeout)
	is.True(sentExchanges(m.Step(now, Tick{}))["b"].WantConfig)
	is.True(!m.env.platform.watch.Active(now))
	now = now.Add(watch.MaxConfigLag)
	m.Step(now, Tick{})
	is.True(m.env.platform.watch.Active(now))
}

// TestOnlyPullsBringConfigurations checks that only one exchange at a time requests the
// configuration itself, however many peers are ahead. Previously, every exchange did, and over
// slow links none of them completed.
func TestOnlyPullsBringConfigurations(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	m := fleetMachine(now, "a", "b", "c", "d")
	wanted := 0
	for _, name := range []string{"a", "b", "c", "d"} {
		actions := m.Step(now, exchange.RequestReceived{Token: 1, Message: gossip.Message{From: name, Zone: "z", Address: name, Boot: 1, Revision: 5, StoreAge: time.Millisecond}})
		m.exchanges.TellAll(now)
		for _, msg := range sentExchanges(append(slices.Clone(actions), m.Step(now, Tick{})...)) {
			if msg.WantConfig {
				wanted++
			}
		}
	}
	is.Equal(wanted, 1)
}

// TestPeersAreNotSentRecordsTheyKnow checks that a peer is sent only those records of the
// platform's store that it has not received from the store itself. A new boot of the peer may have
// received nothing, so it is sent everything.
func TestPeersAreNotSentRecordsTheyKnow(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	m := fleetMachine(now, "a", "b")
	for i, name := range []string{"r1", "r2"} {
		m.Step(now, listing.Reply{Version: era.Revision(11 + i), Entries: []gossip.Listed{{
			Name: name, Kind: gossip.Upstream, Version: era.Revision(11 + i), Announced: &pool.Announcement{Service: "s", Address: name},
		}}})
	}
	sentNames := func(boot, ackBoot, ack uint64, storeVersion era.Revision) []string {
		actions := m.Step(now, exchange.RequestReceived{Token: 1, Message: gossip.Message{
			From: "a", Zone: "z", Address: "a", Boot: boot, AckBoot: ackBoot, Ack: ack, StoreVersion: storeVersion,
		}})
		var names []string
		for _, a := range actions {
			if answer, ok := a.(exchange.SendReply); ok {
				for _, l := range answer.Message.Records.Listed {
					names = append(names, l.Name)
				}
			}
		}
		return names
	}
	is.Equal(sentNames(1, 0, 0, 0), []string{"r1", "r2"})
	is.Equal(sentNames(1, 0, 0, 11), []string{"r2"})
	is.Equal(sentNames(1, 1, m.state.Records.Stamp(), 12), nil)
	// A new boot that acknowledges a message that was composed for the previous boot.
	is.Equal(sentNames(2, 1, m.state.Records.Stamp(), 0), []string{"r1", "r2"})
	is.Equal(sentNames(2, 1, m.state.Records.Stamp(), 0), nil)
}

// ownerOf returns the owner of engine e in the newest known record, or "" if there is none.
func ownerOf(m *Machine) string {
	o, ok := m.orders.registry.Owner("e")
	if !ok {
		return ""
	}
	return o.Owner
}

// TestOlderRecordsOfTheRegistryAreIgnored checks that registry records from a peer that are older
// than the known ones are ignored, and that a full listing removes the records that it does not
// contain.
func TestOlderRecordsOfTheRegistryAreIgnored(t *testing.T) {
	is := is.New(t)
	now := clocktest.At(time.Hour)
	m := fleetMachine(now, "a")
	owned := func(owner string, revision era.Revision) registry.Record {
		v := registry.Ownership{Engine: "e", Owner: owner}.Value()
		return registry.Record{Key: v.Key, Data: v.Data, Revision: revision}
	}
	m.orders.registry.Merge(now, "a", []registry.Record{owned("new", 20)})
	m.orders.registry.Merge(now, "b", []registry.Record{owned("old", 19)})
	is.Equal(ownerOf(m), "new")
	m.Step(now, ownership.WatchUpdate{Version: 15, Whole: true}) // older than the record
	is.Equal(ownerOf(m), "new")
	is.Equal(len(m.orders.registry.Instances()), 0)
	m.Step(now, ownership.WatchUpdate{Version: 25, Whole: true})
	is.Equal(ownerOf(m), "")
	m.orders.registry.Merge(now, "b", []registry.Record{owned("new", 20)})
	is.Equal(ownerOf(m), "")
}

// Guards against a saturated instance that takes all its peers for failing because their answers came too
// late for it: it would leave tasks, and the news of its zone, to nobody.
func TestFailedExchangesWhileSaturated(t *testing.T) {
	for _, saturated := range []bool{false, true} {
		is := is.New(t)
		now := clocktest.At(time.Hour)
		m := fleetMachine(now, "p0", "p1")
		if saturated {
			m.Step(now, saturation.Reported{})
		}
		m.Step(now, exchange.Reply{Peer: "p0", Address: "p0", Err: errors.New("context deadline exceeded")})
		is.Equal(m.state.Members.Get("p0").Failing(), !saturated)
		later := now.Add(2 * time.Second) // not saturated any more
		m.Step(later, exchange.Reply{Peer: "p0", Address: "p0", Err: errors.New("context deadline exceeded")})
		is.True(m.state.Members.Get("p0").Failing())
	}
}

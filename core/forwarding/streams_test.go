package forwarding

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/route"
	"github.com/birchdrift/birchdrift/core/streams"
)

// replicaOf adds a usable replica that runs a version of the service's software.
func (f *Forwarder) replicaOf(name, software string) *pool.Replica {
	f.Pool.Announce(start, name, pool.Announcement{Service: "s", Address: name, Zone: "z", Slots: 8, Software: software})
	return f.Pool.Get(name)
}

// TestStreamsGoOnAtTheirVersion guards against streams that go on, within their answer, at a
// replica of another software version than the one that began them.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	for _, c := range []struct {
		name     string
		software map[string]string // by replica; a begins the stream
		goesOn   string            // the replica at which the stream goes on
	}{
		{"one of two others has the version", map[string]string{"a": "v1", "b": "v2", "c": "v1"}, "c"},
		{"none has it", map[string]string{"a": "v1", "b": "v2", "c": "v3"}, "a"},
		{"another one states no version", map[string]string{"a": "v1", "b": ""}, "a"},
		{"it states none, another one does", map[string]string{"a": "", "b": "v1"}, "a"},
		{"it states none, nor does another one, but a third does", map[string]string{"a": "", "b": "", "c": "v1"}, "a"},
		{"none states any", map[string]string{"a": "", "b": ""}, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			for name, software := range c.software {
				f.replicaOf(name, software)
			}
			call, s := f.testCall(config.Stream, true)
			call.Service = "s"
			a := f.Pool.Get("a")
			f.Calls.MarkSent(start, call, a)
			s.lastAttempt = lastAttempt{origin: originOf(a)}
			f.answerBegan(start, call)
			f.attemptFailed(start.Add(time.Millisecond), call, calls.AttemptFailed{Attempt: 1, Phase: attempt.Answered, Severed: true, Delivered: 3})
			is.Equal(f.dispatches()[call.ID].Replica, c.goesOn)
		})
	}
}

// TestNewAnswersUseAllVersions checks that a stream that has not begun, and a call of another kind,
// are retried at replicas of any version.
func TestNewAnswersUseAllVersions(t *testing.T) {
	for _, kind := range []config.Kind{config.Stream, config.Repeatable} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			f.replicaOf("a", "v1")
			f.replicaOf("b", "v2")
			call, s := f.testCall(kind, true)
			a := f.Pool.Get("a")
			f.Calls.MarkSent(start, call, a)
			s.lastAttempt = lastAttempt{origin: originOf(a)}
			f.attemptFailed(start.Add(time.Millisecond), call, calls.AttemptFailed{Attempt: 1, Phase: attempt.MaybeSent, Severed: true})
			is.Equal(f.dispatches()[call.ID].Replica, "b")
		})
	}
}

// takeUpCall adds a newly arrived call that takes up a stream.
func (f *Forwarder) takeUpCall(resumes string, lastEvent int) *calls.Call {
	c, s := f.testCall(config.Stream, true)
	f.Calls.Remove(c)
	s.route.Split = []config.Share{{Service: "s", Weight: 1}}
	c.ID = 2
	c.Phase = calls.Waiting
	c.Forward = &calls.ForwardRequest{Name: "again", Host: "h", Resumes: resumes, LastEvent: lastEvent}
	s.takeUp = newTakeUp(c, s.route)
	f.Calls.Add(c)
	return c
}

// configure puts a configuration in force in which service s is announced.
func (f *Forwarder) configure(t *testing.T) {
	t.Helper()
	snapshot, err := config.NewSnapshot(config.Document{Revision: 1, Services: []config.Service{{Name: "s", Announced: &config.Announced{MaxConnections: 9}}}})
	if err != nil {
		t.Fatal(err)
	}
	f.Config.Snapshot = snapshot
}

// TestTakenUpStreamsGoOnAtTheirVersion guards against streams that go on, when their callers take
// them up with another request, at a replica of another software version than the one that began
// them, and against guesses where nobody knows it.
func TestTakenUpStreamsGoOnAtTheirVersion(t *testing.T) {
	for _, c := range []struct {
		name      string
		resumes   string
		lastEvent int
		prepare   func(f *Forwarder)
		replica   string    // to which the call is sent, "" if to none
		code      code.Code // with which it ends
	}{
		{"known here", "first", 3, func(f *Forwarder) {
			f.Streams.Begun(start, streams.NewID("h", "first"), streams.Origin{Service: "s", Software: "v2"}, pool.Incarnation{}, false)
		}, "b", 0},
		{"its version is gone", "first", 3, func(f *Forwarder) {
			f.Streams.Begun(start, streams.NewID("h", "first"), streams.Origin{Service: "s", Software: "v0"}, pool.Incarnation{}, false)
		}, "", code.VersionGone},
		{"its service is not one of the route", "first", 3, func(f *Forwarder) {
			f.Streams.Begun(start, streams.NewID("h", "first"), streams.Origin{Service: "other", Software: "v2"}, pool.Incarnation{}, false)
		}, "", code.VersionGone},
		{"two streams have its ID", "first", 3, func(f *Forwarder) {
			for _, software := range []string{"v1", "v2"} {
				f.Streams.Begun(start, streams.NewID("h", "first"), streams.Origin{Service: "s", Software: software}, pool.Incarnation{}, false)
			}
		}, "", code.StreamUnknown},
		{"not known, and nobody to ask", "first", 3, nil, "", code.StreamUnknown},
		{"the caller does not say which call began it", "", 3, nil, "", code.StreamUnknown},
		{"the caller has no event, but names a call", "first", 0, nil, "", code.StreamUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			f.configure(t)
			f.replicaOf("a", "v1")
			f.replicaOf("b", "v2")
			if c.prepare != nil {
				c.prepare(f)
			}
			call := f.takeUpCall(c.resumes, c.lastEvent)
			f.findReplica(start, call)
			is.Equal(f.dispatches()[call.ID].Replica, c.replica)
			refused, _ := finalAnswers(f.Out)
			is.Equal(refused[call.ID].Code, c.code)
			if c.code != 0 {
				is.Equal(refused[call.ID].Run, code.NotRun)
			}
		})
	}
}

// TestPeersAreAskedForTakenUpStreams checks that a call waits for the answer of a peer, and goes on
// by it or is refused at once.
func TestPeersAreAskedForTakenUpStreams(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprint("known: ", known), func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			f.configure(t)
			f.Members.Upsert("p", "z", "p")
			f.replicaOf("a", "v1")
			f.replicaOf("b", "v2")
			call := f.takeUpCall("first", 3)
			f.findReplica(start, call)
			is.Equal(call.Phase, calls.AwaitingOrigin)
			var request streams.SendRequest
			for _, a := range f.Out.Actions() {
				if r, ok := a.(streams.SendRequest); ok {
					request = r
				}
			}
			is.Equal(request.Request.Query, streams.Query{ID: streams.NewID("h", "first"), Service: "s"})
			f.Streams.HandleReply(start, streams.Reply{Token: request.Token, Answer: streams.Answer{Known: known, Origin: streams.Origin{Service: "s", Software: "v2"}}})
			d, sent := f.dispatches()[call.ID]
			is.Equal(sent, known)
			if known {
				is.Equal(d.Replica, "b")
				return
			}
			refused, _ := finalAnswers(f.Out)
			is.Equal(refused[call.ID].Code, code.StreamUnknown)
		})
	}
}

// TestStreamsWaitForTheirModelAtTheirVersion guards against streams that end although an engine of their
// version can load their model while their callers wait.
func TestStreamsWaitForTheirModelAtTheirVersion(t *testing.T) {
	for _, c := range []struct {
		name   string
		onDisk bool
		target time.Duration
		waits  bool
	}{
		{"loaded in time", true, time.Second, true},
		{"loaded too late", false, time.Second, false},
		{"callers wait for long", false, 2 * time.Second, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			announce := func(name, software string, a pool.Announcement) {
				a.Service, a.Address, a.Zone, a.Slots, a.Engine, a.Software = "s", name, "z", 8, true, software
				f.Pool.Announce(start, name, a)
			}
			held := []pool.AnnouncedModel{{Name: "m"}}
			announce("a", "v1", pool.Announcement{Models: held})
			other := pool.Announcement{}
			if c.onDisk {
				other.OnDisk = []string{"m"}
			}
			announce("b", "v1", other)
			announce("c", "v2", pool.Announcement{Models: held})
			call := f.callFor(1)
			s := stateOf(call)
			s.route.Target = c.target
			f.findReplica(start, call)
			f.Calls.MarkSent(start, call, f.Pool.Get("a"))
			s.lastAttempt = lastAttempt{origin: originOf(f.Pool.Get("a"))}
			f.answerBegan(start, call)
			f.Pool.MarkTerminated("a")
			f.Out.Reset()
			f.attemptFailed(start, call, calls.AttemptFailed{Attempt: 1, Phase: attempt.Answered, Severed: true, Delivered: 3})
			is.Equal(f.Calls.Queued(call), c.waits)
			is.Equal(len(f.dispatches()), 0)
			items := f.Demand.Items(start)
			is.Equal(items[len(items)-1].Software, "v1")
			if c.waits {
				announce("b", "v1", pool.Announcement{Models: held})
				f.Calls.RetryQueued(start.Add(time.Second))
				is.Equal(f.dispatches()[call.ID].Replica, "b")
			}
		})
	}
}

// TestStreamsThatGoOnComeFirst checks that a call which takes up a stream, or goes on with one within
// its answer, has the most urgent rank, and is not refused for the load of its engines.
func TestStreamsThatGoOnComeFirst(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(s *state)
		rank    int
		sent    bool
	}{
		{"a new stream", func(*state) {}, 2, false},
		{"taken up", func(s *state) { s.takeUp = takeUp{wanted: true} }, 0, true},
		{"within its answer", func(s *state) { s.progress.answerStarted = true }, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			call := f.callFor(1)
			s := stateOf(call)
			s.route.Priority = 2
			c.prepare(s)
			is.Equal(s.rank(), c.rank)
			overloaded := route.Estimate{Replica: f.limitedReplica("a", -1), Ahead: time.Minute}
			is.Equal(f.shed(start, call, overloaded), !c.sent)
		})
	}
}

// TestStreamsGoOnWhereTheyBroke checks that a stream goes on at the replica that broke it off if no other
// one can serve it, and elsewhere if one can.
func TestStreamsGoOnWhereTheyBroke(t *testing.T) {
	for _, other := range []string{"v1", "v2"} {
		t.Run("another replica of "+other, func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			f.replicaOf("a", "v1")
			f.replicaOf("b", other)
			call, s := f.testCall(config.Stream, true)
			f.Calls.MarkSent(start, call, f.Pool.Get("a"))
			s.lastAttempt = lastAttempt{origin: originOf(f.Pool.Get("a"))}
			f.answerBegan(start, call)
			f.attemptFailed(start.Add(time.Millisecond), call, calls.AttemptFailed{Attempt: 1, Phase: attempt.Answered, Severed: true, Delivered: 3})
			is.Equal(f.dispatches()[call.ID].Replica, map[string]string{"v1": "b", "v2": "a"}[other])
		})
	}
}

// TestStreamsWaitForTheirAdapterAtTheirVersion guards against streams that end although an engine of their
// version holds their model and can load their adapter in a moment.
func TestStreamsWaitForTheirAdapterAtTheirVersion(t *testing.T) {
	for _, held := range []time.Duration{0, 5 * time.Second} {
		t.Run(fmt.Sprint("broken for ", held), func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			for name, software := range map[string]string{"b": "v1", "c": "v2"} {
				f.Pool.Announce(start, name, pool.Announcement{
					Service: "s", Address: name, Zone: "z", Slots: 8, Engine: true, Software: software, Models: []pool.AnnouncedModel{{Name: "m"}},
				})
			}
			call := f.callFor(1)
			s := stateOf(call)
			call.Item = "m/a"
			s.request.adapter = "a"
			s.orderWaits = maxOrderWaits // no order can be requested now
			s.origin = streamOrigin{known: true, software: "v1"}
			s.takeUp = takeUp{wanted: true}
			f.findReplica(start.Add(held), call)
			is.Equal(f.Calls.Queued(call), held == 0)
		})
	}
}

// splitServices returns a configuration with a route that is split between a service that runs models
// (llm) and one that does not (desk). It sends nearly all calls to the service first.
func splitServices(t *testing.T, first string) *config.Snapshot {
	t.Helper()
	return newSnapshot(t, splitDocument(first))
}

func newSnapshot(t *testing.T, d config.Document) *config.Snapshot {
	t.Helper()
	snapshot, err := config.NewSnapshot(d)
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func splitDocument(first string) config.Document {
	weights := map[string]int{"llm": 1, "desk": 1}
	weights[first] = 1e6
	engines := &config.EnginePool{
		Sequences: 8, CacheTokens: 1000, MemoryMB: 100, MaxAdapters: 2, LoadsPerSecond: 1,
		Models: []config.PooledModel{{Name: "m", MemoryMB: 70, LoadTime: 4 * time.Second, DiskLoadTime: 800 * time.Millisecond, AdapterCount: 1, AdapterMB: 1}},
	}
	return config.Document{
		Revision: 1,
		Services: []config.Service{
			{Name: "llm", Announced: &config.Announced{MaxConnections: 9, Engine: engines}},
			{Name: "desk", Announced: &config.Announced{MaxConnections: 9}},
		},
		Forwards: []config.Forward{{
			Name: "r", Host: "h", Prefix: "/", Kind: config.Stream, Resumable: true, Timeout: 5 * time.Second, Target: 2 * time.Second, MaxAttempts: 2,
			Split: []config.Share{{Service: "llm", Weight: weights["llm"]}, {Service: "desk", Weight: weights["desk"]}},
		}},
	}
}

// splitReplicas adds replicas of both services: of two engines of each version one holds model m.
func (f *Forwarder) splitReplicas() {
	held := []pool.AnnouncedModel{{Name: "m"}}
	for name, a := range map[string]pool.Announcement{
		"engine-empty": {Service: "llm", Software: "v1", Engine: true}, "engine-m": {Service: "llm", Software: "v1", Engine: true, Models: held},
		"engine-v2": {Service: "llm", Software: "v2", Engine: true, Models: held}, "plain": {Service: "desk", Software: "v1"}, "plain-v2": {Service: "desk", Software: "v2"},
	} {
		a.Address, a.Zone, a.Slots = name, "z", 8
		f.Pool.Announce(start, name, a)
	}
}

// takeUpOfModel returns a request that takes up the stream "first" and names model m and a part of
// its prompt.
func takeUpOfModel() calls.Request {
	return calls.Request{ID: 2, Path: "/x", Replayable: true, PromptTokens: 100, MaxTokens: 100, Forward: &calls.ForwardRequest{
		Name: "again", Fingerprint: 7, Host: "h", Model: "m", Parts: []route.PromptPart{{ID: 5, Tokens: 50}, {ID: 6, Tokens: 50}}, Resumes: "first", LastEvent: 3,
	}}
}

// TestTakenUpStreamsBelongToTheServiceThatBeganThem checks that a call which takes up a stream has nothing
// of the service that its route drew for it, but all of the one that began the stream: model, quarantine, retry
// budget and demand. It guards against calls that ask a service without models when it will have one,
// which ended the process.
func TestTakenUpStreamsBelongToTheServiceThatBeganThem(t *testing.T) {
	for _, c := range []struct {
		first, began, replica, item string
		demand                      int // models for which a call was counted
	}{
		{"llm", "desk", "plain", "", 0},
		{"desk", "desk", "plain", "", 0},
		{"desk", "llm", "engine-m", "m", 1},
		{"llm", "llm", "engine-m", "m", 1},
	} {
		for _, known := range []string{"here", "at a peer"} {
			t.Run(fmt.Sprintf("drawn %s, began at %s, known %s", c.first, c.began, known), func(t *testing.T) {
				is := is.New(t)
				f := testForwarder(t)
				f.Config.Snapshot = splitServices(t, c.first)
				f.splitReplicas()
				origin := streams.Origin{Service: c.began, Software: "v1"}
				if known == "here" {
					f.Streams.Begun(start, streams.NewID("h", "first"), origin, pool.Incarnation{}, false)
				} else {
					f.Members.Upsert("p", "z", "p")
				}
				r := takeUpOfModel()
				f.Arrive(start, r, false)
				if known != "here" {
					is.Equal(f.Calls.Get(r.ID).Phase, calls.AwaitingOrigin)
					f.OriginFound(start, r.ID, streams.Answer{Known: true, Origin: origin})
				}
				call := f.Calls.Get(r.ID)
				is.Equal(call.Phase, calls.Running)
				is.Equal(call.Service, c.began)
				is.Equal(call.Item, c.item)
				d := f.dispatches()[r.ID]
				is.Equal(d.Replica, c.replica)
				is.Equal(d.Model, c.item)
				is.Equal(d.Forward.Priority >= 0, c.item != "")
				is.Equal(stateOf(call).traits, r.Forward.Identity().Traits(c.began))
				is.Equal(len(f.Demand.Items(start)), c.demand)
				for _, service := range []string{"llm", "desk"} {
					counted := map[bool]int{true: 1}[service == c.began]
					is.Equal(f.Budget.Usage(start, service).Calls, counted)
				}
			})
		}
	}
}

// TestPeersHearOfStreamsOfSplitRoutes checks that peers are told which service began a stream when its
// first event arrives, if its route is split.
func TestPeersHearOfStreamsOfSplitRoutes(t *testing.T) {
	for _, split := range []bool{true, false} {
		t.Run(fmt.Sprint("split: ", split), func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			document := splitDocument("llm")
			if !split {
				document.Forwards[0].Split = document.Forwards[0].Split[:1]
			}
			f.Config.Snapshot = newSnapshot(t, document)
			f.Pool.Announce(start, "e", pool.Announcement{Service: "llm", Address: "e", Zone: "z", Slots: 8, Software: "v1", Engine: true, Models: []pool.AnnouncedModel{{Name: "m"}}})
			f.Members.Upsert("p", "z", "p")
			f.Options.FirstStart = true
			f.Streams = streams.New(streams.Deps{
				State: f.State, Instances: func() map[string]registry.Instance {
					return map[string]registry.Instance{"self": {HoldsVersions: true}}
				},
				FullMesh: func() bool { return true }, ListKnownUntil: func() clock.Instant { return start },
			})
			f.Streams.FirstOfFleet()
			f.Streams.Tick(start)
			software, sole := f.Streams.Sole(start, "llm")
			is.True(sole && software == "v1")
			r := takeUpOfModel()
			r.Forward.Resumes, r.Forward.LastEvent = "", 0
			f.Arrive(start, r, false)
			f.Out.Reset()
			f.answerBegan(start, f.Calls.Get(r.ID))
			var told []streams.Group
			for _, a := range f.Out.Actions() {
				if request, ok := a.(streams.SendRequest); ok {
					told = append(told, request.Request.Began...)
				}
			}
			want := []streams.Group{{Origin: streams.Origin{Service: "llm", Software: "v1"}, IDs: []streams.ID{streams.NewID("h", "again")}}}
			is.Equal(told, map[bool][]streams.Group{true: want}[split])
		})
	}
}

// TestTakenUpStreamsWithoutAReplica checks that a call which takes up a stream of a service without
// replicas of its version is refused at once, whichever service its route drew, and that one whose model
// no engine of the version holds waits for the model.
func TestTakenUpStreamsWithoutAReplica(t *testing.T) {
	for _, c := range []struct {
		first, began string
		waits        bool
	}{{"llm", "desk", false}, {"desk", "desk", false}, {"desk", "llm", true}, {"llm", "llm", true}} {
		t.Run(fmt.Sprintf("drawn %s, began at %s", c.first, c.began), func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			f.Config.Snapshot = splitServices(t, c.first)
			f.splitReplicas()
			f.Pool.Announce(start, "engine-empty", pool.Announcement{Service: "llm", Address: "engine-empty", Zone: "z", Slots: 8, Software: "v1", Engine: true, OnDisk: []string{"m"}})
			f.Pool.MarkTerminated("engine-m")
			f.Pool.MarkTerminated("plain")
			f.Streams.Begun(start, streams.NewID("h", "first"), streams.Origin{Service: c.began, Software: "v1"}, pool.Incarnation{}, false)
			r := takeUpOfModel()
			f.Arrive(start, r, false)
			is.Equal(len(f.dispatches()), 0)
			refused, _ := finalAnswers(f.Out)
			if c.waits {
				is.True(f.Calls.Queued(f.Calls.Get(r.ID)))
				return
			}
			is.Equal(refused[r.ID].Code, code.VersionGone)
			is.Equal(refused[r.ID].Run, code.NotRun)
		})
	}
}

// TestTakenUpStreamsAreQuarantinedByTheirService checks that a quarantined part of prompts keeps a call from
// taking up a stream of the service at which replicas crashed under the part, and of no other.
func TestTakenUpStreamsAreQuarantinedByTheirService(t *testing.T) {
	for _, first := range []string{"llm", "desk"} {
		for _, crashed := range []string{"llm", "desk"} {
			for _, began := range []string{"llm", "desk"} {
				t.Run(fmt.Sprintf("drawn %s, crashed at %s, began at %s", first, crashed, began), func(t *testing.T) {
					is := is.New(t)
					f := testForwarder(t)
					f.Config.Snapshot = splitServices(t, first)
					f.splitReplicas()
					f.Streams.Begun(start, streams.NewID("h", "first"), streams.Origin{Service: began, Software: "v1"}, pool.Incarnation{}, false)
					r := takeUpOfModel()
					part := crash.Cause{r.Forward.Identity().Traits(crashed)[1]}
					f.Quarantine.Restored(start, registry.Quarantine{ID: part.ID(), Replicas: 3, Traits: part})
					f.Arrive(start, r, false)
					refused, _ := finalAnswers(f.Out)
					is.Equal(refused[r.ID].Code == code.Quarantined, crashed == began)
					is.Equal(len(f.dispatches()) == 1, crashed != began)
				})
			}
		}
	}
}

// TestCallsOutliveTheEnginesOfTheirService checks that a call goes on by the service that it was admitted to if a
// configuration takes away the service's engines, or gives it some, while the call waits or is sent.
func TestCallsOutliveTheEnginesOfTheirService(t *testing.T) {
	with := splitServices(t, "llm")
	document := splitDocument("llm")
	document.Services[0].Announced = &config.Announced{MaxConnections: 9}
	without := newSnapshot(t, document)
	for _, c := range []struct {
		name   string
		before bool // the service has engines when the call arrives
		loaded bool // its model is resident
	}{{"taken away, waiting", true, false}, {"taken away, sent", true, true}, {"given, sent", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			f.Config.Snapshot = map[bool]*config.Snapshot{true: with, false: without}[c.before]
			announcement := pool.Announcement{Service: "llm", Address: "e", Zone: "z", Slots: 8, Software: "v1", Engine: true, OnDisk: []string{"m"}}
			if c.loaded {
				announcement.Models = []pool.AnnouncedModel{{Name: "m"}}
			}
			f.Pool.Announce(start, "e", announcement)
			r := takeUpOfModel()
			r.Forward.Resumes, r.Forward.LastEvent = "", 0
			f.Arrive(start, r, false)
			call := f.Calls.Get(r.ID)
			f.Config.Snapshot = map[bool]*config.Snapshot{true: without, false: with}[c.before]
			if call.Phase == calls.Running {
				f.attemptFailed(start.Add(time.Millisecond), call, calls.AttemptFailed{Attempt: 1, Phase: attempt.NotSent})
			} else {
				announcement.Models = []pool.AnnouncedModel{{Name: "m"}}
				f.Pool.Announce(start, "e", announcement)
				f.Calls.RetryQueued(start.Add(time.Millisecond))
			}
			is.Equal(f.dispatches()[r.ID].Replica, "e")
			is.Equal(call.Item, map[bool]string{true: "m"}[c.before])
		})
	}
}

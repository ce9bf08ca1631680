package instance

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/own/book"
	"github.com/birchdrift/birchdrift/core/pool"
)

// smallDocument returns a configuration of two zones with two engines each, more models than fit
// into them, and a service of plain replicas without models. checksFence sets whether the engines
// check fences.
func smallDocument(checksFence bool) config.Document {
	var d config.Document
	for z := range 2 {
		zone := fmt.Sprintf("z%d", z+1)
		d.Zones = append(d.Zones, config.Zone{Name: zone})
		for i := range 2 {
			name := fmt.Sprintf("%s-engine-%d", zone, i+1)
			d.Engines = append(d.Engines, config.Engine{
				Name: name, Address: name, Zone: zone, Accelerators: 1, MemoryMiB: 1000, Sequences: 4, ChecksFence: checksFence,
			})
		}
		d.Services = append(d.Services, config.Service{})
	}
	d.Services = nil
	for i := range 8 {
		model := fmt.Sprintf("model-%d", i+1)
		d.Models = append(d.Models, config.Model{Name: model, MemoryMiB: 400, LoadTime: time.Second})
		d.Services = append(d.Services, config.Service{
			Name: "svc-" + model, Versions: []config.Version{{Name: "v1", Model: model, Share: 1}},
		})
	}
	plain := config.Service{Name: "stock"}
	for i := range 2 {
		name := fmt.Sprintf("stock-%d", i+1)
		plain.Replicas = append(plain.Replicas, config.Replica{Name: name, Address: name, Zone: fmt.Sprintf("z%d", i+1), MaxConcurrent: 8})
	}
	d.Services = append(d.Services, plain)
	d.Residency = config.Residency{MinimumStay: 2 * time.Second, MoveCost: 0.1}
	d.WeightStore = config.WeightStore{LoadsPerSecond: 4, MaxConcurrentLoads: 8}
	return d
}

// quickOptions returns the default options with a shorter lease term and with shorter intervals of
// exchanges and reads.
func quickOptions() option.Options {
	opt := option.Default()
	opt.LeaseTerm = 3 * time.Second
	opt.ExchangeEvery = 500 * time.Millisecond
	opt.ReadEvery = 500 * time.Millisecond
	return opt
}

// A storm is a fault scenario: it injects a set of faults into a world.
type storm struct {
	name  string
	begin func(w *world)
}

var storms = []storm{
	{"calm", func(*world) {}},
	{"messages lost", func(w *world) { w.faults.lossRate = 0.2 }},
	{"orders lost, then late", func(w *world) { w.faults.lossRate = 0.3; w.faults.maxLateDelay = 8 * time.Second }},
	{"engines restart", func(w *world) {
		for i, e := range w.doc.Engines {
			w.after(time.Duration(7+5*i)*time.Second, func() { w.engines[e.Name].restart() })
		}
	}},
	{"planners die", func(w *world) {
		for _, name := range w.names {
			w.after(time.Duration(5+w.rng.IntN(25))*time.Second, func() { w.kill(name) })
		}
	}},
	{"planners freeze", func(w *world) { w.freezeAll(false) }},
	{"machines are suspended", func(w *world) { w.freezeAll(true) }},
	{"platform down", func(w *world) {
		w.after(6*time.Second, func() { w.faults.platformDown = true })
		w.after(20*time.Second, func() { w.faults.platformDown = false })
	}},
	{"zone cut off", func(w *world) {
		w.after(6*time.Second, func() { w.faults.cutZones["z1"] = true })
		w.after(20*time.Second, func() { w.faults.cutZones["z1"] = false })
	}},
	{"freezes while orders are late", func(w *world) {
		w.faults.lossRate = 0.2
		w.faults.maxLateDelay = 5 * time.Second
		w.freezeAll(false)
	}},
	{"suspensions while the platform is down", func(w *world) {
		w.after(6*time.Second, func() { w.faults.platformDown = true })
		w.after(20*time.Second, func() { w.faults.platformDown = false })
		w.freezeAll(true)
	}},
}

// kill ends a node and starts its next incarnation 500 ms later.
func (w *world) kill(name string) {
	n := w.nodes[name]
	n.dead = true
	w.after(500*time.Millisecond, func() { w.start(name, n.id.Zone, w.rng.Uint64()) })
}

// freezeAll pauses each node once, at a random time, for 2 s to 7 s; most pauses exceed the 3 s
// term of a lease.
func (w *world) freezeAll(suspend bool) {
	for _, name := range w.names {
		w.after(time.Duration(4+w.rng.IntN(20))*time.Second, func() {
			w.pause(name, time.Duration(2+w.rng.IntN(6))*time.Second, suspend)
		})
	}
}

// traffic sends calls for d; the most requested models change every 6 s.
func (w *world) traffic(d time.Duration) {
	id := calls.ID(0)
	for at := time.Second; at < d; at += 40 * time.Millisecond {
		w.after(at, func() {
			id++
			name := w.names[w.rng.IntN(len(w.names))]
			popular := int(w.now/(6*time.Second))*3 + w.rng.IntN(3)
			c := calls.Request{ID: id, Service: fmt.Sprintf("svc-model-%d", popular%8+1), Replayable: true}
			if w.rng.IntN(4) == 0 {
				c = calls.Request{ID: id, Service: "stock", Plain: true, Path: "/x", NotRepeatable: true}
				if w.rng.IntN(2) == 0 {
					c.IdempotencyKey = fmt.Sprintf("key-%d", id/3) // consecutive calls share a key
				}
			}
			w.call(name, c)
		})
	}
}

const stormDuration = 45 * time.Second

// runStorm runs one storm and returns the world afterwards. checksFence sets whether the engines
// check fences; change, if not nil, changes the options.
func runStorm(t *testing.T, s storm, checksFence bool, seed uint64, change func(*option.Options)) *world {
	opt := quickOptions()
	if change != nil {
		change(&opt)
	}
	w := newWorld(t, seed, smallDocument(checksFence), 2, opt)
	w.faults.breakRate = 0.1
	s.begin(w)
	w.traffic(stormDuration - 15*time.Second)
	w.run(stormDuration)
	return w
}

// stormSeeds is the number of seeds per storm; a longer search sets more.
var stormSeeds = flag.Uint64("storm.seeds", 6, "number of seeds per storm")

// searchSeeds is the number of seeds within which a disabled mechanism must be detected.
const searchSeeds = 12

// TestPromisesHoldUnderStorms runs every storm with engines that check fences and with engines
// that do not. After every event it checks that memory is not overcommitted, that calls run at
// most once, that calls reported as not run did not run, that each call gets a single answer, and
// that configuration revisions only increase.
func TestPromisesHoldUnderStorms(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		for _, s := range storms {
			t.Run(fmt.Sprintf("%s/checks=%v", s.name, checksFence), func(t *testing.T) {
				for seed := range *stormSeeds {
					w := runStorm(t, s, checksFence, seed, nil)
					if len(w.violations) > 0 {
						t.Fatalf("seed %d: %d violations, the first ones:\n%s", seed, len(w.violations), strings.Join(w.violations[:min(5, len(w.violations))], "\n"))
					}
					w.requireProgress(t, seed)
				}
			})
		}
	}
}

// requireProgress fails the test if too few calls were answered or models loaded for the storm to
// prove anything.
func (w *world) requireProgress(t *testing.T, seed uint64) {
	t.Helper()
	answered, loads := 0, 0
	for _, c := range w.calls {
		if c.answered {
			answered++
		}
	}
	for _, e := range w.engines {
		loads += e.loads
	}
	if answered < len(w.calls)/4 || loads < 4 {
		t.Fatalf("seed %d: only %d of %d calls answered, %d loads: too few for a meaningful run", seed, answered, len(w.calls), loads)
	}
}

// TestStormsDetectDisabledMechanisms checks that the storms can fail: with a mechanism disabled,
// some storm violates the guarantee that depends on it.
func TestStormsDetectDisabledMechanisms(t *testing.T) {
	cases := []struct {
		name          string
		checksFence   bool
		disable       func(*option.Options)
		wantViolation string
	}{
		{"booking", true, func(o *option.Options) { o.Disable.Booking = true }, "overcommit"},
		{"at most once", true, func(o *option.Options) { o.Disable.AtMost = true }, "ran 2 times"},
		{"intents", false, func(o *option.Options) { o.Disable.Intents = true }, "overcommit"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, s := range storms {
				for seed := range uint64(searchSeeds) {
					w := runStorm(t, s, c.checksFence, seed, c.disable)
					if strings.Contains(strings.Join(w.violations, "\n"), c.wantViolation) {
						t.Logf("%s, seed %d: %s", s.name, seed, w.violations[0])
						return
					}
				}
			}
			t.Fatalf("no storm detected that the mechanism is disabled")
		})
	}
}

// TestFenceStopsALateOrder checks that a fence raised before the successor reads the state of an
// engine stops an order of the former lease holder. The holder dies, and one of its orders arrives
// exactly when the successor, which found the engine empty, starts to fill it. Storms rarely
// produce this timing, so the test sets it up.
func TestFenceStopsALateOrder(t *testing.T) {
	for _, off := range []bool{false, true} {
		opt := quickOptions()
		opt.Disable.Fences = off
		w := newWorld(t, 7, smallDocument(true), 2, opt)
		var former *node
		for former == nil {
			w.run(time.Millisecond)
			for _, n := range w.nodes {
				if n.id.Zone == "z1" && n.m.env.own.planner.IsPlanner() {
					former = n
				}
			}
		}
		w.run(200 * time.Millisecond) // until the fences that it raised itself arrive
		former.dead = true
		for _, e := range w.engines {
			e.items = map[string]*fakeItem{}
			e.change++
		}
		_, fence := former.m.env.own.planner.Lease(clocktest.At(w.now))
		late := book.Order{Fence: fence, Seq: 1000, Op: book.Load, Item: "late", MiB: 700}
		arrived := false
		w.beforeOrder = func(n *node, e *fakeEngine, o book.Order) {
			if n.id.Zone == "z1" && n != former && o.Op == book.Load && !arrived {
				arrived = true
				w.executeOrder(e, late)
			}
		}
		w.run(20 * time.Second)
		if !arrived {
			t.Fatal("the successor sent no load order")
		}
		if found := strings.Contains(strings.Join(w.violations, "\n"), "overcommit"); found != off {
			t.Fatalf("fences disabled: %v; violations: %v", off, w.violations)
		}
	}
}

// TestEveryCallGetsItsFinalAnswer checks that every call ends with an answer or a refusal, unless
// its instance died.
func TestEveryCallGetsItsFinalAnswer(t *testing.T) {
	for _, s := range storms[:5] {
		w := runStorm(t, s, true, 3, nil)
		w.run(30 * time.Second)
		for _, c := range w.calls {
			n := w.nodes[c.node]
			died := !strings.HasPrefix(c.id, fmt.Sprintf("%s/%d/", c.node, n.id.Boot))
			if !c.answered && c.refusal == nil && !died {
				t.Fatalf("%s: call %s has no final answer", s.name, c.id)
			}
		}
	}
}

// TestRevisionsReachEveryInstance checks that a new configuration is in force on all instances
// within seconds, although only the watchers call the platform.
func TestRevisionsReachEveryInstance(t *testing.T) {
	is := is.New(t)
	doc := smallDocument(true)
	w := newWorld(t, 1, doc, 12, quickOptions())
	w.run(10 * time.Second)
	for _, name := range w.names {
		is.Equal(w.installed[name], uint64(1)) // all instances have the first revision
	}
	w.applyConfig(doc)
	appliedAt := w.now
	for w.lowestRevision() < 2 && w.now-appliedAt < 9*time.Second {
		w.run(50 * time.Millisecond)
	}
	is.Equal(w.lowestRevision(), uint64(2)) // the users allow 9 s
	t.Logf("in force on %d instances after %v", len(w.names), w.now-appliedAt)
}

// lowestRevision returns the lowest configuration revision that is in force on an instance.
func (w *world) lowestRevision() uint64 {
	least := ^uint64(0)
	for _, name := range w.names {
		least = min(least, w.installed[name])
	}
	return least
}

// TestInstanceStartsFromItsPeers checks that a new instance gets the configuration from its peers
// while the platform is down. Without a reachable peer it is not ready and states the reason.
func TestInstanceStartsFromItsPeers(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 1, smallDocument(true), 2, quickOptions())
	w.run(5 * time.Second)
	w.faults.platformDown = true
	w.kill(w.names[1])
	w.run(5 * time.Second)
	ready, _ := w.nodes[w.names[1]].m.Ready()
	is.True(ready)
	is.Equal(w.installed[w.names[1]], uint64(1))

	alone := newWorld(t, 1, smallDocument(true), 1, quickOptions())
	alone.faults.platformDown = true
	alone.faults.cutZones["z1"] = true
	alone.run(5 * time.Second)
	ready, reason := alone.nodes[alone.names[0]].m.Ready()
	is.True(!ready)
	is.Equal(reason, "no configuration from the platform or a peer yet")
}

// TestOlderRevisionIsIgnored checks that neither a stale read nor a peer that is behind rolls the
// configuration back. With the check disabled, the world reports violations.
func TestOlderRevisionIsIgnored(t *testing.T) {
	for _, off := range []bool{false, true} {
		opt := quickOptions()
		opt.Disable.Monotonic = off
		doc := smallDocument(true)
		w := newWorld(t, 1, doc, 1, opt)
		w.run(2 * time.Second)
		w.applyConfig(doc)
		w.run(5 * time.Second)
		old := doc
		old.Revision = 1
		n := w.nodes[w.names[0]]
		w.step(n, w.configReply(old, PlatformSource))
		w.step(n, w.configReply(old, "a peer that is behind"))
		if found := len(w.violations) > 0; found != off {
			t.Fatalf("check disabled: %v, violations: %v", off, w.violations)
		}
	}
}

// TestLeavingEngineGetsNoWork checks that a leaving engine receives no new calls after
// leavingBound, whichever source reports first that it leaves, and however far the list lags
// behind.
func TestLeavingEngineGetsNoWork(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		w := newWorld(t, 2, smallDocument(checksFence), 2, quickOptions())
		w.traffic(30 * time.Second)
		w.run(12 * time.Second)
		leaving := w.busiestEngine()
		e := w.engines[leaving]
		e.leaving, e.leftAt = true, w.now
		e.change++
		before := len(w.calls)
		w.run(15 * time.Second)
		if len(w.violations) > 0 {
			t.Fatalf("%v", w.violations)
		}
		if len(w.calls)-before < 100 {
			t.Fatal("fewer than 100 calls after the engine left")
		}
		// The list lags behind and still shows the engine as live: nothing may change.
		w.platform.version++
		w.platform.list = append(w.platform.list, gossip.Listed{Name: leaving, Kind: gossip.Upstream, Version: era.Revision(w.platform.version)})
		w.run(3 * time.Second)
		for _, name := range w.names {
			if !w.nodes[name].m.state.Pool.Get(leaving).Leaving() {
				t.Fatalf("%s trusts the lagging list", name)
			}
		}
	}
}

// busiestEngine returns the engine with the most items that are ready.
func (w *world) busiestEngine() string {
	best := ""
	most := -1
	for _, e := range w.doc.Engines {
		ready := 0
		for _, it := range w.engines[e.Name].items {
			if it.phase == pool.Ready {
				ready++
			}
		}
		if ready > most {
			best, most = e.Name, ready
		}
	}
	return best
}

// TestPlatformOutageCostsNoResidentCall checks that calls to resident models are served while the
// platform is down, and that the instances call the platform at a bounded rate.
func TestPlatformOutageCostsNoResidentCall(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, 4, smallDocument(true), 2, quickOptions())
	w.warmUp("model-1", 10*time.Second)
	w.faults.platformDown = true
	before := w.platform.calls
	const outage = 10 * time.Minute
	id := calls.ID(1 << 20)
	var resident []*worldCall
	for at := time.Second; at < outage; at += time.Second {
		w.after(at, func() {
			id++
			resident = append(resident, w.call(w.names[int(id)%len(w.names)], calls.Request{ID: id, Service: "svc-model-1", Replayable: true}))
		})
	}
	w.run(outage)
	for _, c := range resident[:len(resident)-1] {
		is.True(c.answered) // calls to a resident model are served
	}
	perInstance := float64(w.platform.calls-before) / outage.Seconds() / float64(len(w.names))
	t.Logf("platform calls during the outage: %.2f a second for each instance", perInstance)
	is.True(perInstance < 2) // three kinds of calls, each with a full jitter of up to 5 s
}

// warmUp sends calls for a model for d, so that it becomes resident.
func (w *world) warmUp(model string, d time.Duration) {
	id := calls.ID(1 << 30)
	for at := time.Second; at < d; at += 200 * time.Millisecond {
		w.after(at, func() {
			id++
			w.call(w.names[int(id)%len(w.names)], calls.Request{ID: id, Service: "svc-" + model, Replayable: true})
		})
	}
	w.run(d)
}

// TestColdModelsAllBecomeReachable checks that each of many cold models that are requested at once
// is served within coldStartBound, also in a zone that is cut off.
func TestColdModelsAllBecomeReachable(t *testing.T) {
	for _, cut := range []bool{false, true} {
		t.Run(fmt.Sprintf("cut=%v", cut), func(t *testing.T) {
			w := newWorld(t, 5, smallDocument(true), 2, quickOptions())
			w.run(8 * time.Second)
			if cut {
				w.faults.cutZones["z1"] = true
			}
			served := map[string]time.Duration{}
			startedAt := w.now
			id := calls.ID(0)
			for at := time.Second; at < coldStartBound; at += 100 * time.Millisecond {
				w.after(at, func() {
					id++
					model := fmt.Sprintf("model-%d", int(id)%8+1)
					c := w.call("z1-entry-1", calls.Request{ID: id, Service: "svc-" + model, Replayable: true})
					w.after(3*time.Second, func() {
						if c.answered && served[model] == 0 {
							served[model] = w.now - startedAt
						}
					})
				})
			}
			w.run(coldStartBound)
			if len(w.violations) > 0 {
				t.Fatal(w.violations[0])
			}
			if len(served) != 8 {
				t.Fatalf("only %d of 8 models were served within %v: %v", len(served), coldStartBound, served)
			}
			t.Logf("first served after: %v", served)
		})
	}
}

// coldStartBound is the guaranteed time until each of eight models is served where memory holds
// four.
const coldStartBound = 90 * time.Second

// TestPlannedStopHandsOver checks that a lease holder that stops releases its lease and ends its
// calls, and that a successor plans immediately instead of after the term of the lease.
func TestPlannedStopHandsOver(t *testing.T) {
	is := is.New(t)
	opt := quickOptions()
	opt.LeaseTerm = 10 * time.Second
	w := newWorld(t, 6, smallDocument(true), 2, opt)
	w.run(15 * time.Second)
	holder := ""
	for _, name := range w.names[:2] {
		if w.nodes[name].m.env.own.planner.IsPlanner() {
			holder = name
		}
	}
	is.True(holder != "")
	w.step(w.nodes[holder], Stop{})
	ready, reason := w.nodes[holder].m.Ready()
	is.True(!ready)
	is.Equal(reason, "stopping")
	stoppedAt := w.now
	planned := func() bool {
		for _, name := range w.names[:2] {
			if name != holder && w.nodes[name].m.env.own.planner.IsPlanner() {
				return true
			}
		}
		return false
	}
	for !planned() && w.now-stoppedAt < 10*time.Second {
		w.run(100 * time.Millisecond)
	}
	is.True(w.now-stoppedAt < 4*time.Second) // a quarter of the 10 s term plus a margin, not the whole term
}

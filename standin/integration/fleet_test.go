package integration

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/internal/control"
	"github.com/birchdrift/birchdrift/internal/own/keyvalue"
	"github.com/birchdrift/birchdrift/standin/engine"
	"github.com/birchdrift/birchdrift/standin/fleet"
	"github.com/birchdrift/birchdrift/standin/platform"
	"github.com/birchdrift/birchdrift/standin/service"
)

// TestPlannedStopCutsNothing checks that calls in progress at SIGTERM, and calls that
// arrive before the load balancer notices, are served completely, and that the exit
// status is 0.
func TestPlannedStopCutsNothing(t *testing.T) {
	is := is.New(t)
	tb, in, e := oneEngine(t, func(o *engine.Options) { o.TokenTime = 10 * time.Millisecond; o.Sequences = 100 })
	var group errgroup.Group
	call := func(i int) func() error {
		return func() error {
			prompt := fmt.Sprintf("lease %d", i)
			a, err := chat(in, "svc-m1", prompt, 100, i%2 == 0)
			if err != nil || a.Err != nil || a.Status != http.StatusOK {
				return fmt.Errorf("call %d: %d, %v, %v", i, a.Status, err, a.Err)
			}
			return nil
		}
	}
	for i := range 20 {
		group.Go(call(i))
	}
	tb.await("the calls run", func() bool { return e.State().Running == 20 })
	is.NoErr(in.Signal(syscall.SIGTERM))
	tb.await("readiness falls", func() bool { return !in.Ready() })
	group.Go(call(20)) // arrives before the load balancer notices
	is.NoErr(group.Wait())
	status, err := in.Wait()
	is.NoErr(err)
	is.Equal(status, 0)
	is.True(strings.Contains(in.Log(), `"cut":0`))
}

// TestSecondSignalSaysWhatWasCut checks that a second signal stops at once, with exit
// status 3 and the number of cut calls in the log.
func TestSecondSignalSaysWhatWasCut(t *testing.T) {
	is := is.New(t)
	tb, in, e := oneEngine(t, func(o *engine.Options) { o.TokenTime = 50 * time.Millisecond })
	result := make(chan error, 1)
	go func() {
		a, err := chat(in, "svc-m1", "long", 10000, true)
		if a.Status != http.StatusOK {
			err = errors.Join(err, fmt.Errorf("status %d", a.Status)) // cut before its first token
		}
		result <- errors.Join(err, a.Err)
	}()
	tb.await("the call runs", func() bool { return e.State().Running == 1 })
	is.NoErr(in.Signal(syscall.SIGTERM))
	tb.await("readiness falls", func() bool { return !in.Ready() })
	is.NoErr(in.Signal(syscall.SIGTERM))
	status, err := in.Wait()
	is.NoErr(err)
	is.Equal(status, 3)
	is.True(strings.Contains(in.Log(), `"cut":1`))
	is.True(<-result != nil) // the caller sees a cut, not a normal end
}

// TestLeavingServiceGetsNoNewWork checks that a replica that reports in a refusal that it
// is leaving gets no more calls and that no call is lost.
func TestLeavingServiceGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	tb, ins := twoReplicas(t)
	tb.services["s1"].Faults.Set(service.Faults{Leaving: true})
	for i := range 20 {
		a, err := ins[0].Post("/services/stock/x", fmt.Sprint(i), notRepeatable)
		is.NoErr(err)
		is.Equal(a.Status, http.StatusOK)
		is.Equal(a.Upstream, "s2")
	}
	is.Equal(len(tb.services["s1"].Executions()), 0)
}

// TestListedLeavingGetsNoNewWork checks that both instances learn within seconds from the
// list alone that a replica is leaving, and send it no more calls.
func TestListedLeavingGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	tb, ins := twoReplicas(t)
	tb.platform.SetInstance(keyvalue.Instance{Name: "s1", Kind: keyvalue.KindUpstream, Zone: "z1", State: keyvalue.StateLeaving})
	start := time.Now()
	for _, in := range ins {
		tb.await(in.Name+" knows that s1 is leaving", func() bool {
			st, err := in.Status()
			return err == nil && st.Upstreams[0].Name == "s1" && st.Upstreams[0].Leaving
		})
	}
	is.True(time.Since(start) < 4*time.Second)
	before := len(tb.services["s1"].Executions())
	for i := range 20 {
		a, err := ins[i%2].Post("/services/stock/x", fmt.Sprint(i), nil)
		is.NoErr(err)
		is.Equal(a.Upstream, "s2")
	}
	is.Equal(len(tb.services["s1"].Executions()), before)
}

// manyModels returns a testbed of two zones, each with one engine that holds two of the
// six models. It starts no instances.
func manyModels(t *testing.T, checks bool) *testbed {
	tb := newTestbed(t)
	tb.addZones("z1", "z2")
	for i := range 2 {
		tb.addEngine(fmt.Sprintf("e%d", i+1), fmt.Sprintf("z%d", i+1), func(o *engine.Options) {
			o.MemoryMiB = 2500
			o.ChecksFence = checks
			o.MiBPerSecond = 5000
		})
	}
	for i := range 6 {
		tb.addModel(fmt.Sprintf("m%d", i+1), 1000)
	}
	tb.doc.Residency.MinimumStay = 300 * time.Millisecond
	tb.doc.Residency.MoveCost = 0.01
	tb.doc.WeightStore.LoadsPerSecond = 40
	tb.doc.WeightStore.MaxConcurrentLoads = 40
	return tb
}

// mustNotOvercommit fails the test if an engine counted an overcommitment.
func (tb *testbed) mustNotOvercommit() {
	tb.t.Helper()
	for name, e := range tb.engines {
		if c := e.Counts(); c.Overcommits > 0 {
			tb.t.Fatalf("%s was overcommitted %d times", name, c.Overcommits)
		}
	}
}

// callModelsInTurn calls one model after the other for a duration.
func (tb *testbed) callModelsInTurn(d time.Duration, ins ...*fleet.Instance) (served, failed int) {
	deadline := time.Now().Add(d)
	for i := 0; time.Now().Before(deadline); i++ {
		a, err := chat(ins[i%len(ins)], fmt.Sprintf("svc-m%d", i/10%6+1), "x", 2, false)
		if err == nil && a.Status == http.StatusOK {
			served++
		} else {
			failed++
		}
	}
	return served, failed
}

// TestMemoryHoldsWhilePlannersDie kills and freezes placers, loses and delays orders and
// takes the platform down while the called models keep changing. Engines count and refuse
// overcommitments, and none may have occurred.
func TestMemoryHoldsWhilePlannersDie(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks=%v", checks), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			tb := manyModels(t, checks)
			ins := []*fleet.Instance{
				tb.startInstance("entry-1", "z1"), tb.startInstance("entry-2", "z1"),
				tb.startInstance("entry-3", "z2"), tb.startInstance("entry-4", "z2"),
			}
			tb.apply()
			var group errgroup.Group
			group.Go(func() error {
				tb.callModelsInTurn(14*time.Second, ins[1], ins[3])
				return nil
			})
			orderFaults := engine.Faults{OrderLost: 2, OrderLate: 2, LateBy: 200_000_000}
			for _, e := range tb.engines {
				e.Faults.Set(orderFaults)
			}
			tb.await("each engine has applied order faults", func() bool {
				for _, e := range tb.engines {
					if e.Faults.Get() == orderFaults {
						return false
					}
				}
				return true
			})
			is.NoErr(ins[0].Signal(syscall.SIGSTOP))
			is.NoErr(ins[2].Signal(syscall.SIGSTOP))
			tb.await("a successor is placer in each zone", func() bool { return isPlacer(ins[1]) && isPlacer(ins[3]) })
			tb.platform.Faults.Set(platform.Faults{Down: true})
			is.NoErr(ins[0].Signal(syscall.SIGCONT))
			is.NoErr(ins[2].Signal(syscall.SIGCONT))
			for _, e := range tb.engines {
				e.Faults.Set(orderFaults)
			}
			tb.await("the outage is noticed", func() bool {
				st, err := ins[1].Status()
				return err == nil && st.PlatformDown
			})
			tb.platform.Faults.Set(platform.Faults{})
			ins[0].Kill()
			is.NoErr(group.Wait())
			tb.mustNotOvercommit()
			for name, e := range tb.engines {
				if e.Counts().Loads < 2 {
					t.Fatalf("%s was never full, so the test proves nothing", name)
				}
			}
		})
	}
}

func isPlacer(in *fleet.Instance) bool {
	st, err := in.Status()
	return err == nil && st.Planning
}

// TestColdModelsAreReached calls six models where four fit. Each must be served within
// the stated bound, and no caller may be left waiting forever.
func TestColdModelsAreReached(t *testing.T) {
	is := is.New(t)
	tb := manyModels(t, true)
	in := tb.startInstance("entry-1", "z1")
	tb.startInstance("entry-2", "z2")
	tb.apply()
	var group errgroup.Group
	for i := range 6 {
		group.Go(func() error {
			model := fmt.Sprintf("svc-m%d", i+1)
			return fleet.Await(model+" is served", func() bool {
				a, err := chat(in, model, "x", 2, false)
				return err == nil && a.Status == http.StatusOK
			})
		})
	}
	is.NoErr(group.Wait())
	tb.mustNotOvercommit()
}

// TestPlatformOutageCostsNoCall checks that, while the platform is down, resident models
// are served through every instance, including one started during the outage.
func TestPlatformOutageCostsNoCall(t *testing.T) {
	is := is.New(t)
	tb, in, _ := oneEngine(t, nil)
	in2 := tb.startInstance("entry-2", "z1")
	tb.awaitSeenBy(in2, "e1", "m1")
	tb.platform.Faults.Set(platform.Faults{Down: true})
	fresh := tb.startInstance("entry-3", "z1", "--seed-peers", in.Peers)
	tb.await("the new instance starts from its peers", fresh.Ready)
	tb.awaitSeenBy(fresh, "e1", "m1")
	for i := range 60 {
		a, err := chat([]*fleet.Instance{in, in2, fresh}[i%3], "svc-m1", "x", 2, false)
		is.NoErr(err)
		is.Equal(a.Status, http.StatusOK)
	}
}

// TestUnreadyWithoutPlatformSaysWhy checks that an instance with neither platform nor
// peers reports that it is not ready, with the reason.
func TestUnreadyWithoutPlatformSaysWhy(t *testing.T) {
	is := is.New(t)
	tb := newTestbed(t)
	tb.platform.Faults.Set(platform.Faults{Down: true})
	in := tb.startInstance("entry-1", "z1")
	resp, err := http.Get("http://" + in.Operations + "/readyz")
	is.NoErr(err)
	data, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(string(data), "no configuration"))
	a, err := chat(in, "svc-m1", "x", 2, false)
	is.NoErr(err)
	is.Equal(parseError(t, a).Error.Code, 402)
}

// TestRacingOperators checks that of ten concurrent applies on the same revision exactly
// one succeeds, and that the others get a numbered conflict with the difference.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	tb, _ := twoReplicas(t)
	stored, err := control.Get(context.Background(), tb.client())
	is.NoErr(err)
	var group errgroup.Group
	results := make([]error, 10)
	for i := range results {
		group.Go(func() error {
			doc := stored.Document
			doc.Residency.MoveCost = float64(i + 1)
			_, results[i] = control.Apply(context.Background(), tb.client(), doc)
			return nil
		})
	}
	is.NoErr(group.Wait())
	won := 0
	for _, err := range results {
		var numbered *code.Error
		switch {
		case err == nil:
			won++
		case errors.As(err, &numbered):
			is.Equal(numbered.Code, code.ConfigConflict)
			is.True(strings.Contains(numbered.Detail, "move_cost"))
		default:
			t.Fatal(err)
		}
	}
	is.Equal(won, 1)
}

// TestApplyWhoseAnswerIsLost checks that an apply whose reply is lost finds out that its
// own change took effect.
func TestApplyWhoseAnswerIsLost(t *testing.T) {
	is := is.New(t)
	tb, _ := twoReplicas(t)
	tb.platform.Faults.Set(platform.Faults{Lost: 1})
	doc := tb.doc
	doc.Residency.MoveCost = 7
	revision, err := control.Apply(context.Background(), tb.client(), doc)
	is.NoErr(err)
	is.Equal(revision, uint64(2))
	stored, err := control.Get(context.Background(), tb.client())
	is.NoErr(err)
	is.Equal(stored.Document.Residency.MoveCost, 7.0)
}

// TestConfigurationSurvivesRestartAndOutage checks that an instance that restarts while
// the platform is down gets the latest revision from its peers.
func TestConfigurationSurvivesRestartAndOutage(t *testing.T) {
	is := is.New(t)
	tb, ins := twoReplicas(t)
	revision := tb.apply()
	tb.platform.Faults.Set(platform.Faults{Down: true})
	ins[1].Kill()
	again := tb.startInstance("entry-2", "z1", "--seed-peers", ins[0].Peers)
	tb.await("it has the revision", func() bool {
		st, err := again.Status()
		return err == nil && st.Revision == revision
	})
	is.True(again.Ready())
}

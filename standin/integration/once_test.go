package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/birchdrift/birchdrift/standin/fleet"
	"github.com/birchdrift/birchdrift/standin/platform"
	"github.com/birchdrift/birchdrift/standin/service"
)

// A errorReply is what a test needs of an error answer.
type errorReply struct {
	Error struct {
		Code int    `json:"code"`
		Run  string `json:"run"`
	} `json:"error"`
}

func parseError(t *testing.T, a fleet.Response) errorReply {
	t.Helper()
	var r errorReply
	if err := json.Unmarshal([]byte(a.Body), &r); err != nil {
		t.Fatalf("%d %q: %v", a.Status, a.Body, err)
	}
	return r
}

// twoReplicas is a world with a plain service of two replicas and two instances.
func twoReplicas(t *testing.T) (*testbed, []*fleet.Instance) {
	w := newTestbed(t)
	w.addZones("z1")
	w.addReplica("stock", "s1", "z1")
	w.addReplica("stock", "s2", "z1")
	ins := []*fleet.Instance{w.startInstance("entry-1", "z1"), w.startInstance("entry-2", "z1")}
	w.apply()
	return w, ins
}

// executionCount counts the executions of calls whose body is text.
func (w *testbed) executionCount(text string) int {
	n := 0
	for _, s := range w.services {
		for _, x := range s.Executions() {
			if x.Body == text {
				n++
			}
		}
	}
	return n
}

// faults sets the faults of every replica.
func (w *testbed) setServiceFaults(f service.Faults) {
	for _, s := range w.services {
		s.Faults.Set(f)
	}
}

// TestRunFieldMatchesExecutions breaks the connection at every point and compares what
// the caller is told with the upstream's own ledger.
func TestRunFieldMatchesExecutions(t *testing.T) {
	w, ins := twoReplicas(t)
	cases := []struct {
		name   string
		faults service.Faults
		header http.Header
		run    string // "" if the call succeeds
		ran    int
	}{
		{"refused by every replica", service.Faults{Refuse: 100}, notRepeatable, "not_run", 0},
		{"dropped before it ran", service.Faults{DropBefore: 1}, notRepeatable, "unknown", 0},
		{"dropped after it ran", service.Faults{DropAfter: 1}, notRepeatable, "unknown", 1},
		{"refused once, then served", service.Faults{Refuse: 1}, notRepeatable, "", 1},
		{"no fault", service.Faults{}, notRepeatable, "", 1},
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w.setServiceFaults(c.faults)
			body := fmt.Sprintf("case %d", i)
			a, err := ins[0].Post("/services/stock/allocate", body, c.header)
			is.NoErr(err)
			is.Equal(w.executionCount(body), c.ran)
			if c.run == "" {
				is.Equal(a.Status, http.StatusOK)
				return
			}
			is.Equal(parseError(t, a).Error.Run, c.run)
		})
	}
}

// TestConnectionRefusedIsNotRun: nobody listens, so the call certainly did not
// run, and the answer says when to come back.
func TestConnectionRefusedIsNotRun(t *testing.T) {
	is := is.New(t)
	w, ins := twoReplicas(t)
	for _, name := range []string{"s1", "s2"} {
		w.servers[name].CloseClientConnections()
		w.servers[name].Close()
	}
	a, err := ins[0].Post("/services/stock/once", "nobody", notRepeatable)
	is.NoErr(err)
	is.Equal(parseError(t, a).Error.Run, "not_run")
	is.True(a.Header.Get("Retry-After") != "")
}

// TestCutBodyIsSeenAsCut: an upstream's answer that is cut halfway reaches the
// caller as cut, never as whole.
func TestCutBodyIsSeenAsCut(t *testing.T) {
	is := is.New(t)
	w, ins := twoReplicas(t)
	w.setServiceFaults(service.Faults{CutBody: 1})
	a, err := ins[0].Post("/services/stock/x", strings.Repeat("long ", 1000), nil)
	is.NoErr(err)
	is.True(a.Err != nil) // reading the body must fail
}

// TestTransportDoesNotRepeat: net/http would by itself repeat a call whose
// reused connection breaks, above all with an Idempotency-Key header. Calls
// that may not be repeated are sent many times over broken connections; the
// ledger shows none twice.
func TestTransportDoesNotRepeat(t *testing.T) {
	is := is.New(t)
	w, ins := twoReplicas(t)
	for i := range 30 {
		w.setServiceFaults(service.Faults{DropAfter: i % 2}) // every other one breaks after it ran
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			body := fmt.Sprintf("%s %d", method, i)
			req, err := http.NewRequest(method, "http://"+ins[0].Callers+"/services/stock/once/"+fmt.Sprint(i), strings.NewReader(body))
			is.NoErr(err)
			req.Header.Set("Idempotency-Key", "key "+body)
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.True(w.executionCount(body) <= 1)
		}
	}
}

// TestSameKeyThroughTwoInstancesRunsOnce: many callers, two instances, one
// key: one runs, the others are told so; then also with the platform's answers
// lost after their effect.
func TestSameKeyThroughTwoInstancesRunsOnce(t *testing.T) {
	for _, lost := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("lost=%d", lost), func(t *testing.T) {
			is := is.New(t)
			w, ins := twoReplicas(t)
			w.platform.Faults.Set(platform.Faults{Lost: lost})
			key := http.Header{"Idempotency-Key": {"envelope-9"}, "Birchdrift-Not-Repeatable": {"true"}}
			var group errgroup.Group
			statuses := make([]int, 10)
			for i := range statuses {
				group.Go(func() error {
					a, err := ins[i%2].Post("/services/stock/envelopes", "envelope 9", key)
					statuses[i] = a.Status
					return err
				})
			}
			is.NoErr(group.Wait())
			is.Equal(w.executionCount("envelope 9"), 1)
			served := 0
			for _, s := range statuses {
				if s == http.StatusOK {
					served++
				}
			}
			is.Equal(served, 1) // the one that ran had its answer
		})
	}
}

// TestClaimWithPlatformDownIsNotRunAtOnce: without the platform a keyed call
// is refused as not run, soon, with when to come back; one without a key that
// may not be repeated is served.
func TestClaimWithPlatformDownIsNotRunAtOnce(t *testing.T) {
	is := is.New(t)
	w, ins := twoReplicas(t)
	w.platform.Faults.Set(platform.Faults{Down: true})
	w.await("the instance notices", func() bool {
		st, err := ins[0].Status()
		return err == nil && st.PlatformDown
	})
	begun := time.Now()
	key := http.Header{"Idempotency-Key": {"k"}, "Birchdrift-Not-Repeatable": {"true"}}
	a, err := ins[0].Post("/services/stock/x", "keyed", key)
	is.NoErr(err)
	r := parseError(t, a)
	is.Equal(r.Error.Code, 401) // platform_down
	is.Equal(r.Error.Run, "not_run")
	is.True(a.Header.Get("Retry-After") != "")
	is.True(time.Since(begun) < 2*time.Second)
	is.Equal(w.executionCount("keyed"), 0)
	a, err = ins[0].Post("/services/stock/x", "no key", notRepeatable)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusOK)
	is.Equal(w.executionCount("no key"), 1)
}

// TestKeyCanBeUsedAgainAfterNotRun: a call that certainly did not run gives
// its key back.
func TestKeyCanBeUsedAgainAfterNotRun(t *testing.T) {
	is := is.New(t)
	w, ins := twoReplicas(t)
	key := http.Header{"Idempotency-Key": {"again"}, "Birchdrift-Not-Repeatable": {"true"}}
	w.setServiceFaults(service.Faults{Refuse: 100})
	a, err := ins[0].Post("/services/stock/x", "again", key)
	is.NoErr(err)
	is.Equal(parseError(t, a).Error.Run, "not_run")
	w.setServiceFaults(service.Faults{})
	w.await("the claim is given back", func() bool { return len(w.platform.Keys("claim/")) == 0 })
	a, err = ins[1].Post("/services/stock/x", "again", key)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusOK)
	is.Equal(w.executionCount("again"), 1)
}

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

// An errorReply holds the fields of an error body that the tests check.
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

// twoReplicas returns a testbed with a plain service of two replicas and two instances.
func twoReplicas(t *testing.T) (*testbed, []*fleet.Instance) {
	tb := newTestbed(t)
	tb.addZones("z1")
	tb.addReplica("stock", "s1", "z1")
	tb.addReplica("stock", "s2", "z1")
	ins := []*fleet.Instance{tb.startInstance("entry-1", "z1"), tb.startInstance("entry-2", "z1")}
	tb.apply()
	return tb, ins
}

// executionCount returns the number of executed calls whose body is text.
func (tb *testbed) executionCount(text string) int {
	n := 0
	for _, s := range tb.services {
		for _, x := range s.Executions() {
			if x.Body == text {
				n++
			}
		}
	}
	return n
}

// setServiceFaults sets the faults of every replica.
func (tb *testbed) setServiceFaults(f service.Faults) {
	for _, s := range tb.services {
		s.Faults.Set(f)
	}
}

// TestRunFieldMatchesExecutions breaks the connection at every point and compares the run
// field of the error with the upstream's own record of executed calls.
func TestRunFieldMatchesExecutions(t *testing.T) {
	tb, ins := twoReplicas(t)
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
			tb.setServiceFaults(c.faults)
			body := fmt.Sprintf("case %d", i)
			a, err := ins[0].Post("/services/stock/allocate", body, c.header)
			is.NoErr(err)
			is.Equal(tb.executionCount(body), c.ran)
			if c.run == "" {
				is.Equal(a.Status, http.StatusOK)
				return
			}
			is.Equal(parseError(t, a).Error.Run, c.run)
		})
	}
}

// TestConnectionRefusedIsNotRun checks that a call whose connection is refused is
// reported as not run, with Retry-After.
func TestConnectionRefusedIsNotRun(t *testing.T) {
	is := is.New(t)
	tb, ins := twoReplicas(t)
	for _, name := range []string{"s1", "s2"} {
		tb.servers[name].CloseClientConnections()
		tb.servers[name].Close()
	}
	a, err := ins[0].Post("/services/stock/once", "nobody", notRepeatable)
	is.NoErr(err)
	is.Equal(parseError(t, a).Error.Run, "not_run")
	is.True(a.Header.Get("Retry-After") != "")
}

// TestCutBodyIsSeenAsCut checks that the caller sees an upstream's response that is cut
// halfway as cut, never as complete.
func TestCutBodyIsSeenAsCut(t *testing.T) {
	is := is.New(t)
	tb, ins := twoReplicas(t)
	tb.setServiceFaults(service.Faults{CutBody: 1})
	a, err := ins[0].Post("/services/stock/x", strings.Repeat("long ", 1000), nil)
	is.NoErr(err)
	is.True(a.Err != nil) // reading the body must fail
}

// TestTransportDoesNotRepeat guards against automatic retries by net/http, which retries
// a call whose reused connection breaks, above all if it has an Idempotency-Key header.
// Many calls that must not be retried are sent over breaking connections; none may be
// executed twice.
func TestTransportDoesNotRepeat(t *testing.T) {
	is := is.New(t)
	tb, ins := twoReplicas(t)
	for i := range 30 {
		tb.setServiceFaults(service.Faults{DropAfter: i % 2}) // the connection of every other call breaks after it ran
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			body := fmt.Sprintf("%s %d", method, i)
			req, err := http.NewRequest(method, "http://"+ins[0].Callers+"/services/stock/once/"+fmt.Sprint(i), strings.NewReader(body))
			is.NoErr(err)
			req.Header.Set("Idempotency-Key", "key "+body)
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.True(tb.executionCount(body) <= 1)
		}
	}
}

// TestSameKeyThroughTwoInstancesRunsOnce sends many calls with one idempotency key through
// two instances, also with the platform's replies lost after their effect. Exactly one
// call must run and be served; the others are refused.
func TestSameKeyThroughTwoInstancesRunsOnce(t *testing.T) {
	for _, lost := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("lost=%d", lost), func(t *testing.T) {
			is := is.New(t)
			tb, ins := twoReplicas(t)
			tb.platform.Faults.Set(platform.Faults{Lost: lost})
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
			is.Equal(tb.executionCount("envelope 9"), 1)
			served := 0
			for _, s := range statuses {
				if s == http.StatusOK {
					served++
				}
			}
			is.Equal(served, 1) // the call that ran got its response
		})
	}
}

// TestClaimWithPlatformDownIsNotRunAtOnce checks that, while the platform is down, a call
// with an idempotency key is refused as not run within 2 s, with Retry-After, and that a
// non-repeatable call without a key is served.
func TestClaimWithPlatformDownIsNotRunAtOnce(t *testing.T) {
	is := is.New(t)
	tb, ins := twoReplicas(t)
	tb.platform.Faults.Set(platform.Faults{Down: true})
	tb.await("the instance notices the outage", func() bool {
		st, err := ins[0].Status()
		return err == nil && st.PlatformDown
	})
	start := time.Now()
	key := http.Header{"Idempotency-Key": {"k"}, "Birchdrift-Not-Repeatable": {"true"}}
	a, err := ins[0].Post("/services/stock/x", "keyed", key)
	is.NoErr(err)
	r := parseError(t, a)
	is.Equal(r.Error.Code, 401) // platform_down
	is.Equal(r.Error.Run, "not_run")
	is.True(a.Header.Get("Retry-After") != "")
	is.True(time.Since(start) < 2*time.Second)
	is.Equal(tb.executionCount("keyed"), 0)
	a, err = ins[0].Post("/services/stock/x", "no key", notRepeatable)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusOK)
	is.Equal(tb.executionCount("no key"), 1)
}

// TestKeyCanBeUsedAgainAfterNotRun checks that a call that certainly did not run
// releases its idempotency key.
func TestKeyCanBeUsedAgainAfterNotRun(t *testing.T) {
	is := is.New(t)
	tb, ins := twoReplicas(t)
	key := http.Header{"Idempotency-Key": {"again"}, "Birchdrift-Not-Repeatable": {"true"}}
	tb.setServiceFaults(service.Faults{Refuse: 100})
	a, err := ins[0].Post("/services/stock/x", "again", key)
	is.NoErr(err)
	is.Equal(parseError(t, a).Error.Run, "not_run")
	tb.setServiceFaults(service.Faults{})
	tb.await("the claim is released", func() bool { return len(tb.platform.Keys("claim/")) == 0 })
	a, err = ins[1].Post("/services/stock/x", "again", key)
	is.NoErr(err)
	is.Equal(a.Status, http.StatusOK)
	is.Equal(tb.executionCount("again"), 1)
}

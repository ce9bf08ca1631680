package instance

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/crash/crashtest"
	"github.com/birchdrift/birchdrift/core/forwarding"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/owned"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/core/watchers"
)

// abandonedCall is the call whose caller disconnects.
const abandonedCall calls.ID = 7

// newOwnerHarness returns one instance that owns its two engines, which hold three models each.
// Events come only from the test.
func newOwnerHarness(t *testing.T) *soloHarness {
	t.Helper()
	f := newFleetOf(1, 1, 2, option.Disabled{}, false)
	f.expireLeases()
	f.run(8 * time.Second)
	n := f.members["i0"]
	return &soloHarness{m: n.m, now: f.clock(n), version: 1000}
}

// arrive delivers abandonedCall to the instance.
func (h *soloHarness) arrive(model, adapter string) []step.Action {
	return h.m.Step(h.now, calls.Arrived{Call: calls.Request{
		ID: abandonedCall, Path: "/x", Replayable: true, PromptTokens: 100,
		Forward: &calls.ForwardRequest{Name: "call", Host: "h", Model: model, Adapter: adapter, Fingerprint: 7},
	}})
}

// workFor returns the actions that start work for abandonedCall, and all orders.
func workFor(actions []step.Action) []step.Action {
	var out []step.Action
	for _, a := range actions {
		switch act := a.(type) {
		case calls.Dispatch:
			if act.ID == abandonedCall {
				out = append(out, a)
			}
		case forwarding.ProbeEngine:
			if act.Call == abandonedCall {
				out = append(out, a)
			}
		case owned.SendOrder:
			out = append(out, a)
		}
	}
	return out
}

// TestNoWorkAfterCallerGone checks that after a caller disconnects, nothing is sent for its call
// in any phase, whatever responses still arrive, and that no replica counts the call as in flight.
func TestNoWorkAfterCallerGone(t *testing.T) {
	failAttempt := func(h *soloHarness, number int, b calls.AttemptFailed) {
		b.ID, b.Attempt = abandonedCall, number
		h.m.Step(h.now, b)
	}
	cases := []struct {
		name  string
		phase calls.Phase
		do    func(h *soloHarness)
		late  func(h *soloHarness) []step.Action // delivers a late response; may be nil
	}{
		{"the call runs", calls.Running, func(h *soloHarness) { h.arrive("m0", "") }, func(h *soloHarness) []step.Action {
			return h.m.Step(h.now, calls.AttemptFailed{ID: abandonedCall, Attempt: 1, Phase: attempt.Refused})
		}},
		{"the call runs at its second replica", calls.Running, func(h *soloHarness) {
			h.arrive("m0", "")
			h.list(h.entry("1"))
			failAttempt(h, 1, calls.AttemptFailed{Phase: attempt.MaybeSent, Severed: true})
		}, func(h *soloHarness) []step.Action {
			return h.m.Step(h.now, calls.AttemptFailed{ID: abandonedCall, Attempt: 2, Phase: attempt.Refused})
		}},
		{"the stream resumes at another replica", calls.Running, func(h *soloHarness) {
			h.arrive("m0", "")
			h.list(h.entry("1"))
			h.m.Step(h.now, calls.AnswerBegan{ID: abandonedCall})
			failAttempt(h, 1, calls.AttemptFailed{Phase: attempt.Answered, Severed: true, Delivered: 3})
		}, func(h *soloHarness) []step.Action {
			return h.m.Step(h.now, calls.AttemptFailed{ID: abandonedCall, Attempt: 2, Phase: attempt.Answered, Severed: true, Delivered: 5})
		}},
		{"the call waits for the end of a rest", calls.Waiting, func(h *soloHarness) {
			for _, r := range h.m.state.Pool.All() {
				h.m.state.Pool.ObserveNotice(h.now, r.Name, h.now, pool.Notice{Rest: 300 * time.Millisecond})
			}
			h.arrive("m0", "")
		}, nil},
		{"the call waits for the trial runs of a suspected request", calls.Waiting, func(h *soloHarness) {
			for seq := range uint64(crash.MaxCrashes) {
				r := crash.Report{Observer: "j", Seq: seq, Replica: pool.Incarnation{Name: fmt.Sprint(seq)}, Requests: crashtest.Requests(7, 8)}
				h.m.quarantine.HandlePeerReports(h.now, "j", []crash.Report{r}, nil)
			}
			h.arrive("m0", "")
		}, nil},
		{"the call waits for an adapter", calls.AwaitingOrder, func(h *soloHarness) { h.arrive("m0", "a1") }, func(h *soloHarness) []step.Action {
			e := h.m.orders.owned.Get("e0")
			return h.m.Step(h.now, owned.OrderReply{Engine: "e0", Fence: e.Fence, Answer: 2})
		}},
		{"engines are being probed", calls.Probing, func(h *soloHarness) {
			h.m.state.Options.ProbeWait = 20 * time.Millisecond
			for i := range 2 * watchers.FullMeshLimit {
				h.m.state.Members.Upsert(fmt.Sprintf("peer%d", i), "z0", fmt.Sprintf("peer%d", i))
			}
			h.list(h.entry("1"))
			h.arrive("m0", "")
		}, func(h *soloHarness) []step.Action {
			actions := append([]step.Action(nil), h.m.Step(h.now, forwarding.ProbeReply{Call: abandonedCall, Engine: "e0", Sent: h.now})...)
			return append(actions, h.m.Step(h.now, forwarding.ProbeReply{Call: abandonedCall, Engine: "e", Sent: h.now})...)
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newOwnerHarness(t)
			c.do(h)
			call := h.m.calls.Get(abandonedCall)
			is.True(call != nil)
			is.Equal(call.Phase, c.phase)
			h.now = h.now.Add(20 * time.Millisecond)
			is.Equal(len(workFor(h.m.Step(h.now, calls.CallerGone{ID: abandonedCall}))), 0)
			is.Equal(h.m.calls.Len(), 0)
			if c.late != nil {
				is.Equal(len(workFor(c.late(h))), 0)
			}
			for range 200 {
				h.now = h.now.Add(25 * time.Millisecond)
				is.Equal(len(workFor(h.m.Step(h.now, Tick{}))), 0)
			}
			for _, r := range h.m.state.Pool.All() {
				is.Equal(r.InFlight(), 0)
			}
		})
	}
}

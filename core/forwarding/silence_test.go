package forwarding

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/pool"
)

// TestSilentAttemptsAreInterrupted checks that an attempt on a link that got no answer is
// interrupted if the call may run again and a peer reaches the replicas, and only then.
func TestSilentAttemptsAreInterrupted(t *testing.T) {
	cases := []struct {
		name     string
		kind     config.Kind
		timedOut bool // connecting got no answer; otherwise it was refused
		lost     bool // the peer has lost its links too
		unproven bool // the peer has had no answer since the link broke
		relay    string
		waited   time.Duration
		want     bool
	}{
		{"repeatable", config.Repeatable, true, false, false, "", silenceLimit, true},
		{"resumable stream", config.Stream, true, false, false, "", silenceLimit, true},
		{"at most once", config.Once, true, false, false, "", silenceLimit, false},
		{"open connections live on", config.Repeatable, false, false, false, "", silenceLimit, false},
		{"no peer reaches the replicas", config.Repeatable, true, true, false, "", silenceLimit, false},
		{"replicas that may be silent for all", config.Repeatable, true, false, true, "", silenceLimit, false},
		{"relayed", config.Repeatable, true, false, false, "peer", silenceLimit, false},
		{"just sent", config.Repeatable, true, false, false, "", silenceLimit / 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := testForwarder(t)
			for _, name := range []string{"a", "b"} {
				f.Pool.Announce(start, name, pool.Announcement{Service: "s", Address: name, Zone: "z", Slots: 1})
				f.Links.Failed(start, f.Pool.Get(name), c.timedOut)
			}
			f.Members.Upsert("peer", "z", "peer")
			f.Members.MarkHeard(start, "peer")
			f.Links.ObservePeer(start.Add(silenceLimit/2), "peer", true, []gossip.LinkReport{{Service: "s", Lost: c.lost, Proven: !c.unproven}})
			call, s := f.testCall(c.kind, true)
			call.Replica = "a"
			call.Started = start
			s.lastAttempt.relay = c.relay
			f.Out.Reset()
			f.interruptSilent(start.Add(c.waited))
			interrupted := false
			for _, a := range f.Out.Actions() {
				if i, ok := a.(calls.Interrupt); ok {
					interrupted = i == calls.Interrupt{ID: call.ID, Silence: silenceLimit}
				}
			}
			is.New(t).Equal(interrupted, c.want)
		})
	}
}

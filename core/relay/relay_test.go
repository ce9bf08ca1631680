package relay

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/quarantine"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/rejectbudget"
	"github.com/birchdrift/birchdrift/core/shared"
)

var start = clocktest.At(time.Hour)

// newRelay returns the Relay of an instance with two replicas and the peer "peer".
func newRelay() *Relay {
	state := shared.New(member.Identity{Name: "self", Zone: "z"}, option.Default(), 1)
	for _, name := range []string{"a", "b"} {
		state.Pool.Announce(start, name, pool.Announcement{Service: "app", Address: name + ":1", Zone: "z", Slots: 1})
	}
	state.Members.Upsert("peer", "z", "peer")
	linkTracker := links.New(state)
	return New(Deps{
		State: state, Links: linkTracker,
		Rejections: rejectbudget.New(rejectbudget.Deps{
			State: state, Links: linkTracker, TellSoon: func(clock.Instant) {},
			Instances: func() map[string]registry.Instance { return nil },
		}),
		Refusing: func(clock.Instant) bool { return false },
		Quarantine: quarantine.New(quarantine.Deps{
			State: state, Tell: func(clock.Instant) {}, Direct: func() bool { return true }, Cut: func(crash.Cause, time.Duration) {},
			ConnectionRefused: func(clock.Instant, pool.Incarnation) {}, LinksAtFault: func(clock.Instant, pool.Incarnation) bool { return false },
		}),
	})
}

// request sends a request and returns the decision.
func (x *Relay) request(token uint64, from, replica string) Decided {
	x.Out.Reset()
	x.HandleRequest(start, Requested{Token: token, From: from, Replica: replica, Request: crash.Request{Fingerprint: 7}})
	for _, a := range x.Out.Actions() {
		if d, ok := a.(Decided); ok {
			return d
		}
	}
	return Decided{}
}

// TestRelayRequests checks which attempts an instance relays.
func TestRelayRequests(t *testing.T) {
	cases := []struct {
		name    string
		from    string
		replica string
		prepare func(x *Relay)
		want    links.RelayFailure
	}{
		{"reachable", "peer", "a", func(*Relay) {}, links.RelaySucceeded},
		{"unknown sender", "stranger", "a", func(*Relay) {}, links.PeerUnreachable},
		{"unknown replica", "peer", "x", func(*Relay) {}, links.ReplicaUnreachable},
		{"broken link", "peer", "a", func(x *Relay) { x.Links.Failed(start, x.Pool.Get("a"), false) }, links.ReplicaUnreachable},
		{"links in doubt", "peer", "a", func(x *Relay) { x.Links.Failed(start, x.Pool.Get("b"), true) }, links.ReplicaUnreachable},
		{"the replica wants nothing from this instance", "peer", "a", func(x *Relay) {
			x.Pool.ObserveNotice(start, "a", start, pool.Notice{Rest: time.Second})
		}, links.ReplicaUnreachable},
		{"the replica may reject another request already", "peer", "a", func(x *Relay) {
			x.Rejections.Observe(start, "app", start, pool.RejectionLimit{Named: true, PerSecond: 1})
			x.request(1, "peer", "a")
		}, links.ReplicaExposed},
		{"the replica answered the request that it might have rejected", "peer", "a", func(x *Relay) {
			x.Rejections.Observe(start, "app", start, pool.RejectionLimit{Named: true, PerSecond: 1})
			x.request(1, "peer", "a")
			x.HandleAccepted(Accepted{Token: 1})
		}, links.RelaySucceeded},
		{"stopping", "peer", "a", func(x *Relay) { x.Refusing = func(clock.Instant) bool { return true } }, links.PeerBusy},
		{"too many attempts", "peer", "a", func(x *Relay) {
			for token := range uint64(maxRelayed) {
				x.request(token+1, "peer", "a")
			}
		}, links.PeerBusy},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			x := newRelay()
			c.prepare(x)
			before := x.Len()
			d := x.request(maxRelayed+1, c.from, c.replica)
			is.Equal(d.Token, uint64(maxRelayed+1))
			is.Equal(d.Failure, c.want)
			if c.want == links.RelaySucceeded {
				is.Equal(d.Address, "a:1")
				is.Equal(x.Len(), before+1)
			} else {
				is.Equal(x.Len(), before)
			}
		})
	}
}

// TestRelayedOutcomes checks what a relayed attempt shows of the link of the instance that
// relayed it.
func TestRelayedOutcomes(t *testing.T) {
	for outcome, broken := range map[Outcome]bool{
		Unknown: false, Answered: false, Severed: false, SeveredUnanswered: false, Unanswered: false, TimedOut: true, Refused: true,
	} {
		is := is.New(t)
		x := newRelay()
		x.request(1, "peer", "a")
		x.HandleEnded(start, Ended{Token: 1, Outcome: outcome})
		is.Equal(x.Len(), 0)
		is.Equal(x.Pool.Get("a").LinkBroken(), broken)
	}
}

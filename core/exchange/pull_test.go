package exchange

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/shared"
)

// TestPullTarget checks that a peer in the instance's own zone is preferred, and then the
// newest revision, and that peers that fail or have an exchange in flight are skipped.
func TestPullTarget(t *testing.T) {
	type peer struct {
		name, zone string
		revision   uint64
		failing    bool
		pending    bool
	}
	cases := []struct {
		name  string
		peers []peer
		want  string
	}{
		{"no peer has a newer revision", []peer{{"a", "z", 0, false, false}}, ""},
		{"newest revision", []peer{{"a", "z", 4, false, false}, {"b", "z", 5, false, false}}, "b"},
		{"own zone first", []peer{{"a", "y", 5, false, false}, {"b", "z", 4, false, false}}, "b"},
		{"failing peer is skipped", []peer{{"a", "z", 5, true, false}, {"b", "y", 4, false, false}}, "b"},
		{"peer with an exchange in flight is skipped", []peer{{"a", "z", 5, false, true}, {"b", "y", 4, false, false}}, "b"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := clocktest.At(time.Hour)
			self := member.Identity{Name: "self", Zone: "z"}
			x := New(Deps{State: shared.New(self, option.Default(), 1)})
			for _, p := range c.peers {
				x.Members.Upsert(p.name, p.zone, p.name)
				x.peers[p.name] = peerState{revision: p.revision}
				if p.pending {
					x.inFlight[p.name] = clock.Instant{}
				}
				if p.failing {
					x.Members.MarkFailed(now, p.name)
				}
			}
			got := ""
			if p := x.pullTarget(); p != nil {
				got = p.Name
			}
			is.Equal(got, c.want)
		})
	}
}

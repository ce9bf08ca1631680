package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
)

// TestBudget: an instance spends its share of the calls that it took, and of the
// fixed part what is left to each of the fleet.
func TestBudget(t *testing.T) {
	cases := []struct {
		name  string
		calls int
		peers int
		want  int
		// common says that a part of the slack is given out on demand.
		common bool
	}{
		{"no call yet: its part of the slack, by the least fleet", 0, 0, 5, false},
		{"a small fleet counts as the least one", 0, 5, 5, false},
		{"a large fleet leaves less to each", 0, 24, 2, false},
		{"a share of the calls on top", 100, 0, 25, false},
		{"a part is given out on demand", 0, 0, 2, true},
		{"of a large fleet, and a share of the calls", 100, 24, 21, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := clocktest.At(time.Hour)
			opt := option.Default()
			opt.RetryWindow = 10 * time.Second
			opt.RetryRatio = 0.2
			opt.RetrySlack = 50
			members := member.New("self", "z")
			for i := range c.peers {
				members.Upsert(string(rune('a'+i)), "z", "address")
			}
			b := &Budget{Options: &opt, Members: members, Common: c.common}
			for range c.calls {
				b.RecordCall(now, "s")
			}
			spent := 0
			for spent < 1000 && b.Spend(now, "s") {
				spent++
			}
			is.Equal(spent, c.want)
			if c.common && c.peers > 0 {
				return // less than one repeat is its own
			}
			is.True(b.Spend(now, "other")) // each service has its own
			// Once the window has passed, the fixed part is there again.
			is.True(b.Spend(now.Add(opt.RetryWindow+time.Second), "s"))
		})
	}
}

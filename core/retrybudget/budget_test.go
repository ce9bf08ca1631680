package retrybudget

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/option"
)

// TestBudget checks that an instance may retry a share of the calls that it received
// plus its part of the fixed number of retries, the slack.
func TestBudget(t *testing.T) {
	cases := []struct {
		name  string
		calls int
		peers int
		want  int
	}{
		{"no calls: part of the slack in a fleet of minimum size", 0, 0, 5},
		{"small fleet: counted as the minimum size", 0, 5, 5},
		{"large fleet: smaller part of the slack", 0, 24, 2},
		{"calls: a share of them in addition", 100, 0, 25},
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
			b := &Budget{Options: &opt, Members: members}
			for range c.calls {
				b.RecordCall(now, "s")
			}
			spent := 0
			for spent < 1000 && spend(b, now, "s") {
				spent++
			}
			is.Equal(spent, c.want)
			is.True(spend(b, now, "other")) // each service has a budget of its own
			// After the length of the window the fixed part is available again.
			is.True(spend(b, now.Add(opt.RetryWindow+time.Second), "s"))
		})
	}
}

func spend(b *Budget, now clock.Instant, service string) bool {
	_, ok := b.Spend(now, service)
	return ok
}

package bounds

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// maxWithinWindow returns the most rejections within RejectionWindow that the tokens allow.
func maxWithinWindow(r Rejections) int { return r.Tokens - r.Room }

// TestRejectionsStayWithinLimit adds up the rejections that all tokens of a replica allow within a
// window.
func TestRejectionsStayWithinLimit(t *testing.T) {
	for limit := 1; limit <= 200; limit++ {
		for _, places := range []int{0, 1, 6, 64} {
			is := is.New(t)
			r := NewRejections(limit, places)
			is.True(maxWithinWindow(r) <= limit)
			is.True(maxWithinWindow(r) >= min(limit/2, maxRejectionTokens)) // most of the limit can be used
			is.True(r.Room < max(1, places))
			is.True(r.Hold > RejectionWindow)
		}
	}
	is := is.New(t)
	is.Equal(NewRejections(0, 0).Tokens, 1)
	is.Equal(maxWithinWindow(NewRejections(0, 6)), 0)
	is.True(small.RejectionSettle(false) > LinkReportTTL)
	is.Equal(small.RejectionSettle(true), small.Leave)
}

// TestTokensOfAnyRoomAreFew checks that a replica that states very many places has few enough tokens to
// assign them one by one. It guards against an entry that keeps the instances from anything else.
func TestTokensOfAnyRoomAreFew(t *testing.T) {
	for _, places := range []int{1 << 16, 1 << 32, math.MaxInt} {
		is := is.New(t)
		r := NewRejections(4, places)
		is.True(r.Tokens <= maxRoom+maxRejectionTokens)
		is.True(maxWithinWindow(r) <= 4)
	}
}

// TestTokensBoundRejections sends requests by tokens to a replica that takes no more than its
// places, as fast as the tokens allow, and counts the rejections within each window.
func TestTokensBoundRejections(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		limit, places := 1+rng.IntN(10), rng.IntN(8)
		r := NewRejections(limit, places)
		var rejected []time.Duration
		free := make([]time.Duration, r.Tokens) // when each token is free
		var running []time.Duration             // when each accepted request ends
		for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
			for i, at := range free {
				if now < at {
					continue
				}
				var still []time.Duration
				for _, end := range running {
					if now < end {
						still = append(still, end)
					}
				}
				running = still
				if len(running) < max(places, 1) {
					free[i] = now + time.Duration(1+rng.IntN(80))*time.Millisecond
					running = append(running, free[i])
					continue
				}
				rejected = append(rejected, now)
				free[i] = now + r.Hold
			}
		}
		first := 0
		for i, at := range rejected {
			for rejected[first] <= at-RejectionWindow {
				first++
			}
			if n := i - first + 1; n > limit {
				t.Fatalf("seed %d: %d rejections within a window; limit %d, %d places", seed, n, limit, places)
			}
		}
		if r.Tokens > max(places, 1) && len(rejected) == 0 {
			t.Errorf("seed %d: nothing was rejected", seed)
		}
	}
}

package permits

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
)

var start = clocktest.At(time.Hour)

// quotaOf returns the quota of a rate limit.
func quotaOf(rate float64) quota {
	return quota{rate: rate, burst: max(minBurst, rate*burstTime.Seconds()), initial: 1}
}

// TestTokenBucketRate checks that no period of 4 s grants more than the rate and the
// burst, whenever and however many tokens are taken, and that tokens are granted at all
// under constant demand.
func TestTokenBucketRate(t *testing.T) {
	for _, rate := range []float64{0.2, 0.5, 1, 3, 10, 200} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%g a second, seed %d", rate, seed), func(t *testing.T) {
				is := is.New(t)
				rng := rand.New(rand.NewPCG(seed, 1))
				tokens := newTokenBucket(start, quotaOf(rate))
				now := start
				var granted []clock.Instant
				total := 0
				for now.Since(start) < time.Minute {
					now = now.Add(time.Duration(rng.ExpFloat64() * float64(30*time.Millisecond)))
					if rng.IntN(200) == 0 {
						now = now.Add(5 * time.Second) // no requests for a while
					}
					tokens.refill(now, quotaOf(rate))
					for tokens.take() {
						granted = append(granted, now)
						total++
					}
					for len(granted) > 0 && now.Since(granted[0]) > 4*time.Second {
						granted = granted[1:]
					}
					is.True(float64(len(granted)) <= 4*rate+max(minBurst, rate*burstTime.Seconds())+1e-9)
				}
				is.True(total > 0)
			})
		}
	}
}

// TestTokenBucketRateChange checks how long requests wait, and that after a change of the
// rate the time until the change still counts at the previous rate.
func TestTokenBucketRateChange(t *testing.T) {
	is := is.New(t)
	tokens := newTokenBucket(start, quotaOf(2))
	tokens.refill(start, quotaOf(2))
	is.Equal(tokens.waitFor(1), time.Duration(0))
	is.Equal(tokens.waitFor(2), 500*time.Millisecond)
	is.True(tokens.take())
	is.True(!tokens.take())
	is.Equal(tokens.interval(), 500*time.Millisecond)
	tokens.refill(start.Add(250*time.Millisecond), quotaOf(200))
	is.True(!tokens.take()) // only half a token is available
	tokens.release()
	is.True(tokens.take())
	tokens.refill(start.Add(time.Hour), quotaOf(0.5))
	is.True(tokens.take())
	is.True(tokens.take())
	is.True(!tokens.take()) // the burst of the previous rate does not remain
	is.Equal(tokens.waitFor(1), 2*time.Second)
	noRate := newTokenBucket(start, quotaOf(1))
	is.Equal(noRate.waitFor(2), maxWait)
	is.Equal(noRate.interval(), maxWait)
}

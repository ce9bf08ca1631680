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

// quotaOf is the supply of a limit.
func quotaOf(rate float64) quota {
	return quota{rate: rate, burst: max(minBurst, rate*burstTime.Seconds()), initial: 1}
}

// TestTokenBucketRate: whatever is asked for, and whenever, no 4 s give out more than the
// rate and what may pile up; asked for all the time, they give out the rate.
func TestTokenBucketRate(t *testing.T) {
	for _, rate := range []float64{0.2, 0.5, 1, 3, 10, 200} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%g a second, seed %d", rate, seed), func(t *testing.T) {
				is := is.New(t)
				rng := rand.New(rand.NewPCG(seed, 1))
				tokens := newTokenBucket(start, quotaOf(rate))
				now := start
				var given []clock.Instant
				greedy := 0
				for now.Since(start) < time.Minute {
					now = now.Add(time.Duration(rng.ExpFloat64() * float64(30*time.Millisecond)))
					if rng.IntN(200) == 0 {
						now = now.Add(5 * time.Second) // nobody asks for a while
					}
					tokens.refill(now, quotaOf(rate))
					for tokens.take() {
						given = append(given, now)
						greedy++
					}
					for len(given) > 0 && now.Since(given[0]) > 4*time.Second {
						given = given[1:]
					}
					is.True(float64(len(given)) <= 4*rate+max(minBurst, rate*burstTime.Seconds())+1e-9)
				}
				is.True(greedy > 0)
			})
		}
	}
}

// TestTokenBucketRateChange tables how long requests wait, and what another rate changes:
// what came until then came at the former one.
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
	is.True(!tokens.take()) // half a token
	tokens.release()
	is.True(tokens.take())
	tokens.refill(start.Add(time.Hour), quotaOf(0.5))
	is.True(tokens.take())
	is.True(tokens.take())
	is.True(!tokens.take()) // what piled up at the former rate does not stay
	is.Equal(tokens.waitFor(1), 2*time.Second)
	none := newTokenBucket(start, quotaOf(1))
	is.Equal(none.waitFor(2), maxWait)
	is.Equal(none.interval(), maxWait)
}

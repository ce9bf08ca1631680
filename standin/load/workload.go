// Package load provides the load program: workloads by seed, an open loop that
// sends them to entry instances, and the report of what the callers saw.
//
// Times are counted from when a call was due, not from when it was sent, so
// that a slow answer cannot put off the calls behind it and hide itself.
package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// A Case names what happens during a run.
type Case string

// The cases.
const (
	Calm       Case = "calm"
	Burst      Case = "burst"       // one unpopular service grows tenfold in the middle third
	Flip       Case = "flip"        // popularity is turned round in the middle
	SlowOne    Case = "slow"        // one engine is slow in the middle third
	DeadOne    Case = "dead"        // one engine restarts empty at a third
	Outage     Case = "outage"      // the platform is down in the middle third
	Bottleneck Case = "weightstore" // the weight store allows a quarter of the loads
)

// Cases lists the cases in the order of the report.
var Cases = []Case{Calm, Burst, Flip, SlowOne, DeadOne, Outage, Bottleneck}

// A Workload shapes the calls of one run.
type Workload struct {
	Services int
	Rate     float64 // calls a second over all services
	Time     time.Duration
	Zipf     float64 // exponent of the popularity; 0 is even
	Prefix   int     // bytes of prompt that a service's calls share
	Tokens   int     // tokens of an answer, on average
	Seed     uint64
	Case     Case
}

// A Call is one call that falls due.
type Call struct {
	Due     time.Duration
	Service int
	Prompt  string
	Tokens  int
}

// Calls draws the workload: Poisson arrivals, popularity by Zipf.
func (w Workload) Calls() []Call {
	rng := rand.New(rand.NewPCG(w.Seed, 7))
	weights := w.weights()
	var calls []Call
	var at time.Duration
	for {
		at += time.Duration(rng.ExpFloat64() / w.Rate * float64(time.Second))
		if at >= w.Time {
			return calls
		}
		service := w.draw(rng, weights, at)
		calls = append(calls, Call{
			Due:     at,
			Service: service,
			Prompt:  w.prompt(service, len(calls)),
			Tokens:  1 + int(rng.ExpFloat64()*float64(w.Tokens-1))%(4*w.Tokens),
		})
	}
}

// weights returns the cumulative popularity by rank.
func (w Workload) weights() []float64 {
	cumulative := make([]float64, w.Services)
	sum := 0.0
	for i := range cumulative {
		sum += 1 / math.Pow(float64(i+1), w.Zipf)
		cumulative[i] = sum
	}
	return cumulative
}

func (w Workload) middle(at time.Duration) bool { return at >= w.Time/3 && at < 2*w.Time/3 }

// draw picks the service of a call due at the given time.
func (w Workload) draw(rng *rand.Rand, weights []float64, at time.Duration) int {
	if w.Case == Burst && w.middle(at) && rng.Float64() < 0.3 {
		return w.Services - 1
	}
	x := rng.Float64() * weights[len(weights)-1]
	rank := 0
	for rank < len(weights)-1 && weights[rank] < x {
		rank++
	}
	if w.Case == Flip && at >= w.Time/2 {
		return w.Services - 1 - rank
	}
	return rank
}

// prompt is a shared library of clauses, then the call's own question.
func (w Workload) prompt(service, n int) string {
	clause := fmt.Sprintf("Clause of service %d. ", service)
	return strings.Repeat(clause, w.Prefix/len(clause)+1)[:w.Prefix] + fmt.Sprintf(" Question %d?", n)
}

package retrybudget

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/clock/clocktest"
	"github.com/birchdrift/birchdrift/core/option"
)

// loadSeeds is the number of seeds per load. For a longer run, use -load.seeds=200.
var loadSeeds = flag.Int("load.seeds", 10, "number of seeds per load of instances that spend their retry budgets")

// A load is the calls, failures and restarts of a fleet of instances.
type load struct {
	name string
	// life is the average time for which an instance runs; 0: it is never restarted.
	life time.Duration
	// rate returns the calls per second that an instance receives.
	rate func(now time.Duration, instance int) float64
	// failing returns the share of attempts that fail at an instance.
	failing func(now time.Duration, instance int) float64
}

const (
	loadSpan      = 40 * time.Second
	loadStep      = 10 * time.Millisecond
	loadInstances = 7
	// maxLoadAttempts is the number of attempts of a call that keeps failing.
	maxLoadAttempts = 3
)

func evenRate(time.Duration, int) float64 { return 15 }

// burstRate triples the calls for 3 s of every 8 s.
func burstRate(now time.Duration, _ int) float64 {
	if now%(8*time.Second) < 3*time.Second {
		return 45
	}
	return 15
}

// movingRate sends all calls to one instance after the other, each for 6 s.
func movingRate(now time.Duration, instance int) float64 {
	if int(now/(6*time.Second))%loadInstances == instance {
		return 15 * loadInstances
	}
	return 0.5
}

// turn is how long each half of the instances receives all calls in alternatingRate.
const turn = 9 * time.Second

// alternatingRate sends all calls to one half of the instances, then to the other half.
func alternatingRate(now time.Duration, instance int) float64 {
	if int(now/turn)%2 == instance%2 {
		return 30
	}
	return 0
}

// failuresAtTurns lets most attempts fail in the last second of each turn.
func failuresAtTurns(now time.Duration, _ int) float64 {
	if now%turn >= turn-time.Second {
		return 0.95
	}
	return 0
}

// pulsedRate sends all calls within the first half second of every 10.6 s, so that those of
// two pulses may be within 11 s.
func pulsedRate(now time.Duration, _ int) float64 {
	if now%(10600*time.Millisecond) < 500*time.Millisecond {
		return 200
	}
	return 0
}

func mostFail(time.Duration, int) float64 { return 0.9 }

// failuresAfterQuiet lets most attempts fail after a time without any failure.
func failuresAfterQuiet(now time.Duration, _ int) float64 {
	if now < 15*time.Second {
		return 0
	}
	return 0.95
}

// changingFailures lets most attempts fail at some instances at a time: each instance has
// periods of its own.
func changingFailures(now time.Duration, instance int) float64 {
	period := time.Duration(5+instance) * time.Second
	if now%period < period/3 {
		return 0.95
	}
	return 0.01
}

var loads = []load{
	{"even", 0, evenRate, mostFail},
	{"failures after a quiet time", 0, evenRate, failuresAfterQuiet},
	{"failures after a quiet time, instances start again", 8 * time.Second, evenRate, failuresAfterQuiet},
	{"instances start again every 4 s", 4 * time.Second, evenRate, mostFail},
	{"instances start again every 2 s", 2 * time.Second, evenRate, mostFail},
	{"instances start again every 0.7 s", 700 * time.Millisecond, evenRate, mostFail},
	{"calls move between instances", 0, movingRate, mostFail},
	{"calls move, instances start again", 3 * time.Second, movingRate, mostFail},
	{"calls alternate between halves, failures before each change", 0, alternatingRate, failuresAtTurns},
	{"the same, instances start again", 5 * time.Second, alternatingRate, failuresAtTurns},
	{"bursts", 0, burstRate, mostFail},
	{"bursts, failures that come and go", 0, burstRate, changingFailures},
	{"bursts, failures that come and go, instances start again", 4 * time.Second, burstRate, changingFailures},
	{"pulses", 0, pulsedRate, mostFail},
	{"pulses, instances start again", 5 * time.Second, pulsedRate, mostFail},
	{"pulses, failures that come and go", 0, pulsedRate, changingFailures},
}

// newLoadBudget returns the budget of an instance that has just started.
func newLoadBudget(now clock.Instant, opt *option.Options) *Budget {
	b := &Budget{Options: opt, FleetSize: func() (int, bool) { return loadInstances, true }}
	b.Tick(now)
	return b
}

// spend runs the load and returns the calls and retries of all instances, each of which
// retries whenever its budget allows.
func (l load) spend(seed uint64, opt *option.Options) *Tally {
	rng := rand.New(rand.NewPCG(seed, 1))
	tally := &Tally{}
	budgets := make([]*Budget, loadInstances)
	clockAt := func(now time.Duration) clock.Instant { return clocktest.At(time.Hour + now) }
	for i := range budgets {
		budgets[i] = newLoadBudget(clockAt(0), opt)
	}
	for now := time.Duration(0); now < loadSpan; now += loadStep {
		for i := range budgets {
			if l.life > 0 && rng.Float64() < loadStep.Seconds()/l.life.Seconds() {
				budgets[i] = newLoadBudget(clockAt(now), opt)
			}
			for range arrivals(rng, l.rate(now, i)) {
				tally.AddCall(now)
				budgets[i].RecordCall(clockAt(now), "s")
				for range maxLoadAttempts - 1 {
					if rng.Float64() >= l.failing(now, i) || !budgets[i].Spend(clockAt(now), "s") {
						break
					}
					tally.AddRetry(now)
				}
			}
		}
	}
	return tally
}

// arrivals returns a random number of calls in a step, at the given rate per second.
func arrivals(rng *rand.Rand, rate float64) int {
	n := 0
	for mean := rate * loadStep.Seconds(); mean > 0; mean-- {
		if rng.Float64() < mean {
			n++
		}
	}
	return n
}

// Guards against retries beyond the fleet's budget where instances restart, or where calls and
// failures are not the same everywhere: each start of an instance spent a part of its own, and
// each instance based its retries on the calls of another window.
func TestRetriesOfAllInstancesStayWithinLimit(t *testing.T) {
	opt := option.Default()
	opt.RetrySlack = 54
	limit := Limit{Ratio: opt.RetryRatio, Slack: opt.RetrySlack, Window: opt.RetryWindow}
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			worst := 0.0
			for seed := range *loadSeeds {
				peak := l.spend(uint64(seed+1), &opt).Peak(limit)
				worst = max(worst, peak.Used())
				if peak.Used() > 1 {
					t.Errorf("seed %d: %d retries in %v from %v for %d calls; allowed %.0f", seed+1, peak.Retries, limit.Window, peak.From, peak.Calls, peak.Allowed)
				}
			}
			t.Logf("at most %.2f of the limit", worst)
		})
	}
}

package forwarding

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/pool"
)

// chargedRetries returns how many retries are charged to the instance's part of the budget.
func (f *Forwarder) chargedRetries(now clock.Instant) int { return f.Budget.Usage(now, "s").Retries }

// waitingRetry returns a forwarder with a call that replica a refused and that waits for the end
// of the rest that a asked for.
func waitingRetry(t *testing.T, rest time.Duration) (*Forwarder, *calls.Call) {
	t.Helper()
	f := testForwarder(t)
	f.limitedReplica("a", -1)
	call, s := f.testCall(config.Stream, false)
	call.Item = "m"
	call.Replica = "a"
	s.request = modelRequest{model: "m"}
	f.Pool.Get("a").Start(start, uint64(call.ID))
	f.Pool.ObserveNotice(start, "a", start, pool.Notice{Rest: rest})
	f.attemptFailed(start, call, calls.AttemptFailed{Phase: attempt.Refused, Status: 503})
	return f, call
}

// Guards against retries of two windows that arrive in one: a retry that waited was charged when
// it was decided, seconds before it was sent.
func TestRetryIsChargedWhenItIsSent(t *testing.T) {
	is := is.New(t)
	const rest = 400 * time.Millisecond
	f, call := waitingRetry(t, rest)
	is.Equal(f.Calls.QueueLen(), 1)
	is.Equal(f.chargedRetries(start), 0)
	f.Calls.RetryQueued(start.Add(rest))
	is.Equal(call.Phase, calls.Running)
	is.Equal(f.chargedRetries(start.Add(rest)), 1)
}

// TestWaitingRetryWithoutBudgetIsRefused checks that a retry that has waited is not sent, and its
// call is refused at once, if the budget was used up meanwhile and nobody lends a retry.
func TestWaitingRetryWithoutBudgetIsRefused(t *testing.T) {
	is := is.New(t)
	f, call := waitingRetry(t, 400*time.Millisecond)
	later := start.Add(400 * time.Millisecond)
	for f.Budget.Spend(later, "s") {
	}
	f.Calls.RetryQueued(later)
	is.Equal(len(f.dispatches()), 0)
	refused, _ := finalAnswers(f.Out)
	is.Equal(refused[call.ID].Code, code.NoCapacity)
	is.Equal(refused[call.ID].Run, code.NotRun)
}

// TestChargeOfUnsentAttempt checks that the charge of an attempt of which nothing was sent counts
// for the next one if that follows soon, and that the first attempt of a call is never charged.
func TestChargeOfUnsentAttempt(t *testing.T) {
	for _, tt := range []struct {
		name   string
		phases []attempt.Phase // of the attempts that failed, each sent after gap
		gap    time.Duration
		want   int // retries that are charged for these and the next attempt
	}{
		{"first attempt", nil, 0, 0},
		{"nothing was sent", []attempt.Phase{attempt.NotSent, attempt.NotSent}, 0, 0},
		{"refused", []attempt.Phase{attempt.Refused}, 0, 1},
		{"refused twice", []attempt.Phase{attempt.Refused, attempt.Refused}, 0, 2},
		{"refused, then nothing was sent", []attempt.Phase{attempt.Refused, attempt.NotSent}, 0, 1},
		{"refused, then nothing was sent for a while", []attempt.Phase{attempt.Refused, attempt.NotSent}, time.Second, 2},
		{"nothing was sent, then refused", []attempt.Phase{attempt.NotSent, attempt.Refused}, time.Second, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			call, s := f.testCall(config.Repeatable, false)
			now := start
			is.True(f.chargeRetry(now, call))
			for _, phase := range tt.phases {
				now = now.Add(tt.gap)
				s.charge = s.charge.withFailure(phase)
				is.True(f.chargeRetry(now, call))
			}
			is.Equal(f.chargedRetries(now), tt.want)
		})
	}
}

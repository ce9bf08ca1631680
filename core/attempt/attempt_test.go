package attempt

import (
	"flag"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/birchdrift/birchdrift/core/code"
)

// The seed is fixed, so every run draws the same histories; -rapid.seed=0 draws
// random ones.
func init() { _ = flag.Set("rapid.seed", "1") }

func TestRunFollowsThePhases(t *testing.T) {
	cases := []struct {
		phases []Phase
		want   code.RunState
	}{
		{nil, code.NotRun},
		{[]Phase{NotSent}, code.NotRun},
		{[]Phase{Refused, NotSent}, code.NotRun},
		{[]Phase{MaybeSent}, code.MayHaveRun},
		{[]Phase{MaybeSent, Refused}, code.MayHaveRun},
		{[]Phase{Answered}, code.Ran},
		{[]Phase{Answered, MaybeSent}, code.Ran},
		{[]Phase{Ended}, code.Ran},
	}
	for _, c := range cases {
		h := New(true)
		for _, p := range c.phases {
			h = h.WithAttempt().WithFailure(p)
		}
		is.New(t).Equal(h.RunState(), c.want)
	}
}

// TestNotRepeatableIsNeverSentTwice checks with random histories of failures that
// a call that is not repeatable is not retried once an attempt may have run.
func TestNotRepeatableIsNeverSentTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := New(false).WithAttempt()
		mayHaveRun := false
		for range rapid.IntRange(1, 20).Draw(t, "breaks") {
			phase := Phase(rapid.IntRange(int(NotSent), int(Refused)).Draw(t, "phase"))
			h = h.WithFailure(phase)
			mayHaveRun = mayHaveRun || phase.RunState() != code.NotRun
			decision := h.Decide(Failure{
				Phase:     phase,
				Delivered: rapid.IntRange(0, 1).Draw(t, "delivered"),
				SameBoot:  rapid.Bool().Draw(t, "same boot"),
				Stalled:   rapid.Bool().Draw(t, "stalled"),
				Spent:     rapid.Bool().Draw(t, "spent"),
			})
			if decision == Retry && mayHaveRun {
				t.Fatal("retried although an attempt may have run")
			}
			switch decision {
			case Fail:
				return
			case Retry:
				h = h.WithAttempt()
			case Resume:
				h = h.WithResume()
			}
		}
	})
}

func TestNoRetryAfterDelivery(t *testing.T) {
	h := New(true).WithAttempt().WithFailure(Answered)
	is.New(t).Equal(h.Decide(Failure{Phase: Answered, Delivered: 1}), Fail)
}

func TestResumesAreBounded(t *testing.T) {
	h := New(false).WithAttempt().WithFailure(Answered)
	for range MaxResumes {
		h = h.WithResume()
	}
	is.New(t).Equal(h.Decide(Failure{Phase: Answered, Delivered: 1, SameBoot: true}), Fail)
}

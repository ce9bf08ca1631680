package forwarding

import (
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
)

// When a call whose attempt failed may go to another replica.

const (
	// maxRefusals is how many replicas that refuse a call it follows; each costs
	// the budget.
	maxRefusals = 3
	// maxUnsent is how many replicas it follows at which nothing answers.
	maxUnsent = 8
	// minTimeLeft is the least time for which an attempt is worth making.
	minTimeLeft = 20 * time.Millisecond
)

// A retryVerdict says whether a call may be repeated, or why not.
type retryVerdict int

const (
	retryAllowed    retryVerdict = iota
	mayHaveRun                   // and its route does not say that this is harmless
	notResumable                 // the stream has begun
	bodyConsumed                 // it cannot be sent again
	attemptsUsed                 // all that its route allows
	refusedTooOften              // by replicas that did not run it
	unsentTooOften               // nothing answered at replicas
	noTimeLeft
	overBudget // the fleet's repeats of the service are used up
)

// String names the reason for the log.
func (v retryVerdict) String() string {
	return [...]string{
		"allowed", "it may have run", "the stream cannot be resumed", "its body cannot be sent again", "all attempts are used",
		"refused too often", "nothing answered too often", "no time is left", "the retry budget is used up",
	}[v]
}

// checkRetry decides whether a call whose attempt failed with b may go to another
// replica, and spends the budget for it. A call that may have run is repeated only
// where its route says that this is harmless; a stream that has begun only where it
// can be resumed. What never left did not arrive anywhere, so it costs no budget.
func (f *Forwarder) checkRetry(now clock.Instant, c *calls.Call, b calls.AttemptFailed) retryVerdict {
	s := stateOf(c)
	p := s.progress
	switch {
	case p.answerStarted && !(s.route.Kind == config.Stream && s.route.Resumable):
		return notResumable
	case !p.answerStarted && !c.History.Repeatable && c.History.RunState() != code.NotRun:
		return mayHaveRun
	case b.BodyConsumed:
		return bodyConsumed
	case p.possibleRuns >= max(1, s.route.MaxAttempts):
		return attemptsUsed
	case p.refusals >= maxRefusals:
		return refusedTooOften
	case p.unsent >= maxUnsent:
		return unsentTooOften
	case !now.Add(minTimeLeft).Before(c.Expires):
		return noTimeLeft
	case b.Phase != attempt.NotSent && !f.Budget.Spend(now, c.Service):
		return overBudget
	default:
		return retryAllowed
	}
}

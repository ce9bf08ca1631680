package forwarding

import (
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/retrybudget"
)

// Whether a call whose attempt failed may be retried at another replica.

const (
	// maxRefusals is the number of refusals by replicas after which a call is no longer
	// retried; each of these retries is charged to the retry budget.
	maxRefusals = 3
	// maxUnsent is the number of unreachable replicas after which a call is no longer
	// retried.
	maxUnsent = 8
	// minTimeLeft is the shortest remaining time in which a retry is useful.
	minTimeLeft = 20 * time.Millisecond
)

// A retryVerdict says whether a call may be retried, or why not.
type retryVerdict int

const (
	retryAllowed    retryVerdict = iota
	mayHaveRun                   // the call may have run and is not repeatable
	notResumable                 // the answer has begun and cannot be resumed
	bodyConsumed                 // the body cannot be sent again
	attemptsUsed                 // the route allows no more attempts
	refusedTooOften              // maxRefusals replicas refused the call
	unsentTooOften               // maxUnsent replicas were unreachable
	noTimeLeft                   // less than minTimeLeft is left
	overBudget                   // the retry budget of the service is used up
)

// String returns the verdict as it is logged.
func (v retryVerdict) String() string {
	return [...]string{
		"allowed", "it may have run", "the stream cannot be resumed", "its body cannot be sent again", "all attempts are used",
		"too many replicas refused it", "too many replicas were unreachable", "no time is left", retrybudget.DeniedReason,
	}[v]
}

// checkRetry decides whether a call whose attempt failed with e may be retried at
// another replica. A call that may have run is retried only if its route is repeatable, and
// a stream that has begun only if it can be resumed. The retry is charged to the budget when
// it is sent; a call of which nothing was sent reached no replica, so its retry is not charged.
func (f *Forwarder) checkRetry(now clock.Instant, c *calls.Call, e calls.AttemptFailed) retryVerdict {
	s := stateOf(c)
	p := s.progress
	switch {
	case p.answerStarted && (s.route.Kind != config.Stream || !s.route.Resumable || e.PositionUnknown):
		return notResumable
	case !p.answerStarted && !c.History.Repeatable && c.History.RunState() != code.NotRun:
		return mayHaveRun
	case e.BodyConsumed:
		return bodyConsumed
	case p.possibleRuns >= max(1, s.route.MaxAttempts):
		return attemptsUsed
	case p.refusals >= maxRefusals:
		return refusedTooOften
	case p.unsent >= maxUnsent:
		return unsentTooOften
	case !now.Add(minTimeLeft).Before(c.Expires):
		return noTimeLeft
	case e.Phase != attempt.NotSent && !f.Budget.Available(now, c.Service):
		return overBudget
	default:
		return retryAllowed
	}
}

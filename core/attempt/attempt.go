// Package attempt records the attempts of one call at its upstreams and derives
// from them whether the call ran and whether it may be retried.
//
// An error string does not tell whether a call ran; how much had been sent and
// received when the connection broke does. Each attempt therefore follows a small
// state machine (NotSent, MaybeSent, Answered, Ended, or Refused), and the run
// state and the retry decision are computed from it.
//
// Invariants: the phase of an attempt never goes back; a call that is not repeatable
// is never sent again once any attempt is past NotSent, unless the upstream itself
// reported that it did not run the call.
package attempt

import "github.com/birchdrift/birchdrift/core/code"

// A Phase is the progress of one attempt.
type Phase int

// The phases of an attempt.
const (
	NotSent   Phase = iota // no byte was sent
	MaybeSent              // a byte may have been sent
	Answered               // the upstream began to answer
	Ended                  // the upstream's explicit end of the answer arrived
	Refused                // the upstream reported that it did not run the call
)

// RunState returns the run state of an attempt that got no further than p.
func (p Phase) RunState() code.RunState {
	switch p {
	case NotSent, Refused:
		return code.NotRun
	case MaybeSent:
		return code.MayHaveRun
	default:
		return code.Ran
	}
}

// A Decision is what to do after an attempt failed.
type Decision int

// The decisions.
const (
	Fail   Decision = iota // give the call its final answer
	Retry                  // send the call again from the start, to any replica
	Resume                 // continue at the delivered offset, at the same replica
)

// MaxResumes is the number of times that one attempt may be resumed. Without a
// bound, a connection that breaks after every piece of the answer would keep the
// call in progress forever.
const MaxResumes = 16

// A History is the immutable record of one call's attempts.
type History struct {
	Repeatable bool
	run        code.RunState // combined run state of all failed attempts
	Attempts   int           // attempts started
	Resumes    int           // resumes of the current attempt
}

// New returns the history of a call that has not been sent.
func New(repeatable bool) History {
	return History{Repeatable: repeatable, run: code.NotRun}
}

// WithAttempt returns h after the start of an attempt.
func (h History) WithAttempt() History {
	h.Attempts++
	h.Resumes = 0
	return h
}

// WithResume returns h after a resume of the current attempt.
func (h History) WithResume() History {
	h.Resumes++
	return h
}

// WithFailure returns h after an attempt failed in phase p.
func (h History) WithFailure(p Phase) History {
	h.run = combineRunStates(h.run, p.RunState())
	return h
}

// combineRunStates returns the run state of a call whose attempts have the run states
// a and b. Ran takes precedence over MayHaveRun, and MayHaveRun over NotRun, so a call
// never counts as not run if an attempt of it may have run.
func combineRunStates(a, b code.RunState) code.RunState {
	if a == code.Ran || b == code.Ran {
		return code.Ran
	}
	if a == code.MayHaveRun || b == code.MayHaveRun {
		return code.MayHaveRun
	}
	return code.NotRun
}

// RunState returns the combined run state of the call's failed attempts.
func (h History) RunState() code.RunState { return h.run }

// A Failure describes how an attempt ended before its answer was complete.
type Failure struct {
	Phase     Phase
	Delivered int  // tokens or bytes that reached the caller
	SameBoot  bool // the replica is still the same process and can resume the answer
	Stalled   bool // the replica stopped sending, but the connection did not break
	Spent     bool // the call's body was consumed and cannot be sent again
}

// Decide returns what to do after failure f, which h must already include. The
// caller of Decide checks whether the retry budget allows a Retry.
func (h History) Decide(f Failure) Decision {
	if f.Phase == Ended {
		return Fail
	}
	retryable := h.mayRetry(f)
	// A stalled replica is more likely to stay stalled than a broken connection is
	// to break again, so prefer a retry at another replica after a stall.
	if h.mayResume(f) && !(f.Stalled && retryable) {
		return Resume
	}
	if retryable {
		return Retry
	}
	return Fail
}

// mayResume reports whether the current attempt may be resumed at its replica. There is
// nothing to resume if the replica did not receive the call or refused it.
func (h History) mayResume(f Failure) bool {
	return f.SameBoot && h.Resumes < MaxResumes && f.Phase != NotSent && f.Phase != Refused
}

// mayRetry reports whether the call may be sent again from the start. A call of which
// the caller has received anything is not started again.
func (h History) mayRetry(f Failure) bool {
	if f.Delivered > 0 || f.Spent {
		return false
	}
	return h.Repeatable || h.run == code.NotRun
}

// Package attempt provides the record of one call's attempts at upstreams, from
// which the answers "did it run?" and "may it be sent again?" are derived.
//
// The idea: an error string never says whether a call ran. What does is how far
// the bytes had come when the connection broke, so each attempt walks one small
// state machine (NotSent, MaybeSent, Answered, Ended, or Refused) and everything
// else is computed from it.
//
// Invariants: a phase never goes back; a call that may not be repeated is never
// sent again once any attempt is past NotSent, unless the upstream itself said
// that it did not run.
package attempt

import "github.com/birchdrift/birchdrift/core/code"

// A Phase says how far one attempt has come.
type Phase int

// The phases of an attempt.
const (
	NotSent   Phase = iota // no byte has left
	MaybeSent              // a byte may have left
	Answered               // the upstream began to answer
	Ended                  // the upstream's explicit end arrived
	Refused                // the upstream said that it did not run the call
)

// RunState returns what is known of an attempt that went no further than p.
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

// A Decision is what to do after an attempt broke.
type Decision int

// The steps.
const (
	Fail   Decision = iota // give the call its final answer
	Retry                  // start anew, at any replica
	Resume                 // go on at the delivered offset, at the same replica
)

// MaxResumes bounds how often one attempt is resumed, so that a connection
// that breaks after every piece cannot hold a call for ever.
const MaxResumes = 16

// A History is the immutable record of one call's attempts.
type History struct {
	Repeatable bool
	run        code.RunState // worst of the attempts that are over
	Attempts   int           // attempts begun
	Resumes    int           // resumes of the attempt in progress
}

// New returns the history of a call that was never sent.
func New(repeatable bool) History {
	return History{Repeatable: repeatable, run: code.NotRun}
}

// WithAttempt returns h after an attempt began.
func (h History) WithAttempt() History {
	h.Attempts++
	h.Resumes = 0
	return h
}

// WithResume returns h after the attempt in progress was resumed.
func (h History) WithResume() History {
	h.Resumes++
	return h
}

// WithFailure returns h after an attempt broke in phase p.
func (h History) WithFailure(p Phase) History {
	h.run = combineRunStates(h.run, p.RunState())
	return h
}

// combineRunStates returns the statement that promises less: ran, unknown, not run.
func combineRunStates(a, b code.RunState) code.RunState {
	if a == code.Ran || b == code.Ran {
		return code.Ran
	}
	if a == code.MayHaveRun || b == code.MayHaveRun {
		return code.MayHaveRun
	}
	return code.NotRun
}

// RunState says whether the call ran, as far as its attempts tell.
func (h History) RunState() code.RunState { return h.run }

// A Failure describes the end of an attempt that was not its proper end.
type Failure struct {
	Phase     Phase
	Delivered int  // tokens or bytes that reached the caller
	SameBoot  bool // the replica is the same process and can resume
	Stalled   bool // the replica fell silent, rather than the connection broke
	Spent     bool // the call's body is gone and cannot be sent again
}

// Decide returns the step after a break; h must already include it. Whether the
// retry budget allows a Retry is the caller's matter.
func (h History) Decide(b Failure) Decision {
	if b.Phase == Ended {
		return Fail
	}
	anew := h.mayRetry(b)
	// A silent replica is likelier to stay silent than a broken connection is
	// to break again: leave it if the call can start anew elsewhere.
	if h.mayResume(b) && !(b.Stalled && anew) {
		return Resume
	}
	if anew {
		return Retry
	}
	return Fail
}

func (h History) mayResume(b Failure) bool {
	return b.SameBoot && h.Resumes < MaxResumes && b.Phase != NotSent && b.Phase != Refused
}

func (h History) mayRetry(b Failure) bool {
	if b.Delivered > 0 || b.Spent {
		return false
	}
	return h.Repeatable || h.run == code.NotRun
}

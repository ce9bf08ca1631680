package losses

import (
	"strings"
	"time"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
)

// An outcome is the result of a call as its caller saw it.
type outcome int

// The outcomes.
const (
	inTime outcome = iota
	late
	refused     // the call did not run
	failed      // the call may have run
	unanswered  // the caller disconnected, or the instance ended
	numOutcomes // number of outcomes
)

// String returns the outcome's name in reports.
func (o outcome) String() string {
	return [...]string{"in time", "late", "refused", "failed", "unanswered"}[o]
}

// A call holds what the log says about one call.
type call struct {
	key       string
	instance  string
	zone      string
	model     string
	rank      int
	began     time.Time
	ended     time.Time
	sends     int
	waitedFor string        // what it last waited for; "" if it did not wait
	target    time.Duration // longest allowed time to the first event; 0 if there is none
	gap       time.Duration // longest allowed time between two events; 0 if there is none
	outcome   outcome
	reason    string
}

// addCallEvent adds an event of a call to the log. A caller's retry at another instance
// counts as another call, since callers give each retry its own call ID.
func (l *Log) addCallEvent(r record) {
	if r.Call == "" {
		l.withoutCallID++
		return
	}
	c := l.calls[r.Call]
	if c == nil {
		c = &call{key: r.Call, instance: r.Instance, zone: r.Zone, began: r.Time, outcome: unanswered}
		l.calls[r.Call] = c
	}
	if r.Item != "" {
		c.model, _ = pool.SplitItem(r.Item)
	}
	c.ended = r.Time
	switch r.Event {
	case logevent.CallSent:
		c.sends++
		c.rank = r.Rank
		c.target = time.Duration(r.TargetMS) * time.Millisecond
		c.gap = time.Duration(r.GapMS) * time.Millisecond
	case logevent.CallWaits:
		c.waitedFor = r.For
	case logevent.CallServed:
		c.addServed(r)
	case logevent.CallFailed:
		l.addFailure(c, r)
	}
}

// addServed sets the outcome of a call that got a whole answer: whether it was in time and,
// if it was late, the reason.
func (c *call) addServed(r record) {
	waited := time.Duration(r.WaitedMS) * time.Millisecond
	first := time.Duration(r.FirstMS) * time.Millisecond
	pause := time.Duration(r.PauseMS) * time.Millisecond
	c.outcome = late
	switch {
	case c.target > 0 && waited+first > c.target:
		c.reason = lateReason(c, waited, first)
	case c.gap > 0 && pause > c.gap:
		c.reason = "a pause in the stream"
	default:
		c.outcome = inTime
	}
}

// lateReason returns what took most of the time to the first event.
func lateReason(c *call, waited, first time.Duration) string {
	switch {
	case first >= waited:
		return "the queue at the engine"
	case c.sends > 1:
		return "retried after a failure"
	case c.waitedFor != "":
		return "waited for " + c.waitedFor
	default:
		return "waited for a replica"
	}
}

// addFailure sets outcome and reason of a call that got no answer or a failed one.
func (l *Log) addFailure(c *call, r record) {
	c.reason = code.Lookup(r.Code).Name
	switch r.Code {
	case code.UpstreamBroke, code.StreamCut, code.UpstreamRefused, code.TimedOut:
		c.outcome = failed
		c.reason += ": " + failureReason(r)
	case code.UnknownService, code.Unauthorized, code.Forbidden, code.BadRequest, code.TooLarge:
		delete(l.calls, r.Call) // the caller's own fault, so it is not a loss
	default:
		c.outcome = refused
	}
	if r.Code == code.NotResident {
		c.addMiss(l, r)
	}
}

// failureReason returns a reason that is the same for all failures of one kind: it leaves
// out what differs from call to call, such as addresses.
func failureReason(r record) string {
	switch {
	case strings.Contains(r.Detail, "EOF"), strings.Contains(r.Detail, "reset"), strings.Contains(r.Detail, "refused"):
		return "the replica closed the connection"
	case strings.Contains(r.Detail, "timeout"), strings.Contains(r.Detail, "deadline"):
		return "the replica timed out"
	case strings.Contains(r.Detail, "read "), strings.Contains(r.Detail, "write "):
		return "the connection failed"
	default:
		return r.Detail
	}
}

// finish sets the reasons of the calls whose end the log does not show and of those whose
// model was not resident.
func (l *Log) finish() {
	for _, c := range l.calls {
		if c.outcome != unanswered {
			continue
		}
		c.reason = "its caller left"
		for _, at := range l.starts[c.instance] {
			if at.After(c.ended) {
				c.reason = "its caller left, or its instance ended"
			}
		}
	}
	l.explainMissed()
	l.countStreams()
	l.countParts()
}

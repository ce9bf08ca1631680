package losses

import (
	"strings"
	"time"

	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
)

// A outcome is what became of a call for its caller.
type outcome int

// The numOutcomes.
const (
	inTime outcome = iota
	late
	refused     // it did not run
	failed      // it may have run
	unanswered  // its caller left, or its instance ended
	numOutcomes // how many there are
)

// String names the fate for reports.
func (f outcome) String() string {
	return [...]string{"in time", "late", "refused", "failed", "unanswered"}[f]
}

// A call is what the log says of one call.
type call struct {
	key      string
	instance string
	zone     string
	model    string
	rank     int
	began    time.Time
	ended    time.Time
	sends    int
	waits    string // what it last waited for, "" if it did not
	target   time.Duration
	gap      time.Duration
	outcome  outcome
	reason   string
}

// addCallEvent takes in an event of a call. An attempt at another instance is another
// call: callers give each try a name of its own.
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
		c.waits = r.For
	case logevent.CallServed:
		c.addServed(r)
	case logevent.CallFailed:
		l.addFailure(c, r)
	}
}

// addServed says whether a whole answer came in time, and if not, what took longest.
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

// lateReason says where most of the time to the first event went.
func lateReason(c *call, waited, first time.Duration) string {
	switch {
	case first >= waited:
		return "the queue at the engine"
	case c.sends > 1:
		return "sent again after a failure"
	case c.waits != "":
		return "waited for " + c.waits
	default:
		return "waited for a replica"
	}
}

// addFailure says why a call got no answer of a replica, or a failing one.
func (l *Log) addFailure(c *call, r record) {
	c.reason = code.Lookup(r.Code).Name
	switch r.Code {
	case code.UpstreamBroke, code.StreamCut, code.UpstreamRefused, code.TimedOut:
		c.outcome = failed
		c.reason += ": " + failureReason(r)
	case code.UnknownService, code.Unauthorized, code.Forbidden, code.BadRequest, code.TooLarge:
		delete(l.calls, r.Call) // nobody owed it an answer
	default:
		c.outcome = refused
	}
	if r.Code == code.NotResident {
		c.addMiss(l, r)
	}
}

// failureReason words what a replica or instance did, without what differs from call to call.
func failureReason(r record) string {
	switch {
	case strings.Contains(r.Detail, "EOF"), strings.Contains(r.Detail, "reset"), strings.Contains(r.Detail, "refused"):
		return "the replica broke the connection off"
	case strings.Contains(r.Detail, "timeout"), strings.Contains(r.Detail, "deadline"):
		return "the replica fell silent"
	case strings.Contains(r.Detail, "read "), strings.Contains(r.Detail, "write "):
		return "the connection failed"
	default:
		return r.Detail
	}
}

// finish settles the calls of which the log shows no finish.
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
}

package losses

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/retrybudget"
)

// retryWindow is the default of the setting retry-window.
const retryWindow = 10 * time.Second

// A retryLog counts the calls and retries of one service.
type retryLog struct {
	tally   retrybudget.Tally
	byPart  map[retrybudget.Part]int
	spender map[string]bool // instances and their boots that made retries
	denied  int             // calls that were not retried for want of budget
}

func (l *Log) retriesOf(service string) *retryLog {
	if l.retries[service] == nil {
		l.retries[service] = &retryLog{byPart: map[retrybudget.Part]int{}, spender: map[string]bool{}}
	}
	return l.retries[service]
}

// addRetryEvent adds an event that concerns the retry budget of a service.
func (l *Log) addRetryEvent(r record) {
	if r.Service == "" {
		return // logged by an instance of an earlier version
	}
	at := r.Time.Sub(logEpoch)
	s := l.retriesOf(r.Service)
	switch r.Event {
	case logevent.CallSent:
		if r.Attempt == 1 {
			s.tally.AddCall(at)
		}
	case logevent.RetryCharged:
		s.tally.AddRetry(at)
		s.byPart[r.Part]++
		s.spender[fmt.Sprintf("%s/%d", r.Instance, r.Boot)] = true
	case logevent.CallNotRepeated:
		if r.Reason == retrybudget.DeniedReason {
			s.denied++
		}
	}
}

// logEpoch is the instant from which times are counted in a retrybudget.Tally.
var logEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// writeRetries writes, for each service with retries, the window in which they were the most
// for the calls, and the parts of the retry budget that they were charged to.
func (l *Log) writeRetries(w io.Writer) {
	fmt.Fprintf(w, "\nRETRIES OF\tALL\tDENIED\tMOST IN %v\tFROM\tCALLS THEN\tOWN\tLENT\tSPENT BY\n", retryWindow)
	for _, service := range slices.Sorted(maps.Keys(l.retries)) {
		s := l.retries[service]
		if s.tally.Retries() == 0 && s.denied == 0 {
			continue
		}
		peak := s.tally.Peak(retrybudget.Limit{Slack: 1, Window: retryWindow})
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%d\n", service, s.tally.Retries(), s.denied, peak.Retries,
			logEpoch.Add(peak.From).Format(time.TimeOnly), peak.Calls,
			s.byPart[retrybudget.InstancePart], s.byPart[retrybudget.LentPart], len(s.spender))
	}
}

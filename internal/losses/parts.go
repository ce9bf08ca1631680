package losses

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/logevent"
)

const (
	// suspectEnds is the number of replicas that must have ended with requests of a part in flight
	// for the part to be listed.
	suspectEnds = 5
	// maxSuspectParts is the number of parts that are listed, the ones with the most ended replicas.
	maxSuspectParts = 20
)

// A partLog is what the logs say of requests with one part in their prompts.
type partLog struct {
	sent   []time.Time // attempts
	calls  map[string]bool
	served int
	ends   map[string]time.Time // when replicas ended with such requests in flight, by their names
}

func (l *Log) partOf(id string) *partLog {
	if l.parts[id] == nil {
		l.parts[id] = &partLog{calls: map[string]bool{}, ends: map[string]time.Time{}}
	}
	return l.parts[id]
}

// addPartEvent adds an attempt of a call, its answer, or the end of a replica.
func (l *Log) addPartEvent(r record) {
	switch r.Event {
	case logevent.CallSent:
		for _, id := range r.Parts {
			p := l.partOf(id)
			p.sent = append(p.sent, r.Time)
			p.calls[r.Call] = true
		}
	case logevent.CallServed:
		l.servedCalls = append(l.servedCalls, r.Call)
	case logevent.UpstreamEnded:
		for _, id := range r.Parts {
			p := l.partOf(id)
			if at, ok := p.ends[r.Upstream]; !ok || r.Time.Before(at) {
				p.ends[r.Upstream] = r.Time
			}
		}
	}
}

// countParts counts the answers to calls by the parts of their prompts.
func (l *Log) countParts() {
	for _, p := range l.parts {
		for _, call := range l.servedCalls {
			if p.calls[call] {
				p.served++
			}
		}
	}
}

// fifthEnd returns when the last of the first suspectEnds replicas ended.
func (p *partLog) fifthEnd() time.Time {
	ends := slices.SortedFunc(maps.Values(p.ends), time.Time.Compare)
	return ends[suspectEnds-1]
}

// sentAfter returns the number of attempts after a time.
func (p *partLog) sentAfter(at time.Time) int {
	n := 0
	for _, sent := range p.sent {
		if sent.After(at) {
			n++
		}
	}
	return n
}

// writeParts writes the parts of prompts under which replicas ended, with how often requests with
// them were sent and served.
func (l *Log) writeParts(w io.Writer) {
	fmt.Fprintln(w, "\nENDED UNDER PART\tREPLICAS\tFIFTH AT\tSENT\tSENT LATER THAN 3s AFTER IT\tSERVED")
	suspects := slices.DeleteFunc(slices.Collect(maps.Keys(l.parts)), func(id string) bool { return len(l.parts[id].ends) < suspectEnds })
	slices.SortFunc(suspects, func(a, b string) int {
		return cmp.Or(cmp.Compare(len(l.parts[b].ends), len(l.parts[a].ends)), cmp.Compare(a, b))
	})
	for _, id := range suspects[:min(len(suspects), maxSuspectParts)] {
		p := l.parts[id]
		fifth := p.fifthEnd()
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\t%d\t%d\n", id, len(p.ends), fifth.Format(time.TimeOnly), len(p.sent), p.sentAfter(fifth.Add(3*time.Second)), p.served)
	}
}

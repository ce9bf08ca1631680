package losses

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/logevent"
)

// A streamLog counts the attempts of one service that went on with a stream.
type streamLog struct {
	inAnswer continued // within the answer that had begun it
	takenUp  continued // for a caller that took it up with another call
}

// A continued counts attempts that went on with a stream, by the version of the replica's software.
type continued struct {
	same    int // the version that began the stream
	other   int
	unknown int // the log has no attempt that began the stream
}

// A streamAttempt is an attempt that begins a stream, or goes on with one.
type streamAttempt struct {
	at        time.Time
	call      string
	service   string
	software  string // version of the replica's software
	resumes   string // the call that began the stream, if its caller takes it up
	lastEvent int    // that the caller had, 0 if the attempt begins the stream
}

func (l *Log) streamsOf(service string) *streamLog {
	if l.streams[service] == nil {
		l.streams[service] = &streamLog{}
	}
	return l.streams[service]
}

// addStreamEvent adds an attempt of a call.
func (l *Log) addStreamEvent(r record) {
	if r.Event != logevent.CallSent || r.Service == "" || r.Call == "" {
		return
	}
	l.streamAttempts = append(l.streamAttempts, streamAttempt{
		at: r.Time, call: r.Call, service: r.Service, software: r.Software, resumes: r.Resumes, lastEvent: r.LastEvent,
	})
}

// countStreams counts the attempts of all instances, in the order of their times.
func (l *Log) countStreams() {
	slices.SortStableFunc(l.streamAttempts, func(a, b streamAttempt) int { return a.at.Compare(b.at) })
	began := map[string]string{} // version that began the stream, by call
	for _, a := range l.streamAttempts {
		version, inAnswer := began[a.call]
		switch {
		case a.lastEvent == 0:
			began[a.call] = a.software
		case inAnswer:
			l.streamsOf(a.service).inAnswer.add(version, true, a.software)
		default:
			version, known := began[a.resumes]
			l.streamsOf(a.service).takenUp.add(version, known, a.software)
			if known {
				began[a.call] = version
			}
		}
	}
}

// add counts an attempt that went on with a stream which the given version began.
func (c *continued) add(version string, known bool, software string) {
	switch {
	case !known:
		c.unknown++
	case version == software:
		c.same++
	default:
		c.other++
	}
}

// total returns the number of attempts.
func (c continued) total() int { return c.same + c.other + c.unknown }

// writeStreams writes, for each service, how many attempts went on with a stream, and at which
// version of the replicas' software.
func (l *Log) writeStreams(w io.Writer) {
	fmt.Fprintln(w, "\nSTREAMS OF\tWENT ON\tALL\tSAME VERSION\tOTHER VERSION\tBEGINNING NOT LOGGED")
	for _, service := range slices.Sorted(maps.Keys(l.streams)) {
		s := l.streams[service]
		s.inAnswer.write(w, service, "within the answer")
		s.takenUp.write(w, service, "taken up")
	}
}

// write writes a row, unless there were no attempts.
func (c continued) write(w io.Writer, service, how string) {
	if c.total() > 0 {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", service, how, c.total(), c.same, c.other, c.unknown)
	}
}

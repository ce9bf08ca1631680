package forwarding

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/pool"
)

// replicaOf adds a usable replica that runs a version of the service's software.
func (f *Forwarder) replicaOf(name, software string) *pool.Replica {
	f.Pool.Announce(start, name, pool.Announcement{Service: "s", Address: name, Zone: "z", Slots: 8, Software: software})
	return f.Pool.Get(name)
}

// TestStreamsGoOnAtTheirVersion guards against streams that go on, within their answer, at a
// replica of another software version than the one that began them.
func TestStreamsGoOnAtTheirVersion(t *testing.T) {
	for _, c := range []struct {
		name     string
		software map[string]string // by replica; a begins the stream
		goesOn   string            // the replica at which the stream goes on, "" if it ends
	}{
		{"one of two others has the version", map[string]string{"a": "v1", "b": "v2", "c": "v1"}, "c"},
		{"none has it", map[string]string{"a": "v1", "b": "v2", "c": "v3"}, ""},
		{"another one states no version", map[string]string{"a": "v1", "b": ""}, ""},
		{"it states none, another one does", map[string]string{"a": "", "b": "v1"}, ""},
		{"it states none, nor does another one, but a third does", map[string]string{"a": "", "b": "", "c": "v1"}, ""},
		{"none states any", map[string]string{"a": "", "b": ""}, "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			for name, software := range c.software {
				f.replicaOf(name, software)
			}
			call, s := f.testCall(config.Stream, true)
			call.Service = "s"
			a := f.Pool.Get("a")
			f.Calls.MarkSent(start, call, a)
			s.lastAttempt = lastAttempt{origin: originOf(a)}
			f.answerBegan(start, call)
			f.attemptFailed(start.Add(time.Millisecond), call, calls.AttemptFailed{Attempt: 1, Phase: attempt.Answered, Severed: true, Delivered: 3})
			d, sent := f.dispatches()[call.ID]
			is.Equal(sent, c.goesOn != "")
			is.Equal(d.Replica, c.goesOn)
		})
	}
}

// TestNewAnswersUseAllVersions checks that a stream that has not begun, and a call of another kind,
// are retried at replicas of any version.
func TestNewAnswersUseAllVersions(t *testing.T) {
	for _, kind := range []config.Kind{config.Stream, config.Repeatable} {
		t.Run(fmt.Sprint(kind), func(t *testing.T) {
			is := is.New(t)
			f := testForwarder(t)
			f.replicaOf("a", "v1")
			f.replicaOf("b", "v2")
			call, s := f.testCall(kind, true)
			a := f.Pool.Get("a")
			f.Calls.MarkSent(start, call, a)
			s.lastAttempt = lastAttempt{origin: originOf(a)}
			f.attemptFailed(start.Add(time.Millisecond), call, calls.AttemptFailed{Attempt: 1, Phase: attempt.MaybeSent, Severed: true})
			is.Equal(f.dispatches()[call.ID].Replica, "b")
		})
	}
}

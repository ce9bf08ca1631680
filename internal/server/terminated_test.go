package server

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// A dyingReplica is a replica whose first answer ends with its connection. The replica terminates then:
// its listener closes and its connections end as that of a whole answer does.
type dyingReplica struct {
	answer   string // bytes of the first answer
	survives bool   // it goes on to run
	later    http.HandlerFunc
	requests atomic.Int32
	// listeners are those of all replicas, by address.
	listeners map[string]net.Listener
}

// ServeHTTP implements http.Handler.
func (d *dyingReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.requests.Add(1) > 1 {
		d.later(w, r)
		return
	}
	if !d.survives { // a process closes its listener before its connections, if that is older
		_ = d.listeners[fmt.Sprint(r.Context().Value(http.LocalAddrContextKey))].Close()
	}
	answerBytes(d.answer, false)(w, r)
}

// newDyingInstance starts an instance in front of two replicas, the first of which to get a request is d.
func newDyingInstance(t *testing.T, relayed bool, d *dyingReplica) *testInstance {
	t.Helper()
	i := newRestInstance(t, relayed, d.ServeHTTP)
	d.listeners = map[string]net.Listener{}
	for _, replica := range i.replicas {
		d.listeners[replica.server.Listener.Addr().String()] = replica.server.Listener
	}
	return i
}

// A dyingCase is an answer that ends with its connection, on one route.
type dyingCase struct {
	name, host string
	answer     string // of the replica that terminates
	// ifDead and ifAlive are the body that a caller gets if the replica terminates, and if it does not;
	// "" if the caller gets an error or no success.
	ifDead, ifAlive string
}

func dyingCases() []dyingCase {
	plain := func(body string) string { return signedAnswer + "\r\n" + body }
	large := strings.Repeat("z", largeAnswer)
	return []dyingCase{
		{"three of six events, resumable", "stream", signedStream + wholeStream(3), wholeStream(6), wholeStream(3)},
		{"three of six events, not resumable", "brief", signedStream + wholeStream(3), "", wholeStream(3)},
		{"half of an answer, repeatable", "again", plain("half"), wholeStream(6), "half"},
		{"half of an answer, at most once", "once", plain("half"), "", "half"},
		{"half of a large answer", "again", plain(large), "", large},
		{"nothing of an answer, repeatable", "again", plain(""), wholeStream(6), ""},
		{"nothing of an answer, at most once", "once", plain(""), "", ""},
	}
}

// Guards against a part of an answer that looks whole to its caller because the answer ends with its
// connection and the replica was killed, which closes its connections, direct or relayed by a peer; and
// against whole ones that are taken for such a part.
func TestAnAnswerOfATerminatedReplicaIsNotWhole(t *testing.T) {
	for _, c := range dyingCases() {
		for _, relayed := range []bool{false, true} {
			for _, survives := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, relayed %t, survives %t", c.name, relayed, survives), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					d := &dyingReplica{answer: c.answer, survives: survives, later: eventStream(6, 0)}
					got := newDyingInstance(t, relayed, d).send(http.MethodPost, c.host, "/", "body")
					want := c.ifDead
					if survives {
						want = c.ifAlive
					}
					if want == "" && !survives {
						is.True(got.err != nil || got.status >= http.StatusInternalServerError) // no success
						return
					}
					is.NoErr(got.err)
					is.Equal(got.status, http.StatusOK)
					is.Equal(got.body, want)
				})
			}
		}
	}
}

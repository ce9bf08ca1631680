package server

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/internal/forward"
	"github.com/birchdrift/birchdrift/internal/upstream/proxytest"
)

// silenceSlack is added to time limits for delays on a busy machine.
const silenceSlack = 3 * time.Second

// silenceReplicas makes the open connections to replicas go silent permanently.
func (i *testInstance) silenceReplicas() {
	for _, r := range i.replicas {
		r.proxy.Silence()
	}
}

// TestCallsOnSilentConnectionsGoElsewhere checks that an idle connection which has gone
// silent is abandoned after the stall setting and a repeatable call is retried over another
// connection. A call that may run only once is never sent on a reused connection.
func TestCallsOnSilentConnectionsGoElsewhere(t *testing.T) {
	const stall = 400 * time.Millisecond
	for _, c := range []struct {
		host  string
		limit time.Duration
	}{{"again", stall}, {"once", 0}} {
		t.Run(c.host, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTestInstanceWith(t, map[string]string{"stall": stall.String()}, true, answerOK("good"), answerOK("good"))
			for range 6 {
				is.Equal(s.send("POST", c.host, "/x", "body").status, 200)
			}
			s.silenceReplicas()
			start := time.Now()
			got := s.send("POST", c.host, "/x", "body")
			is.Equal(got.status, 200)
			is.Equal(got.body, "good")
			is.True(time.Since(start) < c.limit+silenceSlack)
		})
	}
}

// TestSilentStreamResumesElsewhere checks that another replica supplies the events that are
// missing after a stream went silent, each once.
func TestSilentStreamResumesElsewhere(t *testing.T) {
	is := is.New(t)
	const stall = 400 * time.Millisecond
	silenced := make(chan struct{})
	first := make(chan struct{}, 1)
	first <- struct{}{}
	handler := func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-first:
			w.Header().Set(forward.OwnFormat.Signature, "signed")
			w.Header().Set("Content-Type", forward.OwnFormat.StreamType)
			_, _ = io.WriteString(w, "id: 1\ndata: event 1\n\n")
			_ = http.NewResponseController(w).Flush()
			<-silenced
			_, _ = io.WriteString(w, "id: 2\ndata: event 2\n\n")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
		default:
			eventStream(4, 0)(w, r)
		}
	}
	s := newTestInstanceWith(t, map[string]string{"stall": stall.String()}, true, handler, handler)
	go func() {
		for s.requests() == 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		s.silenceReplicas()
		close(silenced)
	}()
	start := time.Now()
	got := s.send("POST", "stream", "/x", "body")
	is.NoErr(got.err)
	is.Equal(got.body, wholeStream(4))
	is.True(time.Since(start) < stall+silenceSlack)
}

// TestReplicaThatReadsNothingIsAbandoned checks that an attempt ends when a replica does not
// read the request for some seconds, rather than at the call's timeout.
func TestReplicaThatReadsNothingIsAbandoned(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestInstance(t, func(w http.ResponseWriter, r *http.Request) {
		// Read the headers and nothing of the body.
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
	})
	req, err := http.NewRequest("POST", "http://"+s.address+"/x", strings.NewReader(strings.Repeat("b", 32<<20)))
	is.NoErr(err)
	req.Host = "long"
	start := time.Now()
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	defer resp.Body.Close()
	is.Equal(resp.StatusCode, 502) // the call may have run
	is.True(time.Since(start) < 4*time.Second+silenceSlack)
}

// dial opens a connection to the instance's callers' listener.
func (i *testInstance) dial() net.Conn {
	i.t.Helper()
	conn, err := net.Dial("tcp", i.address)
	if err != nil {
		i.t.Fatal(err)
	}
	i.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// closedWithin reports whether the other end closes the connection within limit.
func closedWithin(conn net.Conn, limit time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(limit))
	_, err := io.Copy(io.Discard, conn)
	var timeout net.Error
	return !(errors.As(err, &timeout) && timeout.Timeout())
}

// TestSilentCallersAreDisconnected checks, for each place in a request where a caller may go
// silent, that its connection is closed within the time that the settings allow.
func TestSilentCallersAreDisconnected(t *testing.T) {
	const limit = 400 * time.Millisecond
	cases := []struct {
		name    string
		request string
	}{
		{"in the head of a request", "POST /x HTTP/1.1\r\nHost: once\r\n"},
		{"in a small body", "POST /x HTTP/1.1\r\nHost: once\r\nContent-Length: 10\r\n\r\nhalf"},
		{"in a body in chunks", "POST /x HTTP/1.1\r\nHost: once\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"},
		{"in a large body", "POST /x HTTP/1.1\r\nHost: once\r\nContent-Length: 10000000\r\n\r\n" + strings.Repeat("b", 600<<10)},
		{"between two requests", "GET /x HTTP/1.1\r\nHost: again\r\n\r\n"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTestInstanceWith(t, map[string]string{"header-time": limit.String(), "idle-time": limit.String()}, false,
				func(w http.ResponseWriter, r *http.Request) {
					if _, err := io.Copy(io.Discard, r.Body); err == nil {
						answerOK("good")(w, r)
					}
				})
			conn := s.dial()
			_, err := io.WriteString(conn, c.request)
			is.NoErr(err)
			is.True(closedWithin(conn, limit+silenceSlack))
		})
	}
}

// TestSlowCallerIsNotDisconnected checks that a caller which sends its body slowly in small
// pieces is served, however long the whole body takes.
func TestSlowCallerIsNotDisconnected(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const limit = 500 * time.Millisecond
	s := newTestInstanceWith(t, map[string]string{"header-time": limit.String()}, false, answerOK("good"))
	conn := s.dial()
	_, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: once\r\nBirchdrift-Call: c\r\nContent-Length: 10\r\n\r\n")
	is.NoErr(err)
	for range 10 {
		time.Sleep(limit / 5)
		_, err = io.WriteString(conn, "b")
		is.NoErr(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
}

// TestACallerThatReadsNothingFreesItsReplica checks that a stream whose caller reads nothing
// ends after bounds.AcceptedTimeouts.Unacked and the call at its replica is canceled.
func TestACallerThatReadsNothingFreesItsReplica(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	canceled := make(chan struct{})
	s := newTestInstance(t, func(w http.ResponseWriter, r *http.Request) {
		defer close(canceled)
		w.Header().Set(forward.OwnFormat.Signature, "signed")
		w.Header().Set("Content-Type", forward.OwnFormat.StreamType)
		event := "data: " + strings.Repeat("x", 60<<10) + "\n\n"
		for {
			if _, err := io.WriteString(w, event); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
		}
	})
	proxy := proxytest.New(t, s.address)
	conn, err := net.Dial("tcp", proxy.Address())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: long\r\nBirchdrift-Call: c\r\nContent-Length: 0\r\n\r\n")
	is.NoErr(err)
	select {
	case <-canceled:
	case <-time.After(bounds.AcceptedTimeouts.Unacked + 10*time.Second):
		t.Fatal("the call at the replica was not canceled")
	}
}

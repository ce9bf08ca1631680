package server

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/internal/forward"
)

const (
	// cancelLimit is the longest time for which a replica may keep running a call after
	// its caller has disconnected, as the users require.
	cancelLimit = 500 * time.Millisecond
	// cancelSlack is added for delays on a busy machine.
	cancelSlack = 2 * time.Second
)

// TestACallerWhoLeavesFreesItsReplicaInTime checks, for several states of a call at a
// replica, that the connection to the replica is closed in time after the caller
// disconnects and that the call is not sent to another replica.
func TestACallerWhoLeavesFreesItsReplicaInTime(t *testing.T) {
	// hang does not answer a call until its connection is closed.
	hang := func(started chan<- struct{}, canceled chan<- time.Time) http.HandlerFunc {
		var once sync.Once
		return func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			once.Do(func() { close(started) })
			<-r.Context().Done()
			canceled <- time.Now()
		}
	}
	streams := func(started chan<- struct{}, canceled chan<- time.Time) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set(forward.OwnFormat.Signature, "signed")
			w.Header().Set("Content-Type", forward.OwnFormat.StreamType)
			_, _ = io.WriteString(w, "id: 1\ndata: event 1\n\n")
			_ = http.NewResponseController(w).Flush()
			close(started)
			<-r.Context().Done()
			canceled <- time.Now()
		}
	}
	reads := func(started chan<- struct{}, canceled chan<- time.Time) http.HandlerFunc {
		return func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.CopyN(io.Discard, r.Body, 64<<10)
			close(started)
			_, _ = io.Copy(io.Discard, r.Body)
			canceled <- time.Now()
		}
	}
	small := func() io.Reader { return strings.NewReader("body") }
	cases := []struct {
		name  string
		host  string
		body  func() io.Reader
		first http.HandlerFunc // the first replica's answer; nil if it is as the second's
		later func(started chan<- struct{}, canceled chan<- time.Time) http.HandlerFunc
		runs  int
	}{
		{"it runs the call", "once", small, nil, hang, 1},
		{"it runs the call after another failed it", "again", small, answerStatus(500), hang, 2},
		{"it resumes a broken stream", "stream", small, eventStream(9, 4), hang, 2},
		{"it streams", "stream", small, nil, streams, 1},
		{"it reads a long body", "once", func() io.Reader { return io.LimitReader(slowBody{}, 64<<20) }, nil, reads, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			started := make(chan struct{})
			canceled := make(chan time.Time, 4)
			firstRequest := make(chan struct{}, 1)
			if c.first != nil {
				firstRequest <- struct{}{}
			}
			later := c.later(started, canceled)
			handler := func(w http.ResponseWriter, r *http.Request) {
				select {
				case <-firstRequest:
					c.first(w, r)
				default:
					later(w, r)
				}
			}
			s := newTestInstance(t, handler, handler, handler)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.address+"/x", c.body())
			is.NoErr(err)
			req.Host = c.host
			req.Header.Set(forward.OwnFormat.CallID, "call-1")
			go func() {
				resp, err := http.DefaultTransport.RoundTrip(req)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			}()
			awaitClosed(t, started)
			time.Sleep(50 * time.Millisecond)
			disconnected := time.Now()
			cancel()
			select {
			case at := <-canceled:
				is.True(at.Sub(disconnected) < cancelLimit+cancelSlack)
			case <-time.After(10 * time.Second):
				t.Fatal("the call at the replica was not canceled")
			}
			time.Sleep(2 * cancelLimit)
			is.Equal(s.requests(), c.runs)
		})
	}
}

// slowBody is an endless body that arrives slowly in small pieces.
type slowBody struct{}

// Read implements io.Reader.
func (slowBody) Read(data []byte) (int, error) {
	time.Sleep(time.Millisecond)
	n := min(len(data), 8<<10)
	for i := range n {
		data[i] = 'b'
	}
	return n, nil
}

// TestAReadyInstanceTakesConnections checks that an instance answers callers from its first
// ready answer on, even if 300 of them connect at once.
func TestAReadyInstanceTakesConnections(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	s := newTestInstance(t, answerOK("good"), answerOK("good"))
	_, _, operations := s.server.Addresses()
	for range 200 { // newTestInstance waited until ready, but the load balancer relies on this answer
		resp, err := http.Get("http://" + operations + "/readyz")
		is.NoErr(err)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	const callers = 300
	var wait sync.WaitGroup
	answered := make(chan int, callers)
	start := time.Now()
	for range callers {
		wait.Go(func() {
			req, err := http.NewRequest("POST", "http://"+s.address+"/x", strings.NewReader("body"))
			if err != nil {
				return
			}
			req.Host = "again"
			req.Close = true
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				answered <- 0
				return
			}
			_ = resp.Body.Close()
			answered <- resp.StatusCode
		})
	}
	wait.Wait()
	close(answered)
	for status := range answered {
		is.True(status == http.StatusOK || status == http.StatusServiceUnavailable)
	}
	is.True(time.Since(start) < 10*time.Second)
}

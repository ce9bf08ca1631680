package server

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/instance"
	"github.com/birchdrift/birchdrift/internal/forward"
)

// withLeaving adds to an answer the header with which a replica states that it is leaving.
func withLeaving(answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(forward.OwnFormat.Leaving, "1")
		answer(w, r)
	}
}

// withRetryAfter adds to an answer the header with which a replica requests a rest.
func withRetryAfter(answer http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(forward.OwnFormat.RetryAfter, "30")
		answer(w, r)
	}
}

// awaitUpstream polls the status of the replicas until seen returns true for one of them, for
// at most 5 s. It returns the statuses of all replicas; ok reports whether seen returned true.
func (i *testInstance) awaitUpstream(seen func(instance.ReplicaStatus) bool) (statuses []instance.ReplicaStatus, ok bool) {
	i.t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for time.Now().Before(deadline) {
		st, err := i.server.shell.Status(context.Background())
		if err != nil {
			i.t.Fatal(err)
		}
		for _, u := range st.Upstreams {
			if seen(u) {
				return st.Upstreams, true
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	return nil, false
}

// TestLeavingIsReadFromAnyAnswer checks that the header which marks a replica as leaving is
// read from answers of any status, from truncated answers and from answers to another call.
func TestLeavingIsReadFromAnyAnswer(t *testing.T) {
	foreign := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(forward.OwnFormat.CallID, "another")
		answerOK("another's")(w, r)
	}
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	cases := []struct {
		name   string
		host   string // selects the route
		answer http.HandlerFunc
	}{
		{"a success", "again", answerOK("good")},
		{"a failure", "once", answerStatus(500)},
		{"a client error status", "once", answerStatus(404)},
		{"the call was not run", "once", answerNotRun(503)},
		{"the replica is not the expected one", "once", answerNotRun(421)},
		{"the answer to another call", "once", foreign},
		{"a truncated answer", "once", truncated},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTestInstance(t, withLeaving(c.answer))
			s.send("POST", c.host, "/x", "body")
			_, found := s.awaitUpstream(func(u instance.ReplicaStatus) bool { return u.Leaving })
			is.True(found)
		})
	}
	t.Run("a success without the header", func(t *testing.T) {
		is := is.New(t)
		s := newTestInstance(t, answerOK("good"))
		is.Equal(s.send("POST", "again", "/x", "body").status, 200)
		st, err := s.server.shell.Status(context.Background())
		is.NoErr(err)
		is.True(!st.Upstreams[0].Leaving)
	})
}

// TestANoticeOutlivesItsCall checks that a notice in the headers of a stream takes effect
// at once, even if the caller disconnects before the stream ends.
func TestANoticeOutlivesItsCall(t *testing.T) {
	is := is.New(t)
	ended := make(chan struct{})
	t.Cleanup(func() { close(ended) })
	s := newTestInstance(t, withLeaving(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(forward.OwnFormat.Signature, "signed")
		w.Header().Set("Content-Type", forward.OwnFormat.StreamType)
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-ended:
		case <-r.Context().Done():
		}
	}))
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+s.address+"/x", strings.NewReader("body"))
	is.NoErr(err)
	req.Host = "stream"
	req.Header.Set(forward.OwnFormat.CallID, "call-1")
	resp, err := http.DefaultTransport.RoundTrip(req)
	is.NoErr(err)
	cancel()
	_ = resp.Body.Close()
	_, found := s.awaitUpstream(func(u instance.ReplicaStatus) bool { return u.Leaving })
	is.True(found)
}

// TestRefusingReplicaMayAskForRest checks that a call refused with Retry-After is retried at
// another replica, that later calls avoid the one that refused, and that Retry-After in a
// successful answer has no effect.
func TestRefusingReplicaMayAskForRest(t *testing.T) {
	is := is.New(t)
	s := newTestInstance(t, withRetryAfter(answerNotRun(503)), withRetryAfter(answerNotRun(503)), withRetryAfter(answerOK("good")))
	for range 12 {
		is.Equal(s.send("POST", "once", "/x", "body").status, 200)
	}
	for i, r := range s.replicas {
		if i == 2 {
			is.Equal(r.requests(), 12)
			continue
		}
		is.True(r.requests() <= 1)
	}
	statuses, _ := s.awaitUpstream(func(u instance.ReplicaStatus) bool { return true })
	for i, u := range statuses {
		is.Equal(u.RestMS > 0, i < 2 && s.replicas[i].requests() == 1)
	}
}

// TestRateLimitIsReadFromAnyAnswer checks that a rate limit is read from answers of any status,
// limits the calls that follow, and is withdrawn by an answer without one.
func TestRateLimitIsReadFromAnyAnswer(t *testing.T) {
	withRateLimit := func(answer http.HandlerFunc, limited *atomic.Bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if limited.Load() {
				w.Header().Set(forward.OwnFormat.RateLimit, "2")
			}
			answer(w, r)
		}
	}
	cases := []struct {
		name   string
		host   string // selects the route
		answer http.HandlerFunc
	}{
		{"a success", "again", answerOK("good")},
		{"a failure", "once", answerStatus(500)},
		{"a client error status", "once", answerStatus(404)},
		{"the call was not run", "once", answerNotRun(503)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var limited atomic.Bool
			limited.Store(true)
			s := newTestInstance(t, withRateLimit(c.answer, &limited))
			s.send("POST", c.host, "/x", "body")
			_, found := s.awaitUpstream(func(u instance.ReplicaStatus) bool { return u.Limit != nil && u.Limit.PerSecond == 2 })
			is.True(found)
			start := time.Now()
			before := s.replicas[0].requests()
			for time.Since(start) < 2*time.Second {
				s.send("POST", c.host, "/x", "body")
				time.Sleep(5 * time.Millisecond)
			}
			is.True(s.replicas[0].requests()-before <= 5)
			limited.Store(false)
			_, ended := s.awaitUpstream(func(u instance.ReplicaStatus) bool {
				s.send("POST", c.host, "/x", "body")
				return u.Limit != nil && u.Limit.Withdrawn
			})
			is.True(ended)
		})
	}
}

package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/internal/forward"
	"github.com/birchdrift/birchdrift/internal/upstream/proxytest"
)

// answerIn answers with a status, a content type and a body, framed by its length if length is true and
// by chunks otherwise.
func answerIn(status int, contentType, body string, length bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(forward.OwnFormat.Signature, "signed")
		if contentType != "" {
			w.Header().Set("Content-Type", contentType)
		}
		if length {
			w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		}
		w.WriteHeader(status)
		if !length {
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = io.WriteString(w, body)
	}
}

// answerBytes answers with these bytes and closes the connection, or resets it if reset.
func answerBytes(answer string, reset bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, answer)
		if tcp, ok := conn.(*net.TCPConn); ok && reset {
			time.Sleep(50 * time.Millisecond) // a reset discards what the other end has not read
			_ = tcp.SetLinger(0)
		}
	}
}

// A restCase is what a replica answers that is asked to go on with a stream.
type restCase struct {
	name   string
	answer http.HandlerFunc
	whole  bool // it is the rest of the stream
	// partial means that it begins with events of the rest, which may reach the caller.
	partial bool
}

// withLength returns a signed answer with events and their length.
func withLength(events string) string {
	return fmt.Sprintf("%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", signedAnswer, len(events), events)
}

// restCases are for a stream of six events that breaks off within the fourth.
func restCases() []restCase {
	const stream, json = "text/event-stream", "application/json"
	rest := strings.TrimPrefix(wholeStream(6), wholeStream(3))
	cases := []restCase{
		{"the rest", answerIn(200, stream, rest, false), true, false},
		{"the rest, with its length", answerIn(200, stream, rest, true), true, false},
		{"the rest as another success", answerIn(203, stream, rest, false), true, false},
		{"no body", answerIn(204, "", "", false), false, false},
		{"no stream", answerIn(200, json, "{}", false), false, false},
		{"no content type", answerIn(200, "", rest, true), false, false},
		{"a large answer", answerIn(200, json, strings.Repeat("z", 1<<20), true), false, false},
		{"a stream of nothing", answerIn(200, stream, "", false), false, false},
		{"a stream of nothing, with its length", answerIn(200, stream, "", true), false, false},
		{"a comment", answerIn(200, stream, ": z\n\n", false), false, false},
		{"part of a comment", answerIn(200, stream, ": z", false), false, false},
		{"from the beginning", answerIn(200, stream, wholeStream(6), false), false, false},
		{"the rest, ended by its connection", answerBytes(signedStream+rest, false), true, false},
		{"the rest, reset", answerBytes(signedStream+rest, true), false, true},
		{"an event that is cut, ended by its connection", answerBytes(signedStream+rest[:len(rest)-1], false), false, true},
		{"nothing, ended by its connection", answerBytes(signedStream, false), false, false},
		{"nothing, reset", answerBytes(signedStream, true), false, false},
		{"a head that is cut", answerBytes(signedAnswer, false), false, false},
		{"no answer", answerBytes("", false), false, false},
		{"bytes that are no answer", answerBytes(rest, false), false, false},
		{"a second answer behind the first", answerBytes(withLength(rest)+withLength("id: 7\ndata: event 7\n\n"), false), true, false},
		{"a second answer behind an empty one", answerBytes(withLength("")+withLength(rest), false), false, false},
		{"less than its length", answerBytes(strings.Replace(withLength(rest), "Content-Length: ", "Content-Length: 1", 1), false), false, true},
		{"another call's answer", answerBytes(strings.Replace(signedStream, "call-1", "call-2", 1)+rest, false), false, false},
		{"no signature", answerBytes(strings.Replace(signedStream, "Signature", "Unsigned", 1)+rest, false), false, false},
		{"an encoded body", answerBytes(strings.Replace(signedStream, "Connection", "Content-Encoding: gzip\r\nConnection", 1)+rest, false), false, false},
		{"a gap", answerIn(200, stream, "id: 5\ndata: event 5\n\n", false), false, false},
	}
	for _, status := range []int{300, 301, 302, 304, 307, 400, 401, 403, 404, 409, 410, 413, 418, 421, 429, 451, 499, 500, 502, 503, 599} {
		cases = append(cases,
			restCase{fmt.Sprintf("status %d", status), answerIn(status, json, "{}", true), false, false},
			restCase{fmt.Sprintf("status %d in the form of a stream", status), answerIn(status, stream, rest, false), false, false},
			restCase{fmt.Sprintf("status %d without a body", status), answerIn(status, "", "", false), false, false})
	}
	return cases
}

// Guards against an answer that is not the rest of a stream and that reaches the caller behind the
// stream's events, or ends the stream as if it were complete, direct or relayed by a peer.
func TestOnlyTheRestOfAStreamFollowsItsEvents(t *testing.T) {
	for _, c := range restCases() {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %t", c.name, relayed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var requests atomic.Int32
				answer := func(w http.ResponseWriter, r *http.Request) {
					if requests.Add(1) == 1 {
						eventStream(6, 4)(w, r)
						return
					}
					c.answer(w, r)
				}
				got := newRestInstance(t, relayed, answer).send(http.MethodPost, "stream", "/", "body")
				is.Equal(got.status, http.StatusOK)
				is.True(requests.Load() >= 2) // a replica that did not run it is not the last one
				if c.whole {
					is.NoErr(got.err)
					is.Equal(got.body, wholeStream(6))
					return
				}
				is.True(got.err != nil) // the caller sees that the answer is not complete
				is.True(strings.HasPrefix(wholeStream(6), got.body))
				is.True(strings.HasPrefix(got.body, wholeStream(3)))
				is.True(strings.HasSuffix(got.body, "\n\n"))
				if !c.partial {
					is.Equal(got.body, wholeStream(3))
				}
			})
		}
	}
}

// newRestInstance starts an instance in front of two replicas, which a peer reaches for it if relayed.
func newRestInstance(t *testing.T, relayed bool, answer http.HandlerFunc) *testInstance {
	t.Helper()
	if relayed {
		return newRelayPair(t, proxytest.Refusing, nil, answer, answer).cut
	}
	return newTestInstance(t, answer, answer)
}

// Guards against a success that is not the rest of a stream and that its caller, who takes the stream
// up with another request, takes for its end. A failure is the caller's own to judge.
func TestOnlyTheRestOfAStreamAnswersItsCaller(t *testing.T) {
	for _, c := range restCases() {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := newTestInstanceWith(t, map[string]string{"first-start": "true"}, false, c.answer, c.answer)
			got := s.sendWith(http.Header{"Last-Event-Id": {"3"}, "Birchdrift-Resumes": {"call-0"}}, "stream")
			if c.whole {
				is.NoErr(got.err)
				is.Equal(got.status/100, 2)
				is.Equal(got.body, strings.TrimPrefix(wholeStream(6), wholeStream(3)))
				return
			}
			is.True(got.err != nil || got.status >= 300)
		})
	}
}

// Guards against a stream that lacks its last events and looks complete, because the replica that began
// it announced a length and another one went on with longer or fewer events.
func TestTheLengthOfAStreamIsNotThatOfItsFirstAnswer(t *testing.T) {
	const begun, rest = "id: 1\ndata: a\n\n", "id: 2\ndata: bb\n\n"
	const last = "id: 3\ndata: c\n\n"
	for name, length := range map[string]int{
		"of less than the whole stream": len(begun + rest),
		"of the whole stream":           len(begun + rest + last),
		"of more than the whole stream": len(begun+rest+last) + 9,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var requests atomic.Int32
			answer := func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) == 1 {
					w.Header().Set("Content-Length", fmt.Sprint(length))
					answerStream(begun, true)(w, r)
					return
				}
				answerStream(rest, false)(w, r)
				time.Sleep(50 * time.Millisecond) // so that the caller gets the events one by one
				_, _ = io.WriteString(w, last)
			}
			got := newTestInstance(t, answer, answer).send(http.MethodPost, "stream", "/", "body")
			is.NoErr(got.err)
			is.Equal(got.body, begun+rest+last)
		})
	}
}

// Guards against a stream without events that its caller takes for a whole one, because the replica
// terminated between the head of its answer and the first event, and its answer ends with its connection.
func TestAStreamThatEndsWithItsConnectionHasAnEvent(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nBirchdrift-Call: call-1\r\nBirchdrift-Signature: s\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, c := range []struct {
		name, begun string
		relayed     bool
	}{{"nothing", "", false}, {"a comment", ": z\n\n", false}, {"nothing, relayed", "", true}, {"a comment, relayed", ": z\n\n", true}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var requests atomic.Int32
			answer := func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) > 1 {
					eventStream(3, 0)(w, r)
					return
				}
				answerBytes(head+c.begun, false)(w, r)
			}
			got := newRestInstance(t, c.relayed, answer).send(http.MethodPost, "stream", "/", "body")
			is.NoErr(got.err)
			is.Equal(got.body, wholeStream(3))
		})
	}
}

// Guards against a stream that goes on behind the head and the events of a failure, where a replica answers
// with a failure in the form of a stream and breaks it off.
func TestAFailureInTheFormOfAStreamDoesNotGoOn(t *testing.T) {
	is := is.New(t)
	var requests atomic.Int32
	answer := func(w http.ResponseWriter, r *http.Request) {
		if requests.Add(1) > 1 {
			eventStream(3, 0)(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(forward.OwnFormat.Signature, "signed")
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusNotFound)
		_, _ = io.WriteString(w, "id: 1\ndata: not found\n\n")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	got := newTestInstance(t, answer, answer).send(http.MethodPost, "stream", "/", "body")
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.body, wholeStream(3))
}

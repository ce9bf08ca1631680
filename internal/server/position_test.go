package server

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/internal/forward"
)

// answerStream answers with a signed stream, and breaks it off if broken.
func answerStream(body string, broken bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set(forward.OwnFormat.Signature, "signed")
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, body)
		_ = http.NewResponseController(w).Flush()
		if broken {
			panic(http.ErrAbortHandler)
		}
	}
}

// Guards against events that come twice, or are missing, in a stream that goes on although some events
// that its caller has, or some that follow, have no usable number.
func TestStreamsGoOnOnlyAtAKnownPosition(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	for name, c := range map[string]struct {
		begun    string // what the first replica sends before it breaks off
		rest     string // what the second one sends
		body     string // what the caller gets
		whole    bool
		requests int32
	}{
		"numbered events":                        {first, second, first + second, true, 2},
		"a comment behind an event":              {first + ": z\n\n", second, first + ": z\n\n" + second, true, 2},
		"events without numbers":                 {"data: a\n\n", "data: a\n\ndata: b\n\n", "data: a\n\n", false, 1},
		"an event without a number behind":       {first + "data: b\n\n", second, first + "data: b\n\n", false, 1},
		"a number behind an event without one":   {"data: a\n\n" + first, second, "data: a\n\n" + first + second, true, 2},
		"the rest has no numbers":                {first, "data: b\n\n", first, false, 2},
		"the rest has a number that is no count": {first, "id: b\ndata: b\n\n", first, false, 2},
		"the rest begins with number 0":          {first, "id: 0\ndata: b\n\n", first, false, 2},
		"the rest has two numbers in an event":   {first, "id: 2\nid: 7\ndata: b\n\n", first, false, 2},
		"the last event has no number":           {first, second + "data: c\n\n", first + second + "data: c\n\n", true, 2},
		"a gap behind an event without a number": {"data: a\n\n" + second, "", "data: a\n\n", false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var requests atomic.Int32
			answer := func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) == 1 {
					answerStream(c.begun, true)(w, r)
					return
				}
				answerStream(c.rest, false)(w, r)
			}
			got := newTestInstance(t, answer, answer).send(http.MethodPost, "stream", "/", "body")
			is.Equal(got.status, http.StatusOK)
			is.Equal(got.err == nil, c.whole)
			is.Equal(got.body, c.body)
			is.Equal(requests.Load(), c.requests)
		})
	}
}

// Guards against a stream without numbers that is not passed on although it is whole.
func TestAStreamWithoutNumbersIsPassedOn(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("data: x\n\n: z\n\n", 5)
	got := newTestInstance(t, answerStream(body, false)).send(http.MethodPost, "stream", "/", "body")
	is.NoErr(got.err)
	is.Equal(got.body, body)
}

package server

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestUnreadHeadersAreCounted checks that an answer with a header that the instance does not
// read is counted, and that known headers are not.
func TestUnreadHeadersAreCounted(t *testing.T) {
	count := func(answer http.HandlerFunc) string {
		s := newTestInstance(t, answer)
		for range 3 {
			s.send("POST", "again", "/x", "body")
		}
		var metrics bytes.Buffer
		s.server.metrics.Write(&metrics)
		for line := range strings.Lines(metrics.String()) {
			if n, ok := strings.CutPrefix(line, "birchdrift_unread_headers_total "); ok {
				return strings.TrimSpace(n)
			}
		}
		return "no such metric"
	}
	is := is.New(t)
	is.Equal(count(withLeaving(answerOK("good"))), "0")
	is.Equal(count(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Mood", "good")
		answerOK("good")(w, r)
	}), "3")
}

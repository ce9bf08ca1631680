package server

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// malformedContent is the body of a malformed answer; no caller may get it.
const malformedContent = "id: 1\ndata: malformed\n\n"

// A malformedForm is an answer that is not in HTTP's form.
type malformedForm struct {
	name string
	head string // without the empty line
	body string // as it stands on the wire
}

// malformedForms returns answers with statuses and names of fields that HTTP does not have. A line that begins
// with a blank is not among them: it continues the value of the field before it (RFC 9112, 5.2).
func malformedForms() []malformedForm {
	const fields = "Birchdrift-Call: call-1\r\nBirchdrift-Signature: s\r\nContent-Type: text/event-stream\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(malformedContent))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n", len(malformedContent), malformedContent)
	head := func(status string) string { return "HTTP/1.1 " + status + "\r\n" + fields }
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </z>\r\n\r\n"
	var out []malformedForm
	for _, status := range []string{"000", "001", "099", "101", "2000", "20", "+20", "-20", "2x0", " 200x", "600", "700", "999"} {
		out = append(out,
			malformedForm{"status " + status, head(status+" Z") + length, malformedContent},
			malformedForm{"status " + status + " without a length", head(status+" Z") + "Connection: close\r\n", malformedContent},
			malformedForm{"status " + status + " behind an interim answer", interim + head(status+" Z") + length, malformedContent})
	}
	for _, name := range []string{"A B", "A ", "A\t", "A\tB", "A\x00B", "A\x01", "A\x7f", "A\x80", "A\rB", "A@B", "",
		"Content-Length ", "Birchdrift-Not-Run ", "Birchdrift-Call ", "Birchdrift-Signature ", "Connection "} {
		line := name + ": 1\r\n"
		out = append(out,
			malformedForm{fmt.Sprintf("name %q", name), head("200 OK") + line + length, malformedContent},
			malformedForm{fmt.Sprintf("name %q behind the length", name), head("200 OK") + length + line, malformedContent},
			malformedForm{fmt.Sprintf("name %q in an interim answer", name), "HTTP/1.1 103 Early Hints\r\nLink: </z>\r\n" + line + "\r\n" + head("200 OK") + length, malformedContent},
			malformedForm{fmt.Sprintf("name %q in a trailer", name), head("200 OK") + chunked, chunks + "Sum: 1\r\n" + line + "\r\n"},
			malformedForm{fmt.Sprintf("name %q with an error status", name), head("500 Failed") + line + length, malformedContent})
	}
	for _, line := range []string{"Transfer-Encoding : chunked\r\n", "Transfer Encoding: chunked\r\n", "Transfer-Encoding\t: chunked\r\n"} {
		out = append(out, malformedForm{fmt.Sprintf("%q without a length", line), head("200 OK") + line, chunks + "\r\n"})
	}
	return out
}

// Guards against an answer with a status or the name of a field that HTTP does not have and that reaches its
// caller: as it is, without the line, or with a body that is not the replica's. Direct and relayed.
func TestAMalformedAnswerReachesNoCaller(t *testing.T) {
	for _, form := range malformedForms() {
		for _, host := range []string{"again", "once", "stream", "brief"} {
			for _, relayed := range []bool{false, true} {
				if relayed && testing.Short() {
					continue
				}
				t.Run(fmt.Sprintf("%s, %s, relayed %t", form.name, host, relayed), func(t *testing.T) {
					t.Parallel()
					is := is.New(t)
					var requests atomic.Int32
					answer := func(w http.ResponseWriter, r *http.Request) {
						if requests.Add(1) == 1 {
							answerBytes(form.head+"\r\n"+form.body, false)(w, r)
							return
						}
						eventStream(2, 0)(w, r)
					}
					got := newRestInstance(t, relayed, answer).send(http.MethodPost, host, "/", "body")
					retried := (host == "again" || host == "stream") && requests.Load() == 2
					if retried && got.err == nil && got.status == http.StatusOK {
						// The events before a malformed trailer are valid, and the stream goes on behind them.
						begun := host == "stream" && strings.Contains(form.name, "trailer")
						is.True(got.body == wholeStream(2) || begun && strings.HasPrefix(got.body, malformedContent+"id: 2\n"))
						return
					}
					if got.err == nil && got.status != http.StatusBadGateway && got.status != http.StatusServiceUnavailable {
						t.Errorf("status %d, %q", got.status, got.body)
					}
					// Events precede a trailer; the answer is cut behind them.
					trailer := isStream(host) && got.err != nil && strings.Contains(form.name, "trailer")
					is.True(trailer || !strings.Contains(got.body, "malformed\n"))
					is.True(requests.Load() == 1 || host == "again" || host == "stream")
				})
			}
		}
	}
}

package server

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/internal/upstream/proxytest"
)

// A cutForm is one form of a whole answer. A replica terminates its connection within it.
type cutForm struct {
	name string
	head string // with the empty line, if the answer has one
	body string // as it stands on the wire
	// unframed means that the end of the connection ends the body, so that it may be cut within the head only.
	unframed bool
}

// cutForms returns forms of an answer with this content type and content.
func cutForms(contentType, content string) []cutForm {
	fields := "Birchdrift-Call: call-1\r\nBirchdrift-Signature: s\r\nContent-Type: " + contentType + "\r\n"
	const ok = "HTTP/1.1 200 OK\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(content))
	chunks := fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n", 5, content[:5], len(content)-5, content[5:])
	return []cutForm{
		{"a length", ok + fields + length + "\r\n", content, false},
		{"a length before the other fields", ok + length + fields + "\r\n", content, false},
		{"chunks", ok + fields + "Transfer-Encoding: chunked\r\n\r\n", chunks + "\r\n", false},
		{"chunks with a trailer", ok + fields + "Trailer: Sum\r\nTransfer-Encoding: chunked\r\n\r\n", chunks + "Sum: 1\r\n\r\n", false},
		{"the end of the connection", ok + fields + "\r\n", content, true},
		{"HTTP/1.0, a length", "HTTP/1.0 200 OK\r\n" + fields + length + "\r\n", content, false},
		{"HTTP/1.0, the end of the connection", "HTTP/1.0 200 OK\r\n" + fields + "\r\n", content, true},
		{"behind an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: </z>\r\n\r\n" + ok + fields + length + "\r\n", content, false},
	}
}

// A cutReplica answers the first request for each path with the beginning of an answer and terminates
// the connection. It answers each further one whole.
type cutReplica struct {
	form  cutForm
	whole http.HandlerFunc

	mu   sync.Mutex
	seen map[string]int // requests by path
}

// soundPath is the path of requests that are answered whole at once.
const soundPath = "/sound"

// ServeHTTP implements http.Handler. A path other than soundPath is /PLACE/END: how many bytes are sent, and
// how the connection ends.
func (c *cutReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	c.seen[r.URL.Path]++
	first := c.seen[r.URL.Path] == 1
	c.mu.Unlock()
	if !first || r.URL.Path == soundPath {
		c.whole(w, r)
		return
	}
	var place int
	var end string
	_, _ = fmt.Sscanf(strings.ReplaceAll(r.URL.Path, "/", " "), "%d %s", &place, &end)
	answerBytes((c.form.head + c.form.body)[:place], end == "reset")(w, r)
}

func (c *cutReplica) requests(path string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen[path]
}

// places returns the numbers of bytes after which the answer of a form is cut: all of them, or a sample
// with those around the ends of the head and of the answer.
func (c *cutReplica) places(all bool) []int {
	end := len(c.form.head) + len(c.form.body)
	if c.form.unframed {
		end = len(c.form.head)
	}
	var out []int
	for n := range end {
		if all || n%13 == 0 || n > end-8 || n > len(c.form.head)-8 && n < len(c.form.head)+8 {
			out = append(out, n)
		}
	}
	return out
}

// Guards against an answer that breaks off within its head, or within its body, and reaches its caller as
// a whole one or as an empty one, direct or relayed by a peer; and against a call that may run once only
// and is sent again after it.
func TestAnAnswerThatIsCutIsNotWhole(t *testing.T) {
	for _, host := range []string{"again", "once", "stream", "brief"} {
		contentType, content, whole := "text/plain", "the whole answer", answerOK("the whole answer")
		if isStream(host) {
			contentType, content, whole = "text/event-stream", wholeStream(2), eventStream(2, 0)
		}
		for _, form := range cutForms(contentType, content) {
			for _, relayed := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, relayed %t", host, form.name, relayed), func(t *testing.T) {
					t.Parallel()
					replica := &cutReplica{form: form, whole: whole, seen: map[string]int{}}
					i := newCutInstance(t, relayed, replica)
					for _, place := range replica.places(!relayed && !testing.Short()) {
						for _, end := range []string{"close", "reset"} {
							path := fmt.Sprintf("/%d/%s", place, end)
							got := i.sendCut(host, path)
							checkCut(t, host, path, content, got, replica.requests(path))
							if !relayed { // a peer may have no token for a second replica
								checkServed(t, host, path, content, got)
							}
						}
					}
				})
			}
		}
	}
}

// cutReplicas is the number of addresses of a replica: an instance sends only a few requests to one that
// has left others without an answer a moment ago.
const cutReplicas = 12

// newCutInstance starts an instance in front of the addresses of a replica, with retries for all calls.
func newCutInstance(t *testing.T, relayed bool, replica *cutReplica) *testInstance {
	t.Helper()
	overrides := map[string]string{"retry-slack": "100000"}
	answers := slices.Repeat([]http.HandlerFunc{replica.ServeHTTP}, cutReplicas)
	if relayed {
		return newRelayPair(t, proxytest.Refusing, overrides, answers...).cut
	}
	return newTestInstanceWith(t, overrides, false, answers...)
}

// sendCut sends a call whose first answer is cut, again while it is rejected before a replica got it, and then
// one that is answered whole, so that no replica is taken for faulty.
func (i *testInstance) sendCut(host, path string) callResult {
	i.t.Helper()
	got := i.send(http.MethodPost, host, path, "body")
	for end := time.Now().Add(5 * time.Second); got.status == http.StatusServiceUnavailable && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
		got = i.send(http.MethodPost, host, path, "body")
	}
	i.send(http.MethodPost, "again", soundPath, "body")
	return got
}

// checkCut checks that a call whose first answer was cut got no success but a whole one, and that it was
// sent once if it may run once only.
func checkCut(t *testing.T, host, path, content string, got callResult, requests int) {
	t.Helper()
	success := got.err == nil && got.status < http.StatusMultipleChoices
	once := host == "once" || host == "brief"
	switch {
	case success && got.body != content:
		t.Errorf("%s %s: status %d and the body %q, as if it were whole", host, path, got.status, got.body)
	case once && requests != 1:
		t.Errorf("%s %s: sent %d times: status %d, %q", host, path, requests, got.status, got.body)
	case once && success:
		t.Errorf("%s %s: a success though its only answer was cut", host, path)
	}
}

// checkServed checks that a call that may be sent again was served. A stream that broke between its last event
// and its end has no rest that another replica could send.
func checkServed(t *testing.T, host, path, content string, got callResult) {
	t.Helper()
	again := host == "again" || host == "stream"
	endCut := host == "stream" && got.body == content
	if again && !endCut && (got.err != nil || got.status != http.StatusOK) {
		t.Errorf("%s %s: not served: status %d, %v, %q", host, path, got.status, got.err, got.body)
	}
}

// Guards against answers that have no body by themselves and are taken for cut ones, and against bodies
// that are added to them.
func TestAnswersWithoutABodyArePassedOn(t *testing.T) {
	const fields = "Birchdrift-Call: call-1\r\nBirchdrift-Signature: s\r\nConnection: close\r\n"
	for _, c := range []struct {
		name, method, head string
		status             int
		length             string // Content-Length of the caller's answer
	}{
		{"HEAD with a length", http.MethodHead, "HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 5\r\n\r\n", 200, "5"},
		{"HEAD without a length", http.MethodHead, "HTTP/1.1 200 OK\r\n" + fields + "\r\n", 200, ""},
		{"HEAD in chunks", http.MethodHead, "HTTP/1.1 200 OK\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n", 200, ""},
		{"204", http.MethodGet, "HTTP/1.1 204 No Content\r\n" + fields + "\r\n", 204, ""},
		{"304", http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + fields + "\r\n", 304, ""},
		{"304 with a length", http.MethodGet, "HTTP/1.1 304 Not Modified\r\n" + fields + "Content-Length: 5\r\n\r\n", 304, ""},
		{"204 behind 103", http.MethodGet, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No Content\r\n" + fields + "\r\n", 204, ""},
	} {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %t", c.name, relayed), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				answer := func(w http.ResponseWriter, r *http.Request) { answerBytes(c.head, false)(w, r) }
				got := newRestInstance(t, relayed, answer).send(c.method, "once", "/", "")
				is.NoErr(got.err)
				is.Equal(got.status, c.status)
				is.Equal(got.body, "")
				is.Equal(got.header.Get("Content-Length"), c.length)
			})
		}
	}
}

package server

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/internal/forward"
	"github.com/birchdrift/birchdrift/internal/upstream/proxytest"
)

// How a replica ends the connection of an answer that begins before it has the request's body.
const (
	endResetLater  = "reset after a moment"
	endReset       = "reset at once"
	endUnread      = "closed with bytes unread"
	endHalf        = "ended, the upload is read on"
	endHalfUnread  = "ended, then closed with bytes unread"
	endResetFramed = "reset, an answer with a length"
)

const (
	// earlyUpload is the size of a request's body, in bytes: more than connections buffer.
	earlyUpload = 5 << 19
	// earlyRead is the number of bytes of it that a replica reads before it answers.
	earlyRead = 4 << 10
	// endDelay is the time between an answer's last byte and the end of its connection.
	endDelay = 60 * time.Millisecond
	// headerEnd tells the replica how it has to end the connection.
	headerEnd = "Test-End"
)

// An earlyReplica answers uploads with a body that ends with its connection, before it has read theirs. It
// answers other requests whole.
type earlyReplica struct{ calls sync.Map } // uploads that it got, by identifier

// ServeHTTP implements http.Handler.
func (e *earlyReplica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	end := r.Header.Get(headerEnd)
	if end == "" {
		answerOK("sound")(w, r)
		return
	}
	e.calls.Store(r.Header.Get(forward.OwnFormat.CallID), true)
	_, _ = io.CopyN(io.Discard, r.Body, earlyRead)
	conn, in, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	content := earlyContent(r.Host)
	length := ""
	if end == endResetFramed {
		length = fmt.Sprintf("Content-Length: %d\r\n", 2*len(content))
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nContent-Type: %s\r\n%sConnection: close\r\n\r\n%s",
		forward.OwnFormat.CallID, r.Header.Get(forward.OwnFormat.CallID), forward.OwnFormat.Signature, earlyType(r.Host), length, content)
	endEarly(conn.(*net.TCPConn), in, end)
}

// endEarly ends the connection of an answer, of which in reads what is left of the request.
func endEarly(conn *net.TCPConn, in io.Reader, end string) {
	switch end {
	case endResetLater, endResetFramed:
		time.Sleep(endDelay)
		_ = conn.SetLinger(0)
	case endReset:
		_ = conn.SetLinger(0)
	case endUnread:
		time.Sleep(endDelay)
	case endHalf:
		_ = conn.CloseWrite()
		_, _ = io.Copy(io.Discard, in)
	case endHalfUnread:
		_ = conn.CloseWrite()
		time.Sleep(endDelay)
	}
}

// earlyContent returns what a replica sends of an answer: events of a stream, or another body.
func earlyContent(host string) string {
	if isStream(host) {
		return wholeStream(2)
	}
	return "one part"
}

func earlyType(host string) string {
	if isStream(host) {
		return forward.OwnFormat.StreamType
	}
	return "text/plain"
}

// send sends an upload of which the replica reads the beginning, again while it is refused before the
// replica has it. It sends a small call first, so that no replica is taken for faulty.
func (e *earlyReplica) send(address, host, end, call string) duplexResult {
	for try := range 500 {
		id := fmt.Sprintf("%s-%d", call, try)
		sendUpload(address, "again", "", "sound-"+id, 4)
		result := sendUpload(address, host, end, id, earlyUpload)
		if _, sent := e.calls.Load(id); sent {
			return result
		}
		time.Sleep(20 * time.Millisecond)
	}
	return duplexResult{err: errors.New("no replica got the call")}
}

// sendUpload sends a call whose caller writes the body while it reads the answer.
func sendUpload(address, host, end, call string, size int) duplexResult {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return duplexResult{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(duplexLimit))
	header := ""
	if end != "" {
		header = fmt.Sprintf("%s: %s\r\n", headerEnd, end)
	}
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 9000\r\n%sContent-Length: %d\r\n\r\n", host,
			forward.OwnFormat.CallID, call, forward.OwnFormat.Deadline, header, size)
		_, _ = conn.Write(randomBody(0, size))
	}()
	return readDuplex(http.ReadResponse(bufio.NewReader(conn), nil))
}

// earlyOutcomes counts what callers got.
type earlyOutcomes struct{ whole, broken, failed atomic.Int32 }

// add counts a result: whole if it looks like a whole answer with this content.
func (o *earlyOutcomes) add(result duplexResult, content string) {
	switch {
	case result.err == nil && result.status == http.StatusOK && result.body == content:
		o.whole.Add(1)
	case result.err == nil && result.status == http.StatusOK:
		o.broken.Add(1)
	default:
		o.failed.Add(1)
	}
}

// Guards against the first part of an answer that reaches its caller as a whole one because the replica
// reset the connection while the upload was being written; and against whole answers that are lost because
// the upload could not be written. Direct and relayed, on each kind of route.
func TestAnEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	calls := 96
	if testing.Short() {
		calls = 16
	}
	whole := []string{endHalf, endHalfUnread}
	for _, relayed := range []bool{false, true} {
		t.Run(fmt.Sprintf("relayed %t", relayed), func(t *testing.T) {
			t.Parallel()
			replica := &earlyReplica{}
			answers := slices.Repeat([]http.HandlerFunc{replica.ServeHTTP}, cutReplicas)
			overrides := map[string]string{"retry-slack": "100000"}
			var address string
			if relayed {
				address = newRelayPair(t, proxytest.Refusing, overrides, answers...).cut.address
			} else {
				address = newTestInstanceWith(t, overrides, false, answers...).address
			}
			for _, end := range []string{endHalf, endHalfUnread, endResetLater, endReset, endUnread, endResetFramed} {
				for _, host := range []string{"again", "once", "stream", "brief"} {
					t.Run(host+", "+end, func(t *testing.T) {
						is := is.New(t)
						var got earlyOutcomes
						runEarly(calls, func(n int) {
							call := fmt.Sprintf("%s-%s-%d", host, strings.ReplaceAll(end, " ", "-"), n)
							got.add(replica.send(address, host, end, call), earlyContent(host))
						})
						t.Logf("%d whole, %d broken, %d failed", got.whole.Load(), got.broken.Load(), got.failed.Load())
						is.Equal(got.broken.Load(), int32(0))
						if slices.Contains(whole, end) {
							is.Equal(got.whole.Load(), int32(calls))
							return
						}
						is.Equal(got.whole.Load(), int32(0))
					})
				}
			}
		})
	}
}

// runEarly calls send for each of n calls, a few at a time.
func runEarly(n int, send func(n int)) {
	const concurrent = 8
	var wait sync.WaitGroup
	turns := make(chan struct{}, concurrent)
	for n := range n {
		turns <- struct{}{}
		wait.Go(func() {
			defer func() { <-turns }()
			send(n)
		})
	}
	wait.Wait()
}

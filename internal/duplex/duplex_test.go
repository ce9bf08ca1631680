package duplex

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// atOnce is the longest time until an answer that must not wait for its caller, who sends nothing for
	// several seconds, and closedSoon the longest until its connection is closed.
	atOnce     = 2 * time.Second
	closedSoon = atOnce + 2*lingerTimeout
)

// serve serves requests with handler and returns the address. Early answers are sent to reports.
func serve(t *testing.T, idle time.Duration, reports chan EarlyAnswer, handler http.HandlerFunc) string {
	t.Helper()
	s := httptest.NewServer(Handler(handler, idle, func(_ *http.Request, e EarlyAnswer) { reports <- e }))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// dial connects to a server, for a few seconds.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(8 * time.Second))
	return conn
}

// The framings of a body of which only the beginning was sent, and its rest.
var framings = []struct{ name, head, rest string }{
	{"length, little left", "Content-Length: 100\r\n\r\n0123456789", strings.Repeat("r", 90)},
	{"length, much left", fmt.Sprintf("Content-Length: %d\r\n\r\n0123456789", 2<<20), strings.Repeat("r", 2<<20-10)},
	{"chunks, little left", "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n", "2\r\nab\r\n0\r\n\r\n"},
	{"chunks, much left", "Transfer-Encoding: chunked\r\n\r\na\r\n0123456789\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", 1<<20, strings.Repeat("r", 1<<20))},
}

const otherRequest = "GET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against answers that are held until the other end has sent more of the body, and against a
// rest of a body that is taken for the next request.
func TestAnAnswerBeforeTheEndOfABodyIsSentAtOnceAndEndsTheConnection(t *testing.T) {
	for _, f := range framings {
		for name, rest := range map[string]string{"sent": f.rest, "another request": otherRequest, "silent": ""} {
			t.Run(f.name+", "+name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				var requests atomic.Int64
				reports := make(chan EarlyAnswer, 1)
				address := serve(t, time.Minute, reports, func(w http.ResponseWriter, r *http.Request) {
					requests.Add(1)
					_, _ = io.ReadFull(r.Body, make([]byte, 10))
					w.WriteHeader(http.StatusServiceUnavailable)
				})
				conn := dial(t, address)
				_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+f.head)
				is.NoErr(err)
				start := time.Now()
				in := bufio.NewReader(conn)
				resp, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
				is.True(resp.Close)
				is.True(time.Since(start) < atOnce)
				_, _ = io.WriteString(conn, rest) // fails if the connection is closed
				_, err = io.Copy(io.Discard, in)
				is.True(!errors.Is(err, net.ErrClosed) && !TimedOut(err)) // closed by the server
				is.True(time.Since(start) < closedSoon)
				is.Equal(requests.Load(), int64(1))
				e := <-reports
				is.Equal(e.Status, http.StatusServiceUnavailable)
				is.Equal(e.AtHead, int64(10))
				is.True(!e.Ended)
			})
		}
	}
}

// Guards against a rest of a body that is taken for the next request after a handler that wrote nothing,
// as of a caller that seemed gone: the server writes the head of an answer then.
func TestAHandlerThatWritesNothingBeforeTheEndOfABodyEndsTheConnection(t *testing.T) {
	for _, f := range framings {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			var requests atomic.Int64
			address := serve(t, time.Minute, make(chan EarlyAnswer, 1), func(http.ResponseWriter, *http.Request) { requests.Add(1) })
			conn := dial(t, address)
			_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+f.head+f.rest+otherRequest)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			is.NoErr(err)
			is.True(resp.Close)
			_, err = io.Copy(io.Discard, conn)
			is.True(!TimedOut(err)) // closed by the server
			is.Equal(requests.Load(), int64(1))
		})
	}
}

// Guards against a connection that is closed, or reported, although the body had ended.
func TestAnAnswerAfterTheEndOfABodyKeepsTheConnection(t *testing.T) {
	for _, f := range framings {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			reports := make(chan EarlyAnswer, 2)
			address := serve(t, time.Minute, reports, func(w http.ResponseWriter, r *http.Request) {
				n, err := io.Copy(io.Discard, r.Body)
				fmt.Fprint(w, n, err)
			})
			conn := dial(t, address)
			in := bufio.NewReader(conn)
			for range 2 {
				_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\n"+f.head+f.rest)
				is.NoErr(err)
				resp, err := http.ReadResponse(in, nil)
				is.NoErr(err)
				is.True(!resp.Close)
				data, err := io.ReadAll(resp.Body)
				is.NoErr(err)
				is.True(strings.HasSuffix(string(data), "<nil>"))
			}
			is.Equal(len(reports), 0)
		})
	}
}

// Guards against a reader that outlives the handler and changes the deadlines of a connection that
// belongs to the next request by then.
func TestABodyIsNotReadOnceItsHandlerHasReturned(t *testing.T) {
	is := is.New(t)
	deadlines := 0
	inFlight, release := make(chan struct{}), make(chan struct{})
	b := &body{
		ReadCloser:      io.NopCloser(blockingReader{inFlight, release}),
		idle:            time.Minute,
		setReadDeadline: func(time.Time) error { deadlines++; return nil },
	}
	done := make(chan error)
	go func() {
		_, err := b.Read(make([]byte, 1))
		done <- err
	}()
	<-inFlight
	b.end()
	set := deadlines
	close(release)
	is.NoErr(<-done)
	_, err := b.Read(make([]byte, 1))
	is.True(errors.Is(err, errHandled))
	is.Equal(deadlines, set)
}

// A blockingReader reads one byte once it is released.
type blockingReader struct{ inFlight, release chan struct{} }

func (r blockingReader) Read(data []byte) (int, error) {
	close(r.inFlight)
	<-r.release
	return 1, nil
}

// Guards against a handler that waits forever for an end that is silent within a body.
func TestReadsOfABodyFailAfterTheIdleTime(t *testing.T) {
	is := is.New(t)
	const idle = 100 * time.Millisecond
	failed := make(chan error, 1)
	address := serve(t, idle, make(chan EarlyAnswer, 1), func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		failed <- err
	})
	_, err := io.WriteString(dial(t, address), "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0")
	is.NoErr(err)
	is.True(TimedOut(<-failed))
}

// Guards against an answer that its client loses because the server resets the connection, which the request
// closes, while the client writes the body.
func TestAnEarlyAnswerIsNotLostWithTheConnectionThatItsRequestCloses(t *testing.T) {
	const calls, bodySize = 200, 4 << 20
	is := is.New(t)
	address := serve(t, time.Minute, make(chan EarlyAnswer, calls), func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "refused")
	})
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	lost := 0
	for range calls {
		resp, err := client.Post("http://"+address+"/", "", strings.NewReader(strings.Repeat("z", bodySize)))
		if err != nil {
			t.Log(err)
			lost++
			continue
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || string(data) != "refused" {
			lost++
		}
	}
	is.Equal(lost, 0)
}

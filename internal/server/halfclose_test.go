package server

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an empty success for a caller that ends its side of the connection before its answer
// has come: it gets its answer, or a connection that ends without one.
func TestACallerThatHalfClosesGetsNoFalseSuccess(t *testing.T) {
	slow := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-time.After(200 * time.Millisecond):
			eventStream(3, 0)(w, r)
		case <-r.Context().Done():
		}
	}
	for _, host := range []string{"again", "once", "stream", "brief"} {
		for _, framing := range []string{"Content-Length: 0", "Content-Length: 4", "Transfer-Encoding: chunked"} {
			t.Run(host+", "+framing, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				conn, err := net.Dial("tcp", newTestInstance(t, slow).address)
				is.NoErr(err)
				defer conn.Close()
				body := map[string]string{"Content-Length: 4": "body", "Transfer-Encoding: chunked": "4\r\nbody\r\n0\r\n\r\n"}[framing]
				_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: %s\r\nBirchdrift-Call: call-1\r\n%s\r\n\r\n%s", host, framing, body)
				is.NoErr(err)
				is.NoErr(conn.(*net.TCPConn).CloseWrite())
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				answer, _ := io.ReadAll(conn)
				is.True(len(answer) == 0 || strings.Contains(string(answer), "event 3"))
			})
		}
	}
}

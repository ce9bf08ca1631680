package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/matryer/is"
)

// serve starts a TCP server and returns its address. For each connection, the server reads
// the beginning of the request and then calls answer.
func serve(t *testing.T, answer func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 4096))
			answer(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// TestConnectionErrors checks how Severed and ConnectionRefused classify the errors of
// connections: closed or reset by the other end, refused because no process listens, or
// neither if nothing arrives before the timeout.
func TestConnectionErrors(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	const silence = "silence"
	const half = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"
	cases := []struct {
		name    string
		address string
		severed bool
		refused bool
	}{
		{"closed without an answer", serve(t, func(c *net.TCPConn) { _ = c.Close() }), true, false},
		{"closed within the answer", serve(t, func(c *net.TCPConn) { _, _ = io.WriteString(c, half); _ = c.Close() }), true, false},
		{"reset", serve(t, func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }), true, false},
		{"no process listens", closed.Addr().String(), false, true},
		{silence, serve(t, func(*net.TCPConn) {}), false, false},
	}
	transports := NewTransports()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			timeout := 10 * time.Second // long enough on a busy machine
			if c.name == silence {
				timeout = 300 * time.Millisecond
			}
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			req, err := http.NewRequestWithContext(ctx, "POST", "http://"+c.address+"/", nil)
			is.NoErr(err)
			resp, err := transports.Fresh.RoundTrip(req)
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			is.True(err != nil)
			is.Equal(Severed(trace.Wrap(err)), c.severed)
			is.Equal(ConnectionRefused(trace.Wrap(err)), c.refused)
		})
	}
}

package upstream

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/internal/upstream/proxytest"
)

// connect returns both ends of a connection that the dialer of the transports opened.
func connect(t *testing.T) (dialed, accepted net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err = newDialer().Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err = l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = dialed.Close()
		_ = accepted.Close()
	})
	return dialed, accepted
}

// TestConnectionsToVanishedUpstreams checks on real sockets when a connection gives up on an
// upstream that vanished: while it is idle, while an answer is awaited, and while bytes that were
// sent are not acknowledged.
func TestConnectionsToVanishedUpstreams(t *testing.T) {
	cases := []struct {
		name   string
		before func(dialed, accepted net.Conn) error // the other end vanishes after it
		after  func(dialed net.Conn) error
		want   time.Duration
	}{
		{"idle", nil, nil, bounds.DialedTimeouts.IdleGiveUp()},
		{"awaiting an answer", func(dialed, accepted net.Conn) error {
			if _, err := io.WriteString(dialed, "request"); err != nil {
				return err
			}
			_, err := accepted.Read(make([]byte, 7))
			return err
		}, nil, bounds.DialedTimeouts.IdleGiveUp()},
		{"bytes without acknowledgement", nil, func(dialed net.Conn) error {
			_, err := io.WriteString(dialed, "request")
			return err
		}, bounds.DialedTimeouts.Unacked},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			dialed, accepted := connect(t)
			if c.before != nil {
				is.NoErr(c.before(dialed, accepted))
			}
			proxytest.Vanish(t, accepted)
			if c.after != nil {
				is.NoErr(c.after(dialed))
			}
			proxytest.AwaitGiveUp(t, dialed, c.want)
		})
	}
}

// TestTransportsSetTimeouts checks that the connections of all transports have the timeouts: these
// are the connections to replicas, the store and peers.
func TestTransportsSetTimeouts(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	transports := NewTransports()
	for name, transport := range map[string]http.RoundTripper{"reused": transports.Reused, "fresh": transports.Fresh, "abrupt": transports.Abrupt} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var unacked, idle, interval int
			trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
				raw, err := info.Conn.(syscall.Conn).SyscallConn()
				is.NoErr(err)
				is.NoErr(raw.Control(func(fd uintptr) {
					unacked, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
					idle, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE)
					interval, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL)
				}))
			}}
			req, err := http.NewRequestWithContext(httptrace.WithClientTrace(t.Context(), trace), http.MethodGet, server.URL, nil)
			is.NoErr(err)
			resp, err := transport.RoundTrip(req)
			is.NoErr(err)
			_ = resp.Body.Close()
			is.Equal(unacked, int(bounds.DialedTimeouts.Unacked.Milliseconds()))
			is.Equal(idle, int(bounds.DialedTimeouts.Idle.Seconds()))
			is.Equal(interval, int(bounds.DialedTimeouts.Interval.Seconds()))
		})
	}
}

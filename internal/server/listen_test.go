package server

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/internal/upstream/proxytest"
)

// TestAcceptedConnectionsNoticeSilence checks that accepted connections have the
// keep-alive and user-timeout socket options set to the limits, so that the kernel closes
// those whose other end does not acknowledge.
func TestAcceptedConnectionsNoticeSilence(t *testing.T) {
	is := is.New(t)
	l, err := listen("127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer client.Close()
	accepted, err := l.Accept()
	is.NoErr(err)
	defer accepted.Close()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	option := func(level, name int) (value int) {
		is.NoErr(raw.Control(func(fd uintptr) { value, err = unix.GetsockoptInt(int(fd), level, name) }))
		is.NoErr(err)
		return value
	}
	is.Equal(option(unix.SOL_SOCKET, unix.SO_KEEPALIVE), 1)
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_KEEPIDLE), int(bounds.AcceptedTimeouts.Idle.Seconds()))
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_KEEPINTVL), int(bounds.AcceptedTimeouts.Interval.Seconds()))
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_KEEPCNT), bounds.AcceptedTimeouts.Probes())
	is.Equal(option(unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT), int(bounds.AcceptedTimeouts.Unacked.Milliseconds()))
}

// TestAcceptedConnectionsOfVanishedCallers checks on real sockets when an accepted connection gives
// up on a caller that vanished: while it is idle, and while an answer is not acknowledged.
func TestAcceptedConnectionsOfVanishedCallers(t *testing.T) {
	for name, answers := range map[string]bool{"idle": false, "an answer without acknowledgement": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			l, err := listen("127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer client.Close()
			accepted, err := l.Accept()
			is.NoErr(err)
			defer accepted.Close()
			proxytest.Vanish(t, client)
			want := bounds.AcceptedTimeouts.IdleGiveUp()
			if answers {
				_, err = accepted.Write([]byte("answer"))
				is.NoErr(err)
				want = bounds.AcceptedTimeouts.Unacked
			}
			proxytest.AwaitGiveUp(t, accepted, want)
		})
	}
}

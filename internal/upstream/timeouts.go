package upstream

import (
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/birchdrift/birchdrift/core/bounds"
)

// KeepAlive returns the configuration of a connection's keep-alive probes.
func KeepAlive(t bounds.ConnectionTimeouts) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: t.Idle, Interval: t.Interval, Count: t.Probes()}
}

// UserTimeoutControl returns a Control function for a dialer or listener that sets
// TCP_USER_TIMEOUT.
func UserTimeoutControl(t bounds.ConnectionTimeouts) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(t.Unacked.Milliseconds()))
		})
		return errors.Join(err, set)
	}
}

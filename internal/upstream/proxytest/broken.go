package proxytest

import (
	"net"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Refusing returns an address (IP:port) at which connections are refused until the test ends: its
// port is taken, and no process listens there.
func Refusing(t *testing.T) string {
	t.Helper()
	_, address := bind(t)
	return address
}

// Unresponsive returns an address (IP:port) at which attempts to connect get no answer, as if its
// machine were partitioned from this one: the queue of connections of its listener is full.
func Unresponsive(t *testing.T) string {
	t.Helper()
	fd, address := bind(t)
	if err := unix.Listen(fd, 0); err != nil {
		t.Fatal(err)
	}
	const fillTimeout = 100 * time.Millisecond
	for {
		conn, err := net.DialTimeout("tcp", address, fillTimeout)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// bind returns a socket that is bound to a loopback address, and the address.
func bind(t *testing.T) (fd int, address string) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	if err := unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd, net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*unix.SockaddrInet4).Port))
}

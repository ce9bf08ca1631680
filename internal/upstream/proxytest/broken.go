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
	for _, conn := range fillQueue(address) {
		t.Cleanup(func() { _ = conn.Close() })
	}
	return address
}

// fillQueue connects to an address until nothing answers there.
func fillQueue(address string) []net.Conn {
	const fillTimeout = 100 * time.Millisecond
	var conns []net.Conn
	for {
		conn, err := net.DialTimeout("tcp", address, fillTimeout)
		if err != nil {
			return conns
		}
		conns = append(conns, conn)
	}
}

// ReserveAddress returns an address (IP:port) at which a process can listen, again and again, until
// the test ends. No other socket takes its port meanwhile.
func ReserveAddress(t *testing.T) string {
	t.Helper()
	_, address := bind(t)
	return address
}

// loopbackHost is the address of the sockets that bind returns. No outgoing connection has it as
// its source, so none takes their ports.
const loopbackHost = "127.0.0.2"

// bind returns a socket that is bound to a port of loopbackHost until the test ends, and its address.
func bind(t *testing.T) (fd int, address string) {
	t.Helper()
	fd, err := newSocket(0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(fd) })
	name, err := unix.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fd, net.JoinHostPort(loopbackHost, strconv.Itoa(name.(*unix.SockaddrInet4).Port))
}

// newSocket returns a socket that is bound to a port of loopbackHost, and lets others listen there;
// 0: any port.
func newSocket(port int) (fd int, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if err == nil {
		err = unix.Bind(fd, &unix.SockaddrInet4{Port: port, Addr: [4]byte(net.ParseIP(loopbackHost).To4())})
	}
	if err != nil {
		_ = unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

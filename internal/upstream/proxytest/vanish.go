package proxytest

import (
	"errors"
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Vanish makes one end of a connection drop everything that arrives, without an acknowledgement or
// a reset, as if its machine had lost power or been partitioned.
func Vanish(t *testing.T, conn net.Conn) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	program := &unix.SockFprog{Len: uint16(len(dropAll)), Filter: &dropAll[0]}
	var attached error
	err = raw.Control(func(fd uintptr) {
		attached = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, program)
	})
	if err != nil || attached != nil {
		t.Fatal(err, attached)
	}
}

// AwaitGiveUp checks that a connection whose other end has vanished gives up after the given time,
// within a tolerance for a busy machine. It returns once the connection has failed.
func AwaitGiveUp(t *testing.T, conn net.Conn, want time.Duration) {
	t.Helper()
	const early, late = 1200 * time.Millisecond, 3 * time.Second
	start := time.Now()
	_ = conn.SetReadDeadline(start.Add(want + late))
	_, err := conn.Read(make([]byte, 1))
	took := time.Since(start)
	if !errors.Is(err, syscall.ETIMEDOUT) || took < want-early {
		t.Errorf("the connection failed after %v with %v; want a timeout after %v", took, err, want)
	}
}

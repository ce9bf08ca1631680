package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/birchdrift/birchdrift/internal/load"
)

// A ResetError means that a connection failed, by a reset or a timeout, although its read returned
// the end of the data.
type ResetError struct {
	Err error // of the write that got the error of the connection
}

// Error implements error.
func (e *ResetError) Error() string {
	return fmt.Sprintf("the connection failed before its end: %v", e.Err)
}

// Unwrap returns the error of the write.
func (e *ResetError) Unwrap() error { return e.Err }

// detectResets returns d with connections whose reads tell a failed connection from its end.
func detectResets(d load.Dial) load.Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &resetDetector{Conn: conn}, nil
	}
}

// A resetDetector is a TCP connection whose reads return a ResetError instead of io.EOF if the other end
// did not end its data. The kernel returns the error of a failed connection once, to a read or to a write. If
// a write gets it, reads return the end, as after a FIN.
type resetDetector struct {
	net.Conn
	writing sync.Mutex            // held during a write
	failed  atomic.Pointer[error] // the first error of a write that shows that the connection failed
}

// SyscallConn implements syscall.Conn.
func (c *resetDetector) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Write implements net.Conn.
func (c *resetDetector) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(data)
	if failedBeforeFIN(err) {
		c.failed.CompareAndSwap(nil, &err)
	}
	return n, err
}

// Read implements net.Conn.
func (c *resetDetector) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		if failed := c.failure(); failed != nil {
			err = &ResetError{Err: failed}
		}
	}
	return n, err
}

// failure returns the error of the connection that a write got instead of the read that returned the
// end, nil if there is none. It waits for a write in progress only if that returns at once: while the other
// end has merely ended its data, a write may block.
func (c *resetDetector) failure() error {
	if isClosed(c) {
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	if err := c.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// failedBeforeFIN reports whether the error of a write is that of a connection that failed before the other
// end ended its data. EPIPE is the error of one that is reset after that, because the other end has closed it and
// is written to.
func failedBeforeFIN(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}

// isClosed reports whether writes to a TCP connection fail at once, because it has failed or was closed at this
// end. One whose state the system does not tell counts as open.
func isClosed(c syscall.Conn) bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		closed = err == nil && info.State == tcpClose
	})
	return closed || errors.Is(err, net.ErrClosed)
}

// tcpClose is the number of the state TCP_CLOSE in Linux's tcp_info.
const tcpClose = 7

package load

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// segmentOverhead is the size of the Ethernet, IP and TCP headers of a segment, in bytes; an
	// acknowledgment has the same.
	segmentOverhead = 66
	// segmentPayload is the most bytes of data that a segment carries.
	segmentPayload = 1448
)

// A Traffic counts the bytes of connections as they take up the network link, with headers and
// acknowledgments, and measures how long it takes to connect. It is safe for concurrent use.
type Traffic struct {
	received, sent atomic.Int64

	mu       sync.Mutex
	connects int           // attempts to connect that succeeded since takeConnects
	fastest  time.Duration // shortest time that one of them took
}

// Received returns the number of bytes received so far.
func (t *Traffic) Received() int64 { return t.received.Load() }

// Sent returns the number of bytes sent so far.
func (t *Traffic) Sent() int64 { return t.sent.Load() }

// takeConnects returns the number of attempts to connect that have succeeded since the last call, and
// the shortest time that one of them took.
func (t *Traffic) takeConnects() (n int, fastest time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n, fastest = t.connects, t.fastest
	t.connects = 0
	return n, fastest
}

// connected records an attempt to connect that succeeded after d.
func (t *Traffic) connected(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.connects == 0 || d < t.fastest {
		t.fastest = d
	}
	t.connects++
}

// onLink returns the bytes that n bytes of data take up on the link, and those of their
// acknowledgments in the other direction.
func onLink(n int) (data, acknowledgments int64) {
	segments := int64((n + segmentPayload - 1) / segmentPayload)
	return int64(n) + segments*segmentOverhead, segments * segmentOverhead
}

// Conn returns c with its bytes counted.
func (t *Traffic) Conn(c net.Conn) net.Conn { return &countedConn{Conn: c, traffic: t} }

// A countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic  *Traffic
	received atomic.Int64 // bytes of data
}

// Received returns the number of bytes of data that the connection has received.
func (c *countedConn) Received() int64 { return c.received.Load() }

// SyscallConn implements syscall.Conn.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	if conn, ok := c.Conn.(syscall.Conn); ok {
		return conn.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Read implements net.Conn.
func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Add(int64(n))
	in, out := onLink(n)
	c.traffic.received.Add(in)
	c.traffic.sent.Add(out)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	out, in := onLink(n)
	c.traffic.sent.Add(out)
	c.traffic.received.Add(in)
	return n, err
}

// A Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns d with its time measured and the bytes of its connections counted.
func (t *Traffic) Dial(d Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		start := time.Now()
		conn, err := d(ctx, network, address)
		if err != nil {
			return nil, err
		}
		t.connected(time.Since(start))
		return t.Conn(conn), nil
	}
}

// Listener returns l with the bytes of its connections counted.
func (t *Traffic) Listener(l net.Listener) net.Listener { return &countedListener{l, t} }

// A countedListener accepts connections whose bytes are counted.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.Conn(conn), nil
}

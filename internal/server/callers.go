package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/internal/telemetry"
)

// callerShare is the share of the process's descriptors that callers' connections may take. Each may
// have a call that needs one more, to a replica or a peer, and the platform's store needs a few.
const callerShare = 0.4

// connectionLogInterval is the minimum interval between log lines about closed connections.
const connectionLogInterval = time.Second

// A callerListener accepts callers' connections. It closes new ones, unread, while there are so many
// that calls might find no descriptor for a connection to a replica: their callers are served
// elsewhere, and those that are connected are still served here.
type callerListener struct {
	net.Listener
	metrics  *telemetry.Metrics
	accepted func() // called for each connection
	open     atomic.Int64
	closed   func(open int64) // called with the number of connections for each one that is closed
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.accepted()
		open := l.open.Add(1)
		l.metrics.CountConnection(open <= maxCallers())
		if open > maxCallers() {
			l.open.Add(-1)
			_ = conn.Close()
			l.closed(open - 1)
			continue
		}
		return &callerConn{Conn: conn, listener: l}, nil
	}
}

// maxCallers returns the number of callers' connections that may be open. The operator may change the
// limit of a running process.
func maxCallers() int64 {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return int64(^uint64(0) >> 1) // unknown: the system's own limit applies
	}
	return int64(callerShare * float64(limit.Cur))
}

// A callerConn is a connection that a callerListener counts.
type callerConn struct {
	net.Conn
	listener *callerListener
	once     sync.Once
	used     atomic.Bool // a request was read
}

// callerConnKey is the key of the callerConn in the context of its requests.
type callerConnKey struct{}

// withCallerConn adds a callerConn to the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	if conn, ok := c.(*callerConn); ok {
		return context.WithValue(ctx, callerConnKey{}, conn)
	}
	return ctx
}

// firstRequest reports whether it is called for the first time.
func (c *callerConn) firstRequest() bool { return !c.used.Swap(true) }

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// newCallerListener returns a listener for callers that logs, at most once per connectionLogInterval,
// that it closes connections.
func (s *Server) newCallerListener(socket *net.TCPListener) *callerListener {
	l := s.traffic.Listener(newPausableListener(socket, s.load.admits, s.load.reopens, s.metrics.AddRefusalTime, s.log))
	var logged atomic.Int64
	return &callerListener{Listener: l, metrics: s.metrics, accepted: s.load.accepted, closed: func(open int64) {
		now := time.Now().UnixNano()
		last := logged.Load()
		if now-last < connectionLogInterval.Nanoseconds() || !logged.CompareAndSwap(last, now) {
			return
		}
		s.log.Info(logevent.TooManyCallers.Name(), "event", int(logevent.TooManyCallers), "open", open)
	}}
}

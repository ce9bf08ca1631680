package server

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/birchdrift/birchdrift/core/logevent"
)

const (
	// reopenInterval is the time between two attempts to open a listener again.
	reopenInterval = 20 * time.Millisecond
	// drainTime is the time for which the listener still accepts connections when it begins to refuse
	// them: those that are being established would be reset.
	drainTime = 5 * time.Millisecond
)

// A pausableListener is a TCP listener that refuses connections at times. While it does, no socket
// listens: a connection that the process accepted only to close it would cost about as much as a
// small call, and its caller would send its request before it learns of that.
type pausableListener struct {
	address net.Addr
	log     logr.Logger
	// admits reports whether connections are accepted, and for how long; 0: there is no limit.
	admits func() (span time.Duration, ok bool)
	// reopens reports whether connections are accepted again after they were refused.
	reopens func() bool
	// refused is told for how long connections were refused, from time to time while they are.
	refused func(time.Duration)

	drainUntil time.Time // when connections begin to be refused; zero: they are accepted

	mu     sync.Mutex
	socket *net.TCPListener
	closed chan struct{}
}

func newPausableListener(l *net.TCPListener, admits func() (time.Duration, bool), reopens func() bool, refused func(time.Duration), log logr.Logger) *pausableListener {
	return &pausableListener{address: l.Addr(), socket: l, admits: admits, reopens: reopens, refused: refused, log: log, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pausableListener) Accept() (net.Conn, error) {
	for {
		end, refuses := l.acceptTime()
		conn, err := acceptUntil(l.current(), end)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return conn, err
		}
		if !refuses {
			continue
		}
		if err := l.pause(); err != nil {
			return nil, err
		}
	}
}

// acceptTime returns the time until which connections are accepted now, zero if there is none, and
// whether they are refused after it.
func (l *pausableListener) acceptTime() (end time.Time, refuses bool) {
	span, ok := l.admits()
	now := time.Now()
	switch {
	case !ok && l.drainUntil.IsZero():
		l.drainUntil = now.Add(drainTime)
		return l.drainUntil, true
	case !ok:
		return l.drainUntil, true
	}
	l.drainUntil = time.Time{}
	if span > 0 {
		end = now.Add(span)
	}
	return end, false
}

// current returns the socket that listens.
func (l *pausableListener) current() *net.TCPListener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket
}

// pause refuses connections until they are accepted again or the listener is closed.
func (l *pausableListener) pause() error {
	_ = l.current().Close() // fails only if it is closed
	for since := time.Now(); ; {
		select {
		case <-l.closed:
			return net.ErrClosed
		case <-time.After(reopenInterval):
		}
		now := time.Now()
		l.refused(now.Sub(since))
		since = now
		if l.reopens() && l.reopen() {
			l.drainUntil = time.Time{}
			return nil
		}
	}
}

// reopen listens again and reports whether that succeeded. After Close the new socket is closed at once.
func (l *pausableListener) reopen() bool {
	socket, err := listen(l.address.String())
	if err != nil {
		l.log.Info(logevent.ListenFailed.Name(), "event", int(logevent.ListenFailed), "address", l.address.String(), "error", err.Error())
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.socket = socket
	select {
	case <-l.closed:
		_ = socket.Close() // nothing was accepted
	default:
	}
	return true
}

// Close implements net.Listener.
func (l *pausableListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-l.closed:
		return net.ErrClosed
	default:
	}
	close(l.closed)
	if err := l.socket.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil // it refuses connections
}

// Addr implements net.Listener.
func (l *pausableListener) Addr() net.Addr { return l.address }

// acceptUntil accepts a connection that is established by a time, at any time if that is zero. It returns
// an os.ErrDeadlineExceeded if there is none.
func acceptUntil(l *net.TCPListener, end time.Time) (net.Conn, error) {
	if err := l.SetDeadline(end); err != nil {
		return nil, err
	}
	return l.Accept()
}

// Package upstream provides what the adapters for engines and plain services
// share: HTTP transports that never send a call twice on their own, and the
// knowledge of how far an attempt's bytes had come when it broke.
//
// The subtle case: net/http repeats a request by itself when a reused
// connection turns out to be closed, and takes an Idempotency-Key header for
// leave to do so with any method. A call that must not run twice therefore
// goes over a connection that was never used before, where net/http never
// repeats. HTTP/2 has repeats of its own and is switched off.
package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/bounds"
)

// Bounds of connections to upstreams.
const (
	dialTimeout       = bounds.DialTimeout
	idleTimeout       = 4 * time.Second // below what upstreams keep idle connections for
	maxIdlePerHost    = 64
	keepAliveInterval = time.Second // probes of a connection on which nothing comes
	keepAliveCount    = 3
	unackedTimeout    = 3 * time.Second // time for which sent bytes may stay unacknowledged
)

// Transports are the two ways to an upstream.
type Transports struct {
	Reused http.RoundTripper // keeps connections; for calls that may be repeated
	Fresh  http.RoundTripper // a connection for each call; for those that may not
	// Abrupt is Fresh whose connections are reset when they are closed, so
	// that bytes which a cut link holds up are lost and do not arrive later.
	Abrupt http.RoundTripper
}

// NewTransports returns transports that speak HTTP/1.1 only.
func NewTransports() Transports {
	dialer := newDialer()
	return Transports{
		Reused: newTransport(dialer.DialContext, false),
		Fresh:  newTransport(dialer.DialContext, true),
		Abrupt: newTransport(dialAbrupt(dialer), true),
	}
}

// newDialer returns a dialer whose connections notice within seconds that the
// other end is gone without any message.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveCount},
		Control:         UserTimeoutControl(unackedTimeout),
	}
}

// UserTimeoutControl returns the control function of a dialer or listener whose connections
// end when bytes that were sent stay unacknowledged for so long.
func UserTimeoutControl(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.Join(err, set)
	}
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialAbrupt dials connections that are reset when they are closed.
func dialAbrupt(d *net.Dialer) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			err = tcp.SetLinger(0)
		}
		return conn, err
	}
}

func newTransport(dial dialFunc, fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		DisableKeepAlives:   fresh,
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     idleTimeout,
		// A non-nil empty map is how net/http is told to leave HTTP/2 off.
		TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
	}
}

// For returns the transport for a call.
func (t Transports) For(repeatable bool) http.RoundTripper {
	if repeatable {
		return t.Reused
	}
	return t.Fresh
}

// A Progress says how far one attempt has come. It is safe for concurrent use.
type Progress struct{ phase atomic.Int32 }

// TraceContext returns a context under which a request notes its progress in p. From
// the moment a connection is handed to the request a byte may leave at any
// time, so that is where NotSent ends.
func (p *Progress) TraceContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { p.Advance(attempt.MaybeSent) },
	})
}

// Advance notes that the attempt has come as far as phase; it never goes back.
func (p *Progress) Advance(phase attempt.Phase) {
	for {
		old := p.phase.Load()
		if int32(phase) <= old || p.phase.CompareAndSwap(old, int32(phase)) {
			return
		}
	}
}

// Phase returns how far the attempt has come.
func (p *Progress) Phase() attempt.Phase { return attempt.Phase(p.phase.Load()) }

// Severed reports whether err says that the other end of a connection ended it,
// rather than that nothing came for too long.
func Severed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// ConnectionRefused reports whether err says that the machine at the address answered
// and that no process listens there.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// CheckReachable connects to an upstream's address (IP:port) and closes the connection again.
func CheckReachable(ctx context.Context, address string) error {
	conn, err := newDialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	_ = conn.Close() // nothing was sent
	return nil
}

// Headers by which upstreams speak about themselves and their answers.
const (
	// HeaderRun is "not_run" on an answer of an upstream that did not run the
	// call and never will.
	HeaderRun = "Birchdrift-Run"
	// HeaderLeaving is "true" on answers of an upstream that is leaving.
	HeaderLeaving = "Birchdrift-Leaving"
	// HeaderCall carries the call's identity to the upstream.
	HeaderCall = "Birchdrift-Call"
)

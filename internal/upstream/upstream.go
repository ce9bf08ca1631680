// Package upstream provides what the clients of engines and of plain services share:
// HTTP transports that never retry a call on their own, and a record of how far an
// attempt had progressed when it failed.
//
// net/http itself retries a request if a reused connection turns out to be closed, and
// does so for any method if the request has an Idempotency-Key header. A call that must
// not run twice is therefore sent over a new connection, on which net/http never
// retries. HTTP/2 has retries of its own and is disabled.
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

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/internal/load"
)

// TCP and idle limits of connections to upstreams: times and counts.
const (
	dialTimeout    = bounds.DialTimeout
	idleTimeout    = 4 * time.Second // shorter than upstreams keep idle connections
	maxIdlePerHost = 64
)

// Transports are the HTTP transports to upstreams.
type Transports struct {
	Reused http.RoundTripper // reuses connections; for calls that may be retried
	Fresh  http.RoundTripper // opens a connection for each call; for calls that may not
	// Abrupt is like Fresh, but resets its connections when it closes them, so that
	// bytes held up by a broken link are discarded and do not arrive later.
	Abrupt http.RoundTripper
}

// NewTransports returns transports that use HTTP/1.1 only.
func NewTransports() Transports { return NewCountedTransports(&load.Traffic{}) }

// NewCountedTransports is like NewTransports and counts the bytes of all connections in traffic.
func NewCountedTransports(traffic *load.Traffic) Transports {
	dialer := newDialer()
	dial := traffic.Dial(detectResets(dialer.DialContext))
	return Transports{
		Reused: newTransport(dial, false),
		Fresh:  newTransport(dial, true),
		Abrupt: newTransport(traffic.Dial(detectResets(dialAbrupt(dialer))), true),
	}
}

// newDialer returns a dialer whose connections detect within seconds that the other
// end vanished without closing the connection.
func newDialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: KeepAlive(bounds.DialedTimeouts),
		Control:         UserTimeoutControl(bounds.DialedTimeouts),
	}
}

// dialAbrupt returns a dial function whose connections are reset when they are closed.
func dialAbrupt(d *net.Dialer) load.Dial {
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

func newTransport(dial load.Dial, fresh bool) http.RoundTripper {
	return limitedTransport{&http.Transport{
		DialContext:            dial,
		DisableKeepAlives:      fresh,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxHeadBytes,
		IdleConnTimeout:        idleTimeout,
		// A non-nil empty map disables HTTP/2 in net/http.
		TLSNextProto: map[string]func(string, *tls.Conn) http.RoundTripper{},
	}}
}

// For returns the transport for a call: Reused if it is repeatable, otherwise Fresh.
func (t Transports) For(repeatable bool) http.RoundTripper {
	if repeatable {
		return t.Reused
	}
	return t.Fresh
}

// A Progress records the phase of one attempt. It is safe for concurrent use.
type Progress struct{ phase atomic.Int32 }

// TraceContext returns a context with which a request records its progress in p. The
// phase NotSent ends when the request gets a connection, since from then on bytes may
// be sent at any time.
func (p *Progress) TraceContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { p.Advance(attempt.MaybeSent) },
	})
}

// Advance records that the attempt has reached phase. It never moves to an earlier phase.
func (p *Progress) Advance(phase attempt.Phase) {
	for {
		old := p.phase.Load()
		if int32(phase) <= old || p.phase.CompareAndSwap(old, int32(phase)) {
			return
		}
	}
}

// Phase returns the phase that the attempt has reached.
func (p *Progress) Phase() attempt.Phase { return attempt.Phase(p.phase.Load()) }

// Severed reports whether err means that the other end closed or reset the connection,
// as opposed to a timeout.
func Severed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// ConnectionRefused reports whether err means that the computer at the address answered
// that no process listens there.
func ConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// CheckReachable connects to an upstream's address (IP:port) and closes the connection. It
// returns the error of connecting.
func CheckReachable(ctx context.Context, address string) error {
	conn, err := newDialer().DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	_ = conn.Close() // nothing was sent
	return nil
}

// Headers of upstreams of the product's own environment.
const (
	// HeaderRun is "not_run" on an answer of an upstream that did not run the
	// call and never will.
	HeaderRun = "Birchdrift-Run"
	// HeaderLeaving is "true" on answers of an upstream that is leaving.
	HeaderLeaving = "Birchdrift-Leaving"
	// HeaderCall carries the call ID to the upstream.
	HeaderCall = "Birchdrift-Call"
)

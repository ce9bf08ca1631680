package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"time"
)

const (
	// maxHeadBytes is the largest head of an answer, in bytes, with the interim answers before it:
	// as large as the head of a request may be.
	maxHeadBytes = 64 << 10
	// headTimeout is the longest time from the first byte of an answer to the end of its head.
	headTimeout = time.Second
)

// A Limit names a limit of what an upstream may send as an answer.
type Limit string

// The limits.
const (
	HeadBytes   Limit = "head_bytes"   // of a head with the interim answers before it
	HeadTime    Limit = "head_time"    // from the first byte of a head to its end
	AnswerBytes Limit = "answer_bytes" // of a body
	EventBytes  Limit = "event_bytes"  // of one event of a stream
	IdleBytes   Limit = "idle_bytes"   // of a stream without an event
)

// A LimitError means that an upstream exceeded a limit: it is faulty, or sends something other than
// an answer, possibly without end.
type LimitError struct {
	Limit Limit
	Bytes int64 // that were read
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("the upstream exceeded the limit %s: %d bytes were read", e.Limit, e.Bytes)
}

// A limitedTransport limits the size of heads, and the time that they take once they have begun. An answer that
// is not in the form of HTTP fails with a MalformedError.
type limitedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t limitedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	watch := &headWatch{cancel: cancel}
	resp, err := t.Transport.RoundTrip(req.WithContext(watch.traceContext(ctx)))
	watch.stop()
	if err != nil {
		err = watch.explain(ctx, err)
		cancel(nil)
		return nil, err
	}
	if err := checkHead(resp); err != nil {
		watch.closeConn()
		_ = resp.Body.Close() // nothing of it is used
		cancel(nil)
		return nil, err
	}
	resp.Body = &cancelingBody{&checkedBody{resp.Body, resp}, cancel}
	return resp, nil
}

// A headWatch watches the head of one answer.
type headWatch struct {
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	conn     receiver    // nil until the request has a connection
	received int64       // bytes that conn had received before the request
	timer    *time.Timer // nil until the answer begins
	stopped  bool
}

// A receiver is a connection that counts the bytes of data that it receives.
type receiver interface {
	io.Closer
	Received() int64
}

// traceContext returns a context with which a request tells the watch what happens.
func (h *headWatch) traceContext(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: h.gotConn, GotFirstResponseByte: h.begin, Got1xxResponse: h.checkInterim})
}

// checkInterim fails for an interim answer whose fields are not in the form of HTTP, and once a head with
// the interim answers before it is too large, which net/http does not check if it reports them.
func (h *headWatch) checkInterim(_ int, fields textproto.MIMEHeader) error {
	if n := h.bytes(); n >= maxHeadBytes {
		return &LimitError{Limit: HeadBytes, Bytes: n}
	}
	return checkNames(fields)
}

// closeConn closes the connection of the request, so that what follows a malformed answer is not taken for
// the next one.
func (h *headWatch) closeConn() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conn != nil {
		_ = h.conn.Close() // nothing of it is used
	}
}

func (h *headWatch) gotConn(info httptrace.GotConnInfo) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if conn, ok := info.Conn.(receiver); ok {
		h.conn, h.received = conn, conn.Received()
	}
}

// begin starts the timer of the head.
func (h *headWatch) begin() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.timer != nil || h.stopped {
		return
	}
	h.timer = time.AfterFunc(headTimeout, func() { h.cancel(&LimitError{Limit: HeadTime, Bytes: h.bytes()}) })
}

// stop ends the watch.
func (h *headWatch) stop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopped = true
	if h.timer != nil {
		h.timer.Stop()
	}
}

// bytes returns how many bytes have been received for the request.
func (h *headWatch) bytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.conn == nil {
		return 0
	}
	return h.conn.Received() - h.received
}

// explain returns the LimitError that is the cause of err, or err.
func (h *headWatch) explain(ctx context.Context, err error) error {
	var limit *LimitError
	if errors.As(context.Cause(ctx), &limit) {
		return limit
	}
	if n := h.bytes(); n >= maxHeadBytes {
		return &LimitError{Limit: HeadBytes, Bytes: n}
	}
	return err
}

// A cancelingBody is the body of an answer that releases the context of its request when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelCauseFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel(nil)
	return b.ReadCloser.Close()
}

// LimitBody makes an answer fail with a LimitError once more than maxBytes bytes of its body are read.
// It closes the answer and returns the error if its head says that the body is larger.
func LimitBody(resp *http.Response, maxBytes int64) error {
	if resp.ContentLength > maxBytes {
		_ = resp.Body.Close() // nothing was read of it
		return &LimitError{Limit: AnswerBytes}
	}
	resp.Body = &limitedBody{ReadCloser: resp.Body, max: maxBytes}
	return nil
}

// A limitedBody is the body of an answer with a largest size.
type limitedBody struct {
	io.ReadCloser
	read, max int64 // bytes
}

// Read implements io.Reader.
func (b *limitedBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	b.read += int64(n)
	if b.read > b.max {
		return 0, &LimitError{Limit: AnswerBytes, Bytes: b.read}
	}
	return n, err
}

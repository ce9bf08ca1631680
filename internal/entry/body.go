package entry

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

const (
	// maxBufferedBody is the largest body that is kept whole, in bytes, so that it can be
	// sent again after an attempt that certainly did not run. Of larger ones the
	// beginning is kept, and the rest is streamed.
	maxBufferedBody = 256 << 10
	// streamedBodyPrefix is how much is kept of a body that says that it is larger, in bytes:
	// enough to tell requests apart: a quarter of smallBody, since many large bodies
	// may be under way at once.
	streamedBodyPrefix = 64 << 10
)

// A Body is the body of a call: kept if it is small, else its beginning is kept and
// the rest is streamed through once.
type Body struct {
	buffered  []byte        // the whole, or the beginning
	remainder io.ReadCloser // what follows; nil if kept is the whole
	consumed  atomic.Bool   // a part of rest was read
}

// ReadBody reads a small body whole, and the beginning of a larger one. A body of
// unknown length is small if it comes to its end in time.
func ReadBody(r *http.Request) (*Body, error) {
	if r.ContentLength > maxBufferedBody {
		head, err := io.ReadAll(io.LimitReader(r.Body, streamedBodyPrefix))
		return &Body{buffered: head, remainder: r.Body}, err
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBody+1))
	b := &Body{buffered: data}
	if len(data) > maxBufferedBody {
		b.remainder = r.Body
	}
	return b, err
}

// Streamed reports whether a part of the body can be sent only once.
func (b *Body) Streamed() bool { return b.remainder != nil }

// Consumed reports whether the body cannot be sent again.
func (b *Body) Consumed() bool { return b.consumed.Load() }

// NewReader returns the body for one attempt.
func (b *Body) NewReader(watch *Watchdog) io.ReadCloser {
	if !b.Streamed() {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	return &watchedBody{head: bytes.NewReader(b.buffered), body: b, watch: watch}
}

// A watchedBody is a streamed body for one attempt. It puts the watchdog off while
// the caller is still sending. It leaves the caller's body open: an attempt that
// read none of the rest may be followed by another.
type watchedBody struct {
	head  *bytes.Reader
	body  *Body
	watch *Watchdog
}

// Read implements io.Reader.
func (w *watchedBody) Read(data []byte) (int, error) {
	if w.head.Len() > 0 {
		return w.head.Read(data)
	}
	w.body.consumed.Store(true)
	n, err := w.body.remainder.Read(data)
	w.watch.Reset()
	return n, err
}

// Close implements io.Closer.
func (w *watchedBody) Close() error { return nil }

package entry

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

const (
	// maxBufferedBody is the largest body, in bytes, that is buffered whole, so that it
	// can be sent again after an attempt that certainly did not run. Of a larger body
	// only the beginning is buffered and the remainder is streamed.
	maxBufferedBody = 256 << 10
	// streamedBodyPrefix is the number of bytes that are buffered of a body whose
	// Content-Length exceeds maxBufferedBody: enough to tell requests apart, and a
	// quarter of maxBufferedBody, since many large bodies may be in flight at once.
	streamedBodyPrefix = 64 << 10
)

// A Body is the body of a call. A small body is buffered whole; of a larger one the
// beginning is buffered and the remainder can be streamed once.
type Body struct {
	buffered  []byte        // the whole body, or its beginning
	remainder io.ReadCloser // the bytes after buffered; nil if buffered is the whole body
	current   *watchedBody  // the reader of the last attempt; nil if there was none
	consumed  atomic.Bool   // whether some of remainder was read
}

// ReadBody reads a small body whole and the beginning of a larger one. A body of
// unknown length is small if it ends within maxBufferedBody bytes.
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

// Streamed reports whether part of the body is not buffered and can be sent only once.
func (b *Body) Streamed() bool { return b.remainder != nil }

// NewReader returns a reader of the body for one attempt, which is the only one until
// EndAttempt. Reads of the remainder reset the watchdog.
func (b *Body) NewReader(watchdog *Watchdog) io.ReadCloser {
	if !b.Streamed() {
		return io.NopCloser(bytes.NewReader(b.buffered))
	}
	b.current = &watchedBody{head: bytes.NewReader(b.buffered), body: b, watchdog: watchdog}
	return b.current
}

// EndAttempt makes the reader of the last attempt fail, which its transport may still use for a
// moment, and reports whether the body cannot be sent again because part of its remainder was read.
func (b *Body) EndAttempt() (consumed bool) {
	if b.current != nil {
		b.current.end()
	}
	return b.consumed.Load()
}

// errAttemptEnded is the error of reading the body for an attempt that has ended.
var errAttemptEnded = errors.New("the attempt has ended")

// A watchedBody reads a streamed body for one attempt and resets the watchdog while the
// caller is still sending. Close leaves the caller's body open, since an attempt that
// read none of the remainder may be followed by another.
type watchedBody struct {
	head     *bytes.Reader
	body     *Body
	watchdog *Watchdog

	mu    sync.Mutex // held while a read of the remainder begins
	ended bool
}

// Read implements io.Reader.
func (w *watchedBody) Read(data []byte) (int, error) {
	if w.head.Len() > 0 {
		return w.head.Read(data)
	}
	if !w.beginRemainder() {
		return 0, errAttemptEnded
	}
	n, err := w.body.remainder.Read(data)
	w.watchdog.Reset()
	return n, err
}

// beginRemainder marks the body as consumed and returns true, unless the attempt has ended.
func (w *watchedBody) beginRemainder() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return false
	}
	w.body.consumed.Store(true)
	return true
}

func (w *watchedBody) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
}

// Close implements io.Closer.
func (w *watchedBody) Close() error { return nil }

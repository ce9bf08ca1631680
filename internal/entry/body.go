package entry

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// smallBody is the largest body that is kept, so that it can be sent again
// after an attempt that certainly did not run. Larger ones are streamed.
// Set in 2fb8517.
const smallBody = 256 << 10

// A Body is the body of a call: kept if it is small and
// its length is known, else streamed through once.
type Body struct {
	kept     []byte
	stream   io.ReadCloser
	streamed bool
	begun    atomic.Bool // a part of the stream was read
}

// ReadBody reads a small body whole and leaves a larger one to be streamed.
func ReadBody(r *http.Request) (*Body, error) {
	if r.ContentLength < 0 || r.ContentLength > smallBody {
		return &Body{stream: r.Body, streamed: true}, nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, smallBody))
	return &Body{kept: data}, err
}

// Streamed reports whether the body can be sent only once.
func (b *Body) Streamed() bool { return b.streamed }

// Spent reports whether the body cannot be sent again.
func (b *Body) Spent() bool { return b.streamed && b.begun.Load() }

// Next returns the body for one attempt.
func (b *Body) Next(watch *Watchdog) io.ReadCloser {
	if !b.streamed {
		return io.NopCloser(bytes.NewReader(b.kept))
	}
	return &watchedBody{body: b, watch: watch}
}

// A watchedBody puts the watchdog off while the caller is still sending. It
// leaves the caller's body open: an attempt that never read it may be followed
// by one that does.
type watchedBody struct {
	body  *Body
	watch *Watchdog
}

// Read implements io.Reader.
func (w *watchedBody) Read(data []byte) (int, error) {
	w.body.begun.Store(true)
	n, err := w.body.stream.Read(data)
	w.watch.Alive()
	return n, err
}

// Close implements io.Closer.
func (w *watchedBody) Close() error { return nil }

package entry

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// smallBody is the largest body that is kept, so that it can be sent again
// after an attempt that certainly did not run. Larger ones are streamed.
const smallBody = 256 << 10

// A callBody is the body of a call to a plain service: kept if it is small and
// its length is known, else streamed through once.
type callBody struct {
	kept     []byte
	stream   io.ReadCloser
	streamed bool
	begun    atomic.Bool // a part of the stream was read
}

// readBody reads a small body whole and leaves a larger one to be streamed.
func readBody(r *http.Request) (*callBody, error) {
	if r.ContentLength < 0 || r.ContentLength > smallBody {
		return &callBody{stream: r.Body, streamed: true}, nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, smallBody))
	return &callBody{kept: data}, err
}

// spent reports whether the body cannot be sent again.
func (b *callBody) spent() bool { return b.streamed && b.begun.Load() }

// next returns the body for one attempt.
func (b *callBody) next(watch *watchdog) io.ReadCloser {
	if !b.streamed {
		return io.NopCloser(bytes.NewReader(b.kept))
	}
	return &watchedBody{body: b, watch: watch}
}

// A watchedBody puts the watchdog off while the caller is still sending. It
// leaves the caller's body open: an attempt that never read it may be followed
// by one that does.
type watchedBody struct {
	body  *callBody
	watch *watchdog
}

// Read implements io.Reader.
func (w *watchedBody) Read(data []byte) (int, error) {
	w.body.begun.Store(true)
	n, err := w.body.stream.Read(data)
	w.watch.alive()
	return n, err
}

// Close implements io.Closer.
func (w *watchedBody) Close() error { return nil }

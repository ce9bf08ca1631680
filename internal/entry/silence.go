package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// A timedBody is a caller's body whose reads fail once the caller has sent nothing for a
// while. A caller may take any time for the whole, but one that has gone silent would hold
// its connection and a handler for good.
type timedBody struct {
	io.ReadCloser
	timeout     time.Duration // that is allowed
	setDeadline func(time.Time) error
}

// limitBodyIdle has the reads of a request's body fail after so long without a byte.
func limitBodyIdle(w http.ResponseWriter, r *http.Request, silence time.Duration) {
	if r.ContentLength == 0 || silence <= 0 {
		return
	}
	r.Body = &timedBody{ReadCloser: r.Body, timeout: silence, setDeadline: http.NewResponseController(w).SetReadDeadline}
}

// Read implements io.Reader. The deadline is taken back after each read, since the server
// reads on behind the body to notice that the caller leaves; not after one that failed by
// it, so that the server does not wait for the rest either, and closes the connection.
func (b *timedBody) Read(data []byte) (int, error) {
	if err := b.setDeadline(time.Now().Add(b.timeout)); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(data)
	if readTimedOut(err) {
		return n, err
	}
	if failed := b.setDeadline(time.Time{}); failed != nil {
		return n, failed
	}
	return n, err
}

// readTimedOut reports whether an error says that the caller sent nothing for too long.
func readTimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

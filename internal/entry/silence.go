package entry

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// A timedBody is a caller's body whose reads fail after the caller has sent nothing for
// the timeout. The whole body may take any time, but a silent caller would hold its
// connection and a handler forever.
type timedBody struct {
	io.ReadCloser
	timeout     time.Duration // longest time without a byte
	setDeadline func(time.Time) error
}

// limitBodyIdle makes reads of the request's body fail after timeout without a byte. It
// does nothing if timeout is 0 or the request has no body.
func limitBodyIdle(w http.ResponseWriter, r *http.Request, timeout time.Duration) {
	if r.ContentLength == 0 || timeout <= 0 {
		return
	}
	r.Body = &timedBody{ReadCloser: r.Body, timeout: timeout, setDeadline: http.NewResponseController(w).SetReadDeadline}
}

// Read implements io.Reader. It clears the deadline after each read, since net/http reads
// on after the body to notice that the caller disconnects. After a read that timed out
// the deadline stays, so that net/http does not wait for the remainder of the body either
// and closes the connection.
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

// readTimedOut reports whether err means that the caller sent nothing for too long.
func readTimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// Package duplex serves requests whose answers may begin before their bodies have ended.
//
// By default net/http's server reads up to 256 KiB of what is left of a body before it writes the
// head of the answer, whoever else reads that body, and closes the body. A client that sends the
// body on to a replica meanwhile would lose these bytes. Handler therefore enables full duplex,
// with which the server leaves the body alone until the handler returns.
//
// What is left of a body then must not be taken for the next request, so an answer that begins
// before the body has ended says that its connection will be closed.
package duplex

import (
	"errors"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lingerTimeout is the longest time for which the server reads what is left of a body after its
// answer, so that the other end can receive the answer before the connection is closed.
const lingerTimeout = 500 * time.Millisecond

// errHandled is the error of reading a body whose request has its answer.
var errHandled = errors.New("the request of this body has its answer")

// An EarlyAnswer describes an answer that began before the body of its request had ended.
type EarlyAnswer struct {
	Status int
	Length int64 // Content-Length of the request, in bytes; -1 if it is unknown
	AtHead int64 // bytes of the body that had been read when the answer began
	Read   int64 // bytes that had been read when the handler returned
	Ended  bool  // the body was read to its end
	Err    error // of the last read, nil if it succeeded
}

// Handler returns a handler that serves requests with next. Reads of a request's body fail
// after idle without a byte, where 0 means no limit, and once next has returned. Handler calls
// report for each answer that began before the body had ended.
func Handler(next http.Handler, idle time.Duration, report func(*http.Request, EarlyAnswer)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		control := http.NewResponseController(w)
		if err := control.EnableFullDuplex(); err != nil {
			http.Error(w, "this protocol has no full duplex: "+err.Error(), http.StatusHTTPVersionNotSupported)
			return
		}
		b := &body{ReadCloser: r.Body, idle: idle, setReadDeadline: control.SetReadDeadline}
		out := &writer{ResponseWriter: w, body: b}
		in := new(http.Request)
		*in = *r
		in.Body = b
		defer func() {
			out.end()
			b.end()
			if r.Close && !b.ended.Load() {
				delayClose(w)
			}
			if out.early {
				report(r, EarlyAnswer{
					Status: out.status, Length: r.ContentLength, AtHead: out.atHead, Read: b.read.Load(), Ended: b.ended.Load(), Err: b.lastError(),
				})
			}
		}()
		next.ServeHTTP(out, in)
	})
}

// delayClose makes the server wait between the end of the answer and the close of the connection. Data that
// arrives at a closed connection resets it, and a client whose write fails may give up an answer that it has not
// read. The server waits by itself when it leaves part of a body unread, except after a request that closes the
// connection; it always does after a body that exceeds its limit.
func delayClose(w http.ResponseWriter) {
	exceeded := http.MaxBytesReader(w, io.NopCloser(strings.NewReader("z")), 0)
	_, _ = exceeded.Read(make([]byte, 1)) // always fails
}

// A body is the body of a request. Reads fail after the other end has sent nothing for the idle
// time. The whole body may take any time, but an end that is silent would hold its connection and
// a handler forever.
type body struct {
	io.ReadCloser
	idle            time.Duration // longest time without a byte; 0 means no limit
	setReadDeadline func(time.Time) error

	read  atomic.Int64 // bytes
	ended atomic.Bool  // io.EOF was returned
	err   atomic.Pointer[error]

	mu      sync.Mutex // held while the deadline is set
	handled bool       // the handler has returned
}

// Read implements io.Reader.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.timedRead(data)
	b.read.Add(int64(n))
	b.err.Store(&err)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// timedRead reads from the server's body within the idle time. It clears the deadline after each
// read, since the server reads on after the body to notice that the other end disconnects. After a
// read that timed out the deadline stays, so that the server does not wait for the remainder of the
// body either.
func (b *body) timedRead(data []byte) (int, error) {
	if err := b.setIdleDeadline(); err != nil {
		return 0, err
	}
	n, err := b.ReadCloser.Read(data)
	if TimedOut(err) {
		return n, err
	}
	if failed := b.clearDeadline(); failed != nil {
		return n, failed
	}
	return n, err
}

// setIdleDeadline sets the deadline of the next read. It fails if the handler has returned.
func (b *body) setIdleDeadline() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.handled {
		return errHandled
	}
	if b.idle <= 0 {
		return nil
	}
	return b.setReadDeadline(time.Now().Add(b.idle))
}

// clearDeadline clears the deadline of the last read, unless the handler has returned: the server
// has its own deadlines then.
func (b *body) clearDeadline() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.handled || b.idle <= 0 {
		return nil
	}
	return b.setReadDeadline(time.Time{})
}

// end makes further reads fail and limits the time for which the server reads what is left.
func (b *body) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handled = true
	if !b.ended.Load() {
		// If the connection is broken, the server's read fails too.
		_ = b.setReadDeadline(time.Now().Add(lingerTimeout))
	}
}

// lastError returns the error of the last read, nil if it succeeded or the body has ended.
func (b *body) lastError() error {
	if err := b.err.Load(); err != nil && !errors.Is(*err, io.EOF) {
		return *err
	}
	return nil
}

// TimedOut reports whether err means that the other end sent nothing of a body for too long.
func TimedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// A writer writes the answer to a request with a body.
type writer struct {
	http.ResponseWriter
	body *body

	status int   // 0 until the head is written
	early  bool  // the body had not ended when the head was written
	atHead int64 // bytes of the body that had been read then
}

// WriteHeader implements http.ResponseWriter.
func (w *writer) WriteHeader(status int) {
	w.begin(status)
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *writer) Write(data []byte) (int, error) {
	w.begin(http.StatusOK)
	return w.ResponseWriter.Write(data)
}

// begin records how much of the body had been read when the head of the answer is written, and
// announces that the connection will be closed if the body has not ended.
func (w *writer) begin(status int) {
	if w.status != 0 {
		return
	}
	w.status = status
	w.early = !w.body.ended.Load()
	w.atHead = w.body.read.Load()
	if w.early {
		w.Header().Set("Connection", "close")
	}
}

// end announces that too if the handler has written nothing, so that the server writes the head.
func (w *writer) end() {
	if w.status == 0 && !w.body.ended.Load() {
		w.Header().Set("Connection", "close")
	}
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (w *writer) Unwrap() http.ResponseWriter { return w.ResponseWriter }

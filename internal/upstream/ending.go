package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"time"
)

const (
	// confirmTimeout is the longest time that it may take to find out whether an upstream still runs.
	confirmTimeout = time.Second
	// closeDelay is the longest time in which a process that terminates closes all its sockets: until
	// then its listener may accept connections, which are reset when it is closed.
	closeDelay = 10 * time.Millisecond
)

// A TerminatedError means that an upstream was gone when its connection ended, so that the end of the
// connection does not show that the answer is whole.
type TerminatedError struct {
	Address string
	Err     error // of connecting to it again
}

// Error implements error.
func (e *TerminatedError) Error() string {
	return fmt.Sprintf("the answer ended with its connection and %s does not run any more: %v", e.Address, e.Err)
}

// Unwrap returns io.ErrUnexpectedEOF: the answer broke off.
func (e *TerminatedError) Unwrap() error { return io.ErrUnexpectedEOF }

// EndsWithConnection reports whether only the end of its connection shows the end of an answer's body,
// which has neither a length nor chunks.
func EndsWithConnection(resp *http.Response) bool {
	hasBody := resp.Request == nil || resp.Request.Method != http.MethodHead
	return hasBody && resp.ContentLength < 0 && !slices.Contains(resp.TransferEncoding, "chunked")
}

// ConfirmEnd makes reads of an answer that ends with its connection return a TerminatedError instead of
// io.EOF unless the upstream at address (IP:port) still runs: the connections of a process that is
// killed end as that of an answer does which is whole. All bytes of the answer are returned before.
func ConfirmEnd(ctx context.Context, resp *http.Response, address string) {
	if EndsWithConnection(resp) {
		resp.Body = &confirmedBody{ReadCloser: resp.Body, confirm: func() error { return confirmRunning(ctx, address) }}
	}
}

// A confirmedBody is the body of an answer whose end is confirmed.
type confirmedBody struct {
	io.ReadCloser
	confirm func() error
	end     error // io.EOF or the error of confirming it; nil before the end
}

// Read implements io.Reader.
func (b *confirmedBody) Read(data []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(data)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if n > 0 {
		return n, nil // the next read returns the end
	}
	b.end = err
	if failed := b.confirm(); failed != nil {
		b.end = failed
	}
	return 0, b.end
}

// confirmRunning returns a TerminatedError unless a process accepts connections at address. One that
// closes the connection at once either terminates or has too many of them, which the next one tells.
func confirmRunning(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	closed, err := connectBriefly(ctx, address)
	if err == nil && closed {
		time.Sleep(closeDelay)
		_, err = connectBriefly(ctx, address)
	}
	if err != nil {
		return &TerminatedError{Address: address, Err: err}
	}
	return nil
}

// connectBriefly connects to address and reports whether the other end closes the connection within
// closeDelay.
func connectBriefly(ctx context.Context, address string) (closed bool, err error) {
	conn, err := dialRepeatedly(ctx, address)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	if err := conn.SetReadDeadline(time.Now().Add(closeDelay)); err != nil {
		return false, err
	}
	_, err = conn.Read(make([]byte, 1))
	return err != nil && !isTimeout(err), nil
}

// dialRepeatedly connects to address, again after each timeout until the context ends: the first packet
// of a connection may be lost.
func dialRepeatedly(ctx context.Context, address string) (net.Conn, error) {
	for {
		conn, err := newDialer().DialContext(ctx, "tcp", address)
		if err == nil || !isTimeout(err) || ctx.Err() != nil {
			return conn, err
		}
	}
}

// isTimeout reports whether err means that the other end did not answer in time.
func isTimeout(err error) bool {
	var failed net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.As(err, &failed) && failed.Timeout()
}

package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/core/bounds"
)

const (
	unframedHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	// uploadPiece is a part of a request's body, in bytes.
	uploadPiece = 64 << 10
)

// answerUpload sends a request with a body without end to a server that writes an unframed answer of
// "body" and then ends it. The answer is read only once a write of the request's body has failed, or after the
// time patience, and before the transport has closed the connection. It returns what was read.
func answerUpload(t *testing.T, patience time.Duration, end func(c *net.TCPConn, in *bufio.Reader)) ([]byte, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		in := bufio.NewReader(c)
		_, _ = http.ReadRequest(in)
		_, _ = io.WriteString(c, unframedHead+"body")
		end(c.(*net.TCPConn), in)
	}()
	failed, read := make(chan struct{}), make(chan struct{})
	body, upload := io.Pipe()
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		close(failed)
		<-read
	}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.Addr().String()+"/", body)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := NewTransports().Fresh.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(upload, strings.Repeat("z", uploadPiece))
		}
	}()
	select {
	case <-failed:
	case <-time.After(patience):
	}
	data, err := io.ReadAll(resp.Body)
	close(read)
	_ = upload.Close()
	_ = resp.Body.Close()
	return data, err
}

// Guards against the beginning of an answer that looks whole because a write of the request's body got the
// error of the connection, so that the read behind it returns the end; and against a whole answer that is
// taken for such a beginning because the upload could not be written.
func TestAFailedConnectionIsNotTheEndOfAnAnswer(t *testing.T) {
	reset := func(c *net.TCPConn, _ *bufio.Reader) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	unread := func(c *net.TCPConn, in *bufio.Reader) {
		_, _ = in.Peek(in.Size())
		time.Sleep(20 * time.Millisecond) // more arrives and stays unread
		_ = c.Close()
	}
	readsNothing := func(c *net.TCPConn, _ *bufio.Reader) { t.Cleanup(func() { _ = c.Close() }) }
	half := func(c *net.TCPConn, in *bufio.Reader) {
		_ = c.CloseWrite()
		_, _ = io.Copy(io.Discard, in)
		_ = c.Close()
	}
	halfUnread := func(c *net.TCPConn, _ *bufio.Reader) {
		_ = c.CloseWrite()
		t.Cleanup(func() { _ = c.Close() })
	}
	halfThenReset := func(c *net.TCPConn, _ *bufio.Reader) {
		_ = c.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_ = c.Close() // with bytes unread, so the kernel resets the connection
	}
	const moment = 200 * time.Millisecond
	late := bounds.DialedTimeouts.Unacked + 10*time.Second
	for _, c := range []struct {
		name     string
		end      func(c *net.TCPConn, in *bufio.Reader)
		patience time.Duration
		whole    bool
	}{
		{"reset", reset, late, false},
		{"closed with bytes unread", unread, late, false},
		{"timed out", readsNothing, late, false},
		{"ended, and the upload is read", half, moment, true},
		{"ended, and the upload is not read", halfUnread, moment, true},
		{"ended, then reset", halfThenReset, late, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			data, err := answerUpload(t, c.patience, c.end)
			is.Equal(string(data), "body")
			if c.whole {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			t.Log(err)
		})
	}
}

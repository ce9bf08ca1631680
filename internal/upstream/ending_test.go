package upstream

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/internal/upstream/proxytest"
)

// readConfirmed reads an answer with this head and body, after which a server closes the connection,
// once prepared is done. Its end is confirmed at address, that of the server if "".
func readConfirmed(t *testing.T, method, head, address string, prepared func(l net.Listener)) ([]byte, error) {
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
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, head+"body")
		prepared(l)
		_ = c.Close()
	}()
	req, err := http.NewRequest(method, "http://"+l.Addr().String()+"/", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := NewTransports().Fresh.RoundTrip(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if address == "" {
		address = l.Addr().String()
	}
	ConfirmEnd(t.Context(), resp, address)
	return io.ReadAll(resp.Body)
}

// closeSoon closes a listener a moment later, as the kernel does for a process with an older connection.
func closeSoon(l net.Listener) { time.AfterFunc(closeDelay/3, func() { _ = l.Close() }) }

// closeLater closes a listener as an upstream does that terminates in order behind its last answer.
func closeLater(l net.Listener) { time.AfterFunc(5*closeDelay, func() { _ = l.Close() }) }

// acceptAndClose closes each further connection at once, as an upstream with too many does.
func acceptAndClose(l net.Listener) {
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
}

// Guards against ends of connections that are taken for ends of answers though the upstream is gone,
// and against true ends that are doubted.
func TestTheEndOfAConnectionIsConfirmed(t *testing.T) {
	const status, unframed = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\n\r\n"
	running := func(net.Listener) {}
	closed := func(l net.Listener) { _ = l.Close() }
	for name, c := range map[string]struct {
		method, head string
		prepared     func(l net.Listener)
		gone         bool
		body         string
	}{
		"it runs":                               {http.MethodGet, unframed, running, false, "body"},
		"it has too many connections":           {http.MethodGet, unframed, acceptAndClose, false, "body"},
		"its listener is closed before":         {http.MethodGet, unframed, closed, true, "body"},
		"it terminates in order":                {http.MethodGet, unframed, closeLater, false, "body"},
		"its listener is closed after":          {http.MethodGet, unframed, closeSoon, true, "body"},
		"an answer with a length":               {http.MethodGet, status + "Content-Length: 4\r\n\r\n", closed, false, "body"},
		"an answer of HTTP/1.0":                 {http.MethodGet, "HTTP/1.0 200 OK\r\n\r\n", closed, true, "body"},
		"the head alone, as requested":          {http.MethodHead, unframed, closed, false, ""},
		"a status without a body":               {http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n", closed, false, ""},
		"a status without a body, not modified": {http.MethodGet, "HTTP/1.1 304 Not Modified\r\n\r\n", closed, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			data, err := readConfirmed(t, c.method, c.head, "", c.prepared)
			var terminated *TerminatedError
			is.Equal(errors.As(err, &terminated), c.gone)
			is.Equal(Severed(err), c.gone)
			is.Equal(string(data), c.body)
		})
	}
}

// Guards against an end that is held while nothing tells whether the upstream runs.
func TestConfirmingAnEndTakesLimitedTime(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	_, err := readConfirmed(t, http.MethodGet, "HTTP/1.1 200 OK\r\n\r\n", proxytest.Unresponsive(t), func(net.Listener) {})
	var terminated *TerminatedError
	is.True(errors.As(err, &terminated))
	is.True(time.Since(start) < 2*confirmTimeout)
}

// Guards against a whole answer that is taken for a part because the first packet of the connection that
// confirms its end was lost.
func TestAnEndIsConfirmedOverALinkThatHangs(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	link := proxytest.NewLink(t, l.Addr().String())
	link.SetFault(proxytest.LinkHangs)
	time.AfterFunc(confirmTimeout/2, func() { link.SetFault(proxytest.LinkWorks) })
	data, err := readConfirmed(t, http.MethodGet, "HTTP/1.1 200 OK\r\n\r\n", link.Address(), func(net.Listener) {})
	is.NoErr(err)
	is.Equal(string(data), "body")
}

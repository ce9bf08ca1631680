package upstream

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestUnreadHeadersAreReportedOnce checks that an unread header is reported once, without its
// value, whatever its case and on whichever transport, and that standard and known headers
// are not reported.
func TestUnreadHeadersAreReportedOnce(t *testing.T) {
	is := is.New(t)
	var reported []string
	counted := 0
	u := NewUnreadHeaderDetector(func(name string) { reported = append(reported, name) }, func() { counted++ })
	u.AddKnown([]string{"server-stamp", ""})
	address := serveHeaders(t, "Date: x\r\nserver-stamp: 1\r\nsome-word: secret\r\n")
	transports := u.Wrap(NewTransports())
	for _, transport := range []http.RoundTripper{transports.Reused, transports.Fresh, transports.Abrupt, transports.For(false)} {
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
		is.NoErr(err)
		resp, err := transport.RoundTrip(req)
		is.NoErr(err)
		_ = resp.Body.Close()
	}
	is.Equal(reported, []string{"Some-Word"})
	is.Equal(counted, 4)
}

// TestUnreadHeadersAreBounded checks that the number and the length of reported names are
// bounded, so that they fill neither the log nor memory.
func TestUnreadHeadersAreBounded(t *testing.T) {
	is := is.New(t)
	var reported []string
	counted := 0
	u := NewUnreadHeaderDetector(func(name string) { reported = append(reported, name) }, func() { counted++ })
	u.Inspect(http.Header{strings.Repeat("N", 5000): {"v"}})
	is.Equal(reported, []string{strings.Repeat("N", maxUnreadNameLength)})
	for i := range 10 * maxUnreadNames {
		u.Inspect(http.Header{fmt.Sprintf("Name-%d", i): {"v"}})
	}
	is.Equal(len(reported), maxUnreadNames)
	is.Equal(len(u.reported), maxUnreadNames)
	is.Equal(counted, 10*maxUnreadNames+1)
	u.Inspect(http.Header{"Date": {"v"}, "Server-Timing": {"v"}})
	is.Equal(counted, 10*maxUnreadNames+1)
}

// serveHeaders starts a server that answers every request with the given header lines and
// returns its address.
func serveHeaders(t *testing.T, lines string) string {
	t.Helper()
	return serve(t, func(c *net.TCPConn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+lines+"Content-Length: 0\r\nConnection: close\r\n\r\n")
		_ = c.Close()
	})
}

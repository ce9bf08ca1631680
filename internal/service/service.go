// Package service provides the adapter for plain services: one HTTP call out,
// its answer's body left open for streaming.
package service

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/gravitational/trace"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// A Client sends calls to plain services.
type Client struct{ transports upstream.Transports }

// NewClient returns a client over the transports.
func NewClient(t upstream.Transports) *Client { return &Client{transports: t} }

// A Call is one call on its way out.
type Call struct {
	Address string // IP:port
	Host    string // of the caller's request; "" for the address
	Method  string
	Path    string
	Query   string // raw
	// Target is the caller's request target, byte for byte. It stands in for
	// Path and Query where it is set.
	Target     string
	Header     http.Header
	Body       io.ReadCloser
	Length     int64 // -1 if unknown
	Repeatable bool
}

// A RefusedError says that the upstream itself said that it did not run the
// call and never will.
type RefusedError struct {
	Status  int
	Leaving bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the upstream answered %d and says that it did not run the call", e.Status)
}

// Send makes one attempt; progress notes how far it came, also on error. The
// caller closes the answer's body.
func (c *Client) Send(ctx context.Context, call Call, progress *upstream.Progress) (*http.Response, error) {
	resp, err := c.RoundTrip(ctx, call, progress)
	if err != nil {
		return nil, err
	}
	if resp.Header.Get(upstream.HeaderRun) == "not_run" {
		progress.Advance(attempt.Refused)
		_ = resp.Body.Close() // its content is not passed on
		return nil, &RefusedError{
			Status:  resp.StatusCode,
			Leaving: resp.Header.Get(upstream.HeaderLeaving) == "true",
		}
	}
	progress.Advance(attempt.Answered)
	return resp, nil
}

// RoundTrip makes one attempt and returns whatever answer came; reading it is
// the caller's. progress notes how far it came while there was none.
func (c *Client) RoundTrip(ctx context.Context, call Call, progress *upstream.Progress) (*http.Response, error) {
	req, err := http.NewRequestWithContext(progress.TraceContext(ctx), call.Method, "http://"+call.Address+"/", call.body())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.URL = call.url()
	req.Host = call.Host
	req.Header = call.Header
	if _, named := req.Header["User-Agent"]; !named {
		req.Header["User-Agent"] = []string{""} // or net/http adds one of its own
	}
	req.ContentLength = call.Length
	req.GetBody = nil
	resp, err := c.transports.For(call.Repeatable).RoundTrip(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return resp, nil
}

// url returns where the call goes, with the caller's own spelling of the path.
func (c Call) url() *url.URL {
	u := &url.URL{Scheme: "http", Host: c.Address, Path: c.Path, RawQuery: c.Query}
	if c.Target == "" {
		return u
	}
	path, query, asked := strings.Cut(c.Target, "?")
	u.RawQuery = query
	u.ForceQuery = asked
	if strings.HasPrefix(path, "//") {
		// An opaque part that begins so would be taken for a host.
		u.Path, _ = url.PathUnescape(path) // checked when the request was read
		u.RawPath = path
		return u
	}
	u.Opaque = path
	return u
}

// body returns the body to send. A method that usually has none must not be
// given http.NoBody: net/http takes that for leave to send the request again.
func (c Call) body() io.ReadCloser {
	if c.Length != 0 {
		return c.Body
	}
	switch c.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return io.NopCloser(strings.NewReader(""))
	}
	return http.NoBody
}

// hopByHopHeaders are the headers that end at each connection (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEndHeaders returns a copy of the headers without those of one connection, the
// ones that Connection names included.
func EndToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

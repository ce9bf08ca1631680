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
	Address    string // IP:port
	Method     string
	Path       string
	Query      string // raw
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
	target := url.URL{Scheme: "http", Host: call.Address, Path: call.Path, RawQuery: call.Query}
	body := call.Body
	if call.Length == 0 {
		body = http.NoBody
	}
	req, err := http.NewRequestWithContext(progress.Watch(ctx), call.Method, target.String(), body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header = call.Header
	req.ContentLength = call.Length
	req.GetBody = nil
	resp, err := c.transports.For(call.Repeatable).RoundTrip(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.Header.Get(upstream.HeaderRun) == "not_run" {
		progress.Reach(attempt.Refused)
		_ = resp.Body.Close() // its content is not passed on
		return nil, &RefusedError{
			Status:  resp.StatusCode,
			Leaving: resp.Header.Get(upstream.HeaderLeaving) == "true",
		}
	}
	progress.Reach(attempt.Answered)
	return resp, nil
}

// hopByHop are the headers that end at each connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the headers without those of one connection, the
// ones that Connection names included.
func EndToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		out.Del(name)
	}
	return out
}

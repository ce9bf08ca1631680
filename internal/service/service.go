// Package service sends HTTP calls to plain services and returns their answers with
// the body left open for streaming.
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
type Client struct {
	transports upstream.Transports
	maxAnswer  int64 // largest body of an answer, in bytes
}

// NewClient returns a client that uses the given transports and takes answers of at most maxAnswer
// bytes.
func NewClient(t upstream.Transports, maxAnswer int64) *Client {
	return &Client{transports: t, maxAnswer: maxAnswer}
}

// A Call is an outgoing call.
type Call struct {
	Address string // IP:port
	Host    string // Host header of the caller's request; "" for the address
	Method  string
	Path    string
	Query   string // encoded, without "?"
	// Target is the caller's request target, byte for byte. If set, it replaces Path
	// and Query.
	Target     string
	Header     http.Header
	Body       io.ReadCloser
	Length     int64 // -1 if unknown
	Repeatable bool
}

// A RefusedError means that the upstream stated that it did not run the call and never
// will.
type RefusedError struct {
	Status  int
	Leaving bool
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the upstream answered %d and says that it did not run the call", e.Status)
}

// Send makes one attempt and records its phase in progress, also on error. It returns a
// RefusedError if the upstream did not run the call. The caller must close the answer's
// body.
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

// RoundTrip makes one attempt and returns the answer, whatever it is. The caller must
// interpret it and close its body. Up to the answer, progress records the phase. Both RoundTrip
// and reads of the body return an upstream.LimitError if the upstream exceeds a limit. An answer that ends
// with its connection is whole only if the upstream still runs; otherwise reads return an
// upstream.TerminatedError.
func (c *Client) RoundTrip(ctx context.Context, call Call, progress *upstream.Progress) (*http.Response, error) {
	req, err := http.NewRequestWithContext(progress.TraceContext(ctx), call.Method, "http://"+call.Address+"/", call.body())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.URL = call.url()
	req.Host = call.Host
	req.Header = call.Header
	if _, hasUserAgent := req.Header["User-Agent"]; !hasUserAgent {
		req.Header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	req.ContentLength = call.Length
	req.GetBody = nil
	resp, err := c.transports.For(call.Repeatable).RoundTrip(req)
	if err == nil {
		err = upstream.LimitBody(resp, c.maxAnswer)
	}
	if err != nil {
		return nil, trace.Wrap(err)
	}
	upstream.ConfirmEnd(ctx, resp, call.Address)
	return resp, nil
}

// url returns the call's URL, with the caller's own encoding of the path.
func (c Call) url() *url.URL {
	u := &url.URL{Scheme: "http", Host: c.Address, Path: c.Path, RawQuery: c.Query}
	if c.Target == "" {
		return u
	}
	path, query, hasQuery := strings.Cut(c.Target, "?")
	u.RawQuery = query
	u.ForceQuery = hasQuery
	if strings.HasPrefix(path, "//") {
		// net/http would take an opaque part that begins with // for a host.
		u.Path, _ = url.PathUnescape(path) // checked when the request was read
		u.RawPath = path
		return u
	}
	u.Opaque = path
	return u
}

// body returns the body to send. For methods that usually have no body it avoids
// http.NoBody, because net/http would then consider the request safe to retry.
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

// hopByHopHeaders are the headers that apply to a single connection only (RFC 9110, 7.6.1), and Expect:
// this instance meets the caller's expectation itself, and with that header net/http's transport may withhold
// the body from an upstream whose answer begins before it.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect",
}

// EndToEndHeaders returns a copy of h without the hop-by-hop headers, which include those
// that the Connection header names.
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

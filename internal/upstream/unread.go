package upstream

import (
	"net/http"
	"sync"
)

// An UnreadHeaderDetector finds answer headers that the instance does not read and that are
// not standard, so that a new header of replicas or of the platform's store is noticed on
// the first day on which it is used. It is safe for concurrent use.
type UnreadHeaderDetector struct {
	// Report is called once with each such name; values are never reported.
	Report func(name string)
	// Count is called for each answer that has such headers.
	Count func()

	mu       sync.Mutex
	known    map[string]bool
	reported map[string]bool
}

const (
	// maxUnreadNames is the largest number of names that are reported, so that names which
	// differ from answer to answer do not fill the log; see docs/OPERATIONS.md.
	maxUnreadNames = 32
	// maxUnreadNameLength is the length in bytes to which reported names are truncated; see
	// docs/OPERATIONS.md.
	maxUnreadNameLength = 64
)

// standardHeaders are the names of answer headers that are defined by standards or in common
// use by servers, proxies and browsers.
var standardHeaders = []string{
	"Accept-Ch", "Accept-Patch", "Accept-Post", "Accept-Ranges", "Access-Control-Allow-Credentials",
	"Access-Control-Allow-Headers", "Access-Control-Allow-Methods", "Access-Control-Allow-Origin",
	"Access-Control-Expose-Headers", "Access-Control-Max-Age", "Age", "Allow", "Alt-Svc", "Authentication-Info",
	"Cache-Control", "Cache-Status", "Clear-Site-Data", "Connection", "Content-Disposition", "Content-Encoding",
	"Content-Language", "Content-Length", "Content-Location", "Content-Range", "Content-Security-Policy", "Content-Type",
	"Cross-Origin-Embedder-Policy", "Cross-Origin-Opener-Policy", "Cross-Origin-Resource-Policy", "Date", "Deprecation",
	"Digest", "Etag", "Expires", "Keep-Alive", "Last-Modified", "Link", "Location", "Nel", "Permissions-Policy", "Pragma",
	"Priority", "Proxy-Authenticate", "Proxy-Authentication-Info", "Proxy-Status", "Referrer-Policy", "Refresh",
	"Report-To", "Reporting-Endpoints", "Repr-Digest", "Retry-After", "Server", "Server-Timing", "Set-Cookie",
	"Sourcemap", "Strict-Transport-Security", "Sunset", "Te", "Timing-Allow-Origin", "Trace", "Traceparent", "Tracestate",
	"Trailer", "Transfer-Encoding", "Upgrade", "Vary", "Via", "Want-Digest", "Warning", "Www-Authenticate",
	"X-Content-Type-Options", "X-Frame-Options", "X-Powered-By", "X-Xss-Protection",
}

// NewUnreadHeaderDetector returns a detector that knows the standard headers.
func NewUnreadHeaderDetector(report func(name string), count func()) *UnreadHeaderDetector {
	u := &UnreadHeaderDetector{Report: report, Count: count, known: map[string]bool{}, reported: map[string]bool{}}
	u.AddKnown(standardHeaders)
	return u
}

// AddKnown adds names of headers that are read or known to be unneeded.
func (u *UnreadHeaderDetector) AddKnown(names []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, name := range names {
		u.known[http.CanonicalHeaderKey(name)] = true
	}
}

// Inspect checks the names of an answer's headers.
func (u *UnreadHeaderDetector) Inspect(h http.Header) {
	found := false
	for name := range h {
		if len(name) > maxUnreadNameLength {
			name = name[:maxUnreadNameLength]
		}
		if u.inspectName(name) {
			found = true
		}
	}
	if found {
		u.Count()
	}
}

// inspectName reports whether a name is unread, and calls Report the first time it sees it.
func (u *UnreadHeaderDetector) inspectName(name string) bool {
	u.mu.Lock()
	known := u.known[name]
	first := !known && !u.reported[name] && len(u.reported) < maxUnreadNames
	if first {
		u.reported[name] = true
	}
	u.mu.Unlock()
	if first {
		u.Report(name)
	}
	return !known
}

// Wrap returns transports whose answers are inspected.
func (u *UnreadHeaderDetector) Wrap(t Transports) Transports {
	return Transports{
		Reused: inspectedTransport{t.Reused, u},
		Fresh:  inspectedTransport{t.Fresh, u},
		Abrupt: inspectedTransport{t.Abrupt, u},
	}
}

// An inspectedTransport is a transport whose answers are inspected by the detector.
type inspectedTransport struct {
	http.RoundTripper
	detector *UnreadHeaderDetector
}

// RoundTrip implements http.RoundTripper.
func (t inspectedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.RoundTripper.RoundTrip(req)
	if err == nil {
		t.detector.Inspect(resp.Header)
	}
	return resp, err
}

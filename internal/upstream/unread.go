package upstream

import (
	"net/http"
	"sync"
)

// An UnreadHeaderDetector finds the headers of answers that nothing here reads and no standard names,
// so that a new word of replicas, or of the platform's store, is seen on the first day
// on which it comes. It is safe for concurrent use.
type UnreadHeaderDetector struct {
	// Report is told of each such name once; values are never told.
	Report func(name string)
	// Count is told of each answer that has some.
	Count func()

	mu       sync.Mutex
	known    map[string]bool
	reported map[string]bool
}

const (
	// maxUnreadNames bounds how many names are reported, so that names which differ from
	// answer to answer fill no log: docs/OPERATIONS.md.
	maxUnreadNames = 32
	// maxUnreadNameLength bounds a reported name, in bytes: docs/OPERATIONS.md.
	maxUnreadNameLength = 64
)

// standardHeaders are names of answers' headers that standards give a meaning, or that
// servers, proxies and browsers use among themselves.
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

// NewUnreadHeaderDetector returns one that has seen no answer and knows the standard names.
func NewUnreadHeaderDetector(report func(name string), count func()) *UnreadHeaderDetector {
	u := &UnreadHeaderDetector{Report: report, Count: count, known: map[string]bool{}, reported: map[string]bool{}}
	u.AddKnown(standardHeaders)
	return u
}

// AddKnown adds names that are read, or that need no reading.
func (u *UnreadHeaderDetector) AddKnown(names []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, name := range names {
		u.known[http.CanonicalHeaderKey(name)] = true
	}
}

// Inspect goes over the names of an answer's headers.
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

// inspectName reports whether nothing reads a name, and tells of it for the first time.
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

// Wrap returns transports whose answers are looked over.
func (u *UnreadHeaderDetector) Wrap(t Transports) Transports {
	return Transports{
		Reused: inspectedTransport{t.Reused, u},
		Fresh:  inspectedTransport{t.Fresh, u},
		Abrupt: inspectedTransport{t.Abrupt, u},
	}
}

// An inspectedTransport is a transport whose answers are looked over.
type inspectedTransport struct {
	http.RoundTripper
	detector *UnreadHeaderDetector
}

// RoundTrip implements http.RoundTripper.
func (o inspectedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := o.RoundTripper.RoundTrip(req)
	if err == nil {
		o.detector.Inspect(resp.Header)
	}
	return resp, err
}

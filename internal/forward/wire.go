// Package forward provides the wire format of forwarded calls: which headers carry
// a call's ID, its deadline and its requirements on a model, and how a replica's
// answer is read.
//
// A forwarded call's method, path, query and body are passed on unchanged, so
// everything that this system reads or adds is in headers. A WireFormat names them.
// OwnFormat is that of the product itself; an environment with other names supplies
// its own WireFormat, and nothing else changes.
package forward

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/birchdrift/birchdrift/internal/upstream"
)

// A WireFormat names the headers of forwarded calls. An empty name is a header that
// the environment does not have.
type WireFormat struct {
	CallID      string // the caller's ID of the call, echoed in answers
	Deadline    string // milliseconds that the caller will wait, or that are left
	Model       string // MODEL or MODEL/ADAPTER
	Tokens      string // PROMPT,MAX-OUTPUT token counts
	Parts       string // ID:TOKENS, separated by commas; IDs in hex
	LengthHint  string // the caller's estimate of the output tokens
	LastEvent   string // number of the last event that the caller has
	Resumes     string // the ID of the call that brought the first event of a stream that goes on
	Signature   string // a replica's signature on its answer
	Expect      string // identity of the replica that must answer
	Incarnation string // identity of the replica that answered
	NotRun      string // a replica's statement that it did not run the call
	Priority    string // 0 to 9; 0 is the most urgent
	RetryAfter  string // seconds, with fractions; in refusals by this system and by replicas
	Leaving     string // a replica's statement that it is leaving
	RateLimit   string // requests per second that a replica accepts from all instances together
	// RejectionLimit is the number of requests that each replica of a service can reject within
	// a second without failing.
	RejectionLimit string
	Misdirected    int    // status of a replica that is not the expected one
	StreamType     string // content type of an event stream
	// Reserved are request headers that only this system may set. A replica
	// acts on them, so a caller's are not passed on.
	Reserved []string
	// Unneeded are answer headers that this package does not read: other code reads them
	// or they are of no use.
	Unneeded []string
	// Store are the headers in the store's answers that its client reads.
	Store []string
}

// AnswerHeaders returns the names of the answer headers that are read or known to be
// unneeded.
func (w WireFormat) AnswerHeaders() []string {
	replicas := []string{w.CallID, w.Signature, w.Incarnation, w.NotRun, w.RetryAfter, w.Leaving, w.RateLimit, w.RejectionLimit}
	return slices.Concat(replicas, w.Unneeded, w.Store)
}

// OwnFormat is the wire format of the product's own environment.
var OwnFormat = WireFormat{
	CallID:         "Birchdrift-Call",
	Deadline:       "Birchdrift-Deadline",
	Model:          "Birchdrift-Model",
	Tokens:         "Birchdrift-Tokens",
	Parts:          "Birchdrift-Prefix",
	LengthHint:     "Birchdrift-Length-Hint",
	LastEvent:      "Last-Event-Id",
	Resumes:        "Birchdrift-Resumes",
	Signature:      "Birchdrift-Signature",
	Expect:         "Birchdrift-Expect",
	Incarnation:    "Birchdrift-Incarnation",
	NotRun:         "Birchdrift-Not-Run",
	Priority:       "Birchdrift-Priority",
	RetryAfter:     "Retry-After",
	Leaving:        upstream.HeaderLeaving,
	RateLimit:      "Birchdrift-Rate-Limit",
	RejectionLimit: "Birchdrift-Rejection-Limit",
	Misdirected:    http.StatusMisdirectedRequest,
	StreamType:     "text/event-stream",
	Unneeded:       []string{upstream.HeaderRun},
}

// A PromptPart is one shared part of a prompt.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// A Request holds the parsed headers of a call.
type Request struct {
	CallID       string
	Deadline     time.Duration // 0 if none was given
	Model        string
	Adapter      string
	PromptTokens int
	MaxTokens    int
	LengthHint   int
	Parts        []PromptPart
	LastEvent    int // 0 if the caller has none
	// Resumes is the ID of the call that brought the first event of the stream, "" if the caller
	// names none.
	Resumes string
	// Ignored names the headers that cannot be parsed and count as absent. They only
	// influence decisions, so the call is served without them.
	Ignored []string
}

// Limits of the values of headers: the deadline, the number of prompt parts and the
// number of tokens.
const (
	maxDeadline = 24 * time.Hour
	maxParts    = 64
	maxTokens   = 1 << 24
)

// ReadRequest parses a call's headers. It fails only for an invalid deadline; the error
// names the header.
func (w WireFormat) ReadRequest(h http.Header) (Request, error) {
	r := Request{CallID: h.Get(w.CallID), Resumes: h.Get(w.Resumes)}
	r.Model, r.Adapter, _ = strings.Cut(h.Get(w.Model), "/")
	if v := h.Get(w.Deadline); v != "" {
		ms, err := strconv.ParseFloat(v, 64)
		if err != nil || ms < 0 || ms > float64(maxDeadline/time.Millisecond) {
			return r, fmt.Errorf("header %s: %q is no number of milliseconds", w.Deadline, v)
		}
		r.Deadline = time.Duration(ms * float64(time.Millisecond))
	}
	r.readTokens(w, h)
	r.LengthHint = r.parseCount(w.LengthHint, h.Get(w.LengthHint))
	r.LastEvent = r.parseCount(w.LastEvent, h.Get(w.LastEvent))
	r.readParts(w.Parts, h.Get(w.Parts))
	return r, nil
}

func (r *Request) readTokens(w WireFormat, h http.Header) {
	v := h.Get(w.Tokens)
	if v == "" {
		return
	}
	prompt, out, _ := strings.Cut(v, ",")
	r.PromptTokens = r.parseCount(w.Tokens, prompt)
	r.MaxTokens = r.parseCount(w.Tokens, out)
}

// parseCount parses a count. An invalid one counts as absent: it returns 0 and adds the
// header to the ignored ones.
func (r *Request) parseCount(header, v string) int {
	if v == "" {
		return 0
	}
	n, err := strconv.Atoi(strings.TrimSpace(v))
	if err != nil || n < 0 || n > maxTokens {
		r.addIgnored(header)
		return 0
	}
	return n
}

func (r *Request) addIgnored(header string) {
	if !slices.Contains(r.Ignored, header) {
		r.Ignored = append(r.Ignored, header)
	}
}

// readParts parses the shared parts of a prompt up to the first invalid one.
func (r *Request) readParts(header, v string) {
	if v == "" {
		return
	}
	for _, field := range strings.Split(v, ",") {
		id, count, ok := strings.Cut(strings.TrimSpace(field), ":")
		n, err := strconv.ParseUint(id, 16, 64)
		if !ok || err != nil || len(r.Parts) == maxParts {
			r.addIgnored(header)
			return
		}
		r.Parts = append(r.Parts, PromptPart{ID: n, Tokens: r.parseCount(header, count)})
	}
}

// AttemptHeaders are the values of the headers that this system adds to a call before it
// sends it to a replica.
type AttemptHeaders struct {
	Expect    string        // identity of the replica
	Left      time.Duration // time until the caller's deadline; 0 if there is none
	Priority  int           // -1 leaves the header out
	LastEvent int           // number of the last event that was delivered, 0 if none
}

// SetHeaders replaces the caller's headers by those of an attempt and removes the ones
// that a caller may not set.
func (w WireFormat) SetHeaders(h http.Header, a AttemptHeaders) {
	for _, name := range w.Reserved {
		h.Del(name)
	}
	setHeader(h, w.Expect, a.Expect)
	if a.Left > 0 {
		setHeader(h, w.Deadline, strconv.FormatInt(max(1, a.Left.Milliseconds()), 10))
	}
	if a.Priority >= 0 {
		setHeader(h, w.Priority, strconv.Itoa(a.Priority))
	}
	if a.LastEvent > 0 {
		setHeader(h, w.LastEvent, strconv.Itoa(a.LastEvent))
	}
}

func setHeader(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// A Reply holds the information in the status and headers of a replica's answer.
type Reply struct {
	NotRun      bool // the replica did not run the call and never will
	Misdirected bool // another replica has the address, or the model is not loaded there
	Incarnation string
	Mismatched  bool // the answer belongs to another call
	Invalid     bool // the answer must not be passed on
	Success     bool // the status is one of 200 to 299
	Stream      bool // the answer is a success and an event stream
}

// ReadReply reads status and headers of a replica's answer to the call with this ID.
func (w WireFormat) ReadReply(resp *http.Response, callID string) Reply {
	r := Reply{
		NotRun:      w.NotRun != "" && resp.Header.Get(w.NotRun) != "",
		Misdirected: resp.StatusCode == w.Misdirected,
		Incarnation: resp.Header.Get(w.Incarnation),
		Success:     resp.StatusCode >= 200 && resp.StatusCode < 300,
	}
	r.Stream = r.Success && w.StreamType != "" && strings.HasPrefix(resp.Header.Get("Content-Type"), w.StreamType)
	r.NotRun = r.NotRun || r.Misdirected
	if echoed := resp.Header.Get(w.CallID); callID != "" && echoed != "" && echoed != callID {
		r.Mismatched = true
	}
	// If the format has signatures, a success must be signed and have no Content-Encoding.
	// If the call has an ID, a success must also echo it.
	if r.Success && (w.Signature == "" || resp.Header.Get(w.Signature) == "" || resp.Header.Get("Content-Encoding") != "") {
		r.Invalid = w.Signature != ""
	}
	if r.Success && callID != "" && resp.Header.Get(w.CallID) == "" {
		r.Invalid = true
	}
	if resp.StatusCode < http.StatusOK { // no status of a final answer
		r.Invalid = true
	}
	return r
}

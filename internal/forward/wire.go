// Package forward provides the wording of forwarded calls: which headers carry
// a call's identity, its deadline and what it asks of a model, and how a
// replica's answer is read.
//
// The idea: a forwarded call's method, path, query and body stay as they are,
// so all that this system reads and adds stands in headers. A Wire names them.
// Own is the product's own naming; an environment with other names supplies a
// Wire of its own, and nothing else changes.
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
	CallID      string // the caller's identity of the call, echoed in answers
	Deadline    string // milliseconds that the caller will wait, or that are left
	Model       string // MODEL or MODEL/ADAPTER
	Tokens      string // PROMPT,MOST-OUT
	Parts       string // ID:TOKENS by commas; IDs in hex
	LengthHint  string // the caller's guess of the tokens out
	LastEvent   string // number of the last event that the caller has
	Signature   string // a replica's signature on its answer
	Expect      string // identity of the replica that must answer
	Incarnation string // identity of the replica that did answer
	NotRun      string // a replica's statement that it did not run the call
	Priority    string // 0 to 9, 0 first
	RetryAfter  string // seconds, with fractions; of this system's refusals and of replicas'
	Leaving     string // a replica's statement that it leaves
	RateLimit   string // requests a second that a replica takes from all instances together
	Misdirected int    // status of a replica that is not the expected one
	StreamType  string // content type of a series of events
	// Reserved are request headers that only this system may set. A replica
	// acts on them, so a caller's are not passed on.
	Reserved []string
	// Unneeded are headers of answers that need no reading here: others read them, or
	// what they say is of no use.
	Unneeded []string
	// Store are the headers of the store's answers that its client reads.
	Store []string
}

// AnswerHeaders returns the headers of answers that are read, or need not be.
func (w WireFormat) AnswerHeaders() []string {
	replicas := []string{w.CallID, w.Signature, w.Incarnation, w.NotRun, w.RetryAfter, w.Leaving, w.RateLimit}
	return slices.Concat(replicas, w.Unneeded, w.Store)
}

// OwnFormat is the product's own reporting.
var OwnFormat = WireFormat{
	CallID:      "Birchdrift-Call",
	Deadline:    "Birchdrift-Deadline",
	Model:       "Birchdrift-Model",
	Tokens:      "Birchdrift-Tokens",
	Parts:       "Birchdrift-Prefix",
	LengthHint:  "Birchdrift-Length-Hint",
	LastEvent:   "Last-Event-Id",
	Signature:   "Birchdrift-Signature",
	Expect:      "Birchdrift-Expect",
	Incarnation: "Birchdrift-Incarnation",
	NotRun:      "Birchdrift-Not-Run",
	Priority:    "Birchdrift-Priority",
	RetryAfter:  "Retry-After",
	Leaving:     upstream.HeaderLeaving,
	RateLimit:   "Birchdrift-Rate-Limit",
	Misdirected: http.StatusMisdirectedRequest,
	StreamType:  "text/event-stream",
	Unneeded:    []string{upstream.HeaderRun},
}

// A PromptPart is one shared part of a prompt.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// A Request is what the headers of a call say.
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
	// Ignored names the headers that make no sense and count as absent. They
	// only steer decisions, so the call itself is none the worse for it.
	Ignored []string
}

// Bounds of what a header may hold.
const (
	maxDeadline = 24 * time.Hour
	maxParts    = 64
	maxTokens   = 1 << 24
)

// ReadRequest reads a call's headers. An error names the header that makes no sense.
func (w WireFormat) ReadRequest(h http.Header) (Request, error) {
	r := Request{CallID: h.Get(w.CallID)}
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

// parseCount reads a number; one that makes no sense counts as absent.
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

// readParts reads the shared parts of a prompt, as far as they make sense.
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

// An AttemptHeaders is what this system adds to a call on its way to a replica.
type AttemptHeaders struct {
	Expect    string        // identity of the replica
	Left      time.Duration // of the caller's deadline; 0 if there is none
	Priority  int           // -1 leaves the header out
	LastEvent int           // number of the last event that was delivered, 0 if none
}

// SetHeaders writes an attempt's headers over the caller's, and drops those that a
// caller may not set.
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

// A Reply is what the head of a replica's answer says.
type Reply struct {
	NotRun      bool // the replica did not run the call and never will
	Misdirected bool // another replica has the address, or the model is not there
	Incarnation string
	Mismatched  bool // it answers another call
	Invalid     bool // it is not an answer that may be passed on
	Stream      bool // it is a series of events
}

// ReadReply reads the head of a replica's answer to the call with this identity.
func (w WireFormat) ReadReply(resp *http.Response, callID string) Reply {
	r := Reply{
		NotRun:      w.NotRun != "" && resp.Header.Get(w.NotRun) != "",
		Misdirected: resp.StatusCode == w.Misdirected,
		Incarnation: resp.Header.Get(w.Incarnation),
		Stream:      w.StreamType != "" && strings.HasPrefix(resp.Header.Get("Content-Type"), w.StreamType),
	}
	r.NotRun = r.NotRun || r.Misdirected
	if echoed := resp.Header.Get(w.CallID); callID != "" && echoed != "" && echoed != callID {
		r.Mismatched = true
	}
	success := resp.StatusCode >= 200 && resp.StatusCode < 300
	if success && (w.Signature == "" || resp.Header.Get(w.Signature) == "" || resp.Header.Get("Content-Encoding") != "") {
		r.Invalid = w.Signature != ""
	}
	if success && callID != "" && resp.Header.Get(w.CallID) == "" {
		r.Invalid = true
	}
	return r
}

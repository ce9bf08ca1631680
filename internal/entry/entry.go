// Package entry serves callers: it takes in forwarded calls, and hands those of
// the product's own interface on to package modelapi.
//
// A handler decides nothing. It reads the call, brings it to the machine
// through package shell, and then does what the machine says, one action at a
// time, until the call has its final answer: Dispatch sends an attempt, Finish
// refuses.
//
// Invariants: a caller gets the whole answer or can tell that it has not: a
// handler never returns normally from a cut answer, because net/http would end
// the chunked body properly and the cut would look like an end; it aborts the
// connection, after an error event where the answer is an event stream.
package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/step"
	"github.com/birchdrift/birchdrift/internal/forward"
	"github.com/birchdrift/birchdrift/internal/service"
	"github.com/birchdrift/birchdrift/internal/shell"
	"github.com/birchdrift/birchdrift/internal/telemetry"
)

// A Handler serves callers.
type Handler struct {
	Shell   *shell.Shell
	Service *service.Client
	Metrics *telemetry.Metrics
	Tracer  *telemetry.Tracer
	Wire    forward.WireFormat // how forwarded calls are worded
	// Silence is for how long a caller may send nothing within a body; 0: without limit.
	Silence time.Duration
	// Own serves the calls that no route forwards; nil where every call is a
	// forwarded one.
	Own http.Handler

	lastID atomic.Uint64
}

// Routes returns the callers' HTTP handler.
func (h *Handler) Routes() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		limitBodyIdle(w, r, h.Silence)
		if h.isForwarded(r) {
			h.serveForwarded(w, r)
			return
		}
		h.Own.ServeHTTP(w, r)
	})
}

// isForwarded reports whether the call is a forwarded one.
func (h *Handler) isForwarded(r *http.Request) bool {
	if h.Own == nil {
		return true
	}
	cfg := h.Shell.Config()
	if !cfg.HasForwards() {
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	_, ok := cfg.Forward(r.Host, path)
	return ok
}

// NextID returns an identity for a call.
func (h *Handler) NextID() calls.ID { return calls.ID(h.lastID.Add(1)) }

// WriteJSON writes an answer of this system's own.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone, which its own connection tells it.
	_ = json.NewEncoder(w).Encode(v)
}

// An ErrorBody is a refusal on the wire.
type ErrorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    int           `json:"code"`
	Name    string        `json:"name"`
	Message string        `json:"message"`
	Run     code.RunState `json:"run"`
}

// NewErrorBody returns a refusal as it stands on the wire.
func NewErrorBody(r code.Refusal) ErrorBody {
	info := code.Lookup(r.Code)
	message := info.Meaning
	if r.Detail != "" {
		message += " " + r.Detail
	}
	return ErrorBody{Error: errorDetail{Code: int(r.Code), Name: info.Name, Message: message, Run: r.Run}}
}

// CallHandlers are what a kind of call does at each action of the machine.
type CallHandlers struct {
	// Waited is told after each wait for an action; nil if nobody needs to know.
	Waited func()
	// Attempt carries out one Dispatch and reports whether the call is over.
	Attempt func(d calls.Dispatch) bool
	// Finish gives the caller the machine's final answer, Relay the replica's own
	// failing one; Relay is nil where the machine never asks for it.
	Finish func(r code.Refusal)
	Relay  func()
	// Gone deals with a caller that is gone.
	Gone func()
}

// HandleActions does what the machine says until the call is over or its caller gone.
func HandleActions(ctx context.Context, s shell.Session, do CallHandlers) {
	for {
		a, ok := nextAction(ctx, s)
		if do.Waited != nil {
			do.Waited()
		}
		if !ok {
			do.Gone()
			return
		}
		switch act := a.(type) {
		case calls.Finish:
			do.Finish(act.Refusal)
			return
		case calls.Relay:
			do.Relay()
			return
		case calls.Dispatch:
			if do.Attempt(act) {
				return
			}
		}
	}
}

// nextAction waits for the machine's next action for a call; ok is false once the
// caller is gone.
func nextAction(ctx context.Context, s shell.Session) (a step.Action, ok bool) {
	select {
	case a := <-s.Actions:
		return a, true
	case <-ctx.Done():
		return nil, false
	}
}

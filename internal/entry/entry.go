// Package entry serves callers: it handles forwarded calls itself and passes calls
// of the product's own interface to package modelapi.
//
// A handler makes no decisions. It reads the call, submits it to the state machine
// through package shell, and carries out the machine's actions one at a time until
// the call has its final answer: Dispatch sends an attempt, Finish refuses the call.
//
// Invariant: a caller either gets the whole answer or can tell that it did not. A
// handler therefore never returns normally from a truncated answer, because net/http
// would end the chunked body properly and the answer would look complete. Instead it
// aborts the connection, after an error event if the answer is an event stream.
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
	"github.com/birchdrift/birchdrift/internal/duplex"
	"github.com/birchdrift/birchdrift/internal/forward"
	"github.com/birchdrift/birchdrift/internal/peer"
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
	Wire    forward.WireFormat // headers of forwarded calls
	Name    string             // of this instance
	Peers   *peer.Client       // for the key of attempts that a peer relays
	// Silence is the time for which a caller may send nothing within a body; 0 means no
	// limit.
	Silence time.Duration
	// Own serves the calls that no route forwards; nil if every call is forwarded.
	Own http.Handler

	lastID atomic.Uint64
}

// Routes returns the HTTP handler of the callers' listener.
func (h *Handler) Routes() http.Handler {
	serve := func(w http.ResponseWriter, r *http.Request) {
		if h.isForwarded(r) {
			h.serveForwarded(w, r)
			return
		}
		h.Own.ServeHTTP(w, r)
	}
	return duplex.Handler(http.HandlerFunc(serve), h.Silence, func(r *http.Request, e duplex.EarlyAnswer) {
		h.Shell.LogEarlyAnswer(r.Header.Get(h.Wire.CallID), e)
	})
}

// isForwarded reports whether the request belongs to a forwarded call.
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

// NextID returns a new call ID.
func (h *Handler) NextID() calls.ID { return calls.ID(h.lastID.Add(1)) }

// WriteJSON writes v as a JSON answer with the given status.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A caller that has disconnected needs no answer.
	_ = json.NewEncoder(w).Encode(v)
}

// An ErrorBody is the JSON body of a refusal.
type ErrorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    int           `json:"code"`
	Name    string        `json:"name"`
	Message string        `json:"message"`
	Run     code.RunState `json:"run"`
}

// NewErrorBody returns the JSON body of a refusal.
func NewErrorBody(r code.Refusal) ErrorBody {
	info := code.Lookup(r.Code)
	message := info.Meaning
	if r.Detail != "" {
		message += " " + r.Detail
	}
	return ErrorBody{Error: errorDetail{Code: int(r.Code), Name: info.Name, Message: message, Run: r.Run}}
}

// CallHandlers are the callbacks by which one kind of call carries out the state
// machine's actions.
type CallHandlers struct {
	// Waited, if not nil, is called after each wait for an action.
	Waited func()
	// Attempt carries out one Dispatch and reports whether the call has ended.
	Attempt func(d calls.Dispatch) bool
	// Finish sends the caller a refusal as the final answer, Relay the replica's own
	// failed answer. Relay is nil if the machine never requests it.
	Finish func(r code.Refusal)
	Relay  func()
	// Gone handles a caller that has disconnected.
	Gone func()
}

// HandleActions carries out the machine's actions until the call ends or its caller
// disconnects.
func HandleActions(ctx context.Context, s shell.Session, handlers CallHandlers) {
	for {
		a, ok := nextAction(ctx, s)
		if handlers.Waited != nil {
			handlers.Waited()
		}
		if !ok {
			handlers.Gone()
			return
		}
		switch act := a.(type) {
		case calls.Finish:
			handlers.Finish(act.Refusal)
			return
		case calls.PassOnErrorResponse:
			handlers.Relay()
			return
		case calls.Dispatch:
			if handlers.Attempt(act) {
				return
			}
		}
	}
}

// nextAction waits for the machine's next action for a call; ok is false if the
// caller disconnected first.
func nextAction(ctx context.Context, s shell.Session) (a step.Action, ok bool) {
	select {
	case a := <-s.Actions:
		return a, true
	case <-ctx.Done():
		return nil, false
	}
}

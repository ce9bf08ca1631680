// Package modelapi serves the product's own interface to callers: OpenAI-compatible model
// calls, and calls to plain services under /services/. Only the product's own environment
// has it; package entry serves forwarded calls.
package modelapi

import (
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/member"
	"github.com/birchdrift/birchdrift/core/own/choose"
	"github.com/birchdrift/birchdrift/internal/entry"
	"github.com/birchdrift/birchdrift/internal/own/engine"
	"github.com/birchdrift/birchdrift/internal/service"
	"github.com/birchdrift/birchdrift/internal/shell"
	"github.com/birchdrift/birchdrift/internal/telemetry"
)

// Headers of calls and their answers.
const (
	// HeaderNotRepeatable marks a call as not repeatable if its value is "true".
	HeaderNotRepeatable = "Birchdrift-Not-Repeatable"
	// HeaderIdempotency carries the caller's idempotency key, for a call that runs at
	// most once.
	HeaderIdempotency = "Idempotency-Key"
	// HeaderInstance names the instance that answered.
	HeaderInstance = "Birchdrift-Instance"
	// HeaderUpstream names the upstream that served the call.
	HeaderUpstream = "Birchdrift-Upstream"
)

// A Handler serves the callers of the product's own interface.
type Handler struct {
	Shell   *shell.Shell
	Engine  *engine.Client
	Service *service.Client
	Metrics *telemetry.Metrics
	Tracer  *telemetry.Tracer
	Self    member.Identity
	MaxBody int64
	// NextID returns an identifier that no other call has.
	NextID func() calls.ID
}

// Routes returns the HTTP handler of the product's own interface.
func (h *Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { h.serveModel(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { h.serveModel(w, r, false) })
	mux.HandleFunc("GET /v1/models", h.listModels)
	mux.HandleFunc("/services/{name}/{path...}", h.servePlain)
	mux.HandleFunc("/services/{name}", h.servePlain)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		h.refuse(w, code.Refusal{Code: code.UnknownService, Run: code.NotRun, Detail: "no such path: " + r.URL.Path}, time.Now())
	})
	return mux
}

// callerKey returns the caller's API key.
func callerKey(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
}

// notRepeatable reports whether the caller marked the call as not repeatable.
func notRepeatable(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get(HeaderNotRepeatable), "true")
}

// listModels serves GET /v1/models: the services with a model that the caller may call.
func (h *Handler) listModels(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	cfg := h.Shell.Config()
	if cfg == nil {
		h.refuse(w, code.Refusal{Code: code.NoConfiguration, Run: code.NotRun, RetryAfter: time.Second}, start)
		return
	}
	caller, known := cfg.CallerByKey(callerKey(r))
	if !known {
		h.refuse(w, code.Refusal{Code: code.Unauthorized, Run: code.NotRun}, start)
		return
	}
	list := modelList{Object: "list", Data: []modelInfo{}}
	for _, name := range cfg.ServiceNames() {
		svc, _ := cfg.Service(name)
		if len(svc.Versions) > 0 && caller.MayCall(name) {
			list.Data = append(list.Data, modelInfo{ID: name, Object: "model", OwnedBy: "birchdrift"})
		}
	}
	entry.WriteJSON(w, http.StatusOK, list)
}

// refuse writes the final answer of a call that no upstream answered.
func (h *Handler) refuse(w http.ResponseWriter, r code.Refusal, start time.Time) {
	h.Metrics.ObserveAnswer(int(r.Code), time.Since(start))
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", fmt.Sprint(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	w.Header().Set(HeaderInstance, h.Self.Name)
	status := code.Lookup(r.Code).HTTP
	if status == 0 {
		status = http.StatusInternalServerError
	}
	if r.Code == code.Stopping {
		w.Header().Set("Connection", "close")
	}
	entry.WriteJSON(w, status, entry.NewErrorBody(r))
}

// serveModel serves a chat or completion call.
func (h *Handler) serveModel(w http.ResponseWriter, r *http.Request, chat bool) {
	start := time.Now()
	ctx, span := h.Tracer.Start(h.Tracer.Extract(r.Context(), r.Header), "entry")
	defer span.End()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBody))
	if err != nil {
		h.refuse(w, code.Refusal{Code: code.TooLarge, Run: code.NotRun, Detail: err.Error()}, start)
		return
	}
	req, prompt, fault := parseRequest(data, chat)
	if fault != nil {
		h.refuse(w, code.Refusal{Code: fault.Code, Run: code.NotRun, Detail: fault.Detail}, start)
		return
	}
	call := calls.Request{
		ID:             h.NextID(),
		Service:        req.Model,
		Key:            callerKey(r),
		IdempotencyKey: r.Header.Get(HeaderIdempotency),
		NotRepeatable:  notRepeatable(r),
		Replayable:     true,
		PromptTokens:   len(prompt)/choose.BytesPerToken + 1,
		MaxTokens:      req.MaxTokens,
		Prefix:         choose.NewPrefix(req.Model, prompt),
	}
	span.SetAttributes(attribute.String("service", req.Model), attribute.Int64("call", int64(call.ID)))
	m := &modelCall{
		handler: h, w: w, req: req, prompt: prompt, startedAt: start, call: call,
		format: answerFormat{chat: chat, id: fmt.Sprintf("%s-%d", h.Self.Name, call.ID), model: req.Model, created: start},
	}
	m.run(ctx, h.Shell.Begin(call))
}

package modelapi

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/internal/entry"
	"github.com/birchdrift/birchdrift/internal/own"
	"github.com/birchdrift/birchdrift/internal/service"
	"github.com/birchdrift/birchdrift/internal/shell"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// servePlain serves a call to a plain service.
func (h *Handler) servePlain(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	ctx, span := h.Tracer.Start(h.Tracer.Extract(r.Context(), r.Header), "entry")
	defer span.End()
	body, err := entry.ReadBody(r)
	if err != nil {
		h.refuse(w, code.Refusal{Code: code.BadRequest, Run: code.NotRun, Detail: err.Error()}, start)
		return
	}
	call := calls.Request{
		ID:             h.NextID(),
		Service:        r.PathValue("name"),
		Plain:          true,
		Path:           "/" + r.PathValue("path"),
		Key:            callerKey(r),
		IdempotencyKey: r.Header.Get(HeaderIdempotency),
		NotRepeatable:  notRepeatable(r),
		Replayable:     !body.Streamed(),
	}
	span.SetAttributes(attribute.String("service", call.Service), attribute.Int64("call", int64(call.ID)))
	p := &plainCall{handler: h, w: w, r: r, body: body, call: call, startedAt: start}
	p.run(ctx, h.Shell.Begin(call))
}

// A plainCall is one call to a plain service in progress.
type plainCall struct {
	handler   *Handler
	w         http.ResponseWriter
	r         *http.Request
	body      *entry.Body
	call      calls.Request
	startedAt time.Time
}

// run carries out the state machine's actions until the call has its final answer.
func (p *plainCall) run(ctx context.Context, s shell.Session) {
	entry.HandleActions(ctx, s, entry.CallHandlers{
		Attempt: func(d calls.Dispatch) bool { return p.attempt(ctx, s, d) },
		Finish:  func(r code.Refusal) { p.handler.refuse(p.w, r, p.startedAt) },
		Gone:    func() { p.handleCallerGone(s) },
	})
}

// attempt carries out one Dispatch and reports whether the call has ended.
func (p *plainCall) attempt(ctx context.Context, s shell.Session, d calls.Dispatch) bool {
	p.handler.Metrics.ObserveQueueTime(time.Since(p.startedAt))
	ctx, span := p.handler.Tracer.Start(ctx, "attempt", oteltrace.WithSpanKind(oteltrace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("upstream", d.Replica), attribute.Int("attempt", d.Attempt))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.SetInterrupt(cancel)
	watchdog := entry.NewWatchdog(d.Stall, cancel)
	defer watchdog.Stop()
	var progress upstream.Progress
	resp, err := p.handler.Service.Send(ctx, p.upstreamCall(d, watchdog), &progress)
	if err != nil {
		return p.handleFailure(s, d, &progress, watchdog, err)
	}
	defer resp.Body.Close()
	s.AnswerBegan()
	return p.forward(s, d, resp, watchdog)
}

// upstreamCall returns the call to send to the upstream.
func (p *plainCall) upstreamCall(d calls.Dispatch, watchdog *entry.Watchdog) service.Call {
	header := service.EndToEndHeaders(p.r.Header)
	header.Del("Authorization") // the key is meant for this system, not for the upstream
	header.Set(upstream.HeaderCall, own.AttemptID(p.handler.Self, p.call.ID, d.Attempt))
	p.handler.Tracer.Inject(p.r.Context(), header)
	return service.Call{
		Address:    d.Address,
		Method:     p.r.Method,
		Path:       p.call.Path,
		Query:      p.r.URL.RawQuery,
		Header:     header,
		Body:       p.body.NewReader(watchdog),
		Length:     p.r.ContentLength,
		Repeatable: d.Repeatable,
	}
}

// handleCallerGone ends the call of a caller that closed its connection, or its side of it. It aborts
// the connection, so that no answer appears to be complete.
func (p *plainCall) handleCallerGone(s shell.Session) {
	s.CallerGone()
	p.handler.Metrics.ObserveAnswer(int(code.CallerGone), time.Since(p.startedAt))
	panic(http.ErrAbortHandler)
}

// handleFailure reports a failed attempt to the state machine, or that the caller has
// disconnected. It reports whether the call has ended.
func (p *plainCall) handleFailure(s shell.Session, d calls.Dispatch, progress *upstream.Progress, watchdog *entry.Watchdog, err error) bool {
	if p.r.Context().Err() != nil {
		p.handleCallerGone(s)
		return true
	}
	p.logLimit(d, err)
	failed := calls.AttemptFailed{
		Attempt: d.Attempt, Phase: progress.Phase(), Stalled: watchdog.Fired(), BodyConsumed: p.body.EndAttempt(), Detail: err.Error(),
	}
	var refused *service.RefusedError
	if errors.As(err, &refused) {
		failed.Status = refused.Status
		failed.Leaving = refused.Leaving
	}
	s.AttemptFailed(failed)
	return false
}

// logLimit logs err if the upstream exceeded a limit.
func (p *plainCall) logLimit(d calls.Dispatch, err error) {
	var limit *upstream.LimitError
	if errors.As(err, &limit) {
		p.handler.Shell.LogAnswerLimit(strconv.FormatUint(uint64(p.call.ID), 10), d.Replica, limit)
	}
}

// forward streams the upstream's answer to the caller. It returns true, since no attempt can
// follow an answer that was started, or aborts the connection.
func (p *plainCall) forward(s shell.Session, d calls.Dispatch, resp *http.Response, watchdog *entry.Watchdog) bool {
	for name, values := range service.EndToEndHeaders(resp.Header) {
		p.w.Header()[name] = values
	}
	p.w.Header().Set(HeaderInstance, p.handler.Self.Name)
	p.w.Header().Set(HeaderUpstream, d.Replica)
	p.w.WriteHeader(resp.StatusCode)
	delivered, err := p.copy(resp.Body, watchdog)
	if err == nil {
		s.Completed(calls.Completed{})
		p.handler.Metrics.ObserveAnswer(int(code.OK), time.Since(p.startedAt))
		return true
	}
	p.logLimit(d, err)
	// The header was written, so no other answer can follow: report the failure to the
	// state machine, record the call as a cut stream, and abort the connection.
	s.AttemptFailed(calls.AttemptFailed{Attempt: d.Attempt, Phase: attempt.Answered, Delivered: max(1, delivered), Detail: err.Error()})
	p.handler.Metrics.ObserveAnswer(int(code.StreamCut), time.Since(p.startedAt))
	panic(http.ErrAbortHandler)
}

// copyBufferBytes is the number of bytes of an answer that are read at once.
const copyBufferBytes = 32 << 10

// copy writes the body to the caller, each part as soon as it is received, and returns
// the number of bytes written.
func (p *plainCall) copy(body io.Reader, watchdog *entry.Watchdog) (int, error) {
	flush := http.NewResponseController(p.w)
	buf := make([]byte, copyBufferBytes)
	total := 0
	for {
		n, err := body.Read(buf)
		watchdog.Reset()
		if n > 0 {
			if _, werr := p.w.Write(buf[:n]); werr != nil {
				return total, werr
			}
			total += n
			_ = flush.Flush() // if the caller has disconnected, the next write fails
		}
		if errors.Is(err, io.EOF) {
			return total, nil
		}
		if err != nil {
			return total, err
		}
	}
}

package modelapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/internal/entry"
	"github.com/birchdrift/birchdrift/internal/own"
	"github.com/birchdrift/birchdrift/internal/own/engine"
	"github.com/birchdrift/birchdrift/internal/shell"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// A modelCall is one chat or completion call in progress.
type modelCall struct {
	handler   *Handler
	w         http.ResponseWriter
	req       modelRequest
	prompt    string
	startedAt time.Time
	call      calls.Request
	format    answerFormat

	text            strings.Builder // received in the current attempt, for answers that are not streamed
	piecesReceived  int             // in the current attempt
	piecesDelivered int             // written to the caller
	headerWritten   bool            // the answer's HTTP header was written
	lastPiece       time.Time
}

// run carries out the state machine's actions until the call has its final answer.
func (m *modelCall) run(ctx context.Context, s shell.Session) {
	_, queue := m.handler.Tracer.Start(ctx, "queue")
	entry.HandleActions(ctx, s, entry.CallHandlers{
		Waited:  func() { queue.End() },
		Attempt: func(d calls.Dispatch) bool { return m.attempt(ctx, s, d) },
		Finish:  m.finish,
		Gone:    func() { m.handleCallerGone(s) },
	})
}

// finish writes the state machine's final answer to the caller.
func (m *modelCall) finish(r code.Refusal) {
	if !m.headerWritten {
		m.handler.refuse(m.w, r, m.startedAt)
		return
	}
	m.handler.Metrics.ObserveAnswer(int(r.Code), time.Since(m.startedAt))
	data, err := json.Marshal(entry.NewErrorBody(r))
	if err == nil {
		m.writeEvent(data)
	}
	// A normal return would end the body as if it were complete; the caller must see that
	// it was truncated.
	panic(http.ErrAbortHandler)
}

// attempt carries out one Dispatch and reports whether the call has ended.
func (m *modelCall) attempt(ctx context.Context, s shell.Session, d calls.Dispatch) bool {
	if d.Attempt == 1 && !d.Resume {
		m.handler.Metrics.ObserveQueueTime(time.Since(m.startedAt))
	}
	if !d.Resume {
		m.text.Reset()
		m.piecesReceived = 0
	}
	if !pause(ctx, d.After) {
		m.handleCallerGone(s)
		return true
	}
	name := "attempt"
	if d.Resume {
		name = "resume"
	}
	ctx, span := m.handler.Tracer.Start(ctx, name, oteltrace.WithSpanKind(oteltrace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("upstream", d.Replica), attribute.Int("attempt", d.Attempt))
	var progress upstream.Progress
	failure, ended := m.stream(ctx, s, d, &progress)
	if ended {
		return true
	}
	span.SetAttributes(attribute.String("broke", failure.Detail))
	if ctx.Err() != nil {
		m.handleCallerGone(s)
		return true
	}
	s.AttemptFailed(failure)
	return false
}

// handleCallerGone ends the call of a caller that closed its connection, or its side of it. It aborts
// the connection, so that no answer appears to be complete.
func (m *modelCall) handleCallerGone(s shell.Session) {
	s.CallerGone()
	m.handler.Metrics.ObserveAnswer(int(code.CallerGone), time.Since(m.startedAt))
	panic(http.ErrAbortHandler)
}

// pause waits for d. It returns false if ctx ends first.
func pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// stream sends the attempt and delivers its pieces. It returns true if the answer is
// complete, or else false and how the attempt failed.
func (m *modelCall) stream(ctx context.Context, s shell.Session, d calls.Dispatch, progress *upstream.Progress) (calls.AttemptFailed, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.SetInterrupt(cancel)
	watchdog := entry.NewWatchdog(d.Stall, cancel)
	defer watchdog.Stop()
	stream, err := m.open(ctx, d, progress)
	if err != nil {
		return m.failure(d, progress, watchdog, err), false
	}
	defer stream.Close()
	for {
		p, err := stream.Next()
		if err != nil {
			return m.failure(d, progress, watchdog, err), false
		}
		watchdog.Reset()
		if m.piecesReceived == 0 {
			s.AnswerBegan()
			m.handler.Metrics.ObserveFirstToken(time.Since(m.startedAt))
		}
		m.piecesReceived++
		if p.End {
			return m.finishAnswer(s, d, p)
		}
		m.deliver(d, p)
	}
}

// open sends the attempt to the engine, as a new call or as the resume of a broken stream.
func (m *modelCall) open(ctx context.Context, d calls.Dispatch, progress *upstream.Progress) (*engine.Stream, error) {
	header := http.Header{}
	m.handler.Tracer.Inject(ctx, header)
	id := own.AttemptID(m.handler.Self, m.call.ID, d.Attempt)
	if d.Resume {
		return m.handler.Engine.Resume(ctx, d.Address, engine.ResumeRequest{ID: id, Offset: m.piecesReceived}, header, progress)
	}
	req := engine.GenerateRequest{
		ID: id, Model: d.Model, Adapter: d.Adapter, Prompt: m.prompt, MaxTokens: m.req.MaxTokens, Priority: d.Priority,
	}
	return m.handler.Engine.Generate(ctx, d.Address, req, d.Repeatable, header, progress)
}

// failure describes how an attempt failed. It states only facts; the state machine
// decides what follows.
func (m *modelCall) failure(d calls.Dispatch, progress *upstream.Progress, watchdog *entry.Watchdog, err error) calls.AttemptFailed {
	failed := calls.AttemptFailed{
		Attempt:   d.Attempt,
		Phase:     progress.Phase(),
		Delivered: m.piecesDelivered,
		Resumable: true,
		Stalled:   watchdog.Fired(),
		Detail:    err.Error(),
	}
	var status *engine.StatusError
	if errors.As(err, &status) {
		failed.Status = status.Status
		failed.Leaving = status.Leaving
		failed.Resumable = false
	}
	return failed
}

// deliver writes a piece of a streamed answer to the caller immediately, and adds a piece
// of any other answer to the text.
func (m *modelCall) deliver(d calls.Dispatch, p engine.Piece) {
	if !m.lastPiece.IsZero() {
		m.handler.Metrics.ObserveTokenGap(time.Since(m.lastPiece))
	}
	m.lastPiece = time.Now()
	if !m.req.Stream {
		m.text.WriteString(p.Text)
		return
	}
	m.writeHeader(d)
	m.writeChunk(m.format.chunk(p.Text, nil))
	m.piecesDelivered++
}

// writeHeader writes the header of an event stream, unless it was written before.
func (m *modelCall) writeHeader(d calls.Dispatch) {
	if m.headerWritten {
		return
	}
	m.headerWritten = true
	m.setHeaders(d)
	m.w.Header().Set("Content-Type", "text/event-stream")
	m.w.Header().Set("Cache-Control", "no-cache")
	m.w.WriteHeader(http.StatusOK)
}

// setHeaders sets the headers that name the instance and the upstream of the answer.
func (m *modelCall) setHeaders(d calls.Dispatch) {
	m.w.Header().Set(HeaderInstance, m.handler.Self.Name)
	m.w.Header().Set(HeaderUpstream, d.Replica)
}

// finishAnswer writes the end of a complete answer.
func (m *modelCall) finishAnswer(s shell.Session, d calls.Dispatch, p engine.Piece) (calls.AttemptFailed, bool) {
	if m.req.Stream {
		m.writeHeader(d)
		m.writeChunk(m.format.chunk("", &p.Reason))
		m.writeEvent([]byte("[DONE]"))
	} else {
		m.setHeaders(d)
		// The last piece only marks the end and is not counted as a token.
		entry.WriteJSON(m.w, http.StatusOK, m.format.complete(m.text.String(), p.Reason, m.call.PromptTokens, m.piecesReceived-1))
	}
	s.Completed(calls.Completed{})
	m.handler.Metrics.ObserveAnswer(int(code.OK), time.Since(m.startedAt))
	return calls.AttemptFailed{}, true
}

// writeChunk writes one chunk of a streamed answer.
func (m *modelCall) writeChunk(a answer) {
	data, err := json.Marshal(a)
	if err != nil {
		panic(http.ErrAbortHandler) // impossible for these types, but the answer must not appear to be complete
	}
	m.writeEvent(data)
}

// writeEvent writes one server-sent event. A write error is ignored: it means that the
// caller has disconnected, which also cancels the request's context.
func (m *modelCall) writeEvent(data []byte) {
	_, _ = m.w.Write([]byte("data: "))
	_, _ = m.w.Write(data)
	_, _ = m.w.Write([]byte("\n\n"))
	_ = http.NewResponseController(m.w).Flush()
}

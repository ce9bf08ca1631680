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
	form      answerFormat

	text            strings.Builder // of the attempt in progress, for whole answers
	piecesReceived  int             // had of the attempt in progress
	piecesDelivered int             // that reached the caller
	headerWritten   bool            // the answer's header was written
	lastPiece       time.Time
}

// run does what the machine says until the call has its final answer.
func (m *modelCall) run(ctx context.Context, s shell.Session) {
	_, queue := m.handler.Tracer.Start(ctx, "queue")
	entry.HandleActions(ctx, s, entry.CallHandlers{
		Waited:  func() { queue.End() },
		Attempt: func(d calls.Dispatch) bool { return m.attempt(ctx, s, d) },
		Finish:  m.finish,
		Gone:    func() { m.handleCallerGone(s) },
	})
}

// finish gives the caller the machine's final answer.
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
	// A normal return would end the body properly; the caller must see a cut.
	panic(http.ErrAbortHandler)
}

// attempt carries out one Dispatch and reports whether the call is over.
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
	broke, over := m.stream(ctx, s, d, &progress)
	if over {
		return true
	}
	span.SetAttributes(attribute.String("broke", broke.Detail))
	if ctx.Err() != nil {
		m.handleCallerGone(s)
		return true
	}
	s.AttemptFailed(broke)
	return false
}

// handleCallerGone deals with a caller that closed its connection. Should the connection
// be there after all, it must not see a proper end of what was begun.
func (m *modelCall) handleCallerGone(s shell.Session) {
	s.CallerGone()
	m.handler.Metrics.ObserveAnswer(int(code.CallerGone), time.Since(m.startedAt))
	if m.headerWritten {
		panic(http.ErrAbortHandler)
	}
}

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

// stream sends the attempt and passes its pieces on. It returns over when the
// answer is whole, else how the attempt broke.
func (m *modelCall) stream(ctx context.Context, s shell.Session, d calls.Dispatch, progress *upstream.Progress) (calls.AttemptFailed, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.SetInterrupt(cancel)
	watch := entry.NewWatchdog(d.Stall, cancel)
	defer watch.Stop()
	stream, err := m.open(ctx, d, progress)
	if err != nil {
		return m.failure(d, progress, watch, err), false
	}
	defer stream.Close()
	for {
		p, err := stream.Next()
		if err != nil {
			return m.failure(d, progress, watch, err), false
		}
		watch.Reset()
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

// failure words how an attempt failure. Only facts go in; what follows is the
// machine's to say.
func (m *modelCall) failure(d calls.Dispatch, progress *upstream.Progress, watch *entry.Watchdog, err error) calls.AttemptFailed {
	b := calls.AttemptFailed{
		Attempt:   d.Attempt,
		Phase:     progress.Phase(),
		Delivered: m.piecesDelivered,
		Resumable: true,
		Stalled:   watch.Fired(),
		Detail:    err.Error(),
	}
	var status *engine.StatusError
	if errors.As(err, &status) {
		b.Status = status.Status
		b.Leaving = status.Leaving
		b.Resumable = false
	}
	return b
}

// deliver hands one piece on: to the caller of a stream at once, else to the text.
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
	m.writeChunk(m.form.chunk(p.Text, nil))
	m.piecesDelivered++
}

// writeHeader writes the header of an event stream.
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

func (m *modelCall) setHeaders(d calls.Dispatch) {
	m.w.Header().Set(HeaderInstance, m.handler.Self.Name)
	m.w.Header().Set(HeaderUpstream, d.Replica)
}

// finishAnswer ends the answer properly.
func (m *modelCall) finishAnswer(s shell.Session, d calls.Dispatch, p engine.Piece) (calls.AttemptFailed, bool) {
	if m.req.Stream {
		m.writeHeader(d)
		m.writeChunk(m.form.chunk("", &p.Reason))
		m.writeEvent([]byte("[DONE]"))
	} else {
		m.setHeaders(d)
		entry.WriteJSON(m.w, http.StatusOK, m.form.whole(m.text.String(), p.Reason, m.call.PromptTokens, m.piecesReceived-1))
	}
	s.Completed(0)
	m.handler.Metrics.ObserveAnswer(int(code.OK), time.Since(m.startedAt))
	return calls.AttemptFailed{}, true
}

func (m *modelCall) writeChunk(a answer) {
	data, err := json.Marshal(a)
	if err != nil {
		panic(http.ErrAbortHandler) // impossible for these types; never a proper end
	}
	m.writeEvent(data)
}

// writeEvent writes one server-sent writeEvent. A write error means that the caller is
// gone, which the request's context tells as well.
func (m *modelCall) writeEvent(data []byte) {
	_, _ = m.w.Write([]byte("data: "))
	_, _ = m.w.Write(data)
	_, _ = m.w.Write([]byte("\n\n"))
	_ = http.NewResponseController(m.w).Flush()
}

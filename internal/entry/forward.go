package entry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/code"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/notice"
	"github.com/birchdrift/birchdrift/core/route"
	"github.com/birchdrift/birchdrift/internal/duplex"
	"github.com/birchdrift/birchdrift/internal/forward"
	"github.com/birchdrift/birchdrift/internal/relay"
	"github.com/birchdrift/birchdrift/internal/service"
	"github.com/birchdrift/birchdrift/internal/shell"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// maxBufferedAnswer is the largest answer, in bytes, that is read whole before any of it
// is passed on, so that a call whose answer is truncated can still be retried elsewhere.
const maxBufferedAnswer = 256 << 10

// failedAnswerTimeout is the longest time that the body of a failed answer may take. The call may be
// served elsewhere meanwhile.
const failedAnswerTimeout = time.Second

// errNoEvent is returned for a stream that ended with its connection before its first event.
var errNoEvent = errors.New("the connection ended before the first event")

// errNoContinuation is returned for a success that is not the rest of a stream: no stream, or one without events.
var errNoContinuation = errors.New("the answer is not the rest of the stream")

// serveForwarded handles a forwarded call until it has its final answer.
func (h *Handler) serveForwarded(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	ctx, span := h.Tracer.Start(h.Tracer.Extract(r.Context(), r.Header), "entry")
	defer span.End()
	f := &forwardCall{handler: h, answer: callerAnswer{w: w}, r: r, start: start}
	defer f.answer.close()
	req, err := h.Wire.ReadRequest(r.Header)
	if err == nil {
		f.body, err = ReadBody(r)
	}
	if err != nil {
		f.refuse(code.Refusal{Code: readErrorCode(err), Run: code.NotRun, Detail: err.Error()})
		return
	}
	f.call = newCallRequest(h.NextID(), r, req, f.body)
	f.position = forward.Position{Last: req.LastEvent}
	span.SetAttributes(attribute.String("call", req.CallID))
	f.run(ctx, h.Shell.Begin(f.call))
}

// readErrorCode returns the code of a call whose headers or body could not be read.
func readErrorCode(err error) code.Code {
	if duplex.TimedOut(err) {
		return code.CallerSilent
	}
	return code.BadRequest
}

// newCallRequest converts an HTTP request to the state machine's form.
func newCallRequest(id calls.ID, r *http.Request, req forward.Request, body *Body) calls.Request {
	parts := make([]route.PromptPart, 0, len(req.Parts))
	for _, p := range req.Parts {
		parts = append(parts, route.PromptPart(p))
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return calls.Request{
		ID:           id,
		Path:         path,
		Replayable:   !body.Streamed(),
		PromptTokens: req.PromptTokens,
		MaxTokens:    req.MaxTokens,
		Forward: &calls.ForwardRequest{
			Name:        req.CallID,
			Fingerprint: fingerprint(r, body),
			Host:        r.Host,
			Model:       req.Model,
			Adapter:     req.Adapter,
			Parts:       parts,
			LengthHint:  req.LengthHint,
			Deadline:    req.Deadline,
			LastEvent:   req.LastEvent,
			Resumes:     req.Resumes,
			Ignored:     req.Ignored,
		},
	}
}

// A forwardCall is one forwarded call in progress.
type forwardCall struct {
	handler *Handler
	answer  callerAnswer
	r       *http.Request
	body    *Body
	call    calls.Request
	start   time.Time

	position     forward.Position
	longestPause time.Duration // longest time between two events
	failed       *failedAnswer

	cancelAttempt context.CancelFunc // of the last attempt
}

// A failedAnswer is a replica's own answer with an error status, kept until the machine
// decides whether the call is retried or the answer is relayed.
type failedAnswer struct {
	status int
	header http.Header
	body   []byte
}

func (f *forwardCall) run(ctx context.Context, s shell.Session) {
	_, queue := f.handler.Tracer.Start(ctx, "queue")
	HandleActions(ctx, s, CallHandlers{
		Waited:  func() { queue.End() },
		Attempt: func(d calls.Dispatch) bool { return f.attempt(ctx, s, d) },
		Finish:  f.finish,
		Relay:   f.relayFailedAnswer,
		Gone:    func() { f.callerGone(s) },
	})
}

// finish ends the call with the machine's refusal. An answer that has already begun stays
// incomplete.
func (f *forwardCall) finish(r code.Refusal) {
	if f.answer.begun {
		f.handler.Metrics.ObserveAnswer(int(r.Code), time.Since(f.start))
		return
	}
	f.refuse(r)
}

// refuse writes a final answer that is not a replica's. It uses a status which promises
// that the call did not run (503) only if that is certain.
func (f *forwardCall) refuse(r code.Refusal) {
	f.handler.Metrics.ObserveAnswer(int(r.Code), time.Since(f.start))
	status := code.Lookup(r.Code).HTTP
	if r.Run != code.NotRun && status == http.StatusServiceUnavailable {
		status = http.StatusBadGateway
	}
	head := f.answer.w.Header()
	if name := f.handler.Wire.CallID; name != "" && f.call.Forward != nil && f.call.Forward.Name != "" {
		head.Set(name, f.call.Forward.Name)
	}
	if r.RetryAfter > 0 && r.Run == code.NotRun {
		head.Set(f.handler.Wire.RetryAfter, strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	f.closeIfStopping()
	f.answer.refuse(status, NewErrorBody(r))
}

// closeIfStopping asks the caller to close this connection if the instance is stopping,
// so that it opens its next one to another instance.
func (f *forwardCall) closeIfStopping() {
	if f.handler.Shell.Stopping() {
		f.answer.w.Header().Set("Connection", "close")
	}
}

// relayFailedAnswer passes on the replica's own failed answer.
func (f *forwardCall) relayFailedAnswer() {
	f.handler.Metrics.ObserveAnswer(int(code.UpstreamRefused), time.Since(f.start))
	f.begin(f.failed.header, f.failed.status)
	_ = f.answer.write(f.failed.body) // a caller that has disconnected needs no answer
	f.answer.end()
}

func (f *forwardCall) callerGone(s shell.Session) {
	s.CallerGone()
	f.handler.Metrics.ObserveAnswer(int(code.CallerGone), time.Since(f.start))
}

// attempt carries out one Dispatch and reports whether the call has ended.
func (f *forwardCall) attempt(ctx context.Context, s shell.Session, d calls.Dispatch) bool {
	if d.Attempt == 1 {
		f.handler.Metrics.ObserveQueueTime(time.Since(f.start))
	}
	name := "attempt"
	if f.answer.begun {
		name = "resume"
	}
	ctx, span := f.handler.Tracer.Start(ctx, name, oteltrace.WithSpanKind(oteltrace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("upstream", d.Replica), attribute.Int("attempt", d.Attempt))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.cancelAttempt = cancel
	watchdog := NewWatchdog(d.Stall, cancel)
	defer watchdog.Stop()
	s.SetSilenceInterrupt(watchdog.CancelIfSilent)
	f.failed = nil
	var progress upstream.Progress
	sent := f.handler.Shell.Now()
	resp, err := f.handler.Service.RoundTrip(ctx, f.outgoingCall(d, watchdog), &progress)
	if err != nil {
		failure := f.connectionFailed(d, err, 0)
		if d.Relay != nil && progress.Phase() == attempt.NotSent {
			failure.Relay = links.PeerUnreachable
		}
		return f.attemptFailed(s, d, &progress, watchdog, failure)
	}
	defer resp.Body.Close()
	if d.Relay != nil {
		if failure, ok := relay.ReadAnswer(resp); !ok {
			return f.relayFailed(s, d, watchdog, failure)
		}
	}
	f.postNotice(d, sent, resp)
	return f.handleAnswer(s, d, resp, &progress, watchdog)
}

// postNotice passes to the machine what a replica reported about itself in the headers of
// its answer. An empty notice is passed on only if the replica had a rate limit, which
// then may have ended. The notice counts whatever the outcome of the call.
func (f *forwardCall) postNotice(d calls.Dispatch, sent clock.Instant, resp *http.Response) {
	if n := f.handler.Wire.ReadNotice(resp); d.Limited || !n.IsZero() {
		f.handler.Shell.HandleNotice(notice.Received{Replica: d.Replica, Sent: sent, Notice: n})
	}
}

// outgoingCall returns the call to send to the replica.
func (f *forwardCall) outgoingCall(d calls.Dispatch, watchdog *Watchdog) service.Call {
	header := service.EndToEndHeaders(f.r.Header)
	f.handler.Wire.SetHeaders(header, forward.AttemptHeaders{
		Expect:    d.Replica,
		Left:      d.Forward.Left,
		Priority:  d.Forward.Priority,
		LastEvent: f.position.Last,
	})
	f.handler.Tracer.Inject(f.r.Context(), header)
	address := d.Address
	if d.Relay != nil {
		address = d.Relay.Address
		f.handler.Peers.SetKey(header)
		relay.Attempt{
			Replica: d.Replica, From: f.handler.Name, Call: f.call.Forward.Name, Request: f.call.Forward.Identity(), Repeatable: d.Repeatable,
		}.SetHeaders(header)
	}
	return service.Call{
		Address:    address,
		Host:       f.r.Host,
		Method:     f.r.Method,
		Target:     f.r.RequestURI,
		Header:     header,
		Body:       f.body.NewReader(watchdog),
		Length:     f.r.ContentLength,
		Repeatable: d.Repeatable,
	}
}

// connectionFailed converts an error of the connection to a replica, and logs it if the replica
// exceeded a limit; status is that of the answer, or 0 if none came.
func (f *forwardCall) connectionFailed(d calls.Dispatch, err error, status int) calls.AttemptFailed {
	var limit *upstream.LimitError
	if errors.As(err, &limit) {
		f.handler.Shell.LogAnswerLimit(f.call.Forward.Name, d.Replica, limit)
	}
	return calls.AttemptFailed{
		Status:      status,
		Severed:     upstream.Severed(err) || errors.Is(err, forward.ErrPartialEvent),
		Unreachable: upstream.ConnectionRefused(err),
		Detail:      err.Error(),
	}
}

// attemptFailed tells the machine how an attempt failed and reports whether the call has
// ended, which is so only if the caller has disconnected.
func (f *forwardCall) attemptFailed(s shell.Session, d calls.Dispatch, progress *upstream.Progress, watchdog *Watchdog, failure calls.AttemptFailed) bool {
	if f.r.Context().Err() != nil {
		f.callerGone(s)
		return true
	}
	failure.Attempt = d.Attempt
	failure.Phase = progress.Phase()
	failure.Stalled = watchdog.Fired()
	failure.BodyConsumed = f.body.EndAttempt()
	if f.answer.begun {
		failure.Delivered = max(1, f.position.Last)
		failure.PositionUnknown = !f.position.Known()
	}
	s.AttemptFailed(failure)
	return false
}

// relayFailed tells the machine that the instance which was to relay an attempt got no answer
// from the replica, and reports whether the call has ended. Only that instance knows how far the
// attempt got.
func (f *forwardCall) relayFailed(s shell.Session, d calls.Dispatch, watchdog *Watchdog, failure relay.Failure) bool {
	var progress upstream.Progress
	progress.Advance(failure.Phase)
	return f.attemptFailed(s, d, &progress, watchdog, calls.AttemptFailed{Relay: failure.Reason, Detail: failure.Detail})
}

// goesOn reports whether an attempt goes on with a stream of which the caller has events.
func (f *forwardCall) goesOn(d calls.Dispatch) bool {
	return d.Forward.Stream && (f.answer.begun || f.position.Last > 0)
}

// handleAnswer handles status and headers of a replica's answer and then passes the answer on
// or reports the attempt as failed. It reports whether the call has ended.
//
// Of an attempt that goes on with a stream, only a success that is a stream is passed on behind the
// events that the caller has. A caller that takes a stream up with another request gets a failure as
// it is, since the status tells.
func (f *forwardCall) handleAnswer(s shell.Session, d calls.Dispatch, resp *http.Response, progress *upstream.Progress, watchdog *Watchdog) bool {
	reply := f.handler.Wire.ReadReply(resp, f.call.Forward.Name)
	failure := calls.AttemptFailed{Status: resp.StatusCode, Misdirected: reply.Misdirected, Incarnation: reply.Incarnation}
	switch {
	case reply.Mismatched:
		failure.Detail = "the answer to another call came"
	case reply.NotRun:
		progress.Advance(attempt.Refused)
		failure.Detail = fmt.Sprintf("the replica did not run it: status %d", resp.StatusCode)
	case reply.Invalid:
		progress.Advance(attempt.Answered)
		failure.Detail = "the answer is not the replica's own"
	case resp.StatusCode >= http.StatusInternalServerError, f.answer.begun && !reply.Success:
		progress.Advance(attempt.Answered)
		f.keepFailedAnswer(resp)
		failure.ErrorResponse = f.failed != nil
		failure.Detail = fmt.Sprintf("the replica failed: status %d", resp.StatusCode)
	case d.Forward.Stream && reply.Stream:
		progress.Advance(attempt.Answered)
		return f.relayStream(s, d, resp, progress, watchdog)
	case f.goesOn(d) && reply.Success:
		progress.Advance(attempt.Answered)
		failure.Detail = errNoContinuation.Error()
	default:
		progress.Advance(attempt.Answered)
		return f.relayWhole(s, d, resp, progress, watchdog)
	}
	return f.attemptFailed(s, d, progress, watchdog, failure)
}

// keepFailedAnswer keeps a failed answer for relaying if it is complete within failedAnswerTimeout and no
// larger than maxBufferedAnswer.
func (f *forwardCall) keepFailedAnswer(resp *http.Response) {
	timeout := time.AfterFunc(failedAnswerTimeout, f.cancelAttempt)
	defer timeout.Stop()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer+1))
	if err != nil || len(data) > maxBufferedAnswer {
		return
	}
	f.failed = &failedAnswer{status: resp.StatusCode, header: resp.Header, body: data}
}

// begin begins the caller's answer with status and headers of a replica's.
func (f *forwardCall) begin(header http.Header, status int) {
	f.closeIfStopping()
	f.answer.begin(header, status)
}

// beginStream begins the caller's answer with the head of a stream. Another replica may end the stream,
// so the length of this answer is not that of the caller's.
func (f *forwardCall) beginStream(resp *http.Response) {
	resp.Header.Del("Content-Length")
	f.begin(resp.Header, resp.StatusCode)
}

// relayWhole passes on an answer that is not an event stream. A small answer is read
// whole first.
func (f *forwardCall) relayWhole(s shell.Session, d calls.Dispatch, resp *http.Response, progress *upstream.Progress, watchdog *Watchdog) bool {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedAnswer))
	if err != nil {
		return f.attemptFailed(s, d, progress, watchdog, f.connectionFailed(d, err, resp.StatusCode))
	}
	s.AnswerBegan()
	if len(data) < maxBufferedAnswer && resp.ContentLength < 0 && f.r.Method != http.MethodHead {
		f.answer.w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	}
	f.begin(resp.Header, resp.StatusCode)
	if err := f.answer.write(data); err != nil {
		f.callerGone(s)
		return true
	}
	if len(data) < maxBufferedAnswer {
		return f.completed(s, resp)
	}
	return f.relayRemainder(s, d, resp, progress, watchdog)
}

// relayRemainder passes on the part of a large answer after the buffered beginning.
func (f *forwardCall) relayRemainder(s shell.Session, d calls.Dispatch, resp *http.Response, progress *upstream.Progress, watchdog *Watchdog) bool {
	_, err := io.Copy(f.answer.w, watchedReader{resp.Body, watchdog})
	if err == nil {
		return f.completed(s, resp)
	}
	f.attemptFailed(s, d, progress, watchdog, f.connectionFailed(d, err, resp.StatusCode))
	f.handler.Metrics.ObserveAnswer(int(code.StreamCut), time.Since(f.start))
	return true
}

func (f *forwardCall) completed(s shell.Session, resp *http.Response) bool {
	s.Completed(calls.Completed{Pause: f.longestPause, Status: resp.StatusCode, LastEvent: f.position.Last, Framing: framing(resp)})
	f.handler.Metrics.ObserveAnswer(int(code.OK), time.Since(f.start))
	f.answer.end()
	return true
}

// What shows the end of an answer.
const (
	framedByLength     = "length"
	framedByChunks     = "chunks"
	framedByConnection = "connection"
)

// framing returns what shows the end of an answer: its length, its last chunk, or the end of its
// connection.
func framing(resp *http.Response) string {
	switch {
	case upstream.EndsWithConnection(resp):
		return framedByConnection
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return framedByChunks
	default:
		return framedByLength
	}
}

// relayStream passes on an event stream. It writes each event as it arrives and only whole
// events, so that another replica can resume after the last one. What precedes the first event
// is kept until that arrives, so that the call can still be retried elsewhere.
func (f *forwardCall) relayStream(s shell.Session, d calls.Dispatch, resp *http.Response, progress *upstream.Progress, watchdog *Watchdog) bool {
	events := forward.NewEventReader(resp.Body)
	var last time.Time // when the previous event arrived; zero before the first one
	var kept []byte    // what precedes the first event
	for {
		block, err := events.Next()
		if errors.Is(err, io.EOF) {
			if err = f.checkEnd(d, resp, last.IsZero()); err == nil {
				return f.endStream(s, resp, last.IsZero(), kept)
			}
		}
		position := f.position
		if err == nil && block.Event {
			position, err = position.With(block, last.IsZero())
		}
		if err != nil {
			if f.answer.begun {
				f.answer.flush() // the events before the failure
			}
			return f.attemptFailed(s, d, progress, watchdog, f.connectionFailed(d, err, resp.StatusCode))
		}
		if !block.Event && last.IsZero() {
			kept = append(kept, block.Bytes...)
			continue
		}
		if block.Event {
			watchdog.Reset()
			last = f.eventArrived(s, resp, last, kept)
		}
		if err := f.answer.write(block.Bytes); err != nil {
			f.callerGone(s)
			return true
		}
		if !events.Buffered() {
			f.answer.flush()
		}
		f.position = position
	}
}

// checkEnd returns an error if the end of an answer is not that of a stream: it has no event, and goes on
// with a stream or ended with its connection, as that of a replica does which terminates.
func (f *forwardCall) checkEnd(d calls.Dispatch, resp *http.Response, noEvent bool) error {
	switch {
	case !noEvent:
		return nil
	case f.goesOn(d):
		return errNoContinuation
	case framing(resp) == framedByConnection:
		return errNoEvent
	default:
		return nil
	}
}

// eventArrived records that an event of a stream arrived now, after the previous one at last, which is
// zero for the first event. It begins the answer with the first event, after what precedes that, and
// returns the present time.
func (f *forwardCall) eventArrived(s shell.Session, resp *http.Response, last time.Time, preceding []byte) time.Time {
	now := time.Now()
	if !last.IsZero() {
		f.longestPause = max(f.longestPause, now.Sub(last))
		return now
	}
	s.AnswerBegan()
	f.handler.Metrics.ObserveFirstToken(time.Since(f.start))
	f.beginStream(resp)
	_ = f.answer.write(preceding) // if the caller has disconnected, the next write fails
	return now
}

// endStream ends a stream that is complete. If it has no event, nothing of it was written yet.
func (f *forwardCall) endStream(s shell.Session, resp *http.Response, noEvent bool, kept []byte) bool {
	if noEvent {
		f.beginStream(resp)
		_ = f.answer.write(kept) // a caller that has disconnected needs no answer
	}
	return f.completed(s, resp)
}

// A watchedReader resets the watchdog whenever bytes arrive.
type watchedReader struct {
	io.Reader
	watchdog *Watchdog
}

// Read implements io.Reader.
func (w watchedReader) Read(data []byte) (int, error) {
	n, err := w.Reader.Read(data)
	if n > 0 {
		w.watchdog.Reset()
	}
	return n, err
}

package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/notice"
	"github.com/birchdrift/birchdrift/core/relay"
	"github.com/birchdrift/birchdrift/internal/duplex"
	"github.com/birchdrift/birchdrift/internal/forward"
	"github.com/birchdrift/birchdrift/internal/service"
	"github.com/birchdrift/birchdrift/internal/shell"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// bufferSize is the size of the buffer through which an answer is passed on, in bytes: larger
// than an event of a stream.
const bufferSize = 8 << 10

// A Handler relays the attempts of peers.
type Handler struct {
	Shell   *shell.Shell
	Service *service.Client
	Wire    forward.WireFormat
	// Silence is the time for which a peer may send nothing within a body; 0 means no limit.
	Silence time.Duration
	Next    http.Handler // for all other requests of peers
}

// Routes returns the HTTP handler of the listener for peers.
func (h *Handler) Routes() http.Handler {
	attempts := duplex.Handler(http.HandlerFunc(h.relay), h.Silence, func(r *http.Request, e duplex.EarlyAnswer) {
		h.Shell.LogEarlyAnswer(r.Header.Get(h.Wire.CallID), e)
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(headerReplica) == "" {
			h.Next.ServeHTTP(w, r)
			return
		}
		attempts.ServeHTTP(w, r)
	})
}

func (h *Handler) relay(w http.ResponseWriter, r *http.Request) {
	a, err := readAttempt(r.Header)
	if err != nil {
		http.Error(w, "malformed headers of an attempt: "+err.Error(), http.StatusBadRequest)
		return
	}
	session, err := h.Shell.BeginRelay(r.Context(), relay.Requested{
		From: a.From, Call: a.Call, Replica: a.Replica, Request: a.Request,
	})
	if err != nil {
		return // the sender has canceled the attempt
	}
	if session.Failure != links.RelaySucceeded {
		writeFailure(w, Failure{Reason: session.Failure, Detail: session.Failure.String()})
		return
	}
	outcome := relay.Unknown
	defer func() { session.End(outcome) }()
	outcome = h.send(w, r, a, session)
	if outcome == relay.Severed || outcome == relay.Unknown {
		panic(http.ErrAbortHandler) // a truncated answer must not look complete
	}
}

// send sends an attempt to its replica, passes the answer on, and returns what the attempt shows
// of the link to the replica.
func (h *Handler) send(w http.ResponseWriter, r *http.Request, a Attempt, session shell.RelaySession) relay.Outcome {
	var progress upstream.Progress
	sent := h.Shell.Now()
	resp, err := h.Service.RoundTrip(r.Context(), service.Call{
		Address: session.Address, Host: r.Host, Method: r.Method, Target: r.RequestURI,
		Header: service.EndToEndHeaders(r.Header), Body: r.Body, Length: r.ContentLength, Repeatable: a.Repeatable,
	}, &progress)
	if err != nil {
		h.logLimit(a, err)
		return failed(r.Context(), w, progress.Phase(), err)
	}
	defer resp.Body.Close()
	if n := h.Wire.ReadNotice(resp); !n.IsZero() {
		h.Shell.HandleNotice(notice.Received{Replica: a.Replica, Sent: sent, Notice: n})
	}
	if !h.Wire.ReadReply(resp, a.Call).NotRun {
		session.Accepted()
	}
	if err := passOn(w, resp); err != nil {
		h.logLimit(a, err)
		if upstream.Severed(err) {
			return relay.Severed
		}
		return relay.Unknown
	}
	return relay.Answered
}

// logLimit logs err if the replica of an attempt exceeded a limit.
func (h *Handler) logLimit(a Attempt, err error) {
	var limit *upstream.LimitError
	if errors.As(err, &limit) {
		h.Shell.LogAnswerLimit(a.Call, a.Replica, limit)
	}
}

// failed answers an attempt that got no answer from its replica.
func failed(ctx context.Context, w http.ResponseWriter, phase attempt.Phase, err error) relay.Outcome {
	switch {
	case ctx.Err() != nil:
		return relay.Unknown // the sender has canceled the attempt
	case phase != attempt.NotSent:
		writeFailure(w, Failure{Phase: phase, Detail: err.Error()})
		if upstream.Severed(err) {
			return relay.SeveredUnanswered
		}
		return relay.Unanswered
	case upstream.ConnectionRefused(err):
		writeFailure(w, Failure{Reason: links.ReplicaUnreachable, Detail: err.Error()})
		return relay.Refused
	default:
		writeFailure(w, Failure{Reason: links.ReplicaUnreachable, Detail: err.Error()})
		return relay.TimedOut
	}
}

// writeFailure answers an attempt that got no answer from its replica.
func writeFailure(w http.ResponseWriter, f Failure) {
	w.Header().Set(headerFailure, strconv.Itoa(int(f.Reason)))
	w.Header().Set(headerDetail, f.Detail)
	w.WriteHeader(http.StatusBadGateway)
}

// errSenderGone is the error of passing an answer on to an instance that does not read it any more.
var errSenderGone = errors.New("the sender of the attempt is gone")

// passOn passes a replica's answer on as it arrives. An error other than errSenderGone is of the
// connection to the replica.
func passOn(w http.ResponseWriter, resp *http.Response) error {
	for name, values := range service.EndToEndHeaders(resp.Header) {
		w.Header()[name] = values
	}
	w.Header().Set(headerRelayed, "true")
	if upstream.EndsWithConnection(resp) {
		w.Header().Set(headerUnframed, "true")
	}
	w.WriteHeader(resp.StatusCode)
	flush := http.NewResponseController(w)
	buf := make([]byte, bufferSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return errSenderGone
			}
			if err := flush.Flush(); err != nil {
				return errSenderGone
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// Package engine provides the client of model engines: token streams, cancel and resume,
// fenced orders, and the engine's own state.
//
// The pieces of a stream carry the ID of their attempt and their position, and the last
// piece is marked as the last. A Stream returns the pieces of its own attempt, each once
// and in order, and nothing else, whatever the connection delivers. Only the explicit end
// marker ends an answer.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/birchdrift/birchdrift/core/attempt"
	"github.com/birchdrift/birchdrift/core/own/book"
	"github.com/birchdrift/birchdrift/core/own/planner"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/internal/upstream"
)

// maxReplyBytes is the maximum size in bytes of a reply that is read whole.
const maxReplyBytes = 1 << 20

// Errors of a stream.
var (
	// ErrTruncated reports that the stream stopped without its explicit end.
	ErrTruncated = errors.New("the stream stopped without its end")
	// ErrMissingPiece reports that a piece of the stream is missing.
	ErrMissingPiece = errors.New("a piece of the stream is missing")
)

// A StatusError is an HTTP error response in place of a stream.
type StatusError struct {
	Status  int
	NotRun  bool // the engine reports that it did not and will not run the call
	Leaving bool
	Detail  string
}

// Error implements error.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Detail) }

// A Client sends requests to engines by address.
type Client struct {
	transports upstream.Transports
	control    *http.Client // for cancels and state reads
}

// NewClient returns a client that uses the transports.
func NewClient(t upstream.Transports) *Client {
	return &Client{transports: t, control: &http.Client{Transport: t.Reused}}
}

// A Stream is the stream of pieces that answers one attempt.
type Stream struct {
	id     string
	next   int
	body   io.ReadCloser
	pieces *pieceReader
	dec    *json.Decoder
}

// Generate starts an attempt. A request that is not repeatable is sent over a new
// connection. progress records how far the request got, also on error.
func (c *Client) Generate(ctx context.Context, address string, req GenerateRequest, repeatable bool, header http.Header, progress *upstream.Progress) (*Stream, error) {
	return c.open(ctx, address, PathGenerate, req, req.ID, 0, c.transports.For(repeatable), header, progress)
}

// Resume continues an attempt after the pieces already received.
func (c *Client) Resume(ctx context.Context, address string, req ResumeRequest, header http.Header, progress *upstream.Progress) (*Stream, error) {
	return c.open(ctx, address, PathResume, req, req.ID, req.Offset, c.transports.Reused, header, progress)
}

// open sends the request of a stream and returns the stream, whose next piece has the given
// offset. Any status other than 200 is returned as a *StatusError.
func (c *Client) open(ctx context.Context, address, path string, body any, id string, offset int, rt http.RoundTripper, header http.Header, progress *upstream.Progress) (*Stream, error) {
	req, err := newRequest(progress.TraceContext(ctx), address, path, body)
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		req.Header[name] = values
	}
	// Without GetBody net/http cannot resend the body on its own.
	req.GetBody = nil
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp, progress)
	}
	progress.Advance(attempt.Answered)
	pieces := &pieceReader{Reader: resp.Body}
	return &Stream{id: id, next: offset, body: resp.Body, pieces: pieces, dec: json.NewDecoder(pieces)}, nil
}

// maxPieceBytes is the largest size of one piece of a stream, in bytes.
const maxPieceBytes = 256 << 10

// A pieceReader reads the pieces of a stream, of which none may be larger than maxPieceBytes.
type pieceReader struct {
	io.Reader
	read int64 // bytes since the last whole piece
}

// Read implements io.Reader.
func (r *pieceReader) Read(data []byte) (int, error) {
	n, err := r.Reader.Read(data)
	r.read += int64(n)
	if r.read > maxPieceBytes {
		return 0, &upstream.LimitError{Limit: upstream.EventBytes, Bytes: r.read}
	}
	return n, err
}

// statusError returns the error for a response other than 200, and records in progress
// whether the engine refused the call before it ran.
func statusError(resp *http.Response, progress *upstream.Progress) error {
	defer resp.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(resp.Body, 1024)) // best effort: it only explains the error
	e := &StatusError{
		Status:  resp.StatusCode,
		NotRun:  resp.Header.Get(upstream.HeaderRun) == "not_run",
		Leaving: resp.Header.Get(upstream.HeaderLeaving) == "true",
		Detail:  string(bytes.TrimSpace(detail)),
	}
	if e.NotRun {
		progress.Advance(attempt.Refused)
		return e
	}
	progress.Advance(attempt.Answered)
	return e
}

// Next returns the next piece of the attempt. It drops pieces of other attempts and pieces
// received before. It must not be called after it has returned the piece with End set.
func (s *Stream) Next() (Piece, error) {
	for {
		var p Piece
		if err := s.dec.Decode(&p); err != nil {
			return Piece{}, ErrTruncated
		}
		s.pieces.read = 0
		if p.ID != s.id || p.Offset < s.next {
			continue
		}
		if p.Offset > s.next {
			return Piece{}, ErrMissingPiece
		}
		s.next++
		return p, nil
	}
}

// Close closes the stream, before or after its end.
func (s *Stream) Close() { _ = s.body.Close() } // an error does not affect the pieces already read

// Cancel cancels the sequence that the engine runs for the attempt id.
func (c *Client) Cancel(ctx context.Context, address, id string) error {
	return c.post(ctx, address, PathCancel, CancelRequest{ID: id}, nil)
}

// State reads the engine's state.
func (c *Client) State(ctx context.Context, address string) (pool.State, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathState, nil)
	if err != nil {
		return pool.State{}, trace.Wrap(err)
	}
	resp, err := c.control.Do(req)
	if err != nil {
		return pool.State{}, trace.Wrap(err)
	}
	defer resp.Body.Close()
	var s State
	if err := decodeReply(resp, &s); err != nil {
		return pool.State{}, err
	}
	return s.decode(), nil
}

// SubmitOrder sends an order to the engine. base is the model of an adapter. The order is
// sent over a new connection, so that the transport cannot resend it.
func (c *Client) SubmitOrder(ctx context.Context, address string, o book.Order, base string) planner.OrderReply {
	out := planner.OrderReply{Engine: o.Engine, Fence: o.Fence, Seq: o.Seq}
	var progress upstream.Progress
	wire := OrderRequest{Fence: o.Fence, Seq: o.Seq, Op: o.Op.String(), Item: o.Item, Base: base, MiB: o.MiB}
	req, err := newRequest(progress.TraceContext(ctx), address, PathOrders, wire)
	if err != nil {
		out.Outcome = planner.OrderNotSent
		out.Detail = err.Error()
		return out
	}
	req.GetBody = nil
	resp, err := c.transports.Fresh.RoundTrip(req)
	if err != nil {
		out.Outcome = planner.OrderLost
		if progress.Phase() == attempt.NotSent {
			out.Outcome = planner.OrderNotSent
		}
		out.Detail = err.Error()
		return out
	}
	defer resp.Body.Close()
	var reply OrderReply
	if err := decodeReply(resp, &reply); err != nil {
		out.Outcome = planner.OrderLost
		out.Detail = err.Error()
		return out
	}
	out.State = reply.State.decode()
	out.Detail = reply.Detail
	out.Outcome = map[string]planner.OrderOutcome{
		ResultDone:    planner.OrderAccepted,
		ResultRefused: planner.OrderRefused,
		ResultFenced:  planner.OrderFenced,
	}[reply.Result]
	if out.Outcome == 0 {
		out.Outcome = planner.OrderLost
	}
	return out
}

// post sends body as JSON and decodes the response into reply, unless reply is nil.
func (c *Client) post(ctx context.Context, address, path string, body, reply any) error {
	req, err := newRequest(ctx, address, path, body)
	if err != nil {
		return err
	}
	resp, err := c.control.Do(req)
	if err != nil {
		return trace.Wrap(err)
	}
	defer resp.Body.Close()
	return decodeReply(resp, reply)
}

// newRequest returns a POST request with body as JSON.
func newRequest(ctx context.Context, address, path string, body any) (*http.Request, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(data))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	req.Header.Set("Content-Type", "application/json")
	return req, nil
}

// decodeReply decodes the JSON body of a response with status 200 into out, unless out is
// nil. Any other status is an error.
func decodeReply(resp *http.Response, reply any) error {
	if resp.StatusCode != http.StatusOK {
		return trace.Errorf("status %d", resp.StatusCode)
	}
	if reply == nil {
		return nil
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(reply))
}

var phaseByName = map[string]pool.ItemPhase{
	"loading":   pool.Loading,
	"ready":     pool.Ready,
	"unloading": pool.Unloading,
}

// decode returns the state as the state machine represents it.
func (s State) decode() pool.State {
	out := pool.State{
		Residency: pool.Residency{Boot: s.Boot, Change: s.Change, Leaving: s.Leaving},
		Load:      pool.Load{Boot: s.Boot, Seq: s.Seq, Running: s.Running, Waiting: s.Waiting},
		Fence:     s.Fence,
		LastOrder: s.LastOrder,
	}
	for _, it := range s.Items {
		phase, ok := phaseByName[it.Phase]
		if !ok {
			phase = pool.Loading // an unknown phase: the item uses memory but serves no calls
		}
		out.Residency.Items = append(out.Residency.Items, pool.Item{Name: it.Name, Phase: phase})
	}
	return out
}

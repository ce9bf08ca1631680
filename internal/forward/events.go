package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/birchdrift/birchdrift/internal/upstream"
)

const (
	// maxEventSize is the largest size of one event of a stream, in bytes.
	maxEventSize = 256 << 10
	// maxIdleBytes is the largest number of bytes of a stream between two events: comments and
	// blank lines.
	maxIdleBytes = 16 << 10
)

// ErrPartialEvent means that an event stream ended within an event.
var ErrPartialEvent = errors.New("the series of events ended within an event")

// A Block is a part of an event stream, up to and with the blank line that ends it. Its bytes are
// unchanged.
type Block struct {
	Bytes  []byte // valid until the next block is read
	Event  bool   // it has a field; otherwise it consists of comments or blank lines
	Number int    // in the event's id field; 0 if there is none, ambiguousNumber if there are several
}

// ambiguousNumber is the number of an event with several, which follows no other event.
const ambiguousNumber = -1

// ErrEventOrder means that an event does not follow the ones before it.
var ErrEventOrder = errors.New("the numbers of the events do not follow each other")

// A Position is where the caller of a stream is: which event it got last. The zero value is the beginning.
type Position struct {
	Last      int  // number of the last event that has one, 0 if none has
	unordered bool // an event without a number followed it
}

// Known reports whether a replica can be asked for the events after this position.
func (p Position) Known() bool { return !p.unordered }

// With returns the position after an event. It fails if the event does not follow; first means that
// it is the first event of an attempt, which has to show by its number that it follows.
func (p Position) With(event Block, first bool) (Position, error) {
	switch {
	case event.Number == 0 && first && p.Last > 0:
		return p, ErrEventOrder
	case event.Number == 0:
		return Position{Last: p.Last, unordered: true}, nil
	case event.Number != p.Last+1:
		return p, ErrEventOrder
	default:
		return Position{Last: event.Number}, nil
	}
}

// An EventReader reads an event stream one block at a time.
type EventReader struct {
	in   *bufio.Reader
	buf  []byte // the current block
	idle int    // bytes since the last event
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{in: bufio.NewReader(body)}
}

// Next returns the next block. It returns io.EOF if the stream ended after a whole block, and any
// other error if it was truncated or exceeds a limit (an upstream.LimitError).
func (e *EventReader) Next() (Block, error) {
	e.buf = e.buf[:0]
	for !bytes.HasSuffix(e.buf, []byte("\n\n")) {
		part, err := e.in.ReadSlice('\n')
		e.buf = append(e.buf, part...)
		if len(e.buf) > maxEventSize {
			return Block{}, &upstream.LimitError{Limit: upstream.EventBytes, Bytes: int64(len(e.buf))}
		}
		switch {
		case err == nil, errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF) && len(e.buf) > 0:
			return Block{}, ErrPartialEvent
		default:
			return Block{}, err
		}
	}
	return e.block()
}

// block returns the block that was read.
func (e *EventReader) block() (Block, error) {
	b := Block{Bytes: e.buf}
	b.Event, b.Number = parseFields(e.buf)
	if b.Event {
		e.idle = 0
		return b, nil
	}
	e.idle += len(e.buf)
	if e.idle > maxIdleBytes {
		return Block{}, &upstream.LimitError{Limit: upstream.IdleBytes, Bytes: int64(e.idle)}
	}
	return b, nil
}

// Buffered reports whether Next will return without waiting for the other end.
func (e *EventReader) Buffered() bool {
	buffered, _ := e.in.Peek(e.in.Buffered()) // cannot fail
	return bytes.Contains(buffered, []byte("\n\n"))
}

// parseFields reports whether a block has a field, and the number in its id field: 0 if there is none,
// or ambiguousNumber if several differ.
func parseFields(block []byte) (event bool, number int) {
	for line := range bytes.Lines(block) {
		if line[0] == '\n' || line[0] == ':' {
			continue
		}
		event = true
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		switch {
		case err != nil || n <= 0:
		case number == 0:
			number = n
		case number != n:
			number = ambiguousNumber
		}
	}
	return event, number
}

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

// A lineScanner finds the ends of blocks. A line ends in CR LF, LF or CR, and a block in two line
// ends. A block with lines that end in CR LF does not end before the LF of its last line.
type lineScanner struct {
	ends    int  // line ends since the last other byte
	afterCR bool // an LF that follows belongs to the line end before it
	crlf    bool // a line of this block ended in CR LF
}

// scan reads data up to the end of the block, or all of it if the block does not end there. It returns
// the number of bytes.
func (l *lineScanner) scan(data []byte) (n int, ended bool) {
	for n < len(data) && !l.ended() {
		if l.ends == 2 && data[n] != '\n' {
			break // a lone CR ended the block
		}
		l.next(data[n])
		n++
	}
	if n == len(data) && !l.ended() {
		return n, false
	}
	if l.afterCR && n < len(data) && data[n] == '\n' {
		l.next('\n')
		n++
	}
	l.ends, l.crlf = 0, false
	return n, true
}

// ended reports whether the block has ended, whatever follows.
func (l *lineScanner) ended() bool { return l.ends == 2 && !(l.afterCR && l.crlf) }

func (l *lineScanner) next(c byte) {
	second := c == '\n' && l.afterCR
	l.afterCR = c == '\r'
	switch {
	case second:
		l.crlf = true
	case c == '\n' || c == '\r':
		l.ends++
	default:
		l.ends = 0
	}
}

// An EventReader reads an event stream one block at a time.
type EventReader struct {
	in    *bufio.Reader
	lines lineScanner
	buf   []byte // the current block
	idle  int    // bytes since the last event
}

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	return &EventReader{in: bufio.NewReader(body)}
}

// Next returns the next block. It returns io.EOF if the stream ended after a whole block, and any
// other error if it was truncated or exceeds a limit (an upstream.LimitError).
func (e *EventReader) Next() (Block, error) {
	e.buf = e.buf[:0]
	for ended := false; !ended; {
		if _, err := e.in.Peek(1); err != nil {
			return e.last(err)
		}
		var n int
		data, _ := e.in.Peek(e.in.Buffered()) // cannot fail
		n, ended = e.lines.scan(data)
		e.buf = append(e.buf, data[:n]...)
		_, _ = e.in.Discard(n) // cannot fail
		if len(e.buf) > maxEventSize {
			return Block{}, &upstream.LimitError{Limit: upstream.EventBytes, Bytes: int64(len(e.buf))}
		}
	}
	return e.block()
}

// last returns what is left when reading fails: the LF of a CR LF whose CR ended the block before, or
// an error.
func (e *EventReader) last(err error) (Block, error) {
	switch {
	case !errors.Is(err, io.EOF) || len(e.buf) == 0:
		return Block{}, err
	case string(e.buf) == "\n" && e.lines.ends == 0:
		return e.block()
	default:
		return Block{}, ErrPartialEvent
	}
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
	lines := e.lines
	_, ended := lines.scan(buffered)
	return ended
}

// parseFields reports whether a block has a field, and the number in its id field: 0 if there is none,
// or ambiguousNumber if several differ.
func parseFields(block []byte) (event bool, number int) {
	for line := range bytes.FieldsFuncSeq(block, isLineEnd) {
		if line[0] == ':' {
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

func isLineEnd(r rune) bool { return r == '\n' || r == '\r' }

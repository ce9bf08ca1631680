package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventSize is the largest size of one event of a stream, in bytes.
const maxEventSize = 1 << 20

// ErrPartialEvent means that an event stream ended within an event.
var ErrPartialEvent = errors.New("the series of events ended within an event")

// EventReader reads an event stream one whole event at a time. It returns the bytes of
// each event unchanged, with the blank line that ends it.
type EventReader struct{ scanner *bufio.Scanner }

// NewEventReader returns a reader of the events in body.
func NewEventReader(body io.Reader) *EventReader {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 1024), maxEventSize)
	s.Split(splitEvent)
	return &EventReader{scanner: s}
}

// splitEvent is a bufio.SplitFunc that splits after each blank line.
func splitEvent(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		return i + 2, data[:i+2], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, ErrPartialEvent
	}
	return 0, nil, nil
}

// Next returns the next event and its number, or 0 if it has none. It returns
// io.EOF if the stream ended after a whole event, and any other error if it was
// truncated. The bytes are valid until the next call.
func (e *EventReader) Next() (event []byte, number int, err error) {
	if !e.scanner.Scan() {
		if err := e.scanner.Err(); err != nil {
			return nil, 0, err
		}
		return nil, 0, io.EOF
	}
	event = e.scanner.Bytes()
	return event, eventNumber(event), nil
}

// eventNumber returns the number in an event's id field, or 0 if there is none.
func eventNumber(event []byte) int {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		n, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		if err == nil && n > 0 {
			return n
		}
	}
	return 0
}

package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// maxEventSize bounds one event of a series, in bytes.
const maxEventSize = 1 << 20

// ErrPartialEvent says that a series of events ended within an event.
var ErrPartialEvent = errors.New("the series of events ended within an event")

// EventReader reads a series of events one whole event at a time, as it came, its
// closing blank line included.
type EventReader struct{ scanner *bufio.Scanner }

// NewEventReader reads events from body.
func NewEventReader(body io.Reader) *EventReader {
	s := bufio.NewScanner(body)
	s.Buffer(make([]byte, 0, 1024), maxEventSize)
	s.Split(splitEvent)
	return &EventReader{scanner: s}
}

// splitEvent cuts behind each blank line.
func splitEvent(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if i := bytes.Index(data, []byte("\n\n")); i >= 0 {
		return i + 2, data[:i+2], nil
	}
	if atEOF && len(data) > 0 {
		return 0, nil, ErrPartialEvent
	}
	return 0, nil, nil
}

// Next returns the next event and its number, 0 if it has none. It returns
// io.EOF after the last whole event of a series that came to its end, and any
// other error for one that did not. The bytes are valid until the next call.
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

// eventNumber returns the number in an event's id field, 0 if there is none.
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

package forward

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"github.com/birchdrift/birchdrift/internal/upstream"
)

// readBlocks reads a stream to its end and returns what was read, the number of events, and the error.
func readBlocks(body io.Reader) (text string, events int, err error) {
	r := NewEventReader(body)
	for {
		block, err := r.Next()
		if err != nil {
			return text, events, err
		}
		text += string(block.Bytes)
		if block.Event {
			events++
		}
	}
}

// Guards against streams without end that hold no event or one endless event, and against limits
// that true streams exceed.
func TestStreamsAreLimited(t *testing.T) {
	const event = "id: 1\ndata: x\n\n"
	large := "data: " + strings.Repeat("z", maxEventSize-8) + "\n\n"
	idle := strings.Repeat("\n\n", maxIdleBytes/2)
	for name, c := range map[string]struct {
		body   string
		events int
		want   upstream.Limit
	}{
		"events":                         {event + event, 2, ""},
		"comments and blank lines":       {": z\n\n\n\n" + event + ": z\n\n", 1, ""},
		"a large event":                  {large, 1, ""},
		"an event that is too large":     {"z" + large, 0, upstream.EventBytes},
		"an event that does not end":     {strings.Repeat("z", 2*maxEventSize), 0, upstream.EventBytes},
		"much without an event":          {idle + event + idle + event, 2, ""},
		"too much without an event":      {idle + "\n\n" + event, 0, upstream.IdleBytes},
		"too much of it behind an event": {event + idle + ": z\n\n", 1, upstream.IdleBytes},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			text, events, err := readBlocks(strings.NewReader(c.body))
			is.Equal(events, c.events)
			if c.want == "" {
				is.True(errors.Is(err, io.EOF))
				is.Equal(text, c.body)
				return
			}
			var limit *upstream.LimitError
			is.True(errors.As(err, &limit))
			is.Equal(limit.Limit, c.want)
		})
	}
}

// Guards against a stream that looks complete although it ended within an event.
func TestAStreamThatEndsWithinAnEventIsPartial(t *testing.T) {
	for _, body := range []string{"id: 1\ndata: x\n\nid: 2\n", "id: 1", "\n", "id: 1\r\n\r\nid: 2\r\n\r", "id: 1\r\n\r"} {
		is := is.New(t)
		_, _, err := readBlocks(strings.NewReader(body))
		is.True(errors.Is(err, ErrPartialEvent))
	}
}

// Guards against a large event that takes processor time in proportion to the square of its size when
// it arrives in small parts.
func TestALargeEventInSmallPartsIsReadInTime(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	_, events, _ := readBlocks(iotest.OneByteReader(strings.NewReader("data: " + strings.Repeat("z", maxEventSize-8) + "\n\n")))
	is.Equal(events, 1)
	is.True(time.Since(start) < time.Second)
}

// Guards against events that wait for the next one, or that are each sent by themselves although
// many arrived together.
func TestBufferedReportsWhetherAWholeBlockHasArrived(t *testing.T) {
	is := is.New(t)
	r := NewEventReader(strings.NewReader("id: 1\n\nid: 2\n\nid: 3\n"))
	_, err := r.Next()
	is.NoErr(err)
	is.True(r.Buffered())
	_, err = r.Next()
	is.NoErr(err)
	is.True(!r.Buffered())
}

// Guards against events that are taken for one, so that a stream which goes on behind the first repeats
// the others, and against a stream that is never passed on, because its lines end in CR LF or CR.
func TestEventsEndWithAnyLineEnd(t *testing.T) {
	for name, c := range map[string]struct {
		body    string
		numbers []int
	}{
		"LF":                     {"id: 1\ndata: x\n\nid: 2\n\n", []int{1, 2}},
		"CR LF":                  {"id: 1\r\ndata: x\r\n\r\nid: 2\r\n\r\n", []int{1, 2}},
		"CR":                     {"id: 1\rdata: x\r\rid: 2\r\r", []int{1, 2}},
		"CR LF, then LF":         {"id: 1\r\n\r\nid: 2\n\n", []int{1, 2}},
		"LF, then CR LF":         {"id: 1\n\nid: 2\r\n\r\n", []int{1, 2}},
		"an id behind a lone CR": {"data: x\rid: 1\n\n", []int{1}},
		"comments":               {": z\r\n\r\nid: 1\r\n\r\n: z\r\n\r\n", []int{1}},
	} {
		t.Run(name, func(t *testing.T) {
			for _, body := range []io.Reader{strings.NewReader(c.body), iotest.OneByteReader(strings.NewReader(c.body))} {
				is := is.New(t)
				r := NewEventReader(body)
				var numbers []int
				text := ""
				block, err := r.Next()
				for ; err == nil; block, err = r.Next() {
					text += string(block.Bytes)
					if block.Event {
						numbers = append(numbers, block.Number)
					}
				}
				is.True(errors.Is(err, io.EOF))
				is.Equal(text, c.body)
				is.Equal(numbers, c.numbers)
			}
		})
	}
}

// Guards against an event whose last line lacks its LF and that is joined to the first line of the next
// event, of another replica, for a caller that takes LF alone for the end of a line.
func TestAnEventEndsWithItsWholeLastLine(t *testing.T) {
	for _, body := range []string{"id: 1\r\ndata: x\r\n\r", "id: 1\r\n\r"} {
		is := is.New(t)
		text, events, err := readBlocks(iotest.OneByteReader(strings.NewReader(body)))
		is.True(errors.Is(err, ErrPartialEvent))
		is.Equal(text, "")
		is.Equal(events, 0)
	}
}

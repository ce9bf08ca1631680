package telemetry

import (
	"io"
	"sync"
	"time"
)

// Limits of the log's buffer, flush interval and rate.
const (
	logBufferSize     = 256 << 10 // bytes that may wait to be written
	flushInterval     = 100 * time.Millisecond
	maxLinesPerSecond = 400 // lines per second on average; a burst may have twice as many
)

// A LogWriter buffers log lines and writes them in batches, so that logging never waits
// for the output. Lines that exceed the buffer or the rate limit, a token bucket, are
// dropped and counted.
type LogWriter struct {
	out     io.Writer
	dropped func(lines int)

	mu         sync.Mutex
	buffer     []byte
	spare      []byte
	tokens     float64
	refilledAt time.Time
	closed     chan struct{}
	done       chan struct{}
}

// NewLogWriter returns a running LogWriter to out; dropped is called with the number of
// lines that are dropped.
func NewLogWriter(out io.Writer, dropped func(lines int)) *LogWriter {
	w := &LogWriter{
		out: out, dropped: dropped, tokens: 2 * maxLinesPerSecond, refilledAt: time.Now(),
		closed: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write buffers or drops one line. It never waits for the output and never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	kept := w.takeToken(time.Now()) && len(w.buffer)+len(line) <= logBufferSize
	if kept {
		w.buffer = append(w.buffer, line...)
	}
	w.mu.Unlock()
	if !kept {
		w.dropped(1)
	}
	return len(line), nil
}

// takeToken takes one token from the token bucket and reports whether there was one.
func (w *LogWriter) takeToken(now time.Time) bool {
	w.tokens = min(w.tokens+maxLinesPerSecond*now.Sub(w.refilledAt).Seconds(), 2*maxLinesPerSecond)
	w.refilledAt = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

func (w *LogWriter) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.flush()
		case <-w.closed:
			w.flush()
			return
		}
	}
}

func (w *LogWriter) flush() {
	w.mu.Lock()
	batch := w.buffer
	w.buffer = w.spare[:0]
	w.mu.Unlock()
	if len(batch) > 0 {
		_, _ = w.out.Write(batch) // a failure to write the log cannot be reported anywhere
	}
	w.mu.Lock()
	w.spare = batch[:0]
	w.mu.Unlock()
}

// Close writes the buffered lines and stops the writer.
func (w *LogWriter) Close() {
	close(w.closed)
	<-w.done
}

package telemetry

import (
	"io"
	"sync"
	"time"
)

// Bounds of buffered logs.
const (
	logBufferSize     = 256 << 10 // bytes that may wait to be written
	flushInterval     = 100 * time.Millisecond
	maxLinesPerSecond = 400 // lines a second on average; twice as many for a second
)

// A LogWriter buffers log lines and writes them in batches, so that nobody who
// logs ever waits for the output. Lines beyond the buffer, or beyond the rate
// for long, are dropped and counted.
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

// NewLogWriter returns a writer to out; dropped counts what is lost.
func NewLogWriter(out io.Writer, dropped func(lines int)) *LogWriter {
	w := &LogWriter{
		out: out, dropped: dropped, tokens: 2 * maxLinesPerSecond, refilledAt: time.Now(),
		closed: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write takes one line. It never blocks and never fails.
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

// takeToken spends one line of the rate.
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
		_, _ = w.out.Write(batch) // there is nowhere to report that logs cannot be written
	}
	w.mu.Lock()
	w.spare = batch[:0]
	w.mu.Unlock()
}

// Close writes what waits and ends the writer.
func (w *LogWriter) Close() {
	close(w.closed)
	<-w.done
}

package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// A blockedWriter blocks writes while its mutex is locked.
type blockedWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(data []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(data)
}

// TestLogsNeverBlock checks that logging does not block while the output does, and that
// every line is either written or counted as dropped.
func TestLogsNeverBlock(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{}
	dropped := 0
	w := NewLogWriter(out, func(n int) { dropped += n })
	out.mu.Lock()
	const lines = 5000
	for range lines {
		_, err := w.Write([]byte("a line of a log\n"))
		is.NoErr(err)
	}
	out.mu.Unlock()
	w.Close()
	kept := strings.Count(out.buf.String(), "\n")
	is.Equal(kept+dropped, lines)
	is.True(dropped > 0)                 // the buffer is bounded
	is.True(kept >= 2*maxLinesPerSecond) // the largest burst is written
}

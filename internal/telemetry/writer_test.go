package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// A blockedWriter blocks until it is let go.
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

// TestLogsNeverBlock: with an output that takes nothing, every line is either
// kept or counted as dropped, and whoever logs goes on.
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
	is.True(dropped > 0)                 // bounded
	is.True(kept >= 2*maxLinesPerSecond) // a burst is kept
}

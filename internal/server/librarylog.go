package server

import (
	"strings"

	"github.com/go-logr/logr"

	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/internal/telemetry"
)

// maxLibraryMessage is the length in bytes to which messages of libraries are truncated: what
// net/http's client says of bytes behind an answer is longer, and quotes them.
const maxLibraryMessage = 64

// A libraryLog logs what libraries write with package log. Its lines are subject to the rate limit of
// the log.
type libraryLog struct {
	log     logr.Logger
	metrics *telemetry.Metrics
}

// Write implements io.Writer. Package log calls it once a message.
func (l libraryLog) Write(message []byte) (int, error) {
	text := strings.ToValidUTF8(string(message[:min(len(message), maxLibraryMessage)]), "")
	l.metrics.CountEvent(logevent.LibraryMessage)
	l.log.Info(logevent.LibraryMessage.Name(), "event", int(logevent.LibraryMessage), "detail", strings.TrimSpace(text))
	return len(message), nil
}

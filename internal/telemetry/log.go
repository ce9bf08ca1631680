package telemetry

import (
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// NewLogger returns a logger that writes JSON lines, each with the instance's name and zone.
func NewLogger(w io.Writer, level slog.Leveler, instance, zone string) logr.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return logr.FromSlogHandler(handler).WithValues("instance", instance, "zone", zone)
}

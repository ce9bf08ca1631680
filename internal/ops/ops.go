// Package ops provides the handler of the operations listener: health, readiness,
// metrics and status. Reads need no authentication; stop, the only call that changes
// something, needs the operations key.
package ops

import (
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/birchdrift/birchdrift/internal/shell"
	"github.com/birchdrift/birchdrift/internal/telemetry"
)

// HeaderKey is the request header that carries the operations key.
const HeaderKey = "Birchdrift-Operations-Key"

// A Handler serves operators and the load balancer.
type Handler struct {
	Shell   *shell.Shell
	Metrics *telemetry.Metrics
	Key     string // operations key; "" disables stop
}

// Routes returns the operations listener's HTTP handler.
func (h Handler) Routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", h.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { h.Metrics.Write(w) })
	mux.HandleFunc("GET /status", h.status)
	mux.HandleFunc("POST /stop", h.stop)
	return mux
}

func (h Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if ok, reason := h.Shell.Ready(); !ok {
		http.Error(w, "not ready: "+reason, http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

func (h Handler) status(w http.ResponseWriter, r *http.Request) {
	st, err := h.Shell.Status(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(st) // an operator that has disconnected needs no answer
}

func (h Handler) stop(w http.ResponseWriter, r *http.Request) {
	if h.Key == "" || subtle.ConstantTimeCompare([]byte(r.Header.Get(HeaderKey)), []byte(h.Key)) != 1 {
		http.Error(w, "wrong operations key", http.StatusUnauthorized)
		return
	}
	h.Shell.Stop()
	w.WriteHeader(http.StatusAccepted)
}

package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
)

// Replica is a stand-in for a replica that holds one model. It rejects requests and orders that
// expect another instance, and reports its state.
type Replica struct {
	ID, Service, Zone, Address string
	Model                      string // "" if it runs no models
	Slots                      int
	Handle                     http.HandlerFunc // serves requests

	store  *Store
	beat   atomic.Uint64
	server *http.Server
	mu     sync.Mutex
	orders int
}

// NewReplica starts a replica and puts its entry into the store.
func NewReplica(s *Store, id, service, zone, model string, handle http.HandlerFunc) (*Replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{ID: id, Service: service, Zone: zone, Model: model, Slots: 64, Address: l.Addr().String(), Handle: handle, store: s}
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(l) }()
	r.Say("ready")
	return r, nil
}

// Say writes the replica's entry with the given state.
func (r *Replica) Say(state string) {
	e := map[string]any{
		"service": r.Service, "address": r.Address, "zone": r.Zone, "version": "v1", "slots": r.Slots, "state": state,
		"cold_left_ms": 0, "sequence": r.beat.Add(1),
	}
	if r.Model != "" {
		e["stage"] = "unified"
		e["models"] = []any{map[string]any{"name": r.Model, "version": 1, "adapters": []string{}}}
	}
	data, _ := json.Marshal(e)
	r.store.Put("servers/"+r.ID, string(data))
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("Expect-Instance"); want != "" && want != r.ID {
		w.Header().Set("Instance-Id", r.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case q.URL.Path == "/health":
		w.Header().Set("Instance-Id", r.ID)
	case q.URL.Path == "/-/report":
		reply(w, map[string]any{
			"stage": "unified", "models": []any{map[string]any{"name": r.Model, "version": 1, "adapters": []string{}}},
			"busy": false, "sequence": 0, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 254071, "handles": 0,
		})
	case q.URL.Path == "/-/order":
		w.WriteHeader(http.StatusConflict)
	case strings.HasPrefix(q.URL.Path, "/-/"):
		w.WriteHeader(http.StatusNotFound)
	case q.Header.Get("Request-Id") == "":
		w.Header().Set("Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
	default:
		w.Header().Set("Request-Id", q.Header.Get("Request-Id"))
		r.Handle(w, q)
	}
}

// stamp sets the replica's signature on an answer.
func (r *Replica) stamp(w http.ResponseWriter, q *http.Request) {
	w.Header().Set("Server-Stamp", "3e1b."+r.ID+"."+q.Header.Get("Request-Id"))
}

// event returns one event of a stream.
func event(n int, text string) string { return fmt.Sprintf("id: %d\ndata: %s\n\n", n, text) }

// config returns the configuration of a small deployment: a resumable and a plain streaming route to
// replicas that hold a model, and an unsafe and a safe route to a plain service.
func config(version int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[
	{"name":"draft","host":"depot.example","path_prefix":"/draft/","kind":"streaming","timeout_ms":12000,"target_latency_ms":5000,"priority":1,"service":"note-writer","max_attempts":1,"sticky":true,"resumable":false,"target_gap_ms":400},
	{"name":"note","host":"depot.example","path_prefix":"/note/","kind":"streaming","timeout_ms":5000,"target_latency_ms":800,"priority":1,"service":"note-writer","max_attempts":2,"sticky":true,"resumable":true,"target_gap_ms":400},
	{"name":"scan","host":"depot.example","path_prefix":"/scan/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":100,"priority":2,"service":"stock-desk","max_attempts":2,"resumable":false},
	{"name":"shelf","host":"depot.example","path_prefix":"/shelf/","kind":"safe","timeout_ms":2000,"target_latency_ms":100,"priority":2,"service":"stock-desk","max_attempts":2,"resumable":false}],
	"services":[
	{"name":"note-writer","health_path":"/health","max_conns":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":254071,"kv_token_bytes":163840,
	"models":[{"name":"m0","weights_mb":72700.0,"load_s":4.2,"adapters":0,"adapter_mb":66.0,"warm_s":0.4,"disk_s":0.84}],"weights_mb":220000.0,"adapter_slots":5,"loads_per_s":2.1}},
	{"name":"stock-desk","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`, version)
}

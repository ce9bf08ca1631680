package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// A replicaConfig is what a replica process is started with.
type replicaConfig struct {
	ID      string
	Address string
	Service string
	Zone    string
	Slots   int
	Models  []string // that it holds; nil: it runs none
	LoadMS  int      // time that a load takes
	Version string   // of its program; "": v1
}

// Headers by which a client of these tests tells the replica how to answer. They travel to the replica
// as any other header of a client does.
const (
	headerEvents   = "Test-Events"   // number of events
	headerPauseMS  = "Test-Pause-Ms" // between two events
	headerUnframed = "Test-Unframed" // the answer has no length and ends with its connection
	headerPutBack  = "Test-Put-Back" // time in ms for which the request is put back after its third event
)

// A replica stands in for a replica of a service (PROTOCOL.md). It is a process of its own and writes
// a line to its standard output for each request that it runs.
type replica struct {
	replicaConfig
	mu       sync.Mutex
	sequence uint64
	busy     bool
	running  int
	out      *json.Encoder
}

// A replicaLine is one line of a replica's output.
type replicaLine struct {
	ID      string   `json:"id"`
	Event   string   `json:"event"`
	Request string   `json:"request,omitempty"`
	Models  []string `json:"models,omitempty"`
	Detail  string   `json:"detail,omitempty"`
}

func (r *replica) say(event, request, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Encode(replicaLine{ID: r.ID, Event: event, Request: request, Models: r.Models, Detail: detail})
}

func runReplica(config string) {
	r := &replica{out: json.NewEncoder(os.Stdout)}
	if err := json.Unmarshal([]byte(config), &r.replicaConfig); err != nil {
		panic(err)
	}
	l, err := net.Listen("tcp", r.Address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	r.say("listens", "", "")
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", r.report)
	mux.HandleFunc("POST /-/order", r.order)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Instance-Id", r.ID) })
	mux.HandleFunc("/", r.serve)
	_ = http.Serve(l, mux)
	os.Exit(1)
}

func (r *replica) holds(model string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.Models, model)
}

func (r *replica) report(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	models := []map[string]any{}
	for _, m := range r.Models {
		models = append(models, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	reply(w, http.StatusOK, map[string]any{
		"stage": "unified", "models": models, "busy": r.busy, "sequence": r.sequence, "queued": 0, "running": r.running,
		"kv_used": 0, "kv_total": 90000, "handles": 0, "coming": []string{},
	})
}

// refuse answers 421 with the id of this replica.
func (r *replica) refuse(w http.ResponseWriter) {
	w.Header().Set("Instance-Id", r.ID)
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func (r *replica) order(w http.ResponseWriter, req *http.Request) {
	var o struct {
		Op       string  `json:"op"`
		Model    string  `json:"model"`
		Adapter  string  `json:"adapter"`
		Expected *uint64 `json:"expected_count"`
		Holder   string  `json:"holder"`
		Fence    uint64  `json:"fence"`
	}
	if json.NewDecoder(req.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 || o.Adapter != "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.ID {
		r.refuse(w)
		return
	}
	status := func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		held := slices.Contains(r.Models, o.Model)
		switch {
		case r.busy, o.Expected != nil && *o.Expected != r.sequence:
			return http.StatusConflict
		case held == (o.Op == "load"):
			return http.StatusOK
		}
		r.sequence++
		r.busy = true
		return http.StatusAccepted
	}()
	r.say("order", "", fmt.Sprintf("%s %s by %s, fence %d: %d", o.Op, o.Model, o.Holder, o.Fence, status))
	if status == http.StatusAccepted {
		time.AfterFunc(time.Duration(r.LoadMS)*time.Millisecond, func() {
			r.mu.Lock()
			r.busy = false
			if o.Op == "load" {
				r.Models = append(r.Models, o.Model)
			} else {
				r.Models = slices.DeleteFunc(r.Models, func(m string) bool { return m == o.Model })
			}
			r.mu.Unlock()
			r.say("models", "", "")
		})
	}
	w.WriteHeader(status)
}

// serve runs a request: it sends events, or a small body if none are asked for.
func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	_, _ = io.Copy(io.Discard, req.Body)
	id := req.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	model, _, _ := strings.Cut(req.Header.Get("Model"), "/")
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.ID || r.Models != nil && model != "" && !r.holds(model) {
		r.refuse(w)
		return
	}
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	r.say("runs", id, "")
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
		r.say("ended", id, "")
	}()
	w.Header().Set("Server-Stamp", r.ID+"."+id)
	var events, pause int
	_, _ = fmt.Sscan(req.Header.Get(headerEvents), &events)
	_, _ = fmt.Sscan(req.Header.Get(headerPauseMS), &pause)
	if req.Header.Get(headerUnframed) != "" {
		w.Header().Set("Transfer-Encoding", "identity") // net/http then sends neither a length nor chunks
	}
	if events == 0 {
		time.Sleep(15 * time.Millisecond)
		_, _ = io.WriteString(w, "served "+id+"\n")
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	first := 1
	_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &first)
	if req.Header.Get("Last-Event-Id") != "" {
		first++
	}
	var putBack int
	_, _ = fmt.Sscan(req.Header.Get(headerPutBack), &putBack)
	for n := first; n <= events; n++ {
		if n > first {
			wait := pause
			if n == 4 {
				wait += putBack
			}
			select {
			case <-time.After(time.Duration(wait) * time.Millisecond):
			case <-req.Context().Done():
				r.say("dropped", id, fmt.Sprintf("before event %d", n))
				return
			}
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %d of %d\n\n", n, n, events); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// Package service provides a small stand-in for a plain service, which is a service without
// a model. It records the calls that it executed.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/birchdrift/birchdrift/internal/upstream"
	"github.com/birchdrift/birchdrift/standin/fault"
)

// Faults are the faults that the stand-in simulates. A field that holds a number of calls is
// decremented by each call that it affects.
type Faults struct {
	DropBefore int            `json:"drop_before"` // drop the connection of the next n calls before they run
	DropAfter  int            `json:"drop_after"`  // drop the connection of the next n calls after they ran
	CutBody    int            `json:"cut_body"`    // truncate the responses to the next n calls in the middle of the body
	Slow       fault.Duration `json:"slow"`        // delay between the execution of every call and its response
	Refuse     int            `json:"refuse"`      // refuse the next n calls and report them as not run
	Leaving    bool           `json:"leaving"`     // refuse every call, and report it as not run and the replica as leaving
}

// An Execution is one call that ran.
type Execution struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Body   string `json:"body"`
	Call   string `json:"call"` // call ID assigned by the entry instance
}

// A Service is a stand-in for a plain service. It is safe for concurrent use.
type Service struct {
	Faults fault.Injector[Faults]
	name   string

	mu         sync.Mutex
	executions []Execution
}

// New returns a service that has executed no calls. Its responses contain name in the
// Served-By header.
func New(name string) *Service { return &Service{name: name} }

// Executions returns a copy of the list of calls that ran, in the order of execution.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.executions...)
}

// Handler returns the service's HTTP interface: every path except /ledger and /fault
// echoes the method, the path and the body. /ledger returns Executions, and /fault sets
// Faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s.Executions()) })
	mux.HandleFunc("POST /fault", s.Faults.Handler())
	return mux
}

// takeOne decrements n if it is positive and reports whether it did.
func takeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// serve applies the active faults, records the call as executed and echoes it.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	var dropBefore, dropAfter, cutBody, refuse, leaving bool
	var slow time.Duration
	s.Faults.Update(func(f *Faults) {
		leaving = f.Leaving
		refuse = leaving || takeOne(&f.Refuse)
		dropBefore = !refuse && takeOne(&f.DropBefore)
		dropAfter = !refuse && !dropBefore && takeOne(&f.DropAfter)
		cutBody = !refuse && !dropBefore && !dropAfter && takeOne(&f.CutBody)
		slow = time.Duration(f.Slow)
	})
	if refuse {
		w.Header().Set(upstream.HeaderRun, "not_run")
		if leaving {
			w.Header().Set(upstream.HeaderLeaving, "true")
		}
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	if dropBefore {
		fault.DropConnection(w)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the request was incomplete, so the call does not run
	}
	s.mu.Lock()
	s.executions = append(s.executions, Execution{Method: r.Method, Path: r.URL.Path, Body: string(body), Call: r.Header.Get(upstream.HeaderCall)})
	s.mu.Unlock()
	time.Sleep(slow)
	if dropAfter {
		fault.DropConnection(w)
		return
	}
	w.Header().Set("Served-By", s.name)
	answer := append([]byte(r.Method+" "+r.URL.Path+" "), body...)
	if cutBody {
		_, _ = w.Write(answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(answer) // the caller sees a failed write as a broken connection
}

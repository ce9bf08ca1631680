// Package engine provides a small stand-in for a model engine: continuous
// batching with a bounded number of sequences, a prefix cache of limited size,
// accelerator memory that it refuses loudly to overcommit, fenced orders, and
// streams that can be resumed and cancelled.
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	wire "github.com/birchdrift/birchdrift/internal/own/engine"
	"github.com/birchdrift/birchdrift/internal/upstream"
	"github.com/birchdrift/birchdrift/standin/fault"
)

// Options shape one engine.
type Options struct {
	Name             string
	MemoryMiB        int64
	Sequences        int
	ChecksFence      bool
	TokenTime        time.Duration // between tokens of a sequence that runs alone
	PrefillPerSecond int           // prompt tokens; 0 is instant
	CacheBlocks      int           // prefix blocks remembered
	MiBPerSecond     int64         // load speed; 0 is instant
	WeightStore      string        // IP:port of the platform stand-in, "" for none
	LoadLag          time.Duration // how old reported loads are
	Linger           time.Duration // how long a sequence outlives its connection
}

// DefaultOptions returns a small quick engine.
func DefaultOptions(name string) Options {
	return Options{
		Name: name, MemoryMiB: 40 << 10, Sequences: 8, ChecksFence: true,
		TokenTime: 5 * time.Millisecond, PrefillPerSecond: 20000, CacheBlocks: 1024,
		MiBPerSecond: 20 << 10, Linger: 5 * time.Second,
	}
}

// Faults are the ways in which the stand-in misbehaves.
type Faults struct {
	CutEvery   int            `json:"cut_every"`  // cut each stream's connection after so many pieces
	Freeze     bool           `json:"freeze"`     // answer nothing and generate nothing
	Slow       fault.Duration `json:"slow"`       // added to the time to first token
	OrderLost  int            `json:"order_lost"` // drop the answers of the next n orders after their effect
	OrderLate  int            `json:"order_late"` // carry out the next n orders late, after dropping their connections
	LateBy     fault.Duration `json:"late_by"`    // how late
	Duplicates bool           `json:"duplicates"` // send pieces twice and pieces of other calls between
	Refuse     bool           `json:"refuse"`     // refuse calls as not run
}

// Counts are what the stand-in did.
type Counts struct {
	Executed    map[string]int `json:"executed"` // by call, how often it was begun
	Overcommits int            `json:"overcommits"`
	Loads       int            `json:"loads"`
	Unloads     int            `json:"unloads"`
	Cancelled   int            `json:"cancelled"`
	PeakMiB     int64          `json:"peak_mib"`
	Generated   int64          `json:"generated"`
}

type item struct {
	phase string
	base  string
	mib   int64
	refs  int // sequences that use it
}

// An Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	Faults fault.Injector[Faults]
	opt    Options

	mu          sync.Mutex
	boot        uint64
	change      uint64
	seq         uint64
	fence       uint64
	lastOrder   uint64
	leaving     bool
	items       map[string]*item
	calls       map[string]*sequence
	running     int
	waiting     []*sequence
	cache       map[uint64]uint64 // last use by block
	clock       uint64
	counts      Counts
	loadSamples []loadSample
	closed      chan struct{}
	generated   atomic.Int64
}

type loadSample struct {
	at               time.Time
	running, waiting int
}

// New returns an engine with empty memory.
func New(opt Options) *Engine {
	return &Engine{
		opt:    opt,
		boot:   uint64(time.Now().UnixNano()),
		items:  map[string]*item{},
		calls:  map[string]*sequence{},
		cache:  map[uint64]uint64{},
		counts: Counts{Executed: map[string]int{}},
		closed: make(chan struct{}),
	}
}

// Close ends every sequence.
func (e *Engine) Close() { close(e.closed) }

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+wire.PathGenerate, e.holdWhileFrozen(e.generate))
	mux.HandleFunc("POST "+wire.PathResume, e.holdWhileFrozen(e.resume))
	mux.HandleFunc("POST "+wire.PathCancel, e.holdWhileFrozen(e.cancel))
	mux.HandleFunc("GET "+wire.PathState, e.holdWhileFrozen(e.state))
	mux.HandleFunc("POST "+wire.PathOrders, e.holdWhileFrozen(e.orders))
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) })
	mux.HandleFunc("POST /fault", e.Faults.Handler())
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { e.MarkLeaving() })
	return mux
}

// holdWhileFrozen holds requests for as long as the engine is holdWhileFrozen.
func (e *Engine) holdWhileFrozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !e.waitUntilThawed(r.Context().Done()) {
			return
		}
		next(w, r)
	}
}

// frozenPollInterval is how often a frozen engine looks whether it still is.
const frozenPollInterval = 5 * time.Millisecond

// waitUntilThawed waits until the engine is not frozen; false if gone comes first.
func (e *Engine) waitUntilThawed(gone <-chan struct{}) bool {
	for e.Faults.Get().Freeze {
		select {
		case <-time.After(frozenPollInterval):
		case <-gone:
			return false
		case <-e.closed:
			return false
		}
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller's connection tells of a failure
}

// MarkLeaving has the engine say that it is leaving and refuse new calls.
func (e *Engine) MarkLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.change++
}

// Restart empties the engine as a new process would be, under a later boot.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.calls {
		s.stop("restarted")
	}
	e.boot = max(e.boot+1, uint64(time.Now().UnixNano()))
	e.change, e.fence, e.lastOrder, e.leaving = 0, 0, 0, false
	e.items = map[string]*item{}
	e.calls = map[string]*sequence{}
	e.cache = map[uint64]uint64{}
}

// Preload puts items into memory, ready, as if loaded before.
func (e *Engine) Preload(name, base string, mib int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.items[name] = &item{phase: "ready", base: base, mib: mib}
	e.change++
	e.updatePeak()
}

// Counts returns what the engine did so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Executed = make(map[string]int, len(e.counts.Executed))
	for k, v := range e.counts.Executed {
		c.Executed[k] = v
	}
	c.Generated = e.generated.Load()
	return c
}

// ItemPhase returns the phase of an item, "" if absent.
func (e *Engine) ItemPhase(name string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if it := e.items[name]; it != nil {
		return it.phase
	}
	return ""
}

func (e *Engine) used() int64 {
	var sum int64
	for _, it := range e.items {
		sum += it.mib
	}
	return sum
}

func (e *Engine) updatePeak() { e.counts.PeakMiB = max(e.counts.PeakMiB, e.used()) }

// State returns what the engine says of itself.
func (e *Engine) State() wire.State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stateLocked()
}

func (e *Engine) stateLocked() wire.State {
	e.seq++
	running, waiting := e.reportedLoad()
	s := wire.State{
		Boot: e.boot, Change: e.change, Seq: e.seq, Leaving: e.leaving,
		Fence: e.fence, LastOrder: e.lastOrder, Running: running, Waiting: waiting, Items: []wire.Item{},
	}
	for name, it := range e.items {
		s.Items = append(s.Items, wire.Item{Name: name, Phase: it.phase})
	}
	sort.Slice(s.Items, func(i, j int) bool { return s.Items[i].Name < s.Items[j].Name })
	return s
}

// reportedLoad is the load as it was LoadLag ago.
func (e *Engine) reportedLoad() (running, waiting int) {
	now := time.Now()
	e.loadSamples = append(e.loadSamples, loadSample{now, e.running, len(e.waiting)})
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].at) >= e.opt.LoadLag {
		e.loadSamples = e.loadSamples[1:]
	}
	return e.loadSamples[0].running, e.loadSamples[0].waiting
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.State()) }

// refuse says that a call did not run and never will.
func (e *Engine) refuse(w http.ResponseWriter, status int, leaving bool, detail string) {
	w.Header().Set(upstream.HeaderRun, "not_run")
	if leaving {
		w.Header().Set(upstream.HeaderLeaving, "true")
	}
	http.Error(w, detail, status)
}

func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	var req wire.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		e.refuse(w, http.StatusBadRequest, false, err.Error())
		return
	}
	s, status, detail := e.admit(req)
	if s == nil {
		e.refuse(w, status, status == http.StatusServiceUnavailable, detail)
		return
	}
	go s.run()
	e.stream(w, r, s, 0)
}

// admit takes a call in, or says why not.
func (e *Engine) admit(req wire.GenerateRequest) (*sequence, int, string) {
	f := e.Faults.Get()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return nil, http.StatusServiceUnavailable, "leaving"
	}
	if f.Refuse {
		return nil, http.StatusTooManyRequests, "busy"
	}
	names := []string{req.Model}
	if req.Adapter != "" {
		names = append(names, req.Adapter)
	}
	for _, name := range names {
		if it := e.items[name]; it == nil || it.phase != "ready" {
			return nil, http.StatusConflict, fmt.Sprintf("%q is not ready", name)
		}
	}
	if e.calls[req.ID] != nil {
		return nil, http.StatusConflict, "call known"
	}
	for _, name := range names {
		e.items[name].refs++
	}
	s := newSequence(e, req, names)
	e.calls[req.ID] = s
	e.counts.Executed[req.ID]++
	return s, 0, ""
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	var req wire.ResumeRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	s := e.calls[req.ID]
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "no such sequence", http.StatusNotFound)
		return
	}
	e.stream(w, r, s, req.Offset)
}

func (e *Engine) cancel(_ http.ResponseWriter, r *http.Request) {
	var req wire.CancelRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		return
	}
	e.mu.Lock()
	s := e.calls[req.ID]
	if s != nil {
		e.counts.Cancelled++
	}
	e.mu.Unlock()
	if s != nil {
		s.stop("cancelled")
	}
}

// prefill returns the time to read the prompt, less what the cache holds, and
// puts the prompt's blocks into the cache; e.mu is held.
func (e *Engine) prefill(model, prompt string) time.Duration {
	const block = 1024
	if e.opt.PrefillPerSecond == 0 {
		return 0
	}
	uncached := len(prompt) % block
	h := xxhash.New()
	_, _ = h.WriteString(model)
	miss := false
	for i := 0; i+block <= len(prompt); i += block {
		_, _ = h.WriteString(prompt[i : i+block])
		key := h.Sum64()
		if _, hit := e.cache[key]; !hit || miss {
			miss = true
			uncached += block
		}
		e.clock++
		e.cache[key] = e.clock
	}
	e.trimCache()
	tokens := float64(uncached) / 4
	return time.Duration(tokens / float64(e.opt.PrefillPerSecond) * float64(time.Second))
}

func (e *Engine) trimCache() {
	for len(e.cache) > e.opt.CacheBlocks {
		var oldest uint64
		least := uint64(1<<63 - 1)
		for key, used := range e.cache {
			if used < least {
				oldest, least = key, used
			}
		}
		delete(e.cache, oldest)
	}
}

// PieceText is the piece at offset of a call's answer: it names its call and its
// place, so that a test can tell whose it is.
func PieceText(prompt string, offset int) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt)%1e9, 36) + "." + strconv.Itoa(offset) + " "
}

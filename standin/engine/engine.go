// Package engine provides a small stand-in for a model engine: continuous
// batching with a bounded number of sequences, a prefix cache of limited size,
// accelerator memory with a limit (it logs and refuses overcommitment), fenced orders,
// and streams that can be resumed and canceled.
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

// Options configure an engine.
type Options struct {
	Name             string
	MemoryMiB        int64
	Sequences        int
	ChecksFence      bool
	TokenTime        time.Duration // time between tokens of a sequence that runs alone
	PrefillPerSecond int           // prompt tokens; 0 is instant
	CacheBlocks      int           // capacity of the prefix cache, in blocks
	MiBPerSecond     int64         // load speed; 0 is instant
	WeightStore      string        // IP:port of the platform stand-in, "" for none
	LoadLag          time.Duration // age of reported loads
	Linger           time.Duration // time for which a sequence outlives its connection
}

// DefaultOptions returns the options of a small, fast engine.
func DefaultOptions(name string) Options {
	return Options{
		Name: name, MemoryMiB: 40 << 10, Sequences: 8, ChecksFence: true,
		TokenTime: 5 * time.Millisecond, PrefillPerSecond: 20000, CacheBlocks: 1024,
		MiBPerSecond: 20 << 10, Linger: 5 * time.Second,
	}
}

// Faults are the faults that the stand-in simulates.
type Faults struct {
	CutEvery   int            `json:"cut_every"`  // cut each stream's connection after this many pieces
	Freeze     bool           `json:"freeze"`     // send no replies and generate nothing
	Slow       fault.Duration `json:"slow"`       // added to the time to first token
	OrderLost  int            `json:"order_lost"` // drop the replies to the next n orders after their effect
	OrderLate  int            `json:"order_late"` // delay the next n orders by LateBy, after dropping their connections
	LateBy     fault.Duration `json:"late_by"`    // delay of OrderLate
	Duplicates bool           `json:"duplicates"` // send pieces twice, with pieces of other calls in between
	Refuse     bool           `json:"refuse"`     // refuse calls as not run
}

// Counts are the stand-in's counters.
type Counts struct {
	Executed    map[string]int `json:"executed"` // number of starts by call
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

// An Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	Faults fault.Injector[Faults]
	opt    Options

	mu          sync.Mutex
	boot        uint64 // identifies the start of the process; rises with every Restart
	change      uint64 // number of changes of the reported state since the boot
	seq         uint64 // number of reported states
	fence       uint64 // highest fencing token seen
	lastSeq     uint64 // sequence number of the last order under that fence
	leaving     bool
	items       map[string]*item
	calls       map[string]*sequence // by call identifier
	running     int
	waiting     []*sequence
	cache       map[uint64]uint64 // last use by block, as a count of uses
	cacheUses   uint64            // number of uses of cache blocks so far
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

// Close stops every sequence.
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

// holdWhileFrozen delays requests while the engine is frozen.
func (e *Engine) holdWhileFrozen(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !e.waitUntilThawed(r.Context().Done()) {
			return
		}
		next(w, r)
	}
}

// frozenPollInterval is the time between checks of whether the engine is still frozen.
const frozenPollInterval = 5 * time.Millisecond

// waitUntilThawed waits until the engine is not frozen. It returns false if stop is closed
// or the engine closes first.
func (e *Engine) waitUntilThawed(stop <-chan struct{}) bool {
	for e.Faults.Get().Freeze {
		select {
		case <-time.After(frozenPollInterval):
		case <-stop:
			return false
		case <-e.closed:
			return false
		}
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // the caller sees a failed write as a broken connection
}

// MarkLeaving makes the engine report that it is leaving and refuse new calls.
func (e *Engine) MarkLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
	e.change++
}

// Restart resets the engine to the state of a new process, with a later boot number.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.calls {
		s.stop("restarted")
	}
	e.boot = max(e.boot+1, uint64(time.Now().UnixNano()))
	e.change, e.fence, e.lastSeq, e.leaving = 0, 0, 0, false
	e.items = map[string]*item{}
	e.calls = map[string]*sequence{}
	e.cache = map[uint64]uint64{}
}

// Preload puts an item into memory in the ready phase, as if loaded before.
func (e *Engine) Preload(name, base string, mib int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.items[name] = &item{phase: "ready", base: base, mib: mib}
	e.change++
	e.updatePeak()
}

// Counts returns a copy of the counters.
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

// State returns the state that the engine reports.
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
		Fence: e.fence, LastOrder: e.lastSeq, Running: running, Waiting: waiting, Items: []wire.Item{},
	}
	for name, it := range e.items {
		s.Items = append(s.Items, wire.Item{Name: name, Phase: it.phase})
	}
	sort.Slice(s.Items, func(i, j int) bool { return s.Items[i].Name < s.Items[j].Name })
	return s
}

// reportedLoad returns the load as it was LoadLag ago.
func (e *Engine) reportedLoad() (running, waiting int) {
	now := time.Now()
	e.loadSamples = append(e.loadSamples, loadSample{now, e.running, len(e.waiting)})
	for len(e.loadSamples) > 1 && now.Sub(e.loadSamples[1].at) >= e.opt.LoadLag {
		e.loadSamples = e.loadSamples[1:]
	}
	return e.loadSamples[0].running, e.loadSamples[0].waiting
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.State()) }

// refuse replies that a call did not run and never will.
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

// admit creates the sequence of a call. If the call is refused, it returns nil with the
// status and the reason.
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

// prefill returns the time to prefill the part of the prompt that is not cached and adds
// the prompt's blocks to the cache. e.mu must be held.
func (e *Engine) prefill(model, prompt string) time.Duration {
	const block = 1024 // bytes of prompt
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
		e.cacheUses++
		e.cache[key] = e.cacheUses
	}
	e.trimCache()
	tokens := float64(uncached) / 4 // assumes four bytes a token
	return time.Duration(tokens / float64(e.opt.PrefillPerSecond) * float64(time.Second))
}

// trimCache evicts the least recently used blocks above Options.CacheBlocks.
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

// PieceText returns the text of the piece at offset of the answer to prompt. It identifies
// the prompt and the offset, so that a test can tell which call a piece belongs to.
func PieceText(prompt string, offset int) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt)%1e9, 36) + "." + strconv.Itoa(offset) + " "
}

package engine

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	wire "github.com/birchdrift/birchdrift/internal/own/engine"
)

// A sequence is a call that the engine runs or holds in its queue.
type sequence struct {
	engine *Engine
	req    wire.GenerateRequest
	items  []string
	slot   chan struct{} // closed when it may run

	mu            sync.Mutex
	pieceCount    int // pieces generated so far
	ended         bool
	stopReason    string        // why it was stopped early, "" if it was not
	changed       chan struct{} // closed and replaced with every change
	readers       int
	stopRequested chan struct{}
	stopOnce      sync.Once
}

func newSequence(e *Engine, req wire.GenerateRequest, items []string) *sequence {
	return &sequence{
		engine: e, req: req, items: items,
		slot: make(chan struct{}), changed: make(chan struct{}), stopRequested: make(chan struct{}),
	}
}

// stop ends the sequence early.
func (s *sequence) stop(why string) {
	s.stopOnce.Do(func() { close(s.stopRequested) })
	s.update(func() { s.stopReason = why })
}

func (s *sequence) update(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	close(s.changed)
	s.changed = make(chan struct{})
}

// run generates the pieces: it waits for a slot, prefills the prompt and then
// generates one token at a time.
func (s *sequence) run() {
	e := s.engine
	defer s.release()
	if !e.takeSlot(s) {
		return
	}
	defer e.freeSlot()
	e.mu.Lock()
	prefill := e.prefill(s.req.Model, s.req.Prompt)
	e.mu.Unlock()
	if !s.sleep(prefill + time.Duration(e.Faults.Get().Slow)) {
		return
	}
	for i := 0; i < s.req.MaxTokens; i++ {
		if !s.sleep(e.tokenTime()) || !e.waitUntilThawed(s.stopRequested) {
			return
		}
		e.generated.Add(1)
		s.update(func() { s.pieceCount++ })
	}
	s.update(func() { s.ended = true })
}

func (s *sequence) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stopRequested:
		return false
	case <-s.engine.closed:
		return false
	}
}

// release releases the sequence's items. The sequence itself is kept for Linger, so
// that a cut stream can be resumed.
func (s *sequence) release() {
	e := s.engine
	e.mu.Lock()
	for _, name := range s.items {
		if it := e.items[name]; it != nil {
			it.refs--
		}
	}
	e.mu.Unlock()
	time.AfterFunc(e.opt.Linger, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.calls[s.req.ID] == s {
			delete(e.calls, s.req.ID)
		}
	})
}

// tokenTime returns the time to generate a token. It grows with the batch: with a full
// batch it is 1.5 times Options.TokenTime.
func (e *Engine) tokenTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	share := float64(e.running) / float64(e.opt.Sequences)
	return time.Duration(float64(e.opt.TokenTime) * (1 + 0.5*share))
}

// takeSlot waits for one of the engine's slots, which go to the highest priority first.
// It returns false if the sequence is stopped or the engine closes.
func (e *Engine) takeSlot(s *sequence) bool {
	e.mu.Lock()
	if e.running < e.opt.Sequences {
		e.running++
		e.mu.Unlock()
		return true
	}
	e.waiting = append(e.waiting, s)
	sort.SliceStable(e.waiting, func(i, j int) bool { return e.waiting[i].req.Priority > e.waiting[j].req.Priority })
	e.mu.Unlock()
	select {
	case <-s.slot:
		return true
	case <-s.stopRequested:
	case <-e.closed:
	}
	return e.cancelWaiting(s)
}

// cancelWaiting removes s from the queue. If s got a slot at the same moment, the slot
// passes to the next sequence.
func (e *Engine) cancelWaiting(s *sequence) bool {
	e.mu.Lock()
	for i, w := range e.waiting {
		if w == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			e.mu.Unlock()
			return false
		}
	}
	e.mu.Unlock()
	e.freeSlot()
	return false
}

func (e *Engine) freeSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	next := e.waiting[0]
	e.waiting = e.waiting[1:]
	close(next.slot)
}

// stream writes the pieces from offset on as they are generated.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, offset int) {
	w.Header().Set("Content-Type", "application/x-ndjson")
	s.addReaders(1)
	defer s.addReaders(-1)
	enc := json.NewEncoder(w)
	flush := http.NewResponseController(w)
	sent := 0
	for {
		s.mu.Lock()
		generated, ended, stopReason, changed := s.pieceCount, s.ended, s.stopReason, s.changed
		s.mu.Unlock()
		f := e.Faults.Get()
		for ; offset < generated; offset++ {
			if f.CutEvery > 0 && sent >= f.CutEvery {
				_ = flush.Flush()
				panic(http.ErrAbortHandler)
			}
			e.write(enc, s, offset, f)
			sent++
		}
		if stopReason != "" {
			panic(http.ErrAbortHandler)
		}
		if ended {
			_ = enc.Encode(wire.Piece{ID: s.req.ID, Offset: generated, End: true, Reason: "stop"})
			return
		}
		_ = flush.Flush()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-e.closed:
			panic(http.ErrAbortHandler)
		}
	}
}

// write writes one piece, with duplicate and foreign pieces around it if
// Faults.Duplicates is set.
func (e *Engine) write(enc *json.Encoder, s *sequence, offset int, f Faults) {
	p := wire.Piece{ID: s.req.ID, Offset: offset, Text: PieceText(s.req.Prompt, offset)}
	if f.Duplicates {
		_ = enc.Encode(wire.Piece{ID: "another", Offset: offset, Text: "not yours "})
		if offset > 0 {
			_ = enc.Encode(wire.Piece{ID: s.req.ID, Offset: offset - 1, Text: "late "})
		}
		_ = enc.Encode(p)
	}
	_ = enc.Encode(p)
}

// addReaders adds n to the number of connections that read the sequence. A sequence
// without readers is stopped after Linger if it still has none.
func (s *sequence) addReaders(n int) {
	s.mu.Lock()
	s.readers += n
	alone := s.readers == 0 && !s.ended
	s.mu.Unlock()
	if !alone {
		return
	}
	time.AfterFunc(s.engine.opt.Linger, func() {
		s.mu.Lock()
		alone := s.readers == 0 && !s.ended
		s.mu.Unlock()
		if alone {
			s.stop("no readers left")
		}
	})
}

package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An item is one key of the store, or in a watch the end of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

// A lease ends its keys when it is over.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// A txn is a conditional write as it comes on the wire.
type txn struct {
	Conditions []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_count"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"put"`
	Removes []string `json:"remove"`
}

// A store stands in for the platform's metadata store (PROTOCOL.md).
type store struct {
	mu       sync.Mutex
	changed  chan struct{} // closed at the next change
	revision uint64
	items    map[string]item
	log      []item
	leases   map[uint64]*lease
	last     uint64
	writes   int // writing calls
	lost     int // of them, those that got no answer
	// late says for how long a write gets no answer and waits before it is done; 0: it is done at once.
	// It is called with the lock held.
	late func(t txn) time.Duration
	// note records what happens at the store.
	note func(format string, args ...any)

	address string
}

func newStore(note func(string, ...any)) *store {
	s := &store{items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{}), last: 70000, note: note}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.key)
	mux.HandleFunc("GET /-/kv-range", s.scan)
	mux.HandleFunc("GET /-/kv-watch", s.watch)
	mux.HandleFunc("POST /-/kv-txn", s.write)
	mux.HandleFunc("POST /-/kv-lease", s.grant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }()
	go s.expire()
	return s
}

// touch tells all watches that something has changed. The lock must be held.
func (s *store) touch() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key. The lock must be held.
func (s *store) set(key string, value []byte, id uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Made: s.items[key].Made, Lease: id}
	if it.Made == 0 {
		it.Made = s.revision
	}
	s.items[key] = it
	s.log = append(s.log, it)
}

// drop removes a key. The lock must be held.
func (s *store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.log = append(s.log, item{Key: key, Revision: s.revision, Gone: true})
}

// Put and Remove write as the operator and the replicas do.
func (s *store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, []byte(value), 0)
	s.touch()
}

func (s *store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
	s.touch()
}

// Keys returns the keys below a prefix, in order.
func (s *store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys(prefix, "")
}

func (s *store) keys(prefix, after string) []string {
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]uint64{"at": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{it, s.revision})
}

const pageItems = 500

func (s *store) scan(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	keys := s.keys(r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after"))
	items := []item{}
	for _, key := range keys[:min(len(keys), pageItems)] {
		items = append(items, s.items[key])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "more": len(keys) > pageItems, "at": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.log {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("path_prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var t txn
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Conditions)+len(t.Puts)+len(t.Removes) > 32 {
		reply(w, http.StatusBadRequest, nil)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.late != nil {
		if delay := s.late(t); delay > 0 {
			s.lost++
			time.AfterFunc(delay, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				status, _ := s.carryOut(t)
				s.note("store: the write of %s without an answer is carried out after %v: status %d", t.names(), delay, status)
			})
			// The connection says nothing more (PROTOCOL.md) until its other end closes it.
			hijackSilently(w)
			return
		}
	}
	status, out := s.carryOut(t)
	reply(w, status, out)
}

// hijackSilently takes the connection of a call and answers nothing on it.
func hijackSilently(w http.ResponseWriter) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	go func() {
		defer conn.Close()
		buf := make([]byte, 512)
		for {
			if _, err := conn.Read(buf); err != nil {
				return
			}
		}
	}()
}

func (t txn) names() string {
	var out []string
	for _, p := range t.Puts {
		out = append(out, p.Key)
	}
	out = append(out, t.Removes...)
	return strings.Join(out, " ")
}

// carryOut carries a write out. The lock must be held.
func (s *store) carryOut(t txn) (int, any) {
	for _, c := range t.Conditions {
		if s.items[c.Key].Revision != c.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{}}
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Removes {
		s.drop(key)
	}
	s.touch()
	return http.StatusOK, map[string]uint64{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&in)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.last++
	ttl := max(time.Second, time.Duration(in.TTL)*time.Millisecond)
	s.leases[s.last] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.last, "ttl_ms": ttl.Milliseconds()})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, nil)
		return
	}
	l.until = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.endLease(id)
	reply(w, http.StatusOK, map[string]int{})
}

// endLease ends a lease with its keys. The lock must be held.
func (s *store) endLease(id uint64) {
	if s.leases[id] == nil {
		return
	}
	delete(s.leases, id)
	for _, key := range s.keys("", "") {
		if s.items[key].Lease == id {
			s.drop(key)
			s.note("store: %s goes with its lease %d", key, id)
		}
	}
	s.touch()
}

// expire ends the leases that are over.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// Counts returns how many writing calls there were, and how many of them got no answer.
func (s *store) Counts() (writes, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.lost
}

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

// Store is a stand-in for the platform's store: linearizable keys with revisions, ranges,
// watches, conditional writes and leases that run out.
type Store struct {
	mu       sync.Mutex
	changed  chan struct{} // closed and replaced with every change
	revision uint64
	items    map[string]Item
	log      []Item
	leases   map[uint64]*lease
	nextID   uint64
	address  string
	server   *http.Server
}

// Item is one key as the store answers it.
type Item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease"`
	Gone     bool   `json:"gone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

type kvTxn struct {
	Conditions []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	} `json:"expected_count"`
	Put []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease uint64 `json:"lease"`
	} `json:"put"`
	Remove []string `json:"remove"`
}

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{changed: make(chan struct{}), items: map[string]Item{}, leases: map[uint64]*lease{}, nextID: 1000, address: l.Addr().String()}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveLease)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveEnd)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(l) }()
	go s.expire()
	return s, nil
}

// Put writes a key as the platform itself does.
func (s *Store) Put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, []byte(value), 0)
}

// Remove removes a key as the platform itself does.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(key)
}

// Get returns the value of a key, "" if it is not there.
func (s *Store) Get(key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return string(s.items[key].Value)
}

// Keys returns the keys below a prefix.
func (s *Store) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			out = append(out, key)
		}
	}
	sort.Strings(out)
	return out
}

func (s *Store) set(key string, value []byte, leaseID uint64) {
	s.revision++
	made := s.revision
	if old, ok := s.items[key]; ok {
		made = old.Made
	}
	it := Item{Key: key, Value: value, Revision: s.revision, Made: made, Lease: leaseID}
	s.items[key] = it
	s.announce(it)
}

func (s *Store) drop(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.announce(Item{Key: key, Revision: s.revision, Gone: true})
}

func (s *Store) announce(it Item) {
	s.log = append(s.log, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) expire() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.drop(key)
		}
	}
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		Item
		At uint64 `json:"at"`
	}{it, s.revision})
}

const pageSize = 500

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("path_prefix"), r.URL.Query().Get("after")
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []Item{}
	for _, key := range keys[:min(len(keys), pageSize)] {
		items = append(items, s.items[key])
	}
	reply(w, map[string]any{"items": items, "more": len(keys) > pageSize, "at": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []Item{}
		for _, it := range s.log {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("path_prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-end:
				over = true
			}
		}
		if len(events) > 0 || over {
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var in kvTxn
	if json.NewDecoder(r.Body).Decode(&in) != nil || len(in.Conditions)+len(in.Put)+len(in.Remove) > 32 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held := true
	now := []Item{}
	for _, c := range in.Conditions {
		it, ok := s.items[c.Key]
		if it.Revision != c.Revision {
			held = false
		}
		if ok {
			now = append(now, it)
		}
	}
	if !held {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": now})
		return
	}
	for _, p := range in.Put {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range in.Put {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range in.Remove {
		s.drop(key)
	}
	reply(w, map[string]uint64{"revision": s.revision})
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := max(1000, min(in.TTL, 600000))
	s.leases[s.nextID] = &lease{ttl: time.Duration(ttl) * time.Millisecond, end: time.Now().Add(time.Duration(ttl) * time.Millisecond)}
	reply(w, map[string]any{"lease": s.nextID, "ttl_ms": ttl})
}

func (s *Store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, map[string]any{})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

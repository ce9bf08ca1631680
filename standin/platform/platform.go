// Package platform provides a small stand-in for the platform's service: values
// with compare-and-swap and watches, leases with fencing tokens, the list of
// instances, and the rate-limited weight store.
package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/birchdrift/birchdrift/internal/own/keyvalue"
	"github.com/birchdrift/birchdrift/standin/fault"
)

// maxValue is the largest value, in bytes.
const maxValue = 1 << 20

// Faults are the faults that the stand-in simulates.
type Faults struct {
	Down    bool           `json:"down"`     // every connection is dropped before any effect
	Slow    fault.Duration `json:"slow"`     // added to every call
	Lost    int            `json:"lost"`     // drop the replies to the next n changes after their effect
	ListLag fault.Duration `json:"list_lag"` // the list shows changes this much later
}

// Limits are the platform's rate limits.
type Limits struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
	LoadsPerSecond  float64
	LoadsAtOnce     int
}

// DefaultLimits returns the rate limits that the users state.
func DefaultLimits() Limits {
	return Limits{WritesPerSecond: 300, ReadsPerSecond: 2000, LoadsPerSecond: 2, LoadsAtOnce: 8}
}

// Counts are the numbers of calls that the stand-in received.
type Counts struct {
	Reads, Writes, Limited int64
}

type value struct {
	data     []byte
	revision uint64
	expires  time.Time
}

type lease struct {
	holder  string
	fence   uint64
	expires time.Time
}

type listed struct {
	keyvalue.Instance
	visible time.Time
}

// A Platform is a stand-in for the platform. It is safe for concurrent use.
type Platform struct {
	Faults fault.Injector[Faults]

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced with every change
	revision uint64
	values   map[string]value
	leases   map[string]lease
	list     map[string]listed
	counts   Counts
	reads    *rate.Limiter
	writes   *rate.Limiter
	weights  *weightStore
}

// New returns an empty platform.
func New(l Limits) *Platform {
	return &Platform{
		changed: make(chan struct{}),
		values:  map[string]value{},
		leases:  map[string]lease{},
		list:    map[string]listed{},
		reads:   rate.NewLimiter(rate.Limit(l.ReadsPerSecond), int(l.ReadsPerSecond)),
		writes:  rate.NewLimiter(rate.Limit(l.WritesPerSecond), int(l.WritesPerSecond)),
		weights: newWeights(l),
	}
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+keyvalue.PathValue+"{key...}", p.read(p.get))
	mux.HandleFunc("PUT "+keyvalue.PathValue+"{key...}", p.write(p.put))
	mux.HandleFunc("DELETE "+keyvalue.PathValue+"{key...}", p.write(p.remove))
	mux.HandleFunc("POST "+keyvalue.PathLease+"{name...}", p.write(p.acquire))
	mux.HandleFunc("DELETE "+keyvalue.PathLease+"{name...}", p.write(p.release))
	mux.HandleFunc("GET "+keyvalue.PathInstances, p.read(p.instances))
	mux.HandleFunc("PUT "+keyvalue.PathInstances, p.setInstances)
	mux.HandleFunc("POST /weights/load", p.weights.load)
	mux.HandleFunc("GET /counts", func(w http.ResponseWriter, _ *http.Request) { reply(w, 0, p.Counts()) })
	mux.HandleFunc("POST /fault", p.Faults.Handler())
	return mux
}

// Counts returns the numbers of calls received so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func reply(w http.ResponseWriter, revision uint64, v any) {
	w.Header().Set(keyvalue.HeaderRevision, strconv.FormatUint(revision, 10))
	_ = json.NewEncoder(w).Encode(v) // the caller sees a failed write as a broken connection
}

// admit applies the faults and rate limits that take effect before a call does. It reports
// whether the call may proceed.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, limiter *rate.Limiter, count *int64) bool {
	f := p.Faults.Get()
	if f.Down {
		fault.DropConnection(w)
		return false
	}
	if f.Slow > 0 {
		select {
		case <-time.After(time.Duration(f.Slow)):
		case <-r.Context().Done():
			return false
		}
	}
	p.mu.Lock()
	*count++
	allowed := limiter.Allow()
	if !allowed {
		p.counts.Limited++
	}
	p.mu.Unlock()
	if !allowed {
		http.Error(w, "rate limit", http.StatusTooManyRequests)
	}
	return allowed
}

func (p *Platform) read(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if p.admit(w, r, p.reads, &p.counts.Reads) {
			next(w, r)
		}
	}
}

// write is like read for changes; it also drops replies after the effect (Faults.Lost).
func (p *Platform) write(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if !p.admit(w, r, p.writes, &p.counts.Writes) {
			return
		}
		lose := false
		p.Faults.Update(func(f *Faults) {
			if f.Lost > 0 {
				f.Lost--
				lose = true
			}
		})
		if !lose {
			next(w, r)
			return
		}
		next(discardWriter{}, r)
		fault.DropConnection(w)
	}
}

// discardWriter discards a reply that is to be lost.
type discardWriter struct{}

func (discardWriter) Header() http.Header            { return http.Header{} }
func (discardWriter) Write(data []byte) (int, error) { return len(data), nil }
func (discardWriter) WriteHeader(int)                {}

// nextRevision records a change, wakes its waiters and returns its revision. p.mu must be
// held.
func (p *Platform) nextRevision() uint64 {
	p.revision++
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

// lookup returns the value of a key, or the zero value if it has expired. p.mu must be held.
func (p *Platform) lookup(key string) value {
	v := p.values[key]
	if !v.expires.IsZero() && time.Now().After(v.expires) {
		delete(p.values, key)
		return value{}
	}
	return v
}

func uintParam(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64) // absent means 0
	return n
}

func durationParam(r *http.Request, name string) time.Duration {
	d, _ := time.ParseDuration(r.URL.Query().Get(name)) // absent means 0
	return d
}

// waitFor calls look, with p.mu held, until it returns true or wait has passed. It returns
// false if the platform goes down or the caller disconnects first.
func (p *Platform) waitFor(r *http.Request, wait time.Duration, condition func() bool) bool {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		p.mu.Lock()
		ok := condition()
		changed := p.changed
		p.mu.Unlock()
		if ok || wait <= 0 {
			return true
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond): // the end of a list lag, and faults, are not signaled as changes
			if p.Faults.Get().Down {
				return false
			}
		case <-deadline.C:
			return true
		case <-r.Context().Done():
			return false
		}
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	var v value
	after := uintParam(r, "after")
	ok := p.waitFor(r, durationParam(r, "wait"), func() bool {
		v = p.lookup(r.PathValue("key"))
		return v.revision > after
	})
	if !ok {
		fault.DropConnection(w)
		return
	}
	w.Header().Set(keyvalue.HeaderRevision, strconv.FormatUint(v.revision, 10))
	if v.revision == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if after > 0 && v.revision <= after {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(v.data) // the caller sees a failed write as a broken connection
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValue+1))
	if err != nil || len(data) > maxValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("key")
	if p.lookup(key).revision != uintParam(r, "expect") {
		w.WriteHeader(http.StatusConflict)
		return
	}
	v := value{data: data, revision: p.nextRevision()}
	if ttl := durationParam(r, "ttl"); ttl > 0 {
		v.expires = time.Now().Add(ttl)
	}
	p.values[key] = v
	w.Header().Set(keyvalue.HeaderRevision, strconv.FormatUint(v.revision, 10))
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := r.PathValue("key")
	if p.lookup(key).revision != uintParam(r, "expect") {
		w.WriteHeader(http.StatusConflict)
		return
	}
	delete(p.values, key)
	p.nextRevision()
}

func (p *Platform) acquire(w http.ResponseWriter, r *http.Request) {
	var req keyvalue.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	name := r.PathValue("name")
	l := p.leases[name]
	now := time.Now()
	free := l.holder == "" || now.After(l.expires)
	term := time.Duration(req.TermMS) * time.Millisecond
	switch {
	case !free && l.holder == req.Holder && (req.Renew == 0 || req.Renew == l.fence):
		l.expires = now.Add(term)
	case free && req.Renew == 0:
		l = lease{holder: req.Holder, fence: p.nextRevision(), expires: now.Add(term)}
	default:
		reply(w, 0, keyvalue.LeaseReply{Fence: l.fence, Holder: l.holder})
		return
	}
	p.leases[name] = l
	reply(w, 0, keyvalue.LeaseReply{Granted: true, Fence: l.fence, Holder: l.holder})
}

func (p *Platform) release(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := r.PathValue("name")
	if l := p.leases[name]; l.fence == uintParam(r, "fence") {
		l.holder = ""
		p.leases[name] = l
	}
}

// SetInstance adds or replaces one entry of the list.
func (p *Platform) SetInstance(i keyvalue.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i.Version = p.nextRevision()
	lag := time.Duration(p.Faults.Get().ListLag)
	p.list[i.Name] = listed{Instance: i, visible: time.Now().Add(lag)}
}

func (p *Platform) setInstances(_ http.ResponseWriter, r *http.Request) {
	var list []keyvalue.Instance
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		return
	}
	for _, i := range list {
		p.SetInstance(i)
	}
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	since := uintParam(r, "since")
	var out keyvalue.InstanceList
	ok := p.waitFor(r, durationParam(r, "wait"), func() bool {
		out = keyvalue.InstanceList{Version: since}
		now := time.Now()
		for _, l := range p.list {
			if l.Version > since && !now.Before(l.visible) {
				out.Instances = append(out.Instances, l.Instance)
				out.Version = max(out.Version, l.Version)
			}
		}
		return len(out.Instances) > 0
	})
	if !ok {
		fault.DropConnection(w)
		return
	}
	sort.Slice(out.Instances, func(i, j int) bool { return out.Instances[i].Version < out.Instances[j].Version })
	reply(w, 0, out)
}

// Keys returns the keys with the given prefix, for tests.
func (p *Platform) Keys(prefix string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var keys []string
	for key := range p.values {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}

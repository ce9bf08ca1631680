// Package fault provides fault injection for the stand-ins: a JSON body posted to
// /fault replaces the active faults.
package fault

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// A Duration is a time.Duration that is encoded in JSON as a string such as "150ms".
type Duration time.Duration

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var s string
	if err := json.Unmarshal(data, &s); err != nil {
		return err
	}
	v, err := time.ParseDuration(s)
	*d = Duration(v)
	return err
}

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// An Injector holds the active faults of a stand-in, of type T. It is safe for concurrent
// use.
type Injector[T any] struct {
	mu     sync.Mutex
	faults T
}

// Get returns the active faults.
func (i *Injector[T]) Get() T {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// Set replaces the active faults.
func (i *Injector[T]) Set(f T) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.faults = f
}

// Update calls f, under a lock, to change the active faults.
func (i *Injector[T]) Update(f func(*T)) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f(&i.faults)
}

// Handler serves POST /fault.
func (i *Injector[T]) Handler() http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var f T
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		i.Set(f)
	}
}

// DropConnection closes the request's connection without a reply. It does not undo any
// effect of the request.
func DropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = conn.Close()
}

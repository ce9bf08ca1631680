// Package seam provides the places at which an environment other than the
// product's own is joined to it: a store that is watched and written under
// conditions, and engines that announce themselves and take orders.
//
// The idea: each seam is a struct of function fields with the product's own
// types on both sides. An environment fills the fields and decides nothing; the
// state machine never learns which environment it runs in.
package seam

import (
	"context"
	"errors"
	"time"

	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/orders"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/share"
)

// Errors of a store that say for certain what became of a call. After any
// other error a write may have taken effect, or may do so yet.
var (
	// ErrConflict says that a condition did not hold; nothing was written.
	ErrConflict = errors.New("the condition of the write does not hold")
	// ErrNoLease says that the lease is over; nothing was written.
	ErrNoLease = errors.New("the lease is over")
	// ErrRefused says that the store did not carry the call out.
	ErrRefused = errors.New("the store refused the call")
)

// A Change is what a watch brought.
type Change struct {
	Config  []byte // the newest configuration as the store holds it; nil if it did not change
	Listed  []share.Listed
	Records []registry.Record // the product's own values
	Whole   bool              // Listed and Records are all that there is
	Version uint64
}

// A Condition holds while a key's last change is Revision; 0: while there is no
// such key.
type Condition struct {
	Key      string
	Revision uint64
}

// A Put writes one value; with a lease it goes when the lease does.
type Put struct {
	Key   string
	Value []byte
	Lease uint64
}

// A Commit is a write of several keys that is carried out whole or not at all.
type Commit struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
}

// A Store is the environment's store.
type Store struct {
	// Watch returns what changed since its last return, or the whole the first
	// time and whenever the store has forgotten in between. It waits at most
	// wait for a change.
	Watch func(ctx context.Context, wait time.Duration) (Change, error)
	// Restart has the next Watch return the whole.
	Restart func()
	// Grant begins a lease.
	Grant func(ctx context.Context, term time.Duration) (lease uint64, err error)
	// Keep renews a lease.
	Keep func(ctx context.Context, lease uint64) error
	// End gives a lease back.
	End func(ctx context.Context, lease uint64) error
	// Commit writes; it returns the revision of the write.
	Commit func(ctx context.Context, c Commit) (revision uint64, err error)
	// Decode reads a configuration as the store holds it.
	Decode func(data []byte) (config.Document, error)
}

// An EngineReport is what an engine says of itself when it is asked.
type EngineReport struct {
	Announcement pool.Announcement
	Sequence     uint64   // orders that it has taken
	Busy         bool     // an order on a model is under way
	Coming       []string // adapters on their way, as items
	Queued       int
	Running      int
}

// Engines are the environment's engines.
type Engines struct {
	// Order gives an engine an order in the name of holder, and returns what came
	// of it with a text that explains it.
	Order func(ctx context.Context, holder string, o orders.Order) (orders.Answer, string)
	// Report asks an engine what it says of itself.
	Report func(ctx context.Context, address string) (EngineReport, error)
}

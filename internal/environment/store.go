// Package environment joins an instance to a platform other than the product's
// own: a store that is watched and written under conditions, and engines that
// announce themselves and take orders.
//
// Store and Engines are structs of function fields with the product's own types
// on both sides; package platform fills them in. A Driver carries out, through
// them, what the state machine asks for. Nothing here decides, and the machine
// never learns which platform it runs on.
package environment

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/config"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/registry"
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

// A FormerEraError is a call of a store that has come back from an older copy of itself
// since the numbers were given out that the call is made with, or its answer was on its way
// meanwhile. It may have been carried out, also in the era that is now, for which it wasn't
// meant; or it wasn't sent at all.
type FormerEraError struct{ Now era.Era }

// Error implements error.
func (e FormerEraError) Error() string {
	return fmt.Sprintf("the store came back from an older copy: its era is now %d", e.Now)
}

// A Change is what a watch brought.
type Change struct {
	Config  []byte // the newest configuration as the store holds it; nil if it did not change
	Listed  []gossip.Listed
	Records []registry.Record // the product's own values
	// Unreadable are keys whose values make no sense, and are passed over;
	// UnreadableReplicas are the names of the replicas among them, of which nothing is
	// said then.
	Unreadable         []string
	UnreadableReplicas []string
	Whole              bool // Listed and Records are all that there is
	Version            era.Revision
}

// A Condition holds while a key's last change is Revision; 0: while there is no
// such key.
type Condition struct {
	Key      string
	Revision era.Revision
}

// A Put writes one value; with a lease it goes when the lease does.
type Put struct {
	Key   string
	Value []byte
	Lease era.Lease
}

// A Commit is a write of several keys that is carried out whole or not at all.
type Commit struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
	// Era is the one that the write is meant for, and of which its numbers are; AnyEra says
	// that it makes sense in each, and has no numbers.
	Era    era.Era
	AnyEra bool
}

// SingleEra reports whether all numbers in the write are of its era.
func (c Commit) SingleEra() bool {
	return !slices.ContainsFunc(c.Conditions, func(x Condition) bool { return x.Revision != 0 && x.Revision.Era() != c.Era }) &&
		!slices.ContainsFunc(c.Puts, func(x Put) bool { return x.Lease != (era.Lease{}) && x.Lease.Era != c.Era })
}

// A Store is the environment's store.
type Store struct {
	// Watch returns what changed since its last return, or the whole the first
	// time and whenever the store has forgotten in between. It waits at most
	// wait for a change.
	Watch func(ctx context.Context, wait time.Duration) (Change, error)
	// WatchFresh does the same over a connection that was never used before.
	WatchFresh func(ctx context.Context, wait time.Duration) (Change, error)
	// Read returns the whole, over a connection that was never used before. It may
	// be called beside a watch.
	Read func(ctx context.Context) (Change, error)
	// Grant begins a lease.
	Grant func(ctx context.Context, term time.Duration) (lease era.Lease, err error)
	// Keep renews a lease.
	Keep func(ctx context.Context, lease era.Lease) error
	// End gives a lease back.
	End func(ctx context.Context, lease era.Lease) error
	// Commit writes; it returns the revision of the write.
	Commit func(ctx context.Context, c Commit) (revision era.Revision, err error)
	// Decode reads a configuration as the store holds it.
	Decode func(data []byte) (config.Document, error)
}

// Package environment connects an instance to a platform other than the product's
// own: a store that supports watches and conditional writes, and engines that
// announce themselves and accept orders.
//
// Store and Engines are structs of functions in terms of the product's own types;
// package platform provides them. A driver uses them to carry out the actions of the
// state machine. This package makes no decisions, and the machine does not know on
// which platform it runs.
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

// Errors of a store after which it is certain that a write did not happen. After any
// other error a write may have taken effect, or may still take effect.
var (
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("a condition of the write does not hold")
	// ErrNoLease means that the lease has expired or ended; nothing was written.
	ErrNoLease = errors.New("the lease does not exist any more")
	// ErrRefused means that the store rejected the call without carrying it out.
	ErrRefused = errors.New("the store refused the call")
)

// A FormerEraError is returned for a call whose revisions or leases belong to a former era
// of the store, or whose answer was in transit while the store's history was rolled back.
// The call may have been carried out, possibly in the current era, for which it was not
// meant, or it may not have been sent at all.
type FormerEraError struct{ Now era.Era }

// Error implements error.
func (e FormerEraError) Error() string {
	return fmt.Sprintf("the store's history was rolled back: its era is now %d", e.Now)
}

// A Change is the result of a watch.
type Change struct {
	Config  []byte // the latest configuration as the store holds it; nil if it did not change
	Listed  []gossip.Listed
	Records []registry.Record // the product's own values
	// Unreadable are the keys whose values cannot be parsed and are ignored.
	// UnreadableReplicas are the names of the replicas among them; Listed has no entry
	// for these.
	Unreadable         []string
	UnreadableReplicas []string
	Whole              bool // Listed and Records are complete, not only what changed
	Version            era.Revision
}

// A Condition holds if the revision of a key's last change is Revision; 0 means that
// there must be no such key.
type Condition struct {
	Key      string
	Revision era.Revision
}

// A Put writes one value. If it has a lease, the value is removed when the lease ends.
type Put struct {
	Key   string
	Value []byte
	Lease era.Lease
}

// A Commit is an atomic write of several keys.
type Commit struct {
	Conditions []Condition
	Puts       []Put
	Removes    []string
	// Era is the era that the write is meant for and to which its revisions and leases
	// belong. AnyEra says that the write is valid in every era; it then has no revisions
	// or leases.
	Era    era.Era
	AnyEra bool
}

// SingleEra reports whether all revisions and leases in the write belong to its era.
func (c Commit) SingleEra() bool {
	return !slices.ContainsFunc(c.Conditions, func(x Condition) bool { return x.Revision != 0 && x.Revision.Era() != c.Era }) &&
		!slices.ContainsFunc(c.Puts, func(x Put) bool { return x.Lease != (era.Lease{}) && x.Lease.Era != c.Era })
}

// A Store is the environment's store.
type Store struct {
	// Watch returns what changed since its last return. The first time, and whenever
	// the store no longer has the history in between, it returns the whole content. It
	// waits at most wait for a change.
	Watch func(ctx context.Context, wait time.Duration) (Change, error)
	// WatchFresh does the same over a new connection.
	WatchFresh func(ctx context.Context, wait time.Duration) (Change, error)
	// Read returns the whole content, over a new connection. It may be called
	// concurrently with a watch.
	Read func(ctx context.Context) (Change, error)
	// Grant creates a lease.
	Grant func(ctx context.Context, term time.Duration) (lease era.Lease, err error)
	// Keep renews a lease.
	Keep func(ctx context.Context, lease era.Lease) error
	// End ends a lease before its term.
	End func(ctx context.Context, lease era.Lease) error
	// Commit carries out a write and returns its revision.
	Commit func(ctx context.Context, c Commit) (revision era.Revision, err error)
	// Decode reads a configuration as the store holds it.
	Decode func(data []byte) (config.Document, error)
}

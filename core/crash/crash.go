// Package crash holds the reports that instances exchange about replicas that ended under their
// calls, and decides which request is to blame.
//
// No instance sees why a replica ended. It only sees which requests it had in flight there, and
// an engine runs dozens. A request that crashes replicas was in flight at all of them, while
// the others were there by coincidence. The request that the most crashes have in common
// therefore explains them, and these crashes no longer count against the other requests. A
// request that succeeded afterwards does not crash replicas.
//
// Each instance reports the requests that it had in flight itself. Reports only grow, so they
// may arrive in any order, from any peer and more than once.
package crash

import (
	"fmt"
	"slices"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

// A Fingerprint identifies a request over all its attempts and retries, by a digest of what its
// caller sent: a caller that retries uses another request ID, and may reach another instance. 0
// means unknown.
type Fingerprint uint64

// String returns the fingerprint as used in logs and in keys of the store.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// A Report lists the requests that one instance had in flight at a replica that ended without
// having reported itself as leaving.
type Report struct {
	Observer string // the reporting instance
	Boot     uint64 // of the observer
	Seq      uint64 // rises with each replica that ended under the observer's calls
	Replica  pool.Incarnation
	Requests []Fingerprint // in ascending order
	clock.EventTime
}

// Has reports whether the request was in flight at the replica.
func (r Report) Has(request Fingerprint) bool {
	_, found := slices.BinarySearch(r.Requests, request)
	return found
}

// A Success records that a request was answered completely.
type Success struct {
	Request Fingerprint
	clock.EventTime
}

// Package crash provides what instances tell each other of replicas that ended under
// their calls, and which request that is blamed on.
//
// Nobody sees why a replica ended. What is seen is which requests it had in flight, and
// an engine has dozens. But one that ends the replicas that run it is in flight at all
// of them, and the others are so by chance: so the request that the most ends have in
// common explains them, and what they say of the others is explained with them. A
// request that was served whole afterwards is not one that ends replicas.
//
// Each instance reports the requests that it had in flight itself. Reports only grow, so
// they may arrive in any order, by any way and more than once.
package crash

import (
	"fmt"
	"slices"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

// A Fingerprint identifies a request over all its tries, by a digest of what its caller
// sent: a caller that tries again gives the try another name, and may come to another
// instance. 0: not known.
type Fingerprint uint64

// String returns the request as logs and keys of the store show it.
func (r Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(r)) }

// A Report says which requests one instance had in flight at a replica that ended
// without a word.
type Report struct {
	Observer string // the instance
	Boot     uint64 // of the instance
	Seq      uint64 // rises with each replica that ended under the instance's calls
	Replica  pool.Incarnation
	Requests []Fingerprint // rising
	clock.EventTime
}

// Has reports whether the request was in flight at the replica.
func (r Report) Has(request Fingerprint) bool {
	_, found := slices.BinarySearch(r.Requests, request)
	return found
}

// A Success says that a request was served whole.
type Success struct {
	Request Fingerprint
	clock.EventTime
}

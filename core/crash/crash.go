// Package crash holds the reports that instances exchange about replicas that ended under their
// calls, and decides which requests are to blame.
//
// No instance sees why a replica ended. It only sees which requests it had in flight there, and
// an engine runs dozens. A request that crashes replicas was in flight at all of them, while
// the others were there by coincidence. The request that the most crashes have in common
// therefore explains them, and these crashes no longer count against the other requests. A
// request that succeeded afterwards does not crash replicas.
//
// Replicas may also crash under a part of the prompt that many requests share, none of them like
// another. What is blamed is therefore a Cause: the traits that the requests at the crashes had in
// common.
//
// Each instance reports the requests that it had in flight itself. Reports only grow, so they
// may arrive in any order, from any peer and more than once.
package crash

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

// A Fingerprint identifies a request over all its attempts and retries, by a digest of what its
// caller sent: a caller that retries uses another request ID, and may reach another instance. 0
// means unknown.
type Fingerprint uint64

// String returns the fingerprint as used in logs and in keys of the store.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// A PartID identifies a shared part of a prompt, as its caller names it.
type PartID uint64

// String returns the identifier as callers write it.
func (p PartID) String() string { return strconv.FormatUint(uint64(p), 16) }

// MaxParts is the number of parts of a prompt that count. Requests with more are rare and have
// mostly parts of their own at the end.
const MaxParts = 64

// A Request is one request in flight, with what it has in common with others.
type Request struct {
	Fingerprint Fingerprint
	Model       string   // "" if it names none
	Parts       []PartID // parts of its prompt that other requests may have too, in order
}

// NewRequest returns a request with these parts of its prompt. The last part is the request's own
// or its session's.
func NewRequest(fingerprint Fingerprint, model string, parts []PartID) Request {
	r := Request{Fingerprint: fingerprint, Model: model}
	if n := min(len(parts)-1, MaxParts); n > 0 {
		r.Parts = parts[:n]
	}
	return r
}

// PartCount returns the number of parts of the requests' prompts, each counted at every request.
func PartCount(requests []Request) int {
	n := 0
	for _, r := range requests {
		n += len(r.Parts)
	}
	return n
}

// LimitParts returns the requests with the first parts of each prompt, as many as possible for the
// number of all to stay within limit.
func LimitParts(requests []Request, limit int) []Request {
	out := slices.Clone(requests)
	for most := MaxParts; PartCount(out) > limit; most-- {
		for i, r := range out {
			out[i].Parts = r.Parts[:min(len(r.Parts), most)]
		}
	}
	return out
}

// compareRequests orders requests by their fingerprints.
func compareRequests(a, b Request) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) }

// A Report lists the requests that one instance had in flight at a replica that ended without
// having reported itself as leaving.
type Report struct {
	Observer string // the reporting instance
	Boot     uint64 // of the observer
	Seq      uint64 // rises with each replica that ended under the observer's calls
	Replica  pool.Incarnation
	Service  string    // of the replica
	Requests []Request // in ascending order of their fingerprints
	traits   [][]Trait // of the requests, nil if they were not computed
	clock.EventTime
}

// WithTraits returns the report with the traits of its requests, so that they are not computed each
// time that they are needed.
func (r Report) WithTraits() Report {
	r.traits = r.Traits()
	return r
}

// Traits returns the traits of each request.
func (r Report) Traits() [][]Trait {
	if r.traits != nil {
		return r.traits
	}
	out := make([][]Trait, 0, len(r.Requests))
	for _, request := range r.Requests {
		out = append(out, request.Traits(r.Service))
	}
	return out
}

// TraitCount returns the number of traits of all requests.
func (r Report) TraitCount() int {
	n := 0
	for _, traits := range r.Traits() {
		n += len(traits)
	}
	return n
}

// HasRequest reports whether the request was in flight at the replica.
func (r Report) HasRequest(request Fingerprint) bool {
	_, found := SearchRequests(r.Requests, request)
	return found
}

// Has reports whether a request with the cause was in flight at the replica.
func (r Report) Has(c Cause) bool {
	return slices.ContainsFunc(r.Traits(), func(traits []Trait) bool { return c.Covers(traits) })
}

// SearchRequests returns where a request is in the list, or where it would be inserted. The list is
// in ascending order of fingerprints.
func SearchRequests(requests []Request, request Fingerprint) (i int, found bool) {
	return slices.BinarySearchFunc(requests, Request{Fingerprint: request}, compareRequests)
}

// SortRequests sorts requests by their fingerprints.
func SortRequests(requests []Request) { slices.SortFunc(requests, compareRequests) }

// A Success records that a request with a trait was served, so that replicas do not crash because of
// the trait alone.
type Success struct {
	Trait Trait
	clock.EventTime
}

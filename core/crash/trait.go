package crash

import (
	"encoding/binary"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// A Trait is something that requests may have in common and that may make replicas crash: the
// whole request, by its fingerprint, or a part of its prompt. 0 means unknown.
//
// A part is a trait of the requests of one service, and also of those of one model: it may crash
// the replicas of every model, or of one.
type Trait uint64

// String returns the trait as used in logs and in keys of the store.
func (t Trait) String() string { return fmt.Sprintf("%016x", uint64(t)) }

// Trait returns the trait of being this request.
func (f Fingerprint) Trait() Trait { return Trait(f) }

// partTrait returns the trait of having a part in the prompt, at any model if model is "".
func partTrait(service, model string, part PartID) Trait {
	b := make([]byte, 0, 64)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(service)))
	b = append(b, service...)
	b = append(b, model...)
	b = binary.LittleEndian.AppendUint64(b, uint64(part))
	return Trait(xxhash.Sum64(b))
}

// Traits returns the traits of a request to a service: first that of being this request, then those
// of the parts of its prompt. There are none if the request is not known.
func (r Request) Traits(service string) []Trait {
	if r.Fingerprint == 0 {
		return nil
	}
	traits := make([]Trait, 0, 1+2*len(r.Parts))
	traits = append(traits, r.Fingerprint.Trait())
	for _, part := range r.Parts {
		traits = append(traits, partTrait(service, "", part))
		if r.Model != "" {
			traits = append(traits, partTrait(service, r.Model, part))
		}
	}
	return traits
}

// PartOf returns which part of the request's prompt a trait stands for; ok is false if it is none.
func (r Request) PartOf(service string, t Trait) (part PartID, ok bool) {
	for _, part := range r.Parts {
		if t == partTrait(service, "", part) || t == partTrait(service, r.Model, part) {
			return part, true
		}
	}
	return 0, false
}

// A Cause is the traits that a request must all have to be blamed for crashes, in ascending order.
// It is a single trait, unless the evidence does not tell several apart.
type Cause []Trait

// A CauseID identifies a cause. That of a whole request is its fingerprint.
type CauseID uint64

// String returns the ID as used in logs and in keys of the store.
func (id CauseID) String() string { return fmt.Sprintf("%016x", uint64(id)) }

// newCause returns the cause of the given traits.
func newCause(traits ...Trait) Cause {
	c := slices.Clone(traits)
	slices.Sort(c)
	return slices.Compact(c)
}

// ID returns the identifier of the cause.
func (c Cause) ID() CauseID {
	if len(c) == 1 {
		return CauseID(c[0])
	}
	b := make([]byte, 0, 8*len(c))
	for _, t := range c {
		b = binary.LittleEndian.AppendUint64(b, uint64(t))
	}
	return CauseID(xxhash.Sum64(b))
}

// Covers reports whether a request with these traits has all of the cause's.
func (c Cause) Covers(traits []Trait) bool {
	for _, t := range c {
		if !slices.Contains(traits, t) {
			return false
		}
	}
	return len(c) > 0
}

// Package era provides the numbers that the platform's store gives out, in an order that
// holds although the store may come back from an older copy of itself.
//
// The store counts how often it did; that count is its era. Revisions and leases go back
// with it and are given out again, so a number means something only together with the era
// in which it was given out (docs/design/eras.md).
package era

import (
	"log/slog"
	"strconv"
)

// An Era counts how often the store came back from an older copy of itself; 0: it does not
// say.
type Era uint32

// A Revision is a revision that the store gave out in some era. Those of a later era are greater
// than all of the eras before; 0 is none.
type Revision uint64

// A Lease is one that the store gave out in some era. Leases have no order, and the store may
// name them by any number. The zero Lease is none.
type Lease struct {
	Era Era
	ID  uint64
}

// String returns the lease for logs, as ERA/ID where the store tells its era.
func (l Lease) String() string { return formatInEra(l.Era, l.ID) }

// LogValue implements slog.LogValuer.
func (l Lease) LogValue() slog.Value { return slog.StringValue(l.String()) }

// revisionBits is how many bits of a number are the store's own.
const revisionBits = 40

// Bounds of what the store may say, above which nothing is made of its answer. Numbers stay
// below 2^53, so that whoever reads a fence as a floating-point number reads it whole.
const (
	MaxRevision uint64 = 1<<revisionBits - 1
	MaxEra      uint64 = 1<<13 - 1 // count of steps back
)

// Revision returns the revision that the store gave out as raw in this era. It panics for one
// beyond MaxRevision, which would be taken for one of another era.
func (e Era) Revision(raw uint64) Revision {
	switch {
	case raw == 0:
		return 0
	case raw > MaxRevision:
		panic("era: a revision beyond MaxRevision")
	default:
		return Revision(uint64(e)<<revisionBits | raw)
	}
}

// Era returns the era in which the number was given out, 0 also for none.
func (n Revision) Era() Era { return Era(n >> revisionBits) }

// Raw returns the number as the store knows it.
func (n Revision) Raw() uint64 { return uint64(n) & MaxRevision }

// String returns the number for logs, as ERA/NUMBER where the store tells its era.
func (n Revision) String() string { return formatInEra(n.Era(), n.Raw()) }

func formatInEra(e Era, raw uint64) string {
	text := strconv.FormatUint(raw, 10)
	if e == 0 {
		return text
	}
	return strconv.FormatUint(uint64(e), 10) + "/" + text
}

// MarshalJSON writes the number for logs: as the store's own where it tells of no era.
func (n Revision) MarshalJSON() ([]byte, error) {
	if n.Era() == 0 {
		return []byte(n.String()), nil
	}
	return strconv.AppendQuote(nil, n.String()), nil
}

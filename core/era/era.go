// Package era provides revisions and leases of the platform's store that remain
// ordered and unique when the store is restored from an older copy of itself.
//
// The store counts these restores; the count is its era. A restore also resets the
// store's revision and lease counters, so the same numbers are issued again. A number
// is therefore unique only together with the era that issued it (docs/design/eras.md).
package era

import (
	"log/slog"
	"strconv"
)

// An Era is the number of times the store was restored from an older copy of itself. It is
// 0 if the store does not report it.
type Era uint32

// A Revision is a revision that the store issued in a certain era. Revisions of a later era
// are greater than all revisions of earlier eras. The zero Revision means none.
type Revision uint64

// A Lease identifies a lease that the store issued in a certain era. Leases are not ordered,
// and the store may choose any number as the ID. The zero Lease means none.
type Lease struct {
	Era Era
	ID  uint64
}

// String formats the lease for logs, as ERA/ID if the store reports its era and as ID
// otherwise.
func (l Lease) String() string { return formatInEra(l.Era, l.ID) }

// LogValue implements slog.LogValuer.
func (l Lease) LogValue() slog.Value { return slog.StringValue(l.String()) }

// revisionBits is the number of low bits of a Revision that hold the store's own revision.
const revisionBits = 40

// The largest values accepted from the store; answers with larger ones are ignored. They
// keep every Revision below 2^53, so that a fence survives being decoded as a floating-point
// number.
const (
	MaxRevision uint64 = 1<<revisionBits - 1
	MaxEra      uint64 = 1<<13 - 1 // count of restores
)

// Revision returns the revision that the store issued as raw in era e, and 0 if raw is 0. It
// panics if raw exceeds MaxRevision, since the result would belong to another era.
func (e Era) Revision(raw uint64) Revision {
	switch {
	case raw == 0:
		return 0
	case raw > MaxRevision:
		panic("era: revision exceeds MaxRevision")
	default:
		return Revision(uint64(e)<<revisionBits | raw)
	}
}

// Era returns the era that issued the revision. It is 0 for the zero Revision.
func (n Revision) Era() Era { return Era(n >> revisionBits) }

// Raw returns the revision as the store numbers it, without the era.
func (n Revision) Raw() uint64 { return uint64(n) & MaxRevision }

// String formats the revision for logs, as ERA/REVISION if the store reports its era and as
// REVISION otherwise.
func (n Revision) String() string { return formatInEra(n.Era(), n.Raw()) }

func formatInEra(e Era, raw uint64) string {
	text := strconv.FormatUint(raw, 10)
	if e == 0 {
		return text
	}
	return strconv.FormatUint(uint64(e), 10) + "/" + text
}

// MarshalJSON encodes the revision for logs: as an integer if the store reports no era, and
// otherwise as the string "ERA/REVISION".
func (n Revision) MarshalJSON() ([]byte, error) {
	if n.Era() == 0 {
		return []byte(n.String()), nil
	}
	return strconv.AppendQuote(nil, n.String()), nil
}

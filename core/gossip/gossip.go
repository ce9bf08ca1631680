// Package gossip holds the records that entry instances exchange: versioned records, the deltas
// sent to peers, and the set of the newest record of each kind and name.
//
// Every record is ordered by counters of its origin, such as an engine's boot and change or the
// version of the list. It therefore does not matter from which peer or how often a record arrives.
// Each peer is sent only the records that became new here since it last confirmed; a lost
// message is covered by the next one.
//
// Residencies, leaving replicas and the registry's records are sent to all instances: they
// change rarely, and calls are sent to other zones according to them. Loads stay in their zone:
// they change all the time and would be stale on arrival.
package gossip

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/demand"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
)

// A Residency is an engine's report of its items.
type Residency struct {
	Engine string
	pool.Residency
}

// A Load is an engine's report of its load.
type Load struct {
	Engine string
	pool.Load
}

// A ListedKind is what a listed instance runs.
type ListedKind uint8

// The kinds of listed instance.
const (
	Entry ListedKind = iota + 1
	Upstream
)

// A Listed is the platform's list entry of one instance.
type Listed struct {
	Name    string
	Kind    ListedKind
	Zone    string
	Address string // of an entry instance's listener for peers
	Leaving bool
	Gone    bool         // the entry was removed from the list
	Version era.Revision // of the list at the entry's last change
	// Announced is the announcement of an upstream that announces itself; nil for others.
	Announced *pool.Announcement
}

// A Leaving records that an incarnation of a replica reported itself as leaving, in a response
// or in its list entry.
type Leaving struct {
	pool.Incarnation
	At clock.Instant // when this instance learned of it; not sent to peers
}

// A Rest records that an incarnation of a replica rejected an instance's call and requested no
// calls from it until an instant. A message carries the remaining time instead.
type Rest struct {
	pool.Incarnation
	Until clock.Instant
	Left  time.Duration // remaining time, in a message
}

// A Limit is the newest report of an incarnation's rate limit.
type Limit struct {
	pool.Incarnation
	pool.LimitReport
}

// A LinkReport is the state of an instance's links to the replicas of a service.
type LinkReport struct {
	Service string
	Lost    bool // it cannot connect to most of them
	// Proven reports whether one of the links ever proved to work, and ProvenAge how long ago
	// that was the last time.
	Proven    bool
	ProvenAge time.Duration
	// Rejections is the limit of the service's replicas, as known to the instance.
	Rejections RejectionReport
}

// A RejectionReport is the newest report of how many requests the replicas of a service can
// reject.
type RejectionReport struct {
	Known bool // the service ever had a limit
	pool.RejectionLimit
	Age time.Duration // since a replica stated it
}

// Versions is what an instance knows of the versions of replicas' software that were listed lately.
type Versions struct {
	Known   bool            // the sender knows all of them
	Reports []VersionReport // if the receiver does not
}

// A VersionReport is when a version of a service was listed.
type VersionReport struct {
	Service  string
	Software string
	Initial  bool          // it was listed before all others that the sender knows
	Unlisted time.Duration // since it was known not to be listed
	Heard    time.Duration // since the sender, or an earlier one, first heard of it
	Last     time.Duration // since it was last listed
}

// A LeaseHolder is the instance that holds the planner lease of a zone.
type LeaseHolder struct {
	Zone     string
	Instance string
	Fence    uint64
}

// Records is a set of records: a delta or all of them.
type Records struct {
	Residencies []Residency
	Loads       []Load
	Listed      []Listed
	Holders     []LeaseHolder
	Registered  []registry.Record
	Crashes     []crash.Report
	Successes   []crash.Success
	Leaving     []Leaving
	Limits      []Limit
	Rests       []Rest
}

// withAges returns the records as sent in a message at now, with ages in place of instants.
func (r Records) withAges(now clock.Instant) Records {
	for i, c := range r.Crashes {
		r.Crashes[i].EventTime = c.ForWire(now)
	}
	for i, s := range r.Successes {
		r.Successes[i].EventTime = s.ForWire(now)
	}
	for i, l := range r.Limits {
		r.Limits[i].EventTime = l.ForWire(now)
	}
	for i, x := range r.Rests {
		r.Rests[i] = Rest{Incarnation: x.Incarnation, Left: max(0, x.Until.Since(now))}
	}
	return r
}

// A Message is the request or the response of an exchange.
type Message struct {
	From     string
	Zone     string
	Address  string // of the sender's listener for exchanges
	Boot     uint64 // of the sender
	Leaving  bool   // the sender is shutting down
	Revision uint64 // of the configuration in use at the sender
	// StoreAge is the age of the sender's newest information about the platform's store,
	// received from the store or from peers.
	StoreAge time.Duration
	// ConfirmedAge is the age of what the sender certainly knows of the store, which is at least
	// StoreAge; 0: it knows nothing for certain.
	ConfirmedAge time.Duration
	// StoreVersion is the version up to which the sender has read the platform's store itself.
	// Earlier changes need not be sent to it.
	StoreVersion era.Revision
	Stamp        uint64 // of the sender's Set when the message was sent
	// AckBoot and Ack confirm the receiver's messages: the sender has everything up to Ack of
	// the receiver's boot AckBoot.
	AckBoot uint64
	Ack     uint64
	Records Records
	// Demand is the demand of the sender's callers. It is sent only to the instance that places
	// models by it.
	Demand []demand.Item
	// Uses is the sender's calls in flight by replica; nil if it is not included.
	Uses map[string]pool.Usage
	// Relays reports that the sender relays attempts of calls for other instances (core/relay).
	Relays bool
	// Informed reports that the sender knows the limits of all services whose replicas can reject
	// few requests, as far as the fleet does.
	Informed bool
	// Links is the state of the sender's links to the replicas of each service.
	Links []LinkReport
	// Versions is what the sender knows of the versions of replicas' software.
	Versions Versions
	// WantConfig requests the configuration if the receiver's is newer.
	WantConfig bool
	// Config is the encoded configuration of Revision, if it was requested.
	Config []byte
}

// A Set holds the newest record of each kind and name, with the stamp at which it became new
// here.
type Set struct {
	stamp       uint64
	residencies map[string]stamped[Residency]
	loads       map[string]stamped[Load]
	listed      map[string]stamped[Listed]
	holders     map[string]stamped[LeaseHolder]
	registered  map[string]stamped[registry.Record]
	crashes     map[string]stamped[crash.Report]
	successes   map[crash.Trait]stamped[crash.Success]
	leaving     map[pool.Incarnation]stamped[Leaving]
	limits      map[pool.Incarnation]stamped[Limit]
	rests       map[pool.Incarnation]stamped[Rest]
}

// A stamped is a record with the stamp of the set at which it became new here.
type stamped[T any] struct {
	record T
	stamp  uint64
	from   string // peer that sent it; "" if received from its origin
}

// NewSet returns an empty set.
func NewSet() *Set {
	return &Set{
		residencies: map[string]stamped[Residency]{},
		loads:       map[string]stamped[Load]{},
		listed:      map[string]stamped[Listed]{},
		holders:     map[string]stamped[LeaseHolder]{},
		registered:  map[string]stamped[registry.Record]{},
		crashes:     map[string]stamped[crash.Report]{},
		successes:   map[crash.Trait]stamped[crash.Success]{},
		leaving:     map[pool.Incarnation]stamped[Leaving]{},
		limits:      map[pool.Incarnation]stamped[Limit]{},
		rests:       map[pool.Incarnation]stamped[Rest]{},
	}
}

// Stamp returns the set's stamp, which rises with every record that becomes new here.
func (s *Set) Stamp() uint64 { return s.stamp }

// put stores the record if there is none of its name, or if newer reports that it is newer than
// that one, and reports whether it did.
func put[K comparable, T any](s *Set, records map[K]stamped[T], name K, from string, rec T, newer func(old T) bool) bool {
	old, ok := records[name]
	if ok && !newer(old.record) {
		return false
	}
	s.stamp++
	records[name] = stamped[T]{record: rec, stamp: s.stamp, from: from}
	return true
}

// AddResidency stores a record sent by the peer from, or received from its origin if from is
// "", and reports whether it was new.
func (s *Set) AddResidency(from string, r Residency) bool {
	return put(s, s.residencies, r.Engine, from, r, func(old Residency) bool { return r.Newer(old.Residency) })
}

// AddLoad stores the record and reports whether it was new.
func (s *Set) AddLoad(from string, l Load) bool {
	return put(s, s.loads, l.Engine, from, l, func(old Load) bool { return l.Newer(old.Load) })
}

// AddListed stores the record and reports whether it was new.
func (s *Set) AddListed(from string, l Listed) bool {
	return put(s, s.listed, l.Name, from, l, func(old Listed) bool {
		return l.Version > old.Version || l.Version == old.Version && l.Gone && l.Leaving && !old.Leaving
	})
}

// AddLeaseHolder stores the record and reports whether it was new.
func (s *Set) AddLeaseHolder(from string, h LeaseHolder) bool {
	return put(s, s.holders, h.Zone, from, h, func(old LeaseHolder) bool {
		return h.Fence > old.Fence || (h.Fence == old.Fence && h.Instance == "" && old.Instance != "")
	})
}

// AddRegistered stores the record and reports whether it was new.
func (s *Set) AddRegistered(from string, r registry.Record) bool {
	return put(s, s.registered, r.Key, from, r, func(old registry.Record) bool { return r.Revision > old.Revision })
}

// AddCrash stores the report, or a newer version of it with more requests, and reports whether
// it was new.
func (s *Set) AddCrash(from string, r crash.Report) bool {
	name := fmt.Sprintf("%s/%d/%d", r.Observer, r.Boot, r.Seq)
	return put(s, s.crashes, name, from, r, func(old crash.Report) bool { return len(r.Requests) > len(old.Requests) })
}

// AddSuccess stores the record and reports whether it was new. Ages in messages are imprecise,
// so a success that is hardly later than the known one is not new.
func (s *Set) AddSuccess(from string, x crash.Success) bool {
	return put(s, s.successes, x.Trait, from, x, func(old crash.Success) bool { return x.At.Since(old.At) > minSuccessGap })
}

// minSuccessGap is how much later than the known success of a request another one must be to
// count as new: longer than a message takes, shorter than a caller takes to retry after a
// failure.
const minSuccessGap = time.Second

// Crashes returns the crash reports in no particular order.
func (s *Set) Crashes() []crash.Report {
	out := make([]crash.Report, 0, len(s.crashes))
	for _, x := range s.crashes {
		out = append(out, x.record)
	}
	return out
}

// LastSuccess returns when a request with a trait last succeeded according to the records.
func (s *Set) LastSuccess(t crash.Trait) clock.Instant { return s.successes[t].record.At }

// PruneCrashes removes the crash reports and successes older than age, and all but the newest
// crash reports: so many reports, with so many traits of requests in all, are kept. It reports
// whether it removed crash reports.
func (s *Set) PruneCrashes(now clock.Instant, age time.Duration, reports, traits int) bool {
	before := len(s.crashes)
	names := slices.SortedFunc(maps.Keys(s.crashes), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.crashes[b].record.At.Mono, s.crashes[a].record.At.Mono), cmp.Compare(a, b))
	})
	kept := 0
	for i, name := range names {
		r := s.crashes[name].record
		kept += r.TraitCount()
		if i >= reports || kept > traits || now.MaxElapsed(r.At) > age {
			delete(s.crashes, name)
		}
	}
	for name, x := range s.successes {
		if now.MaxElapsed(x.record.At) > age {
			delete(s.successes, name)
		}
	}
	return len(s.crashes) < before
}

// AddLeaving stores the record and reports whether it was new.
func (s *Set) AddLeaving(from string, l Leaving) bool {
	return put(s, s.leaving, l.Incarnation, from, l, func(Leaving) bool { return false })
}

// IsLeaving reports whether an incarnation of a replica reported itself as leaving.
func (s *Set) IsLeaving(i pool.Incarnation) bool {
	_, ok := s.leaving[i]
	return ok
}

// PruneLeaving removes the records of leaving replicas older than age.
func (s *Set) PruneLeaving(now clock.Instant, age time.Duration) {
	maps.DeleteFunc(s.leaving, func(_ pool.Incarnation, x stamped[Leaving]) bool { return now.MaxElapsed(x.record.At) > age })
}

// minLimitGap is how much later than the known report an unchanged limit must be reported to
// count as new, so that peers know its age (docs/design/limits.md).
const minLimitGap = 2 * time.Second

// AddLimit stores a report of an incarnation's rate limit, and reports whether it was new.
func (s *Set) AddLimit(from string, incarnation pool.Incarnation, report pool.LimitReport) bool {
	return put(s, s.limits, incarnation, from, Limit{incarnation, report}, func(old Limit) bool {
		return report.Newer(old.LimitReport) && (report.Limit != old.Limit || report.At.Since(old.At) >= minLimitGap)
	})
}

// Limit returns the newest report of an incarnation's rate limit.
func (s *Set) Limit(incarnation pool.Incarnation) (pool.LimitReport, bool) {
	l, ok := s.limits[incarnation]
	return l.record.LimitReport, ok
}

// PruneLimits removes the limit reports older than age, except those of incarnations for which
// running returns true.
func (s *Set) PruneLimits(now clock.Instant, age time.Duration, running func(pool.Incarnation) bool) {
	maps.DeleteFunc(s.limits, func(incarnation pool.Incarnation, x stamped[Limit]) bool {
		return now.MaxElapsed(x.record.At) > age && !running(incarnation)
	})
}

// minRestGap is how much later the end of a rest must be to count as new: ages in messages are
// imprecise (docs/design/notices.md).
const minRestGap = 300 * time.Millisecond

// AddRest stores a rest that an incarnation of a replica requested from some instance, and
// reports whether it was new.
func (s *Set) AddRest(from string, r Rest) bool {
	return put(s, s.rests, r.Incarnation, from, r, func(old Rest) bool { return r.Until.Since(old.Until) >= minRestGap })
}

// PruneRests removes the rests that have ended.
func (s *Set) PruneRests(now clock.Instant) {
	maps.DeleteFunc(s.rests, func(_ pool.Incarnation, x stamped[Rest]) bool { return !now.Before(x.record.Until) })
}

// Missing returns, as deleted records, the registry records that are absent from a listing of
// the whole registry at revision at. Records written after the listing are not included.
func (s *Set) Missing(listing []registry.Record, at era.Revision) []registry.Record {
	listed := make(map[string]bool, len(listing))
	for _, r := range listing {
		listed[r.Key] = true
	}
	var gone []registry.Record
	for key, old := range s.registered {
		if !listed[key] && !old.record.Gone && old.record.Revision < at {
			gone = append(gone, registry.Record{Key: key, Revision: at, Gone: true})
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Key < gone[j].Key })
	return gone
}

// ListedVersion returns the version of the newest list entry of a name, 0 if there was none.
func (s *Set) ListedVersion(name string) era.Revision { return s.listed[name].record.Version }

// LeaseHolder returns the holder of a zone's planner lease; its Instance is "" if none is
// known.
func (s *Set) LeaseHolder(zone string) LeaseHolder { return s.holders[zone].record }

// Residency returns the newest known residency of an engine.
func (s *Set) Residency(engine string) (Residency, bool) {
	r, ok := s.residencies[engine]
	return r.record, ok
}

// Load returns the newest known load of an engine.
func (s *Set) Load(engine string) (Load, bool) {
	l, ok := s.loads[engine]
	return l.record, ok
}

// Delta returns the records of Since as sent in a message at now.
func (s *Set) Delta(now clock.Instant, stamp uint64, to string, withLoads bool, known era.Revision) Records {
	return s.Since(stamp, to, withLoads, known).withAges(now)
}

// Since returns the records that became new after stamp, without those that were received from
// the peer to. Loads are included only if withLoads. Of the records of the platform's store,
// only those that changed there after version known are included.
func (s *Set) Since(stamp uint64, to string, withLoads bool, known era.Revision) Records {
	var r Records
	r.Residencies = changedSince(s.residencies, stamp, to)
	r.Listed = changedSince(s.listed, stamp, to)
	r.Holders = changedSince(s.holders, stamp, to)
	r.Registered = changedSince(s.registered, stamp, to)
	r.Crashes = changedSince(s.crashes, stamp, to)
	r.Successes = changedSince(s.successes, stamp, to)
	r.Leaving = changedSince(s.leaving, stamp, to)
	r.Limits = changedSince(s.limits, stamp, to)
	r.Rests = changedSince(s.rests, stamp, to)
	if known > 0 {
		r.Listed = slices.DeleteFunc(r.Listed, func(l Listed) bool { return l.Version <= known })
		r.Registered = slices.DeleteFunc(r.Registered, func(g registry.Record) bool { return g.Revision <= known })
	}
	if withLoads {
		r.Loads = changedSince(s.loads, stamp, to)
	}
	return r
}

// changedSince returns the records with a later stamp that were not received from the peer to,
// in the order of their stamps.
func changedSince[K comparable, T any](all map[K]stamped[T], stamp uint64, to string) []T {
	var changed []stamped[T]
	for _, x := range all {
		if x.stamp > stamp && (x.from == "" || x.from != to) {
			changed = append(changed, x)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].stamp < changed[j].stamp })
	out := make([]T, 0, len(changed))
	for _, x := range changed {
		out = append(out, x.record)
	}
	return out
}

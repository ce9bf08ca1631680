// Package share provides what entry instances tell each other: versioned
// records, the deltas in which they travel, and the set that holds the newest of
// each.
//
// The idea: every record is ordered by its origin's own counters, an engine's
// boot and change or the list's version, so it does not matter which way or how
// often it arrives. Each peer is sent only what became new here since it last
// confirmed; a message that is lost is covered by the next one.
//
// What travels where: what engines hold, who is leaving and the registry's
// records go everywhere, for they change rarely and calls are sent across zones
// by them; loads stay in their zone, for they change all the time and are stale
// by the time they would have crossed.
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

// A Residency tells what an engine holds.
type Residency struct {
	Engine string
	pool.Residency
}

// A Load tells how busy an engine is.
type Load struct {
	Engine string
	pool.Load
}

// A ListedKind says what a listed instance runs.
type ListedKind uint8

// The kinds of listed instance.
const (
	Entry ListedKind = iota + 1
	Upstream
)

// A Listed tells what the platform's list says of one instance.
type Listed struct {
	Name    string
	Kind    ListedKind
	Zone    string
	Address string // of an entry instance's peers' listener
	Leaving bool
	Gone    bool         // the list no longer has it
	Version era.Revision // of the list, when this was last changed
	// Announced is what an upstream that announces itself says; nil for others.
	Announced *pool.Announcement
}

// A Leaving tells that a life of a replica said that it leaves, in an answer or in its entry.
type Leaving struct {
	pool.Incarnation
	At clock.Instant // when this instance heard of it; it does not travel
}

// A Rest tells that a life of a replica turned an instance away and wants nothing from it
// until a moment, which travels as an age below zero.
type Rest struct {
	pool.Incarnation
	Until clock.Instant
	Left  time.Duration // in a message
}

// A Limit tells what a life of a replica said last of its limit.
type Limit struct {
	pool.Incarnation
	pool.LimitReport
}

// A LeaseHolder tells who plans for a zone.
type LeaseHolder struct {
	Zone     string
	Instance string
	Fence    uint64
}

// A Records is a set of records, as a delta or as a whole.
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

// withAges returns the records as they travel in a message sent at now.
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

// A Message is one side of an exchange.
type Message struct {
	From     string
	Zone     string
	Address  string // where the sender takes exchanges
	Boot     uint64 // of the sender
	Leaving  bool   // the sender is stopping
	Revision uint64 // of the configuration in force at the sender
	// StoreAge is how old the newest news of the platform's store is that the
	// sender has, at first hand or from others.
	StoreAge time.Duration
	// StoreVersion is up to where the sender has heard the platform's store at
	// first hand, so that it need not be told what changed before.
	StoreVersion era.Revision
	Stamp        uint64 // of the sender's Set at the time of sending
	// AckBoot and Ack confirm what the receiver sent: everything up to Ack of
	// its boot AckBoot is here.
	AckBoot uint64
	Ack     uint64
	Records Records
	// Demand is what the sender's callers ask for. It is sent only to whoever
	// places models by it.
	Demand []demand.Item
	// Uses is what the sender has in flight, by replica; nil if it does not say.
	Uses map[string]pool.Usage
	// WantConfig asks for the configuration if the receiver's is newer.
	WantConfig bool
	// Config is the encoded configuration of Revision, if it was asked for.
	Config []byte
}

// A Set holds the newest record of each kind and name, and when it became
// new here.
type Set struct {
	stamp       uint64
	residencies map[string]stamped[Residency]
	loads       map[string]stamped[Load]
	listed      map[string]stamped[Listed]
	holders     map[string]stamped[LeaseHolder]
	registered  map[string]stamped[registry.Record]
	crashes     map[string]stamped[crash.Report]
	successes   map[crash.Fingerprint]stamped[crash.Success]
	leaving     map[pool.Incarnation]stamped[Leaving]
	limits      map[pool.Incarnation]stamped[Limit]
	rests       map[pool.Incarnation]stamped[Rest]
}

// A stamped is a record with the Stamp of the set when it became new here.
type stamped[T any] struct {
	record T
	stamp  uint64
	from   string // who told of it; "" if it was learnt at first hand
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
		successes:   map[crash.Fingerprint]stamped[crash.Success]{},
		leaving:     map[pool.Incarnation]stamped[Leaving]{},
		limits:      map[pool.Incarnation]stamped[Limit]{},
		rests:       map[pool.Incarnation]stamped[Rest]{},
	}
}

// Stamp rises with every record that became new here.
func (s *Set) Stamp() uint64 { return s.stamp }

// put stores the record if there is none of its name, or newer says that it is
// newer than that one, and reports whether it did.
func put[K comparable, T any](s *Set, into map[K]stamped[T], name K, from string, rec T, newer func(old T) bool) bool {
	old, ok := into[name]
	if ok && !newer(old.record) {
		return false
	}
	s.stamp++
	into[name] = stamped[T]{record: rec, stamp: s.stamp, from: from}
	return true
}

// AddResidency stores the record, told by from or learnt at first hand (""), and
// reports whether it was news.
func (s *Set) AddResidency(from string, r Residency) bool {
	return put(s, s.residencies, r.Engine, from, r, func(old Residency) bool { return r.Newer(old.Residency) })
}

// AddLoad stores the record and reports whether it was news.
func (s *Set) AddLoad(from string, l Load) bool {
	return put(s, s.loads, l.Engine, from, l, func(old Load) bool { return l.Newer(old.Load) })
}

// AddListed stores the record and reports whether it was news.
func (s *Set) AddListed(from string, l Listed) bool {
	return put(s, s.listed, l.Name, from, l, func(old Listed) bool {
		return l.Version > old.Version || l.Version == old.Version && l.Gone && l.Leaving && !old.Leaving
	})
}

// AddLeaseHolder stores the record and reports whether it was news.
func (s *Set) AddLeaseHolder(from string, h LeaseHolder) bool {
	return put(s, s.holders, h.Zone, from, h, func(old LeaseHolder) bool {
		return h.Fence > old.Fence || (h.Fence == old.Fence && h.Instance == "" && old.Instance != "")
	})
}

// AddRegistered stores the record and reports whether it was news.
func (s *Set) AddRegistered(from string, r registry.Record) bool {
	return put(s, s.registered, r.Key, from, r, func(old registry.Record) bool { return r.Revision > old.Revision })
}

// AddCrash stores the report, or what is new in it, and reports whether it was news.
func (s *Set) AddCrash(from string, r crash.Report) bool {
	name := fmt.Sprintf("%s/%d/%d", r.Observer, r.Boot, r.Seq)
	return put(s, s.crashes, name, from, r, func(old crash.Report) bool { return len(r.Requests) > len(old.Requests) })
}

// AddSuccess stores the record and reports whether it was news. Ages that travelled
// differ a little, so one that is hardly later is none.
func (s *Set) AddSuccess(from string, x crash.Success) bool {
	return put(s, s.successes, x.Request, from, x, func(old crash.Success) bool { return x.At.Since(old.At) > minSuccessGap })
}

// minSuccessGap is the least time between two successes of a request of which the second
// is news: above what a message takes, below what a caller needs to try again after a
// failure.
const minSuccessGap = time.Second

// Crashes returns the reports of replicas that ended under calls, in no order.
func (s *Set) Crashes() []crash.Report {
	out := make([]crash.Report, 0, len(s.crashes))
	for _, x := range s.crashes {
		out = append(out, x.record)
	}
	return out
}

// LastSuccess returns when a request was last served whole, as far as records tell.
func (s *Set) LastSuccess(r crash.Fingerprint) clock.Instant { return s.successes[r].record.At }

// PruneCrashes drops the reports of crashes that are older than age, the oldest beyond
// the newest keep of them, and the successes that are older than age. It reports whether
// there were such reports.
func (s *Set) PruneCrashes(now clock.Instant, age time.Duration, keep int) bool {
	before := len(s.crashes)
	names := slices.SortedFunc(maps.Keys(s.crashes), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.crashes[b].record.At.Mono, s.crashes[a].record.At.Mono), cmp.Compare(a, b))
	})
	for i, name := range names {
		if i >= keep || now.MaxElapsed(s.crashes[name].record.At) > age {
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

// AddLeaving stores the record and reports whether it was news.
func (s *Set) AddLeaving(from string, l Leaving) bool {
	return put(s, s.leaving, l.Incarnation, from, l, func(Leaving) bool { return false })
}

// IsLeaving reports whether a life of a replica said that it leaves.
func (s *Set) IsLeaving(i pool.Incarnation) bool {
	_, ok := s.leaving[i]
	return ok
}

// PruneLeaving drops the records of replicas that leave which are older than age.
func (s *Set) PruneLeaving(now clock.Instant, age time.Duration) {
	maps.DeleteFunc(s.leaving, func(_ pool.Incarnation, x stamped[Leaving]) bool { return now.MaxElapsed(x.record.At) > age })
}

// minLimitGap is how much later a replica must have said the same of its limit again for
// that to be told, so that peers know how old it is (docs/design/limits.md).
const minLimitGap = 2 * time.Second

// AddLimit stores what a life of a replica said of its limit, and reports whether it was
// news.
func (s *Set) AddLimit(from string, life pool.Incarnation, w pool.LimitReport) bool {
	return put(s, s.limits, life, from, Limit{life, w}, func(old Limit) bool {
		return w.Newer(old.LimitReport) && (w.Limit != old.Limit || w.At.Since(old.At) >= minLimitGap)
	})
}

// Limit returns what a life of a replica said last of its limit, as far as records tell.
func (s *Set) Limit(life pool.Incarnation) (pool.LimitReport, bool) {
	l, ok := s.limits[life]
	return l.record.LimitReport, ok
}

// PruneLimits drops what was said of limits longer ago than age, but of lives that are
// there.
func (s *Set) PruneLimits(now clock.Instant, age time.Duration, there func(pool.Incarnation) bool) {
	maps.DeleteFunc(s.limits, func(life pool.Incarnation, x stamped[Limit]) bool {
		return now.MaxElapsed(x.record.At) > age && !there(life)
	})
}

// minRestGap is how much later the end of a rest must be to be told again: ages that travelled
// differ a little (docs/design/notices.md).
const minRestGap = 300 * time.Millisecond

// AddRest stores that a life of a replica wants nothing from some instance until a moment,
// and reports whether that was news.
func (s *Set) AddRest(from string, r Rest) bool {
	return put(s, s.rests, r.Incarnation, from, r, func(old Rest) bool { return r.Until.Since(old.Until) >= minRestGap })
}

// PruneRests drops the rests that are over.
func (s *Set) PruneRests(now clock.Instant) {
	maps.DeleteFunc(s.rests, func(_ pool.Incarnation, x stamped[Rest]) bool { return !now.Before(x.record.Until) })
}

// Missing returns the registry's records that a listing of the whole registry at
// revision at does not have, as records that are gone.
func (s *Set) Missing(whole []registry.Record, at era.Revision) []registry.Record {
	here := make(map[string]bool, len(whole))
	for _, r := range whole {
		here[r.Key] = true
	}
	var gone []registry.Record
	for key, old := range s.registered {
		if !here[key] && !old.record.Gone && old.record.Revision < at {
			gone = append(gone, registry.Record{Key: key, Revision: at, Gone: true})
		}
	}
	sort.Slice(gone, func(i, j int) bool { return gone[i].Key < gone[j].Key })
	return gone
}

// ListedVersion returns the version of the newest entry of a name, 0 if there was none.
func (s *Set) ListedVersion(name string) era.Revision { return s.listed[name].record.Version }

// LeaseHolder returns who plans for the zone, "" if nobody is known to.
func (s *Set) LeaseHolder(zone string) LeaseHolder { return s.holders[zone].record }

// Residency returns the newest report of what an engine holds.
func (s *Set) Residency(engine string) (Residency, bool) {
	r, ok := s.residencies[engine]
	return r.record, ok
}

// Load returns the newest load known of an engine.
func (s *Set) Load(engine string) (Load, bool) {
	l, ok := s.loads[engine]
	return l.record, ok
}

// Delta returns Since as it travels in a message sent at now.
func (s *Set) Delta(now clock.Instant, stamp uint64, to string, withLoads bool, known era.Revision) Records {
	return s.Since(stamp, to, withLoads, known).withAges(now)
}

// Since returns the records that became new after stamp, without those that to
// told of itself; loads only if withLoads. Of what the platform's store holds,
// only what changed there after known.
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

func changedSince[K comparable, T any](all map[K]stamped[T], stamp uint64, to string) []T {
	var news []stamped[T]
	for _, x := range all {
		if x.stamp > stamp && (x.from == "" || x.from != to) {
			news = append(news, x)
		}
	}
	sort.Slice(news, func(i, j int) bool { return news[i].stamp < news[j].stamp })
	out := make([]T, 0, len(news))
	for _, x := range news {
		out = append(out, x.record)
	}
	return out
}

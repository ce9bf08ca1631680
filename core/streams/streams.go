// Package streams tracks which version of their replicas' software began the streams of callers.
//
// What two versions write does not fit together, so a stream goes on only at the version that
// began it. A caller whose connection broke takes its stream up with another request, which may
// reach any instance, also after the one that it was read from has ended. The request names the
// call that brought the stream's first event.
//
// While only one version can have begun any stream of a route, nothing is recorded for others and
// nobody is asked (history.go). Otherwise an instance tells a few others, its keepers, which
// streams begin there (keepers.go), and one that does not know a stream asks them (lookup.go). A
// version is never guessed: a stream that none of them knows is not continued.
//
// The records are soft state. They end some time after the stream began, and with their instance.
package streams

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/calls"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/shared"
)

const (
	// Lifetime is how long after its first event a stream may be taken up: several times the
	// time for which callers wait for a whole answer.
	Lifetime = 2 * time.Minute
	// scanInterval is the interval at which old records are removed and the listed versions are
	// recorded.
	scanInterval = time.Second
	// recordingInterval is the interval at which it is checked whether streams must be told.
	recordingInterval = 50 * time.Millisecond
	// maxRecords bounds the records that are kept, of this instance's streams and of others'. They
	// take 6 MB at most.
	maxRecords = 1 << 16
)

// An ID identifies a stream by the call that brought its first event.
type ID uint64

// NewID returns the ID of the stream that a call begins. host is that of the caller's request,
// and name the caller's identifier of the call. It returns 0 if the call has no name.
func NewID(host, name string) ID {
	if name == "" {
		return 0
	}
	sum := sha256.Sum256([]byte(fmt.Sprintf("%d:%s%s", len(host), host, name)))
	return ID(binary.BigEndian.Uint64(sum[:]))
}

// An Origin is what began a stream.
type Origin struct {
	Service  string
	Software string // version of the replica's software, "" if it states none
}

// Deps holds what a Tracker needs from other modules. The functions must be set before the first
// event.
type Deps struct {
	shared.State

	// Instances returns the registered instances of the fleet by name.
	Instances func() map[string]registry.Instance
	// FullMesh reports whether every instance exchanges with every other one.
	FullMesh func() bool
	// ListKnownUntil returns the time up to which all changes of the platform's list are certainly
	// known.
	ListKnownUntil func() clock.Instant
	// Found is called with the result of an Ask.
	Found func(now clock.Instant, call calls.ID, a Answer)
}

// A Tracker tracks the streams that began at one instance, and those that others told it of.
type Tracker struct {
	Deps
	history history
	records map[ID]*record
	lookups map[uint64]*lookup // by token of the requests to peers
	last    uint64             // token of the last request

	recording    map[string]bool // services whose streams are told to keepers
	recordingDue clock.Instant
	scanDue      clock.Instant
	delayed      []ID          // streams of which keepers are still to be told
	delayedDue   clock.Instant // when
}

// A record is what is known of one stream.
type record struct {
	origin    Origin
	ambiguous bool // two streams of different versions have this ID
	at        clock.Instant
	own       bool             // it began at this instance
	replica   pool.Incarnation // that began it, as far as was known then; only of own streams
	ended     bool             // its caller has all of it, as far as is known here
}

// New returns a tracker without records.
func New(deps Deps) *Tracker {
	t := &Tracker{Deps: deps, records: map[ID]*record{}, lookups: map[uint64]*lookup{}, recording: map[string]bool{}}
	t.history = newHistory(t.Options.FirstStart)
	t.history.trustsList = t.Options.Disable.VersionHistory
	return t
}

// Begun records that a stream began at this instance, or was taken up here. replica is the one that
// began it, the zero value if another call did. split means that its route is split between
// services, so that the only version of a service does not tell what began it.
func (t *Tracker) Begun(now clock.Instant, id ID, o Origin, replica pool.Incarnation, split bool) {
	if id == 0 {
		return
	}
	r := t.add(now, id, o)
	r.own = true
	r.replica = replica
	if !split && !t.isRecording(now, o.Service) {
		return
	}
	if t.Saturation.Saturated(now) {
		t.delayTelling(now, id)
		return
	}
	t.tell([]ID{id})
}

// ReplicaRestarted records that a replica has restarted as another version. A stream that it began
// shortly before this instance heard of that may be of either version.
func (t *Tracker) ReplicaRestarted(now clock.Instant, replica pool.Incarnation, software string) {
	var doubtful []ID
	for id, r := range t.records {
		if r.own && r.replica.Name == replica.Name && r.replica != replica && r.origin.Software != software && !t.BeganLongAgo(now, r.at) {
			r.ambiguous = true
			doubtful = append(doubtful, id)
		}
	}
	if len(doubtful) > 0 {
		slices.Sort(doubtful)
		t.tell(doubtful)
	}
}

// BeganLongAgo reports whether this instance would have heard of a restart of the replica that began
// a stream at the given time, if it was before that.
func (t *Tracker) BeganLongAgo(now, at clock.Instant) bool {
	return now.Since(at) >= t.Options.Bounds.MaxVersionAge()
}

// Ended records that the caller of a stream has all of it. The stream is still known, since the
// last events may have been lost on their way.
func (t *Tracker) Ended(id ID) {
	if r := t.records[id]; r != nil {
		r.ended = true
	}
}

// add adds a record, or combines it with what is known of the stream.
func (t *Tracker) add(now clock.Instant, id ID, o Origin) *record {
	r := t.records[id]
	if r == nil {
		r = &record{origin: o}
		t.records[id] = r
	}
	r.ambiguous = r.ambiguous || r.origin != o
	r.at = now
	r.ended = false
	return r
}

// Tick performs the work that is due.
func (t *Tracker) Tick(now clock.Instant) {
	t.observeList(now)
	t.tellDelayed(now)
	if !now.Before(t.scanDue) {
		t.scanDue = now.Add(scanInterval)
		t.scan(now)
	}
	if !now.Before(t.recordingDue) {
		t.recordingDue = now.Add(recordingInterval)
		t.updateRecording(now)
	}
}

// observeList records up to when the list is known.
func (t *Tracker) observeList(now clock.Instant) {
	t.history.observeList(now, t.ListKnownUntil(), t.limits())
}

// scan removes old records, and records which versions are listed.
func (t *Tracker) scan(now clock.Instant) {
	for _, r := range t.Pool.All() {
		if r.Announced {
			t.history.seen(now, Origin{Service: r.Service, Software: r.Announcement().Software})
		}
	}
	t.history.prune(now)
	t.history.observeInstances(now, t.Instances())
	for id, r := range t.records {
		if now.Since(r.at) >= Lifetime {
			delete(t.records, id)
		}
	}
	for id := range t.records {
		if len(t.records) <= maxRecords {
			break
		}
		delete(t.records, id)
	}
}

// HandleAnnounced records the version that a replica announces.
func (t *Tracker) HandleAnnounced(now clock.Instant, replica string) {
	if r := t.Pool.Get(replica); r != nil && r.Announced {
		t.history.announced(now, Origin{Service: r.Service, Software: r.Announcement().Software}, t.ListKnownUntil())
	}
}

// FirstOfFleet records that no instance of the fleet ran before this one.
func (t *Tracker) FirstOfFleet() { t.history.first = true }

// HandleListRead records that this instance read changes of the list from the store, or the whole
// list.
func (t *Tracker) HandleListRead(whole bool) { t.history.listRead(whole) }

// Sole returns the only version that can have begun a stream of a service that is still taken up;
// ok is false if there may be several.
func (t *Tracker) Sole(now clock.Instant, service string) (software string, ok bool) {
	t.observeList(now) // a message may have closed a gap since the last tick
	return t.history.sole(now, service, t.listAge(now), t.limits())
}

// limits returns the limits for the current options.
func (t *Tracker) limits() limits {
	o := t.Options
	timing := bounds.Timing{Mesh: t.FullMesh(), Exchange: o.ExchangeEvery, Pause: o.WatchEvery, Wait: o.WatchWait}
	return limits{listAge: o.Bounds.MaxVersionAge(), hold: o.Bounds.VersionHold(timing)}
}

// listAge returns the age of this instance's copy of the list.
func (t *Tracker) listAge(now clock.Instant) time.Duration {
	if t.Options.Disable.VersionAge {
		return 0
	}
	return now.Since(t.ListKnownUntil())
}

// OnHold reports whether no stream may begin yet at a version, because instances may exist that
// have not heard of it.
func (t *Tracker) OnHold(now clock.Instant, o Origin) bool {
	return !t.Options.Disable.VersionHold && t.history.onHold(now, o, t.limits(), t.peersKnow)
}

// minUnknowing is the number of peers of a large fleet that must not know the versions of the last
// Lifetime for an instance to take it that none does. No instance hears from all in time.
const minUnknowing = 3

// peersKnow reports whether a peer may know the versions of the last Lifetime: one that has not
// reported that it does not, and that answers.
func (t *Tracker) peersKnow() bool {
	if !t.FullMesh() && len(t.history.unknowing) >= minUnknowing {
		return false
	}
	for name := range t.Instances() {
		p := t.Members.Get(name)
		if name != t.Self.Name && !t.history.unknowing[name] && (p == nil || !p.Failing()) {
			return true
		}
	}
	return false
}

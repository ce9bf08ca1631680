package pool

import (
	"cmp"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/era"
	"github.com/birchdrift/birchdrift/core/limit"
)

// A Kind is what a replica runs.
type Kind uint8

// The kinds of replica.
const (
	Engine Kind = iota + 1 // runs models
	Plain                  // any other upstream of a service
)

// A Spec holds the configured or announced properties of a replica.
type Spec struct {
	Name        string
	Address     string // IP:port
	Zone        string
	Domain      string // failure domain, such as a rack
	Kind        Kind
	Service     string // service of a plain or announced replica
	Announced   bool   // announces itself instead of being configured
	Concurrent  int    // maximum number of concurrent sequences or calls
	MemoryMiB   int64
	ChecksFence bool
}

// Parameters of health tracking.
const (
	ejectAfter = 3               // consecutive failures before a replica is ejected
	ejectBase  = 2 * time.Second // duration of the first ejection; doubles with each further one
	// ejectMax is the longest ejection.
	ejectMax        = 60 * time.Second
	firstTokenAlpha = 0.2 // weight of a new sample below the average
	// serviceTimeAlpha is the weight of a new sample of the service time.
	serviceTimeAlpha = 0.1
	// defaultFirstToken is the time to first token before any was measured.
	defaultFirstToken = 50 * time.Millisecond
	// defaultServiceTime is the assumed time that a call occupies a replica.
	defaultServiceTime = time.Second
	// defaultPlainServiceTime is the same for an announced plain replica.
	defaultPlainServiceTime = 30 * time.Millisecond
	// firstTokenHalfLife is the half-life of the excess of a slow average over the default.
	firstTokenHalfLife = 5 * time.Second
	loadHalfLife       = 4 * time.Second // half-life of the calls of others in the last reported load
)

// A Replica is this instance's view of one upstream. It is accessed only by the goroutine that
// owns the state machine.
type Replica struct {
	Spec
	Residency Residency
	Limit     limit.Concurrency
	items     map[string]ItemPhase
	refused   map[string]clock.Instant // items that the replica refused, and until when this counts
	activity
	health
	listing
	leaving
	rest  restState
	limit limitState
	link  linkState
	// exposure tracks the requests that the replica may reject.
	exposure exposure
}

// activity is the work at a replica, according to this instance's own count, to peers and to
// the replica's own reports.
type activity struct {
	load      Load
	loadAt    clock.Instant
	ownAtLoad int // own calls in flight when load was received

	report       receivedReport
	peers        map[string]peerUsage // calls of other instances in flight, by instance
	usedItems    []string             // items used recently by own calls, newest last
	inFlight     map[uint64]int       // ranks of own calls in flight, by call
	ownCalls     ByRank[int]          // number of own calls in flight
	pending      []pendingCall        // own calls without a first token, oldest first
	firstToken   time.Duration        // peak EWMA of the time to first token
	firstTokenAt clock.Instant
	serviceTime  time.Duration // EWMA of the time a call occupies the replica
}

// health is the state of a replica according to the outcomes of calls to it.
type health struct {
	failures     int // consecutive, since the last ejection
	ejections    int // consecutive
	ejectedUntil clock.Instant
}

// listing is the state of a replica in the platform's list, if it announces itself.
type listing struct {
	announced       Announcement
	seenAt          clock.Instant // when this incarnation was first announced
	announcedAt     clock.Instant // when it was last announced
	reportedAt      clock.Instant // when its owner's report was last received
	vanishedAt      clock.Instant // when its entry vanished; zero while it is listed
	leavingDeadline clock.Instant // if it vanished: when it counts as leaving at the latest; zero: no deadline
	endsAt          clock.Instant // when it is reclaimed, if that is known
	pastStartIDs    []string      // Born of its past incarnations, latest last
}

// leaving records which sources reported the replica as leaving.
type leaving struct {
	// listedLeaving means that the platform's list shows the replica as leaving, or that its entry
	// vanished and the grace period or the deadline has passed.
	listedLeaving bool
	// announcedLeaving means that an entry of this incarnation showed it as leaving.
	announcedLeaving bool
	leavingBoot      uint64        // boot that was reported as leaving
	reportedLeaving  bool          // a source other than the list showed it as leaving or terminated
	leavingAt        clock.Instant // when the replica itself first reported it; zero if it did not
	terminated       bool          // its process has ended
	supersession
}

// supersession is the state of a replica at whose address a newer entry announces another one.
type supersession struct {
	superseded   bool
	supersededBy era.Revision  // creation of the newer entry
	supersededAt clock.Instant // when it was first seen to be superseded; zero: not yet
	// disputed is the creation of the newest entry that superseded the replica for
	// MaxSupersession; 0 if none did.
	disputed era.Revision
	proven   bool // it has answered a call since
}

// A pendingCall is an own call in flight without a first token.
type pendingCall struct {
	id       uint64
	rank     int // 0 is the most urgent
	since    clock.Instant
	prefill  time.Duration // estimated remaining work on its prompt
	expected time.Duration // estimated time until its first event
	relayed  bool          // another instance sends it
}

func newReplica(spec Spec) *Replica {
	serviceTime := defaultServiceTime
	if spec.Announced && spec.Kind == Plain {
		serviceTime = defaultPlainServiceTime
	}
	return &Replica{
		Spec:     spec,
		Limit:    limit.NewConcurrency(spec.Concurrent),
		items:    map[string]ItemPhase{},
		refused:  map[string]clock.Instant{},
		activity: activity{firstToken: defaultFirstToken, serviceTime: serviceTime, inFlight: map[uint64]int{}},
	}
}

// An Incarnation identifies one start of a replica, since a restarted one may have the same
// name.
type Incarnation struct {
	Name string
	Born string // "" if unknown
}

// Compare orders incarnations by name, then by Born as a string.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Name, other.Name), cmp.Compare(i.Born, other.Born))
}

// Incarnation returns the replica's current incarnation.
func (r *Replica) Incarnation() Incarnation { return Incarnation{Name: r.Name, Born: r.announced.Born} }

// Phase returns the phase of item on the replica, 0 if it is absent.
func (r *Replica) Phase(item string) ItemPhase { return r.items[item] }

// refusalTTL is how long a replica that refused an item is not sent calls for it, unless its
// residency is reported again earlier.
const refusalTTL = 500 * time.Millisecond

// MarkRefused records that the replica refused a call because it does not run item.
func (r *Replica) MarkRefused(now clock.Instant, item string) { r.refused[item] = now.Add(refusalTTL) }

// Refusing reports whether the replica refused item within the last refusalTTL.
func (r *Replica) Refusing(now clock.Instant, item string) bool {
	return len(r.refused) > 0 && now.Before(r.refused[item])
}

// Failures returns the number of consecutive failed calls at the replica since its last ejection.
func (r *Replica) Failures() int { return r.failures }

// Overdue returns how much longer than expected the oldest pending own call has waited for its
// first event. It shows that a replica no longer responds before any call to it has failed.
func (r *Replica) Overdue(now clock.Instant) time.Duration {
	if len(r.pending) == 0 {
		return 0
	}
	oldest := r.pending[0]
	return max(0, now.Since(oldest.since)-oldest.expected)
}

// InFlight returns the number of this instance's own calls in flight.
func (r *Replica) InFlight() int { return len(r.inFlight) }

// Leaving reports whether any source reported the replica as leaving, or a newer entry supersedes
// it. One source is enough, and only a later boot or another incarnation revokes its report,
// because the list lags behind the upstream's own report.
func (r *Replica) Leaving() bool { return r.knownLeaving() || r.superseded }

// knownLeaving reports whether any source reported the replica as leaving.
func (r *Replica) knownLeaving() bool { return r.reportedLeaving || r.listedLeaving }

// AnnouncedLeaving reports whether an entry of this incarnation showed it as leaving.
func (r *Replica) AnnouncedLeaving() bool { return r.announcedLeaving }

// Ejected reports whether the replica is excluded from selection because of failures.
func (r *Replica) Ejected(now clock.Instant) bool { return now.Before(r.ejectedUntil) }

// Usable reports whether new work may be sent to the replica.
func (r *Replica) Usable() bool { return !r.Leaving() }

// ActiveSequences estimates the calls that occupy the replica at now. Own calls are counted
// exactly. Those of others are taken from the last reported load, minus the own calls at that
// time, and decay with the report's age. For an announced replica, Load counts both.
func (r *Replica) ActiveSequences(now clock.Instant) float64 {
	if r.Announced {
		return float64(r.Load(now).Calls.Sum())
	}
	others := float64(max(0, r.load.Running+r.load.Waiting-r.ownAtLoad))
	if !r.loadAt.IsZero() {
		age := now.Since(r.loadAt)
		others *= decay(age, loadHalfLife)
	}
	return float64(len(r.inFlight)) + others
}

// TimeToFirstToken returns the measured time to first token: the peak EWMA, or the age of the
// oldest pending own call if that is longer. The age makes a frozen replica look slow before it
// has answered any call.
func (r *Replica) TimeToFirstToken(now clock.Instant) time.Duration {
	first := r.firstToken
	if age := now.Since(r.firstTokenAt); first > defaultFirstToken && age > 0 {
		// The excess over the default decays with age. Otherwise a replica that is the
		// only one and was slow once would never be tried again.
		first = defaultFirstToken + time.Duration(float64(first-defaultFirstToken)*decay(age, firstTokenHalfLife))
	}
	if len(r.pending) > 0 {
		first = max(first, now.Since(r.pending[0].since))
	}
	return first
}

// ServiceTime returns the measured time that a call occupies the replica.
func (r *Replica) ServiceTime() time.Duration { return r.serviceTime }

// Utilization returns the fraction of the replica's capacity in use at now: 1 is full.
func (r *Replica) Utilization(now clock.Instant) float64 {
	return r.ActiveSequences(now) / float64(max(1, r.Concurrent))
}

// Start records that this instance sent the call id to the replica.
func (r *Replica) Start(now clock.Instant, id uint64) { r.StartPrefill(now, id, Prefill{}) }

// A Prefill describes a call whose prompt an engine has to process.
type Prefill struct {
	Rank     int           // 0 is the most urgent
	Work     time.Duration // estimated time to process the prompt
	Expected time.Duration // estimated time until the first event
	Relayed  bool          // another instance sends the call
}

// StartPrefill is Start for a call with a prompt.
func (r *Replica) StartPrefill(now clock.Instant, id uint64, p Prefill) {
	rank := RankOf(p.Rank)
	if r.NeedsTrial() && !r.Resting(now) {
		r.rest.trialCall = id
	}
	if !p.Relayed {
		r.expose(id)
	}
	r.inFlight[id] = rank
	r.ownCalls[rank]++
	r.pending = append(r.pending, pendingCall{id: id, rank: rank, since: now, prefill: p.Work, expected: p.Expected, relayed: p.Relayed})
}

// HasCall reports whether the call is in flight at this incarnation of the replica.
func (r *Replica) HasCall(id uint64) bool {
	_, ok := r.inFlight[id]
	return ok
}

// FirstTokenReceived records that the call's first token arrived, and resets the counts of
// consecutive failures and ejections. late means that the token missed the call's target for a
// reason that lies in the replica.
func (r *Replica) FirstTokenReceived(now clock.Instant, id uint64, late bool) {
	r.accept(id)
	since, ok := r.removePending(id)
	if !ok {
		return
	}
	took := now.Since(since)
	if took > r.firstToken {
		r.firstToken = took
	} else {
		r.firstToken = ewma(r.firstToken, took, firstTokenAlpha)
	}
	r.firstTokenAt = now
	r.failures = 0
	r.ejections = 0
	if late {
		r.Limit = r.Limit.WithLate()
		return
	}
	r.Limit = r.Limit.WithOnTime()
}

// End records that the call, sent at started, no longer occupies the replica. A failed call counts
// toward an ejection; any other is a sample of the service time.
func (r *Replica) End(now clock.Instant, id uint64, started clock.Instant, failed bool) {
	if !r.HasCall(id) {
		return // it was sent to a previous incarnation
	}
	r.removeCall(id)
	if !failed {
		r.serviceTime = ewma(r.serviceTime, now.Since(started), serviceTimeAlpha)
		return
	}
	r.failures++
	if r.failures >= ejectAfter {
		r.eject(now)
	}
}

// ClearFailures forgets the failed calls of the replica, and ends its ejection.
func (r *Replica) ClearFailures() {
	r.failures = 0
	r.ejections = 0
	r.ejectedUntil = clock.Instant{}
}

// DropCall records the end of a call for a reason that says nothing about the replica's health.
func (r *Replica) DropCall(id uint64) {
	r.removeCall(id)
}

// removeCall removes an own call from the calls in flight.
func (r *Replica) removeCall(id uint64) {
	if rank, ok := r.inFlight[id]; ok {
		delete(r.inFlight, id)
		r.ownCalls[rank]--
	}
	if r.rest.trialCall == id {
		r.rest.trialCall = 0
	}
	r.endExposure(id)
	r.removePending(id)
}

func (r *Replica) eject(now clock.Instant) {
	period := min(ejectBase<<min(r.ejections, 5), ejectMax)
	r.ejectedUntil = now.Add(period)
	r.ejections++
	r.failures = 0
}

// removePending removes the call from the pending ones and returns when it was sent.
func (r *Replica) removePending(id uint64) (clock.Instant, bool) {
	for i, p := range r.pending {
		if p.id == id {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			return p.since, true
		}
	}
	return clock.Instant{}, false
}

func ewma(old, sample time.Duration, alpha float64) time.Duration {
	return time.Duration((1-alpha)*float64(old) + alpha*float64(sample))
}

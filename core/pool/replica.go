package pool

import (
	"cmp"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/limit"
)

// A Kind says what a replica runs.
type Kind uint8

// The kinds of replica.
const (
	Engine Kind = iota + 1
	Plain
)

// Spec are what the configuration says of a replica.
type Spec struct {
	Name        string
	Address     string // IP:port
	Zone        string
	Domain      string
	Kind        Kind
	Service     string // the service of a plain or announced replica
	Announced   bool   // it announces itself, rather than being configured
	Concurrent  int    // sequences or calls it runs at once
	MemoryMiB   int64
	ChecksFence bool
}

// Tunables of the health view.
const (
	ejectAfter = 3               // failures in a row before a replica is ejected
	ejectBase  = 2 * time.Second // first ejection; doubles with each
	// ejectMax is the longest ejection.
	ejectMax        = 60 * time.Second
	firstTokenAlpha = 0.2 // weight of a new sample that is below the average
	// serviceTimeAlpha is the weight of a new sample of how long calls occupy a replica.
	serviceTimeAlpha = 0.1
	// defaultFirstToken is the time to a first token before any was measured.
	defaultFirstToken = 50 * time.Millisecond
	// defaultServiceTime is how long a call is believed to occupy a replica.
	defaultServiceTime = time.Second
	// defaultPlainServiceTime is the same for an announced plain replica.
	defaultPlainServiceTime = 30 * time.Millisecond
	// firstTokenHalfLife is after which half of a slow average is forgotten.
	firstTokenHalfLife = 5 * time.Second
	loadHalfLife       = 4 * time.Second // after which half of what others had in flight is believed gone
)

// A Replica is this instance's view of one upstream. Only the goroutine that
// owns the state machine touches it.
type Replica struct {
	Spec
	Residency Residency
	Limit     limit.Concurrency
	items     map[string]ItemPhase
	refused   map[string]clock.Instant // until when an item counts as refused
	activity
	health
	listing
	leaving
	rest  restState
	limit limitState
}

// A activity is what runs at a replica: by the own count, by what peers tell, and by
// its own reports.
type activity struct {
	load      Load
	loadAt    clock.Instant
	ownAtLoad int // own calls in flight when load was heard

	report       receivedReport
	peers        map[string]peerUsage // what other instances have in flight
	usedItems    []string             // items that own calls used lately, newest last
	inFlight     map[uint64]int       // ranks of own calls, by call
	ownCalls     ByRank[int]          // how many those are
	pending      []pendingCall        // own calls whose first token has not come
	firstToken   time.Duration        // peak EWMA of the time to first token
	firstTokenAt clock.Instant
	serviceTime  time.Duration // EWMA of the time a call occupies the replica
}

// A health is what calls at a replica showed.
type health struct {
	downUntil    clock.Instant // until when it counts as down, since nothing answered at its address
	failures     int           // in a row
	ejections    int           // in a row
	ejectedUntil clock.Instant
}

// A listing is what the platform's list says of a replica that announces itself.
type listing struct {
	announced       Announcement
	seenAt          clock.Instant // when it was first announced
	announcedAt     clock.Instant // when it was last announced
	reportedAt      clock.Instant // when its owner's report was last heard
	vanishedAt      clock.Instant // when the list lost it; zero while it is listed
	leavingDeadline clock.Instant // when it counts as leaving then at the latest; zero: that is open
	endsAt          clock.Instant // when it is taken away, if that is known
	pastStartIDs    []string      // births of its former lives, the latest last
}

// A leaving says who called a replica leaving.
type leaving struct {
	listedLeaving bool
	// announcedLeaving says that an entry of this life said so; listedLeaving is also set when
	// the entry went.
	announcedLeaving bool
	leavingBoot      uint64 // boot that was told to be leaving
	reportedLeaving  bool
	leavingAt        clock.Instant // when it said so itself first, if it did
	terminated       bool          // it is not there any more
}

// A pendingCall is one own call in flight without a first token.
type pendingCall struct {
	id       uint64
	rank     int // of urgency, 0 first
	since    clock.Instant
	prefill  time.Duration // work on its prompt believed to be left
	expected time.Duration // time believed to pass until its first event
}

func newReplica(f Spec) *Replica {
	hold := defaultServiceTime
	if f.Announced && f.Kind == Plain {
		hold = defaultPlainServiceTime
	}
	return &Replica{
		Spec:     f,
		Limit:    limit.NewConcurrency(f.Concurrent),
		items:    map[string]ItemPhase{},
		refused:  map[string]clock.Instant{},
		activity: activity{firstToken: defaultFirstToken, serviceTime: hold, inFlight: map[uint64]int{}},
	}
}

// An Incarnation is one life of a replica: one that restarts may have the same name again.
type Incarnation struct {
	Name string
	Born string // "" if that is not known
}

// Compare orders incarnations by name, then by birth as a text.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.Name, other.Name), cmp.Compare(i.Born, other.Born))
}

// Incarnation returns which life of the replica this is.
func (r *Replica) Incarnation() Incarnation { return Incarnation{Name: r.Name, Born: r.announced.Born} }

// Phase returns where item stands on the replica, 0 if it is absent.
func (r *Replica) Phase(item string) ItemPhase { return r.items[item] }

// refusalPeriod is how long a replica that refused an item is not asked for it again,
// unless its residency is heard anew first.
const refusalPeriod = 500 * time.Millisecond

// MarkRefused notes that the replica refused a call for item as not run.
func (r *Replica) MarkRefused(now clock.Instant, item string) {
	r.refused[item] = now.Add(refusalPeriod)
}

// Refusing reports whether the replica refused item a moment ago.
func (r *Replica) Refusing(now clock.Instant, item string) bool {
	return len(r.refused) > 0 && now.Before(r.refused[item])
}

// Failures returns how many calls in a row the replica failed.
func (r *Replica) Failures() int { return r.failures }

// downPeriod is how long a replica at whose address nothing answered counts as
// down, before it is tried again.
const downPeriod = 700 * time.Millisecond

// MarkDown notes that nothing answered at the replica's address.
func (r *Replica) MarkDown(now clock.Instant) { r.downUntil = now.Add(downPeriod) }

// Down reports whether nothing answered at the replica's address a moment ago.
func (r *Replica) Down(now clock.Instant) bool { return now.Before(r.downUntil) }

// Overdue returns for how long the oldest own call has waited for its first
// event beyond the work that was ahead of it: a replica that went dark shows so
// before any call to it has failed.
func (r *Replica) Overdue(now clock.Instant) time.Duration {
	if len(r.pending) == 0 {
		return 0
	}
	oldest := r.pending[0]
	return max(0, now.Since(oldest.since)-oldest.expected)
}

// InFlight returns this instance's own calls in flight.
func (r *Replica) InFlight() int { return len(r.inFlight) }

// Leaving reports whether any source said that the replica is leaving. The
// first source that says so wins; only a later boot takes it back, because the
// list lags behind the upstream's own report.
func (r *Replica) Leaving() bool { return r.reportedLeaving || r.listedLeaving }

// AnnouncedLeaving reports whether an entry of this life said that the replica leaves.
func (r *Replica) AnnouncedLeaving() bool { return r.announcedLeaving }

// Ejected reports whether failures keep the replica out of the choice at now.
func (r *Replica) Ejected(now clock.Instant) bool { return now.Before(r.ejectedUntil) }

// Usable reports whether new work may be sent to the replica.
func (r *Replica) Usable() bool { return !r.Leaving() }

// ActiveSequences estimates the calls that occupy the replica at now: own calls are
// known exactly; those of others come from the last reported load, less what
// was own then, and fade with the report's age.
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

// TimeToFirstToken returns the measured time to first token: the peak EWMA, or the
// age of the oldest own call that still waits for one if that is longer. The
// age is what makes a frozen replica look slow before it has answered at all.
func (r *Replica) TimeToFirstToken(now clock.Instant) time.Duration {
	first := r.firstToken
	if age := now.Since(r.firstTokenAt); first > defaultFirstToken && age > 0 {
		// A slow answer is believed less the older it is; without this, a sole
		// replica that was slow once would never be tried again.
		first = defaultFirstToken + time.Duration(float64(first-defaultFirstToken)*decay(age, firstTokenHalfLife))
	}
	if len(r.pending) > 0 {
		first = max(first, now.Since(r.pending[0].since))
	}
	return first
}

// ServiceTime returns the measured time that a call occupies the replica.
func (r *Replica) ServiceTime() time.Duration { return r.serviceTime }

// Utilization returns the replica's running share at now: 1 is full.
func (r *Replica) Utilization(now clock.Instant) float64 {
	return r.ActiveSequences(now) / float64(max(1, r.Concurrent))
}

// Start notes that this instance sent the call id to the replica.
func (r *Replica) Start(now clock.Instant, id uint64) { r.StartPrefill(now, id, Prefill{}) }

// A Prefill is what is known of a call whose prompt an engine is to read.
type Prefill struct {
	Rank     int           // of urgency, 0 first
	Work     time.Duration // on its prompt
	Expected time.Duration // until its first event
}

// StartPrefill is Start for a call with a prompt.
func (r *Replica) StartPrefill(now clock.Instant, id uint64, p Prefill) {
	rank := RankOf(p.Rank)
	if r.needsTrial() && !r.Resting(now) {
		r.rest.trialCall = id
	}
	r.inFlight[id] = rank
	r.ownCalls[rank]++
	r.pending = append(r.pending, pendingCall{id: id, rank: rank, since: now, prefill: p.Work, expected: p.Expected})
}

// HasCall reports whether the call is known to be in flight at this life of the replica.
func (r *Replica) HasCall(id uint64) bool {
	_, ok := r.inFlight[id]
	return ok
}

// FirstTokenReceived notes that the call's first token came. late says that it came later
// than the call's target for a reason that lies in the replica.
func (r *Replica) FirstTokenReceived(now clock.Instant, id uint64, late bool) {
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

// End notes that the call no longer occupies the replica.
func (r *Replica) End(now clock.Instant, id uint64, started clock.Instant, failed bool) {
	if !r.HasCall(id) {
		return // it was at a former life
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

// DropCall notes that a call ended for a reason that says nothing of the replica.
func (r *Replica) DropCall(id uint64) {
	r.removeCall(id)
}

// removeCall takes an own call out of what is in flight.
func (r *Replica) removeCall(id uint64) {
	if rank, ok := r.inFlight[id]; ok {
		delete(r.inFlight, id)
		r.ownCalls[rank]--
	}
	if r.rest.trialCall == id {
		r.rest.trialCall = 0
	}
	r.removePending(id)
}

func (r *Replica) eject(now clock.Instant) {
	span := min(ejectBase<<min(r.ejections, 5), ejectMax)
	r.ejectedUntil = now.Add(span)
	r.ejections++
	r.failures = 0
}

// removePending takes the call out of the pending ones.
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

// Package quarantine keeps requests from running under which replicas end.
//
// A request may end every replica that begins to run it, by a fault that its content
// brings about. Its caller, who sees a broken connection, sends it again, and the limits
// of one try do not hold that back: each try has another name, and comes to any
// instance. So what is known of requests is kept over their tries and shared by all
// instances:
//
//  1. An instance whose call is severed checks whether the replica's process is still
//     there (evidence.go). A cut, a broken connection or a planned end is no crash.
//  2. It reports the requests that it had in flight there to all instances, which each
//     judge the reports by the same rule (core/crash).
//  3. A request that is blamed is not run for a while: calls under way are cut, further
//     tries refused at once (verdict.go).
//  4. Verdicts are kept in the platform's store as well, for instances that start
//     later (record.go). All else works without the store.
//
// A request that was in flight by chance goes on as any other until its ends are
// explained by another's, or it is served.
package quarantine

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/shared"
)

const (
	// reportRetention is how long reports of replicas that ended count: a request that comes back
	// every few minutes is still found.
	reportRetention = 10 * time.Minute
	// maxReports bounds the reports that are kept, the newest first; with maxRequests
	// they take 1 MB at most: in a large fleet each replica that ends is reported by as
	// many instances as it has places, so sixteen such ends.
	maxReports = 1024
	// maxRequests bounds the requests of one report: twice the places of a large engine,
	// all taken by one instance.
	maxRequests = 128
	// settleTime is how long reports of other instances may take to arrive, a check of
	// evidence and a few hops included. Judged earlier, a request that was in flight
	// by chance is blamed where the instance that had the other has not spoken yet:
	// within the users' three seconds.
	settleTime = 400 * time.Millisecond
	// verdictDelay is after how long what a call that was sent shows of its replica has been
	// judged: the call's way and its run, a check and the reports.
	verdictDelay = settleTime + 200*time.Millisecond
	// shareInterval spaces the news of replicas that ended: all calls that were severed
	// together are told together, and ten times a second at most.
	shareInterval = 100 * time.Millisecond
	// relayedShareInterval is the same in a fleet whose instances pass news on to each other,
	// for ends by which no request may be blamed yet: at tellEvery, exchanges fill links
	// of 10 Mbit/s while replicas end.
	relayedShareInterval = time.Second
	// pruneEvery spaces the looks for what is too old.
	pruneEvery = time.Second
)

// Deps are what a Tracker needs of the other modules. The functions must be set before
// the first event.
type Deps struct {
	shared.State
	// Stored says that the environment has a store for verdicts.
	Stored bool
	// Tell has all peers, or the neighbours in a large fleet, told at once.
	Tell func(now clock.Instant)
	// Direct reports whether every instance tells every other itself.
	Direct func() bool
	// Cut ends the calls of a request that are under way here.
	Cut func(request crash.Fingerprint, left time.Duration)
}

// A Tracker knows which requests are not to be run.
type Tracker struct {
	Deps
	evidence    map[pool.Incarnation]*evidence
	disconnects map[pool.Incarnation][]disconnect // the oldest first
	seq         uint64                            // of the last own report
	suspects    map[crash.Fingerprint]bool
	verdicts    map[crash.Fingerprint]*verdict
	records     records

	evaluateDue clock.Instant // zero: nothing to judge
	shareDue    clock.Instant // zero: nothing to tell
	sharedAt    clock.Instant
	pruneDue    clock.Instant
}

// New returns a tracker that knows of no request.
func New(n Deps) *Tracker {
	return &Tracker{
		Deps:        n,
		evidence:    map[pool.Incarnation]*evidence{},
		disconnects: map[pool.Incarnation][]disconnect{},
		suspects:    map[crash.Fingerprint]bool{},
		verdicts:    map[crash.Fingerprint]*verdict{},
	}
}

// Served notes that a request was served whole: replicas did not end by it.
func (t *Tracker) Served(now clock.Instant, request crash.Fingerprint) {
	if !t.suspects[request] {
		return
	}
	if t.Records.AddSuccess("", crash.Success{Request: request, EventTime: clock.EventTime{At: now}}) {
		t.scheduleUpdates(now, true, shareInterval)
	}
}

// HandlePeerReports takes in what a peer told.
func (t *Tracker) HandlePeerReports(now clock.Instant, from string, reports []crash.Report, served []crash.Success) {
	news, pressing := false, false
	for _, r := range reports {
		r.EventTime = r.FromWire(now)
		if now.MaxElapsed(r.At) < reportRetention && len(r.Requests) <= maxRequests && t.Records.AddCrash(from, r) {
			t.addSuspects(r.Requests)
			news = true
			pressing = pressing || t.urgent(r)
		}
	}
	for _, s := range served {
		s.EventTime = s.FromWire(now)
		news = t.Records.AddSuccess(from, s) || news
	}
	if news {
		t.scheduleUpdates(now, pressing && !t.Direct(), shareInterval)
	}
}

// ownReportInterval is how long after the last telling this instance tells of its own report.
func (t *Tracker) ownReportInterval(r crash.Report) time.Duration {
	if t.Direct() || t.urgent(r) {
		return shareInterval
	}
	return relayedShareInterval
}

// urgent reports whether a request of the report may be blamed with it. Other news goes
// its usual way, with the next exchanges.
func (t *Tracker) urgent(r crash.Report) bool {
	return slices.ContainsFunc(r.Requests, t.suspected)
}

// scheduleUpdates has what is new judged once it is settled, and told to others if it must be, at
// the earliest a spacing after the last telling.
func (t *Tracker) scheduleUpdates(now clock.Instant, tell bool, spacing time.Duration) {
	if t.evaluateDue.IsZero() {
		t.evaluateDue = now.Add(settleTime)
	}
	if due := clock.Latest(now, t.sharedAt.Add(spacing)); tell && (t.shareDue.IsZero() || due.Before(t.shareDue)) {
		t.shareDue = due
	}
}

func (t *Tracker) addSuspects(requests []crash.Fingerprint) {
	for _, r := range requests {
		t.suspects[r] = true
	}
}

// Tick does what is due.
func (t *Tracker) Tick(now clock.Instant) {
	t.checkReplicas(now)
	if due(now, t.evaluateDue) {
		t.evaluate(now)
	}
	if due(now, t.shareDue) {
		t.shareDue = clock.Instant{}
		t.sharedAt = now
		t.Tell(now)
	}
	t.writeNextRecord(now)
	if !now.Before(t.pruneDue) {
		t.pruneDue = now.Add(pruneEvery)
		t.prune(now)
	}
}

func due(now, at clock.Instant) bool { return !at.IsZero() && !now.Before(at) }

// prune forgets what is too old.
func (t *Tracker) prune(now clock.Instant) {
	if t.Records.PruneCrashes(now, reportRetention, maxReports) {
		clear(t.suspects)
		for _, r := range t.Records.Crashes() {
			t.addSuspects(r.Requests)
		}
	}
	t.pruneEvidence(now)
	t.pruneVerdicts(now)
}

// observed reports whether this instance itself had the request in flight at a replica
// that ended.
func (t *Tracker) observed(request crash.Fingerprint) bool {
	return slices.ContainsFunc(t.Records.Crashes(), func(r crash.Report) bool {
		return r.Observer == t.Self.Name && r.Has(request)
	})
}

// Package quarantine stops running requests under which replicas crash.
//
// A request may crash every replica that starts to run it, through a fault that its content
// triggers. Its caller sees a broken connection and retries, and the limits on attempts do not
// stop that: each retry has another request ID, and may reach any instance. If a part of the prompt
// triggers the fault, other requests with that part do the same. What is known is therefore kept by
// what requests have in common (crash.Trait): being the same request, over all its retries, or having
// a part in the prompt. It is shared by all instances:
//
//  1. An instance whose call is severed checks whether the replica's process still exists
//     (evidence.go). An unreachable replica, a broken connection or a planned end is not
//     a crash.
//  2. It reports the requests that it had in flight there to all instances, which all evaluate
//     the reports by the same rule (core/crash).
//  3. Requests that may be blamed with the next crash are sent by one instance after the other
//     (held.go, verdict.go).
//  4. Requests that are blamed are not run for a while: their calls in flight are canceled, further
//     ones are refused at once (verdict.go).
//  5. Verdicts are also written to the platform's store, for instances that start later
//     (record.go). Everything else works without the store.
//
// A request that was in flight by coincidence runs like any other, until its crashes are
// explained by another request or it succeeds.
package quarantine

import (
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/shared"
)

const (
	// reportRetention is how long crash reports count: long enough to detect a request that is
	// sent every few minutes.
	reportRetention = 10 * time.Minute
	// maxReports bounds the reports that are kept, newest first. With maxRequests they take at
	// most 1 MB. In a large fleet a crash is reported by as many instances as the replica has
	// slots, so they cover sixteen such crashes.
	maxReports = 1024
	// maxRequests bounds the requests in one report: twice the slots of a large engine, all
	// used by one instance.
	maxRequests = 128
	// maxReportParts bounds the parts of prompts in one report: those of the requests that an
	// instance of a small site has in flight at a busy engine, at the most that count.
	maxReportParts = 512
	// maxTraits bounds the traits in all reports that are kept, newest first, whatever parts
	// callers make up. With what is derived from them they take at most 10 MB.
	maxTraits = maxReports * maxRequests
	// verdictDelay is the time from sending a call until its effect on the replica has been
	// evaluated: the call's transmission and run, the check, and the reports.
	verdictDelay = bounds.CrashSettleTime + 200*time.Millisecond
	// relayedShareInterval replaces bounds.CrashShareInterval in a fleet whose instances relay
	// reports, for reports of crashes that are too few to blame a request: otherwise exchanges fill
	// links of 10 Mbit/s while replicas crash.
	relayedShareInterval = time.Second
	// pruneEvery is the interval at which old records are removed.
	pruneEvery = time.Second
)

// Deps are what a Tracker needs from other modules. The functions must be set before the first
// event.
type Deps struct {
	shared.State
	// Stored reports whether the environment has a store for verdicts.
	Stored bool
	// Tell starts an exchange with all peers, or with the neighbours in a large fleet.
	Tell func(now clock.Instant)
	// Direct reports whether every instance exchanges with every other one.
	Direct func() bool
	// ConnectionRefused records that a connection to a replica was refused.
	ConnectionRefused func(now clock.Instant, replica pool.Incarnation)
	// LinksAtFault reports whether connections to a replica fail because this instance has
	// lost its links.
	LinksAtFault func(now clock.Instant, replica pool.Incarnation) bool
	// Cut cancels the calls of requests with a cause that are in flight at this instance.
	Cut func(cause crash.Cause, remaining time.Duration)
}

// A Tracker tracks which requests are quarantined.
type Tracker struct {
	Deps
	evidence    map[pool.Incarnation]*evidence
	disconnects map[pool.Incarnation][]disconnect // oldest first
	seq         uint64                            // of the last own report
	suspects    map[crash.Trait]clock.Instant     // traits in crash reports, with the times of their last crashes
	served      servedTraits
	held        []crash.Cause // other than whole requests, of which calls are sent one after the other
	heldDue     clock.Instant // when held is determined again; zero: nothing has changed
	heldAt      clock.Instant // when it was last determined
	verdicts    map[crash.CauseID]*verdict
	byTrait     map[crash.Trait][]crash.CauseID // verdicts by the first traits of their causes
	records     records

	evaluateDue clock.Instant // zero: nothing to evaluate
	shareDue    clock.Instant // zero: nothing to share
	sharedAt    clock.Instant
	pruneDue    clock.Instant
}

// New returns a tracker without reports or verdicts.
func New(deps Deps) *Tracker {
	return &Tracker{
		Deps:        deps,
		evidence:    map[pool.Incarnation]*evidence{},
		disconnects: map[pool.Incarnation][]disconnect{},
		suspects:    map[crash.Trait]clock.Instant{},
		verdicts:    map[crash.CauseID]*verdict{},
		byTrait:     map[crash.Trait][]crash.CauseID{},
	}
}

// Served records that a request with these traits succeeded, so replicas did not crash because of
// them.
func (t *Tracker) Served(now clock.Instant, traits []crash.Trait) {
	if t.Options.Disable.PartSuccesses {
		traits = traits[:min(1, len(traits))]
	}
	t.served.add(now, traits)
	added := false
	for _, trait := range traits {
		if t.informs(now, trait) {
			added = t.Records.AddSuccess("", crash.Success{Trait: trait, EventTime: clock.EventTime{At: now}}) || added
		}
	}
	if added {
		t.holdBack(now)
		t.scheduleUpdates(now, true, bounds.CrashShareInterval)
	}
}

// informs reports whether a success with a trait tells other instances anything: replicas crashed
// under such requests since the last one, or they are quarantined.
func (t *Tracker) informs(now clock.Instant, trait crash.Trait) bool {
	crashed, ok := t.suspects[trait]
	if !ok {
		return false
	}
	last := t.Records.LastSuccess(trait)
	return !crashed.Before(last) || slices.ContainsFunc(t.byTrait[trait], func(id crash.CauseID) bool { return !t.verdicts[id].since.Before(last) })
}

// HandlePeerReports handles crash reports and successes from a peer.
func (t *Tracker) HandlePeerReports(now clock.Instant, from string, reports []crash.Report, served []crash.Success) {
	changed, urgent := false, false
	for _, r := range reports {
		r.EventTime = r.FromWire(now)
		r = r.WithTraits()
		if now.MaxElapsed(r.At) < reportRetention && len(r.Requests) <= maxRequests && crash.PartCount(r.Requests) <= maxReportParts && t.Records.AddCrash(from, r) {
			t.addSuspects(now, r)
			changed = true
			urgent = urgent || t.urgent(r)
		}
	}
	for _, s := range served {
		s.EventTime = s.FromWire(now)
		changed = t.Records.AddSuccess(from, s) || changed
	}
	if changed {
		t.holdBack(now)
		t.scheduleUpdates(now, urgent && !t.Direct(), bounds.CrashShareInterval)
	}
}

// ownReportInterval returns the minimum interval between the last exchange and the one that
// carries a report of this instance.
func (t *Tracker) ownReportInterval(r crash.Report) time.Duration {
	if t.Direct() || t.urgent(r) {
		return bounds.CrashShareInterval
	}
	return relayedShareInterval
}

// urgent reports whether enough replicas crashed under a request in the report for it to be
// blamed, or under a part of prompts for requests with it to be held back. In a fleet whose instances
// relay reports, peers' reports that are not urgent are passed on with the next regular exchanges, and
// own ones are sent once per relayedShareInterval at most.
func (t *Tracker) urgent(r crash.Report) bool {
	return slices.ContainsFunc(r.Traits(), func(traits []crash.Trait) bool { return t.suspectedCause(traits) != nil })
}

// scheduleUpdates schedules the evaluation of new records after bounds.CrashSettleTime and, if share is
// true, an exchange with peers, at the earliest an interval after the last one.
func (t *Tracker) scheduleUpdates(now clock.Instant, share bool, interval time.Duration) {
	if t.evaluateDue.IsZero() {
		t.evaluateDue = now.Add(bounds.CrashSettleTime)
	}
	if due := clock.Latest(now, t.sharedAt.Add(interval)); share && (t.shareDue.IsZero() || due.Before(t.shareDue)) {
		t.shareDue = due
	}
}

// addSuspects marks the traits of the requests in a crash report as possible causes, and makes known
// which of them this instance has served before.
func (t *Tracker) addSuspects(now clock.Instant, r crash.Report) {
	for _, traits := range r.Traits() {
		for _, trait := range traits {
			if _, known := t.suspects[trait]; !known {
				t.shareServed(trait)
			}
			t.suspects[trait] = clock.Latest(t.suspects[trait], r.At)
		}
	}
	t.holdBack(now)
}

// shareServed makes known when this instance last served a request with a trait, unless that is known.
func (t *Tracker) shareServed(trait crash.Trait) {
	if at, ok := t.served.at(trait); ok && t.Records.LastSuccess(trait).IsZero() {
		t.Records.AddSuccess("", crash.Success{Trait: trait, EventTime: clock.EventTime{At: at}})
	}
}

// Tick performs the work that is due.
func (t *Tracker) Tick(now clock.Instant) {
	t.checkReplicas(now)
	t.reportEnded(now)
	if due(now, t.heldDue) {
		t.updateHeld(now)
	}
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

// due reports whether the time at is set and has come.
func due(now, at clock.Instant) bool { return !at.IsZero() && !now.Before(at) }

// prune removes old records.
func (t *Tracker) prune(now clock.Instant) {
	if t.Records.PruneCrashes(now, reportRetention, maxReports, maxTraits) {
		clear(t.suspects)
		for _, r := range t.Records.Crashes() {
			t.addSuspects(now, r)
		}
	}
	t.served.prune(now)
	t.pruneEvidence(now)
	t.pruneVerdicts(now)
}

// observed reports whether this instance itself had a request with a cause in flight at a replica that
// ended.
func (t *Tracker) observed(has func(crash.Report) bool) bool {
	return slices.ContainsFunc(t.Records.Crashes(), func(r crash.Report) bool {
		return r.Observer == t.Self.Name && has(r)
	})
}

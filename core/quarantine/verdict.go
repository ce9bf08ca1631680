package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// This file decides which causes are quarantined, and for how long.

const (
	// initialTerm is how long a request is quarantined when it is blamed for the first time. By
	// its end the replicas may have been fixed, and a caller that retries every second has been
	// refused 600 times.
	initialTerm = 10 * time.Minute
	// maxTerm bounds the terms of a request that is blamed repeatedly, each of which is twice
	// the one before.
	maxTerm = 8 * time.Hour
	// sendSlots is the number of turns in which the instances send their calls of a suspected
	// request: one for each instance of a small site; in a large fleet several instances share
	// one.
	sendSlots = 8
	// sendWindow is the part of a turn in which calls are sent. A replica that crashes under one has
	// done so, and that is known, when the next turn begins.
	sendWindow = verdictDelay - 200*time.Millisecond
	// maxVerdicts bounds the verdicts that are kept, newest first. That many take 0.1 MB. Each
	// requires three replicas to crash.
	maxVerdicts = 1024
)

// A verdict is the decision to quarantine the requests with a cause.
type verdict struct {
	cause     crash.Cause
	whole     bool // the cause is a whole request
	since     clock.Instant
	term      time.Duration
	replicas  int  // number of replicas that ended under such requests
	evaluated bool // follows from reports that this instance has, or had
	wrote     bool // this instance wrote it to the platform's store
	recorded  bool // it is in the platform's store: this instance wrote it there or read it there
}

// remaining returns how long the request remains quarantined, 0 if it may run.
func (v *verdict) remaining(now clock.Instant) time.Duration {
	if v == nil {
		return 0
	}
	return max(0, v.term-now.MaxElapsed(v.since))
}

// remembered reports whether the verdict is still kept, which it is for another term after its
// own. While it is kept, one more crash under the request is enough to blame it again.
func (v *verdict) remembered(now clock.Instant) bool { return now.MaxElapsed(v.since) < 2*v.term }

// Remaining returns how long a request with these traits remains quarantined, 0 if it may run.
func (t *Tracker) Remaining(now clock.Instant, traits []crash.Trait) time.Duration {
	left := time.Duration(0)
	for _, trait := range traits {
		for _, id := range t.byTrait[trait] {
			if v := t.verdicts[id]; v.cause.Covers(traits) {
				left = max(left, v.remaining(now))
			}
		}
	}
	return left
}

// SendDelay returns how long a call of a request waits at least before it is sent. suspected is false
// unless so many replicas crashed under the request, or under others with the same part in their
// prompts, that the next crash may decide whether it is blamed. In that case the instances take turns
// from the last of these crashes on, each long enough for the effect of a call to be evaluated. This
// delays a harmless request, but a harmful one crashes one more replica instead of one per instance.
func (t *Tracker) SendDelay(now clock.Instant, traits []crash.Trait) (delay time.Duration, suspected bool) {
	cause := t.suspectedCause(traits)
	if cause == nil {
		return 0, false
	}
	const round = sendSlots * verdictDelay
	first := time.Duration(t.sendSlot(cause.ID())+1) * verdictDelay
	elapsed := now.Since(clock.Latest(t.lastCrash(cause), t.lastSevered(cause))) - first
	switch inRound := elapsed % round; {
	case elapsed < 0:
		return -elapsed, true
	case inRound >= sendWindow:
		return round - inRound, true
	default:
		return 0, true
	}
}

// lastCrash returns when a replica last ended under a request with a suspected cause. All instances
// have the same reports, and so the same time.
func (t *Tracker) lastCrash(c crash.Cause) clock.Instant {
	at := t.suspects[c[0]]
	for _, trait := range c[1:] {
		if other := t.suspects[trait]; other.Before(at) {
			at = other
		}
	}
	return at
}

// lastSevered returns when this instance's calls of requests with a cause were last severed, within
// evidenceWindow: the replica may have crashed, although no report says so yet.
func (t *Tracker) lastSevered(c crash.Cause) clock.Instant {
	var at clock.Instant
	for _, e := range t.evidence {
		covered := func(r crash.Request) bool { return c.Covers(r.Traits(e.service)) }
		if at.Before(e.at) && slices.ContainsFunc(e.requests, covered) {
			at = e.at
		}
	}
	return at
}

// suspectedCause returns the cause for which a request is sent after others only, nil if there is
// none.
func (t *Tracker) suspectedCause(traits []crash.Trait) crash.Cause {
	if len(traits) == 0 {
		return nil
	}
	if t.suspected(traits[0]) {
		return crash.Cause{traits[0]}
	}
	for _, cause := range t.held {
		if cause.Covers(traits) {
			return cause
		}
	}
	return nil
}

// SameSuspicion reports whether two requests are sent one after the other because of the same cause.
func (t *Tracker) SameSuspicion(a, b []crash.Trait) bool {
	cause := t.suspectedCause(a)
	return cause != nil && cause.Covers(b)
}

// suspected reports whether enough replicas crashed under a request since its last success for
// it to be blamed.
func (t *Tracker) suspected(request crash.Trait) bool {
	if _, ok := t.suspects[request]; !ok {
		return false
	}
	return len(replicasUnder(hasRequest(request), t.Records.Crashes(), t.Records.LastSuccess(request))) >= crash.MaxCrashes
}

// sendSlot returns the turn in which this instance sends its calls of a suspected request.
func (t *Tracker) sendSlot(id crash.CauseID) int { return t.position(id) % sendSlots }

// position returns how many instances come before this one in the order of their rendezvous
// hashing scores for a cause.
func (t *Tracker) position(id crash.CauseID) int {
	key := rendezvous.Key(id.String())
	own := rendezvous.Score(key, t.Self.Name)
	before := 0
	for _, p := range t.Members.Peers() {
		if rendezvous.Score(key, p.Name) > own {
			before++
		}
	}
	return before
}

// history returns what is known of traits beside the reports of crashes.
func (t *Tracker) history() crash.History {
	h := crash.History{Served: t.Records.LastSuccess}
	for _, id := range slices.Sorted(maps.Keys(t.verdicts)) {
		h.Blamed = append(h.Blamed, t.verdicts[id].cause)
	}
	return h
}

// evaluate blames causes for the reported crashes, and releases those whose crashes another cause
// explains, or with which requests succeeded since.
func (t *Tracker) evaluate(now clock.Instant) {
	settled := now.Add(-bounds.CrashSettleTime)
	reports := t.Records.Crashes()
	attributions := crash.Blame(reports, t.history(), settled)
	blamed := map[crash.CauseID]bool{}
	explained := map[pool.Incarnation]bool{}
	for _, a := range attributions {
		blamed[a.Cause.ID()] = true
		t.blame(now, a, reports)
		for _, replica := range a.Replicas {
			explained[replica] = true
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.verdicts)) {
		v := t.verdicts[id]
		if !blamed[id] && t.cleared(v, replicasUnder(v.isIn, reports, clock.Instant{}), explained) {
			t.release(v)
		}
	}
	t.evaluateDue = clock.Instant{}
	if slices.ContainsFunc(reports, func(r crash.Report) bool { return settled.Before(r.At) }) {
		t.evaluateDue = now.Add(bounds.CrashSettleTime)
	}
}

// blame quarantines the requests with a cause from now on.
func (t *Tracker) blame(now clock.Instant, a crash.Attribution, reports []crash.Report) {
	id := a.Cause.ID()
	v := t.verdicts[id]
	if v.remaining(now) > 0 {
		v.evaluated = true
		return
	}
	next := &verdict{cause: a.Cause, whole: isWhole(a.Cause, reports), since: now, term: initialTerm, replicas: len(a.Replicas), evaluated: true}
	if v != nil {
		next.term = min(2*v.term, maxTerm)
	}
	if t.Stored && t.observed(next.isIn) {
		t.records.queue = append(t.records.queue, id)
	}
	t.apply(next)
	t.Out.Log(logevent.RequestQuarantined, "fingerprint", id.String(), "parts", partsOf(a.Cause, reports), "upstreams", replicaNames(a.Replicas), "term", next.term.String())
}

// isWhole reports whether a cause is a whole request.
func isWhole(c crash.Cause, reports []crash.Report) bool {
	return len(c) == 1 && slices.ContainsFunc(reports, func(r crash.Report) bool {
		return r.HasRequest(crash.Fingerprint(c[0]))
	})
}

// partsOf returns the parts of prompts that a cause consists of, as callers name them, for logs.
func partsOf(c crash.Cause, reports []crash.Report) []string {
	found := map[crash.PartID]bool{}
	for _, r := range reports {
		for _, request := range r.Requests {
			for _, trait := range c {
				if part, ok := request.PartOf(r.Service, trait); ok {
					found[part] = true
				}
			}
		}
	}
	var out []string
	for _, part := range slices.Sorted(maps.Keys(found)) {
		out = append(out, part.String())
	}
	return out
}

// replicaNames returns the names of the replicas for logs.
func replicaNames(replicas []pool.Incarnation) []string {
	var out []string
	for _, r := range replicas {
		out = append(out, r.Name)
	}
	return out
}

// Restored handles a verdict that was read from the platform's store.
func (t *Tracker) Restored(now clock.Instant, q registry.Quarantine) {
	if t.verdicts[q.ID] != nil || q.Cause().ID() != q.ID {
		return
	}
	t.apply(&verdict{cause: q.Cause(), whole: len(q.Traits) == 0, since: now, term: initialTerm, replicas: q.Replicas, recorded: true})
	t.Out.Log(logevent.RequestQuarantined, "fingerprint", q.ID.String(), "source", "the store", "term", initialTerm.String())
}

// apply installs a verdict and cancels the calls in flight of requests with its cause.
func (t *Tracker) apply(v *verdict) {
	id := v.cause.ID()
	if t.verdicts[id] == nil {
		t.byTrait[v.cause[0]] = append(t.byTrait[v.cause[0]], id)
	}
	t.verdicts[id] = v
	t.Cut(v.cause, v.term)
}

// remove removes a verdict.
func (t *Tracker) remove(v *verdict) {
	id := v.cause.ID()
	delete(t.verdicts, id)
	rest := slices.DeleteFunc(t.byTrait[v.cause[0]], func(other crash.CauseID) bool { return other == id })
	if len(rest) == 0 {
		delete(t.byTrait, v.cause[0])
		return
	}
	t.byTrait[v.cause[0]] = rest
}

// lastSuccess returns when a request with all traits of a cause last succeeded, at the latest.
func (t *Tracker) lastSuccess(c crash.Cause) clock.Instant { return t.history().LastSuccess(c) }

// cleared reports whether requests with a cause that is no longer blamed may run again: one succeeded
// since the verdict, or other causes explain the crashes of all replicas that ended under them. That
// reports were pruned, or that another cause may be to blame as well, is not enough.
func (t *Tracker) cleared(v *verdict, under []pool.Incarnation, explained map[pool.Incarnation]bool) bool {
	if v.since.Before(t.lastSuccess(v.cause)) {
		return true
	}
	unexplained := slices.ContainsFunc(under, func(replica pool.Incarnation) bool { return !explained[replica] })
	return v.evaluated && len(under) >= v.replicas && !unexplained
}

// isIn reports whether a request with the verdict's cause was in flight at the replica of a report.
func (v *verdict) isIn(r crash.Report) bool {
	if v.whole {
		return hasRequest(v.cause[0])(r)
	}
	return r.Has(v.cause)
}

// hasRequest returns a function that reports whether a request was in flight at the replica of a
// report.
func hasRequest(t crash.Trait) func(crash.Report) bool {
	return func(r crash.Report) bool { return r.HasRequest(crash.Fingerprint(t)) }
}

// replicasUnder returns the replicas of the reports after since for which has is true, sorted, each
// incarnation once.
func replicasUnder(has func(crash.Report) bool, reports []crash.Report, since clock.Instant) []pool.Incarnation {
	var under []pool.Incarnation
	for _, r := range reports {
		if since.Before(r.At) && has(r) {
			under = append(under, r.Replica)
		}
	}
	slices.SortFunc(under, pool.Incarnation.Compare)
	return slices.Compact(under)
}

// release ends the quarantine of requests with a cause.
func (t *Tracker) release(v *verdict) {
	t.Out.Log(logevent.RequestReleased, "fingerprint", v.cause.ID().String())
	t.removeRecord(v)
	t.remove(v)
	t.Pool.NoteCapacityChange()
}

// pruneVerdicts removes the verdicts that are no longer remembered, and the oldest beyond
// maxVerdicts.
func (t *Tracker) pruneVerdicts(now clock.Instant) {
	byAge := slices.SortedFunc(maps.Values(t.verdicts), func(a, b *verdict) int {
		return cmp.Or(cmp.Compare(b.since.Mono, a.since.Mono), slices.Compare(a.cause, b.cause))
	})
	for i, v := range byAge {
		if i >= maxVerdicts || !v.remembered(now) {
			t.remove(v)
		}
	}
}

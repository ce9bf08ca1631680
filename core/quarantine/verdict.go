package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/crash"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// This file decides which requests are quarantined, and for how long.

const (
	// initialTerm is how long a request is quarantined when it is blamed for the first time. By
	// its end the replicas may have been fixed, and a caller that retries every second has been
	// refused 600 times.
	initialTerm = 10 * time.Minute
	// maxTerm bounds the terms of a request that is blamed repeatedly, each of which is twice
	// the one before.
	maxTerm = 8 * time.Hour
	// sendSlots is the number of time slots over which the instances stagger their calls of a
	// suspected request: one for each instance of a small site; in a large fleet several
	// instances share one.
	sendSlots = 8
	// maxVerdicts bounds the verdicts that are kept, newest first. That many take 0.1 MB. Each
	// requires three replicas to crash.
	maxVerdicts = 1024
)

// A verdict is the decision to quarantine a request.
type verdict struct {
	since     clock.Instant
	term      time.Duration
	replicas  int  // number of replicas that ended under the request
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

// Remaining returns how long a request remains quarantined, 0 if it may run.
func (t *Tracker) Remaining(now clock.Instant, request crash.Fingerprint) time.Duration {
	return t.verdicts[request].remaining(now)
}

// SendDelay returns how long a call of a request waits before it is sent. It is 0 unless so
// many replicas crashed under the request that the next crash decides whether it is blamed. In
// that case the instances send their calls of it one after the other, each after the effect of
// the previous one has been evaluated. This delays a harmless request, but a harmful one crashes
// one more replica instead of one per instance.
func (t *Tracker) SendDelay(request crash.Fingerprint) time.Duration {
	if !t.suspected(request) {
		return 0
	}
	return time.Duration(t.sendSlot(request)+1) * verdictDelay
}

// suspected reports whether enough replicas crashed under a request since its last success for
// it to be blamed.
func (t *Tracker) suspected(request crash.Fingerprint) bool {
	if !t.suspects[request] {
		return false
	}
	return len(replicasUnder(request, t.Records.Crashes(), t.Records.LastSuccess(request))) >= crash.MaxCrashes
}

// sendSlot returns the time slot in which this instance sends its calls of a suspected request.
func (t *Tracker) sendSlot(request crash.Fingerprint) int { return t.position(request) % sendSlots }

// position returns how many instances come before this one in the order of their rendezvous
// hashing scores for a request.
func (t *Tracker) position(request crash.Fingerprint) int {
	key := rendezvous.Key(request.String())
	own := rendezvous.Score(key, t.Self.Name)
	before := 0
	for _, p := range t.Members.Peers() {
		if rendezvous.Score(key, p.Name) > own {
			before++
		}
	}
	return before
}

// crashLimit returns how many replicas must have crashed under a request for it to be blamed.
func (t *Tracker) crashLimit(request crash.Fingerprint) int {
	if t.verdicts[request] != nil {
		return 1
	}
	return crash.MaxCrashes
}

// evaluate blames requests for the reported crashes, and releases those whose crashes another
// request explains, or that succeeded since.
func (t *Tracker) evaluate(now clock.Instant) {
	settled := now.Add(-settleTime)
	reports := t.Records.Crashes()
	attributions := crash.Blame(reports, t.Records.LastSuccess, t.crashLimit, settled)
	blamed := map[crash.Fingerprint]bool{}
	explained := map[pool.Incarnation]bool{}
	for _, a := range attributions {
		blamed[a.Request] = true
		t.blame(now, a)
		for _, replica := range a.Replicas {
			explained[replica] = true
		}
	}
	for _, request := range slices.Sorted(maps.Keys(t.verdicts)) {
		if !blamed[request] && t.cleared(request, replicasUnder(request, reports, clock.Instant{}), explained) {
			t.release(request)
		}
	}
	t.evaluateDue = clock.Instant{}
	if slices.ContainsFunc(reports, func(r crash.Report) bool { return settled.Before(r.At) }) {
		t.evaluateDue = now.Add(settleTime)
	}
}

// blame quarantines a request from now on.
func (t *Tracker) blame(now clock.Instant, a crash.Attribution) {
	v := t.verdicts[a.Request]
	if v.remaining(now) > 0 {
		v.evaluated = true
		return
	}
	next := &verdict{since: now, term: initialTerm, replicas: len(a.Replicas), evaluated: true}
	if v != nil {
		next.term = min(2*v.term, maxTerm)
	}
	if t.Stored && t.observed(a.Request) {
		t.records.queue = append(t.records.queue, a.Request)
	}
	t.apply(a.Request, next)
	t.Out.Log(logevent.RequestQuarantined, "fingerprint", a.Request.String(), "upstreams", replicaNames(a.Replicas), "term", next.term.String())
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
	if t.Remaining(now, q.Request) > 0 || t.verdicts[q.Request] != nil {
		return
	}
	t.apply(q.Request, &verdict{since: now, term: initialTerm, replicas: q.Replicas, recorded: true})
	t.Out.Log(logevent.RequestQuarantined, "fingerprint", q.Request.String(), "source", "the store", "term", initialTerm.String())
}

// apply installs a verdict and cancels the request's calls in flight.
func (t *Tracker) apply(request crash.Fingerprint, v *verdict) {
	t.verdicts[request] = v
	t.Cut(request, v.term)
}

// cleared reports whether a request that is no longer blamed may run again: it succeeded since
// the verdict, or other requests explain the crashes of all replicas that ended under it. That
// reports were pruned, or that another request may be to blame as well, is not enough.
func (t *Tracker) cleared(request crash.Fingerprint, under []pool.Incarnation, explained map[pool.Incarnation]bool) bool {
	v := t.verdicts[request]
	if v.since.Before(t.Records.LastSuccess(request)) {
		return true
	}
	unexplained := slices.ContainsFunc(under, func(replica pool.Incarnation) bool { return !explained[replica] })
	return v.evaluated && len(under) >= v.replicas && !unexplained
}

// replicasUnder returns the replicas that are reported to have ended under a request after
// since, sorted, each incarnation once.
func replicasUnder(request crash.Fingerprint, reports []crash.Report, since clock.Instant) []pool.Incarnation {
	var under []pool.Incarnation
	for _, r := range reports {
		if since.Before(r.At) && r.Has(request) {
			under = append(under, r.Replica)
		}
	}
	slices.SortFunc(under, pool.Incarnation.Compare)
	return slices.Compact(under)
}

// release ends the quarantine of a request.
func (t *Tracker) release(request crash.Fingerprint) {
	t.Out.Log(logevent.RequestReleased, "fingerprint", request.String())
	t.removeRecord(t.verdicts[request], request)
	delete(t.verdicts, request)
	t.Pool.NoteCapacityChange()
}

// pruneVerdicts removes the verdicts that are no longer remembered, and the oldest beyond
// maxVerdicts.
func (t *Tracker) pruneVerdicts(now clock.Instant) {
	maps.DeleteFunc(t.verdicts, func(_ crash.Fingerprint, v *verdict) bool { return !v.remembered(now) })
	if len(t.verdicts) <= maxVerdicts {
		return
	}
	byAge := slices.SortedFunc(maps.Keys(t.verdicts), func(a, b crash.Fingerprint) int {
		return cmp.Or(cmp.Compare(t.verdicts[b].since.Mono, t.verdicts[a].since.Mono), cmp.Compare(a, b))
	})
	for _, request := range byAge[maxVerdicts:] {
		delete(t.verdicts, request)
	}
}

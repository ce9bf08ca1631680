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

// Which requests are not run, and for how long.

const (
	// initialTerm is how long a request is not run that is blamed for the first time:
	// replicas may have been mended by then, and a caller that tries again each
	// second has been refused 600 times.
	initialTerm = 10 * time.Minute
	// maxTerm bounds the terms of a request that is blamed again and again, each of
	// which is twice the one before.
	maxTerm = 8 * time.Hour
	// sendSlots is in how many sendSlots the tries of a request are sent that may be blamed soon:
	// the instances of a small site; in a large fleet several share one.
	sendSlots = 8
	// maxVerdicts bounds the requests that are known, the newest first; they take
	// 0.1 MB: three replicas end for each.
	maxVerdicts = 1024
)

// A verdict says that a request is not run.
type verdict struct {
	since    clock.Instant
	term     time.Duration
	replicas int  // that ended under it
	judged   bool // by reports that this instance has, or had
	wrote    bool // this instance wrote its record in the platform's store
	recorded bool // this instance wrote its record in the platform's store, or read it there
}

// remaining returns for how long the request is not run, 0 if it may be.
func (v *verdict) remaining(now clock.Instant) time.Duration {
	if v == nil {
		return 0
	}
	return max(0, v.term-now.MaxElapsed(v.since))
}

// remembered reports whether a request whose term is over is still known: one more
// replica that ends under it is enough then.
func (v *verdict) remembered(now clock.Instant) bool { return now.MaxElapsed(v.since) < 2*v.term }

// Remaining returns for how long a request is not run, 0 if it may be.
func (t *Tracker) Remaining(now clock.Instant, request crash.Fingerprint) time.Duration {
	return t.verdicts[request].remaining(now)
}

// SendDelay returns how long a call of a request waits before it is sent: 0, but for one
// under which so many replicas ended that the next end decides. Its tries at all
// instances are sent one after the other then, each after what the one before showed
// has been judged. A request that harms nobody is late by that; of one that does, one
// more replica ends instead of one at each instance.
func (t *Tracker) SendDelay(request crash.Fingerprint) time.Duration {
	if !t.suspected(request) {
		return 0
	}
	return time.Duration(t.sendSlot(request)+1) * verdictDelay
}

// suspected reports whether so many replicas ended under a request since it was last
// served that it may be blamed.
func (t *Tracker) suspected(request crash.Fingerprint) bool {
	if !t.suspects[request] {
		return false
	}
	return len(replicasUnder(request, t.Records.Crashes(), t.Records.LastSuccess(request))) >= crash.MaxCrashes
}

// sendSlot returns in which sendSlot this instance sends its tries of a request.
func (t *Tracker) sendSlot(request crash.Fingerprint) int { return t.position(request) % sendSlots }

// position returns how many instances come position this one for a request.
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

// crashLimit returns how many replicas must have ended under a request for it to be blamed.
func (t *Tracker) crashLimit(request crash.Fingerprint) int {
	if t.verdicts[request] != nil {
		return 1
	}
	return crash.MaxCrashes
}

// evaluate blames requests for the ends that were reported, and releases those that
// another one explains or that were served since.
func (t *Tracker) evaluate(now clock.Instant) {
	settled := now.Add(-settleTime)
	reports := t.Records.Crashes()
	cases := crash.Blame(reports, t.Records.LastSuccess, t.crashLimit, settled)
	blamed := map[crash.Fingerprint]bool{}
	explained := map[pool.Incarnation]bool{}
	for _, c := range cases {
		blamed[c.Request] = true
		t.blame(now, c)
		for _, replica := range c.Replicas {
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

// blame has a request not run from now on.
func (t *Tracker) blame(now clock.Instant, c crash.Attribution) {
	v := t.verdicts[c.Request]
	if v.remaining(now) > 0 {
		v.judged = true
		return
	}
	next := &verdict{since: now, term: initialTerm, replicas: len(c.Replicas), judged: true}
	if v != nil {
		next.term = min(2*v.term, maxTerm)
	}
	if t.Stored && t.observed(c.Request) {
		t.records.queue = append(t.records.queue, c.Request)
	}
	t.apply(c.Request, next)
	t.Out.Log(logevent.RequestQuarantined, "fingerprint", c.Request.String(), "upstreams", replicaNames(c.Replicas), "term", next.term.String())
}

// replicaNames returns what logs call replicas.
func replicaNames(replicas []pool.Incarnation) []string {
	var out []string
	for _, r := range replicas {
		out = append(out, r.Name)
	}
	return out
}

// Restored takes in a verdict that stands in the platform's store.
func (t *Tracker) Restored(now clock.Instant, q registry.Quarantine) {
	if t.Remaining(now, q.Request) > 0 || t.verdicts[q.Request] != nil {
		return
	}
	t.apply(q.Request, &verdict{since: now, term: initialTerm, replicas: q.Replicas, recorded: true})
	t.Out.Log(logevent.RequestQuarantined, "fingerprint", q.Request.String(), "source", "the store", "term", initialTerm.String())
}

func (t *Tracker) apply(request crash.Fingerprint, v *verdict) {
	t.verdicts[request] = v
	t.Cut(request, v.term)
}

// cleared reports whether a request that is not blamed any more may be run again: it was
// served since, or others explain the ends of all the replicas that ended under it. That
// reports were forgotten, or that another request may be to blame as well, clears nobody.
func (t *Tracker) cleared(request crash.Fingerprint, under []pool.Incarnation, explained map[pool.Incarnation]bool) bool {
	v := t.verdicts[request]
	if v.since.Before(t.Records.LastSuccess(request)) {
		return true
	}
	unexplained := slices.ContainsFunc(under, func(replica pool.Incarnation) bool { return !explained[replica] })
	return v.judged && len(under) >= v.replicas && !unexplained
}

// replicasUnder returns the replicas that are reported to have ended under a request
// since an instant, in order, each life of them once.
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

// release has a request run again.
func (t *Tracker) release(request crash.Fingerprint) {
	t.Out.Log(logevent.RequestReleased, "fingerprint", request.String())
	t.removeRecord(t.verdicts[request], request)
	delete(t.verdicts, request)
	t.Pool.NoteCapacityChange()
}

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

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
)

// A replica has crashed, rather than being unreachable, dropping connections or leaving, if
// its machine answers, nothing listens at its address, and it did not report itself as
// leaving.

const (
	// evidenceWindow is the time from the first sign of a crash within which severed calls and
	// other signs count as evidence of the same crash: shorter than the seconds that a replica
	// takes to restart.
	evidenceWindow = 2 * time.Second
	// disconnectWindow is how long before its replica's crash a caller may have disconnected
	// for its call to still count as in flight there: a replica takes a moment to notice the
	// disconnect, and the crash takes a moment to show.
	disconnectWindow = 500 * time.Millisecond
)

type (
	// Check is an action: test whether a process listens at a replica's address.
	Check struct {
		Replica pool.Incarnation
		Address string // IP:port
	}
	// Checked is the event that answers a Check.
	Checked struct {
		Replica pool.Incarnation
		Ended   bool // the machine answered that nothing listens there
	}
)

// IsAction implements step.Action.
func (Check) IsAction() {}

// IsEvent implements step.Event.
func (Checked) IsEvent() {}

// evidence is what this instance's calls show about one crash of a replica.
type evidence struct {
	at        clock.Instant // time of the first sign
	address   string
	service   string          // of the replica
	requests  []crash.Request // in flight at the replica; in ascending order of their fingerprints
	endedAt   clock.Instant   // first sign that the replica's process has ended; zero: there was none
	checkSent bool            // a Check was sent
	seq       uint64          // sequence number of the report, 0 if none was sent
	reported  int             // number of requests in the last report
}

// Severed records that a request's call was severed by its replica, or by the replica's
// machine, before the response was complete.
func (t *Tracker) Severed(now clock.Instant, request crash.Request, r *pool.Replica) {
	if request.Fingerprint == 0 || r.Leaving() {
		return // the end of a leaving replica is planned
	}
	replica := r.Incarnation()
	e := t.evidenceOf(now, replica)
	e.address = r.Address
	e.service = r.Service
	e.add(request)
}

// SeveredByReplicaEnd records that a request's call was at an incarnation of a service's replica that
// is known to have ended, since its next incarnation is running.
func (t *Tracker) SeveredByReplicaEnd(now clock.Instant, request crash.Request, service string, replica pool.Incarnation) {
	if request.Fingerprint == 0 {
		return
	}
	t.ReplicaEnded(now, replica)
	e := t.evidenceOf(now, replica)
	e.service = service
	e.add(request)
}

// add records that a request was in flight.
func (e *evidence) add(request crash.Request) {
	i, found := crash.SearchRequests(e.requests, request.Fingerprint)
	if found || len(e.requests) == maxRequests {
		return
	}
	e.requests = slices.Insert(e.requests, i, request)
}

// A disconnect is a call whose caller disconnected while it was in flight at a replica.
type disconnect struct {
	request crash.Request
	at      clock.Instant
}

// CallerDisconnected records that the caller of a request disconnected while its call was in
// flight at a replica. The replica may still crash because of that request.
func (t *Tracker) CallerDisconnected(now clock.Instant, request crash.Request, r *pool.Replica) {
	if request.Fingerprint == 0 || r.Leaving() {
		return
	}
	recent := slices.DeleteFunc(t.disconnects[r.Incarnation()], func(d disconnect) bool { return d.expired(now) })
	if len(recent) < maxRequests {
		recent = append(recent, disconnect{request: request, at: now})
	}
	t.disconnects[r.Incarnation()] = recent
}

// expired reports whether a crash first seen at now can no longer be due to the disconnected
// call.
func (d disconnect) expired(now clock.Instant) bool { return now.MaxElapsed(d.at) > disconnectWindow }

// ReplicaEnded records that a replica's process has ended.
func (t *Tracker) ReplicaEnded(now clock.Instant, replica pool.Incarnation) {
	e := t.evidenceOf(now, replica)
	if !e.endedAt.IsZero() {
		return
	}
	e.endedAt = now
	for _, d := range t.disconnects[replica] {
		if !d.expired(e.at) {
			e.add(d.request)
		}
	}
}

// reportEnded reports the replicas that have crashed, bounds.CrashConfirmDelay after the first sign, and again
// when more requests turn out to have been in flight there. If the links of this instance are at
// fault, it drops the evidence.
func (t *Tracker) reportEnded(now clock.Instant) {
	for _, replica := range slices.SortedFunc(maps.Keys(t.evidence), pool.Incarnation.Compare) {
		e := t.evidence[replica]
		if e.endedAt.IsZero() || len(e.requests) == e.reported || now.Before(e.endedAt.Add(bounds.CrashConfirmDelay)) {
			continue
		}
		if e.reported == 0 && t.LinksAtFault(now, replica) {
			delete(t.evidence, replica)
			continue
		}
		e.reported = len(e.requests)
		t.reportCrash(now, replica, e)
	}
}

// evidenceOf returns the evidence of a replica's current crash. If there is none that began
// within the last evidenceWindow, it starts a new one.
func (t *Tracker) evidenceOf(now clock.Instant, replica pool.Incarnation) *evidence {
	e := t.evidence[replica]
	if e == nil || now.MaxElapsed(e.at) >= evidenceWindow {
		e = &evidence{at: now}
		t.evidence[replica] = e
	}
	return e
}

// reportCrash sends all instances a report of the requests that were in flight at a replica when
// it crashed.
func (t *Tracker) reportCrash(now clock.Instant, replica pool.Incarnation, e *evidence) {
	if e.seq == 0 {
		t.seq++
		e.seq = t.seq
		t.Out.Log(logevent.UpstreamEnded, "upstream", replica.Name, "calls", len(e.requests), "parts", partNames(e.requests))
	}
	parts := maxReportParts
	if t.Options.Disable.PartReports {
		parts = 0
	}
	r := crash.Report{
		Observer: t.Self.Name, Boot: t.Self.Boot, Seq: e.seq, Replica: replica, Service: e.service, Requests: crash.LimitParts(e.requests, parts),
		EventTime: clock.EventTime{At: e.at},
	}.WithTraits()
	t.Records.AddCrash("", r)
	t.addSuspects(now, r)
	t.scheduleUpdates(now, true, t.ownReportInterval(r))
}

// maxLoggedParts bounds the parts in one line of the log.
const maxLoggedParts = 32

// partNames returns the parts of requests for logs, the most frequent first.
func partNames(requests []crash.Request) []string {
	count := map[crash.PartID]int{}
	for _, r := range requests {
		for _, part := range r.Parts {
			count[part]++
		}
	}
	parts := slices.SortedFunc(maps.Keys(count), func(a, b crash.PartID) int {
		return cmp.Or(cmp.Compare(count[b], count[a]), cmp.Compare(a, b))
	})
	var out []string
	for _, part := range parts[:min(len(parts), maxLoggedParts)] {
		out = append(out, part.String())
	}
	return out
}

// checkReplicas emits one Check for each replica that severed calls, bounds.CrashCheckDelay after the first
// of them, unless its process is known to have ended.
func (t *Tracker) checkReplicas(now clock.Instant) {
	for _, replica := range slices.SortedFunc(maps.Keys(t.evidence), pool.Incarnation.Compare) {
		e := t.evidence[replica]
		if !e.endedAt.IsZero() || e.checkSent || now.Before(e.at.Add(bounds.CrashCheckDelay)) {
			continue
		}
		e.checkSent = true
		t.Out.Emit(Check{Replica: replica, Address: e.address})
	}
}

// Checked handles the answer to a Check.
func (t *Tracker) Checked(now clock.Instant, e Checked) {
	if e.Ended {
		t.ConnectionRefused(now, e.Replica)
		t.ReplicaEnded(now, e.Replica)
	}
}

// pruneEvidence removes the evidence older than evidenceWindow, and the disconnects at each
// replica whose latest disconnect is older than that.
func (t *Tracker) pruneEvidence(now clock.Instant) {
	maps.DeleteFunc(t.disconnects, func(_ pool.Incarnation, calls []disconnect) bool {
		return !slices.ContainsFunc(calls, func(d disconnect) bool { return now.MaxElapsed(d.at) < evidenceWindow })
	})
	maps.DeleteFunc(t.evidence, func(_ pool.Incarnation, e *evidence) bool { return now.MaxElapsed(e.at) >= evidenceWindow })
}

package pool

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// A Usage is what one instance has in flight at a replica.
type Usage struct {
	Calls   ByRank[int]
	Prefill ByRank[time.Duration] // estimated remaining work on prompts
	Waiting int                   // calls without a first event that are not counted in Prefill
	Items   []string              // items used recently by its calls
	// Unreachable means that the instance cannot connect to the replica.
	Unreachable bool
}

// peerUsageTTL is how long another instance's report of its calls is used.
const peerUsageTTL = 3 * time.Second

// A peerUsage is another instance's Usage with the time of its arrival.
type peerUsage struct {
	Usage
	at clock.Instant
}

// ObservePeerUsage records a peer's calls in flight by replica. The peer has none at replicas
// that are not in uses.
func (p *Pool) ObservePeerUsage(now clock.Instant, peer string, uses map[string]Usage) {
	for name, r := range p.replicas {
		u, ok := uses[name]
		if !ok {
			delete(r.peers, peer)
			continue
		}
		if r.peers == nil {
			r.peers = map[string]peerUsage{}
		}
		r.peers[peer] = peerUsage{Usage: u, at: now}
	}
	p.capacityChanges++
}

// OwnUsage returns this instance's calls in flight by replica.
//
// Unreachable replicas of a service for which lost returns true are not reported as such: this
// instance reports that it has lost the links to the whole service.
func (p *Pool) OwnUsage(lost func(service string) bool) map[string]Usage {
	uses := map[string]Usage{}
	for name, r := range p.replicas {
		unreachable := r.LinkBroken() && !lost(r.Service)
		if len(r.inFlight) > 0 || len(r.usedItems) > 0 || unreachable {
			uses[name] = Usage{Calls: r.ownCalls, Prefill: r.ownPrefill(), Items: r.recentItems(), Unreachable: unreachable}
		}
	}
	return uses
}

// maxUsedItems bounds the number of recently used items recorded per replica.
const maxUsedItems = 16

// MarkUsed records that an own call uses an item.
func (r *Replica) MarkUsed(item string) {
	for i, it := range r.usedItems {
		if it == item {
			r.usedItems = append(r.usedItems[:i], r.usedItems[i+1:]...)
			break
		}
	}
	r.usedItems = append(r.usedItems, item)
	if len(r.usedItems) > maxUsedItems {
		r.usedItems = r.usedItems[1:]
	}
}

// recentItems returns a copy of the recently used items.
func (r *Replica) recentItems() []string { return append([]string(nil), r.usedItems...) }

// ResetUsed clears the recently used items of all replicas. It is called once they have been sent
// to the peers.
func (p *Pool) ResetUsed() {
	for _, r := range p.replicas {
		r.usedItems = r.usedItems[:0]
	}
}

// ownPrefill returns the work on the prompts of own calls without a first token. It leaves out
// those on a link that got no answer: they have probably not arrived.
func (r *Replica) ownPrefill() ByRank[time.Duration] {
	var work ByRank[time.Duration]
	for _, c := range r.pending {
		if c.relayed || !r.LinkTimedOut() {
			work[c.rank] += c.prefill
		}
	}
	return work
}

// peerTotals returns the sum of the peers' calls in flight at the replica, according to reports
// within peerUsageTTL.
func (r *Replica) peerTotals(now clock.Instant) Usage {
	var sum Usage
	for _, u := range r.peers {
		if now.Since(u.at) <= peerUsageTTL {
			sum.Calls.add(u.Calls)
			sum.Prefill.add(u.Prefill)
		}
	}
	return sum
}

// suspicionTTL is how long a peer's report that it cannot connect to a replica counts.
const suspicionTTL = 700 * time.Millisecond

// Suspected reports whether a peer recently reported that it cannot connect to the replica, and
// the replica has not answered this instance in that time.
func (r *Replica) Suspected(now clock.Instant) bool {
	if !r.link.provenAt.IsZero() && now.Since(r.link.provenAt) <= suspicionTTL {
		return false
	}
	for peer := range r.peers {
		if r.UnreachableFrom(now, peer) {
			return true
		}
	}
	return false
}

// UnreachableFrom reports whether a peer recently reported that it cannot connect to the replica.
func (r *Replica) UnreachableFrom(now clock.Instant, peer string) bool {
	u, ok := r.peers[peer]
	return ok && u.Unreachable && now.Since(u.at) <= suspicionTTL
}

// Load returns the calls in flight at the replica and the remaining work on their prompts: those
// of this instance, plus those of the others according to the replica's last load report if that
// is recent, and according to the recent reports of peers otherwise.
func (r *Replica) Load(now clock.Instant) Usage {
	u := r.peerTotals(now)
	if r.ReportAge(now) <= loadReportTTL {
		u.Calls = ByRank[int]{r.report.total} // the report has no ranks; all count as the most urgent
		u.Prefill = ByRank[time.Duration]{}
		u.Waiting = r.report.waiting
	}
	u.Calls.add(r.ownCalls)
	u.Prefill.add(r.ownPrefill())
	return u
}

// A LoadReport is an engine's answer to a query for its calls.
type LoadReport struct {
	Queued  int // calls without a first event
	Running int // calls with a first event
}

// An engine's load report describes its state about loadReportLag before the report's arrival, and
// is used for loadReportTTL after it.
const (
	loadReportLag = 100 * time.Millisecond
	loadReportTTL = 500 * time.Millisecond
)

// A receivedReport is a LoadReport without this instance's own calls at that time.
type receivedReport struct {
	at      clock.Instant
	waiting int // calls of others without a first event
	total   int // all calls of others
}

// ObserveReport records an engine's report of its load.
func (r *Replica) ObserveReport(now clock.Instant, rep LoadReport) {
	then := now.Add(-loadReportLag)
	waiting := 0
	for _, c := range r.pending {
		if c.since.Before(then) {
			waiting++
		}
	}
	r.report = receivedReport{
		at:      now,
		waiting: max(0, rep.Queued-waiting),
		total:   max(0, rep.Queued+rep.Running-len(r.inFlight)),
	}
}

// ReportAge returns the age of the replica's last load report, or an hour if there is none.
func (r *Replica) ReportAge(now clock.Instant) time.Duration {
	if r.report.at.IsZero() {
		return time.Hour
	}
	return now.Since(r.report.at)
}

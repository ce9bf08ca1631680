package pool

import (
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// A Usage is what one instance has in flight at a replica.
type Usage struct {
	Calls   ByRank[int]
	Prefill ByRank[time.Duration] // work on prompts that it believes is still to be done there
	Waiting int                   // calls without a first event that are not in Prefill
	Items   []string              // items that its calls used lately
	Down    bool                  // nothing answered there a moment ago
}

// peerUsageTTL is how long another instance's report of its calls is believed.
const peerUsageTTL = 3 * time.Second

// A peerUsage is another instance's Use with the time at which it was heard.
type peerUsage struct {
	Usage
	at clock.Instant
}

// ObservePeerUsage takes in what a peer has in flight, by replica. Replicas that are
// not named have nothing of it in flight.
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

// OwnUsage returns what this instance has in flight, by replica.
func (p *Pool) OwnUsage(now clock.Instant) map[string]Usage {
	uses := map[string]Usage{}
	for name, r := range p.replicas {
		if len(r.inFlight) > 0 || len(r.usedItems) > 0 || r.Down(now) {
			uses[name] = Usage{Calls: r.ownCalls, Prefill: r.ownPrefill(), Items: r.recentItems(), Down: r.Down(now)}
		}
	}
	return uses
}

// maxUsedItems bounds the items of one replica that are remembered as used.
const maxUsedItems = 16

// MarkUsed notes that an own call uses an item.
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

func (r *Replica) recentItems() []string { return append([]string(nil), r.usedItems...) }

// ResetUsed begins the list of used items anew, once peers were told of it.
func (p *Pool) ResetUsed() {
	for _, r := range p.replicas {
		r.usedItems = r.usedItems[:0]
	}
}

// ownPrefill returns the work on prompts of own calls without a first token.
func (r *Replica) ownPrefill() ByRank[time.Duration] {
	var work ByRank[time.Duration]
	for _, c := range r.pending {
		work[c.rank] += c.prefill
	}
	return work
}

// peerTotals sums what peers have in flight at the replica.
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

// Suspected reports whether this instance, or a peer that was heard a moment ago,
// found nothing at the replica's address.
func (r *Replica) Suspected(now clock.Instant) bool {
	if r.Down(now) {
		return true
	}
	for _, u := range r.peers {
		if u.Down && now.Since(u.at) <= downPeriod {
			return true
		}
	}
	return false
}

// Load returns the calls in flight at the replica and the work on prompts that
// is still to be done there, of every instance that was heard lately.
func (r *Replica) Load(now clock.Instant) Usage {
	u := r.peerTotals(now)
	if r.ReportAge(now) <= loadReportTTL {
		u.Calls = ByRank[int]{r.report.running} // of ranks that it does not say
		u.Prefill = ByRank[time.Duration]{}
		u.Waiting = r.report.waiting
	}
	u.Calls.add(r.ownCalls)
	u.Prefill.add(r.ownPrefill())
	return u
}

// A LoadReport is what an engine says of the calls there when it is asked.
type LoadReport struct {
	Queued  int // without a first event
	Running int // with one
}

// An engine's report of its load is some 100 ms old when it comes, and is
// believed for a while.
const (
	loadReportLag = 100 * time.Millisecond
	loadReportTTL = 500 * time.Millisecond
)

// A receivedReport is a Report with what the instance itself had there then.
type receivedReport struct {
	at      clock.Instant
	waiting int // calls of others without a first event
	running int // other calls
}

// ObserveReport takes in what an engine says of its load.
func (r *Replica) ObserveReport(now clock.Instant, said LoadReport) {
	then := now.Add(-loadReportLag)
	waiting := 0
	for _, c := range r.pending {
		if c.since.Before(then) {
			waiting++
		}
	}
	r.report = receivedReport{
		at:      now,
		waiting: max(0, said.Queued-waiting),
		running: max(0, said.Queued+said.Running-len(r.inFlight)),
	}
}

// ReportAge returns how long ago the replica said how busy it is.
func (r *Replica) ReportAge(now clock.Instant) time.Duration {
	if r.report.at.IsZero() {
		return time.Hour
	}
	return now.Since(r.report.at)
}

package links

import (
	"cmp"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/step"
)

// Probes of links: connections that are opened and closed without a request.

const (
	// firstProbeDelay is the time from a failed connection attempt to the first probe, and
	// maxProbeDelay the longest time between two probes of a link.
	firstProbeDelay = 100 * time.Millisecond
	maxProbeDelay   = time.Second
	// maxProbes is the number of links that are probed at the same time: enough for all links
	// of an instance in a small fleet.
	maxProbes = 32
	// doubtProbes is the number of other replicas that are probed when the links to a service
	// come into doubt.
	doubtProbes = 4
)

type (
	// Probe is the action that connects to a replica's address and closes the connection.
	Probe struct {
		Replica pool.Incarnation
		Address string // IP:port
	}
	// Probed is the event that answers a Probe.
	Probed struct {
		Replica   pool.Incarnation
		Connected bool
		TimedOut  bool // nothing answered, as opposed to a refusal
	}
)

// IsAction implements step.Action.
func (Probe) IsAction() {}

// IsEvent implements step.Event.
func (Probed) IsEvent() {}

// probes is the schedule of the probes.
type probes struct {
	scheduled map[pool.Incarnation]*probe
	inFlight  int
}

// A probe is the schedule of the probes of one link.
type probe struct {
	due    clock.Instant
	delay  time.Duration // until the next one, if this one fails
	sentAt clock.Instant // zero: none is in flight
}

func newProbes() probes { return probes{scheduled: map[pool.Incarnation]*probe{}} }

// add schedules the first probe of a link, unless it is being probed already.
func (p *probes) add(now clock.Instant, r *pool.Replica) {
	if p.scheduled[r.Incarnation()] == nil {
		p.scheduled[r.Incarnation()] = &probe{due: now.Add(firstProbeDelay), delay: 2 * firstProbeDelay}
	}
}

// probeOthers probes up to n links to the replicas of a service that are not known to be broken at
// once: if they work, the links are not in doubt.
func (t *Tracker) probeOthers(now clock.Instant, service string, n int) {
	var others []*pool.Replica
	for _, r := range t.Pool.Serving(service) {
		if r.Usable() && !r.LinkBroken() && t.probes.scheduled[r.Incarnation()] == nil {
			others = append(others, r)
		}
	}
	t.Rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	for _, r := range others[:min(n, len(others))] {
		t.probes.scheduled[r.Incarnation()] = &probe{due: now, delay: firstProbeDelay}
	}
}

// sendProbes sends the probes that are due, the longest due first, and drops those of links that
// work and of replicas that are gone.
func (t *Tracker) sendProbes(now clock.Instant) {
	if len(t.probes.scheduled) == 0 {
		return
	}
	for _, replica := range t.dueProbes(now) {
		if t.probes.inFlight >= maxProbes {
			return
		}
		r := t.Pool.Get(replica.Name)
		t.probes.scheduled[replica].sentAt = now
		t.probes.inFlight++
		t.Out.Emit(Probe{Replica: replica, Address: r.Address})
	}
}

func (t *Tracker) dueProbes(now clock.Instant) []pool.Incarnation {
	var due []pool.Incarnation
	for replica, p := range t.probes.scheduled {
		if !p.sentAt.IsZero() {
			continue
		}
		r := t.Pool.Get(replica.Name)
		if r == nil || r.Incarnation() != replica || !r.Usable() || !t.needsProbe(r) {
			delete(t.probes.scheduled, replica)
			continue
		}
		if !now.Before(p.due) {
			due = append(due, replica)
		}
	}
	slices.SortFunc(due, func(a, b pool.Incarnation) int {
		return cmp.Or(cmp.Compare(t.probes.scheduled[a].due.Mono, t.probes.scheduled[b].due.Mono), a.Compare(b))
	})
	return due
}

// needsProbe reports whether it is not known that the link to a replica works.
func (t *Tracker) needsProbe(r *pool.Replica) bool {
	s := t.services[r.Service]
	return r.LinkBroken() || s != nil && len(s.suspects) > 0
}

// HandleProbed handles the result of a probe.
func (t *Tracker) HandleProbed(now clock.Instant, e Probed) {
	p := t.probes.scheduled[e.Replica]
	if p == nil || p.sentAt.IsZero() {
		return
	}
	sent := p.sentAt
	p.sentAt = clock.Instant{}
	t.probes.inFlight--
	r := t.Pool.Get(e.Replica.Name)
	if r == nil || r.Incarnation() != e.Replica {
		delete(t.probes.scheduled, e.Replica)
		return
	}
	if e.Connected {
		delete(t.probes.scheduled, e.Replica)
		t.Proven(now, r, sent)
		return
	}
	p.due = now.Add(step.Jitter(t.Rand, p.delay))
	p.delay = min(2*p.delay, maxProbeDelay)
	t.Failed(now, r, e.TimedOut)
}

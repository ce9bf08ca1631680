// Package links tracks which replicas this instance reaches over its own links.
//
// That an instance cannot connect to a replica says nothing about the replica: the instance may
// be partitioned from it while others are not. A link that failed is therefore a state of its
// own, apart from what is known of the replica. It lasts until a connection succeeds: the
// tracker probes the broken links, so that no call has to find out whether they work again.
package links

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/shared"
)

// Changed is the action that reports how many replicas of a service this instance cannot reach.
type Changed struct {
	Service     string
	Unreachable int
}

// IsAction implements step.Action.
func (Changed) IsAction() {}

// A Tracker tracks an instance's links.
type Tracker struct {
	shared.State
	services  map[string]*serviceLinks
	probes    probes
	peers     map[string]*peerLinks
	cache     candidateCache
	updateDue clock.Instant
}

// serviceLinks is the state of the links to the replicas of one service.
type serviceLinks struct {
	unreachable int             // replicas
	lost        bool            // most replicas are unreachable
	lostSince   clock.Instant   // when lost last became true
	backAt      clock.Instant   // when lost last became false; zero: it never was true
	failed      int             // connection attempts that failed since then
	provenAt    clock.Instant   // when a link to a replica last proved to work
	failedSince clock.Instant   // when connecting to a replica first failed since then
	failedAt    clock.Instant   // when it failed last
	suspects    map[string]bool // replicas to which connecting failed since a link last proved to work
	timedOut    bool            // one of these attempts timed out
}

// New returns a tracker without any links.
func New(state shared.State) *Tracker {
	return &Tracker{State: state, services: map[string]*serviceLinks{}, probes: newProbes(), peers: map[string]*peerLinks{}}
}

// Failed records that a connection to a replica could not be established. timedOut means that
// nothing answered, as opposed to a refusal. An attempt that timed out began before a link that has
// worked since, so it says nothing about that link any more; nor does it while this instance is
// saturated and other links to the service work.
func (t *Tracker) Failed(now clock.Instant, r *pool.Replica, timedOut bool) {
	s := t.service(r.Service)
	if timedOut && (r.ProvenWithin(now, bounds.DialTimeout) || t.Saturation.Saturated(now) && s.provenWithin(now, saturatedProof)) {
		return
	}
	r.LinkFailed(now, timedOut)
	s.failed++
	s.failedAt = now
	if len(s.suspects) == 0 {
		s.failedSince = now
	}
	s.suspects[r.Name] = true
	s.timedOut = s.timedOut || timedOut
	t.probes.add(now, r)
	switch {
	case t.Doubtful(r.Service):
		t.probeOthers(now, r.Service, doubtProbes)
	case len(s.suspects) == 1:
		t.probeOthers(now, r.Service, minBurst-1) // tells a replica that ended from lost links
	}
	t.update(now, r.Service)
}

// saturatedProof is the time for which a link that worked proves that those to the service do, while
// this instance is saturated.
const saturatedProof = time.Second

// provenWithin reports whether a link to the service has proved to work within span before now.
func (s *serviceLinks) provenWithin(now clock.Instant, span time.Duration) bool {
	return !s.provenAt.IsZero() && now.Since(s.provenAt) <= span
}

// Proven records that a replica answered a request, or accepted a connection, that was sent at
// sent.
func (t *Tracker) Proven(now clock.Instant, r *pool.Replica, sent clock.Instant) {
	broken := r.LinkBroken()
	r.LinkProven(now, sent)
	if r.LinkBroken() {
		return
	}
	s := t.service(r.Service)
	s.provenAt = now
	if !sent.Before(s.failedAt) {
		s.timedOut = false
		clear(s.suspects)
	}
	if broken {
		t.update(now, r.Service)
	}
}

// minRefusals is the number of replicas that must refuse connections, while none accepts one,
// for the links to be in doubt: a single one has probably ended.
const minRefusals = 2

// Doubtful reports whether the links to a service are in doubt: connecting to a replica timed
// out, or several replicas refused connections, and no link has proved to work since.
func (t *Tracker) Doubtful(service string) bool {
	s := t.services[service]
	return s != nil && len(s.suspects) > 0 && (s.timedOut || len(s.suspects) >= minRefusals)
}

const (
	// burstWindow is the time within which connections to many replicas must begin to fail for
	// the links to be at fault, rather than the replicas.
	burstWindow = 100 * time.Millisecond
	// minBurst is the least number of such replicas, and MinBurstShare their least share of the
	// replicas of the service.
	minBurst      = 3
	MinBurstShare = 1. / 3
)

// AtFault reports whether connections to a replica fail because this instance has lost its links:
// those to many replicas of the service began to fail at the same time.
func (t *Tracker) AtFault(now clock.Instant, replica pool.Incarnation) bool {
	r := t.Pool.Get(replica.Name)
	if r == nil || !r.LinkBroken() {
		return false
	}
	replicas := t.Pool.Serving(r.Service)
	burst := 0
	for _, other := range replicas {
		if other.LinkBroken() && r.LinkBrokenTogether(other, burstWindow) {
			burst++
		}
	}
	return burst >= minBurst && float64(burst) >= MinBurstShare*float64(len(replicas))
}

// Lost reports whether this instance cannot connect to most replicas of a service.
func (t *Tracker) Lost(service string) bool {
	s := t.services[service]
	return s != nil && s.lost
}

// SinceLost returns how long ago the links to a service were last lost: 0 if they are lost now, and
// the largest duration if they never were.
func (t *Tracker) SinceLost(now clock.Instant, service string) time.Duration {
	s := t.services[service]
	switch {
	case s == nil || !s.lost && s.backAt.IsZero():
		return math.MaxInt64
	case s.lost:
		return 0
	default:
		return now.Since(s.backAt)
	}
}

// AnyLost reports whether this instance cannot connect to most replicas of some service.
func (t *Tracker) AnyLost() bool {
	for _, s := range t.services {
		if s.lost {
			return true
		}
	}
	return false
}

// Reports returns the state of the links to all services, as peers are told.
func (t *Tracker) Reports(now clock.Instant) []gossip.LinkReport {
	var out []gossip.LinkReport
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		s := t.services[name]
		report := gossip.LinkReport{Service: name, Lost: s.lost, Proven: !s.provenAt.IsZero()}
		if report.Proven {
			report.ProvenAge = max(0, now.MaxElapsed(s.provenAt))
		}
		out = append(out, report)
	}
	return out
}

// updateInterval is the time between two checks for replicas that were announced or have left.
const updateInterval = 100 * time.Millisecond

// Tick probes broken links, and accounts for replicas that were announced or have left.
func (t *Tracker) Tick(now clock.Instant) {
	t.sendProbes(now)
	if now.Before(t.updateDue) {
		return
	}
	t.updateDue = now.Add(updateInterval)
	t.prunePeers(now)
	for _, service := range slices.Sorted(maps.Keys(t.services)) {
		t.update(now, service)
	}
}

func (t *Tracker) service(name string) *serviceLinks {
	s := t.services[name]
	if s == nil {
		s = &serviceLinks{suspects: map[string]bool{}}
		t.services[name] = s
	}
	return s
}

// update recomputes the state of the links to a service, and logs when this instance loses most
// of them and when they are back.
func (t *Tracker) update(now clock.Instant, service string) {
	s := t.service(service)
	unreachable, replicas := t.count(service)
	if unreachable != s.unreachable {
		s.unreachable = unreachable
		t.Out.Emit(Changed{Service: service, Unreachable: unreachable})
	}
	lost := 2*unreachable > replicas
	switch {
	case lost && !s.lost:
		s.lostSince = now
		t.clearFailures(service)
		t.Out.Log(logevent.LinksLost, "service", service, "unreachable", unreachable, "replicas", replicas)
	case !lost && s.lost:
		t.Out.Log(logevent.LinksBack, "service", service, "lasted_ms", now.Since(s.lostSince).Milliseconds(), "failed", s.failed)
		s.failed = 0
		s.backAt = now
	}
	s.lost = lost
}

// clearFailures clears the failed calls that count against the unreachable replicas of a service:
// they failed with the links. Otherwise the replicas would be ejected when the links are back.
func (t *Tracker) clearFailures(service string) {
	for _, r := range t.Pool.Serving(service) {
		if r.LinkBroken() {
			r.ClearFailures()
		}
	}
}

// count returns how many usable replicas a service has, and how many of them are unreachable.
func (t *Tracker) count(service string) (unreachable, replicas int) {
	for _, r := range t.Pool.Serving(service) {
		if !r.Usable() {
			continue
		}
		replicas++
		if r.LinkBroken() {
			unreachable++
		}
	}
	return unreachable, replicas
}

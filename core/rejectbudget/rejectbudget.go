// Package rejectbudget limits how many requests the replicas of a service must reject.
//
// A replica that is full rejects requests. At times the replicas of a service state in their
// answers that they fail if they must reject more than a number of requests within a second. The
// limit applies to all instances together, and it is kept before a replica rejects anything:
// only so many requests may be at a replica without an answer (bounds.Rejections), each by a token
// that one instance holds. Rendezvous hashing over the registered instances says which, so no
// messages are needed. An instance that holds no token of a replica has its attempts relayed by
// one that does, which counts them as its own.
//
// Instances may know different sets of instances for a while. A token still has one holder at
// most: an instance passes over another one in the ranking only if that one sends nothing, because
// it is not registered or has lost its links, and an instance that becomes able to send holds no
// tokens until all others know.
package rejectbudget

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/bounds"
	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/gossip"
	"github.com/birchdrift/birchdrift/core/links"
	"github.com/birchdrift/birchdrift/core/logevent"
	"github.com/birchdrift/birchdrift/core/option"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/registry"
	"github.com/birchdrift/birchdrift/core/rendezvous"
	"github.com/birchdrift/birchdrift/core/shared"
)

// holdersTTL is how long the computed holders of a replica's tokens are reused.
const holdersTTL = 200 * time.Millisecond

// Deps are what a Budget needs from other modules.
type Deps struct {
	shared.State
	Links *links.Tracker
	// Instances returns the registered instances of the fleet by name.
	Instances func() map[string]registry.Instance
	// TellSoon is called when there is a new limit for peers.
	TellSoon func(now clock.Instant)
}

// A Budget holds the limits of services and this instance's tokens.
type Budget struct {
	Deps
	reports      map[string]report // by service
	learning     learning
	registeredAt clock.Instant            // since when this instance is registered; zero: it is not
	seenAt       map[string]clock.Instant // when each instance was last seen registered
	observeDue   clock.Instant
	holders      map[pool.Incarnation]holders
}

// A report is the newest limit of a service that any instance heard of.
type report struct {
	limit pool.RejectionLimit
	at    clock.Instant
}

// holders are the instances that hold the tokens of a replica, with the number of tokens.
type holders struct {
	at     clock.Instant
	tokens map[string]int
}

// New returns a Budget without limits.
func New(deps Deps) *Budget {
	return &Budget{
		Deps: deps, reports: map[string]report{}, learning: learning{answered: map[string]bool{}},
		seenAt: map[string]clock.Instant{}, holders: map[pool.Incarnation]holders{},
	}
}

// Observe records the limit in an answer of a service's replica to a request that was sent at
// sent, or its absence.
func (b *Budget) Observe(now clock.Instant, service string, sent clock.Instant, limit pool.RejectionLimit) {
	b.learning.answered[service] = true
	old := b.reports[service]
	if !limit.Named && (!old.limit.Named || sent.Before(old.at)) {
		return
	}
	b.record(now, service, report{limit: limit, at: now}, b.Self.Name)
}

// ObservePeer records what a peer knows of the limits of services. informed means that it knows
// those of all services that have one.
func (b *Budget) ObservePeer(now clock.Instant, peer string, informed bool, reports []gossip.LinkReport) {
	b.learning.heard = true
	b.learning.informed = b.learning.informed || informed
	for _, r := range reports {
		if !r.Rejections.Known {
			continue
		}
		at := now.Add(-r.Rejections.Age)
		if old, ok := b.reports[r.Service]; !ok || at.Since(old.at) > minReportGap {
			b.record(now, r.Service, report{limit: r.Rejections.RejectionLimit, at: at}, peer)
		}
	}
}

// minReportGap is how much later than the known report a peer's must be to count as newer: ages in
// messages are imprecise.
const minReportGap = 50 * time.Millisecond

func (b *Budget) record(now clock.Instant, service string, r report, by string) {
	old := b.reports[service]
	b.reports[service] = r
	if r.limit == old.limit {
		return
	}
	clear(b.holders)
	b.Out.Log(logevent.RejectionLimit, "service", service, "named", r.limit.Named, "per_s", r.limit.PerSecond, "by", by)
	b.TellSoon(now)
}

// Reports adds what this instance knows of the limits of services to its reports of links for
// peers.
func (b *Budget) Reports(now clock.Instant, reports []gossip.LinkReport) []gossip.LinkReport {
	for _, service := range slices.Sorted(maps.Keys(b.reports)) {
		known := b.reports[service]
		i := slices.IndexFunc(reports, func(r gossip.LinkReport) bool { return r.Service == service })
		if i < 0 {
			i = len(reports)
			reports = append(reports, gossip.LinkReport{Service: service})
		}
		reports[i].Rejections = gossip.RejectionReport{Known: true, RejectionLimit: known.limit, Age: max(0, now.MaxElapsed(known.at))}
	}
	return reports
}

// Limited reports whether the replicas of a service have a limit, or may have one.
func (b *Budget) Limited(now clock.Instant, service string) bool {
	return b.reports[service].limit.Named || !b.knows(now, service)
}

// MaySend reports whether this instance may send a request to the replica now.
func (b *Budget) MaySend(now clock.Instant, r *pool.Replica) bool {
	switch {
	case !b.Limited(now, r.Service):
		return true
	case !b.knows(now, r.Service):
		return b.mayTry(now, r)
	}
	return r.Exposed(now, b.rejections(r).Hold) < b.tokens(now, r)[b.Self.Name]
}

// Holds reports whether this instance holds tokens of the replica, be they in use or not. Before it
// knows the limit, it waits for its own requests.
func (b *Budget) Holds(now clock.Instant, r *pool.Replica) bool {
	return !b.knows(now, r.Service) || b.tokens(now, r)[b.Self.Name] > 0
}

// MayRelay reports whether a peer may be asked to relay an attempt to the replica. The peer checks
// that itself, too.
func (b *Budget) MayRelay(now clock.Instant, r *pool.Replica, peer string) bool {
	return !b.reports[r.Service].limit.Named || b.tokens(now, r)[peer] > 0
}

// rejections returns the limit of a replica with what is derived from it. How many requests an
// engine takes depends on their prompts, so its places are not counted as room.
func (b *Budget) rejections(r *pool.Replica) bounds.Rejections {
	places := 0
	if r.Kind == pool.Plain {
		places = r.Concurrent
	}
	return bounds.NewRejections(b.reports[r.Service].limit.PerSecond, places)
}

// tokens returns how many tokens of a replica each instance holds.
func (b *Budget) tokens(now clock.Instant, r *pool.Replica) map[string]int {
	h, ok := b.holders[r.Incarnation()]
	if !ok || now.Since(h.at) >= holdersTTL {
		h = holders{at: now, tokens: b.assign(now, r)}
		b.holders[r.Incarnation()] = h
	}
	return h.tokens
}

// assign assigns the tokens of a replica to instances.
func (b *Budget) assign(now clock.Instant, r *pool.Replica) map[string]int {
	able := b.ableInstances(now, r.Service)
	tokens := map[string]int{}
	for token := range b.rejections(r).Tokens {
		key := rendezvous.Key(fmt.Sprintf("reject/%s/%d", r.Name, token))
		holder, best := "", uint64(0)
		for _, name := range able {
			if score := rendezvous.Score(key, name); holder == "" || score > best {
				holder, best = name, score
			}
		}
		if holder != "" {
			tokens[holder]++
		}
	}
	return tokens
}

// ableInstances returns the instances among which the tokens of a service's replicas are divided:
// all that are registered but for those that are known to send nothing. In an environment
// without a registry, each instance is alone.
func (b *Budget) ableInstances(now clock.Instant, service string) []string {
	if b.Options.Environment != option.Platform {
		return []string{b.Self.Name}
	}
	var able []string
	for name := range b.seenAt {
		if name != b.Self.Name && !b.Links.PeerLost(now, name, service) {
			able = append(able, name)
		}
	}
	if b.isAble(now, service) {
		able = append(able, b.Self.Name)
	}
	return able
}

// isAble reports whether this instance may hold tokens: whether all others have had the time to
// learn that it can send.
func (b *Budget) isAble(now clock.Instant, service string) bool {
	settled := !b.registeredAt.IsZero() && now.Since(b.registeredAt) >= b.Options.Bounds.RejectionSettle(true)
	return settled && b.Links.SinceLost(now, service) >= b.Options.Bounds.RejectionSettle(false)
}

// observeInterval is the time between two observations of the registered instances.
const observeInterval = 100 * time.Millisecond

// Tick observes which instances are registered. One whose registration has gone counts until it
// must have noticed that itself.
func (b *Budget) Tick(now clock.Instant) {
	if now.Before(b.observeDue) {
		return
	}
	b.observeDue = now.Add(observeInterval)
	if b.learning.startedAt.IsZero() {
		b.learning.startedAt = now
	}
	for name := range b.Instances() {
		b.seenAt[name] = now
	}
	maps.DeleteFunc(b.seenAt, func(_ string, at clock.Instant) bool {
		return now.Since(at) > b.Options.Bounds.RejectionSettle(true)
	})
	switch _, registered := b.Instances()[b.Self.Name]; {
	case !registered:
		b.registeredAt = clock.Instant{}
	case b.registeredAt.IsZero():
		b.registeredAt = now
	}
}

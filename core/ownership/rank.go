package ownership

import (
	"cmp"
	"slices"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
	"github.com/birchdrift/birchdrift/core/rendezvous"
)

// This file ranks the instances that may claim an engine or the placer's record. Every
// instance computes its own rank and waits claimRankDelay for each instance of higher
// rank, so that usually only one of them writes.

// A candidate is an instance that watches the store, and so may own engines and
// place models.
type candidate struct {
	name      string
	zone      string
	processor float64 // CPU quota in cores, 0 if unknown
}

// self returns this instance as a candidate.
func (r *Registry) self() candidate {
	return candidate{name: r.Self.Name, zone: r.Self.Zone, processor: r.Self.Processor}
}

// candidates returns the instances that watch the store, including this one if it is one
// of them.
func (r *Registry) candidates(now clock.Instant) []candidate {
	var all []candidate
	for _, zone := range r.Roster.Zones() {
		for _, name := range r.Roster.InZone(now, zone) {
			all = append(all, candidate{name: name, zone: zone, processor: r.instances[name].Processor})
		}
	}
	return all
}

// reaching returns those of the candidates that reach the engine, as far as is known.
func (r *Registry) reaching(now clock.Instant, engine *pool.Replica, all []candidate) []candidate {
	return slices.DeleteFunc(slices.Clone(all), func(c candidate) bool {
		return r.Links.PeerLost(now, c.name, engine.Service) || engine.UnreachableFrom(now, c.name)
	})
}

// ownerRank returns the number of candidates that are preferred to self as the owner of an
// engine. Candidates in the engine's zone come first, since they reach it when the zone
// is partitioned from the others. Within each group, rendezvous hashing spreads the engines.
func ownerRank(engine, zone string, self candidate, all []candidate) int {
	inEngineZone := func(c candidate) int {
		if c.zone == zone {
			return 1
		}
		return 0
	}
	return rank(engine, self, all, func(a, b candidate) int { return inEngineZone(a) - inEngineZone(b) })
}

// placerRank returns the number of candidates that are preferred to self as the placer.
// Candidates with a larger CPU quota come first, then rendezvous hashing decides. A placer
// with a fifth of a core lagged behind in all its other work.
func placerRank(self candidate, all []candidate) int {
	return rank(placerKey, self, all, func(a, b candidate) int { return cmp.Compare(a.processor, b.processor) })
}

// rank returns the number of candidates that are preferred to self: those that compare
// greater, and of those that compare equal the ones with a higher rendezvous score for key.
func rank(key string, self candidate, all []candidate, compare func(a, b candidate) int) int {
	hash := rendezvous.Key(key)
	own := rendezvous.Score(hash, self.name)
	ahead := 0
	for _, c := range all {
		if c.name == self.name {
			continue
		}
		if d := compare(c, self); d > 0 || d == 0 && rendezvous.Score(hash, c.name) > own {
			ahead++
		}
	}
	return ahead
}

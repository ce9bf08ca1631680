package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

const (
	// MaxCrashes is how many replicas may end under a request before it is blamed: the
	// users' bound for a request that ends replicas.
	MaxCrashes = 3
	// certainLimit is how many replicas may end under a request, whatever else was in flight
	// there, before it is blamed: the usual tries of a caller, two of two attempts each,
	// bring a request that harms nobody to no more, so one that has as many and comes again
	// is none.
	certainLimit = 4
	// coincidenceWindow is how long before the last end of a request there must have been none
	// but its own: where replicas end for another reason, three of them may end under any
	// request: some tries of a caller.
	coincidenceWindow = 10 * time.Second
)

// An replicaCrash is one life of a replica that ended, as all reports of it tell together. One that
// starts again, under whatever name, may replicaCrash again: counted by names, a request that ends
// two replicas in turn would never be blamed.
type replicaCrash struct {
	replica  pool.Incarnation
	at       clock.Instant // of the first report
	requests []Fingerprint // rising
}

// A Attribution is a request with the replicas that ended under it.
type Attribution struct {
	Request  Fingerprint
	Replicas []pool.Incarnation
}

// Blame returns the requests to which the ends of replicas are put down, with those
// replicas. served is when a request was last served whole; limit is how many ends it
// takes for a request. Reports count up to settled only: before that, those of other
// instances may be missing.
func Blame(reports []Report, served func(Fingerprint) clock.Instant, limit func(Fingerprint) int, settled clock.Instant) []Attribution {
	ends := mergeReports(reports, settled)
	under := crashesByRequest(ends, served, limit)
	explained := map[*replicaCrash]bool{}
	var cases []Attribution
	blame := func(request Fingerprint) {
		cases = append(cases, Attribution{Request: request, Replicas: replicasOf(under[request])})
		for _, e := range under[request] {
			explained[e] = true
		}
		delete(under, request)
	}
	for _, request := range slices.Sorted(maps.Keys(under)) {
		if len(under[request]) >= certainLimit {
			blame(request)
		}
	}
	for {
		request, ok := nextBlamed(ends, under, explained, limit)
		if !ok {
			return cases
		}
		blame(request)
	}
}

// mergeReports puts the reports of each end together.
func mergeReports(reports []Report, settled clock.Instant) []*replicaCrash {
	byReplica := map[pool.Incarnation]*replicaCrash{}
	for _, r := range reports {
		e := byReplica[r.Replica]
		if e == nil {
			e = &replicaCrash{replica: r.Replica, at: r.At}
			byReplica[r.Replica] = e
		}
		if r.At.Before(e.at) {
			e.at = r.At
		}
		e.requests = append(e.requests, r.Requests...)
	}
	var ends []*replicaCrash
	for _, replica := range slices.SortedFunc(maps.Keys(byReplica), pool.Incarnation.Compare) {
		e := byReplica[replica]
		if settled.Before(e.at) {
			continue
		}
		slices.Sort(e.requests)
		e.requests = slices.Compact(e.requests)
		ends = append(ends, e)
	}
	return ends
}

// crashesByRequest returns the ends by request, without those after which the request was
// served, of the requests with enough ends to be blamed. Nearly all requests have one
// end, and are left out at once.
func crashesByRequest(ends []*replicaCrash, served func(Fingerprint) clock.Instant, limit func(Fingerprint) int) map[Fingerprint][]*replicaCrash {
	count := map[Fingerprint]int{}
	for _, e := range ends {
		for _, request := range e.requests {
			count[request]++
		}
	}
	under := map[Fingerprint][]*replicaCrash{}
	for _, e := range ends {
		for _, request := range e.requests {
			if request != 0 && count[request] >= limit(request) && served(request).Before(e.at) {
				under[request] = append(under[request], e)
			}
		}
	}
	return under
}

// nextBlamed returns the request with the most ends that no other explains, if these are
// enough to blame it. Where others that have as many were in flight at some of the same,
// or it may have been there by chance, more ends have to tell.
func nextBlamed(ends []*replicaCrash, under map[Fingerprint][]*replicaCrash, explained map[*replicaCrash]bool, limit func(Fingerprint) int) (Fingerprint, bool) {
	open := map[Fingerprint][]*replicaCrash{}
	at := map[*replicaCrash][]Fingerprint{}
	for request, ends := range under {
		left := slices.DeleteFunc(slices.Clone(ends), func(e *replicaCrash) bool { return explained[e] })
		if len(left) < limit(request) {
			continue
		}
		open[request] = left
		for _, e := range left {
			at[e] = append(at[e], request)
		}
	}
	byEnds := slices.SortedFunc(maps.Keys(open), func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(open[b]), len(open[a])), cmp.Compare(a, b))
	})
	disputed := map[*replicaCrash]bool{}
	for _, request := range byEnds {
		own := open[request]
		switch {
		case slices.ContainsFunc(own, func(e *replicaCrash) bool { return disputed[e] }):
		case hasRival(request, open, at):
			for _, e := range own {
				disputed[e] = true
			}
		case !maybeCoincidence(own, ends):
			return request, true
		}
	}
	return 0, false
}

// maybeCoincidence reports whether, in the time before the last of a request's own ends, there
// were others, explained or not: where replicas end for another reason, some request may
// have been at four of them, and be taken for their explanation.
func maybeCoincidence(own, ends []*replicaCrash) bool {
	last := own[0].at
	for _, e := range own {
		last = clock.Latest(last, e.at)
	}
	return slices.ContainsFunc(ends, func(e *replicaCrash) bool {
		age := last.Since(e.at)
		return age >= 0 && age < coincidenceWindow && !slices.Contains(own, e)
	})
}

// hasRival reports whether another request has as many ends, some of them the same. at
// are the requests of each end.
func hasRival(request Fingerprint, open map[Fingerprint][]*replicaCrash, at map[*replicaCrash][]Fingerprint) bool {
	return slices.ContainsFunc(open[request], func(e *replicaCrash) bool {
		return slices.ContainsFunc(at[e], func(other Fingerprint) bool {
			return other != request && len(open[other]) == len(open[request])
		})
	})
}

func replicasOf(ends []*replicaCrash) []pool.Incarnation {
	var out []pool.Incarnation
	for _, e := range ends {
		out = append(out, e.replica)
	}
	return out
}

package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

const (
	// Limit is how many replicas may end under a request before it is blamed. Not
	// measured: the users' bound for a request that ends replicas.
	Limit = 3
	// sureLimit is how many replicas may end under a request, whatever else was in flight
	// there, before it is blamed. Not measured: the usual tries of a caller, two of two
	// attempts each, bring a request that harms nobody to no more, so one that has as
	// many and comes again is none.
	sureLimit = 4
	// chanceSpan is how long before the last end of a request there must have been none
	// that it does not explain: where replicas end for another reason, three of them may
	// end under any request. Not measured: some tries of a caller.
	chanceSpan = 10 * time.Second
	// sameEnd is how far apart, by the nearer of both clocks, two reports of a replica
	// may lie that tell of one end. Not measured: above what a message takes, below the
	// seconds that a replica takes to come back.
	sameEnd = 2 * time.Second
)

// An end is one replica that ended, as all reports of it tell together.
type end struct {
	replica  string
	at       clock.Instant
	requests []Request // rising
}

// A Case is a request with the replicas that ended under it.
type Case struct {
	Request  Request
	Replicas []string
}

// Blame returns the requests to which the ends of replicas are put down, with those
// replicas. served is when a request was last served whole; limit is how many ends it
// takes for a request. Reports count up to settled only: before that, those of other
// instances may be missing.
func Blame(reports []Report, served func(Request) clock.Instant, limit func(Request) int, settled clock.Instant) []Case {
	ends := merge(reports, settled)
	under := endsUnder(ends, served, limit)
	explained := map[*end]bool{}
	var cases []Case
	blame := func(request Request) {
		cases = append(cases, Case{Request: request, Replicas: names(under[request])})
		for _, e := range under[request] {
			explained[e] = true
		}
		delete(under, request)
	}
	for _, request := range slices.Sorted(maps.Keys(under)) {
		if len(under[request]) >= sureLimit {
			blame(request)
		}
	}
	for {
		request, ok := strongest(ends, under, explained, limit)
		if !ok {
			return cases
		}
		blame(request)
	}
}

// merge puts the reports of each end together.
func merge(reports []Report, settled clock.Instant) []*end {
	sorted := slices.SortedFunc(slices.Values(reports), func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.At.Mono, b.At.Mono), cmp.Compare(a.Observer, b.Observer))
	})
	var ends []*end
	for _, r := range sorted {
		if len(ends) > 0 {
			if last := ends[len(ends)-1]; last.replica == r.Replica && same(last.at, r.At) {
				last.requests = append(last.requests, r.Requests...)
				continue
			}
		}
		ends = append(ends, &end{replica: r.Replica, at: r.At, requests: slices.Clone(r.Requests)})
	}
	ends = slices.DeleteFunc(ends, func(e *end) bool { return settled.Before(e.at) })
	for _, e := range ends {
		slices.Sort(e.requests)
		e.requests = slices.Compact(e.requests)
	}
	return ends
}

// same reports whether two instants may be those of one end. One clock alone is not
// asked: one stops while the machine sleeps, the other may be set.
func same(a, b clock.Instant) bool {
	return min(a.Since(b).Abs(), a.Wall.Sub(b.Wall).Abs()) < sameEnd
}

// endsUnder returns the ends by request, without those after which the request was
// served, of the requests with enough ends to be blamed. Nearly all requests have one
// end, and are left out at once.
func endsUnder(ends []*end, served func(Request) clock.Instant, limit func(Request) int) map[Request][]*end {
	count := map[Request]int{}
	for _, e := range ends {
		for _, request := range e.requests {
			count[request]++
		}
	}
	under := map[Request][]*end{}
	for _, e := range ends {
		for _, request := range e.requests {
			if request != 0 && count[request] >= limit(request) && served(request).Before(e.at) {
				under[request] = append(under[request], e)
			}
		}
	}
	return under
}

// strongest returns the request with the most ends that no other explains, if these are
// enough to blame it. Where others that have as many were in flight at some of the same,
// or it may have been there by chance, more ends have to tell.
func strongest(ends []*end, under map[Request][]*end, explained map[*end]bool, limit func(Request) int) (Request, bool) {
	open := map[Request][]*end{}
	for request, ends := range under {
		left := slices.DeleteFunc(slices.Clone(ends), func(e *end) bool { return explained[e] })
		if len(left) >= limit(request) {
			open[request] = left
		}
	}
	byEnds := slices.SortedFunc(maps.Keys(open), func(a, b Request) int {
		return cmp.Or(cmp.Compare(len(open[b]), len(open[a])), cmp.Compare(a, b))
	})
	disputed := map[*end]bool{}
	for _, request := range byEnds {
		if slices.ContainsFunc(open[request], func(e *end) bool { return disputed[e] }) {
			continue
		}
		if !slices.ContainsFunc(byEnds, func(other Request) bool { return rivals(request, other, open) }) {
			if !byChance(open[request], ends, explained) {
				return request, true
			}
			continue
		}
		for _, e := range open[request] {
			disputed[e] = true
		}
	}
	return 0, false
}

// byChance reports whether, in the time before the last of a request's own ends, there
// were others that nothing explains.
func byChance(own, ends []*end, explained map[*end]bool) bool {
	last := own[0].at
	for _, e := range own {
		last = clock.Latest(last, e.at)
	}
	return slices.ContainsFunc(ends, func(e *end) bool {
		age := last.Since(e.at)
		return age >= 0 && age < chanceSpan && !explained[e] && !slices.Contains(own, e)
	})
}

// rivals reports whether another request has as many ends, some of them the same.
func rivals(request, other Request, open map[Request][]*end) bool {
	return request != other && len(open[other]) == len(open[request]) &&
		slices.ContainsFunc(open[other], func(e *end) bool { return slices.Contains(open[request], e) })
}

func names(ends []*end) []string {
	var out []string
	for _, e := range ends {
		out = append(out, e.replica)
	}
	return out
}

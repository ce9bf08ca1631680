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
	// MaxCrashes is how many replicas may end under a request before it is blamed: the users'
	// bound for a request that crashes replicas.
	MaxCrashes = 3
	// certainLimit is how many replicas may end under a request before it is blamed regardless
	// of what else was in flight there. The usual tries of a caller, two with two attempts
	// each, bring a harmless request to no more replicas than that, so a request with as many
	// crashes that is sent again is not harmless.
	certainLimit = 4
	// coincidenceWindow is the time before the last crash of a request in which there must have
	// been no crashes but its own. If replicas end for another reason, three of them may end
	// under any request, through a few tries of its caller.
	coincidenceWindow = 10 * time.Second
)

// A replicaCrash is the end of one incarnation of a replica, merged from all reports of it.
// Crashes are counted by incarnation, since a restarted replica may crash again, under any
// name: counted by name, a request that crashes two replicas in turn would never be blamed.
type replicaCrash struct {
	replica  pool.Incarnation
	at       clock.Instant // time of the earliest report
	requests []Fingerprint // in ascending order
}

// An Attribution is a request that is blamed, with the replicas that ended under it.
type Attribution struct {
	Request  Fingerprint
	Replicas []pool.Incarnation
}

// Blame returns the requests to blame for the crashes in the reports, with the replicas that
// ended under them. served returns when a request last succeeded; limit returns how many
// crashes are needed to blame a request. Only reports up to settled count: later ones may be
// incomplete, because those of other instances may not have arrived.
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

// mergeReports merges the reports of each crash.
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

// crashesByRequest returns the crashes by request, for the requests with enough crashes to be
// blamed, without the crashes after which the request succeeded. Nearly all requests have one
// crash and are skipped early.
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

// nextBlamed returns the request with the most crashes that no other request explains, if they
// are enough to blame it. If another request has as many crashes, some of them the same, or if
// the request may have been there by coincidence, it is not blamed before more crashes decide.
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

// maybeCoincidence reports whether other crashes, explained or not, happened within
// coincidenceWindow before the last of a request's own crashes. If replicas end for another
// reason, some request may have been at four of them and appear to explain them.
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

// hasRival reports whether another request has as many crashes, some of them the same. at maps
// each crash to its requests.
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

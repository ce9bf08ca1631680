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
	// of what else was in flight there. A caller usually sends a request twice, with two
	// attempts each, which bring a harmless request to no more replicas than that. A request
	// with as many crashes that is sent again is therefore not harmless.
	certainLimit = 4
	// coincidenceWindow is the time before the last crash of a request in which there must have
	// been no crashes but its own. If replicas end for another reason, three of them may end
	// under any request, if its caller retries it a few times.
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
	crashes := mergeReports(reports, settled)
	byRequest := crashesByRequest(crashes, served, limit)
	explained := map[*replicaCrash]bool{}
	var attributions []Attribution
	blame := func(request Fingerprint) {
		attributions = append(attributions, Attribution{Request: request, Replicas: replicasOf(byRequest[request])})
		for _, c := range byRequest[request] {
			explained[c] = true
		}
		delete(byRequest, request)
	}
	for _, request := range slices.Sorted(maps.Keys(byRequest)) {
		if len(byRequest[request]) >= certainLimit {
			blame(request)
		}
	}
	for {
		request, ok := nextBlamed(crashes, byRequest, explained, limit)
		if !ok {
			return attributions
		}
		blame(request)
	}
}

// mergeReports merges the reports of each crash.
func mergeReports(reports []Report, settled clock.Instant) []*replicaCrash {
	byReplica := map[pool.Incarnation]*replicaCrash{}
	for _, r := range reports {
		c := byReplica[r.Replica]
		if c == nil {
			c = &replicaCrash{replica: r.Replica, at: r.At}
			byReplica[r.Replica] = c
		}
		if r.At.Before(c.at) {
			c.at = r.At
		}
		for _, request := range r.Requests {
			c.requests = append(c.requests, request.Fingerprint)
		}
	}
	var crashes []*replicaCrash
	for _, replica := range slices.SortedFunc(maps.Keys(byReplica), pool.Incarnation.Compare) {
		c := byReplica[replica]
		if settled.Before(c.at) {
			continue
		}
		slices.Sort(c.requests)
		c.requests = slices.Compact(c.requests)
		crashes = append(crashes, c)
	}
	return crashes
}

// crashesByRequest returns the crashes by request, for the requests with enough crashes to be
// blamed, without the crashes after which the request succeeded. Nearly all requests have one
// crash and are skipped early.
func crashesByRequest(crashes []*replicaCrash, served func(Fingerprint) clock.Instant, limit func(Fingerprint) int) map[Fingerprint][]*replicaCrash {
	count := map[Fingerprint]int{}
	for _, c := range crashes {
		for _, request := range c.requests {
			count[request]++
		}
	}
	byRequest := map[Fingerprint][]*replicaCrash{}
	for _, c := range crashes {
		for _, request := range c.requests {
			if request != 0 && count[request] >= limit(request) && served(request).Before(c.at) {
				byRequest[request] = append(byRequest[request], c)
			}
		}
	}
	return byRequest
}

// nextBlamed returns the request with the most crashes that no other request explains, if they
// are enough to blame it. If another request has as many crashes, some of them the same, or if
// the request may have been there by coincidence, it is not blamed before more crashes decide.
func nextBlamed(crashes []*replicaCrash, byRequest map[Fingerprint][]*replicaCrash, explained map[*replicaCrash]bool, limit func(Fingerprint) int) (Fingerprint, bool) {
	candidates := map[Fingerprint][]*replicaCrash{}
	requestsAt := map[*replicaCrash][]Fingerprint{}
	for request, crashes := range byRequest {
		unexplained := slices.DeleteFunc(slices.Clone(crashes), func(c *replicaCrash) bool { return explained[c] })
		if len(unexplained) < limit(request) {
			continue
		}
		candidates[request] = unexplained
		for _, c := range unexplained {
			requestsAt[c] = append(requestsAt[c], request)
		}
	}
	byCrashes := slices.SortedFunc(maps.Keys(candidates), func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(len(candidates[b]), len(candidates[a])), cmp.Compare(a, b))
	})
	disputed := map[*replicaCrash]bool{}
	for _, request := range byCrashes {
		own := candidates[request]
		switch {
		case slices.ContainsFunc(own, func(c *replicaCrash) bool { return disputed[c] }):
		case hasRival(request, candidates, requestsAt):
			for _, c := range own {
				disputed[c] = true
			}
		case !maybeCoincidence(own, crashes):
			return request, true
		}
	}
	return 0, false
}

// maybeCoincidence reports whether other crashes, explained or not, happened within
// coincidenceWindow before the last of a request's own crashes. If replicas end for another
// reason, some request may have been at four of them and appear to explain them.
func maybeCoincidence(own, crashes []*replicaCrash) bool {
	last := own[0].at
	for _, c := range own {
		last = clock.Latest(last, c.at)
	}
	return slices.ContainsFunc(crashes, func(c *replicaCrash) bool {
		age := last.Since(c.at)
		return age >= 0 && age < coincidenceWindow && !slices.Contains(own, c)
	})
}

// hasRival reports whether another request has as many crashes, some of them the same.
// requestsAt maps each crash to its requests.
func hasRival(request Fingerprint, candidates map[Fingerprint][]*replicaCrash, requestsAt map[*replicaCrash][]Fingerprint) bool {
	return slices.ContainsFunc(candidates[request], func(c *replicaCrash) bool {
		return slices.ContainsFunc(requestsAt[c], func(other Fingerprint) bool {
			return other != request && len(candidates[other]) == len(candidates[request])
		})
	})
}

// replicasOf returns the replicas of the crashes.
func replicasOf(crashes []*replicaCrash) []pool.Incarnation {
	var out []pool.Incarnation
	for _, c := range crashes {
		out = append(out, c.replica)
	}
	return out
}

package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
	"github.com/birchdrift/birchdrift/core/pool"
)

// coincidenceWindow is the time before the last crash of a cause in which there must have been no
// crashes but its own. If replicas end for another reason, three of them may end under any request,
// if its caller retries it a few times.
const coincidenceWindow = 10 * time.Second

// A History is what is known of traits beside the reports of crashes.
type History struct {
	// Served returns when a request with a trait last succeeded, zero if that is not known.
	Served func(Trait) clock.Instant
	// Blamed are the causes that were blamed before. For them one more crash is enough.
	Blamed []Cause
}

// LastSuccess returns when a request with all traits of a cause last succeeded, at the latest.
func (h History) LastSuccess(c Cause) clock.Instant {
	at := h.Served(c[0])
	for _, t := range c[1:] {
		if other := h.Served(t); other.Before(at) {
			at = other
		}
	}
	return at
}

// An inFlight is a request that was in flight at a replica that ended.
type inFlight struct {
	whole  Trait
	traits []Trait // whole first
}

// A replicaCrash is the end of one incarnation of a replica, merged from all reports of it.
// Crashes are counted by incarnation, since a restarted replica may crash again, under any
// name: counted by name, a request that crashes two replicas in turn would never be blamed.
type replicaCrash struct {
	index    int // among the merged crashes
	replica  pool.Incarnation
	at       clock.Instant // time of the earliest report
	requests []inFlight    // in ascending order of whole
}

// has reports whether a request with all traits of a cause was in flight.
func (c *replicaCrash) has(cause Cause) bool {
	return slices.ContainsFunc(c.requests, func(r inFlight) bool { return cause.Covers(r.traits) })
}

// An Attribution is a cause that is blamed, with the replicas that ended under requests with it.
type Attribution struct {
	Cause    Cause
	Replicas []pool.Incarnation
}

// Blame returns the causes to blame for the crashes in the reports. Only reports up to settled
// count: later ones may be incomplete, because those of other instances may not have arrived.
func Blame(reports []Report, known History, settled clock.Instant) []Attribution {
	j := newJudge(mergeReports(reports, settled), known)
	var attributions []Attribution
	for {
		blamed := j.nextBlamed()
		if len(blamed) == 0 {
			return attributions
		}
		for _, c := range blamed {
			attributions = append(attributions, Attribution{Cause: c.cause, Replicas: replicasOf(j.crashesUnder(c.cause))})
		}
		for _, c := range blamed {
			j.explain(c)
		}
	}
}

// Held returns the causes other than whole requests under which so many replicas ended that
// requests with them are sent one after the other.
func Held(reports []Report, known History, now clock.Instant) []Cause {
	j := newJudge(mergeReports(reports, now), known)
	var held []Cause
	for {
		heaviest := j.heaviest()
		if len(heaviest) == 0 {
			return held
		}
		for _, c := range heaviest {
			if c.held() {
				held = append(held, c.cause)
			}
		}
		for _, c := range heaviest {
			j.explain(c)
		}
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
		for _, traits := range r.Traits() {
			if len(traits) > 0 {
				c.requests = append(c.requests, inFlight{whole: traits[0], traits: traits})
			}
		}
	}
	var crashes []*replicaCrash
	for _, replica := range slices.SortedFunc(maps.Keys(byReplica), pool.Incarnation.Compare) {
		c := byReplica[replica]
		if settled.Before(c.at) {
			continue
		}
		slices.SortStableFunc(c.requests, func(a, b inFlight) int { return cmp.Compare(a.whole, b.whole) })
		c.requests = slices.CompactFunc(c.requests, func(a, b inFlight) bool { return a.whole == b.whole })
		c.index = len(crashes)
		crashes = append(crashes, c)
	}
	return crashes
}

// A judge finds the causes that explain crashes.
type judge struct {
	known     History
	crashes   []*replicaCrash
	wholes    map[Trait]bool            // traits of being one request
	byTrait   map[Trait][]*replicaCrash // that count against it, for the traits with enough of them
	explained map[*replicaCrash]explanation
}

// An explanation says what explains a crash.
type explanation int

// The explanations.
const (
	notExplained explanation = iota
	byWhole                  // a whole request
	byPart                   // a part of prompts
)

func newJudge(crashes []*replicaCrash, known History) *judge {
	j := &judge{known: known, crashes: crashes, wholes: map[Trait]bool{}, byTrait: map[Trait][]*replicaCrash{}, explained: map[*replicaCrash]explanation{}}
	count := map[Trait]int{}
	traits := make([][]crashTrait, len(crashes))
	for i, c := range crashes {
		traits[i] = c.traits()
		for _, t := range traits[i] {
			count[t.trait]++
		}
	}
	blamed := map[Trait]bool{}
	for _, cause := range known.Blamed {
		if len(cause) == 1 {
			blamed[cause[0]] = true
		}
	}
	for i, c := range crashes {
		for _, t := range traits[i] {
			// Nearly all traits have one crash and are skipped here.
			if (count[t.trait] >= heldPartCrashes || blamed[t.trait]) && known.Served(t.trait).Before(c.at) {
				j.byTrait[t.trait] = append(j.byTrait[t.trait], c)
				j.wholes[t.trait] = t.whole
			}
		}
	}
	return j
}

// A crashTrait is a trait of a request that was in flight at a crash.
type crashTrait struct {
	trait Trait
	whole bool // the trait of being one request
}

// traits returns the traits of the requests in flight, each once.
func (c *replicaCrash) traits() []crashTrait {
	var traits []crashTrait
	for _, r := range c.requests {
		for _, t := range r.traits {
			traits = append(traits, crashTrait{trait: t, whole: t == r.whole})
		}
	}
	slices.SortFunc(traits, func(a, b crashTrait) int { return cmp.Compare(a.trait, b.trait) })
	return slices.CompactFunc(traits, func(a, b crashTrait) bool { return a.trait == b.trait })
}

// explain records that a candidate explains its crashes.
func (j *judge) explain(c candidate) {
	by := byPart
	if c.whole {
		by = byWhole
	}
	for _, x := range c.crashes {
		j.explained[x] = max(j.explained[x], by)
	}
}

// explainedUpTo returns the crashes that have no better explanation than most.
func (j *judge) explainedUpTo(most explanation, crashes []*replicaCrash) []*replicaCrash {
	return slices.DeleteFunc(slices.Clone(crashes), func(c *replicaCrash) bool { return j.explained[c] > most })
}

// unexplained returns the crashes of a trait that nothing else explains. What single requests explain
// may still be due to a part, if other requests with it were at further crashes.
func (j *judge) unexplained(t Trait) []*replicaCrash {
	all := j.explainedUpTo(notExplained, j.byTrait[t])
	if j.wholes[t] || len(all) < minFurtherCrashes {
		return all
	}
	return j.explainedUpTo(byWhole, j.byTrait[t])
}

// crashesUnder returns all crashes that count against a cause.
func (j *judge) crashesUnder(cause Cause) []*replicaCrash {
	served := j.known.LastSuccess(cause)
	return slices.DeleteFunc(slices.Clone(j.crashes), func(c *replicaCrash) bool { return !served.Before(c.at) || !c.has(cause) })
}

// candidates returns the causes of the unexplained crashes, the best explanation first.
func (j *judge) candidates() []candidate {
	bySet := map[string][]Trait{}
	sets := map[string][]*replicaCrash{}
	for _, t := range slices.Sorted(maps.Keys(j.byTrait)) {
		crashes := j.unexplained(t)
		if len(crashes) == 0 {
			continue
		}
		key := setKey(crashes)
		bySet[key] = append(bySet[key], t)
		sets[key] = crashes
	}
	var out []candidate
	for _, key := range slices.Sorted(maps.Keys(bySet)) {
		for _, cause := range j.group(bySet[key], sets[key]) {
			out = append(out, j.newCandidate(cause, sets[key]))
		}
	}
	for _, cause := range j.known.Blamed {
		out = j.addBlamed(out, cause)
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight(), a.weight()), cmp.Compare(len(a.cause), len(b.cause)), slices.Compare(a.cause, b.cause))
	})
	return out
}

func (j *judge) newCandidate(cause Cause, crashes []*replicaCrash) candidate {
	return candidate{cause: cause, crashes: crashes, whole: len(cause) == 1 && j.wholes[cause[0]], served: !j.known.LastSuccess(cause).IsZero()}
}

// setKey returns a string that is the same for the same crashes.
func setKey(crashes []*replicaCrash) string {
	key := make([]byte, 0, 2*len(crashes))
	for _, c := range crashes {
		key = append(key, byte(c.index>>8), byte(c.index))
	}
	return string(key)
}

// group returns the causes that traits with the same crashes make up. Traits that the same request
// had at each crash cannot be told apart and are one cause. If one request was at all of them, it is
// the cause; if several were, what they have in common is.
func (j *judge) group(traits []Trait, crashes []*replicaCrash) []Cause {
	if len(traits) == 1 {
		return []Cause{newCause(traits[0])}
	}
	joint := map[Trait][]Trait{}
	for _, t := range traits {
		joint[t] = jointTraits(t, traits, crashes)
	}
	var out []Cause
	used := map[Trait]bool{}
	for _, t := range traits {
		if j.wholes[t] {
			continue
		}
		var wholes []Trait
		parts := []Trait{}
		for _, other := range joint[t] {
			if j.wholes[other] {
				wholes = append(wholes, other)
			} else {
				parts = append(parts, other)
			}
		}
		switch {
		case len(wholes) == 1:
			used[t] = true
		case used[t]:
		default:
			out = append(out, newCause(parts...))
			for _, other := range joint[t] {
				used[other] = true
			}
		}
	}
	for _, t := range traits {
		if j.wholes[t] && !used[t] {
			out = append(out, newCause(t))
		}
	}
	return out
}

// jointTraits returns those of the traits that some request had together with t at each crash, t
// among them.
func jointTraits(t Trait, traits []Trait, crashes []*replicaCrash) []Trait {
	joint := slices.Clone(traits)
	for _, c := range crashes {
		joint = slices.DeleteFunc(joint, func(other Trait) bool { return !c.hasBoth(t, other) })
	}
	return joint
}

// hasBoth reports whether a request with two traits was in flight.
func (c *replicaCrash) hasBoth(a, b Trait) bool {
	return slices.ContainsFunc(c.requests, func(r inFlight) bool { return slices.Contains(r.traits, a) && slices.Contains(r.traits, b) })
}

// addBlamed adds a cause that was blamed before to the candidates, or marks it among them.
func (j *judge) addBlamed(candidates []candidate, cause Cause) []candidate {
	for i := range candidates {
		if slices.Equal(candidates[i].cause, cause) {
			candidates[i].blamed = true
			return candidates
		}
	}
	crashes := j.explainedUpTo(notExplained, j.crashesUnder(cause))
	if len(crashes) == 0 {
		return candidates
	}
	c := j.newCandidate(cause, crashes)
	c.blamed = true
	return append(candidates, c)
}

// heaviest returns the best candidates: all with the greatest weight.
func (j *judge) heaviest() []candidate {
	all := j.candidates()
	n := 0
	for n < len(all) && all[n].weight() == all[0].weight() {
		n++
	}
	return all[:n]
}

// nextBlamed returns the explanations of crashes that nothing else explains and that are good enough
// to be blamed, the best first. Causes that explain as many crashes, some of them the same, are
// rivals: none is blamed before more crashes decide, or all are if that many are certain. What
// shares crashes with a better explanation is left to the next call.
func (j *judge) nextBlamed() []candidate {
	candidates := slices.DeleteFunc(j.candidates(), func(c candidate) bool {
		enough, _ := c.suffices()
		return !enough
	})
	var blamed []candidate
	taken := map[*replicaCrash]bool{} // by better explanations, or disputed
	for i, c := range candidates {
		if slices.ContainsFunc(c.crashes, func(x *replicaCrash) bool { return taken[x] }) {
			take(taken, c)
			continue
		}
		rivals := rivalsOf(c, candidates[i+1:])
		switch _, certain := c.suffices(); {
		case certain:
			blamed = append(blamed, c)
			blamed = append(blamed, slices.DeleteFunc(rivals, func(r candidate) bool {
				_, certain := r.suffices()
				return !certain
			})...)
		case len(rivals) == 0 && (c.recurred() || !maybeCoincidence(c.crashes, j.crashes)):
			blamed = append(blamed, c)
		case len(rivals) == 0:
			continue // others may explain some of its crashes
		}
		take(taken, c)
	}
	return blamed
}

// take records that a candidate's crashes need no other explanation for now.
func take(taken map[*replicaCrash]bool, c candidate) {
	for _, x := range c.crashes {
		taken[x] = true
	}
}

// rivalsOf returns those of the following candidates, the best first, that explain as many crashes,
// some of them the same. A part with which requests were served before has rivals that explain a few
// crashes less, too.
func rivalsOf(c candidate, following []candidate) []candidate {
	least := c.weight()
	if c.isServedPart() {
		least -= minFurtherCrashes - 1
	}
	var rivals []candidate
	for _, other := range following {
		if other.weight() < least {
			break
		}
		if c.overlaps(other) {
			rivals = append(rivals, other)
		}
	}
	return rivals
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

// replicasOf returns the replicas of the crashes.
func replicasOf(crashes []*replicaCrash) []pool.Incarnation {
	var out []pool.Incarnation
	for _, c := range crashes {
		out = append(out, c.replica)
	}
	return out
}

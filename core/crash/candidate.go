package crash

import (
	"cmp"
	"slices"
	"time"

	"github.com/birchdrift/birchdrift/core/clock"
)

// Limits for a whole request.
const (
	// MaxCrashes is how many replicas may end under a request before it is blamed: the users'
	// bound for a request that crashes replicas.
	MaxCrashes = 3
	// certainLimit is how many replicas may end under a request before it is blamed regardless
	// of what else was in flight there. A caller usually sends a request twice, with two
	// attempts each, which bring a harmless request to no more replicas than that. A request
	// with as many crashes that is sent again is therefore not harmless.
	certainLimit = 4
)

// Limits for parts of prompts. They count occasions: replicas that end at the same moment may have
// a common cause, and requests with a popular part are at each of them.
const (
	// minPartOccasions is on how many occasions replicas may end under a part with which no
	// request was served yet, before it is blamed.
	minPartOccasions = 3
	// certainPartOccasions is the same, regardless of what else was in flight there or crashed at
	// the time.
	certainPartOccasions = 5
	// minPartTurns is how many further replicas must end under a part while requests with it are
	// sent one after the other, whatever else crashed at the time. For a part with which requests
	// were served before the crashes, but none since, only these count: a popular part is in flight
	// at most replicas, and when many end in a short time none of its requests may be served in
	// between; sent one after the other, one soon is.
	minPartTurns = 2
	// turnGap is the least time between two crashes under requests that are sent one after the
	// other.
	turnGap = 500 * time.Millisecond
	// occasionGap is the least time between two occasions.
	occasionGap = 100 * time.Millisecond
	// minFurtherCrashes is at how many crashes beside those that single requests explain requests
	// with a part must have been, for it to explain these as well.
	minFurtherCrashes = 2
)

// Limits from which requests with a part are held back: sent one after the other.
const (
	// heldPartCrashes is how many replicas must have ended under a part with which no request was
	// served yet.
	heldPartCrashes = 2
	// heldServedCrashes is the same for a part with which requests were served before.
	heldServedCrashes = 5
)

// A candidate is a cause that may explain crashes that nothing else explains.
type candidate struct {
	cause   Cause
	crashes []*replicaCrash // in the order of their replicas
	whole   bool            // the cause is a whole request
	served  bool            // requests with each of its traits were served before the crashes
	blamed  bool            // it was blamed before
}

// weight returns how well the candidate explains its crashes. A part with which requests were
// served before the crashes is a less likely cause.
func (c candidate) weight() int {
	if c.isServedPart() {
		return len(c.crashes)
	}
	return 2 * len(c.crashes)
}

// times returns when the replicas ended, in ascending order.
func (c candidate) times() []clock.Instant {
	var times []clock.Instant
	for _, x := range c.crashes {
		times = append(times, x.at)
	}
	slices.SortFunc(times, func(a, b clock.Instant) int { return cmp.Compare(a.Mono, b.Mono) })
	return times
}

// occasions returns the number of moments at which replicas ended.
func (c candidate) occasions() int {
	n := 0
	var last clock.Instant
	for _, at := range c.times() {
		if n == 0 || at.Since(last) >= occasionGap {
			n++
			last = at
		}
	}
	return n
}

// turns returns the number of replicas that ended after requests with the cause were held back.
func (c candidate) turns() int {
	n := 0
	times := c.times()
	for i := c.heldCrashes(); i < len(times); i++ {
		if times[i].Since(times[i-1]) >= turnGap {
			n++
		}
	}
	return n
}

// isServedPart reports whether the cause is a part with which requests were served before the crashes.
func (c candidate) isServedPart() bool { return c.served && !c.whole }

// suffices reports whether there are enough crashes to blame the candidate, and whether there are so
// many that nothing else needs to be considered.
func (c candidate) suffices() (enough, certain bool) {
	switch {
	case c.whole:
		n := len(c.crashes)
		return n >= MaxCrashes || c.blamed, n >= certainLimit
	case c.served:
		return c.recurred() || c.blamed, false
	default:
		n := c.occasions()
		return n >= minPartOccasions || c.recurred() || c.blamed, n >= certainPartOccasions
	}
}

// heldCrashes returns from how many crashes on requests with a part are held back.
func (c candidate) heldCrashes() int {
	if c.served {
		return heldServedCrashes
	}
	return heldPartCrashes
}

// recurred reports whether replicas ended under a part while requests with it were held back.
func (c candidate) recurred() bool { return !c.whole && c.turns() >= minPartTurns }

// held reports whether requests with the cause are sent one after the other. For whole requests
// that is decided by their own crashes (docs/design/quarantine.md).
func (c candidate) held() bool { return !c.whole && (c.blamed || len(c.crashes) >= c.heldCrashes()) }

// overlaps reports whether both candidates explain some of the same crashes.
func (c candidate) overlaps(other candidate) bool {
	return slices.ContainsFunc(c.crashes, func(x *replicaCrash) bool { return slices.Contains(other.crashes, x) })
}

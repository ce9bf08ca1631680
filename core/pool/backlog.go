package pool

import "time"

// Ranks is how many ranks of urgency calls have, 0 the most urgent. Not measured:
// the platform's engines tell ten apart.
const Ranks = 10

// A Backlog is the work on prompts that is still to be done at an engine, by the
// rank of the calls. An engine reads the prompts of more urgent calls first, so
// what a call waits for is the part of its own rank and above.
type Backlog [Ranks]time.Duration

// Before returns the work that is done before that of a new call of the rank.
func (b Backlog) Before(rank int) time.Duration {
	var sum time.Duration
	for _, work := range b[:RankOf(rank)+1] {
		sum += work
	}
	return sum
}

// add adds another backlog.
func (b *Backlog) add(other Backlog) {
	for rank, work := range other {
		b[rank] += work
	}
}

// RankOf returns the rank as which engines take a route's rank: all beyond the
// least urgent one that they tell apart are alike.
func RankOf(rank int) int { return min(max(rank, 0), Ranks-1) }

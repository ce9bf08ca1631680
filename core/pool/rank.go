package pool

import "time"

// Ranks is the number of priority ranks of calls, 0 being the most urgent: the platform's
// engines distinguish ten.
const Ranks = 10

// ByRank is an amount split by the priority rank of the calls. An engine runs more urgent calls
// first and preempts less urgent ones for them, so a call waits only for the amounts of its own
// rank and of more urgent ones.
type ByRank[T int | time.Duration] [Ranks]T

// UpTo returns the amount of the calls of a rank and of all more urgent ones.
func (b ByRank[T]) UpTo(rank int) T {
	var sum T
	for _, amount := range b[:RankOf(rank)+1] {
		sum += amount
	}
	return sum
}

// Sum returns the amount of all calls.
func (b ByRank[T]) Sum() T { return b.UpTo(Ranks - 1) }

// add adds another amount rank by rank.
func (b *ByRank[T]) add(other ByRank[T]) {
	for rank, amount := range other {
		b[rank] += amount
	}
}

// RankOf returns the rank that engines use for a route's rank. Ranks beyond the least urgent
// one that engines distinguish are equal to it.
func RankOf(rank int) int { return min(max(rank, 0), Ranks-1) }

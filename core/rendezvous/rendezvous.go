// Package rendezvous implements rendezvous hashing: instances that know the same
// candidates compute the same ranking of them for a key without exchanging messages.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Key returns the hash key of a name, such as that of a task or an engine.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of a candidate for a key; the candidate with the highest score
// ranks first.
func Score(key uint64, candidate string) uint64 {
	h := key ^ xxhash.Sum64String(candidate)
	// One round of a 64-bit finalizer mixes the bits; without it, keys that differ in few
	// bits would rank the candidates alike.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

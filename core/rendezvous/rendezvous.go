// Package rendezvous provides rendezvous hashing: instances that know the same
// candidates agree on an order of them for a key, without exchanging a message.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Key returns the key of a name, such as that of a task or an engine.
func Key(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of a candidate for a key; the one with the highest
// comes first.
func Score(key uint64, candidate string) uint64 {
	h := key ^ xxhash.Sum64String(candidate)
	// One round of a 64-bit finaliser spreads the combination; without it,
	// keys that differ in few bits would rank names alike.
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}

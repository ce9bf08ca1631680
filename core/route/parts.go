package route

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A PromptPart is one shared part of a prompt, identified by its caller.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// A link is one part of a chain. Its hash covers the model and all parts up to and
// including this one, so equal hashes mean equal prompts up to this part.
type link struct {
	hash   uint64
	tokens int // number of tokens of this part alone
}

// A HashChain holds the chained hashes of a prompt's parts for one model or adapter. An
// engine reuses a cached part only for the same model and after the same parts.
type HashChain struct{ links []link }

// NewHashChain returns the chain of a prompt's parts for an item (a model or adapter).
func NewHashChain(item string, parts []PromptPart) HashChain {
	c := HashChain{links: make([]link, 0, len(parts))}
	hash := xxhash.Sum64String(item)
	var buf [16]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(buf[:8], hash)
		binary.LittleEndian.PutUint64(buf[8:], p.ID)
		hash = xxhash.Sum64(buf[:])
		c.links = append(c.links, link{hash: hash, tokens: p.Tokens})
	}
	return c
}

// First returns the hash of the first part; ok is false if the chain is empty.
func (c HashChain) First() (hash uint64, ok bool) {
	if len(c.links) == 0 {
		return 0, false
	}
	return c.links[0].hash, true
}

// A PrefixCache is this instance's model of one engine's prefix cache: the parts that
// it sent there most recently, up to a number of tokens.
type PrefixCache struct {
	capacity int
	tokens   int
	recent   *list.List // of link, most recently used first
	byHash   map[uint64]*list.Element
}

// NewPrefixCache returns an empty cache with a capacity in tokens.
func NewPrefixCache(capacity int) *PrefixCache {
	return &PrefixCache{capacity: capacity, recent: list.New(), byHash: map[uint64]*list.Element{}}
}

// Add records that a prompt with this chain was read, and evicts the least recently used
// parts beyond the capacity.
func (c *PrefixCache) Add(chain HashChain) {
	for _, l := range chain.links {
		if el, ok := c.byHash[l.hash]; ok {
			c.recent.MoveToFront(el)
			continue
		}
		c.byHash[l.hash] = c.recent.PushFront(l)
		c.tokens += l.tokens
	}
	for c.tokens > c.capacity && c.recent.Len() > 0 {
		last := c.recent.Remove(c.recent.Back()).(link)
		delete(c.byHash, last.hash)
		c.tokens -= last.tokens
	}
}

// CachedTokens returns the number of tokens of the chain's leading parts that are in the
// cache. A nil cache holds nothing.
func (c *PrefixCache) CachedTokens(chain HashChain) int {
	if c == nil {
		return 0
	}
	tokens := 0
	for _, l := range chain.links {
		if _, ok := c.byHash[l.hash]; !ok {
			break
		}
		tokens += l.tokens
	}
	return tokens
}

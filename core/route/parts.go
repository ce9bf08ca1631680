package route

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// A PromptPart is one shared part of a prompt, as its caller names it.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// A link is one part of a chain: its hash covers the model and every part up to
// and including this one, so that equal hashes mean equal prompts up to there.
type link struct {
	hash   uint64
	tokens int // of this part alone
}

// A HashChain is the hashed form of a prompt's parts on one model or adapter. An
// engine reuses a part only for the same model and after the same parts.
type HashChain struct{ links []link }

// NewHashChain returns the chain of a prompt's parts on an item.
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

// First returns the hash of the first part; ok is false for a chain without parts.
func (c HashChain) First() (hash uint64, ok bool) {
	if len(c.links) == 0 {
		return 0, false
	}
	return c.links[0].hash, true
}

// A PrefixCache is what this instance believes one engine's prompt memory to hold:
// the parts that it sent there last, up to a number of tokens.
type PrefixCache struct {
	capacity int
	tokens   int
	recent   *list.List // of link, most recent first
	byHash   map[uint64]*list.Element
}

// NewPrefixCache returns an empty cache of so many tokens.
func NewPrefixCache(capacity int) *PrefixCache {
	return &PrefixCache{capacity: capacity, recent: list.New(), byHash: map[uint64]*list.Element{}}
}

// Add notes that a prompt with this chain was read.
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

// CachedTokens returns the tokens of the chain's leading parts that the cache holds.
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

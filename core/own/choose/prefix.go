package choose

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Sizes of prefixes.
const (
	blockBytes  = 1024 // bytes of prompt per block
	blockTokens = blockBytes / BytesPerToken
	maxBlocks   = 16
	// BytesPerToken is the approximate number of bytes per token, used to estimate the
	// length of prompts that no tokenizer has processed yet.
	BytesPerToken = 4
)

// A Prefix is the chain of hashes of a prompt's leading blocks. The hash of block i
// covers blocks 0 to i, so that equal hashes mean equal prompts up to that block.
type Prefix struct{ blocks []uint64 }

// NewPrefix returns the prefix of a prompt for the given model. The prefix of a prompt
// shorter than one block is empty.
func NewPrefix(model, prompt string) Prefix {
	var p Prefix
	h := xxhash.New()
	_, _ = h.WriteString(model) // never fails
	for i := 0; i < maxBlocks && (i+1)*blockBytes <= len(prompt); i++ {
		_, _ = h.WriteString(prompt[i*blockBytes : (i+1)*blockBytes])
		p.blocks = append(p.blocks, h.Sum64())
	}
	return p
}

// Tokens returns the approximate number of tokens that the prefix covers.
func (p Prefix) Tokens() int { return len(p.blocks) * blockTokens }

// A PrefixIndex records to which replica each prompt block was last sent. It is bounded
// and evicts the least recently used blocks.
type PrefixIndex struct {
	size   int
	lru    *list.List // of indexEntry, most recently used first
	byHash map[uint64]*list.Element
}

// An indexEntry is the replica to which the block with the hash was last sent.
type indexEntry struct {
	hash    uint64
	replica string
}

// NewPrefixIndex returns an index of up to size blocks.
func NewPrefixIndex(size int) *PrefixIndex {
	return &PrefixIndex{size: size, lru: list.New(), byHash: map[uint64]*list.Element{}}
}

// Record records that the blocks of prefix are on the replica.
func (p *PrefixIndex) Record(prefix Prefix, replica string) {
	for _, h := range prefix.blocks {
		if el, ok := p.byHash[h]; ok {
			el.Value = indexEntry{hash: h, replica: replica}
			p.lru.MoveToFront(el)
			continue
		}
		p.byHash[h] = p.lru.PushFront(indexEntry{hash: h, replica: replica})
		if p.lru.Len() > p.size {
			last := p.lru.Back()
			delete(p.byHash, last.Value.(indexEntry).hash)
			p.lru.Remove(last)
		}
	}
}

// Find returns the replica that has the longest recorded part of prefix, and the
// number of tokens of that part. It returns "" and 0 if no part of prefix is recorded.
func (p *PrefixIndex) Find(prefix Prefix) (replica string, tokens int) {
	for i := len(prefix.blocks) - 1; i >= 0; i-- {
		if el, ok := p.byHash[prefix.blocks[i]]; ok {
			return el.Value.(indexEntry).replica, (i + 1) * blockTokens
		}
	}
	return "", 0
}

// RemoveReplica removes the blocks recorded for a replica, after it restarted.
func (p *PrefixIndex) RemoveReplica(replica string) {
	for el := p.lru.Front(); el != nil; {
		next := el.Next()
		if entry := el.Value.(indexEntry); entry.replica == replica {
			delete(p.byHash, entry.hash)
			p.lru.Remove(el)
		}
		el = next
	}
}

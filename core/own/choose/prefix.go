package choose

import (
	"container/list"

	"github.com/cespare/xxhash/v2"
)

// Sizes of a prefix.
const (
	blockBytes  = 1024 // bytes of prompt in one block
	blockTokens = blockBytes / BytesPerToken
	maxBlocks   = 16
	// BytesPerToken is the rule of thumb by which prompts are sized before any
	// tokenizer has seen them.
	BytesPerToken = 4
)

// A Prefix is the chain of hashes of a prompt's leading blocks: block i's hash
// covers blocks 0 to i, so that equal hashes mean equal prompts up to there.
type Prefix struct{ blocks []uint64 }

// NewPrefix returns the prefix of a prompt for the given model; a prompt
// shorter than one block has none.
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

// Tokens returns the tokens that the prefix covers.
func (p Prefix) Tokens() int { return len(p.blocks) * blockTokens }

// A PrefixIndex is a bounded, least-recently-used memory of where blocks were sent.
type PrefixIndex struct {
	size   int
	lru    *list.List // of memoryEntry, most recent first
	byHash map[uint64]*list.Element
}

type indexEntry struct {
	hash    uint64
	replica string
}

// NewPrefixIndex returns a memory of up to size blocks.
func NewPrefixIndex(size int) *PrefixIndex {
	return &PrefixIndex{size: size, lru: list.New(), byHash: map[uint64]*list.Element{}}
}

// Record notes that the blocks of p are on the replica now.
func (m *PrefixIndex) Record(p Prefix, replica string) {
	for _, h := range p.blocks {
		if el, ok := m.byHash[h]; ok {
			el.Value = indexEntry{hash: h, replica: replica}
			m.lru.MoveToFront(el)
			continue
		}
		m.byHash[h] = m.lru.PushFront(indexEntry{hash: h, replica: replica})
		if m.lru.Len() > m.size {
			last := m.lru.Back()
			delete(m.byHash, last.Value.(indexEntry).hash)
			m.lru.Remove(last)
		}
	}
}

// Find returns the replica that holds the longest known part of p, and the
// tokens of that part.
func (m *PrefixIndex) Find(p Prefix) (replica string, tokens int) {
	for i := len(p.blocks) - 1; i >= 0; i-- {
		if el, ok := m.byHash[p.blocks[i]]; ok {
			return el.Value.(indexEntry).replica, (i + 1) * blockTokens
		}
	}
	return "", 0
}

// RemoveReplica forgets blocks believed to be on the replica, after it restarted.
func (m *PrefixIndex) RemoveReplica(replica string) {
	for el := m.lru.Front(); el != nil; {
		next := el.Next()
		if entry := el.Value.(indexEntry); entry.replica == replica {
			delete(m.byHash, entry.hash)
			m.lru.Remove(el)
		}
		el = next
	}
}

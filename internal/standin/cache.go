package standin

import (
	"container/list"
	"sync"
)

// maxCacheEvents bounds the events that are kept; a reader that is further
// behind finds a gap in the sequence numbers.
const maxCacheEvents = 4096

// CacheEvent is one event in the response to GET /cache-events. Tokens is the
// length of the whole prefix, not of its last block.
type CacheEvent struct {
	Seq        int64  `json:"seq"`
	Kind       string `json:"kind"` // stored or evicted
	PrefixHash uint64 `json:"prefix_hash"`
	Tokens     int    `json:"tokens"`
}

type cacheBlock struct {
	hash   uint64
	tokens int // of the whole prefix
}

// prefixCache is an LRU cache of prompt blocks that logs its insertions and
// evictions.
type prefixCache struct {
	mu struct {
		sync.Mutex
		recency *list.List // most recently used first
		byHash  map[uint64]*list.Element
		events  []CacheEvent
		seq     int64
	}
	maxBlocks int
}

func newPrefixCache(tokens int) *prefixCache {
	c := &prefixCache{maxBlocks: tokens * CharsPerToken / BlockChars}
	c.mu.recency, c.mu.byHash = list.New(), map[uint64]*list.Element{}
	return c
}

// cachedTokens returns the number of tokens in the longest cached prefix.
func (c *prefixCache) cachedTokens(hashes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(hashes) && c.mu.byHash[hashes[n]] != nil {
		n++
	}
	return n * BlockChars / CharsPerToken
}

// store adds the blocks, longest prefix first, so that the shortest prefix is
// evicted last.
func (c *prefixCache) store(hashes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(hashes) - 1; i >= 0; i-- {
		if el := c.mu.byHash[hashes[i]]; el != nil {
			c.mu.recency.MoveToFront(el)
			continue
		}
		b := cacheBlock{hashes[i], (i + 1) * BlockChars / CharsPerToken}
		c.mu.byHash[b.hash] = c.mu.recency.PushFront(b)
		c.emit("stored", b)
	}
	for c.mu.recency.Len() > c.maxBlocks {
		b := c.mu.recency.Remove(c.mu.recency.Back()).(cacheBlock)
		delete(c.mu.byHash, b.hash)
		c.emit("evicted", b)
	}
}

func (c *prefixCache) emit(kind string, b cacheBlock) {
	c.mu.seq++
	c.mu.events = append(c.mu.events, CacheEvent{c.mu.seq, kind, b.hash, b.tokens})
	if extra := len(c.mu.events) - maxCacheEvents; extra > 0 {
		c.mu.events = append([]CacheEvent(nil), c.mu.events[extra:]...)
	}
}

func (c *prefixCache) eventsAfter(seq int64) []CacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []CacheEvent{}
	for _, e := range c.mu.events {
		if e.Seq > seq {
			out = append(out, e)
		}
	}
	return out
}

func (c *prefixCache) storedTokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.recency.Len() * BlockChars / CharsPerToken
}

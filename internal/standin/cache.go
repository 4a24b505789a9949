package standin

import (
	"container/list"
	"sync"
)

// maxCacheEvents bounds the events kept; a reader that falls further behind
// sees a gap.
const maxCacheEvents = 4096

// CacheEvent is one line of GET /cache-events. Tokens is the length of the
// whole prefix.
type CacheEvent struct {
	Seq        int64  `json:"seq"`
	Kind       string `json:"kind"` // stored or evicted
	PrefixHash uint64 `json:"prefix_hash"`
	Tokens     int    `json:"tokens"`
}

type block struct {
	hash   uint64
	tokens int // of the whole prefix
}

// prefixCache is a least-recently-used cache of prompt blocks.
type prefixCache struct {
	mu struct {
		sync.Mutex
		order  *list.List // most recent first
		byHash map[uint64]*list.Element
		events []CacheEvent
		seq    int64
	}
	limit int // blocks
}

func newPrefixCache(tokens int) *prefixCache {
	c := &prefixCache{limit: tokens * CharsPerToken / BlockChars}
	c.mu.order, c.mu.byHash = list.New(), map[uint64]*list.Element{}
	return c
}

// cached returns the tokens of the longest cached prefix.
func (c *prefixCache) cached(hashes []uint64) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for n < len(hashes) && c.mu.byHash[hashes[n]] != nil {
		n++
	}
	return n * BlockChars / CharsPerToken
}

// store adds the blocks, longest prefix first, so that the shortest is the
// last to be evicted.
func (c *prefixCache) store(hashes []uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := len(hashes) - 1; i >= 0; i-- {
		if el := c.mu.byHash[hashes[i]]; el != nil {
			c.mu.order.MoveToFront(el)
			continue
		}
		b := block{hashes[i], (i + 1) * BlockChars / CharsPerToken}
		c.mu.byHash[b.hash] = c.mu.order.PushFront(b)
		c.emit("stored", b)
	}
	for c.mu.order.Len() > c.limit {
		b := c.mu.order.Remove(c.mu.order.Back()).(block)
		delete(c.mu.byHash, b.hash)
		c.emit("evicted", b)
	}
}

func (c *prefixCache) emit(kind string, b block) {
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

func (c *prefixCache) tokens() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mu.order.Len() * BlockChars / CharsPerToken
}

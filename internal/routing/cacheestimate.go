package routing

// CacheEvent is a change of a target's prefix cache, as published by its engine.
// Events arrive late, in order of Seq, and some may be missing.
type CacheEvent struct {
	Seq    uint64
	Stored bool // false: evicted
	Hash   uint64
}

// minConfidence is the confidence below which an entry counts as absent.
const minConfidence = 0.25

// cacheEstimate estimates the contents of one target's prefix cache as a bounded
// LRU set of block hashes.
//
// Lost events lower the confidence in entries. One lost event can make at most
// one entry wrong, so a gap of m events lowers the confidence in each of the n
// entries by m/n; entries confirmed after the gap are not affected.
type cacheEstimate struct {
	index       map[uint64]int32
	entries     []cacheEntry
	head        int32 // most recently used, -1 if empty
	tail        int32
	freeEntries []int32
	maxEntries  int
	lastSeq     uint64 // Seq of the last event
	lostEvents  uint32 // total so far
}

type cacheEntry struct {
	hash       uint64
	prev, next int32
	lostBefore uint32 // cacheEstimate.lostEvents when the entry was last confirmed
}

func newCacheEstimate(maxEntries int) *cacheEstimate {
	return &cacheEstimate{index: map[uint64]int32{}, head: -1, tail: -1, maxEntries: max(maxEntries, 1)}
}

func (c *cacheEstimate) unlink(i int32) {
	entry := &c.entries[i]
	if entry.prev >= 0 {
		c.entries[entry.prev].next = entry.next
	} else {
		c.head = entry.next
	}
	if entry.next >= 0 {
		c.entries[entry.next].prev = entry.prev
	} else {
		c.tail = entry.prev
	}
}

func (c *cacheEstimate) pushFront(i int32) {
	entry := &c.entries[i]
	entry.prev, entry.next = -1, c.head
	if c.head >= 0 {
		c.entries[c.head].prev = i
	} else {
		c.tail = i
	}
	c.head = i
}

// confirm adds hash, or refreshes its entry: most recently used, full confidence.
// If the set is full, the least recently used entry makes room.
func (c *cacheEstimate) confirm(hash uint64) {
	i, ok := c.index[hash]
	if ok {
		c.unlink(i)
	} else {
		if len(c.index) >= c.maxEntries {
			c.remove(c.entries[c.tail].hash)
		}
		if k := len(c.freeEntries); k > 0 {
			i, c.freeEntries = c.freeEntries[k-1], c.freeEntries[:k-1]
		} else {
			c.entries = append(c.entries, cacheEntry{})
			i = int32(len(c.entries) - 1)
		}
		c.entries[i].hash = hash
		c.index[hash] = i
	}
	c.entries[i].lostBefore = c.lostEvents
	c.pushFront(i)
}

func (c *cacheEstimate) remove(hash uint64) {
	if i, ok := c.index[hash]; ok {
		c.unlink(i)
		delete(c.index, hash)
		c.freeEntries = append(c.freeEntries, i)
	}
}

func (c *cacheEstimate) clear() {
	clear(c.index)
	c.entries, c.freeEntries = c.entries[:0], c.freeEntries[:0]
	c.head, c.tail = -1, -1
}

// recordPrompt records that a prompt with these prefixes was sent to the target.
// The shortest prefix becomes the most recently used, so that eviction removes
// the ends of prompts first.
func (c *cacheEstimate) recordPrompt(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		c.confirm(hashes[i])
	}
}

// apply applies published events and reports whether any were lost.
func (c *cacheEstimate) apply(events []CacheEvent) (gap bool) {
	for _, e := range events {
		switch {
		case e.Seq <= c.lastSeq && e.Seq <= 1:
			// Numbering starts over: the engine restarted with an empty cache.
			c.clear()
			gap = true
		case e.Seq <= c.lastSeq:
			continue // already applied
		case c.lastSeq != 0 && e.Seq > c.lastSeq+1:
			c.lostEvents += uint32(min(e.Seq-c.lastSeq-1, uint64(c.maxEntries)))
			gap = true
		}
		c.lastSeq = e.Seq
		if e.Stored {
			c.confirm(e.Hash)
		} else {
			c.remove(e.Hash)
		}
	}
	return gap
}

// trim drops the least recently used entries until the set is no larger than the
// cache that the target reports, plus trimSlack.
func (c *cacheEstimate) trim(cachedTokens float64) {
	limit := int(cachedTokens/blockTokens*trimSlack) + 1
	for len(c.index) > limit {
		c.remove(c.entries[c.tail].hash)
	}
}

// trimSlack allows for prompts stored since the target reported its load.
const trimSlack = 1.25

// confidence returns the confidence in entry i, from 0 to 1.
func (c *cacheEstimate) confidence(i int32) float64 {
	lost := c.lostEvents - c.entries[i].lostBefore
	if lost == 0 {
		return 1
	}
	return max(0, 1-float64(lost)/float64(len(c.index)))
}

// cachedTokens returns the expected number of cached tokens of a prompt. It scans
// the blocks one by one: after lost events a longer prefix may count as cached
// while a shorter one does not, which a binary search would miss. The cost is
// proportional to the number of cached blocks, which is small for most targets.
func (c *cacheEstimate) cachedTokens(hashes []uint64) int {
	n, last := 0, int32(-1)
	for _, h := range hashes {
		i, ok := c.index[h]
		if !ok || c.confidence(i) < minConfidence {
			break
		}
		n, last = n+1, i
	}
	if n == 0 {
		return 0
	}
	return int(float64(n*blockTokens) * c.confidence(last))
}

package routing

// CacheEvent is a change of a target's prefix cache, as published by engines:
// late, in order of Seq, and sometimes with events missing.
type CacheEvent struct {
	Seq    uint64
	Stored bool // false: evicted
	Hash   uint64
}

// leastConfidence is the confidence below which an entry counts as absent.
const leastConfidence = 0.25

// belief is what the instance believes about the prefix cache of one target: a
// bounded set of block hashes in order of last use.
//
// Lost events make entries doubtful. One lost event can make at most one entry
// wrong, so a gap of m events takes m/n of the confidence of each of the n
// entries; entries confirmed after the gap are not affected.
type belief struct {
	index map[uint64]int32
	nodes []beliefNode
	head  int32 // most recently used, -1 if empty
	tail  int32
	free  []int32
	bound int
	seq   uint64 // of the last event
	lost  uint32 // events lost so far
}

type beliefNode struct {
	hash       uint64
	prev, next int32
	lost       uint32 // value of belief.lost when the entry was confirmed
}

func newBelief(bound int) *belief {
	return &belief{index: map[uint64]int32{}, head: -1, tail: -1, bound: max(bound, 1)}
}

func (b *belief) unlink(i int32) {
	n := &b.nodes[i]
	if n.prev >= 0 {
		b.nodes[n.prev].next = n.next
	} else {
		b.head = n.next
	}
	if n.next >= 0 {
		b.nodes[n.next].prev = n.prev
	} else {
		b.tail = n.prev
	}
}

func (b *belief) pushFront(i int32) {
	n := &b.nodes[i]
	n.prev, n.next = -1, b.head
	if b.head >= 0 {
		b.nodes[b.head].prev = i
	} else {
		b.tail = i
	}
	b.head = i
}

// confirm notes that hash is cached and was used now.
func (b *belief) confirm(hash uint64) {
	i, ok := b.index[hash]
	if ok {
		b.unlink(i)
	} else {
		if len(b.index) >= b.bound {
			b.drop(b.nodes[b.tail].hash)
		}
		if k := len(b.free); k > 0 {
			i, b.free = b.free[k-1], b.free[:k-1]
		} else {
			b.nodes = append(b.nodes, beliefNode{})
			i = int32(len(b.nodes) - 1)
		}
		b.nodes[i].hash = hash
		b.index[hash] = i
	}
	b.nodes[i].lost = b.lost
	b.pushFront(i)
}

// drop forgets hash.
func (b *belief) drop(hash uint64) {
	if i, ok := b.index[hash]; ok {
		b.unlink(i)
		delete(b.index, hash)
		b.free = append(b.free, i)
	}
}

func (b *belief) clear() {
	clear(b.index)
	b.nodes, b.free = b.nodes[:0], b.free[:0]
	b.head, b.tail = -1, -1
}

// dispatched notes that a prompt with these prefixes was sent to the target.
// The shortest prefix becomes the most recently used, so that the bound cuts
// prompts from their end.
func (b *belief) dispatched(hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		b.confirm(hashes[i])
	}
}

// events applies published events and reports whether some were lost.
func (b *belief) events(events []CacheEvent) (gap bool) {
	for _, e := range events {
		switch {
		case e.Seq <= b.seq && e.Seq <= 1:
			// Numbers start anew: the engine restarted with an empty cache.
			b.clear()
			gap = true
		case e.Seq <= b.seq:
			continue // seen already
		case b.seq != 0 && e.Seq > b.seq+1:
			b.lost += uint32(min(e.Seq-b.seq-1, uint64(b.bound)))
			gap = true
		}
		b.seq = e.Seq
		if e.Stored {
			b.confirm(e.Hash)
		} else {
			b.drop(e.Hash)
		}
	}
	return gap
}

// trim cuts the least recently used entries to what the target says it holds.
func (b *belief) trim(cachedTokens float64) {
	most := int(cachedTokens/blockTokens*trimSlack) + 1
	for len(b.index) > most {
		b.drop(b.nodes[b.tail].hash)
	}
}

// trimSlack allows for prompts stored since the target reported its load.
const trimSlack = 1.25

// confidence of entry i, from 0 to 1.
func (b *belief) confidence(i int32) float64 {
	lost := b.lost - b.nodes[i].lost
	if lost == 0 {
		return 1
	}
	return max(0, 1-float64(lost)/float64(len(b.index)))
}

// cached returns the expected number of cached tokens of a prompt. It looks at
// each block: with events lost, a longer prefix may be believed to be cached
// when a shorter one is not, and bisection would miss that. The cost is that
// of the blocks that are cached, few for most targets.
func (b *belief) cached(hashes []uint64) int {
	n, last := 0, int32(-1)
	for _, h := range hashes {
		i, ok := b.index[h]
		if !ok || b.confidence(i) < leastConfidence {
			break
		}
		n, last = n+1, i
	}
	if n == 0 {
		return 0
	}
	return int(float64(n*blockTokens) * b.confidence(last))
}

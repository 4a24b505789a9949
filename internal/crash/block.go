package crash

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

const (
	// blockTTL is how long a block is in force.
	blockTTL = time.Hour
	// minRemaining is the least time left of a block that is taken from a peer:
	// otherwise instances would give back blocks that have just ended.
	minRemaining = 5 * time.Second
	// maxBlocks bounds the blocks that are remembered.
	maxBlocks = 256
)

// block forbids requests that have all of its suspects.
type block struct {
	id       blockID
	suspects []Suspect // sorted
	// version is odd while the block is in force and even once it was revoked.
	version uint64
	expires time.Duration
	crashes int
	// own is set if this instance issued the block.
	own bool
}

// BlockChange describes a block that came into force or was revoked.
type BlockChange struct {
	Suspects []Suspect
	Revoked  bool
	// Crashes is the number of crashes that the block rests on.
	Crashes   int
	Remaining time.Duration
	// Own is set if this instance made the change.
	Own bool
}

// LogChanges returns a function for Config.OnBlock that logs each change.
func LogChanges(log *event.Logger) func(BlockChange) {
	return func(c BlockChange) {
		e := event.SuspectBlocked
		if c.Revoked {
			e = event.SuspectUnblocked
		}
		log.Emit(e, zap.Stringers("suspects", c.Suspects), zap.Int("crashes", c.Crashes), zap.Duration("remaining", c.Remaining), zap.Bool("own", c.Own))
	}
}

func (b *block) inForce(now time.Duration) bool { return b.version%2 == 1 && now < b.expires }

func (b *block) hasAny(suspects []Suspect) bool {
	return slices.ContainsFunc(suspects, func(s Suspect) bool { return slices.Contains(b.suspects, s) })
}

func sortSuspects(s []Suspect) { slices.SortFunc(s, compareSuspects) }

// issue adds a block unless one in force covers it.
func (t *Tracker) issue(suspects []Suspect, crashes int) {
	now := t.now()
	for _, b := range t.mu.blocks {
		if b.inForce(now) && includes(suspects, b.suspects) {
			return
		}
	}
	t.setBlock(suspects, crashes, now+blockTTL)
}

// setBlock puts a block of this instance into force.
func (t *Tracker) setBlock(suspects []Suspect, crashes int, expires time.Duration) {
	id, version := idOf(suspects), uint64(1)
	if b := t.mu.blocks[id]; b != nil {
		version = b.version + 1 + b.version%2
	}
	t.put(&block{id: id, suspects: suspects, version: version, expires: expires, crashes: crashes, own: true}, true)
}

func (t *Tracker) revoke(b *block) {
	revoked := *b
	revoked.version++
	t.put(&revoked, true)
}

// put adds or replaces a block. own is set if this instance made the change.
func (t *Tracker) put(b *block, own bool) {
	t.expireBlocks()
	before := t.mu.blocks[b.id]
	if before == nil && len(t.mu.blocks) >= maxBlocks {
		t.removeBlock(t.firstToExpire())
	}
	if before != nil {
		t.removeBlock(before)
	}
	t.mu.blocks[b.id] = b
	now := t.now()
	if b.inForce(now) {
		first := b.suspects[0]
		t.mu.byFirst[first] = append(t.mu.byFirst[first], b)
	}
	if own {
		t.mu.outbox.blocks = append(t.mu.outbox.blocks, b)
	}
	changed := before != nil && before.inForce(now) != b.inForce(now) || before == nil && b.inForce(now)
	if changed && t.cfg.OnBlock != nil {
		t.cfg.OnBlock(BlockChange{Suspects: b.suspects, Revoked: !b.inForce(now), Crashes: b.crashes, Remaining: b.expires - now, Own: own})
	}
}

func (t *Tracker) removeBlock(b *block) {
	delete(t.mu.blocks, b.id)
	first := b.suspects[0]
	t.mu.byFirst[first] = slices.DeleteFunc(t.mu.byFirst[first], func(x *block) bool { return x.id == b.id })
	if len(t.mu.byFirst[first]) == 0 {
		delete(t.mu.byFirst, first)
	}
}

func (t *Tracker) firstToExpire() (first *block) {
	for _, b := range t.mu.blocks {
		if first == nil || b.expires < first.expires {
			first = b
		}
	}
	return first
}

func (t *Tracker) expireBlocks() {
	if len(t.mu.blocks) == 0 {
		return
	}
	now := t.now()
	for _, b := range t.mu.blocks {
		if now >= b.expires {
			t.removeBlock(b)
		}
	}
}

// acquitInBlocks takes an acquitted suspect out of the blocks that were issued
// before. A block without any suspects left is revoked.
func (t *Tracker) acquitInBlocks(s Suspect, at time.Duration) {
	if len(t.mu.byFirst) == 0 {
		return
	}
	for _, b := range t.mu.blocks {
		t.shrink(b, s, at)
	}
}

func (t *Tracker) shrink(b *block, s Suspect, at time.Duration) {
	if !b.inForce(t.now()) || !slices.Contains(b.suspects, s) || at < b.issued() {
		return
	}
	t.revoke(b)
	rest := slices.DeleteFunc(slices.Clone(b.suspects), func(x Suspect) bool { return x == s })
	if len(rest) > 0 {
		t.setBlock(rest, b.crashes, b.expires)
	}
}

// issued returns when the block was issued.
func (b *block) issued() time.Duration { return b.expires - blockTTL }

// Blocks returns the number of blocks in force.
func (t *Tracker) Blocks() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, b := range t.mu.blocks {
		if b.inForce(t.now()) {
			n++
		}
	}
	return n
}

// Digest identifies the blocks that this instance knows; 0 if none. Instances with
// the same digest need not exchange them.
func (t *Tracker) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireBlocks()
	var d uint64
	for _, b := range t.mu.blocks {
		d ^= mix(uint64(b.id) + b.version)
	}
	return d
}

// mix is the finalizer of splitmix64; it keeps the digests of similar ids apart.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

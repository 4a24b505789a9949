package intake

import (
	"runtime"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrNoMemory is returned for a body that finds no memory in the budget.
var ErrNoMemory = errors.New("the memory for request bodies is used up")

const (
	// DefaultBudget is the size of the budget if the settings give none, in bytes.
	DefaultBudget = 64 << 20
	// largeReservation is the size in bytes from which on a reservation must leave
	// smallFraction of the budget free, so that a few large bodies do not keep small
	// ones out.
	largeReservation = 64 << 10
	smallFraction    = 8
	// pressureNumerator and pressureDenominator give the fraction of the budget from
	// which on bodies that stopped arriving are refused.
	pressureNumerator, pressureDenominator = 3, 4
	// uncollectedFraction is the part of the budget that discarded buffers may take
	// until they are collected. The garbage collector alone lets it grow to the size of all
	// live memory, and beyond that while other processes keep it from the processor.
	uncollectedFraction = 4
)

// Budget is the memory for what clients send, over all ports of a process.
type Budget struct {
	limit int64
	used  atomic.Int64
	// uncollected is the size in bytes of the buffers discarded since the last collection.
	uncollected atomic.Int64
	collection  sync.Mutex
	// exhausted is set by a reservation that failed, until ports have looked for
	// bodies that stopped arriving.
	exhausted atomic.Bool
}

// NewBudget returns a budget of limit bytes, or of DefaultBudget if limit is not
// positive.
func NewBudget(limit int64) *Budget {
	if limit <= 0 {
		limit = DefaultBudget
	}
	return &Budget{limit: limit}
}

// take reserves n bytes for something that has total bytes with them.
func (b *Budget) take(n, total int64) bool {
	b.collect()
	if b.used.Add(n) > b.limitFor(total) {
		b.used.Add(-n)
		b.exhausted.Store(true)
		return false
	}
	return true
}

func (b *Budget) limitFor(total int64) int64 {
	if total >= largeReservation {
		return b.limit - b.limit/smallFraction
	}
	return b.limit
}

// free returns the bytes that are free for something of total bytes.
func (b *Budget) free(total int64) int64 { return b.limitFor(total) - b.used.Load() }

func (b *Budget) put(n int64) { b.used.Add(-n) }

// discard returns the n bytes of a buffer that is not in use any more.
func (b *Budget) discard(n int64) {
	b.used.Add(-n)
	b.uncollected.Add(n)
}

// collect frees the memory of discarded buffers if it is too much. Those who need
// memory meanwhile wait, as they would add to it.
func (b *Budget) collect() {
	if b.uncollected.Load() <= b.limit/uncollectedFraction {
		return
	}
	b.collection.Lock()
	defer b.collection.Unlock()
	discarded := b.uncollected.Load()
	if discarded <= b.limit/uncollectedFraction {
		return
	}
	runtime.GC()
	b.uncollected.Add(-discarded)
}

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

func (b *Budget) underPressure() bool {
	return b.exhausted.Load() || b.used.Load() > b.limit/pressureDenominator*pressureNumerator
}

package intake

import (
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
)

// Budget is the memory for what clients send, over all ports of a process.
type Budget struct {
	limit int64
	used  atomic.Int64
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

// Release returns a reservation to its budget. It must be called once.
type Release func()

// Reserve takes n bytes. It reports false, and takes nothing, if they are not free.
func (b *Budget) Reserve(n int64) (Release, bool) {
	if !b.take(n, n) {
		return nil, false
	}
	return func() { b.put(n) }, true
}

// take reserves n bytes for something that has total bytes with them.
func (b *Budget) take(n, total int64) bool {
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

// Used returns the number of bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

func (b *Budget) underPressure() bool {
	return b.exhausted.Load() || b.used.Load() > b.limit/pressureDenominator*pressureNumerator
}

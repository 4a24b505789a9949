package dispatch

import "sync"

const (
	// retryShare is the part of requests that may be repeated.
	retryShare = 0.1
	// retryBurst lets an instance resume its streams when one target with many
	// of them is lost.
	retryBurst = 50
	// retryStart is the level of a new instance, which has seen no requests yet.
	retryStart = 10
)

// Budget bounds retries to a share of requests.
type Budget struct {
	mu struct {
		sync.Mutex
		level   float64
		refused uint64
	}
}

// NewBudget returns a budget at its starting level.
func NewBudget() *Budget {
	b := &Budget{}
	b.mu.level = retryStart
	return b
}

// Request counts a new request.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.level = min(b.mu.level+retryShare, retryBurst)
}

// Refused is the number of retries that were not allowed.
func (b *Budget) Refused() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mu.refused
}

// Take reports whether a retry is allowed and counts it.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mu.level < 1 {
		b.mu.refused++
		return false
	}
	b.mu.level--
	return true
}

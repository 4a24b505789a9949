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

// RetryBudget bounds retries to a share of requests.
type RetryBudget struct {
	mu struct {
		sync.Mutex
		level   float64
		refused uint64
	}
}

// NewRetryBudget returns a budget at its starting level.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.mu.level = retryStart
	return b
}

// RecordRequest counts a new request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.level = min(b.mu.level+retryShare, retryBurst)
}

// RefusedRetries is the number of retries that were not allowed.
func (b *RetryBudget) RefusedRetries() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mu.refused
}

// AllowRetry reports whether a retry is allowed and counts it.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mu.level < 1 {
		b.mu.refused++
		return false
	}
	b.mu.level--
	return true
}

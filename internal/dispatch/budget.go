package dispatch

import "sync"

const (
	// retryFraction is the number of retries that each request adds.
	retryFraction = 0.1
	// retryBurst lets an instance resume its streams when a target with many of
	// them is lost.
	retryBurst = 50
	// initialRetries is the budget of a new instance, which has seen no requests
	// yet.
	initialRetries = 10
)

// RetryBudget bounds retries to a fraction of requests.
type RetryBudget struct {
	mu struct {
		sync.Mutex
		available float64
		refused   uint64
	}
}

// NewRetryBudget returns a budget of initialRetries.
func NewRetryBudget() *RetryBudget {
	b := &RetryBudget{}
	b.mu.available = initialRetries
	return b
}

// RecordRequest counts a new request.
func (b *RetryBudget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.available = min(b.mu.available+retryFraction, retryBurst)
}

// RefusedRetries returns the number of retries that were not allowed.
func (b *RetryBudget) RefusedRetries() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.mu.refused
}

// AllowRetry reports whether a retry is allowed and, if so, consumes it.
func (b *RetryBudget) AllowRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.mu.available < 1 {
		b.mu.refused++
		return false
	}
	b.mu.available--
	return true
}

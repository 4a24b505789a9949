package gateway

import (
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

const (
	// usableBudgetFraction is the fraction of the published retry budget that is
	// used, because the windows of the instances do not coincide with those over
	// which the bound holds.
	usableBudgetFraction = 0.7
	// windowBuckets is the number of buckets into which a window is divided.
	windowBuckets = 10
)

// RetryBudget bounds the retries at the targets of each service. The published
// bound holds over all instances; each instance may use an equal share of the slack
// and the published ratio of its own requests.
type RetryBudget struct {
	bounds deployment.Bounds
	now    func() time.Time
	mu     struct {
		sync.Mutex
		services  map[string]*retryWindow
		instances int
	}
}

// retryWindow counts requests and retries over the last RetryWindow, in a ring of
// buckets. bucket is the number of the newest one since the epoch.
type retryWindow struct {
	requests, retries [windowBuckets]int
	bucket            int64
}

// NewRetryBudget returns a RetryBudget for a single instance; see SetInstances.
func NewRetryBudget(b deployment.Bounds, now func() time.Time) *RetryBudget {
	out := &RetryBudget{bounds: b, now: now}
	out.mu.services = map[string]*retryWindow{}
	out.mu.instances = 1
	return out
}

// SetInstances sets the number of instances that share the budget.
func (b *RetryBudget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.instances = max(n, 1)
}

// RecordRequest counts a caller's request, which earns budget for retries.
func (b *RetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	w.requests[w.bucket%windowBuckets]++
}

// AllowRetry reports whether one more retry may be sent, and counts it if so.
func (b *RetryBudget) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.currentWindow(service)
	requests, retries := 0, 0
	for i := range windowBuckets {
		requests, retries = requests+w.requests[i], retries+w.retries[i]
	}
	limit := usableBudgetFraction * (b.bounds.RetryRatio*float64(requests) + b.bounds.RetrySlack/float64(b.mu.instances))
	if float64(retries+1) > limit {
		return false
	}
	w.retries[w.bucket%windowBuckets]++
	return true
}

// currentWindow returns the window of a service with outdated buckets cleared. The
// caller holds the lock.
func (b *RetryBudget) currentWindow(service string) *retryWindow {
	w := b.mu.services[service]
	if w == nil {
		w = &retryWindow{}
		b.mu.services[service] = w
	}
	bucket := b.now().UnixNano() / int64(max(b.bounds.RetryWindow/windowBuckets, time.Millisecond))
	if bucket-w.bucket >= windowBuckets {
		*w = retryWindow{bucket: bucket}
	}
	for ; w.bucket < bucket; w.bucket++ {
		i := (w.bucket + 1) % windowBuckets
		w.requests[i], w.retries[i] = 0, 0
	}
	return w
}

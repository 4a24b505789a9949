package gateway

import (
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

const (
	// budgetReserve is the part of the published retry budget that is used: the
	// windows of the instances and of the bound are not the same.
	budgetReserve = 0.7
	// budgetSteps is the number of parts into which a window is divided.
	budgetSteps = 10
)

// RetryBudget bounds the requests that are sent to the targets of a service more than
// once. The published bound holds over all instances; each uses its part of the
// slack and the ratio of its own requests.
type RetryBudget struct {
	bounds deployment.Bounds
	now    func() time.Time
	mu     struct {
		sync.Mutex
		services  map[string]*window
		instances int
	}
}

// window counts requests and repeats over the last RetryWindow.
type window struct {
	requests, repeats [budgetSteps]int
	step              int64
}

// NewRetryBudget returns a Budget.
func NewRetryBudget(b deployment.Bounds, now func() time.Time) *RetryBudget {
	out := &RetryBudget{bounds: b, now: now}
	out.mu.services = map[string]*window{}
	out.mu.instances = 1
	return out
}

// SetInstances sets the number of instances that share the budget.
func (b *RetryBudget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mu.instances = max(n, 1)
}

// RecordRequest notes a caller's request.
func (b *RetryBudget) RecordRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.step%budgetSteps]++
}

// AllowRetry reports whether one more repeat may be sent, and counts it if so.
func (b *RetryBudget) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, repeats := 0, 0
	for i := range budgetSteps {
		requests, repeats = requests+w.requests[i], repeats+w.repeats[i]
	}
	limit := budgetReserve * (b.bounds.RetryRatio*float64(requests) + b.bounds.RetrySlack/float64(b.mu.instances))
	if float64(repeats+1) > limit {
		return false
	}
	w.repeats[w.step%budgetSteps]++
	return true
}

func (b *RetryBudget) window(service string) *window {
	w := b.mu.services[service]
	if w == nil {
		w = &window{}
		b.mu.services[service] = w
	}
	step := b.now().UnixNano() / int64(max(b.bounds.RetryWindow/budgetSteps, time.Millisecond))
	if step-w.step >= budgetSteps {
		*w = window{step: step}
	}
	for ; w.step < step; w.step++ {
		i := (w.step + 1) % budgetSteps
		w.requests[i], w.repeats[i] = 0, 0
	}
	return w
}

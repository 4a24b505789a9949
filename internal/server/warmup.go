package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/admission"
	"github.com/wigeonhill/wigeonhill/internal/config"
)

const (
	// warmupTimeout is how long a started instance stays not ready because its
	// region has no leader or the leader has no slots to lease. After that it is
	// ready without slots: it can borrow tokens and send requests to other
	// regions.
	warmupTimeout = 10 * time.Second
	// warmupRetryInterval is the time between checks for the first configuration
	// and between requests for a slot.
	warmupRetryInterval = 50 * time.Millisecond
)

// warmup acquires one slot of each pool of the local region after the start. A
// new leader leases slots only once all of them are accounted for; an instance
// that reported ready before that would make callers wait.
type warmup struct {
	region        string
	currentConfig func() *config.Config
	admitter      admission.Admitter
	done          atomic.Bool
}

// Run returns once each pool has given a slot, or after warmupTimeout.
func (w *warmup) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmupTimeout)
	defer cancel()
	defer w.done.Store(true)
	cfg := w.currentConfig()
	for cfg == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(warmupRetryInterval):
			cfg = w.currentConfig()
		}
	}
	pools := regionPools(cfg, w.region)
	finished := make(chan struct{}, len(pools))
	for _, targets := range pools {
		go func() {
			defer func() { finished <- struct{}{} }()
			w.acquireSlot(ctx, targets)
		}()
	}
	for range pools {
		<-finished
	}
	return nil
}

// acquireSlot requests a slot of the pool and retries after each refusal, until it
// gets one or ctx ends.
func (w *warmup) acquireSlot(ctx context.Context, targets []string) {
	for ctx.Err() == nil {
		if trySlot(ctx, w.admitter, targets) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(warmupRetryInterval):
		}
	}
}

// trySlot acquires a slot of one of the targets and releases it. It reports
// whether it got one before ctx ended.
func trySlot(ctx context.Context, admitter admission.Admitter, targets []string) bool {
	deadline, _ := ctx.Deadline()
	ticket, err := admitter.Admit(ctx, admission.Request{Weight: 1, Targets: targets, Prepaid: true, Deadline: deadline})
	if err != nil {
		return false
	}
	admitter.Done(ticket, 0)
	return true
}

// regionPools returns the targets of each model and service in a region.
func regionPools(cfg *config.Config, region string) [][]string {
	var pools [][]string
	for model := range cfg.Models {
		if names := poolTargets(cfg, region, model, ""); len(names) > 0 {
			pools = append(pools, names)
		}
	}
	for service := range cfg.Services {
		if names := poolTargets(cfg, region, "", service); len(names) > 0 {
			pools = append(pools, names)
		}
	}
	return pools
}

package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/admission"
	"github.com/wigeonhill/wigeonhill/internal/config"
)

const (
	// warmupGrace is how long a started instance counts as not ready because
	// its region has no grantor or no slots to give. After that it is ready
	// without: it can borrow tokens and send requests to other regions.
	warmupGrace = 10 * time.Second
	// warmupPoll is the time between looks for the first edition.
	warmupPoll = 50 * time.Millisecond
)

// warmup obtains one slot of each pool of the own region after the start. A
// new grantor hands out slots only once they are accounted for, and an
// instance that tells callers it is ready before would make them wait.
type warmup struct {
	region   string
	edition  func() *config.Config
	admitter admission.Admitter
	done     atomic.Bool
}

// Run ends after the first slots, or after warmupGrace.
func (w *warmup) Run(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, warmupGrace)
	defer cancel()
	defer w.done.Store(true)
	e := w.edition()
	for e == nil {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(warmupPoll):
			e = w.edition()
		}
	}
	pools := regionPools(e, w.region)
	ended := make(chan struct{}, len(pools))
	for _, targets := range pools {
		go func() {
			defer func() { ended <- struct{}{} }()
			w.obtain(ctx, targets)
		}()
	}
	for range pools {
		<-ended
	}
	return nil
}

// obtain asks for a slot of the pool, again after a refusal, until ctx ends.
func (w *warmup) obtain(ctx context.Context, targets []string) {
	for ctx.Err() == nil {
		if trySlot(ctx, w.admitter, targets) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(warmupPoll):
		}
	}
}

// trySlot obtains a slot of one of the targets before ctx ends and gives it back.
func trySlot(ctx context.Context, a admission.Admitter, targets []string) bool {
	deadline, _ := ctx.Deadline()
	t, err := a.Admit(ctx, admission.Request{Weight: 1, Targets: targets, Prepaid: true, Deadline: deadline})
	if err != nil {
		return false
	}
	a.Done(t, 0)
	return true
}

// regionPools returns the targets of each model and service in a region.
func regionPools(e *config.Config, region string) [][]string {
	var pools [][]string
	for model := range e.Models {
		if names := poolTargets(e, region, model, ""); len(names) > 0 {
			pools = append(pools, names)
		}
	}
	for service := range e.Services {
		if names := poolTargets(e, region, "", service); len(names) > 0 {
			pools = append(pools, names)
		}
	}
	return pools
}

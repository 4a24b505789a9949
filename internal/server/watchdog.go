package server

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// A gap of more than pauseThreshold between two ticks of watchdogInterval means
// that the process did not run: it was stopped or starved, or its machine was
// suspended.
const (
	watchdogInterval = 100 * time.Millisecond
	pauseThreshold   = 500 * time.Millisecond
)

// watchdog detects that the process was paused and calls onPause, so that leases
// and other time-bounded state that may have expired meanwhile is not relied on.
type watchdog struct {
	clock   clock.Clock
	onPause []func()
	log     *event.Logger
}

// Run checks for pauses until ctx ends.
func (w *watchdog) Run(ctx context.Context) error {
	ticker := time.NewTicker(watchdogInterval)
	defer ticker.Stop()
	last := w.clock.Now().Upper
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			last = w.check(last)
		}
	}
}

// check returns the current time and reports a pause if it is more than
// pauseThreshold after last, the time of the previous check.
func (w *watchdog) check(last time.Duration) time.Duration {
	now := w.clock.Now().Upper
	if gap := now - last; gap > pauseThreshold {
		w.log.Emit(event.PauseDetected, zap.Duration("gap", gap))
		for _, notify := range w.onPause {
			notify()
		}
	}
	return now
}

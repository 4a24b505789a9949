package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// A gap of more than pauseAfter between two ticks means that the process did
// not run: it was stopped, starved or its machine was suspended.
const (
	tickInterval = 100 * time.Millisecond
	pauseAfter   = 500 * time.Millisecond
)

// watchdog notices that the process was paused and tells those who hold
// promises or beliefs that may have grown old.
type watchdog struct {
	clock  clock.Clock
	paused []func()
	log    *event.Logger
}

// Run ticks until ctx ends.
func (w *watchdog) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := w.clock.Now().Upper
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			last = w.tick(last)
		}
	}
}

// tick compares the time with that of the last tick and returns it.
func (w *watchdog) tick(last time.Duration) time.Duration {
	now := w.clock.Now().Upper
	if gap := now - last; gap > pauseAfter {
		w.log.Emit(event.PauseDetected, zap.Duration("gap", gap))
		for _, f := range w.paused {
			f()
		}
	}
	return now
}

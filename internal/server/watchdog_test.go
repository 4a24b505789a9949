package server

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// Guards against a process that was stopped, or whose machine was suspended, and
// continues as if no time had passed, and against pauses detected by mistake.
func TestWatchdogDetectsPause(t *testing.T) {
	c := &clock.Virtual{}
	pauses := 0
	w := &watchdog{clock: c, onPause: []func(){func() { pauses++ }}, log: event.Nop()}
	last := c.Now().Upper
	c.Advance(2 * watchdogInterval)
	last = w.check(last)
	if pauses != 0 {
		t.Fatal("a late check was reported as a pause")
	}
	c.Advance(pauseThreshold + time.Millisecond)
	last = w.check(last)
	c.AdvanceUpper(time.Minute)
	w.check(last)
	if pauses != 2 {
		t.Fatalf("detected %d of 2 pauses", pauses)
	}
}

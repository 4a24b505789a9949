package node

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// Guards against a process that was frozen, or whose machine was suspended,
// and goes on as if no time had passed; and against false alarms.
func TestWatchdogNoticesPause(t *testing.T) {
	c := &clock.Virtual{}
	paused := 0
	w := &watchdog{clock: c, paused: []func(){func() { paused++ }}, log: event.Nop()}
	last := c.Now().Upper
	c.Advance(2 * tickInterval)
	last = w.tick(last)
	if paused != 0 {
		t.Fatal("a late tick counted as a pause")
	}
	c.Advance(pauseAfter + time.Millisecond)
	last = w.tick(last)
	c.StepWall(time.Minute)
	w.tick(last)
	if paused != 2 {
		t.Fatalf("noticed %d of 2 pauses", paused)
	}
}

package clock

import (
	"testing"
	"time"
)

// Guards against a holder that uses a lease longer than its grantor honors it
// when the rates of their clocks are wrong by 1% in opposite directions.
func TestHolderEndsBeforeGrantor(t *testing.T) {
	const lease = 2 * time.Second
	slowHolder := ForHolder(lease) * 101 / 100
	fastGrantor := ForGrantor(lease) * 99 / 100
	if slowHolder >= fastGrantor {
		t.Fatalf("holder may use the lease for %v, grantor honors it for %v", slowHolder, fastGrantor)
	}
}

// Guards against readings of the system clock that move backwards.
func TestSystemReadingsDoNotDecrease(t *testing.T) {
	c := NewSystem()
	prev := c.Now()
	for range 1000 {
		r := c.Now()
		if r.Upper < prev.Upper || r.Lower < prev.Lower {
			t.Fatalf("reading went backwards: %+v after %+v", r, prev)
		}
		prev = r
	}
}

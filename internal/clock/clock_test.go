package clock

import (
	"testing"
	"time"
)

// Guards against a lease that its holder uses longer than its grantor honours
// it when their clocks differ by the allowed 1%.
func TestHolderEndsBeforeGrantor(t *testing.T) {
	const lease = 2 * time.Second
	slowHolder := ForHolder(lease) * 101 / 100
	fastGrantor := ForGrantor(lease) * 99 / 100
	if slowHolder >= fastGrantor {
		t.Fatalf("holder may use the lease for %v, grantor honours it for %v", slowHolder, fastGrantor)
	}
}

// Guards against an upper reading that moves backwards or behind the lower one.
func TestSystemUpperCoversLower(t *testing.T) {
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

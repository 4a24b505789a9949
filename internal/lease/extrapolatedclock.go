package lease

import (
	"sync/atomic"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
)

// maxExtrapolation is how long a reading of the system clock is extrapolated. A
// full reading costs a system call and a lock, too much for each admission.
const maxExtrapolation = 5 * time.Millisecond

// extrapolatedClock extrapolates readings of the system clock over a few
// milliseconds by the larger step of the monotonic and the wall clock. It does
// not notice a suspension that neither clock shows, so the last check before a
// request is sent uses the system clock itself.
type extrapolatedClock struct {
	source clock.Clock
	last   atomic.Pointer[extrapolationBase]
}

type extrapolationBase struct {
	at      time.Time
	reading clock.Reading
}

func newExtrapolatedClock(c clock.Clock) *extrapolatedClock { return &extrapolatedClock{source: c} }

// Now returns a reading of the clock. Clocks other than the system's are read
// directly.
func (f *extrapolatedClock) Now() clock.Reading {
	if _, ok := f.source.(*clock.System); !ok {
		return f.source.Now()
	}
	now := time.Now()
	if l := f.last.Load(); l != nil {
		mono := now.Sub(l.at)
		wall := time.Duration(now.UnixNano() - l.at.UnixNano())
		if mono >= 0 && mono < maxExtrapolation && wall > -maxExtrapolation && wall < maxExtrapolation {
			return clock.Reading{Lower: l.reading.Lower + mono, Upper: l.reading.Upper + max(mono, wall)}
		}
	}
	r := f.source.Now()
	f.last.Store(&extrapolationBase{at: now, reading: r})
	return r
}

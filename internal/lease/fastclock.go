package lease

import (
	"sync/atomic"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
)

// fastFor is how long a reading of the system clock is extrapolated. A full
// reading costs a system call and a lock, too much for each admission.
const fastFor = 5 * time.Millisecond

// fastClock extrapolates readings of the system clock over a few milliseconds
// by the larger step of the monotonic and the wall clock. It does not notice a
// suspension that neither clock shows; the last check before a request is sent
// therefore uses the system clock itself.
type fastClock struct {
	slow clock.Clock
	last atomic.Pointer[fastReading]
}

type fastReading struct {
	at time.Time
	r  clock.Reading
}

func newFastClock(c clock.Clock) *fastClock { return &fastClock{slow: c} }

// Now returns a reading of the clock. Clocks other than the system's are read
// directly.
func (f *fastClock) Now() clock.Reading {
	if _, ok := f.slow.(*clock.System); !ok {
		return f.slow.Now()
	}
	now := time.Now()
	if l := f.last.Load(); l != nil {
		mono := now.Sub(l.at)
		wall := time.Duration(now.UnixNano() - l.at.UnixNano())
		if mono >= 0 && mono < fastFor && wall > -fastFor && wall < fastFor {
			return clock.Reading{Lower: l.r.Lower + mono, Upper: l.r.Upper + max(mono, wall)}
		}
	}
	r := f.slow.Now()
	f.last.Store(&fastReading{at: now, r: r})
	return r
}

package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Reading is one sample of a Clock. Both values are times elapsed since an
// arbitrary start; compare them only with readings of the same Clock.
type Reading struct {
	// Lower never runs ahead of true elapsed time by more than the rate error
	// of the hardware clock. Grantors and voters use it: they may consider a
	// lease expired late, which is safe.
	Lower time.Duration
	// Upper never falls behind true elapsed time by more than the rate error.
	// Holders and candidates use it: they may stop using a lease early, which is
	// safe.
	Upper time.Duration
}

// Clock measures elapsed time.
type Clock interface {
	Now() Reading
}

// The clock rates of two instances may differ by 1%. Holders shorten and
// grantors lengthen a lease by twice that, 2%.
const (
	holderPercent  = 98
	grantorPercent = 102
	percent        = 100
)

// ForHolder returns how long the holder of a lease of length d may use it.
func ForHolder(d time.Duration) time.Duration { return d * holderPercent / percent }

// ForGrantor returns how long the grantor of a lease of length d must honor it.
func ForGrantor(d time.Duration) time.Duration { return d * grantorPercent / percent }

// System is a Clock that reads the clocks of the machine.
type System struct {
	mu struct {
		sync.Mutex
		boot, wall time.Duration
		upper      time.Duration
	}
	start time.Time
}

// NewSystem returns a System whose readings start at zero.
func NewSystem() *System {
	s := &System{start: time.Now()}
	s.mu.boot, s.mu.wall = bootTime(), wallTime()
	return s
}

// Now implements Clock. Upper advances by the larger of two steps: that of
// CLOCK_BOOTTIME, which includes the time that the machine was suspended, and
// that of the wall clock, which a hypervisor corrects after it paused the guest
// unnoticed.
func (s *System) Now() Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	boot, wall := bootTime(), wallTime()
	s.mu.upper += max(boot-s.mu.boot, wall-s.mu.wall, 0)
	s.mu.boot, s.mu.wall = boot, wall
	// time.Since uses CLOCK_MONOTONIC, which does not step and does not include
	// the time that the machine was suspended.
	return Reading{Lower: time.Since(s.start), Upper: s.mu.upper}
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return wallTime()
	}
	return time.Duration(ts.Nano())
}

func wallTime() time.Duration { return time.Duration(time.Now().UnixNano()) }

// Virtual is a Clock for tests that advances only by Advance and AdvanceUpper.
type Virtual struct {
	mu struct {
		sync.Mutex
		r Reading
	}
}

// Now implements Clock.
func (v *Virtual) Now() Reading {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mu.r
}

// Advance moves both readings forward by d.
func (v *Virtual) Advance(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.mu.r.Lower += d
	v.mu.r.Upper += d
}

// AdvanceUpper moves only the upper reading forward by d, as after a forward step
// of the wall clock or a suspension of the machine.
func (v *Virtual) AdvanceUpper(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.mu.r.Upper += d
}

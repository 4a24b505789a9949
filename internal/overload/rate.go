package overload

import (
	"math"
	"time"
)

// maxSpread is the longest time over which an amount is taken to be spread: a little
// more than the interval between two calls of RecordWork.
const maxSpread = 250 * time.Millisecond

// rate estimates an amount per second by an exponentially weighted moving average.
type rate struct {
	tau   time.Duration
	value float64
	at    time.Time
}

// add records an amount that was spread evenly over the time since the last call, or
// over maxSpread if that is shorter.
func (r *rate) add(amount float64, now time.Time) {
	dt := now.Sub(r.at)
	if idle := dt - maxSpread; idle > 0 && !r.at.IsZero() {
		r.value *= math.Exp(-idle.Seconds() / r.tau.Seconds())
		r.at, dt = r.at.Add(idle), maxSpread
	}
	switch {
	case r.at.IsZero():
		r.at = now
		r.value = amount / r.tau.Seconds()
	case dt <= 0:
		r.value += amount / r.tau.Seconds()
	default:
		keep := math.Exp(-dt.Seconds() / r.tau.Seconds())
		r.value = r.value*keep + amount/dt.Seconds()*(1-keep)
		r.at = now
	}
}

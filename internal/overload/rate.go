package overload

import (
	"math"
	"time"
)

// rate estimates an amount per second by an exponentially weighted moving average.
type rate struct {
	tau   time.Duration
	value float64
	at    time.Time
}

// add records an amount that was spread evenly over the time since the last call.
func (r *rate) add(amount float64, now time.Time) {
	dt := now.Sub(r.at)
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

package confservice

import (
	"context"
	"math/rand/v2"
	"time"
)

// A waiting call counts as one call, so a long wait keeps the number of calls
// low. It stays below common idle timeouts of network devices.
const WaitTime = 20 * time.Second

// Delays before a failed call is repeated. When the service goes down, all 124
// watches of 330 instances fail at once; with a first delay of 0.5 to 1 s they
// stay below 200 calls/s.
const (
	backoffMin = time.Second
	backoffMax = 10 * time.Second
)

// Backoff gives the delays between repeated calls: they double up to a
// maximum and are drawn from the upper half, so that instances that failed
// together do not call together again.
type Backoff struct{ failures int }

// Next returns the delay after one more failure. random is in [0, 1).
func (b *Backoff) Next(random float64) time.Duration {
	d := backoffMax
	if b.failures < 10 {
		d = min(backoffMax, backoffMin<<b.failures)
	}
	b.failures++
	return d/2 + time.Duration(random*float64(d/2))
}

// Failures returns the number of failures since the last Reset.
func (b *Backoff) Failures() int { return b.failures }

// Reset is called after a success.
func (b *Backoff) Reset() { b.failures = 0 }

// Source is the part of Client that a watch needs.
type Source interface {
	Wait(ctx context.Context, name string, after int64, wait time.Duration) (Value, bool, error)
}

// Outcome is the result of one call of a watch.
type Outcome struct {
	Value   Value
	Changed bool
	Err     error
	// Failures in sequence, including this one.
	Failures int
}

// Watch calls the service for the value until ctx ends, one call at a time,
// and reports each outcome. after returns the revision beyond which a value is
// of interest.
func Watch(ctx context.Context, source Source, name string, after func() int64, report func(Outcome)) {
	var backoff Backoff
	for ctx.Err() == nil {
		started := time.Now()
		v, changed, err := source.Wait(ctx, name, after(), WaitTime)
		if ctx.Err() != nil {
			return
		}
		delay := time.Duration(0)
		switch {
		case err != nil:
			delay = backoff.Next(rand.Float64())
		case !changed && time.Since(started) < WaitTime/2:
			// A service that does not hold the call must not be called in a loop.
			delay = backoff.Next(rand.Float64())
		default:
			backoff.Reset()
		}
		report(Outcome{Value: v, Changed: changed, Err: err, Failures: backoff.Failures()})
		if !sleep(ctx, delay) {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

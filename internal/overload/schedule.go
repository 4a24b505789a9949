package overload

import (
	"slices"
	"time"
)

const (
	// minRetryFraction is the least retry delay as a fraction of the objective: an
	// immediate retry meets the same queue. maxRetryFraction is the greatest as a
	// fraction of the time left: callers accept a third, and this leaves a reserve.
	minRetryFraction = 0.25
	maxRetryFraction = 0.3
	// returnShare is the fraction of the capacity that is promised to returns. With
	// all of it, every caller would be refused once in a long overload, and served
	// late when it comes back, before new callers that could be in time.
	returnShare = 0.15
	// scheduleStep is the resolution of the schedule.
	scheduleStep = 20 * time.Millisecond
	// promiseTolerance is how much earlier than promised a caller may return, as a
	// fraction of the promised delay: clocks of callers are coarse.
	promiseTolerance = 0.1
	// promiseGrace is how much later than promised a caller may return.
	promiseGrace = time.Second
	// maxPromises bounds the promises that are remembered.
	maxPromises = 2048
)

// promise is a return that a refused caller was asked for.
type promise struct {
	key      uint64
	earliest time.Time
	at       time.Time
	work     time.Duration
	// covered is set if capacity was expected at that time.
	covered bool
}

// schedule holds the promised returns, ordered by time.
type schedule struct {
	promises []promise
	kept     int
}

// promise returns the delay after which a refused caller should return: the earliest
// at which the capacity, in seconds of work per second, has room beside the waiting
// work and the returns that are already promised. Without such a time the delay is
// the greatest that callers accept. The return is added to the schedule.
func (s *schedule) promise(r *Request, waiting time.Duration, capacity float64, now time.Time) time.Duration {
	s.expire(now)
	least := time.Duration((0.7 + 0.6*r.Jitter) * minRetryFraction * float64(r.Objective))
	most := time.Duration(maxRetryFraction * float64(max(r.Deadline.Sub(now), r.CallerDeadline.Sub(now))))
	if most <= 0 {
		return 0
	}
	delay, due, i := min(least, most), waiting, 0
	for ; delay < most; delay += scheduleStep {
		for ; i < len(s.promises) && !s.promises[i].at.After(now.Add(delay)); i++ {
			if s.promises[i].covered {
				due += s.promises[i].work
			}
		}
		if returnShare*capacity*delay.Seconds() >= (due + r.Work).Seconds() {
			break
		}
	}
	covered := delay < most
	if !covered {
		// Returns for which no capacity is expected are spread.
		delay = time.Duration((0.8 + 0.2*r.Jitter) * float64(most))
	}
	if r.Key != 0 && len(s.promises) < maxPromises {
		p := promise{key: r.Key, earliest: now.Add(time.Duration((1 - promiseTolerance) * float64(delay))), at: now.Add(delay), work: r.Work, covered: covered}
		at, _ := slices.BinarySearchFunc(s.promises, p, func(a, b promise) int { return a.at.Compare(b.at) })
		s.promises = slices.Insert(s.promises, at, p)
	}
	return delay
}

// match looks for the promise to the caller of a request. kept is set, and the
// promise removed, if the caller returned as instructed; covered is set if capacity
// was promised to it. Otherwise early is the time until it should return, 0 if it was
// promised nothing.
func (s *schedule) match(key uint64, now time.Time) (kept, covered bool, early time.Duration) {
	s.expire(now)
	if key == 0 {
		return false, false, 0
	}
	for i, p := range s.promises {
		if p.key == key && !now.Before(p.earliest) {
			s.promises = slices.Delete(s.promises, i, i+1)
			s.kept++
			return true, p.covered, 0
		}
	}
	return false, false, s.early(key, now)
}

// early returns the time until a caller should return; 0 if it was promised nothing.
func (s *schedule) early(key uint64, now time.Time) time.Duration {
	for _, p := range s.promises {
		if key != 0 && p.key == key && now.Before(p.earliest) {
			return p.at.Sub(now)
		}
	}
	return 0
}

func (s *schedule) expire(now time.Time) {
	n := 0
	for n < len(s.promises) && s.promises[n].at.Add(promiseGrace).Before(now) {
		n++
	}
	s.promises = slices.Delete(s.promises, 0, n)
}

package overload

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/wigeonhill/wigeonhill/internal/event"
)

const propertySeed = 7

func checkProperty(t *testing.T, property func(rng *rand.Rand) string) {
	t.Helper()
	p := gopter.DefaultTestParametersWithSeed(propertySeed)
	p.MinSuccessfulTests = 300
	ps := gopter.NewProperties(p)
	ps.Property(t.Name(), prop.ForAll(func(seed uint64) string { return property(rand.New(rand.NewPCG(seed, 0))) }, gen.UInt64()))
	ps.TestingRun(t)
}

var start = time.Unix(1000, 0)

func randomRequest(rng *rand.Rand, now time.Time) Request {
	objective := time.Duration(200+rng.IntN(1500)) * time.Millisecond
	arrived := now.Add(-time.Duration(rng.IntN(300)) * time.Millisecond)
	return Request{
		Team: string(rune('a' + rng.IntN(4))), Rank: rng.IntN(4), Arrived: arrived, Objective: objective, Deadline: arrived.Add(objective * time.Duration(2+rng.IntN(8))),
		Unloaded: time.Duration(5+rng.IntN(100)) * time.Millisecond, Work: time.Duration(1+rng.IntN(80)) * time.Millisecond,
		Bytes: int64(rng.IntN(4000)), Key: uint64(rng.IntN(50)), Jitter: rng.Float64(),
	}
}

// randomQueue returns a queue that starts perSecond of work, with some requests.
func randomQueue(rng *rand.Rand, l Limits, perSecond float64) (*Queue, time.Time) {
	q, now := NewQueue(l), start
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		q.RecordWork(Work{Started: time.Duration(perSecond * float64(100*time.Millisecond))}, now)
	}
	for range rng.IntN(60) {
		q.Offer(randomRequest(rng, now), now)
		now = now.Add(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
	return q, now
}

// Guards against a queue that exceeds its limits or loses count of them, against a
// refusal that asks callers to return later than they accept, and against refusing
// another request than the one that loses least.
func TestQueueIsBounded(t *testing.T) {
	checkProperty(t, func(rng *rand.Rand) string {
		l := Limits{Entries: 1 + rng.IntN(20), Bytes: 1 + int64(rng.IntN(30000))}
		q, now := randomQueue(rng, l, 4*rng.Float64())
		for range 40 {
			r := randomRequest(rng, now)
			_, refusal, displaced := q.Offer(r, now)
			if refusal != nil && (refusal.RetryAfter < 0 || refusal.RetryAfter > max(0, time.Duration(maxRetryFraction*float64(r.Deadline.Sub(now))))) && refusal.Reason != Repeated {
				return "retry delay " + refusal.RetryAfter.String()
			}
			if displaced != nil && displaced.Rank < r.Rank && !displaced.Low {
				return "a request of a better rank was displaced"
			}
			bytes := int64(0)
			for _, e := range q.entries {
				bytes += e.Bytes
			}
			if q.Len() > l.Entries || q.bytes > l.Bytes || q.bytes != bytes {
				return "limits exceeded"
			}
			now = now.Add(time.Millisecond)
		}
		return ""
	})
}

// Guards against refusing a request for which there is time even if only the least
// part of the capacity is left for it.
func TestWhatFitsIsNotRefused(t *testing.T) {
	checkProperty(t, func(rng *rand.Rand) string {
		perSecond := 0.5 + 4*rng.Float64()
		q, now := randomQueue(rng, Limits{Entries: 1000, Bytes: 1 << 30}, perSecond)
		r := randomRequest(rng, now)
		work := r.Work
		for _, e := range q.entries {
			work += e.Work
		}
		wait := time.Duration(float64(work) / (leftoverFraction * q.started.value))
		_, refusal, _ := q.Offer(r, now)
		if refusal != nil && wait < time.Duration(lateHoldFraction*float64(r.Deadline.Sub(now)-r.Unloaded)) {
			return "refused: " + string(refusal.Reason)
		}
		return ""
	})
}

// Guards against a slot that stays idle while a request waits that may use it, and
// against starting a request before another that precedes it.
func TestStartsInOrderAndLeavesNoSlotIdle(t *testing.T) {
	checkProperty(t, func(rng *rand.Rand) string {
		q, now := randomQueue(rng, Limits{Entries: 1000, Bytes: 1 << 30}, 3)
		q.starts = 0
		slots, waiting := rng.IntN(oldestShare-1), q.Len()
		var last *Entry
		fault, unusable := "", rng.IntN(5) // requests of this rank have no place
		others := 0
		for _, e := range q.entries {
			if e.Rank != unusable {
				others++
			}
		}
		started := 0
		q.Start(now, func(e *Entry, _ Mode) bool {
			if e.Rank == unusable || started == slots {
				return false
			}
			if last != nil && compare(last, e, now) > 0 {
				fault = "started out of order"
			}
			last = e
			started++
			return true
		})
		if unusable == 4 && started != min(slots, waiting) {
			return "idle slot"
		}
		if started < min(slots, others) && q.Len() > 0 && rankCount(q, unusable) < maxFailedTries {
			return "idle slot behind a request that cannot use it"
		}
		return fault
	})
}

func rankCount(q *Queue, rank int) (n int) {
	for _, e := range q.entries {
		if e.Rank == rank {
			n++
		}
	}
	return n
}

// Guards against a caller that gains by coming back before the promised time, and
// against one that comes back as instructed and is not recognised.
func TestReturnsAreRecognised(t *testing.T) {
	q, now := randomQueue(rand.New(rand.NewPCG(1, 1)), Limits{Entries: 1000, Bytes: 1 << 30}, 4)
	r := Request{Arrived: now, Objective: 400 * time.Millisecond, Deadline: now.Add(4 * time.Second), Work: 20 * time.Millisecond, Key: 99}
	first := q.Refuse(r, NoRoom, now)
	again := q.Refuse(r, NoRoom, now.Add(first.RetryAfter/4))
	if again.Reason != Repeated || again.RetryAfter > first.RetryAfter*3/4+time.Millisecond {
		t.Errorf("first refusal %+v, repeated at once %+v", first, again)
	}
	if e, _, _ := q.Offer(r, now.Add(first.RetryAfter/4)); e != nil && (!e.Low || e.Returned) {
		t.Errorf("repeated at once: %+v", e)
	}
	if e, refusal, _ := q.Offer(r, now.Add(first.RetryAfter)); e == nil || !e.Returned || e.Low {
		t.Errorf("returned as instructed: %+v, %+v", e, refusal)
	}
}

// Guards against requests that are forgotten in the queue: one starts when a request
// ends, one leaves with its caller, one is released when it is hopeless, and the rest
// is refused when the instance stops.
func TestWaitingEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := NewManager(Limits{}, event.Nop())
		for range 20 {
			m.Started("s", 100*time.Millisecond)
			m.Refresh()
			time.Sleep(100 * time.Millisecond)
		}
		free := 0
		acquire := func(ctx context.Context, timeout time.Duration) chan error {
			out := make(chan error, 1)
			go func() {
				out <- m.Acquire(ctx, "s", Request{Arrived: time.Now(), Objective: timeout, Deadline: time.Now().Add(timeout), Work: time.Millisecond}, func(Mode, time.Time) bool {
					free--
					return free >= 0
				})
			}()
			synctest.Wait()
			return out
		}
		first := acquire(t.Context(), 5*time.Second)
		free = 1
		m.Freed("s")
		if err := <-first; err != nil {
			t.Errorf("started: %v", err)
		}
		free = 0
		ctx, cancel := context.WithCancel(t.Context())
		left := acquire(ctx, 5*time.Second)
		cancel()
		if err := <-left; !errors.Is(err, ErrGone) || m.Waiting("s") != 0 {
			t.Errorf("the caller has left: %v, %d wait", err, m.Waiting("s"))
		}
		began := time.Now()
		var refused *RefusedError
		if err := <-acquire(t.Context(), time.Second); !errors.As(err, &refused) || refused.Reason == Stopping || time.Since(began) > time.Second+2*retryInterval {
			t.Errorf("hopeless: %v after %s", err, time.Since(began))
		}
		m.Started("s", time.Second)
		last := acquire(t.Context(), 5*time.Second)
		m.Stop()
		if err := <-last; !errors.As(err, &refused) || refused.Reason != Stopping {
			t.Errorf("stopped: %v", err)
		}
	})
}

// Guards against a window that stays closed because the only request that it allows
// does not end, and against one that rejections do not close.
func TestWindowOpensAgain(t *testing.T) {
	var w window
	w.begin()
	w.end(true)
	w.begin() // does not end
	now := start
	for range 5 {
		w.relax(now)
		if !w.full() {
			t.Fatal("no window after a rejection")
		}
		now = now.Add(100 * time.Millisecond)
	}
	for range 40 {
		w.relax(now)
		now = now.Add(100 * time.Millisecond)
	}
	if w.full() {
		t.Errorf("closed four seconds after the last rejection, limit %.1f", w.size())
	}
}

// BenchmarkIdle measures what the queue costs a request while none waits.
func BenchmarkIdle(b *testing.B) {
	m := NewManager(Limits{}, event.Nop())
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m.Arrived("s", "team", 2, time.Millisecond)
			if m.Waiting("s") == 0 && !m.Full("s") && !m.Windowed("s") {
				m.Begin("s")
				m.Started("s", time.Millisecond)
				m.Returned("s", nil)
				m.End("s", false)
				m.Freed("s")
			}
		}
	})
}

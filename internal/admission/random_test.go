package admission

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// randomRun drives a Manager with random steps, without goroutines.
type randomRun struct {
	holder      *fakeHolder
	clock       *fakeClock
	m           *Manager
	rng         *rand.Rand
	waiting     []*simRequest
	admitted    []*simRequest
	slotsAdded  int
	tokensAdded float64
	tokensUsed  float64
}

func newRandomRun(seed uint64) *randomRun {
	holder, clock := newFakeHolder(), newFakeClock()
	m := New(Config{Tokens: holder, Slots: holder, Now: clock.now, MaxQueuedPerTeam: 6, MaxQueued: 12})
	return &randomRun{holder: holder, clock: clock, m: m, rng: rand.New(rand.NewPCG(seed, 1))}
}

func (s *randomRun) request() (Request, bool) {
	r := Request{
		Team: string(rune('a' + s.rng.IntN(4))), Weight: float64(1 + s.rng.IntN(3)), Tokens: float64(s.rng.IntN(5) * 20),
		Prepaid: s.rng.IntN(6) == 0, Deadline: s.clock.now().Add(time.Duration(s.rng.IntN(3000)-100) * time.Millisecond),
	}
	for i := range 5 {
		if s.rng.IntN(2) == 0 {
			r.Targets = append(r.Targets, fmt.Sprintf("t%d", i))
		}
	}
	return r, s.rng.IntN(8) == 0
}

func (s *randomRun) step(kind uint8) {
	switch kind % 8 {
	case 0, 1, 2:
		r, isRetry := s.request()
		if isRetry {
			r.Prepaid = true // as AcquireSlot does
		}
		e, got, err := s.m.submit(r, isRetry, nil)
		w := &simRequest{request: r, entry: e, allocation: got, ended: e == nil, refused: err != nil}
		if err == nil {
			s.waiting = append(s.waiting, w)
		}
	case 3:
		if len(s.admitted) > 0 {
			i := s.rng.IntN(len(s.admitted))
			w := s.admitted[i]
			s.admitted = append(s.admitted[:i], s.admitted[i+1:]...)
			used := 0.0
			if w.allocation.debited {
				used = w.request.Tokens * s.rng.Float64()
			}
			s.tokensUsed += used
			s.m.release(w.allocation, used)
		}
	case 4:
		n := float64(s.rng.IntN(100))
		s.tokensAdded += n
		s.holder.addTokens(string(rune('a'+s.rng.IntN(4))), n)
		s.m.retryQueued()
	case 5:
		s.slotsAdded++
		s.holder.addSlots(fmt.Sprintf("t%d", s.rng.IntN(5)), 1)
		s.m.retryQueued()
	case 6:
		if len(s.waiting) > 0 {
			i := s.rng.IntN(len(s.waiting))
			w := s.waiting[i]
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.m.abandon(w.entry)
		}
	case 7:
		s.clock.advance(time.Duration(s.rng.IntN(800)) * time.Millisecond)
		s.m.retryQueued()
	}
	keep := s.waiting[:0]
	for _, w := range s.waiting {
		if !w.ended {
			(&managerPolicy{s.m}).poll(w)
		}
		switch {
		case !w.ended:
			keep = append(keep, w)
		case !w.refused:
			s.admitted = append(s.admitted, w)
		}
	}
	s.waiting = keep
}

// checkInvariants returns an error for the first violated invariant.
func (s *randomRun) checkInvariants() error {
	holder := s.holder
	idle, held, debits := 0, 0, 0.0
	for _, n := range holder.idle {
		idle += n
	}
	for _, w := range s.admitted {
		if w.allocation.hasSlot {
			held++
		}
		if w.allocation.debited {
			debits += w.allocation.debit.Tokens
		}
		if w.allocation.hasSlot != (len(w.request.Targets) > 0) || w.allocation.debited != (w.request.Tokens > 0 && !w.request.Prepaid) {
			return fmt.Errorf("admitted %+v without its allocation: %+v", w.request, w.allocation)
		}
	}
	balance := 0.0
	for _, b := range holder.balance {
		balance += b
	}
	q := s.m.mu.q
	switch {
	case len(holder.misuse) > 0:
		return fmt.Errorf("%v", holder.misuse)
	case len(holder.busy) != held || idle+held != s.slotsAdded:
		return fmt.Errorf("%d slots in use, %d idle, %d held of %d", len(holder.busy), idle, held, s.slotsAdded)
	case !approxEqual(holder.debited-holder.refunded, debits+s.tokensUsed) || !approxEqual(balance+holder.debited, s.tokensAdded):
		return fmt.Errorf("debited %v, refunded %v, but %v held and %v used", holder.debited, holder.refunded, debits, s.tokensUsed)
	case q.total != len(s.waiting):
		return fmt.Errorf("%d queued, %d waiting", q.total, len(s.waiting))
	}
	return s.checkQueue(q)
}

func approxEqual(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }

// checkQueue compares the queue's counters with a recount, and looks for a
// request that could be served but was not.
func (s *randomRun) checkQueue(q *queue) error {
	tokens, slots, slotWaiters := map[string]float64{}, map[string]int{}, map[*pool]int{}
	for _, w := range s.waiting {
		e := w.entry
		tokens[e.team] += e.tokens
		if !q.teams[e.team].tokenBlocked {
			slotWaiters[e.subqueue.flow.pool]++
		}
		for _, t := range e.targets {
			slots[t.name]++
			if t.pool != e.subqueue.flow.pool {
				return fmt.Errorf("target %s is in another pool than its request", t.name)
			}
		}
		if s.hasSlot(e) && s.holder.balance[e.team] >= e.tokens && e.subqueue.entries[0] == e && !s.waitsBehindBlocker(e) {
			return fmt.Errorf("request %+v could be served", w.request)
		}
	}
	for name, n := range s.holder.tokenDemand {
		if !approxEqual(n, tokens[name]) {
			return fmt.Errorf("reported demand %v tokens of %s, want %v", n, name, tokens[name])
		}
	}
	for name, n := range s.holder.slotDemand {
		if n != slots[name] {
			return fmt.Errorf("reported demand %d slots of %s, want %d", n, name, slots[name])
		}
	}
	for _, p := range q.pools {
		if p.slotWaiters != slotWaiters[p] || p.serviceRate.backlogged != (p.slotWaiters > 0) {
			return fmt.Errorf("pool counts %d slot waiters, recount %d", p.slotWaiters, slotWaiters[p])
		}
	}
	return nil
}

func (s *randomRun) hasSlot(e *entry) bool {
	free := len(e.targets) == 0
	for _, t := range e.targets {
		free = free || s.holder.idle[t.name] > 0
	}
	return free
}

// waitsBehindBlocker reports whether e waits behind another request of its team
// that waits for tokens.
func (s *randomRun) waitsBehindBlocker(e *entry) bool {
	t := s.m.mu.q.teams[e.team]
	return e.tokens > 0 && t.blocker != nil && t.blocker != e && t.blocker.subqueue != nil && t.blocker.tokens > s.holder.balance[e.team]
}

// Guards against tokens or slots that leak or count twice, requests that end
// twice or never, refused requests with an allocation, demand that differs from
// the queue, and requests that wait although they could be served.
func TestRandomSteps(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(3)
	params.MinSuccessfulTests = 1000
	p := gopter.NewProperties(params)
	p.Property("invariants hold after each step", prop.ForAll(func(seed uint64, steps []uint8) (string, error) {
		s := newRandomRun(seed)
		for i, k := range steps {
			s.step(k)
			if err := s.checkInvariants(); err != nil {
				return "", fmt.Errorf("seed %d step %d (%d): %w", seed, i, k%8, err)
			}
		}
		s.m.stop()
		s.step(7) // advances the clock and collects the results
		if len(s.waiting) > 0 {
			return "", errors.New("requests without a result after the stop")
		}
		for _, w := range s.admitted {
			s.tokensUsed += w.allocation.debit.Tokens
			s.m.release(w.allocation, w.allocation.debit.Tokens)
		}
		s.admitted = nil
		return "", s.checkInvariants()
	}, gen.UInt64(), gen.SliceOfN(120, gen.UInt8(), reflect.TypeFor[uint8]())))
	p.TestingRun(t)
}

// Guards against the same failures when goroutines admit, cancel, end requests
// and stop the Manager concurrently; most useful with the race detector.
func TestConcurrent(t *testing.T) {
	holder := newFakeHolder()
	for i := range 3 {
		holder.idle[fmt.Sprintf("t%d", i)] = 2
	}
	m := New(Config{Tokens: holder, Slots: holder, MaxQueuedPerTeam: 64, MaxQueued: 200})
	ctx, cancel := context.WithCancel(context.Background())
	ran := make(chan struct{})
	go func() {
		_ = m.Run(ctx)
		close(ran)
	}()
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(5, uint64(i)))
			for range 200 {
				team := string(rune('a' + rng.IntN(4)))
				holder.addTokens(team, 10)
				reqCtx, cancelReq := context.WithTimeout(ctx, time.Duration(rng.IntN(2000))*time.Microsecond)
				r := Request{Team: team, Weight: 1, Tokens: 10, Targets: []string{"t0", "t1", "t2"}[rng.IntN(3):]}
				ticket, err := m.Admit(reqCtx, r)
				if err == nil {
					m.Done(ticket, 5)
				} else if result.FromError(err).Ran != result.NotRun {
					t.Errorf("refusal is not marked as not run: %v", err)
				}
				cancelReq()
			}
		})
	}
	wg.Wait()
	cancel()
	<-ran
	if len(holder.misuse) > 0 || len(holder.busy) > 0 || m.Outstanding() != 0 || m.Queued() != 0 {
		t.Errorf("misuse %v, in use %d, outstanding %d, queued %d", holder.misuse, len(holder.busy), m.Outstanding(), m.Queued())
	}
	for name, n := range holder.slotDemand {
		if n != 0 || holder.idle[name] != 2 {
			t.Errorf("%s: demand %d, idle %d", name, n, holder.idle[name])
		}
	}
}

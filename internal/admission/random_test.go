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

// script drives a Manager through random steps, without goroutines.
type script struct {
	f       *fakeRights
	v       *virtualNow
	m       *Manager
	rng     *rand.Rand
	waiting []*waiter
	granted []*waiter
	slots   int
	given   float64 // tokens
	used    float64
}

func newScript(seed uint64) *script {
	f, v := newFake(), newVirtualNow()
	m := New(Config{Tokens: f, Slots: f, Now: v.now, MaxQueuedPerTeam: 6, MaxQueued: 12})
	return &script{f: f, v: v, m: m, rng: rand.New(rand.NewPCG(seed, 1))}
}

func (s *script) request() (Request, bool) {
	r := Request{
		Team: string(rune('a' + s.rng.IntN(4))), Weight: float64(1 + s.rng.IntN(3)), Tokens: float64(s.rng.IntN(5) * 20),
		Prepaid: s.rng.IntN(6) == 0, Deadline: s.v.now().Add(time.Duration(s.rng.IntN(3000)-100) * time.Millisecond),
	}
	for i := range 5 {
		if s.rng.IntN(2) == 0 {
			r.Targets = append(r.Targets, fmt.Sprintf("t%d", i))
		}
	}
	return r, s.rng.IntN(8) == 0
}

func (s *script) step(kind uint8) {
	switch kind % 8 {
	case 0, 1, 2:
		r, urgent := s.request()
		if urgent {
			r.Prepaid = true // as Reslot does
		}
		e, got, err := s.m.submit(r, urgent, nil)
		w := &waiter{r: r, entry: e, rights: got, ended: e == nil, err: err != nil}
		if err == nil {
			s.waiting = append(s.waiting, w)
		}
	case 3:
		if len(s.granted) > 0 {
			i := s.rng.IntN(len(s.granted))
			w := s.granted[i]
			s.granted = append(s.granted[:i], s.granted[i+1:]...)
			used := 0.0
			if w.rights.debited {
				used = w.r.Tokens * s.rng.Float64()
			}
			s.used += used
			s.m.giveBack(w.rights, used)
		}
	case 4:
		n := float64(s.rng.IntN(100))
		s.given += n
		s.f.addTokens(string(rune('a'+s.rng.IntN(4))), n)
		s.m.round()
	case 5:
		s.slots++
		s.f.addSlots(fmt.Sprintf("t%d", s.rng.IntN(5)), 1)
		s.m.round()
	case 6:
		if len(s.waiting) > 0 {
			i := s.rng.IntN(len(s.waiting))
			w := s.waiting[i]
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			s.m.abandon(w.entry)
		}
	case 7:
		s.v.advance(time.Duration(s.rng.IntN(800)) * time.Millisecond)
		s.m.round()
	}
	keep := s.waiting[:0]
	for _, w := range s.waiting {
		if !w.ended {
			(&managed{s.m}).poll(w)
		}
		switch {
		case !w.ended:
			keep = append(keep, w)
		case !w.err:
			s.granted = append(s.granted, w)
		}
	}
	s.waiting = keep
}

// fault returns the first broken invariant.
func (s *script) fault() error {
	f := s.f
	idle, held, debits := 0, 0, 0.0
	for _, n := range f.idle {
		idle += n
	}
	for _, w := range s.granted {
		if w.rights.hasSlot {
			held++
		}
		if w.rights.debited {
			debits += w.rights.admission.Tokens
		}
		if w.rights.hasSlot != (len(w.r.Targets) > 0) || w.rights.debited != (w.r.Tokens > 0 && !w.r.Prepaid) {
			return fmt.Errorf("granted %+v without its rights: %+v", w.r, w.rights)
		}
	}
	balance := 0.0
	for _, b := range f.balance {
		balance += b
	}
	q := s.m.mu.q
	switch {
	case len(f.faults) > 0:
		return fmt.Errorf("%v", f.faults)
	case len(f.busy) != held || idle+held != s.slots:
		return fmt.Errorf("%d slots in use, %d idle, %d held of %d", len(f.busy), idle, held, s.slots)
	case !near(f.debited-f.refunded, debits+s.used) || !near(balance+f.debited, s.given):
		return fmt.Errorf("debited %v, refunded %v, but %v held and %v used", f.debited, f.refunded, debits, s.used)
	case q.total != len(s.waiting):
		return fmt.Errorf("%d queued, %d waiting", q.total, len(s.waiting))
	}
	return s.queueFault(q)
}

func near(a, b float64) bool { return a-b < 1e-6 && b-a < 1e-6 }

// queueFault compares counters with a recount, and looks for a request that
// could be served but was not.
func (s *script) queueFault(q *queue) error {
	tokens, slots, ready := map[string]float64{}, map[string]int{}, map[*pool]int{}
	for _, w := range s.waiting {
		e := w.entry
		tokens[e.team] += e.tokens
		if !q.teams[e.team].blocked {
			ready[e.lane.flow.pool]++
		}
		for _, t := range e.targets {
			slots[t.name]++
			if t.pool != e.lane.flow.pool {
				return fmt.Errorf("target %s is in another pool than its request", t.name)
			}
		}
		if s.hasSlot(e) && s.f.balance[e.team] >= e.tokens && e.lane.entries[0] == e && !s.behind(e) {
			return fmt.Errorf("request %+v could be served", w.r)
		}
	}
	for name, n := range s.f.wantTok {
		if !near(n, tokens[name]) {
			return fmt.Errorf("stated demand %v tokens of %s, want %v", n, name, tokens[name])
		}
	}
	for name, n := range s.f.wantSlot {
		if n != slots[name] {
			return fmt.Errorf("stated demand %d slots of %s, want %d", n, name, slots[name])
		}
	}
	for _, p := range q.pools {
		if p.ready != ready[p] || p.service.on != (p.ready > 0) {
			return fmt.Errorf("pool counts %d ready, recount %d", p.ready, ready[p])
		}
	}
	return nil
}

func (s *script) hasSlot(e *entry) bool {
	free := len(e.targets) == 0
	for _, t := range e.targets {
		free = free || s.f.idle[t.name] > 0
	}
	return free
}

// behind reports whether another request of the same team waits for tokens and
// e waits behind it.
func (s *script) behind(e *entry) bool {
	t := s.m.mu.q.teams[e.team]
	return e.tokens > 0 && t.blocker != nil && t.blocker != e && t.blocker.lane != nil && t.blocker.tokens > s.f.balance[e.team]
}

// Guards against tokens or slots that leak or count twice, requests that end
// twice or never, refused requests that hold rights, demand that differs from
// the queue, and requests that wait although they could run.
func TestRandomSteps(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(3)
	params.MinSuccessfulTests = 1000
	p := gopter.NewProperties(params)
	p.Property("invariants hold after each step", prop.ForAll(func(seed uint64, steps []uint8) (string, error) {
		s := newScript(seed)
		for i, k := range steps {
			s.step(k)
			if err := s.fault(); err != nil {
				return "", fmt.Errorf("seed %d step %d (%d): %w", seed, i, k%8, err)
			}
		}
		s.m.stop()
		s.step(7)
		if len(s.waiting) > 0 {
			return "", errors.New("requests without an answer after the stop")
		}
		for _, w := range s.granted {
			s.used += w.rights.admission.Tokens
			s.m.giveBack(w.rights, w.rights.admission.Tokens)
		}
		s.granted = nil
		return "", s.fault()
	}, gen.UInt64(), gen.SliceOfN(120, gen.UInt8(), reflect.TypeFor[uint8]())))
	p.TestingRun(t)
}

// Guards the same against goroutines that admit, cancel, end and stop at the
// same time; it is most useful with the race detector.
func TestConcurrent(t *testing.T) {
	f := newFake()
	for i := range 3 {
		f.idle[fmt.Sprintf("t%d", i)] = 2
	}
	m := New(Config{Tokens: f, Slots: f, MaxQueuedPerTeam: 64, MaxQueued: 200})
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
				f.addTokens(team, 10)
				one, stop := context.WithTimeout(ctx, time.Duration(rng.IntN(2000))*time.Microsecond)
				r := Request{Team: team, Weight: 1, Tokens: 10, Targets: []string{"t0", "t1", "t2"}[rng.IntN(3):]}
				ticket, err := m.Admit(one, r)
				if err == nil {
					m.Done(ticket, 5)
				} else if result.From(err).Ran != result.NotRun {
					t.Errorf("refusal is not marked as not run: %v", err)
				}
				stop()
			}
		})
	}
	wg.Wait()
	cancel()
	<-ran
	if len(f.faults) > 0 || len(f.busy) > 0 || m.Outstanding() != 0 || m.Queued() != 0 {
		t.Errorf("faults %v, in use %d, outstanding %d, queued %d", f.faults, len(f.busy), m.Outstanding(), m.Queued())
	}
	for name, n := range f.wantSlot {
		if n != 0 || f.idle[name] != 2 {
			t.Errorf("%s: demand %d, idle %d", name, n, f.idle[name])
		}
	}
}

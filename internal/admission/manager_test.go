package admission

import (
	"context"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

type answer struct {
	t   Ticket
	err error
}

func (m *Manager) admitAsync(ctx context.Context, r Request) chan answer {
	c := make(chan answer, 1)
	before := m.Queued()
	go func() {
		t, err := m.Admit(ctx, r)
		c <- answer{t, err}
	}()
	for m.Queued() == before && len(c) == 0 {
		time.Sleep(50 * time.Microsecond)
	}
	return c
}

func start(t *testing.T, f *fakeRights) (*Manager, *virtualNow, func()) {
	t.Helper()
	v := newVirtualNow()
	m := New(Config{Tokens: f, Slots: f, Now: v.now})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = m.Run(ctx)
		close(done)
	}()
	return m, v, func() {
		cancel()
		<-done
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.faults) > 0 || len(f.busy) > 0 {
			t.Errorf("faults %v, slots in use %v", f.faults, f.busy)
		}
		for name, n := range f.wantSlot {
			if n != 0 {
				t.Errorf("demand for slots of %s is still %d", name, n)
			}
		}
		for name, n := range f.wantTok {
			if n != 0 {
				t.Errorf("demand for tokens of %s is still %v", name, n)
			}
		}
	}
}

func code(t *testing.T, err error) result.Code {
	t.Helper()
	e := result.From(err)
	if e.Ran != result.NotRun {
		t.Fatalf("refusal %v is not marked as not run", err)
	}
	return e.Code
}

// Guards against rights that leak when a waiting caller leaves, and against
// demand that stays stated after the wait has ended.
func TestCancelFreesEverything(t *testing.T) {
	f := newFake()
	f.balance["a"] = 100
	f.idle["x"] = 1
	m, _, stop := start(t, f)
	r := Request{Team: "a", Weight: 1, Tokens: 40, Targets: []string{"x"}}
	first, err := m.Admit(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := m.admitAsync(ctx, r)
	cancel()
	if got := <-c; code(t, got.err) != result.DeadlineTooNear {
		t.Fatalf("got %v", got.err)
	}
	m.Done(first, 10)
	m.Done(first, 10) // must change nothing
	if f.refunded != 30 || m.Outstanding() != 0 || m.Queued() != 0 {
		t.Fatalf("refunded %v, outstanding %d, queued %d", f.refunded, m.Outstanding(), m.Queued())
	}
	stop()
}

// Guards against a queued request that is not woken by a freed slot, by new
// tokens or by new slots.
func TestWakeUps(t *testing.T) {
	f := newFake()
	f.balance["a"] = 40
	f.idle["x"] = 1
	m, _, stop := start(t, f)
	r := Request{Team: "a", Weight: 1, Tokens: 40, Targets: []string{"y", "x"}}
	one, err := m.Admit(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	second := m.admitAsync(context.Background(), r)
	third := m.admitAsync(context.Background(), r)
	f.addTokens("a", 80)
	m.Done(one, 40)
	two := <-second
	if two.err != nil {
		t.Fatal(two.err)
	}
	f.addSlots("y", 1)
	three := <-third
	if three.err != nil || three.t.Slot.Target != "y" {
		t.Fatalf("got %+v, %v", three.t, three.err)
	}
	m.Done(two.t, 40)
	m.Done(three.t, 40)
	stop()
}

// Guards against queued requests that are forgotten when the instance stops.
func TestStopRefusesQueued(t *testing.T) {
	f := newFake()
	m, _, stop := start(t, f)
	c := m.admitAsync(context.Background(), Request{Team: "a", Weight: 1, Tokens: 1, Targets: []string{"x"}})
	stop()
	if got := <-c; code(t, got.err) != result.ShuttingDown {
		t.Fatalf("got %v", got.err)
	}
}

// Guards against a fault seen once with the race detector: the stop returned
// while another goroutine had yet to withdraw the demand it had stated.
func TestStopWaitsForDemand(t *testing.T) {
	f := newFake()
	f.gate = make(chan struct{})
	m := New(Config{Tokens: f, Slots: f})
	c := m.admitAsync(context.Background(), Request{Team: "a", Tokens: 1, Targets: []string{"x"}})
	time.AfterFunc(10*time.Millisecond, func() { close(f.gate) })
	m.stop()
	f.mu.Lock()
	tokens, slots := f.wantTok["a"], f.wantSlot["x"]
	returned := len(f.wantTok) == 1
	f.mu.Unlock()
	if got := <-c; code(t, got.err) != result.ShuttingDown || tokens != 0 || slots != 0 || !returned {
		t.Fatalf("%v, demand %v, %v, first demand stated: %v", got.err, tokens, slots, returned)
	}
}

// Guards against a request that waits past its deadline, and against a debit
// for a further attempt.
func TestDeadlineAndReslot(t *testing.T) {
	f := newFake()
	f.balance["a"] = 50
	f.idle["x"] = 1
	m, v, stop := start(t, f)
	r := Request{Team: "a", Weight: 1, Tokens: 40, Targets: []string{"x"}, Deadline: v.now().Add(time.Second)}
	one, err := m.Admit(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	f.Release(one.Slot)
	if one.Slot, err = m.AcquireSlot(context.Background(), r); err != nil || f.debited != 40 {
		t.Fatalf("%v, debited %v", err, f.debited)
	}
	c := m.admitAsync(context.Background(), r)
	v.advance(2 * time.Second)
	if got := <-c; code(t, got.err) != result.NoSlot {
		t.Fatalf("got %v", got.err)
	}
	if !m.Valid(one) {
		t.Error("a valid ticket is not spendable")
	}
	f.expired = true
	if m.Valid(one) {
		t.Error("an expired ticket is spendable")
	}
	m.Done(one, 40)
	stop()
}

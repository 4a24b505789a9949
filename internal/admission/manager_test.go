package admission

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

type admitResult struct {
	ticket Ticket
	err    error
}

func (m *Manager) admitAsync(ctx context.Context, r Request) chan admitResult {
	c := make(chan admitResult, 1)
	before := m.Queued()
	go func() {
		t, err := m.Admit(ctx, r)
		c <- admitResult{t, err}
	}()
	for m.Queued() == before && len(c) == 0 {
		time.Sleep(50 * time.Microsecond)
	}
	return c
}

func startManager(t *testing.T, holder *fakeHolder) (*Manager, *fakeClock, func()) {
	t.Helper()
	clock := newFakeClock()
	m := New(Config{Tokens: holder, Slots: holder, Now: clock.now})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = m.Run(ctx)
		close(done)
	}()
	return m, clock, func() {
		cancel()
		<-done
		holder.mu.Lock()
		defer holder.mu.Unlock()
		if len(holder.misuse) > 0 || len(holder.busy) > 0 {
			t.Errorf("misuse %v, slots in use %v", holder.misuse, holder.busy)
		}
		for name, n := range holder.slotDemand {
			if n != 0 {
				t.Errorf("demand for slots of %s is still %d", name, n)
			}
		}
		for name, n := range holder.tokenDemand {
			if n != 0 {
				t.Errorf("demand for tokens of %s is still %v", name, n)
			}
		}
	}
}

func refusalCode(t *testing.T, err error) result.Code {
	t.Helper()
	e := result.FromError(err)
	if e.Ran != result.NotRun {
		t.Fatalf("refusal %v is not marked as not run", err)
	}
	return e.Code
}

// Guards against a leaked debit or slot when the caller of a queued request
// leaves, and against demand that is not withdrawn when the wait ends.
func TestCancelReleasesEverything(t *testing.T) {
	holder := newFakeHolder()
	holder.balance["a"] = 100
	holder.idle["x"] = 1
	m, _, stop := startManager(t, holder)
	r := Request{Team: "a", Weight: 1, Tokens: 40, Targets: []string{"x"}}
	first, err := m.Admit(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := m.admitAsync(ctx, r)
	cancel()
	if got := <-c; refusalCode(t, got.err) != result.DeadlineTooNear {
		t.Fatalf("got %v", got.err)
	}
	m.Done(first, 10)
	m.Done(first, 10) // must have no effect
	// Run may be acquiring an allocation for the second request when its caller
	// leaves; it then releases the allocation and removes the request.
	m.waitNoneServing()
	debited, refunded := holder.tokens()
	if debited-refunded != 10 || m.Outstanding() != 0 || m.Queued() != 0 {
		t.Errorf("debited %v, refunded %v, outstanding %d, queued %d", debited, refunded, m.Outstanding(), m.Queued())
	}
	stop()
}

// Guards against a leaked allocation or entry when the caller leaves while another
// goroutine acquires the allocation.
func TestCancelDuringAcquisitionReleasesEverything(t *testing.T) {
	holder := newFakeHolder()
	holder.balance["a"] = 100
	holder.idle["x"] = 1
	m, _, stop := startManager(t, holder)
	defer stop()
	r := Request{Team: "a", Weight: 1, Tokens: 40, Targets: []string{"x"}}
	first, err := m.Admit(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	queued, _, refused := m.submit(r, false, nil)
	if refused != nil {
		t.Fatal(refused)
	}
	gate := holder.holdTakes()
	var ended sync.WaitGroup
	ended.Go(func() { m.Done(first, 40) })
	<-gate.reached
	m.abandon(queued)
	close(gate.open)
	ended.Wait()
	m.waitNoneServing()
	debited, refunded := holder.tokens()
	if debited-refunded != 40 || m.Outstanding() != 0 || m.Queued() != 0 {
		t.Errorf("debited %v, refunded %v, outstanding %d, queued %d", debited, refunded, m.Outstanding(), m.Queued())
	}
}

// Guards against a queued request that is not served after a released slot, new
// tokens or new slots.
func TestWakeUps(t *testing.T) {
	holder := newFakeHolder()
	holder.balance["a"] = 40
	holder.idle["x"] = 1
	m, _, stop := startManager(t, holder)
	r := Request{Team: "a", Weight: 1, Tokens: 40, Targets: []string{"y", "x"}}
	first, err := m.Admit(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	second := m.admitAsync(context.Background(), r)
	third := m.admitAsync(context.Background(), r)
	holder.addTokens("a", 80)
	m.Done(first, 40)
	secondResult := <-second
	if secondResult.err != nil {
		t.Fatal(secondResult.err)
	}
	holder.addSlots("y", 1)
	thirdResult := <-third
	if thirdResult.err != nil || thirdResult.ticket.Slot.Target != "y" {
		t.Fatalf("got %+v, %v", thirdResult.ticket, thirdResult.err)
	}
	m.Done(secondResult.ticket, 40)
	m.Done(thirdResult.ticket, 40)
	stop()
}

// Guards against queued requests that get no result when the Manager stops.
func TestStopRefusesQueued(t *testing.T) {
	holder := newFakeHolder()
	m, _, stop := startManager(t, holder)
	c := m.admitAsync(context.Background(), Request{Team: "a", Weight: 1, Tokens: 1, Targets: []string{"x"}})
	stop()
	if got := <-c; refusalCode(t, got.err) != result.ShuttingDown {
		t.Fatalf("got %v", got.err)
	}
}

// Guards against stop returning before another, serving goroutine has withdrawn
// the demand it reported; seen once with the race detector.
func TestStopWaitsForDemand(t *testing.T) {
	holder := newFakeHolder()
	holder.wantTokensGate = make(chan struct{})
	m := New(Config{Tokens: holder, Slots: holder})
	c := m.admitAsync(context.Background(), Request{Team: "a", Tokens: 1, Targets: []string{"x"}})
	time.AfterFunc(10*time.Millisecond, func() { close(holder.wantTokensGate) })
	m.stop()
	holder.mu.Lock()
	tokens, slots := holder.tokenDemand["a"], holder.slotDemand["x"]
	reported := len(holder.tokenDemand) == 1
	holder.mu.Unlock()
	if got := <-c; refusalCode(t, got.err) != result.ShuttingDown || tokens != 0 || slots != 0 || !reported {
		t.Fatalf("%v, demand %v, %v, first demand reported: %v", got.err, tokens, slots, reported)
	}
}

// Guards against a request that waits past its deadline, and against a second
// debit for a retry.
func TestDeadlineAndAcquireSlot(t *testing.T) {
	holder := newFakeHolder()
	holder.balance["a"] = 50
	holder.idle["x"] = 1
	m, clock, stop := startManager(t, holder)
	r := Request{Team: "a", Weight: 1, Tokens: 40, Targets: []string{"x"}, Deadline: clock.now().Add(time.Second)}
	first, err := m.Admit(context.Background(), r)
	if err != nil {
		t.Fatal(err)
	}
	holder.Release(first.Slot)
	if first.Slot, err = m.AcquireSlot(context.Background(), r); err != nil || holder.debited != 40 {
		t.Fatalf("%v, debited %v", err, holder.debited)
	}
	c := m.admitAsync(context.Background(), r)
	clock.advance(2 * time.Second)
	if got := <-c; refusalCode(t, got.err) != result.NoSlot {
		t.Fatalf("got %v", got.err)
	}
	if !m.Valid(first) {
		t.Error("a valid ticket is not reported as valid")
	}
	holder.expired = true
	if m.Valid(first) {
		t.Error("an expired ticket is reported as valid")
	}
	m.Done(first, 40)
	stop()
}

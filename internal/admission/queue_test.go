package admission

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

func newManagerWithFakes(cfg Config) (*fakeHolder, *fakeClock, *Manager) {
	holder, clock := newFakeHolder(), newFakeClock()
	cfg.Tokens, cfg.Slots, cfg.Now = holder, holder, clock.now
	return holder, clock, New(cfg)
}

func (m *Manager) mustQueue(t *testing.T, r Request) *entry {
	t.Helper()
	e, _, err := m.submit(r, false, nil)
	if e == nil || err != nil {
		t.Fatalf("request was not queued: %v", err)
	}
	return e
}

// Guards against a bug found by TestRandomSteps: a target recorded as without a
// slot while nothing was queued for it was not tried again after its pool had
// been merged with another.
func TestMergeClearsNoSlotState(t *testing.T) {
	holder, _, m := newManagerWithFakes(Config{})
	e := m.mustQueue(t, Request{Team: "a", Targets: []string{"x", "y"}})
	m.abandon(e)
	holder.addSlots("x", 1)
	m.retryQueued() // nothing is queued, so the new slot is not recorded
	m.mustQueue(t, Request{Team: "b", Targets: []string{"z"}})
	m.mustQueue(t, Request{Team: "c", Tokens: 10, Targets: []string{"y", "z", "x"}})
	if e, _, err := m.submit(Request{Team: "d", Targets: []string{"y", "x"}}, false, nil); err != nil || e != nil && len(e.done) == 0 {
		t.Fatalf("the free slot was not found: %v", err)
	}
}

// Guards against a bug found by TestRandomSteps: requests kept waiting behind a
// large request that had waited for tokens, after its caller had left.
func TestBlockingRequestCancelled(t *testing.T) {
	holder, _, m := newManagerWithFakes(Config{})
	holder.balance["a"], holder.idle["x"] = 20, 2
	large := m.mustQueue(t, Request{Team: "a", Tokens: 100, Targets: []string{"x"}})
	small := m.mustQueue(t, Request{Team: "a", Tokens: 10, Targets: []string{"x"}})
	if len(small.done) > 0 {
		t.Fatal("a small request used up what a large one waits for")
	}
	m.abandon(large)
	if len(small.done) == 0 {
		t.Fatal("the small request still waits")
	}
}

// Guards against a bound on queued requests, per team or in total, that refuses
// requests of the wrong team: when the queue is full, a request of a team with
// few queued requests replaces one of a team with many.
func TestQueueBounds(t *testing.T) {
	_, _, m := newManagerWithFakes(Config{MaxQueuedPerTeam: 3, MaxQueued: 4})
	r := Request{Team: "a", Weight: 1, Targets: []string{"x"}}
	var newest *entry
	for range 3 {
		newest = m.mustQueue(t, r)
	}
	if _, _, err := m.submit(r, false, nil); err == nil || err.Code != result.QueueFull {
		t.Fatalf("got %v", err)
	}
	r.Team = "b"
	m.mustQueue(t, r)
	r.Team = "c"
	m.mustQueue(t, r)
	out := <-newest.done
	if out.err == nil || out.err.Code != result.QueueFull || out.err.Ran != result.NotRun {
		t.Fatalf("got %v", out.err)
	}
}

// Guards against a request that waits although it cannot start in time: once the
// service rate is known, it must be refused at once with a useful Retry-After.
// Also guards against refusals that continue after the queue has emptied.
func TestRefusesUnmeetableDeadline(t *testing.T) {
	holder, clock, m := newManagerWithFakes(Config{MaxWait: time.Hour})
	holder.balance["a"] = 1e9
	r := Request{Team: "a", Weight: 1, Tokens: 100, Targets: []string{"x"}}
	serve := func() {
		clock.advance(time.Second)
		holder.addSlots("x", 1)
		m.retryQueued()
	}
	for range 30 {
		m.mustQueue(t, r)
	}
	for range 10 {
		serve()
	}
	r.Deadline = clock.now().Add(5 * time.Second)
	_, _, err := m.submit(r, false, nil)
	if err == nil || err.Code != result.DeadlineTooNear || err.RetryAfter < 10*time.Second || err.RetryAfter > 20*time.Second {
		t.Fatalf("20 requests ahead at one a second: %v, retry after %v", err, err.RetryAfter)
	}
	r.Deadline = clock.now().Add(30 * time.Second)
	m.mustQueue(t, r)
	for range 21 {
		serve()
	}
	r.Deadline = clock.now().Add(time.Millisecond)
	m.mustQueue(t, r) // with an empty queue, no request is refused by estimate
	if wait, queued := m.EstimateWait([]string{"x"}); queued != 1 || wait <= 0 {
		t.Errorf("wait %v, %d queued", wait, queued)
	}
}

// Guards against a request without a live target being treated as one that needs
// no slot.
func TestNoTarget(t *testing.T) {
	_, _, m := newManagerWithFakes(Config{Limits: func(string) (float64, float64, bool) { return 1, 100, true }})
	if _, _, err := m.submit(Request{Team: "a", Targets: []string{}}, false, nil); err == nil || err.Code != result.NoTarget {
		t.Fatalf("got %v", err)
	}
	if _, err := m.checkLimit(Request{Team: "a", Tokens: 51}); err == nil || err.Code != result.TooLargeForTeam {
		t.Fatalf("got %v", err)
	}
	for i, want := range []bool{true, true, false} {
		r := Request{Team: "a", Tokens: 40, Targets: []string{"x"}}
		lim, _ := m.checkLimit(r)
		if _, _, err := m.submit(r, false, &lim); lim.withinRate != want || err != nil {
			t.Errorf("request %d: within its rate %v, %v", i, lim.withinRate, err)
		}
	}
}

package admission

import (
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

func syncManager(cfg Config) (*fakeRights, *virtualNow, *Manager) {
	f, v := newFake(), newVirtualNow()
	cfg.Tokens, cfg.Slots, cfg.Now = f, f, v.now
	return f, v, New(cfg)
}

func (m *Manager) mustQueue(t *testing.T, r Request) *entry {
	t.Helper()
	e, _, err := m.submit(r, false, nil)
	if e == nil || err != nil {
		t.Fatalf("request was not queued: %v", err)
	}
	return e
}

// Guards against a fault found by TestRandomSteps: a slot that was missing
// while nothing was queued for its target was not tried again after the
// target's pool had been merged with another.
func TestMergeForgetsFailures(t *testing.T) {
	f, _, m := syncManager(Config{})
	e := m.mustQueue(t, Request{Team: "a", Targets: []string{"x", "y"}})
	m.abandon(e)
	f.addSlots("x", 1)
	m.round() // nothing is queued, so nothing is noted
	m.mustQueue(t, Request{Team: "b", Targets: []string{"z"}})
	m.mustQueue(t, Request{Team: "c", Tokens: 10, Targets: []string{"y", "z", "x"}})
	if e, _, err := m.submit(Request{Team: "d", Targets: []string{"y", "x"}}, false, nil); err != nil || e != nil && len(e.done) == 0 {
		t.Fatalf("the free slot was not found: %v", err)
	}
}

// Guards against a fault found by TestRandomSteps: requests waited behind a
// large request for tokens after that request had left.
func TestBlockerLeaves(t *testing.T) {
	f, _, m := syncManager(Config{})
	f.balance["a"], f.idle["x"] = 20, 2
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

// Guards against refusal by a team's own bound or the bound in total that hits
// the wrong team: a team with few queued requests takes the place of one with
// many.
func TestBounds(t *testing.T) {
	_, _, m := syncManager(Config{MaxQueuedPerTeam: 3, MaxQueued: 4})
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

// Guards against a request that waits in vain: once the service rate is known,
// a request that cannot start in time is refused at once, with a useful advice
// when to retry; and against refusals that go on after capacity returned.
func TestRefusesAtOnce(t *testing.T) {
	f, v, m := syncManager(Config{MaxWait: time.Hour})
	f.balance["a"] = 1e9
	r := Request{Team: "a", Weight: 1, Tokens: 100, Targets: []string{"x"}}
	serve := func() {
		v.advance(time.Second)
		f.addSlots("x", 1)
		m.round()
	}
	for range 30 {
		m.mustQueue(t, r)
	}
	for range 10 {
		serve()
	}
	r.Deadline = v.now().Add(5 * time.Second)
	_, _, err := m.submit(r, false, nil)
	if err == nil || err.Code != result.DeadlineTooNear || err.RetryAfter < 10*time.Second || err.RetryAfter > 20*time.Second {
		t.Fatalf("20 requests ahead at one a second: %v, retry after %v", err, err.RetryAfter)
	}
	r.Deadline = v.now().Add(30 * time.Second)
	m.mustQueue(t, r)
	for range 21 {
		serve()
	}
	r.Deadline = v.now().Add(time.Millisecond)
	m.mustQueue(t, r) // an empty queue is never refused by estimate
	if wait, queued := m.EstimateWait([]string{"x"}); queued != 1 || wait <= 0 {
		t.Errorf("wait %v, %d queued", wait, queued)
	}
}

// Guards against a request without a live target that is taken for one that
// needs no slot.
func TestNoTarget(t *testing.T) {
	_, _, m := syncManager(Config{Limits: func(string) (float64, float64, bool) { return 1, 100, true }})
	if _, _, err := m.submit(Request{Team: "a", Targets: []string{}}, false, nil); err == nil || err.Code != result.NoTarget {
		t.Fatalf("got %v", err)
	}
	if _, err := m.limit(Request{Team: "a", Tokens: 51}); err == nil || err.Code != result.TooLargeForTeam {
		t.Fatalf("got %v", err)
	}
	for i, want := range []bool{true, true, false} {
		r := Request{Team: "a", Tokens: 40, Targets: []string{"x"}}
		lim, _ := m.limit(r)
		if _, _, err := m.submit(r, false, &lim); lim.within != want || err != nil {
			t.Errorf("request %d: within its rate %v, %v", i, lim.within, err)
		}
	}
}

package admission

import (
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/lease"
)

// fakeHolder is a lease holder with exact balances and slots that records every
// misuse.
type fakeHolder struct {
	mu             sync.Mutex
	balance        map[string]float64
	idle           map[string]int
	busy           map[uint64]string // slots in use
	debited        float64
	refunded       float64
	tokenDemand    map[string]float64
	slotDemand     map[string]int
	misuse         []string
	nextID         uint64
	changed        chan struct{}
	expired        bool
	wantTokensGate chan struct{} // if set, WantTokens waits until it is closed
	takeGate       *takeGate     // if set, TryTake waits at it
}

// takeGate holds calls of TryTake back: each sends to reached and waits until open
// is closed.
type takeGate struct{ reached, open chan struct{} }

// holdTakes makes calls of TryTake from now on wait at the gate that it returns.
func (f *fakeHolder) holdTakes() *takeGate {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeGate = &takeGate{make(chan struct{}, 16), make(chan struct{})}
	return f.takeGate
}

func (f *fakeHolder) tokens() (debited, refunded float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.debited, f.refunded
}

func newFakeHolder() *fakeHolder {
	return &fakeHolder{
		balance: map[string]float64{}, idle: map[string]int{}, busy: map[uint64]string{},
		tokenDemand: map[string]float64{}, slotDemand: map[string]int{}, changed: make(chan struct{}, 1),
	}
}

func (f *fakeHolder) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (f *fakeHolder) addTokens(team string, n float64) {
	f.mu.Lock()
	f.balance[team] += n
	f.mu.Unlock()
	f.signal()
}

func (f *fakeHolder) addSlots(target string, n int) {
	f.mu.Lock()
	f.idle[target] += n
	f.mu.Unlock()
	f.signal()
}

func (f *fakeHolder) TryDebit(team string, n float64) (lease.Debit, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.balance[team] < n {
		return lease.Debit{}, false
	}
	f.balance[team] -= n
	f.debited += n
	return lease.Debit{Team: team, Tokens: n}, true
}

func (f *fakeHolder) WantTokens(team string, n float64) {
	if f.wantTokensGate != nil {
		<-f.wantTokensGate
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tokenDemand[team] = n
}

func (f *fakeHolder) Refund(a lease.Debit, unused float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if unused < 0 || unused > a.Tokens {
		f.misuse = append(f.misuse, "refund out of range")
	}
	f.refunded += unused
}

func (f *fakeHolder) DebitValid(lease.Debit) bool { return !f.expired }
func (f *fakeHolder) Changed() <-chan struct{}    { return f.changed }
func (f *fakeHolder) Usable(lease.Slot) bool      { return !f.expired }
func (f *fakeHolder) WantSlots(target string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.slotDemand[target] = n
}

func (f *fakeHolder) TryTake(target string) (lease.Slot, bool) {
	f.mu.Lock()
	gate := f.takeGate
	f.mu.Unlock()
	if gate != nil {
		gate.reached <- struct{}{}
		<-gate.open
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.idle[target] == 0 {
		return lease.Slot{}, false
	}
	f.idle[target]--
	f.nextID++
	f.busy[f.nextID] = target
	return lease.Slot{Target: target, ID: f.nextID}, true
}

func (f *fakeHolder) Release(s lease.Slot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[s.ID] != s.Target {
		f.misuse = append(f.misuse, "slot released twice or never taken: "+s.Target)
		return
	}
	delete(f.busy, s.ID)
	f.idle[s.Target]++
}

// fakeClock is a time source that advances only when a test calls advance.
type fakeClock struct {
	mu sync.Mutex
	t  time.Time
}

func newFakeClock() *fakeClock { return &fakeClock{t: time.Unix(1_000_000, 0)} }

func (c *fakeClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

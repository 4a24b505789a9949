package admission

import (
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/lease"
)

// fakeRights is a holder with exact balances and slots that reports every
// misuse.
type fakeRights struct {
	mu       sync.Mutex
	balance  map[string]float64
	idle     map[string]int
	busy     map[uint64]string // slots in use
	debited  float64
	refunded float64
	wantTok  map[string]float64
	wantSlot map[string]int
	faults   []string
	nextID   uint64
	changed  chan struct{}
	expired  bool
	gate     chan struct{} // if set, WantTokens waits for it
}

func newFake() *fakeRights {
	return &fakeRights{
		balance: map[string]float64{}, idle: map[string]int{}, busy: map[uint64]string{},
		wantTok: map[string]float64{}, wantSlot: map[string]int{}, changed: make(chan struct{}, 1),
	}
}

func (f *fakeRights) signal() {
	select {
	case f.changed <- struct{}{}:
	default:
	}
}

func (f *fakeRights) addTokens(team string, n float64) {
	f.mu.Lock()
	f.balance[team] += n
	f.mu.Unlock()
	f.signal()
}

func (f *fakeRights) addSlots(target string, n int) {
	f.mu.Lock()
	f.idle[target] += n
	f.mu.Unlock()
	f.signal()
}

func (f *fakeRights) TryDebit(team string, n float64) (lease.Debit, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.balance[team] < n {
		return lease.Debit{}, false
	}
	f.balance[team] -= n
	f.debited += n
	return lease.Debit{Team: team, Tokens: n}, true
}

func (f *fakeRights) WantTokens(team string, n float64) {
	if f.gate != nil {
		<-f.gate
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wantTok[team] = n
}

func (f *fakeRights) Refund(a lease.Debit, unused float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if unused < 0 || unused > a.Tokens {
		f.faults = append(f.faults, "refund out of range")
	}
	f.refunded += unused
}

func (f *fakeRights) DebitValid(lease.Debit) bool { return !f.expired }
func (f *fakeRights) Changed() <-chan struct{}    { return f.changed }
func (f *fakeRights) Usable(lease.Slot) bool      { return !f.expired }
func (f *fakeRights) WantSlots(target string, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wantSlot[target] = n
}

func (f *fakeRights) TryTake(target string) (lease.Slot, bool) {
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

func (f *fakeRights) Release(s lease.Slot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy[s.ID] != s.Target {
		f.faults = append(f.faults, "slot released twice or never taken: "+s.Target)
		return
	}
	delete(f.busy, s.ID)
	f.idle[s.Target]++
}

// virtualNow is a time source that tests advance.
type virtualNow struct {
	mu sync.Mutex
	t  time.Time
}

func newVirtualNow() *virtualNow { return &virtualNow{t: time.Unix(1_000_000, 0)} }

func (v *virtualNow) now() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.t
}

func (v *virtualNow) advance(d time.Duration) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.t = v.t.Add(d)
}

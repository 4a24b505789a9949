package dispatch

import (
	"context"
	"sync"

	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// MemoryBudget bounds the bytes held for slow callers and slow targets, per team and
// per process. The bound per stream is kept by Hold.
type MemoryBudget struct {
	stream, team, process int64
	mu                    struct {
		sync.Mutex
		total   int64
		teams   map[string]int64
		freed   chan struct{} // closed and replaced when bytes are given back
		awaited bool          // somebody waits for freed
	}
}

// NewMemoryBudget takes the bounds; 0 means none.
func NewMemoryBudget(b settings.Bounds) *MemoryBudget {
	m := &MemoryBudget{stream: b.StreamBuffer, team: b.TeamBuffer, process: b.ProcessBuffer}
	m.mu.teams = map[string]int64{}
	m.mu.freed = make(chan struct{})
	return m
}

// ReservedBytes is the number of bytes held for all callers.
func (m *MemoryBudget) ReservedBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.total
}

// Reservation accounts for the bytes that one request holds for one purpose. One
// goroutine may take bytes while another gives them back.
type Reservation struct {
	m    *MemoryBudget
	team string
	held int64 // guarded by m.mu
}

// NewReservation starts an account for team.
func (m *MemoryBudget) NewReservation(team string) *Reservation {
	return &Reservation{m: m, team: team}
}

func over(bound, n int64) bool { return bound > 0 && n > bound }

// take must be called with the lock held. stream says whether the bound per
// stream applies; it does not for request bodies and whole answers, which have
// a bound of their own.
func (h *Reservation) take(n int64, stream bool) bool {
	m := h.m
	if stream && over(m.stream, h.held+n) || over(m.team, m.mu.teams[h.team]+n) || over(m.process, m.mu.total+n) {
		return false
	}
	h.add(n)
	return true
}

func (h *Reservation) add(n int64) {
	m := h.m
	h.held += n
	m.mu.total += n
	if m.mu.teams[h.team] += n; m.mu.teams[h.team] == 0 {
		delete(m.mu.teams, h.team)
	}
}

// Reserve takes n bytes at once or returns MemoryBound.
func (h *Reservation) Reserve(n int64, ran result.Ran) error {
	h.m.mu.Lock()
	defer h.m.mu.Unlock()
	if !h.take(n, false) {
		return result.New(result.MemoryBound, ran, "the memory bound of the team or instance is reached")
	}
	return nil
}

// ReserveWait takes n bytes of stream data, waiting for room. A stream that holds
// nothing always gets its bytes: it has one piece in hand anyway, and must make
// progress while others fill the bounds.
func (h *Reservation) ReserveWait(ctx context.Context, n int64) error {
	for {
		freed := h.tryWait(n)
		if freed == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-freed:
		}
	}
}

// tryWait returns nil if it took the bytes, else a channel that is closed when
// others have given bytes back.
func (h *Reservation) tryWait(n int64) <-chan struct{} {
	m := h.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if h.held == 0 {
		h.add(n)
		return nil
	}
	if h.take(n, true) {
		return nil
	}
	m.mu.awaited = true
	return m.mu.freed
}

// Release gives n bytes back.
func (h *Reservation) Release(n int64) {
	m := h.m
	m.mu.Lock()
	defer m.mu.Unlock()
	h.add(-min(n, h.held))
	if m.mu.awaited {
		close(m.mu.freed)
		m.mu.freed, m.mu.awaited = make(chan struct{}), false
	}
}

// Close gives everything back.
func (h *Reservation) Close() {
	h.m.mu.Lock()
	n := h.held
	h.m.mu.Unlock()
	h.Release(n)
}

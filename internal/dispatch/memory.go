package dispatch

import (
	"context"
	"sync"

	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/settings"
)

// MemoryBudget bounds the bytes buffered for slow callers and slow targets, per
// team and per process. Reservation applies the bound per stream.
type MemoryBudget struct {
	stream, team, process int64
	mu                    struct {
		sync.Mutex
		total      int64
		teams      map[string]int64
		freed      chan struct{} // closed and replaced when bytes are released
		hasWaiters bool          // a goroutine waits for freed
	}
}

// NewMemoryBudget returns a budget with the bounds b, where 0 means no bound.
func NewMemoryBudget(b settings.Bounds) *MemoryBudget {
	m := &MemoryBudget{stream: b.StreamBuffer, team: b.TeamBuffer, process: b.ProcessBuffer}
	m.mu.teams = map[string]int64{}
	m.mu.freed = make(chan struct{})
	return m
}

// ReservedBytes returns the number of bytes reserved for all callers.
func (m *MemoryBudget) ReservedBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mu.total
}

// Reservation accounts for the bytes that one request holds for one purpose. One
// goroutine may reserve bytes while another releases them.
type Reservation struct {
	m    *MemoryBudget
	team string
	held int64 // guarded by m.mu
}

// NewReservation returns an empty reservation for a team.
func (m *MemoryBudget) NewReservation(team string) *Reservation {
	return &Reservation{m: m, team: team}
}

func exceeds(bound, n int64) bool { return bound > 0 && n > bound }

// tryReserve must be called with the lock held. stream says whether the bound per
// stream applies; it does not for request bodies and whole responses, which have
// a bound of their own.
func (r *Reservation) tryReserve(n int64, stream bool) bool {
	m := r.m
	if stream && exceeds(m.stream, r.held+n) || exceeds(m.team, m.mu.teams[r.team]+n) || exceeds(m.process, m.mu.total+n) {
		return false
	}
	r.add(n)
	return true
}

func (r *Reservation) add(n int64) {
	m := r.m
	r.held += n
	m.mu.total += n
	if m.mu.teams[r.team] += n; m.mu.teams[r.team] == 0 {
		delete(m.mu.teams, r.team)
	}
}

// Reserve reserves n bytes without waiting, or returns MemoryLimitReached.
func (r *Reservation) Reserve(n int64, ran result.Ran) error {
	r.m.mu.Lock()
	defer r.m.mu.Unlock()
	if !r.tryReserve(n, false) {
		return result.New(result.MemoryLimitReached, ran, "the memory bound of the team or instance is reached")
	}
	return nil
}

// Grow reserves n bytes without waiting and reports whether there were as many.
func (r *Reservation) Grow(n int) bool { return r.Reserve(int64(n), result.MayHaveRun) == nil }

// ReserveWait reserves n bytes of stream data, and waits until they are available.
// A stream without reserved bytes always gets them: it already holds one chunk,
// and must make progress while others use up the budget.
func (r *Reservation) ReserveWait(ctx context.Context, n int64) error {
	for {
		freed := r.tryReserveStream(n)
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

// tryReserveStream returns nil if it reserved the bytes, else a channel that is
// closed when others have released bytes.
func (r *Reservation) tryReserveStream(n int64) <-chan struct{} {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.held == 0 {
		r.add(n)
		return nil
	}
	if r.tryReserve(n, true) {
		return nil
	}
	m.mu.hasWaiters = true
	return m.mu.freed
}

// Release releases n bytes.
func (r *Reservation) Release(n int64) {
	m := r.m
	m.mu.Lock()
	defer m.mu.Unlock()
	r.add(-min(n, r.held))
	if m.mu.hasWaiters {
		close(m.mu.freed)
		m.mu.freed, m.mu.hasWaiters = make(chan struct{}), false
	}
}

// Close releases all bytes of the reservation.
func (r *Reservation) Close() {
	r.m.mu.Lock()
	n := r.held
	r.m.mu.Unlock()
	r.Release(n)
}

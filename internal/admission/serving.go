package admission

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// acquisition is an attempt to acquire the allocation of a queued request without
// holding mu.
type acquisition struct {
	entry       *entry
	tokenGen    uint64
	names       []string
	targets     []*target
	targetGens  []uint64
	withoutSlot []int // indexes of targets without a slot
}

// serve acquires allocations for queued requests until none can be served, and
// reports the remaining demand to the lease holder. If another goroutine is
// already serving, serve makes that one repeat its work instead.
func (m *Manager) serve() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.rerun = true
	if m.mu.serving {
		return
	}
	m.mu.serving = true
	for m.mu.rerun {
		m.mu.rerun = false
		m.refuseExpired(m.now())
		for e := m.mu.q.next(); e != nil; e = m.mu.q.next() {
			m.serveOne(e)
			if m.mu.rerun {
				m.refuseExpired(m.now())
			}
		}
		m.reportDemand()
	}
	m.mu.serving = false
	m.mu.servingEnded.Broadcast()
	m.queueLength.Store(int64(m.mu.q.total))
}

// refuseExpired refuses the requests whose deadline has passed, or all if the
// Manager has stopped. The caller holds mu.
func (m *Manager) refuseExpired(now time.Duration) {
	if m.mu.stopped {
		for _, e := range m.mu.q.removeAll(now) {
			e.done <- outcome{err: errStopped()}
		}
		return
	}
	for _, e := range m.mu.q.removeExpired(now) {
		code, what := result.NoSlot, "slot"
		if e.tokens > 0 && m.mu.q.waitsForTokens(e.team) {
			code, what = result.OverRate, "tokens"
		}
		e.done <- outcome{err: result.New(code, result.NotRun, "no %s within %v; the request needs %.0f tokens", what, now-e.queuedAt, e.tokens)}
	}
}

// serveOne tries to acquire the allocation of e. The caller holds mu, which is
// released during the attempt.
func (m *Manager) serveOne(e *entry) {
	acq := acquisition{entry: e, tokenGen: m.mu.q.tokenGen}
	for _, t := range e.targets {
		if t.mayHaveSlot() {
			acq.names = append(acq.names, t.name)
			acq.targets = append(acq.targets, t)
			acq.targetGens = append(acq.targetGens, t.gen)
		}
	}
	if len(acq.names) == 0 && len(e.targets) > 0 {
		e.subqueue.flow.pool.gen++ // invalidates usable, which is out of date
		m.mu.q.endAcquisition(m.now(), e, noSlot, acq.tokenGen)
		return
	}
	m.mu.Unlock()
	got, res := m.tryAcquire(e.team, e.tokens, acq.names, func(i int) { acq.withoutSlot = append(acq.withoutSlot, i) })
	m.mu.Lock()
	for _, i := range acq.withoutSlot {
		acq.targets[i].markNoSlot(acq.targetGens[i])
	}
	if res == acquired && (e.cancelled || m.mu.stopped) {
		m.mu.Unlock()
		m.releaseUnused(got)
		m.mu.Lock()
		res = withdrawn
		if got.hasSlot {
			m.mu.q.slotFreed(got.slot.Target)
		}
	}
	removed := m.mu.q.endAcquisition(m.now(), e, res, acq.tokenGen)
	switch {
	case removed && res == acquired:
		e.done <- outcome{allocation: got}
	case removed && !e.cancelled:
		e.done <- outcome{err: errStopped()}
	}
}

// releaseUnused releases an unused allocation. Unlike release, it does not call
// serve, which is its caller.
func (m *Manager) releaseUnused(a allocation) {
	if a.debited {
		m.cfg.Tokens.Refund(a.debit, a.debit.Tokens)
	}
	if a.hasSlot {
		m.cfg.Slots.Release(a.slot)
	}
}

// reportDemand reports to the lease holder what queued requests need. Only the
// serving goroutine calls it, so that reports are in order. The caller holds mu,
// which is released meanwhile.
func (m *Manager) reportDemand() {
	tokens, slots := m.mu.q.takeChangedDemand()
	if len(tokens)+len(slots) == 0 {
		return
	}
	m.mu.Unlock()
	for _, d := range tokens {
		m.cfg.Tokens.WantTokens(d.team, d.tokens)
	}
	for _, d := range slots {
		m.cfg.Slots.WantSlots(d.target, d.queued)
	}
	m.mu.Lock()
}

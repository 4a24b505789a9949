package admission

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/result"
)

// offer is a queued request for which rights are being taken without mu.
type offer struct {
	e        *entry
	tokenGen uint64
	names    []string
	targets  []*target
	gens     []uint64
	failed   []int
}

// serve takes rights for queued requests until none can be served, and states
// the demand that remains. If another goroutine is doing so, that one goes
// round once more instead.
func (m *Manager) serve() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.mu.again = true
	if m.mu.serving {
		return
	}
	m.mu.serving = true
	for m.mu.again {
		m.mu.again = false
		m.endExpired(m.now())
		for e := m.mu.q.next(); e != nil; e = m.mu.q.next() {
			m.serveOne(e)
			if m.mu.again {
				m.endExpired(m.now())
			}
		}
		m.stateDemand()
	}
	m.mu.serving = false
	m.mu.idle.Broadcast()
	m.queued.Store(int64(m.mu.q.total))
}

// endExpired refuses the requests whose deadline has passed, or all if the
// manager has stopped. The caller holds mu.
func (m *Manager) endExpired(now time.Duration) {
	if m.mu.stopped {
		for _, e := range m.mu.q.drain(now) {
			e.done <- outcome{err: errStopped()}
		}
		return
	}
	for _, e := range m.mu.q.expired(now) {
		code, what := result.NoSlot, "slot"
		if e.tokens > 0 && m.mu.q.waitsForTokens(e.team) {
			code, what = result.OverRate, "tokens"
		}
		e.done <- outcome{err: result.New(code, result.NotRun, "no %s within %v; the request needs %.0f tokens", what, now-e.at, e.tokens)}
	}
}

// serveOne takes rights for e. The caller holds mu, which is released while
// rights are taken.
func (m *Manager) serveOne(e *entry) {
	o := offer{e: e, tokenGen: m.mu.q.gen}
	for _, t := range e.targets {
		if t.mayHaveSlot() {
			o.names = append(o.names, t.name)
			o.targets = append(o.targets, t)
			o.gens = append(o.gens, t.gen)
		}
	}
	if len(o.names) == 0 && len(e.targets) > 0 {
		e.lane.flow.pool.gen++ // usable is out of date
		m.mu.q.settle(m.now(), e, noSlot, o.tokenGen)
		return
	}
	m.mu.Unlock()
	got, v := m.take(e.team, e.tokens, o.names, func(i int) { o.failed = append(o.failed, i) })
	m.mu.Lock()
	for _, i := range o.failed {
		o.targets[i].failedSlot(o.gens[i])
	}
	if v == served && (e.cancelled || m.mu.stopped) {
		m.mu.Unlock()
		m.returnRights(got)
		m.mu.Lock()
		v = withdrawn
		if got.hasSlot {
			m.mu.q.freed(got.slot.Target)
		}
	}
	left := m.mu.q.settle(m.now(), e, v, o.tokenGen)
	switch {
	case left && v == served:
		e.done <- outcome{rights: got}
	case left && !e.cancelled:
		e.done <- outcome{err: errStopped()}
	}
}

// returnRights gives back rights that were not used, within serve.
func (m *Manager) returnRights(r rights) {
	if r.debited {
		m.cfg.Tokens.Refund(r.admission, r.admission.Tokens)
	}
	if r.hasSlot {
		m.cfg.Slots.Release(r.slot)
	}
}

// stateDemand tells the holder what queued requests need. Only the goroutine
// that serves calls it, so that the last statement is the newest. The caller
// holds mu, which is released meanwhile.
func (m *Manager) stateDemand() {
	tokens, slots := m.mu.q.demand()
	if len(tokens)+len(slots) == 0 {
		return
	}
	m.mu.Unlock()
	for _, d := range tokens {
		m.cfg.Tokens.WantTokens(d.team, d.tokens)
	}
	for _, d := range slots {
		m.cfg.Slots.WantSlots(d.target, d.n)
	}
	m.mu.Lock()
}

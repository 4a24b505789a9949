package admission

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/lease"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

var _ Admitter = (*Manager)(nil)

// allocation is what a request needs to run: a debit unless it is prepaid or has
// no token cost, and a slot unless it is forwarded to another region.
type allocation struct {
	debit   lease.Debit
	debited bool
	slot    lease.Slot
	hasSlot bool
}

// outcome ends the wait of a queued request.
type outcome struct {
	allocation
	err *result.Error
}

// Admit implements Admitter.
func (m *Manager) Admit(ctx context.Context, r Request) (Ticket, error) {
	lim, err := m.checkLimit(r)
	if err == nil {
		var got allocation
		var waited time.Duration
		if got, waited, err = m.acquire(ctx, r, false, &lim); err == nil {
			m.outstanding.Add(1)
			m.cfg.Observer.Admitted(r.Team, waited)
			return Ticket{
				Debit: got.debit, Slot: got.slot, HasSlot: got.hasSlot,
				Waited: waited, ended: new(atomic.Bool),
			}, nil
		}
	}
	m.cfg.Observer.Refused(r.Team, err.Code, lim.withinRate)
	return Ticket{}, err
}

// teamLimit is the published limit of a team, and whether the team's demand at
// this instance is within it.
type teamLimit struct {
	rate, burst float64
	known       bool
	withinRate  bool
}

// checkLimit returns the limit of the request's team. It refuses a request that
// is too large to ever be admitted.
func (m *Manager) checkLimit(r Request) (teamLimit, *result.Error) {
	if m.cfg.Limits == nil {
		return teamLimit{}, nil
	}
	if !(r.Tokens > 0) || r.Prepaid {
		return teamLimit{withinRate: true}, nil
	}
	rate, burst, ok := m.cfg.Limits(r.Team)
	if ok && r.Tokens > burst*lease.MaxBurstFraction {
		return teamLimit{}, result.New(result.TooLargeForTeam, result.NotRun,
			"the request needs %.0f tokens; at most half of the team's burst of %.0f can be granted at one time", r.Tokens, burst)
	}
	return teamLimit{rate: rate, burst: burst, known: ok}, nil
}

// AcquireSlot implements Admitter. It debits nothing. The request is served before
// the team's other requests, since the work already done for it would be lost.
func (m *Manager) AcquireSlot(ctx context.Context, r Request) (lease.Slot, error) {
	r.Prepaid = true
	got, _, err := m.acquire(ctx, r, true, nil)
	if err != nil {
		return lease.Slot{}, err
	}
	return got.slot, nil
}

// acquire acquires the allocation of r, at once or after waiting in the queue.
func (m *Manager) acquire(ctx context.Context, r Request, isRetry bool, lim *teamLimit) (allocation, time.Duration, *result.Error) {
	if ctx.Err() != nil {
		return allocation{}, 0, errCallerGone(ctx)
	}
	e, got, err := m.submit(r, isRetry, lim)
	if e == nil {
		return got, 0, err
	}
	select {
	case out := <-e.done:
		return out.allocation, m.now() - e.queuedAt, out.err
	case <-ctx.Done():
		m.abandon(e)
		return allocation{}, 0, errCallerGone(ctx)
	}
}

// submit acquires the allocation of r at once, refuses r, or queues it; it returns
// an entry only if r is queued. lim may be nil.
func (m *Manager) submit(r Request, isRetry bool, lim *teamLimit) (*entry, allocation, *result.Error) {
	now := m.now()
	cost, tokens := r.Tokens, max(r.Tokens, 0)
	if !(cost > 0) {
		cost = zeroTokenCost
	}
	if r.Prepaid {
		tokens = 0
	}
	deadline := now + m.cfg.MaxWait
	if !r.Deadline.IsZero() {
		deadline = min(deadline, r.Deadline.Sub(m.start))
	}
	bypass, stopped := m.tryBypass(now, r, cost, lim)
	switch {
	case stopped:
		return nil, allocation{}, errStopped()
	case r.Targets != nil && len(r.Targets) == 0:
		return nil, allocation{}, result.New(result.NoTarget, result.NotRun, "no live target")
	case deadline <= now:
		return nil, allocation{}, result.New(result.DeadlineTooNear, result.NotRun, "the deadline has passed")
	}
	if bypass {
		if got, res := m.tryAcquire(r.Team, tokens, r.Targets, nil); res == acquired {
			return nil, got, nil
		}
	}
	e := &entry{
		team: r.Team, cost: cost, tokens: tokens, queuedAt: now, deadline: deadline,
		isRetry: isRetry, heapIndex: -1, done: make(chan outcome, 1),
	}
	if err := m.enqueue(r, e, bypass); err != nil {
		return nil, allocation{}, err
	}
	m.serve()
	return e, allocation{}, nil
}

// tryBypass counts the arrival of r and reports whether r may acquire its
// allocation without queueing, because no queued request competes for it. In that
// case r is also charged for it, which avoids locking mu a second time.
func (m *Manager) tryBypass(now time.Duration, r Request, cost float64, lim *teamLimit) (bypass, stopped bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if lim != nil && lim.known {
		lim.withinRate = m.mu.demand.recordArrival(r.Team, r.Tokens, lim.rate, lim.burst, now)
	}
	if m.mu.stopped {
		return false, true
	}
	if len(r.Targets) == 0 && r.Targets != nil || !m.mu.q.canBypass(r.Team, r.Targets) {
		return false, false
	}
	m.mu.q.chargeBypass(now, r.Team, r.Weight, r.Targets, cost)
	return true, false
}

// enqueue queues e. charged is true if tryBypass charged the request but its
// allocation could not be acquired.
func (m *Manager) enqueue(r Request, e *entry, charged bool) *result.Error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if charged {
		m.mu.q.chargeBypass(e.queuedAt, r.Team, r.Weight, r.Targets, -e.cost)
	}
	if m.mu.stopped {
		return errStopped()
	}
	e.targets = m.mu.q.ensureTargets(r.Targets)
	dropped, err := m.mu.q.push(e.queuedAt, e, r.Weight)
	if dropped != nil {
		dropped.done <- outcome{err: result.New(result.QueueFull, result.NotRun, "the queue is full and the team has the most requests in it for its weight")}
	}
	m.queueLength.Store(int64(m.mu.q.total))
	if err == nil {
		select {
		case m.deadlineAdded <- struct{}{}:
		default:
		}
	}
	return err
}

// abandon removes a request whose caller has left from the queue, and releases
// the allocation if it was acquired meanwhile.
func (m *Manager) abandon(e *entry) {
	m.mu.Lock()
	queued := m.mu.q.cancel(m.now(), e)
	m.mu.Unlock()
	if !queued {
		// The outcome was sent under mu, before the entry left the queue.
		if out := <-e.done; out.err == nil {
			m.release(out.allocation, 0)
		}
	}
	m.serve()
}

// tryAcquire takes a slot of the first target that has one, then debits the
// tokens. The slot comes first because it can be released at once, while a refund
// reaches the balance only after the leader has confirmed it. onNoSlot, if not
// nil, is called with the index of each target without a slot.
func (m *Manager) tryAcquire(team string, tokens float64, targets []string, onNoSlot func(i int)) (allocation, acquireResult) {
	var a allocation
	for i, name := range targets {
		if a.slot, a.hasSlot = m.cfg.Slots.TryTake(name); a.hasSlot {
			break
		}
		if onNoSlot != nil {
			onNoSlot(i)
		}
	}
	if !a.hasSlot && len(targets) > 0 {
		return allocation{}, noSlot
	}
	if tokens > 0 {
		if a.debit, a.debited = m.cfg.Tokens.TryDebit(team, tokens); !a.debited {
			if a.hasSlot {
				m.cfg.Slots.Release(a.slot)
			}
			return allocation{}, noTokens
		}
	}
	return a, acquired
}

// release releases the slot and refunds unused tokens.
func (m *Manager) release(a allocation, used float64) {
	if a.debited {
		m.cfg.Tokens.Refund(a.debit, min(max(a.debit.Tokens-used, 0), a.debit.Tokens))
	}
	if !a.hasSlot {
		return
	}
	m.cfg.Slots.Release(a.slot)
	if m.queueLength.Load() == 0 {
		// A request queued from now on finds the released slot itself.
		return
	}
	m.mu.Lock()
	m.mu.q.slotFreed(a.slot.Target)
	m.mu.Unlock()
	m.serve()
}

// Valid implements Admitter.
func (m *Manager) Valid(t Ticket) bool {
	if t.Debit.Team != "" && !m.cfg.Tokens.DebitValid(t.Debit) {
		return false
	}
	return !t.HasSlot || m.cfg.Slots.Usable(t.Slot)
}

// Done implements Admitter. A second call for the same ticket is a bug of the
// caller; it is logged and has no other effect.
func (m *Manager) Done(t Ticket, used float64) {
	if t.ended != nil {
		if t.ended.Swap(true) {
			m.cfg.Log.Emit(event.TicketEndedTwice, zap.String("team", t.Debit.Team), zap.String("target", t.Slot.Target))
			return
		}
		m.outstanding.Add(-1)
	}
	m.release(allocation{t.Debit, t.Debit.Team != "", t.Slot, t.HasSlot}, used)
}

// errCallerGone returns the error of a request whose caller stopped waiting.
func errCallerGone(ctx context.Context) *result.Error {
	return result.New(result.DeadlineTooNear, result.NotRun, "the caller stopped waiting").WithCause(ctx.Err())
}

func errStopped() *result.Error {
	return result.New(result.ShuttingDown, result.NotRun, "the instance is shutting down")
}

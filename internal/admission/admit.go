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

// rights are what a request needs to run.
type rights struct {
	admission lease.Debit
	debited   bool
	slot      lease.Slot
	hasSlot   bool
}

// outcome ends the wait of a queued request.
type outcome struct {
	rights
	err *result.Error
}

// Admit implements Admitter.
func (m *Manager) Admit(ctx context.Context, r Request) (Ticket, error) {
	lim, err := m.limit(r)
	if err == nil {
		var got rights
		var waited time.Duration
		if got, waited, err = m.obtain(ctx, r, false, &lim); err == nil {
			m.outstanding.Add(1)
			m.cfg.Observer.Admitted(r.Team, waited)
			return Ticket{
				Debit: got.admission, Slot: got.slot, HasSlot: got.hasSlot,
				Waited: waited, ended: new(atomic.Bool),
			}, nil
		}
	}
	m.cfg.Observer.Refused(r.Team, err.Code, lim.within)
	return Ticket{}, err
}

// limit is the published limit of a team, and whether its demand at this
// instance is within it.
type limit struct {
	rate, burst float64
	known       bool
	within      bool
}

// limit looks up the limit of a request's team and refuses what can never be
// admitted.
func (m *Manager) limit(r Request) (limit, *result.Error) {
	if m.cfg.Limits == nil {
		return limit{}, nil
	}
	if !(r.Tokens > 0) || r.Prepaid {
		return limit{within: true}, nil
	}
	rate, burst, ok := m.cfg.Limits(r.Team)
	if ok && r.Tokens > burst*lease.MaxBurstFraction {
		return limit{}, result.New(result.TooLargeForTeam, result.NotRun,
			"the request needs %.0f tokens; at most half of the team's burst of %.0f can be granted at one time", r.Tokens, burst)
	}
	return limit{rate: rate, burst: burst, known: ok}, nil
}

// AcquireSlot implements Admitter. It debits nothing and goes before the team's
// other requests, since what the request has used so far would be lost.
func (m *Manager) AcquireSlot(ctx context.Context, r Request) (lease.Slot, error) {
	r.Prepaid = true
	got, _, err := m.obtain(ctx, r, true, nil)
	if err != nil {
		return lease.Slot{}, err
	}
	return got.slot, nil
}

// obtain takes the rights of r, at once or after a wait in the queue.
func (m *Manager) obtain(ctx context.Context, r Request, urgent bool, lim *limit) (rights, time.Duration, *result.Error) {
	if ctx.Err() != nil {
		return rights{}, 0, left(ctx)
	}
	e, got, err := m.submit(r, urgent, lim)
	if e == nil {
		return got, 0, err
	}
	select {
	case out := <-e.done:
		return out.rights, m.now() - e.at, out.err
	case <-ctx.Done():
		m.abandon(e)
		return rights{}, 0, left(ctx)
	}
}

// submit takes the rights of r at once or refuses it or queues it; only in the
// last case it returns an entry. lim may be nil.
func (m *Manager) submit(r Request, urgent bool, lim *limit) (*entry, rights, *result.Error) {
	now := m.now()
	cost, tokens := r.Tokens, max(r.Tokens, 0)
	if !(cost > 0) {
		cost = freeCost
	}
	if r.Prepaid {
		tokens = 0
	}
	deadline := now + m.cfg.MaxWait
	if !r.Deadline.IsZero() {
		deadline = min(deadline, r.Deadline.Sub(m.start))
	}
	free, stopped := m.enter(now, r, cost, lim)
	switch {
	case stopped:
		return nil, rights{}, errStopped()
	case r.Targets != nil && len(r.Targets) == 0:
		return nil, rights{}, result.New(result.NoTarget, result.NotRun, "no live target")
	case deadline <= now:
		return nil, rights{}, result.New(result.DeadlineTooNear, result.NotRun, "the deadline has passed")
	}
	if free {
		if got, v := m.take(r.Team, tokens, r.Targets, nil); v == served {
			return nil, got, nil
		}
	}
	e := &entry{
		team: r.Team, cost: cost, tokens: tokens, at: now, deadline: deadline,
		urgent: urgent, heapIndex: -1, done: make(chan outcome, 1),
	}
	if err := m.enqueue(r, e, free); err != nil {
		return nil, rights{}, err
	}
	m.serve()
	return e, rights{}, nil
}

// enter counts the arrival of r and reports whether it may take rights without
// going through the queue, because nothing that is queued waits for the same.
// It is then charged for them already, which saves a second lock.
func (m *Manager) enter(now time.Duration, r Request, cost float64, lim *limit) (free, stopped bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if lim != nil && lim.known {
		lim.within = m.mu.shadow.arrive(r.Team, r.Tokens, lim.rate, lim.burst, now)
	}
	if m.mu.stopped {
		return false, true
	}
	if len(r.Targets) == 0 && r.Targets != nil || !m.mu.q.clear(r.Team, r.Targets) {
		return false, false
	}
	m.mu.q.pass(now, r.Team, r.Weight, r.Targets, cost)
	return true, false
}

// enqueue queues e; charged is true if enter charged it for rights that it did
// not find.
func (m *Manager) enqueue(r Request, e *entry, charged bool) *result.Error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if charged {
		m.mu.q.pass(e.at, r.Team, r.Weight, r.Targets, -e.cost)
	}
	if m.mu.stopped {
		return errStopped()
	}
	e.targets = m.mu.q.lookup(r.Targets)
	dropped, err := m.mu.q.push(e.at, e, r.Weight)
	if dropped != nil {
		dropped.done <- outcome{err: result.New(result.QueueFull, result.NotRun, "the queue is full and the team has the most requests in it for its weight")}
	}
	m.queued.Store(int64(m.mu.q.total))
	if err == nil {
		select {
		case m.timer <- struct{}{}:
		default:
		}
	}
	return err
}

// abandon takes a request whose caller has gone out of the queue and gives
// back what it was given meanwhile.
func (m *Manager) abandon(e *entry) {
	m.mu.Lock()
	queued := m.mu.q.cancel(m.now(), e)
	m.mu.Unlock()
	if !queued {
		// The outcome was sent under mu, before the entry left the queue.
		if out := <-e.done; out.err == nil {
			m.giveBack(out.rights, 0)
		}
	}
	m.serve()
}

// take takes a slot of the first target that has one, then the tokens. The
// slot comes first because it can be returned at once, while a refund reaches
// the balance only after the grantor has confirmed it. failed is called for
// each target without a slot.
func (m *Manager) take(team string, tokens float64, targets []string, failed func(i int)) (rights, verdict) {
	var r rights
	for i, name := range targets {
		if r.slot, r.hasSlot = m.cfg.Slots.TryTake(name); r.hasSlot {
			break
		}
		if failed != nil {
			failed(i)
		}
	}
	if !r.hasSlot && len(targets) > 0 {
		return rights{}, noSlot
	}
	if tokens > 0 {
		if r.admission, r.debited = m.cfg.Tokens.TryDebit(team, tokens); !r.debited {
			if r.hasSlot {
				m.cfg.Slots.Release(r.slot)
			}
			return rights{}, noTokens
		}
	}
	return r, served
}

// giveBack frees the slot and refunds what was not used.
func (m *Manager) giveBack(r rights, used float64) {
	if r.debited {
		m.cfg.Tokens.Refund(r.admission, min(max(r.admission.Tokens-used, 0), r.admission.Tokens))
	}
	if !r.hasSlot {
		return
	}
	m.cfg.Slots.Release(r.slot)
	if m.queued.Load() == 0 {
		// A request that is queued from now on finds the slot by itself.
		return
	}
	m.mu.Lock()
	m.mu.q.freed(r.slot.Target)
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

// Done implements Admitter. A second call for the same ticket is a fault of
// the caller; it is reported and changes nothing.
func (m *Manager) Done(t Ticket, used float64) {
	if t.ended != nil {
		if t.ended.Swap(true) {
			m.cfg.Log.Emit(event.TicketEndedTwice, zap.String("team", t.Debit.Team), zap.String("target", t.Slot.Target))
			return
		}
		m.outstanding.Add(-1)
	}
	m.giveBack(rights{t.Debit, t.Debit.Team != "", t.Slot, t.HasSlot}, used)
}

// left is the refusal of a request whose caller did not wait.
func left(ctx context.Context) *result.Error {
	return result.New(result.DeadlineTooNear, result.NotRun, "the caller stopped waiting").WithCause(ctx.Err())
}

func errStopped() *result.Error {
	return result.New(result.ShuttingDown, result.NotRun, "the instance is shutting down")
}

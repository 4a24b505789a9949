package admission

import (
	"container/heap"
	"time"
)

// next returns the queued request to serve next, or nil if none can be served
// until slots or tokens change. The request stays queued until endAcquisition.
func (q *queue) next() *entry {
	for _, p := range q.pools {
		if !p.mayServe {
			continue
		}
		if e := p.pick(q.tokenGen); e != nil {
			e.acquiring = true
			return e
		}
		p.mayServe = false
	}
	return nil
}

// pick returns the next request of the team whose previous request has the
// smallest virtual finish time, among the requests that may find tokens and a
// slot.
//
// Ordering by the finish time of the request itself would be as fair, but a
// large request of a team with a small weight would wait longer than any
// deadline, even if it is the team's only request.
func (p *pool) pick(tokenGen uint64) *entry {
	var best *entry
	for _, f := range p.active {
		if best != nil && f.virtualStart > best.subqueue.flow.virtualStart {
			continue
		}
		outOfTokens := f.team.tokenBlocked && f.team.failedDebitGen == tokenGen
		for _, sq := range f.subqueues {
			if len(sq.entries) == 0 || sq.needsTokens && outOfTokens || !p.usable(sq.targetSet) {
				continue
			}
			if e := sq.entries[0]; !e.acquiring && (best == nil || e.before(best)) {
				best = e
			}
		}
	}
	return best
}

// before reports whether e is served before o.
func (e *entry) before(o *entry) bool {
	f, g := e.subqueue.flow, o.subqueue.flow
	switch {
	case f.virtualStart != g.virtualStart:
		return f.virtualStart < g.virtualStart
	case f == g && e.isRetry != o.isRetry:
		return e.isRetry
	}
	return e.seq < o.seq
}

// usable reports whether a target of the set may have a slot.
func (p *pool) usable(s *targetSet) bool {
	if !p.needsSlots {
		return true
	}
	if s.poolGen != p.gen {
		s.poolGen, s.usable = p.gen, false
		for _, t := range s.targets {
			if t.mayHaveSlot() {
				s.usable = true
				break
			}
		}
	}
	return s.usable
}

// acquireResult is the result of an attempt to acquire an allocation.
type acquireResult int

const (
	acquired acquireResult = iota
	noSlot
	noTokens
	withdrawn // the caller left or the Manager stopped
)

// endAcquisition records the result of the attempt for e, which next returned. It
// reports whether it removed e from the queue, which it does if e was served, or
// cancelled meanwhile.
func (q *queue) endAcquisition(now time.Duration, e *entry, res acquireResult, tokenGen uint64) bool {
	e.acquiring = false
	f := e.subqueue.flow
	t := f.team
	switch res {
	case acquired:
		if t.tokenBlocked && e.tokens > 0 {
			if t.failedDebitGen != 0 {
				// The team gets no credit for slots that it could not use for want of
				// tokens.
				f.virtualStart = max(f.virtualStart, f.pool.virtualTime)
				t.failedDebitGen = 0
			}
			t.debitRate.record(now, e.tokens)
		}
		f.pool.charge(f, e)
		f.pool.serviceRate.record(now, e.cost)
		q.remove(now, e)
		return true
	case noSlot:
		if e.tokens > 0 {
			q.setTokenBlocked(now, t, false)
		}
	case noTokens:
		q.setTokenBlocked(now, t, true)
		t.failedDebitGen, t.blocker = tokenGen, e
	}
	if e.cancelled || res == withdrawn {
		q.remove(now, e)
		return true
	}
	if e.heapIndex < 0 {
		heap.Push(&q.deadlines, e)
	}
	return false
}

// setTokenBlocked records whether a team waits for tokens. While it does, its
// requests do not count as waiting for slots.
func (q *queue) setTokenBlocked(now time.Duration, t *team, blocked bool) {
	if t.tokenBlocked == blocked {
		return
	}
	t.tokenBlocked, t.failedDebitGen, t.blocker = blocked, 0, nil
	for p, f := range t.flows {
		if blocked {
			p.addSlotWaiters(now, -f.queued)
		} else {
			p.addSlotWaiters(now, f.queued)
		}
	}
	if blocked {
		t.debitRate.startBacklog(now)
	} else {
		t.debitRate.endBacklog(now)
	}
}

// addSlotWaiters adds n to the number of requests that wait only for slots.
func (p *pool) addSlotWaiters(now time.Duration, n int) {
	p.slotWaiters += n
	if p.slotWaiters > 0 {
		p.serviceRate.startBacklog(now)
	} else {
		p.serviceRate.endBacklog(now)
	}
}

// charge advances the virtual time of p and f for the service of e.
func (p *pool) charge(f *flow, e *entry) {
	p.virtualTime = max(p.virtualTime, f.virtualStart)
	if !e.isRetry {
		f.virtualStart += e.cost / f.weight
	}
}

// canBypass reports whether a request may acquire its allocation without
// queueing: no request waits for slots in its pool, and its team has none queued.
func (q *queue) canBypass(teamName string, targets []string) bool {
	if t := q.teams[teamName]; t != nil && t.queued > 0 {
		return false
	}
	p := q.remote
	if len(targets) > 0 {
		t := q.targets[targets[0]]
		if t == nil {
			return true
		}
		p = t.pool
	}
	return p.slotWaiters == 0
}

// chargeBypass charges a request that is served without queueing. A negative
// cost reverses the charge.
func (q *queue) chargeBypass(now time.Duration, teamName string, weight float64, targets []string, cost float64) {
	p := q.remote
	if len(targets) > 0 {
		p = q.ensureTarget(targets[0]).pool
	}
	f := q.ensureFlow(now, p, teamName, weight)
	if cost > 0 {
		p.virtualTime = max(p.virtualTime, f.virtualStart)
	}
	f.virtualStart += cost / f.weight
}

// waitsForTokens reports whether the team waits for tokens.
func (q *queue) waitsForTokens(teamName string) bool {
	t := q.teams[teamName]
	return t != nil && t.tokenBlocked
}

// removeAll removes and returns all queued requests except the one being served.
func (q *queue) removeAll(now time.Duration) []*entry {
	var out []*entry
	for _, e := range append([]*entry(nil), q.deadlines...) {
		if !e.acquiring {
			q.remove(now, e)
			out = append(out, e)
		}
	}
	return out
}

// markNoSlot records that t had no slot when its generation was gen.
func (t *target) markNoSlot(gen uint64) {
	t.noSlotGen = gen
	t.pool.gen++
}

// slotFreed records that the named target may have a slot again.
func (q *queue) slotFreed(name string) {
	if t := q.targets[name]; t != nil {
		t.gen++
		t.pool.gen++
		t.pool.mayServe = t.pool.queued > 0
	}
}

// capacityChanged records that balances may have increased or slots become idle.
func (q *queue) capacityChanged() {
	q.tokenGen++
	for _, p := range q.pools {
		if p.queued == 0 {
			continue
		}
		p.gen++
		p.mayServe = true
		for _, t := range p.targets {
			t.gen++
		}
	}
}

// removeExpired removes and returns the requests whose deadline has passed.
func (q *queue) removeExpired(now time.Duration) []*entry {
	var out []*entry
	for len(q.deadlines) > 0 && q.deadlines[0].deadline <= now {
		e := q.deadlines[0]
		if e.acquiring {
			// It is being served; endAcquisition queues its deadline again if needed.
			heap.Remove(&q.deadlines, 0)
			continue
		}
		q.remove(now, e)
		out = append(out, e)
	}
	return out
}

// nextDeadline returns the earliest deadline of a queued request.
func (q *queue) nextDeadline() (time.Duration, bool) {
	if len(q.deadlines) == 0 {
		return 0, false
	}
	return q.deadlines[0].deadline, true
}

// cancel removes e, or marks it if it is being served. It reports whether e
// was still queued.
func (q *queue) cancel(now time.Duration, e *entry) bool {
	if e.subqueue == nil {
		return false
	}
	if e.acquiring {
		e.cancelled = true
		return true
	}
	q.remove(now, e)
	return true
}

// deadlineHeap orders queued requests by deadline.
type deadlineHeap []*entry

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *deadlineHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}
func (h *deadlineHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.heapIndex = -1
	return e
}

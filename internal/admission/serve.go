package admission

import (
	"container/heap"
	"time"
)

// next returns the queued request to serve next, or nil if none can be served
// until something changes. It stays queued until settle is called.
func (q *queue) next() *entry {
	for _, p := range q.pools {
		if !p.dirty {
			continue
		}
		if e := p.pick(q.gen); e != nil {
			e.offered = true
			return e
		}
		p.dirty = false
	}
	return nil
}

// pick returns the next request of the team whose previous request has the
// smallest virtual finish time, among those that may find tokens and a slot.
//
// Ordering by the finish time of the request itself would be as fair, but a
// large request of a team with a small weight would wait for longer than any
// deadline even when its team asks for nothing else.
func (p *pool) pick(tokenGen uint64) *entry {
	var best *entry
	for _, f := range p.active {
		if best != nil && f.next > best.lane.flow.next {
			continue
		}
		broke := f.team.blocked && f.team.blockedGen == tokenGen
		for _, l := range f.lanes {
			if len(l.entries) == 0 || l.debit && broke || !p.usable(l.set) {
				continue
			}
			if e := l.entries[0]; !e.offered && (best == nil || e.before(best)) {
				best = e
			}
		}
	}
	return best
}

// before reports whether e is to be served before o.
func (e *entry) before(o *entry) bool {
	f, g := e.lane.flow, o.lane.flow
	switch {
	case f.next != g.next:
		return f.next < g.next
	case f == g && e.urgent != o.urgent:
		return e.urgent
	}
	return e.seq < o.seq
}

// usable reports whether a target of the set may have a slot.
func (p *pool) usable(s *targetSet) bool {
	if !p.slotted {
		return true
	}
	if s.gen != p.gen {
		s.gen, s.usable = p.gen, false
		for _, t := range s.targets {
			if t.mayHaveSlot() {
				s.usable = true
				break
			}
		}
	}
	return s.usable
}

// verdict is what became of an offered request.
type verdict int

const (
	served verdict = iota
	noSlot
	noTokens
	withdrawn // the caller left or the manager stopped
)

// settle ends the offer of e. It reports whether e has left the queue, which
// it does if it was served or was cancelled meanwhile.
func (q *queue) settle(now time.Duration, e *entry, v verdict, tokenGen uint64) bool {
	e.offered = false
	f := e.lane.flow
	t := f.team
	switch v {
	case served:
		if t.blocked && e.tokens > 0 {
			if t.blockedGen != 0 {
				// No credit for slots that could not be used for want of tokens.
				f.next = max(f.next, f.pool.clock)
				t.blockedGen = 0
			}
			t.debits.served(now, e.tokens)
		}
		f.pool.charge(f, e)
		f.pool.service.served(now, e.cost)
		q.remove(now, e)
		return true
	case noSlot:
		if e.tokens > 0 {
			q.setBlocked(now, t, false)
		}
	case noTokens:
		q.setBlocked(now, t, true)
		t.blockedGen, t.blocker = tokenGen, e
	}
	if e.cancelled || v == withdrawn {
		q.remove(now, e)
		return true
	}
	if e.heapIndex < 0 {
		heap.Push(&q.expiry, e)
	}
	return false
}

// setBlocked notes whether a team waits for tokens. Its requests then do not
// count as waiting for slots.
func (q *queue) setBlocked(now time.Duration, t *team, blocked bool) {
	if t.blocked == blocked {
		return
	}
	t.blocked, t.blockedGen, t.blocker = blocked, 0, nil
	for p, f := range t.flows {
		if blocked {
			p.addReady(now, -f.n)
		} else {
			p.addReady(now, f.n)
		}
	}
	if blocked {
		t.debits.start(now)
	} else {
		t.debits.stop(now)
	}
}

// addReady changes the number of requests that wait for slots only.
func (p *pool) addReady(now time.Duration, n int) {
	p.ready += n
	if p.ready > 0 {
		p.service.start(now)
	} else {
		p.service.stop(now)
	}
}

// charge advances the virtual clock by the service of e.
func (p *pool) charge(f *flow, e *entry) {
	p.clock = max(p.clock, f.next)
	if !e.urgent {
		f.next += e.cost / f.weight
	}
}

// clear reports whether a request may take rights without queueing: nothing
// that waits for a slot could use one it finds, and its team has no queue.
func (q *queue) clear(teamName string, targets []string) bool {
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
	return p.ready == 0
}

// pass charges a request that is served without queueing. A negative cost takes
// the charge back.
func (q *queue) pass(now time.Duration, teamName string, weight float64, targets []string, cost float64) {
	p := q.remote
	if len(targets) > 0 {
		p = q.target(targets[0]).pool
	}
	f := q.flow(now, p, teamName, weight)
	if cost > 0 {
		p.clock = max(p.clock, f.next)
	}
	f.next += cost / f.weight
}

// waitsForTokens reports whether the team waits for tokens.
func (q *queue) waitsForTokens(teamName string) bool {
	t := q.teams[teamName]
	return t != nil && t.blocked
}

// drain removes and returns all queued requests but the one being served.
func (q *queue) drain(now time.Duration) []*entry {
	var out []*entry
	for _, e := range append([]*entry(nil), q.expiry...) {
		if !e.offered {
			q.remove(now, e)
			out = append(out, e)
		}
	}
	return out
}

// failedSlot notes that t had no slot in generation gen of t.
func (t *target) failedSlot(gen uint64) {
	t.failed = gen
	t.pool.gen++
}

// freed notes that t may have a slot again.
func (q *queue) freed(name string) {
	if t := q.targets[name]; t != nil {
		t.gen++
		t.pool.gen++
		t.pool.dirty = t.pool.n > 0
	}
}

// changed notes that balances or slots may have risen.
func (q *queue) changed() {
	q.gen++
	for _, p := range q.pools {
		if p.n == 0 {
			continue
		}
		p.gen++
		p.dirty = true
		for _, t := range p.targets {
			t.gen++
		}
	}
}

// expired removes and returns the requests whose deadline has passed.
func (q *queue) expired(now time.Duration) []*entry {
	var out []*entry
	for len(q.expiry) > 0 && q.expiry[0].deadline <= now {
		e := q.expiry[0]
		if e.offered {
			// It is being served; settle decides.
			heap.Remove(&q.expiry, 0)
			continue
		}
		q.remove(now, e)
		out = append(out, e)
	}
	return out
}

// nextDeadline returns the earliest deadline of a queued request.
func (q *queue) nextDeadline() (time.Duration, bool) {
	if len(q.expiry) == 0 {
		return 0, false
	}
	return q.expiry[0].deadline, true
}

// cancel removes e, or marks it if it is being served. It reports whether e
// was still queued.
func (q *queue) cancel(now time.Duration, e *entry) bool {
	if e.lane == nil {
		return false
	}
	if e.offered {
		e.cancelled = true
		return true
	}
	q.remove(now, e)
	return true
}

// expiryHeap orders queued requests by deadline.
type expiryHeap []*entry

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].deadline < h[j].deadline }
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}
func (h *expiryHeap) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}
func (h *expiryHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	e.heapIndex = -1
	return e
}

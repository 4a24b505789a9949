package admission

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// teamIdleTimeout is how long the state of a team without queued requests is kept.
const teamIdleTimeout = 30 * time.Second

// ensureTeam returns the state of a team and creates it if needed.
func (q *queue) ensureTeam(now time.Duration, name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, flows: map[*pool]*flow{}}
		q.teams[name] = t
	}
	t.lastUsed = now
	return t
}

// ensureFlow returns the flow of a team in p and creates it if needed.
func (q *queue) ensureFlow(now time.Duration, p *pool, name string, weight float64) *flow {
	if !(weight > 0) {
		weight = 1
	}
	f := p.flows[name]
	if f == nil {
		f = &flow{team: q.ensureTeam(now, name), pool: p, virtualStart: p.virtualTime}
		p.flows[name] = f
		f.team.flows[p] = f
	}
	f.weight = weight
	f.team.lastUsed = now
	if f.queued == 0 {
		f.virtualStart = max(f.virtualStart, p.virtualTime)
	}
	return f
}

// ensureTarget returns the state of a target and creates it, in a pool of its
// own, if needed.
func (q *queue) ensureTarget(name string) *target {
	t := q.targets[name]
	if t == nil {
		t = &target{name: name, id: xxhash.Sum64String(name), gen: 1}
		t.pool = q.newPool()
		t.pool.targets = []*target{t}
		q.targets[name] = t
	}
	return t
}

// ensureTargets returns the states of the named targets and creates them if
// needed.
func (q *queue) ensureTargets(names []string) []*target {
	out := make([]*target, len(names))
	for i, name := range names {
		out[i] = q.ensureTarget(name)
	}
	return out
}

// poolFor returns the pool of the targets, after merging their pools if they are
// in different ones. Without targets it returns the remote pool.
func (q *queue) poolFor(now time.Duration, targets []*target) *pool {
	if len(targets) == 0 {
		return q.remote
	}
	p := targets[0].pool
	for _, t := range targets[1:] {
		if t.pool == p {
			continue
		}
		from := t.pool
		if len(from.targets) > len(p.targets) {
			from, p = p, from
		}
		q.merge(now, p, from)
	}
	return p
}

// merge moves the targets and queued requests of from to p. A team keeps its lead
// over the virtual time; if it has flows in both pools, the larger lead counts.
func (q *queue) merge(now time.Duration, p, from *pool) {
	p.targets = append(p.targets, from.targets...)
	for _, t := range p.targets {
		t.pool = p
		t.gen++ // a noSlotGen recorded while nothing was queued there is out of date
	}
	for key, s := range from.sets {
		s.poolGen = 0
		if p.sets[key] == nil {
			p.sets[key] = s
		}
	}
	for name, g := range from.flows {
		virtualLead := g.virtualStart - from.virtualTime
		delete(g.team.flows, from)
		f := p.flows[name]
		if f == nil {
			g.pool, g.virtualStart = p, p.virtualTime+virtualLead
			p.flows[name], g.team.flows[p] = g, g
			if g.queued > 0 {
				p.active = append(p.active, g)
			}
			continue
		}
		f.virtualStart = max(f.virtualStart, p.virtualTime+virtualLead)
		if f.queued == 0 && g.queued > 0 {
			p.active = append(p.active, f)
		}
		for _, sq := range g.subqueues {
			sq.flow = f
			f.subqueues = append(f.subqueues, sq)
		}
		f.queued += g.queued
		f.queuedCost += g.queuedCost
	}
	p.queued += from.queued
	p.slotWaiters += from.slotWaiters
	p.gen++
	p.mayServe = true
	if from.serviceRate.count > p.serviceRate.count {
		p.serviceRate = from.serviceRate
	}
	p.addSlotWaiters(now, 0)
	q.pools = slices.DeleteFunc(q.pools, func(x *pool) bool { return x == from })
}

// ensureTargetSet returns the shared set of the targets and creates it if needed.
func (p *pool) ensureTargetSet(targets []*target) *targetSet {
	var key uint64
	for _, t := range targets {
		key += t.id
	}
	s := p.sets[key]
	if s == nil {
		s = &targetSet{key: key, targets: targets}
		p.sets[key] = s
	}
	return s
}

// insert adds e to the queue as a request of f.
func (q *queue) insert(now time.Duration, f *flow, e *entry) {
	q.lastSeq++
	e.seq = q.lastSeq
	p, t := f.pool, f.team
	s := p.ensureTargetSet(e.targets)
	e.subqueue = nil
	for _, sq := range f.subqueues {
		if sq.targetSet.key == s.key && sq.needsTokens == (e.tokens > 0) {
			e.subqueue = sq
			break
		}
	}
	if e.subqueue == nil {
		e.subqueue = &subqueue{flow: f, targetSet: s, needsTokens: e.tokens > 0}
		f.subqueues = append(f.subqueues, e.subqueue)
	}
	if e.isRetry {
		e.subqueue.entries = slices.Insert(e.subqueue.entries, 0, e)
	} else {
		e.subqueue.entries = append(e.subqueue.entries, e)
	}
	if f.queued == 0 {
		p.active = append(p.active, f)
		f.virtualStart = max(f.virtualStart, p.virtualTime)
	}
	if p.queued == 0 {
		// Each noSlotGen recorded before, while nothing was queued, is out of date.
		p.gen++
		for _, tgt := range p.targets {
			tgt.gen++
		}
	}
	f.queued++
	f.queuedCost += e.cost
	p.queued++
	p.mayServe = true
	if !t.tokenBlocked {
		p.addSlotWaiters(now, 1)
	}
	t.queued++
	q.total++
	if e.tokens > 0 {
		t.debitCount++
		t.queuedTokens += e.tokens
		q.markTeamChanged(t)
	}
	for _, tgt := range e.targets {
		tgt.demand++
		q.markTargetChanged(tgt)
	}
	heap.Push(&q.deadlines, e)
}

// remove removes e from the queue.
func (q *queue) remove(now time.Duration, e *entry) {
	sq := e.subqueue
	f := sq.flow
	p, t := f.pool, f.team
	i := slices.Index(sq.entries, e)
	sq.entries = slices.Delete(sq.entries, i, i+1)
	e.subqueue = nil
	f.queued--
	f.queuedCost -= e.cost
	if len(sq.entries) == 0 {
		f.subqueues = slices.DeleteFunc(f.subqueues, func(x *subqueue) bool { return x == sq })
	}
	if f.queued == 0 {
		f.queuedCost = 0
		p.active = slices.DeleteFunc(p.active, func(x *flow) bool { return x == f })
	}
	p.queued--
	if !t.tokenBlocked {
		p.addSlotWaiters(now, -1)
	}
	if p.queued == 0 {
		clear(p.sets)
	}
	t.queued--
	q.total--
	if e.tokens > 0 {
		t.queuedTokens -= e.tokens
		q.markTeamChanged(t)
	}
	if t.blocker == e {
		t.blocker, t.failedDebitGen = nil, 0
		for p := range t.flows {
			p.mayServe = p.queued > 0
		}
	}
	if e.tokens > 0 {
		t.debitCount--
		if t.debitCount == 0 {
			t.queuedTokens = 0
			q.setTokenBlocked(now, t, false)
		}
	}
	for _, tgt := range e.targets {
		tgt.demand--
		q.markTargetChanged(tgt)
	}
	if e.heapIndex >= 0 {
		heap.Remove(&q.deadlines, e.heapIndex)
	}
	p.mayServe = p.queued > 0
}

func (q *queue) markTeamChanged(t *team) {
	if !t.demandChanged {
		t.demandChanged = true
		q.changedTeams = append(q.changedTeams, t)
	}
}

func (q *queue) markTargetChanged(t *target) {
	if !t.demandChanged {
		t.demandChanged = true
		q.changedTargets = append(q.changedTargets, t)
	}
}

// tokenDemand is the number of tokens that the queued requests of a team need.
type tokenDemand struct {
	team   string
	tokens float64
}

// slotDemand is the number of queued requests that could use a target.
type slotDemand struct {
	target string
	queued int
}

// takeChangedDemand returns the demand of the teams and targets whose demand
// changed since the last call.
func (q *queue) takeChangedDemand() (tokens []tokenDemand, slots []slotDemand) {
	for _, t := range q.changedTeams {
		t.demandChanged = false
		tokens = append(tokens, tokenDemand{t.name, t.queuedTokens})
	}
	for _, t := range q.changedTargets {
		t.demandChanged = false
		slots = append(slots, slotDemand{t.name, t.demand})
	}
	q.changedTeams, q.changedTargets = q.changedTeams[:0], q.changedTargets[:0]
	return tokens, slots
}

// sweep deletes teams idle for teamIdleTimeout, their flows, and idle flows that
// are not ahead of their pool's virtual time, so that memory use depends on the
// active teams.
func (q *queue) sweep(now time.Duration) {
	for _, p := range q.pools {
		for name, f := range p.flows {
			if f.queued == 0 && (f.virtualStart <= p.virtualTime || now-f.team.lastUsed > teamIdleTimeout) {
				delete(p.flows, name)
				delete(f.team.flows, p)
			}
		}
	}
	for name, t := range q.teams {
		if t.queued == 0 && now-t.lastUsed > teamIdleTimeout && !t.demandChanged {
			for p, f := range t.flows {
				delete(p.flows, f.team.name)
			}
			delete(q.teams, name)
		}
	}
}

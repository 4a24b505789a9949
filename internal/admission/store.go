package admission

import (
	"container/heap"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// teamIdle is how long a team without queued requests is remembered.
const teamIdle = 30 * time.Second

// team returns the state of a team and creates it if needed.
func (q *queue) team(now time.Duration, name string) *team {
	t := q.teams[name]
	if t == nil {
		t = &team{name: name, flows: map[*pool]*flow{}}
		q.teams[name] = t
	}
	t.lastUse = now
	return t
}

// flow returns the flow of a team in p and creates it if needed.
func (q *queue) flow(now time.Duration, p *pool, name string, weight float64) *flow {
	if !(weight > 0) {
		weight = 1
	}
	f := p.flows[name]
	if f == nil {
		f = &flow{team: q.team(now, name), pool: p, next: p.clock}
		p.flows[name] = f
		f.team.flows[p] = f
	}
	f.weight = weight
	f.team.lastUse = now
	if f.n == 0 {
		f.next = max(f.next, p.clock)
	}
	return f
}

// target returns the state of a target and creates it in a pool of its own.
func (q *queue) target(name string) *target {
	t := q.targets[name]
	if t == nil {
		t = &target{name: name, id: xxhash.Sum64String(name), gen: 1}
		t.pool = q.newPool()
		t.pool.targets = []*target{t}
		q.targets[name] = t
	}
	return t
}

// lookup returns the target states for names.
func (q *queue) lookup(names []string) []*target {
	out := make([]*target, len(names))
	for i, name := range names {
		out[i] = q.target(name)
	}
	return out
}

// poolFor returns the pool of the targets and merges their pools if they are
// not in one yet.
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

// merge moves everything in from to p.
func (q *queue) merge(now time.Duration, p, from *pool) {
	p.targets = append(p.targets, from.targets...)
	for _, t := range p.targets {
		t.pool = p
		t.gen++ // a failure noted while nothing was queued there is out of date
	}
	for key, s := range from.sets {
		s.gen = 0
		if p.sets[key] == nil {
			p.sets[key] = s
		}
	}
	for name, g := range from.flows {
		lead := g.next - from.clock
		delete(g.team.flows, from)
		f := p.flows[name]
		if f == nil {
			g.pool, g.next = p, p.clock+lead
			p.flows[name], g.team.flows[p] = g, g
			if g.n > 0 {
				p.active = append(p.active, g)
			}
			continue
		}
		f.next = max(f.next, p.clock+lead)
		if f.n == 0 && g.n > 0 {
			p.active = append(p.active, f)
		}
		for _, l := range g.lanes {
			l.flow = f
			f.lanes = append(f.lanes, l)
		}
		f.n += g.n
		f.cost += g.cost
	}
	p.n += from.n
	p.ready += from.ready
	p.gen++
	p.dirty = true
	if from.service.n > p.service.n {
		p.service = from.service
	}
	p.addReady(now, 0)
	q.pools = slices.DeleteFunc(q.pools, func(x *pool) bool { return x == from })
}

// set returns the shared description of the targets.
func (p *pool) set(targets []*target) *targetSet {
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

// insert queues e in f.
func (q *queue) insert(now time.Duration, f *flow, e *entry) {
	q.seq++
	e.seq = q.seq
	p, t := f.pool, f.team
	s := p.set(e.targets)
	e.lane = nil
	for _, l := range f.lanes {
		if l.set.key == s.key && l.debit == (e.tokens > 0) {
			e.lane = l
			break
		}
	}
	if e.lane == nil {
		e.lane = &lane{flow: f, set: s, debit: e.tokens > 0}
		f.lanes = append(f.lanes, e.lane)
	}
	if e.urgent {
		e.lane.entries = slices.Insert(e.lane.entries, 0, e)
	} else {
		e.lane.entries = append(e.lane.entries, e)
	}
	if f.n == 0 {
		p.active = append(p.active, f)
		f.next = max(f.next, p.clock)
	}
	if p.n == 0 {
		// Failures noted while nothing was queued are out of date.
		p.gen++
		for _, g := range p.targets {
			g.gen++
		}
	}
	f.n++
	f.cost += e.cost
	p.n++
	p.dirty = true
	if !t.blocked {
		p.addReady(now, 1)
	}
	t.queued++
	q.total++
	if e.tokens > 0 {
		t.debitors++
		t.tokens += e.tokens
		q.touchTeam(t)
	}
	for _, g := range e.targets {
		g.want++
		q.touchTarget(g)
	}
	heap.Push(&q.expiry, e)
}

// remove takes e out of the queue.
func (q *queue) remove(now time.Duration, e *entry) {
	l := e.lane
	f := l.flow
	p, t := f.pool, f.team
	i := slices.Index(l.entries, e)
	l.entries = slices.Delete(l.entries, i, i+1)
	e.lane = nil
	f.n--
	f.cost -= e.cost
	if len(l.entries) == 0 {
		f.lanes = slices.DeleteFunc(f.lanes, func(x *lane) bool { return x == l })
	}
	if f.n == 0 {
		f.cost = 0
		p.active = slices.DeleteFunc(p.active, func(x *flow) bool { return x == f })
	}
	p.n--
	if !t.blocked {
		p.addReady(now, -1)
	}
	if p.n == 0 {
		clear(p.sets)
	}
	t.queued--
	q.total--
	if e.tokens > 0 {
		t.tokens -= e.tokens
		q.touchTeam(t)
	}
	if t.blocker == e {
		t.blocker, t.blockedGen = nil, 0
		for p := range t.flows {
			p.dirty = p.n > 0
		}
	}
	if e.tokens > 0 {
		t.debitors--
		if t.debitors == 0 {
			t.tokens = 0
			q.setBlocked(now, t, false)
		}
	}
	for _, g := range e.targets {
		g.want--
		q.touchTarget(g)
	}
	if e.heapIndex >= 0 {
		heap.Remove(&q.expiry, e.heapIndex)
	}
	p.dirty = p.n > 0
}

func (q *queue) touchTeam(t *team) {
	if !t.dirty {
		t.dirty = true
		q.dirtyTeams = append(q.dirtyTeams, t)
	}
}

func (q *queue) touchTarget(t *target) {
	if !t.dirty {
		t.dirty = true
		q.dirtyTargets = append(q.dirtyTargets, t)
	}
}

// tokenDemand and slotDemand are what queued requests still need.
type tokenDemand struct {
	team   string
	tokens float64
}

type slotDemand struct {
	target string
	n      int
}

// demand returns the demand of teams and targets that changed since the last
// call.
func (q *queue) demand() (tokens []tokenDemand, slots []slotDemand) {
	for _, t := range q.dirtyTeams {
		t.dirty = false
		tokens = append(tokens, tokenDemand{t.name, t.tokens})
	}
	for _, t := range q.dirtyTargets {
		t.dirty = false
		slots = append(slots, slotDemand{t.name, t.want})
	}
	q.dirtyTeams, q.dirtyTargets = q.dirtyTeams[:0], q.dirtyTargets[:0]
	return tokens, slots
}

// sweep forgets teams that were idle for long, flows without a lead, and the
// grouping of targets while nothing is queued, so that memory depends on what
// is active.
func (q *queue) sweep(now time.Duration) {
	for _, p := range q.pools {
		for name, f := range p.flows {
			if f.n == 0 && (f.next <= p.clock || now-f.team.lastUse > teamIdle) {
				delete(p.flows, name)
				delete(f.team.flows, p)
			}
		}
	}
	for name, t := range q.teams {
		if t.queued == 0 && now-t.lastUse > teamIdle && !t.dirty {
			for p, f := range t.flows {
				delete(p.flows, f.team.name)
			}
			delete(q.teams, name)
		}
	}
}

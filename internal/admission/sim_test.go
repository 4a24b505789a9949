package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The simulation runs an admission policy in virtual time against the fake
// holder. A slot processes slotRate tokens a second.
const (
	simTargets = 12
	simPerSlot = 4
	slotRate   = 100.0
	simWarm    = 30 * time.Second
	simEnd     = 120 * time.Second
	simTick    = 50 * time.Millisecond // renewals
	simWait    = 5 * time.Second
	simBurst   = 10 * time.Second // burst, in seconds of rate
)

// simCapacity is the tokens per second of all slots.
const simCapacity = simTargets * simPerSlot * slotRate

type simTeam struct {
	name    string
	weight  float64
	rate    float64 // tokens per second that the holder receives
	offered float64 // tokens per second of demand
	mean    float64 // tokens per request
}

// waiter is a submitted request of the simulation.
type waiter struct {
	team   int
	r      Request
	at     time.Duration
	count  bool
	entry  *entry // of managed
	rights rights
	ended  bool
	err    bool
}

// admission is what the simulation needs of a policy.
type admission interface {
	// submit starts a request; poll sets w.ended once it is granted or refused.
	submit(w *waiter)
	poll(w *waiter)
	queued() int
	// wake retries after tokens rose or time passed.
	wake()
	finish(got rights, used float64)
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type teamStats struct {
	arrived, refused, late int
	served                 float64 // tokens of requests that started in time
	waits                  []time.Duration
}

func (s *teamStats) add(o teamStats) {
	s.arrived += o.arrived
	s.refused += o.refused
	s.late += o.late
	s.served += o.served
	s.waits = append(s.waits, o.waits...)
}

func (s *teamStats) refusedShare() float64 { return float64(s.refused) / float64(max(s.arrived, 1)) }

func (s *teamStats) p99() time.Duration {
	if len(s.waits) == 0 {
		return 0
	}
	slices.Sort(s.waits)
	return s.waits[min(int(math.Ceil(0.99*float64(len(s.waits))))-1, len(s.waits)-1)]
}

type sim struct {
	v       *virtualNow
	f       *fakeRights
	a       admission
	teams   []simTeam
	stats   []teamStats
	events  eventHeap
	seq     int
	now     time.Duration
	waiting []*waiter
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

// runSim runs one policy; build receives the fake holder and the time source.
func runSim(seed uint64, teams []simTeam, build func(f *fakeRights, now func() time.Time) admission) *sim {
	s := &sim{v: newVirtualNow(), f: newFake(), teams: teams, stats: make([]teamStats, len(teams))}
	s.a = build(s.f, s.v.now)
	var targets []string
	for i := range simTargets {
		targets = append(targets, fmt.Sprintf("t%d", i))
		s.f.idle[targets[i]] = simPerSlot
	}
	for i, t := range teams {
		s.f.balance[t.name] = t.rate * simBurst.Seconds()
		// Each team has a generator of its own, so that the demand of one team
		// is the same whatever the others do.
		s.arrivals(i, targets, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	var tick func()
	tick = func() {
		for _, t := range teams {
			s.f.balance[t.name] = min(s.f.balance[t.name]+t.rate*simTick.Seconds(), t.rate*simBurst.Seconds())
		}
		s.a.wake()
		s.after(simTick, tick)
	}
	s.after(simTick, tick)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > simEnd {
			break
		}
		s.v.advance(e.at - s.now)
		s.now = e.at
		e.do()
		s.collect()
	}
	return s
}

func (s *sim) arrivals(i int, targets []string, rng *rand.Rand) {
	t := s.teams[i]
	var next func()
	gap := func() time.Duration {
		return time.Duration(rng.ExpFloat64() * t.mean / t.offered * float64(time.Second))
	}
	next = func() {
		tokens := math.Ceil(t.mean * []float64{0.3, 0.5, 0.7, 1, 2.5}[rng.IntN(5)])
		w := &waiter{team: i, at: s.now, count: s.now >= simWarm, r: Request{
			Team: t.name, Weight: t.weight, Tokens: tokens, Targets: targets, Deadline: s.v.now().Add(simWait),
		}}
		s.arrive(w)
		s.after(gap(), next)
	}
	if t.offered > 0 {
		s.after(gap(), next)
	}
}

func (s *sim) arrive(w *waiter) {
	st := &s.stats[w.team]
	if w.count {
		st.arrived++
	}
	s.a.submit(w)
	s.waiting = append(s.waiting, w)
}

func (s *sim) serve(w *waiter, got rights) {
	wait := s.now - w.at
	if w.count {
		st := &s.stats[w.team]
		st.waits = append(st.waits, wait)
		if wait <= simWait {
			st.served += w.r.Tokens
		} else {
			st.late++
		}
	}
	s.after(time.Duration(w.r.Tokens/slotRate*float64(time.Second)), func() { s.a.finish(got, w.r.Tokens) })
}

// collect handles the requests whose wait has ended.
func (s *sim) collect() {
	if len(s.waiting) == s.a.queued() {
		return
	}
	keep := s.waiting[:0]
	for _, w := range s.waiting {
		s.a.poll(w)
		switch {
		case !w.ended:
			keep = append(keep, w)
		case !w.err:
			s.serve(w, w.rights)
		case w.count:
			s.stats[w.team].refused++
		}
	}
	s.waiting = keep
}

// managed drives the Manager without its goroutines.
type managed struct{ m *Manager }

func newManaged(f *fakeRights, now func() time.Time) admission {
	return &managed{New(Config{Tokens: f, Slots: f, Now: now})}
}

func (a *managed) submit(w *waiter) {
	e, got, err := a.m.submit(w.r, false, nil)
	w.entry, w.rights, w.err, w.ended = e, got, err != nil, e == nil
}

func (a *managed) poll(w *waiter) {
	if w.ended {
		return
	}
	select {
	case out := <-w.entry.done:
		w.rights, w.err, w.ended = out.rights, out.err != nil, true
	default:
	}
}

func (a *managed) queued() int                     { return a.m.mu.q.total }
func (a *managed) wake()                           { a.m.round() }
func (a *managed) finish(got rights, used float64) { a.m.giveBack(got, used) }

// fifo is the naive policy: one bounded queue in order of arrival, without
// early refusal and without regard to teams. With drop, it refuses requests
// whose deadline has passed when their turn comes.
type fifo struct {
	m     *Manager
	queue []*waiter
	drop  func() time.Time
}

const fifoBound = 4096

func newFIFO(f *fakeRights, _ func() time.Time) admission {
	return &fifo{m: &Manager{cfg: Config{Tokens: f, Slots: f}}}
}

func newFIFODrop(f *fakeRights, now func() time.Time) admission {
	return &fifo{m: &Manager{cfg: Config{Tokens: f, Slots: f}}, drop: now}
}

func (a *fifo) submit(w *waiter) {
	if len(a.queue) >= fifoBound {
		w.ended, w.err = true, true
		return
	}
	a.queue = append(a.queue, w)
	a.wake()
}

func (a *fifo) poll(*waiter) {}
func (a *fifo) queued() int  { return len(a.queue) }

func (a *fifo) wake() {
	for len(a.queue) > 0 {
		w := a.queue[0]
		if a.drop != nil && a.drop().After(w.r.Deadline) {
			a.queue = a.queue[1:]
			w.ended, w.err = true, true
			continue
		}
		got, v := a.m.take(w.r.Team, w.r.Tokens, w.r.Targets, nil)
		if v != served {
			return
		}
		a.queue = a.queue[1:]
		w.rights, w.ended = got, true
	}
}

func (a *fifo) finish(got rights, _ float64) {
	a.m.cfg.Slots.Release(got.slot)
	a.wake()
}

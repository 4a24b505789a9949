package admission

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The simulation runs an admission policy in virtual time against the fake lease
// holder. A slot processes simSlotRate tokens per second.
const (
	simTargets        = 12
	simSlotsPerTarget = 4
	simSlotRate       = 100.0
	simWarmup         = 30 * time.Second
	simEnd            = 120 * time.Second
	simRenewInterval  = 50 * time.Millisecond // renewal interval of leases
	simMaxWait        = 5 * time.Second
	simBurstTime      = 10 * time.Second // burst, in seconds of rate
)

// simCapacity is the capacity of all slots in tokens per second.
const simCapacity = simTargets * simSlotsPerTarget * simSlotRate

type simTeam struct {
	name       string
	weight     float64
	rate       float64 // tokens per second that the lease holder receives
	offered    float64 // tokens per second of demand
	meanTokens float64 // tokens per request
}

// simRequest is a submitted request of the simulation.
type simRequest struct {
	team        int
	request     Request
	submittedAt time.Duration
	counted     bool
	entry       *entry // set by managerPolicy
	allocation  allocation
	ended       bool
	refused     bool
}

// policy is an admission policy under simulation.
type policy interface {
	// submit submits a request; poll sets w.ended once it is admitted or refused.
	submit(w *simRequest)
	poll(w *simRequest)
	queued() int
	// retryQueued serves queued requests after tokens were added or time passed.
	retryQueued()
	finish(got allocation, used float64)
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
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
	clock   *fakeClock
	holder  *fakeHolder
	policy  policy
	teams   []simTeam
	stats   []teamStats
	events  eventHeap
	seq     int
	now     time.Duration
	waiting []*simRequest
}

func (s *sim) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, run})
}

// runSim simulates the policy that build returns for the fake lease holder and
// the time source.
func runSim(seed uint64, teams []simTeam, newPolicy func(holder *fakeHolder, now func() time.Time) policy) *sim {
	s := &sim{clock: newFakeClock(), holder: newFakeHolder(), teams: teams, stats: make([]teamStats, len(teams))}
	s.policy = newPolicy(s.holder, s.clock.now)
	var targets []string
	for i := range simTargets {
		targets = append(targets, fmt.Sprintf("t%d", i))
		s.holder.idle[targets[i]] = simSlotsPerTarget
	}
	for i, t := range teams {
		s.holder.balance[t.name] = t.rate * simBurstTime.Seconds()
		// Each team has its own random generator, so that its demand does not
		// depend on the other teams.
		s.scheduleArrivals(i, targets, rand.New(rand.NewPCG(seed, uint64(i))))
	}
	var tick func()
	tick = func() {
		for _, t := range teams {
			s.holder.balance[t.name] = min(s.holder.balance[t.name]+t.rate*simRenewInterval.Seconds(), t.rate*simBurstTime.Seconds())
		}
		s.policy.retryQueued()
		s.after(simRenewInterval, tick)
	}
	s.after(simRenewInterval, tick)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > simEnd {
			break
		}
		s.clock.advance(e.at - s.now)
		s.now = e.at
		e.run()
		s.collect()
	}
	return s
}

func (s *sim) scheduleArrivals(i int, targets []string, rng *rand.Rand) {
	t := s.teams[i]
	var next func()
	gap := func() time.Duration {
		return time.Duration(rng.ExpFloat64() * t.meanTokens / t.offered * float64(time.Second))
	}
	next = func() {
		tokens := math.Ceil(t.meanTokens * []float64{0.3, 0.5, 0.7, 1, 2.5}[rng.IntN(5)])
		w := &simRequest{team: i, submittedAt: s.now, counted: s.now >= simWarmup, request: Request{
			Team: t.name, Weight: t.weight, Tokens: tokens, Targets: targets, Deadline: s.clock.now().Add(simMaxWait),
		}}
		s.submit(w)
		s.after(gap(), next)
	}
	if t.offered > 0 {
		s.after(gap(), next)
	}
}

func (s *sim) submit(w *simRequest) {
	st := &s.stats[w.team]
	if w.counted {
		st.arrived++
	}
	s.policy.submit(w)
	s.waiting = append(s.waiting, w)
}

func (s *sim) serve(w *simRequest, got allocation) {
	wait := s.now - w.submittedAt
	if w.counted {
		st := &s.stats[w.team]
		st.waits = append(st.waits, wait)
		if wait <= simMaxWait {
			st.served += w.request.Tokens
		} else {
			st.late++
		}
	}
	s.after(time.Duration(w.request.Tokens/simSlotRate*float64(time.Second)), func() { s.policy.finish(got, w.request.Tokens) })
}

// collect removes the requests whose wait has ended and serves those admitted.
func (s *sim) collect() {
	if len(s.waiting) == s.policy.queued() {
		return
	}
	keep := s.waiting[:0]
	for _, w := range s.waiting {
		s.policy.poll(w)
		switch {
		case !w.ended:
			keep = append(keep, w)
		case !w.refused:
			s.serve(w, w.allocation)
		case w.counted:
			s.stats[w.team].refused++
		}
	}
	s.waiting = keep
}

// managerPolicy drives the Manager without its goroutines.
type managerPolicy struct{ m *Manager }

func newManagerPolicy(holder *fakeHolder, now func() time.Time) policy {
	return &managerPolicy{New(Config{Tokens: holder, Slots: holder, Now: now})}
}

func (a *managerPolicy) submit(w *simRequest) {
	e, got, err := a.m.submit(w.request, false, nil)
	w.entry, w.allocation, w.refused, w.ended = e, got, err != nil, e == nil
}

func (a *managerPolicy) poll(w *simRequest) {
	if w.ended {
		return
	}
	select {
	case out := <-w.entry.done:
		w.allocation, w.refused, w.ended = out.allocation, out.err != nil, true
	default:
	}
}

func (a *managerPolicy) queued() int                         { return a.m.mu.q.total }
func (a *managerPolicy) retryQueued()                        { a.m.retryQueued() }
func (a *managerPolicy) finish(got allocation, used float64) { a.m.release(got, used) }

// fifoPolicy is the naive policy: one bounded queue in order of arrival, without
// early refusal and without regard to teams. If now is set, it refuses requests
// whose deadline has passed when they reach the head of the queue.
type fifoPolicy struct {
	m     *Manager
	queue []*simRequest
	now   func() time.Time
}

const fifoBound = 4096

func newFIFOPolicy(holder *fakeHolder, _ func() time.Time) policy {
	return &fifoPolicy{m: &Manager{cfg: Config{Tokens: holder, Slots: holder}}}
}

func newDroppingFIFOPolicy(holder *fakeHolder, now func() time.Time) policy {
	return &fifoPolicy{m: &Manager{cfg: Config{Tokens: holder, Slots: holder}}, now: now}
}

func (a *fifoPolicy) submit(w *simRequest) {
	if len(a.queue) >= fifoBound {
		w.ended, w.refused = true, true
		return
	}
	a.queue = append(a.queue, w)
	a.retryQueued()
}

func (a *fifoPolicy) poll(*simRequest) {}
func (a *fifoPolicy) queued() int      { return len(a.queue) }

func (a *fifoPolicy) retryQueued() {
	for len(a.queue) > 0 {
		w := a.queue[0]
		if a.now != nil && a.now().After(w.request.Deadline) {
			a.queue = a.queue[1:]
			w.ended, w.refused = true, true
			continue
		}
		got, res := a.m.tryAcquire(w.request.Team, w.request.Tokens, w.request.Targets, nil)
		if res != acquired {
			return
		}
		a.queue = a.queue[1:]
		w.allocation, w.ended = got, true
	}
}

func (a *fifoPolicy) finish(got allocation, _ float64) {
	a.m.cfg.Slots.Release(got.slot)
	a.retryQueued()
}

package overload

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/placement"
)

// simKind is a kind of request.
type simKind struct {
	name                string
	rank                int
	perSecond           float64
	objective, deadline time.Duration
	prompt, shared, out int // tokens; 0 for a plain service
	lateValue           float64
}

// simCaller is one request of a caller with its outcome.
type simCaller struct {
	kind      *simKind
	team      string
	key       uint64
	repeats   bool // the caller sends a refused request again at once
	arrived   time.Duration
	refusals  int
	attempts  int
	exclude   map[int]bool
	queuedAt  time.Duration
	maxHeld   time.Duration // longest wait that ended with a refusal
	answered  bool
	firstByte time.Duration
}

func (c *simCaller) inTime() bool { return c.answered && c.firstByte-c.arrived <= c.kind.objective }

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// simJob is a request at a target.
type simJob struct {
	caller   *simCaller
	instance int
	tokens   int
	priority int
}

// simTarget has slots, a queue ordered by priority, and one prefill at a time.
type simTarget struct {
	s          *sim
	slots, max int
	down       bool
	running    []*simJob
	queue      []*simJob
	prefilling bool
	// load and tokens are by instance; seen are as of the last heartbeat.
	load, tokens, seenLoad, seenTokens []int
}

type simInstance struct {
	queue  *Queue
	work   Work
	window window
	timer  bool
}

type simWaiter struct {
	caller *simCaller
	since  time.Duration
}

type sim struct {
	rng       *rand.Rand
	now       time.Duration
	seq       int
	events    simEvents
	model     *placement.LatencyModel
	engine    bool
	targets   []*simTarget
	instances []*simInstance
	waiting   bool // requests may wait; otherwise as before this package
	// oracle decides centrally, knowing the state of all targets and all service
	// times; pending are the requests that it may still start.
	oracle   bool
	pending  []*simCaller
	holdTime time.Duration
	callers  []*simCaller
	demand   func(at time.Duration, k *simKind) float64 // multiple of the usual demand
	team     func(at time.Duration) string
	repeats  float64
	rejected int
	// heartbeatEvery is the interval of heartbeats in units of 100 ms.
	heartbeatEvery, beats int
	budget                float64 // retries at targets that are left
	reasons               map[Reason]int
	load                  *rand.Rand // draws arrivals, so that both runs get the same
}

func (s *sim) at(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now + d, s.seq, do})
}

func (s *sim) time() time.Time { return time.Unix(1000, 0).Add(s.now) }

func newSim(seed uint64, waiting bool, instances, targets, slots, queued int, engine bool) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), load: rand.New(rand.NewPCG(seed, 2)), reasons: map[Reason]int{}, budget: 20, heartbeatEvery: 1, waiting: waiting, engine: engine, holdTime: 300 * time.Millisecond,
		model:  &placement.LatencyModel{TokensPerMS: 60, StepMS: 3.1, StepPerRequestMS: 0.1, ServiceTimeMS: 60},
		demand: func(time.Duration, *simKind) float64 { return 1 }, team: func(time.Duration) string { return "a" }}
	for range targets {
		s.targets = append(s.targets, &simTarget{s: s, slots: slots, max: slots + queued, load: make([]int, instances), tokens: make([]int, instances), seenLoad: make([]int, instances), seenTokens: make([]int, instances)})
	}
	for range instances {
		s.instances = append(s.instances, &simInstance{queue: NewQueue(Limits{Entries: 256, Bytes: 1 << 30}), work: Work{Teams: map[string]time.Duration{}}})
	}
	return s
}

// run plays the load for the given time and then waits for the last callers.
func (s *sim) run(length time.Duration, kinds ...*simKind) {
	for _, k := range kinds {
		s.nextArrival(k, length)
	}
	s.heartbeat(length + 12*time.Second)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
}

func (s *sim) nextArrival(k *simKind, end time.Duration) {
	gap := time.Duration(s.load.ExpFloat64() / (k.perSecond * s.demand(s.now, k)) * float64(time.Second))
	s.at(gap, func() {
		if s.now > end {
			return
		}
		c := &simCaller{kind: k, team: s.team(s.now), key: s.load.Uint64(), arrived: s.now, repeats: s.load.Float64() < s.repeats}
		s.callers = append(s.callers, c)
		s.budget += 0.2
		s.arrive(c, s.load.IntN(len(s.instances)))
		s.nextArrival(k, end)
	})
}

func (s *sim) heartbeat(end time.Duration) {
	s.beats++
	for _, t := range s.targets {
		if s.beats%s.heartbeatEvery != 0 {
			break
		}
		copy(t.seenLoad, t.load)
		copy(t.seenTokens, t.tokens)
	}
	if s.beats%s.heartbeatEvery == 0 {
		freed, queued := 0.0, 0
		for _, in := range s.instances {
			freed, queued = freed+in.queue.startRate.value, queued+in.queue.Len()
		}
		for _, in := range s.instances {
			in.queue.SetPeers(freed-in.queue.startRate.value, queued-in.queue.Len())
		}
	}
	for i, in := range s.instances {
		in.window.relax(s.time())
		s.pass(i)
	}
	if s.now < end {
		s.at(100*time.Millisecond, func() { s.heartbeat(end) })
	}
}

func (s *sim) query(c *simCaller, waited time.Duration, spareOnly bool) *placement.Query {
	return &placement.Query{PromptTokens: c.kind.prompt, PrefixTokens: c.kind.shared, Objective: c.kind.objective, Jitter: s.rng.Float64(),
		Remaining: c.arrived + c.kind.deadline - s.now, LocalAllowed: true, Waited: waited, SpareOnly: spareOnly}
}

func (s *sim) choose(c *simCaller, instance int, waited time.Duration, spareOnly bool) placement.Choice {
	var views []placement.TargetView
	for n, t := range s.targets {
		if t.down || c.exclude[n] {
			continue
		}
		v := placement.TargetView{ID: fmt.Sprint(n), Slots: t.slots, Engine: s.engine, HoldTime: s.holdTime, Slowdown: 1, Cached: true, Capacity: min(t.slots*3/2, 45)}
		if !s.engine {
			if v.Capacity = 2 * t.slots; s.waiting {
				v.Capacity = t.slots + max(2, t.slots/3)
			}
		}
		for i := range s.instances {
			load, tokens := t.seenLoad[i], t.seenTokens[i]
			if i == instance {
				load, tokens = t.load[i], t.tokens[i]
			}
			v.Running, v.PendingTokens = v.Running+load, v.PendingTokens+tokens
		}
		v.Own, v.Full = t.load[instance], v.Running >= v.Capacity
		v.AtCapacity = v.Full
		if s.waiting && s.instances[instance].window.full() {
			v.Full, v.AtCapacity = true, false
		}
		views = append(views, v)
	}
	in := s.instances[instance]
	if s.engine && s.waiting && (in.window.active() || in.queue.Len() > 0) {
		running, slots := placement.Load(views)
		in.window.observe(running, slots, s.time())
	}
	q := s.query(c, waited, spareOnly)
	q.Crowded = s.waiting && placement.Crowded(views)
	q.Windowed = s.waiting && s.instances[instance].window.active()
	return placement.Choose(q, views, nil, s.model)
}

func (s *sim) work(c *simCaller) time.Duration {
	return s.model.Work(s.query(c, 0, false), c.kind.out, s.targets[0].slots, s.engine)
}

// arrive makes the decisions of the gateway and the Manager for a request.
func (s *sim) arrive(c *simCaller, instance int) {
	if s.oracle {
		s.pending = append(s.pending, c)
		s.dispatch()
		return
	}
	c.attempts, c.exclude, c.queuedAt = 0, map[int]bool{}, 0
	in := s.instances[instance]
	in.work.Arrived[c.kind.rank] += s.work(c)
	in.work.Teams[c.team] += s.work(c)
	s.place(c, instance, s.now)
}

// place makes one attempt for a request that arrived at the instance at a time.
func (s *sim) place(c *simCaller, instance int, arrived time.Duration) {
	in, waited := s.instances[instance], time.Duration(0)
	if c.queuedAt > 0 {
		waited = s.now - arrived
	}
	r := Request{Team: c.team, Rank: c.kind.rank, Arrived: s.time().Add(arrived - s.now), Objective: c.kind.objective, Deadline: s.time().Add(c.arrived + c.kind.deadline - s.now),
		Unloaded: s.model.Unloaded(s.query(c, 0, false), s.engine), Work: s.work(c), Key: c.key, Jitter: s.rng.Float64()}
	var choice placement.Choice
	othersWait := in.queue.Len() > 0
	if !othersWait {
		choice = s.choose(c, instance, waited, false)
		if choice.Placed() && (s.waiting || !choice.Late) {
			in.queue.schedule.match(c.key, s.time())
			s.start(c, instance, arrived, choice, r.Rank)
			return
		}
		if !s.waiting || !choice.Wait && len(c.exclude) == 0 {
			s.refuse(c, instance, &Refusal{Reason: NoRoom, RetryAfter: choice.RetryAfter}, 0)
			return
		}
	}
	c.exclude = map[int]bool{}
	if c.queuedAt == 0 {
		c.queuedAt = s.now
	}
	s.fold(in)
	e, refusal, displaced := in.queue.Offer(r, s.time())
	if displaced != nil {
		s.refuse(displaced.value.(*simWaiter).caller, instance, in.queue.Drop(displaced, Displaced, s.time()), displaced.Waited(s.time()))
	}
	if refusal != nil {
		if choice = s.choose(c, instance, waited, true); choice.Placed() {
			s.start(c, instance, arrived, choice, r.Rank)
			return
		}
		s.refuse(c, instance, refusal, s.now-c.queuedAt)
		return
	}
	e.value = &simWaiter{c, arrived}
	s.pass(instance)
}

// dispatch starts the best pending requests at all targets with a free slot: those
// that will be in time before others, then by rank and by work. What it never starts
// counts as refused once: it knew that on arrival.
func (s *sim) dispatch() {
	s.pending = slices.DeleteFunc(s.pending, func(c *simCaller) bool {
		late := s.now+s.firstByteTime(c) > c.arrived+c.kind.deadline
		if late {
			c.refusals++
		}
		return late
	})
	for {
		var target *simTarget
		n := 0
		for i, t := range s.targets {
			if !t.down && !t.prefilling && len(t.queue) == 0 && len(t.running) < t.slots && (target == nil || len(t.running) < len(target.running)) {
				target, n = t, i
			}
		}
		if target == nil || len(s.pending) == 0 {
			return
		}
		best := slices.MinFunc(s.pending, func(a, b *simCaller) int {
			ai, bi := s.now+s.firstByteTime(a) <= a.arrived+a.kind.objective, s.now+s.firstByteTime(b) <= b.arrived+b.kind.objective
			if ai != bi {
				return boolFirst(ai)
			}
			return cmp.Or(cmp.Compare(a.kind.rank, b.kind.rank), cmp.Compare(s.work(a), s.work(b)), cmp.Compare(a.arrived, b.arrived))
		})
		s.pending = slices.DeleteFunc(s.pending, func(c *simCaller) bool { return c == best })
		s.start(best, 0, s.now, placement.Choice{Target: fmt.Sprint(n)}, best.kind.rank)
	}
}

// firstByteTime returns the time to the first byte at a target with a free slot.
func (s *sim) firstByteTime(c *simCaller) time.Duration {
	if !s.engine {
		return time.Duration(s.model.ServiceTimeMS * float64(time.Millisecond))
	}
	return time.Duration((float64(c.kind.prompt-c.kind.shared)/s.model.TokensPerMS + 5*(s.model.StepMS+s.model.StepPerRequestMS*16)) * float64(time.Millisecond))
}

func (s *sim) fold(in *simInstance) {
	in.queue.RecordWork(in.work, s.time())
	in.work = Work{Teams: map[string]time.Duration{}}
}

func (s *sim) pass(instance int) {
	in := s.instances[instance]
	s.fold(in)
	for _, e := range in.queue.Hopeless(s.time()) {
		c := e.value.(*simWaiter).caller
		s.refuse(c, instance, in.queue.Drop(e, Released, s.time()), s.now-c.queuedAt)
	}
	in.queue.Start(s.time(), func(e *Entry, mode Mode) bool {
		w := e.value.(*simWaiter)
		waited := s.now - w.since
		if mode == Aged {
			waited = 0
		}
		choice := s.choose(w.caller, instance, waited, mode == SpareOnly)
		if choice.Placed() {
			s.start(w.caller, instance, w.since, choice, e.Rank)
		}
		return choice.Placed()
	})
	if in.queue.Len() > 0 && !in.timer {
		in.timer = true
		s.at(retryInterval, func() { in.timer = false; s.pass(instance) })
	}
}

// refuse makes the caller return as instructed, once, or three times at once.
func (s *sim) refuse(c *simCaller, instance int, r *Refusal, held time.Duration) {
	s.reasons[r.Reason]++
	c.refusals++
	c.maxHeld = max(c.maxHeld, held)
	left := c.arrived + c.kind.deadline - s.now
	switch {
	case c.repeats && c.refusals <= 3:
		s.at(5*time.Millisecond, func() { s.arrive(c, instance) })
	case c.refusals == 1 && r.RetryAfter <= left/3:
		s.at(r.RetryAfter, func() { s.arrive(c, instance) })
	}
}

func (s *sim) start(c *simCaller, instance int, arrived time.Duration, choice placement.Choice, priority int) {
	if choice.Late {
		priority = 9
	}
	var n int
	_, _ = fmt.Sscan(choice.Target, &n)
	t := s.targets[n]
	s.instances[instance].window.begin()
	if len(t.running)+len(t.queue) >= t.max || t.down {
		s.rejected++
		s.instances[instance].window.end(true)
		c.attempts++
		c.exclude[n] = true
		s.at(2*time.Millisecond, func() {
			if c.attempts < 4 && s.budget >= 1 {
				s.budget--
				s.place(c, instance, arrived)
				return
			}
			s.refuse(c, instance, &Refusal{Reason: "rejected", RetryAfter: 300 * time.Millisecond}, 0)
		})
		return
	}
	s.instances[instance].work.Started += s.work(c)
	s.instances[instance].work.Starts++
	j := &simJob{caller: c, instance: instance, tokens: c.kind.prompt - c.kind.shared, priority: priority}
	t.load[instance]++
	t.tokens[instance] += j.tokens
	at, _ := slices.BinarySearchFunc(t.queue, priority, func(o *simJob, p int) int {
		if o.priority <= p {
			return -1
		}
		return 1
	})
	t.queue = slices.Insert(t.queue, at, j)
	t.next()
}

// next starts requests in free slots; with an engine, one prefill at a time.
func (t *simTarget) next() {
	for len(t.queue) > 0 && len(t.running) < t.slots && !t.prefilling {
		j := t.queue[0]
		t.queue = t.queue[1:]
		t.running = append(t.running, j)
		if !t.s.engine {
			took := time.Duration((0.8 + 0.4*t.s.rng.Float64()) * t.s.model.ServiceTimeMS * float64(time.Millisecond))
			t.s.at(took, func() { t.firstByte(j); t.end(j) })
			continue
		}
		t.prefilling = true
		prefill := time.Duration(float64(j.tokens) / t.s.model.TokensPerMS * float64(time.Millisecond))
		t.s.at(prefill, func() {
			t.prefilling = false
			if t.s.oracle {
				defer t.s.dispatch()
			}
			step := t.s.model.StepMS + t.s.model.StepPerRequestMS*float64(len(t.running))
			t.s.at(time.Duration(5*step*float64(time.Millisecond)), func() { t.firstByte(j) })
			t.s.at(time.Duration(float64(j.caller.kind.out)*step*float64(time.Millisecond)), func() { t.end(j) })
			t.next()
		})
	}
}

func (t *simTarget) firstByte(j *simJob) {
	t.tokens[j.instance] -= j.tokens
	if c := j.caller; t.s.now-c.arrived <= c.kind.deadline && !c.answered {
		c.answered, c.firstByte = true, t.s.now
	}
}

func (t *simTarget) end(j *simJob) {
	t.running = slices.DeleteFunc(t.running, func(o *simJob) bool { return o == j })
	t.load[j.instance]--
	t.s.instances[j.instance].window.end(false)
	t.next()
	if t.s.oracle {
		t.s.dispatch()
	}
	if t.s.instances[j.instance].queue.Len() > 0 {
		t.s.pass(j.instance)
	}
}

// tally counts the outcomes of callers.
type tally struct{ all, inTime, late, refusedOnce, refusedTwice, held, lost int }

func tallyOf(callers []*simCaller, include func(*simCaller) bool) (t tally) {
	for _, c := range callers {
		if !include(c) {
			continue
		}
		t.all++
		switch {
		case c.inTime():
			t.inTime++
		case c.answered:
			t.late++
		default:
			t.lost++
		}
		if c.refusals == 1 {
			t.refusedOnce++
		} else if c.refusals > 1 {
			t.refusedTwice++
		}
		if c.maxHeld > c.kind.objective/8 {
			t.held++
		}
	}
	return t
}

func (t tally) String() string {
	return fmt.Sprintf("%5d requests: %5d in time, %5d late, %5d without answer; refused once %5d, more often %5d, after a wait %5d", t.all, t.inTime, t.late, t.lost, t.refusedOnce, t.refusedTwice, t.held)
}

// value is what callers get: 1 for each answer in time, less for each late one.
func value(callers []*simCaller) (v float64) {
	for _, c := range callers {
		switch {
		case c.inTime():
			v++
		case c.answered:
			v += c.kind.lateValue
		}
	}
	return v
}

var (
	longKind  = &simKind{name: "long", rank: 1, perSecond: 40, objective: 1500 * time.Millisecond, deadline: 6 * time.Second, prompt: 17000, shared: 13300, out: 60, lateValue: 0.75}
	shortKind = &simKind{name: "short", rank: 3, perSecond: 260, objective: 500 * time.Millisecond, deadline: 4 * time.Second, prompt: 400, out: 60, lateValue: 0.21}
	plainKind = &simKind{name: "booking", rank: 0, perSecond: 250, objective: 500 * time.Millisecond, deadline: 3 * time.Second, lateValue: 0.5}
	otherKind = &simKind{name: "lookup", rank: 4, perSecond: 110, objective: 500 * time.Millisecond, deadline: 3 * time.Second, lateValue: 0.5}
)

// simScenario is a load that is played with the decisions of this package, with those
// from before it, and with an oracle.
type simScenario struct {
	name   string
	length time.Duration
	make   func(waiting bool, instances int) *sim
	kinds  []*simKind
	groups map[string]func(*simCaller) bool
}

func within(at, from, to time.Duration) bool { return at >= from && at < to }

var simScenarios = []simScenario{
	{"burst of 2.6 times for 7 s", 20 * time.Second, func(w bool, n int) *sim {
		s := newSim(1, w, n, 12, 16, 48, true)
		s.demand = func(at time.Duration, _ *simKind) float64 {
			if within(at, 5*time.Second, 12*time.Second) {
				return 2.6
			}
			return 1
		}
		return s
	}, []*simKind{longKind, shortKind}, nil},
	{"team with 7 times its usual demand for 6.5 s", 50 * time.Second, func(w bool, n int) *sim {
		s := newSim(3, w, n, 12, 16, 48, true)
		surge := func(at time.Duration) bool { return within(at, 38*time.Second, 44500*time.Millisecond) }
		s.demand = func(at time.Duration, _ *simKind) float64 {
			if surge(at) {
				return 1.6 * 1.6
			}
			return 1.6
		}
		s.team = func(at time.Duration) string {
			share := 0.1
			if surge(at) {
				share = 0.7 / 1.6
			}
			if s.load.Float64() < share {
				return "surging"
			}
			return "usual"
		}
		return s
	}, []*simKind{longKind, shortKind}, map[string]func(*simCaller) bool{
		"surging": func(c *simCaller) bool { return c.team == "surging" }, "usual": func(c *simCaller) bool { return c.team == "usual" }}},
	{"burst of 2.6 times for 7 s, 30% of callers repeat three times at once", 20 * time.Second, func(w bool, n int) *sim {
		s := newSim(4, w, n, 12, 16, 48, true)
		s.repeats = 0.3
		s.demand = func(at time.Duration, _ *simKind) float64 {
			if within(at, 5*time.Second, 12*time.Second) {
				return 2.6
			}
			return 1
		}
		return s
	}, []*simKind{longKind, shortKind}, map[string]func(*simCaller) bool{
		"repeat": func(c *simCaller) bool { return c.repeats }, "others": func(c *simCaller) bool { return !c.repeats }}},
	{"plain service at 1.3 times its rate", 20 * time.Second, func(w bool, n int) *sim { return newSim(2, w, n, 3, 6, 6, false) }, []*simKind{plainKind, otherKind}, nil},
	{"half of the targets gone for 4 s", 16 * time.Second, func(w bool, n int) *sim {
		s := newSim(5, w, n, 12, 16, 48, true)
		s.demand = func(time.Duration, *simKind) float64 { return 1.6 }
		for _, t := range s.targets[:6] {
			s.at(5*time.Second, func() { t.down = true })
			s.at(9*time.Second, func() { t.down = false })
		}
		return s
	}, []*simKind{longKind, shortKind}, nil},
}

// Guards against overloads in which callers get less than without a queue: answers of
// little use because they are late, refusals of what would have fitted, slots that are
// idle while requests wait, and a kind of a better rank that is served less often.
func TestScenarios(t *testing.T) {
	t.Run("8 instances", func(t *testing.T) { playScenarios(t, 8, 1) })
	t.Run("30 instances with heartbeats every 700 ms", func(t *testing.T) { playScenarios(t, 30, 7) })
}

func playScenarios(t *testing.T, instances, heartbeatEvery int) {
	for _, sc := range simScenarios {
		before, after, oracle := sc.make(false, instances), sc.make(true, instances), sc.make(true, instances)
		oracle.oracle = true
		for _, s := range []*sim{before, after, oracle} {
			s.heartbeatEvery = heartbeatEvery
			s.run(sc.length, sc.kinds...)
		}
		t.Logf("%s: value before %.0f, after %.0f, oracle %.0f; rejected by targets %d, %d, refusals %v, %v", sc.name, value(before.callers), value(after.callers), value(oracle.callers), before.rejected, after.rejected, before.reasons, after.reasons)
		groups := map[string]func(*simCaller) bool{}
		for _, k := range sc.kinds {
			groups[k.name] = func(c *simCaller) bool { return c.kind == k }
		}
		maps.Copy(groups, sc.groups)
		for _, name := range slices.Sorted(maps.Keys(groups)) {
			t.Logf("  %-8s before %s", name, tallyOf(before.callers, groups[name]))
			t.Logf("  %-8s after  %s", name, tallyOf(after.callers, groups[name]))
			t.Logf("  %-8s oracle %s", name, tallyOf(oracle.callers, groups[name]))
		}
		if b, a := value(before.callers), value(after.callers); a < b {
			t.Errorf("%s: the value is %.0f, without a queue %.0f", sc.name, a, b)
		}
		if before.rejected < after.rejected {
			t.Errorf("%s: targets rejected %d times, without a queue %d times", sc.name, after.rejected, before.rejected)
		}
		first, second := tallyOf(after.callers, groups[sc.kinds[0].name]), tallyOf(after.callers, groups[sc.kinds[1].name])
		if float64(first.lost)/float64(first.all) > float64(second.lost)/float64(second.all) {
			t.Errorf("%s: %s has the better rank and is served less often than %s", sc.name, sc.kinds[0].name, sc.kinds[1].name)
		}
		if usual := groups["usual"]; usual != nil && tallyOf(after.callers, usual).lost > tallyOf(before.callers, usual).lost/2 {
			t.Errorf("%s: the other teams lose more than half of what they lost without a queue", sc.name)
		}
	}
}

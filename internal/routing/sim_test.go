package routing

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/lease"
)

// The simulation runs one routing policy over three regions in virtual time.
// Slots are exact, as grants make them; load reports, cache events and the
// status of other regions are late, and cache events get lost.
const (
	simReplicas  = 4 // per region
	simInstances = 3 // per region
	simSlots     = 16
	simBlocks    = 3000 // of a target's prefix cache
	simToken     = 38 * time.Millisecond
	reportEvery  = 500 * time.Millisecond
	reportDelay  = 300 * time.Millisecond
	eventsEvery  = time.Second
	eventsDelay  = 1500 * time.Millisecond
	eventsLost   = 0.03 // of batches
	statusEvery  = time.Second
	statusDelay  = 200 * time.Millisecond
)

// engineSim is a target: it processes prompts one after the other and decodes
// all running requests at a fixed rate.
type engineSim struct {
	target  *config.Target
	region  *regionSim
	running int
	busy    time.Duration // until when it processes prompts
	cache   *belief       // reused as an exact LRU set
	live    bool
	events  []CacheEvent
	seq     uint64
	load    lease.Load
}

type regionSim struct {
	name     string
	engines  []*engineSim
	trackers []*Tracker
	queue    []*reqSim
	service  float64 // mean slot time in seconds, exponentially weighted
	asked    time.Duration
	load     float64 // demand, in parts of the capacity
}

type reqSim struct {
	q       Query
	home    *regionSim
	region  *regionSim
	tracker *Tracker
	targets []string
	at      time.Duration
	away    bool
	count   bool
	ended   []func()
}

type simResult struct {
	requests, away, refused int
	recomputed              float64
	ttft                    []time.Duration
	byTeam                  map[string][]time.Duration
	when                    []time.Duration // arrival of each entry of ttft
	hops                    []hopSim
}

// hopSim is a request sent to another region.
type hopSim struct {
	at       time.Duration
	from, to string
}

type netSim struct {
	d       deployment
	policy  chooser
	clk     *clock.Virtual
	now     time.Duration
	events  simHeap
	seq     int
	rng     *rand.Rand
	regions []*regionSim
	byName  map[string]*engineSim
	edition *config.Config
	work    *workload
	res     simResult
	warm    time.Duration
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simHeap []simEvent

func (h simHeap) Len() int { return len(h) }
func (h simHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h simHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

func (n *netSim) after(d time.Duration, do func()) {
	n.seq++
	heap.Push(&n.events, simEvent{n.now + d, n.seq, do})
}

// Load implements lease.Loads for the trackers.
func (n *netSim) Load(target string) (lease.Load, bool) {
	e := n.byName[target]
	return e.load, e.load.SampledAt > 0
}

func newNet(d deployment, policy chooser, seed uint64) *netSim {
	n := &netSim{
		d: d, policy: policy, clk: &clock.Virtual{}, rng: rand.New(rand.NewPCG(seed, 99)), byName: map[string]*engineSim{},
		work: newWorkload(d, seed), warm: 60 * time.Second,
		edition: &config.Config{Targets: map[string]*config.Target{}, Links: map[config.LinkID]*config.Link{}},
	}
	n.res.byTeam = map[string][]time.Duration{}
	for i, name := range d.regions {
		r := &regionSim{name: name, load: d.loads[i], service: 10}
		n.regions = append(n.regions, r)
		for j := range simReplicas {
			t := engine(fmt.Sprintf("%s-%d", name, j), name, simSlots)
			e := &engineSim{target: t, region: r, cache: newBelief(simBlocks), live: true}
			r.engines = append(r.engines, e)
			n.byName[t.Name] = e
			n.edition.Targets[t.Name] = t
		}
		for _, other := range d.regions[:i] {
			id := config.NewLinkID(name, other)
			n.edition.Links[id] = &config.Link{ID: id, Bandwidth: d.bandwidth, Delay: 55 * time.Millisecond, Cost: 1}
		}
	}
	for i, r := range n.regions {
		for j := range simInstances {
			t := New(Config{Region: r.name, Clock: n.clk, Loads: n, Seed: uint64(100*i + j),
				EstimateWait: func([]string) time.Duration { return r.wait() }})
			t.SetConfig(n.edition)
			t.SetPeerCount(simInstances)
			for _, o := range n.regions {
				t.SetRegionReachable(o.name, true)
			}
			r.trackers = append(r.trackers, t)
		}
	}
	return n
}

// wait is what the admission of the region would estimate.
func (r *regionSim) wait() time.Duration {
	slots := 0
	for _, e := range r.engines {
		if e.live {
			slots += simSlots
		}
	}
	return time.Duration(float64(len(r.queue)) * r.service / float64(max(slots, 1)) * float64(time.Second))
}

func (n *netSim) run(end time.Duration) *simResult {
	for _, r := range n.regions {
		n.arrivals(r)
	}
	n.every(reportEvery, n.report)
	n.every(eventsEvery, n.publish)
	for len(n.events) > 0 {
		e := heap.Pop(&n.events).(simEvent)
		if e.at > end {
			break
		}
		n.clk.Advance(e.at - n.now)
		n.now = e.at
		e.do()
	}
	return &n.res
}

func (n *netSim) every(d time.Duration, do func()) {
	n.after(d, func() {
		do()
		n.every(d, do)
	})
}

func (n *netSim) report() {
	for _, e := range n.byName {
		l := lease.Load{Running: e.running, CachedTokens: float64(len(e.cache.index) * blockTokens), SampledAt: n.now}
		l.Queued = int(max(0, e.busy-n.now).Seconds() * prefillRate / meanPrompt)
		n.after(reportDelay, func() { e.load = l })
	}
}

func (n *netSim) publish() {
	for _, r := range n.regions {
		for _, e := range r.engines {
			batch := e.events
			e.events = nil
			for _, t := range r.trackers {
				if n.rng.Float64() >= eventsLost {
					n.after(eventsDelay, func() { t.ApplyCacheEvents(e.target.Name, batch) })
				}
			}
		}
	}
}

func (n *netSim) arrivals(r *regionSim) {
	perSecond := r.load * simReplicas * simSlots / n.d.slotSeconds()
	rng := n.work.arrival[r.name]
	var next func()
	next = func() {
		n.arrive(r, n.work.next(r.name))
		n.after(time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	n.after(time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second)), next)
}

func (n *netSim) arrive(r *regionSim, q Query) {
	q.AllowedRegions = map[string]bool{}
	for _, name := range n.d.regions {
		q.AllowedRegions[name] = true
	}
	req := &reqSim{q: q, home: r, region: r, at: n.now, count: n.now >= n.warm, tracker: r.trackers[n.work.instance(r.name)]}
	if req.count {
		n.res.requests++
	}
	c := n.policy.choose(n, req)
	for _, name := range c.RefreshRegions {
		n.ask(r, name)
	}
	if c.Region == "" {
		req.targets = c.Targets
		n.admit(req)
		return
	}
	req.away = true
	n.res.hops = append(n.res.hops, hopSim{n.now, r.name, c.Region})
	if req.count {
		n.res.away++
	}
	bytes := q.PromptTokens * tokenBytes
	req.ended = append(req.ended, req.tracker.RecordForward(q, c.Region, bytes))
	hop := 55*time.Millisecond + time.Duration(float64(bytes)*8/n.d.bandwidth*float64(time.Second))
	n.after(hop, func() {
		req.region = n.region(c.Region)
		req.tracker = req.region.trackers[n.rng.IntN(simInstances)]
		req.q.LocalOnly = true
		req.targets = n.policy.choose(n, req).Targets
		n.admit(req)
	})
}

func (n *netSim) region(name string) *regionSim {
	for _, r := range n.regions {
		if r.name == name {
			return r
		}
	}
	return nil
}

// ask fetches the status of another region, at most once a second.
func (n *netSim) ask(r *regionSim, name string) {
	if n.now-r.asked < statusEvery && r.asked > 0 {
		return
	}
	r.asked = n.now
	for _, o := range n.regions {
		if o == r {
			continue
		}
		s := RegionStatus{Model: "m", Region: o.name, Queued: len(o.queue)}
		for _, e := range o.engines {
			s.Running += e.running
			if e.live {
				s.Capacity += simSlots
			}
		}
		n.after(statusDelay, func() {
			for _, t := range r.trackers {
				t.SetRegionStatus(s)
			}
		})
	}
}

// admit gives the request a slot of the first target with one, or queues it.
func (n *netSim) admit(req *reqSim) {
	for _, name := range req.targets {
		if e := n.byName[name]; e.live && e.running < simSlots {
			n.start(req, e)
			return
		}
	}
	req.region.queue = append(req.region.queue, req)
	n.after(n.d.policy.QueueWait, func() { n.refuse(req) })
}

func (n *netSim) refuse(req *reqSim) {
	for i, w := range req.region.queue {
		if w == req {
			req.region.queue = append(req.region.queue[:i:i], req.region.queue[i+1:]...)
			req.end()
			if req.count {
				n.res.refused++
			}
			return
		}
	}
}

func (r *reqSim) end() {
	for _, f := range r.ended {
		f()
	}
}

func (n *netSim) start(req *reqSim, e *engineSim) {
	q := req.q
	req.ended = append(req.ended, req.tracker.RecordDispatch(q, e.target.Name))
	e.running++
	cached := min(e.cache.cached(q.PrefixHashes), q.PromptTokens)
	e.store(q.PrefixHashes)
	uncached := q.PromptTokens - cached
	e.busy = max(e.busy, n.now) + time.Duration(float64(uncached)/prefillRate*float64(time.Second))
	ttft := e.busy - req.at
	if req.away {
		ttft += 55 * time.Millisecond
	}
	if req.count {
		n.res.recomputed += float64(uncached)
		n.res.ttft = append(n.res.ttft, ttft)
		n.res.when = append(n.res.when, req.at)
		n.res.byTeam[q.Team] = append(n.res.byTeam[q.Team], ttft)
	}
	hold := e.busy - n.now + time.Duration(q.OutputTokens)*simToken
	e.region.service += 0.02 * (hold.Seconds() - e.region.service)
	n.after(hold, func() {
		e.running--
		req.end()
		n.freed(e)
	})
}

// leave makes half of a region's targets leave at one time and come back at
// another; instances learn of it a second later.
func (n *netSim) leave(r *regionSim, from, to time.Duration) {
	set := func(at time.Duration, live bool) {
		for _, e := range r.engines[:simReplicas/2] {
			n.after(at, func() { e.live = live })
			n.after(at+time.Second, func() {
				for _, t := range r.trackers {
					t.SetTargetLive(e.target.Name, live)
				}
				for before := -1; live && before != len(r.queue); {
					before = len(r.queue)
					n.freed(e)
				}
			})
		}
	}
	set(from, false)
	set(to, true)
}

// store updates the cache and writes the events.
func (e *engineSim) store(hashes []uint64) {
	before := map[uint64]bool{}
	for _, h := range hashes {
		_, before[h] = e.cache.index[h]
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if !before[h] && len(e.cache.index) >= simBlocks {
			e.emit(false, e.cache.nodes[e.cache.tail].hash)
		}
		e.cache.confirm(h)
		if !before[h] {
			e.emit(true, h)
		}
	}
}

func (e *engineSim) emit(stored bool, hash uint64) {
	e.seq++
	e.events = append(e.events, CacheEvent{Seq: e.seq, Stored: stored, Hash: hash})
}

// freed gives a slot to the first queued request that can use the target.
func (n *netSim) freed(e *engineSim) {
	if !e.live || e.running >= simSlots {
		return
	}
	for i, req := range e.region.queue {
		for _, name := range req.targets {
			if name == e.target.Name {
				e.region.queue = append(e.region.queue[:i:i], e.region.queue[i+1:]...)
				n.start(req, e)
				return
			}
		}
	}
}

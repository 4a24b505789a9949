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
// Slots are exact, as slot leases make them; load reports, cache events and the
// status of remote regions are late, and some cache events are lost.
const (
	simReplicas        = 4 // per region
	simInstances       = 3 // per region
	simSlots           = 16
	simBlocks          = 3000                  // capacity of a target's prefix cache
	simToken           = 38 * time.Millisecond // decode time per output token
	reportEvery        = 500 * time.Millisecond
	reportDelay        = 300 * time.Millisecond
	eventsEvery        = time.Second
	eventsDelay        = 1500 * time.Millisecond
	eventsLostFraction = 0.03 // of batches of cache events
	statusEvery        = time.Second
	statusDelay        = 200 * time.Millisecond
)

// simEngine simulates a target that processes prompts one after the other and
// decodes all running requests at a fixed rate.
type simEngine struct {
	target       *config.Target
	region       *simRegion
	running      int
	prefillUntil time.Duration  // when it has processed all prompts so far
	cache        *cacheEstimate // used as an exact LRU set here
	live         bool
	events       []CacheEvent
	seq          uint64
	load         lease.Load
}

type simRegion struct {
	name            string
	engines         []*simEngine
	trackers        []*Tracker
	queue           []*simRequest
	meanHold        float64 // exponentially weighted mean time that a request holds a slot, in seconds
	statusRequested time.Duration
	demand          float64 // as a fraction of the capacity
}

type simRequest struct {
	q         Query
	origin    *simRegion
	region    *simRegion
	tracker   *Tracker
	targets   []string
	at        time.Duration
	forwarded bool
	counted   bool     // arrived after the warm-up
	onEnd     []func() // returned by the trackers
}

type simResult struct {
	requests, forwarded, refused int
	recomputed                   float64
	ttft                         []time.Duration
	byTeam                       map[string][]time.Duration
	arrivedAt                    []time.Duration // arrival times, parallel to ttft
	hops                         []simHop
}

// simHop is a request forwarded to another region.
type simHop struct {
	at       time.Duration
	from, to string
}

type simNetwork struct {
	deployment deployment
	chooser    chooser
	clk        *clock.Virtual
	now        time.Duration
	events     simHeap
	seq        int
	rng        *rand.Rand
	regions    []*simRegion
	byName     map[string]*simEngine
	config     *config.Config
	workload   *workload
	result     simResult
	warmUp     time.Duration // requests that arrive earlier are not counted
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
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

func (n *simNetwork) after(d time.Duration, run func()) {
	n.seq++
	heap.Push(&n.events, simEvent{n.now + d, n.seq, run})
}

// Load implements lease.TargetLoads for the trackers.
func (n *simNetwork) Load(target string) (lease.Load, bool) {
	e := n.byName[target]
	return e.load, e.load.SampledAt > 0
}

func newSimNetwork(d deployment, policy chooser, seed uint64) *simNetwork {
	n := &simNetwork{
		deployment: d, chooser: policy, clk: &clock.Virtual{}, rng: rand.New(rand.NewPCG(seed, 99)), byName: map[string]*simEngine{},
		workload: newWorkload(d, seed), warmUp: 60 * time.Second,
		config: &config.Config{Targets: map[string]*config.Target{}, Links: map[config.LinkID]*config.Link{}},
	}
	n.result.byTeam = map[string][]time.Duration{}
	for i, name := range d.regions {
		r := &simRegion{name: name, demand: d.demand[i], meanHold: 10}
		n.regions = append(n.regions, r)
		for j := range simReplicas {
			t := testEngine(fmt.Sprintf("%s-%d", name, j), name, simSlots)
			e := &simEngine{target: t, region: r, cache: newCacheEstimate(simBlocks), live: true}
			r.engines = append(r.engines, e)
			n.byName[t.Name] = e
			n.config.Targets[t.Name] = t
		}
		for _, other := range d.regions[:i] {
			id := config.NewLinkID(name, other)
			n.config.Links[id] = &config.Link{ID: id, Bandwidth: d.bandwidth, Delay: 55 * time.Millisecond, Cost: 1}
		}
	}
	for i, r := range n.regions {
		for j := range simInstances {
			t := New(Config{Region: r.name, Clock: n.clk, Loads: n, Seed: uint64(100*i + j),
				EstimateWait: func([]string) time.Duration { return r.estimateWait() }})
			t.SetConfig(n.config)
			t.SetPeerCount(simInstances)
			for _, o := range n.regions {
				t.SetRegionReachable(o.name, true)
			}
			r.trackers = append(r.trackers, t)
		}
	}
	return n
}

// estimateWait returns the wait that the region's admission would estimate.
func (r *simRegion) estimateWait() time.Duration {
	slots := 0
	for _, e := range r.engines {
		if e.live {
			slots += simSlots
		}
	}
	return time.Duration(float64(len(r.queue)) * r.meanHold / float64(max(slots, 1)) * float64(time.Second))
}

func (n *simNetwork) run(end time.Duration) *simResult {
	for _, r := range n.regions {
		n.scheduleArrivals(r)
	}
	n.every(reportEvery, n.reportLoads)
	n.every(eventsEvery, n.publishCacheEvents)
	for len(n.events) > 0 {
		e := heap.Pop(&n.events).(simEvent)
		if e.at > end {
			break
		}
		n.clk.Advance(e.at - n.now)
		n.now = e.at
		e.run()
	}
	return &n.result
}

func (n *simNetwork) every(d time.Duration, run func()) {
	n.after(d, func() {
		run()
		n.every(d, run)
	})
}

func (n *simNetwork) reportLoads() {
	for _, e := range n.byName {
		l := lease.Load{Running: e.running, CachedTokens: float64(len(e.cache.index) * blockTokens), SampledAt: n.now}
		l.Queued = int(max(0, e.prefillUntil-n.now).Seconds() * prefillRate / meanPromptTokens)
		n.after(reportDelay, func() { e.load = l })
	}
}

func (n *simNetwork) publishCacheEvents() {
	for _, r := range n.regions {
		for _, e := range r.engines {
			batch := e.events
			e.events = nil
			for _, t := range r.trackers {
				if n.rng.Float64() >= eventsLostFraction {
					n.after(eventsDelay, func() { t.ApplyCacheEvents(e.target.Name, batch) })
				}
			}
		}
	}
}

func (n *simNetwork) scheduleArrivals(r *simRegion) {
	perSecond := r.demand * simReplicas * simSlots / n.deployment.slotSeconds()
	rng := n.workload.arrivalRNG[r.name]
	var next func()
	next = func() {
		n.arrive(r, n.workload.nextRequest(r.name))
		n.after(time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	n.after(time.Duration(rng.ExpFloat64()/perSecond*float64(time.Second)), next)
}

func (n *simNetwork) arrive(r *simRegion, q Query) {
	q.AllowedRegions = map[string]bool{}
	for _, name := range n.deployment.regions {
		q.AllowedRegions[name] = true
	}
	req := &simRequest{q: q, origin: r, region: r, at: n.now, counted: n.now >= n.warmUp, tracker: r.trackers[n.workload.pickInstance(r.name)]}
	if req.counted {
		n.result.requests++
	}
	c := n.chooser.choose(n, req)
	for _, name := range c.RefreshRegions {
		n.refreshStatus(r, name)
	}
	if c.Region == "" {
		req.targets = c.Targets
		n.admit(req)
		return
	}
	req.forwarded = true
	n.result.hops = append(n.result.hops, simHop{n.now, r.name, c.Region})
	if req.counted {
		n.result.forwarded++
	}
	bytes := q.PromptTokens * tokenBytes
	req.onEnd = append(req.onEnd, req.tracker.RecordForward(q, c.Region, bytes))
	hop := 55*time.Millisecond + time.Duration(float64(bytes)*8/n.deployment.bandwidth*float64(time.Second))
	n.after(hop, func() {
		req.region = n.region(c.Region)
		req.tracker = req.region.trackers[n.rng.IntN(simInstances)]
		req.q.LocalOnly = true
		req.targets = n.chooser.choose(n, req).Targets
		n.admit(req)
	})
}

func (n *simNetwork) region(name string) *simRegion {
	for _, r := range n.regions {
		if r.name == name {
			return r
		}
	}
	return nil
}

// refreshStatus fetches the status of the other regions for r, at most once a
// second.
func (n *simNetwork) refreshStatus(r *simRegion, name string) {
	if n.now-r.statusRequested < statusEvery && r.statusRequested > 0 {
		return
	}
	r.statusRequested = n.now
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

// admit gives the request a slot on the first of its targets with a free one, or
// queues it.
func (n *simNetwork) admit(req *simRequest) {
	for _, name := range req.targets {
		if e := n.byName[name]; e.live && e.running < simSlots {
			n.start(req, e)
			return
		}
	}
	req.region.queue = append(req.region.queue, req)
	n.after(n.deployment.policy.MaxQueueWait, func() { n.refuse(req) })
}

func (n *simNetwork) refuse(req *simRequest) {
	for i, w := range req.region.queue {
		if w == req {
			req.region.queue = append(req.region.queue[:i:i], req.region.queue[i+1:]...)
			req.end()
			if req.counted {
				n.result.refused++
			}
			return
		}
	}
}

func (r *simRequest) end() {
	for _, f := range r.onEnd {
		f()
	}
}

func (n *simNetwork) start(req *simRequest, e *simEngine) {
	q := req.q
	req.onEnd = append(req.onEnd, req.tracker.RecordDispatch(q, e.target.Name))
	e.running++
	cached := min(e.cache.cachedTokens(q.PrefixHashes), q.PromptTokens)
	e.store(q.PrefixHashes)
	uncached := q.PromptTokens - cached
	e.prefillUntil = max(e.prefillUntil, n.now) + time.Duration(float64(uncached)/prefillRate*float64(time.Second))
	ttft := e.prefillUntil - req.at
	if req.forwarded {
		ttft += 55 * time.Millisecond
	}
	if req.counted {
		n.result.recomputed += float64(uncached)
		n.result.ttft = append(n.result.ttft, ttft)
		n.result.arrivedAt = append(n.result.arrivedAt, req.at)
		n.result.byTeam[q.Team] = append(n.result.byTeam[q.Team], ttft)
	}
	hold := e.prefillUntil - n.now + time.Duration(q.OutputTokens)*simToken
	e.region.meanHold += 0.02 * (hold.Seconds() - e.region.meanHold)
	n.after(hold, func() {
		e.running--
		req.end()
		n.assignFreedSlot(e)
	})
}

// removeHalf removes half of a region's targets from one time to another;
// instances notice each change a second later.
func (n *simNetwork) removeHalf(r *simRegion, from, to time.Duration) {
	set := func(at time.Duration, live bool) {
		for _, e := range r.engines[:simReplicas/2] {
			n.after(at, func() { e.live = live })
			n.after(at+time.Second, func() {
				for _, t := range r.trackers {
					t.SetTargetLive(e.target.Name, live)
				}
				for before := -1; live && before != len(r.queue); {
					before = len(r.queue)
					n.assignFreedSlot(e)
				}
			})
		}
	}
	set(from, false)
	set(to, true)
}

// store updates the cache and records the events to publish.
func (e *simEngine) store(hashes []uint64) {
	before := map[uint64]bool{}
	for _, h := range hashes {
		_, before[h] = e.cache.index[h]
	}
	for i := len(hashes) - 1; i >= 0; i-- {
		h := hashes[i]
		if !before[h] && len(e.cache.index) >= simBlocks {
			e.emit(false, e.cache.entries[e.cache.tail].hash)
		}
		e.cache.confirm(h)
		if !before[h] {
			e.emit(true, h)
		}
	}
}

func (e *simEngine) emit(stored bool, hash uint64) {
	e.seq++
	e.events = append(e.events, CacheEvent{Seq: e.seq, Stored: stored, Hash: hash})
}

// assignFreedSlot gives a free slot to the first queued request that can use the
// target.
func (n *simNetwork) assignFreedSlot(e *simEngine) {
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

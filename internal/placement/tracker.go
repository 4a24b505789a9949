package placement

import (
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

const (
	// defaultTokensPerMS, defaultStepMS and defaultStepPerRequestMS are figures of
	// usual engines; the pace of each target corrects them.
	defaultTokensPerMS      = 30
	defaultStepMS           = 5.0
	defaultStepPerRequestMS = 0.15
	defaultWorkMS           = 30
	// plainQueue is how many requests a plain target may hold, as a multiple of
	// its slots: a second batch keeps it busy, a third only waits.
	plainQueue = 2
	// maxBatch bounds the requests at an engine. A larger batch yields few more
	// tokens a second, but long answers no longer end within their time.
	maxBatch = 45
	// engineQueue is how many requests an engine may hold, as a multiple of its
	// batch, if the batch is below maxBatch: a place is free within a fraction of a
	// second, and the load of other instances is known late.
	engineQueue = 1.5
	// holdGain is the weight of a new observation of how long a request occupies an
	// engine, and defaultHold that time until one was seen.
	holdGain    = 0.02
	defaultHold = 400 * time.Millisecond
	// connReserve is the part of a target's connections that is not used, for
	// those that are just being closed.
	connReserve = 0.1
	// cacheShare is the part of an engine's memory that is believed to hold
	// shared parts.
	cacheShare = 0.6
	// cacheMemory is how long a part is believed to stay without a request.
	cacheMemory = 30 * time.Second
	// minShared is the number of shared tokens below which a home is not worth
	// the uneven load.
	minShared = 256
	// minInstances is the number of instances of a region among which the rate of
	// a cold target is divided while fewer are known.
	minInstances = 3
	// coldWindow is the window of a cold target's rate with a reserve for the
	// time that requests are on their way.
	coldWindow = 1100 * time.Millisecond
	// settleTime is the time after the start in which the other instances of the
	// region are not all known, so that a cold target gets nothing.
	settleTime = 1500 * time.Millisecond
	// coldReserve is the part of the bound that is used.
	coldReserve = 0.85
)

// Tracker keeps beliefs about the targets of the own region. Lock order:
// Tracker.mu is a leaf lock.
type Tracker struct {
	instance string
	regionOf map[string]string // by failure domain
	region   string
	bounds   deployment.Bounds
	started  time.Time
	mu       struct {
		sync.Mutex
		targets map[string]*state
		paces   map[string]*pace         // by service
		holds   map[string]time.Duration // by service; see Target.Hold
		near    []string                 // names of the other instances of the own region
		news    []partNews               // parts that targets have read, newest last
		seen    map[string]uint64        // sequence of the last row, by peer address
	}
}

// state is what is believed about one target.
type state struct {
	born    int64
	service string
	running int
	pending int
	cache   cache
	// cacheTokens is the part of its memory that is believed to hold shared parts.
	cacheTokens int
	pace        pace
	health      health
	sends       []time.Time // while cold
	// waiting holds the start of the requests without a first byte.
	waiting map[*Attempt]time.Time
	others  map[string]use
}

// use is the load that another instance puts on a target.
type use struct {
	running, pending int
	avoided          bool
}

// NewTracker returns the Tracker of an instance.
func NewTracker(s *deployment.Settings, now time.Time) *Tracker {
	t := &Tracker{instance: s.Instance, regionOf: s.RegionByDomain, region: s.Region, bounds: s.Bounds, started: now}
	t.mu.targets = map[string]*state{}
	t.mu.paces = map[string]*pace{}
	t.mu.holds = map[string]time.Duration{}
	t.mu.seen = map[string]uint64{}
	return t
}

func (t *Tracker) state(e *catalog.Entry) *state {
	s := t.mu.targets[e.ID]
	if s == nil || s.born != e.StartedMS {
		running := 0
		if s != nil {
			running = s.running // of the start before; they end soon
		}
		s = &state{born: e.StartedMS, service: e.Service, running: running, others: map[string]use{}, waiting: map[*Attempt]time.Time{}, pace: t.servicePace(e.Service).child()}
		t.mu.targets[e.ID] = s
	}
	return s
}

func (t *Tracker) servicePace(service string) *pace {
	p := t.mu.paces[service]
	if p == nil {
		p = &pace{value: 1}
		t.mu.paces[service] = p
	}
	return p
}

func (t *Tracker) hold(service string) time.Duration {
	if h, ok := t.mu.holds[service]; ok {
		return h
	}
	return defaultHold
}

// LatencyModelOf returns the usual times of a service.
func LatencyModelOf(s *deployment.Service) *LatencyModel {
	m := &LatencyModel{TokensPerMS: defaultTokensPerMS, StepMS: defaultStepMS, StepPerRequestMS: defaultStepPerRequestMS, ServiceTimeMS: defaultWorkMS}
	if s.Engine != nil && s.Engine.KVBytesPerToken > 0 && s.Engine.LinkBytesPerSecond > 0 {
		m.FetchTokensPerMS = s.Engine.LinkBytesPerSecond / s.Engine.KVBytesPerToken / 1000
	}
	return m
}

// SharedPrefix returns the key and the tokens of the parts of a prompt that other
// requests share; the last part is the request's own.
func SharedPrefix(parts []deployment.PromptPart) (key string, tokens int) {
	largest := 0
	for _, p := range parts[:max(len(parts)-1, 0)] {
		tokens += p.Tokens
		if p.Tokens > largest {
			key, largest = p.ID, p.Tokens
		}
	}
	if tokens < minShared {
		return "", 0
	}
	return key, tokens
}

// Targets returns the views of the targets of a service in the own region that
// may be used, without those in exclude.
func (t *Tracker) Targets(v *catalog.View, service, sharedKey string, exclude map[string]bool, now time.Time) []TargetView {
	s := v.Config.Services[service]
	if s == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []TargetView
	for _, e := range v.Targets {
		if e.Service != service || t.regionOf[e.Domain] != t.region || v.Evacuated[e.Domain] || exclude[e.ID] || e.Leaving {
			continue
		}
		st := t.state(e)
		if !st.health.usable(now) {
			continue
		}
		out = append(out, t.view(v, s, e, st, sharedKey, now))
	}
	return out
}

// PrefixOwnerRegion returns the region of the home of a shared part among the targets
// of a service in all regions that permitted accepts. All instances agree on it,
// as it depends on what the platform lists only.
func (t *Tracker) PrefixOwnerRegion(v *catalog.View, service, key string, permitted func(region string) bool) string {
	if key == "" {
		return ""
	}
	home, top := "", uint64(0)
	for _, e := range v.Targets {
		region := t.regionOf[e.Domain]
		if e.Service != service || e.Leaving || v.Evacuated[e.Domain] || !permitted(region) {
			continue
		}
		if rank := homeRank(key, e.ID); home == "" || rank > top {
			home, top = region, rank
		}
	}
	return home
}

func (t *Tracker) view(v *catalog.View, s *deployment.Service, e *catalog.Entry, st *state, sharedKey string, now time.Time) TargetView {
	running, pending := st.load()
	view := TargetView{
		ID: e.ID, Running: running, Slots: e.Slots, Engine: s.Engine != nil, PendingTokens: pending,
		Cached: st.cache.has(sharedKey, now), CacheUsedAt: st.cache.used(sharedKey), OldestWait: st.oldest(now), Slowdown: st.pace.at(now, t.servicePace(s.Name)),
	}
	view.Capacity = e.Slots * plainQueue
	if s.Engine != nil {
		view.HoldTime = t.hold(s.Name)
		st.cacheTokens = int(cacheShare * float64(s.Engine.KVCacheTokens))
		view.Capacity = min(int(engineQueue*float64(e.Slots)), maxBatch)
	}
	if s.MaxConns > 0 {
		view.Capacity = min(view.Capacity, int((1-connReserve)*float64(s.MaxConns)))
	}
	view.Full = running >= view.Capacity || st.health.trial && st.running > 0
	if v.Cold(e, now) || now.Before(st.health.coldUntil) {
		view.Full = view.Full || st.recent(now) >= t.coldRate(s, e.ID, now)
	}
	return view
}

// coldRate is the number of requests that this instance may send to a cold
// target in one window. Where the instances of the region are more than the
// requests that the target tolerates, those of the highest rank for it send one
// each.
func (t *Tracker) coldRate(s *deployment.Service, target string, now time.Time) int {
	if s.WarmupRate <= 0 {
		return 1 << 30
	}
	if now.Sub(t.started) < settleTime {
		return 0
	}
	all := int(coldReserve * (s.WarmupRate*t.bounds.WarmupRateFactor + t.bounds.WarmupSlack))
	if share := all / max(len(t.mu.near)+1, minInstances); share > 0 {
		return share
	}
	own, ahead := homeRank(target, t.instance), 0
	for _, name := range t.mu.near {
		if homeRank(target, name) > own {
			ahead++
		}
	}
	if ahead < max(all, 1) {
		return 1
	}
	return 0
}

func (s *state) recent(now time.Time) int {
	for len(s.sends) > 0 && now.Sub(s.sends[0]) > coldWindow {
		s.sends = s.sends[1:]
	}
	return len(s.sends)
}

// oldest is how long the request that has waited longest for its first byte has
// waited. The pace learns of a slow target only from first bytes, so it is late
// by just the delay that matters.
func (s *state) oldest(now time.Time) time.Duration {
	age := time.Duration(0)
	for _, began := range s.waiting {
		age = max(age, now.Sub(began))
	}
	return age
}

// witness reports whether another instance avoids the target.
func (s *state) witness() bool {
	for _, o := range s.others {
		if o.avoided {
			return true
		}
	}
	return false
}

func (s *state) load() (running, pending int) {
	running, pending = s.running, s.pending
	for _, o := range s.others {
		running, pending = running+o.running, pending+o.pending
	}
	return running, pending
}

// Attempt is a request at a target.
type Attempt struct {
	t        *Tracker
	s        *state
	id       string
	pending  int
	part     deployment.PromptPart // shared; without an id if there is none
	began    time.Time
	expected time.Duration // at the usual pace
	first    bool
	ended    bool
}

// Begin notes that a request is sent to the target, as c chose.
func (t *Tracker) Begin(e *catalog.Entry, s *deployment.Service, q *Query, c Choice, now time.Time) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.state(e)
	running, pending := st.load()
	view := TargetView{Running: running, Slots: e.Slots, Engine: s.Engine != nil, PendingTokens: pending, Slowdown: 1, Cached: c.Cached}
	r := &Attempt{t: t, s: st, id: e.ID, began: now, expected: LatencyModelOf(s).Delay(q, &view, c.FetchFrom != "")}
	if s.Engine != nil {
		r.pending = q.PromptTokens
		if c.Cached || c.FetchFrom != "" {
			r.pending -= min(q.PrefixTokens, q.PromptTokens)
		}
		r.part = deployment.PromptPart{ID: q.PrefixKey, Tokens: q.PrefixTokens}
		st.cache.add(r.part, int(cacheShare*float64(s.Engine.KVCacheTokens)), now)
	}
	st.running++
	st.pending += r.pending
	st.waiting[r] = now
	st.sends = append(st.sends, now)
	st.recent(now)
	return r
}

// FirstByte notes the first byte of the answer.
func (r *Attempt) FirstByte(now time.Time) {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	if r.first {
		return
	}
	r.first = true
	delete(r.s.waiting, r)
	r.s.pending -= r.pending
	r.pending = 0
	r.t.noteRead(r.id, r.part, now)
	r.s.pace.observe(float64(now.Sub(r.began))/float64(max(r.expected, time.Millisecond)), now, r.t.servicePace(r.s.service))
}

// End notes the end of the request.
func (r *Attempt) End(o Outcome, now time.Time) (changed bool) {
	r.t.mu.Lock()
	defer r.t.mu.Unlock()
	if r.ended {
		return false
	}
	r.ended = true
	delete(r.s.waiting, r)
	r.s.running--
	r.s.pending -= r.pending
	if !r.first {
		r.s.cache.drop(r.part.ID) // the parts were probably not read
	}
	if o == Success {
		h := r.t.hold(r.s.service)
		r.t.mu.holds[r.s.service] = h + time.Duration(holdGain*float64(now.Sub(r.began)-h))
	}
	return r.s.health.note(o, r.s.witness(), now)
}

// SetHealthy ends the avoidance of a target that answered a health check; it
// stays cold for warmup.
func (t *Tracker) SetHealthy(id string, warmup time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.mu.targets[id]; s != nil {
		s.health.regain(now, warmup)
	}
}

// DownTargets returns the targets that are avoided until a health check succeeds, those
// left out that rest.
func (t *Tracker) DownTargets(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, s := range t.mu.targets {
		if s.health.down && !now.Before(s.health.restUntil) {
			out = append(out, id)
		}
	}
	return out
}

// Prune drops the targets that are no longer listed and idle.
func (t *Tracker) Prune(listed map[string]*catalog.Entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.mu.targets {
		if listed[id] == nil && s.running <= 0 {
			delete(t.mu.targets, id)
		}
	}
}

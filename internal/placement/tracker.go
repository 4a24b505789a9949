package placement

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/pace"
	"github.com/wigeonhill/wigeonhill/internal/rendezvous"
)

const (
	// plainCapacityFactor is the capacity of a plain target as a multiple of its
	// slots: a second batch keeps the target busy, a third would only wait.
	plainCapacityFactor = 2
	// maxEngineRequests bounds the requests at an engine. A larger batch yields few
	// more tokens per second, but long responses no longer complete in time.
	maxEngineRequests = 45
	// engineCapacityFactor is the capacity of an engine as a multiple of its slots, up
	// to maxEngineRequests: a slot becomes free within a fraction of a second, and the
	// load from other instances is known with a delay.
	engineCapacityFactor = 1.5
	// holdTimeGain is the weight of a new sample in the moving average of how long a
	// request occupies a slot. defaultHoldTime is the value before the first sample.
	holdTimeGain    = 0.02
	defaultHoldTime = 400 * time.Millisecond
	// connReserve is the fraction of a target's connections left unused for
	// connections that are being closed.
	connReserve = 0.1
	// cacheFraction is the fraction of an engine's KV cache that is estimated to hold
	// shared prefixes.
	cacheFraction = 0.6
	// cacheRetention is how long a prefix is estimated to stay cached without a
	// request.
	cacheRetention = 30 * time.Second
	// minPrefixTokens is the prefix length in tokens below which cache locality is not
	// worth the uneven load.
	minPrefixTokens = 256
)

// Tracker estimates the state of the targets of the local region. Lock order: Tracker.mu,
// then those behind warmupShares, elapsed and onWake, which are leaf locks.
type Tracker struct {
	instance       string
	regionByDomain map[string]string
	region         string
	bounds         deployment.Bounds
	started        time.Time
	warmupShares   WarmupShares
	elapsed        func() time.Duration
	onWake         func(frozen time.Duration)
	onDelayError   func(DelayError) // may be nil
	// profiles are the learnt profiles in force, by service.
	profiles atomic.Pointer[map[string]profile]
	mu       struct {
		sync.Mutex
		targets      map[string]*targetState
		slowdowns    map[string]*slowdown         // by service
		holdTimes    map[string]time.Duration     // by service; see TargetView.HoldTime
		partUpdates  []partUpdate                 // parts that targets have cached, newest last
		lastSequence map[string]uint64            // sequence number of the last heartbeat, by peer address
		received     map[string]receivedHeartbeat // by peer address
		lastElapsed  time.Duration                // at the last call of noteTime
		lastNow      time.Time                    // of the last call of noteTime
		awakeSince   time.Time                    // end of the last freeze
		windows      *pace.Windows
		list         listState
		learners     map[string]*learner // by service
		linkFaultAt  time.Time           // when most targets were last down at once
	}
}

// targetState is the estimated state of one target.
type targetState struct {
	startedMS int64
	// incarnationSince is when this incarnation replaced another one here; zero if none
	// is known. Older reports that the target is down concern the earlier one.
	incarnationSince time.Time
	service          string
	slots            int
	running          int
	pending          int
	prefixCache      prefixCache
	// cacheTokens is the size of the KV cache estimated to hold shared prefixes.
	cacheTokens int
	slowdown    slowdown
	// reportedSlowdown is the slowdown relative to the service that other instances
	// report; 0 if too few do.
	reportedSlowdown float64
	health           health
	// restartSuspectedUntil is when the list will show whether the target has
	// restarted, after other instances found it down; see downReports.
	restartSuspectedUntil time.Time
	vouch                 vouching
	// recentSends are the times of requests written within warmupWindow, oldest first;
	// unsent counts those that are yet to be written.
	recentSends []time.Time
	unsent      int
	// leavingSince is when a response of this incarnation first said that it leaves;
	// zero if none did. listedAt is when the target was last listed.
	leavingSince, listedAt time.Time
	// firstListed is when the target was first listed here.
	firstListed time.Time
	// wasWarmingUp and wasSlow say whether the target was warming up, or slow, when it
	// was last looked at; see package pace.
	wasWarmingUp, wasSlow bool
	// awaitingFirstByte holds the start times of attempts without a first byte.
	awaitingFirstByte map[*Attempt]time.Time
	peerLoads         map[string]peerLoad
	// peerRunning and peerPending are the sums over peerLoads: each decision needs
	// them for all targets.
	peerRunning, peerPending int
}

// peerLoad is the load that another instance reports for a target.
type peerLoad struct {
	running, pending int
	avoided          bool
}

// NewTracker returns the Tracker of an instance that starts now. elapsed returns the
// time since some start, including that in which the process was frozen or its machine
// suspended. onWake is called after a freeze; it must not block.
func NewTracker(s *deployment.Settings, shares WarmupShares, now time.Time, elapsed func() time.Duration, onWake func(frozen time.Duration)) *Tracker {
	t := &Tracker{instance: s.Instance, regionByDomain: s.RegionByDomain, region: s.Region, bounds: s.Bounds, started: now, warmupShares: shares, elapsed: elapsed, onWake: onWake}
	t.mu.lastElapsed = elapsed()
	t.mu.targets = map[string]*targetState{}
	t.mu.slowdowns = map[string]*slowdown{}
	t.mu.holdTimes = map[string]time.Duration{}
	t.mu.lastSequence = map[string]uint64{}
	t.mu.windows = pace.New()
	t.mu.learners = map[string]*learner{}
	t.profiles.Store(&map[string]profile{})
	return t
}

func (t *Tracker) stateOf(e *catalog.Entry, now time.Time) *targetState {
	s := t.mu.targets[e.ID]
	known := s != nil
	switch {
	case s == nil:
		s = &targetState{startedMS: e.StartedMS, service: e.Service, slots: e.Slots, firstListed: e.FirstListed, awaitingFirstByte: map[*Attempt]time.Time{}}
		t.mu.targets[e.ID] = s
	case s.startedMS == e.StartedMS:
		return s
	}
	// Attempts at an earlier incarnation go on counting until they end, and what was
	// sent to it may have reached this one.
	s.startedMS, s.service, s.slots = e.StartedMS, e.Service, e.Slots
	if known {
		s.incarnationSince = now
	}
	s.prefixCache, s.peerLoads = prefixCache{}, map[string]peerLoad{}
	s.sumPeerLoads()
	s.slowdown = t.serviceSlowdown(e.Service).initial()
	s.health = health{warmupUntil: s.health.warmupUntil}
	s.leavingSince, s.restartSuspectedUntil = time.Time{}, time.Time{}
	s.wasWarmingUp, s.wasSlow = false, false
	switch {
	case known:
		t.mu.windows.Recovering(e.ID, e.StartedMS, e.Slots, pace.Restarted, now)
	case t.addedLater(e, now):
		t.mu.windows.Recovering(e.ID, e.StartedMS, e.Slots, pace.Started, now)
	}
	return s
}

func (t *Tracker) serviceSlowdown(service string) *slowdown {
	s := t.mu.slowdowns[service]
	if s == nil {
		s = &slowdown{value: 1}
		t.mu.slowdowns[service] = s
	}
	return s
}

func (t *Tracker) holdTime(service string) time.Duration {
	if h, ok := t.mu.holdTimes[service]; ok {
		return h
	}
	return defaultHoldTime
}

// SharedPrefix returns the key and the tokens of the shared prefix of a prompt: all
// parts except the last, which is specific to the request. The key is the ID of the
// largest part. It returns "" and 0 if the prefix is too short.
func SharedPrefix(parts []deployment.PromptPart) (key string, tokens int) {
	largest := 0
	for _, p := range parts[:max(len(parts)-1, 0)] {
		tokens += p.Tokens
		if p.Tokens > largest {
			key, largest = p.ID, p.Tokens
		}
	}
	if tokens < minPrefixTokens {
		return "", 0
	}
	return key, tokens
}

// Targets returns views of the usable targets of a service in the local region,
// without those in exclude. Targets that said in a response that they leave are only
// among them if there are no others.
func (t *Tracker) Targets(v *catalog.View, service, prefixKey string, exclude map[string]bool, now time.Time) []TargetView {
	return t.targets(v, service, prefixKey, exclude, now, nil)
}

// targets is Targets. It calls note, if that is not nil, for each listed target of the
// service in the local region.
func (t *Tracker) targets(v *catalog.View, service, prefixKey string, exclude map[string]bool, now time.Time, note func(*Candidate)) []TargetView {
	s := v.Config.Services[service]
	if s == nil {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.noteTime(now)
	var out, leaving []TargetView
	var resorts []*Candidate // those of leaving
	for _, e := range v.Targets {
		if e.Service != service || t.regionByDomain[e.Domain] != t.region {
			continue
		}
		if rule := listingRule(v, e, exclude); rule != "" {
			if note != nil {
				note(&Candidate{View: TargetView{ID: e.ID, Slots: e.Slots}, Entry: e, Rule: rule})
			}
			continue
		}
		st := t.stateOf(e, now)
		if rule := st.health.rule(now); rule != "" {
			if note != nil {
				note(t.candidate(e, st, TargetView{ID: e.ID, Slots: e.Slots}, rule, now))
			}
			continue
		}
		view, rule := t.targetView(v, s, e, st, prefixKey, now)
		var c *Candidate
		if note != nil {
			c = t.candidate(e, st, view, rule, now)
			c.Viewed = true
		}
		switch {
		case st.leavingSince.IsZero():
			out = append(out, view)
		case t.lastResort(st, now):
			view.Leaving = true
			leaving = append(leaving, view)
			if c != nil {
				c.View.Leaving = true
				resorts = append(resorts, c)
			}
			continue // noted when it is known whether there are others
		case c != nil:
			c.Viewed, c.Rule = false, RuleSaidLeaving
		}
		if c != nil {
			note(c)
		}
	}
	for _, c := range resorts {
		if len(out) > 0 {
			c.Viewed, c.Rule = false, RuleSaidLeaving
		}
		note(c)
	}
	if len(out) == 0 {
		return leaving
	}
	return out
}

// PrefixOwnerRegion returns the region of the prefix owner among the targets of a
// service in all regions that allowed accepts. All instances agree on it, since it
// only depends on the targets that the platform lists.
func (t *Tracker) PrefixOwnerRegion(v *catalog.View, service, key string, allowed func(region string) bool) string {
	if key == "" {
		return ""
	}
	ownerRegion, highest := "", uint64(0)
	for _, e := range v.Targets {
		region := t.regionByDomain[e.Domain]
		if e.Service != service || e.Leaving || v.Evacuated[e.Domain] || !allowed(region) {
			continue
		}
		if score := rendezvous.Score(key, e.ID); ownerRegion == "" || score > highest {
			ownerRegion, highest = region, score
		}
	}
	return ownerRegion
}

// targetView returns the view of a target, and the rule by which it is full, if it is.
func (t *Tracker) targetView(v *catalog.View, s *deployment.Service, e *catalog.Entry, st *targetState, prefixKey string, now time.Time) (TargetView, Rule) {
	running, pending := st.load()
	view := TargetView{
		ID: e.ID, Running: running, Slots: e.Slots, Engine: s.Engine != nil, PendingTokens: pending,
		Cached: st.prefixCache.contains(prefixKey, now), CacheUsedAt: st.prefixCache.lastUsed(prefixKey), OldestWait: st.oldestWait(now), Slowdown: t.slowdownOf(st, now),
	}
	view.Capacity = e.Slots * plainCapacityFactor
	if s.Engine != nil {
		view.HoldTime = t.holdTime(s.Name)
		st.cacheTokens = int(cacheFraction * float64(s.Engine.KVCacheTokens))
		view.Capacity = min(int(engineCapacityFactor*float64(e.Slots)), maxEngineRequests)
	}
	if s.MaxConns > 0 {
		view.Capacity = min(view.Capacity, int((1-connReserve)*float64(s.MaxConns)))
	}
	view.WarmingUp = t.warmingUp(v, e, st, now)
	var rule Rule
	switch {
	case running >= view.Capacity:
		rule = RuleCapacity
	case st.health.probing && st.running > 0:
		rule = RuleProbing
	case view.WarmingUp && st.countRecentSends(now) >= t.warmupLimit(v, s, e.ID, now):
		rule = RuleWarmup
	case !view.WarmingUp && t.vouchUsed(v, s, e.ID, st, now):
		rule = RuleUnconfirmed
	}
	t.paceWarmup(v, e, st, now)
	if rule == "" && t.paced(e.ID, 0, now) {
		rule = RulePaced
	}
	view.Full = rule != ""
	return view, rule
}

// oldestWait returns the longest time that a current attempt has waited for its first
// byte. The slowdown is only updated on first bytes, so it reflects a slow target
// late, by the very delay that matters.
func (s *targetState) oldestWait(now time.Time) time.Duration {
	wait := time.Duration(0)
	for _, startedAt := range s.awaitingFirstByte {
		wait = max(wait, now.Sub(startedAt))
	}
	return wait
}

// avoidedByPeer reports whether another reliable instance avoids the target.
func (s *targetState) avoidedByPeer() bool {
	for _, o := range s.peerLoads {
		if o.avoided {
			return true
		}
	}
	return false
}

func (s *targetState) load() (running, pending int) {
	return s.running + s.peerRunning, s.pending + s.peerPending
}

// sumPeerLoads must be called after each change of peerLoads.
func (s *targetState) sumPeerLoads() {
	s.peerRunning, s.peerPending = 0, 0
	for _, o := range s.peerLoads {
		s.peerRunning, s.peerPending = s.peerRunning+o.running, s.peerPending+o.pending
	}
}

// Attempt is a request that was sent to a target.
type Attempt struct {
	tracker      *Tracker
	state        *targetState
	target       string
	incarnation  int64 // the target's StartedMS
	pending      int
	prefix       deployment.PromptPart // shared prefix; without an ID if there is none
	startedAt    time.Time
	expected     time.Duration // time to first byte without slowdown
	chosenDelay  time.Duration // that the placement expected
	cached       bool
	sample       sample
	objective    time.Duration
	window       uint64 // under which the request was sent; see package pace
	sent         bool
	gotFirstByte bool
	ended        bool
}

// Begin records that a request is sent to the target e as chosen by c, unless the
// target is warming up or paced and requests that were chosen at the same time have
// used this instance's share; it returns nil then. The caller must call End on the Attempt.
func (t *Tracker) Begin(v *catalog.View, e *catalog.Entry, s *deployment.Service, q *Query, c Choice, now time.Time) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	st := t.stateOf(e, now)
	switch {
	case t.warmingUp(v, e, st, now):
		if st.countRecentSends(now) >= t.warmupLimit(v, s, e.ID, now) {
			return nil
		}
	case t.vouchUsed(v, s, e.ID, st, now):
		return nil
	}
	if t.paced(e.ID, 1, now) {
		return nil
	}
	running, pending := st.load()
	// What the owner is only presumed to have counts as load, and its time is that of the
	// whole prompt.
	cached, copied := c.Cached && !c.Presumed, c.FetchFrom != "" && !c.Presumed
	view := TargetView{Running: running, Slots: e.Slots, Engine: s.Engine != nil, PendingTokens: pending, Slowdown: 1, Cached: cached}
	a := &Attempt{tracker: t, state: st, target: e.ID, incarnation: e.StartedMS, startedAt: now, objective: q.Objective, window: t.mu.windows.Begin(e.ID), expected: t.Model(s).Delay(q, &view, copied)}
	a.chosenDelay, a.cached = c.Delay, c.Cached
	if c.FetchFrom == "" && !c.Presumed { // the time of a fetch is not known
		a.sample = sample{engine: s.Engine != nil, tokens: q.PromptTokens, ahead: pending, running: running, slots: e.Slots}
		if cached {
			a.sample.tokens -= min(q.PrefixTokens, q.PromptTokens)
		}
	}
	if s.Engine != nil {
		a.pending = unprefilled(q, cached || copied)
		a.prefix = deployment.PromptPart{ID: q.PrefixKey, Tokens: q.PrefixTokens}
		st.prefixCache.add(a.prefix, int(cacheFraction*float64(s.Engine.KVCacheTokens)), now)
	}
	st.running++
	st.pending += a.pending
	st.awaitingFirstByte[a] = now
	st.unsent++
	return a
}

// FirstByte records the arrival of the first byte of the response.
func (a *Attempt) FirstByte(now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.gotFirstByte {
		return
	}
	a.gotFirstByte = true
	delete(a.state.awaitingFirstByte, a)
	a.state.pending -= a.pending
	a.pending = 0
	if a.incarnation != a.state.startedMS {
		return
	}
	a.tracker.recordCachedPart(a.target, a.prefix, now)
	if observe := a.tracker.onDelayError; observe != nil && a.chosenDelay > 0 {
		observe(DelayError{Ratio: float64(now.Sub(a.startedAt)) / float64(a.chosenDelay), Long: a.prefix.ID != "", Cached: a.cached})
	}
	a.state.slowdown.observe(float64(now.Sub(a.startedAt))/float64(max(a.expected, time.Millisecond)), now, a.tracker.serviceSlowdown(a.state.service))
	a.learn(now)
	a.pace(now)
}

// End records the outcome and reports whether the target is avoided from now on. Only
// the first call has an effect.
func (a *Attempt) End(o Outcome, now time.Time) (avoided bool) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	if a.ended {
		return false
	}
	a.ended = true
	if (o == Unreachable || o == Refused) && !a.sent {
		a.sent = true
		a.state.unsent--
	}
	a.recordSent(now) // parts of the request may have been written
	delete(a.state.awaitingFirstByte, a)
	a.state.running--
	a.state.pending -= a.pending
	a.tracker.mu.windows.End(a.target, a.window)
	if a.incarnation != a.state.startedMS {
		return false // the outcome says nothing about the present incarnation
	}
	if !a.gotFirstByte {
		a.state.prefixCache.remove(a.prefix.ID) // the prefix was probably not prefilled
	}
	if o == Success {
		h := a.tracker.holdTime(a.state.service)
		a.tracker.mu.holdTimes[a.state.service] = h + time.Duration(holdTimeGain*float64(now.Sub(a.startedAt)-h))
	}
	a.paceOutcome(o, now)
	avoided = a.state.health.recordOutcome(o, a.state.avoidedByPeer(), now)
	a.tracker.paceAvoided(a.target, a.state, avoided, now)
	return avoided
}

// SetRefused records that a target refused a connection, and reports whether it is
// avoided from now on.
func (t *Tracker) SetRefused(id string, now time.Time) (avoided bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.mu.targets[id]
	if s == nil {
		return false
	}
	avoided = s.health.recordOutcome(Refused, true, now)
	t.paceAvoided(id, s, avoided, now)
	return avoided
}

// SetHealthy makes a target that passed a health check usable again. The target
// counts as warming up for warmup.
func (t *Tracker) SetHealthy(id string, warmup time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.mu.targets[id]; s != nil {
		if s.health.down {
			t.paceReturned(id, s, now)
		}
		s.health.markUp(now, warmup)
	}
}

// DownTargets returns the targets that are avoided until a health check succeeds,
// except those whose backoff has not ended.
func (t *Tracker) DownTargets(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []string
	for id, s := range t.mu.targets {
		if s.health.down && !now.Before(s.health.backoffUntil) {
			out = append(out, id)
		}
	}
	return out
}

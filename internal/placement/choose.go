package placement

import (
	"math"
	"slices"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/rendezvous"
)

const (
	// maxDelayFraction is the fraction of the objective above which the expected
	// delay makes a request late: it takes no capacity from those that can still meet
	// the objective.
	maxDelayFraction = 0.8
	// maxWaitedFraction replaces maxDelayFraction for the time that a request has
	// waited together with its expected delay; the wait is known exactly.
	maxWaitedFraction = 0.7
	// spareDivisor and spareBacklogFraction define the targets that may get requests
	// that will be late: 1/spareDivisor of the slots, at least one, stays free, and
	// prefilling what is at the target takes at most spareBacklogFraction of the
	// objective. The load is known with a delay of several heartbeats.
	spareDivisor         = 8
	spareBacklogFraction = 0.25
	// spareRegionSlots is the least number of free slots of another region that gets
	// such requests.
	spareRegionSlots = 3
	// A request that has waited starts at an engine only if less than all of the slots
	// but 1/waitingDivisor are in use: behind others it would wait as long there, where
	// its place in the order is lost.
	waitingDivisor = 16
	// crowdedFraction is the fraction of the slots of all targets that are in use from
	// which the choice no longer relies on the load of a single target.
	crowdedFraction = 0.5
	// lateDelayFraction is the fraction of the remaining time that the expected delay
	// of a late request may take; the rest is for the response.
	lateDelayFraction = 0.7
	// localDelayFraction is the fraction of the objective up to which the local
	// region is chosen without considering others.
	localDelayFraction = 0.45
	// cachedBonus is the additional delay accepted at a target that has the shared
	// prefix cached, compared to one that must prefill it, as a fraction of the
	// prefill time. It is the hysteresis of prefix ownership.
	cachedBonus = 0.9
	// minRetryFraction is the least retry delay, as a fraction of the objective.
	// retryJitter is the range of the random part, as a fraction of the retry delay.
	// maxRetryFraction is the greatest retry delay, as a fraction of the remaining
	// time: callers accept a third, and this leaves a reserve.
	minRetryFraction = 0.25
	retryJitter      = 0.6
	maxRetryFraction = 0.3
	// fetchCost is the additional delay accepted at a target that has the shared
	// prefix cached, compared to one that can fetch it. A fetch takes only a few
	// milliseconds, but the transfer is charged for and evicts other parts.
	fetchCost = 60 * time.Millisecond
	// speculativeFetchCost replaces fetchCost if no target is known to have the
	// prefix cached, as a fraction of the prefill time: the prefix owner may not have
	// it yet.
	speculativeFetchCost = 0.6
)

// Query describes the request to be placed.
type Query struct {
	PromptTokens int
	// PrefixTokens is the length of the shared prefix, and PrefixKey identifies it;
	// 0 and "" if there is none. See SharedPrefix.
	PrefixTokens int
	PrefixKey    string
	// PrefixOwnerRegion is the region of the prefix owner among the targets of all
	// regions; empty if there is none.
	PrefixOwnerRegion string
	Objective         time.Duration
	// Remaining is the time until the caller gives up if it has no first byte.
	Remaining time.Duration
	// CallerRemaining is the time until the request's deadline; 0 if it is Remaining.
	CallerRemaining time.Duration
	// Jitter is a random number from 0 to 1 that differs between requests.
	Jitter float64
	// LocalAllowed is false if residency rules forbid the local region.
	LocalAllowed bool
	// Waited is how much of the objective has passed since the request arrived; 0 for
	// one that has not waited.
	Waited time.Duration
	// SpareOnly is set if the request may only use capacity that requests in time do
	// not need.
	SpareOnly bool
	// Crowded is set if many slots are in use, see Crowded. Requests without a shared
	// prefix then go to the target with the fewest requests of this instance, and the
	// load of each target counts as the mean: all instances would send to the target
	// that was free at the last heartbeat, which is long ago compared to a request.
	Crowded bool
	// Windowed is set if the caller bounds the requests that this instance has at all
	// targets together. The choice is then made as with Crowded, also if heartbeats tell
	// that the targets are at their capacity.
	Windowed bool
}

// TargetView is the estimated state of a target of the local region.
type TargetView struct {
	ID      string
	Running int
	// Own is the part of Running that this instance sent.
	Own   int
	Slots int
	// Capacity is the number of requests that may be at the target, queued ones
	// included.
	Capacity int
	Engine   bool
	// PendingTokens is the number of prompt tokens at the target that are probably
	// not prefilled yet.
	PendingTokens int
	// Cached is true if the target is estimated to have the shared prefix cached,
	// and CacheUsedAt is when the prefix was last used there.
	Cached      bool
	CacheUsedAt time.Time
	// OldestWait is the longest time that a current request has waited for its
	// first byte.
	OldestWait time.Duration
	// HoldTime is how long a request occupies a slot on average.
	HoldTime time.Duration
	// Slowdown is the measured time of the target relative to the expected time; 1
	// means as expected.
	Slowdown float64
	// Full is set if the target accepts no request now: it is at its capacity, at
	// its warm-up limit, or busy with a probe request.
	Full bool
	// AtCapacity is set if the target is at its capacity as far as heartbeats tell.
	AtCapacity bool
	// WarmingUp is set if the target may be warming up.
	WarmingUp bool
	// Leaving is set if the target said that it leaves, and there is no other one.
	Leaving bool
}

// Choice is a placement decision: a target, another region, or neither. In the last
// case the request should wait, or be refused with the time after which capacity is
// expected.
type Choice struct {
	Target, Region string
	// FetchFrom is a target from which Target can copy the shared prefix instead of
	// prefilling it; empty if Target has it cached or there is no source.
	FetchFrom string
	// Cached is set if Target is estimated to have the shared prefix cached.
	Cached bool
	// WarmingUp is set if Target may be warming up, and Leaving if it is leaving.
	WarmingUp, Leaving bool
	// Late is set if the response is expected after the objective.
	Late bool
	// Wait is set if there is no place now and the caller has time to wait for one.
	Wait bool
	// Delay is the expected time to the first byte.
	Delay time.Duration
	// RetryAfter is only set if Target and Region are empty.
	RetryAfter time.Duration
	Reason     string
}

// Load returns the requests at targets and the slots of the targets.
func Load(targets []TargetView) (running, slots int) {
	for i := range targets {
		running, slots = running+targets[i].Running, slots+targets[i].Slots
	}
	return running, slots
}

// Placed reports whether the choice names a target or a region.
func (c *Choice) Placed() bool { return c.Target != "" || c.Region != "" }

// Choose returns where the request should run. Requests that can be in time may use
// all capacity, the others only what those do not need.
func Choose(q *Query, targets []TargetView, regions []RegionView, m *LatencyModel) Choice {
	local := bestTarget(q, targets, m)
	if !q.SpareOnly {
		if c := chooseInTime(q, local, targets, regions); c.Placed() {
			return c
		}
	}
	if c := chooseSpare(q, targets, regions, m); c.Placed() {
		return c
	}
	return Choice{
		Delay: local.Delay, RetryAfter: retryAfter(q, local.Delay, q.Jitter), Reason: "no place in time",
		Wait: q.Remaining > m.Unloaded(q, len(targets) == 0 || targets[0].Engine) && (len(regions) > 0 || slices.ContainsFunc(targets, func(t TargetView) bool { return !t.WarmingUp })),
	}
}

// chooseInTime returns a place where the request is expected to be in time; local is
// the best local target.
func chooseInTime(q *Query, local Choice, targets []TargetView, regions []RegionView) Choice {
	limit := min(time.Duration(maxDelayFraction*float64(q.Objective)), q.Remaining)
	if q.Waited > 0 {
		limit = min(limit, time.Duration(maxWaitedFraction*float64(q.Objective))-q.Waited)
	}
	if r := prefixOwnerRegion(q, targets, regions); r != nil && (q.Waited == 0 || r.Delay+r.RoundTrip <= limit) {
		return Choice{Region: r.Name, Delay: r.Delay + r.RoundTrip, Reason: "region of the prefix owner"}
	}
	localLimit := time.Duration(localDelayFraction * float64(q.Objective))
	if q.Waited > 0 {
		localLimit = min(localLimit, limit)
	}
	if local.Target != "" && !local.Leaving && local.Delay <= localLimit {
		local.Reason = "own region has room"
		return local
	}
	remote := bestRegion(regions)
	if remote != nil {
		remoteDelay := remote.Delay + remote.RoundTrip
		if remoteDelay <= limit && (local.Target == "" || local.Leaving || remoteDelay+remoteMargin < local.Delay) {
			return Choice{Region: remote.Name, Delay: remoteDelay, Reason: "other region is faster"}
		}
	}
	if local.Target != "" && local.Delay <= limit {
		local.Reason = "own region is no worse"
		return local
	}
	return Choice{}
}

// chooseSpare returns a place that requests in time do not need: a local target with
// clearly fewer requests than slots, or a region that is not busy.
func chooseSpare(q *Query, targets []TargetView, regions []RegionView, m *LatencyModel) Choice {
	limit := time.Duration(lateDelayFraction * float64(q.Remaining))
	views := make([]TargetView, len(targets))
	copy(views, targets)
	mean := meanLoad(targets)
	for i := range views {
		load := views[i]
		if q.Crowded || q.Windowed {
			load.Running, load.PendingTokens = mean.Running, mean.PendingTokens
		}
		views[i].Full = views[i].Full || !spare(&load, q, m)
		views[i].AtCapacity = false
	}
	late := func(delay time.Duration) bool {
		return q.Waited+delay > time.Duration(maxDelayFraction*float64(q.Objective))
	}
	local := bestTarget(q, views, m)
	for i := range regions {
		r := &regions[i]
		delay := r.Delay + r.RoundTrip
		if r.FreeSlots < spareRegionSlots || delay > time.Duration(maxDelayFraction*float64(q.Objective)) || delay > limit {
			continue
		}
		if local.Target == "" && local.Region == "" || local.Target != "" && delay+remoteMargin < local.Delay || local.Region != "" && delay < local.Delay {
			local = Choice{Region: r.Name, Delay: delay, Late: late(delay), Reason: "other region has spare capacity"}
		}
	}
	if local.Target != "" {
		if local.Delay > limit {
			return Choice{}
		}
		local.Late, local.Reason = late(local.Delay), "target has spare capacity"
	}
	return local
}

// spare reports whether a target has capacity that requests in time do not need.
func spare(t *TargetView, q *Query, m *LatencyModel) bool {
	if t.Running >= max(t.Slots-max(t.Slots/spareDivisor, 1), 1) {
		return false
	}
	backlog := float64(t.PendingTokens) / m.TokensPerMS * t.Slowdown
	return !t.Engine || backlog <= spareBacklogFraction*float64(q.Objective.Milliseconds())
}

// Unloaded returns the expected time to the first byte at an idle target that has the
// shared prefix cached.
func (m *LatencyModel) Unloaded(q *Query, engine bool) time.Duration {
	return m.Delay(q, &TargetView{Engine: engine, Slots: 1, Cached: true, Slowdown: 1}, false)
}

// Work returns the target time that a request takes: the prefill and its part of the
// decoding steps of a whole batch, or its part of the slots of a plain target.
func (m *LatencyModel) Work(q *Query, outputTokens, slots int, engine bool) time.Duration {
	ms := m.ServiceTimeMS / float64(max(slots, 1))
	if engine {
		tokens := q.PromptTokens - min(q.PrefixTokens, q.PromptTokens)
		ms = float64(tokens)/m.TokensPerMS + float64(max(outputTokens, 1))*m.StepMS/float64(max(slots, 1))
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// retryAfter returns the delay after which a refused request should be retried: when
// the requests ahead of it are expected to be done, but no sooner than a fraction of
// the objective, since an immediate retry meets the same queue. jitter, from 0 to 1,
// keeps refused requests from returning all at once.
func retryAfter(q *Query, delay time.Duration, jitter float64) time.Duration {
	wait := max(delay, time.Duration(minRetryFraction*float64(q.Objective)))
	wait = time.Duration((1 - retryJitter/2 + retryJitter*jitter) * float64(wait))
	return min(wait, time.Duration(float64(max(q.Remaining, q.CallerRemaining))*maxRetryFraction))
}

// bestTarget chooses the target with the least expected delay, and the target from
// which it copies the shared prefix. Targets that have the prefix cached are
// preferred to those that would have to prefill or copy it. The choice names no
// target if none accepts a request.
func bestTarget(q *Query, targets []TargetView, m *LatencyModel) Choice {
	if !q.LocalAllowed {
		return Choice{}
	}
	best, bestCost := Choice{}, time.Duration(0)
	owner, holder := PrefixOwner(q.PrefixKey, targets), lastCached(targets)
	source, sourceCost := holder, fetchCost
	if holder == "" {
		source, sourceCost = owner, time.Duration(speculativeFetchCost*float64(prefillTime(q, m)))
	}
	crowded := q.Windowed || q.Crowded
	var mean TargetView
	if crowded {
		mean = meanLoad(targets)
	}
	for i := range targets {
		t := &targets[i]
		view := *t
		byOwn := crowded && (!t.Engine || q.PrefixKey == "")
		if byOwn {
			view.Running, view.PendingTokens = mean.Running, mean.PendingTokens
			view.Full = t.Full && (!t.AtCapacity || t.WarmingUp) || !q.Windowed && mean.Running >= t.Capacity
			if q.Windowed {
				view.Running = min(view.Running, t.Slots)
			}
		}
		if view.Full || q.Waited > 0 && t.Engine && !q.Windowed && view.Running >= t.Slots-t.Slots/waitingDivisor {
			continue
		}
		// While no target is known to have the prefix cached, the prefix owner counts
		// as having it, so that all instances let the owner prefill it.
		view.Cached = t.Cached || holder == "" && t.ID == owner
		fetch := source != "" && m.FetchTokensPerMS > 0 && !view.Cached
		delay := m.Delay(q, &view, fetch)
		cost := delay
		switch {
		case fetch:
			cost += sourceCost
		case q.PrefixKey != "" && !view.Cached:
			cost += time.Duration(cachedBonus * float64(prefillTime(q, m)))
		}
		if byOwn {
			// A target that is slow or has an unanswered request has the larger delay.
			cost = time.Duration(float64(delay) * (1 + float64(t.Own) + tieBreak(q, i)))
		}
		if best.Target == "" || cost < bestCost {
			best, bestCost = Choice{Target: t.ID, Cached: view.Cached && q.PrefixKey != "", WarmingUp: t.WarmingUp, Leaving: t.Leaving, Delay: delay}, cost
			if fetch {
				best.FetchFrom = source
			}
		}
	}
	return best
}

// tieBreak returns a number from 0 to 1 that differs between requests and targets.
func tieBreak(q *Query, target int) float64 {
	x := math.Float64bits(q.Jitter) + uint64(target+1)*0x9e3779b97f4a7c15 // the mixing function of SplitMix64
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// lastCached returns the target that has used the shared prefix most recently;
// empty if none is known to have it cached.
func lastCached(targets []TargetView) string {
	var last *TargetView
	for i := range targets {
		if t := &targets[i]; t.Cached && (last == nil || t.CacheUsedAt.After(last.CacheUsedAt)) {
			last = t
		}
	}
	if last == nil {
		return ""
	}
	return last.ID
}

// PrefixOwner returns the target that all instances prefer for a shared prefix. It
// is chosen by rendezvous hashing, so that adding or removing a target moves only
// the prefixes of that target.
func PrefixOwner(key string, targets []TargetView) string {
	if key == "" {
		return ""
	}
	owner, highest := "", uint64(0)
	for i := range targets {
		if score := rendezvous.Score(key, targets[i].ID); owner == "" || score > highest {
			owner, highest = targets[i].ID, score
		}
	}
	return owner
}

// meanLoad returns the mean load of targets.
func meanLoad(targets []TargetView) (mean TargetView) {
	for i := range targets {
		mean.Running, mean.PendingTokens = mean.Running+targets[i].Running, mean.PendingTokens+targets[i].PendingTokens
	}
	n := max(len(targets), 1)
	mean.Running, mean.PendingTokens = mean.Running/n, mean.PendingTokens/n
	return mean
}

// Crowded reports whether targets have so many requests that Query.Crowded should be
// set.
func Crowded(targets []TargetView) bool {
	running, slots := Load(targets)
	return float64(running) >= crowdedFraction*float64(slots)
}

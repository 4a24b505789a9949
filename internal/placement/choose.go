package placement

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/rendezvous"
)

const (
	// maxDelayFraction is the fraction of the objective above which the expected
	// delay causes a refusal: a request that would be late takes capacity from
	// those that can still meet the objective.
	maxDelayFraction = 0.8
	// concurrentPrompts is the number of prompts like that of a less urgent request for
	// which a target must leave time: that of the request, and those that other instances
	// place before they hear of it.
	concurrentPrompts = 2
	// minUrgentDelay is the fraction of UrgentObjective up to which the expected delay of
	// a more urgent request keeps no request away from a target, and idleDelayFactor the
	// multiple of the delay that it has without load at the usual speed: a target that
	// only decodes is open to every request. Without them the longest prompts, which alone take longer
	// than the objective of urgent requests, would never be served.
	minUrgentDelay  = 0.1
	idleDelayFactor = 2
	// ownTimeMargin is the delay beyond its own time that a request may have even if the
	// sum exceeds maxDelayFraction, as a fraction of the objective: some prompts take
	// longer than the objective, but their callers wait for them.
	ownTimeMargin = 0.2
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

// ReasonLeftToUrgent is the reason of a refusal if only targets that are left to more
// urgent requests would take the request.
const ReasonLeftToUrgent = "no place that leaves time for more urgent requests"

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
	// Engine is set if the targets of the service are engines.
	Engine bool
	// UrgentObjective is the least objective among the more urgent requests of the
	// service; 0 if there are none.
	UrgentObjective time.Duration
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// Jitter is a random number from 0 to 1 that differs between requests.
	Jitter float64
	// LocalAllowed is false if residency rules forbid the local region.
	LocalAllowed bool
}

// TargetView is the estimated state of a target of the local region.
type TargetView struct {
	ID      string
	Running int
	Slots   int
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
	// WarmingUp is set if the target may be warming up.
	WarmingUp bool
	// Leaving is set if the target said that it leaves, and there is no other one.
	Leaving bool
}

// Choice is a placement decision: a target, another region, or a refusal with the
// time after which capacity is expected.
type Choice struct {
	Target, Region string
	// FetchFrom is a target from which Target can copy the shared prefix instead of
	// prefilling it; empty if Target has it cached or there is no source.
	FetchFrom string
	// Cached is set if Target is estimated to have the shared prefix cached. Presumed is
	// set if no target is known to have it, so that the prefix owner, at which Target has
	// it cached or from which it copies it, may have to prefill it first.
	Cached, Presumed bool
	// WarmingUp is set if Target may be warming up, and Leaving if it is leaving.
	WarmingUp, Leaving bool
	// Delay is the expected time to the first byte.
	Delay time.Duration
	// RetryAfter is only set if Target and Region are empty.
	RetryAfter time.Duration
	Reason     string
}

// Choose returns where the request should run.
func Choose(q *Query, targets []TargetView, regions []RegionView, m *LatencyModel) Choice {
	if r := prefixOwnerRegion(q, targets, regions, m); r != nil {
		return Choice{Region: r.Name, Delay: r.Delay + r.RoundTrip, Reason: "region of the prefix owner"}
	}
	local, localOwn := bestTarget(q, targets, m)
	if local.Target != "" && !local.Leaving && local.Delay <= time.Duration(localDelayFraction*float64(q.Objective)) {
		local.Reason = "own region has room"
		return local
	}
	if remote := bestRegion(q, regions, m); remote != nil {
		own := promptTime(q, q.PromptTokens, m)
		remoteDelay := remote.Delay + remote.RoundTrip + own
		if remoteDelay <= delayLimit(q, own) && (local.Target == "" || local.Leaving || remoteDelay+remoteMargin < local.Delay) {
			return Choice{Region: remote.Name, Delay: remoteDelay, Reason: "other region is faster"}
		}
	}
	if local.Target != "" && local.Delay <= delayLimit(q, localOwn) {
		local.Reason = "own region is no worse"
		return local
	}
	reason := "no place in time"
	if local.Target == "" && local.Delay > 0 {
		reason = ReasonLeftToUrgent
	}
	return Choice{Delay: local.Delay, RetryAfter: retryAfter(q, local.Delay, q.Jitter), Reason: reason}
}

// delayLimit returns the expected delay above which a request is refused whose prompt
// takes own.
func delayLimit(q *Query, own time.Duration) time.Duration {
	limit := max(time.Duration(maxDelayFraction*float64(q.Objective)), own+time.Duration(ownTimeMargin*float64(q.Objective)))
	return min(limit, q.Remaining)
}

// leavesTimeForUrgent reports whether more urgent requests are still served in time where
// they have to expect delay, if a request of q whose prompt takes own runs there. Without
// it, requests with a long objective fill the targets while urgent ones with a short
// objective are refused.
func leavesTimeForUrgent(q *Query, delay, own time.Duration, m *LatencyModel) bool {
	if q.UrgentObjective <= 0 {
		return true
	}
	idle := TargetView{Engine: q.Engine, Slots: 1, Slowdown: 1}
	limit := time.Duration(maxDelayFraction*float64(q.UrgentObjective)) - concurrentPrompts*own
	return delay <= max(limit, time.Duration(minUrgentDelay*float64(q.UrgentObjective)), idleDelayFactor*m.Delay(&Query{}, &idle, false))
}

// unprefilled returns the number of prompt tokens that a target has to prefill. has is
// set if it has the shared prefix cached or copies it.
func unprefilled(q *Query, has bool) int {
	if has {
		return q.PromptTokens - min(q.PrefixTokens, q.PromptTokens)
	}
	return q.PromptTokens
}

// promptTime returns the time to prefill tokens; 0 at plain services.
func promptTime(q *Query, tokens int, m *LatencyModel) time.Duration {
	if !q.Engine {
		return 0
	}
	return time.Duration(float64(tokens) / m.TokensPerMS * float64(time.Millisecond))
}

// retryAfter returns the delay after which a refused request should be retried: when
// the requests ahead of it are expected to be done, but no sooner than a fraction of
// the objective, since an immediate retry meets the same queue. jitter, from 0 to 1,
// keeps refused requests from returning all at once.
func retryAfter(q *Query, delay time.Duration, jitter float64) time.Duration {
	wait := max(delay, time.Duration(minRetryFraction*float64(q.Objective)))
	wait = time.Duration((1 - retryJitter/2 + retryJitter*jitter) * float64(wait))
	return min(wait, time.Duration(float64(q.Remaining)*maxRetryFraction))
}

// bestTarget chooses the target with the least expected delay, and the target from
// which it copies the shared prefix. Targets that have the prefix cached are
// preferred to those that would have to prefill or copy it. The choice names no
// target if none accepts a request; its delay is then that of the best target that is
// left to more urgent requests. own is the time that the prompt takes at the target.
func bestTarget(q *Query, targets []TargetView, m *LatencyModel) (best Choice, own time.Duration) {
	if !q.LocalAllowed {
		return Choice{}, 0
	}
	var bestCost, leftToUrgent time.Duration
	owner, holder := PrefixOwner(q.PrefixKey, targets), lastCached(targets)
	source, sourceCost := holder, fetchCost
	if holder == "" {
		source, sourceCost = owner, time.Duration(speculativeFetchCost*float64(prefillTime(q, m)))
	}
	for i := range targets {
		t := &targets[i]
		if t.Full {
			continue
		}
		view := *t
		// While no target is known to have the prefix cached, the prefix owner counts
		// as having it, so that all instances let the owner prefill it.
		view.Cached = t.Cached || holder == "" && t.ID == owner
		fetch := source != "" && m.FetchTokensPerMS > 0 && !view.Cached
		// Only what a target is known to have shortens the time: the owner prefills the
		// prefix for the first request.
		copied := fetch && holder != ""
		prompt := promptTime(q, unprefilled(q, t.Cached || copied), m)
		delay := m.Delay(q, t, copied)
		if !leavesTimeForUrgent(q, m.Delay(&Query{}, t, false), prompt, m) {
			if leftToUrgent == 0 || delay < leftToUrgent {
				leftToUrgent = delay
			}
			continue
		}
		cost := m.Delay(q, &view, fetch)
		switch {
		case fetch:
			cost += sourceCost
		case q.PrefixKey != "" && !view.Cached:
			cost += time.Duration(cachedBonus * float64(prefillTime(q, m)))
		}
		if best.Target == "" || cost < bestCost {
			best, bestCost, own = Choice{
				Target: t.ID, Cached: view.Cached && q.PrefixKey != "", Presumed: q.PrefixKey != "" && holder == "",
				WarmingUp: t.WarmingUp, Leaving: t.Leaving, Delay: delay,
			}, cost, prompt
			if fetch {
				best.FetchFrom = source
			}
		}
	}
	if best.Target == "" {
		best.Delay = leftToUrgent
	}
	return best, own
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

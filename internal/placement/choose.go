package placement

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/rendezvous"
)

const (
	// firstEventSteps is the approximate number of decoding steps before the first
	// event of a new request arrives: an event of a stream may contain several tokens.
	firstEventSteps = 5
	// maxDelayFraction is the fraction of the objective above which the expected
	// delay causes a refusal: a request that would be late takes capacity from
	// those that can still meet the objective.
	maxDelayFraction = 0.8
	// oldestWaitFraction times the wait of the oldest request at a target is the
	// least delay expected for a new one.
	oldestWaitFraction = 0.7
	// localDelayFraction is the fraction of the objective up to which the local
	// region is chosen without considering others.
	localDelayFraction = 0.45
	// remoteMargin is how much less the delay of another region must be than that
	// of the local one.
	remoteMargin = 150 * time.Millisecond
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
	// ownerDelayFraction is the fraction of the objective up to which a request goes
	// to the prefix owner region.
	ownerDelayFraction = 0.5
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

// RegionView is the reported state of another region.
type RegionView struct {
	Name string
	// Delay is the delay that its instances expect at their best target; FreeSlots
	// is the number of further requests that its targets can take.
	Delay     time.Duration
	FreeSlots int
	// RoundTrip is the network round-trip time to the region.
	RoundTrip time.Duration
}

// Choice is a placement decision: a target, another region, or a refusal with the
// time after which capacity is expected.
type Choice struct {
	Target, Region string
	// FetchFrom is a target from which Target can copy the shared prefix instead of
	// prefilling it; empty if Target has it cached or there is no source.
	FetchFrom string
	// Cached is set if Target is estimated to have the shared prefix cached.
	Cached bool
	// WarmingUp is set if Target may be warming up, and Leaving if it is leaving.
	WarmingUp, Leaving bool
	// Delay is the expected time to the first byte.
	Delay time.Duration
	// RetryAfter is only set if Target and Region are empty.
	RetryAfter time.Duration
	Reason     string
}

// LatencyModel holds the expected times of a service's targets.
type LatencyModel struct {
	// TokensPerMS is the prefill speed.
	TokensPerMS float64
	// StepMS is the time of a decoding step, and StepPerRequestMS what each request
	// in the batch adds to it.
	StepMS, StepPerRequestMS float64
	// ServiceTimeMS is the processing time of one request at a plain service.
	ServiceTimeMS float64
	// FetchTokensPerMS is the speed at which a target copies prompt parts from
	// another target; 0 if it cannot.
	FetchTokensPerMS float64
}

// Delay returns the expected time to the first byte at t. fetch is set if t copies
// the shared prefix from another target.
func (m *LatencyModel) Delay(q *Query, t *TargetView, fetch bool) time.Duration {
	var ms float64
	if t.Engine {
		tokens := q.PromptTokens + t.PendingTokens
		switch shared := min(q.PrefixTokens, q.PromptTokens); {
		case t.Cached:
			tokens -= shared
		case fetch:
			tokens -= shared
			ms += float64(shared) / m.FetchTokensPerMS
		}
		ms += float64(tokens)/m.TokensPerMS + firstEventSteps*(m.StepMS+m.StepPerRequestMS*float64(min(t.Running, t.Slots)))
		if ahead := t.Running + 1 - t.Slots; ahead > 0 {
			ms += float64(ahead) * float64(t.HoldTime.Milliseconds()) / float64(max(t.Slots, 1))
		}
	} else {
		queued := max(t.Running+1-t.Slots, 0)
		ms = m.ServiceTimeMS * (1 + float64(queued)/float64(max(t.Slots, 1)))
		// Targets slow down slightly with each running request. The term also
		// distributes light load over the targets.
		ms += 0.2 * m.ServiceTimeMS * float64(t.Running) / float64(max(t.Slots, 1))
	}
	return max(time.Duration(ms*max(t.Slowdown, 0.05)*float64(time.Millisecond)), time.Duration(oldestWaitFraction*float64(t.OldestWait)))
}

// Choose returns where the request should run.
func Choose(q *Query, targets []TargetView, regions []RegionView, m *LatencyModel) Choice {
	if r := prefixOwnerRegion(q, targets, regions); r != nil {
		return Choice{Region: r.Name, Delay: r.Delay + r.RoundTrip, Reason: "region of the prefix owner"}
	}
	local := bestTarget(q, targets, m)
	if local.Target != "" && !local.Leaving && local.Delay <= time.Duration(localDelayFraction*float64(q.Objective)) {
		local.Reason = "own region has room"
		return local
	}
	remote := bestRegion(regions)
	limit := min(time.Duration(maxDelayFraction*float64(q.Objective)), q.Remaining)
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
	return Choice{Delay: local.Delay, RetryAfter: retryAfter(q, local.Delay, q.Jitter), Reason: "no place in time"}
}

// prefixOwnerRegion returns the region of the prefix owner if it has free slots and
// an acceptable delay, and if no local target that may be used has the prefix cached.
func prefixOwnerRegion(q *Query, targets []TargetView, regions []RegionView) *RegionView {
	if q.PrefixOwnerRegion == "" {
		return nil
	}
	for i := range targets {
		if targets[i].Cached && !targets[i].Full && q.LocalAllowed {
			return nil
		}
	}
	for i := range regions {
		r := &regions[i]
		if r.Name == q.PrefixOwnerRegion && r.FreeSlots > 0 && r.Delay+r.RoundTrip < time.Duration(ownerDelayFraction*float64(q.Objective)) {
			return r
		}
	}
	return nil
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
		delay := m.Delay(q, &view, fetch)
		cost := delay
		switch {
		case fetch:
			cost += sourceCost
		case q.PrefixKey != "" && !view.Cached:
			cost += time.Duration(cachedBonus * float64(prefillTime(q, m)))
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

// prefillTime returns the time to prefill the shared prefix.
func prefillTime(q *Query, m *LatencyModel) time.Duration {
	return time.Duration(float64(q.PrefixTokens) / m.TokensPerMS * float64(time.Millisecond))
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

func bestRegion(regions []RegionView) *RegionView {
	var best *RegionView
	for i := range regions {
		r := &regions[i]
		if r.FreeSlots > 0 && (best == nil || r.Delay+r.RoundTrip < best.Delay+best.RoundTrip) {
			best = r
		}
	}
	return best
}

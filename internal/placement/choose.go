package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// eventTokens is the batch of tokens between two looks at the first event: a
	// new request waits about that many steps.
	eventTokens = 5
	// lateFactor is the part of the objective that the expected delay may reach
	// before a request is refused: a request that would be late takes capacity
	// from those that can still be on time.
	lateFactor = 0.8
	// oldestPart is the part of the wait of the oldest request at a target that a
	// new one expects at least.
	oldestPart = 0.7
	// comfort is the part of the objective up to which the own region is taken
	// without a look at others.
	comfort = 0.45
	// awayMargin is what another region must gain over the own one.
	awayMargin = 150 * time.Millisecond
	// homeBonus is the delay that a target with the shared parts may cost more
	// than one without, as a part of the time that reading them takes there. It is
	// the hysteresis of homes.
	homeBonus = 0.9
	// comeBackPart is the least advice when to come back, as a part of the
	// objective; comeBackSpread is how far advice for the same delay differs, as a
	// part of it; comeBackMost is the part of the time left that clients accept,
	// which is a third, with a reserve.
	comeBackPart   = 0.25
	comeBackSpread = 0.6
	comeBackMost   = 0.3
	// homeComfort is the part of the objective up to which a request goes to the
	// region of the home of its shared parts.
	homeComfort = 0.5
	// fetchCost is the delay that a target with the shared parts may cost more
	// than one that can fetch them: a fetch takes a few milliseconds, but the
	// memory moved is paid for and displaces other parts.
	fetchCost = 60 * time.Millisecond
	// copyRisk replaces fetchCost where no target is known to have the parts, as a
	// part of the time that reading them takes: the home may not have them yet.
	copyRisk = 0.6
)

// Query is what a choice depends on.
type Query struct {
	PromptTokens int
	// PrefixTokens are the tokens of the parts that other requests share, and
	// SharedKey names them; 0 and "" for none.
	PrefixTokens int
	PrefixKey    string
	// PrefixOwnerRegion is the region with the home of the shared parts among the
	// targets of all regions; empty if there is none.
	PrefixOwnerRegion string
	Objective         time.Duration
	// Remaining is the time that the caller still waits.
	Remaining time.Duration
	// Jitter is a random number from 0 to 1 that differs between requests.
	Jitter float64
	// LocalAllowed is false if residency forbids the own region.
	LocalAllowed bool
}

// TargetView is the view of a target of the own region.
type TargetView struct {
	ID      string
	Running int
	Slots   int
	// Capacity is how many requests it may hold, those that wait there included.
	Capacity int
	Engine   bool
	// PendingTokens are prompt tokens at the target that are probably not read.
	PendingTokens int
	// Cached is true if the shared parts are believed to be in its memory, and
	// CachedAt is when they were last used there.
	Cached      bool
	CacheUsedAt time.Time
	// OldestWait is how long a request has waited there for its first byte.
	OldestWait time.Duration
	// HoldTime is how long a request usually occupies a place of the batch.
	HoldTime time.Duration
	// Slowdown is the time of the target relative to the usual one; 1 is usual.
	Slowdown float64
	// Full is set if the target takes no request now: cold and at its rate, at
	// its connections, or its batch is full.
	Full bool
}

// RegionView is the view of another region.
type RegionView struct {
	Name string
	// Delay is the delay that its instances expect on their best target; Free
	// the requests that fit there.
	Delay     time.Duration
	FreeSlots int
	// RoundTrip to the region.
	RoundTrip time.Duration
}

// Choice is a decision: a target, or a region, or a refusal with the time after
// which capacity is expected.
type Choice struct {
	Target, Region string
	// FetchFrom is a target from which Target can copy the shared parts instead
	// of reading them; empty if it has them or none is known to.
	FetchFrom string
	// Cached is set if Target is believed to have the shared parts.
	Cached bool
	// Delay is the expected time to the first byte.
	Delay time.Duration
	// RetryAfter is set if neither Target nor Region is.
	RetryAfter time.Duration
	Reason     string
}

// LatencyModel holds the usual times of a service's targets.
type LatencyModel struct {
	// TokensPerMS is the speed of reading prompts.
	TokensPerMS float64
	// StepMS and StepPerRequestMS are the time of a step and what each request
	// of the batch adds to it.
	StepMS, StepPerRequestMS float64
	// ServiceTimeMS is the work of one request at a plain service.
	ServiceTimeMS float64
	// FetchTokensPerMS is the speed at which a target copies parts from another
	// one; 0 if it cannot.
	FetchTokensPerMS float64
}

// Delay is the expected time to the first byte on t. fetch is set if t copies the
// shared parts from another target.
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
		ms += float64(tokens)/m.TokensPerMS + eventTokens*(m.StepMS+m.StepPerRequestMS*float64(min(t.Running, t.Slots)))
		if ahead := t.Running + 1 - t.Slots; ahead > 0 {
			ms += float64(ahead) * float64(t.HoldTime.Milliseconds()) / float64(max(t.Slots, 1))
		}
	} else {
		queued := max(t.Running+1-t.Slots, 0)
		ms = m.ServiceTimeMS * (1 + float64(queued)/float64(max(t.Slots, 1)))
		// Crowded targets are a little slower, and it spreads light load.
		ms += 0.2 * m.ServiceTimeMS * float64(t.Running) / float64(max(t.Slots, 1))
	}
	return max(time.Duration(ms*max(t.Slowdown, 0.05)*float64(time.Millisecond)), time.Duration(oldestPart*float64(t.OldestWait)))
}

// Choose returns where the request should run.
func Choose(q *Query, targets []TargetView, regions []RegionView, m *LatencyModel) Choice {
	if r := homeRegion(q, targets, regions); r != nil {
		return Choice{Region: r.Name, Delay: r.Delay + r.RoundTrip, Reason: "home of the shared parts"}
	}
	local := bestTarget(q, targets, m)
	if local.Target != "" && local.Delay <= time.Duration(comfort*float64(q.Objective)) {
		local.Reason = "own region has room"
		return local
	}
	away := bestRegion(regions)
	limit := min(time.Duration(lateFactor*float64(q.Objective)), q.Remaining)
	if away != nil {
		there := away.Delay + away.RoundTrip
		if there <= limit && (local.Target == "" || there+awayMargin < local.Delay) {
			return Choice{Region: away.Name, Delay: there, Reason: "other region is faster"}
		}
	}
	if local.Target != "" && local.Delay <= limit {
		local.Reason = "own region is no worse"
		return local
	}
	return Choice{Delay: local.Delay, RetryAfter: comeBack(q, local.Delay, q.Jitter), Reason: "no place in time"}
}

// homeRegion returns the region in which the shared parts of a request are kept
// for all regions, if it has room and the own region does not have them too.
func homeRegion(q *Query, targets []TargetView, regions []RegionView) *RegionView {
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
		if r.Name == q.PrefixOwnerRegion && r.FreeSlots > 0 && r.Delay+r.RoundTrip < time.Duration(homeComfort*float64(q.Objective)) {
			return r
		}
	}
	return nil
}

// comeBack advises when to try again: when what is ahead now is done, but not
// before a part of the objective, since those who come back at once find the same
// queue. spread, from 0 to 1, keeps the refused from coming back together.
func comeBack(q *Query, delay time.Duration, spread float64) time.Duration {
	wait := max(delay, time.Duration(comeBackPart*float64(q.Objective)))
	wait = time.Duration((1 - comeBackSpread/2 + comeBackSpread*spread) * float64(wait))
	return min(wait, time.Duration(float64(q.Remaining)*comeBackMost))
}

// bestTarget chooses the target with the least expected delay, and the one from
// which it copies the shared parts. A target that has them is preferred to others
// that would have to read or copy them. The choice names no target if none takes
// a request.
func bestTarget(q *Query, targets []TargetView, m *LatencyModel) Choice {
	if !q.LocalAllowed {
		return Choice{}
	}
	best, bestCost := Choice{}, time.Duration(0)
	home, known := PrefixOwner(q.PrefixKey, targets), lastHolder(targets)
	from, copyCost := known, fetchCost
	if known == "" {
		from, copyCost = home, time.Duration(copyRisk*float64(readTime(q, m)))
	}
	for i := range targets {
		t := &targets[i]
		if t.Full {
			continue
		}
		view := *t
		// As long as nobody has read the parts, all instances let the home read them.
		view.Cached = t.Cached || known == "" && t.ID == home
		fetch := from != "" && m.FetchTokensPerMS > 0 && !view.Cached
		d := m.Delay(q, &view, fetch)
		cost := d
		switch {
		case fetch:
			cost += copyCost
		case q.PrefixKey != "" && !view.Cached:
			cost += time.Duration(homeBonus * float64(readTime(q, m)))
		}
		if best.Target == "" || cost < bestCost {
			best, bestCost = Choice{Target: t.ID, Cached: view.Cached && q.PrefixKey != "", Delay: d}, cost
			if fetch {
				best.FetchFrom = from
			}
		}
	}
	return best
}

// readTime is the time that reading the shared parts takes.
func readTime(q *Query, m *LatencyModel) time.Duration {
	return time.Duration(float64(q.PrefixTokens) / m.TokensPerMS * float64(time.Millisecond))
}

// lastHolder returns the target that has read the shared parts last; empty if
// none is known to.
func lastHolder(targets []TargetView) string {
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

// PrefixOwner returns the target that all instances prefer for a shared part: the one
// of highest rank by rendezvous hashing, so that a target that comes or goes
// moves only its own parts.
func PrefixOwner(key string, targets []TargetView) string {
	if key == "" {
		return ""
	}
	home, top := "", uint64(0)
	for i := range targets {
		if rank := homeRank(key, targets[i].ID); home == "" || rank > top {
			home, top = targets[i].ID, rank
		}
	}
	return home
}

func homeRank(key, id string) uint64 { return xxhash.Sum64String(key + "\x00" + id) }

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

package placing

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
	lateFactor = 1.3
	// comfort is the part of the objective up to which the own region is taken
	// without a look at others.
	comfort = 0.45
	// awayMargin is what another region must gain over the own one.
	awayMargin = 150 * time.Millisecond
	// homeBonus is the delay that the home of a prompt may cost more, as a part of
	// the time that reading its shared parts takes elsewhere. It is the hysteresis
	// of homes.
	homeBonus = 0.9
)

// Query is what a choice depends on.
type Query struct {
	PromptTokens int
	// SharedTokens are the tokens of the parts that other requests share, and
	// SharedKey names them; 0 and "" for none.
	SharedTokens int
	SharedKey    string
	Objective    time.Duration
	// Left is the time that the caller still waits.
	Left time.Duration
	// AllowedHere is false if residency forbids the own region.
	AllowedHere bool
}

// Target is the view of a target of the own region.
type Target struct {
	ID      string
	Running int
	Slots   int
	Engine  bool
	// PendingTokens are prompt tokens at the target that are probably not read.
	PendingTokens int
	// Cached is true if the shared parts are believed to be in its memory.
	Cached bool
	// Pace is the time of the target relative to the usual one; 1 is usual.
	Pace float64
	// Full is set if the target takes no request now: cold and at its rate, at
	// its connections, or its batch is full.
	Full bool
}

// Region is the view of another region.
type Region struct {
	Name string
	// Delay is the delay that its instances expect on their best target; Free
	// the requests that fit there.
	Delay time.Duration
	Free  int
	// RoundTrip to the region.
	RoundTrip time.Duration
}

// Choice is a decision: a target, or a region, or a refusal with the time after
// which capacity is expected.
type Choice struct {
	Target, Region string
	// Delay is the expected time to the first byte.
	Delay time.Duration
	// RetryAfter is set if neither Target nor Region is.
	RetryAfter time.Duration
	Reason     string
}

// Model holds the usual times of a service's targets.
type Model struct {
	// TokensPerMS is the speed of reading prompts.
	TokensPerMS float64
	// StepMS and StepPerRequestMS are the time of a step and what each request
	// of the batch adds to it.
	StepMS, StepPerRequestMS float64
	// WorkMS is the work of one request at a plain service.
	WorkMS float64
}

// Delay is the expected time to the first byte on t.
func (m *Model) Delay(q *Query, t *Target) time.Duration {
	var ms float64
	if t.Engine {
		tokens := q.PromptTokens + t.PendingTokens
		if t.Cached {
			tokens -= min(q.SharedTokens, q.PromptTokens)
		}
		ms = float64(tokens)/m.TokensPerMS + eventTokens*(m.StepMS+m.StepPerRequestMS*float64(t.Running))
	} else {
		queued := max(t.Running+1-t.Slots, 0)
		ms = m.WorkMS * (1 + float64(queued)/float64(max(t.Slots, 1)))
		// Crowded targets are a little slower, and it spreads light load.
		ms += 0.2 * m.WorkMS * float64(t.Running) / float64(max(t.Slots, 1))
	}
	return time.Duration(ms * max(t.Pace, 0.05) * float64(time.Millisecond))
}

// Choose returns where the request should run.
func Choose(q *Query, targets []Target, regions []Region, m *Model) Choice {
	local, delay := bestTarget(q, targets, m)
	if local != nil && delay <= time.Duration(comfort*float64(q.Objective)) {
		return Choice{Target: local.ID, Delay: delay, Reason: "own region has room"}
	}
	away := bestRegion(regions)
	limit := min(time.Duration(lateFactor*float64(q.Objective)), q.Left)
	if away != nil {
		there := away.Delay + away.RoundTrip
		if there <= limit && (local == nil || there+awayMargin < delay) {
			return Choice{Region: away.Name, Delay: there, Reason: "other region is faster"}
		}
	}
	if local != nil && delay <= limit {
		return Choice{Target: local.ID, Delay: delay, Reason: "own region is no worse"}
	}
	return Choice{RetryAfter: comeBack(q, delay), Reason: "no place in time"}
}

// comeBack advises when to try again: when half of what is ahead now is done.
func comeBack(q *Query, delay time.Duration) time.Duration {
	return min(max(delay/2, 200*time.Millisecond), q.Left/4)
}

// bestTarget returns the target with the least expected delay; the home of the
// shared parts is preferred to others that would read them again.
func bestTarget(q *Query, targets []Target, m *Model) (best *Target, delay time.Duration) {
	if !q.AllowedHere {
		return nil, 0
	}
	bestCost := time.Duration(0)
	home := Home(q.SharedKey, targets)
	for i := range targets {
		t := &targets[i]
		if t.Full {
			continue
		}
		view := *t
		// The home reads the parts once for all instances.
		view.Cached = t.Cached || t.ID == home
		d := m.Delay(q, &view)
		cost := d
		if q.SharedKey != "" && !view.Cached {
			cost += time.Duration(homeBonus * float64(q.SharedTokens) / m.TokensPerMS * float64(time.Millisecond))
		}
		if best == nil || cost < bestCost {
			best, bestCost, delay = t, cost, d
		}
	}
	return best, delay
}

// Home returns the target that all instances prefer for a shared part: the one
// of highest rank by rendezvous hashing, so that a target that comes or goes
// moves only its own parts.
func Home(key string, targets []Target) string {
	if key == "" {
		return ""
	}
	home, top := "", uint64(0)
	for i := range targets {
		if rank := xxhash.Sum64String(key + "\x00" + targets[i].ID); home == "" || rank > top {
			home, top = targets[i].ID, rank
		}
	}
	return home
}

func bestRegion(regions []Region) *Region {
	var best *Region
	for i := range regions {
		r := &regions[i]
		if r.Free > 0 && (best == nil || r.Delay+r.RoundTrip < best.Delay+best.RoundTrip) {
			best = r
		}
	}
	return best
}

package routing

import (
	"slices"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

const (
	// prefillRate is the prompt tokens per second assumed for a target. Only the
	// ratio to the other figures matters, as it is the same for all targets.
	prefillRate = 8000.0
	// meanPrompt is assumed for requests queued at a target, whose size the load
	// report does not tell.
	meanPrompt = 1000.0
	// spreadSeconds is what a full batch is worth, weighed by WorstTeamWeight: who
	// is sent to a crowded target waits for everyone there.
	spreadSeconds = 0.2
	// ownSeconds makes instances prefer different targets, all else being equal.
	// What an instance sent itself it knows at once, what others sent it learns
	// from late reports; so requests of different instances should rarely meet.
	ownSeconds = 0.05
	// grantSeconds is the usual time to obtain a slot that the instance does not
	// hold: one renewal.
	grantSeconds = 0.05
	// fullSeconds is added for a target that seems full, so that it comes after
	// those with room.
	fullSeconds = 0.5
	// awaySeconds is the waiting time that one unit of SentAwayWeight is worth.
	// A short queue is enough to keep the slots of the own region in use; a
	// longer one makes callers wait without keeping more requests here.
	awaySeconds = 4.0
	// queueGain is how many seconds of waiting by others a second in the own queue
	// stands for: a request that stays delays all that arrive until the queue is
	// empty again. Without it the queue grows to where the one request's own wait
	// outweighs the hop, which sends no fewer requests away.
	queueGain = 16.0
	// leastHold and mostHold bound the factor for the slot time of a request.
	leastHold, mostHold = 0.25, 4
	// costSeconds is the waiting time that one unit of link cost is worth.
	costSeconds = 0.5
	// startFactor and startSeconds are the hysteresis: a region is only used if
	// the own region costs that much more; once used, it is enough that the own
	// region costs more.
	startFactor  = 1.25
	startSeconds = 0.1
	// linkFull is the link load from which no request is sent over it.
	linkFull = 0.9
	// refusalPart is the part of the policy's queue wait from which a request is
	// sent away whatever the weights say, since a refusal is worse than a hop.
	refusalPart = 0.5
)

// candidate is a target or a region with its score in weighted seconds.
type candidate struct {
	target *TargetView
	region *RegionView
	score  float64
	tie    uint64
}

// Choose returns where the request should run. It is pure.
func Choose(q Query, v View, p config.Policy) Choice {
	w := weigh(p)
	var c Choice
	var log reasons
	log.grow(len(v.Targets) + 2*len(v.Regions) + 1)
	local := locals(q, &v, w, &log)
	remote := remotes(q, &v, p, w, &log)
	switch r := best(remote); {
	case len(local) == 0 && r != nil:
		c.Region = r.region.Region
	case len(local) > 0 && r != nil && v.LocalWait > 0 && away(q, local[0], r, &v, w, p, &log):
		c.Region = r.region.Region
	default:
		c.Targets = make([]string, len(local))
		for i := range local {
			c.Targets[i] = local[i].target.Target.Name
		}
	}
	if v.LocalWait > 0 || len(local) == 0 {
		for i := range remote {
			if r := remote[i].region; r.FreeSlots <= 0 || r.Stale {
				c.RefreshRegions = append(c.RefreshRegions, remote[i].region.Region)
			}
		}
	}
	c.check(q, &v)
	c.Reasons = log.lines()
	return c
}

// check asserts that the choice keeps the residency rule and that a forwarded
// request is not forwarded again.
func (c *Choice) check(q Query, v *View) {
	home := len(c.Targets) == 0 || q.AllowedRegions[v.Region]
	if home && len(c.Targets) > 0 {
		allowed := make(map[string]bool, len(v.Targets))
		for i := range v.Targets {
			t := v.Targets[i].Target
			allowed[t.Name] = q.AllowedRegions[t.Region]
		}
		for _, name := range c.Targets {
			home = home && allowed[name]
		}
	}
	hop := c.Region == "" || q.AllowedRegions[c.Region] && !q.LocalOnly
	if !home || !hop {
		c.Targets, c.Region, c.Breach = nil, "", true
	}
}

// weights are those of the policy, all 1 if the policy sets none.
type weights struct{ cost, away, latency, worst float64 }

func weigh(p config.Policy) weights {
	w := weights{p.CostWeight, p.SentAwayWeight, p.LatencyWeight, p.WorstTeamWeight}
	if w.cost+w.away+w.latency+w.worst <= 0 {
		return weights{1, 1, 1, 1}
	}
	// Without any weight on them, waiting and crowding would cost nothing at all.
	w.latency, w.worst = max(w.latency, 0.1), max(w.worst, 0.1)
	return w
}

// locals returns the acceptable targets of the own region, best first.
func locals(q Query, v *View, w weights, log *reasons) []candidate {
	if !q.AllowedRegions[v.Region] {
		log.add(v.Region, "not allowed by residency")
		return nil
	}
	out := make([]candidate, 0, len(v.Targets))
	for i := range v.Targets {
		t := &v.Targets[i]
		switch {
		case !serves(t.Target, q):
			continue
		case t.Target.Region != v.Region:
			log.add(t.Target.Name, "in another region")
		case !t.Live:
			log.add(t.Target.Name, "leaving or suspected")
		case q.Exclude[t.Target.Name]:
			log.add(t.Target.Name, "failed before")
		default:
			s := targetScore(q, t, w) + w.latency*ownSeconds*part(v.InstanceSeed^uint64(i))
			log.target(t, s)
			out = append(out, candidate{target: t, score: s, tie: mix(v.TieSeed + uint64(i))})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		switch {
		case a.score != b.score:
			return sign(a.score < b.score)
		case a.tie != b.tie:
			return sign(a.tie < b.tie)
		}
		return 0
	})
	return out
}

func sign(less bool) int {
	if less {
		return -1
	}
	return 1
}

func serves(t *config.Target, q Query) bool {
	if q.Model != "" {
		return t.Kind == config.Engine && t.Models[q.Model]
	}
	return t.Kind == config.Plain && t.Service == q.Service
}

// targetScore weighs the time to the first token and the work of the target.
func targetScore(q Query, t *TargetView, w weights) float64 {
	prefill := float64(max(q.PromptTokens-t.CachedTokens, 0)) / prefillRate
	busy := float64(t.Running) / float64(max(t.Target.Capacity, 1))
	latency := float64(t.PendingTokens)/prefillRate + prefill
	if t.FreeSlots <= 0 {
		switch {
		case busy >= 1:
			latency += fullSeconds
		case t.FreeSlots == 0:
			latency += grantSeconds
		}
	}
	return w.latency*latency + w.cost*prefill + w.worst*min(busy, 1)*spreadSeconds
}

// remotes returns the regions to which the request may be sent.
func remotes(q Query, v *View, p config.Policy, w weights, log *reasons) []candidate {
	if q.LocalOnly {
		return nil
	}
	var out []candidate
	for i := range v.Regions {
		r := &v.Regions[i]
		switch {
		case r.Region == v.Region:
		case !q.AllowedRegions[r.Region]:
			log.add(r.Region, "not allowed by residency")
		case q.Exclude[r.Region]:
			log.add(r.Region, "failed before")
		case !r.Reachable:
			log.add(r.Region, "not reachable")
		case r.Capacity <= 0:
			log.add(r.Region, "no target for the request")
		case p.HopSlots > 0 && r.InFlight >= p.HopSlots:
			log.add(r.Region, "hop slots used up")
		default:
			out = append(out, candidate{region: r, score: regionScore(q, r, w), tie: mix(v.TieSeed ^ uint64(i))})
		}
	}
	return out
}

// regionScore weighs the hop. Nothing is known about caches there, so the whole
// prompt counts as not cached.
func regionScore(q Query, r *RegionView, w weights) float64 {
	prefill := float64(q.PromptTokens) / prefillRate
	latency, cost := prefill, 0.0
	if r.Link != nil {
		bytes := float64(q.PromptTokens+q.OutputTokens) * tokenBytes
		left := max(1-r.LinkLoad, 1-linkFull)
		latency += 2 * r.Link.Delay.Seconds()
		if r.Link.Bandwidth > 0 {
			latency += bytes * 8 / (r.Link.Bandwidth * left)
		}
		cost = r.Link.Cost * bytes / 1e9
	}
	return w.latency*latency + w.cost*(prefill+cost*costSeconds) + w.away*awaySeconds
}

// best returns the cheapest region that can take a request now.
func best(remote []candidate) *candidate {
	var out *candidate
	for i := range remote {
		c := &remote[i]
		if out == nil || c.open() && !out.open() || c.open() == out.open() && c.better(out) {
			out = c
		}
	}
	return out
}

func (c *candidate) better(o *candidate) bool {
	return c.score < o.score || c.score == o.score && c.tie < o.tie
}

// open reports whether the region has room and the link budget allows a hop.
func (c *candidate) open() bool { return c.region.LinkLoad < linkFull && c.region.FreeSlots > 0 }

// away reports whether the request should leave the own region although that
// has targets: only if its queue costs more than the hop.
func away(q Query, l candidate, r *candidate, v *View, w weights, p config.Policy, log *reasons) bool {
	if !r.open() {
		log.region(r.region, r.score, "no room")
		return false
	}
	// What load reports say about room does not count here: the queue is known
	// as it is now, the reports are late.
	if l.target.FreeSlots > 0 {
		log.region(r.region, r.score, "own region has room")
		return false
	}
	// A request makes those behind it wait for as long as it holds a slot, so
	// sending a long one away relieves the queue by more than a short one.
	hold := 1.0
	if v.MeanOutput > 0 && q.OutputTokens > 0 {
		hold = min(max(float64(q.OutputTokens)/v.MeanOutput, leastHold), mostHold)
	}
	stay := l.score + w.latency*queueGain*v.LocalWait.Seconds()*hold
	if l.target.Running >= l.target.Target.Capacity {
		stay -= w.latency * fullSeconds
	}
	limit := r.score
	if !r.region.Spilling {
		limit = limit*startFactor + w.latency*startSeconds
	}
	urgent := p.QueueWait > 0 && v.LocalWait.Seconds() > refusalPart*p.QueueWait.Seconds()
	if urgent || stay > limit {
		log.region(r.region, r.score, "own queue costs more")
		return true
	}
	log.region(r.region, r.score, "own queue costs less")
	return false
}

// part is a number from 0 to 1 that depends on x only.
func part(x uint64) float64 { return float64(mix(x)>>11) / (1 << 53) }

// mix spreads the bits of x (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

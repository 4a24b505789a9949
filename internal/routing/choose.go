package routing

import (
	"slices"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

const (
	// prefillRate is the prompt processing rate assumed for every target, in tokens
	// per second. As it is the same for all targets, only its ratio to the other
	// constants matters.
	prefillRate = 8000.0
	// meanPromptTokens is the prompt size assumed for requests queued at a target;
	// the load report does not contain it.
	meanPromptTokens = 1000.0
	// fullBatchSeconds is the cost of a full batch, weighted by WorstTeamWeight: a
	// request sent to a crowded target waits for all the others there.
	fullBatchSeconds = 0.2
	// instanceBiasSeconds makes instances prefer different targets, all else being
	// equal. An instance knows its own dispatches at once but learns of those of
	// other instances from late load reports, so instances should rarely share a
	// target.
	instanceBiasSeconds = 0.05
	// slotLeaseSeconds is the usual time to obtain a slot that the instance does
	// not hold: one lease renewal.
	slotLeaseSeconds = 0.05
	// fullTargetSeconds is added for a target that seems full, so that it ranks
	// after those with room.
	fullTargetSeconds = 0.5
	// forwardSeconds is the waiting time that one unit of RemoteWeight is worth.
	// A short queue is enough to keep the slots of the local region in use; a
	// longer one makes callers wait without keeping more requests local.
	forwardSeconds = 4.0
	// queueFactor is how many seconds of waiting by other requests one second in
	// the local queue stands for: a request that stays delays all that arrive until
	// the queue is empty again. Without it the queue grows until a single request's
	// wait outweighs the hop, and no fewer requests are forwarded.
	queueFactor = 16.0
	// minHoldFactor and maxHoldFactor bound the time that a request holds a slot,
	// relative to the mean.
	minHoldFactor, maxHoldFactor = 0.25, 4
	// linkCostSeconds is the waiting time that one unit of link cost is worth.
	linkCostSeconds = 0.5
	// spillStartFactor and spillStartSeconds are the hysteresis: forwarding to a
	// region starts only if the local region costs that much more; once started,
	// it continues as long as the local region costs more at all.
	spillStartFactor  = 1.25
	spillStartSeconds = 0.1
	// maxLinkLoad is the link load from which on no request is sent over the link.
	maxLinkLoad = 0.9
	// refusalFraction is the fraction of the policy's queue wait beyond which a
	// request is forwarded regardless of the weights, because a refusal is worse
	// than a hop.
	refusalFraction = 0.5
)

// candidate is a target or a region with its score in weighted seconds; the
// lowest score is best.
type candidate struct {
	target   *TargetView
	region   *RegionView
	score    float64
	tieBreak uint64
}

// Choose returns where the request should run. It is a pure function.
func Choose(q Query, v View, p config.Policy) Choice {
	w := weightsOf(p)
	var c Choice
	var log reasonLog
	log.grow(len(v.Targets) + 2*len(v.Regions) + 1)
	local := localCandidates(q, &v, w, &log)
	remote := remoteCandidates(q, &v, p, w, &log)
	switch r := bestRegion(remote); {
	case len(local) == 0 && r != nil:
		c.Region = r.region.Region
	case len(local) > 0 && r != nil && v.LocalWait > 0 && shouldForward(q, local[0], r, &v, w, p, &log):
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

// check drops the choice and sets Breach if it violates residency or would
// forward a request a second time.
func (c *Choice) check(q Query, v *View) {
	localAllowed := len(c.Targets) == 0 || q.AllowedRegions[v.Region]
	if localAllowed && len(c.Targets) > 0 {
		allowed := make(map[string]bool, len(v.Targets))
		for i := range v.Targets {
			t := v.Targets[i].Target
			allowed[t.Name] = q.AllowedRegions[t.Region]
		}
		for _, name := range c.Targets {
			localAllowed = localAllowed && allowed[name]
		}
	}
	remoteAllowed := c.Region == "" || q.AllowedRegions[c.Region] && !q.LocalOnly
	if !localAllowed || !remoteAllowed {
		c.Targets, c.Region, c.Breach = nil, "", true
	}
}

// weights are the weights of the policy, or all 1 if the policy sets none.
type weights struct{ cost, remote, latency, worstTeam float64 }

func weightsOf(p config.Policy) weights {
	w := weights{p.CostWeight, p.RemoteWeight, p.LatencyWeight, p.WorstTeamWeight}
	if w.cost+w.remote+w.latency+w.worstTeam <= 0 {
		return weights{1, 1, 1, 1}
	}
	// With a weight of 0, waiting or crowding would cost nothing at all.
	w.latency, w.worstTeam = max(w.latency, 0.1), max(w.worstTeam, 0.1)
	return w
}

// localCandidates returns the eligible targets of the local region, best first.
func localCandidates(q Query, v *View, w weights, log *reasonLog) []candidate {
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
			score := targetScore(q, t, w) + w.latency*instanceBiasSeconds*unitFloat(v.InstanceSeed^uint64(i))
			log.target(t, score)
			out = append(out, candidate{target: t, score: score, tieBreak: splitmix64(v.TieSeed + uint64(i))})
		}
	}
	slices.SortFunc(out, func(a, b candidate) int {
		switch {
		case a.score != b.score:
			return sortOrder(a.score < b.score)
		case a.tieBreak != b.tieBreak:
			return sortOrder(a.tieBreak < b.tieBreak)
		}
		return 0
	})
	return out
}

// sortOrder returns the result of a comparison function for unequal elements.
func sortOrder(less bool) int {
	if less {
		return -1
	}
	return 1
}

func serves(t *config.Target, q Query) bool {
	if q.Model != "" {
		return t.Kind == config.Engine && t.Models[q.Model]
	}
	return t.Kind == config.PlainService && t.Service == q.Service
}

// targetScore is the weighted sum of the time to the first token, the prompt
// processing work and the crowding of the target.
func targetScore(q Query, t *TargetView, w weights) float64 {
	prefill := float64(max(q.PromptTokens-t.CachedTokens, 0)) / prefillRate
	utilization := float64(t.Running) / float64(max(t.Target.Capacity, 1))
	latency := float64(t.PendingTokens)/prefillRate + prefill
	if t.FreeSlots <= 0 {
		switch {
		case utilization >= 1:
			latency += fullTargetSeconds
		case t.FreeSlots == 0:
			latency += slotLeaseSeconds
		}
	}
	return w.latency*latency + w.cost*prefill + w.worstTeam*min(utilization, 1)*fullBatchSeconds
}

// remoteCandidates returns the regions to which the request may be forwarded.
func remoteCandidates(q Query, v *View, p config.Policy, w weights, log *reasonLog) []candidate {
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
			out = append(out, candidate{region: r, score: regionScore(q, r, w), tieBreak: splitmix64(v.TieSeed ^ uint64(i))})
		}
	}
	return out
}

// regionScore is the weighted cost of forwarding the request to the region.
// Nothing is known about caches there, so the whole prompt counts as not cached.
func regionScore(q Query, r *RegionView, w weights) float64 {
	prefill := float64(q.PromptTokens) / prefillRate
	latency, cost := prefill, 0.0
	if r.Link != nil {
		bytes := float64(q.PromptTokens+q.OutputTokens) * tokenBytes
		freeFraction := max(1-r.LinkLoad, 1-maxLinkLoad)
		latency += 2 * r.Link.Delay.Seconds()
		if r.Link.Bandwidth > 0 {
			latency += bytes * 8 / (r.Link.Bandwidth * freeFraction)
		}
		cost = r.Link.Cost * bytes / 1e9
	}
	return w.latency*latency + w.cost*(prefill+cost*linkCostSeconds) + w.remote*forwardSeconds
}

// bestRegion returns the region with the lowest score, those with room first; nil
// if there is none.
func bestRegion(remote []candidate) *candidate {
	var out *candidate
	for i := range remote {
		c := &remote[i]
		if out == nil || c.hasRoom() && !out.hasRoom() || c.hasRoom() == out.hasRoom() && c.better(out) {
			out = c
		}
	}
	return out
}

func (c *candidate) better(other *candidate) bool {
	return c.score < other.score || c.score == other.score && c.tieBreak < other.tieBreak
}

// hasRoom reports whether the region has a free slot and the link budget allows
// a hop.
func (c *candidate) hasRoom() bool { return c.region.LinkLoad < maxLinkLoad && c.region.FreeSlots > 0 }

// shouldForward reports whether to forward the request although the local region
// has targets for it: only if the local queue costs more than the hop or the
// request would soon be refused.
func shouldForward(q Query, local candidate, remote *candidate, v *View, w weights, p config.Policy, log *reasonLog) bool {
	if !remote.hasRoom() {
		log.region(remote.region, remote.score, "no room")
		return false
	}
	// Room according to load reports does not count here: reports are late,
	// whereas the current queue is known.
	if local.target.FreeSlots > 0 {
		log.region(remote.region, remote.score, "own region has room")
		return false
	}
	// A request delays those behind it for as long as it holds a slot, so
	// forwarding a long one relieves the queue more than forwarding a short one.
	holdFactor := 1.0
	if v.MeanOutput > 0 && q.OutputTokens > 0 {
		holdFactor = min(max(float64(q.OutputTokens)/v.MeanOutput, minHoldFactor), maxHoldFactor)
	}
	localScore := local.score + w.latency*queueFactor*v.LocalWait.Seconds()*holdFactor
	if local.target.Running >= local.target.Target.Capacity {
		localScore -= w.latency * fullTargetSeconds
	}
	threshold := remote.score
	if !remote.region.Spilling {
		threshold = threshold*spillStartFactor + w.latency*spillStartSeconds
	}
	nearRefusal := p.MaxQueueWait > 0 && v.LocalWait.Seconds() > refusalFraction*p.MaxQueueWait.Seconds()
	if nearRefusal || localScore > threshold {
		log.region(remote.region, remote.score, "own queue costs more")
		return true
	}
	log.region(remote.region, remote.score, "own queue costs less")
	return false
}

// unitFloat hashes x to a number in [0, 1).
func unitFloat(x uint64) float64 { return float64(splitmix64(x)>>11) / (1 << 53) }

// splitmix64 is one step of the SplitMix64 generator, used as a hash function.
func splitmix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

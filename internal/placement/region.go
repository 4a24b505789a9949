package placement

import "time"

const (
	// ownerDelayFraction is the fraction of the objective up to which a request goes
	// to the prefix owner region.
	ownerDelayFraction = 0.5
	// remoteMargin is how much less the delay of another region must be than that
	// of the local one.
	remoteMargin = 150 * time.Millisecond
)

// RegionView is the reported state of another region.
type RegionView struct {
	Name string
	// Delay is the delay that its instances expect at their best target; FreeSlots
	// is the number of further requests that its targets can take.
	Delay     time.Duration
	FreeSlots int
	// PrefixTime is the part of Delay that prefilling the shared prefix takes; the
	// region of the prefix owner does not need it.
	PrefixTime time.Duration
	// RoundTrip is the network round-trip time to the region.
	RoundTrip time.Duration
}

// AddPrompt adds the time to prefill the prompt to a delay that was reported for a
// request without one.
func (r *RegionView) AddPrompt(q *Query, m *LatencyModel) {
	if q.PromptTokens <= 0 || m.TokensPerMS <= 0 {
		return
	}
	r.PrefixTime = prefillTime(q, m)
	if m.FetchTokensPerMS > 0 {
		// A target of the region may have the prefix cached, or not.
		r.PrefixTime = time.Duration(speculativeFetchCost * float64(r.PrefixTime))
	}
	rest := float64(q.PromptTokens-min(q.PrefixTokens, q.PromptTokens)) / m.TokensPerMS
	r.Delay += r.PrefixTime + time.Duration(rest*float64(time.Millisecond))
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
		r := regions[i]
		r.Delay -= r.PrefixTime
		if r.Name == q.PrefixOwnerRegion && r.FreeSlots > 0 && r.Delay+r.RoundTrip < time.Duration(ownerDelayFraction*float64(q.Objective)) {
			return &r
		}
	}
	return nil
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

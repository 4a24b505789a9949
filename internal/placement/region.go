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
	// RoundTrip is the network round-trip time to the region.
	RoundTrip time.Duration
}

// hasRoom reports whether the region takes a further request, whose prompt takes own,
// by the rules of its instances.
func (r *RegionView) hasRoom(q *Query, own time.Duration, m *LatencyModel) bool {
	return r.FreeSlots > 0 && leavesTimeForUrgent(q, r.Delay, own, m)
}

// prefixOwnerRegion returns the region of the prefix owner if it has free slots and
// an acceptable delay, and if no local target that may be used has the prefix cached.
func prefixOwnerRegion(q *Query, targets []TargetView, regions []RegionView, m *LatencyModel) *RegionView {
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
		if r.Name == q.PrefixOwnerRegion && r.hasRoom(q, promptTime(q, unprefilled(q, true), m), m) && r.Delay+r.RoundTrip < time.Duration(ownerDelayFraction*float64(q.Objective)) {
			return r
		}
	}
	return nil
}

func bestRegion(q *Query, regions []RegionView, m *LatencyModel) *RegionView {
	var best *RegionView
	for i := range regions {
		r := &regions[i]
		if r.hasRoom(q, promptTime(q, q.PromptTokens, m), m) && (best == nil || r.Delay+r.RoundTrip < best.Delay+best.RoundTrip) {
			best = r
		}
	}
	return best
}

package placement

import "slices"

const (
	// subsetFraction is the fraction of the targets of a service that an instance
	// prefers, and minSubset the least number of them.
	subsetFraction = 0.25
	minSubset      = 6
)

// markPreferred marks the targets that this instance uses first. The load that other
// instances put on a target is known only some hundred milliseconds late. If all
// instances chose among all targets, each would send to the one that was least busy
// then, so that it is overrun before the next heartbeats show that. With subsets, few
// instances share a target, and an instance's own requests are most of the load that
// it decides by.
func markPreferred(targets []TargetView) {
	n := max(int(subsetFraction*float64(len(targets))), minSubset)
	if n >= len(targets) {
		for i := range targets {
			targets[i].Preferred = true
		}
		return
	}
	var buf [128]uint64
	preferences := buf[:0]
	for i := range targets {
		preferences = append(preferences, targets[i].preference)
	}
	slices.Sort(preferences)
	least := preferences[len(preferences)-n]
	for i := range targets {
		targets[i].Preferred = targets[i].preference >= least
	}
}

package dispatch

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/routing"
)

// ownRegionPart is the part of the longest wait that a request spends on slots
// of its own region while another region is allowed; it may wait there for the
// rest.
const ownRegionPart = 2

// wait returns how long the request may wait for admission now. The first wait
// for slots here is cut short if the request could go elsewhere after it.
func (r *run) wait(longest time.Duration, p auth.Permit, targets []string) time.Duration {
	first := longest / ownRegionPart
	switch {
	case r.full != nil:
		return longest - first
	case len(targets) > 0 && r.mayLeave(p):
		return first
	}
	return longest
}

// mayLeave reports whether a region besides the own one is allowed.
func (r *run) mayLeave(p auth.Permit) bool {
	if r.hop == nil {
		return false
	}
	for region := range p.Allowed {
		if region != r.l.Instance.Region && !r.exclude[region] {
			return true
		}
	}
	return false
}

// tryElsewhere reports whether the choice should be made again because the own
// region had no slot. It happens once: if the choice then finds no other
// region, the request waits here for the rest of its time.
func (r *run) tryElsewhere(err error, p auth.Permit, choice routing.Choice) bool {
	if err == nil || len(choice.Targets) == 0 || r.full != nil || !r.mayLeave(p) {
		return false
	}
	switch result.From(err).Code {
	case result.NoSlot, result.DeadlineTooNear, result.QueueFull:
	default:
		return false
	}
	r.full = make(map[string]bool, len(choice.Targets))
	for _, target := range choice.Targets {
		r.full[target] = true
	}
	r.l.Requests.Note(r.c.ID, "no slot here", "other regions are considered: "+err.Error())
	return true
}

package dispatch

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/auth"
	"github.com/wigeonhill/wigeonhill/internal/result"
	"github.com/wigeonhill/wigeonhill/internal/routing"
)

// localWaitDivisor divides the queue wait of a request that may also run in
// another region: it waits 1/localWaitDivisor of the time for slots of the local
// region first, and may wait there for the rest if no other region takes it.
const localWaitDivisor = 2

// admissionWait returns how long the request may wait for admission now. The
// first wait for local slots is shorter if the request may go to another region
// after it.
func (r *run) admissionWait(maxWait time.Duration, p auth.Permit, targets []string) time.Duration {
	localWait := maxWait / localWaitDivisor
	switch {
	case r.fullTargets != nil:
		return maxWait - localWait
	case len(targets) > 0 && r.remoteAllowed(p):
		return localWait
	}
	return maxWait
}

// remoteAllowed reports whether a region other than the local one is allowed.
func (r *run) remoteAllowed(p auth.Permit) bool {
	if r.forwarder == nil {
		return false
	}
	for region := range p.AllowedRegions {
		if region != r.local.Instance.Region && !r.exclude[region] {
			return true
		}
	}
	return false
}

// tryRemote reports whether to choose again because the local region had no slot.
// It does so once per request: if the second choice finds no other region, the
// request waits in the local region for the rest of its time.
func (r *run) tryRemote(err error, p auth.Permit, choice routing.Choice) bool {
	if err == nil || len(choice.Targets) == 0 || r.fullTargets != nil || !r.remoteAllowed(p) {
		return false
	}
	switch result.FromError(err).Code {
	case result.NoSlot, result.DeadlineTooNear, result.QueueFull:
	default:
		return false
	}
	r.fullTargets = make(map[string]bool, len(choice.Targets))
	for _, target := range choice.Targets {
		r.fullTargets[target] = true
	}
	r.local.Requests.AddStep(r.call.ID, "no slot here", "other regions are considered: "+err.Error())
	return true
}

package placement

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

const (
	// paceGain is the weight of a new observation of a target's pace, and
	// servicePaceGain that of the pace of its service.
	paceGain        = 0.2
	servicePaceGain = 0.02
	minPace         = 0.1
	maxPace         = 10
	// paceMemory is how long a pace is trusted without a request; then it goes
	// back to that of the service, so that a target that was slow is tried again.
	paceMemory = 3 * time.Second
)

// pace is how long a target takes relative to what the model expects.
type pace struct {
	value   float64
	updated time.Time
}

func (p *pace) child() pace { return pace{value: p.value} }

func (p *pace) observe(ratio float64, now time.Time, service *pace) {
	ratio = min(max(ratio, minPace), maxPace)
	p.value, p.updated = p.at(now, service)*(1-paceGain)+ratio*paceGain, now
	service.value = service.value*(1-servicePaceGain) + min(ratio, 2*service.value)*servicePaceGain
}

// at is the pace at a time.
func (p *pace) at(now time.Time, service *pace) float64 {
	idle := now.Sub(p.updated) - paceMemory
	if p.updated.IsZero() || idle >= paceMemory {
		return service.value
	}
	if idle <= 0 {
		return p.value
	}
	part := float64(idle) / float64(paceMemory)
	return p.value*(1-part) + service.value*part
}

// cache is the belief about the shared parts in a target's memory.
type cache struct{ parts map[string]cached }

type cached struct {
	tokens int
	used   time.Time
}

// used is when a part was last used; zero if it is not there.
func (c *cache) used(key string) time.Time { return c.parts[key].used }

func (c *cache) has(key string, now time.Time) bool {
	p, ok := c.parts[key]
	return ok && key != "" && now.Sub(p.used) < cacheMemory
}

func (c *cache) drop(key string) { delete(c.parts, key) }

// add notes a use; the parts that were used least recently yield.
func (c *cache) add(part deployment.PromptPart, limit int, now time.Time) {
	if part.ID == "" {
		return
	}
	if c.parts == nil {
		c.parts = map[string]cached{}
	}
	c.parts[part.ID] = cached{part.Tokens, now}
	sum := 0
	for _, p := range c.parts {
		sum += p.tokens
	}
	for sum > limit && len(c.parts) > 1 {
		oldest := ""
		for k, p := range c.parts {
			if oldest == "" || p.used.Before(c.parts[oldest].used) {
				oldest = k
			}
		}
		sum -= c.parts[oldest].tokens
		delete(c.parts, oldest)
	}
}

// Outcome is how a request at a target ended, as far as it tells about the
// target.
type Outcome int

const (
	// Success is a whole answer, whatever its status below 500.
	Success Outcome = iota
	// Inconclusive tells nothing: the caller left, or the time was up.
	Inconclusive
	// Unreachable: no connection could be opened.
	Unreachable
	// ConnectionLost: the connection broke during the request.
	ConnectionLost
	// Failed: an answer of status 500 or more that the target made itself, or a
	// spoiled one.
	Failed
	// Unresponsive: no answer in a multiple of the usual time.
	Unresponsive
	// Rejected: the target said that it did not run the request.
	Rejected
	// AddressReused: another target has the address.
	AddressReused
)

const (
	// failGain is the weight of a new outcome in the share of failures.
	failGain = 0.15
	// failLimit is the share of failures above which a target is avoided, and
	// failMin the number of outcomes that it takes. Some requests fail at any
	// target.
	failLimit = 0.45
	failMin   = 6
	// restFirst and restMost bound the time for which a failing target is avoided.
	restFirst = 1500 * time.Millisecond
	restMost  = 6 * time.Second
	// lostInRow is the number of connections lost in a row after which a target
	// must pass a health check. One is enough if another instance avoids it.
	lostInRow = 3
	// trialRest is the pause after a failed trial; it doubles with each up to
	// trialRestMost. Health checks may pass at a target that serves nobody.
	trialRest     = 500 * time.Millisecond
	trialRestMost = 2 * time.Second
	// rejectedRest is the pause after a rejection: the target is full.
	rejectedRest = 50 * time.Millisecond
)

// health is what requests have shown about a target.
type health struct {
	failures  float64
	outcomes  int
	rest      time.Duration
	restUntil time.Time
	// down is set until a health check succeeds.
	down bool
	// trial is set from then until a request succeeds: the target gets one at a
	// time. failedTrials counts those that failed in a row.
	trial        bool
	failedTrials int
	// lost counts connections lost in a row.
	lost      int
	coldUntil time.Time
}

// note takes an outcome and reports whether the target is avoided from now on.
// witness is set if another instance avoids it too.
func (h *health) note(o Outcome, witness bool, now time.Time) (avoided bool) {
	switch o {
	case Inconclusive:
		return false
	case ConnectionLost:
		// If the target itself is gone, the next connection tells. One that loses
		// answers now and then is used on.
		if h.lost++; h.lost < lostInRow && !witness && !h.trial {
			return false
		}
		return h.takeDown(now)
	case Unreachable, AddressReused:
		return h.takeDown(now)
	case Rejected:
		h.restUntil = later(h.restUntil, now.Add(rejectedRest))
		return false
	}
	if o == Success {
		h.trial, h.failedTrials = false, 0
	}
	bad := 0.0
	if o != Success {
		bad = 1
	} else {
		h.lost = 0
	}
	h.failures += failGain * (bad - h.failures)
	h.outcomes++
	if bad == 0 && h.failures < failLimit/4 {
		h.rest = 0
	}
	if bad == 1 && h.failures > failLimit && h.outcomes >= failMin {
		h.rest = min(max(2*h.rest, restFirst), restMost)
		h.restUntil = later(h.restUntil, now.Add(h.rest))
		h.failures, h.outcomes = failLimit/2, failMin/2
		return true
	}
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (h *health) usable(now time.Time) bool { return !h.down && !now.Before(h.restUntil) }

// takeDown avoids the target until a health check succeeds, and after failed
// trials for a while whatever health checks say.
func (h *health) takeDown(now time.Time) (avoided bool) {
	avoided = !h.down
	if h.trial {
		rest := min(trialRest<<min(h.failedTrials, 8), trialRestMost)
		h.restUntil = later(h.restUntil, now.Add(rest))
		h.failedTrials++
	}
	h.down, h.trial, h.lost = true, false, 0
	return avoided
}

// regain ends the avoidance; the target may have started anew and be cold.
func (h *health) regain(now time.Time, warmup time.Duration) {
	h.down, h.trial = false, true
	h.coldUntil = later(h.coldUntil, now.Add(warmup))
}

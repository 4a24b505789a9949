package placement

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

const (
	// slowdownGain is the weight of a new sample in the moving average of a
	// target's slowdown, and serviceSlowdownGain that in the average of its service.
	// After slowdownRetention without a response the first ones have a higher weight:
	// at a large region an instance gets few responses of each target.
	slowdownGain        = 0.2
	serviceSlowdownGain = 0.02
	// maxSlowdownStep bounds the ratio of one response relative to the average so far,
	// since a lost packet or a stalled process delays one response by any time.
	maxSlowdownStep = 3
	minSlowdown     = 0.1
	maxSlowdown     = 10
	// slowdownRetention is how long a target's slowdown stays in use without a
	// request. Over the same time after that, it returns to the slowdown of the
	// service, so that a target that was slow is tried again.
	slowdownRetention = 3 * time.Second
)

// slowdown is a moving average of the measured time to first byte relative to the
// time that the latency model expects.
type slowdown struct {
	value   float64
	updated time.Time
	// recent counts the responses since the last pause of slowdownRetention.
	recent int
	// last and previous are the ratios of the two latest responses.
	last, previous float64
}

func (s *slowdown) initial() slowdown { return slowdown{value: s.value} }

func (s *slowdown) observe(ratio float64, now time.Time, service *slowdown) {
	ratio = min(max(ratio, minSlowdown), maxSlowdown)
	if now.Sub(s.updated) > slowdownRetention {
		s.recent = 0
	}
	gain, before := max(slowdownGain, 1/float64(s.recent+2)), s.at(now, service)
	s.recent = min(s.recent+1, 1/slowdownGain)
	s.last, s.previous = ratio, s.last
	s.value, s.updated = before*(1-gain)+min(ratio, maxSlowdownStep*max(before, service.value))*gain, now
	service.value = service.value*(1-serviceSlowdownGain) + min(ratio, 2*service.value)*serviceSlowdownGain
}

// at returns the slowdown at now. service is the slowdown of the target's service.
func (s *slowdown) at(now time.Time, service *slowdown) float64 {
	idle := now.Sub(s.updated) - slowdownRetention
	if s.updated.IsZero() || idle >= slowdownRetention {
		return service.value
	}
	if idle <= 0 {
		return s.value
	}
	fraction := float64(idle) / float64(slowdownRetention)
	return s.value*(1-fraction) + service.value*fraction
}

// prefixCache estimates which shared prefixes a target has in its KV cache.
type prefixCache struct{ parts map[string]cachedPart }

type cachedPart struct {
	tokens   int
	lastUsed time.Time
}

// lastUsed returns when a prefix was last used; zero if it is not cached.
func (c *prefixCache) lastUsed(key string) time.Time { return c.parts[key].lastUsed }

func (c *prefixCache) contains(key string, now time.Time) bool {
	p, ok := c.parts[key]
	return ok && key != "" && now.Sub(p.lastUsed) < cacheRetention
}

func (c *prefixCache) remove(key string) { delete(c.parts, key) }

// add records a use of part and evicts the least recently used parts while the
// cache holds more than limit tokens.
func (c *prefixCache) add(part deployment.PromptPart, limit int, now time.Time) {
	if part.ID == "" {
		return
	}
	if c.parts == nil {
		c.parts = map[string]cachedPart{}
	}
	c.parts[part.ID] = cachedPart{part.Tokens, now}
	total := 0
	for _, p := range c.parts {
		total += p.tokens
	}
	for total > limit && len(c.parts) > 1 {
		oldest := ""
		for id, p := range c.parts {
			if oldest == "" || p.lastUsed.Before(c.parts[oldest].lastUsed) {
				oldest = id
			}
		}
		total -= c.parts[oldest].tokens
		delete(c.parts, oldest)
	}
}

// Outcome is the result of an attempt, as evidence about the target's health.
type Outcome int

const (
	// Success is a complete response with any status below 500.
	Success Outcome = iota
	// Inconclusive says nothing about the target: the caller disconnected, or the
	// request timed out.
	Inconclusive
	// Unreachable means that no connection could be opened.
	Unreachable
	// Refused means that the target refused the connection: its process has ended.
	Refused
	// ConnectionLost means that the connection broke during the request.
	ConnectionLost
	// Failed is a response with status 500 or above from the target itself, or an
	// invalid response.
	Failed
	// Unresponsive means that no response came within a multiple of the usual time.
	Unresponsive
	// Rejected means that the target reported that it did not run the request.
	Rejected
	// AddressReused means that another target now has the address.
	AddressReused
)

const (
	// failureGain is the weight of a new outcome in the moving average of failures.
	failureGain = 0.15
	// maxFailureRate is the failure rate above which a target is avoided, and
	// minOutcomes the number of outcomes needed for that. Some requests fail at any
	// target.
	maxFailureRate = 0.45
	minOutcomes    = 6
	// initialBackoff and maxBackoff bound the time for which a failing target is
	// avoided. The backoff doubles each time.
	initialBackoff = 1500 * time.Millisecond
	maxBackoff     = 6 * time.Second
	// lostConnectionLimit is the number of consecutive lost connections after which
	// a target must pass a health check. One is enough if another instance avoids
	// the target too.
	lostConnectionLimit = 3
	// probeBackoff is the backoff after a failed probe request. It doubles with each
	// further failure, up to maxProbeBackoff: health checks may pass at a target that
	// fails all requests.
	probeBackoff    = 500 * time.Millisecond
	maxProbeBackoff = 2 * time.Second
	// rejectionBackoff is the backoff after a rejection, since the target is full.
	rejectionBackoff = 50 * time.Millisecond
)

// health is the state of a target as derived from the outcomes of attempts.
type health struct {
	failureRate  float64 // moving average
	outcomes     int
	backoff      time.Duration
	backoffUntil time.Time
	// down is set until a health check succeeds, and refuses in addition if the target
	// refused a connection.
	down, refuses bool
	// probing is set from the successful health check until a request succeeds.
	// Meanwhile the target gets one request at a time. failedProbes counts
	// consecutive failures of these.
	probing      bool
	failedProbes int
	// lostConnections counts consecutive lost connections.
	lostConnections int
	warmupUntil     time.Time
}

// recordOutcome updates the health and reports whether the target is avoided from
// now on. corroborated is set if another instance avoids the target too.
func (h *health) recordOutcome(o Outcome, corroborated bool, now time.Time) (avoided bool) {
	switch o {
	case Inconclusive:
		return false
	case ConnectionLost:
		// If the target itself has failed, the next connection attempt shows it. A
		// target that loses a connection occasionally stays in use.
		if h.lostConnections++; h.lostConnections < lostConnectionLimit && !corroborated && !h.probing {
			return false
		}
		return h.markDown(now)
	case Unreachable, AddressReused:
		return h.markDown(now)
	case Refused:
		h.refuses = true
		return h.markDown(now)
	case Rejected:
		h.backoffUntil = later(h.backoffUntil, now.Add(rejectionBackoff))
		return false
	}
	if o == Success {
		h.probing, h.failedProbes = false, 0
	}
	failure := 0.0
	if o != Success {
		failure = 1
	} else {
		h.lostConnections = 0
	}
	h.failureRate += failureGain * (failure - h.failureRate)
	h.outcomes++
	if failure == 0 && h.failureRate < maxFailureRate/4 {
		h.backoff = 0
	}
	if failure == 1 && h.failureRate > maxFailureRate && h.outcomes >= minOutcomes {
		h.backoff = min(max(2*h.backoff, initialBackoff), maxBackoff)
		h.backoffUntil = later(h.backoffUntil, now.Add(h.backoff))
		h.failureRate, h.outcomes = maxFailureRate/2, minOutcomes/2
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

func (h *health) usable(now time.Time) bool { return h.rule(now) == "" }

// rule returns the rule by which the target is not usable; empty if it is.
func (h *health) rule(now time.Time) Rule {
	switch {
	case h.down:
		return RuleDown
	case now.Before(h.backoffUntil):
		return RuleBackoff
	}
	return ""
}

// markDown makes the target unusable until a health check succeeds. After a failed
// probe request, a backoff applies whatever the health checks report.
func (h *health) markDown(now time.Time) (avoided bool) {
	avoided = !h.down
	if h.probing {
		backoff := min(probeBackoff<<min(h.failedProbes, 8), maxProbeBackoff)
		h.backoffUntil = later(h.backoffUntil, now.Add(backoff))
		h.failedProbes++
	}
	h.down, h.probing, h.lostConnections = true, false, 0
	return avoided
}

// markUp makes the target usable after a successful health check. The target may
// have restarted and be warming up.
func (h *health) markUp(now time.Time, warmup time.Duration) {
	h.down, h.refuses, h.probing = false, false, true
	h.warmupUntil = later(h.warmupUntil, now.Add(warmup))
}

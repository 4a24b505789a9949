package routing

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/lease"
)

// maxChanges bounds the starts and ends kept per target since its last load
// report. Reports arrive every few hundred milliseconds; if none arrive for
// long, the older half of the changes is dropped.
const maxChanges = 512

// targetState is the state kept for a target of the local region.
type targetState struct {
	live     bool
	cache    *cacheEstimate
	inFlight int // requests of this instance that run there
	// changes are the starts (+1) and ends (-1) of this instance's requests in
	// order of time. A report already includes those up to its sample time.
	changes   []loadChange
	sampledAt time.Duration // sample time of the last report used
	// pending is the prompt tokens of this instance's requests that the target had
	// not processed at pendingAt.
	pending   float64
	pendingAt time.Duration
}

type loadChange struct {
	at     time.Duration
	delta  int
	tokens float64 // prompt tokens to process
}

func (s *targetState) recordChange(now time.Duration, delta int, tokens float64) {
	if len(s.changes) >= maxChanges {
		s.changes = append(s.changes[:0], s.changes[maxChanges/2:]...)
	}
	s.changes = append(s.changes, loadChange{now, delta, tokens})
}

func (s *targetState) recordStart(now time.Duration, q Query) {
	s.inFlight++
	tokens := float64(max(q.PromptTokens-s.cache.cachedTokens(q.PrefixHashes), 0))
	s.recordChange(now, 1, tokens)
	s.drainPending(now)
	s.pending += tokens
	s.cache.recordPrompt(q.PrefixHashes)
}

func (s *targetState) recordEnd(now time.Duration) {
	s.inFlight--
	s.recordChange(now, -1, 0)
}

// drainPending lowers pending by what the target can have processed since
// pendingAt.
func (s *targetState) drainPending(now time.Duration) {
	s.pending = max(0, s.pending-prefillRate*(now-s.pendingAt).Seconds())
	s.pendingAt = now
}

// fillView completes v from load report l and the changes recorded since its
// sample.
func (s *targetState) fillView(v *TargetView, l lease.Load, q Query, now time.Duration) {
	v.Live = s.live
	if l.SampledAt > s.sampledAt {
		s.sampledAt = l.SampledAt
		accounted := 0
		for accounted < len(s.changes) && s.changes[accounted].at <= l.SampledAt {
			accounted++
		}
		s.changes = append(s.changes[:0], s.changes[accounted:]...)
		if l.CachedTokens > 0 {
			s.cache.trim(l.CachedTokens)
		}
	}
	v.CachedTokens = min(s.cache.cachedTokens(q.PrefixHashes), q.PromptTokens)
	s.drainPending(now)
	v.PendingTokens = int(s.pending)
	v.Running = s.inFlight
	if l.SampledAt == 0 {
		return
	}
	running := l.Running
	pending := float64(l.Queued) * meanPromptTokens
	for _, c := range s.changes {
		running += c.delta
		pending += c.tokens
	}
	pending -= prefillRate * (now - l.SampledAt).Seconds()
	v.Running = max(running, s.inFlight)
	v.Queued = l.Queued
	v.PendingTokens = int(max(pending, s.pending))
}

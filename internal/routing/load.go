package routing

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/lease"
)

// maxChanges bounds the starts and ends remembered per target since its last
// report. Reports come every few hundred milliseconds; without reports for
// long, the oldest changes are folded into the base.
const maxChanges = 512

// targetState is what the instance believes about a target of its own region.
type targetState struct {
	live  bool
	cache *belief
	own   int // own requests running there
	// changes are own starts (+1) and ends (-1) in order of time; a report
	// accounts for those before its sample.
	changes []change
	sampled time.Duration // sample time of the last report used
	// pending is the own prompt tokens not processed yet, as of pendingAt.
	pending   float64
	pendingAt time.Duration
}

type change struct {
	at     time.Duration
	n      int
	tokens float64 // prompt tokens to process
}

func (s *targetState) note(now time.Duration, n int, tokens float64) {
	if len(s.changes) >= maxChanges {
		s.changes = append(s.changes[:0], s.changes[maxChanges/2:]...)
	}
	s.changes = append(s.changes, change{now, n, tokens})
}

func (s *targetState) start(now time.Duration, q Query) {
	s.own++
	tokens := float64(max(q.PromptTokens-s.cache.cached(q.PrefixHashes), 0))
	s.note(now, 1, tokens)
	s.drain(now)
	s.pending += tokens
	s.cache.dispatched(q.PrefixHashes)
}

func (s *targetState) end(now time.Duration) {
	s.own--
	s.note(now, -1, 0)
}

// drain lowers pending by what the target has processed since.
func (s *targetState) drain(now time.Duration) {
	s.pending = max(0, s.pending-prefillRate*(now-s.pendingAt).Seconds())
	s.pendingAt = now
}

// fill completes v with the last report and the own changes since.
func (s *targetState) fill(v *TargetView, l lease.Load, q Query, now time.Duration) {
	v.Live = s.live
	if l.SampledAt > s.sampled {
		s.sampled = l.SampledAt
		keep := 0
		for keep < len(s.changes) && s.changes[keep].at <= l.SampledAt {
			keep++
		}
		s.changes = append(s.changes[:0], s.changes[keep:]...)
		if l.CachedTokens > 0 {
			s.cache.trim(l.CachedTokens)
		}
	}
	v.CachedTokens = min(s.cache.cached(q.PrefixHashes), q.PromptTokens)
	s.drain(now)
	v.PendingTokens = int(s.pending)
	v.Running = s.own
	if l.SampledAt == 0 {
		return
	}
	running := l.Running
	pending := float64(l.Queued) * meanPrompt
	for _, c := range s.changes {
		running += c.n
		pending += c.tokens
	}
	pending -= prefillRate * (now - l.SampledAt).Seconds()
	v.Running = max(running, s.own)
	v.Queued = l.Queued
	v.PendingTokens = int(max(pending, s.pending))
}

package dispatch

import (
	"bytes"
	"encoding/hex"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/peerapi/peerv1"
)

const (
	// crashWindow is the time within which failures on one target are one crash:
	// each request running there, at each instance, notices it separately.
	crashWindow = 10 * time.Second
	// crashTTL is how long a crash counts.
	crashTTL   = time.Hour
	maxCrashes = 1024
	// maxRequestsPerCrash bounds the requests recorded with one crash.
	maxRequestsPerCrash = 4096
	// maxReportBatch bounds the reports in one message to a peer.
	maxReportBatch = 256
)

// CrashSuspects finds requests that crash targets. A fingerprint is blocked once
// two crashes, on different attempts, include it and no other request was running
// in both.
type CrashSuspects struct {
	clock clock.Clock
	mu    struct {
		sync.Mutex
		running    map[string]map[uint64]Fingerprint // by target and attempt
		crashes    []*crash                          // oldest first
		blocked    map[Fingerprint]time.Duration     // reported by peers; value is the time of expiry
		nextReport int                               // index of the first crash of the next batch
	}
}

// crash is the loss of one target. attempts maps the requests that were running
// there to one of their attempts.
type crash struct {
	target   string
	at       time.Duration
	attempts map[Fingerprint]uint64
}

// NewCrashSuspects returns an empty CrashSuspects.
func NewCrashSuspects(c clock.Clock) *CrashSuspects {
	s := &CrashSuspects{clock: c}
	s.mu.running = map[string]map[uint64]Fingerprint{}
	s.mu.blocked = map[Fingerprint]time.Duration{}
	return s
}

// BeginAttempt records an attempt on a target. end must be called when it has
// ended. Unless forced, it refuses a target that runs a co-suspect from an earlier
// crash: another crash there would not tell which of the two causes it.
func (s *CrashSuspects) BeginAttempt(target string, f Fingerprint, force bool) (attempt uint64, end func(), ok bool) {
	attempt = rand.Uint64()
	s.mu.Lock()
	defer s.mu.Unlock()
	if !force && s.runsCoSuspect(target, f) {
		return 0, nil, false
	}
	if s.mu.running[target] == nil {
		s.mu.running[target] = map[uint64]Fingerprint{}
	}
	s.mu.running[target][attempt] = f
	return attempt, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.mu.running[target], attempt)
		if len(s.mu.running[target]) == 0 {
			delete(s.mu.running, target)
		}
	}, true
}

// Running returns the number of attempts of this instance that run on the target.
func (s *CrashSuspects) Running(target string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.mu.running[target])
}

// TargetsToAvoid returns the targets on which BeginAttempt would refuse f.
func (s *CrashSuspects) TargetsToAvoid(f Fingerprint) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for target := range s.mu.running {
		if s.runsCoSuspect(target, f) {
			out = append(out, target)
		}
	}
	return out
}

func (s *CrashSuspects) runsCoSuspect(target string, f Fingerprint) bool {
	for _, c := range s.mu.crashes {
		if _, named := c.attempts[f]; !named {
			continue
		}
		for _, other := range s.mu.running[target] {
			if _, named := c.attempts[other]; named && other != f {
				return true
			}
		}
	}
	return false
}

// RecordCrash records that the target was lost during the attempt. All requests
// of this instance that are running there are recorded with it.
func (s *CrashSuspects) RecordCrash(target string, attempt uint64, f Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.currentCrash(target)
	c.add(f, attempt)
	for id, other := range s.mu.running[target] {
		c.add(other, id)
	}
}

func (c *crash) add(f Fingerprint, attempt uint64) {
	if _, ok := c.attempts[f]; ok || len(c.attempts) >= maxRequestsPerCrash {
		return
	}
	c.attempts[f] = attempt
}

// currentCrash returns the crash of the target within crashWindow, or adds one.
func (s *CrashSuspects) currentCrash(target string) *crash {
	now := s.clock.Now().Lower
	s.expire(now)
	for _, c := range slices.Backward(s.mu.crashes) {
		if c.target == target && now-c.at < crashWindow {
			return c
		}
	}
	if len(s.mu.crashes) >= maxCrashes {
		s.mu.crashes = slices.Delete(s.mu.crashes, 0, 1)
	}
	c := &crash{target: target, at: now, attempts: map[Fingerprint]uint64{}}
	s.mu.crashes = append(s.mu.crashes, c)
	return c
}

func (s *CrashSuspects) expire(now time.Duration) {
	s.mu.crashes = slices.DeleteFunc(s.mu.crashes, func(c *crash) bool { return now-c.at > crashTTL })
	for f, until := range s.mu.blocked {
		if now > until {
			delete(s.mu.blocked, f)
		}
	}
}

// Blocked reports whether a request must not be sent to any target.
func (s *CrashSuspects) Blocked(f Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.blockedLocked(f)
}

func (s *CrashSuspects) blockedLocked(f Fingerprint) bool {
	now := s.clock.Now().Lower
	var naming []*crash
	for _, c := range s.mu.crashes {
		if _, ok := c.attempts[f]; ok && now-c.at <= crashTTL {
			naming = append(naming, c)
		}
	}
	for i, a := range naming {
		for _, b := range naming[i+1:] {
			if a.attempts[f] != b.attempts[f] && shareOneRequest(a, b) {
				return true
			}
		}
	}
	// A peer may have seen crashes that this instance has not. Its decision
	// counts unless the crashes known here leave another suspect.
	until, ok := s.mu.blocked[f]
	return ok && now <= until && len(naming) < 2
}

func shareOneRequest(a, b *crash) bool {
	n := 0
	for f := range a.attempts {
		if _, ok := b.attempts[f]; ok {
			n++
		}
	}
	return n == 1
}

// NextReports returns reports for a peer, at most maxReportBatch; successive calls
// cycle through all crashes.
func (s *CrashSuspects) NextReports() []*peerv1.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(s.clock.Now().Lower)
	var out []*peerv1.Crash
	for n := len(s.mu.crashes); n > 0; n-- {
		if s.mu.nextReport >= len(s.mu.crashes) {
			s.mu.nextReport = 0
		}
		c := s.mu.crashes[s.mu.nextReport]
		if len(out) > 0 && len(out)+len(c.attempts) > maxReportBatch {
			break
		}
		s.mu.nextReport++
		out = s.appendReports(out, c)
	}
	return out
}

// ReportsFor returns the complete reports of the crashes that include f, because
// only the other requests in them tell whether f is the cause.
func (s *CrashSuspects) ReportsFor(f Fingerprint) []*peerv1.Crash {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(s.clock.Now().Lower)
	var out []*peerv1.Crash
	for _, c := range s.mu.crashes {
		if _, named := c.attempts[f]; named && len(out)+len(c.attempts) <= maxReportBatch {
			out = s.appendReports(out, c)
		}
	}
	return out
}

// appendReports adds the reports of one crash, up to maxReportBatch in total. The
// caller holds mu.
func (s *CrashSuspects) appendReports(out []*peerv1.Crash, c *crash) []*peerv1.Crash {
	for f, attempt := range c.attempts {
		if len(out) >= maxReportBatch {
			break
		}
		out = append(out, &peerv1.Crash{
			Fingerprint: bytes.Clone(f[:]), Target: c.target, Attempt: attempt,
			Alone: len(c.attempts) == 1, Blocked: s.blockedLocked(f),
		})
	}
	return out
}

// MergeReports adds the reports of a peer. Reports of a crash that is already
// known by target and attempt change nothing, so reports that come back to their
// sender are harmless.
func (s *CrashSuspects) MergeReports(reports []*peerv1.Crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now().Lower
	for _, r := range reports[:min(len(reports), maxReportBatch)] {
		if len(r.GetFingerprint()) != len(Fingerprint{}) || r.GetTarget() == "" {
			continue
		}
		f := Fingerprint(r.GetFingerprint())
		if r.GetBlocked() && len(s.mu.blocked) < maxCrashes {
			if _, ok := s.mu.blocked[f]; !ok {
				s.mu.blocked[f] = now + crashTTL
			}
		}
		if !s.isKnown(r.GetTarget(), f, r.GetAttempt()) {
			s.currentCrash(r.GetTarget()).add(f, r.GetAttempt())
		}
	}
}

func (s *CrashSuspects) isKnown(target string, f Fingerprint, attempt uint64) bool {
	for _, c := range s.mu.crashes {
		if id, ok := c.attempts[f]; ok && c.target == target && id == attempt {
			return true
		}
	}
	return false
}

// String returns the first 8 bytes in hexadecimal, the form used in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:8]) }

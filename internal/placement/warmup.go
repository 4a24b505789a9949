package placement

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

const (
	// warmupWindow is the window in which requests to a target that is warming up are
	// counted: one second, plus a reserve for varying network delay.
	warmupWindow = 1100 * time.Millisecond
	// startupPeriod is the time after the start during which the other instances of
	// the failure domain may not all be known. Targets that are warming up get no
	// request then.
	startupPeriod = 1500 * time.Millisecond
	// warmupBoundFraction is the fraction of the warm-up bound that is used.
	warmupBoundFraction = 0.85
	// restartSuspicionPeriod is how long after the last report that a target is down
	// it may have restarted without being listed so.
	restartSuspicionPeriod = 2500 * time.Millisecond
	// minDownReports is the number of instances to which a target must be unreachable
	// for others to suspect a restart.
	minDownReports = 3
	// freezeGap is the time without a call of SetPeerHeartbeats, which is called every
	// 100 ms, after which the process counts as having been frozen.
	freezeGap = time.Second
)

// WarmupShares divides the rate of a target that is warming up among the instances;
// see roster.Roster.
type WarmupShares interface {
	Share(limit int, target string) int
}

// warmingUp reports whether a target may be warming up.
func (t *Tracker) warmingUp(v *catalog.View, e *catalog.Entry, st *targetState, now time.Time) bool {
	return t.missedRestarts(v, e, now) || t.mayHaveTurnedCold(v, v.Config.Services[e.Service], e.ID, st, now) || v.WarmingUp(e, now) || now.Before(st.health.warmupUntil) || now.Before(st.restartSuspectedUntil)
}

// missedRestarts reports whether the target may have restarted while this process was
// frozen: the list has not been read since. After a whole warm-up it no longer
// matters.
func (t *Tracker) missedRestarts(v *catalog.View, e *catalog.Entry, now time.Time) bool {
	s := v.Config.Services[e.Service]
	return s != nil && v.TargetsReadAt.Before(t.mu.awakeSince) && now.Sub(t.mu.awakeSince) < s.Warmup
}

// noteTime notices that the process was frozen, or its machine suspended, since the
// last call. The caller holds t.mu.
func (t *Tracker) noteTime(now time.Time) {
	elapsed := t.elapsed()
	if elapsed-t.mu.lastElapsed > freezeGap {
		t.mu.awakeSince = now
		t.onWake(elapsed - t.mu.lastElapsed)
	}
	t.mu.lastElapsed, t.mu.lastNow = elapsed, now
}

// warmupLimit returns the number of requests that this instance may send to a target
// that is warming up in one window.
func (t *Tracker) warmupLimit(v *catalog.View, s *deployment.Service, target string, now time.Time) int {
	if t.unconfirmed(v, now) {
		return t.coldShare(s, target, unconfirmedFraction, now)
	}
	return t.coldShare(s, target, 1, now)
}

// coldShare returns this instance's share of a fraction of the warm-up bound.
func (t *Tracker) coldShare(s *deployment.Service, target string, fraction float64, now time.Time) int {
	if s.WarmupRate <= 0 {
		return 1 << 30
	}
	if now.Sub(t.started) < startupPeriod {
		return 0
	}
	return t.warmupShares.Share(int(fraction*warmupBoundFraction*(s.WarmupRate*t.bounds.WarmupRateFactor+t.bounds.WarmupSlack)), target)
}

// countRecentSends returns the number of requests that were written within
// warmupWindow or are yet to be written.
func (s *targetState) countRecentSends(now time.Time) int {
	for len(s.recentSends) > 0 && now.Sub(s.recentSends[0]) > warmupWindow {
		s.recentSends = s.recentSends[1:]
	}
	return len(s.recentSends) + s.unsent
}

// Sent records that the request was written. The time that counts is this one and
// not that of the choice, since a connection may take time, and the process may have
// been frozen in between.
func (a *Attempt) Sent(now time.Time) {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	a.recordSent(now)
}

// recordSent is Sent for callers that hold Tracker.mu.
func (a *Attempt) recordSent(now time.Time) {
	if a.sent {
		return
	}
	a.sent = true
	a.state.unsent--
	a.state.recentSends = append(a.state.recentSends, now)
	a.state.countRecentSends(now)
}

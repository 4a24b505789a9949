package placement

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/pace"
)

const (
	// slowRatio is the slowdown of a target, relative to that of its service, from
	// which on it is paced if it rests on minSlowResponses recent responses, and
	// slowEndRatio the one below which it may be paced for that again. Between them
	// targets of one service differ without a fault.
	slowRatio        = 3.0
	slowEndRatio     = 2.0
	minSlowResponses = 3
	// linkFaultPeriod is how long after most targets were down at once this instance
	// paces none that returns: its own links were at fault, and the other instances
	// would pace the whole region because of it.
	linkFaultPeriod = 10 * time.Second
	// addedPeriod is how long a target counts as having just been listed. Lists are
	// read every second.
	addedPeriod = 3 * time.Second
	// minLinkFaultTargets is the number of targets from which on most of them being
	// down says something about the instance's own links.
	minLinkFaultTargets = 3
)

// paced reports whether a target is paced and this instance's share of its window, or
// least if that is more, is used up. least is 1 for a request that was chosen already:
// the window may have begun or shrunk since. The caller holds t.mu.
func (t *Tracker) paced(id string, least int, now time.Time) bool {
	window, limited := t.mu.windows.Limit(id, now)
	return limited && t.mu.windows.Running(id) >= max(least, t.warmupShares.Share(window, id))
}

// addedLater reports whether a target has just been listed for the first time while
// others of its service had been listed before; at the start of this instance all are
// new. The caller holds t.mu.
func (t *Tracker) addedLater(e *catalog.Entry, now time.Time) bool {
	if e.FirstListed.IsZero() || now.Sub(e.FirstListed) > addedPeriod {
		return false
	}
	for _, s := range t.mu.targets {
		if s.service == e.Service && !s.firstListed.IsZero() && e.FirstListed.Sub(s.firstListed) > addedPeriod {
			return true
		}
	}
	return false
}

// paceWarmup begins a window when a target begins to warm up. The caller holds t.mu.
func (t *Tracker) paceWarmup(v *catalog.View, e *catalog.Entry, st *targetState, now time.Time) {
	warmingUp := v.WarmingUp(e, now)
	if warmingUp && !st.wasWarmingUp {
		t.mu.windows.Recovering(e.ID, e.StartedMS, e.Slots, pace.Started, now)
	}
	st.wasWarmingUp = warmingUp
}

// paceReturned begins a window for a target that passed a health check after it was
// down. The caller holds t.mu.
func (t *Tracker) paceReturned(id string, s *targetState, now time.Time) {
	if t.mu.linkFaultAt.IsZero() || now.Sub(t.mu.linkFaultAt) > linkFaultPeriod {
		t.mu.windows.Recovering(id, s.startedMS, s.slots, pace.Returned, later(now, s.health.backoffUntil))
	}
}

// paceAvoided takes over that a target is avoided after an outcome, if it is. The
// caller holds t.mu.
func (t *Tracker) paceAvoided(id string, s *targetState, avoided bool, now time.Time) {
	switch {
	case s.health.down:
		t.mu.windows.Suspend(id, now)
		if avoided && t.mostDown() {
			t.mu.linkFaultAt = now
		}
	case avoided:
		t.mu.windows.Recovering(id, s.startedMS, s.slots, pace.Failing, s.health.backoffUntil)
	}
}

// mostDown reports whether more than half of the targets are down.
func (t *Tracker) mostDown() bool {
	down := 0
	for _, s := range t.mu.targets {
		if s.health.down {
			down++
		}
	}
	return len(t.mu.targets) >= minLinkFaultTargets && 2*down > len(t.mu.targets)
}

// pace takes over that the first byte has arrived. The caller holds Tracker.mu.
func (a *Attempt) pace(now time.Time) {
	w, r := a.tracker.mu.windows, pace.Sound
	if a.objective > 0 && now.Sub(a.startedAt) > a.objective {
		r = pace.Late
	}
	switch {
	case w.Current(a.target, a.window):
		w.Observe(a.target, r, now)
	case r == pace.Sound:
		w.Served(a.target, now)
	}
	s := a.state
	if ratio := s.slowdown.value / a.tracker.usualSlowdown(s.service); ratio >= slowRatio && s.slowdown.recent >= minSlowResponses && !s.wasSlow {
		s.wasSlow = true
		w.Recovering(a.target, s.startedMS, s.slots, pace.Slow, now)
	} else if ratio < slowEndRatio {
		s.wasSlow = false
	}
}

// paceOutcome takes over that the request has ended. The caller holds Tracker.mu.
func (a *Attempt) paceOutcome(o Outcome, now time.Time) {
	w := a.tracker.mu.windows
	if !w.Current(a.target, a.window) {
		return
	}
	switch o {
	case Inconclusive:
	case Success:
		if !a.gotFirstByte {
			w.Observe(a.target, pace.Sound, now)
		}
	default:
		w.Observe(a.target, pace.Faulty, now)
	}
}

// PaceChanges returns the targets whose pacing began or ended since the last call.
func (t *Tracker) PaceChanges() []pace.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.windows.Changes()
}

// PacedTargets returns the number of targets that are paced.
func (t *Tracker) PacedTargets() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mu.windows.Active()
}

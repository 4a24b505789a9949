package placement

import (
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
)

const (
	// leavingUseFraction is the fraction of the time in which a leaving target still
	// takes requests for which it is used after it said that it leaves, if the service
	// has no other target in the region.
	leavingUseFraction = 0.5
	// leavingRetention is how long it is remembered that a target leaves after it was
	// last listed.
	leavingRetention = 10 * time.Minute
)

// SetLeaving records that the target said that it leaves, and reports whether that is
// new.
func (a *Attempt) SetLeaving(now time.Time) bool {
	a.tracker.mu.Lock()
	defer a.tracker.mu.Unlock()
	return a.incarnation == a.state.startedMS && a.state.setLeaving(now)
}

// SetLeaving records that a target said in a health check that it leaves, and reports
// whether that is new.
func (t *Tracker) SetLeaving(id string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.mu.targets[id]
	return s != nil && s.setLeaving(now)
}

func (s *targetState) setLeaving(now time.Time) bool {
	if !s.leavingSince.IsZero() {
		return false
	}
	s.leavingSince, s.listedAt = now, now
	return true
}

// lastResort reports whether a target that said that it leaves may be used if there
// is no other one.
func (t *Tracker) lastResort(s *targetState, now time.Time) bool {
	return now.Sub(s.leavingSince) < time.Duration(leavingUseFraction*float64(t.bounds.DrainDelay))
}

// Prune removes the targets that are no longer listed and have no running requests.
// Those that said that they leave are kept for leavingRetention, since an entry that
// lapsed may return.
func (t *Tracker) Prune(listed map[string]*catalog.Entry, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, s := range t.mu.targets {
		switch {
		case listed[id] != nil:
			s.listedAt = now
		case s.running <= 0 && (s.leavingSince.IsZero() || now.Sub(s.listedAt) > leavingRetention):
			delete(t.mu.targets, id)
			t.mu.windows.Forget(id)
		}
	}
}

// SaidLeaving reports whether a response or health check of this incarnation of the
// target said that it leaves.
func (t *Tracker) SaidLeaving(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.mu.targets[id]
	return s != nil && !s.leavingSince.IsZero()
}

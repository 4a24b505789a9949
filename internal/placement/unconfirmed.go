package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/catalog"
	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/rendezvous"
)

const (
	// maxListAge is the time without a confirmation of the list of targets that normal
	// polling explains: the list is read every second, and other instances report
	// every 100 ms to 940 ms (74 instances) that the store answers them.
	maxListAge = 2 * time.Second
	// listReadGrace is how long after a confirmation the list may still be the old one,
	// if reading it fails at this instance: it takes a snapshot from others meanwhile.
	listReadGrace = 1500 * time.Millisecond
	// vouchPeriod is how long a health check shows that a target is warm. What is sent
	// meanwhile counts against the instance's share of the rate of a cold target; for
	// instances without a share the time is shorter, as only the demand bounds the sum.
	vouchPeriod        = 350 * time.Millisecond
	vouchPeriodNoShare = 200 * time.Millisecond
	// vouchInterval is the interval between such checks of one target, and
	// minVouchInterval that after the requests that a check allows have been sent.
	vouchInterval    = 250 * time.Millisecond
	minVouchInterval = 50 * time.Millisecond
	// vouchTargets is the number of targets of each service that an instance checks.
	// With one or two, the requests of an instance would meet busy targets while
	// others are idle.
	vouchTargets = 4
	// maxVouchChecks bounds the checks of one instance in a second; each is charged
	// for and costs about as much as a request.
	maxVouchChecks = 100
	// failedVouchPeriod is how long a target whose check failed is not checked again.
	failedVouchPeriod = 2 * time.Second
	// unconfirmedFraction is the fraction of the warm-up bound that is used while the
	// list is unconfirmed. The rest is for requests that were allowed by checks before
	// the target turned cold.
	unconfirmedFraction = 0.3
)

// vouching is what health checks say about a target while the list of targets is
// unconfirmed.
type vouching struct {
	// checkedAt is when the last check began, and warmAt when the last one began that
	// found the target warm; zero if a later one did not. failedAt is when the last one
	// failed.
	checkedAt, warmAt, failedAt time.Time
	running                     bool
}

// listState is what is known about the age of the list of targets.
type listState struct {
	// unconfirmedSince is zero if the list is confirmed. regainedAt is when it was
	// last confirmed again.
	unconfirmedSince, regainedAt time.Time
	// checks counts the checks since checksFrom.
	checks     int
	checksFrom time.Time
}

// SetListConfirmed takes over when the store last confirmed the list of targets, to
// this instance or to another one that it can reach. It returns whether that changes
// whether the list counts as confirmed, and for how long it did not.
func (t *Tracker) SetListConfirmed(at, now time.Time) (changed, confirmed bool, lasted time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &t.mu.list
	confirmed = now.Sub(later(at, t.started)) <= maxListAge
	switch {
	case confirmed && !l.unconfirmedSince.IsZero():
		lasted = now.Sub(l.unconfirmedSince)
		l.unconfirmedSince, l.regainedAt = time.Time{}, now
		return true, true, lasted
	case !confirmed && l.unconfirmedSince.IsZero():
		l.unconfirmedSince = now
		return true, false, 0
	}
	return false, confirmed, 0
}

// unconfirmed reports whether the list may be outdated. The caller holds t.mu.
func (t *Tracker) unconfirmed(v *catalog.View, now time.Time) bool {
	l := &t.mu.list
	if !l.unconfirmedSince.IsZero() {
		return true
	}
	return !l.regainedAt.IsZero() && v.TargetsReadAt.Before(l.regainedAt) && now.Sub(l.regainedAt) < listReadGrace
}

// mayHaveTurnedCold reports whether nothing shows that the target is warm: the list is
// unconfirmed, and no recent health check does. The caller holds t.mu.
func (t *Tracker) mayHaveTurnedCold(v *catalog.View, s *deployment.Service, id string, st *targetState, now time.Time) bool {
	if !bearsLittleCold(s) || !t.unconfirmed(v, now) {
		return false
	}
	age := now.Sub(st.vouch.warmAt)
	return age >= vouchPeriod || age >= vouchPeriodNoShare && t.coldShare(s, id, 1, now) == 0
}

func bearsLittleCold(s *deployment.Service) bool {
	return s != nil && s.Warmup > 0 && s.WarmupRate > 0
}

// vouchUsed reports whether the requests that the last health check allows have been
// sent: as many as this instance may send to a cold target in a second, so that a
// target which turns cold just after the check gets no more, and one at instances
// without a share. The caller holds t.mu.
func (t *Tracker) vouchUsed(v *catalog.View, s *deployment.Service, id string, st *targetState, now time.Time) bool {
	if !bearsLittleCold(s) || !t.unconfirmed(v, now) {
		return false
	}
	sent := st.unsent
	for i := len(st.recentSends) - 1; i >= 0 && st.recentSends[i].After(st.vouch.warmAt); i-- {
		sent++
	}
	return sent >= max(1, t.coldShare(s, id, 1, now))
}

// ChecksDue returns the targets whose health is to be checked now because the list of
// targets is unconfirmed. SetChecked must be called for each.
func (t *Tracker) ChecksDue(v *catalog.View, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if v.Config == nil || !t.unconfirmed(v, now) {
		return nil
	}
	l := &t.mu.list
	if now.Sub(l.checksFrom) >= time.Second {
		l.checks, l.checksFrom = 0, now
	}
	var due []string
	for _, s := range v.Config.Services {
		if !bearsLittleCold(s) {
			continue
		}
		// One at a time of those whose requests are not used up, so that not all checks
		// are equally old.
		regular := false
		for _, e := range t.vouchCandidates(v, s, now) {
			st := t.stateOf(e, now)
			age := now.Sub(st.vouch.checkedAt)
			if st.vouch.running || age < minVouchInterval || l.checks >= maxVouchChecks {
				continue
			}
			if !t.vouchUsed(v, s, e.ID, st, now) {
				if age < vouchInterval || regular {
					continue
				}
				regular = true
			}
			st.vouch.running, st.vouch.checkedAt = true, now
			l.checks++
			due = append(due, e.ID)
		}
	}
	return due
}

// vouchCandidates returns the targets of a service that this instance checks. Which
// ones is a matter of chance, so that the instances of a region spread over all.
func (t *Tracker) vouchCandidates(v *catalog.View, s *deployment.Service, now time.Time) []*catalog.Entry {
	type candidate struct {
		entry *catalog.Entry
		score uint64
	}
	var all []candidate
	for _, e := range v.Targets {
		if e.Service != s.Name || t.regionByDomain[e.Domain] != t.region || v.Evacuated[e.Domain] || e.Leaving {
			continue
		}
		st := t.stateOf(e, now)
		if !st.health.usable(now) || !st.leavingSince.IsZero() || now.Before(st.health.warmupUntil) || v.WarmingUp(e, now) || now.Sub(st.vouch.failedAt) < failedVouchPeriod {
			continue
		}
		all = append(all, candidate{e, rendezvous.Score(t.instance, e.ID)})
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	var out []*catalog.Entry
	for _, c := range all[:min(vouchTargets, len(all))] {
		out = append(out, c.entry)
	}
	return out
}

// SetChecked takes over the result of a health check that ChecksDue asked for and that
// began at startedAt, and reports whether it shows a warm-up that was not known.
func (t *Tracker) SetChecked(id string, healthy bool, warmup time.Duration, startedAt, now time.Time) (turnedCold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.mu.targets[id]
	if s == nil {
		return false
	}
	s.vouch.running = false
	switch {
	case !healthy:
		s.vouch.warmAt, s.vouch.failedAt = time.Time{}, now
	case warmup > 0:
		s.vouch.warmAt = time.Time{}
		turnedCold = !now.Before(s.health.warmupUntil)
		s.health.warmupUntil = later(s.health.warmupUntil, now.Add(warmup))
	default:
		s.vouch.warmAt = startedAt
	}
	return turnedCold
}

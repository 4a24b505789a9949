package overload

import "time"

const (
	// usualWindow and currentWindow are the time constants of a team's usual and its
	// current demand.
	usualWindow   = 30 * time.Second
	currentWindow = time.Second
	// surgeFactor is the multiple of its usual demand above which a team is surging,
	// and surgeShare the least part of the whole demand that it must have then: a
	// small team does not matter to the others.
	surgeFactor = 4
	surgeShare  = 0.1
	// A team's usual demand grows by at most usualGrowth times itself, or by
	// minUsualShare of the whole demand, so that a surge does not become usual at once.
	usualGrowth   = 2
	minUsualShare = 0.02
	// maxTeams bounds the teams whose demand is kept.
	maxTeams = 4096
)

// teams estimates the demand of each team, in seconds of work per second.
type teams struct {
	byName  map[string]*teamDemand
	current rate // all teams
	since   time.Time
}

type teamDemand struct{ usual, current rate }

func newTeams() teams {
	return teams{byName: map[string]*teamDemand{}, current: rate{tau: currentWindow}}
}

// record adds the work of a team that arrived since the last call for it.
func (t *teams) record(team string, work time.Duration, now time.Time) {
	if t.since.IsZero() {
		t.since = now
	}
	d := t.byName[team]
	if d == nil {
		if len(t.byName) >= maxTeams {
			return
		}
		d = &teamDemand{usual: rate{tau: usualWindow, at: now}, current: rate{tau: currentWindow, at: now}}
		t.byName[team] = d
	}
	d.current.add(work.Seconds(), now)
	t.current.add(work.Seconds(), now)
	if now.Sub(t.since) > usualWindow {
		most := max(usualGrowth*d.usual.value, minUsualShare*t.current.value) * min(now.Sub(d.usual.at), maxSpread).Seconds()
		work = min(work, time.Duration(most*float64(time.Second)))
	}
	d.usual.add(work.Seconds(), now)
}

// overShare reports whether the demand of a team is many times its usual demand and
// a large part of the whole. Nothing is usual before usualWindow has passed.
func (t *teams) overShare(team string, now time.Time) bool {
	d := t.byName[team]
	if d == nil || now.Sub(t.since) < usualWindow {
		return false
	}
	d.usual.add(0, now)
	d.current.add(0, now)
	t.current.add(0, now)
	return d.current.value > surgeFactor*d.usual.value && d.current.value > surgeShare*t.current.value
}

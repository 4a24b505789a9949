package instance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// probeInterval is the longest interval between the starts of two health checks
	// of a target that answers soon; each check is charged for.
	probeInterval = 400 * time.Millisecond
	// probeLead is how much earlier a check may start, and probeGranularity the
	// least time between two looks for checks that are due.
	probeLead        = 20 * time.Millisecond
	probeGranularity = 10 * time.Millisecond
	// maxConcurrentProbes bounds the health checks in flight, and with them the
	// memory that their responses take.
	maxConcurrentProbes = 64
	// maxSlowProbes is how many of these may be for targets that did not answer
	// their last check soon, or were not checked yet. The rest is for the others, so
	// that targets that hang do not delay them.
	maxSlowProbes = 48
	// slowProbe is the duration from which on a check counts as slow.
	slowProbe = probeInterval / 2
)

// probeSchedule decides which targets are checked when. It is not safe for
// concurrent use.
type probeSchedule struct {
	targets map[string]*probeState
	// soon and slow are the targets whose check is due, by whether their last check
	// was answered soon.
	soon, slow []*probeState
	// running counts the checks in flight, slowRunning those of maxSlowProbes.
	running, slowRunning int
}

// probeState is the state of the checks of one target.
type probeState struct {
	id        string
	startedAt time.Time // of the last check; zero before the first one
	running   bool
	// answersSoon is set if the last check that ended was not slow. countsAsSlow is
	// whether the check in flight takes one of maxSlowProbes.
	answersSoon, countsAsSlow bool
}

func newProbeSchedule() *probeSchedule {
	return &probeSchedule{targets: map[string]*probeState{}}
}

// refresh takes over which targets are down and finds the checks that are due. wait
// is the time until the next one is.
func (s *probeSchedule) refresh(down []string, now time.Time) (wait time.Duration) {
	states := make(map[string]*probeState, len(down))
	for id, t := range s.targets {
		if t.running {
			states[id] = t
		}
	}
	wait, s.soon, s.slow = probeInterval-probeLead, s.soon[:0], s.slow[:0]
	for _, id := range down {
		t := s.targets[id]
		if t == nil {
			t = &probeState{id: id}
		}
		states[id] = t
		switch left := probeInterval - probeLead - now.Sub(t.startedAt); {
		case t.running:
		case left > 0:
			wait = min(wait, left)
		case t.answersSoon:
			s.soon = append(s.soon, t)
		default:
			s.slow = append(s.slow, t)
		}
	}
	s.targets = states
	for _, due := range [][]*probeState{s.soon, s.slow} {
		slices.SortFunc(due, func(a, b *probeState) int {
			return cmp.Or(a.startedAt.Compare(b.startedAt), cmp.Compare(a.id, b.id))
		})
	}
	return max(wait, probeGranularity)
}

// start returns the targets to check now, those whose last check is longest ago
// first.
func (s *probeSchedule) start(now time.Time) (ids []string) {
	for len(s.soon) > 0 && s.running < maxConcurrentProbes {
		ids = append(ids, s.startOne(s.soon[0], now))
		s.soon = s.soon[1:]
	}
	for len(s.slow) > 0 && s.running < maxConcurrentProbes && s.slowRunning < maxSlowProbes {
		s.slowRunning++
		s.slow[0].countsAsSlow = true
		ids = append(ids, s.startOne(s.slow[0], now))
		s.slow = s.slow[1:]
	}
	return ids
}

func (s *probeSchedule) startOne(t *probeState, now time.Time) string {
	s.running++
	t.running, t.startedAt = true, now
	return t.id
}

// end records that the check of a target has ended.
func (s *probeSchedule) end(id string, now time.Time) {
	t := s.targets[id]
	s.running--
	if t.countsAsSlow {
		s.slowRunning--
	}
	t.running, t.countsAsSlow, t.answersSoon = false, false, now.Sub(t.startedAt) < slowProbe
}

package ops

import (
	"sort"
	"sync"
	"time"
)

// statWindow is the length of the windows over which team figures are kept.
const statWindow = time.Minute

// TeamFigures are the figures of one team in the current and the last window.
type TeamFigures struct {
	Team              string        `json:"team"`
	Answered          int           `json:"answered"`
	Failed            int           `json:"failed"`
	RefusedWithinRate int           `json:"refused_within_rate"`
	TokensUsed        float64       `json:"tokens_used"`
	LongestWait       time.Duration `json:"longest_wait_ns"`
}

// servedRatio is 1 for a team without traffic.
func (f TeamFigures) servedRatio() float64 {
	if f.Answered+f.Failed == 0 {
		return 1
	}
	return float64(f.Answered) / float64(f.Answered+f.Failed)
}

// TeamStats keeps figures of teams with traffic in the last two windows, so
// its size follows the active teams.
type TeamStats struct {
	now func() time.Time
	mu  struct {
		sync.Mutex
		started       time.Time
		current, last map[string]*TeamFigures
	}
}

// NewTeamStats returns empty TeamStats.
func NewTeamStats(now func() time.Time) *TeamStats {
	s := &TeamStats{now: now}
	s.mu.started = now()
	s.mu.current = make(map[string]*TeamFigures)
	return s
}

// Finished counts the end of a request.
func (s *TeamStats) Finished(team string, answered bool, tokens float64) {
	s.update(team, func(f *TeamFigures) {
		if answered {
			f.Answered++
		} else {
			f.Failed++
		}
		f.TokensUsed += tokens
	})
}

// Waited notes the queue time of an admitted request.
func (s *TeamStats) Waited(team string, d time.Duration) {
	s.update(team, func(f *TeamFigures) { f.LongestWait = max(f.LongestWait, d) })
}

// RefusedWithinRate counts a refusal of a team that was within its rate.
func (s *TeamStats) RefusedWithinRate(team string) {
	s.update(team, func(f *TeamFigures) { f.RefusedWithinRate++ })
}

func (s *TeamStats) update(team string, change func(*TeamFigures)) {
	if team == "" {
		return // routes open to all have no team
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollLocked()
	f, ok := s.mu.current[team]
	if !ok {
		f = &TeamFigures{Team: team}
		s.mu.current[team] = f
	}
	change(f)
}

func (s *TeamStats) rollLocked() {
	now := s.now()
	if now.Sub(s.mu.started) < statWindow {
		return
	}
	s.mu.last = s.mu.current
	if now.Sub(s.mu.started) >= 2*statWindow {
		s.mu.last = nil
	}
	s.mu.current = make(map[string]*TeamFigures)
	s.mu.started = now
}

// Figures returns the sums over both windows, the worst-served team first.
func (s *TeamStats) Figures() []TeamFigures {
	s.mu.Lock()
	s.rollLocked()
	sums := make(map[string]TeamFigures, len(s.mu.current))
	for _, window := range []map[string]*TeamFigures{s.mu.last, s.mu.current} {
		for team, f := range window {
			sum := sums[team]
			sum.Team = team
			sum.Answered += f.Answered
			sum.Failed += f.Failed
			sum.RefusedWithinRate += f.RefusedWithinRate
			sum.TokensUsed += f.TokensUsed
			sum.LongestWait = max(sum.LongestWait, f.LongestWait)
			sums[team] = sum
		}
	}
	s.mu.Unlock()
	out := make([]TeamFigures, 0, len(sums))
	for _, f := range sums {
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool {
		if a, b := out[i].servedRatio(), out[j].servedRatio(); a != b {
			return a < b
		}
		return out[i].Team < out[j].Team
	})
	return out
}

// Worst returns the smallest served ratio, 1 if there was no traffic.
func (s *TeamStats) Worst() float64 {
	if all := s.Figures(); len(all) > 0 {
		return all[0].servedRatio()
	}
	return 1
}

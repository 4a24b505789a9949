package ops

import (
	"sort"
	"sync"
	"time"
)

// windowLength is the length of the windows over which counts of teams are kept.
const windowLength = time.Minute

// TeamCounts are the counts of one team in the current and the previous window.
type TeamCounts struct {
	Team              string        `json:"team"`
	Answered          int           `json:"answered"`
	Failed            int           `json:"failed"`
	RefusedWithinRate int           `json:"refused_within_rate"`
	TokensUsed        float64       `json:"tokens_used"`
	LongestWait       time.Duration `json:"longest_wait_ns"`
}

// servedRatio returns the fraction of requests that got a complete response, 1
// for a team without traffic.
func (f TeamCounts) servedRatio() float64 {
	if f.Answered+f.Failed == 0 {
		return 1
	}
	return float64(f.Answered) / float64(f.Answered+f.Failed)
}

// TeamStats keeps counts of the teams with traffic in the last two windows, so
// its memory use depends on the number of active teams only.
type TeamStats struct {
	now func() time.Time
	mu  struct {
		sync.Mutex
		windowStart       time.Time
		current, previous map[string]*TeamCounts
	}
}

// NewTeamStats returns empty TeamStats. now returns the current time.
func NewTeamStats(now func() time.Time) *TeamStats {
	s := &TeamStats{now: now}
	s.mu.windowStart = now()
	s.mu.current = make(map[string]*TeamCounts)
	return s
}

// RecordRequest counts a finished request; answered says that its response was
// complete.
func (s *TeamStats) RecordRequest(team string, answered bool, tokens float64) {
	s.update(team, func(f *TeamCounts) {
		if answered {
			f.Answered++
		} else {
			f.Failed++
		}
		f.TokensUsed += tokens
	})
}

// RecordQueueWait records the queue time of an admitted request.
func (s *TeamStats) RecordQueueWait(team string, d time.Duration) {
	s.update(team, func(f *TeamCounts) { f.LongestWait = max(f.LongestWait, d) })
}

// RecordRefusedWithinRate counts a request that was refused although its team was
// within its rate.
func (s *TeamStats) RecordRefusedWithinRate(team string) {
	s.update(team, func(f *TeamCounts) { f.RefusedWithinRate++ })
}

func (s *TeamStats) update(team string, change func(*TeamCounts)) {
	if team == "" {
		return // requests on routes without authentication have no team
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotateWindowsLocked()
	f, ok := s.mu.current[team]
	if !ok {
		f = &TeamCounts{Team: team}
		s.mu.current[team] = f
	}
	change(f)
}

// rotateWindowsLocked starts a new window if the current one has ended.
func (s *TeamStats) rotateWindowsLocked() {
	now := s.now()
	if now.Sub(s.mu.windowStart) < windowLength {
		return
	}
	s.mu.previous = s.mu.current
	if now.Sub(s.mu.windowStart) >= 2*windowLength {
		s.mu.previous = nil
	}
	s.mu.current = make(map[string]*TeamCounts)
	s.mu.windowStart = now
}

// Totals returns the sums over both windows, ordered by rising served ratio.
func (s *TeamStats) Totals() []TeamCounts {
	s.mu.Lock()
	s.rotateWindowsLocked()
	sums := make(map[string]TeamCounts, len(s.mu.current))
	for _, window := range []map[string]*TeamCounts{s.mu.previous, s.mu.current} {
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
	out := make([]TeamCounts, 0, len(sums))
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

// WorstServedRatio returns the smallest served ratio of all teams, 1 if there was
// no traffic.
func (s *TeamStats) WorstServedRatio() float64 {
	if all := s.Totals(); len(all) > 0 {
		return all[0].servedRatio()
	}
	return 1
}

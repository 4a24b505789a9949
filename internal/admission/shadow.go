package admission

import "time"

// shadows tell for each team whether its own requests at this instance would
// fit into its whole rate and burst. They decide nothing: they only tell
// refusals that a team has caused from those that it has not. A team that is
// spread over several instances counts as within its rate too often.
type shadows struct {
	teams map[string]*shadow
}

type shadow struct {
	level float64
	at    time.Duration
}

// arrive counts a request of the given tokens and reports whether it fits.
func (s *shadows) arrive(team string, tokens, rate, burst float64, now time.Duration) bool {
	if s.teams == nil {
		s.teams = map[string]*shadow{}
	}
	b := s.teams[team]
	if b == nil {
		b = &shadow{level: burst, at: now}
		s.teams[team] = b
	}
	b.level = min(b.level+rate*(now-b.at).Seconds(), burst)
	b.at = now
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// sweep forgets teams that sent nothing for a while.
func (s *shadows) sweep(now time.Duration) {
	for name, b := range s.teams {
		if now-b.at > teamIdle {
			delete(s.teams, name)
		}
	}
}

package lease

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// scenario is a load of 5 teams on 3 regions of 3 instances, each at 90% of
// its rate.
type scenario struct {
	name  string
	pick  func(s *sim, team int, t time.Duration) int
	event func(s *sim, at time.Duration, seed uint64)
	// from and to bound the arrivals that are judged.
	from, to time.Duration
	bound    float64
	burst    float64
}

const (
	warm       = 20 * time.Second
	teamRate   = 1000.0
	teamBurst  = 4000.0
	demandPart = 0.9
)

func anywhere(s *sim, _ int, _ time.Duration) int { return s.rng.IntN(len(s.nodes)) }

// moving shifts the callers from the first to the second region in a minute.
func moving(s *sim, _ int, t time.Duration) int {
	if s.rng.Float64() < min(1, max(0, (t-warm).Seconds()/60)) {
		return 3 + s.rng.IntN(3)
	}
	return s.rng.IntN(3)
}

// replace kills one instance; its callers send what was waiting to the next.
func replace(s *sim, at time.Duration, seed uint64) {
	slot := int(seed) % len(s.nodes)
	s.at(nil, at, func() {
		old := s.nodes[slot]
		next := s.nodes[(slot+1)%len(s.nodes)]
		next.waiting = append(next.waiting, old.waiting...)
		s.start(slot, old.region, slot%3)
	})
}

// replaceGrantor kills the grantor of one region.
func replaceGrantor(s *sim, at time.Duration, seed uint64) {
	s.at(nil, at, func() {
		for i, n := range s.nodes {
			if _, ok := n.cand.Lease(n.read()); ok && n.region == s.regions[int(seed)%3] {
				replace(s, s.now, uint64(i))
				return
			}
		}
	})
}

func scenarios() []scenario {
	return []scenario{
		{"90% of the rate at one instance", func(_ *sim, team int, _ time.Duration) int { return team }, nil, warm, warm + 60*time.Second, 0.005, teamBurst},
		{"even load", anywhere, nil, warm, warm + 60*time.Second, 0.005, teamBurst},
		{"even load, burst of 2 s of the rate", anywhere, nil, warm, warm + 60*time.Second, 0.005, 2 * teamRate},
		{"load moves to another region in a minute", moving, nil, warm, warm + 70*time.Second, 0.005, teamBurst},
		{"10 s after an instance is replaced", anywhere, replace, warm, warm + 10*time.Second, 0.02, teamBurst},
		{"10 s after a grantor is replaced", anywhere, replaceGrantor, warm, warm + 10*time.Second, 0.02, teamBurst},
	}
}

func (c scenario) play(seed uint64) (refused int, counted int, over float64) {
	ed := simEdition(3, 3, 5, teamRate, c.burst, 8)
	s := newSim(seed, 3, 3, ed, nil)
	end := c.to + 2*simWait
	for i := range 5 {
		s.poisson(fmt.Sprintf("t%d", i), demandPart*teamRate, func(time.Duration) float64 { return demandPart * teamRate }, 50,
			func(t time.Duration) int { return c.pick(s, i, t) }, end)
	}
	if c.event != nil {
		c.event(s, warm, seed)
	}
	s.run(end)
	share, counted := s.falselyRefused(ed, c.from, c.to)
	for name := range ed.Teams {
		over = max(over, s.overAdmitted(name))
	}
	return int(share*float64(counted) + 0.5), counted, over
}

// Guards against refusals of requests that one bucket with perfect knowledge
// would admit, beyond the targets of docs/design.md section 9.
func TestRefusedAlthoughWithinRate(t *testing.T) {
	seeds := uint64(9)
	if raceEnabled {
		seeds = 1
	}
	for _, c := range scenarios() {
		refused, counted, worst := 0, 0, 0.0
		for seed := range seeds {
			r, n, over := c.play(seed)
			refused, counted = refused+r, counted+n
			worst = max(worst, float64(r)/float64(n))
			if over > 1e-3 {
				t.Errorf("%s, seed %d: %.1f tokens over rate x t + burst", c.name, seed, over)
			}
		}
		share := float64(refused) / float64(counted)
		t.Logf("%-42s %.3f%% of %d requests refused, worst run %.3f%%, bound %.1f%%", c.name, 100*share, counted, 100*worst, 100*c.bound)
		if worst >= c.bound {
			t.Errorf("%s: %.3f%% refused in the worst run", c.name, 100*worst)
		}
	}
}

// Guards against an isolated region whose callers get less than its share.
func TestIsolatedRegionKeepsItsShare(t *testing.T) {
	const cutAt, cutFor = warm, 30 * time.Second
	ed := simEdition(3, 3, 5, teamRate, teamBurst, 8)
	s := newSim(3, 3, 3, ed, nil)
	s.noRefunds = true // they would count after the end
	for i := range 5 {
		s.poisson(fmt.Sprintf("t%d", i), 2*teamRate, func(time.Duration) float64 { return 2 * teamRate }, 50, func(time.Duration) int { return s.rng.IntN(9) }, cutAt+cutFor)
	}
	s.at(nil, cutAt, func() {
		for i := range 3 {
			s.group[seat("a", i)] = 1
		}
	})
	s.run(cutAt + cutFor)
	byTeam := map[string]float64{}
	for _, a := range s.admissions {
		if a.region == "a" && a.at >= cutAt {
			byTeam[a.team] += a.tokens
		}
	}
	least := math.Inf(1)
	for name := range ed.Teams {
		part := byTeam[name] / (teamRate / 3 * cutFor.Seconds())
		least = min(least, part)
		t.Logf("%s: %.3f of the region's share while cut off", name, part)
		// The refill is 0.99 times the share, and what other regions held when
		// the link went is lost for 2 s.
		if part < 0.98 {
			t.Errorf("%s: only %.3f of the share", name, part)
		}
		if over := s.overAdmitted(name); over > 1e-3 {
			t.Errorf("%s: %.1f tokens over", name, over)
		}
	}
	// The objective; listed in KNOWN-RED.txt.
	t.Run("whole share", func(t *testing.T) {
		if least < 1 {
			t.Errorf("a team got %.3f of the region's share", least)
		}
	})
}

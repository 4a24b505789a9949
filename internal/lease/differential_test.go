package lease

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// scenario is a load of 5 teams on 3 regions of 3 instances, each at 90% of its
// rate.
type scenario struct {
	name  string
	pick  func(s *sim, team int, t time.Duration) int
	event func(s *sim, at time.Duration, seed uint64)
	// from and to bound the arrivals that are counted.
	from, to time.Duration
	bound    float64
	burst    float64
}

const (
	warmup         = 20 * time.Second
	teamRate       = 1000.0
	teamBurst      = 4000.0
	demandFraction = 0.9
)

func anywhere(s *sim, _ int, _ time.Duration) int { return s.rng.IntN(len(s.nodes)) }

// shiftingRegion moves the callers from the first to the second region within a
// minute.
func shiftingRegion(s *sim, _ int, t time.Duration) int {
	if s.rng.Float64() < min(1, max(0, (t-warmup).Seconds()/60)) {
		return 3 + s.rng.IntN(3)
	}
	return s.rng.IntN(3)
}

// replaceInstance replaces one instance; its callers send what was waiting to
// the next one.
func replaceInstance(s *sim, at time.Duration, seed uint64) {
	slot := int(seed) % len(s.nodes)
	s.at(nil, at, func() {
		old := s.nodes[slot]
		next := s.nodes[(slot+1)%len(s.nodes)]
		next.waiting = append(next.waiting, old.waiting...)
		s.start(slot, old.region, slot%3)
	})
}

// replaceLeader replaces the leader of one region.
func replaceLeader(s *sim, at time.Duration, seed uint64) {
	s.at(nil, at, func() {
		for i, n := range s.nodes {
			if _, ok := n.candidate.Lease(n.read()); ok && n.region == s.regions[int(seed)%3] {
				replaceInstance(s, s.now, uint64(i))
				return
			}
		}
	})
}

func scenarios() []scenario {
	return []scenario{
		{"90% of the rate at one instance", func(_ *sim, team int, _ time.Duration) int { return team }, nil, warmup, warmup + 60*time.Second, 0.005, teamBurst},
		{"even load", anywhere, nil, warmup, warmup + 60*time.Second, 0.005, teamBurst},
		{"even load, burst of 2 s of the rate", anywhere, nil, warmup, warmup + 60*time.Second, 0.005, 2 * teamRate},
		{"load moves to another region in a minute", shiftingRegion, nil, warmup, warmup + 70*time.Second, 0.005, teamBurst},
		{"10 s after an instance is replaced", anywhere, replaceInstance, warmup, warmup + 10*time.Second, 0.02, teamBurst},
		{"10 s after a leader is replaced", anywhere, replaceLeader, warmup, warmup + 10*time.Second, 0.02, teamBurst},
	}
}

func (c scenario) simulate(seed uint64) (refused int, counted int, over float64) {
	cfg := simConfig(3, 3, 5, teamRate, c.burst, 8)
	s := newSim(seed, 3, 3, cfg, nil)
	end := c.to + 2*simMaxWait
	for i := range 5 {
		s.poisson(fmt.Sprintf("t%d", i), demandFraction*teamRate, func(time.Duration) float64 { return demandFraction * teamRate }, 50,
			func(t time.Duration) int { return c.pick(s, i, t) }, end)
	}
	if c.event != nil {
		c.event(s, warmup, seed)
	}
	s.run(end)
	fraction, counted := s.falselyRefused(cfg, c.from, c.to)
	for name := range cfg.Teams {
		over = max(over, s.overAdmitted(name))
	}
	return int(fraction*float64(counted) + 0.5), counted, over
}

// Guards against refusing requests that one bucket with perfect knowledge would
// admit, beyond the targets of docs/design.md section 9. They are refused while
// the tokens are leased to other holders, or lost with a replaced instance.
func TestRefusedAlthoughWithinRate(t *testing.T) {
	seeds := uint64(9)
	if raceEnabled {
		seeds = 1
	}
	for _, c := range scenarios() {
		refused, counted, worst := 0, 0, 0.0
		for seed := range seeds {
			r, n, over := c.simulate(seed)
			refused, counted = refused+r, counted+n
			worst = max(worst, float64(r)/float64(n))
			if over > 1e-3 {
				t.Errorf("%s, seed %d: %.1f tokens over rate x t + burst", c.name, seed, over)
			}
		}
		fraction := float64(refused) / float64(counted)
		t.Logf("%-42s %.3f%% of %d requests refused, worst run %.3f%%, bound %.1f%%", c.name, 100*fraction, counted, 100*worst, 100*c.bound)
		if worst >= c.bound {
			t.Errorf("%s: %.3f%% refused in the worst run", c.name, 100*worst)
		}
	}
}

// Guards against a region whose callers get less than its share while it is
// partitioned from the others.
func TestIsolatedRegionKeepsItsShare(t *testing.T) {
	const partitionAt, partitionDuration = warmup, 30 * time.Second
	cfg := simConfig(3, 3, 5, teamRate, teamBurst, 8)
	s := newSim(3, 3, 3, cfg, nil)
	s.noRefunds = true // refunds would arrive after the end of the run
	for i := range 5 {
		s.poisson(fmt.Sprintf("t%d", i), 2*teamRate, func(time.Duration) float64 { return 2 * teamRate }, 50, func(time.Duration) int { return s.rng.IntN(9) }, partitionAt+partitionDuration)
	}
	s.at(nil, partitionAt, func() {
		for i := range 3 {
			s.group[voterAddress("a", i)] = 1
		}
	})
	s.run(partitionAt + partitionDuration)
	byTeam := map[string]float64{}
	for _, a := range s.admissions {
		if a.region == "a" && a.at >= partitionAt {
			byTeam[a.team] += a.tokens
		}
	}
	least := math.Inf(1)
	for name := range cfg.Teams {
		fraction := byTeam[name] / (teamRate / 3 * partitionDuration.Seconds())
		least = min(least, fraction)
		t.Logf("%s: %.3f of the region's share while partitioned", name, fraction)
		// The refill is 0.99 times the share, and the tokens that other regions
		// held when the partition began are lost for 2 s.
		if fraction < 0.98 {
			t.Errorf("%s: only %.3f of the share", name, fraction)
		}
		if over := s.overAdmitted(name); over > 1e-3 {
			t.Errorf("%s: %.1f tokens over", name, over)
		}
	}
	// The objective, listed in KNOWN-RED.txt.
	t.Run("whole share", func(t *testing.T) {
		if least < 1 {
			t.Errorf("a team got %.3f of the region's share", least)
		}
	})
}

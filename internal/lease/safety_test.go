package lease

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

func simConfig(regions, perRegion, teams int, rate, burst float64, capacity int) *config.Config {
	cfg := &config.Config{
		Regions: map[string]*config.Region{}, Teams: map[string]*config.Team{},
		Targets: map[string]*config.Target{}, Models: map[string]*config.Model{"m": {Name: "m", MaxRun: simMaxRun}},
		Services: map[string]*config.Service{"s": {Name: "s", MaxRun: simMaxRun}},
	}
	for i := range regions {
		r := string(rune('a' + i))
		reg := &config.Region{Name: r, Share: 1 / float64(regions), Shards: 1}
		for j := range perRegion {
			reg.Voters = append(reg.Voters, voterAddress(r, j))
		}
		cfg.Regions[r] = reg
		for j := range 2 {
			t := &config.Target{Name: fmt.Sprintf("%s-e%d", r, j), Kind: config.Engine, Region: r, Capacity: capacity, Models: map[string]bool{"m": true}}
			cfg.Targets[t.Name] = t
		}
		// A plain service reports no load, and its idle slots stay with
		// holders.
		plain := &config.Target{Name: r + "-s", Kind: config.PlainService, Region: r, Capacity: capacity, Service: "s"}
		cfg.Targets[plain.Name] = plain
	}
	for i := range teams {
		name := fmt.Sprintf("t%d", i)
		cfg.Teams[name] = &config.Team{Name: name, Rate: rate, Burst: burst}
	}
	return cfg
}

// editTeamsAndTargets publishes a copy of the latest configuration with other
// rates, bursts and capacities.
func (s *sim) editTeamsAndTargets() {
	last := s.configs[len(s.configs)-1].cfg
	next := *last
	next.Revision++
	next.Teams, next.Targets = map[string]*config.Team{}, map[string]*config.Target{}
	for _, name := range slices.Sorted(maps.Keys(last.Teams)) {
		c := *last.Teams[name]
		c.Rate, c.Burst = 500+1500*s.rng.Float64(), 300+2700*s.rng.Float64()
		next.Teams[name] = &c
	}
	for _, name := range s.targetNames() {
		c := *last.Targets[name]
		c.Capacity = 1 + s.rng.IntN(8)
		next.Targets[name] = &c
	}
	s.configs = append(s.configs, publishedConfig{s.now, &next})
}

// poisson generates requests for a team at load(t) tokens per second, at most
// peak, at the node that pick chooses.
func (s *sim) poisson(team string, peak float64, load func(t time.Duration) float64, size float64, pick func(t time.Duration) int, until time.Duration) {
	var next func()
	next = func() {
		gap := time.Duration(s.rng.ExpFloat64() * size / peak * float64(time.Second))
		if s.now+gap < until {
			s.at(nil, s.now+gap, next)
		}
		if s.rng.Float64()*peak >= load(s.now) {
			return
		}
		r := request{team: team, tokens: size * (0.5 + s.rng.Float64()), arrived: s.now, number: len(s.arrivals)}
		n := s.nodes[pick(s.now)]
		s.arrivals = append(s.arrivals, r)
		if n.pausedUntil <= s.now { // callers use another instance if one does not respond
			n.waiting = append(n.waiting, r)
			n.serve()
		}
	}
	s.at(nil, s.now, next)
}

// bursts returns a load that alternates between almost none, so that buckets
// fill, and demand far above the rate, so that every token that can be admitted
// is.
func (s *sim) bursts(peak float64) func(time.Duration) float64 {
	var until time.Duration
	on := false
	return func(t time.Duration) float64 {
		for t >= until {
			on = !on
			until += 300*time.Millisecond + s.jitter(4*time.Second)
		}
		if on {
			return peak
		}
		return peak / 500
	}
}

// slotTraffic generates requests for slots of every target at random nodes of
// its region.
func (s *sim) slotTraffic(perSecond float64, perRegion int, until time.Duration) {
	for _, name := range s.targetNames() {
		r := int(name[0] - 'a')
		var next func()
		next = func() {
			n := s.nodes[r*perRegion+s.rng.IntN(perRegion)]
			if n.pausedUntil <= s.now && n.naive == nil && n.slotWaiting[name] < 16 {
				n.slotWaiting[name]++
				n.serveSlots()
			}
			gap := time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
			if s.now+gap < until {
				s.at(nil, s.now+gap, next)
			}
		}
		s.at(nil, s.jitter(time.Second), next)
	}
}

// injectFault injects one random fault and ends it later.
func (s *sim) injectFault(perRegion int) {
	slot := s.rng.IntN(len(s.nodes))
	n := s.nodes[slot]
	after := func(fn func()) { s.at(nil, s.now+time.Second+s.jitter(9*time.Second), fn) }
	switch s.rng.IntN(10) {
	case 0: // one region is partitioned from the others
		r := s.regions[s.rng.IntN(len(s.regions))]
		for i := range perRegion {
			s.group[voterAddress(r, i)] = 1
		}
		after(func() { clear(s.group) })
	case 1: // a partition across all regions
		for _, m := range s.nodes {
			s.group[m.addr] = s.rng.IntN(2)
		}
		after(func() { clear(s.group) })
	case 2: // messages of one pair are lost in one direction
		link := [2]string{n.addr, s.nodes[s.rng.IntN(len(s.nodes))].addr}
		s.oneWay[link] = true
		after(func() { delete(s.oneWay, link) })
	case 3:
		n.pause(s.jitter(8*time.Second), false)
	case 4:
		n.pause(s.jitter(8*time.Second), true)
	case 5:
		s.start(slot, n.region, slot%perRegion)
	case 6: // ten replacements in a row
		for i := range 10 {
			s.at(nil, s.now+time.Duration(i)*(500*time.Millisecond+s.jitter(2*time.Second)), func() {
				slot := s.rng.IntN(len(s.nodes))
				s.start(slot, s.nodes[slot].region, slot%perRegion)
			})
		}
	case 7: // wall-clock steps; the upper reading only ever steps forward
		n.upperSteps += s.jitter(3 * time.Second)
		n.wallOffset += s.jitter(4*time.Hour) - 2*time.Hour
	case 8:
		s.editTeamsAndTargets()
	case 9:
		s.editRegions(perRegion)
	}
}

// editRegions changes shares and voters as operators do: the old values stay
// published as the previous ones until every process has the new configuration.
func (s *sim) editRegions(perRegion int) {
	publish := func(change func(r *config.Region)) {
		next := *s.configs[len(s.configs)-1].cfg
		next.Revision++
		old := next.Regions
		next.Regions = map[string]*config.Region{}
		for _, name := range s.regions {
			c := *old[name]
			change(&c)
			next.Regions[name] = &c
		}
		s.configs = append(s.configs, publishedConfig{s.now, &next})
	}
	if s.configs[len(s.configs)-1].cfg.Regions["a"].PreviousShare != nil {
		return // one change at a time
	}
	weight, sum := map[string]float64{}, 0.0
	for _, name := range s.regions {
		weight[name] = 0.1 + s.rng.Float64()
		sum += weight[name]
	}
	first := s.rng.IntN(perRegion)
	publish(func(r *config.Region) {
		before := r.Share
		r.PreviousShare, r.Share = &before, weight[r.Name]/sum
		r.PreviousVoters = r.Voters
		r.Voters = nil
		for i := first; i < perRegion; i++ {
			r.Voters = append(r.Voters, voterAddress(r.Name, i))
		}
	})
	s.at(nil, s.now+simConfigDelay+4*time.Second, func() {
		publish(func(r *config.Region) { r.PreviousShare, r.PreviousVoters = nil, nil })
	})
}

var (
	histories = flag.Int("histories", 15, "number of random histories")
	firstSeed = flag.Int64("firstseed", 20261204, "seed of the random histories")
)

type randomHistory struct {
	seed            uint64
	loss, dup, late float64
	faultInterval   time.Duration // mean time between faults
	burst           float64       // of each team, at a rate of 1000
}

// simulate runs one random history and returns it with the violations found.
func (c randomHistory) simulate(naive func() spender) *sim {
	const perRegion, length = 3, 60 * time.Second
	cfg := simConfig(3, perRegion, 3, 1000, c.burst, 4)
	s := newSim(c.seed, 3, perRegion, cfg, naive)
	s.loss, s.dup, s.late = c.loss, c.dup, c.late
	for i := range len(cfg.Teams) {
		name := fmt.Sprintf("t%d", i)
		hot := s.rng.IntN(len(s.nodes))
		s.poisson(name, 8000, s.bursts(8000), c.burst/50, func(time.Duration) int {
			if s.rng.IntN(2) == 0 {
				return hot
			}
			return s.rng.IntN(len(s.nodes))
		}, length)
	}
	s.slotTraffic(4, perRegion, length)
	var next func()
	next = func() {
		s.injectFault(perRegion)
		s.at(nil, s.now+s.jitter(2*c.faultInterval), next)
	}
	s.at(nil, 3*time.Second, next)
	s.run(length)
	for name := range cfg.Teams {
		if over := s.overAdmitted(name); over > 1e-3 {
			s.violations = append(s.violations, fmt.Sprintf("team %s: %.1f tokens over rate x t + burst", name, over))
		}
	}
	return s
}

// Guards against any sequence of faults in which more tokens are admitted than
// rate x t + burst, or more requests are in flight than the capacity.
func TestLimitsHoldUnderFaults(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(*firstSeed)
	parameters.MinSuccessfulTests = *histories
	parameters.MaxShrinkCount = 0
	parameters.Workers = 1
	if raceEnabled {
		parameters.MinSuccessfulTests = min(*histories, 2)
	}
	completed, admitted, slots := 0, 0, 0
	properties := gopter.NewProperties(parameters)
	properties.Property("bounds hold", prop.ForAll(
		func(seed uint64, loss, dup, late float64, faultInterval int64, burst float64) string {
			s := randomHistory{seed: seed, loss: loss, dup: dup, late: late, faultInterval: time.Duration(faultInterval), burst: burst}.simulate(nil)
			completed, admitted, slots = completed+1, admitted+len(s.admissions), slots+s.slotsUsed
			if len(s.violations) > 0 {
				return fmt.Sprintf("%d violations, first: %s", len(s.violations), s.violations[0])
			}
			return ""
		},
		gen.UInt64(), gen.Float64Range(0, 0.2), gen.Float64Range(0, 0.2), gen.Float64Range(0, 0.2),
		gen.Int64Range(int64(300*time.Millisecond), int64(5*time.Second)),
		gen.Float64Range(300, 3000),
	))
	properties.TestingRun(t)
	t.Logf("%d histories of 60 s, %d admissions, %d requests on targets", completed, admitted, slots)
}

// Guards against leases of successive leaders that add up to more than the
// burst. Each leader is partitioned from most voters soon after its election
// and goes on granting leases to its own instance, while votes come late.
func TestSuccessiveLeadersShareTheBurst(t *testing.T) {
	const perRegion, length = 5, 60 * time.Second
	runs := uint64(8)
	if raceEnabled {
		runs = 1
	}
	changes := 0
	for seed := range runs {
		cfg := simConfig(3, perRegion, 1, 1000, 300+float64(seed)*60, 4)
		s := newSim(seed, 3, perRegion, cfg, nil)
		s.late, s.loss, s.noRefunds = 0.1, 0.1, true
		s.poisson("t0", 8000, s.bursts(8000), 6, func(time.Duration) int {
			if s.rng.IntN(4) == 0 {
				return s.rng.IntN(len(s.nodes))
			}
			return s.rng.IntN(perRegion)
		}, length)
		var next func()
		next = func() {
			for i, n := range s.nodes[:perRegion] {
				if _, ok := n.candidate.Lease(n.read()); ok && s.group[n.addr] == 0 {
					changes++
					other := s.nodes[(i+1)%perRegion] // two of five voters are a minority
					s.group[n.addr], s.group[other.addr] = i+1, i+1
					s.at(nil, s.now+2*time.Second+s.jitter(2*time.Second), func() {
						delete(s.group, n.addr)
						delete(s.group, other.addr)
					})
				}
			}
			s.at(nil, s.now+200*time.Millisecond+s.jitter(time.Second), next)
		}
		s.at(nil, 4*time.Second, next)
		s.run(length)
		if over := s.overAdmitted("t0"); over > 1e-3 {
			t.Errorf("seed %d: %.1f tokens over rate x t + burst", seed, over)
		}
		for _, f := range s.violations {
			t.Errorf("seed %d: %s", seed, f)
		}
	}
	t.Logf("%d leaders were partitioned", changes)
}

package lease

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/clock"
	"github.com/wigeonhill/wigeonhill/internal/config"
)

// serve admits waiting requests in order per team and refuses those that waited
// too long.
func (n *simNode) serve() {
	s, blocked, want := n.s, map[string]bool{}, map[string]float64{}
	kept := n.waiting[:0]
	for _, r := range n.waiting {
		want[r.team] += 0
		switch {
		case s.now-r.arrived > simMaxWait:
			s.refused = append(s.refused, r)
		case !blocked[r.team] && n.admit(r):
		default:
			blocked[r.team] = true
			want[r.team] += r.tokens
			kept = append(kept, r)
		}
	}
	n.waiting = kept
	if n.naive == nil {
		for _, team := range slices.Sorted(maps.Keys(want)) {
			n.holder.WantTokens(n.read(), team, want[team])
		}
		n.serveSlots()
	}
}

func (n *simNode) admit(r request) bool {
	s := n.s
	if n.naive != nil {
		ok := n.naive.debit(n, r.team, r.tokens)
		if ok {
			s.admissions = append(s.admissions, admissionRecord{s.now, r.team, r.tokens, n.region})
		}
		return ok
	}
	a, ok := n.holder.TryDebit(n.read(), r.team, r.tokens)
	if !ok {
		return false
	}
	debited := s.now
	// The process may be suspended between the debit and the last check.
	s.at(n, s.now+s.jitter(5*time.Millisecond), func() {
		if !n.holder.DebitValid(n.read(), a) {
			n.waiting = append(n.waiting, r)
			return
		}
		unused := 0.0
		if !s.noRefunds && s.rng.IntN(3) == 0 {
			unused = r.tokens * s.rng.Float64()
			s.at(n, s.now+s.jitter(3*time.Second), func() { n.holder.Refund(a, unused) })
		}
		s.admissions = append(s.admissions, admissionRecord{debited, r.team, r.tokens - unused, n.region})
	})
	return true
}

// serveSlots takes slots for waiting requests and sends them to the targets.
func (n *simNode) serveSlots() {
	for _, name := range slices.Sorted(maps.Keys(n.slotWaiting)) {
		for n.slotWaiting[name] > 0 {
			slot, ok := n.holder.TryTake(n.read(), name)
			if !ok {
				break
			}
			n.slotWaiting[name]--
			n.s.at(n, n.s.now+n.s.jitter(5*time.Millisecond), func() { n.send(slot) })
		}
		n.holder.WantSlots(n.read(), name, n.slotWaiting[name])
	}
}

func (n *simNode) send(slot Slot) {
	s := n.s
	if !n.holder.Usable(n.read(), slot) {
		n.holder.Release(n.read(), slot)
		n.slotWaiting[slot.Target]++
		return
	}
	t := s.targets[slot.Target]
	t.inFlight++
	s.slotsUsed++
	if bound := s.capacity(t.name); t.inFlight > bound {
		s.violations = append(s.violations, fmt.Sprintf("%v: %d requests in flight on %s of %d", s.now, t.inFlight, t.name, bound))
	}
	s.at(nil, s.now+s.jitter(20*time.Millisecond), func() {
		t.running++
		s.at(nil, s.now+s.jitter(simMaxRun), func() {
			t.running--
			t.inFlight--
			s.at(n, s.now+s.jitter(30*time.Millisecond), func() { n.holder.Release(n.read(), slot) })
		})
	})
}

// editWindow is how long a configuration change takes to reach everything that
// was granted under the one before it.
const editWindow = simConfigDelay + 2*Validity + simMaxRun + time.Second

// capacity is the greatest capacity of the target in a configuration that may
// be in force.
func (s *sim) capacity(target string) int {
	c := 0
	s.eachConfigInForce(s.now, func(cfg *config.Config) { c = max(c, cfg.Targets[target].Capacity) })
	return c
}

// eachConfigInForce calls f with the configurations that may be in force
// somewhere at t.
func (s *sim) eachConfigInForce(t time.Duration, f func(*config.Config)) {
	for i, p := range s.configs {
		if p.at > t || i+1 < len(s.configs) && s.configs[i+1].at+editWindow <= t {
			continue
		}
		f(p.cfg)
	}
}

// checkTokenSum checks the invariant on which the bound of admissions rests:
// the levels of all leaders within their leadership leases and the balances
// that can still be spent never add up to more than the burst.
func (s *sim) checkTokenSum() {
	for team := range s.configs[0].cfg.Teams {
		sum, bound := 0.0, 0.0
		s.eachConfigInForce(s.now, func(cfg *config.Config) { bound = max(bound, cfg.Teams[team].Burst) })
		for _, n := range s.nodes {
			now := n.read()
			sum += n.holder.Balance(now, team)
			t, ok := n.candidate.Lease(now)
			if !ok || n.ledger == nil || n.ledger.Ballot() != t.Ballot || n.ledger.buckets[team] == nil {
				continue
			}
			b := *n.ledger.buckets[team]
			b.headroomMinima = nil
			ceiling := b.burst
			if n.ledger.inStartupPeriod(now) {
				ceiling /= 2
			}
			b.advance(now.Lower, b.rate, b.burst, ceiling)
			sum += b.level
		}
		if sum > bound+1e-3 {
			s.violations = append(s.violations, fmt.Sprintf("%v: levels and balances of %s are %.1f of %.1f", s.now, team, sum, bound))
		}
	}
	s.at(nil, s.now+50*time.Millisecond, s.checkTokenSum)
}

// overAdmitted runs a reference token bucket over the recorded admissions of
// one team. It returns by how many tokens they exceed rate x t + burst at
// worst.
func (s *sim) overAdmitted(team string) float64 {
	bounds := func(t time.Duration) (rate, burst float64) {
		s.eachConfigInForce(t, func(cfg *config.Config) {
			rate, burst = max(rate, cfg.Teams[team].Rate), max(burst, cfg.Teams[team].Burst)
		})
		return rate, burst
	}
	record := make([]admissionRecord, 0, len(s.admissions))
	for _, a := range s.admissions {
		if a.team == team {
			record = append(record, a)
		}
	}
	sort.SliceStable(record, func(i, j int) bool { return record[i].at < record[j].at })
	_, level := bounds(0)
	at, worst := time.Duration(0), 0.0
	for _, a := range record {
		for at < a.at {
			d := min(a.at-at, 100*time.Millisecond)
			rate, _ := bounds(at)
			at += d
			_, burst := bounds(at)
			level = min(burst, level+rate*d.Seconds())
		}
		level -= a.tokens
		worst = max(worst, -level)
	}
	return worst
}

// oracle replays the arrivals on one bucket with perfect knowledge. It returns
// the numbers of the requests that can be admitted within the longest wait.
func (s *sim) oracle(cfg *config.Config) map[int]bool {
	admitted := map[int]bool{}
	for name, team := range cfg.Teams {
		level, at := team.Burst, time.Duration(0)
		free := time.Duration(0) // when the previous request was admitted
		for _, r := range s.arrivals {
			if r.team != name {
				continue
			}
			start := max(r.arrived, free, at)
			l := min(team.Burst, level+team.Rate*(start-at).Seconds())
			if l < r.tokens {
				start += time.Duration((r.tokens - l) / team.Rate * float64(time.Second))
				l = r.tokens
			}
			if start-r.arrived > simMaxWait {
				continue
			}
			admitted[r.number] = true
			level, at, free = l-r.tokens, start, start
		}
	}
	return admitted
}

// falselyRefused returns the fraction refused by the simulated system of the
// requests that arrived in the interval and that the oracle admits.
func (s *sim) falselyRefused(cfg *config.Config, from, to time.Duration) (fraction float64, counted int) {
	ok, refused := s.oracle(cfg), 0
	for _, r := range s.arrivals {
		if ok[r.number] && r.arrived >= from && r.arrived < to {
			counted++
		}
	}
	for _, r := range s.refused {
		if ok[r.number] && r.arrived >= from && r.arrived < to {
			refused++
		}
	}
	return float64(refused) / float64(max(1, counted)), counted
}

func (s *sim) targetNames() []string { return slices.Sorted(maps.Keys(s.targets)) }

// sample updates the load that targets report. The reported load lags behind
// the real one.
func (s *sim) sample() {
	for _, t := range s.targets {
		t.sampled, t.sampledAt = int64(t.running), int64(s.now)
	}
	s.at(nil, s.now+150*time.Millisecond, s.sample)
}

func (n *simNode) poll(sent clock.Reading, l *Ledger, t *simTarget) {
	s := n.s
	s.at(nil, s.now+500*time.Microsecond, func() {
		running, age := int(t.sampled), s.now-time.Duration(t.sampledAt)
		s.at(n, s.now+s.jitter(20*time.Millisecond), func() {
			l.RecordLoad(n.read(), n.cfg, t.name, Load{Running: running, SampledAt: sent.Lower - clock.ForGrantor(age)})
		})
	})
}

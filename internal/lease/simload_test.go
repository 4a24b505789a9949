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

// serve admits waiting requests in order per team and refuses late ones.
func (n *simNode) serve() {
	s, blocked, want := n.s, map[string]bool{}, map[string]float64{}
	kept := n.waiting[:0]
	for _, r := range n.waiting {
		want[r.team] += 0
		switch {
		case s.now-r.arrived > simWait:
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
			s.admissions = append(s.admissions, admission{s.now, r.team, r.tokens, n.region})
		}
		return ok
	}
	a, ok := n.holder.TryDebit(n.read(), r.team, r.tokens)
	if !ok {
		return false
	}
	debited := s.now
	// The process may stop between the debit and the last check.
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
		s.admissions = append(s.admissions, admission{debited, r.team, r.tokens - unused, n.region})
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
	t.flying++
	s.slotsUsed++
	if bound := s.capacity(t.name); t.flying > bound {
		s.faults = append(s.faults, fmt.Sprintf("%v: %d requests in flight on %s of %d", s.now, t.flying, t.name, bound))
	}
	s.at(nil, s.now+s.jitter(20*time.Millisecond), func() {
		t.running++
		s.at(nil, s.now+s.jitter(simMaxRun), func() {
			t.running--
			t.flying--
			s.at(n, s.now+s.jitter(30*time.Millisecond), func() { n.holder.Release(n.read(), slot) })
		})
	})
}

// window is how long an edit takes to reach everything that was granted under
// the one before it.
const window = simView + 2*Validity + simMaxRun + time.Second

// capacity is the greatest published capacity in the window.
func (s *sim) capacity(target string) int {
	c := 0
	s.inForce(s.now, func(ed *config.Config) { c = max(c, ed.Targets[target].Capacity) })
	return c
}

// inForce calls f with the editions that may be in force somewhere at t.
func (s *sim) inForce(t time.Duration, f func(*config.Config)) {
	for i, p := range s.editions {
		if p.at > t || i+1 < len(s.editions) && s.editions[i+1].at+window <= t {
			continue
		}
		f(p.ed)
	}
}

// audit checks the sum on which the bound of admissions rests: the levels of
// all grantors within their terms and the balances that can still be spent are
// never more than the burst.
func (s *sim) audit() {
	for team := range s.editions[0].ed.Teams {
		sum, bound := 0.0, 0.0
		s.inForce(s.now, func(ed *config.Config) { bound = max(bound, ed.Teams[team].Burst) })
		for _, n := range s.nodes {
			now := n.read()
			sum += n.holder.Balance(now, team)
			t, ok := n.cand.Lease(now)
			if !ok || n.ledger == nil || n.ledger.Ballot() != t.Ballot || n.ledger.buckets[team] == nil {
				continue
			}
			b := *n.ledger.buckets[team]
			b.lows = nil
			ceiling := b.burst
			if n.ledger.opening(now) {
				ceiling /= 2
			}
			b.advance(now.Lower, b.rate, b.burst, ceiling)
			sum += b.level
		}
		if sum > bound+1e-3 {
			s.faults = append(s.faults, fmt.Sprintf("%v: levels and balances of %s are %.1f of %.1f", s.now, team, sum, bound))
		}
	}
	s.at(nil, s.now+50*time.Millisecond, s.audit)
}

// overAdmitted runs a reference token bucket over the record of one team and
// returns how far the admissions exceed rate x t + burst at worst, in tokens.
func (s *sim) overAdmitted(team string) float64 {
	bounds := func(t time.Duration) (rate, burst float64) {
		s.inForce(t, func(ed *config.Config) {
			rate, burst = max(rate, ed.Teams[team].Rate), max(burst, ed.Teams[team].Burst)
		})
		return rate, burst
	}
	record := make([]admission, 0, len(s.admissions))
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

// oracle replays the arrivals on one bucket with perfect knowledge and returns
// the numbers of the requests it admits within the wait.
func (s *sim) oracle(ed *config.Config) map[int]bool {
	admitted := map[int]bool{}
	for name, team := range ed.Teams {
		level, at := team.Burst, time.Duration(0)
		free := time.Duration(0) // when the request before was admitted
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
			if start-r.arrived > simWait {
				continue
			}
			admitted[r.number] = true
			level, at, free = l-r.tokens, start, start
		}
	}
	return admitted
}

// falselyRefused returns the share of the requests admitted by the oracle,
// among those that arrived in the interval, that the system refused.
func (s *sim) falselyRefused(ed *config.Config, from, to time.Duration) (share float64, counted int) {
	ok, refused := s.oracle(ed), 0
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

// sample refreshes the load that targets report; it lags.
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
			l.RecordLoad(n.read(), n.ed, t.name, Load{Running: running, SampledAt: sent.Lower - clock.ForGrantor(age)})
		})
	})
}

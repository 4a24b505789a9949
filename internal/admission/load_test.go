package admission

import (
	"testing"
	"time"
)

// fiveTeams returns the teams of the noisy-neighbour test. The demand of the
// first is noisyFactor times its rate, that of the others 0.9 times theirs. The
// rates add up to the fraction load of the capacity.
func fiveTeams(load, noisyFactor float64) []simTeam {
	rateShares := []float64{0.35, 0.25, 0.2, 0.15, 0.05}
	meanTokens := []float64{800, 200, 400, 100, 300}
	var out []simTeam
	for i, share := range rateShares {
		rate := share * load * simCapacity
		t := simTeam{name: string(rune('a' + i)), weight: 1, rate: rate, offered: 0.9 * rate, meanTokens: meanTokens[i]}
		if i == 0 {
			t.offered = noisyFactor * rate
		}
		out = append(out, t)
	}
	return out
}

const (
	loadSeed = 7
	loadRuns = 10 // runs whose statistics are combined, for a stable p99
)

// runSeeds combines the statistics of runs with different seeds.
func runSeeds(teams []simTeam, newPolicy func(*fakeHolder, func() time.Time) policy) *sim {
	all := runSim(loadSeed, teams, newPolicy)
	for seed := uint64(loadSeed + 1); seed < loadSeed+loadRuns; seed++ {
		for i, st := range runSim(seed, teams, newPolicy).stats {
			all.stats[i].add(st)
		}
	}
	return all
}

// compareNeighbours returns the effect of one team at 5 times its rate on the
// other teams: the largest increase of the refused fraction and the largest ratio of
// p99 queue times. Times below one renewal interval count as one interval.
func compareNeighbours(t *testing.T, name string, newPolicy func(*fakeHolder, func() time.Time) policy) (refused, p99 float64) {
	base := runSeeds(fiveTeams(0.85, 1), newPolicy)
	noisy := runSeeds(fiveTeams(0.85, 5), newPolicy)
	absent := runSeeds(fiveTeams(0.85, 0), newPolicy)
	for i := range base.teams {
		b, n, a := &base.stats[i], &noisy.stats[i], &absent.stats[i]
		t.Logf("%s team %s: refused %.4f at 1x, %.4f at 5x; p99 wait %v at 1x, %v at 5x, %v without the noisy team",
			name, base.teams[i].name, b.refusedShare(), n.refusedShare(), b.p99(), n.p99(), a.p99())
		if i > 0 {
			refused = max(refused, n.refusedShare()-b.refusedShare())
			p99 = max(p99, float64(max(n.p99(), simRenewInterval))/float64(max(b.p99(), simRenewInterval)))
		}
	}
	return refused, p99
}

// Guards against one team at 5 times its rate making the requests of other teams
// wait or be refused. The naive queue must fail the same check.
func TestNoisyNeighbour(t *testing.T) {
	const refusedBound, p99Bound = 0.001, 1.2
	check := func(name string, newPolicy func(*fakeHolder, func() time.Time) policy) bool {
		refused, p99 := compareNeighbours(t, name, newPolicy)
		t.Logf("%s: refused fraction of others +%.4f, p99 wait of others x%.3f", name, refused, p99)
		return refused <= refusedBound && p99 <= p99Bound
	}
	if check("fifo", newDroppingFIFOPolicy) {
		t.Error("the naive queue passes, so the check shows nothing")
	}
	if !check("wfq", newManagerPolicy) {
		t.Error("others suffer from one team at 5 times its rate")
	}
}

// worstServedRatio returns the smallest ratio of a team's served tokens to its
// weighted fair share. The demand of every team must exceed this share.
func worstServedRatio(s *sim) float64 {
	var total, weights float64
	for i := range s.teams {
		total += s.stats[i].served
		weights += s.teams[i].weight
	}
	worst := 1.0
	for i := range s.teams {
		worst = min(worst, s.stats[i].served*weights/(total*s.teams[i].weight))
	}
	return worst
}

// Guards against a team getting less than its weighted share of targets at
// capacity.
func TestWorstServedTeam(t *testing.T) {
	var teams []simTeam
	for i, weight := range []float64{1, 2, 4, 1, 2} {
		teams = append(teams, simTeam{name: string(rune('a' + i)), weight: weight, rate: 10 * simCapacity,
			offered: []float64{1, 2, 1.5, 3, 0.8}[i] * simCapacity, meanTokens: []float64{1600, 100, 400, 50, 800}[i]})
	}
	naive := worstServedRatio(runSim(loadSeed, teams, newDroppingFIFOPolicy))
	fair := worstServedRatio(runSim(loadSeed, teams, newManagerPolicy))
	t.Logf("worst-served team: fifo %.3f, wfq %.3f of its fair share", naive, fair)
	if naive >= 0.95 {
		t.Error("the naive queue passes, so the check shows nothing")
	}
	if fair < 0.95 {
		t.Errorf("worst-served team gets %.3f of its fair share", fair)
	}
}

// goodput returns the tokens per second of requests that started in time.
func goodput(s *sim) float64 {
	sum := 0.0
	for i := range s.stats {
		sum += s.stats[i].served
	}
	return sum / (simEnd - simWarmup).Seconds()
}

// Guards against congestion collapse: at 5 times the load, the throughput of
// requests that start in time must not drop.
func TestGoodputUnderOverload(t *testing.T) {
	goodputAt := func(load float64, newPolicy func(*fakeHolder, func() time.Time) policy) float64 {
		teams := fiveTeams(1, 0.9)
		for i := range teams {
			teams[i].offered = load * teams[i].rate
			teams[i].rate *= 10
		}
		return goodput(runSim(loadSeed, teams, newPolicy))
	}
	for _, base := range []float64{1} {
		naive, fair := goodputAt(5*base, newFIFOPolicy)/goodputAt(base, newFIFOPolicy), goodputAt(5*base, newManagerPolicy)/goodputAt(base, newManagerPolicy)
		t.Logf("goodput at 5 times a load of %.1f: fifo %.3f, wfq %.3f of that at 1 times", base, naive, fair)
		if naive >= 0.9 {
			t.Error("the naive queue passes, so the check shows nothing")
		}
		if fair < 0.9 {
			t.Errorf("goodput falls to %.3f", fair)
		}
	}
}

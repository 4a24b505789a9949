package admission

import (
	"testing"
	"time"
)

// fiveTeams are the teams of the noisy-neighbour tests: the first offers noisy
// times its rate, the others 0.9 times theirs. The rates together use load of
// the slots.
func fiveTeams(load, noisy float64) []simTeam {
	part := []float64{0.35, 0.25, 0.2, 0.15, 0.05}
	mean := []float64{800, 200, 400, 100, 300}
	var out []simTeam
	for i, p := range part {
		rate := p * load * simCapacity
		t := simTeam{name: string(rune('a' + i)), weight: 1, rate: rate, offered: 0.9 * rate, mean: mean[i]}
		if i == 0 {
			t.offered = noisy * rate
		}
		out = append(out, t)
	}
	return out
}

const (
	loadSeed  = 7
	loadSeeds = 10 // runs whose waits are put together, for stable p99 times
)

// runSeeds puts the statistics of several runs together.
func runSeeds(teams []simTeam, build func(*fakeRights, func() time.Time) admission) *sim {
	all := runSim(loadSeed, teams, build)
	for seed := uint64(loadSeed + 1); seed < loadSeed+loadSeeds; seed++ {
		for i, st := range runSim(seed, teams, build).stats {
			all.stats[i].add(st)
		}
	}
	return all
}

// neighbours reports what one team at 5 times its rate does to the others: the
// largest increase of the refused share and the largest ratio of p99 queue
// times, where times under one renewal count as one renewal.
func neighbours(t *testing.T, name string, build func(*fakeRights, func() time.Time) admission) (refused, p99 float64) {
	base := runSeeds(fiveTeams(0.85, 1), build)
	noisy := runSeeds(fiveTeams(0.85, 5), build)
	absent := runSeeds(fiveTeams(0.85, 0), build)
	for i := range base.teams {
		b, n, a := &base.stats[i], &noisy.stats[i], &absent.stats[i]
		t.Logf("%s team %s: refused %.4f at 1x, %.4f at 5x; p99 wait %v at 1x, %v at 5x, %v without the noisy team",
			name, base.teams[i].name, b.refusedShare(), n.refusedShare(), b.p99(), n.p99(), a.p99())
		if i > 0 {
			refused = max(refused, n.refusedShare()-b.refusedShare())
			p99 = max(p99, float64(max(n.p99(), simTick))/float64(max(b.p99(), simTick)))
		}
	}
	return refused, p99
}

// Guards against one team at 5 times its rate that makes others wait or be
// refused. The naive queue must fail the same check.
func TestNoisyNeighbour(t *testing.T) {
	const refusedBound, p99Bound = 0.001, 1.2
	check := func(name string, build func(*fakeRights, func() time.Time) admission) bool {
		refused, p99 := neighbours(t, name, build)
		t.Logf("%s: refused share of others +%.4f, p99 wait of others x%.3f", name, refused, p99)
		return refused <= refusedBound && p99 <= p99Bound
	}
	if check("fifo", newFIFODrop) {
		t.Error("the naive queue passes, so the check shows nothing")
	}
	if !check("wfq", newManaged) {
		t.Error("others suffer from one team at 5 times its rate")
	}
}

// worstShare is the smallest ratio of a team's service to its weighted fair
// share while all teams offer more than that.
func worstShare(s *sim) float64 {
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

// Guards against a team that gets less than its weighted share of full targets.
func TestWorstServedTeam(t *testing.T) {
	var teams []simTeam
	for i, weight := range []float64{1, 2, 4, 1, 2} {
		teams = append(teams, simTeam{name: string(rune('a' + i)), weight: weight, rate: 10 * simCapacity,
			offered: []float64{1, 2, 1.5, 3, 0.8}[i] * simCapacity, mean: []float64{1600, 100, 400, 50, 800}[i]})
	}
	naive := worstShare(runSim(loadSeed, teams, newFIFODrop))
	ours := worstShare(runSim(loadSeed, teams, newManaged))
	t.Logf("worst-served team: fifo %.3f, wfq %.3f of its fair share", naive, ours)
	if naive >= 0.95 {
		t.Error("the naive queue passes, so the check shows nothing")
	}
	if ours < 0.95 {
		t.Errorf("worst-served team gets %.3f of its fair share", ours)
	}
}

// goodput is the tokens per second of requests that started in time.
func goodput(s *sim) float64 {
	sum := 0.0
	for i := range s.stats {
		sum += s.stats[i].served
	}
	return sum / (simEnd - simWarm).Seconds()
}

// Guards against collapse: at 5 times the load, requests that start in time
// must not become fewer.
func TestGoodputUnderOverload(t *testing.T) {
	at := func(load float64, build func(*fakeRights, func() time.Time) admission) float64 {
		teams := fiveTeams(1, 0.9)
		for i := range teams {
			teams[i].offered = load * teams[i].rate
			teams[i].rate *= 10
		}
		return goodput(runSim(loadSeed, teams, build))
	}
	for _, base := range []float64{1} {
		naive, ours := at(5*base, newFIFO)/at(base, newFIFO), at(5*base, newManaged)/at(base, newManaged)
		t.Logf("goodput at 5 times a load of %.1f: fifo %.3f, wfq %.3f of that at 1 times", base, naive, ours)
		if naive >= 0.9 {
			t.Error("the naive queue passes, so the check shows nothing")
		}
		if ours < 0.9 {
			t.Errorf("goodput falls to %.3f", ours)
		}
	}
}

package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

// deployment is one of the two deployments of docs/design.md, with the demand
// of its regions at one time of the day.
type deployment struct {
	name      string
	regions   []string
	bandwidth float64
	loads     []float64 // demand by region, in parts of the capacity
	policy    config.Policy
	// long is the part of requests with a long prompt. Those of Ramdin go on
	// with a patient's history, those of Peachtree start from a shared catalog.
	long     float64
	sessions bool
}

func ramdin(loads ...float64) deployment {
	return deployment{name: "ramdin", regions: []string{"curepipe", "mahebourg", "portlouis"}, bandwidth: 140e6, loads: loads, long: 0.25, sessions: true,
		policy: config.Policy{CostWeight: 3, SentAwayWeight: 3, LatencyWeight: 1, WorstTeamWeight: 1, QueueWait: 10 * time.Second, HopSlots: 64}}
}

func peachtree(loads ...float64) deployment {
	return deployment{name: "peachtree", regions: []string{"dalton", "macon", "savannah"}, bandwidth: 2000e6, loads: loads, long: 0.3,
		policy: config.Policy{CostWeight: 1, SentAwayWeight: 1, LatencyWeight: 3, WorstTeamWeight: 3, QueueWait: 10 * time.Second, HopSlots: 64}}
}

// Output tokens of long and short requests, from and up to.
const (
	longFrom, longTo   = 200, 400
	shortFrom, shortTo = 40, 120
)

// slotSeconds is the mean time that a request holds a slot.
func (d deployment) slotSeconds() float64 {
	tokens := d.long*(longFrom+longTo)/2 + (1-d.long)*(shortFrom+shortTo)/2
	return tokens*simToken.Seconds() + 0.2
}

// workload draws requests. Each region has generators of its own, so that its
// demand does not depend on the policy.
type workload struct {
	d       deployment
	arrival map[string]*rand.Rand
	draw    map[string]*rand.Rand
	open    map[string][]*session
}

// session is a patient's history.
type session struct {
	team   int
	hashes []uint64
	turns  int
}

func newWorkload(d deployment, seed uint64) *workload {
	w := &workload{d: d, arrival: map[string]*rand.Rand{}, draw: map[string]*rand.Rand{}, open: map[string][]*session{}}
	for i, r := range d.regions {
		w.arrival[r] = rand.New(rand.NewPCG(seed, uint64(2*i)))
		w.draw[r] = rand.New(rand.NewPCG(seed, uint64(2*i+1)))
	}
	return w
}

func (w *workload) instance(region string) int { return w.draw[region].IntN(simInstances) }

func span(rng *rand.Rand, from, to int) int { return from + rng.IntN(to-from+1) }

// extend appends n block hashes of the text named id.
func extend(hashes []uint64, id uint64, n int) []uint64 {
	for range n {
		hashes = append(hashes, mix(id<<20|uint64(len(hashes))))
	}
	return hashes
}

func (w *workload) fresh(rng *rand.Rand) uint64 { return rng.Uint64() >> 24 }

func (w *workload) next(region string) Query {
	rng := w.draw[region]
	team := 0
	for x := rng.Float64(); team < 4 && x > []float64{0.4, 0.65, 0.85, 0.95}[team]; team++ {
	}
	q := Query{Team: fmt.Sprintf("team-%d", team), Model: "m"}
	long := rng.Float64() < w.d.long
	switch {
	case long && w.d.sessions:
		q.PrefixHashes = w.turn(region, team, rng)
	case long:
		catalog := uint64(min(rng.ExpFloat64()*6, 24))
		q.PrefixHashes = extend(nil, 1000+catalog, 100+int(catalog*7%40))
		q.PrefixHashes = extend(q.PrefixHashes, w.fresh(rng), span(rng, 2, 4))
	case w.d.sessions:
		q.PrefixHashes = extend(extend(nil, uint64(team), 16), w.fresh(rng), span(rng, 2, 6))
	default:
		q.PrefixHashes = extend(extend(nil, uint64(team), 4), w.fresh(rng), span(rng, 2, 6))
	}
	q.PromptTokens = len(q.PrefixHashes)*blockTokens + rng.IntN(blockTokens)
	q.OutputTokens = span(rng, shortFrom, shortTo)
	if long {
		q.OutputTokens = span(rng, longFrom, longTo)
	}
	return q
}

// simSessions is the number of open histories per region.
const simSessions = 40

// turn goes on with an open history or opens a new one.
func (w *workload) turn(region string, team int, rng *rand.Rand) []uint64 {
	open := w.open[region]
	if len(open) < simSessions {
		s := &session{team: team, hashes: extend(extend(nil, uint64(team), 16), w.fresh(rng), span(rng, 60, 110))}
		w.open[region] = append(open, s)
		return slices.Clone(s.hashes)
	}
	i := rng.IntN(len(open))
	s := open[i]
	s.hashes = extend(s.hashes, w.fresh(rng), 5)
	if s.turns++; s.turns > 8 {
		w.open[region] = slices.Delete(open, i, i+1)
	}
	return slices.Clone(s.hashes)
}

// chooser is a routing policy of the simulation.
type chooser interface {
	choose(n *netSim, r *reqSim) Choice
}

// ours is the policy under test.
type ours struct{}

func (ours) choose(n *netSim, r *reqSim) Choice { return r.tracker.Decide(r.q, n.d.policy) }

// ranked orders targets by a score. Unless it is exact, it uses the same late
// beliefs as ours, and sends a request away as soon as the own region seems
// full and another one does not.
type ranked struct {
	score func(n *netSim, r *reqSim, t *TargetView, i int, salt uint64) float64
	exact bool
}

func (p ranked) choose(n *netSim, r *reqSim) Choice {
	v := r.tracker.View(r.q)
	scores := make(map[string]float64, len(v.Targets))
	var c Choice
	full := true
	for i := range v.Targets {
		t := &v.Targets[i]
		e := n.byName[t.Target.Name]
		running := t.Running
		if p.exact {
			running = e.running
			t.Live = e.live
		}
		if !t.Live {
			continue
		}
		full = full && running >= simSlots
		scores[t.Target.Name] = p.score(n, r, t, i, v.TieSeed)
		c.Targets = append(c.Targets, t.Target.Name)
	}
	slices.SortFunc(c.Targets, func(a, b string) int { return sign(scores[a] < scores[b]) })
	if r.q.LocalOnly || !full {
		return c
	}
	most, to := 0, ""
	for _, o := range v.Regions {
		if p.exact {
			o.FreeSlots = 0
			for _, e := range n.region(o.Region).engines {
				if e.live {
					o.FreeSlots += simSlots - e.running
				}
			}
			// The exact policy waits if that is faster than the hop.
			if v.LocalWait < 200*time.Millisecond {
				continue
			}
		}
		if o.FreeSlots < 0 {
			c.RefreshRegions = append(c.RefreshRegions, o.Region)
		}
		if o.FreeSlots > most {
			most, to = o.FreeSlots, o.Region
		}
	}
	if to != "" {
		return Choice{Region: to, RefreshRegions: c.RefreshRegions}
	}
	return c
}

// chance is a number from 0 to 1 that depends on salt and i only.
func chance(salt uint64, i int) float64 { return float64(mix(salt+uint64(i))>>11) / (1 << 53) }

var policies = []struct {
	name string
	chooser
}{
	{"random", ranked{score: func(_ *netSim, _ *reqSim, _ *TargetView, i int, salt uint64) float64 { return chance(salt, i) }}},
	{"least-loaded", ranked{score: func(_ *netSim, _ *reqSim, t *TargetView, i int, salt uint64) float64 {
		return float64(t.Running+t.Queued) + chance(salt, i)
	}}},
	{"two-choices", ranked{score: func(_ *netSim, _ *reqSim, t *TargetView, i int, salt uint64) float64 {
		// Two targets, drawn by the salt, come before the others.
		a, b := int(salt%simReplicas), int(salt/simReplicas%(simReplicas-1))
		if b >= a {
			b++
		}
		if i != a && i != b {
			return 1e6 + chance(salt, i)
		}
		return float64(t.Running+t.Queued) + chance(salt, i)
	}}},
	{"affinity", ranked{score: func(_ *netSim, _ *reqSim, t *TargetView, i int, salt uint64) float64 {
		return -float64(t.CachedTokens) + chance(salt, i)
	}}},
	{"ours", ours{}},
	{"oracle-cache", ranked{exact: true, score: func(n *netSim, r *reqSim, t *TargetView, _ int, _ uint64) float64 {
		e := n.byName[t.Target.Name]
		return -float64(e.cache.cached(r.q.PrefixHashes)) + float64(e.running)/1000
	}}},
	{"oracle-load", ranked{exact: true, score: func(n *netSim, r *reqSim, t *TargetView, _ int, _ uint64) float64 {
		e := n.byName[t.Target.Name]
		uncached := r.q.PromptTokens - min(e.cache.cached(r.q.PrefixHashes), r.q.PromptTokens)
		score := max(0, e.busy-n.now).Seconds() + float64(uncached)/prefillRate + float64(e.running)/1e6
		if e.running >= simSlots {
			score += 1000
		}
		return score
	}}},
}

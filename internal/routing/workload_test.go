package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/config"
)

// deployment is one of the two deployments of docs/design.md, with the demand of
// its regions at one time of day.
type deployment struct {
	name      string
	regions   []string
	bandwidth float64
	demand    []float64 // by region, as a fraction of the capacity
	policy    config.Policy
	// longFraction is the fraction of requests with a long prompt. Those of Ramdin
	// continue a patient's history (sessions), those of Peachtree start with a
	// shared catalog.
	longFraction float64
	sessions     bool
}

func ramdin(demand ...float64) deployment {
	return deployment{name: "ramdin", regions: []string{"curepipe", "mahebourg", "portlouis"}, bandwidth: 140e6, demand: demand, longFraction: 0.25, sessions: true,
		policy: config.Policy{CostWeight: 3, RemoteWeight: 3, LatencyWeight: 1, WorstTeamWeight: 1, MaxQueueWait: 10 * time.Second, HopSlots: 64}}
}

func peachtree(demand ...float64) deployment {
	return deployment{name: "peachtree", regions: []string{"dalton", "macon", "savannah"}, bandwidth: 2000e6, demand: demand, longFraction: 0.3,
		policy: config.Policy{CostWeight: 1, RemoteWeight: 1, LatencyWeight: 3, WorstTeamWeight: 3, MaxQueueWait: 10 * time.Second, HopSlots: 64}}
}

// Bounds of the output tokens of long and short requests, inclusive.
const (
	longFrom, longTo   = 200, 400
	shortFrom, shortTo = 40, 120
)

// slotSeconds is the mean time that a request holds a slot, in seconds.
func (d deployment) slotSeconds() float64 {
	tokens := d.longFraction*(longFrom+longTo)/2 + (1-d.longFraction)*(shortFrom+shortTo)/2
	return tokens*simToken.Seconds() + 0.2
}

// workload generates requests. Each region has its own random number generators,
// so that its demand does not depend on the policy.
type workload struct {
	deployment   deployment
	arrivalRNG   map[string]*rand.Rand
	requestRNG   map[string]*rand.Rand
	openSessions map[string][]*session
}

// session is a growing prompt: a patient's history.
type session struct {
	team   int
	hashes []uint64
	turns  int
}

func newWorkload(d deployment, seed uint64) *workload {
	w := &workload{deployment: d, arrivalRNG: map[string]*rand.Rand{}, requestRNG: map[string]*rand.Rand{}, openSessions: map[string][]*session{}}
	for i, r := range d.regions {
		w.arrivalRNG[r] = rand.New(rand.NewPCG(seed, uint64(2*i)))
		w.requestRNG[r] = rand.New(rand.NewPCG(seed, uint64(2*i+1)))
	}
	return w
}

func (w *workload) pickInstance(region string) int { return w.requestRNG[region].IntN(simInstances) }

func uniformInt(rng *rand.Rand, from, to int) int { return from + rng.IntN(to-from+1) }

// appendBlocks appends n block hashes of the text identified by id.
func appendBlocks(hashes []uint64, id uint64, n int) []uint64 {
	for range n {
		hashes = append(hashes, splitmix64(id<<20|uint64(len(hashes))))
	}
	return hashes
}

func (w *workload) newTextID(rng *rand.Rand) uint64 { return rng.Uint64() >> 24 }

func (w *workload) nextRequest(region string) Query {
	rng := w.requestRNG[region]
	team := 0
	for x := rng.Float64(); team < 4 && x > []float64{0.4, 0.65, 0.85, 0.95}[team]; team++ {
	}
	q := Query{Team: fmt.Sprintf("team-%d", team), Model: "m"}
	long := rng.Float64() < w.deployment.longFraction
	switch {
	case long && w.deployment.sessions:
		q.PrefixHashes = w.nextTurn(region, team, rng)
	case long:
		catalog := uint64(min(rng.ExpFloat64()*6, 24))
		q.PrefixHashes = appendBlocks(nil, 1000+catalog, 100+int(catalog*7%40))
		q.PrefixHashes = appendBlocks(q.PrefixHashes, w.newTextID(rng), uniformInt(rng, 2, 4))
	case w.deployment.sessions:
		q.PrefixHashes = appendBlocks(appendBlocks(nil, uint64(team), 16), w.newTextID(rng), uniformInt(rng, 2, 6))
	default:
		q.PrefixHashes = appendBlocks(appendBlocks(nil, uint64(team), 4), w.newTextID(rng), uniformInt(rng, 2, 6))
	}
	q.PromptTokens = len(q.PrefixHashes)*blockTokens + rng.IntN(blockTokens)
	q.OutputTokens = uniformInt(rng, shortFrom, shortTo)
	if long {
		q.OutputTokens = uniformInt(rng, longFrom, longTo)
	}
	return q
}

// simSessions is the number of open sessions per region.
const simSessions = 40

// nextTurn returns the prompt of a new session, or extends an open one if there
// are simSessions of them. A session is closed after its ninth extension.
func (w *workload) nextTurn(region string, team int, rng *rand.Rand) []uint64 {
	open := w.openSessions[region]
	if len(open) < simSessions {
		s := &session{team: team, hashes: appendBlocks(appendBlocks(nil, uint64(team), 16), w.newTextID(rng), uniformInt(rng, 60, 110))}
		w.openSessions[region] = append(open, s)
		return slices.Clone(s.hashes)
	}
	i := rng.IntN(len(open))
	s := open[i]
	s.hashes = appendBlocks(s.hashes, w.newTextID(rng), 5)
	if s.turns++; s.turns > 8 {
		w.openSessions[region] = slices.Delete(open, i, i+1)
	}
	return slices.Clone(s.hashes)
}

// chooser is a routing policy of the simulation.
type chooser interface {
	choose(n *simNetwork, r *simRequest) Choice
}

// trackerChooser is the policy under test.
type trackerChooser struct{}

func (trackerChooser) choose(n *simNetwork, r *simRequest) Choice {
	return r.tracker.Decide(r.q, n.deployment.policy)
}

// scoreChooser orders targets by a score, lowest first. Unless it is exact, it uses
// the same late information as the policy under test, and forwards a request as
// soon as the local region seems full and another one does not.
type scoreChooser struct {
	score func(n *simNetwork, r *simRequest, t *TargetView, i int, seed uint64) float64
	exact bool
}

func (p scoreChooser) choose(n *simNetwork, r *simRequest) Choice {
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
	slices.SortFunc(c.Targets, func(a, b string) int { return sortOrder(scores[a] < scores[b]) })
	if r.q.LocalOnly || !full {
		return c
	}
	mostFree, to := 0, ""
	for _, o := range v.Regions {
		if p.exact {
			o.FreeSlots = 0
			for _, e := range n.region(o.Region).engines {
				if e.live {
					o.FreeSlots += simSlots - e.running
				}
			}
			// The exact policy queues the request if the wait is shorter than the hop.
			if v.LocalWait < 200*time.Millisecond {
				continue
			}
		}
		if o.FreeSlots < 0 {
			c.RefreshRegions = append(c.RefreshRegions, o.Region)
		}
		if o.FreeSlots > mostFree {
			mostFree, to = o.FreeSlots, o.Region
		}
	}
	if to != "" {
		return Choice{Region: to, RefreshRegions: c.RefreshRegions}
	}
	return c
}

// unitFloatAt hashes seed and i to a number in [0, 1).
func unitFloatAt(seed uint64, i int) float64 {
	return float64(splitmix64(seed+uint64(i))>>11) / (1 << 53)
}

var policies = []struct {
	name string
	chooser
}{
	{"random", scoreChooser{score: func(_ *simNetwork, _ *simRequest, _ *TargetView, i int, seed uint64) float64 {
		return unitFloatAt(seed, i)
	}}},
	{"least-loaded", scoreChooser{score: func(_ *simNetwork, _ *simRequest, t *TargetView, i int, seed uint64) float64 {
		return float64(t.Running+t.Queued) + unitFloatAt(seed, i)
	}}},
	{"two-choices", scoreChooser{score: func(_ *simNetwork, _ *simRequest, t *TargetView, i int, seed uint64) float64 {
		// Two targets, selected by the seed, rank before all others.
		a, b := int(seed%simReplicas), int(seed/simReplicas%(simReplicas-1))
		if b >= a {
			b++
		}
		if i != a && i != b {
			return 1e6 + unitFloatAt(seed, i)
		}
		return float64(t.Running+t.Queued) + unitFloatAt(seed, i)
	}}},
	{"affinity", scoreChooser{score: func(_ *simNetwork, _ *simRequest, t *TargetView, i int, seed uint64) float64 {
		return -float64(t.CachedTokens) + unitFloatAt(seed, i)
	}}},
	{"ours", trackerChooser{}},
	{"oracle-cache", scoreChooser{exact: true, score: func(n *simNetwork, r *simRequest, t *TargetView, _ int, _ uint64) float64 {
		e := n.byName[t.Target.Name]
		return -float64(e.cache.cachedTokens(r.q.PrefixHashes)) + float64(e.running)/1000
	}}},
	{"oracle-load", scoreChooser{exact: true, score: func(n *simNetwork, r *simRequest, t *TargetView, _ int, _ uint64) float64 {
		e := n.byName[t.Target.Name]
		uncached := r.q.PromptTokens - min(e.cache.cachedTokens(r.q.PrefixHashes), r.q.PromptTokens)
		score := max(0, e.prefillUntil-n.now).Seconds() + float64(uncached)/prefillRate + float64(e.running)/1e6
		if e.running >= simSlots {
			score += 1000
		}
		return score
	}}},
}

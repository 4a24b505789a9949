package lease

import (
	"testing"
	"time"
)

// staticSplit gives every instance a fixed fraction of each team's rate and
// burst.
type staticSplit struct{ buckets map[string]*bucket }

func (p *staticSplit) step(*simNode) {}

func (p *staticSplit) debit(n *simNode, team string, tokens float64) bool {
	t, instances := n.cfg.Teams[team], float64(len(n.s.nodes))
	b := p.buckets[team]
	if b == nil {
		b = newBucket(0, 0, t.Rate/instances, t.Burst/instances)
		b.level = b.burst
		p.buckets[team] = b
	}
	b.advance(n.s.now, t.Rate/instances, t.Burst/instances, b.burst)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}

// gossipCounter makes every instance count all admissions that it receives
// messages about.
type gossipCounter struct {
	buckets map[string]*bucket
	pending map[string]float64 // local admissions not sent yet
	last    time.Duration
}

func (p *gossipCounter) bucket(n *simNode, team string) *bucket {
	t, b := n.cfg.Teams[team], p.buckets[team]
	if b == nil {
		b = newBucket(0, 0, t.Rate, t.Burst)
		b.level = b.burst
		p.buckets[team] = b
	}
	b.advance(n.s.now, t.Rate, t.Burst, b.burst)
	return b
}

func (p *gossipCounter) debit(n *simNode, team string, tokens float64) bool {
	b := p.bucket(n, team)
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	p.pending[team] += tokens
	return true
}

func (p *gossipCounter) step(n *simNode) {
	if n.s.now-p.last < RenewInterval {
		return
	}
	p.last = n.s.now
	for _, to := range n.s.nodes {
		if to == n {
			continue
		}
		pending := p.pending
		n.s.call(n, to.addr, func(to *simNode) func() {
			other := to.naive.(*gossipCounter)
			for team, tokens := range pending {
				b := other.bucket(to, team)
				b.level = max(0, b.level-tokens)
			}
			return nil
		})
	}
	p.pending = map[string]float64{}
}

func newStatic() spender { return &staticSplit{map[string]*bucket{}} }
func newGossip() spender {
	return &gossipCounter{buckets: map[string]*bucket{}, pending: map[string]float64{}}
}

// runBaseline simulates demand of 90% of the rate at one instance, or of twice
// the rate everywhere with one region partitioned halfway.
func runBaseline(naive func() spender, partition bool) (refused, over float64) {
	const length = 40 * time.Second
	cfg := simConfig(3, 3, 1, 1000, 4000, 8)
	s := newSim(7, 3, 3, cfg, naive)
	load, pick := 900.0, func(time.Duration) int { return 4 }
	if partition {
		load, pick = 2000, func(time.Duration) int { return s.rng.IntN(9) }
		s.at(nil, 20*time.Second, func() {
			for i := range 3 {
				s.group[voterAddress("a", i)] = 1
			}
		})
	}
	s.poisson("t0", load, func(time.Duration) float64 { return load }, 50, pick, length)
	s.run(length)
	refused, _ = s.falselyRefused(cfg, 10*time.Second, length-simMaxWait)
	return refused, s.overAdmitted("t0")
}

// Guards against a simulation that cannot tell a good mechanism from a bad one,
// and shows how simpler mechanisms fail.
func TestSimplerMechanismsFail(t *testing.T) {
	static, _ := runBaseline(newStatic, false)
	_, gossip := runBaseline(newGossip, true)
	refused, _ := runBaseline(nil, false)
	_, over := runBaseline(nil, true)
	t.Logf("static split: %.1f%% falsely refused; gossiped counter, partition: %.0f tokens over; leases: %.2f%% and %.0f", 100*static, gossip, 100*refused, over)
	if static < 0.5 {
		t.Errorf("the static split refused only %.1f%% falsely", 100*static)
	}
	if gossip < 1000 {
		t.Errorf("the gossiped counter admitted only %.0f tokens over", gossip)
	}
	if refused >= 0.005 || over > 1e-3 {
		t.Errorf("leases refused %.2f%% falsely and admitted %.1f tokens over", 100*refused, over)
	}
}

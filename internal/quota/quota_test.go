package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

// fleet simulates a set of instances on a virtual clock. Heartbeats are delayed
// and may be lost.
type fleet struct {
	rng         *rand.Rand
	now         time.Time
	team        *deployment.Team
	instances   []*node
	partitioned map[[2]int]bool // pairs that do not receive each other's heartbeats
	admitted    []admission
	requested   float64
	refused     float64
}

type node struct {
	limiter     *Limiter
	address     string
	domain      string
	incarnation uint64
	// received holds the last heartbeats of the others, by index.
	received map[int]heartbeat
	alive    bool
}

type heartbeat struct {
	use         map[string]Usage
	incarnation uint64
	at          time.Time
}

type admission struct {
	at    time.Time
	units float64
}

// Intervals and timeouts of heartbeats within a failure domain and between failure
// domains, as in package heartbeat, and the probability that one is lost.
const (
	step          = 100 * time.Millisecond
	nearInterval  = 100 * time.Millisecond
	nearTimeout   = 250 * time.Millisecond
	farInterval   = 500 * time.Millisecond
	farTimeout    = 800 * time.Millisecond
	heartbeatLoss = 0.01
)

func newFleet(seed uint64, domains, perDomain int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), partitioned: map[[2]int]bool{},
		team: &deployment.Team{Name: "team", Rate: 250_000, Burst: 250_000, ByTokens: true}}
	for d := range domains {
		for i := range perDomain {
			n := &node{address: fmt.Sprintf("10.%d.0.%d:1", d, i), domain: fmt.Sprint("d", d)}
			f.instances = append(f.instances, n)
		}
	}
	for i := range f.instances {
		f.restart(i)
	}
	return f
}

func (f *fleet) domains() (out []string) {
	seen := map[string]bool{}
	for _, n := range f.instances {
		if !seen[n.domain] {
			seen[n.domain] = true
			out = append(out, n.domain)
		}
	}
	return out
}

func (f *fleet) restart(i int) {
	n := f.instances[i]
	n.limiter, n.received, n.alive = New(n.domain, f.domains()), map[int]heartbeat{}, true
	n.incarnation = f.rng.Uint64()
}

// partition separates all pairs of instances that are on different sides.
func (f *fleet) partition(side func(i int) int) {
	for i := range f.instances {
		for j := range f.instances {
			f.partitioned[[2]int{i, j}] = side(i) != side(j)
		}
	}
}

// exchange delivers the heartbeats that are due to all running instances.
func (f *fleet) exchange() {
	for i, n := range f.instances {
		if !n.alive {
			continue
		}
		var peers []Peer
		for j, o := range f.instances {
			if i == j {
				continue
			}
			interval, timeout := nearInterval, nearTimeout
			if n.domain != o.domain {
				interval, timeout = farInterval, farTimeout
			}
			if o.alive && !f.partitioned[[2]int{i, j}] && f.now.Sub(n.received[j].at) >= interval && f.rng.Float64() > heartbeatLoss {
				n.received[j] = heartbeat{o.limiter.LocalUsage(f.now), o.incarnation, f.now}
			}
			hb, ok := n.received[j]
			if !ok {
				continue
			}
			peers = append(peers, Peer{Address: o.address, Domain: o.domain, Incarnation: hb.incarnation, Usage: hb.use, LastSeen: hb.at, Reachable: f.now.Sub(hb.at) < timeout})
		}
		n.limiter.Observe(peers, f.now)
	}
}

// run advances the fleet by d. demand is the demand at instance i in tokens per
// second.
func (f *fleet) run(d time.Duration, demand func(i int) float64) {
	const perStep = 5
	for range int(d / step) {
		f.exchange()
		for range perStep {
			f.now = f.now.Add(step / perStep)
			for i, n := range f.instances {
				if n.alive {
					f.sendRequests(n, demand(i)*step.Seconds()/perStep)
				}
			}
		}
	}
}

// sendRequests sends requests of 400 or 20,000 tokens that add up to about units.
func (f *fleet) sendRequests(n *node, units float64) {
	for units > 0 {
		size := 400.0
		if f.rng.Float64() < 0.05 {
			size = 20_000
		}
		if units < size && f.rng.Float64() > units/size {
			return
		}
		units -= size
		f.requested += size
		if n.limiter.Admit(f.team, size, f.now).Admitted {
			f.admitted = append(f.admitted, admission{f.now, size})
		} else {
			f.refused += size
		}
	}
}

// maxAdmitted returns the largest number of tokens admitted in any window.
func (f *fleet) maxAdmitted(window time.Duration) float64 {
	most, sum, first := 0.0, 0.0, 0
	for i, a := range f.admitted {
		sum += a.units
		for a.at.Sub(f.admitted[first].at) >= window {
			sum -= f.admitted[first].units
			first++
		}
		most = max(most, sum)
		_ = i
	}
	return most
}

// bound is the guaranteed limit for a window of 8 s: (rate x window + burst) x
// 1.25 + 190,000 tokens.
func (f *fleet) bound() float64 { return (f.team.Rate*8+f.team.Burst)*1.25 + 190_000 }

func (f *fleet) checkBound(t *testing.T, what string) {
	t.Helper()
	if got := f.maxAdmitted(8 * time.Second); got > f.bound() {
		t.Errorf("%s: %.0f tokens in 8 s, the bound is %.0f", what, got, f.bound())
	}
}

func evenDemand(perSecond float64) func(int) float64 {
	return func(int) float64 { return perSecond / 9 }
}

func TestNothingIsRefusedWithinTheRate(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 3, 3)
		f.run(10*time.Second, evenDemand(0.5*f.team.Rate))
		// The load of all regions moves to one, and then to one instance.
		f.run(10*time.Second, func(i int) float64 { return map[bool]float64{true: 0.9 * f.team.Rate / 3}[i < 3] })
		f.run(10*time.Second, func(i int) float64 { return map[bool]float64{true: 0.9 * f.team.Rate}[i == 8] })
		if f.refused > 0.005*f.requested {
			t.Errorf("seed %d: %.4f of the tokens refused, allowed are 0.005", seed, f.refused/f.requested)
		}
		f.checkBound(t, "within the rate")
	}
}

func TestHotTeamStaysWithinBound(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 3, 3)
		f.run(5*time.Second, evenDemand(0.5*f.team.Rate))
		f.run(20*time.Second, evenDemand(4.2*f.team.Rate))
		f.checkBound(t, "hot team")
		if used := f.maxAdmitted(8 * time.Second); used < 0.9*8*f.team.Rate {
			t.Errorf("seed %d: a hot team got %.0f tokens in 8 s, less than 0.9 of its rate", seed, used)
		}
	}
}

func TestBoundHoldsThroughPartitionsAndRestarts(t *testing.T) {
	for seed := range uint64(60) {
		f := newFleet(seed, 3, 3)
		f.run(3*time.Second, evenDemand(0.5*f.team.Rate))
		for range 6 {
			hot := f.rng.IntN(3)
			demand := func(i int) float64 {
				if i/3 == hot {
					return f.team.Rate
				}
				return f.team.Rate * 4 / 9
			}
			switch f.rng.IntN(4) {
			case 0: // all regions partitioned from each other
				f.partition(func(i int) int { return i / 3 })
			case 1: // one region partitioned
				f.partition(func(i int) int { return map[bool]int{true: 1}[i/3 == hot] })
			case 2: // all restarted together
				for i := range f.instances {
					f.restart(i)
				}
			case 3: // one restarted
				f.restart(f.rng.IntN(len(f.instances)))
			}
			f.run(4*time.Second, demand)
			f.partition(func(int) int { return 0 })
			f.run(2*time.Second, demand)
		}
		f.checkBound(t, fmt.Sprint("seed ", seed))
	}
}

// Guards against refusing callers of a partitioned region whose demand has not
// changed: each side of a partition keeps the share that it used before.
func TestPartitionedRegionKeepsItsShare(t *testing.T) {
	f := newFleet(1, 3, 3)
	f.run(5*time.Second, evenDemand(0.6*f.team.Rate))
	f.partition(func(i int) int { return i / 3 })
	f.refused, f.requested = 0, 0
	f.run(15*time.Second, evenDemand(0.6*f.team.Rate))
	if f.refused > 0.005*f.requested {
		t.Errorf("%.4f of the tokens refused while regions were partitioned", f.refused/f.requested)
	}
	f.checkBound(t, "partition")
}

// Guards against refusals while restarted instances rebuild their state: in the
// ten seconds after a restart, less than one token in 50 is refused while demand is
// within the rate.
func TestFewRefusalsAfterInstancesAreReplaced(t *testing.T) {
	f := newFleet(2, 3, 3)
	f.run(5*time.Second, evenDemand(0.6*f.team.Rate))
	f.instances[0].alive, f.instances[4].alive = false, false
	f.run(2*time.Second, evenDemand(0.7*f.team.Rate))
	f.restart(0)
	f.restart(4)
	f.refused, f.requested = 0, 0
	f.run(10*time.Second, evenDemand(0.7*f.team.Rate))
	if f.refused > 0.02*f.requested {
		t.Errorf("%.4f of the tokens refused after restarts, allowed are 0.02", f.refused/f.requested)
	}
	f.checkBound(t, "restarts")
}

func TestRefundRestoresAllowance(t *testing.T) {
	l, now := New("d", []string{"d"}), time.Unix(1000, 0)
	team := &deployment.Team{Name: "team", Rate: 10, Burst: 10}
	for range 3 {
		if !l.Admit(team, 5, now).Admitted {
			break
		}
	}
	l.Refund(team, 20)
	if !l.Admit(team, 5, now).Admitted {
		t.Error("refused after a refund")
	}
	if v := l.Admit(&deployment.Team{Name: "free"}, 1e9, now); !v.Admitted {
		t.Error("a team without a limit was refused")
	}
}

// Guards against taking a single long prompt for a high spend rate. All instances
// have been replaced, and another instance admits one long prompt between its first
// two heartbeats, 50 ms apart. No request may be refused for it until the next
// heartbeat.
func TestSinglePromptDoesNotRaiseSpendRate(t *testing.T) {
	team := &deployment.Team{Name: "hotel", Rate: 250_000, Burst: 500_000, ByTokens: true}
	l, now := New("a", []string{"a", "b"}), time.Unix(100, 0)
	receive := func(spent float64) {
		l.Observe([]Peer{{Address: "p", Domain: "b", Incarnation: 1, Reachable: true, LastSeen: now, Usage: map[string]Usage{"hotel": {Spent: spent, Demand: spent}}}}, now)
	}
	l.Admit(team, 300, now)
	receive(0)
	now = now.Add(50 * time.Millisecond)
	receive(21_000)
	for range 8 {
		now = now.Add(50 * time.Millisecond)
		if v := l.Admit(team, 400, now); !v.Admitted {
			t.Fatalf("refused %s after the start: level %.0f, share %.2f", now.Sub(time.Unix(100, 0)), v.Level, v.Share)
		}
	}
}

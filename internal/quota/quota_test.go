package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
)

// fleet is a set of instances with a virtual clock, whose rows take a while to
// arrive and may not arrive at all.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	team      *deployment.Team
	instances []*node
	cut       map[[2]int]bool // pairs that do not hear each other
	admitted  []admission
	asked     float64
	refused   float64
}

type node struct {
	limiter     *Limiter
	address     string
	domain      string
	incarnation uint64
	// rows of the others as they arrived, by index.
	heard map[int]row
	alive bool
}

type row struct {
	use         map[string]Usage
	incarnation uint64
	at          time.Time
}

type admission struct {
	at    time.Time
	units float64
}

// Rows go to instances of the same failure domain and to others as often as
// package roster sends them, and some are lost.
const (
	step      = 100 * time.Millisecond
	nearPause = 100 * time.Millisecond
	nearLate  = 250 * time.Millisecond
	farPause  = 500 * time.Millisecond
	farLate   = 800 * time.Millisecond
	rowLoss   = 0.01
)

func newFleet(seed uint64, domains, perDomain int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), cut: map[[2]int]bool{},
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
	n.limiter, n.heard, n.alive = New(n.domain, f.domains()), map[int]row{}, true
	n.incarnation = f.rng.Uint64()
}

// partition cuts all pairs of instances on different sides.
func (f *fleet) partition(side func(i int) int) {
	for i := range f.instances {
		for j := range f.instances {
			f.cut[[2]int{i, j}] = side(i) != side(j)
		}
	}
}

// exchange lets all instances hear those that reach them.
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
			pause, late := nearPause, nearLate
			if n.domain != o.domain {
				pause, late = farPause, farLate
			}
			if o.alive && !f.cut[[2]int{i, j}] && f.now.Sub(n.heard[j].at) >= pause && f.rng.Float64() > rowLoss {
				n.heard[j] = row{o.limiter.LocalUsage(f.now), o.incarnation, f.now}
			}
			r, ok := n.heard[j]
			if !ok {
				continue
			}
			peers = append(peers, Peer{Address: o.address, Domain: o.domain, Incarnation: r.incarnation, Usage: r.use, LastSeen: r.at, Reachable: f.now.Sub(r.at) < late})
		}
		n.limiter.Observe(peers, f.now)
	}
}

// play runs the fleet for d; demand is what instance i is asked for in tokens a
// second.
func (f *fleet) play(d time.Duration, demand func(i int) float64) {
	const perStep = 5
	for range int(d / step) {
		f.exchange()
		for range perStep {
			f.now = f.now.Add(step / perStep)
			for i, n := range f.instances {
				if n.alive {
					f.offer(n, demand(i)*step.Seconds()/perStep)
				}
			}
		}
	}
}

// offer sends requests of 400 to 20,000 tokens that add up to about units.
func (f *fleet) offer(n *node, units float64) {
	for units > 0 {
		size := 400.0
		if f.rng.Float64() < 0.05 {
			size = 20_000
		}
		if units < size && f.rng.Float64() > units/size {
			return
		}
		units -= size
		f.asked += size
		if n.limiter.Admit(f.team, size, f.now).Admitted {
			f.admitted = append(f.admitted, admission{f.now, size})
		} else {
			f.refused += size
		}
	}
}

// most is the most that was admitted in any window.
func (f *fleet) most(window time.Duration) float64 {
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

// bound is the stated one: (rate x window + burst) x 1.25 + 190,000.
func (f *fleet) bound() float64 { return (f.team.Rate*8+f.team.Burst)*1.25 + 190_000 }

func (f *fleet) check(t *testing.T, what string) {
	t.Helper()
	if got := f.most(8 * time.Second); got > f.bound() {
		t.Errorf("%s: %.0f tokens in 8 s, the bound is %.0f", what, got, f.bound())
	}
}

func even(perSecond float64) func(int) float64 {
	return func(int) float64 { return perSecond / 9 }
}

func TestNothingIsRefusedInsideTheRate(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 3, 3)
		f.play(10*time.Second, even(0.5*f.team.Rate))
		// The load of all regions moves to one, and then to one instance.
		f.play(10*time.Second, func(i int) float64 { return map[bool]float64{true: 0.9 * f.team.Rate / 3}[i < 3] })
		f.play(10*time.Second, func(i int) float64 { return map[bool]float64{true: 0.9 * f.team.Rate}[i == 8] })
		if f.refused > 0.005*f.asked {
			t.Errorf("seed %d: %.4f of the tokens refused, allowed are 0.005", seed, f.refused/f.asked)
		}
		f.check(t, "inside the rate")
	}
}

func TestHotTeamIsHeldToItsBound(t *testing.T) {
	for seed := range uint64(5) {
		f := newFleet(seed, 3, 3)
		f.play(5*time.Second, even(0.5*f.team.Rate))
		f.play(20*time.Second, even(4.2*f.team.Rate))
		f.check(t, "hot team")
		if used := f.most(8 * time.Second); used < 0.9*8*f.team.Rate {
			t.Errorf("seed %d: a hot team got %.0f tokens in 8 s, less than 0.9 of its rate", seed, used)
		}
	}
}

func TestBoundHoldsThroughCutsAndDeaths(t *testing.T) {
	for seed := range uint64(60) {
		f := newFleet(seed, 3, 3)
		f.play(3*time.Second, even(0.5*f.team.Rate))
		for range 6 {
			hot := f.rng.IntN(3)
			demand := func(i int) float64 {
				if i/3 == hot {
					return f.team.Rate
				}
				return f.team.Rate * 4 / 9
			}
			switch f.rng.IntN(4) {
			case 0: // each region alone
				f.partition(func(i int) int { return i / 3 })
			case 1: // one region alone
				f.partition(func(i int) int { return map[bool]int{true: 1}[i/3 == hot] })
			case 2: // all killed together
				for i := range f.instances {
					f.restart(i)
				}
			case 3: // one killed
				f.restart(f.rng.IntN(len(f.instances)))
			}
			f.play(4*time.Second, demand)
			f.partition(func(int) int { return 0 })
			f.play(2*time.Second, demand)
		}
		f.check(t, fmt.Sprint("seed ", seed))
	}
}

// Each side of a cut keeps what it used before: its callers are not refused.
func TestCutOffRegionKeepsItsPart(t *testing.T) {
	f := newFleet(1, 3, 3)
	f.play(5*time.Second, even(0.6*f.team.Rate))
	f.partition(func(i int) int { return i / 3 })
	f.refused, f.asked = 0, 0
	f.play(15*time.Second, even(0.6*f.team.Rate))
	if f.refused > 0.005*f.asked {
		t.Errorf("%.4f of the tokens refused while regions were cut off", f.refused/f.asked)
	}
	f.check(t, "cut")
}

// In the ten seconds after a kill less than one request in 50 is refused inside
// the rate.
func TestReplacedInstancesAreMissedBriefly(t *testing.T) {
	f := newFleet(2, 3, 3)
	f.play(5*time.Second, even(0.6*f.team.Rate))
	f.instances[0].alive, f.instances[4].alive = false, false
	f.play(2*time.Second, even(0.7*f.team.Rate))
	f.restart(0)
	f.restart(4)
	f.refused, f.asked = 0, 0
	f.play(10*time.Second, even(0.7*f.team.Rate))
	if f.refused > 0.02*f.asked {
		t.Errorf("%.4f of the tokens refused after kills, allowed are 0.02", f.refused/f.asked)
	}
	f.check(t, "kills")
}

func TestRefundIsGivenBack(t *testing.T) {
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

// Load: all instances were replaced, and another one has admitted a single long
// prompt between its first two rows, which come 50 ms apart. That is not its pace:
// nobody is refused for it until the next row.
func TestOnePromptIsNotAPace(t *testing.T) {
	team := &deployment.Team{Name: "hotel", Rate: 250_000, Burst: 500_000, ByTokens: true}
	l, now := New("a", []string{"a", "b"}), time.Unix(100, 0)
	row := func(spent float64) {
		l.Observe([]Peer{{Address: "p", Domain: "b", Incarnation: 1, Reachable: true, LastSeen: now, Usage: map[string]Usage{"hotel": {Spent: spent, Demand: spent}}}}, now)
	}
	l.Admit(team, 300, now)
	row(0)
	now = now.Add(50 * time.Millisecond)
	row(21_000)
	for range 8 {
		now = now.Add(50 * time.Millisecond)
		if v := l.Admit(team, 400, now); !v.Admitted {
			t.Fatalf("refused %s after a row: level %.0f, part %.2f", now.Sub(time.Unix(100, 0)), v.Level, v.Share)
		}
	}
}

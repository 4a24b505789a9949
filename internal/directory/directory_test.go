package directory

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var at = time.UnixMilli(1_800_000_000_123)

func region(n int) []Instance {
	var out []Instance
	for i := range n {
		out = append(out, Instance{Name: fmt.Sprintf("a-%d", i), Incarnation: uint64(i + 1), Address: fmt.Sprintf("10.0.0.%d:1", i+1), Region: "a", Load: 20})
	}
	return out
}

// maxSpread is the objective: worst instance at most 1.15 times the mean.
const maxSpread = 1.15

// ask returns the first choice of each caller; the callers ask one after the
// other, each at one of askers instances that count for themselves.
func ask(instances []Instance, callers, askers int, seed uint64) []string {
	rng := rand.New(rand.NewPCG(seed, 2))
	counters := make([]Assigned, askers)
	out := make([]string, callers)
	for i := range out {
		counter := &counters[rng.IntN(askers)]
		counts := counter.Counts(0)
		list := append([]Instance(nil), instances...)
		for j := range list {
			list[j].Assigned = counts[list[j].Name]
		}
		out[i] = Order(list, Caller{ID: fmt.Sprintf("caller-%d-%d", seed, i), Region: "a"}, nil, at).Instances[0].Instance
		counter.Note(out[i], 0)
	}
	return out
}

func spread(choices []string, instances int) float64 {
	count, worst := make(map[string]int), 0
	for _, c := range choices {
		count[c]++
		worst = max(worst, count[c])
	}
	return float64(worst) * float64(instances) / float64(len(choices))
}

// Guards against callers that crowd on one instance.
func TestSpread(t *testing.T) {
	for _, c := range []struct{ instances, callers, askers int }{
		{3, 300, 1}, {3, 300, 3}, {9, 900, 1}, {9, 900, 9}, {22, 2200, 1}, {22, 2200, 22}, {22, 11000, 22},
	} {
		worst := 0.0
		for seed := range uint64(5) {
			worst = max(worst, spread(ask(region(c.instances), c.callers, c.askers, seed), c.instances))
		}
		t.Logf("%d instances, %d callers, asked at %d: worst instance %.3f times the mean", c.instances, c.callers, c.askers, worst)
		if worst > maxSpread {
			t.Errorf("%d instances, %d callers, asked at %d: worst instance %.3f times the mean", c.instances, c.callers, c.askers, worst)
		}
	}
}

// Guards against an order in which most callers move when one of n instances
// comes or goes. The least possible is a share of 1/n; a hash modulo n moves
// (n-1)/n, and half of that is the bound.
func TestMovement(t *testing.T) {
	for _, n := range []int{3, 9, 22} {
		before := ask(region(n), 100*n, n, 1)
		for _, c := range []struct {
			name string
			now  []Instance
		}{{"gone", region(n)[1:]}, {"come", region(n + 1)}} {
			moved := 0
			after := ask(c.now, 100*n, n, 1)
			for i := range before {
				if before[i] != after[i] {
					moved++
				}
			}
			share, least := float64(moved)/float64(len(before)), 1/float64(max(n, len(c.now)))
			t.Logf("%d instances, one %s: %.3f of the callers move, the least is %.3f", n, c.name, share, least)
			if bound := max(2*least, (1-least)/2); share > bound {
				t.Errorf("%d instances, one %s: %.3f of the callers move, want at most %.3f", n, c.name, share, bound)
			}
		}
	}
}

// Guards against an order that puts far, suspected or overloaded instances
// first, or names one that cannot be used.
func TestOrder(t *testing.T) {
	list := region(4)
	list[0].Suspected = true
	list[1].Incarnation = 0
	for i, r := range []string{"far", "near", "unlinked"} {
		list = append(list, Instance{Name: r, Incarnation: 9, Address: fmt.Sprintf("10.0.1.%d:1", i+1), Region: r})
	}
	a := Order(list, Caller{ID: "c", Region: "a"}, map[string]time.Duration{"near": time.Millisecond, "far": time.Second}, at)
	var names []string
	for _, in := range a.Instances {
		names = append(names, in.Instance)
	}
	got := strings.Join(names, " ")
	if got != "a-2 a-3 a-0 near far unlinked" && got != "a-3 a-2 a-0 near far unlinked" {
		t.Errorf("order %q", got)
	}
	if p := a.Instances[3].KeyPrefix; p != "near.0000000000000009.1800000000123." {
		t.Errorf("prefix %q", p)
	}
	if a.LifetimeMS < lifetime.Milliseconds() || a.LifetimeMS > 2*lifetime.Milliseconds() {
		t.Errorf("lifetime %d ms", a.LifetimeMS)
	}
	for range 20 {
		if b := Order(list, Caller{ID: "c", Region: "a"}, nil, at); b.Instances[0] != a.Instances[0] {
			t.Fatal("the same question has two answers")
		}
	}
}

// Guards against a loaded instance that keeps all of its callers, and against
// one that loses all of them and is flooded when it is idle again.
func TestLoad(t *testing.T) {
	list := region(9)
	list[3].Load = 200
	count := 0
	for _, c := range ask(list, 9000, 1, 1) {
		if c == "a-3" {
			count++
		}
	}
	if count > 800 || count < 300 {
		t.Errorf("the loaded instance is first for %d of 9000 callers", count)
	}
}

// Guards against counts that stay for ever or vanish at once.
func TestAssigned(t *testing.T) {
	var a Assigned
	for range 100 {
		a.Note("x", time.Second)
	}
	if got := a.Counts(window + 2*time.Second)["x"]; got < 90 || got > 100 {
		t.Errorf("%d just after the window", got)
	}
	if got := a.Counts(3 * window)["x"]; got > 10 {
		t.Errorf("%d after two windows", got)
	}
}

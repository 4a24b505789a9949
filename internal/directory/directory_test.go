package directory

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

var testTime = time.UnixMilli(1_800_000_000_123)

func testRegion(n int) []Instance {
	var out []Instance
	for i := range n {
		out = append(out, Instance{Name: fmt.Sprintf("a-%d", i), Incarnation: uint64(i + 1), Address: fmt.Sprintf("10.0.0.%d:1", i+1), Region: "a", Load: 20})
	}
	return out
}

// maxImbalance is the objective: the instance with the most callers has at most
// 1.15 times the mean.
const maxImbalance = 1.15

// firstChoices returns the first choice of each caller. The callers request the
// directory one after another, each from a random one of the responders, which
// count their assignments separately.
func firstChoices(instances []Instance, callers, responders int, seed uint64) []string {
	rng := rand.New(rand.NewPCG(seed, 2))
	counters := make([]AssignmentCounter, responders)
	out := make([]string, callers)
	for i := range out {
		counter := &counters[rng.IntN(responders)]
		counts := counter.Counts(0)
		list := append([]Instance(nil), instances...)
		for j := range list {
			list[j].AssignedCallers = counts[list[j].Name]
		}
		out[i] = BuildResponse(list, Caller{ID: fmt.Sprintf("caller-%d-%d", seed, i), Region: "a"}, nil, testTime).Instances[0].Instance
		counter.RecordAssignment(out[i], 0)
	}
	return out
}

// imbalance returns the number of callers of the instance with the most callers,
// relative to the mean.
func imbalance(choices []string, instances int) float64 {
	count, worst := make(map[string]int), 0
	for _, c := range choices {
		count[c]++
		worst = max(worst, count[c])
	}
	return float64(worst) * float64(instances) / float64(len(choices))
}

// Guards against an uneven distribution of callers over the instances, as hashing
// alone gives with few callers.
func TestImbalance(t *testing.T) {
	for _, c := range []struct{ instances, callers, responders int }{
		{3, 300, 1}, {3, 300, 3}, {9, 900, 1}, {9, 900, 9}, {22, 2200, 1}, {22, 2200, 22}, {22, 11000, 22},
	} {
		worst := 0.0
		for seed := range uint64(5) {
			worst = max(worst, imbalance(firstChoices(testRegion(c.instances), c.callers, c.responders, seed), c.instances))
		}
		t.Logf("%d instances, %d callers, asked at %d: worst instance %.3f times the mean", c.instances, c.callers, c.responders, worst)
		if worst > maxImbalance {
			t.Errorf("%d instances, %d callers, asked at %d: worst instance %.3f times the mean", c.instances, c.callers, c.responders, worst)
		}
	}
}

// Guards against an order in which most callers move to another instance when one
// of n instances is added or removed. At least a fraction of 1/n has to move; a
// hash modulo n moves (n-1)/n. The bound is half of the latter, or twice the
// minimum if that is more.
func TestMovement(t *testing.T) {
	for _, n := range []int{3, 9, 22} {
		before := firstChoices(testRegion(n), 100*n, n, 1)
		for _, c := range []struct {
			name string
			now  []Instance
		}{{"gone", testRegion(n)[1:]}, {"come", testRegion(n + 1)}} {
			moved := 0
			after := firstChoices(c.now, 100*n, n, 1)
			for i := range before {
				if before[i] != after[i] {
					moved++
				}
			}
			moveFraction, minFraction := float64(moved)/float64(len(before)), 1/float64(max(n, len(c.now)))
			t.Logf("%d instances, one %s: %.3f of the callers move, the minimum is %.3f", n, c.name, moveFraction, minFraction)
			if bound := max(2*minFraction, (1-minFraction)/2); moveFraction > bound {
				t.Errorf("%d instances, one %s: %.3f of the callers move, want at most %.3f", n, c.name, moveFraction, bound)
			}
		}
	}
}

// Guards against an order that puts remote or suspected instances first, does not
// sort remote regions by delay, or includes an instance of unknown incarnation.
// The same arguments must always give the same first instance.
func TestOrder(t *testing.T) {
	list := testRegion(4)
	list[0].Suspected = true
	list[1].Incarnation = 0
	for i, r := range []string{"far", "near", "unlinked"} {
		list = append(list, Instance{Name: r, Incarnation: 9, Address: fmt.Sprintf("10.0.1.%d:1", i+1), Region: r})
	}
	response := BuildResponse(list, Caller{ID: "c", Region: "a"}, map[string]time.Duration{"near": time.Millisecond, "far": time.Second}, testTime)
	var names []string
	for _, in := range response.Instances {
		names = append(names, in.Instance)
	}
	got := strings.Join(names, " ")
	if got != "a-2 a-3 a-0 near far unlinked" && got != "a-3 a-2 a-0 near far unlinked" {
		t.Errorf("order %q", got)
	}
	if p := response.Instances[3].KeyPrefix; p != "near.0000000000000009.1800000000123." {
		t.Errorf("prefix %q", p)
	}
	if response.LifetimeMS < baseLifetime.Milliseconds() || response.LifetimeMS > 2*baseLifetime.Milliseconds() {
		t.Errorf("lifetime %d ms", response.LifetimeMS)
	}
	for range 20 {
		if b := BuildResponse(list, Caller{ID: "c", Region: "a"}, nil, testTime); b.Instances[0] != response.Instances[0] {
			t.Fatal("two calls with the same arguments differ in the first instance")
		}
	}
}

// Guards against an overloaded instance that keeps all of its callers, and against
// one that loses all of them: they would all return at once when its load is low
// again.
func TestOverloadedInstance(t *testing.T) {
	list := testRegion(9)
	list[3].Load = 200
	count := 0
	for _, c := range firstChoices(list, 9000, 1, 1) {
		if c == "a-3" {
			count++
		}
	}
	if count > 800 || count < 300 {
		t.Errorf("the overloaded instance is first for %d of 9000 callers", count)
	}
}

// Guards against counts that never expire, and against counts that drop to zero at
// the end of a window instead of decreasing gradually.
func TestAssignmentCounter(t *testing.T) {
	var a AssignmentCounter
	for range 100 {
		a.RecordAssignment("x", time.Second)
	}
	if got := a.Counts(countWindow + 2*time.Second)["x"]; got < 90 || got > 100 {
		t.Errorf("%d just after the window", got)
	}
	if got := a.Counts(3 * countWindow)["x"]; got > 10 {
		t.Errorf("%d after two windows", got)
	}
}

package balance

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// twoSizes returns instances of which the first ones are four times as large.
func twoSizes(large, small int) []Instance {
	var out []Instance
	for i := range large + small {
		capacity := 200.0
		if i < large {
			capacity = 800
		}
		out = append(out, Instance{Address: fmt.Sprintf("10.0.1.%d:80", i+1), Capacity: capacity, Health: 1})
	}
	return out
}

// worstLoad returns the largest load of a healthy instance relative to its share of the
// weight, if each caller spreads its requests evenly over the addresses it gets.
func worstLoad(instances []Instance, answers [][]string) float64 {
	load, total := map[string]float64{}, 0.0
	for _, a := range answers {
		for _, address := range a {
			load[address] += 1 / float64(len(a)*len(answers))
		}
	}
	for _, x := range instances {
		total += x.Capacity * x.Health
	}
	worst := 0.0
	for _, x := range instances {
		if x.Health > 0 {
			worst = max(worst, load[x.Address]/(x.Capacity*x.Health/total))
		}
	}
	return worst
}

// sortedSubset returns the answer to a caller, whatever the order of the instances.
func sortedSubset(instances []Instance, ip string) []string {
	instances = slices.Clone(instances)
	Sort(instances, func(x *Instance) string { return x.Address })
	return Subset(instances, ip, 64)
}

func answersFor(instances []Instance, ips []string) (out [][]string) {
	for _, ip := range ips {
		out = append(out, sortedSubset(instances, ip))
	}
	return out
}

// neighbours are IP addresses at a fixed distance, strangers random ones.
func neighbours(n, from, distance int) (out []string) {
	for i := range n {
		a := from + i*distance
		out = append(out, fmt.Sprintf("10.7.%d.%d", a/256, a%256))
	}
	return out
}

func strangers(n int, rng *rand.Rand) (out []string) {
	for range n {
		out = append(out, fmt.Sprintf("10.%d.%d.%d", rng.IntN(256), rng.IntN(256), rng.IntN(256)))
	}
	return out
}

// Guards against small instances that get as many callers as large ones: with equal
// shares, an instance with a fifth of a core has more than it can carry while large
// ones are idle. With few callers the sum over them must follow the weights too.
func TestFewCallersFollowTheWeights(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for _, sizes := range [][2]int{{2, 11}, {3, 10}} {
		instances := twoSizes(sizes[0], sizes[1])
		total := float64(800*sizes[0] + 200*sizes[1])
		equalShares := total / 13 / 200
		for callers := 16; callers <= 19; callers++ {
			inRow, random, trials := 0.0, 0.0, 40
			for trial := range trials {
				inRow = max(inRow, worstLoad(instances, answersFor(instances, neighbours(callers, 1+3*trial, 1))))
				random += worstLoad(instances, answersFor(instances, strangers(callers, rng))) / float64(trials)
			}
			t.Logf("%d large and %d small instances, %d callers: largest load per weight %.2f in a row (worst of %d), %.2f at random addresses (mean); equal shares %.2f",
				sizes[0], sizes[1], callers, inRow, trials, random, equalShares)
			for _, distance := range []int{2, 3, 4, 5, 6, 7, 8, 256} { // callers of several failure domains by turns
				worst := 0.0
				for trial := range trials {
					worst = max(worst, worstLoad(instances, answersFor(instances, neighbours(callers, 1+3*trial, distance))))
				}
				t.Logf("%d callers, every %d: %.2f", callers, distance, worst)
			}
			if inRow >= equalShares {
				t.Errorf("%d callers: largest load per weight %.2f, not below that of equal shares, %.2f", callers, inRow, equalShares)
			}
		}
		many := worstLoad(instances, answersFor(instances, strangers(5000, rng)))
		t.Logf("%d large and %d small instances, 5000 callers: %.2f", sizes[0], sizes[1], many)
		if many > 1.15 {
			t.Errorf("%d large and %d small instances: largest load per weight %.2f with many callers", sizes[0], sizes[1], many)
		}
	}
}

// Guards against responses that repeat an address, leave a caller with one instance, are
// empty while an instance is usable, name one that is not, or change between requests.
func TestSubsetOfAnyInstances(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 3000 {
		var instances []Instance
		usable := 0
		for i := range 1 + rng.IntN(80) {
			x := Instance{Address: fmt.Sprintf("10.0.%d.%d:80", i/200, i%200), Capacity: []float64{0, 144, 192, 800, 800, 5000}[rng.IntN(6)], Health: []float64{0, 0.125, 0.5, 1, 1, 1}[rng.IntN(6)]}
			if x.Health > 0 {
				usable++
			}
			instances = append(instances, x)
		}
		ip := strangers(1, rng)[0]
		got := sortedSubset(instances, ip)
		if len(got) < min(usable, minAddresses) || len(got) > 64 {
			t.Fatalf("%d addresses of %d usable instances", len(got), usable)
		}
		seen := map[string]bool{}
		for _, a := range got {
			i := slices.IndexFunc(instances, func(x Instance) bool { return x.Address == a })
			if seen[a] || instances[i].Health == 0 {
				t.Fatalf("%s is repeated or not usable", a)
			}
			seen[a] = true
		}
		if !slices.Equal(got, sortedSubset(instances, ip)) {
			t.Fatal("two requests got different responses")
		}
	}
}

// Guards against a change for deployments without capacity figures or with instances of
// one size: callers must find all instances there.
func TestEqualInstancesAreAllNamed(t *testing.T) {
	for _, capacity := range []float64{0, 192} {
		for _, n := range []int{1, 3, 9, 64} {
			var instances []Instance
			for i := range n {
				instances = append(instances, Instance{Address: fmt.Sprint(i), Capacity: capacity, Health: 1})
			}
			if got := len(sortedSubset(instances, "10.0.0.1")); got != n {
				t.Errorf("%d of %d instances of capacity %v", got, n, capacity)
			}
		}
	}
	instances := []Instance{{"old-1", 0, 1}, {"old-2", 0, 1}, {"a", 400, 1}, {"b", 400, 1}, {"c", 400, 1}}
	if got := sortedSubset(instances, "10.0.0.1"); len(got) != 5 {
		t.Errorf("%v: instances of the previous version must count as average ones", got)
	}
}

// A changed response makes a caller drop connections. Guards against an instance in
// trouble, or one that restarts, changing the responses of callers that do not use it,
// and against its callers staying with it.
func TestInstanceInTroubleChangesOnlyItsCallers(t *testing.T) {
	instances := twoSizes(2, 11)
	ips := strangers(2000, rand.New(rand.NewPCG(5, 6)))
	before := answersFor(instances, ips)
	for _, health := range []float64{0, 0.25} {
		for _, sick := range []int{0, 5} {
			changed := slices.Clone(instances)
			changed[sick].Health = health
			had, have := 0, 0
			for i, after := range answersFor(changed, ips) {
				if !slices.Contains(before[i], instances[sick].Address) {
					if !slices.Equal(before[i], after) {
						t.Fatalf("%s: %v became %v without %s in trouble", ips[i], before[i], after, instances[sick].Address)
					}
					continue
				}
				had++
				if slices.Contains(after, instances[sick].Address) {
					have++
				}
				kept := 0
				for _, a := range after {
					if slices.Contains(before[i], a) {
						kept++
					}
				}
				if kept < len(before[i])-1 {
					t.Fatalf("%v became %v", before[i], after)
				}
			}
			if part := float64(have) / float64(had); math.Abs(part-health) > 0.06 {
				t.Errorf("instance with health %v keeps %.2f of its callers", health, part)
			}
		}
	}
	// If all have the same load, nobody is better off elsewhere.
	for i := range instances {
		instances[i].Health = 0.5
	}
	for i, after := range answersFor(instances, ips) {
		if !slices.Equal(before[i], after) {
			t.Fatalf("equal load changed %v to %v", before[i], after)
		}
	}
}

func BenchmarkSubset(b *testing.B) {
	instances := twoSizes(12, 62)
	Sort(instances, func(x *Instance) string { return x.Address })
	for b.Loop() {
		Subset(instances, "10.7.3.9", 64)
	}
}

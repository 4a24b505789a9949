package balance

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/wigeonhill/wigeonhill/internal/rendezvous"
)

// minAddresses is the least number of instances that a caller is told to use, if there
// are as many: a caller that loses its instances must find another one at once.
const minAddresses = 4

// Instance is an instance that callers may be told to use.
type Instance struct {
	Address string
	// Capacity is what it can carry; 0 if unknown.
	Capacity float64
	// Health is the fraction of the capacity that is usable now; 0 if the instance
	// must not be named.
	Health float64
}

// Sort puts instances into the order in which Subset draws, which is the same for all
// callers.
func Sort[E any](instances []E, address func(*E) string) {
	type ranked struct {
		instance E
		rank     uint64
	}
	order := make([]ranked, len(instances))
	for i := range instances {
		order[i] = ranked{instances[i], rendezvous.Score("directory", address(&instances[i]))}
	}
	slices.SortFunc(order, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	for i := range order {
		instances[i] = order[i].instance
	}
}

// Subset returns the addresses of the instances that a caller should use, at most limit.
// The instances are in the order of Sort.
// Callers choose among them at random, so that the expected load of an instance follows
// its capacity: a systematic sample is drawn with probability proportional to size. The
// order of the instances is the same for all callers, and the start of the sample is
// evenly spaced over neighbouring IP addresses, so that few callers are spread evenly
// too.
//
// The sample depends on capacities only. A sampled instance whose health is below that
// of the others is replaced, for a part of the callers, by another one, so that
// instances in trouble and instances that restart change only the responses in which
// they occur.
func Subset(instances []Instance, caller string, limit int) []string {
	s := newSample(instances)
	if s.usable == 0 {
		return nil
	}
	s.draw(callerPhase(caller), s.size(limit))
	s.replace(caller)
	var out []string
	for i, chosen := range s.chosen {
		if chosen {
			out = append(out, instances[i].Address)
		}
	}
	return out
}

type sample struct {
	instances []Instance
	weights   []float64
	// health is relative to the healthiest instance: if all have the same load,
	// nobody is better off elsewhere.
	health []float64
	total  float64
	usable int // instances with health
	chosen []bool
}

func newSample(instances []Instance) *sample {
	s := &sample{instances: instances, weights: make([]float64, len(instances)), health: make([]float64, len(instances)), chosen: make([]bool, len(instances))}
	known, sum, best := 0, 0.0, 0.0
	for i := range instances {
		if instances[i].Capacity > 0 {
			known++
			sum += instances[i].Capacity
		}
		if instances[i].Health > 0 {
			s.usable++
			best = max(best, instances[i].Health)
		}
	}
	for i := range instances {
		// Instances of a version without these figures count as average ones.
		switch {
		case instances[i].Capacity > 0:
			s.weights[i] = instances[i].Capacity
		case known > 0:
			s.weights[i] = sum / float64(known)
		default:
			s.weights[i] = 1
		}
		s.total += s.weights[i]
		if best > 0 {
			s.health[i] = instances[i].Health / best
		}
	}
	return s
}

// size returns the number of instances to draw: as many as possible without drawing one
// more often than once for a caller, which would break the proportion.
func (s *sample) size(limit int) int {
	const rounding = 1e-9
	k := int(s.total/slices.Max(s.weights) + rounding)
	return min(max(k, minAddresses), len(s.weights), limit)
}

// draw chooses k instances. Instances that would be drawn more than once are certain,
// and the others share the remaining draws.
func (s *sample) draw(phase float64, k int) {
	rest := s.total
	for more := true; more; { // each certain instance may make others certain
		more = false
		for i, w := range s.weights {
			if !s.chosen[i] && k > 0 && w*float64(k) >= rest {
				s.chosen[i], more = true, true
				rest -= w
				k--
			}
		}
	}
	const rounding = 1e-9 // must not lose the last draw
	position := phase
	for i, w := range s.weights {
		if s.chosen[i] {
			continue
		}
		position += w * float64(k) / rest
		if position >= 1-rounding {
			s.chosen[i] = true
			position--
		}
	}
}

func (s *sample) drawn() (n int) {
	for _, chosen := range s.chosen {
		if chosen {
			n++
		}
	}
	return n
}

// replace exchanges chosen instances that are in trouble.
func (s *sample) replace(caller string) {
	var rejected []int
	for i := range s.chosen {
		if s.chosen[i] && fraction(caller, s.instances[i].Address) >= s.health[i] {
			s.chosen[i] = false
			rejected = append(rejected, i)
		}
	}
	for range rejected {
		best, bestCost := -1, 0.0
		for i := range s.chosen {
			if s.chosen[i] || s.health[i] == 0 || slices.Contains(rejected, i) {
				continue
			}
			cost := -math.Log(fraction(caller+" instead", s.instances[i].Address)) / (s.weights[i] * s.health[i])
			if best < 0 || cost < bestCost {
				best, bestCost = i, cost
			}
		}
		if best < 0 {
			break
		}
		s.chosen[best] = true
	}
	// A slow instance is better than too few.
	slices.SortStableFunc(rejected, func(a, b int) int {
		if s.health[a] > s.health[b] {
			return -1
		}
		if s.health[a] < s.health[b] {
			return 1
		}
		return 0
	})
	missing := min(minAddresses, s.usable) - s.drawn()
	for _, i := range rejected {
		if missing > 0 && s.health[i] > 0 {
			s.chosen[i] = true
			missing--
		}
	}
}

// fraction returns a number in (0, 1) that a caller and an instance have in common.
func fraction(caller, address string) float64 {
	return (float64(rendezvous.Score(caller, address)>>11) + 0.5) / (1 << 53)
}

// phaseSteps are irrational numbers that fractions approximate badly: their multiples
// are spread evenly over [0, 1). There is one for each byte of an IPv4 address, so that
// neighbours, and addresses that differ in another byte, are spread.
var phaseSteps = [4]float64{math.Sqrt(7) - 2, math.Sqrt(3) - 1, math.Sqrt2 - 1, math.Phi - 1}

// callerPhase returns where in [0, 1) the sample of a caller with this IP address
// starts.
func callerPhase(ip string) float64 {
	addr, err := netip.ParseAddr(ip)
	if err != nil || !addr.Unmap().Is4() {
		return float64(xxhash.Sum64String(ip)>>11) / (1 << 53) * (1 - 1e-6)
	}
	phase := 0.0
	for i, b := range addr.Unmap().As4() {
		phase += float64(b) * phaseSteps[i]
	}
	return min(phase-math.Floor(phase), 1-1e-6) // apart from what draw takes for 1
}

package configversion_test

import (
	"flag"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// runs is the number of runs of each kind; docs/measurements-config.md uses more.
var runs = flag.Int("runs", 2, "randomised runs of each kind of disturbance")

// Kinds of disturbance.
const (
	staleReplica = 1 << iota
	restartOne
	restartMost
	partition
	serviceUnreachable
	freezeOne
	allDisturbances = 1<<iota - 1
)

// runDisturbances runs a fleet of 12 instances through disturbances of the given
// kinds, one for each step, and returns the monitor of the run.
func runDisturbances(t *testing.T, isNaive bool, kinds int, steps []uint32, seed uint64) *monitor {
	var m *monitor
	inVirtualTime(t, func(t *testing.T) {
		sim := newSimulation(12, 3, 1, seed)
		sim.naive, sim.lossRate = isNaive, 0.01
		sim.publish("instances", 1, sim.instanceListText())
		sim.publish("table", 1, configText(1))
		sim.startAll()
		time.Sleep(8 * time.Second)
		m = newMonitor(sim)
		revision := int64(1)
		for _, s := range steps {
			if s%3 != 0 {
				revision++
				sim.saveStaleReplica()
				sim.publish("table", revision, configText(revision))
			}
			m.observe(time.Duration(s%7) * 300 * time.Millisecond)
			sim.disturb(kinds, s/7)
			m.observe(time.Duration(s/7%11) * time.Second)
		}
		sim.endDisturbances()
		m.observe(maxPropagationTime + 12*time.Second)
		for _, n := range sim.nodes {
			if r := n.revision(); r != revision {
				m.violations = append(m.violations, n.self.Name+" does not serve with the last version at the end")
			}
		}
		sim.stopAll()
	})
	return m
}

// saveStaleReplica makes the current values those of the stale replica.
func (sim *simulation) saveStaleReplica() {
	sim.service.mu.Lock()
	defer sim.service.mu.Unlock()
	sim.service.stale["table"] = sim.service.values["table"]
	sim.service.stale["instances"] = sim.service.values["instances"]
}

func (sim *simulation) setService(down, stale bool) {
	sim.service.mu.Lock()
	defer sim.service.mu.Unlock()
	sim.service.down, sim.service.useStale = down, stale
	close(sim.service.changed)
	sim.service.changed = make(chan struct{})
}

func (sim *simulation) endDisturbances() {
	sim.setService(false, false)
	for _, n := range sim.nodes {
		n.wake()
		n.setServiceUnreachable(false)
		if !n.hasProcess() {
			n.startProcess()
		}
	}
	sim.mu.Lock()
	sim.partitioned = make(map[[2]string]bool)
	sim.mu.Unlock()
}

func (n *node) setServiceUnreachable(unreachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.serviceUnreachable = unreachable
}

// disturb causes one disturbance of the given kinds; x selects which.
func (sim *simulation) disturb(kinds int, x uint32) {
	var allowed []int
	for k := 1; k < allDisturbances; k <<= 1 {
		if kinds&k != 0 {
			allowed = append(allowed, k)
		}
	}
	kind, x := allowed[int(x)%len(allowed)], x/uint32(len(allowed))
	n := sim.nodes[int(x)%len(sim.nodes)]
	regions := []string{"r0", "r1", "r2"}
	switch kind {
	case staleReplica:
		sim.setService(false, x%2 == 0)
	case restartOne:
		sim.setService(false, x%3 != 0)
		n.wake()
		n.stop()
		n.startProcess()
	case restartMost:
		sim.setService(x%3 == 1, x%3 == 2)
		for _, other := range sim.nodes {
			if other != n {
				other.wake()
				other.stop()
				other.startProcess()
			}
		}
	case partition:
		a, b := regions[x%3], regions[(x+1)%3]
		partitioned := sim.reaches(sim.nodes[x%3], sim.nodes[(x+1)%3])
		sim.setPartitioned(a, b, partitioned)
		if x%2 == 0 { // the third region too
			sim.setPartitioned(a, regions[(x+2)%3], partitioned)
		}
		for i, other := range sim.nodes {
			if i%3 == int(x%3) {
				other.setServiceUnreachable(partitioned)
			}
		}
	case serviceUnreachable:
		n.setServiceUnreachable(x/9%3 != 0)
	case freezeOne:
		if n.isRunning() {
			n.freeze()
		} else {
			n.wake()
		}
	}
}

// Guards against a version that propagates late or is rolled back, and against an
// instance that serves after a start or a pause without having confirmed its
// version. To prove the checks, each kind of disturbance must first make
// naiveDistributor fail.
func TestPropagationWithoutRollback(t *testing.T) {
	for _, c := range []struct {
		name  string
		kinds int
	}{
		{"stale replica", staleReplica},
		{"restart of one", restartOne},
		{"restart of all but one", restartMost},
		{"partitions that heal", partition},
		{"service unreachable", serviceUnreachable | staleReplica},
		{"frozen and woken", freezeOne},
		{"all kinds", allDisturbances},
	} {
		t.Run(c.name, func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(20261204)
			parameters.MinSuccessfulTests = *runs
			steps := gen.SliceOfN(8, gen.UInt32())
			caught := false
			for i := uint32(0); i < 10 && !caught; i++ {
				naiveRun := runDisturbances(t, true, c.kinds, []uint32{0x12345678 * (i + 1), 0x9abcdef1 * (i + 3), 0x7654321 * (i + 7), 0x3141592 * (i + 1), 0x27182818 * (i + 5), 0x1618033 * (i + 11)}, uint64(i))
				if len(naiveRun.violations) > 0 {
					t.Logf("the naive distributor fails: %s", naiveRun.violations[0])
					caught = true
				}
			}
			if !caught {
				t.Error("the checks do not find the faults of the naive distributor")
			}
			var latencies []time.Duration
			properties := gopter.NewProperties(parameters)
			properties.Property("propagated within 8 s and never rolled back", prop.ForAll(func(s []uint32) (bool, error) {
				m := runDisturbances(t, false, c.kinds, s, 1)
				latencies = append(latencies, m.latencies...)
				if len(m.violations) > 0 {
					t.Logf("%d violations, first: %s", len(m.violations), m.violations[0])
				}
				return len(m.violations) == 0, nil
			}, steps))
			properties.TestingRun(t)
			t.Logf("%d measurements, p50 %v, p99 %v, largest %v", len(latencies), percentile(latencies, 0.5), percentile(latencies, 0.99), percentile(latencies, 1))
		})
	}
}

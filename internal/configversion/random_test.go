package configversion_test

import (
	"flag"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// runs of each kind; the proofs in docs/measurements-config.md use more.
var runs = flag.Int("runs", 2, "randomised runs of each kind of disturbance")

// Kinds of disturbance.
const (
	staleReplica = 1 << iota
	restartOne
	restartMost
	partition
	serviceCut
	freezeOne
	everything = 1<<iota - 1
)

// script runs disturbances of the given kinds, one for each number, and
// returns the monitor of the run.
func script(t *testing.T, isNaive bool, kinds int, steps []uint32, seed uint64) *monitor {
	var m *monitor
	inTime(t, func(t *testing.T) {
		w := newWorld(12, 3, 1, seed)
		w.naive, w.loss = isNaive, 0.01
		w.publish("instances", 1, w.listText())
		w.publish("table", 1, tableText(1))
		w.startAll()
		time.Sleep(8 * time.Second)
		m = newMonitor(w)
		revision := int64(1)
		for _, s := range steps {
			if s%3 != 0 {
				revision++
				w.remember()
				w.publish("table", revision, tableText(revision))
			}
			m.watch(time.Duration(s%7) * 300 * time.Millisecond)
			w.disturb(kinds, s/7)
			m.watch(time.Duration(s/7%11) * time.Second)
		}
		w.calm()
		m.watch(inForce + 12*time.Second)
		for _, n := range w.nodes {
			if r := n.revision(); r != revision {
				m.violations = append(m.violations, n.self.Name+" does not serve with the last edition at the end")
			}
		}
		w.stopAll()
	})
	return m
}

// remember keeps the present table as that of the stale replica.
func (w *world) remember() {
	w.service.mu.Lock()
	defer w.service.mu.Unlock()
	w.service.stale["table"] = w.service.values["table"]
	w.service.stale["instances"] = w.service.values["instances"]
}

func (w *world) setService(down, stale bool) {
	w.service.mu.Lock()
	defer w.service.mu.Unlock()
	w.service.down, w.service.useStale = down, stale
	close(w.service.changed)
	w.service.changed = make(chan struct{})
}

func (w *world) calm() {
	w.setService(false, false)
	for _, n := range w.nodes {
		n.wake()
		n.setNoServe(false)
		if !n.present() {
			n.startProcess()
		}
	}
	w.mu.Lock()
	w.cut = make(map[[2]string]bool)
	w.mu.Unlock()
}

func (n *node) setNoServe(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.noServe = cut
}

// disturb does one disturbance of the allowed kinds; x chooses which.
func (w *world) disturb(kinds int, x uint32) {
	var allowed []int
	for k := 1; k < everything; k <<= 1 {
		if kinds&k != 0 {
			allowed = append(allowed, k)
		}
	}
	kind, x := allowed[int(x)%len(allowed)], x/uint32(len(allowed))
	n := w.nodes[int(x)%len(w.nodes)]
	regions := []string{"r0", "r1", "r2"}
	switch kind {
	case staleReplica:
		w.setService(false, x%2 == 0)
	case restartOne:
		w.setService(false, x%3 != 0)
		n.wake()
		n.stop()
		n.startProcess()
	case restartMost:
		w.setService(x%3 == 1, x%3 == 2)
		for _, other := range w.nodes {
			if other != n {
				other.wake()
				other.stop()
				other.startProcess()
			}
		}
	case partition:
		a, b := regions[x%3], regions[(x+1)%3]
		cut := w.reaches(w.nodes[x%3], w.nodes[(x+1)%3])
		w.setCut(a, b, cut)
		if x%2 == 0 { // the third region too
			w.setCut(a, regions[(x+2)%3], cut)
		}
		for i, other := range w.nodes {
			if i%3 == int(x%3) {
				other.setNoServe(cut)
			}
		}
	case serviceCut:
		n.setNoServe(x/9%3 != 0)
	case freezeOne:
		if n.running() {
			n.freeze()
		} else {
			n.wake()
		}
	}
}

// Guards against an edition that comes late, goes back or is served with after
// a start or a pause without having asked. Each kind of disturbance must first
// be seen to break the naive distribution.
func TestInForceAndNeverBack(t *testing.T) {
	for _, c := range []struct {
		name  string
		kinds int
	}{
		{"stale replica", staleReplica},
		{"restart of one", restartOne},
		{"restart of all but one", restartMost},
		{"partitions that heal", partition},
		{"cut off from the service", serviceCut | staleReplica},
		{"frozen and woken", freezeOne},
		{"all kinds", everything},
	} {
		t.Run(c.name, func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(20261204)
			parameters.MinSuccessfulTests = *runs
			steps := gen.SliceOfN(8, gen.UInt32())
			caught := false
			for i := uint32(0); i < 10 && !caught; i++ {
				naiveRun := script(t, true, c.kinds, []uint32{0x12345678 * (i + 1), 0x9abcdef1 * (i + 3), 0x7654321 * (i + 7), 0x3141592 * (i + 1), 0x27182818 * (i + 5), 0x1618033 * (i + 11)}, uint64(i))
				if len(naiveRun.violations) > 0 {
					t.Logf("the naive distribution fails: %s", naiveRun.violations[0])
					caught = true
				}
			}
			if !caught {
				t.Error("the checks do not find the faults of the naive distribution")
			}
			var latencies []time.Duration
			properties := gopter.NewProperties(parameters)
			properties.Property("in force within 8 s and never back", prop.ForAll(func(s []uint32) (bool, error) {
				m := script(t, false, c.kinds, s, 1)
				latencies = append(latencies, m.latencies...)
				if len(m.violations) > 0 {
					t.Logf("%d violations, first: %s", len(m.violations), m.violations[0])
				}
				return len(m.violations) == 0, nil
			}, steps))
			properties.TestingRun(t)
			t.Logf("%d measures, p50 %v, p99 %v, largest %v", len(latencies), percentile(latencies, 0.5), percentile(latencies, 0.99), percentile(latencies, 1))
		})
	}
}

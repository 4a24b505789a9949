package configversion_test

import (
	"flag"
	"testing"
	"time"
)

// fleetSizes are those of the measurements: today, one step on and within two
// years.
var fleetSizes = []struct{ n, regions, domains int }{{9, 3, 2}, {90, 15, 2}, {330, 15, 2}}

// maxFleet is the largest fleet to simulate; 330 instances take minutes of CPU
// time.
var maxFleet = flag.Int("fleet", 9, "largest fleet to simulate")

// maxCallsPerSecond is the design limit on calls to the service at 330 instances.
const maxCallsPerSecond = 200

func (sim *simulation) callCounts() (total int, worst int) {
	sim.service.mu.Lock()
	defer sim.service.mu.Unlock()
	for _, n := range sim.service.callsPerSecond {
		worst = max(worst, n)
	}
	return sim.service.calls, worst
}

func (sim *simulation) resetCalls() {
	sim.service.mu.Lock()
	defer sim.service.mu.Unlock()
	sim.service.calls, sim.service.callsPerSecond = 0, make(map[int]int)
}

func (sim *simulation) sentBytes() (sum int) {
	for _, n := range sim.nodes {
		n.mu.Lock()
		sum += n.sent
		n.sent = 0
		n.mu.Unlock()
	}
	return sum
}

// serving counts the instances that serve with the revision.
func (sim *simulation) serving(revision int64) (count int) {
	for _, n := range sim.nodes {
		if n.revision() == revision {
			count++
		}
	}
	return count
}

// waitServing returns the time until all instances serve with the revision.
func (sim *simulation) waitServing(revision int64, limit time.Duration) time.Duration {
	began := time.Now()
	for sim.serving(revision) < len(sim.nodes) && time.Since(began) < limit {
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

// Guards against calls to the service, or bytes between instances, that grow too
// much with the fleet. In the restart storm all instances restart at once while
// the service is down. The backoff between calls reaches its maximum within a
// minute, so two minutes represent an hour.
func TestScale(t *testing.T) {
	for _, f := range fleetSizes {
		if f.n > *maxFleet {
			continue
		}
		inVirtualTime(t, func(t *testing.T) {
			sim := newSimulation(f.n, f.regions, f.domains, 3)
			sim.publish("instances", 1, sim.instanceListText())
			sim.publish("table", 1, configText(1))
			sim.startAll()
			start := sim.waitServing(1, time.Minute)
			_, startWorst := sim.callCounts()
			time.Sleep(40 * time.Second)

			sim.resetCalls()
			sim.sentBytes()
			const steady = 40
			time.Sleep(steady * time.Second)
			calls, steadyWorst := sim.callCounts()
			perNode := float64(sim.sentBytes()) / float64(f.n) / steady

			sim.publish("table", 2, configText(2))
			edit := sim.waitServing(2, time.Minute)

			sim.resetCalls()
			sim.setService(true, false)
			time.Sleep(20 * time.Second)
			_, lostWorst := sim.callCounts()
			for _, n := range sim.nodes {
				n.stop()
			}
			sim.resetCalls()
			sim.startAll()
			time.Sleep(2 * time.Minute)
			_, downWorst := sim.callCounts()
			sim.resetCalls()
			sim.setService(false, false)
			back := sim.waitServing(2, 2*time.Minute)
			_, backWorst := sim.callCounts()

			t.Logf("%d instances: start in %v; calls/s: start %d, steady mean %.1f worst %d, service lost %d, storm while down %d, when back %d; %.0f bytes/s sent per node; edit propagated in %v; storm over %v after the service is back",
				f.n, start, startWorst, float64(calls)/steady, steadyWorst, lostWorst, downWorst, backWorst, perNode, edit, back)
			for _, worst := range []int{startWorst, steadyWorst, lostWorst, downWorst, backWorst} {
				if worst >= maxCallsPerSecond {
					t.Errorf("%d instances: %d calls in one second, want less than %d", f.n, worst, maxCallsPerSecond)
				}
			}
			if edit > maxPropagationTime {
				t.Errorf("%d instances: an edit took %v", f.n, edit)
			}
			if sim.serving(2) != f.n {
				t.Errorf("%d instances: %d serve after the storm", f.n, sim.serving(2))
			}
			sim.stopAll()
		})
	}
}
